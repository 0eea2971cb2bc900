"""The order of waiting work.

Answers the load of a crest: more work waits than fits, so urgent work comes
first, within it what can still meet its objective, and last of all what is
beyond any use.
"""

import dataclasses

from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution

# After three times its objective a submission is of no use to its caller.
EXPIRY_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The place of a step among the waiting ones; the least comes first.

    Urgent work comes before less urgent work even when it is late: its tasks
    are short, and the others can wait longer before they are late.

    Attributes:
      is_hopeless: whether it is beyond any use for its caller.
      priority: that of the queue.
      is_late: whether its objective can't be met any more.
      due_s: when the objective ends, on the steady clock.
    """

    is_expired: bool
    priority: int
    is_late: bool
    due_s: float


def estimate_critical_path_ms(steps: list) -> float:
    """Returns the longest chain of estimated work of steps, in ms."""
    ends_ms: list[float] = []
    for spec in steps:
        start = max(
            (ends_ms[dependency] for dependency in spec.after), default=0.0
        )
        ends_ms.append(start + spec.estimated_ms)
    return max(ends_ms, default=0.0)


def rank_step(
    step: execution.Step,
    queue: configuration.Queue,
    age_s: float,
    critical_path_ms: float,
    now: float,
) -> Rank:
    """Returns the rank of a waiting step.

    Args:
      step: the step.
      queue: its queue.
      age_s: seconds since its submission was accepted.
      chain_ms: the longest chain of estimated work of the submission.
      now: the steady clock.
    """
    objective_s = (
        queue.stretch * critical_path_ms + queue.target_latency_ms
    ) / 1000
    due_s = now - age_s + objective_s
    if step.spec.long_running:
        return Rank(False, queue.priority, False, due_s)
    finish_s = age_s + step.spec.estimated_ms / 1000
    return Rank(
        finish_s > EXPIRY_FACTOR * objective_s,
        queue.priority,
        finish_s > objective_s,
        due_s,
    )
