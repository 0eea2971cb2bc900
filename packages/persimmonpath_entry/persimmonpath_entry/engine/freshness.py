"""Refreshes the state of a submission before a caller's query is answered."""

import asyncio

from persimmonpath_entry.decisions import completionchecks
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.state import execution
from persimmonpath_entry.transport import clock

# A query is answered with the known state after this time at the latest.
REFRESH_TIMEOUT_S = 0.15
# Seconds that the answer of an open listing takes to arrive and to be applied.
IN_FLIGHT_S = 0.03


class SubmissionRefresher:
    """Queries workers and flushes stored progress for a caller's query.

    Otherwise a caller that asks right after the last run has ended would be
    told that it is still running, and would ask again only after a pause.
    """

    def __init__(
        self,
        shard: shards.Shard,
        worker_listings: listings.ListingPoller,
        shard_writer: persistence.ShardWriter,
    ):
        self._shard = shard
        self._poller = worker_listings
        self._shard_writer = shard_writer

    async def refresh(self, submission: execution.Submission):
        """Applies and stores run ends that the workers already know.

        Returns after REFRESH_TIMEOUT_S at the latest. What the store doesn't
        hold by then isn't shown to the caller.

        Args:
          submission: the submission that a caller asks for.
        """
        deadline = clock.read_clock() + REFRESH_TIMEOUT_S
        if submission.is_active:
            await self._query_workers(submission, deadline)
        while submission.state != submission.stored_state:
            self._shard_writer.request_flush()
            if not await self._await_stored(deadline):
                return

    async def _query_workers(
        self, submission: execution.Submission, deadline: float
    ):
        """Lists the runs of workers whose answers may complete the submission.

        Leaves out unresponsive workers. An open listing that answers as soon as
        a run ends takes the place of a query: what has ended before the
        caller's query is then on its way.
        """
        queries: list[asyncio.Future] = []
        open_listings: list[asyncio.Future] = []
        for worker in completionchecks.choose_workers_to_query(submission):
            if worker.unresponsive_since is not None:
                continue
            open_listing = self._poller.find_long_poll(worker)
            if open_listing is None:
                queries.append(self._poller.request_listing(worker))
            else:
                open_listings.append(open_listing)
        if open_listings:
            await asyncio.wait(open_listings, timeout=IN_FLIGHT_S)
        if queries:
            remaining_s = deadline - clock.read_clock()
            await asyncio.wait(queries, timeout=max(0.0, remaining_s))

    async def _await_stored(self, deadline: float) -> bool:
        """Waits for the next write to the store; returns whether it came."""
        remaining_s = deadline - clock.read_clock()
        if remaining_s <= 0 or not self._shard.is_open:
            return False
        event = self._poller.on_stored
        try:
            async with asyncio.timeout(remaining_s):
                await event.wait()
        except TimeoutError:
            return False
        return True
