"""The monotonic clock of an entry VM."""

import time


def read_clock() -> float:
    """Returns seconds of a monotonic clock that includes suspended time.

    After a suspension a VM must notice that its leases have expired meanwhile.
    CLOCK_MONOTONIC stops during a suspension, CLOCK_BOOTTIME does not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
