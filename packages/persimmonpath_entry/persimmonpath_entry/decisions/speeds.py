"""Speeds of workers that differ for good, and what a slow worker costs a task.

Covers a service whose kinds of worker differ in speed by two or more. Urgent
tasks that start on a worker that is always half as fast miss their objective,
while work without a deadline could run there.

The speed is kept as a factor on the run time: 1 is normal, 2 half as fast. A
worker that is slow only for some seconds is the subject of `health`.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

from persimmonpath_entry.state import fleet

# Runs after which the factor of a worker, or of a kind of worker, is used.
MIN_SAMPLES = 5
# Runs that the factor of the kind counts for in that of a worker, and the
# normal speed in that of a kind.
PRIOR_SAMPLES = 2.0
# Number of the most recent runs that count, for a worker and for a kind.
MAX_WORKER_SAMPLES = 64
MAX_KIND_SAMPLES = 512
# A run counts with at most this logarithm of a factor above or below what is
# known, so that stragglers change little.
MAX_DEVIATION = math.log(2)
# Share of its weight with which a run counts on a known worker that is slower
# than usual at present.
DEGRADED_WEIGHT = 0.1
# Factors this close to 1 are taken for 1, as runs differ anyway.
MIN_FACTOR_DIFFERENCE = 0.1
# A factor is relied on only if it differs from 1 by as many times the mean
# deviation of one run, by the root of their number. With 2.5, two standard
# errors of a normal distribution, up to 6 percent of equal workers counted as
# slow for work whose run times vary by a factor of 2.2, as deviations are
# clipped; with 4 it is up to 1.5 percent.
ERROR_FACTOR = 4.0
# Largest logarithm of a factor in a stored record.
MAX_STORED_LOG = math.log(16)
# Factors that are kept for workers and for kinds; the least recent are dropped.
MAX_WORKERS = 4000
MAX_KINDS = 200
# Classes of speed to the octave, and the lowest and highest one. Workers of a
# class are searched together.
CLASSES_PER_OCTAVE = 2
MIN_CLASS = -2
MAX_CLASS = 4

# Seconds beside its run time that a task takes to start and to be listed as
# ended, with a reserve for what differs from run to run.
START_AND_END_S = 0.07

# Cost of a run time that is longer by the whole of itself. A task half as long
# again, as one away from its data, costs 4; leaving a worker empty costs 1.5.
SLOWDOWN_COST = 8.0
# Share of the time left to its objective from which on a less urgent task is in
# need of speed.
COMFORTABLE_SHARE = 0.6
# Weight of speed for an urgent task that is late already, and at least for the
# last tasks of a step.
LATE_WEIGHT = 0.5
LAST_TASKS_WEIGHT = 0.25
# A step has come to its last tasks when at most this share of them waits.
LAST_TASKS_SHARE = 0.25
# What work without need of speed gains from a worker that is half as fast. It
# decides only among workers that it fills almost equally.
SLOW_WORKER_GAIN = 0.5


@dataclasses.dataclass(slots=True)
class Average:
    """A moving average of logarithms of factors on the run time.

    Attributes:
      log: the average.
      count: number of runs in it, at most as many as count.
      deviation: mean absolute deviation of the runs from it.
    """

    log: float = 0.0
    count: float = 0.0
    deviation: float = 0.0

    def add(self, log: float, weight: float, max_count: int):
        """Adds a run.

        Args:
          log: the logarithm of its factor.
          weight: its weight, 1 for an ordinary run.
          max_count: number of the most recent runs that count.
        """
        is_first = not self.count
        self.count = min(float(max_count), self.count + weight)
        deviation = log - self.log
        deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
        share = weight / max(1.0, self.count)
        self.log += deviation * share
        if not is_first:
            self.deviation += (abs(deviation) - self.deviation) * share

    @property
    def error(self) -> float:
        """How far off the average may be, by its runs, as a logarithm."""
        return ERROR_FACTOR * self.deviation / math.sqrt(max(1.0, self.count))

    def shrink(self, prior_log: float) -> float:
        """Returns the logarithm expected with some runs at a prior value."""
        total = self.count + PRIOR_SAMPLES
        return (self.count * self.log + PRIOR_SAMPLES * prior_log) / total


def find_kind(worker: fleet.Worker) -> str:
    """Returns the kind of a worker, which is its first label."""
    labels = worker.registration.labels
    return labels[0] if labels else ""


class Speeds:
    """Factors on the run time by incarnation of a worker and by kind."""

    def __init__(self):
        """Creates it without any run."""
        # The most recently observed comes last.
        self._workers: collections.OrderedDict[tuple[str, int], Average] = (
            collections.OrderedDict()
        )
        self._kinds: collections.OrderedDict[str, Average] = (
            collections.OrderedDict()
        )
        # Logarithm of the factor that counts as normal.
        self._center = 0.0

    def set_normal(self, workers: Iterable[fleet.Worker]):
        """Takes the median of the known workers for the normal speed.

        Run times and factors are learned from each other, so that a common
        factor would drift from one to the other.

        Args:
          workers: the workers of the service.
        """
        logs = sorted(
            average.shrink(self._find_prior(worker))
            for worker, average in (
                (worker, self._workers.get((worker.id, worker.born)))
                for worker in workers
            )
            if average is not None and average.count >= MIN_SAMPLES
        )
        if logs:
            self._center = logs[(len(logs) - 1) // 2]

    def record(self, worker: fleet.Worker, factor: float, is_degraded: bool):
        """Records a run.

        Args:
          worker: the worker.
          factor: its duration divided by the expected one on a worker of normal
            speed, with the data equally near.
          is_degraded: whether the worker is slower than usual at present.
        """
        log = math.log(max(1e-3, factor))
        average = _touch(
            self._workers, (worker.id, worker.born), Average, MAX_WORKERS
        )
        is_known = average.count >= MIN_SAMPLES
        weight = DEGRADED_WEIGHT if is_degraded and is_known else 1.0
        average.add(log, weight, MAX_WORKER_SAMPLES)
        kind = _touch(self._kinds, find_kind(worker), Average, MAX_KINDS)
        kind.add(log, weight, MAX_KIND_SAMPLES)

    def measure_factor(self, worker: fleet.Worker) -> float:
        """Returns the factor on the run time as known so far, however little.

        For learning; decisions use `choose_factor`.
        """
        average = self._workers.get((worker.id, worker.born))
        prior = self._find_prior(worker)
        log = prior if average is None else average.shrink(prior)
        return math.exp(log - self._center)

    def _find_prior(self, worker: fleet.Worker) -> float:
        kind = self._kinds.get(find_kind(worker))
        return 0.0 if kind is None else kind.shrink(0.0)

    def measure_kind_factor(self, average: Average) -> float:
        """Returns the factor on the run time of a kind, by its average."""
        return math.exp(average.shrink(0.0) - self._center)

    def choose_factor(self, worker: fleet.Worker) -> float:
        """Returns the factor on the run time that decisions rely on.

        It is 1 before enough runs have ended, and if it differs from 1 by no
        more than it may be off.
        """
        average = self._workers.get((worker.id, worker.born))
        kind = self._kinds.get(find_kind(worker))
        known = [
            a
            for a in (average, kind)
            if a is not None and a.count >= MIN_SAMPLES
        ]
        if not known:
            return 1.0
        factor = self.measure_factor(worker)
        if abs(factor - 1) < MIN_FACTOR_DIFFERENCE:
            return 1.0
        return factor if abs(math.log(factor)) > known[0].error else 1.0

    def list_workers(self) -> Iterator[tuple[str, int, Average]]:
        """Yields id, incarnation and average, the most recent one first."""
        for (worker_id, born), average in reversed(self._workers.items()):
            yield worker_id, born, average

    def list_kinds(self) -> Iterator[tuple[str, Average]]:
        """Yields the kinds of workers and their averages."""
        yield from reversed(self._kinds.items())

    def restore_worker(self, worker_id: str, born: int, average: Average):
        """Adds what a former owner has learned of a worker, as a few runs.

        Nothing happens if runs there have been observed already, or if the
        average can't be one.
        """
        key = (worker_id, born)
        if key not in self._workers and _is_plausible(average):
            _touch(self._workers, key, lambda: _weaken(average), MAX_WORKERS)

    def restore_kind(self, kind: str, average: Average):
        """Adds what a former owner has learned of a kind, as a few runs."""
        if kind not in self._kinds and _is_plausible(average):
            _touch(self._kinds, kind, lambda: _weaken(average), MAX_KINDS)


def _touch(averages, key, make, limit: int) -> Average:
    """Returns the average of a key, made if needed, as the most recent one."""
    average = averages.get(key)
    if average is None:
        average = averages[key] = make()
        if len(averages) > limit:
            averages.popitem(last=False)
    averages.move_to_end(key)
    return average


def _is_plausible(average: Average) -> bool:
    return abs(average.log) <= MAX_STORED_LOG and average.count >= 0


def _weaken(average: Average) -> Average:
    return Average(average.log, min(average.count, float(MIN_SAMPLES)))


def choose_class(factor: float) -> int:
    """Returns the class of speed of a worker, 0 for the normal one.

    Args:
      factor: its factor on the run time.
    """
    if factor == 1.0:
        return 0
    octaves = math.log2(factor)
    return max(MIN_CLASS, min(MAX_CLASS, round(CLASSES_PER_OCTAVE * octaves)))


@dataclasses.dataclass(frozen=True, slots=True)
class TimeNeed:
    """How much a task needs a fast worker.

    Attributes:
      run_s: expected run time on a worker of normal speed, in seconds.
      left_s: seconds until it must be done for the objective of its submission
        to be met, None without a deadline.
      is_urgent: whether its queue is among the most urgent ones.
      is_last: whether it is one of the last tasks of a large step.
      far_x: factor on the run time away from the data, or of a gang on several
        racks.
      share: what its tenant uses, divided by its share; 1 without tenants.
    """

    run_s: float
    left_s: float | None = None
    is_urgent: bool = False
    is_last: bool = False
    far_x: float = 1.5
    share: float = 1.0

    def weigh(self, factor: float) -> float:
        """Returns the weight of speed on a worker, from 0 to 1.

        Args:
          factor: the factor on the run time there.
        """
        if self.left_s is None:
            return 0.0
        weight = LAST_TASKS_WEIGHT if self.is_last else 0.0
        if self.left_s <= 0:
            return LATE_WEIGHT if self.is_urgent else weight
        run_s = self.run_s if factor < 1.0 else self.run_s * factor
        share = 1.0 if run_s > self.left_s else run_s / self.left_s
        if not self.is_urgent:
            share = (share - COMFORTABLE_SHARE) / (1 - COMFORTABLE_SHARE)
        return share if share > weight else weight

    def is_missed(self, factor: float) -> bool:
        """Returns whether a task that starts now is likely to end too late.

        Args:
          factor: the factor on its run time.
        """
        if self.left_s is None:
            return False
        return self.run_s * factor + START_AND_END_S > self.left_s

    def compute_cost(self, factor: float) -> float:
        """Returns the cost of a worker's speed in placement.

        Args:
          factor: the factor on the run time there.
        """
        if factor == 1.0:
            return 0.0
        weight = self.weigh(factor)
        if weight > 0:
            return SLOWDOWN_COST * weight * (factor - 1)
        return SLOW_WORKER_GAIN * (1 - factor if factor < 2.0 else -1.0)
