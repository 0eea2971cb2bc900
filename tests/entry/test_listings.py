"""Tests of how an owner applies a worker's task listing."""

import unittest

from persimmonpath_entry.engine import listingeffects
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

ID = "00000000000000aa"
NAME = f"{ID}.0.0.0"


def make_listing(running=(), ended=(), born=1):
    return worker_calls.Listing(
        clock_ms=2000.0,
        born=born,
        running=[worker_calls.RunningTask(*row) for row in running],
        ended=[worker_calls.EndedTask(*row) for row in ended],
    )


class FakeCommands:
    """Records the unknown runs that are to be stopped."""

    def __init__(self):
        self.unknown_runs = []

    def stop_unknown_run(self, worker, task, number):
        self.unknown_runs.append((task, number))


class ListingClient:
    """Returns the same listing each time and records the arguments."""

    def __init__(self, listing):
        self.listing = listing
        self.last_seen = []
        self.until = []

    async def list_tasks(self, fence, last_seen, until_ms, *rest):
        self.last_seen.append(last_seen)
        self.until.append(until_ms)
        return self.listing

    def close(self):
        pass


class ListingTest(unittest.IsolatedAsyncioTestCase):
    """Listings of one worker, applied to a shard with one submission."""

    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)
        self.listings = listings.ListingPoller(self.shard)
        self.listings.effects.commands = FakeCommands()
        self.shard.apply_submission(ID, fakes.make_record())
        self.task = self.shard.submissions[ID].find_task("0.0.0")

    def apply_listing(self, listing, sent_at=None):
        now = clock.read_clock()
        sent_at = now if sent_at is None else sent_at
        self.listings.effects.apply(self.worker, listing, sent_at, now)

    async def test_an_older_listing_is_ignored(self):
        """Answers on different connections may arrive out of order.

        A listing made before a run's end still contains the run, which would
        be adopted as a run of a former owner.
        """
        before = clock.read_clock() - 1
        run = fakes.start_run(self.shard, self.task, self.worker)
        self.apply_listing(
            make_listing(ended=[(1, NAME, run.number, "failed", "")])
        )
        self.apply_listing(
            make_listing([(NAME, run.number, "", 100, 500)]), before
        )
        self.assertEqual(self.task.runs, [])

    async def test_a_listed_run_or_end_shows_that_its_submission_started(self):
        """A start without an answer may have been carried out."""
        for rows in ({"running": True}, {"ended": True}):
            with self.subTest(rows):
                self.setUp()
                run = self.shard.create_run(self.task, self.worker)
                self.assertEqual(self.shard.count_waiting(fakes.QUEUE), 1)
                self.apply_listing(
                    make_listing([(NAME, run.number, "", 100, 500)])
                    if "running" in rows
                    else make_listing(
                        ended=[(1, NAME, run.number, "failed", "")]
                    )
                )
                self.assertEqual(self.shard.count_waiting(fakes.QUEUE), 0)

    async def test_a_repeated_end_is_counted_once(self):
        run = fakes.start_run(self.shard, self.task, self.worker)
        listing = make_listing(ended=[(1, NAME, run.number, "failed", "")])
        self.apply_listing(listing)
        self.apply_listing(listing)
        self.assertEqual(self.task.failures, [run.number])

    async def test_a_run_that_is_no_longer_listed_is_removed(self):
        run = fakes.start_run(self.shard, self.task, self.worker)
        run.confirmed_at = clock.read_clock() - 1
        self.apply_listing(make_listing())
        self.assertTrue(self.task.is_waiting)

    async def test_a_run_that_is_being_started_is_kept(self):
        """The worker may carry out the start after making the listing."""
        run = self.shard.create_run(self.task, self.worker)
        self.apply_listing(make_listing())
        self.assertEqual(self.task.runs, [run])

    async def test_a_run_confirmed_after_the_request_is_kept(self):
        sent_at = clock.read_clock() - 1
        run = fakes.start_run(self.shard, self.task, self.worker)
        self.apply_listing(make_listing(), sent_at)
        self.assertEqual(self.task.runs, [run])

    async def test_an_unanswered_start_is_confirmed_by_a_listing(self):
        run = self.shard.create_run(self.task, self.worker)
        self.apply_listing(make_listing([(NAME, run.number, "", 100, 500)]))
        self.assertIs(run.phase, execution.Phase.RUNNING)

    async def test_runs_of_the_former_owner_are_adopted(self):
        """They continue, and their resources are counted as used."""
        self.apply_listing(make_listing([(NAME, 4001, "save", 100, 500)]))
        self.assertEqual(self.task.runs[0].number, 4001)
        self.assertEqual(self.worker.free_cpu, 15000)
        self.assertGreater(self.shard.choose_run_number(self.task), 4001)

    async def test_a_second_run_of_a_task_is_stopped(self):
        other = fakes.add_worker(self.shard, "w2")
        fakes.start_run(self.shard, self.task, other)
        self.apply_listing(make_listing([(NAME, 4001, "", 100, 500)]))
        self.assertEqual(
            self.listings.effects.commands.unknown_runs, [(NAME, 4001)]
        )
        self.assertTrue(self.worker.unknown_runs)

    async def test_a_run_of_an_unknown_submission_is_stopped_after_a_grace_time(
        self,
    ):
        """Another VM may have accepted the submission just now."""
        name = "ffffffffffffffff.0.0.0"
        self.apply_listing(make_listing([(name, 1, "", 100, 500)]))
        self.assertEqual(self.listings.effects.commands.unknown_runs, [])
        self.worker.unknown_runs[name, 1] -= (
            listingeffects.UNKNOWN_RUN_GRACE_S + 0.1
        )
        self.apply_listing(make_listing([(name, 1, "", 100, 500)]))
        self.assertEqual(
            self.listings.effects.commands.unknown_runs, [(name, 1)]
        )

    async def test_a_run_started_in_a_new_incarnation_is_kept(self):
        """The owner may learn of the new incarnation after the start."""
        run = fakes.start_run(self.shard, self.task, self.worker)
        other = self.shard.submissions[ID].find_task("0.0.1")
        lost = fakes.start_run(self.shard, other, self.worker)
        lost.confirmed_at = run.confirmed_at = clock.read_clock() - 1
        self.apply_listing(
            make_listing([(NAME, run.number, "", 100, 500)], born=2)
        )
        self.assertEqual(self.task.runs, [run])
        self.assertTrue(other.is_waiting)

    async def test_a_new_incarnation_numbers_its_ends_anew(self):
        """Its end numbers are below those of the former incarnation."""
        run = fakes.start_run(self.shard, self.task, self.worker)
        run.confirmed_at = clock.read_clock() - 1
        self.worker.processed = 40
        self.worker.last_seen = 40
        self.apply_listing(make_listing(born=2))
        self.assertTrue(self.task.is_waiting)
        run = fakes.start_run(self.shard, self.task, self.worker)
        listing = make_listing(
            ended=[(1, NAME, run.number, "failed", "")], born=2
        )
        self.apply_listing(listing)
        self.assertEqual(self.task.failures, [run.number])

    async def test_a_former_owner_s_lease_is_assumed_to_have_full_length(self):
        """A worker that is cut off after one answer runs its tasks on for 6 s.

        When no lease was assumed they were declared lost after 0.25 s.
        """
        worker = fakes.add_worker(self.shard, "w7")
        worker.is_fenced = False
        worker.clock = None
        self.worker = worker
        self.apply_listing(make_listing([(NAME, 4001, "", 100, 500)]))
        left_s = worker.bound_lease_end() - clock.read_clock()
        self.assertGreater(left_s, 6.0)

    async def test_no_lease_is_extended_that_is_stored_as_ending(self):
        client = ListingClient(make_listing())
        self.shard.clients[self.worker.id] = client
        self.shard.frozen_leases = {self.worker.id}
        await self.listings._fetch_listing(self.worker, 0)
        self.shard.frozen_leases = set()
        await self.listings._fetch_listing(self.worker, 0)
        self.assertEqual(
            [until is None for until in client.until], [True, False]
        )

    async def test_an_acknowledgement_is_sent_once(self):
        """A restarted worker would discard ends that the owner hasn't seen.

        Found by the soak, seed 2: a run of the new incarnation ended as done, a
        listing with the end number of the former incarnation acknowledged it
        unseen, and the task ran a second time.
        """
        client = ListingClient(make_listing())
        self.shard.clients[self.worker.id] = client
        self.worker.last_seen = 12
        for _ in range(3):
            await self.listings._fetch_listing(self.worker, 0)
        self.assertEqual(client.last_seen, [0, 12, 0])

    async def test_no_acknowledgement_after_a_failure(self):
        """The worker may have restarted meanwhile.

        Found by the soak, seeds 11 and 15.
        """
        now = clock.read_clock()
        self.apply_listing(make_listing())
        self.worker.last_seen = 12
        self.assertEqual(self.worker.choose_acknowledged_end(now), 12)
        later = now + fleet.ACKNOWLEDGE_WINDOW_S + 0.1
        self.assertEqual(self.worker.choose_acknowledged_end(later), 0)
        lost = worker_calls.Uncertain("closed")
        self.listings._handle_failure(self.worker, lost, now)
        self.assertEqual(self.worker.choose_acknowledged_end(now), 0)

    async def test_a_single_lost_answer_doesn_t_make_a_worker_unresponsive(
        self,
    ):
        """One listing in twenty may be lost while its worker is healthy."""
        lost = worker_calls.Uncertain("timeout")
        self.listings._handle_failure(self.worker, lost, 1.0)
        self.assertIsNone(self.worker.unresponsive_since)
        self.listings._handle_failure(self.worker, lost, 2.0)
        self.assertEqual(self.worker.unresponsive_since, 2.0)

    async def test_a_listing_with_many_new_ends_is_logged(self):
        """Ends of a former owner's runs have no lines of their own."""
        count = listingeffects.MIN_LOGGED_BACKLOG
        ends = [(n, NAME, n, "failed", "") for n in range(1, count + 1)]
        self.apply_listing(make_listing(ended=ends))
        self.apply_listing(make_listing(ended=ends))
        (event,) = self.shard.node.log.list_events("ends_listed")
        self.assertEqual((event["first"], event["last"]), (1, count))

    async def test_another_owner_s_fencing_token_closes_the_shard(self):
        fenced = worker_calls.Rejected(worker_calls.STALE_FENCE)
        self.listings._handle_failure(self.worker, fenced, 1.0)
        self.assertFalse(self.shard.is_open)


LATE_ID = "00000000000000bb"
LATE_NAME = f"{LATE_ID}.0.0.0"


class UnreadSubmissionTest(unittest.IsolatedAsyncioTestCase):
    """A former owner started a task that this owner hasn't read yet.

    A horizon that lies ahead lets a replaced owner start tasks of submissions
    that are accepted after the takeover, until a worker sees the new fence. A
    task ran again after it had been done (trouble-3 of the grown tender).
    """

    def setUp(self):
        self.shard = fakes.make_shard()
        self.shard.former_horizon = 20
        self.worker = fakes.add_worker(self.shard)
        self.listings = listings.ListingPoller(self.shard)
        self.listings.effects.commands = FakeCommands()

    def apply(self, listing):
        now = clock.read_clock()
        self.listings.effects.apply(self.worker, listing, now, now)

    def read_submission(self):
        self.shard.apply_submission(LATE_ID, fakes.make_record(), version=15)
        return self.shard.submissions[LATE_ID].find_task("0.0.0")

    async def test_its_end_is_kept_until_the_submission_is_read(self):
        listing = make_listing(ended=[(1, LATE_NAME, 4001, "done", "")])
        self.apply(listing)
        self.assertEqual(self.worker.processed, 0)
        task = self.read_submission()
        self.assertTrue(self.shard.may_run_elsewhere(task))
        self.apply(listing)
        self.assertTrue(task.is_done)
        self.assertEqual(self.worker.processed, 1)
        self.assertEqual(self.shard.former_runs.unidentified_tasks, {})

    async def test_an_end_that_follows_it_is_kept_as_well(self):
        """Its run was taken for lost, and its task started again.

        The worker no longer lists the run, and the end is only processed later.
        """
        self.shard.apply_submission(ID, fakes.make_record())
        task = self.shard.submissions[ID].find_task("0.0.0")
        run = fakes.start_run(self.shard, task, self.worker)
        listing = make_listing(
            ended=[
                (1, LATE_NAME, 4001, "done", ""),
                (2, NAME, run.number, "done", ""),
            ]
        )
        self.apply(listing)
        self.assertEqual(task.runs, [run])
        self.read_submission()
        self.apply(listing)
        self.assertTrue(task.is_done)

    async def test_its_run_is_adopted_and_not_started_again(self):
        listing = make_listing([(LATE_NAME, 4001, "", 100, 500)])
        self.apply(listing)
        task = self.read_submission()
        self.assertTrue(self.shard.may_run_elsewhere(task))
        self.apply(listing)
        self.assertEqual([run.number for run in task.runs], [4001])

    async def test_an_end_of_no_submission_holds_others_up_for_one_read(self):
        """Rows of ended submissions are removed; their ends may come later."""
        listing = make_listing(ended=[(1, LATE_NAME, 4001, "done", "")])
        self.apply(listing)
        self.shard.submissions_read_at = clock.read_clock()
        self.apply(listing)
        self.assertEqual(self.worker.processed, 1)
        self.assertEqual(self.shard.former_runs.unidentified_tasks, {})


class GangCheckpointTest(unittest.IsolatedAsyncioTestCase):
    """A gang of two whose members list their checkpoints on two workers.

    After both workers had crashed each member started from its own value.
    """

    def setUp(self):
        self.shard = fakes.make_shard()
        self.poller = listings.ListingPoller(self.shard)
        self.poller.effects.commands = FakeCommands()
        self.workers = [fakes.add_worker(self.shard, w) for w in ("w1", "w2")]
        self.shard.apply_submission(ID, self.make_record())
        self.step = self.shard.submissions[ID].steps["0.0"]

    def make_record(self):
        return fakes.make_record(
            submissions.StepSpec(
                count=2, cpu=100, memory_mb=1, gang=True, checkpointing=True
            )
        )

    def start(self, number):
        """Starts all members and returns their runs."""
        for task in self.step.tasks:
            task.last_number = number
        return [
            fakes.start_run(self.shard, task, worker)
            for task, worker in zip(self.step.tasks, self.workers, strict=True)
        ]

    def list_checkpoint(self, run, saved):
        now = clock.read_clock()
        row = (run.task.name, run.number, saved, 100, 500)
        self.poller.effects.apply(run.worker, make_listing([row]), now, now)

    async def test_all_members_start_from_the_same_value(self):
        runs = self.start(9)
        for run, saved in zip(runs, ("a1", "b1"), strict=True):
            self.list_checkpoint(run, saved)
        for run in runs:
            self.shard.remove_run(run, "lost", "")
        self.assertEqual([run.saved for run in self.start(10)], ["b1", "b1"])

    async def test_a_value_that_is_listed_again_isn_t_taken_again(self):
        """It is older than what another member has listed since."""
        runs = self.start(9)
        for run, saved in zip(
            [*runs, runs[0]], ("a1", "b2", "a1"), strict=True
        ):
            self.list_checkpoint(run, saved)
        self.assertEqual({task.saved for task in self.step.tasks}, {"b2"})

    async def test_a_value_that_arrives_between_two_starts_changes_neither(
        self,
    ):
        """The start of one member may have been sent already."""
        client = RecordingClient()
        commands = workercommands.WorkerCommands(self.shard, lambda worker: 0)
        for worker in self.workers:
            self.shard.clients[worker.id] = client
        runs = self.start(9)
        await commands._start(runs[0], "")
        self.shard.run_end_handler.handle_run_end(
            self.step.tasks[0], 8, "lapsed", "late", self.workers[0]
        )
        await commands._start(runs[1], "")
        self.assertEqual(client.saved, ["", ""])

    async def test_a_new_owner_reads_one_value_for_all_members(self):
        """Rows hold a value for each member, and blocks may lack some."""
        for saved in ({"0.0.0": "a1", "0.0.1": "b1"}, {"0.0.1": "b1"}):
            with self.subTest(saved):
                shard = fakes.make_shard()
                shard.apply_submission(
                    ID,
                    self.make_record(),
                    submissions.ProgressRecord(saved=saved),
                )
                tasks = shard.submissions[ID].steps["0.0"].tasks
                self.assertEqual([task.saved for task in tasks], ["b1", "b1"])


class RecordingClient:
    """Accepts starts and records their checkpoints."""

    def __init__(self):
        self.saved = []

    async def start(self, task, run, spec, until_ms, fence, saved, *rest):
        self.saved.append(saved)
        return worker_calls.Accepted(2000.0)

    def close(self):
        pass
