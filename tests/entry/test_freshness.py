"""Tests of refreshing a submission before a caller's query is answered."""

import asyncio
import unittest

from persimmonpath_entry.decisions import completionchecks
from persimmonpath_entry.engine import freshness
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

ID = "00000000000000aa"
ONE = submissions.StepSpec(count=1, cpu=1000, memory_mb=100)
PAIR = submissions.StepSpec(count=2, cpu=1000, memory_mb=100)


class FakeWorkerClient:
    """Lists every given run as ended, after `takes_s`, and counts the calls."""

    def __init__(self, runs):
        self.runs = runs
        self.takes_s = 0.0
        self.calls = 0

    async def list_tasks(self, *rest):
        self.calls += 1
        await asyncio.sleep(self.takes_s)
        ended = [
            worker_calls.EndedTask(
                number, run.task.name, run.number, "done", ""
            )
            for number, run in enumerate(self.runs, 1)
        ]
        return worker_calls.Listing(2000.0, 1, [], ended)

    def close(self):
        pass


class CommittingStore(fakes.FakeStore):
    """Commits every transaction without delay."""

    async def commit(self, part, expect, put, remove=(), timeout_s=None):
        self.commits.append((part, expect, put, remove))
        await asyncio.sleep(0)
        return platform_store.Committed(len(self.commits))


class ChooseWorkersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)

    def add_submission(self, *steps):
        self.shard.apply_submission(ID, fakes.make_record(*steps))
        return self.shard.submissions[ID]

    def start_all(self, submission):
        for step in submission.steps.values():
            for task in step.tasks:
                fakes.start_run(self.shard, task, self.worker)

    async def test_workers_of_the_last_tasks_are_queried(self):
        """Otherwise a caller that asks right after the end has to ask again."""
        submission = self.add_submission(PAIR)
        self.start_all(submission)
        self.assertEqual(
            completionchecks.choose_workers_to_query(submission), [self.worker]
        )

    async def test_no_worker_is_queried_while_other_work_is_left(self):
        """Listing a worker that can't complete the submission costs a call."""
        waiting = self.add_submission(PAIR)
        self.assertEqual(completionchecks.choose_workers_to_query(waiting), [])
        long_running_spec = submissions.StepSpec(
            count=1, cpu=1, long_running=True
        )
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        shard.apply_submission(ID, fakes.make_record(long_running_spec))
        submission = shard.submissions[ID]
        fakes.start_run(shard, submission.find_task("0.0.0"), worker)
        self.assertEqual(
            completionchecks.choose_workers_to_query(submission), []
        )

    async def test_many_workers_are_not_queried(self):
        """For a step with many tasks, a query would call every worker."""
        count = completionchecks.MAX_QUERIED_WORKERS + 1
        spec = submissions.StepSpec(count=count, cpu=1000, memory_mb=100)
        submission = self.add_submission(spec)
        for index, task in enumerate(submission.steps["0.0"].tasks):
            worker = fakes.add_worker(self.shard, f"x{index}")
            fakes.start_run(self.shard, task, worker)
        self.assertEqual(
            completionchecks.choose_workers_to_query(submission), []
        )


class SubmissionRefresherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = CommittingStore()
        self.shard = fakes.make_shard(fakes.make_context(self.store))
        self.worker = fakes.add_worker(self.shard)
        self.shard.apply_submission(ID, fakes.make_record(ONE))
        self.submission = self.shard.submissions[ID]
        task = self.submission.find_task("0.0.0")
        self.run_ = fakes.start_run(self.shard, task, self.worker)
        self.client = FakeWorkerClient([self.run_])
        self.shard.clients[self.worker.id] = self.client
        self.listings = listings.ListingPoller(self.shard)
        self.shard_writer = persistence.ShardWriter(
            self.shard, 10, self.announce
        )
        self.refresher = freshness.SubmissionRefresher(
            self.shard, self.listings, self.shard_writer
        )

    def announce(self):
        event = self.listings.on_stored
        self.listings.on_stored = asyncio.Event()
        event.set()

    async def test_a_run_end_at_the_worker_is_shown_to_the_caller(self):
        """A caller that is told `running` asks again after 0.25 s.

        Here the run has ended, but the owner hasn't learned of it yet.
        """
        writer = asyncio.create_task(self.shard_writer.run())
        await self.refresher.refresh(self.submission)
        writer.cancel()
        self.assertEqual(self.submission.stored_state, submissions.COMPLETED)

    async def test_a_state_is_shown_only_once_it_is_stored(self):
        """Otherwise a takeover could revert a state shown to a caller."""
        await self.refresher.refresh(self.submission)
        self.assertEqual(self.submission.state, submissions.COMPLETED)
        self.assertEqual(self.submission.stored_state, submissions.ACTIVE)

    async def test_a_worker_with_an_open_listing_is_not_queried(self):
        """An open listing answers as soon as the run ends."""
        self.client.takes_s = 60.0
        poll = asyncio.create_task(self.listings._long_poll(self.worker, 500))
        await asyncio.sleep(0)
        await self.refresher.refresh(self.submission)
        poll.cancel()
        self.assertEqual(self.client.calls, 1)

    async def test_an_end_that_an_open_listing_brings_is_shown(self):
        """The run ended before the query, and the answer was on its way.

        A third of the first queries after an end was told `running`, and the
        callers asked again after 0.25 s.
        """
        self.client.takes_s = freshness.IN_FLIGHT_S / 3
        poll = asyncio.create_task(self.listings._long_poll(self.worker, 500))
        await asyncio.sleep(0)
        await self.refresher.refresh(self.submission)
        shown = self.submission.state
        await poll
        self.assertEqual(shown, submissions.COMPLETED)

    async def test_an_unresponsive_worker_doesn_t_delay_the_answer(self):
        self.worker.unresponsive_since = clock.read_clock()
        await self.refresher.refresh(self.submission)
        self.assertEqual(self.client.calls, 0)
