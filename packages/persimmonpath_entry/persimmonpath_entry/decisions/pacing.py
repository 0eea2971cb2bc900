"""At which share fillers work beside tasks that serve.

Answers the load of fillers that disturb a serving task: its tail goes over its
target within a second, and the fillers have to give way before its users
notice.
"""

# Time over the target after which fillers give way.
OVER_S = 0.8
# Least time between two steps, so that the effect of one shows.
STEP_DOWN_S = 0.8
STEP_UP_S = 2.0
# The first step down; the next one is a full stop.
LOW_PERCENT = 25
# A tail below this share of its target lets fillers work more again.
CALM_SHARE = 0.75
FULL_PERCENT = 100
RAISE_FACTOR = 2


def choose_percent(
    current: int, over_s: float, tail_share: float, unchanged_s: float
) -> int:
    """Returns the share at which the fillers of a worker may work.

    Args:
      current: the share now, 0 to 100.
      over_s: seconds for which a serving task has been over its target.
      tail_share: the largest tail of its serving tasks against its target.
      unchanged_s: seconds since the share was changed.
    """
    if over_s > OVER_S and current > 0:
        if unchanged_s < STEP_DOWN_S:
            return current
        return LOW_PERCENT if current > LOW_PERCENT else 0
    is_calm = over_s == 0 and tail_share < CALM_SHARE
    if is_calm and current < FULL_PERCENT and unchanged_s > STEP_UP_S:
        return min(FULL_PERCENT, max(LOW_PERCENT, current * RAISE_FACTOR))
    return current
