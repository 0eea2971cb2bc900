"""Run times learned for each kind of work."""

import collections
import dataclasses

import sortedcontainers

MAX_KINDS = 1000
# Recent runs kept for each kind; old ones must not outvote a change.
WINDOW_SAMPLES = 64
# Declared values are replaced by learned ones after this many runs.
MIN_SAMPLES = 3
TYPICAL_QUANTILE = 0.5
HIGH_QUANTILE = 0.9
# Taken for a kind that has never run and declares nothing.
DEFAULT_RUN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Expected run time of a request in seconds.

    Attributes:
        typical_s: Half of the runs take at most this long.
        high_s: Nine of ten runs take at most this long.
        is_learned: Whether it comes from runs, not from a declared value.
    """

    typical_s: float
    high_s: float
    is_learned: bool

    def get_required_s(self, timeout_s: float) -> float:
        """Returns the seconds to keep free before a deadline for the run.

        A kind whose runs took longer than a request's whole time tells nothing
        of that request. Refusing it would also keep the estimate from ever
        being corrected by new runs.

        Args:
            timeout_s: The request's whole time in seconds.
        """
        if not self.is_learned or self.typical_s > timeout_s:
            return 0.0
        return self.high_s if self.high_s <= timeout_s else self.typical_s


class _Window:
    """Quantiles over the most recent samples."""

    def __init__(self):
        self._recent: collections.deque[float] = collections.deque()
        self._sorted = sortedcontainers.SortedList()

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, value: float) -> None:
        self._recent.append(value)
        self._sorted.add(value)
        if len(self._recent) > WINDOW_SAMPLES:
            self._sorted.remove(self._recent.popleft())

    def get_quantile(self, quantile: float) -> float:
        index = min(len(self._sorted) - 1, int(quantile * len(self._sorted)))
        return self._sorted[index]


class RunTimeEstimator:
    """Run times per kind; a declared value counts only as a first guess."""

    def __init__(self):
        """Creates estimates without samples."""
        self._windows: collections.OrderedDict[str, _Window] = (
            collections.OrderedDict()
        )

    def observe(self, kind: str, run_s: float) -> None:
        """Takes in the run time of an attempt.

        An attempt that overruns its estimate is also observed with the time
        that it has taken so far: long runs end too late to teach in time.

        Args:
            kind: Kind of work.
            run_s: Seconds that it ran.
        """
        window = self._windows.get(kind)
        if window is None:
            window = self._windows[kind] = _Window()
        self._windows.move_to_end(kind)
        window.add(run_s)
        if len(self._windows) > MAX_KINDS:
            self._windows.popitem(last=False)

    def estimate(self, kind: str, declared_s: float) -> Estimate:
        """Returns the expected run time.

        Args:
            kind: Kind of work.
            declared_s: The caller's own guess in seconds; 0 for none.
        """
        window = self._windows.get(kind)
        if window is None or len(window) < MIN_SAMPLES:
            expected_s = declared_s or DEFAULT_RUN_S
            return Estimate(expected_s, expected_s, False)
        return Estimate(
            window.get_quantile(TYPICAL_QUANTILE),
            window.get_quantile(HIGH_QUANTILE),
            True,
        )
