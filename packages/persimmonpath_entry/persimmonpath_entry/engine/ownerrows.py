"""The rows by which the owner of a service makes itself known.

The owner row is small: every VM reads it, and each write of the owner changes
it. What only the next owner needs stands in the workers row, which is written
when it has changed. One transaction changes both. So a VM that takes over from
a version of the owner row has read the workers row of that version.
"""

import math

import msgspec

from persimmonpath_entry.decisions import tenantwaits
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import numbers
from persimmonpath_entry.transport import clock

OWNER_TABLE = "owner"
OWNER_KEY = "owner"
WORKERS_TABLE = "owner_workers"
WORKERS_KEY = "workers"

# The horizon is stored this far ahead, in seconds of the store's transactions,
# so that a new submission needn't wait for a write before its tasks start. The
# next owner takes all submissions within it for started ones.
HORIZON_LEAD_S = 0.5
# Shortest time in seconds over which the rate of transactions is measured.
MIN_RATE_SPAN_S = 0.3
# The store refuses rows over 64 KB. If the workers row were refused, the
# ownership could not be renewed and would be lost.
MAX_WORKERS_BYTES = 48_000


class OwnerRecord(msgspec.Struct, omit_defaults=True):
    """The owner row of a service.

    Attributes:
      owner: name of the owner VM, empty if the service has no owner.
      boot: id of the incarnation of the owner process.
      address: address at which peers reach the owner.
      sequence: number of the write in this incarnation of the owner.
      horizon: newest version of a submission whose tasks an owner may have
        started, None if unknown.
      renewed_ms: upper bound of the store's clock at this renewal, in
        milliseconds, 0 if unknown.
      waits: expected waits of new tasks in seconds, by the priority of their
        queue; short ones are left out.
      tenant_waits: expected waits by tenant, None without tenants.
    """

    owner: str = ""
    boot: str = ""
    address: str = ""
    sequence: int = 0
    horizon: numbers.Count | None = None
    renewed_ms: numbers.Count = 0
    waits: dict[int, float] = {}
    tenant_waits: tenantwaits.TenantWaits | None = None


class WorkersRecord(msgspec.Struct, omit_defaults=True):
    """The workers row of a service.

    Attributes:
      workers: ids of the workers that may run tasks of the service.
      unresponsive: names of the tasks that may run on an unresponsive worker,
        by worker id; after a release, on any worker. Nothing else can run on a
        worker named here, as the owner starts nothing on it until it has stored
        that the worker answers again. A worker with unlisted ends isn't named.
      lease_ends: time on the store's clock, in milliseconds, by which the last
        task lease on each unresponsive worker has ended, by worker id. The
        owner extends no lease there until it has stored that the worker answers
        again.
    """

    workers: list[str] = []
    unresponsive: dict[str, list[str]] = {}
    lease_ends: dict[str, numbers.Count] = {}


class Horizon:
    """Chooses the horizon that an owner stores.

    It lies ahead of the newest submission by what the store's version rises in
    HORIZON_LEAD_S.
    """

    def __init__(self):
        """Starts without a known rate of transactions."""
        self._horizon = 0
        self._versions_per_s = 0.0
        # A version of the store and when it was the newest one.
        self._rate_start: tuple[int, float] | None = None

    def record_version(self, version: int, now: float):
        """Updates the rate at which the store's version rises.

        Args:
          version: the newest version of the store.
          now: the monotonic clock, in seconds.
        """
        if self._rate_start is None:
            self._rate_start = (version, now)
            return
        start_version, start = self._rate_start
        if now - start >= MIN_RATE_SPAN_S:
            self._versions_per_s = (version - start_version) / (now - start)
            self._rate_start = (version, now)

    def choose(self, newest_submission: int, stored_version: int) -> int:
        """Returns the horizon of the next write, never below a former one.

        Tasks may have been started up to any horizon that was stored, also when
        the store has become slower since.

        Args:
          newest_submission: version of the newest submission seen.
          stored_version: version of the owner's last stored write.
        """
        lead = math.ceil(self._versions_per_s * HORIZON_LEAD_S)
        self._horizon = max(self._horizon, newest_submission)
        if lead:
            self._horizon = max(self._horizon, stored_version + lead)
        return self._horizon


def is_responsive(worker: fleet.Worker) -> bool:
    """Returns whether a worker answers; only then may it get tasks."""
    return worker.unresponsive_since is None


def build_workers(
    shard: shards.Shard, is_leaving: bool = False, covers_all: bool = True
) -> WorkersRecord:
    """Builds the workers row of the next write of an owner.

    Args:
      shard: the shard.
      is_leaving: whether this owner starts nothing more. The list of possible
        tasks is then complete for responsive workers too.
      covers_all: whether the same write stores all progress. Otherwise the
        tasks of unresponsive workers are left out, since tasks that ended
        there could not be told from running ones.
    """
    recorded = list_recorded_workers(shard, is_leaving)
    former_runs = shard.former_runs
    record = WorkersRecord(
        sorted(
            {worker.id for worker in recorded} | former_runs.unsettled.keys()
        ),
        lease_ends=_list_lease_ends(shard, recorded),
    )
    if covers_all:
        record.unresponsive = {
            worker.id: _list_possible_tasks(shard, worker)
            for worker in recorded
            if (is_leaving or not is_responsive(worker))
            and worker.id not in former_runs.workers_with_unlisted_ends
        }
    for worker_id in former_runs.unsettled:
        unsettled_tasks = former_runs.unsettled_tasks.get(worker_id)
        if unsettled_tasks is not None:
            record.unresponsive.setdefault(worker_id, sorted(unsettled_tasks))
    return record


def encode_workers(
    record: WorkersRecord, max_bytes: int = MAX_WORKERS_BYTES
) -> bytes:
    """Encodes a workers row, with less of its content if it would be too long.

    The lists of tasks are left out first, then the lease ends. The next owner
    waits longer without them.

    Args:
      record: the content; what is left out is removed from it.
      max_bytes: longest row in bytes.
    """
    value = msgspec.json.encode(record)
    if len(value) > max_bytes:
        record.unresponsive = {}
        value = msgspec.json.encode(record)
    if len(value) > max_bytes:
        record.lease_ends = {}
        value = msgspec.json.encode(record)
    return value


def list_recorded_workers(
    shard: shards.Shard, is_leaving: bool = False
) -> list[fleet.Worker]:
    """Returns the workers that a new owner has to query for running tasks.

    Clears is_recorded of workers that must not get tasks before the next stored
    write.

    Args:
      shard: the shard.
      is_leaving: whether this owner starts nothing more, so that workers
        without runs are left out.
    """
    now = clock.read_clock()
    recorded = []
    for worker in shard.workers.values():
        has_no_runs = (
            not worker.runs
            and not worker.unknown_runs
            and not shard.former_runs.is_partly_known(worker.id)
        )
        has_expired = (
            worker.unresponsive_since is not None
            and now > worker.bound_lease_end()
        )
        if not is_responsive(worker):
            worker.is_recorded = False
        if has_no_runs and (is_leaving or has_expired):
            worker.is_recorded = False
        else:
            recorded.append(worker)
    return recorded


def _list_lease_ends(
    shard: shards.Shard, recorded: list[fleet.Worker]
) -> dict[str, int]:
    """Returns when the leases on unresponsive workers will have ended.

    Returns:
      Milliseconds on the store's clock by worker id; empty while that clock is
      unknown.
    """
    store_clock = shard.node.store.clock
    if store_clock is None:
        return {}
    ends = {
        worker.id: store_clock.bound_ms(worker.bound_lease_end())
        for worker in recorded
        if not is_responsive(worker) and worker.is_fenced
    }
    for worker_id, deadline in shard.former_runs.unsettled.items():
        ends[worker_id] = store_clock.bound_ms(deadline)
    return ends


def _list_possible_tasks(
    shard: shards.Shard, worker: fleet.Worker
) -> list[str]:
    """Returns the names of the tasks that may run on a worker, sorted.

    They include those whose ends the worker lists and this owner hasn't
    processed: the next owner has to read them before it starts the tasks.
    """
    names = {name for name, _ in (*worker.runs, *worker.unknown_runs)}
    names |= shard.former_runs.unidentified_tasks.get(worker.id, set())
    return sorted(names)


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
