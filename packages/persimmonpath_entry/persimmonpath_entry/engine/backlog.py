"""Measures how long new work of a shard waits, and tells the other VMs."""

import asyncio

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import stepranking
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock

INTERVAL_S = 0.5


class BacklogMeter:
    """Sets the expected waits of a shard, which its owner row carries."""

    def __init__(self, shard: shards.Shard, ranking: stepranking.StepRanking):
        self._shard = shard
        self._ranking = ranking

    async def run(self):
        """Measures every INTERVAL_S until the shard is closed."""
        while self._shard.is_open:
            self.measure(clock.read_clock())
            await asyncio.sleep(INTERVAL_S)

    def measure(self, now: float):
        """Measures once.

        Args:
          now: the monotonic clock, in seconds.
        """
        shard = self._shard
        workers = self._list_workers()
        waiting = list(self._list_waiting(now))
        shard.waits = admission.estimate_waits(workers, waiting)
        shard.fair_shares.measure_waits(workers, waiting, now)
        shard.node.metrics.set(
            f'expected_wait{{service="{shard.service}"}}',
            max(shard.waits.values(), default=0.0),
        )

    def _list_workers(self) -> list[fleet.Worker]:
        """Returns the workers in service, whether they answer now or not."""
        return [
            worker
            for worker in self._shard.workers.values()
            if worker.is_listed and not worker.registration.is_draining
        ]

    def _list_waiting(self, now: float):
        """Yields the work that waits and can still be of use.

        Args:
          now: the monotonic clock, in seconds.
        """
        shard = self._shard
        for step in shard.ready_steps:
            count = len(step.list_waiting())
            if not count or step.spec.long_running:
                continue
            if shard.tenant_usage.is_lacking(step.submission.record.tenant):
                # It waits for its tenant's limit, and not for capacity that
                # others could use.
                continue
            rank = self._ranking.rank(step, now)[0]
            if rank.is_expired:
                continue
            queue = shard.find_queue(step.submission)
            run_s = shard.learner.predict_mean_s(step)
            if run_s is None:
                handler = shard.run_end_handler
                run_s = handler.find_typical_duration(queue.name)
            yield admission.WaitingWork(
                step.spec,
                count,
                run_s or step.spec.estimated_ms / 1000,
                queue.priority,
                step.submission.record.tenant,
                rank.is_excess,
            )
