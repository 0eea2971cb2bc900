"""Runs every measurement, or those named on the command line."""

import importlib
import sys
import time

MODULES = (
    "placement",
    "jobs",
    "requests",
    "tuning",
    "membership",
    "cells",
    "capacity",
)


def main(names):
    """Measures and prints one key=value line a figure."""
    started = time.monotonic()
    for name in names or MODULES:
        importlib.import_module(f"bench.{name}").measure()
    seconds = time.monotonic() - started
    print(f"measure: modules={len(names or MODULES)} seconds={seconds:.0f}")


if __name__ == "__main__":
    main(sys.argv[1:])
