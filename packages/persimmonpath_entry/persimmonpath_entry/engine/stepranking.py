"""Ranks the waiting steps of a shard."""

from persimmonpath_entry.decisions import fairness
from persimmonpath_entry.decisions import headroom
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.decisions import stepplanner
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.state import execution

# Priority of the most urgent queues.
MOST_URGENT = 0
# Tasks from which on a step is large, so that its last tasks delay its end.
LARGE_STEP_TASKS = 8


class StepRanking(stepplanner.Outlook):
    """Ranks steps by the configuration of their queues and by the plan."""

    def __init__(self, shard: shards.Shard, planner: stepplanner.StepPlanner):
        self._shard = shard
        self._planner = planner

    def rank(
        self, step: execution.Step, now: float
    ) -> tuple[ordering.Rank, float]:
        """Returns the rank of a step and the time at which it changes."""
        arguments = self._describe(step, now)
        shares = self._shard.fair_shares
        changes_at = ordering.find_rank_change(*arguments)
        if not shares.is_enabled:
            return ordering.rank_step(*arguments), changes_at
        rank = ordering.rank_step(*arguments, shares.is_excess(step))
        distant_until = rank.due_s - fairness.NEAR_S
        if distant_until <= now:
            return rank, changes_at
        return rank._replace(is_distant=True), min(changes_at, distant_until)

    def _describe(self, step: execution.Step, now: float) -> tuple:
        """Returns the arguments of `ordering.rank_step`."""
        submission = step.submission
        run_ms = self._shard.learner.list_run_ms(submission.record)
        return (
            step,
            self._shard.find_queue(submission),
            now - step.counted_since,
            ordering.estimate_critical_path_ms(submission.record.steps, run_ms),
            now,
            run_ms,
        )

    def has_slack(self, step: execution.Step, now: float) -> bool:
        """Returns whether a step can wait and still be done when it is due."""
        rank = self.rank(step, now)[0]
        run_s = self._shard.learner.predict_run_s(step)
        if run_s is None:
            run_s = step.spec.estimated_ms / 1000
        return headroom.has_slack(rank.due_s, run_s, now)

    def describe_need(
        self, step: execution.Step, waiting: int, now: float
    ) -> speeds.TimeNeed | None:
        """Returns how much the tasks of a step need a fast worker.

        Args:
          step: the step.
          waiting: number of its tasks that wait.
          now: the monotonic clock, in seconds.

        Returns:
          None if it makes no difference where its tasks run, and for
          long-running tasks, which have no run time.
        """
        spec = step.spec
        is_local = spec.data_rack or (spec.gang and spec.same_rack)
        if spec.long_running or not (
            is_local or self._shard.learner.has_speeds
        ):
            return None
        if spec.is_filler:
            return speeds.TimeNeed(0.0)
        run_s = self._shard.learner.predict_run_s(step)
        if run_s is None:
            run_s = spec.estimated_ms / 1000
        rank = ordering.rank_step(*self._describe(step, now))
        return speeds.TimeNeed(
            run_s,
            rank.due_s - now,
            rank.priority == MOST_URGENT,
            spec.count >= LARGE_STEP_TASKS
            and waiting <= speeds.LAST_TASKS_SHARE * spec.count,
            self._shard.node.settings.bounds.far_x,
            self._shard.fair_shares.measure_use(step.submission.record.tenant),
        )

    def predict_remaining_s(self, run: execution.Run, now: float) -> float:
        """Returns for how long a run is expected to go on, in seconds."""
        return self._shard.learner.predict_remaining_s(run, now)

    def yields_capacity(self, step: execution.Step, now: float) -> bool:
        """Returns whether a step leaves capacity that it lacks to others.

        It does if its result will be too late to be of use, or if it is beyond
        the agreed rate of its tenant, and capacity is scarce. It must start one
        day, at the latest when there is enough.
        """
        rank = self.rank(step, now)[0]
        is_last = rank.is_expired or rank.is_excess
        return is_last and self._planner.is_capacity_scarce
