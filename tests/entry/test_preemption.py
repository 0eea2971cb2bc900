"""Tests of preemption and of stalled long-running tasks."""

import unittest

from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import preemption
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

CHECKPOINTING = submissions.StepSpec(
    count=8, cpu=4000, memory_mb=100, checkpointing=True
)
LARGE = submissions.StepSpec(count=1, cpu=12000, memory_mb=100)


class VictimTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)

    def fill(self, submission_id, spec, count):
        """Starts tasks of a step on the worker."""
        self.shard.apply_submission(submission_id, fakes.make_record(spec))
        step = self.shard.submissions[submission_id].steps["0.0"]
        runs = []
        for task in step.tasks[:count]:
            run = fakes.start_run(self.shard, task, self.worker)
            run.phase = execution.Phase.RUNNING
            runs.append(run)
        return runs

    def choose(self, spec=LARGE, count=1, priority=1, other=2):
        return preemption.choose_victims(
            self.worker, spec, count, priority, lambda run: other
        )

    async def test_no_more_runs_than_needed_are_preempted(self):
        """Each preempted run has to be restarted."""
        runs = self.fill("aa" * 8, CHECKPOINTING, 4)
        victims = self.choose()
        self.assertEqual(len(victims), 3)
        self.assertLessEqual(set(victims), set(runs))

    async def test_nothing_is_preempted_without_effect(self):
        """The urgent task wouldn't fit even then."""
        self.fill("aa" * 8, CHECKPOINTING, 1)
        plain = submissions.StepSpec(count=8, cpu=4000, memory_mb=100)
        self.fill("bb" * 8, plain, 3)
        self.assertEqual(self.choose(), [])

    async def test_only_less_urgent_runs_are_preempted(self):
        self.fill("aa" * 8, CHECKPOINTING, 4)
        self.assertEqual(self.choose(priority=2), [])

    async def test_runs_that_would_lose_progress_are_not_preempted(self):
        """Tasks without checkpoints, gangs and long-running tasks are kept."""
        for changes in (
            {"checkpointing": False},
            {"gang": True},
            {"long_running": True},
        ):
            with self.subTest(**changes):
                self.setUp()
                fields = {"cpu": 4000, "checkpointing": True, **changes}
                spec = submissions.StepSpec(count=4, memory_mb=100, **fields)
                self.fill("aa" * 8, spec, 4)
                self.assertEqual(self.choose(), [])

    async def test_capacity_of_stopping_runs_counts_as_free(self):
        """Otherwise a second pass stops more runs while the first ones end."""
        runs = self.fill("aa" * 8, CHECKPOINTING, 4)
        for run in runs[:3]:
            run.phase = execution.Phase.STOPPING
        self.assertEqual(self.choose(), [])


class StalledRunTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_idle_long_running_task_isn_t_stalled_by_itself(self):
        """A healthy one was stopped because it had nothing to do.

        It is stalled only if a task that must use its CPU was stalled on the
        worker, and no other task there is busy.
        """
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        spec = submissions.StepSpec(count=2, cpu=100, long_running=True)
        shard.apply_submission("aa" * 8, fakes.make_record(spec))
        idle, other = (
            fakes.start_run(shard, task, worker)
            for task in shard.submissions["aa" * 8].steps["0.0"].tasks
        )
        now = clock.read_clock() + 60
        for run in (idle, other):
            run.phase = execution.Phase.RUNNING
            run.idle_since = now - 30
            run.load, run.load_at = 0, now
        self.assertFalse(health.is_stalled(idle, now))
        worker.stalled_at = now - health.STALL_EVIDENCE_S + 1
        self.assertTrue(health.is_stalled(idle, now))
        other.idle_since, other.load = None, 50
        self.assertFalse(health.is_stalled(idle, now))
        other.idle_since, other.load = now - 30, 0
        worker.stalled_at = now - health.STALL_EVIDENCE_S - 1
        self.assertFalse(health.is_stalled(idle, now))
