"""Follows the workers of a shard: leases, running tasks and ends."""

import asyncio

from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock

# Waiting time of a listing at a worker that runs something, and at an idle one.
BUSY_WAIT_MS = 500
IDLE_WAIT_MS = 2000
IDLE_PAUSE_S = 2.0
LISTING_SLACK_S = 0.3
# A worker is silent after this many listings without an answer; a single one
# may only have been lost or delayed.
SILENT_FAILURES = 2
RETRY_PAUSE_S = 0.25
# Ends that come within this time are taken in by one listing.
GATHER_S = 0.03
# How long the next listing waits for the ends of the last one to be stored.
STORE_WAIT_S = 0.4
# A run that its owner doesn't know is stopped after this time; the submission
# may have been accepted just now.
STRANGER_S = 1.5


class Listings:
    """Follows the workers of a shard."""

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._node = shard.node
        self.orders = None
        self._looks: dict[str, asyncio.Task] = {}
        # Workers with a listing under way that answers as soon as a run ends.
        self._listening: set[str] = set()
        self._wakers: dict[str, asyncio.Event] = {}
        self.on_stored = asyncio.Event()

    def follow(self, worker: fleet.Worker):
        """Follows a worker until it is forgotten."""
        self._wakers[worker.id] = asyncio.Event()
        self._shard.spawn(self._follow(worker))

    async def _follow(self, worker: fleet.Worker):
        while self._shard.workers.get(worker.id) is worker:
            is_idle = not worker.runs and worker.is_fenced
            wait_ms = IDLE_WAIT_MS if is_idle else BUSY_WAIT_MS
            if not worker.is_fenced:
                wait_ms = 0
            if worker.processed > worker.last_seen:
                wait_ms = 0
            now = clock.read_clock()
            has_more = worker.last_seen > worker.acknowledged
            if has_more and not worker.choose_last_seen(now):
                # Shows the worker's life, so that the next one acknowledges.
                wait_ms = 0
            if worker.listing_failures:
                wait_ms = 0
            answered = await self._listen(worker, wait_ms)
            if not answered:
                if worker.silent_since is not None:
                    await asyncio.sleep(RETRY_PAUSE_S)
            elif worker.processed > worker.last_seen:
                await self._await_stored(worker)
            elif not worker.runs:
                await self._pause(worker)
            else:
                await asyncio.sleep(GATHER_S)

    async def _listen(self, worker: fleet.Worker, wait_ms: int) -> bool:
        if wait_ms:
            self._listening.add(worker.id)
        try:
            return await self._list(worker, wait_ms)
        finally:
            self._listening.discard(worker.id)

    def is_listening(self, worker: fleet.Worker) -> bool:
        """Returns whether a worker will tell at once when a run ends."""
        return worker.id in self._listening

    async def _await_stored(self, worker: fleet.Worker):
        await asyncio.sleep(GATHER_S)
        deadline = clock.read_clock() + STORE_WAIT_S
        while worker.processed > worker.last_seen:
            left = deadline - clock.read_clock()
            if left <= 0:
                return
            event = self.on_stored
            try:
                async with asyncio.timeout(left):
                    await event.wait()
            except TimeoutError:
                return

    async def _pause(self, worker: fleet.Worker):
        waker = self._wakers[worker.id]
        waker.clear()
        try:
            async with asyncio.timeout(IDLE_PAUSE_S):
                await waker.wait()
        except TimeoutError:
            pass

    def wake(self, worker: fleet.Worker):
        """Has an idle worker followed again, as it gets work."""
        waker = self._wakers.get(worker.id)
        if waker is not None:
            waker.set()

    def look(self, worker: fleet.Worker):
        """Asks a worker for its tasks soon; several looks become one."""
        self._begin_look(worker, GATHER_S)

    def ask(self, worker: fleet.Worker) -> asyncio.Task:
        """Asks a worker for its tasks now, if no such call is under way."""
        return self._begin_look(worker, 0.0)

    def _begin_look(self, worker: fleet.Worker, delay_s: float) -> asyncio.Task:
        task = self._looks.get(worker.id)
        if task is None:
            task = self._shard.spawn(self._look(worker, delay_s))
            self._looks[worker.id] = task
        return task

    async def _look(self, worker: fleet.Worker, delay_s: float):
        try:
            await asyncio.sleep(delay_s)
            if worker.id in self._shard.clients:
                await self._list(worker, 0)
        finally:
            self._looks.pop(worker.id, None)

    async def _list(self, worker: fleet.Worker, wait_ms: int) -> bool:
        sent_at = clock.read_clock()
        until_ms = None
        is_held = worker.id not in self._shard.frozen_leases
        is_held = is_held and worker.silent_since is None
        if is_held and self._shard.may_hold(sent_at):
            until_ms = worker.grant_lease(sent_at, self._node.lease_ms)
        client = self._shard.clients[worker.id]
        born = worker.born
        last_seen = worker.choose_last_seen(sent_at)
        result = await client.list_tasks(
            self._shard.fence,
            last_seen,
            until_ms,
            wait_ms,
            wait_ms / 1000 + LISTING_SLACK_S,
        )
        now = clock.read_clock()
        if isinstance(result, worker_calls.Listing):
            worker.note_answer(sent_at, now)
        else:
            worker.note_no_answer(sent_at)
        if isinstance(result, worker_calls.Listing):
            if result.born in (0, born):
                worker.acknowledged = max(worker.acknowledged, last_seen)
            self._take(worker, result, sent_at, now)
            return True
        self._take_failure(worker, result, now)
        return False

    def _take_failure(self, worker: fleet.Worker, result, now: float):
        if isinstance(result, worker_calls.Rejected):
            if result.reason == worker_calls.STALE_FENCE:
                self._shard.close("fenced by a worker")
                return
            if result.reason == worker_calls.OTHER_INCARNATION:
                self._shard.roster.lose_worker(worker, "other lifetime")
                self._shard.roster.forget_worker(worker)
                return
        worker.listing_failures += 1
        if worker.listing_failures < SILENT_FAILURES:
            return
        if worker.silent_since is None:
            worker.silent_since = now
            self._node.log.warn(
                "worker_silent",
                worker=worker.id,
                reason=result.reason,
                runs=len(worker.runs),
                lease_left_s=worker.bound_lease_end() - now,
            )

    def _take(
        self,
        worker: fleet.Worker,
        listing: worker_calls.Listing,
        sent_at: float,
        now: float,
    ):
        # A listing asked for before the last one was answered may be older.
        if sent_at < worker.listed_at:
            return
        worker.listing_failures = 0
        worker.listed_at = now
        if worker.silent_since is not None:
            self._node.log.warn(
                "worker_answers",
                worker=worker.id,
                silent_s=now - worker.silent_since,
            )
            worker.silent_since = None
            self._shard.on_dirty.set()
        names = {(row.task, row.run) for row in listing.running}
        is_new = not worker.is_fenced
        if listing.born:
            worker.lists_born = True
            if worker.born and listing.born != worker.born:
                self._shard.roster.begin_lifetime(worker, listing.born)
            is_new = is_new or listing.born != worker.born
            worker.born = listing.born
        worker.note_clock(listing.clock_ms, now)
        if is_new:
            worker.assume_lease(self._node.lease_ms)
        if not worker.is_fenced:
            worker.is_fenced = True
            self._shard.request_schedule()
        self._take_ends(worker, listing)
        self._take_running(worker, listing, now)
        self._remove_absent(worker, listing, names, sent_at)
        if self._shard.unsettled.pop(worker.id, None) is not None:
            self._shard.on_dirty.set()

    def _take_ends(self, worker: fleet.Worker, listing: worker_calls.Listing):
        for end in sorted(listing.ended, key=lambda end: end.number):
            if end.number <= worker.processed:
                continue
            worker.processed = end.number
            self._shard.on_dirty.set()
            run = worker.runs.get((end.task, end.run))
            if run is not None:
                self._shard.remove_run(run, end.how, end.saved)
                continue
            task = self._find_task(end.task)
            if task is not None:
                self._shard.endings.take_end(
                    task, end.run, end.how, end.saved, worker
                )

    def _find_task(self, name: str) -> work.Task | None:
        submission_id, _, key = name.partition(".")
        submission = self._shard.submissions.get(submission_id)
        return None if submission is None else submission.find_task(key)

    def _take_running(
        self, worker: fleet.Worker, listing: worker_calls.Listing, now: float
    ):
        strangers = {}
        for row in listing.running:
            run = worker.runs.get((row.task, row.run))
            if run is None:
                run = self._adopt(worker, row, now)
            if run is None:
                key = (row.task, row.run)
                strangers[key] = worker.strangers.get(key, now)
                self._handle_stranger(worker, row, strangers[key], now)
                continue
            run.settled_at = max(run.settled_at or 0.0, now)
            if run.phase is work.Phase.STARTING:
                run.phase = work.Phase.RUNNING
            run.percent = row.percent
            self._note_load(run, row.load, now)
            if row.saved:
                run.task.saved = row.saved
        worker.strangers = strangers

    def _note_load(self, run: work.Run, load: float | None, now: float):
        run.load = load
        if load is None:
            return
        if run.spec.target_ms:
            if load <= run.spec.target_ms:
                run.over_target_since = None
            elif run.over_target_since is None:
                run.over_target_since = now
        elif load > 0:
            run.idle_since = None
        elif run.idle_since is None:
            run.idle_since = now

    def _adopt(self, worker, row, now: float) -> work.Run | None:
        task = self._find_task(row.task)
        if task is None or task.is_done:
            return None
        if not task.step.submission.is_active:
            return None
        if task.runs and not task.step.spec.allow_copies:
            return None
        if task.step.ready_since is None:
            self._shard.make_ready(task.step)
        self._node.log.write(
            "run_adopted", task=row.task, run=row.run, worker=worker.id
        )
        return self._shard.adopt_run(task, row.run, worker, now)

    def _handle_stranger(self, worker, row, since: float, now: float):
        known = row.task.partition(".")[0] in self._shard.submissions
        if known or now - since > STRANGER_S:
            self.orders.stop_stranger(worker, row.task, row.run)

    def _remove_absent(self, worker, listing, names, sent_at: float):
        if len(listing.ended) >= worker_calls.MAX_ENDS_PER_LISTING:
            return
        for key, run in list(worker.runs.items()):
            if key in names or run.settled_at is None:
                continue
            if run.settled_at < sent_at:
                how = "void" if run.phase is work.Phase.STOPPING else "lost"
                self._shard.remove_run(run, how, "")
