"""The order in which waiting steps are placed.

Decides what starts first at peak load, when more tasks wait than fit: the more
urgent queues first, within a queue priority the steps that can still meet their
latency objective, and last of all those that are too late to be of use. What a
tenant sends beyond its agreed rate goes behind all work that is owed.
"""

from collections.abc import Sequence
import math
from typing import NamedTuple

from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution

# Multiple of its latency objective after which a submission is of no use to its
# caller.
EXPIRY_FACTOR = 3.0


class Rank(NamedTuple):
    """Sort key of a waiting step; the smallest is placed first.

    A more urgent queue goes before a less urgent one even when it is late: its
    tasks are short, and the others can wait longer before they are late. Work
    beyond the agreed rate of its tenant goes last whatever its priority is:
    otherwise a tenant could take from the others by calling its work urgent.

    Attributes:
      is_expired: whether the result will be too late to be of use.
      is_excess: whether it is beyond the agreed rate of its tenant.
      priority: the priority of the queue, 0 for the most urgent.
      is_late: whether the latency objective can't be met any more.
      is_distant: with tenants, whether due_s is farther away than what is
        placed by their shares; without them always False.
      due_s: when the step must be done for the latency objective to be met, in
        seconds of the monotonic clock.
    """

    is_expired: bool
    is_excess: bool
    priority: int
    is_late: bool
    is_distant: bool
    due_s: float


def estimate_critical_path_ms(
    steps: list, run_ms: Sequence[float] | None = None
) -> float:
    """Returns the estimated duration of the critical path of steps, in ms.

    Args:
      steps: the steps of a submission.
      run_ms: expected run time of the tasks of each step, in milliseconds;
        None for the callers' estimates.
    """
    ends_ms: list[float] = []
    for number, spec in enumerate(steps):
        start = max(
            (ends_ms[dependency] for dependency in spec.after), default=0.0
        )
        ends_ms.append(start + _choose_run_ms(steps, number, run_ms))
    return max(ends_ms, default=0.0)


def _choose_run_ms(
    steps: list, number: int, run_ms: Sequence[float] | None
) -> float:
    return steps[number].estimated_ms if run_ms is None else run_ms[number]


def estimate_remaining_path_ms(
    steps: list, number: int, run_ms: Sequence[float] | None = None
) -> float:
    """Returns the estimated duration of the longest path from a step on, in ms.

    Args:
      steps: the steps of a submission.
      number: the number of the step, which is counted too.
      run_ms: as in `estimate_critical_path_ms`.
    """
    if number >= len(steps):
        # The details of an ended submission have been dropped.
        return 0.0
    ends_ms = {number: _choose_run_ms(steps, number, run_ms)}
    for later in range(number + 1, len(steps)):
        starts_ms = [
            ends_ms[dependency]
            for dependency in steps[later].after
            if dependency in ends_ms
        ]
        if starts_ms:
            later_ms = _choose_run_ms(steps, later, run_ms)
            ends_ms[later] = max(starts_ms) + later_ms
    return max(ends_ms.values())


def rank_step(
    step: execution.Step,
    queue: configuration.Queue,
    age_s: float,
    critical_path_ms: float,
    now: float,
    run_ms: Sequence[float] | None = None,
    is_excess: bool = False,
) -> Rank:
    """Returns the rank of a waiting step.

    Args:
      step: the step.
      queue: its queue.
      age_s: seconds since its latency objective counts.
      critical_path_ms: estimated duration of the submission's critical path.
      now: the monotonic clock, in seconds.
      run_ms: as in `estimate_critical_path_ms`.
      is_excess: whether it is beyond the agreed rate of its tenant.
    """
    objective_s = compute_objective_s(queue, critical_path_ms)
    if step.spec.long_running:
        due_s = now - age_s + objective_s
        return Rank(False, is_excess, queue.priority, False, False, due_s)
    remaining_s = _estimate_remaining_s(step, run_ms)
    finish_s = age_s + remaining_s
    steps = step.submission.record.steps
    if step.number < len(steps):
        own_s = _choose_run_ms(steps, step.number, run_ms) / 1000
    else:
        own_s = step.spec.estimated_ms / 1000
    later_s = remaining_s - own_s
    due_s = now - age_s + objective_s - later_s
    return Rank(
        finish_s > EXPIRY_FACTOR * objective_s,
        is_excess,
        queue.priority,
        finish_s > objective_s,
        False,
        due_s,
    )


def _estimate_remaining_s(
    step: execution.Step, run_ms: Sequence[float] | None
) -> float:
    steps = step.submission.record.steps
    return estimate_remaining_path_ms(steps, step.number, run_ms) / 1000


def compute_objective_s(
    queue: configuration.Queue, critical_path_ms: float
) -> float:
    """Returns the latency objective of a submission, in seconds."""
    return (queue.stretch * critical_path_ms + queue.target_latency_ms) / 1000


def find_rank_change(
    step: execution.Step,
    queue: configuration.Queue,
    age_s: float,
    critical_path_ms: float,
    now: float,
    run_ms: Sequence[float] | None = None,
) -> float:
    """Returns when the rank of a waiting step changes next.

    Args:
      step: the step.
      queue: its queue.
      age_s: seconds since its latency objective counts.
      critical_path_ms: estimated duration of the submission's critical path.
      now: the monotonic clock, in seconds.
      run_ms: as in `estimate_critical_path_ms`.

    Returns:
      A time in seconds of the monotonic clock, infinity if it doesn't change.
    """
    if step.spec.long_running:
        return math.inf
    objective_s = compute_objective_s(queue, critical_path_ms)
    finish_s = age_s + _estimate_remaining_s(step, run_ms)
    for limit_s in (objective_s, EXPIRY_FACTOR * objective_s):
        if finish_s <= limit_s:
            return now + limit_s - finish_s
    return math.inf
