"""Run times learned for each kind of work.

Admission and queue order depend on run times, and callers may declare wrong
ones.
"""

import collections
import dataclasses

import sortedcontainers

# Kinds come from callers; the least recently seen one is dropped beyond this.
MAX_KINDS = 1000
# Recent runs kept for each kind; a small window lets estimates follow changes.
WINDOW_SAMPLES = 64
# Learned values replace declared ones after this many runs.
MIN_SAMPLES = 3
TYPICAL_QUANTILE = 0.5
HIGH_QUANTILE = 0.9
# Estimate for a kind without enough runs and without a declared value.
DEFAULT_RUN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Expected run time of a request in seconds.

    Attributes:
        typical_s: Half of the runs take at most this long.
        high_s: Nine of ten runs take at most this long.
        is_learned: Whether it comes from observed runs, not from a declared
            or default value.
    """

    typical_s: float
    high_s: float
    is_learned: bool

    def get_required_s(self, timeout_s: float) -> float:
        """Returns the seconds that a request needs before its deadline.

        Returns 0 if the typical run exceeds the request's timeout: refusing
        such requests would keep new runs from ever correcting the estimate.

        Args:
            timeout_s: Timeout of the request in seconds.
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
    """Estimates run times per kind from recent runs.

    A declared value is used only until enough runs have been observed.
    """

    def __init__(self):
        """Creates an estimator without samples."""
        self._windows: collections.OrderedDict[str, _Window] = (
            collections.OrderedDict()
        )

    def observe(self, kind: str, run_s: float) -> None:
        """Records the run time of an attempt.

        An attempt that overruns its estimate is recorded once more with its
        elapsed time, since the end of a long run comes too late to correct the
        estimate.

        Args:
            kind: Kind of work.
            run_s: Run time in seconds.
        """
        window = self._windows.get(kind)
        if window is None:
            window = self._windows[kind] = _Window()
        self._windows.move_to_end(kind)
        window.add(run_s)
        if len(self._windows) > MAX_KINDS:
            self._windows.popitem(last=False)

    def estimate(self, kind: str, declared_s: float) -> Estimate:
        """Returns the expected run time of a request.

        Args:
            kind: Kind of work.
            declared_s: Run time declared by the caller in seconds; 0 for none.
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
