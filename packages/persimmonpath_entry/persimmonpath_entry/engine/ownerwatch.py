"""Detects the exit of an owner's process through a long poll."""

import asyncio
from collections.abc import Callable

from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

# A watched process answers the long poll after this time. If it exits before,
# the connection closes.
LONG_POLL_S = 8.0
REPLY_SLACK_S = 2.0
RETRY_S = 1.0
# Reasons of a failed call that indicate that the process has exited.
EXIT_REASONS = frozenset({"closed", "refused"})


class OwnerWatcher:
    """Keeps a long poll open to one owner and reports its exit.

    Attributes:
      address: where peers reach the owner.
    """

    def __init__(self, address: str, on_exit: Callable[[], None]):
        """Starts to watch; needs a running event loop.

        Args:
          address: where peers reach the owner.
          on_exit: called after each poll that ends with a closed or refused
            connection.
        """
        self.address = address
        self._on_exit = on_exit
        self._client = httpclient.HttpClient(address, limit=1)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        """Repeats the long poll, at most once in RETRY_S if it ends early."""
        while True:
            started_at = clock.read_clock()
            outcome = await self._client.call(
                "GET", "/peer/watch", timeout_s=LONG_POLL_S + REPLY_SLACK_S
            )
            if isinstance(outcome, httpclient.NoResponse):
                if outcome.reason in EXIT_REASONS:
                    self._on_exit()
                await asyncio.sleep(RETRY_S)
            elif clock.read_clock() - started_at < RETRY_S:
                await asyncio.sleep(RETRY_S)

    def stop(self):
        """Stops watching and closes the connection."""
        self._task.cancel()
        self._client.close()


async def hold_long_poll(is_stopping: Callable[[], bool]):
    """Waits for the length of a long poll, on the side of the watched process.

    Args:
      is_stopping: tells whether the process is stopping. It is checked every
        RETRY_S and ends the wait early.
    """
    deadline = clock.read_clock() + LONG_POLL_S
    while clock.read_clock() < deadline and not is_stopping():
        await asyncio.sleep(RETRY_S)
