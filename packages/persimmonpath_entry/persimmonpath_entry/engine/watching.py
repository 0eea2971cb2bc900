"""Notices at once that the process of an owner has ended."""

import asyncio
from collections.abc import Callable

from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

# A watched process answers after this time; its end closes the connection.
WATCH_S = 8.0
SLACK_S = 2.0
RETRY_S = 1.0
# Reasons for which a call ends at once when the other process isn't there.
GONE = frozenset({"closed", "refused"})


class Watcher:
    """Watches one owner for as long as it is the owner."""

    def __init__(self, address: str, on_gone: Callable[[], None]):
        self.address = address
        self._on_gone = on_gone
        self._client = httpclient.HttpClient(address, limit=1)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        while True:
            started_at = clock.read_clock()
            outcome = await self._client.call(
                "GET", "/peer/watch", timeout_s=WATCH_S + SLACK_S
            )
            if isinstance(outcome, httpclient.NoResponse):
                if outcome.reason in GONE:
                    self._on_gone()
                await asyncio.sleep(RETRY_S)
            elif clock.read_clock() - started_at < RETRY_S:
                await asyncio.sleep(RETRY_S)

    def stop(self):
        """Ends the watch."""
        self._task.cancel()
        self._client.close()


async def hold_watch(stopping: Callable[[], bool]):
    """Returns after the time of a watch, sooner if the process is to stop."""
    deadline = clock.read_clock() + WATCH_S
    while clock.read_clock() < deadline and not stopping():
        await asyncio.sleep(RETRY_S)
