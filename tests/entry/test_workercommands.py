"""Tests of start and stop commands with every kind of answer."""

import asyncio
import unittest

from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from tests.entry import fakes

ID = "00000000000000aa"


class ScriptedClient:
    """Answers starts and stops with scripted results and records the calls."""

    def __init__(self, start, stops=()):
        self.start_result = start
        self.stop_results = list(stops)
        self.calls = []

    async def start(self, task, run, *rest):
        self.calls.append(("start", task, run))
        return self.start_result

    async def stop(self, task, run, *rest):
        self.calls.append(("stop", task, run))
        return self.stop_results.pop(0)

    def close(self):
        pass


class StartCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests with a shard, one worker and one submission."""

    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)
        self.shard.apply_submission(ID, fakes.make_record())
        self.task = self.shard.submissions[ID].find_task("0.0.0")
        self.listing_requests = []
        self.commands = workercommands.WorkerCommands(
            self.shard, self.listing_requests.append
        )
        self.shard.stop_run = self.commands.stop

    async def start(self, result, stops=()):
        client = ScriptedClient(result, stops)
        self.shard.clients[self.worker.id] = client
        run = self.shard.create_run(self.task, self.worker)
        self.commands.start(run, "")
        for _ in range(20):
            await asyncio.sleep(0)
        return run, client


class StartTest(StartCase):
    async def test_an_accepted_start_runs(self):
        run, _ = await self.start(worker_calls.Accepted(2000.0))
        self.assertIs(run.phase, execution.Phase.RUNNING)
        self.assertIsNotNone(run.confirmed_at)

    async def test_the_task_of_a_refused_start_waits_again(self):
        for reason in ("room", "ticket", "late", "503", "unreachable"):
            with self.subTest(reason):
                await self.start(worker_calls.Rejected(reason))
                self.assertTrue(self.task.is_waiting)
                self.assertEqual(self.worker.free_cpu, 16000)

    async def start_after(self, change):
        """Starts a run, with a change between its placing and its sending."""
        client = ScriptedClient(worker_calls.Accepted(2000.0))
        self.shard.clients[self.worker.id] = client
        run = self.shard.create_run(self.task, self.worker)
        self.commands.start(run, "")
        change()
        for _ in range(20):
            await asyncio.sleep(0)
        return client

    async def test_the_task_of_a_removed_worker_waits_again(self):
        """Its start raised KeyError, and nothing ended the run."""
        registry = self.shard.worker_registry

        def replace():
            registry.remove_worker(self.worker)
            fakes.add_worker(self.shard)
            self.shard.clients["w1"] = ScriptedClient(None)

        changes = (lambda: registry.remove_worker(self.worker), replace)
        for change in changes:
            with self.subTest(change.__name__):
                client = await self.start_after(change)
                self.assertTrue(self.task.is_waiting)
                self.assertEqual(client.calls, [])
                self.assertEqual(self.shard.clients.get("w1", client).calls, [])
                self.worker = fakes.add_worker(self.shard)

    async def test_a_run_that_is_lost_already_isn_t_started(self):
        """It would have run beside the next one, unknown to its owner."""
        client = await self.start_after(
            lambda: self.shard.worker_registry.mark_worker_lost(
                self.worker, "other incarnation"
            )
        )
        self.assertTrue(self.task.is_waiting)
        self.assertEqual(client.calls, [])

    async def test_an_unanswered_start_is_stopped_before_anything_else(self):
        """It may be carried out seconds later, beside a second run."""
        run, client = await self.start(
            worker_calls.Uncertain("timeout"), [worker_calls.Accepted(2000.0)]
        )
        kinds = [call[0] for call in client.calls]
        self.assertEqual(kinds, ["start", "stop"])
        self.assertEqual(self.task.runs, [run])
        self.assertEqual(self.listing_requests, [self.worker])

    async def test_a_worker_is_excluded_until_it_answers_again(self):
        """Tasks started on a partitioned worker wait for 6 s."""
        stops = [
            worker_calls.Uncertain("timeout"),
            worker_calls.Accepted(2000.0),
        ]
        await self.start(worker_calls.Uncertain("timeout"), stops)
        self.assertIsNotNone(self.worker.unanswered_since)
        await asyncio.sleep(workercommands.STOP_RETRY_S + 0.05)
        self.assertIsNone(self.worker.unanswered_since)

    async def test_a_busy_connection_pool_doesn_t_count_as_unanswered(self):
        """All connections to the worker were in use by other commands."""
        await self.start(worker_calls.Rejected(httpclient.BUSY))
        self.assertIsNone(self.worker.unanswered_since)
        await self.start(worker_calls.Rejected("unreachable"))
        self.assertIsNotNone(self.worker.unanswered_since)

    async def test_a_stop_is_repeated_until_it_is_answered(self):
        """A stop may also go unanswered and be carried out late."""
        retry_s = workercommands.STOP_RETRY_S
        workercommands.STOP_RETRY_S = 0
        self.addCleanup(setattr, workercommands, "STOP_RETRY_S", retry_s)
        lost = worker_calls.Uncertain("timeout")
        _, client = await self.start(
            lost, [lost, lost, worker_calls.Accepted(2000.0)]
        )
        kinds = [call[0] for call in client.calls]
        self.assertEqual(kinds, ["start", "stop", "stop", "stop"])

    async def test_nothing_starts_before_the_new_registration_is_read(self):
        """A restarted worker was filled by its former registration.

        It had half of the capacity and another kind since.
        """
        self.worker.begin_incarnation(7)
        self.worker.record_clock(1000.0, clock.read_clock())
        _, client = await self.start(worker_calls.Accepted(2000.0))
        self.assertEqual(client.calls, [])
        self.assertTrue(self.task.is_waiting)
        self.shard.worker_registry.apply_registration(
            fakes.make_registration(born=7)
        )
        _, client = await self.start(worker_calls.Accepted(2000.0))
        self.assertEqual(len(client.calls), 1)

    async def test_a_higher_fencing_token_closes_the_shard(self):
        await self.start(worker_calls.Rejected(worker_calls.STALE_FENCE))
        self.assertFalse(self.shard.is_open)

    async def test_nothing_is_sent_without_a_lease(self):
        """Another VM may already own the service."""
        self.shard.lease_until = 0.0
        _, client = await self.start(worker_calls.Accepted(2000.0))
        self.assertEqual(client.calls, [])
        self.assertTrue(self.task.is_waiting)

    async def test_another_incarnation_requeues_every_task(self):
        """The address may by now belong to another service."""
        other = self.shard.submissions[ID].find_task("0.0.1")
        fakes.start_run(self.shard, other, self.worker)
        await self.start(worker_calls.Rejected(worker_calls.OTHER_INCARNATION))
        self.assertTrue(other.is_waiting)
        self.assertTrue(self.task.is_waiting)


class HangingClient(ScriptedClient):
    """Never answers a start."""

    def __init__(self):
        super().__init__(None)

    async def start(self, task, run, *rest):
        await asyncio.Future()


class WaitingCountTest(StartCase):
    """The number of waiting submissions, which callers scale and shed by.

    A submission counted as started as soon as a start was about to be sent,
    also when the worker rejected it: 0 was given for 20 that waited.
    """

    def count(self):
        return self.shard.count_waiting(fakes.QUEUE)

    async def test_a_start_that_was_not_confirmed_doesn_t_count(self):
        reasons = ("room", "ticket", "late", "429", "503", "unreachable")
        for reason in reasons:
            with self.subTest(reason):
                await self.start(worker_calls.Rejected(reason))
                self.assertEqual(self.count(), 1)
        stops = [worker_calls.Accepted(2000.0)]
        await self.start(worker_calls.Uncertain("timeout"), stops)
        self.assertEqual(self.count(), 1)

    async def test_a_start_that_is_not_answered_yet_doesn_t_count(self):
        self.shard.clients[self.worker.id] = HangingClient()
        self.commands.start(self.shard.create_run(self.task, self.worker), "")
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(self.count(), 1)

    async def test_a_confirmed_start_counts(self):
        await self.start(worker_calls.Accepted(2000.0))
        self.assertEqual(self.count(), 0)

    async def test_a_submission_with_progress_has_started(self):
        """Also at a new owner, between two runs of its tasks."""
        for number, progress in enumerate(
            (
                submissions.ProgressRecord(done={"0.0": 1}),
                submissions.ProgressRecord(failures={"0.0.1": [3]}),
            )
        ):
            self.shard.apply_submission(
                f"{number:016x}", fakes.make_record(), progress
            )
        self.assertEqual(self.count(), 1)
