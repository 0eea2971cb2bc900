"""Owner leases of workers, bounded by what the owner can be sure of."""

from persimmonpath import timers

WORKER_LEASE_S = 15.0
# Longest time from sending a call to its effect at the worker. An unanswered
# call may have taken effect, so it is assumed to be delivered this late.
DELIVERY_MARGIN_S = 3.0
# Shorter leases are not requested: they would lapse before the next renewal.
MIN_LEASE_S = 1.0


class OwnerLease:
    """Bounds how long an unresponsive worker may keep running tasks.

    Calls to an unresponsive worker may arrive although their answers are lost.
    Each call requests a lease that ends within twice `WORKER_LEASE_S` of the
    last answer, so after that time the worker has certainly stopped its tasks.
    """

    def __init__(self, timer_service: timers.TimerService):
        """Creates a lease that was confirmed now."""
        self._timers = timer_service
        self._confirmed_at = timer_service.now()

    def confirm(self) -> None:
        """Records an answer of the worker."""
        self._confirmed_at = self._timers.now()

    def choose_duration_s(self) -> float | None:
        """Returns the lease duration to request, or None to send no call."""
        left_s = self._get_end() - self._timers.now() - DELIVERY_MARGIN_S
        if left_s < MIN_LEASE_S:
            return None
        return min(WORKER_LEASE_S, left_s)

    def is_shortened(self) -> bool:
        """Returns whether a lease requested now is shorter than a full one."""
        return self.choose_duration_s() != WORKER_LEASE_S

    def has_lapsed(self) -> bool:
        """Returns whether the worker has certainly stopped its tasks."""
        return self._timers.now() >= self._get_end()

    def _get_end(self) -> float:
        return self._confirmed_at + 2 * WORKER_LEASE_S
