"""Concurrency limits of workers, and the slots that long work may use.

Limits protect against workers that become slow or refuse starts; the slots
withheld from long work protect short requests under a load of long ones.
"""

import dataclasses

# A worker whose runs take on average more than this many times the typical run
# of their kind counts as slow.
SLOW_RATIO = 2.0
# Weight of the newest run in the moving average; low enough that a single
# outlier does not lower a limit.
SMOOTHING_FACTOR = 0.2
# Factors on the limit of a slow worker, and of one that refused a start as
# overloaded.
DECREASE_FACTOR = 0.8
REFUSAL_DECREASE_FACTOR = 0.7
# Time for which a worker that failed to start an attempt gets no new ones.
EXCLUSION_S = 1.0


@dataclasses.dataclass(slots=True)
class _Worker:
    """State of one worker.

    Attributes:
        slots: Its number of slots.
        limit: Attempts that it may run at once; the integer part counts.
        ratio: Moving average of run times over the typical run time.
        in_flight: Running attempts.
        long_in_flight: Running attempts of long work.
    """

    slots: int
    limit: float
    ratio: float = 1.0
    in_flight: int = 0
    long_in_flight: int = 0


class ConcurrencyLimits:
    """Adaptive concurrency limits of a shard's workers.

    Additive increase and multiplicative decrease: a limit falls while runs on
    the worker take longer than is typical for their kind, and rises by one for
    each full round of runs in typical time, up to the worker's slots.
    """

    def __init__(self, short_share: float):
        """Creates limits without workers.

        Args:
            short_share: Share of a worker's slots reserved for short work.
        """
        self._short_share = short_share
        self._workers: dict[str, _Worker] = {}
        self._attempts: dict[str, tuple[str, bool]] = {}
        # Updated with each change, since every start reads them.
        self._full: set[str] = set()
        self._full_of_long_work: set[str] = set()
        self._excluded_until: dict[str, float] = {}

    def set_slots(self, name: str, slots: int) -> None:
        """Adds a worker, or changes its number of slots."""
        worker = self._workers.get(name)
        if worker is None:
            self._workers[name] = _Worker(slots, float(slots))
        else:
            worker.slots = slots
            worker.limit = min(worker.limit, float(slots))
        self._update(name)

    def list_excluded(self, is_short: bool, now: float) -> set[str]:
        """Returns the workers that must not get another attempt now.

        Args:
            is_short: Whether the attempt is expected to be short.
            now: Monotonic seconds.
        """
        for name in [
            n for n, end in self._excluded_until.items() if end <= now
        ]:
            del self._excluded_until[name]
        excluded = self._full.union(self._excluded_until)
        return excluded if is_short else excluded | self._full_of_long_work

    def count_long_slots(self, name: str) -> int:
        """Returns the number of a worker's slots that long work may use."""
        slots = self._workers[name].slots
        return max(1, slots - round(slots * self._short_share))

    def acquire(self, name: str, attempt: str, is_short: bool) -> None:
        """Counts an attempt that is about to start."""
        worker = self._workers[name]
        worker.in_flight += 1
        worker.long_in_flight += not is_short
        self._attempts[attempt] = name, is_short
        self._update(name)

    def mark_long(self, attempt: str) -> None:
        """Counts a short attempt as long work from now on."""
        name, is_short = self._attempts.get(attempt, ("", False))
        if is_short:
            self._workers[name].long_in_flight += 1
            self._attempts[attempt] = name, False
            self._update(name)

    def release(self, attempt: str) -> None:
        """Stops counting an attempt; does nothing when it is not counted."""
        name, is_short = self._attempts.pop(attempt, ("", False))
        if name:
            worker = self._workers[name]
            worker.in_flight -= 1
            worker.long_in_flight -= not is_short
            self._update(name)

    def observe(self, name: str, ratio: float) -> None:
        """Adapts a worker's limit to a finished run.

        Args:
            name: The worker.
            ratio: Time from start to answer, divided by the typical run time
                of the kind; values above 10 count as 10.
        """
        worker = self._workers[name]
        worker.ratio += SMOOTHING_FACTOR * (min(ratio, 10.0) - worker.ratio)
        if worker.ratio > SLOW_RATIO:
            worker.limit = max(1.0, worker.limit * DECREASE_FACTOR)
            # Avoids a second cut before runs under the new limit have ended.
            worker.ratio = 1.0
        else:
            raised = worker.limit + 1.0 / max(1.0, worker.limit)
            worker.limit = min(float(worker.slots), raised)
        self._update(name)

    def observe_refusal(self, name: str) -> None:
        """Lowers the limit of a worker that refused a start as overloaded."""
        worker = self._workers[name]
        worker.limit = max(1.0, worker.limit * REFUSAL_DECREASE_FACTOR)
        self._update(name)

    def exclude(self, name: str, now: float) -> None:
        """Excludes a worker from new attempts for `EXCLUSION_S`."""
        self._excluded_until[name] = now + EXCLUSION_S

    def get_limit(self, name: str) -> int:
        """Returns the number of attempts that a worker may run at once."""
        return int(self._workers[name].limit)

    def _update(self, name: str) -> None:
        worker = self._workers[name]
        _set_member(self._full, name, worker.in_flight >= int(worker.limit))
        _set_member(
            self._full_of_long_work,
            name,
            worker.long_in_flight >= self.count_long_slots(name),
        )


def _set_member(names: set[str], name: str, is_member: bool) -> None:
    if is_member:
        names.add(name)
    else:
        names.discard(name)
