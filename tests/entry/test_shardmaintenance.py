"""Tests of the periodic checks of a shard's workers."""

import unittest

from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

SERVING_ID = "00000000000000aa"
FILLING_ID = "00000000000000bb"
TARGET_MS = 100
SERVING = submissions.StepSpec(
    count=1, cpu=4000, memory_mb=100, long_running=True, target_ms=TARGET_MS
)
FILLING = submissions.StepSpec(count=1, cpu=4000, memory_mb=100, is_filler=True)


class RecordingCommands:
    """Records commands to workers and carries out none."""

    def __init__(self):
        self.percents = []
        self.stopped = []

    def pace(self, run, percent):
        """Records a share and takes it as applied."""
        self.percents.append(percent)
        run.percent = percent

    def stop_unknown_run(self, worker, task, number):
        """Ignores a run of a submission that isn't read yet."""

    def stop(self, run, reason):
        """Records a stop and takes it as ordered."""
        self.stopped.append((run.task.key, reason))
        run.is_being_stopped = True
        run.phase = run.phase.STOPPING


def make_maintenance(shard):
    """Returns the maintenance of a shard and the commands that it gives."""
    commands = RecordingCommands()
    return shardmaintenance.ShardMaintenance(shard, commands), commands


def apply_listing(shard, worker, running, ended=()):
    """Applies a listing, given the rows of running tasks and of run ends."""
    poller = listings.ListingPoller(shard)
    poller.effects.commands = RecordingCommands()
    now = clock.read_clock()
    listing = worker_calls.Listing(
        clock_ms=2000.0,
        born=1,
        running=[worker_calls.RunningTask(*row) for row in running],
        ended=[worker_calls.EndedTask(*row) for row in ended],
    )
    poller.effects.apply(worker, listing, now, now)


class FillerShareTest(unittest.IsolatedAsyncioTestCase):
    """A filler beside a latency-sensitive task that goes away.

    The filler stayed at the share of that time, 0 percent, for good.
    """

    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)
        self.maintenance, self.commands = make_maintenance(self.shard)
        self.shard.apply_submission(FILLING_ID, fakes.make_record(FILLING))
        self.shard.apply_submission(SERVING_ID, fakes.make_record(SERVING))

    def start(self, submission_id):
        task = self.shard.submissions[submission_id].find_task("0.0.0")
        run = fakes.start_run(self.shard, task, self.worker)
        run.phase = run.phase.RUNNING
        return run

    def check(self, after_s=0.0):
        self.maintenance._check_worker(
            self.worker, clock.read_clock() + after_s
        )

    async def test_the_share_is_restored_once_the_cause_is_gone(self):
        self.start(FILLING_ID)
        serving = self.start(SERVING_ID)
        serving.load = 3 * TARGET_MS
        serving.over_target_since = clock.read_clock()
        for after_s in (1.0, 2.0, 3.0):
            self.check(after_s)
        self.assertEqual(self.commands.percents, [25, 0])
        self.shard.remove_run(serving, "stopped", "")
        self.check(4.0)
        self.assertEqual(self.commands.percents, [25, 0, 100])

    async def test_the_next_filler_begins_at_the_full_share(self):
        """The share of a former pair of tasks was kept for the next one."""
        self.worker.filler_percent = 0
        self.check()
        self.assertEqual(self.worker.filler_percent, 100)

    async def test_a_new_owner_restores_the_share(self):
        """It finds the filler alone, at the share that its owner had set."""
        row = (f"{FILLING_ID}.0.0.0", 4001, "", 0)
        apply_listing(self.shard, self.worker, [row])
        self.check()
        self.assertEqual(self.commands.percents, [100])

    async def test_a_new_owner_keeps_the_share_beside_its_cause(self):
        """It raised a throttled filler from 0 to 100 percent at once."""
        rows = [
            (f"{FILLING_ID}.0.0.0", 4001, "", 0),
            (f"{SERVING_ID}.0.0.0", 4001, "", 100, 3 * TARGET_MS),
        ]
        apply_listing(self.shard, self.worker, rows)
        self.check()
        self.assertEqual(self.commands.percents, [])

    async def test_nothing_is_raised_beside_a_run_that_isn_t_known_yet(self):
        """It may have a latency target."""
        rows = [
            (f"{FILLING_ID}.0.0.0", 4001, "", 0),
            (f"{'cc' * 8}.0.0.0", 4001),
        ]
        apply_listing(self.shard, self.worker, rows)
        self.check()
        self.assertEqual(self.commands.percents, [])

    async def test_a_filler_doesn_t_throttle_itself(self):
        """With a target of its own it was over it the more it was throttled."""
        spec = submissions.StepSpec(
            count=1, cpu=100, memory_mb=1, is_filler=True, target_ms=TARGET_MS
        )
        self.shard.apply_submission("dd" * 8, fakes.make_record(spec))
        run = self.start("dd" * 8)
        run.load = 3 * TARGET_MS
        run.over_target_since = clock.read_clock() - 5
        self.check()
        self.assertEqual(self.commands.percents, [])


class MayMissTest(unittest.IsolatedAsyncioTestCase):
    """Three long-running tasks on one worker, one of which may be missed.

    All were stopped at once as soon as they had nothing to do for 3 s.
    """

    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)
        self.maintenance, self.commands = make_maintenance(self.shard)
        spec = submissions.StepSpec(
            count=3, cpu=100, memory_mb=1, long_running=True, may_miss=1
        )
        self.shard.apply_submission(SERVING_ID, fakes.make_record(spec))
        step = self.shard.submissions[SERVING_ID].steps["0.0"]
        self.runs = [self.start(task) for task in step.tasks]

    def start(self, task, load=0):
        run = fakes.start_run(self.shard, task, self.worker)
        run.phase = run.phase.RUNNING
        run.is_at_work = True
        run.sent_at -= 60
        run.load, run.load_at = load, clock.read_clock()
        run.idle_since = None if load else run.load_at - 30
        return run

    def start_batch(self, load):
        """Starts a task beside them that has to use its CPU."""
        spec = submissions.StepSpec(count=1, cpu=100, memory_mb=1)
        self.shard.apply_submission(FILLING_ID, fakes.make_record(spec))
        task = self.shard.submissions[FILLING_ID].find_task("0.0.0")
        return self.start(task, load)

    def check(self, after_s=0.0):
        """Checks the worker and returns the reasons of new stops, by task."""
        former = len(self.commands.stopped)
        now = clock.read_clock() + after_s
        self.maintenance._check_worker(self.worker, now)
        return self.commands.stopped[former:]

    async def test_idle_tasks_go_on(self):
        self.assertEqual(self.check(), [])

    async def test_idle_tasks_beside_a_busy_one_go_on(self):
        self.start_batch(load=80)
        self.assertEqual(self.check(), [])

    async def test_a_worker_on_which_nothing_works_is_left_one_by_one(self):
        """A task that must use its CPU shows that the worker stands still."""
        self.start_batch(load=0)
        self.check()
        self.check()
        # The batch task and the first of the long-running ones.
        self.assertEqual(self.commands.stopped, [("0.0.0", "stands_still")] * 2)
        self.assertEqual(self.check(), [])
        self.runs[0].phase = self.runs[0].phase.RUNNING
        self.runs[0].idle_since = None
        self.assertEqual(self.check(), [("0.0.1", "stands_still")])

    async def test_a_worker_that_works_again_is_no_longer_left(self):
        batch = self.start_batch(load=0)
        self.worker.stalled_at = clock.read_clock()
        row = (batch.task.name, batch.number, "", 100, 70)
        rows = [(r.task.name, r.number, "", 100, 0) for r in self.runs]
        apply_listing(self.shard, self.worker, [row, *rows])
        self.shard.remove_run(batch, "done", "")
        self.assertEqual(self.check(), [])

    async def test_a_draining_worker_is_left_one_by_one_while_time_allows(self):
        self.worker.registration = fakes.make_registration(is_draining=True)
        self.worker.drain_deadline = clock.read_clock() + 10
        self.assertEqual(self.check(), [("0.0.0", "worker_draining")])
        self.assertEqual(self.check(), [])
        self.assertEqual(
            self.check(after_s=9.5),
            [("0.0.1", "worker_draining"), ("0.0.2", "worker_draining")],
        )


class UnregisteredWorkerTest(unittest.IsolatedAsyncioTestCase):
    """A worker that is cut off, and no longer registered."""

    def setUp(self):
        self.shard = fakes.make_shard()
        self.shard.former_horizon = 20
        self.maintenance, _ = make_maintenance(self.shard)
        self.worker = fakes.add_worker(self.shard)

    def check_removal(self):
        """Checks that the worker is removed once its leases have ended."""
        self.worker.unresponsive_since = clock.read_clock()
        self.shard.worker_registry.mark_unregistered("w1")
        lease_end = self.worker.bound_lease_end()
        self.maintenance._check_worker(self.worker, lease_end - 0.1)
        self.assertIn("w1", self.shard.workers)
        self.assertFalse(self.shard.former_runs.is_settled)
        self.maintenance._check_worker(self.worker, lease_end + 0.1)
        self.assertNotIn("w1", self.shard.workers)
        self.assertTrue(self.shard.former_runs.is_settled)

    async def test_it_is_kept_while_a_run_of_an_unread_submission_may_go_on(
        self,
    ):
        """The task was started elsewhere while it still ran there."""
        row = (f"{SERVING_ID}.0.0.0", 4001, "", 100, 500)
        apply_listing(self.shard, self.worker, [row])
        self.check_removal()

    async def test_it_is_kept_while_unlisted_ends_may_still_be_listed(self):
        """Once it is back it lists them, and their tasks had run again."""
        apply_listing(
            self.shard,
            self.worker,
            [],
            [
                (number, f"{SERVING_ID}.0.0.{number}", 4001, "done", "")
                for number in range(1, worker_calls.MAX_ENDS_PER_LISTING + 1)
            ],
        )
        self.check_removal()
