"""Tests of the state changes of a shard, its run ends and its workers."""

import json
import time
import unittest

import msgspec

from persimmonpath_entry.platform import messages
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

ID = "00000000000000aa"
GANG = submissions.StepSpec(count=2, cpu=1000, memory_mb=100, gang=True)


class FailureCountTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_end_listed_again_to_a_new_owner_counts_once(self):
        """Counting it twice fails a submission before its attempts are used up.

        The former owner stored the failure and lost its ownership before it
        acknowledged the end, so the worker lists the end again.
        """
        former = fakes.make_shard()
        worker = fakes.add_worker(former)
        former.apply_submission(ID, fakes.make_record())
        task = former.submissions[ID].find_task("0.0.0")
        run = fakes.start_run(former, task, worker)
        former.remove_run(run, "failed", "")

        successor = fakes.make_shard(fence=6)
        worker = fakes.add_worker(successor)
        progress = former.submissions[ID].progress
        successor.apply_submission(ID, fakes.make_record(), progress)
        task = successor.submissions[ID].find_task("0.0.0")
        successor.run_end_handler.handle_run_end(
            task, run.number, "failed", "", worker
        )

        self.assertEqual(task.failures, [run.number])

    async def test_a_failed_gang_run_counts_once(self):
        """Otherwise one failed run of a gang uses up several attempts."""
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        shard.apply_submission(ID, fakes.make_record(GANG))
        step = shard.submissions[ID].steps["0.0"]
        runs = []
        for task in step.tasks:
            task.last_number = 77
            runs.append(fakes.start_run(shard, task, worker))
        for run in runs:
            shard.remove_run(run, "failed", "")
        self.assertEqual(step.tasks[0].failures, [77])

    async def test_a_submission_fails_with_the_attempts_of_its_queue(self):
        """The submission fails with exactly the queue's maximum of attempts."""
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        shard.apply_submission(ID, fakes.make_record())
        submission = shard.submissions[ID]
        task = submission.find_task("0.0.0")
        for attempt in range(3):
            self.assertTrue(submission.is_active, attempt)
            run = fakes.start_run(shard, task, worker)
            shard.remove_run(run, "failed", "")
        self.assertEqual(submission.state, submissions.FAILED)


class RunTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)
        self.shard.apply_submission(ID, fakes.make_record())
        self.submission = self.shard.submissions[ID]
        self.task = self.submission.find_task("0.0.0")

    async def test_capacity_is_released_only_at_the_listed_end(self):
        """A worker starts every run it is sent, even beyond its capacity."""
        run = fakes.start_run(self.shard, self.task, self.worker)
        self.assertEqual(self.worker.free_cpu, 15000)
        self.shard.stop_run(run, "test")
        self.assertEqual(self.worker.free_cpu, 15000)
        self.shard.remove_run(run, "stopped", "")
        self.assertEqual(self.worker.free_cpu, 16000)

    async def test_run_numbers_rise_over_every_owner(self):
        """A worker rejects a run number not above that of an ended run."""
        run = fakes.start_run(self.shard, self.task, self.worker)
        successor = fakes.make_shard(fence=self.shard.fence + 1)
        successor.apply_submission(ID, fakes.make_record())
        task = successor.submissions[ID].find_task("0.0.0")
        self.assertGreater(successor.choose_run_number(task), run.number)

    async def test_a_lost_run_is_placed_again_from_its_checkpoint(self):
        run = fakes.start_run(self.shard, self.task, self.worker)
        self.shard.remove_run(run, "lost", "save-1")
        self.assertTrue(self.task.is_waiting)
        self.assertEqual(self.task.saved, "save-1")
        self.assertIn(self.task.step, self.shard.ready_steps)

    async def test_a_done_task_is_never_started_again(self):
        """A worker may list the same end twice, and other ends after it."""
        run = fakes.start_run(self.shard, self.task, self.worker)
        self.shard.remove_run(run, "done", "")
        self.shard.run_end_handler.handle_run_end(
            self.task, run.number, "failed", "", self.worker
        )
        self.assertTrue(self.task.is_done)
        self.assertFalse(self.task.is_waiting)

    async def test_a_step_waits_for_its_dependencies(self):
        steps = (
            submissions.StepSpec(count=2, cpu=1, memory_mb=1),
            submissions.StepSpec(count=1, cpu=1, memory_mb=1, after=[0]),
        )
        self.shard.apply_submission("bb" * 8, fakes.make_record(*steps))
        submission = self.shard.submissions["bb" * 8]
        later = submission.steps["0.1"]
        for key in ("0.0.0", "0.0.1"):
            self.assertNotIn(later, self.shard.ready_steps)
            task = submission.find_task(key)
            run = fakes.start_run(self.shard, task, self.worker)
            self.shard.remove_run(run, "done", "")
        self.assertIn(later, self.shard.ready_steps)

    async def test_completed_is_shown_only_once_stored(self):
        """A shown state that isn't stored is lost if all VMs fail at once.

        The tasks would then run again.
        """
        for task in self.task.step.tasks:
            run = fakes.start_run(self.shard, task, self.worker)
            self.shard.remove_run(run, "done", "")
        self.assertEqual(self.submission.state, submissions.COMPLETED)
        self.assertEqual(self.submission.stored_state, submissions.ACTIVE)
        self.shard.record_stored_state(
            self.submission, submissions.COMPLETED, 1.0
        )
        self.assertEqual(self.submission.stored_state, submissions.COMPLETED)

    async def test_a_cancel_stops_every_run(self):
        fakes.start_run(self.shard, self.task, self.worker)
        record = fakes.make_record(cancelled=True)
        self.shard.apply_submission(ID, record)
        self.assertEqual(len(self.shard.stopped), 1)
        self.assertNotIn(self.task.step, self.shard.ready_steps)

    async def test_a_lost_member_stops_the_whole_gang(self):
        """The remaining members would wait for the lost one forever."""
        self.shard.apply_submission("cc" * 8, fakes.make_record(GANG))
        step = self.shard.submissions["cc" * 8].steps["0.0"]
        runs = []
        for task in step.tasks:
            task.last_number = 9
            runs.append(fakes.start_run(self.shard, task, self.worker))
        self.shard.remove_run(runs[0], "lost", "")
        self.assertEqual([run for run, _ in self.shard.stopped], [runs[1]])


class LongRunningTest(unittest.IsolatedAsyncioTestCase):
    """Long-running tasks, which run until their submission is cancelled.

    One that ended as done was never started again.
    """

    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)

    def apply(self, progress=None, **changes):
        spec = submissions.StepSpec(
            count=2, cpu=1000, memory_mb=100, long_running=True, **changes
        )
        later = submissions.StepSpec(count=1, cpu=1, memory_mb=1, after=[0])
        self.shard.apply_submission(
            ID, fakes.make_record(spec, later), progress
        )
        return self.shard.submissions[ID]

    async def test_a_task_is_started_again_however_it_ends(self):
        submission = self.apply()
        step = submission.steps["0.0"]
        for how in ("done", "failed", "stopped", "lapsed", "lost", "void"):
            for task in step.tasks:
                with self.subTest(how, task=task.key):
                    self.shard.ready_steps.discard(step)
                    run = fakes.start_run(self.shard, task, self.worker)
                    self.shard.remove_run(run, how, "")
                    self.assertTrue(task.is_waiting)
                    self.assertIn(step, self.shard.ready_steps)
        self.assertTrue(submission.is_active)
        self.assertIsNone(submission.steps["0.1"].ready_since)

    async def test_a_gang_is_started_again_as_a_whole(self):
        step = self.apply(gang=True).steps["0.0"]
        runs = []
        for task in step.tasks:
            task.last_number = 9
            runs.append(fakes.start_run(self.shard, task, self.worker))
        self.shard.remove_run(runs[0], "done", "")
        self.assertEqual([run for run, _ in self.shard.stopped], [runs[1]])
        self.assertFalse(any(task.is_done for task in step.tasks))

    async def test_a_row_that_holds_it_as_done_doesn_t_keep_it_away(self):
        """Former versions have stored such rows."""
        progress = submissions.ProgressRecord(done={"0.0": 0b11})
        submission = self.apply(progress)
        self.assertEqual(len(submission.steps["0.0"].list_waiting()), 2)
        self.assertIsNone(submission.steps["0.1"].ready_since)
        self.assertEqual(submission.progress.done, {})

    async def test_its_life_isn_t_a_typical_duration(self):
        """The other runs of its queue would never count as stragglers."""
        submission = self.apply()
        run = fakes.start_run(
            self.shard, submission.find_task("0.0.0"), self.worker
        )
        self.shard.remove_run(run, "done", "")
        typical = self.shard.run_end_handler.find_typical_duration(fakes.QUEUE)
        self.assertIsNone(typical)


class WorkerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)
        self.shard.apply_submission(ID, fakes.make_record())
        self.task = self.shard.submissions[ID].find_task("0.0.0")

    async def test_a_restarted_worker_is_listed_before_its_runs_are_removed(
        self,
    ):
        """Runs may have been started before the restart became known.

        Soak seeds 11 and 13: such a run was treated as lost when the
        registration showed the restart, and its task ran twice.
        """
        run = fakes.start_run(self.shard, self.task, self.worker)
        self.worker.lists_start_time = True
        self.worker.processed = 12
        self.shard.worker_registry.apply_registration(
            fakes.make_registration(born=2)
        )
        self.assertEqual(self.task.runs, [run])
        self.assertEqual(self.shard.listing_requests, [self.worker])
        self.assertEqual(self.worker.processed, 12)

    async def test_a_restart_resets_the_run_end_numbers(self):
        """The worker numbers its run ends from 1 again.

        Without a reset the ends of the new incarnation would be missed.
        """
        self.worker.processed = 12
        self.shard.worker_registry.apply_registration(
            fakes.make_registration(born=2)
        )
        self.assertEqual(self.worker.processed, 0)

    async def test_a_removed_registration_doesn_t_requeue_runs(self):
        """The worker may be partitioned from the store and still run tasks."""
        fakes.start_run(self.shard, self.task, self.worker)
        self.shard.worker_registry.mark_unregistered(self.worker.id)
        self.assertFalse(self.task.is_waiting)

    async def test_consecutive_failures_quarantine_a_worker(self):
        """A worker that fails every run would use up all attempts of a task."""
        for index in range(3):
            name = f"{index:016x}"
            self.shard.apply_submission(name, fakes.make_record())
            task = self.shard.submissions[name].find_task("0.0.0")
            run = fakes.start_run(self.shard, task, self.worker)
            self.shard.remove_run(run, "failed", "")
        self.assertGreater(self.worker.excluded_until, 0)

    async def test_the_lease_end_allows_for_a_slow_worker_clock(self):
        """A worker's clock may be 2% slow, so that its lease ends later."""
        self.worker.clock = (10_000.0, 100.0)
        self.worker.max_lease_end_ms = 16_000.0
        self.assertGreater(self.worker.bound_lease_end(), 106.0 + 0.12)

    async def test_an_estimate_never_runs_ahead_of_the_clock(self):
        """A worker shortens a lease that starts too far ahead of its clock."""
        self.worker.clock = (10_000.0, 100.0)
        self.assertLess(self.worker.estimate_clock_ms(101.0), 11_000.0)


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.shard = fakes.make_shard(unsettled={"w9": 100.0})
        self.shard.former_horizon = 20
        self.shard.apply_submission(ID, fakes.make_record(), version=20)
        self.task = self.shard.submissions[ID].find_task("0.0.0")
        self.other = self.shard.submissions[ID].find_task("0.0.1")

    async def test_tasks_of_the_former_owner_wait_for_every_worker(self):
        """An unresponsive worker may run any of them."""
        self.assertTrue(self.shard.may_run_elsewhere(self.task))
        self.shard.former_runs.unsettled.clear()
        self.assertFalse(self.shard.may_run_elsewhere(self.task))

    async def test_only_the_tasks_that_the_former_owner_names_wait(self):
        self.shard.former_runs.unsettled_tasks["w9"] = {self.task.name}
        self.assertTrue(self.shard.may_run_elsewhere(self.task))
        self.assertFalse(self.shard.may_run_elsewhere(self.other))

    async def test_a_task_that_was_seen_running_doesn_t_wait(self):
        """Its run was the only one; the next may start once that has failed."""
        worker = fakes.add_worker(self.shard)
        run = self.shard.adopt_run(self.task, 4001, worker, 1.0)
        self.shard.remove_run(run, "failed", "")
        self.assertFalse(self.shard.may_run_elsewhere(self.task))
        self.assertTrue(self.shard.may_run_elsewhere(self.other))

    async def test_a_step_after_one_that_was_seen_to_end_doesn_t_wait(self):
        """The former owner can't have known that the step was ready.

        It may have known of an end that the worker listed earlier.
        """
        steps = (
            submissions.StepSpec(count=1, cpu=1, memory_mb=1),
            submissions.StepSpec(count=1, cpu=1, memory_mb=1, after=[0]),
        )
        worker = fakes.add_worker(self.shard)
        for name, was_seen in (("ee" * 8, True), ("ef" * 8, False)):
            with self.subTest(was_seen=was_seen):
                self.shard.apply_submission(
                    name, fakes.make_record(*steps), version=20
                )
                submission = self.shard.submissions[name]
                first = submission.find_task("0.0.0")
                later = submission.find_task("0.1.0")
                if was_seen:
                    run = self.shard.adopt_run(first, 4001, worker, 1.0)
                    self.shard.remove_run(run, "done", "")
                else:
                    self.shard.run_end_handler.handle_run_end(
                        first, 4001, "done", "", worker
                    )
                self.assertIn(later.step, self.shard.ready_steps)
                waits = self.shard.may_run_elsewhere(later)
                self.assertEqual(waits, not was_seen)

    async def test_a_step_after_a_copy_waits(self):
        """The task may have ended earlier, on a partitioned worker.

        Seen in scenario trouble-1 of tkh-passes: the former owner had seen that
        end and started the next step, which then ran a second time.
        """
        steps = (
            submissions.StepSpec(
                count=1, cpu=1, memory_mb=1, allow_copies=True
            ),
            submissions.StepSpec(count=1, cpu=1, memory_mb=1, after=[0]),
        )
        worker = fakes.add_worker(self.shard)
        self.shard.apply_submission(
            "ee" * 8, fakes.make_record(*steps), version=20
        )
        submission = self.shard.submissions["ee" * 8]
        first = submission.find_task("0.0.0")
        self.assertFalse(self.shard.may_run_elsewhere(first))
        run = fakes.start_run(self.shard, first, worker)
        self.shard.remove_run(run, "done", "")
        later = submission.find_task("0.1.0")
        self.assertTrue(self.shard.may_run_elsewhere(later))

    async def test_later_submissions_don_t_wait(self):
        """The horizon stored when the owner changed doesn't cover them.

        They were delayed for 9 s if they were submitted in the last 2.5 s of
        a lease.
        """
        self.shard.apply_submission("dd" * 8, fakes.make_record(), version=21)
        task = self.shard.submissions["dd" * 8].find_task("0.0.0")
        self.assertFalse(self.shard.may_run_elsewhere(task))

    async def test_every_submission_waits_if_no_horizon_is_known(self):
        """The former owner may have started any accepted submission."""
        self.shard.former_horizon = None
        self.shard.apply_submission("dd" * 8, fakes.make_record(), version=99)
        task = self.shard.submissions["dd" * 8].find_task("0.0.0")
        self.assertTrue(self.shard.may_run_elsewhere(task))


class HorizonTest(unittest.IsolatedAsyncioTestCase):
    async def test_tasks_start_once_the_store_holds_the_horizon(self):
        """Otherwise the next owner assumes that nobody has started them."""
        shard = fakes.make_shard()
        shard.apply_submission(ID, fakes.make_record(), version=31)
        submission = shard.submissions[ID]
        self.assertFalse(shard.is_within_horizon(submission))
        self.assertTrue(shard.store_requested.is_set())
        shard.extend_horizon(30)
        self.assertFalse(shard.is_within_horizon(submission))
        shard.extend_horizon(31)
        self.assertTrue(shard.is_within_horizon(submission))

    async def test_an_owner_that_leaves_starts_nothing(self):
        """The row that releases the service names the runs at that time."""
        shard = fakes.make_shard()
        now = clock.read_clock()
        self.assertTrue(shard.may_start(now))
        shard.is_leaving = True
        self.assertFalse(shard.may_start(now))


class OccurrenceTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_objective_of_an_occurrence_counts_from_its_due_time(
        self,
    ):
        """Counted from the acceptance, all but the first ones were expired.

        They were then placed after everything else.
        """
        shard = fakes.make_shard()
        now_ms = time.time() * 1000
        record = fakes.make_record(
            accepted_ms=int(now_ms - 500_000),
            start_ms=int(now_ms - 400_000),
            interval_ms=398_000,
            occurrences=3,
        )
        shard.apply_submission(ID, record)
        steps = shard.submissions[ID].steps
        self.assertEqual(set(steps), {"0.0", "1.0"})
        now = clock.read_clock()
        self.assertAlmostEqual(now - steps["0.0"].counted_since, 400, delta=1)
        self.assertAlmostEqual(now - steps["1.0"].counted_since, 2, delta=1)


class RemovedQueueTest(unittest.IsolatedAsyncioTestCase):
    """A queue that is removed while its submissions run, and a new owner.

    The new owner invented the settings of the queue: three attempts, no advice.
    """

    def accept(self, queue):
        """Returns the record of a submission as the store keeps it."""
        body = {"steps": [{"count": 1, "cpu": 100}]}
        record = messages.decode_submission(
            json.dumps(body).encode(), queue, accepted_ms=1
        )
        return msgspec.json.decode(
            msgspec.json.encode(record), type=submissions.SubmissionRecord
        )

    def load(self, queue, configured=()):
        """Returns the shard of an owner that has never seen the queue."""
        other = fakes.make_queue(name="other")
        shard = fakes.make_shard(fakes.make_context(None, [other, *configured]))
        fakes.add_worker(shard)
        shard.apply_submission(ID, self.accept(queue))
        return shard

    def fail_until_ended(self, shard):
        """Returns after how many failed runs the submission has failed."""
        submission = shard.submissions[ID]
        task = submission.find_task("0.0.0")
        for number in range(1, 100):
            run = fakes.start_run(shard, task, shard.workers["w1"])
            shard.remove_run(run, "failed", "")
            if not submission.is_active:
                return number
        return None

    async def test_the_attempts_are_those_of_the_acceptance(self):
        """Work was given up after half of its attempts, or started too often.

        A queue with a single attempt got starts beyond its budget.
        """
        for attempts in (1, 2, 6, 40):
            with self.subTest(attempts=attempts):
                shard = self.load(fakes.make_queue(max_attempts=attempts))
                self.assertEqual(self.fail_until_ended(shard), attempts)

    async def test_the_other_settings_are_those_of_the_acceptance(self):
        """Without its advice policy tasks would start without a ticket."""
        advice = configuration.AdvicePolicy(20.0, 0.1, 2000.0)
        queue = fakes.make_queue(priority=2, stretch=7.0, advice=advice)
        shard = self.load(queue)
        found = shard.find_queue(shard.submissions[ID])
        self.assertEqual(found.advice, advice)
        self.assertEqual(found.describe_policy(), queue.describe_policy())
        self.assertEqual(found.service, fakes.SERVICE)

    async def test_a_configured_queue_goes_first(self):
        """Also once it is back with other settings."""
        shard = self.load(
            fakes.make_queue(max_attempts=2), [fakes.make_queue(max_attempts=5)]
        )
        self.assertEqual(self.fail_until_ended(shard), 5)

    async def test_a_row_without_settings_is_read(self):
        """Rows of former versions have none."""
        shard = fakes.make_shard(
            fakes.make_context(None, [fakes.make_queue(name="other")])
        )
        shard.apply_submission(ID, fakes.make_record())
        found = shard.find_queue(shard.submissions[ID])
        self.assertEqual(found.max_attempts, 3)
