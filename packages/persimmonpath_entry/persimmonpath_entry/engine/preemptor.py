"""Preempts less urgent runs for waiting steps."""

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
        for worker in dict.fromkeys(reserved):
            if now - worker.preempted_at < preemption.MIN_PREEMPTION_INTERVAL_S:
                continue
            victims = preemption.choose_victims(
                worker,
                step.spec,
                reserved.count(worker),
                priority,
                self._find_priority,
            )
            if victims:
                worker.preempted_at = now
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
        return lambda worker: preemption.measure_reclaimable(
            worker, priority, self._find_priority
        )

    def _find_priority(self, run: execution.Run) -> int:
        return self._shard.find_queue(run.task.step.submission).priority
