"""Ranks the waiting steps of a shard."""

from persimmonpath_entry.decisions import fairness
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import stepplanner
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.state import execution


class StepRanking:
    """Ranks steps by the configuration of their queues and by the plan."""

    def __init__(self, shard: shards.Shard, planner: stepplanner.StepPlanner):
        self._shard = shard
        self._planner = planner

    def rank(
        self, step: execution.Step, now: float
    ) -> tuple[ordering.Rank, float]:
        """Returns the rank of a step and the time at which it changes."""
        submission = step.submission
        arguments = (
            step,
            self._shard.find_queue(submission),
            now - step.counted_since,
            ordering.estimate_critical_path_ms(submission.record.steps),
            now,
        )
        shares = self._shard.fair_shares
        changes_at = ordering.find_rank_change(*arguments)
        if not shares.is_enabled:
            return ordering.rank_step(*arguments), changes_at
        rank = ordering.rank_step(*arguments, shares.is_excess(step))
        distant_until = rank.due_s - fairness.NEAR_S
        if distant_until <= now:
            return rank, changes_at
        return rank._replace(is_distant=True), min(changes_at, distant_until)

    def yields_capacity(self, step: execution.Step, now: float) -> bool:
        """Returns whether a step leaves capacity that it lacks to others.

        It does if its result will be too late to be of use, or if it is beyond
        the agreed rate of its tenant, and capacity is scarce. It must start one
        day, at the latest when there is enough.
        """
        rank = self.rank(step, now)[0]
        is_last = rank.is_expired or rank.is_excess
        return is_last and self._planner.is_capacity_scarce
