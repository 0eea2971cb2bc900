"""Rows of a shard in the store: submissions and progress.

The owner of a service writes its progress and renews its ownership in the same
transactions.
"""

import asyncio
import dataclasses
import time

import msgspec

from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import progressrows
from persimmonpath_entry.engine import refusedrows
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock

SUBMISSION_TABLE = "submission"
# The store runs the transactions of a partition one after another. With 32
# partitions a peak load of about 60 submissions a second is still accepted
# while the store is fifty times slower than usual and a partition completes
# only four transactions a second.
SUBMISSION_PARTITIONS = 32

RENEWAL_INTERVAL_S = 0.8
# Length of the ownership lease, counted from the last renewal. After it the
# owner starts no task; another VM may take the shard over TAKEOVER_SLACK_S
# later.
LEASE_S = 2.5
TAKEOVER_SLACK_S = 0.3
# The owner renews the leases of running tasks for this long after the last
# renewal of its ownership. A task lease lasts some seconds more, so that a
# short outage of the store ends no task.
HOLD_S = 3.0
# Pause after a transaction, so that the next one covers several changes.
WRITE_PAUSE_S = 0.03
RETRY_S = 0.12
# Limits of one transaction. The store takes 1 MB of base64 text and 100
# entries, which count the rows of the owner and the expected version as well.
ROWS_PER_COMMIT = 80
BYTES_PER_COMMIT = 400_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """The content of a transaction, as of the moment at which it was built.

    Attributes:
      progress: the rows of progress.
      processed_ends: start time of each worker's incarnation and number of its
        last processed run end, by worker id.
      recorded_workers: workers that may get tasks once the write is stored.
    """

    progress: progressrows.ProgressBatch
    processed_ends: dict[str, tuple[int, int]]
    recorded_workers: list[fleet.Worker]


class ShardWriter:
    """Writes the progress and the owner row of one shard.

    Only the owner has one. Each transaction expects the version of the owner
    row that its own last write has left, so that a replaced owner can't write.

    Attributes:
      release_done: set once the ownership has been released.
    """

    def __init__(self, shard: shards.Shard, version: int, on_stored):
        """Creates the writer of an owned shard.

        Args:
          shard: the shard.
          version: version of the owner row that took the ownership.
          on_stored: called without arguments after each stored write.
        """
        self._shard = shard
        self._node = shard.node
        self._version = version
        self._horizon = ownerrows.Horizon()
        # The workers row that the store holds, None if that isn't known.
        self._stored_workers: bytes | None = None
        self._sequence = 0
        self._on_stored = on_stored
        self._is_releasing = False
        self._flush_requested = asyncio.Event()
        self.release_done = asyncio.Event()
        self._failed_since: float | None = None
        self._isolation = refusedrows.RefusalIsolation()
        self._max_workers_bytes = min(
            ownerrows.MAX_WORKERS_BYTES, shard.node.max_row_bytes
        )

    def extend_lease(self, sent_at: float):
        """Extends the lease, counted from the sending of a renewal.

        Args:
          sent_at: monotonic time in seconds at which the renewal was sent.
        """
        self._shard.lease_until = sent_at + LEASE_S
        self._shard.extend_leases_until = sent_at + HOLD_S

    async def run(self):
        """Writes changes and renewals until the shard is closed."""
        shard = self._shard
        next_renewal = clock.read_clock() + RENEWAL_INTERVAL_S
        while shard.is_open:
            remaining_s = next_renewal - clock.read_clock()
            if remaining_s > 0 and not self._is_releasing:
                try:
                    async with asyncio.timeout(remaining_s):
                        await shard.store_requested.wait()
                except TimeoutError:
                    pass
            shard.store_requested.clear()
            stored = await self._write()
            if stored:
                next_renewal = clock.read_clock() + RENEWAL_INTERVAL_S
                if self._has_more():
                    shard.store_requested.set()
                elif self._is_releasing:
                    await self._release()
                    return
                await self._pause()
            else:
                shard.store_requested.set()
                await asyncio.sleep(RETRY_S)

    def _has_more(self) -> bool:
        """Returns whether progress is left for a further transaction."""
        return self._isolation.has_writable(
            self._shard.dirty, clock.read_clock()
        )

    def request_flush(self):
        """Skips the pause before the next write, as a caller waits for it."""
        self._flush_requested.set()

    async def _pause(self):
        """Waits so that changes share a write, unless a flush is requested."""
        try:
            async with asyncio.timeout(WRITE_PAUSE_S):
                await self._flush_requested.wait()
        except TimeoutError:
            pass
        self._flush_requested.clear()

    def _build_owner(self, owner: str, sent_at: float) -> ownerrows.OwnerRecord:
        """Builds the owner row of the next write.

        Args:
          owner: name of the owner VM, empty to release the service.
          sent_at: monotonic time in seconds from which the renewal counts.
        """
        self._sequence += 1
        return ownerrows.OwnerRecord(
            owner,
            self._node.boot,
            self._node.peer_address,
            self._sequence,
            self._horizon.choose(self._shard.newest_version, self._version),
            ownerrows.bound_store_ms(self._node.store.clock, sent_at),
            {p: round(wait_s, 1) for p, wait_s in self._shard.waits.items()},
            self._shard.fair_shares.waits,
        )

    async def _commit(
        self,
        owner: ownerrows.OwnerRecord,
        workers: ownerrows.WorkersRecord,
        progress: progressrows.ProgressBatch,
    ):
        """Writes progress together with the owner row and a new workers row.

        The workers row is left out if the store holds it already. A write
        without an answer may have stored it, so that it is written again then.

        Returns:
          The result of the transaction.
        """
        value = ownerrows.encode_workers(workers, self._max_workers_bytes)
        table = progressrows.PROGRESS_TABLE
        rows = [
            *((table, key, row) for key, row in progress.put),
            (
                ownerrows.OWNER_TABLE,
                ownerrows.OWNER_KEY,
                msgspec.json.encode(owner),
            ),
        ]
        has_workers = value != self._stored_workers
        if has_workers:
            self._stored_workers = None
            rows.append((ownerrows.WORKERS_TABLE, ownerrows.WORKERS_KEY, value))
        progressrows.record_sent(progress)
        result = await self._node.store.commit(
            self._shard.service,
            [(ownerrows.OWNER_TABLE, ownerrows.OWNER_KEY, self._version)],
            rows,
            [(table, key) for key in progress.remove],
        )
        if isinstance(result, platform_store.Committed):
            self._stored_workers = value
            progressrows.record_stored(progress)
            self._isolation.record_stored(progress)
        elif isinstance(result, platform_store.Refused) and result.is_final:
            self._handle_refusal(progress, result, has_workers)
        return result

    async def _write(self) -> bool:
        """Stores progress and renews the ownership in one transaction.

        Returns:
          Whether the store has committed it. If not, the progress is marked for
          storing again.
        """
        shard = self._shard
        write = self._begin_write()
        progress = write.progress
        sent_at = clock.read_clock()
        owner = self._build_owner(self._node.name, sent_at)
        workers = ownerrows.build_workers(shard, covers_all=progress.covers_all)
        # Even if no answer arrives the row may have been stored, and a new
        # owner relies on the lease ends in it.
        shard.frozen_leases |= workers.lease_ends.keys()
        result = await self._commit(owner, workers, progress)
        if not self._handle_result(result, sent_at):
            for submission in progress.submissions:
                shard.dirty[submission.id] = submission
            return False
        shard.frozen_leases = set(workers.lease_ends)
        shard.extend_horizon(owner.horizon)
        self._finish_write(write)
        self._on_stored()
        return True

    def _begin_write(self) -> "_Write":
        """Removes a batch from the dirty submissions and returns the write."""
        shard = self._shard
        builder = progressrows.BatchBuilder(
            self._node.max_row_bytes, ROWS_PER_COMMIT, BYTES_PER_COMMIT
        )
        for submission in self._isolation.choose(
            shard.dirty, clock.read_clock()
        ):
            if not builder.add(submission):
                break
        progress = builder.batch
        for submission in progress.submissions:
            del shard.dirty[submission.id]
        progress.covers_all = not shard.dirty
        return _Write(
            progress,
            {w.id: (w.born, w.processed) for w in shard.workers.values()},
            [
                w
                for w in ownerrows.list_recorded_workers(shard)
                if ownerrows.is_responsive(w)
            ],
        )

    def _finish_write(self, write: "_Write"):
        """Applies a stored write to the shard.

        Run ends are acknowledged to their workers only after a write that
        covers all progress, since the effect of an end may be in any part.
        """
        shard = self._shard
        now = clock.read_clock()
        progress = write.progress
        for submission, state in zip(
            progress.submissions, progress.states, strict=True
        ):
            shard.record_stored_state(submission, state, now)
        for worker in write.recorded_workers:
            if not worker.is_recorded and ownerrows.is_responsive(worker):
                worker.is_recorded = True
                shard.request_schedule()
        if not progress.covers_all:
            return
        for worker in shard.workers.values():
            born, processed = write.processed_ends.get(worker.id, (None, 0))
            if worker.born == born:
                worker.last_seen = max(worker.last_seen, processed)

    def _handle_result(self, result, sent_at: float) -> bool:
        shard = self._shard
        now = clock.read_clock()
        if isinstance(result, platform_store.Committed):
            self._version = result.version
            self._horizon.record_version(result.version, now)
            self.extend_lease(sent_at)
            if self._failed_since is not None:
                self._node.log.warn(
                    "store_back",
                    service=shard.service,
                    away_s=now - self._failed_since,
                )
                self._failed_since = None
                shard.request_schedule()
            return True
        if isinstance(result, platform_store.Conflict):
            self._handle_conflict(result)
            return False
        if self._failed_since is None:
            self._failed_since = sent_at
            self._node.log.warn(
                "store_lost",
                service=shard.service,
                reason=getattr(result, "reason", None)
                or getattr(result, "status", ""),
                lease_left_s=shard.lease_until - now,
            )
        return False

    def _handle_refusal(
        self,
        progress: progressrows.ProgressBatch,
        refusal: platform_store.Refused,
        has_workers: bool,
    ):
        """Finds out which row the store has refused and does without it."""
        submission_id = self._isolation.record_refusal(progress, has_workers)
        self._node.log.warn(
            "rows_refused",
            service=self._shard.service,
            status=refusal.status,
            rows=len(progress.put) + len(progress.remove),
            id=submission_id or "",
        )
        submission = self._shard.submissions.get(submission_id)
        if submission is not None:
            self._give_up_rows(submission)
        elif has_workers and not progress.ids:
            self._max_workers_bytes //= 2

    def _give_up_rows(self, submission: execution.Submission):
        """Stores less of a submission whose rows the store has refused.

        Its checkpoints are left out first. If they aren't the cause, it can't
        be continued by another owner and fails.
        """
        if submission.stores_checkpoints and submission.progress.saved:
            submission.stores_checkpoints = False
        elif submission.is_active:
            self._shard.end_submission(submission, submissions.FAILED)
        else:
            self._isolation.set_aside(submission.id, clock.read_clock())

    def _handle_conflict(self, conflict: platform_store.Conflict):
        """Adopts the version of an own late write, or closes the shard.

        The conflicting row is this process's own if the store applied an
        earlier write whose answer was lost.
        """
        for row in conflict.rows:
            if row.table != ownerrows.OWNER_TABLE or not row.value:
                continue
            record = rowcodec.decode_row(self._node, row, ownerrows.OwnerRecord)
            if record is None:
                break
            is_own = record.owner == self._node.name
            if is_own and record.boot == self._node.boot:
                self._version = row.version
                return
            self._shard.close(f"owner is now {record.owner or 'nobody'}")
            return
        self._shard.close("no readable owner row")

    def release(self):
        """Starts the release of the ownership, after a last write.

        Sets release_done once the owner row has been released.
        """
        self._is_releasing = True
        self._shard.store_requested.set()

    async def _release(self):
        # A task started from here on would be missing in the row.
        self._shard.is_leaving = True
        result = await self._commit(
            self._build_owner("", clock.read_clock()),
            ownerrows.build_workers(self._shard, is_leaving=True),
            progressrows.ProgressBatch(),
        )
        self._node.log.warn(
            "ownership_released",
            service=self._shard.service,
            outcome=type(result).__name__,
        )
        self._shard.close("released")
        self.release_done.set()


def find_partition(submission_id: str) -> str:
    """Returns the store partition of a submission.

    Args:
      submission_id: hexadecimal id; its last two digits choose the partition.
    """
    return f"s{int(submission_id[-2:], 16) % SUBMISSION_PARTITIONS}"


def list_partitions() -> list[str]:
    """Returns the store partitions that hold submissions."""
    return [f"s{number}" for number in range(SUBMISSION_PARTITIONS)]


def read_unix_ms() -> int:
    """Returns the time of day in milliseconds since the Unix epoch."""
    return int(time.time() * 1000)
