"""Index of workers by free capacity.

Bounds the cost of a placement in a large shard: a fitting worker is found
without checking every worker at each start.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math

import sortedcontainers

from persimmonpath import inventory
from persimmonpath import resources

# Number of steps of the free share of CPU and of memory that key the buckets.
# Every worker of a bucket at or above a task's share fits without a check.
BUCKET_LEVELS = 8
# Workers checked in a bucket in which only some may fit, before the search goes
# on with the next bucket.
MAX_BUCKET_SCANS = 8

_Key = tuple[int, int, int, int]


@dataclasses.dataclass(slots=True, eq=False)
class WorkerAllocation:
    """A worker and the reservations on it.

    Attributes:
        worker: Its inventory entry.
        capacity: Its total resources.
        free: Resources that are not reserved.
        free_slots: Slots that are not reserved.
        reserved: Reserved resources by attempt id.
        is_open: Whether it takes new work.
        key: Its bucket in the index; None while it is in none.
    """

    worker: inventory.Worker
    capacity: resources.Resources
    free: resources.Resources
    free_slots: int
    reserved: dict[str, resources.Resources]
    is_open: bool = False
    key: _Key | None = None


def create_allocation(worker: inventory.Worker) -> WorkerAllocation:
    """Returns the allocation of an idle worker, closed to new work."""
    capacity = worker.capacity
    return WorkerAllocation(worker, capacity, capacity, worker.slots, {})


def compute_leftover_share(
    allocation: WorkerAllocation, size: resources.Resources
) -> float:
    """Returns the dominant free share of a worker after placing a task."""
    free = allocation.free
    capacity = allocation.capacity
    leftover_share = max(
        (free.cpu_millis - size.cpu_millis) / capacity.cpu_millis,
        (free.memory_mib - size.memory_mib) / capacity.memory_mib,
    )
    if size.accelerators:
        spare = free.accelerators - size.accelerators
        return max(leftover_share, spare / capacity.accelerators)
    return leftover_share


class _CapacityClass:
    """Workers of equal capacity, in buckets of similar free shares."""

    def __init__(self, capacity: resources.Resources):
        self.capacity = capacity
        self._keys: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self._buckets: dict[_Key, dict[str, WorkerAllocation]] = {}

    def add(self, allocation: WorkerAllocation) -> None:
        free = allocation.free
        if allocation.free_slots < 1 or free.is_negative():
            return
        cpu = free.cpu_millis * BUCKET_LEVELS // self.capacity.cpu_millis
        memory = free.memory_mib * BUCKET_LEVELS // self.capacity.memory_mib
        key = (max(cpu, memory), cpu, memory, free.accelerators)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = {}
            self._keys.add(key)
        bucket[allocation.worker.name] = allocation
        allocation.key = key

    def remove(self, allocation: WorkerAllocation) -> None:
        if allocation.key is None:
            return
        bucket = self._buckets[allocation.key]
        del bucket[allocation.worker.name]
        if not bucket:
            del self._buckets[allocation.key]
            self._keys.remove(allocation.key)
        allocation.key = None

    def list_fitting(
        self, size: resources.Resources, scan_limit: int | None
    ) -> Iterator[WorkerAllocation]:
        """Yields workers that fit a task, those with the least free first.

        Args:
            size: Size of the task.
            scan_limit: Most workers checked in a bucket in which only some
                may fit; None for all of them.
        """
        if not size.fits_in(self.capacity):
            return
        cpu = size.cpu_millis * BUCKET_LEVELS / self.capacity.cpu_millis
        memory = size.memory_mib * BUCKET_LEVELS / self.capacity.memory_mib
        least_cpu, least_memory = math.floor(cpu), math.floor(memory)
        start = (max(least_cpu, least_memory), 0, 0, 0)
        for key in self._keys.irange(start):
            _, bucket_cpu, bucket_memory, accelerators = key
            if (
                bucket_cpu < least_cpu
                or bucket_memory < least_memory
                or accelerators < size.accelerators
            ):
                continue
            all_fit = bucket_cpu >= cpu and bucket_memory >= memory
            limit = None if all_fit else scan_limit
            for number, allocation in enumerate(self._buckets[key].values()):
                if limit is not None and number >= limit:
                    break
                if all_fit or size.fits_in(allocation.free):
                    yield allocation


class FitIndex:
    """Finds workers with enough free capacity without a full scan."""

    def __init__(self):
        """Creates an empty index."""
        self._classes: dict[resources.Resources, _CapacityClass] = {}

    def add(self, allocation: WorkerAllocation) -> None:
        """Adds a worker; one without a free slot is not indexed."""
        found = self._classes.get(allocation.capacity)
        if found is None:
            found = self._classes[allocation.capacity] = _CapacityClass(
                allocation.capacity
            )
        found.add(allocation)

    def remove(self, allocation: WorkerAllocation) -> None:
        """Removes a worker; must be called before its free capacity changes."""
        self._classes[allocation.capacity].remove(allocation)

    def list_best(
        self,
        size: resources.Resources,
        is_accelerated: bool,
        limit: int,
        allows: Callable[[WorkerAllocation], bool],
    ) -> list[WorkerAllocation]:
        """Returns workers that fit a task, the best fit first.

        Args:
            size: Size of the task.
            is_accelerated: Whether to search the workers with accelerators
                or those without.
            limit: Most workers returned for each distinct capacity.
            allows: Returns whether a worker may be used.
        """
        for scan_limit in (MAX_BUCKET_SCANS, None):
            found: list[WorkerAllocation] = []
            for capacity_class in self._classes.values():
                if bool(capacity_class.capacity.accelerators) != is_accelerated:
                    continue
                found += _collect_allowed(
                    capacity_class.list_fitting(size, scan_limit), limit, allows
                )
            if found:
                return sorted(
                    found, key=lambda f: compute_leftover_share(f, size)
                )
        return []


def _collect_allowed(
    allocations: Iterator[WorkerAllocation],
    limit: int,
    allows: Callable[[WorkerAllocation], bool],
) -> list[WorkerAllocation]:
    allowed: list[WorkerAllocation] = []
    for allocation in allocations:
        if allows(allocation):
            allowed.append(allocation)
            if len(allowed) >= limit:
                break
    return allowed
