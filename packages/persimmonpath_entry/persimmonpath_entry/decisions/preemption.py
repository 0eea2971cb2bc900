"""Which runs are preempted for a more urgent task.

Covers a task that only one or two workers may run while less urgent tasks
occupy them. It would wait until enough of those have ended at the same time.
Tasks with checkpoints can be stopped instead and continue elsewhere.
"""

from collections.abc import Callable

from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Seconds for which a step waits before other runs are preempted for it.
PREEMPTION_DELAY_S = 1.0
# Most seconds from the preemption of a run until its capacity is known to be
# free.
STOP_DURATION_S = 0.4
# Minimum seconds between two preemptions on a worker, so that the capacity of
# the first one has been released and used.
MIN_PREEMPTION_INTERVAL_S = 1.5


def is_preemptible(run: execution.Run) -> bool:
    """Returns whether a run can be stopped without losing its progress."""
    spec = run.spec
    if not spec.checkpointing or spec.gang or spec.long_running:
        return False
    return run.phase is execution.Phase.RUNNING and not spec.is_filler


def choose_victims(
    worker: fleet.Worker,
    spec: submissions.StepSpec,
    count: int,
    priority: int,
    find_priority: Callable[[execution.Run], int],
) -> list[execution.Run]:
    """Returns the runs to preempt on a worker so that tasks fit there.

    Runs of the least urgent queues are chosen first, and among them the
    youngest. The capacity of runs that are being stopped counts as free.

    Args:
      worker: the worker.
      spec: the step of the tasks.
      count: number of tasks that have to fit.
      priority: the priority of their queue, 0 for the most urgent.
      find_priority: returns the priority of a run's queue.

    Returns:
      The runs; empty if none has to be stopped, or if stopping all candidates
      isn't enough.
    """
    shortfall = [
        count * spec.cpu - worker.free_cpu,
        count * spec.memory_mb - worker.free_memory_mb,
        count * spec.gpu - worker.free_gpu,
    ]
    candidates = []
    for run in worker.runs.values():
        if run.phase is execution.Phase.STOPPING:
            _subtract(shortfall, run.spec)
        elif is_preemptible(run) and find_priority(run) > priority:
            candidates.append(run)
    candidates.sort(key=lambda run: (-find_priority(run), -run.sent_at))
    victims = []
    for run in candidates:
        if max(shortfall) <= 0:
            break
        _subtract(shortfall, run.spec)
        victims.append(run)
    return victims if max(shortfall) <= 0 else []


def measure_reclaimable(
    worker: fleet.Worker,
    priority: int,
    find_priority: Callable[[execution.Run], int],
) -> tuple[int, int, int]:
    """Returns the capacity that preemption would add to the free one.

    Args:
      worker: the worker.
      priority: the priority of the queue for which runs would be preempted.
      find_priority: returns the priority of a run's queue.

    Returns:
      CPU in thousandths of a core, memory in MB and accelerators, including
      those of runs that are being stopped.
    """
    added = [0, 0, 0]
    for run in worker.runs.values():
        is_stopping = run.phase is execution.Phase.STOPPING
        if is_stopping or (
            is_preemptible(run) and find_priority(run) > priority
        ):
            _subtract(added, run.spec)
    return -added[0], -added[1], -added[2]


def _subtract(shortfall: list[int], spec: submissions.StepSpec):
    shortfall[0] -= 0 if spec.is_filler else spec.cpu
    shortfall[1] -= spec.memory_mb
    shortfall[2] -= spec.gpu
