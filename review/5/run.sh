#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case didn't run.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
PYTHONPATH=packages/persimmonpath:packages/persimmonpath_entry:target/deps:.
export PYTHONPATH
exec python3 "$here/case.py"
