"""Polls the workers of a shard: task leases, running tasks and run ends."""

import asyncio
import functools

from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import supervision
from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import execution
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
# An answer within this time shows what had happened before the request.
IMMEDIATE_ANSWER_S = 0.02
# Longest delay of the next listing until the run ends of the last one have been
# stored, so that it can acknowledge them.
STORE_WAIT_S = 0.4
# An unknown run is stopped only after this time, since another VM may have just
# accepted its submission.
UNKNOWN_RUN_GRACE_S = 1.5
# New run ends in one listing from which on it is logged. A run end usually has
# a line of its own, but ends of a former owner's runs have none.
MIN_LOGGED_BACKLOG = 100


class ListingPoller:
    """Polls the task listings of a shard's workers and applies them.

    Attributes:
      on_stored: event that is set, and replaced by a new one, after each stored
        write of the shard.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._node = shard.node
        self.commands = None
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
            self._apply_listing(worker, result, sent_at, now)
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

    def _apply_listing(
        self,
        worker: fleet.Worker,
        listing: worker_calls.Listing,
        sent_at: float,
        now: float,
    ):
        # A listing requested before the last answer arrived may be older than
        # that answer.
        if sent_at < worker.listed_at:
            return
        worker.listing_failures = 0
        # An end after the request is listed at once.
        is_immediate = now - sent_at < IMMEDIATE_ANSWER_S
        gap_s = max(0.0, sent_at - worker.listed_at)
        worker.listing_gap_s = gap_s if is_immediate else 0.0
        worker.listed_at = now
        if worker.unresponsive_since is not None:
            self._node.log.warn(
                "worker_answers",
                worker=worker.id,
                silent_s=now - worker.unresponsive_since,
            )
            worker.unresponsive_since = None
            self._shard.store_requested.set()
        listed = {(row.task, row.run) for row in listing.running}
        is_new = not worker.is_fenced
        if listing.born:
            worker.lists_start_time = True
            if worker.born and listing.born != worker.born:
                self._shard.worker_registry.begin_incarnation(
                    worker, listing.born
                )
            is_new = is_new or listing.born != worker.born
            worker.born = listing.born
        worker.record_clock(listing.clock_ms, now)
        if is_new:
            worker.assume_lease(self._node.lease_ms)
        if not worker.is_fenced:
            worker.is_fenced = True
            self._shard.request_schedule()
        self._log_backlog(worker, listing)
        unidentified = self._apply_ends(worker, listing, now)
        self._apply_running(worker, listing, now)
        # An end that isn't processed yet tells later how its run has ended.
        listed.update(
            (end.task, end.run)
            for end in listing.ended
            if end.number > worker.processed
        )
        self._remove_unlisted_runs(worker, listing, listed, sent_at)
        unidentified.update(task for task, _ in worker.unknown_runs)
        if unidentified:
            self._shard.unidentified_tasks[worker.id] = unidentified
        else:
            self._shard.unidentified_tasks.pop(worker.id, None)
        self._record_unlisted_ends(worker, listing)
        if self._shard.unsettled.pop(worker.id, None) is not None:
            self._shard.store_requested.set()

    def _record_unlisted_ends(
        self, worker: fleet.Worker, listing: worker_calls.Listing
    ):
        """Records whether the worker has more run ends than it has listed.

        A run of a former owner may be neither among the listed runs nor among
        the listed ends then.
        """
        unlisted = self._shard.workers_with_unlisted_ends
        if listing.may_omit_ends:
            unlisted.add(worker.id)
        elif worker.id in unlisted:
            unlisted.remove(worker.id)
            self._shard.request_schedule()

    def _log_backlog(self, worker: fleet.Worker, listing: worker_calls.Listing):
        """Logs a listing with many new ends, as after a takeover."""
        numbers = [
            end.number for end in listing.ended if end.number > worker.processed
        ]
        if len(numbers) >= MIN_LOGGED_BACKLOG:
            self._node.log.warn(
                "ends_listed",
                worker=worker.id,
                running=len(listing.running),
                ended=len(listing.ended),
                first=min(numbers),
                last=max(numbers),
            )

    def _apply_ends(
        self, worker: fleet.Worker, listing: worker_calls.Listing, now: float
    ) -> set[str]:
        """Applies the ends that haven't been processed, in their order.

        An end of an unknown submission may belong to one that this owner hasn't
        read yet. It is neither processed nor acknowledged, and no later one,
        until the submissions have been read after it was first listed.

        Returns:
          The names of the tasks whose ends were left for a later listing.
        """
        ends = sorted(listing.ended, key=lambda end: end.number)
        for index, end in enumerate(ends):
            if end.number <= worker.processed:
                continue
            if not self._is_identified(worker, end, now):
                return {left.task for left in ends[index:]}
            worker.processed = end.number
            self._shard.store_requested.set()
            run = worker.runs.get((end.task, end.run))
            if run is not None:
                run.task.step.submission.has_started = True
                self._shard.remove_run(run, end.how, end.saved)
                continue
            task = self._shard.occurrence_opener.find_task(end.task)
            if task is not None:
                task.step.submission.has_started = True
                self._shard.run_end_handler.handle_run_end(
                    task, end.run, end.how, end.saved, worker
                )

        return set()

    def _is_identified(
        self, worker: fleet.Worker, end: worker_calls.EndedTask, now: float
    ) -> bool:
        """Returns whether the submission of an end is known or is none."""
        if end.task.partition(".")[0] in self._shard.submissions:
            return True
        if worker.unidentified_end != end.number:
            worker.unidentified_end = end.number
            worker.unidentified_since = now
            self._node.log.write(
                "end_unidentified",
                task=end.task,
                run=end.run,
                worker=worker.id,
                how=end.how,
            )
        return self._shard.submissions_read_at > worker.unidentified_since

    def _apply_running(
        self, worker: fleet.Worker, listing: worker_calls.Listing, now: float
    ):
        unknown_runs = {}
        for row in listing.running:
            run = worker.runs.get((row.task, row.run))
            if run is None:
                run = self._adopt_run(worker, row, now)
            if run is None:
                key = (row.task, row.run)
                unknown_runs[key] = worker.unknown_runs.get(key, now)
                self._handle_unknown_run(worker, row, unknown_runs[key], now)
                continue
            run.task.step.submission.has_started = True
            run.confirmed_at = max(run.confirmed_at or 0.0, now)
            if run.phase is execution.Phase.STARTING:
                run.phase = execution.Phase.RUNNING
            run.percent = row.percent
            run.is_at_work = row.percent >= execution.AT_WORK_PERCENT
            self._record_load(run, row.load, now)
            if row.saved and row.saved != run.saved:
                # A value that is listed again may be older than that of another
                # member of the gang.
                run.saved = run.task.saved = row.saved
        worker.unknown_runs = unknown_runs

    def _record_load(self, run: execution.Run, load: float | None, now: float):
        run.load = load
        if load is None:
            return
        run.load_at = now
        if run.spec.target_ms:
            if load <= run.spec.target_ms:
                run.over_target_since = None
            elif run.over_target_since is None:
                run.over_target_since = now
        elif load > 0:
            run.idle_since = None
            run.worker.stalled_at = None
        elif run.idle_since is None:
            run.idle_since = now

    def _adopt_run(self, worker, row, now: float) -> execution.Run | None:
        task = self._shard.occurrence_opener.find_task(row.task)
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
        if task.step.spec.is_filler and row.percent < worker.filler_percent:
            # A former owner has throttled the fillers of the worker.
            worker.filler_percent = int(row.percent)
            worker.paced_at = now
        return self._shard.adopt_run(task, row.run, worker, now)

    def _handle_unknown_run(self, worker, row, since: float, now: float):
        known = row.task.partition(".")[0] in self._shard.submissions
        if known or now - since > UNKNOWN_RUN_GRACE_S:
            self.commands.stop_unknown_run(worker, row.task, row.run)

    def _remove_unlisted_runs(self, worker, listing, listed, sent_at: float):
        if listing.may_omit_ends:
            return
        for key, run in list(worker.runs.items()):
            if key in listed or run.confirmed_at is None:
                continue
            if run.confirmed_at < sent_at:
                how = (
                    "void" if run.phase is execution.Phase.STOPPING else "lost"
                )
                self._shard.remove_run(run, how, "")
