"""Run times learned from the runs that have ended, by kind of work.

Covers queues whose callers declare estimates that are off by far, in either
direction: such estimates put urgent work behind other work, and refuse what
could have been served.
"""

import collections
from collections.abc import Iterator
import dataclasses
import hashlib
import math

from persimmonpath import estimates
from persimmonpath_entry.state import submissions

# Runs after which the learned value replaces the declared one. A step of ten
# tasks tells it.
MIN_SAMPLES = 8
# Longest name of an image that is kept as it is, in characters; callers choose
# them.
MAX_IMAGE_LENGTH = 80
# Weight of the newest run in the mean, once enough have ended, and the range of
# its quotient to the median.
MEAN_WEIGHT = 0.03
MAX_MEAN_QUOTIENT = 5.0
# The declared values count only if they explain the durations clearly better
# than a common run time: largest quotient of the two spreads.
MAX_SPREAD_QUOTIENT = 0.7
# Range of run times and of their quotients to declared ones in a stored record.
MIN_STORED = 1e-4
MAX_STORED = 1e6


def name_kind(queue: str, spec: submissions.StepSpec, number: int) -> str:
    """Returns the name of the kind of work of a step.

    Args:
      queue: the queue of the submission.
      spec: the step.
      number: the number of the step, which is used if it names no image.
    """
    if not spec.image:
        return f"{queue}#{number}"
    if len(spec.image) > MAX_IMAGE_LENGTH:
        digest = hashlib.blake2b(spec.image.encode(), digest_size=8)
        return f"{queue}/~{digest.hexdigest()}"
    return f"{queue}/{spec.image}"


@dataclasses.dataclass(frozen=True, slots=True)
class Quantiles:
    """The median of samples, and the value that nine of ten don't exceed."""

    typical: float
    high: float

    @property
    def spread(self) -> float:
        """The logarithm of the quotient of both."""
        return math.log(self.high / self.typical)

    @property
    def is_plausible(self) -> bool:
        """Whether both are within the range of stored values."""
        return MIN_STORED <= self.typical <= self.high <= MAX_STORED


@dataclasses.dataclass(slots=True)
class LearnedRunTime:
    """What is known of a kind of work.

    Attributes:
      count: number of its runs, at least MIN_SAMPLES for a restored one.
      seconds: run times on a worker of normal speed, with the data near.
      quotients: these run times divided by the declared ones, None if none was
        declared.
      mean_s: moving average of the run times in seconds, 0 if that isn't known.
    """

    count: int
    seconds: Quantiles
    quotients: Quantiles | None = None
    mean_s: float = 0.0

    def add_to_mean(self, run_s: float):
        """Adds a run to the mean."""
        weight = max(MEAN_WEIGHT, 1 / max(1, self.count))
        if not self.mean_s:
            weight = 1.0
        self.mean_s += weight * (run_s - self.mean_s)

    def measure_mean_quotient(self) -> float:
        """Returns the mean run time divided by the median one, at least 1."""
        quotient = self.mean_s / self.seconds.typical
        return min(MAX_MEAN_QUOTIENT, max(1.0, quotient))

    def predict_s(self, declared_s: float) -> float:
        """Returns the expected run time of a task, in seconds.

        Callers whose tasks differ may declare each one truly up to a common
        factor. Their declared values are used then, times that factor.

        Args:
          declared_s: the run time that its caller declares, 0 for none.
        """
        if declared_s > 0 and self.quotients is not None:
            limit = MAX_SPREAD_QUOTIENT * self.seconds.spread
            if self.quotients.spread < limit:
                return declared_s * self.quotients.typical
        return self.seconds.typical


class RunTimes:
    """The run times of a service by kind of work, of the most recent runs."""

    def __init__(self):
        """Creates it without any run."""
        self._seconds = estimates.RunTimeEstimator()
        self._quotients = estimates.RunTimeEstimator()
        # The most recently observed kind comes last.
        self._learned: collections.OrderedDict[str, LearnedRunTime] = (
            collections.OrderedDict()
        )

    def observe(self, kind: str, run_s: float, declared_s: float):
        """Records a run that has ended by itself.

        Args:
          kind: the kind of work.
          run_s: its duration on a worker of normal speed, with the data near.
          declared_s: the run time that its caller declared, 0 for none.
        """
        self._add(kind, run_s, run_s / declared_s if declared_s > 0 else 0.0, 1)

    def _add(self, kind: str, run_s: float, quotient: float, count: int):
        self._seconds.observe(kind, run_s)
        quotients = None
        if quotient > 0:
            self._quotients.observe(kind, quotient)
            quotients = _find_quantiles(self._quotients, kind)
        seconds = _find_quantiles(self._seconds, kind)
        known = self._learned.get(kind)
        if known is None:
            known = LearnedRunTime(0, Quantiles(run_s, run_s))
            self._learned[kind] = known
            if len(self._learned) > estimates.MAX_KINDS:
                self._learned.popitem(last=False)
        self._learned.move_to_end(kind)
        known.count += count
        if count:
            known.add_to_mean(run_s)
        known.seconds = seconds or known.seconds
        known.quotients = quotients or known.quotients

    def predict_s(self, kind: str, declared_s: float) -> float | None:
        """Returns the expected run time of a task, in seconds.

        It holds on a worker of normal speed, with the data near.

        Args:
          kind: the kind of work.
          declared_s: the run time that its caller declares, 0 for none.

        Returns:
          Seconds, None before enough of its runs have ended.
        """
        known = self._learned.get(kind)
        if known is None or known.count < MIN_SAMPLES:
            return None
        return known.predict_s(declared_s)

    def predict_mean_s(self, kind: str, declared_s: float) -> float | None:
        """Returns the mean run time of tasks, in seconds, as of `predict_s`.

        The work in many tasks follows from it: a few long ones take much of the
        time and don't show in the median.
        """
        run_s = self.predict_s(kind, declared_s)
        if run_s is None:
            return None
        return run_s * self._learned[kind].measure_mean_quotient()

    def list_run_ms(
        self, queue: str, steps: list[submissions.StepSpec]
    ) -> list[float]:
        """Returns the expected run time of the tasks of each step, in ms.

        Callers' estimates are used where too few runs have ended.

        Args:
          queue: the queue of the submission.
          steps: its steps.
        """
        run_ms = []
        for number, spec in enumerate(steps):
            kind = name_kind(queue, spec, number)
            learned_s = self.predict_s(kind, spec.estimated_ms / 1000)
            run_ms.append(
                spec.estimated_ms if learned_s is None else learned_s * 1000
            )
        return run_ms

    def list_learned(self) -> Iterator[tuple[str, LearnedRunTime]]:
        """Yields the kinds with enough runs, the most recent one first."""
        for kind, known in reversed(self._learned.items()):
            if known.count >= MIN_SAMPLES:
                yield kind, known

    def restore(self, kind: str, known: LearnedRunTime):
        """Adds what a former owner has learned, as a few runs.

        Nothing happens if runs of the kind have been observed already.

        Args:
          kind: the kind of work.
          known: what the former owner has stored.
        """
        if kind in self._learned or not known.seconds.is_plausible:
            return
        seconds = _list_samples(known.seconds)
        quotients = [0.0] * len(seconds)
        if known.quotients is not None and known.quotients.is_plausible:
            quotients = _list_samples(known.quotients)
        for run_s, quotient in zip(seconds, quotients, strict=True):
            self._add(kind, run_s, quotient, 0)
        self._learned[kind].count = MIN_SAMPLES


def _find_quantiles(
    estimator: estimates.RunTimeEstimator, kind: str
) -> Quantiles | None:
    estimate = estimator.estimate(kind, 0.0)
    if not estimate.is_learned:
        return None
    return Quantiles(estimate.typical_s, estimate.high_s)


def _list_samples(quantiles: Quantiles) -> list[float]:
    """Returns the fewest samples that the estimator takes for enough."""
    low = quantiles.typical**2 / quantiles.high
    return [low, quantiles.typical, quantiles.high]
