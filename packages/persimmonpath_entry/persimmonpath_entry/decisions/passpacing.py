"""When the waiting steps of a service are planned anew.

Covers an overloaded service. A pass over thousands of waiting steps takes as
long as reading the answers of many workers, so that passes in a row would leave
no time for answers and renewals of leases.
"""

# Shortest time in seconds from the end of a pass to the begin of the next one.
MIN_PAUSE_S = 0.016
# Longest time between two passes, in seconds, since penalties, tickets and
# waiting times change without an event.
MAX_INTERVAL_S = 0.25
# Largest share of the time that passes take.
MAX_TIME_SHARE = 0.4


class PassPacer:
    """Spaces the passes by how long they take."""

    def __init__(self):
        """Creates a pacer that lets the first pass begin at once."""
        self._last_began_at = float("-inf")
        self._next_at = float("-inf")

    def record_pass(self, began_at: float, ended_at: float):
        """Records a pass, in seconds of the monotonic clock."""
        duration_s = ended_at - began_at
        pause_s = duration_s * (1 - MAX_TIME_SHARE) / MAX_TIME_SHARE
        self._last_began_at = began_at
        self._next_at = ended_at + max(MIN_PAUSE_S, pause_s)

    def is_due(self, is_requested: bool, now: float) -> bool:
        """Returns whether a pass may begin.

        Args:
          is_requested: whether an event asks for a pass.
          now: the monotonic clock, in seconds.
        """
        return now >= self._find_due_time(is_requested)

    def choose_wait(self, is_requested: bool, now: float) -> float:
        """Returns the seconds until a pass is due, at least 0."""
        due_in_s = self._find_due_time(is_requested) - now
        return min(MAX_INTERVAL_S, max(0.0, due_in_s))

    def _find_due_time(self, is_requested: bool) -> float:
        if is_requested:
            return self._next_at
        return max(self._next_at, self._last_began_at + MAX_INTERVAL_S)
