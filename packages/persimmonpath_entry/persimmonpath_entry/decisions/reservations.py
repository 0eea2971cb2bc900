"""Which workers are reserved, or vacated by preemption, for tasks that wait.

Covers a pool that is full of small tasks while a large task, or a gang, waits
for capacity on one worker or on several at the same time.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq

from persimmonpath_entry.decisions import placement
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Largest shortfall, as a share of the worker, at which it is reserved for a
# task.
MAX_SHORTFALL = 1.0
# Capacity is reserved for a step for the whole of this time, and after it only
# for a part of each cycle, so that the step doesn't starve others. In seconds.
FULL_RESERVATION_S = 6.0
RESERVATION_CYCLE_S = 3.0
RESERVED_PART_S = 2.0


def is_reservation_active(waited_s: float) -> bool:
    """Returns whether capacity is reserved for a step after a waiting time."""
    return (
        waited_s < FULL_RESERVATION_S
        or waited_s % RESERVATION_CYCLE_S < RESERVED_PART_S
    )


# Returns the CPU, memory and accelerators that preemption would free.
MeasureReclaimable = Callable[[fleet.Worker], tuple[int, int, int]]


def choose_workers_to_reserve(
    workers: Iterable[fleet.Worker],
    spec: submissions.StepSpec,
    free_capacity: placement.FreeCapacity,
    count: int = 1,
) -> list[fleet.Worker]:
    """Returns workers to reserve for tasks that don't fit anywhere now.

    Without a reservation, a large task would wait forever while small ones fill
    every gap. The workers with the smallest shortfall are chosen. Workers that
    are already reserved beyond their free capacity are left out.

    Args:
      workers: workers that may run the step.
      spec: the step.
      free_capacity: the capacity that is left in the current plan.
      count: number of tasks; a worker may be chosen for several.

    Returns:
      A worker for each task, or an empty list if there aren't enough for all:
      a gang that never fits would keep the workers from others forever.
    """
    rooms = [
        _Room(worker, cpu, memory_mb, gpu)
        for worker, (cpu, memory_mb, gpu, _, _) in (
            (worker, free_capacity.get_free(worker)) for worker in workers
        )
        if min(cpu, memory_mb, gpu) >= 0
    ]
    return _choose_least_short(rooms, spec, count, MAX_SHORTFALL)


def choose_workers_to_vacate(
    workers: Iterable[fleet.Worker],
    spec: submissions.StepSpec,
    free_capacity: placement.FreeCapacity,
    count: int,
    measure_reclaimable: MeasureReclaimable,
) -> list[fleet.Worker]:
    """Returns workers on which tasks fit once other runs are preempted.

    Args:
      workers: workers that may run the step.
      spec: the step.
      free_capacity: the capacity that is left in the current plan.
      count: number of tasks; a worker may be chosen for several.
      measure_reclaimable: returns what preemption would free on a worker.

    Returns:
      A worker for each task, or an empty list if not all of them would fit:
      preempting runs for a part of a gang only wastes capacity.
    """
    rooms = []
    for worker in workers:
        cpu, memory_mb, gpu, _, _ = free_capacity.get_free(worker)
        more_cpu, more_mb, more_gpu = measure_reclaimable(worker)
        reclaimable = (more_cpu, more_mb, more_gpu)
        rooms.append(_Room(worker, cpu, memory_mb, gpu, reclaimable))
    return _choose_least_short(rooms, spec, count, 0.0)


@dataclasses.dataclass(slots=True, eq=False)
class _Room:
    """A worker and the capacity left on it during a choice.

    Attributes:
      worker: the worker.
      cpu: free CPU in thousandths of a core.
      memory_mb: free memory in MB.
      gpu: free accelerators.
      reclaimable: what preemption adds to each of these.
      chosen: number of tasks for which the worker has been chosen.
    """

    worker: fleet.Worker
    cpu: int
    memory_mb: int
    gpu: int
    reclaimable: tuple[int, int, int] = (0, 0, 0)
    chosen: int = 0

    def take(self, spec: submissions.StepSpec):
        """Takes the capacity of a task."""
        self.chosen += 1
        self.cpu -= 0 if spec.is_filler else spec.cpu
        self.memory_mb -= spec.memory_mb
        self.gpu -= spec.gpu

    def rank(self, spec: submissions.StepSpec) -> tuple[float, float]:
        """Returns the shortfall that remains with preemption, and without."""
        cpu, memory_mb, gpu = self.reclaimable
        without = _compute_shortfall(
            self.worker, spec, self.cpu, self.memory_mb, self.gpu
        )
        remaining = _compute_shortfall(
            self.worker,
            spec,
            self.cpu + cpu,
            self.memory_mb + memory_mb,
            self.gpu + gpu,
        )
        return max(0.0, remaining), without


def _choose_least_short(
    rooms: list[_Room],
    spec: submissions.StepSpec,
    count: int,
    max_shortfall: float,
) -> list[fleet.Worker]:
    """Returns the worker with the smallest shortfall for each task.

    Returns:
      A worker for each task, or an empty list if there aren't enough within
      the largest shortfall allowed.
    """
    heap = [
        (room.rank(spec), index)
        for index, room in enumerate(rooms)
        if placement.count_attainable(room.worker, spec)
    ]
    heapq.heapify(heap)
    chosen: list[fleet.Worker] = []
    while heap and len(chosen) < count:
        (shortfall, _), index = heap[0]
        if shortfall > max_shortfall:
            break
        room = rooms[index]
        room.take(spec)
        chosen.append(room.worker)
        if room.chosen < placement.count_attainable(room.worker, spec):
            heapq.heapreplace(heap, (room.rank(spec), index))
        else:
            heapq.heappop(heap)
    return chosen if len(chosen) == count else []


def compute_dominant_share(
    worker: fleet.Worker, spec: submissions.StepSpec
) -> float:
    """Returns the largest share of a worker's resources that a task needs."""
    registration = worker.registration
    return max(
        0.0 if spec.is_filler else spec.cpu / max(1, registration.cpu),
        spec.memory_mb / max(1, registration.memory_mb),
        spec.gpu / max(1, registration.gpu),
    )


def _compute_shortfall(worker, spec, cpu, memory_mb, gpu) -> float:
    """Returns the missing capacity for a task, as a share of the worker.

    The largest share of the resources that the task needs counts; it is 0 or
    less if none is missing.
    """
    registration = worker.registration
    shares = [(spec.memory_mb - memory_mb) / max(1, registration.memory_mb)]
    if not spec.is_filler:
        shares.append((spec.cpu - cpu) / max(1, registration.cpu))
    if spec.gpu:
        shares.append((spec.gpu - gpu) / max(1, registration.gpu))
    return max(shares)
