"""Index of workers by free capacity.

Bounds the cost of a placement in a large shard: a fitting worker is found
without checking every worker at each start.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

import sortedcontainers

from persimmonpath import resources

# Number of steps of the free share of CPU and of memory that key the buckets.
# Every worker of a bucket at or above a task's share fits without a check.
BUCKET_LEVELS = 8
# Workers checked in a bucket in which only some may fit, before the search goes
# on with the next bucket.
MAX_BUCKET_SCANS = 8

_Key = tuple[int, int, int, int]


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class IndexEntry:
    """A worker as the index knows it.

    Attributes:
        capacity: Its total resources.
        free: Resources that are not reserved.
        free_slots: Slots that are not reserved.
        key: Its bucket in the index; None while it is in none.
        group: Workers of different groups are searched apart, so that those of
            one don't hide those of another.
    """

    capacity: resources.Resources
    free: resources.Resources
    free_slots: int = 1
    key: _Key | None = None
    group: int = 0


def compute_leftover_share(
    entry: IndexEntry, size: resources.Resources
) -> float:
    """Returns the dominant free share of a worker after placing a task."""
    free = entry.free
    capacity = entry.capacity
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
        self._buckets: dict[_Key, dict[IndexEntry, None]] = {}

    def compute_key(self, entry: IndexEntry) -> _Key | None:
        free = entry.free
        if entry.free_slots < 1 or free.is_negative():
            return None
        cpu = free.cpu_millis * BUCKET_LEVELS // self.capacity.cpu_millis
        memory = free.memory_mib * BUCKET_LEVELS // self.capacity.memory_mib
        return (max(cpu, memory), cpu, memory, free.accelerators)

    def add(self, entry: IndexEntry) -> None:
        key = self.compute_key(entry)
        if key is None:
            return
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = {}
            self._keys.add(key)
        bucket[entry] = None
        entry.key = key

    def remove(self, entry: IndexEntry) -> None:
        if entry.key is None:
            return
        bucket = self._buckets[entry.key]
        del bucket[entry]
        if not bucket:
            del self._buckets[entry.key]
            self._keys.remove(entry.key)
        entry.key = None

    def bound_fitting(self, size: resources.Resources, limit: int) -> int:
        """Returns an upper bound of the tasks that fit, `limit` if reached."""
        cpu_step = self.capacity.cpu_millis / BUCKET_LEVELS
        memory_step = self.capacity.memory_mib / BUCKET_LEVELS
        total = 0
        for key, bucket in self._buckets.items():
            _, cpu, memory, accelerators = key
            total += len(bucket) * _count_tasks(
                size,
                min(self.capacity.cpu_millis, (cpu + 1) * cpu_step),
                min(self.capacity.memory_mib, (memory + 1) * memory_step),
                accelerators,
            )
            if total >= limit:
                return limit
        return total

    def list_fitting(
        self, size: resources.Resources, scan_limit: int | None
    ) -> Iterator[IndexEntry]:
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
            for number, entry in enumerate(self._buckets[key]):
                if limit is not None and number >= limit:
                    break
                if all_fit or size.fits_in(entry.free):
                    yield entry


def _count_tasks(
    size: resources.Resources,
    cpu_millis: float,
    memory_mib: float,
    accelerators: int,
) -> int:
    """Returns how many tasks fit into an amount of resources.

    A task of size zero counts as one that fits any number of times.
    """
    counts = [
        int(available // needed)
        for needed, available in (
            (size.cpu_millis, cpu_millis),
            (size.memory_mib, memory_mib),
            (size.accelerators, accelerators),
        )
        if needed
    ]
    return min(counts, default=1_000_000)


class FitIndex:
    """Finds workers with enough free capacity without a full scan."""

    def __init__(self):
        """Creates an empty index."""
        self._classes: dict[
            tuple[resources.Resources, int], _CapacityClass
        ] = {}

    def add(self, entry: IndexEntry) -> None:
        """Adds a worker; one without a free slot is not indexed."""
        key = entry.capacity, entry.group
        found = self._classes.get(key)
        if found is None:
            found = self._classes[key] = _CapacityClass(entry.capacity)
        found.add(entry)

    def remove(self, entry: IndexEntry) -> None:
        """Removes a worker; must be called before its free capacity changes."""
        self._classes[entry.capacity, entry.group].remove(entry)

    def update(self, entry: IndexEntry, free: resources.Resources) -> None:
        """Sets the free resources of a worker that has been added."""
        capacity_class = self._classes[entry.capacity, entry.group]
        entry.free = free
        if capacity_class.compute_key(entry) != entry.key:
            capacity_class.remove(entry)
            capacity_class.add(entry)

    def list_best(
        self,
        size: resources.Resources,
        is_accelerated: bool,
        limit: int,
        allows: Callable[[IndexEntry], bool],
    ) -> list[IndexEntry]:
        """Returns workers that fit a task, the best fit first.

        Args:
            size: Size of the task.
            is_accelerated: Whether to search the workers with accelerators
                or those without.
            limit: Most workers returned for each distinct capacity and group.
            allows: Returns whether a worker may be used.
        """
        classes = [
            capacity_class
            for capacity_class in self._classes.values()
            if bool(capacity_class.capacity.accelerators) == is_accelerated
        ]
        found = _find_allowed(classes, size, limit, allows)
        return sorted(found, key=lambda f: compute_leftover_share(f, size))

    def may_fit(self, size: resources.Resources, count: int) -> bool:
        """Returns whether `count` tasks may fit at the same time.

        False is certain. True follows from rounded free capacities, so that
        the tasks may still not fit.

        Args:
            size: Size of each task.
            count: Number of tasks.
        """
        missing = count
        for capacity_class in self._classes.values():
            missing -= capacity_class.bound_fitting(size, missing)
            if missing <= 0:
                return True
        return False

    def list_candidates(
        self,
        size: resources.Resources,
        limit: int,
        allows: Callable[[IndexEntry], bool],
    ) -> list[IndexEntry]:
        """Returns workers that fit a task, roughly the best fit first.

        Args:
            size: Size of the task.
            limit: Most workers returned for each distinct capacity and group.
            allows: Returns whether a worker may be used.
        """
        return _find_allowed(self._classes.values(), size, limit, allows)


def _find_allowed(
    classes: Iterable[_CapacityClass],
    size: resources.Resources,
    limit: int,
    allows: Callable[[IndexEntry], bool],
) -> list[IndexEntry]:
    for scan_limit in (MAX_BUCKET_SCANS, None):
        found: list[IndexEntry] = []
        for capacity_class in classes:
            found += _collect_allowed(
                capacity_class.list_fitting(size, scan_limit), limit, allows
            )
        if found:
            return found
    return []


def _collect_allowed(
    entries: Iterator[IndexEntry],
    limit: int,
    allows: Callable[[IndexEntry], bool],
) -> list[IndexEntry]:
    allowed: list[IndexEntry] = []
    for entry in entries:
        if allows(entry):
            allowed.append(entry)
            if len(allowed) >= limit:
                break
    return allowed
