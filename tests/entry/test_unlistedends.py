"""Tests of workers that have more run ends than one listing holds."""

import unittest

from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes
from tests.entry import test_listings
from tests.entry import test_taskscheduler

ID = "00000000000000aa"
UNREAD_ID = "00000000000000bb"
FORMER_RUN = 4001
FULL = worker_calls.MAX_ENDS_PER_LISTING


class EndedWorker:
    """Lists the ends of a former owner's runs, page by page."""

    def __init__(self, task_names):
        self.ends = [
            (number, name, FORMER_RUN, "done", "")
            for number, name in enumerate(task_names, 1)
        ]

    def list_tasks(self, last_seen=0, running=()):
        left = [end for end in self.ends if end[0] > last_seen]
        return test_listings.make_listing(running, left[:FULL])


class UnlistedEndsTestCase(unittest.IsolatedAsyncioTestCase):
    """A new owner of a service whose worker has run one wide step."""

    task_count = 2 * FULL + 200

    def setUp(self):
        self.shard = fakes.make_shard(unsettled={"w1": 1e12})
        self.shard.former_horizon = 20
        self.shard.extend_horizon(20)
        self.worker = fakes.add_worker(self.shard)
        self.poller = listings.ListingPoller(self.shard)
        self.poller.effects.commands = test_listings.FakeCommands()
        self.commands = test_taskscheduler.FakeCommands()
        self.scheduler = test_taskscheduler.make_scheduler(
            self.shard, self.commands
        )
        self.tasks = self.add_submission(ID)

    def add_submission(self, submission_id):
        """Adds a submission of a former owner; returns its tasks."""
        spec = submissions.StepSpec(
            count=self.task_count, cpu=1, memory_mb=1, estimated_ms=100
        )
        self.shard.apply_submission(
            submission_id, fakes.make_record(spec), version=15
        )
        return self.shard.submissions[submission_id].steps["0.0"].tasks

    def apply(self, listing):
        now = clock.read_clock()
        self.poller.effects.apply(self.worker, listing, now, now)

    def run_pass(self):
        """Returns the names of the tasks that a scheduling pass starts."""
        self.commands.started.clear()
        self.scheduler._run_pass(clock.read_clock())
        return self.commands.started


class TakeoverTest(UnlistedEndsTestCase):
    async def test_tasks_whose_ends_are_not_listed_yet_are_not_started(self):
        """Tasks ran again after a takeover, though they had ended as done.

        The first answer of a worker counted as all that it knew (review/11).
        """
        worker = EndedWorker(task.name for task in self.tasks)
        last_seen = 0
        while not all(task.is_done for task in self.tasks):
            self.apply(worker.list_tasks(last_seen))
            self.assertEqual(self.run_pass(), [])
            # The same ends are listed again until they are acknowledged.
            self.apply(worker.list_tasks(last_seen))
            self.assertEqual(self.run_pass(), [])
            last_seen = self.worker.processed
        self.assertTrue(self.shard.former_runs.is_settled)

    async def test_tasks_that_have_not_ended_start_once_all_ends_are_listed(
        self,
    ):
        """They would wait for good if the worker stayed incomplete."""
        worker = EndedWorker(task.name for task in self.tasks[:FULL])
        self.apply(worker.list_tasks())
        self.assertEqual(self.run_pass(), [])
        self.shard.schedule_requested.clear()
        self.apply(worker.list_tasks(self.worker.processed))
        self.assertTrue(self.shard.schedule_requested.is_set())
        self.assertEqual(self.run_pass()[0], self.tasks[FULL].name)

    async def test_a_failed_task_is_not_retried_before_a_later_end_is_listed(
        self,
    ):
        """The former owner may have retried it on the same worker."""
        first = self.tasks[0]
        worker = EndedWorker(task.name for task in self.tasks[:FULL])
        worker.ends[0] = (1, first.name, FORMER_RUN, "failed", "")
        worker.ends.append((FULL + 1, first.name, FORMER_RUN + 1, "done", ""))
        self.apply(worker.list_tasks())
        self.assertNotIn(first.name, self.run_pass())
        self.apply(worker.list_tasks(self.worker.processed))
        self.assertTrue(first.is_done)

    async def test_a_lost_worker_holds_nothing_up(self):
        """It lists nothing any more, and what it ran has lapsed."""
        worker = EndedWorker(task.name for task in self.tasks[:FULL])
        self.apply(worker.list_tasks())
        now = clock.read_clock()
        self.worker.unresponsive_since = now
        maintenance = shardmaintenance.ShardMaintenance(
            self.shard, self.commands
        )
        maintenance._check_worker(self.worker, now)
        self.assertFalse(self.shard.former_runs.is_settled)
        later = self.worker.bound_lease_end() + 1
        maintenance._check_worker(self.worker, later)
        self.assertTrue(self.shard.former_runs.is_settled)

    async def test_a_restarted_worker_holds_nothing_up(self):
        """It has forgotten the ends of its former incarnation."""
        worker = EndedWorker(task.name for task in self.tasks[:FULL])
        self.apply(worker.list_tasks())
        self.apply(test_listings.make_listing(born=2))
        self.assertTrue(self.shard.former_runs.is_settled)


class NextTakeoverTest(UnlistedEndsTestCase):
    """The service is taken over again before all ends are listed."""

    def make_next_shard(self, record):
        """Returns the shard of an owner that has read a workers row."""
        shard = fakes.make_shard(unsettled=dict.fromkeys(record.workers, 1e12))
        shard.former_horizon = 20
        shard.former_runs.unsettled_tasks = {
            worker_id: set(names)
            for worker_id, names in record.unresponsive.items()
        }
        return shard

    def assert_next_owner_waits(self, submission_id, is_leaving):
        """Checks that the next owner waits with an unread task."""
        record = ownerrows.build_workers(self.shard, is_leaving)
        shard = self.make_next_shard(record)
        shard.apply_submission(submission_id, fakes.make_record(), version=15)
        task = shard.submissions[submission_id].find_task("0.0.1")
        self.assertTrue(shard.may_run_elsewhere(task))

    async def test_a_worker_with_unlisted_ends_is_named_after_a_release(self):
        """A worker without runs was left out of the row.

        Tasks that had ended there ran again at the next owner.
        """
        worker = EndedWorker(task.name for task in self.tasks)
        self.apply(worker.list_tasks())
        self.assert_next_owner_waits(ID, is_leaving=True)

    async def test_any_task_may_have_ended_behind_a_full_listing(self):
        """The row named the listed runs as all that the worker may have."""
        worker = EndedWorker(task.name for task in self.tasks)
        row = (f"{ID}.0.0.{self.task_count - 1}", FORMER_RUN, "", 100, 500)
        self.apply(worker.list_tasks(running=[row]))
        self.assert_next_owner_waits(ID, is_leaving=True)
        self.worker.unresponsive_since = clock.read_clock()
        self.assert_next_owner_waits(ID, is_leaving=False)

    async def test_a_task_with_an_unprocessed_end_is_named_after_a_release(
        self,
    ):
        """The end of a submission that this owner hasn't read yet."""
        worker = EndedWorker([f"{UNREAD_ID}.0.0.1"])
        self.apply(worker.list_tasks())
        self.assert_next_owner_waits(UNREAD_ID, is_leaving=True)


class UnreadSubmissionTest(UnlistedEndsTestCase):
    """The ends come after one whose submission isn't read yet."""

    async def test_ends_after_an_unidentified_one_are_not_taken_for_missing(
        self,
    ):
        """Only the tasks of the listed ends were kept from starting."""
        worker = EndedWorker(
            [f"{UNREAD_ID}.0.0.0", *(task.name for task in self.tasks)]
        )
        self.apply(worker.list_tasks())
        self.assertEqual(self.worker.processed, 0)
        self.assertEqual(self.run_pass(), [])

    async def test_an_unknown_run_that_ends_unlisted_is_not_repeated(self):
        """It was seen while its submission hadn't been read.

        Its end is behind others, so that it is neither listed as running nor
        as ended when the submission is read.
        """
        name = f"{UNREAD_ID}.0.0.0"
        row = (name, FORMER_RUN, "", 100, 500)
        self.apply(test_listings.make_listing([row]))
        ends = [*(task.name for task in self.tasks[:FULL]), name]
        worker = EndedWorker(ends)
        self.apply(worker.list_tasks())
        (task, *_) = self.add_submission(UNREAD_ID)
        self.assertTrue(self.shard.may_run_elsewhere(task))
        self.apply(worker.list_tasks(self.worker.processed))
        self.assertTrue(task.is_done)
