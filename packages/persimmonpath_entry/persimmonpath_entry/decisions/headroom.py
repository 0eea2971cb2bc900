"""How much of its limit a tenant's less urgent work leaves to its urgent work.

Covers a tenant near its limit that sends short urgent steps and long less
urgent ones. The long tasks would use all of the limit for seconds, and each
urgent step would wait until some of them have ended. Work that can still meet
its objective later leaves room for the largest urgent step of the last seconds
instead.
"""

from persimmonpath import resources

# Seconds of a window in which the largest step is kept. The demand is that of
# the current and the last one.
WINDOW_S = 5.0
# Most that less urgent work leaves free, as a part of what the tenant may use.
# With more, work of one queue couldn't use half of the limit.
MAX_PART = 1 / 4
# Multiple of its run time that must be left until a step is due, for it to
# leave room to others.
MIN_SLACK_RUNS = 2.0


def has_slack(due_s: float, run_s: float, now: float) -> bool:
    """Returns whether a step can wait and still be done when it is due.

    Args:
      due_s: when the step must be done, in seconds of the monotonic clock.
      run_s: the expected run time of its tasks, in seconds.
      now: the monotonic clock, in seconds.
    """
    return due_s - now > MIN_SLACK_RUNS * run_s


def cap_headroom(
    demand: resources.Resources, allowed: resources.Resources
) -> resources.Resources:
    """Returns the part of a demand that is kept free.

    Args:
      demand: what the urgent work may need at once.
      allowed: what the tenant may use.
    """
    return resources.Resources(
        min(demand.cpu_millis, int(allowed.cpu_millis * MAX_PART)),
        min(demand.memory_mib, int(allowed.memory_mib * MAX_PART)),
        min(demand.accelerators, int(allowed.accelerators * MAX_PART)),
    )


class UrgentDemand:
    """The largest step of each tenant and priority in the last seconds."""

    def __init__(self):
        """Starts without any demand."""
        self._started_at = 0.0
        self._current: dict[str, dict[int, resources.Resources]] = {}
        self._last: dict[str, dict[int, resources.Resources]] = {}

    def record(
        self,
        tenant: str,
        priority: int,
        size: resources.Resources,
        now: float,
    ):
        """Records a step that waits.

        Args:
          tenant: the name of its tenant.
          priority: the priority of its queue, 0 for the most urgent.
          size: what its waiting tasks use together.
          now: the monotonic clock, in seconds.
        """
        self._advance(now)
        sizes = self._current.setdefault(tenant, {})
        sizes[priority] = _take_larger(sizes.get(priority), size)

    def find(
        self, tenant: str, priority: int, now: float
    ) -> resources.Resources:
        """Returns the largest step of the queues above a priority.

        Args:
          tenant: the name of the tenant.
          priority: the priority.
          now: the monotonic clock, in seconds.
        """
        self._advance(now)
        demand = resources.ZERO
        for window in (self._current, self._last):
            for other, size in window.get(tenant, {}).items():
                if other < priority:
                    demand = _take_larger(demand, size)
        return demand

    def _advance(self, now: float):
        if now - self._started_at < WINDOW_S:
            return
        is_recent = now - self._started_at < 2 * WINDOW_S
        self._last = self._current if is_recent else {}
        self._current = {}
        self._started_at = now


def _take_larger(
    former: resources.Resources | None, size: resources.Resources
) -> resources.Resources:
    """Returns the larger amount of each resource."""
    if former is None:
        return size
    return resources.Resources(
        max(former.cpu_millis, size.cpu_millis),
        max(former.memory_mib, size.memory_mib),
        max(former.accelerators, size.accelerators),
    )
