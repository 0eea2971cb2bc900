"""Which runs are preempted for a more urgent task.

Covers a task that only one or two workers may run while less urgent tasks
occupy them. It would wait until enough of those have ended at the same time.
Tasks with checkpoints can be stopped instead and continue elsewhere. Among
tenants, also covers one that has far more than its share while the others wait
with work of the same priority.
"""

from collections.abc import Callable
import dataclasses

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
# Runs that are preempted for the sake of the tenants' shares in a second. More
# would only restart work: freed shares are filled by what ends, too.
SHARE_PREEMPTIONS_PER_S = 8
# A run that ends within this time, in seconds, isn't preempted for a share. In
# the replay of test_fairness, large tasks of 2 s were: 41 of 50 submissions
# weren't done at its end, 31 without that.
MIN_REMAINING_S = 3.0
# Seconds after which a task may be preempted a second time for other tenants;
# twice as long for each further time.
TASK_PAUSE_S = 10.0
# Preempted tasks that are remembered before those that are done are dropped.
MAX_REMEMBERED_TASKS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class VictimPolicy:
    """Which runs may be preempted for a step, in a service with tenants.

    Attributes:
      may_preempt: returns whether a run that can be stopped without loss may be
        preempted.
      rank: returns the order in which runs are preempted, lowest first.
    """

    may_preempt: Callable[[execution.Run], bool]
    rank: Callable[[execution.Run], tuple]


class PreemptionHistory:
    """Bounds how often tasks are preempted for the tenants' shares."""

    def __init__(self):
        """Starts without any preemption."""
        # Number of preemptions and time of the last one, by task.
        self._tasks: dict[execution.Task, tuple[int, float]] = {}
        self._budget = float(SHARE_PREEMPTIONS_PER_S)
        self._budget_at = 0.0

    def is_spared(self, task: execution.Task, now: float) -> bool:
        """Returns whether a task was preempted too recently.

        Args:
          task: the task.
          now: the monotonic clock, in seconds.
        """
        count, at = self._tasks.get(task, (0, 0.0))
        return count > 0 and now - at < TASK_PAUSE_S * 2 ** (count - 1)

    def has_budget(self, now: float) -> bool:
        """Returns whether a run may be preempted for another's share now."""
        limit = SHARE_PREEMPTIONS_PER_S
        elapsed_s = max(0.0, now - self._budget_at)
        self._budget = min(limit, self._budget + limit * elapsed_s)
        self._budget_at = now
        return self._budget >= 1

    def record(self, task: execution.Task, is_for_share: bool, now: float):
        """Records a preemption.

        Args:
          task: the preempted task.
          is_for_share: whether another tenant's share was the reason, and not
            the priority.
          now: the monotonic clock, in seconds.
        """
        if is_for_share:
            self._budget -= 1
        if len(self._tasks) >= MAX_REMEMBERED_TASKS:
            for other in list(self._tasks):
                if other.is_done or not other.step.submission.is_active:
                    del self._tasks[other]
        count, _ = self._tasks.get(task, (0, 0.0))
        self._tasks[task] = (count + 1, now)


def is_preemptible(run: execution.Run) -> bool:
    """Returns whether a run can be stopped without losing its progress."""
    spec = run.spec
    if not spec.checkpointing or spec.gang or spec.long_running:
        return False
    return run.phase is execution.Phase.RUNNING and not spec.is_filler


def ends_soon(remaining_s: float) -> bool:
    """Returns whether a run soon frees its capacity by itself.

    Args:
      remaining_s: for how long it is expected to go on, in seconds.
    """
    return remaining_s < MIN_REMAINING_S


def choose_victims(
    worker: fleet.Worker,
    spec: submissions.StepSpec,
    count: int,
    priority: int,
    find_priority: Callable[[execution.Run], int],
    policy: VictimPolicy | None = None,
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
      policy: replaces the rule by priority in a service with tenants.

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
        elif _is_candidate(run, priority, find_priority, policy):
            candidates.append(run)
    if policy is None:
        candidates.sort(key=lambda run: (-find_priority(run), -run.sent_at))
    else:
        candidates.sort(key=policy.rank)
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
    policy: VictimPolicy | None = None,
) -> tuple[int, int, int]:
    """Returns the capacity that preemption would add to the free one.

    Args:
      worker: the worker.
      priority: the priority of the queue for which runs would be preempted.
      find_priority: returns the priority of a run's queue.
      policy: replaces the rule by priority in a service with tenants.

    Returns:
      CPU in thousandths of a core, memory in MB and accelerators, including
      those of runs that are being stopped.
    """
    added = [0, 0, 0]
    for run in worker.runs.values():
        is_stopping = run.phase is execution.Phase.STOPPING
        if is_stopping or _is_candidate(run, priority, find_priority, policy):
            _subtract(added, run.spec)
    return -added[0], -added[1], -added[2]


def _is_candidate(run, priority, find_priority, policy) -> bool:
    if not is_preemptible(run):
        return False
    if policy is None:
        return find_priority(run) > priority
    return policy.may_preempt(run)


def _subtract(shortfall: list[int], spec: submissions.StepSpec):
    shortfall[0] -= 0 if spec.is_filler else spec.cpu
    shortfall[1] -= spec.memory_mb
    shortfall[2] -= spec.gpu
