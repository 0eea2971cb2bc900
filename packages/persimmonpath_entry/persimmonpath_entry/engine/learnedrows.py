"""The row that keeps what the owner of a service has learned.

The next owner reads it once, beside everything else: its decisions don't wait
for it, and do as well without it as before anything was learned. Other VMs read
it while the service is overloaded.
"""

import asyncio
from collections.abc import Callable
import itertools

import msgspec

from persimmonpath_entry.decisions import runtimes
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import numbers
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock

LEARNED_TABLE = "learned"
LEARNED_KEY = "runtimes"
# The store refuses rows over 64 KB.
MAX_LEARNED_BYTES = 48_000
# Bytes of a row beside its entries.
FIELDS_BYTES = 200
# Seconds between two writes, and between two updates of the workers' factors,
# which follow those of their kinds.
WRITE_INTERVAL_S = 5.0
REFRESH_INTERVAL_S = 1.0
# Shortest time between two reads of the row by a VM that isn't the owner.
READ_INTERVAL_S = 5.0
# Kinds of workers that get a gauge each.
MAX_GAUGES = 20

# Returns the shard of a service that this VM owns, None for others.
FindShard = Callable[[str], shards.Shard | None]


class StoredRunTime(msgspec.Struct, array_like=True):
    """What is known of a kind of work.

    Attributes:
      typical_s: median run time in seconds.
      high_s: run time in seconds that nine of ten runs don't exceed.
      typical_quotient: the same of the quotients to declared values, 0 if none
        was declared.
      high_quotient: likewise.
    """

    typical_s: numbers.Amount
    high_s: numbers.Amount
    typical_quotient: numbers.Amount = 0
    high_quotient: numbers.Amount = 0


class StoredSpeed(msgspec.Struct, array_like=True):
    """What is known of the speed of a worker, or of a kind of worker.

    Attributes:
      log: logarithm of its factor on the run time.
      count: number of runs.
      born: start time of its incarnation in Unix milliseconds, 0 for a kind.
    """

    log: float
    count: numbers.Amount
    born: numbers.Count = 0


class LearnedRecord(msgspec.Struct, omit_defaults=True):
    """The row of a service.

    Attributes:
      fence: the fencing token of the owner that has written it.
      run_times: by kind of work.
      kinds: speeds by kind of worker.
      workers: speeds by worker id.
    """

    fence: numbers.Count = 0
    run_times: dict[str, StoredRunTime] = {}
    kinds: dict[str, StoredSpeed] = {}
    workers: dict[str, StoredSpeed] = {}


def encode_learned(
    shard: shards.Shard, max_bytes: int = MAX_LEARNED_BYTES
) -> bytes:
    """Encodes the row of a shard, the most recent entries first.

    Workers that have left aren't in it. What doesn't fit is left out.

    Args:
      shard: the shard.
      max_bytes: longest row in bytes.
    """
    learner = shard.learner
    record = LearnedRecord(shard.fence, {}, {}, {})
    present = {(worker.id, worker.born) for worker in shard.workers.values()}
    entries = itertools.chain(
        (
            (record.kinds, kind, StoredSpeed(round(a.log, 3), int(a.count)))
            for kind, a in learner.speeds.list_kinds()
        ),
        _interleave(
            (
                (record.run_times, kind, _store_run_time(known))
                for kind, known in learner.run_times.list_learned()
            ),
            (
                (
                    record.workers,
                    worker_id,
                    StoredSpeed(round(a.log, 3), int(a.count), born),
                )
                for worker_id, born, a in learner.speeds.list_workers()
                if (worker_id, born) in present
            ),
        ),
    )
    left = max_bytes - FIELDS_BYTES
    for table, key, entry in entries:
        size = len(msgspec.json.encode({key: entry}))
        if size > left:
            break
        left -= size
        table[key] = entry
    return msgspec.json.encode(record)


def _interleave(first, second):
    """Yields from two iterators in turn."""
    missing = object()
    for pair in itertools.zip_longest(first, second, fillvalue=missing):
        yield from (entry for entry in pair if entry is not missing)


def _store_run_time(known: runtimes.LearnedRunTime) -> StoredRunTime:
    stored = StoredRunTime(
        round(known.seconds.typical, 4), round(known.seconds.high, 4)
    )
    if known.quotients is not None:
        stored.typical_quotient = round(known.quotients.typical, 4)
        stored.high_quotient = round(known.quotients.high, 4)
    return stored


def restore_learned(shard: shards.Shard, record: LearnedRecord):
    """Adds the content of a row to what a shard has learned.

    Values that can't be right are left out.
    """
    learner = shard.learner
    restore_run_times(learner.run_times, record)
    for kind, stored in record.kinds.items():
        average = speeds.Average(stored.log, stored.count)
        learner.speeds.restore_kind(kind, average)
    for worker_id, stored in record.workers.items():
        average = speeds.Average(stored.log, stored.count)
        learner.speeds.restore_worker(worker_id, stored.born, average)
    learner.refresh_factors()
    shard.ready_steps.rerank()


def restore_run_times(run_times: runtimes.RunTimes, record: LearnedRecord):
    """Adds the run times in a row to others."""
    for kind, stored in record.run_times.items():
        quotients = None
        if stored.typical_quotient:
            quotients = runtimes.Quantiles(
                stored.typical_quotient, stored.high_quotient
            )
        known = runtimes.LearnedRunTime(
            runtimes.MIN_SAMPLES,
            runtimes.Quantiles(stored.typical_s, stored.high_s),
            quotients,
        )
        run_times.restore(kind, known)


class LearnedRowKeeper:
    """Reads the row of a shard at a takeover and writes it while it changes."""

    def __init__(self, shard: shards.Shard):
        """Creates it; nothing is read yet.

        Args:
          shard: the shard.
        """
        self._shard = shard
        self._node = shard.node
        self._is_read = False
        # Version of the row that the store holds, None if that isn't known.
        self._row_version: int | None = None
        # Number of runs that the stored row covers.
        self._stored_runs = 0
        self._max_bytes = min(MAX_LEARNED_BYTES, shard.node.max_row_bytes)
        self._has_newer_owner = False
        # Kinds of workers that have a gauge.
        self._gauge_kinds: set[str] = set()

    async def run(self):
        """Reads the row, then writes it now and then until the shard closes."""
        next_write = clock.read_clock() + WRITE_INTERVAL_S
        while self._shard.is_open:
            if self._row_version is None:
                await self.read()
            self._shard.learner.refresh_factors()
            self._publish_metrics()
            if clock.read_clock() >= next_write:
                next_write = clock.read_clock() + WRITE_INTERVAL_S
                await self.write()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    async def read(self):
        """Reads the row and restores it, unless that was done before."""
        result = await self._node.store.read_row(
            LEARNED_TABLE, self._shard.service, LEARNED_KEY
        )
        if not isinstance(result, platform_store.Rows):
            return
        row = next((r for r in result.rows if not r.is_deleted), None)
        self._row_version = 0 if row is None else row.version
        record = None
        if row is not None:
            record = rowcodec.decode_row(self._node, row, LearnedRecord)
        if record is not None and record.fence > self._shard.fence:
            self._has_newer_owner = True
        if self._is_read:
            return
        self._is_read = True
        if record is None:
            return
        restore_learned(self._shard, record)
        self._node.log.write(
            "learned_restored",
            service=self._shard.service,
            run_times=len(record.run_times),
            kinds=len(record.kinds),
            workers=len(record.workers),
        )

    async def write(self):
        """Writes the row if runs have ended since it was stored.

        It expects the version that was last read or written, so that a replaced
        owner doesn't write over the row of the next one.
        """
        learner = self._shard.learner
        runs = learner.version
        if runs == self._stored_runs or self._has_newer_owner:
            return
        if self._row_version is None:
            return
        value = encode_learned(self._shard, self._max_bytes)
        result = await self._node.store.commit(
            self._shard.service,
            [(LEARNED_TABLE, LEARNED_KEY, self._row_version)],
            [(LEARNED_TABLE, LEARNED_KEY, value)],
        )
        if isinstance(result, platform_store.Committed):
            self._row_version = result.version
            self._stored_runs = runs
            return
        # The row may have been stored, or another owner may have written it.
        self._row_version = None
        if isinstance(result, platform_store.Refused) and result.is_final:
            self._max_bytes //= 2

    def _publish_metrics(self):
        service = self._shard.service
        metrics = self._node.metrics
        learner = self._shard.learner
        for kind, average in learner.speeds.list_kinds():
            if len(self._gauge_kinds) < MAX_GAUGES:
                self._gauge_kinds.add(kind)
            if kind not in self._gauge_kinds:
                continue
            metrics.set(
                f'run_time_factor{{service="{service}",kind="{kind}"}}',
                learner.speeds.measure_kind_factor(average),
            )
        slow = sum(
            worker.run_time_factor > 1.0
            for worker in self._shard.workers.values()
        )
        metrics.set(f'slow_workers{{service="{service}"}}', slow)
        metrics.set(
            f'learned_run_times{{service="{service}"}}',
            sum(1 for _ in learner.run_times.list_learned()),
        )


class LearnedReader:
    """Predicts run times on every VM, for the admission of submissions.

    A VM that doesn't own the service reads the row only while it has to decide
    on submissions of an overloaded one, and never waits for it.
    """

    def __init__(self, node: context.Context, find_shard: FindShard):
        """Creates it without any row.

        Args:
          node: the context of the process.
          find_shard: returns the shard of a service that this VM owns, or None.
        """
        self._node = node
        self._find_shard = find_shard
        self._run_times: dict[str, runtimes.RunTimes] = {}
        self._read_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def predict_run_ms(
        self, record: submissions.SubmissionRecord
    ) -> list[float] | None:
        """Returns the expected run time of the tasks of each step, in ms.

        Returns:
          Milliseconds, None if nothing is known of the service.
        """
        shard = self._find_shard(record.service)
        if shard is not None:
            return shard.learner.list_run_ms(record)
        now = clock.read_clock()
        if now >= self._read_at.get(record.service, 0.0) + READ_INTERVAL_S:
            self._read_at[record.service] = now
            task = asyncio.get_running_loop().create_task(
                self.read(record.service)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        run_times = self._run_times.get(record.service)
        if run_times is None:
            return None
        return run_times.list_run_ms(record.queue, record.steps)

    async def read(self, service: str):
        """Reads the row of a service; what is known stays if that fails."""
        result = await self._node.store.read_row(
            LEARNED_TABLE, service, LEARNED_KEY
        )
        if not isinstance(result, platform_store.Rows):
            return
        for row in result.rows:
            if row.is_deleted:
                continue
            record = rowcodec.decode_row(self._node, row, LearnedRecord)
            if record is not None:
                run_times = runtimes.RunTimes()
                restore_run_times(run_times, record)
                self._run_times[service] = run_times
