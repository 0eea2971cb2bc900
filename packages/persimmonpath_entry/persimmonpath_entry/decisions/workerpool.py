"""Finds workers with free capacity without a scan of all workers.

Covers a service of several hundred workers at its peak load, when hundreds of
tasks are placed a second. A scan of every worker for each task would take most
of the owner's processor time.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from persimmonpath import fitindex
from persimmonpath import resources
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Workers of each distinct capacity whose costs are compared for a task.
CANDIDATES = 16
# The same for each class of speed, if workers are known to differ, so that all
# of them together cost about as much.
MIN_CANDIDATES = 4
# Factor on the run time from which on a worker near the data isn't clearly
# better than one of normal speed elsewhere.
MAX_NEAR_FACTOR = 1.2

# Returns whether a worker may run a task.
Allows = Callable[[fleet.Worker], bool]


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _PooledWorker(fitindex.IndexEntry):
    """A worker and its free capacity as of its last update in the index."""

    worker: fleet.Worker


class WorkerPool:
    """The workers that may get tasks, indexed by the capacity left in a plan.

    Attributes:
      workers: the workers by id; not to be changed.
      free_capacity: the capacity that is left in the current plan.
    """

    def __init__(self):
        """Creates an empty pool."""
        self._index = fitindex.FitIndex()
        self._entries: dict[str, _PooledWorker] = {}
        self.workers: dict[str, fleet.Worker] = {}
        self._racks: dict[str, dict[str, fleet.Worker]] = {}
        # Number of workers by class of speed.
        self._class_sizes: collections.Counter[int] = collections.Counter()
        self.free_capacity = placement.FreeCapacity(self.update)

    def begin_plan(self) -> placement.FreeCapacity:
        """Discards the current plan and returns a new, empty one."""
        former = self.free_capacity
        self.free_capacity = placement.FreeCapacity(self.update)
        for worker_id in former.list_reserved():
            entry = self._entries.get(worker_id)
            if entry is not None:
                self.update(entry.worker)
        return self.free_capacity

    def __len__(self) -> int:
        return len(self._entries)

    def list_workers(self) -> list[fleet.Worker]:
        """Returns all workers of the pool."""
        return list(self.workers.values())

    def find_workers(self, ids: Iterable[str]) -> list[fleet.Worker]:
        """Returns those of the given workers that are in the pool."""
        return [self.workers[i] for i in ids if i in self.workers]

    def list_rack(self, rack: str) -> list[fleet.Worker]:
        """Returns the workers of the pool on a rack."""
        return list(self._racks.get(rack, {}).values())

    def measure_free_share(self) -> float:
        """Returns the share of the CPU of all workers that runs don't use."""
        workers = self.list_workers()
        capacity = sum(worker.registration.cpu for worker in workers)
        free = sum(max(0, worker.free_cpu) for worker in workers)
        return free / capacity if capacity else 0.0

    def replace(self, workers: Iterable[fleet.Worker]):
        """Sets the workers of the pool; those that stay are kept as indexed."""
        usable = {worker.id: worker for worker in workers}
        for entry in list(self._entries.values()):
            if usable.get(entry.worker.id) is not entry.worker:
                self.remove(entry.worker)
        for worker in usable.values():
            self._add(worker)

    def _add(self, worker: fleet.Worker):
        registration = worker.registration
        capacity = resources.Resources(
            max(1, registration.cpu),
            max(1, registration.memory_mb),
            registration.gpu,
        )
        group = speeds.choose_class(worker.run_time_factor)
        entry = self._entries.get(worker.id)
        if entry is not None:
            if entry.capacity == capacity and entry.group == group:
                return
            self.remove(worker)
        entry = _PooledWorker(
            worker=worker,
            capacity=capacity,
            free=self._measure_free(worker),
            group=group,
        )
        self._class_sizes[group] += 1
        self._entries[worker.id] = entry
        self.workers[worker.id] = worker
        self._index.add(entry)
        rack = self._racks.setdefault(registration.rack, {})
        rack[worker.id] = worker

    def remove(self, worker: fleet.Worker):
        """Removes a worker, if it is in the pool."""
        entry = self._entries.pop(worker.id, None)
        if entry is None:
            return
        self._index.remove(entry)
        self._class_sizes[entry.group] -= 1
        if not self._class_sizes[entry.group]:
            del self._class_sizes[entry.group]
        del self.workers[worker.id]
        for rack in self._racks.values():
            rack.pop(worker.id, None)

    def update(self, worker: fleet.Worker):
        """Records that the capacity left on a worker has changed."""
        entry = self._entries.get(worker.id)
        if entry is None or entry.worker is not worker:
            return
        self._index.update(entry, self._measure_free(worker))

    def _measure_free(self, worker: fleet.Worker) -> resources.Resources:
        return resources.Resources(*self.free_capacity.get_free(worker)[:3])

    def list_candidates(
        self,
        spec: submissions.StepSpec,
        allows: Allows,
        max_near_factor: float = math.inf,
    ) -> list[fleet.Worker]:
        """Returns workers that fit a task, among them nearly the best fit.

        Args:
          spec: the step of the task.
          allows: returns whether a worker may run the task.
          max_near_factor: factor on the run time from which on a worker near
            the data may be worse than one far away.
        """

        def is_candidate(worker: fleet.Worker) -> bool:
            has_label = (
                not spec.label or spec.label in worker.registration.labels
            )
            return has_label and allows(worker)

        def filter_fitting(workers: Iterable[fleet.Worker]):
            return [
                worker
                for worker in workers
                if placement.fits(worker, spec, self.free_capacity)
                and is_candidate(worker)
            ]

        if spec.is_filler:
            # Fillers don't count against the CPU by which workers are indexed.
            return filter_fitting(self.list_workers())
        found = []
        if spec.data_rack:
            near_data = self._racks.get(spec.data_rack, {}).values()
            found = filter_fitting(near_data)
            if any(w.run_time_factor <= max_near_factor for w in found):
                return found
        limit = CANDIDATES
        if len(self._class_sizes) > 1:
            limit = max(MIN_CANDIDATES, CANDIDATES // len(self._class_sizes))
        entries = self._index.list_candidates(
            resources.Resources(spec.cpu, spec.memory_mb, spec.gpu),
            limit,
            lambda entry: is_candidate(entry.worker),
        )
        return found + [entry.worker for entry in entries]

    def may_fit(self, spec: submissions.StepSpec, count: int) -> bool:
        """Returns whether `count` tasks of a step may fit at the same time.

        False is certain. True only says that the free capacity, taken roughly,
        is enough; labels and limits for each worker aren't looked at.
        """
        if spec.is_filler:
            return True
        size = resources.Resources(spec.cpu, spec.memory_mb, spec.gpu)
        return self._index.may_fit(size, count)

    def choose_worker(
        self,
        spec: submissions.StepSpec,
        counts: dict[str, int],
        avoided: Iterable[str] = (),
        now: float = 0.0,
        reserved_for_others: Collection[str] = (),
        allows: Allows | None = None,
        need: speeds.TimeNeed | None = None,
    ) -> fleet.Worker | None:
        """Returns a worker with a low cost for a task, None if none fits.

        Args:
          spec: the step.
          counts: number of tasks of the step by worker id.
          avoided: ids of workers that are the last choice.
          now: the monotonic clock, in seconds.
          reserved_for_others: ids of workers that are reserved for other
            steps.
          allows: returns whether a worker may run the task, None if all may.
          need: how much the task needs a fast worker, None if that isn't
            known.
        """
        limit = spec.max_per_worker

        def is_allowed(worker: fleet.Worker) -> bool:
            if limit and counts.get(worker.id, 0) >= limit:
                return False
            return allows is None or allows(worker)

        is_speed_needed = need is not None and need.weigh(1.0) > 0
        max_near_factor = MAX_NEAR_FACTOR if is_speed_needed else math.inf
        candidates = self.list_candidates(spec, is_allowed, max_near_factor)
        return placement.choose_worker(
            candidates,
            spec,
            self.free_capacity,
            counts,
            avoided,
            now,
            reserved_for_others,
            need,
        )


class UnplaceableSizes:
    """Sizes that fitted no worker in the current plan.

    A plan only takes capacity, so a task of the same or a larger size doesn't
    fit either. Without this, thousands of waiting steps would each search for
    capacity in every plan of an overloaded service.
    """

    def __init__(self):
        """Creates an empty set."""
        # CPU, memory, accelerators and number of tasks that didn't fit
        # together, by label; fillers apart, as they claim no CPU.
        self._sizes: dict[
            tuple[str, bool], list[tuple[int, int, int, int]]
        ] = {}

    def add(self, spec: submissions.StepSpec, count: int = 1):
        """Records that `count` tasks of a step didn't fit at the same time.

        Steps with a limit for each worker are left out: others without it may
        fit.
        """
        if spec.max_per_worker:
            return
        size = (spec.cpu, spec.memory_mb, spec.gpu, count)
        sizes = self._sizes.setdefault((spec.label, spec.is_filler), [])
        if not _is_covered(sizes, size):
            sizes[:] = [s for s in sizes if not _is_covered([size], s)]
            sizes.append(size)

    def covers(self, spec: submissions.StepSpec, count: int = 1) -> bool:
        """Returns whether `count` tasks of a step are known not to fit."""
        size = (spec.cpu, spec.memory_mb, spec.gpu, count)
        for label in {"", spec.label}:
            sizes = self._sizes.get((label, spec.is_filler))
            if sizes and _is_covered(sizes, size):
                return True
        return False


def _is_covered(
    sizes: list[tuple[int, int, int, int]], size: tuple[int, int, int, int]
) -> bool:
    """Returns whether a size is at least as large as one of the others."""
    cpu, memory_mb, gpu, count = size
    return any(
        s[0] <= cpu and s[1] <= memory_mb and s[2] <= gpu and s[3] <= count
        for s in sizes
    )
