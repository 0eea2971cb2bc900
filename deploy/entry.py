"""Runs the entry VM's program from a checkout, without installing it."""

import pathlib
import sys

PACKAGES = pathlib.Path(__file__).resolve().parent.parent / "packages"
for name in ("persimmonpath", "persimmonpath_entry"):
    sys.path.insert(0, str(PACKAGES / name))

from persimmonpath_entry import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main.main())
