#!/bin/sh
# Compiles the stand-ins and the cases; they use target/deps, which the build
# command of the deploy file has placed.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || { echo "target/deps is missing"; exit 2; }
exec python3 -m compileall -q packages/persimmonpath packages/persimmonpath_entry review
