"""Preempts less urgent runs for waiting steps."""

from persimmonpath_entry.decisions import fairness
from persimmonpath_entry.decisions import preemption
from persimmonpath_entry.decisions import reservations
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock


class Preemptor:
    """Preempts runs of a shard."""

    def __init__(self, shard: shards.Shard):
        self._shard = shard
        self._node = shard.node
        self._history = preemption.PreemptionHistory()

    def preempt(self, step: execution.Step, reserved: list[fleet.Worker]):
        """Preempts runs on the workers reserved for a step.

        A gang preempts at once, as all its members can start then; any other
        step only after it has waited for long.

        Args:
          step: the step.
          reserved: a worker for each of its tasks.
        """
        now = clock.read_clock()
        is_early = (
            not step.spec.gang
            and now - (step.ready_since or now) < preemption.PREEMPTION_DELAY_S
        )
        if is_early or not self._shard.may_start(now):
            return
        priority = self._shard.find_queue(step.submission).priority
        policy = self._choose_policy(step, priority, now)
        for worker in dict.fromkeys(reserved):
            if now - worker.preempted_at < preemption.MIN_PREEMPTION_INTERVAL_S:
                continue
            victims = preemption.choose_victims(
                worker,
                step.spec,
                reserved.count(worker),
                priority,
                self._find_priority,
                policy,
            )
            if victims:
                worker.preempted_at = now
                if policy is not None:
                    self._record(victims, priority, now)
                self._stop(step, worker, victims, now - step.ready_since)

    def _stop(self, step, worker, victims: list[execution.Run], waited_s):
        self._node.metrics.count("preemptions", len(victims))
        self._node.log.write(
            "runs_preempted",
            step=step.name,
            worker=worker.id,
            runs=len(victims),
            waited_s=waited_s,
            priority=self._shard.find_queue(step.submission).priority,
        )
        for run in victims:
            self._shard.stop_run(run, "preempted")

    def choose_measure(
        self, step: execution.Step
    ) -> reservations.MeasureReclaimable:
        """Returns what measures the capacity that a step can reclaim."""
        priority = self._shard.find_queue(step.submission).priority
        policy = self._choose_policy(step, priority, clock.read_clock())
        return lambda worker: preemption.measure_reclaimable(
            worker, priority, self._find_priority, policy
        )

    def _record(self, victims: list[execution.Run], priority: int, now: float):
        for run in victims:
            is_for_share = self._find_priority(run) <= priority
            self._history.record(run.task, is_for_share, now)

    def _choose_policy(
        self, step: execution.Step, priority: int, now: float
    ) -> preemption.VictimPolicy | None:
        """Returns which runs may be preempted for a step among tenants.

        Runs of less urgent queues may, as without tenants. Work inside the
        agreed rates may also preempt work beyond them, and runs of the same
        priority of a tenant that has more, as far as there is a budget and they
        don't end soon.

        Returns:
          None in a deployment without tenants.
        """
        shares = self._shard.fair_shares
        if not shares.is_enabled:
            return None
        taker_name = step.submission.record.tenant
        taker = shares.describe_holding(taker_name)
        task_share = shares.measure_task(step.spec)
        is_excess = shares.is_excess(step)
        has_budget = self._history.has_budget(now)

        def may_preempt(run: execution.Run) -> bool:
            if self._history.is_spared(run.task, now):
                return False
            victim = run.task.step.submission
            is_victim_excess = shares.is_excess(run.task.step)
            if is_excess and not is_victim_excess:
                return False
            run_priority = self._find_priority(run)
            if run_priority > priority:
                return True
            if not has_budget or victim.record.tenant == taker_name:
                return False
            learner = self._shard.learner
            if preemption.ends_soon(learner.predict_remaining_s(run, now)):
                return False
            if is_victim_excess and not is_excess:
                return True
            return run_priority == priority and fairness.may_take_over_share(
                shares.describe_holding(victim.record.tenant),
                shares.measure_task(run.spec),
                taker,
                task_share,
            )

        def rank(run: execution.Run) -> tuple:
            victim = run.task.step.submission
            return (
                not shares.is_excess(run.task.step),
                -shares.measure(victim.record.tenant),
                -self._find_priority(run),
                -run.sent_at,
            )

        return preemption.VictimPolicy(may_preempt, rank)

    def _find_priority(self, run: execution.Run) -> int:
        return self._shard.find_queue(run.task.step.submission).priority
