"""Tests of jobs from submission to completion, including faults."""

import unittest

from returns import result

from persimmonpath import errors
from persimmonpath import jobs
from persimmonpath import memoryworkers
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import work
from tests import jobcells

FOREVER = memoryworkers.Plan(None, True)


class SubmissionTest(unittest.TestCase):
    """Tests submissions, their writes and quotas."""

    def setUp(self):
        self.cell = jobcells.JobCell()

    def test_same_id_with_same_content_returns_the_existing_job(self):
        first = self.cell.submit("a")
        self.cell.advance(0.2)
        second = self.cell.submit("a")
        self.cell.advance(0.2)
        self.assertEqual(
            second.result().unwrap().digest, first.result().unwrap().digest
        )
        self.cell.advance(8)
        self.assertEqual(self.cell.count_runs(), 1)

    def test_same_id_with_other_content_is_a_conflict(self):
        self.cell.submit("a")
        self.cell.advance(0.2)
        reply = self.cell.submit("a", tasks=2)
        self.cell.advance(0.2)
        self.assertIsInstance(
            reply.result().failure(), errors.TableConflictError
        )

    def test_no_write_is_made_while_nothing_changes(self):
        self.cell.plans["k"] = FOREVER
        self.cell.submit("a")
        self.cell.advance(5)
        commits = self.cell.table.commits
        self.cell.advance(20)
        self.assertEqual(self.cell.table.commits, commits)

    def test_quota_is_released_when_the_job_ends(self):
        limit = rules.Quota(team="t", cpu_millis=1000, memory_mib=1024)
        self.cell = jobcells.JobCell(cell_rules=rules.Rules(quotas=(limit,)))
        self.cell.submit("a")
        self.cell.advance(0.2)
        refused = self.cell.submit("b")
        self.cell.advance(0.2)
        self.assertIsInstance(
            refused.result().failure(), errors.QuotaExceededError
        )
        self.cell.advance(8)
        accepted = self.cell.submit("c")
        self.cell.advance(0.2)
        accepted.result().unwrap()


class RecoveryTest(unittest.TestCase):
    """Tests jobs across takeovers, table outages and lost answers."""

    def setUp(self):
        self.cell = jobcells.JobCell()

    def test_running_tasks_are_adopted_and_not_started_again(self):
        self.cell.plans["k"] = memoryworkers.Plan(6.0, True)
        self.cell.submit("a", tasks=4)
        self.cell.advance(1)
        self.assertEqual(len(self.cell.list_running()), 4)
        self.cell.take_over()
        self.cell.advance(15)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.DONE)
        self.assertEqual(self.cell.count_runs(), 4)

    def test_task_of_an_unreachable_worker_moves_only_after_its_lease(self):
        """The task may run there until the former owner's lease has expired."""
        self.cell.plans["k"] = FOREVER
        self.cell.submit("a")
        self.cell.advance(1)
        attempt = self.cell.list_running()[0]
        worker_name = next(
            n for n, w in self.cell.workers.items() if w.list_running()
        )
        self.cell.clients[worker_name].is_disconnected = True
        self.cell.take_over()
        for _ in range(1200):
            self.cell.advance(0.05)
            self.assertLessEqual(len(self.cell.list_running()), 1)
        self.assertEqual(len(self.cell.list_running()), 1)
        self.assertNotEqual(self.cell.list_running(), [attempt])

    def test_finished_task_without_a_commit_is_not_run_again(self):
        self.cell.submit("a", tasks=3)
        self.cell.advance(0.6)
        self.cell.table.is_down = True
        self.cell.advance(3)
        self.cell.take_over()
        self.cell.advance(3)
        self.cell.table.is_down = False
        self.cell.advance(10)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.DONE)
        self.assertEqual(self.cell.count_runs(), 3)

    def test_progress_is_kept_while_the_table_is_unavailable(self):
        self.cell.submit("a", tasks=3)
        self.cell.advance(0.6)
        self.cell.table.is_down = True
        self.cell.advance(60)
        self.cell.table.is_down = False
        self.cell.advance(3)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.DONE)
        self.assertEqual(self.cell.count_runs(), 3)

    def test_attempt_number_is_not_reused_when_workers_kept_no_record(self):
        self.cell.plans["k"] = FOREVER
        seen = set()
        self.cell.submit("a")
        for _ in range(3):
            self.cell.advance(3)
            attempts = set(self.cell.list_running())
            self.assertEqual(len(attempts), 1)
            self.assertFalse(attempts & seen)
            seen |= attempts
            for worker in self.cell.workers.values():
                worker.__init__(
                    worker.name,
                    resources.Resources(16_000, 32_768),
                    8,
                    self.cell.timers,
                    worker._plan,
                )
            self.cell.take_over()

    def test_job_completes_once_despite_lost_commit_answers(self):
        self.cell.submit("a", tasks=3)
        for step in range(200):
            self.cell.table.loses_answers = step % 3 != 0
            self.cell.advance(0.05)
        self.cell.table.loses_answers = False
        self.cell.advance(3)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.DONE)
        self.assertEqual(self.cell.count_runs(), 3)


class StartTest(unittest.TestCase):
    """Tests lost starts, failing tasks and restarts of services."""

    def setUp(self):
        self.cell = jobcells.JobCell(workers=1)

    def test_start_whose_answer_is_lost_runs_once(self):
        client = self.cell.clients["w0"]
        client.loses_answers = True
        self.cell.submit("a", tasks=2)
        self.cell.advance(2)
        client.loses_answers = False
        self.cell.advance(20)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.DONE)
        self.assertEqual(self.cell.count_runs(), 2)

    def test_start_that_never_arrived_is_closed_and_repeated(self):
        client = self.cell.clients["w0"]
        client.is_disconnected = True
        self.cell.submit("a", tasks=2)
        self.cell.advance(4)
        client.is_disconnected = False
        self.cell.advance(20)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.DONE)
        self.assertEqual(self.cell.count_runs(), 2)
        self.assertEqual(self.cell.workers["w0"].overloads, 0)

    def test_task_fails_after_max_attempts(self):
        self.cell.plans["k"] = memoryworkers.Plan(0.1, False, reason="bad")
        self.cell.submit("a", max_attempts=3)
        self.cell.advance(60)
        record = self.cell.read("a")
        self.assertEqual(record.state, jobs.JobState.FAILED)
        self.assertEqual(record.tasks[0].attempts, 3)
        self.assertEqual(self.cell.count_runs(), 3)

    def test_service_is_restarted_each_time_it_ends(self):
        self.cell.submit("s", create=work.ServiceJob)
        self.cell.advance(20)
        self.assertGreater(self.cell.count_runs(), 2)
        self.assertEqual(self.cell.read("s").state, jobs.JobState.ACCEPTED)


class UnplaceableTest(unittest.TestCase):
    """Tests the reason of jobs that no worker can run."""

    def test_job_reports_that_no_worker_fits_after_an_inventory_change(self):
        cell = jobcells.JobCell(workers=1)
        cell.add_worker("large", cpu_millis=64_000)
        cell.take_over()
        cell.plans["k"] = memoryworkers.Plan(1.0, True)
        cell.clients["large"].worker.leaving = True
        cell.submit("a", size=resources.Resources(40_000, 1024))
        cell.advance(2)
        self.assertEqual(cell.read("a").reason, "")
        large = cell.listed.pop()
        for listed, expected in ((1, "fits_no_worker"), (2, "")):
            cell.fleet.apply_workers(
                cell.listed, lambda worker: cell.clients[worker.name]
            )
            cell.runner.update_unplaceable_reasons()
            cell.advance(2)
            self.assertTrue(cell.read("a").reason.startswith(expected))
            self.assertEqual(len(cell.listed), listed)
            cell.listed.append(large)


class CancellationTest(unittest.TestCase):
    """Tests the cancellation of running jobs."""

    def setUp(self):
        self.cell = jobcells.JobCell(workers=1)
        self.cell.plans["k"] = FOREVER

    def test_cancelled_job_stops_and_its_rows_are_cleared(self):
        self.cell.submit("a", tasks=12)
        self.cell.advance(1)
        reply = self.cell.cancel("a")
        self.cell.advance(2)
        self.assertIsInstance(reply.result(), result.Success)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.CANCELLED)
        self.assertEqual(self.cell.list_running(), [])
        for prefix in ("queue/", "inbox/", "quota/"):
            self.assertEqual(self.cell.backing_table.scan(prefix).unwrap(), [])

    def test_task_whose_start_is_in_flight_is_stopped_too(self):
        client = self.cell.clients["w0"]
        client.loses_answers = True
        self.cell.submit("a")
        self.cell.advance(1)
        self.cell.cancel("a")
        self.cell.advance(1)
        client.loses_answers = False
        self.cell.advance(20)
        self.assertEqual(self.cell.list_running(), [])
        self.assertEqual(self.cell.read("a").state, jobs.JobState.CANCELLED)

    def test_cancellation_reaches_the_next_owner(self):
        self.cell.submit("a")
        self.cell.advance(1)
        self.cell.cancel("a")
        self.cell.timers.advance(0.0)
        self.cell.store.flush()
        self.cell.take_over()
        self.cell.advance(5)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.CANCELLED)
        self.assertEqual(self.cell.list_running(), [])

    def test_cancellation_without_notification_is_found_by_polling(self):
        self.cell.submit("a")
        self.cell.advance(1)
        self.cell.store.cancel("a")
        self.cell.advance(2)
        self.assertEqual(self.cell.read("a").state, jobs.JobState.CANCELLED)
