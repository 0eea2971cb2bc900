"""Stores the progress of a shard and renews its ownership."""

import asyncio
import dataclasses
import itertools
import time

import msgspec

from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock

OWNER_TABLE = "owner"
OWNER_KEY = "owner"
PROGRESS_TABLE = "progress"
SUBMISSION_TABLE = "submission"
# A partition carries its transactions one after another. Acceptance at a crest,
# about 60 a second, goes on over this number while the store is fifty times
# slower than usual and a partition carries four a second.
SUBMISSION_PARTITIONS = 32

RENEWAL_INTERVAL_S = 0.8
# Orders to start stop this long after the last renewal; others may take the
# shard over a little later.
LEASE_S = 2.5
TAKEOVER_SLACK_S = 0.3
# Leases of tasks are renewed this long after the last renewal. Each goes on for
# some seconds more, so that a short outage of the store ends no task.
HOLD_S = 3.0
# Least time between two transactions, which gathers what happens meanwhile.
MIN_WRITE_PAUSE_S = 0.03
RETRY_S = 0.12
ROWS_PER_COMMIT = 80
# The store takes rows of 64 KB. A longer row would end the ownership.
MAX_OWNER_BYTES = 48_000


class OwnerRecord(msgspec.Struct, omit_defaults=True):
    """Who owns a service.

    Attributes:
      owner: name of the VM, empty if nobody does.
      boot: the life of its process.
      address: where peers reach it.
      workers: addresses of the workers that may run its tasks, by id.
      unresponsive: tasks that may run on workers that don't answer, by id.
        Nothing else can run there, as the owner starts nothing on them until it
        has stored that they answer again.
      sequence: number of the write in the owner's life.
      horizon: newest version of a submission that an owner may have started
        tasks of, None if that isn't known.
      renewed_ms: the store's clock at this renewal at most, 0 if unknown.
      lease_ends: the store's clock at which the last lease on a worker that
        doesn't answer has ended, by id. The owner extends none there before it
        has stored that the worker answers again.
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
    """What a write covers.

    Attributes:
      batch: the submissions whose progress it carries.
      states: their states in it.
      covers_all: whether it carries all progress that wasn't stored.
      processed_ends: the life of each worker and its last end that was taken
        in.
      recorded_workers: workers that may get tasks once it is stored.
    """

    batch: list[work.Submission]
    states: list[str]
    covers_all: bool
    processed_ends: dict[str, tuple[int, int]]
    recorded_workers: list[fleet.Worker]


class ShardWriter:
    """The one writer of a shard's rows."""

    def __init__(self, shard: shards.Shard, version: int, on_stored):
        self._shard = shard
        self._node = shard.node
        self._version = version
        self._sequence = 0
        self._on_stored = on_stored
        self._is_releasing = False
        self._flush_requested = asyncio.Event()
        self.release_done = asyncio.Event()
        self._failed_since: float | None = None

    def extend_lease(self, sent_at: float):
        """Extends the lease from the moment a renewal was sent."""
        self._shard.lease_until = sent_at + LEASE_S
        self._shard.hold_until = sent_at + HOLD_S

    async def run(self):
        """Writes until the shard is closed."""
        shard = self._shard
        next_renewal = clock.read_clock() + RENEWAL_INTERVAL_S
        while shard.is_open:
            left = next_renewal - clock.read_clock()
            if left > 0 and not self._is_releasing:
                try:
                    async with asyncio.timeout(left):
                        await shard.on_dirty.wait()
                except TimeoutError:
                    pass
            shard.on_dirty.clear()
            stored = await self._write()
            if stored:
                next_renewal = clock.read_clock() + RENEWAL_INTERVAL_S
                if self._is_releasing and not shard.dirty:
                    await self._release()
                    return
                await self._pause()
            else:
                shard.on_dirty.set()
                await asyncio.sleep(RETRY_S)

    def request_flush(self):
        """Has what is known stored now, as a caller waits for it."""
        self._flush_requested.set()

    async def _pause(self):
        """Lets changes gather for a while, unless a caller waits for one."""
        try:
            async with asyncio.timeout(MIN_WRITE_PAUSE_S):
                await self._flush_requested.wait()
        except TimeoutError:
            pass
        self._flush_requested.clear()

    def _encode_owner(
        self, owner: str, sent_at: float, covers_all: bool = True
    ) -> tuple[bytes, OwnerRecord]:
        """Returns the owner row, encoded and as it is.

        Args:
          owner: name of the VM, empty to release the service.
          sent_at: the moment from which the renewal counts.
          covers_all: whether the same write stores all progress. Else the tasks
            of silent workers aren't told apart from those that ended there.
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
            horizon=shard.newest_version,
            renewed_ms=bound_store_ms(self._node.store.clock, sent_at),
            lease_ends=self._list_lease_ends(recorded_workers),
        )
        if covers_all:
            # An owner that leaves starts nothing any more, so the tasks on
            # every worker are known.
            record.unresponsive = {
                w.id: _list_possible_tasks(w)
                for w in recorded_workers
                if not owner or not _is_responsive(w)
            }
        for worker_id in shard.unsettled:
            record.workers.setdefault(worker_id, "")
            suspects = shard.suspects.get(worker_id)
            if suspects is not None and worker_id not in record.unresponsive:
                record.unresponsive[worker_id] = sorted(suspects)
        value = msgspec.json.encode(record)
        if len(value) > MAX_OWNER_BYTES:
            record.unresponsive = {}
            value = msgspec.json.encode(record)
        return value, record

    def _list_lease_ends(
        self, recorded_workers: list[fleet.Worker]
    ) -> dict[str, int]:
        """Returns when the leases on workers that don't answer have ended."""
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
        """Returns the workers that a new owner has to ask.

        Args:
          is_leaving: whether this owner starts nothing any more, so that only
            workers with runs matter.
        """
        now = clock.read_clock()
        rows = []
        for worker in self._shard.workers.values():
            is_empty = not worker.runs and not worker.strangers
            is_dead = (
                worker.silent_since is not None
                and now > worker.bound_lease_end()
            )
            if not _is_responsive(worker):
                worker.is_recorded = False
            if is_empty and (is_leaving or is_dead):
                worker.is_recorded = False
            else:
                rows.append(worker)
        return rows

    async def _write(self) -> bool:
        """Stores progress and renews; returns whether the store has done so."""
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
        # Without an answer the row may be in the store all the same.
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
        """Takes what is to be stored and notes what it covers."""
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
        """Takes note that the store holds a write."""
        shard = self._shard
        now = clock.read_clock()
        for submission, state in zip(write.batch, write.states, strict=True):
            shard.note_stored(submission, state, now)
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
        """Goes on if an own write without an answer came in between."""
        for row in conflict.rows:
            if row.table != OWNER_TABLE or not row.value:
                continue
            record = msgspec.json.decode(row.value, type=OwnerRecord)
            is_own = record.owner == self._node.name
            if is_own and record.boot == self._node.boot:
                self._version = row.version
                return
            self._shard.close(f"taken over by {record.owner or 'nobody'}")
            return
        self._shard.close("owner row is gone")

    def release(self):
        """Stores what is left and gives the ownership up."""
        self._is_releasing = True
        self._shard.on_dirty.set()

    async def _release(self):
        # Whatever is started from here on would be missing in the row.
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
    """Returns what the store's clock shows at most, 0 if unknown."""
    return 0 if store_clock is None else store_clock.bound_ms(moment)


def _is_responsive(worker: fleet.Worker) -> bool:
    """Returns whether a worker answers, and so may get tasks."""
    return worker.silent_since is None


def _list_possible_tasks(worker: fleet.Worker) -> list[str]:
    """Returns the tasks that may run on a worker."""
    names = [name for name, _ in (*worker.runs, *worker.strangers)]
    return sorted(set(names))


def find_partition(submission_id: str) -> str:
    """Returns the partition of a submission."""
    return f"s{int(submission_id[-2:], 16) % SUBMISSION_PARTITIONS}"


def list_partitions() -> list[str]:
    """Returns the partitions of all submissions."""
    return [f"s{number}" for number in range(SUBMISSION_PARTITIONS)]


def read_unix_ms() -> int:
    """Returns Unix milliseconds."""
    return int(time.time() * 1000)
