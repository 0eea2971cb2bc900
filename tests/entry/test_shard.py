"""What events change in the shard of an owner."""

import unittest

from persimmonpath_entry.state import submissions
from tests.entry import fakes

ID = "00000000000000aa"
GANG = submissions.StepSpec(count=2, cpu=1000, memory_mb=100, gang=True)


class FailureCountTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_end_listed_again_to_a_new_owner_counts_once(self):
        """Else a submission fails with fewer failures than its queue allows.

        The former owner stored the failure and lost its ownership before it
        acknowledged the end, so that the worker lists the end again.
        """
        former = fakes.make_shard()
        worker = fakes.add_worker(former)
        former.take_submission(ID, fakes.make_record())
        task = former.submissions[ID].find_task("0.0.0")
        run = fakes.start_run(former, task, worker)
        former.remove_run(run, "failed", "")

        successor = fakes.make_shard(fence=6)
        worker = fakes.add_worker(successor)
        progress = former.submissions[ID].progress
        successor.take_submission(ID, fakes.make_record(), progress, True)
        task = successor.submissions[ID].find_task("0.0.0")
        successor.take_end(task, run.number, "failed", "", worker)

        self.assertEqual(task.failures, [run.number])

    async def test_the_members_of_a_gang_fail_as_one(self):
        """Else one failed run of a gang uses up several attempts."""
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        shard.take_submission(ID, fakes.make_record(GANG))
        step = shard.submissions[ID].steps["0.0"]
        runs = []
        for task in step.tasks:
            task.last_number = 77
            runs.append(fakes.start_run(shard, task, worker))
        for run in runs:
            shard.remove_run(run, "failed", "")
        self.assertEqual(step.tasks[0].failures, [77])

    async def test_a_submission_fails_with_the_attempts_of_its_queue(self):
        """Neither earlier nor later than the queue says."""
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        shard.take_submission(ID, fakes.make_record())
        submission = shard.submissions[ID]
        task = submission.find_task("0.0.0")
        for attempt in range(3):
            self.assertTrue(submission.is_active, attempt)
            run = fakes.start_run(shard, task, worker)
            shard.remove_run(run, "failed", "")
        self.assertEqual(submission.state, submissions.FAILED)
