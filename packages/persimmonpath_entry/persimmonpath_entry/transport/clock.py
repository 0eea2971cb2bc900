"""The steady clock of an entry VM."""

import time


def read_clock() -> float:
    """Returns seconds on a steady clock that counts suspended time.

    A VM that was suspended must notice that its leases ran out meanwhile;
    CLOCK_MONOTONIC stands still during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
