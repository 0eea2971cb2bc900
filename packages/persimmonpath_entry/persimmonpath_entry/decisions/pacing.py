"""The CPU share of fillers beside tasks with a latency target.

Fillers are tasks that use the CPU time left by others. On a worker with a
latency-sensitive task they can push its tail latency over the target within a
second, and are throttled before its users notice.
"""

# Seconds over the latency target after which fillers are throttled.
MAX_OVER_TARGET_S = 0.8
# Minimum seconds from the last change to a decrease and to an increase, so that
# the effect of the last change shows first.
DECREASE_INTERVAL_S = 0.8
INCREASE_INTERVAL_S = 2.0
# The share after the first decrease; the second one stops the fillers.
REDUCED_PERCENT = 25
# The share of fillers is increased while the tail latency is below this share
# of its target.
RECOVERY_TAIL_SHARE = 0.75
FULL_PERCENT = 100
INCREASE_FACTOR = 2


def choose_filler_percent(
    current: int, over_target_s: float, tail_share: float, unchanged_s: float
) -> int:
    """Returns the CPU share that the fillers of a worker may use, in percent.

    Args:
      current: the current share, 0 to 100.
      over_target_s: longest time in seconds for which a latency-sensitive task
        of the worker has been over its target, 0 if none is.
      tail_share: largest tail latency of these tasks divided by its target.
      unchanged_s: seconds since the share was last changed.
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
