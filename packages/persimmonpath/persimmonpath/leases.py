"""Owner leases of workers, as far as their owner can be sure of them."""

from persimmonpath import timers

WORKER_LEASE_S = 15.0
# Longest time from sending a call to its effect at the worker. A call without
# an answer may still have taken effect, so it counts as delivered this late.
DELIVERY_MARGIN_S = 3.0
# Shorter leases would lapse before the next renewal and are not asked for.
MIN_LEASE_S = 1.0


class OwnerLease:
    """Bounds the time for which a silent worker may keep running tasks.

    Calls to a silent worker may arrive although their answers do not. Each
    asks for a lease that ends within twice `WORKER_LEASE_S` of the last
    answer, so after that time the worker has certainly stopped its tasks.
    """

    def __init__(self, timer_service: timers.TimerService):
        """Creates a lease that counts as confirmed now."""
        self._timers = timer_service
        self._confirmed_at = timer_service.now()

    def confirm(self) -> None:
        """Notes that the worker has answered."""
        self._confirmed_at = self._timers.now()

    def choose_duration_s(self) -> float | None:
        """Returns the seconds to ask for, or None to leave the worker alone."""
        left_s = self._get_end() - self._timers.now() - DELIVERY_MARGIN_S
        if left_s < MIN_LEASE_S:
            return None
        return min(WORKER_LEASE_S, left_s)

    def is_shortened(self) -> bool:
        """Returns whether the length now is less than a whole lease."""
        return self.choose_duration_s() != WORKER_LEASE_S

    def has_lapsed(self) -> bool:
        """Returns whether the worker has certainly stopped its tasks."""
        return self._timers.now() >= self._get_end()

    def _get_end(self) -> float:
        return self._confirmed_at + 2 * WORKER_LEASE_S
