"""Which runs give way to more urgent work that has nowhere else to go."""

import unittest

from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import preemption
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock
from tests.entry import fakes

SAVING = submissions.StepSpec(
    count=8, cpu=4000, memory_mb=100, checkpointing=True
)
WIDE = submissions.StepSpec(count=1, cpu=12000, memory_mb=100)


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
            run.phase = work.Phase.RUNNING
            runs.append(run)
        return runs

    def choose(self, spec=WIDE, count=1, priority=1, other=2):
        return preemption.choose_victims(
            self.worker, spec, count, priority, lambda run: other
        )

    async def test_as_few_as_needed_give_way(self):
        """Each one costs its restart."""
        runs = self.fill("aa" * 8, SAVING, 4)
        victims = self.choose()
        self.assertEqual(len(victims), 3)
        self.assertLessEqual(set(victims), set(runs))

    async def test_nothing_gives_way_in_vain(self):
        """The urgent task would not fit all the same."""
        self.fill("aa" * 8, SAVING, 1)
        plain = submissions.StepSpec(count=8, cpu=4000, memory_mb=100)
        self.fill("bb" * 8, plain, 3)
        self.assertEqual(self.choose(), [])

    async def test_only_less_urgent_work_gives_way(self):
        self.fill("aa" * 8, SAVING, 4)
        self.assertEqual(self.choose(priority=2), [])

    async def test_work_that_would_be_lost_does_not_give_way(self):
        """Tasks without checkpoints, gangs and lasting tasks are left alone."""
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

    async def test_room_that_is_coming_free_counts(self):
        """Else a second pass stops others while the first ones still end."""
        runs = self.fill("aa" * 8, SAVING, 4)
        for run in runs[:3]:
            run.phase = work.Phase.STOPPING
        self.assertEqual(self.choose(), [])


class StandingStillTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_idle_lasting_task_beside_working_ones_is_sound(self):
        """It was stopped on a calm day, for having nothing to do (tkh)."""
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        lasting = submissions.StepSpec(count=2, cpu=100, long_running=True)
        shard.apply_submission("aa" * 8, fakes.make_record(lasting))
        idle, other = (
            fakes.start_run(shard, task, worker)
            for task in shard.submissions["aa" * 8].steps["0.0"].tasks
        )
        now = clock.read_clock() + 60
        for run in (idle, other):
            run.phase = work.Phase.RUNNING
            run.idle_since = now - 30
            run.load = 0
        self.assertTrue(health.is_standing_still(idle, now))
        other.idle_since, other.load = None, 50
        self.assertFalse(health.is_standing_still(idle, now))
