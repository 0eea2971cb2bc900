"""Runs all benchmarks, or the modules named on the command line."""

import importlib
import subprocess
import sys
import time

# These measure virtual time, which concurrent processes don't distort.
VIRTUAL_MODULES = ("jobs", "requests", "tuning", "membership")
REAL_MODULES = ("placement", "scheduling", "cells", "capacity")


def run_side_by_side(names):
    """Runs each module in its own process and prints the output in order."""
    running = [
        subprocess.Popen(
            [sys.executable, "-m", "bench.measure", "--alone", name],
            stdout=subprocess.PIPE,
            text=True,
        )
        for name in names
    ]
    codes = []
    for process in running:
        output, _ = process.communicate()
        print(output, end="", flush=True)
        codes.append(process.returncode)
    if any(codes):
        sys.exit(1)


def main(names):
    """Runs the named modules and prints one key=value line for each figure."""
    if names[:1] == ["--alone"]:
        importlib.import_module(f"bench.{names[1]}").measure()
        return
    started = time.monotonic()
    names = names or [*VIRTUAL_MODULES, *REAL_MODULES]
    run_side_by_side([name for name in names if name in VIRTUAL_MODULES])
    for name in names:
        if name not in VIRTUAL_MODULES:
            importlib.import_module(f"bench.{name}").measure()
    seconds = time.monotonic() - started
    print(f"measure: modules={len(names)} seconds={seconds:.0f}")


if __name__ == "__main__":
    main(sys.argv[1:])
