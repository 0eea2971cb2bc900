"""Looks after a shard: what time alone changes."""

import asyncio

import msgspec

from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import pacing
from persimmonpath_entry.engine import orders as order_calls
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock

TICK_S = 0.2
FEED_S = 1.0
REMOVE_OLD_S = 20.0
# Rows of ended submissions are removed some time after callers may ask.
KEEP_SLACK_S = 60.0
SERVER_TABLE = "servers"
SERVER_POLL_S = 0.7


class Care:
    """Looks after a shard."""

    def __init__(
        self,
        shard: shards.Shard,
        orders: order_calls.Orders,
    ):
        self._shard = shard
        self._node = shard.node
        self._orders = orders
        self._feed_version = 0

    async def load(self) -> bool:
        """Reads the submissions of the service and their progress."""
        store = self._node.store
        rows = await self._read_submissions()
        if isinstance(rows, platform_store.Refused):
            return False
        progress = await store.read_all(
            persistence.PROGRESS_TABLE, self._shard.service
        )
        if isinstance(progress, platform_store.Refused):
            return False
        known = {
            row.key: msgspec.json.decode(
                row.value, type=submissions.ProgressRecord
            )
            for row in progress.rows
        }
        for row in rows.rows:
            self._take_row(row, known.get(row.key))
        self._feed_version = rows.version
        return True

    async def _read_submissions(self):
        """Reads all partitions; the version is that of the first one."""
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

    def _take_row(self, row, progress=None):
        if row.is_deleted:
            return
        try:
            record = msgspec.json.decode(
                row.value, type=submissions.SubmissionRecord
            )
        except msgspec.MsgspecError as error:
            self._node.log.warn("row_unreadable", row=row.key, reason=error)
            return
        if record.service == self._shard.service:
            self._shard.take_submission(row.key, record, progress, row.version)

    async def follow_submissions(self):
        """Takes in what peers didn't tell: new submissions and cancels."""
        while self._shard.is_open:
            result = await self._node.store.follow(
                persistence.SUBMISSION_TABLE, self._feed_version, 0
            )
            if isinstance(result, platform_store.HistoryGone):
                self._node.log.warn(
                    "history_gone",
                    table=persistence.SUBMISSION_TABLE,
                    version=self._feed_version,
                )
                result = await self._read_submissions()
            if isinstance(result, platform_store.Rows):
                for row in result.rows:
                    self._take_row(row)
                self._feed_version = result.version
                if result.has_more:
                    continue
            await asyncio.sleep(FEED_S)

    async def follow_workers(self):
        """Follows the registrations of workers."""
        version: int | None = None
        while self._shard.is_open:
            if version is None:
                result = await self._node.store.read_all(SERVER_TABLE, "")
            else:
                result = await self._node.store.follow(SERVER_TABLE, version, 0)
            if isinstance(result, platform_store.HistoryGone):
                version = None
                continue
            if isinstance(result, platform_store.Rows):
                if version is None:
                    self._drop_missing({row.key for row in result.rows})
                for row in result.rows:
                    self._take_server(row)
                version = result.version
                if result.has_more:
                    continue
            await asyncio.sleep(SERVER_POLL_S)

    def _drop_missing(self, listed: set[str]):
        for worker_id in list(self._shard.workers):
            if worker_id not in listed:
                self._shard.roster.drop_registration(worker_id)

    def _take_server(self, row: platform_store.Row):
        if row.is_deleted:
            self._shard.roster.drop_registration(row.key)
            return
        registration = messages.decode_registration(row.key, row.value)
        if isinstance(registration, str):
            self._node.log.warn(
                "registration_unreadable", worker=row.key, reason=registration
            )
            self._shard.roster.drop_registration(row.key)
            return
        if registration.service == self._shard.service:
            self._shard.roster.take_registration(registration)
        else:
            self._shard.roster.drop_registration(row.key)

    async def run(self):
        """Ticks until the shard is closed."""
        last_removal = clock.read_clock()
        while self._shard.is_open:
            await asyncio.sleep(TICK_S)
            now = clock.read_clock()
            self._settle_unsettled(now)
            for submission in list(self._shard.timed.values()):
                self._shard.open_occurrences(submission)
            for worker in list(self._shard.workers.values()):
                self._look_after(worker, now)
            if now - last_removal > REMOVE_OLD_S:
                last_removal = now
                await self._remove_old()

    def _settle_unsettled(self, now: float):
        for worker_id, deadline in list(self._shard.unsettled.items()):
            if now > deadline:
                self._shard.unsettled.pop(worker_id)
                self._node.log.warn("former_worker_settled", worker=worker_id)
                self._shard.request_schedule()

    def _look_after(self, worker: fleet.Worker, now: float):
        is_silent = worker.silent_since is not None
        if is_silent and worker.runs and now > worker.bound_lease_end():
            self._shard.roster.lose_worker(worker, "lease ended")
        if is_silent and not worker.is_listed and not worker.runs:
            self._shard.roster.forget_worker(worker)
            return
        if worker.registration.is_draining:
            self._empty(worker, now)
        if worker.empty_until > now:
            self._move_lasting(worker)
        if worker.fillers and worker.serving:
            self._pace(worker, now)
        for run in list(worker.runs.values()):
            usual_s = self._shard.endings.find_usual_length(
                run.task.step.submission.record.queue
            )
            if health.may_have_copy(run, usual_s, now):
                self._shard.request_copy(run.task)
            if health.is_standing_still(run, now):
                worker.recent_failures += 1
                self._node.log.warn(
                    "run_stands_still",
                    task=run.task.name,
                    run=run.number,
                    worker=worker.id,
                    idle_s=now - run.idle_since,
                )
                run.task.avoided.add(worker.id)
                self._orders.stop(run, "stands_still")

    def _move_lasting(self, worker: fleet.Worker):
        """Moves lasting tasks off a worker, as many as may be missed."""
        for run in list(worker.runs.values()):
            if health.is_to_move(run):
                self._orders.stop(run, "upkeep")

    def _pace(self, worker: fleet.Worker, now: float):
        """Has fillers give way to what serves beside them."""
        serving = [
            run
            for run in worker.runs.values()
            if run.spec.target_ms and run.load is not None
        ]
        if not serving:
            return
        over_s = max(
            0.0
            if run.over_target_since is None
            else now - run.over_target_since
            for run in serving
        )
        tail_share = max(run.load / run.spec.target_ms for run in serving)
        percent = pacing.choose_percent(
            worker.filler_percent, over_s, tail_share, now - worker.paced_at
        )
        if percent != worker.filler_percent:
            worker.filler_percent = percent
            worker.paced_at = now
        for run in worker.runs.values():
            is_filling = run.spec.is_filler and run.phase is work.Phase.RUNNING
            if is_filling and run.percent != percent:
                self._orders.pace(run, percent)

    def _empty(self, worker: fleet.Worker, now: float):
        for run in list(worker.runs.values()):
            if health.is_to_leave(run, worker, now):
                self._orders.stop(run, "worker_draining")

    async def _remove_old(self):
        """Removes the rows of submissions that ended long ago."""
        shard = self._shard
        keep_s = self._node.settings.bounds.status_s + KEEP_SLACK_S
        now = clock.read_clock()
        old = [
            submission.id
            for submission in shard.submissions.values()
            if submission.stored_at is not None
            and now - submission.stored_at > keep_s
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
        await self._node.store.commit(
            self._shard.service,
            [],
            [],
            [(persistence.PROGRESS_TABLE, i) for i in ids],
        )
        for submission_id in ids:
            self._shard.submissions.pop(submission_id, None)
