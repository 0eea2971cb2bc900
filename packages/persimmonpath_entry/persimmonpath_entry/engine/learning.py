"""Learns run times and speeds of workers from the runs of a shard."""

import math

from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import runtimes
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock

# Lower bound of a measured duration in seconds; its logarithm is taken.
MIN_DURATION_S = 0.01
# Shortest run in seconds that counts for a worker's speed. In shorter ones the
# delays of the start and of the listing are too large a part.
MIN_SPEED_RUN_S = 0.1
# A run isn't learned from if the time of its end is less certain than the
# larger of these, in seconds and as a share of its duration.
MAX_END_GAP_S = 0.06
MAX_END_GAP_SHARE = 0.25
# Factor on the run time of a worker from which on it is logged as slow, and
# below which it no longer is.
LOGGED_FACTOR = 1.4
CLEARED_FACTOR = 1.2


class RunLearner:
    """Keeps what the ended runs of a shard have shown.

    Attributes:
      run_times: run times by kind of work.
      speeds: speeds of workers.
      version: number of runs that it has learned from.
      has_speeds: whether a worker is known to differ from the normal speed.
    """

    def __init__(self, shard):
        """Creates it without any run.

        Args:
          shard: the shard.
        """
        self._shard = shard
        self._node = shard.node
        self.run_times = runtimes.RunTimes()
        self.speeds = speeds.Speeds()
        self.version = 0
        self.has_speeds = False
        # Ids of the workers that are logged as slow.
        self._slow_ids: set[str] = set()

    def predict_run_s(self, step: execution.Step) -> float | None:
        """Returns the expected run time of a step's tasks, in seconds.

        It holds on a worker of normal speed, with the data near.

        Returns:
          Seconds, None before enough runs of the kind have ended.
        """
        queue = step.submission.record.queue
        kind = runtimes.name_kind(queue, step.spec, step.number)
        return self.run_times.predict_s(kind, step.spec.estimated_ms / 1000)

    def predict_mean_s(self, step: execution.Step) -> float | None:
        """Returns the mean run time of a step's tasks, as `predict_run_s`."""
        queue = step.submission.record.queue
        kind = runtimes.name_kind(queue, step.spec, step.number)
        return self.run_times.predict_mean_s(
            kind, step.spec.estimated_ms / 1000
        )

    def list_run_ms(self, record) -> list[float]:
        """Returns the expected run time of the tasks of each step, in ms.

        Callers' estimates are used where too few runs have ended.

        Args:
          record: the submission.
        """
        return self.run_times.list_run_ms(record.queue, record.steps)

    def predict_on_worker(self, run: execution.Run) -> float | None:
        """Returns the expected duration of a run on its worker, in seconds.

        Returns:
          Seconds, None before enough runs of the kind have ended.
        """
        run_s = self.predict_run_s(run.task.step)
        if run_s is None:
            return None
        return (
            run_s * self.choose_far_factor([run]) * (run.worker.run_time_factor)
        )

    def predict_remaining_s(self, run: execution.Run, now: float) -> float:
        """Returns for how long a run is expected to go on, in seconds.

        A run that is late is expected to take half as long again as it is late.
        Long-running tasks go on for ever.
        """
        if run.spec.long_running:
            return math.inf
        if run.phase is execution.Phase.STOPPING:
            return 0.0
        expected_s = self.predict_on_worker(run)
        if expected_s is None:
            expected_s = run.spec.estimated_ms / 1000
            expected_s *= run.worker.run_time_factor
            expected_s *= self.choose_far_factor([run])
        left_s = run.sent_at + expected_s - now
        return left_s if left_s > 0 else -left_s / 2

    def choose_far_factor(self, runs: list[execution.Run]) -> float:
        """Returns the factor on the run time away from data or other members.

        Args:
          runs: the run of a task, or those of all members of a gang.
        """
        spec = runs[0].spec
        racks = {run.worker.registration.rack for run in runs}
        is_spread = spec.gang and spec.same_rack and len(racks) > 1
        is_far = bool(spec.data_rack) and racks != {spec.data_rack}
        if is_spread or is_far:
            return self._node.settings.bounds.far_x
        return 1.0

    def observe(self, run: execution.Run) -> float | None:
        """Learns from a run that has ended as done.

        Args:
          run: the run, which its task and its worker no longer list.

        Returns:
          The duration of the run divided by the expected one on its worker;
          None if it tells nothing of the worker.
        """
        duration_s = _measure_duration(run, clock.read_clock())
        if duration_s is None:
            return None
        step = run.task.step
        runs = [run]
        if step.spec.gang:
            # The members end together, as late as the slowest one would.
            runs += [
                other
                for member in step.tasks
                for other in member.runs
                if other.number == run.number
            ]
        normal_s = duration_s / self.choose_far_factor(runs)
        factor = max(self.speeds.measure_factor(r.worker) for r in runs)
        expected_s = self.predict_run_s(step)
        record = step.submission.record
        self.run_times.observe(
            runtimes.name_kind(record.queue, step.spec, step.number),
            max(MIN_DURATION_S, normal_s / factor),
            step.spec.estimated_ms / 1000,
        )
        self.version += 1
        if expected_s is None or step.spec.gang:
            return None
        if min(duration_s, expected_s) < MIN_SPEED_RUN_S:
            return None
        worker = run.worker
        ratio = normal_s / (expected_s * worker.run_time_factor)
        slowness = health.estimate_slowness(worker, clock.read_clock())
        self.speeds.record(
            worker,
            normal_s / expected_s,
            is_degraded=slowness > placement.SLOWNESS_LIMIT,
        )
        self._update_factor(worker)
        return ratio

    def refresh_factors(self):
        """Updates the factors of all workers, as those of kinds change."""
        self.speeds.set_normal(self._shard.workers.values())
        for worker in self._shard.workers.values():
            self._update_factor(worker)
        self.has_speeds = any(
            worker.run_time_factor != 1.0
            for worker in self._shard.workers.values()
        )
        self._slow_ids &= self._shard.workers.keys()

    def _update_factor(self, worker: fleet.Worker):
        factor = self.speeds.choose_factor(worker)
        worker.run_time_factor = factor
        if factor != 1.0:
            self.has_speeds = True
        is_logged = worker.id in self._slow_ids
        if factor >= LOGGED_FACTOR and not is_logged:
            self._slow_ids.add(worker.id)
            self._log_factor("worker_slow", worker)
        elif factor < CLEARED_FACTOR and is_logged:
            self._slow_ids.discard(worker.id)
            self._log_factor("worker_not_slow", worker)

    def _log_factor(self, event: str, worker: fleet.Worker):
        self._node.log.write(
            event,
            worker=worker.id,
            kind=speeds.find_kind(worker),
            factor=worker.run_time_factor,
        )


def _measure_duration(run: execution.Run, now: float) -> float | None:
    """Returns how long a run took by itself, in seconds.

    Returns:
      Seconds; None if it isn't known well enough, or if the run didn't do all
      the work of its task at full speed.
    """
    spec = run.spec
    if spec.is_filler or spec.long_running or run.is_resumed:
        return None
    if run.started_at is None or run.percent < 100 or run.is_ending:
        return None
    gap_s = run.worker.listing_gap_s
    duration_s = now - run.started_at
    if gap_s > max(MAX_END_GAP_S, MAX_END_GAP_SHARE * duration_s):
        return None
    return max(MIN_DURATION_S, duration_s - gap_s / 2)
