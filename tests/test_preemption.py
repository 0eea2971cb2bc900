"""Tests of preemption for urgent work in a full shard."""

from concurrent import futures
import unittest

from returns import result

from persimmonpath import errors
from persimmonpath import jobs
from persimmonpath import memoryworkers
from persimmonpath import work
from tests import jobcells

FOREVER = memoryworkers.Plan(None, True)


class PreemptionTest(unittest.TestCase):
    def setUp(self):
        self.cell = jobcells.JobCell(workers=2, slots=4)
        self.cell.plans["k"] = FOREVER
        self.cell.submit("normal", 4, priority=work.Priority.NORMAL)
        self.cell.advance(1)
        self.cell.submit("low", 4, priority=work.Priority.BATCH)
        self.cell.advance(1)
        self.assertEqual(len(self.cell.list_running()), 8)

    def list_running(self, job_id):
        return [
            a for a in self.cell.list_running() if a.startswith(f"{job_id}/")
        ]

    def submit_urgent(self, tasks):
        self.cell.submit(
            "u", tasks, kind="urgent", priority=work.Priority.URGENT
        )

    def test_only_as_many_lowest_priority_tasks_as_needed_are_preempted(self):
        self.cell.plans["urgent"] = FOREVER
        self.submit_urgent(3)
        self.cell.advance(9.1)
        self.assertEqual(len(self.list_running("u")), 3)
        self.assertEqual(len(self.list_running("low")), 1)
        self.assertEqual(len(self.list_running("normal")), 4)

    def test_preempted_task_resumes_from_its_checkpoint_without_a_failure(
        self,
    ):
        started = []
        plan = memoryworkers.Plan(2.0, True)
        self.cell.plans["k"] = lambda start: started.append(start) or plan
        self.submit_urgent(4)
        self.cell.advance(30)
        record = self.cell.read("low")
        self.assertEqual(record.state, jobs.JobState.DONE)
        self.assertEqual([t.attempts for t in record.tasks], [0] * 4)
        self.assertEqual(len(started), 4)
        self.assertTrue(all(s.checkpoint for s in started))

    def test_missing_checkpoint_does_not_delay_urgent_work(self):
        self.cell.plans["urgent"] = FOREVER
        for worker in self.cell.workers.values():
            self.drop_checkpoint_calls(worker)
        self.submit_urgent(2)
        self.cell.advance(9.1)
        self.assertEqual(len(self.list_running("u")), 2)

    def drop_checkpoint_calls(self, worker):
        control = worker.control

        def answer(attempt, action, epoch, timeout_s):
            if action != "checkpoint":
                return control(attempt, action, epoch, timeout_s)
            future = futures.Future()
            unreachable = result.Failure(errors.WorkerUnreachableError(""))
            self.cell.timers.call_later(
                timeout_s, lambda: future.set_result(unreachable)
            )
            return future

        worker.control = answer

    def test_urgent_work_does_not_preempt_urgent_work(self):
        self.cell.plans["urgent"] = FOREVER
        self.submit_urgent(8)
        self.cell.advance(9.1)
        before = set(self.cell.list_running())
        self.cell.submit("v", 2, priority=work.Priority.URGENT)
        self.cell.advance(9.1)
        self.assertEqual(set(self.cell.list_running()), before)
