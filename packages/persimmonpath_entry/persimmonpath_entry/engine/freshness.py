"""Brings what an owner knows of a submission up to date for a question."""

import asyncio

from persimmonpath_entry.decisions import completionchecks
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.state import execution
from persimmonpath_entry.transport import clock

# A question is answered with what is known after this time.
LIMIT_S = 0.15


class Freshness:
    """Asks the workers, and has ends stored, that a caller's answer needs."""

    def __init__(
        self,
        shard: shards.Shard,
        poller: listings.ListingPoller,
        shard_writer: persistence.ShardWriter,
    ):
        self._shard = shard
        self._poller = poller
        self._shard_writer = shard_writer

    async def refresh(self, submission: execution.Submission):
        """Takes in an end that has happened already, within the limit."""
        deadline = clock.read_clock() + LIMIT_S
        if submission.is_active:
            await self._ask_workers(submission, deadline)
        while submission.state != submission.stored_state:
            self._shard_writer.request_flush()
            if not await self._await_stored(deadline):
                return

    async def _ask_workers(
        self, submission: execution.Submission, deadline: float
    ):
        looks = [
            self._poller.request_listing(worker)
            for worker in completionchecks.choose_workers_to_query(submission)
            if worker.unresponsive_since is None
            and not self._poller.has_long_poll(worker)
        ]
        if looks:
            left = deadline - clock.read_clock()
            await asyncio.wait(looks, timeout=max(0.0, left))

    async def _await_stored(self, deadline: float) -> bool:
        left = deadline - clock.read_clock()
        if left <= 0 or not self._shard.is_open:
            return False
        event = self._poller.on_stored
        try:
            async with asyncio.timeout(left):
                await event.wait()
        except TimeoutError:
            return False
        return True
