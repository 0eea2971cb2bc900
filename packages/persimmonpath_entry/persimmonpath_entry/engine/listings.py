"""Polls the workers of a shard: task leases and listings of their tasks."""

import asyncio
import functools

from persimmonpath_entry.engine import listingeffects
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import supervision
from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock

# How long a worker holds back its answer to a listing until something changes:
# with running tasks, and without.
BUSY_WAIT_MS = 500
IDLE_WAIT_MS = 2000
IDLE_PAUSE_S = 2.0
LISTING_SLACK_S = 0.3
# Consecutive failed listings after which a worker counts as unresponsive; a
# single answer may have been lost or delayed.
UNRESPONSIVE_FAILURES = 2
RETRY_PAUSE_S = 0.25
# Run ends that occur within this time are fetched by one listing.
BATCH_DELAY_S = 0.03
# Longest delay of the next listing until the run ends of the last one have been
# stored, so that it can acknowledge them.
STORE_WAIT_S = 0.4


class ListingPoller:
    """Polls the task listings of a shard's workers and has them applied.

    Attributes:
      effects: applies the listings to the shard.
      on_stored: event that is set, and replaced by a new one, after each stored
        write of the shard.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._node = shard.node
        self.effects = listingeffects.ListingEffects(shard)
        self._scheduled: dict[str, asyncio.Task] = {}
        # Done once the listing in progress of a worker, which answers as soon
        # as a run ends, has been applied; by worker id.
        self._long_polls: dict[str, asyncio.Future] = {}
        self._resume_events: dict[str, asyncio.Event] = {}
        self.on_stored = asyncio.Event()

    def announce_stored(self):
        """Wakes those that wait for the next stored write of the shard."""
        event = self.on_stored
        self.on_stored = asyncio.Event()
        event.set()

    def start_polling(self, worker: fleet.Worker):
        """Polls a worker until the shard removes it."""
        self._resume_events[worker.id] = asyncio.Event()
        self._shard.spawn(
            supervision.keep_running(
                self._node,
                "listing_poller",
                functools.partial(self._poll, worker),
            )
        )

    async def _poll(self, worker: fleet.Worker):
        while self._shard.workers.get(worker.id) is worker:
            is_idle = not worker.runs and worker.is_fenced
            wait_ms = IDLE_WAIT_MS if is_idle else BUSY_WAIT_MS
            if not worker.is_fenced:
                wait_ms = 0
            if worker.processed > worker.last_seen:
                wait_ms = 0
            now = clock.read_clock()
            is_acknowledgement_due = worker.last_seen > worker.acknowledged
            if is_acknowledgement_due and not worker.choose_acknowledged_end(
                now
            ):
                # An immediate answer confirms the worker's incarnation, so that
                # the next listing may acknowledge run ends.
                wait_ms = 0
            if worker.listing_failures:
                wait_ms = 0
            answered = await self._long_poll(worker, wait_ms)
            if not answered:
                if worker.unresponsive_since is not None:
                    await asyncio.sleep(RETRY_PAUSE_S)
            elif worker.processed > worker.last_seen:
                await self._await_stored(worker)
            elif not worker.runs:
                await self._pause_idle(worker)
            else:
                await asyncio.sleep(BATCH_DELAY_S)

    async def _long_poll(self, worker: fleet.Worker, wait_ms: int) -> bool:
        if not wait_ms:
            return await self._fetch_listing(worker, 0)
        applied = asyncio.get_running_loop().create_future()
        self._long_polls[worker.id] = applied
        try:
            return await self._fetch_listing(worker, wait_ms)
        finally:
            del self._long_polls[worker.id]
            applied.set_result(None)

    def find_long_poll(self, worker: fleet.Worker) -> asyncio.Future | None:
        """Returns a future for the listing that answers when a run ends.

        The future is done once the answer has been applied; it must not be
        cancelled. None if no such listing is in progress.
        """
        return self._long_polls.get(worker.id)

    async def _await_stored(self, worker: fleet.Worker):
        await asyncio.sleep(BATCH_DELAY_S)
        deadline = clock.read_clock() + STORE_WAIT_S
        while worker.processed > worker.last_seen:
            remaining_s = deadline - clock.read_clock()
            if remaining_s <= 0:
                return
            event = self.on_stored
            try:
                async with asyncio.timeout(remaining_s):
                    await event.wait()
            except TimeoutError:
                return

    async def _pause_idle(self, worker: fleet.Worker):
        resume_event = self._resume_events[worker.id]
        resume_event.clear()
        try:
            async with asyncio.timeout(IDLE_PAUSE_S):
                await resume_event.wait()
        except TimeoutError:
            pass

    def resume_polling(self, worker: fleet.Worker):
        """Ends the polling pause of an idle worker, as it gets work."""
        resume_event = self._resume_events.get(worker.id)
        if resume_event is not None:
            resume_event.set()

    def schedule_listing(self, worker: fleet.Worker):
        """Lists a worker's tasks soon; calls within the delay share one."""
        self._schedule(worker, BATCH_DELAY_S)

    def request_listing(self, worker: fleet.Worker) -> asyncio.Task:
        """Lists a worker's tasks now, unless a listing is scheduled already.

        Returns:
          The task that performs the listing.
        """
        return self._schedule(worker, 0.0)

    def _schedule(self, worker: fleet.Worker, delay_s: float) -> asyncio.Task:
        task = self._scheduled.get(worker.id)
        if task is None:
            task = self._shard.spawn(self._fetch_later(worker, delay_s))
            self._scheduled[worker.id] = task
        return task

    async def _fetch_later(self, worker: fleet.Worker, delay_s: float):
        try:
            await asyncio.sleep(delay_s)
            if worker.id in self._shard.clients:
                await self._fetch_listing(worker, 0)
        finally:
            self._scheduled.pop(worker.id, None)

    async def _fetch_listing(self, worker: fleet.Worker, wait_ms: int) -> bool:
        sent_at = clock.read_clock()
        until_ms = None
        may_extend = worker.id not in self._shard.frozen_leases
        may_extend = may_extend and worker.unresponsive_since is None
        if may_extend and self._shard.may_extend_leases(sent_at):
            until_ms = worker.grant_lease(sent_at, self._node.lease_ms)
        client = self._shard.clients[worker.id]
        born = worker.born
        last_seen = worker.choose_acknowledged_end(sent_at)
        result = await client.list_tasks(
            self._shard.fence,
            last_seen,
            until_ms,
            wait_ms,
            wait_ms / 1000 + LISTING_SLACK_S,
            self._shard.extend_leases_until if until_ms else None,
        )
        now = clock.read_clock()
        if isinstance(result, worker_calls.Listing):
            worker.record_answer(sent_at, now)
        elif result.reason not in workercommands.OWN_REASONS:
            worker.record_no_answer(sent_at)
        if isinstance(result, worker_calls.Listing):
            if result.born in (0, born):
                worker.acknowledged = max(worker.acknowledged, last_seen)
            self.effects.apply(worker, result, sent_at, now)
            return True
        self._handle_failure(worker, result, now)
        return False

    def _handle_failure(self, worker: fleet.Worker, result, now: float):
        if isinstance(result, worker_calls.Rejected):
            if result.reason == worker_calls.STALE_FENCE:
                self._shard.close("fenced by a worker")
                return
            if result.reason == worker_calls.OTHER_INCARNATION:
                self._shard.worker_registry.mark_worker_lost(
                    worker, "other incarnation"
                )
                self._shard.worker_registry.remove_worker(worker)
                return
        if result.reason in workercommands.OWN_REASONS:
            return
        worker.listing_failures += 1
        if worker.listing_failures < UNRESPONSIVE_FAILURES:
            return
        if worker.unresponsive_since is None:
            worker.unresponsive_since = now
            self._node.log.warn(
                "worker_silent",
                worker=worker.id,
                reason=result.reason,
                runs=len(worker.runs),
                lease_left_s=worker.bound_lease_end() - now,
            )
