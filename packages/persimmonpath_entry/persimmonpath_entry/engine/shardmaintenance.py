"""Periodic maintenance of a shard and its subscriptions to the store."""

import asyncio

from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import pacing
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import progressrows
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock

CHECK_INTERVAL_S = 0.2
# Seconds after which the CPU share of a filler is set again if its worker lists
# another one. A run that is starting up is listed at 0 percent.
PACE_REPEAT_S = 2.0
# Submissions are announced by peers, unless these don't reach the owner.
SUBMISSION_POLL_S = 0.25
REMOVAL_INTERVAL_S = 20.0
# Seconds for which rows of ended submissions are kept beyond the time in which
# clients may query them.
RETENTION_SLACK_S = 60.0
WORKER_TABLE = "servers"
WORKER_POLL_S = 0.7


class ShardMaintenance:
    """Loads a shard, follows its store tables and checks its workers."""

    def __init__(
        self,
        shard: shards.Shard,
        commands: workercommands.WorkerCommands,
    ):
        self._shard = shard
        self._node = shard.node
        self._commands = commands
        self._submission_version = 0

    async def load(self) -> bool:
        """Reads the submissions of the service and their progress.

        Returns:
          False if the store refused a read; nothing is applied then.
        """
        store = self._node.store
        began_at = clock.read_clock()
        rows = await self._read_submissions()
        if isinstance(rows, platform_store.Refused):
            return False
        progress = await store.read_all(
            progressrows.PROGRESS_TABLE, self._shard.service
        )
        if isinstance(progress, platform_store.Refused):
            return False
        progress_by_id = progressrows.decode_rows(self._node, progress.rows)
        rowcodec.apply_rows(
            self._node,
            rows.rows,
            lambda row: self._apply_submission_row(
                row, progress_by_id.get(row.key)
            ),
        )
        self._submission_version = rows.version
        self._shard.submissions_read_at = began_at
        return True

    async def _read_submissions(self):
        """Reads all partitions; the version is the lowest of theirs."""
        pages = await asyncio.gather(
            *(
                self._node.store.read_all(persistence.SUBMISSION_TABLE, part)
                for part in persistence.list_partitions()
            )
        )
        rows = []
        for page in pages:
            if isinstance(page, platform_store.Refused):
                return page
            rows += page.rows
        return platform_store.Rows(rows, min(page.version for page in pages))

    def _apply_submission_row(
        self,
        row: platform_store.Row,
        progress: progressrows.StoredProgress | None = None,
    ):
        if row.is_deleted:
            return
        record = rowcodec.decode_row(
            self._node, row, submissions.SubmissionRecord
        )
        if record is None:
            return
        if record.service != self._shard.service:
            self._shard.fair_shares.record_submission(row.key, record)
        else:
            self._shard.apply_submission(
                row.key,
                record,
                None if progress is None else progress.record,
                row.version,
                () if progress is None else progress.block_keys,
            )

    async def follow_submissions(self):
        """Applies new submissions and cancellations not announced by peers."""
        while self._shard.is_open:
            began_at = clock.read_clock()
            result = await self._node.store.follow(
                persistence.SUBMISSION_TABLE, self._submission_version, 0
            )
            if isinstance(result, platform_store.HistoryGone):
                self._node.log.warn(
                    "history_gone",
                    table=persistence.SUBMISSION_TABLE,
                    version=self._submission_version,
                )
                result = await self._read_submissions()
            if isinstance(result, platform_store.Rows):
                rowcodec.apply_rows(
                    self._node, result.rows, self._apply_submission_row
                )
                self._submission_version = result.version
                if result.has_more:
                    continue
                self._shard.submissions_read_at = began_at
            await asyncio.sleep(SUBMISSION_POLL_S)

    async def follow_workers(self):
        """Applies changes of worker registrations from the store."""
        version: int | None = None
        while self._shard.is_open:
            if version is None:
                result = await self._node.store.read_all(WORKER_TABLE, "")
            else:
                result = await self._node.store.follow(WORKER_TABLE, version, 0)
            if isinstance(result, platform_store.HistoryGone):
                version = None
                continue
            if isinstance(result, platform_store.Rows):
                if version is None:
                    self._mark_missing_unregistered(
                        {row.key for row in result.rows}
                    )
                rowcodec.apply_rows(
                    self._node, result.rows, self._apply_worker_row
                )
                version = result.version
                self._shard.has_read_workers = True
                if result.has_more:
                    continue
            await asyncio.sleep(WORKER_POLL_S)

    def _mark_missing_unregistered(self, listed: set[str]):
        for worker_id in list(self._shard.workers):
            if worker_id not in listed:
                self._shard.worker_registry.mark_unregistered(worker_id)

    def _apply_worker_row(self, row: platform_store.Row):
        if row.is_deleted:
            self._shard.worker_registry.mark_unregistered(row.key)
            return
        registration = messages.decode_registration(row.key, row.value)
        if isinstance(registration, str):
            self._node.log.warn(
                "registration_unreadable", worker=row.key, reason=registration
            )
            self._shard.worker_registry.mark_unregistered(row.key)
            return
        if registration.service == self._shard.service:
            self._shard.worker_registry.apply_registration(registration)
        else:
            self._shard.worker_registry.mark_unregistered(row.key)

    async def run(self):
        """Runs the periodic checks until the shard is closed."""
        last_removal = clock.read_clock()
        while self._shard.is_open:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = clock.read_clock()
            self._expire_unsettled(now)
            for submission in list(self._shard.recurring.values()):
                self._shard.occurrence_opener.open_due(submission)
            for worker in list(self._shard.workers.values()):
                self._check_worker(worker, now)
            if now - last_removal > REMOVAL_INTERVAL_S:
                last_removal = now
                await self._remove_expired()

    def _expire_unsettled(self, now: float):
        unsettled = self._shard.former_runs.unsettled
        for worker_id, deadline in list(unsettled.items()):
            if now > deadline:
                unsettled.pop(worker_id)
                self._node.log.warn("former_worker_settled", worker=worker_id)
                self._shard.request_schedule()

    def _check_worker(self, worker: fleet.Worker, now: float):
        is_unresponsive = worker.unresponsive_since is not None
        former_runs = self._shard.former_runs
        may_run = worker.runs or former_runs.is_partly_known(worker.id)
        if is_unresponsive and may_run and now > worker.bound_lease_end():
            self._shard.worker_registry.mark_worker_lost(worker, "lease ended")
            may_run = False
        if is_unresponsive and not worker.is_listed and not may_run:
            self._shard.worker_registry.remove_worker(worker)
            return
        if worker.registration.is_draining:
            self._stop_for_drain(worker, now)
        if worker.evacuating_until > now:
            self._evacuate_long_running(worker)
        if worker.filler_runs or worker.filler_percent < pacing.FULL_PERCENT:
            self._pace_fillers(worker, now)
        for run in list(worker.runs.values()):
            if self._may_start_copy(run, now):
                self._shard.request_speculative_copy(run.task)
            if health.is_overdue(run, now):
                self._commands.stop(run, "gang_done")
            if health.is_stalled(run, now):
                if not run.spec.long_running:
                    worker.stalled_at = now
                if not health.may_be_missed(run):
                    continue
                worker.recent_failures += 1
                self._node.log.warn(
                    "run_stands_still",
                    task=run.task.name,
                    run=run.number,
                    worker=worker.id,
                    idle_s=now - run.idle_since,
                )
                run.task.avoided.add(worker.id)
                self._commands.stop(run, "stands_still")

    def _may_start_copy(self, run: execution.Run, now: float) -> bool:
        """Returns whether a run's task should get a speculative copy."""
        spec = run.spec
        if not spec.allow_copies:
            return False
        learner = self._shard.learner
        run_s = learner.predict_run_s(run.task.step)
        typical_s = run_s
        if typical_s is None:
            typical_s = self._shard.run_end_handler.find_typical_duration(
                run.task.step.submission.record.queue
            )
        if not health.may_start_copy(run, typical_s, now):
            return False
        if run.worker.unresponsive_since is not None or run_s is None:
            return True
        pool = self._shard.pool
        if pool.measure_free_share() < health.MIN_COPY_FREE_SHARE:
            return False
        worker = pool.choose_worker(
            spec, {}, run.task.avoided, now, (), lambda w: w is not run.worker
        )
        if worker is None:
            return False
        copy = execution.Run(run.task, 0, worker, execution.Phase.STARTING, now)
        return health.is_copy_faster(
            run,
            learner.predict_on_worker(run),
            learner.predict_on_worker(copy),
            now,
        )

    def _evacuate_long_running(self, worker: fleet.Worker):
        """Stops the long-running tasks of a worker that may be missed now."""
        for run in list(worker.runs.values()):
            if health.should_evacuate(run):
                self._commands.stop(run, "upkeep")

    def _pace_fillers(self, worker: fleet.Worker, now: float):
        """Sets the share of a worker's fillers."""
        percent = self._choose_filler_percent(worker, now)
        if percent != worker.filler_percent:
            worker.filler_percent = percent
            worker.paced_at = now
        for run in worker.runs.values():
            is_filling = (
                run.spec.is_filler and run.phase is execution.Phase.RUNNING
            )
            if not is_filling or run.percent == percent:
                continue
            is_new = run.paced_percent != percent
            if is_new or now - run.paced_at > PACE_REPEAT_S:
                self._commands.pace(run, percent)

    def _choose_filler_percent(self, worker: fleet.Worker, now: float) -> int:
        """Adapts the share of fillers to the latency targets beside them."""
        if worker.unresponsive_since is not None:
            return worker.filler_percent
        if not worker.latency_sensitive_runs:
            # A run that isn't known yet may have a target.
            if worker.unknown_runs:
                return worker.filler_percent
            return pacing.FULL_PERCENT
        latency_sensitive_runs = [
            run
            for run in worker.runs.values()
            if run.spec.is_latency_sensitive and run.load is not None
        ]
        if not latency_sensitive_runs:
            return worker.filler_percent
        over_target_s = max(
            0.0
            if run.over_target_since is None
            else now - run.over_target_since
            for run in latency_sensitive_runs
        )
        tail_share = max(
            run.load / run.spec.target_ms for run in latency_sensitive_runs
        )
        return pacing.choose_filler_percent(
            worker.filler_percent,
            over_target_s,
            tail_share,
            now - worker.paced_at,
        )

    def _stop_for_drain(self, worker: fleet.Worker, now: float):
        for run in list(worker.runs.values()):
            if health.should_stop_for_drain(run, worker, now):
                self._commands.stop(run, "worker_draining")

    async def _remove_expired(self):
        """Removes the rows of submissions whose retention time is over."""
        shard = self._shard
        retention_s = self._node.settings.bounds.status_s + RETENTION_SLACK_S
        now = clock.read_clock()
        old = [
            submission.id
            for submission in shard.submissions.values()
            if submission.stored_at is not None
            and now - submission.stored_at > retention_s
        ]
        for part in persistence.list_partitions():
            ids = [i for i in old if persistence.find_partition(i) == part][
                : persistence.ROWS_PER_COMMIT
            ]
            if ids:
                await self._remove(part, ids)

    async def _remove(self, part: str, ids: list[str]):
        result = await self._node.store.commit(
            part, [], [], [(persistence.SUBMISSION_TABLE, i) for i in ids]
        )
        if not isinstance(result, platform_store.Committed):
            return
        known = self._shard.submissions
        keys = list(ids)
        for submission_id in ids:
            keys += known.pop(submission_id).stored_blocks
        size = persistence.ROWS_PER_COMMIT
        for first in range(0, len(keys), size):
            await self._node.store.commit(
                self._shard.service,
                [],
                [],
                [
                    (progressrows.PROGRESS_TABLE, key)
                    for key in keys[first : first + size]
                ],
            )
