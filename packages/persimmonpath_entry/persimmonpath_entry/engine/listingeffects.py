"""Effects of a worker's listing on the runs and tasks of a shard."""

from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet

# An answer within this time shows what had happened before the request.
IMMEDIATE_ANSWER_S = 0.02
# An unknown run is stopped only after this time, since another VM may have just
# accepted its submission.
UNKNOWN_RUN_GRACE_S = 1.5
# New run ends in one listing from which on it is logged. A run end usually has
# a line of its own, but ends of a former owner's runs have none.
MIN_LOGGED_BACKLOG = 100


class ListingEffects:
    """Applies the listings of a shard's workers.

    Attributes:
      commands: stops the runs that the shard doesn't know.
    """

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._node = shard.node
        self.commands = None

    def apply(
        self,
        worker: fleet.Worker,
        listing: worker_calls.Listing,
        sent_at: float,
        now: float,
    ):
        """Applies a listing, unless a later request has been answered before.

        Args:
          worker: the worker.
          listing: its answer.
          sent_at: when the listing was requested.
          now: the monotonic clock, in seconds.
        """
        # A listing requested before the last answer arrived may be older than
        # that answer.
        if sent_at < worker.listed_at:
            return
        self._record_answer(worker, sent_at, now)
        self._record_incarnation(worker, listing, now)
        self._log_backlog(worker, listing)
        unidentified = self._apply_ends(worker, listing, now)
        self._apply_running(worker, listing, now)
        self._remove_unlisted_runs(worker, listing, sent_at)
        unidentified.update(task for task, _ in worker.unknown_runs)
        self._shard.former_runs.record_unidentified(worker.id, unidentified)
        self._record_unlisted_ends(worker, listing)
        if self._shard.former_runs.unsettled.pop(worker.id, None) is not None:
            self._shard.store_requested.set()

    def _record_answer(self, worker: fleet.Worker, sent_at: float, now: float):
        """Records that and when the worker has answered a listing."""
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

    def _record_incarnation(
        self, worker: fleet.Worker, listing: worker_calls.Listing, now: float
    ):
        """Records the clock and the incarnation of a worker, and the fence."""
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

    def _record_unlisted_ends(
        self, worker: fleet.Worker, listing: worker_calls.Listing
    ):
        """Records whether the worker has more run ends than it has listed.

        A run of a former owner may be neither among the listed runs nor among
        the listed ends then.
        """
        unlisted = self._shard.former_runs.workers_with_unlisted_ends
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

    def _remove_unlisted_runs(self, worker, listing, sent_at: float):
        if listing.may_omit_ends:
            return
        listed = {(row.task, row.run) for row in listing.running}
        # An end that isn't processed yet tells later how its run has ended.
        listed.update(
            (end.task, end.run)
            for end in listing.ended
            if end.number > worker.processed
        )
        for key, run in list(worker.runs.items()):
            if key in listed or run.confirmed_at is None:
                continue
            if run.confirmed_at < sent_at:
                how = (
                    "void" if run.phase is execution.Phase.STOPPING else "lost"
                )
                self._shard.remove_run(run, how, "")
