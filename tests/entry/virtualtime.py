"""Runs a coroutine in virtual time: waits cost nothing, and nothing is late."""

import asyncio
from unittest import mock

from persimmonpath_entry.transport import clock

START_S = 1000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when all is idle.

    Only timers may be waited for; there is no network.
    """

    def __init__(self):
        super().__init__()
        self._now = START_S

    def time(self):
        """Returns the virtual time in seconds."""
        return self._now

    def _run_once(self):
        if not self._ready:
            whens = (t.when() for t in self._scheduled if not t.cancelled())
            self._now = max(self._now, min(whens, default=self._now))
        super()._run_once()


def run(main):
    """Runs a coroutine function with an event loop in virtual time.

    The monotonic clock of the entry VM is that of the loop.
    """
    loop = VirtualLoop()
    try:
        with mock.patch.object(clock, "read_clock", loop.time):
            return loop.run_until_complete(main())
    finally:
        loop.close()
