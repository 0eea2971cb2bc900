"""The order of waiting work.

Answers the load of a crest: more work waits than fits, so the work whose
latency objective can still be met comes first, then what is late, then what
is beyond any use.
"""

import dataclasses

from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import work

# After three times its objective a submission is of no use to its caller.
LATE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The place of a step among the waiting ones; the least comes first.

    Attributes:
      lateness: 0 on time, 1 late, 2 beyond any use.
      priority: that of the queue.
      due_s: when the objective ends, on the steady clock.
    """

    lateness: int
    priority: int
    due_s: float


def estimate_chain_ms(steps: list) -> float:
    """Returns the longest chain of estimated work of steps, in ms."""
    ends: list[float] = []
    for spec in steps:
        start = max((ends[earlier] for earlier in spec.after), default=0.0)
        ends.append(start + spec.estimated_ms)
    return max(ends, default=0.0)


def rank_step(
    step: work.Step,
    queue: configuration.Queue,
    age_s: float,
    chain_ms: float,
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
    objective_s = (queue.stretch * chain_ms + queue.target_latency_ms) / 1000
    if step.spec.long_running:
        return Rank(0, queue.priority, now - age_s + objective_s)
    left_s = step.spec.estimated_ms / 1000
    finish_s = age_s + left_s
    lateness = 0
    if finish_s > LATE_FACTOR * objective_s:
        lateness = 2
    elif finish_s > objective_s:
        lateness = 1
    return Rank(lateness, queue.priority, now - age_s + objective_s)
