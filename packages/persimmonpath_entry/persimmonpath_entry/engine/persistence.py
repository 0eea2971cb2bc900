"""Rows of a shard in the store: submissions, progress and the owner row.

The owner of a service writes its progress and renews its ownership in the same
transactions.
"""

import asyncio
import dataclasses
import itertools
import math
import time

import msgspec

from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock

OWNER_TABLE = "owner"
OWNER_KEY = "owner"
PROGRESS_TABLE = "progress"
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
ROWS_PER_COMMIT = 80
# The horizon is stored this far ahead, in seconds of the store's transactions,
# so that a new submission needn't wait for a write before its tasks start. The
# next owner takes all submissions within it for started ones.
HORIZON_LEAD_S = 0.5
# Shortest time in seconds over which the rate of transactions is measured.
MIN_RATE_SPAN_S = 0.3
# The store refuses rows over 64 KB. If the owner row were refused, the
# ownership could not be renewed and would be lost.
MAX_OWNER_BYTES = 48_000


class OwnerRecord(msgspec.Struct, omit_defaults=True):
    """The owner row of a service.

    Attributes:
      owner: name of the owner VM, empty if the service has no owner.
      boot: id of the incarnation of the owner process.
      address: address at which peers reach the owner.
      workers: addresses of the workers that may run tasks of the service, by
        worker id; the address is empty for a worker of a former owner that has
        not answered this one.
      unresponsive: names of the tasks that may run on an unresponsive worker,
        by worker id; after a release, on any worker. Nothing else can run on a
        worker named here, as the owner starts nothing on it until it has stored
        that the worker answers again. Stored under the name "silent".
      sequence: number of the write in this incarnation of the owner.
      horizon: newest version of a submission whose tasks an owner may have
        started, None if unknown.
      renewed_ms: upper bound of the store's clock at this renewal, in
        milliseconds, 0 if unknown.
      lease_ends: time on the store's clock, in milliseconds, by which the last
        task lease on each unresponsive worker has ended, by worker id. The
        owner extends no lease there until it has stored that the worker answers
        again.
    """

    owner: str = ""
    boot: str = ""
    address: str = ""
    workers: dict[str, str] = {}
    unresponsive: dict[str, list[str]] = msgspec.field(
        default_factory=dict, name="silent"
    )
    sequence: int = 0
    horizon: int | None = None
    renewed_ms: int = 0
    lease_ends: dict[str, int] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """The content of a transaction, as of the moment at which it was built.

    Attributes:
      batch: the submissions whose progress is written.
      states: the states that are written for them, in the same order.
      covers_all: whether all progress not yet stored is written.
      processed_ends: start time of each worker's incarnation and number of its
        last processed run end, by worker id.
      recorded_workers: workers that may get tasks once the write is stored.
    """

    batch: list[execution.Submission]
    states: list[str]
    covers_all: bool
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
        self._versions_per_s = 0.0
        self._horizon = 0
        # A version of the store and when it was the newest one.
        self._rate_start: tuple[int, float] | None = None
        self._sequence = 0
        self._on_stored = on_stored
        self._is_releasing = False
        self._flush_requested = asyncio.Event()
        self.release_done = asyncio.Event()
        self._failed_since: float | None = None

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
                if self._is_releasing and not shard.dirty:
                    await self._release()
                    return
                await self._pause()
            else:
                shard.store_requested.set()
                await asyncio.sleep(RETRY_S)

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

    def _encode_owner(
        self, owner: str, sent_at: float, covers_all: bool = True
    ) -> tuple[bytes, OwnerRecord]:
        """Builds the owner row of the next write.

        Args:
          owner: name of the owner VM, empty to release the service.
          sent_at: monotonic time in seconds from which the renewal counts.
          covers_all: whether the same write stores all progress. Otherwise the
            tasks of unresponsive workers are left out, since tasks that ended
            there could not be told from running ones.

        Returns:
          The row encoded as JSON, and the record.
        """
        self._sequence += 1
        shard = self._shard
        recorded_workers = self._list_recorded_workers(is_leaving=not owner)
        record = OwnerRecord(
            owner,
            self._node.boot,
            self._node.peer_address,
            {w.id: w.registration.address for w in recorded_workers},
            sequence=self._sequence,
            horizon=self._choose_horizon(),
            renewed_ms=bound_store_ms(self._node.store.clock, sent_at),
            lease_ends=self._list_lease_ends(recorded_workers),
        )
        if covers_all:
            # An owner that releases the service starts nothing more, so the
            # list of possible tasks is complete for responsive workers too.
            record.unresponsive = {
                w.id: _list_possible_tasks(w)
                for w in recorded_workers
                if not owner or not _is_responsive(w)
            }
        for worker_id in shard.unsettled:
            record.workers.setdefault(worker_id, "")
            unsettled_tasks = shard.unsettled_tasks.get(worker_id)
            if (
                unsettled_tasks is not None
                and worker_id not in record.unresponsive
            ):
                record.unresponsive[worker_id] = sorted(unsettled_tasks)
        value = msgspec.json.encode(record)
        if len(value) > MAX_OWNER_BYTES:
            record.unresponsive = {}
            value = msgspec.json.encode(record)
        return value, record

    def _choose_horizon(self) -> int:
        """Returns the horizon of the next write, never below a former one.

        Tasks may have been started up to any horizon that was stored, also when
        the store has become slower since.
        """
        lead = math.ceil(self._versions_per_s * HORIZON_LEAD_S)
        self._horizon = max(self._horizon, self._shard.newest_version)
        if lead:
            self._horizon = max(self._horizon, self._version + lead)
        return self._horizon

    def _measure_rate(self, version: int, now: float):
        """Updates the rate at which the store's version increases."""
        if self._rate_start is None:
            self._rate_start = (version, now)
            return
        start_version, start = self._rate_start
        if now - start >= MIN_RATE_SPAN_S:
            self._versions_per_s = (version - start_version) / (now - start)
            self._rate_start = (version, now)

    def _list_lease_ends(
        self, recorded_workers: list[fleet.Worker]
    ) -> dict[str, int]:
        """Returns when the leases on unresponsive workers will have ended.

        Returns:
          Milliseconds on the store's clock by worker id; empty while that clock
          is unknown.
        """
        store_clock = self._node.store.clock
        if store_clock is None:
            return {}
        ends = {
            w.id: store_clock.bound_ms(w.bound_lease_end())
            for w in recorded_workers
            if not _is_responsive(w) and w.is_fenced
        }
        for worker_id, deadline in self._shard.unsettled.items():
            ends[worker_id] = store_clock.bound_ms(deadline)
        return ends

    def _list_recorded_workers(self, is_leaving: bool) -> list[fleet.Worker]:
        """Returns the workers that a new owner has to query for running tasks.

        Clears is_recorded of workers that must not get tasks before the next
        stored write.

        Args:
          is_leaving: whether this owner starts nothing more, so that workers
            without runs are left out.
        """
        now = clock.read_clock()
        recorded = []
        for worker in self._shard.workers.values():
            has_no_runs = not worker.runs and not worker.unknown_runs
            has_expired = (
                worker.unresponsive_since is not None
                and now > worker.bound_lease_end()
            )
            if not _is_responsive(worker):
                worker.is_recorded = False
            if has_no_runs and (is_leaving or has_expired):
                worker.is_recorded = False
            else:
                recorded.append(worker)
        return recorded

    async def _write(self) -> bool:
        """Stores progress and renews the ownership in one transaction.

        Returns:
          Whether the store has committed it. If not, the progress is marked for
          storing again.
        """
        shard = self._shard
        write = self._begin_write()
        rows = [
            (PROGRESS_TABLE, s.id, msgspec.json.encode(s.progress))
            for s in write.batch
        ]
        sent_at = clock.read_clock()
        owner_row, owner = self._encode_owner(
            self._node.name, sent_at, write.covers_all
        )
        rows.append((OWNER_TABLE, OWNER_KEY, owner_row))
        # Even if no answer arrives the row may have been stored, and a new
        # owner relies on the lease ends in it.
        shard.frozen_leases |= owner.lease_ends.keys()
        result = await self._node.store.commit(
            shard.service,
            [(OWNER_TABLE, OWNER_KEY, self._version)],
            rows,
        )
        if not self._handle_result(result, sent_at):
            for submission in write.batch:
                shard.dirty[submission.id] = submission
            return False
        shard.frozen_leases = set(owner.lease_ends)
        shard.extend_horizon(owner.horizon)
        self._finish_write(write)
        self._on_stored()
        return True

    def _begin_write(self) -> "_Write":
        """Removes a batch from the dirty submissions and returns the write."""
        shard = self._shard
        batch = list(itertools.islice(shard.dirty.values(), ROWS_PER_COMMIT))
        covers_all = len(batch) == len(shard.dirty)
        for submission in batch:
            shard.dirty.pop(submission.id, None)
        return _Write(
            batch,
            [submission.progress.state for submission in batch],
            covers_all,
            {w.id: (w.born, w.processed) for w in shard.workers.values()},
            [
                w
                for w in self._list_recorded_workers(is_leaving=False)
                if _is_responsive(w)
            ],
        )

    def _finish_write(self, write: "_Write"):
        """Applies a stored write to the shard.

        Run ends are acknowledged to their workers only after a write that
        covers all progress, since the effect of an end may be in any part.
        """
        shard = self._shard
        now = clock.read_clock()
        for submission, state in zip(write.batch, write.states, strict=True):
            shard.record_stored_state(submission, state, now)
        for worker in write.recorded_workers:
            if not worker.is_recorded and _is_responsive(worker):
                worker.is_recorded = True
                shard.request_schedule()
        if not write.covers_all:
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
            self._measure_rate(result.version, now)
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

    def _handle_conflict(self, conflict: platform_store.Conflict):
        """Adopts the version of an own late write, or closes the shard.

        The conflicting row is this process's own if the store applied an
        earlier write whose answer was lost.
        """
        for row in conflict.rows:
            if row.table != OWNER_TABLE or not row.value:
                continue
            record = rowcodec.decode_row(self._node, row, OwnerRecord)
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
        row, _ = self._encode_owner("", clock.read_clock())
        result = await self._node.store.commit(
            self._shard.service,
            [(OWNER_TABLE, OWNER_KEY, self._version)],
            [(OWNER_TABLE, OWNER_KEY, row)],
        )
        self._node.log.warn(
            "ownership_released",
            service=self._shard.service,
            outcome=type(result).__name__,
        )
        self._shard.close("released")
        self.release_done.set()


def bound_store_ms(
    store_clock: platform_store.StoreClock | None, moment: float
) -> int:
    """Returns an upper bound of the store's clock.

    Args:
      store_clock: the estimate of the store's clock, None if unknown.
      moment: monotonic time in seconds.

    Returns:
      Milliseconds, 0 if the store's clock is unknown.
    """
    return 0 if store_clock is None else store_clock.bound_ms(moment)


def _is_responsive(worker: fleet.Worker) -> bool:
    """Returns whether a worker answers; only then may it get tasks."""
    return worker.unresponsive_since is None


def _list_possible_tasks(worker: fleet.Worker) -> list[str]:
    """Returns the names of the tasks that may run on a worker, sorted."""
    names = [name for name, _ in (*worker.runs, *worker.unknown_runs)]
    return sorted(set(names))


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
