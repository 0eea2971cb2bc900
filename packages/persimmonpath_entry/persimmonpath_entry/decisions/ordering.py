"""The order in which waiting steps are placed.

Decides what starts first at peak load, when more tasks wait than fit: the more
urgent queues first, within a queue priority the steps that can still meet their
latency objective, and last of all those that are too late to be of use. What a
tenant sends beyond its agreed rate goes behind all work that is owed.
"""

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


def estimate_critical_path_ms(steps: list) -> float:
    """Returns the estimated duration of the critical path of steps, in ms."""
    ends_ms: list[float] = []
    for spec in steps:
        start = max(
            (ends_ms[dependency] for dependency in spec.after), default=0.0
        )
        ends_ms.append(start + spec.estimated_ms)
    return max(ends_ms, default=0.0)


def estimate_remaining_path_ms(steps: list, number: int) -> float:
    """Returns the estimated duration of the longest path from a step on, in ms.

    Args:
      steps: the steps of a submission.
      number: the number of the step, which is counted too.
    """
    if number >= len(steps):
        # The details of an ended submission have been dropped.
        return 0.0
    ends_ms = {number: steps[number].estimated_ms}
    for later in range(number + 1, len(steps)):
        starts_ms = [
            ends_ms[dependency]
            for dependency in steps[later].after
            if dependency in ends_ms
        ]
        if starts_ms:
            ends_ms[later] = max(starts_ms) + steps[later].estimated_ms
    return max(ends_ms.values())


def rank_step(
    step: execution.Step,
    queue: configuration.Queue,
    age_s: float,
    critical_path_ms: float,
    now: float,
    is_excess: bool = False,
) -> Rank:
    """Returns the rank of a waiting step.

    Args:
      step: the step.
      queue: its queue.
      age_s: seconds since its latency objective counts.
      critical_path_ms: estimated duration of the submission's critical path.
      now: the monotonic clock, in seconds.
      is_excess: whether it is beyond the agreed rate of its tenant.
    """
    objective_s = compute_objective_s(queue, critical_path_ms)
    if step.spec.long_running:
        due_s = now - age_s + objective_s
        return Rank(False, is_excess, queue.priority, False, False, due_s)
    remaining_s = _estimate_remaining_s(step)
    finish_s = age_s + remaining_s
    later_s = remaining_s - step.spec.estimated_ms / 1000
    due_s = now - age_s + objective_s - later_s
    return Rank(
        finish_s > EXPIRY_FACTOR * objective_s,
        is_excess,
        queue.priority,
        finish_s > objective_s,
        False,
        due_s,
    )


def _estimate_remaining_s(step: execution.Step) -> float:
    steps = step.submission.record.steps
    return estimate_remaining_path_ms(steps, step.number) / 1000


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
) -> float:
    """Returns when the rank of a waiting step changes next.

    Args:
      step: the step.
      queue: its queue.
      age_s: seconds since its latency objective counts.
      critical_path_ms: estimated duration of the submission's critical path.
      now: the monotonic clock, in seconds.

    Returns:
      A time in seconds of the monotonic clock, infinity if it doesn't change.
    """
    if step.spec.long_running:
        return math.inf
    objective_s = compute_objective_s(queue, critical_path_ms)
    finish_s = age_s + _estimate_remaining_s(step)
    for limit_s in (objective_s, EXPIRY_FACTOR * objective_s):
        if finish_s <= limit_s:
            return now + limit_s - finish_s
    return math.inf
