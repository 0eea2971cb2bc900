"""Index of workers by what they have free."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math

import sortedcontainers

from persimmonpath import inventory
from persimmonpath import resources

# Steps of the free share of processors and of memory. Each worker of a bucket
# whose steps exceed those of a task fits without being looked at.
LEVELS = 8
# Workers looked at in a bucket of which only some fit, before others are tried.
PROBES = 8

_Key = tuple[int, int, int, int]


@dataclasses.dataclass(slots=True, eq=False)
class Load:
    """A worker and what is reserved on it."""

    worker: inventory.Worker
    capacity: resources.Resources
    free: resources.Resources
    free_slots: int
    reserved: dict[str, resources.Resources]
    is_open: bool = False
    key: _Key | None = None


def create_load(worker: inventory.Worker) -> Load:
    """Returns an idle worker, closed to new work."""
    capacity = worker.capacity
    return Load(worker, capacity, capacity, worker.slots, {})


def compute_left(load: Load, size: resources.Resources) -> float:
    """Returns the dominant share that a worker has left after a task."""
    free = load.free
    capacity = load.capacity
    left = max(
        (free.cpu_millis - size.cpu_millis) / capacity.cpu_millis,
        (free.memory_mib - size.memory_mib) / capacity.memory_mib,
    )
    if size.accelerators:
        spare = free.accelerators - size.accelerators
        return max(left, spare / capacity.accelerators)
    return left


class _Class:
    """The workers of one capacity, in buckets of about the same free share."""

    def __init__(self, capacity: resources.Resources):
        self.capacity = capacity
        self._keys: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self._buckets: dict[_Key, dict[str, Load]] = {}

    def add(self, load: Load) -> None:
        free = load.free
        if load.free_slots < 1 or free.is_negative():
            return
        cpu = free.cpu_millis * LEVELS // self.capacity.cpu_millis
        memory = free.memory_mib * LEVELS // self.capacity.memory_mib
        key = (max(cpu, memory), cpu, memory, free.accelerators)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = {}
            self._keys.add(key)
        bucket[load.worker.name] = load
        load.key = key

    def remove(self, load: Load) -> None:
        if load.key is None:
            return
        bucket = self._buckets[load.key]
        del bucket[load.worker.name]
        if not bucket:
            del self._buckets[load.key]
            self._keys.remove(load.key)
        load.key = None

    def list_fitting(
        self, size: resources.Resources, probes: int | None
    ) -> Iterator[Load]:
        """Yields workers that have room, those with little left first.

        Args:
            size: Size of the task.
            probes: Workers looked at in a bucket of which not all surely fit;
                None for all of them.
        """
        if not size.fits_in(self.capacity):
            return
        cpu = size.cpu_millis * LEVELS / self.capacity.cpu_millis
        memory = size.memory_mib * LEVELS / self.capacity.memory_mib
        least_cpu, least_memory = math.floor(cpu), math.floor(memory)
        start = (max(least_cpu, least_memory), 0, 0, 0)
        for key in self._keys.irange(start):
            _, has_cpu, has_memory, accelerators = key
            if (
                has_cpu < least_cpu
                or has_memory < least_memory
                or accelerators < size.accelerators
            ):
                continue
            is_sure = has_cpu >= cpu and has_memory >= memory
            limit = None if is_sure else probes
            for number, load in enumerate(self._buckets[key].values()):
                if limit is not None and number >= limit:
                    break
                if is_sure or size.fits_in(load.free):
                    yield load


class FitIndex:
    """Finds workers with room without looking at all of them."""

    def __init__(self):
        """Creates an empty index."""
        self._classes: dict[resources.Resources, _Class] = {}

    def add(self, load: Load) -> None:
        """Adds a worker; one without a free slot is never found."""
        found = self._classes.get(load.capacity)
        if found is None:
            found = self._classes[load.capacity] = _Class(load.capacity)
        found.add(load)

    def remove(self, load: Load) -> None:
        """Removes a worker, before what it has free changes."""
        self._classes[load.capacity].remove(load)

    def list_best(
        self,
        size: resources.Resources,
        is_accelerated: bool,
        limit: int,
        allows: Callable[[Load], bool],
    ) -> list[Load]:
        """Returns workers that have room, the best fit first.

        Args:
            size: Size of the task.
            is_accelerated: Whether workers with accelerators are meant.
            limit: Most workers returned of each capacity.
            allows: Whether a worker may be used.
        """
        for probes in (PROBES, None):
            found: list[Load] = []
            for kind in self._classes.values():
                if bool(kind.capacity.accelerators) != is_accelerated:
                    continue
                found += _take(kind.list_fitting(size, probes), limit, allows)
            if found:
                return sorted(found, key=lambda f: compute_left(f, size))
        return []


def _take(
    loads: Iterator[Load], limit: int, allows: Callable[[Load], bool]
) -> list[Load]:
    taken: list[Load] = []
    for load in loads:
        if allows(load):
            taken.append(load)
            if len(taken) >= limit:
                break
    return taken
