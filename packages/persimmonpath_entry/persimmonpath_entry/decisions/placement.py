"""Which worker runs a task: best fit over CPU, memory and accelerators.

Covers a pool that runs tasks of very different sizes. Small tasks are packed
tightly instead of spread, and workers are reserved for large tasks, so that a
large task finds enough free capacity on one worker.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Largest share of a worker's CPU that its tasks may claim when a filler is
# placed there. Beyond it, fillers only slow each other down.
MAX_FILLER_CPU_SHARE = 1.0
# Cost of a worker that isn't on the rack of the data: tasks take longer there,
# by half unless the settings say otherwise.
REMOTE_DATA_COST = 4.0
# Cost of running fillers and latency-sensitive tasks on the same worker.
INTERFERENCE_COST = 3.0
# Cost of a worker on which the task has failed before.
AVOIDED_WORKER_COST = 5.0
# Slowness above which a worker counts as slow; below it, runs of different
# durations are normal. The cost is for each unit above the limit.
SLOWNESS_LIMIT = 1.7
SLOWNESS_COST = 2.0
# Cost of a worker that is reserved for another step, which may have no
# alternative.
RESERVED_WORKER_COST = 2.0


_NOTHING_RESERVED = (0, 0, 0, 0, 0)


class FreeCapacity:
    """The free capacity of workers less what the current plan reserves."""

    def __init__(self, on_change: Callable[[fleet.Worker], None] | None = None):
        """Creates a plan that reserves nothing yet.

        Args:
          on_change: called with a worker after a change of its reservations.
        """
        self._reserved: dict[str, list[int]] = {}
        self._on_change = on_change

    def reserve(
        self, worker: fleet.Worker, spec: submissions.StepSpec, count: int = 1
    ):
        """Reserves the capacity that `count` tasks of a step need."""
        self._adjust(worker, spec, count)

    def release(
        self, worker: fleet.Worker, spec: submissions.StepSpec, count: int = 1
    ):
        """Releases the reserved capacity of `count` tasks of a step."""
        self._adjust(worker, spec, -count)

    def _adjust(self, worker, spec, count: int):
        row = self._reserved.setdefault(worker.id, [0, 0, 0, 0, 0])
        row[3 if spec.is_filler else 0] += count * spec.cpu
        row[1] += count * spec.memory_mb
        row[2] += count * spec.gpu
        row[4] += count
        if self._on_change is not None:
            self._on_change(worker)

    def list_reserved(self) -> list[str]:
        """Returns the ids of the workers with reservations."""
        return [
            worker_id for worker_id, row in self._reserved.items() if row[4]
        ]

    def get_free(self, worker: fleet.Worker) -> tuple[int, int, int, int, int]:
        """Returns the capacity of a worker that isn't used or reserved.

        Returns:
          Free CPU in thousandths of a core, free memory in MB, free
          accelerators, CPU claimed by fillers in thousandths of a core, and
          the number of reservations.
        """
        row = self._reserved.get(worker.id, _NOTHING_RESERVED)
        capacity = worker.registration
        return (
            capacity.cpu - worker.used_cpu - row[0],
            capacity.memory_mb - worker.used_memory_mb - row[1],
            capacity.gpu - worker.used_gpu - row[2],
            worker.filler_cpu + row[3],
            row[4],
        )


def can_ever_fit(worker: fleet.Worker, spec: submissions.StepSpec) -> bool:
    """Returns whether a worker could run a task if it ran nothing else."""
    registration = worker.registration
    return (
        spec.cpu <= registration.cpu
        and spec.memory_mb <= registration.memory_mb
        and spec.gpu <= registration.gpu
        and (not spec.label or spec.label in registration.labels)
    )


def fits(
    worker: fleet.Worker,
    spec: submissions.StepSpec,
    free_capacity: FreeCapacity,
) -> bool:
    """Returns whether a worker has enough free capacity for a task."""
    return _fits_in(worker, spec, free_capacity.get_free(worker))


def _fits_in(worker: fleet.Worker, spec: submissions.StepSpec, free) -> bool:
    cpu, memory_mb, gpu, filler_cpu, _ = free
    if spec.memory_mb > memory_mb or spec.gpu > gpu:
        return False
    if spec.is_filler:
        limit = MAX_FILLER_CPU_SHARE * worker.registration.cpu
        used = worker.registration.cpu - cpu
        return used + filler_cpu + spec.cpu <= limit
    return spec.cpu <= cpu


def count_fitting(
    worker: fleet.Worker,
    spec: submissions.StepSpec,
    free_capacity: FreeCapacity,
    present: int = 0,
) -> int:
    """Returns how many tasks of a step fit on a worker at the same time.

    For fillers it is at most 1.

    Args:
      worker: the worker.
      spec: the step.
      free_capacity: the capacity that is left in the current plan.
      present: number of its tasks that the worker runs already.
    """
    free = free_capacity.get_free(worker)
    if not _fits_in(worker, spec, free):
        return 0
    if spec.is_filler:
        return 1
    counts = [
        available // needed
        for available, needed in zip(
            free, (spec.cpu, spec.memory_mb, spec.gpu), strict=False
        )
        if needed
    ]
    if spec.max_per_worker:
        counts.append(spec.max_per_worker - present)
    return max(0, min(counts, default=1))


def count_attainable(worker: fleet.Worker, spec: submissions.StepSpec) -> int:
    """Returns how many tasks of a step fit once other runs have ended.

    Long-running tasks stay, so that a worker full of them never runs any.

    Args:
      worker: the worker.
      spec: the step.
    """
    needs = (0 if spec.is_filler else spec.cpu, spec.memory_mb, spec.gpu)
    counts = [
        max(0, available // needed)
        for available, needed in zip(
            worker.list_attainable_capacity(), needs, strict=True
        )
        if needed
    ]
    if spec.max_per_worker:
        counts.append(spec.max_per_worker)
    return min(counts, default=1)


def compute_cost(
    worker: fleet.Worker,
    spec: submissions.StepSpec,
    free_capacity: FreeCapacity,
    avoided: Iterable[str] = (),
    now: float = 0.0,
    reserved_for_others: Collection[str] = (),
    need: speeds.TimeNeed | None = None,
) -> float:
    """Returns the cost of running a task on a worker; the lowest is chosen.

    The cost is the share of each resource that would stay unused, plus
    penalties. For a filler, the less CPU is claimed the lower the cost.

    Args:
      worker: the worker.
      spec: the step of the task.
      free_capacity: the capacity that is left in the current plan.
      avoided: ids of workers on which the task has failed.
      now: the monotonic clock, in seconds.
      reserved_for_others: ids of workers that are reserved for other steps.
      need: how much the task needs a fast worker, None if that isn't known.
    """
    free = free_capacity.get_free(worker)
    return _compute_cost_of(
        worker, spec, free, avoided, now, reserved_for_others, need
    )


def _compute_cost_of(
    worker: fleet.Worker,
    spec: submissions.StepSpec,
    free: tuple[int, int, int, int, int],
    avoided: Iterable[str],
    now: float,
    reserved_for_others: Collection[str],
    need: speeds.TimeNeed | None,
) -> float:
    registration = worker.registration
    cpu, memory_mb, gpu, filler_cpu, _ = free
    worker_cpu = registration.cpu or 1
    if spec.is_filler:
        # Fillers use the CPU time that is left, so the most idle worker is
        # best.
        cost = -(cpu - filler_cpu) / worker_cpu
    else:
        cost = (cpu - spec.cpu) / worker_cpu
    cost += 0.5 * (memory_mb - spec.memory_mb) / (registration.memory_mb or 1)
    if registration.gpu:
        cost += (gpu - spec.gpu) / registration.gpu
    if spec.data_rack and registration.rack != spec.data_rack:
        if need is None:
            cost += REMOTE_DATA_COST
        else:
            cost += speeds.SLOWDOWN_COST * (need.far_x - 1)
    if spec.is_filler and worker.latency_sensitive_runs:
        cost += INTERFERENCE_COST
    if spec.target_ms and worker.filler_runs:
        cost += INTERFERENCE_COST
    if worker.id in avoided:
        cost += AVOIDED_WORKER_COST
    if worker.id in reserved_for_others:
        cost += RESERVED_WORKER_COST
    if worker.slowness > SLOWNESS_LIMIT:
        slowness = health.estimate_slowness(worker, now)
        cost += SLOWNESS_COST * max(0.0, slowness - SLOWNESS_LIMIT)
    if need is not None:
        cost += need.compute_cost(worker.run_time_factor)
    return cost + 0.5 * worker.recent_failures


def choose_worker(
    workers: Iterable[fleet.Worker],
    spec: submissions.StepSpec,
    free_capacity: FreeCapacity,
    counts: dict[str, int],
    avoided: Iterable[str] = (),
    now: float = 0.0,
    reserved_for_others: Collection[str] = (),
    need: speeds.TimeNeed | None = None,
) -> fleet.Worker | None:
    """Returns the worker with the lowest cost for a task.

    Args:
      workers: workers that may run the step.
      spec: the step.
      free_capacity: the capacity that is left in the current plan.
      counts: number of tasks of the step by worker id.
      avoided: ids of workers that are the last choice.
      now: the monotonic clock, in seconds.
      reserved_for_others: ids of workers that are reserved for other steps.
      need: how much the task needs a fast worker, None if that isn't known.

    Returns:
      The worker, or None if none has enough free capacity.
    """
    best = None
    best_cost = 0.0
    limit = spec.max_per_worker
    for worker in workers:
        if limit and counts.get(worker.id, 0) >= limit:
            continue
        free = free_capacity.get_free(worker)
        if not _fits_in(worker, spec, free):
            continue
        cost = _compute_cost_of(
            worker, spec, free, avoided, now, reserved_for_others, need
        )
        if best is None or cost < best_cost:
            best = worker
            best_cost = cost
    return best


# Returns a worker for a member of a gang, given the capacity that is left and
# the number of members by worker id; None if no worker fits.
ChooseMember = Callable[[FreeCapacity, dict[str, int]], fleet.Worker | None]


def plan_gang(
    workers: list[fleet.Worker],
    spec: submissions.StepSpec,
    count: int,
    free_capacity: FreeCapacity,
    now: float = 0.0,
    reserved_for_others: Collection[str] = (),
    choose_member: ChooseMember | None = None,
    need: speeds.TimeNeed | None = None,
) -> list[fleet.Worker] | None:
    """Returns a worker for each member of a gang, or None if it doesn't fit.

    A gang that is slower across racks is planned on a single rack if possible.

    Args:
      workers: workers that may run the step.
      spec: the step.
      count: number of members.
      free_capacity: the capacity that is left in the current plan; unchanged
        afterwards.
      now: the monotonic clock, in seconds.
      reserved_for_others: ids of workers that are reserved for other steps.
      choose_member: chooses among all these workers; by default each of them
        is examined.
      need: how much the gang needs fast workers, None if that isn't known.
    """

    def choose_among(group: list[fleet.Worker]) -> ChooseMember:
        return lambda free, counts: choose_worker(
            group, spec, free, counts, (), now, reserved_for_others, need
        )

    if spec.same_rack:
        racks: dict[str, list[fleet.Worker]] = {}
        for worker in workers:
            racks.setdefault(worker.registration.rack, []).append(worker)
        for rack_workers in racks.values():
            if not _may_carry(rack_workers, spec, count, free_capacity):
                continue
            plan = _plan_members(
                choose_among(rack_workers), spec, count, free_capacity
            )
            if plan is not None:
                return plan
    return _plan_members(
        choose_member or choose_among(workers), spec, count, free_capacity
    )


def _may_carry(
    workers: list[fleet.Worker],
    spec: submissions.StepSpec,
    count: int,
    free_capacity: FreeCapacity,
) -> bool:
    """Returns whether workers have enough capacity for tasks in total."""
    total = [0, 0, 0]
    for worker in workers:
        cpu, memory_mb, gpu, _, _ = free_capacity.get_free(worker)
        total[0] += max(0, cpu)
        total[1] += max(0, memory_mb)
        total[2] += max(0, gpu)
    return (
        (spec.is_filler or count * spec.cpu <= total[0])
        and count * spec.memory_mb <= total[1]
        and count * spec.gpu <= total[2]
    )


def _plan_members(
    choose_member: ChooseMember,
    spec: submissions.StepSpec,
    count: int,
    free_capacity: FreeCapacity,
) -> list[fleet.Worker] | None:
    counts: dict[str, int] = {}
    plan: list[fleet.Worker] = []
    reserved: list[tuple[fleet.Worker, int]] = []
    while len(plan) < count:
        worker = choose_member(free_capacity, counts)
        if worker is None:
            break
        # The best worker stays the best one until it is full.
        present = counts.get(worker.id, 0)
        fitting = count_fitting(worker, spec, free_capacity, present)
        taken = min(fitting, count - len(plan))
        free_capacity.reserve(worker, spec, taken)
        reserved.append((worker, taken))
        counts[worker.id] = present + taken
        plan += [worker] * taken
    for worker, taken in reserved:
        free_capacity.release(worker, spec, taken)
    return plan if len(plan) == count else None
