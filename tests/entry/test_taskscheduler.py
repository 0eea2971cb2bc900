"""Tests of what a scheduling pass starts, reserves and requests."""

import asyncio
import unittest

from persimmonpath_entry.decisions import backfilling
from persimmonpath_entry.engine import taskscheduler
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

LARGE_ID = "00000000000000aa"
SMALL_ID = "00000000000000bb"
ADVICE = configuration.AdvicePolicy(500.0, 8.0, 2000.0)
LARGE_SPEC = submissions.StepSpec(count=1, cpu=16000, memory_mb=100)
SMALL_SPEC = submissions.StepSpec(count=1, cpu=1000, memory_mb=100)
CHECKPOINTING_SPEC = submissions.StepSpec(
    count=1, cpu=1000, memory_mb=100, checkpointing=True
)


class FakeCommands:
    def __init__(self):
        self.started = []

    def start(self, run, ticket):
        self.started.append(run.task.name)


class FakeListings:
    def resume_polling(self, worker):
        pass


class FakeAdvisor:
    """Answers each call with a ticket for every worker that is approved."""

    def __init__(self):
        self.approved = None
        self.calls = []

    def reserve_caller(self, policy, count, purpose):
        return None if self.approved is None else "vm-2"

    async def ask(self, step, workers, policy, caller):
        self.calls.append(workers)
        step.advice.asked.update(workers)
        for worker_id in self.approved.intersection(workers):
            step.advice.good.add(worker_id)
            until = clock.read_clock() + policy.valid_ms / 1000
            step.advice.tickets[worker_id] = ("ticket", until)


def make_scheduler(shard, commands):
    """Returns a scheduler whose advisor is never asked."""
    return taskscheduler.TaskScheduler(
        shard, commands, FakeListings(), FakeAdvisor()
    )


class SchedulerTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        queues = [
            fakes.make_queue(advice=ADVICE),
            fakes.make_queue(name="batch", prefix="/b/", priority=2),
        ]
        node = fakes.make_context(queues=queues)
        node.settings.advice = "127.0.0.1:9"
        self.shard = fakes.make_shard(node)
        self.worker = fakes.add_worker(self.shard)
        self.commands = FakeCommands()
        self.advisor = FakeAdvisor()
        self.scheduler = taskscheduler.TaskScheduler(
            self.shard, self.commands, FakeListings(), self.advisor
        )

    def add_step(self, submission_id, spec, **changes):
        record = fakes.make_record(spec, **changes)
        self.shard.apply_submission(submission_id, record)
        return self.shard.submissions[submission_id].steps["0.0"]


class PassTest(SchedulerTestCase):
    async def test_capacity_is_reserved_while_the_advisor_is_asked(self):
        """Small tasks took the free capacity during each of a dozen calls.

        Seen in scenario scale-1 of tkh-passes: a task of 8 accelerators waited
        60 s for the only worker that could run it.
        """
        runner = self.add_step("cc" * 8, SMALL_SPEC, queue="batch")
        fakes.start_run(self.shard, runner.tasks[0], self.worker)
        large_step = self.add_step(LARGE_ID, LARGE_SPEC)
        large_step.advice.asked.add(self.worker.id)
        large_step.advice.good.add(self.worker.id)
        large_step.advice.is_asking = True
        self.add_step(SMALL_ID, SMALL_SPEC, queue="batch")
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(self.commands.started, [])
        self.assertEqual(
            self.scheduler._planner.reservations, {self.worker.id: large_step}
        )

    async def test_nothing_starts_beyond_the_stored_horizon(self):
        """The next owner would assume that nobody has started the task."""
        record = fakes.make_record(SMALL_SPEC, queue="batch")
        self.shard.apply_submission(SMALL_ID, record, version=9)
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(self.commands.started, [])
        self.shard.extend_horizon(9)
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(self.commands.started, [f"{SMALL_ID}.0.0.0"])

    async def test_a_worker_with_an_unanswered_call_gets_no_runs(self):
        """Tasks started on a partitioned worker wait for 6 s."""
        self.add_step(SMALL_ID, SMALL_SPEC, queue="batch")
        self.worker.record_no_answer(clock.read_clock())
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(self.commands.started, [])

    async def test_a_new_step_leaves_what_others_hold_between_passes(self):
        """Planning it alone must not take capacity reserved for a large one."""
        runner = self.add_step("cc" * 8, SMALL_SPEC, queue="batch")
        fakes.start_run(self.shard, runner.tasks[0], self.worker)
        large_step = self.add_step(LARGE_ID, LARGE_SPEC)
        large_step.advice.is_asking = True
        self.scheduler._run_pass(clock.read_clock())
        self.add_step(SMALL_ID, SMALL_SPEC, queue="batch")
        self.scheduler._place_changed(clock.read_clock())
        self.assertEqual(self.commands.started, [])

    async def test_a_step_with_new_tickets_starts_between_passes(self):
        """Its own reservation must not be in its way."""
        step = self.add_step(LARGE_ID, LARGE_SPEC)
        step.advice.is_asking = True
        now = clock.read_clock()
        self.scheduler._run_pass(now)
        self.assertEqual(self.commands.started, [])
        step.advice.asked.add(self.worker.id)
        step.advice.good.add(self.worker.id)
        step.advice.tickets[self.worker.id] = ("ticket", now + 2)
        self.shard.request_placement(step)
        self.scheduler._place_changed(now)
        self.assertEqual(self.commands.started, [f"{LARGE_ID}.0.0.0"])
        # Nothing of the step is left in the plan.
        free = self.scheduler._planner.free_capacity.get_free(self.worker)
        self.assertEqual(free[:2], (0, 32000 - 100))

    async def test_a_change_of_one_step_causes_no_pass_over_all(self):
        """Thousands of waiting steps were planned anew for each event."""
        self.scheduler._place(clock.read_clock())
        self.shard.is_pass_requested = False
        self.add_step(SMALL_ID, SMALL_SPEC, queue="batch")
        self.assertFalse(self.shard.is_pass_requested)
        self.assertTrue(self.shard.schedule_requested.is_set())
        self.scheduler._place(clock.read_clock())
        self.assertEqual(self.commands.started, [f"{SMALL_ID}.0.0.0"])

    async def test_preemptible_tasks_use_what_a_gang_only_waits_for(self):
        """Half of the capacity was idle while hundreds of tasks waited.

        Seen in trouble-1 of the grown tender: 1,500 of 2,800 cores in use and
        2,000 held for gangs that waited for tickets or room.
        """
        runner = self.add_step("cc" * 8, SMALL_SPEC, queue="batch")
        fakes.start_run(self.shard, runner.tasks[0], self.worker)
        large_step = self.add_step(LARGE_ID, LARGE_SPEC)
        large_step.advice.is_asking = True
        self.add_step(SMALL_ID, CHECKPOINTING_SPEC, queue="batch")
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(self.commands.started, [f"{SMALL_ID}.0.0.0"])
        # The next plan between passes leaves the held capacity alone.
        self.add_step("dd" * 8, SMALL_SPEC, queue="batch")
        self.scheduler._place_changed(clock.read_clock())
        self.assertEqual(self.commands.started, [f"{SMALL_ID}.0.0.0"])

    async def test_backfilling_ends_with_its_pass(self):
        """Planning thousands of steps would delay renewals of leases."""
        large_step = self.add_step(LARGE_ID, LARGE_SPEC)
        large_step.advice.is_asking = True
        self.scheduler._run_pass(clock.read_clock())
        step = self.add_step(SMALL_ID, CHECKPOINTING_SPEC, queue="batch")
        self.scheduler._backfilled_at = -1.0
        self.scheduler._backfill(
            [step], clock.read_clock() - taskscheduler.MAX_PASS_S
        )
        self.assertEqual(self.commands.started, [])

    async def test_backfilling_leaves_room_for_urgent_tasks(self):
        """A quote that comes next would wait until a batch task ends."""
        large_step = self.add_step(LARGE_ID, LARGE_SPEC)
        large_step.advice.is_asking = True
        spec = submissions.StepSpec(
            count=40, cpu=1000, memory_mb=100, checkpointing=True
        )
        self.add_step(SMALL_ID, spec, queue="batch")
        for _ in range(3):
            self.scheduler._backfilled_at = -1.0
            self.scheduler._run_pass(clock.read_clock())
        headroom = backfilling.HEADROOM_SHARE * self.worker.registration.cpu
        self.assertTrue(self.commands.started)
        self.assertGreaterEqual(self.worker.free_cpu, headroom - SMALL_SPEC.cpu)


class GangTest(SchedulerTestCase):
    """A gang whose members only some of the workers may run."""

    WORKERS = 64
    MEMBERS = 24

    def setUp(self):
        super().setUp()
        for number in range(self.WORKERS - 1):
            fakes.add_worker(self.shard, f"w{number + 2}")
        ids = sorted(self.shard.workers)
        self.advisor.approved = set(ids[::3])

    def add_gang(self):
        spec = submissions.StepSpec(
            count=self.MEMBERS, cpu=8000, memory_mb=100, gang=True
        )
        return self.add_step(LARGE_ID, spec)

    async def settle_calls(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_enough_workers_are_asked_about_at_the_same_time(self):
        """Asked one call after the other a gang of 20 waited for 2.4 s.

        The first tickets had expired when the last ones came.
        """
        self.add_gang()
        self.scheduler._run_pass(clock.read_clock())
        await self.settle_calls()
        self.assertEqual(len(self.advisor.calls), 2)
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(len(self.commands.started), self.MEMBERS)

    async def test_runs_are_preempted_once_the_whole_gang_can_start(self):
        """Room made for a part of the gang would stay idle."""
        self.fill_workers(list(self.shard.workers.values()))
        self.add_gang()
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(self.shard.stopped, [])
        await self.settle_calls()
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(len(self.shard.stopped), self.MEMBERS)
        stopped_on = {run.worker.id for run, _ in self.shard.stopped}
        self.assertLessEqual(stopped_on, self.advisor.approved)
        for run, _ in self.shard.stopped:
            self.shard.remove_run(run, "stopped", "saved")
        self.scheduler._run_pass(clock.read_clock())
        gang = [n for n in self.commands.started if n.startswith(LARGE_ID)]
        self.assertEqual(len(gang), self.MEMBERS)

    def fill_workers(self, workers):
        """Runs two preemptible tasks of half a worker on each worker."""
        fill = submissions.StepSpec(
            count=2 * len(workers), cpu=8000, memory_mb=100, checkpointing=True
        )
        batch = self.add_step(SMALL_ID, fill, queue="batch")
        for number, task in enumerate(batch.tasks):
            run = fakes.start_run(self.shard, task, workers[number // 2])
            run.phase = execution.Phase.RUNNING

    async def run_expired_gang(self, filled):
        """Runs passes over an expired gang beside full workers.

        Returns:
          The number of runs that are preempted for it.
        """
        step = self.add_gang()
        step.counted_since -= 1000
        self.scheduler._run_pass(clock.read_clock())
        await self.settle_calls()
        self.fill_workers(filled)
        self.scheduler._run_pass(clock.read_clock())
        return len(self.shard.stopped)

    async def test_an_expired_gang_preempts_while_capacity_is_ample(self):
        """It waited to the end of the day beside idle workers.

        Less urgent runs occupied the workers that it may use, and could have
        gone on elsewhere (LOST in trouble-3 of the grown tender).
        """
        workers = self.shard.workers
        approved = [workers[i] for i in sorted(self.advisor.approved)]
        self.assertEqual(await self.run_expired_gang(approved), self.MEMBERS)

    async def test_an_expired_gang_preempts_nothing_if_capacity_is_scarce(self):
        workers = list(self.shard.workers.values())
        self.assertEqual(await self.run_expired_gang(workers), 0)


class LongPassTest(SchedulerTestCase):
    """Covers hundreds of waiting gangs at hundreds of workers.

    A pass ends after a time. Each one began with the same gangs, for which no
    VM was free to call the advisor, and never came to the last ones (LOST in
    the sweep at 300 VMs).
    """

    GANGS = 40

    def setUp(self):
        super().setUp()
        self.handled = []
        self.scheduler._handle_step_safely = self.handle
        for number in range(self.GANGS):
            self.add_step(f"{number:016x}", LARGE_SPEC)

    def handle(self, step, now, backfill_limit=None):
        if backfill_limit is None:
            self.handled.append(step)

    def is_over(self, began_at):
        return len(self.handled) % 4 == 0

    async def test_the_last_steps_have_their_turn(self):
        self.scheduler._is_pass_over = self.is_over
        for _ in range(self.GANGS):
            self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(len(set(self.handled)), self.GANGS)

    async def test_the_most_urgent_steps_come_first_in_every_second_pass(self):
        """Freed capacity must not go to less urgent steps meanwhile."""
        self.scheduler._is_pass_over = self.is_over
        for _ in range(8):
            self.scheduler._run_pass(clock.read_clock())
        counts = [self.handled.count(step) for step in self.handled[:4]]
        self.assertEqual(counts, [4, 4, 4, 4])

    async def test_an_unfinished_pass_asks_for_the_next_one(self):
        self.scheduler._is_pass_over = self.is_over
        self.shard.is_pass_requested = False
        self.scheduler._run_pass(clock.read_clock())
        self.assertTrue(self.shard.is_pass_requested)

    async def test_a_pass_with_enough_time_leaves_nothing_out(self):
        self.scheduler._is_pass_over = lambda began_at: False
        self.scheduler._run_pass(clock.read_clock())
        self.assertEqual(len(self.handled), self.GANGS)
        self.assertFalse(self.scheduler._left_out)
