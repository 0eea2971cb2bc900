"""Runs the entry VM's program from a checkout, without installing it."""

import pathlib
import signal
import sys

# The settings are read after this, so that a change needs no other reaction
# until the program handles the signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

PACKAGES = pathlib.Path(__file__).resolve().parent.parent / "packages"
for name in ("persimmonpath", "persimmonpath_entry"):
    sys.path.insert(0, str(PACKAGES / name))

from persimmonpath_entry import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main.main())
