"""At which share fillers work beside tasks that serve.

Answers the load of fillers that disturb a serving task: its tail goes over its
target within a second, and the fillers have to give way before its users
notice.
"""

# Time over the target after which fillers give way.
MAX_OVER_TARGET_S = 0.8
# Least time between two steps, so that the effect of one shows.
DECREASE_INTERVAL_S = 0.8
INCREASE_INTERVAL_S = 2.0
# The first step down; the next one is a full stop.
REDUCED_PERCENT = 25
# A tail below this share of its target lets fillers work more again.
RECOVERY_TAIL_SHARE = 0.75
FULL_PERCENT = 100
INCREASE_FACTOR = 2


def choose_filler_percent(
    current: int, over_target_s: float, tail_share: float, unchanged_s: float
) -> int:
    """Returns the share at which the fillers of a worker may work.

    Args:
      current: the share now, 0 to 100.
      over_s: seconds for which a serving task has been over its target.
      tail_share: the largest tail of its serving tasks against its target.
      unchanged_s: seconds since the share was changed.
    """
    if over_target_s > MAX_OVER_TARGET_S and current > 0:
        if unchanged_s < DECREASE_INTERVAL_S:
            return current
        return REDUCED_PERCENT if current > REDUCED_PERCENT else 0
    has_recovered = over_target_s == 0 and tail_share < RECOVERY_TAIL_SHARE
    if (
        has_recovered
        and current < FULL_PERCENT
        and unchanged_s > INCREASE_INTERVAL_S
    ):
        return min(
            FULL_PERCENT, max(REDUCED_PERCENT, current * INCREASE_FACTOR)
        )
    return current
