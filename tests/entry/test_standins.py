"""Tests the platform clients and the HTTP client against the stand-ins."""

import asyncio
import json
import unittest

from persimmonpath_entry.platform import advice
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import metrics
from tests.entry import fakes
from tests.entry import standins


class PassiveChecker:
    """A checker that checks nothing and lets every run take 30 s."""

    def record_start(self, worker, command):
        """Returns the seconds that the run takes."""
        return 30.0

    def record_end(self, worker, task, run, how):
        """Ignores the end of a run."""

    def record_acknowledgement(self, task, run, how):
        """Ignores an acknowledgement."""

    def draw_failure(self, name):
        """Lets no run fail."""
        return False


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Tests the store client: transactions, the feed and failed calls."""

    async def asyncSetUp(self):
        self.standin = standins.StoreStandIn()
        address = await self.standin.listen()
        self.store = platform_store.StoreClient(address, metrics.Metrics())

    async def asyncTearDown(self):
        self.standin.close()

    async def test_a_transaction_is_applied_whole_or_not_at_all(self):
        put = [("t", "k1", b"1"), ("t", "k2", b"2")]
        result = await self.store.commit("p", [("t", "k1", 0)], put)
        self.assertIsInstance(result, platform_store.Committed)
        put = [("t", "k1", b"x"), ("t", "k3", b"x")]
        result = await self.store.commit("p", [("t", "k1", 0)], put)
        self.assertIsInstance(result, platform_store.Conflict)
        self.assertEqual(result.rows[0].value, b"1")
        rows = await self.store.read_all("t", "p")
        self.assertEqual([row.key for row in rows.rows], ["k1", "k2"])

    async def test_the_feed_shows_changes_and_removals(self):
        first = await self.store.commit("p", [], [("t", "k1", b"1")])
        await self.store.commit("p", [], [("t", "k2", b"2")], [("t", "k1")])
        changes = await self.store.follow("t", first.version, 0)
        found = {row.key: row.is_deleted for row in changes.rows}
        self.assertEqual(found, {"k1": True, "k2": False})

    async def test_a_long_poll_ends_with_the_first_change(self):
        poll = asyncio.create_task(self.store.follow("t", 0, 20.0))
        await asyncio.sleep(0.05)
        await self.standin.write("t", "k", 1)
        rows = await asyncio.wait_for(poll, 5)
        self.assertEqual([row.key for row in rows.rows], ["k"])

    async def test_a_long_poll_tolerates_a_slow_store(self):
        """A VM whose polls all timed out kept an outdated configuration.

        A store that is sixty times slower than usual answers after 0.6 s.
        """
        handle = self.standin.handle

        async def handle_with_delay(request):
            await asyncio.sleep(0.6)
            return await handle(request)

        self.standin._server._handler = handle_with_delay
        result = await self.store.follow("t", 0, 0.1)
        self.assertIsInstance(result, platform_store.Rows)

    async def test_a_poll_beyond_the_history_returns_history_gone(self):
        self.standin.truncate_feed()
        result = await self.store.follow("t", 0, 0)
        self.assertIsInstance(result, platform_store.HistoryGone)

    async def test_refused_and_unknown_are_distinguished(self):
        """A transaction that was applied must not be reported as rejected."""
        self.standin.mode = "down"
        result = await self.store.commit("p", [], [("t", "k", b"")])
        self.assertIsInstance(result, platform_store.Refused)
        self.standin.mode = "silent"
        result = await self.store.commit(
            "p", [], [("t", "k", b"")], timeout_s=0.1
        )
        self.assertIsInstance(result, platform_store.Unknown)
        self.standin.close()
        self.store = platform_store.StoreClient(
            self.standin.address, metrics.Metrics()
        )
        result = await self.store.commit("p", [], [("t", "k", b"")])
        self.assertIsInstance(result, platform_store.Refused)

    async def test_an_unanswered_call_delays_no_other(self):
        self.standin.mode = "silent"
        silent = asyncio.create_task(self.store.read("t", "p", timeout_s=5))
        await asyncio.sleep(0.05)
        self.standin.mode = "ok"
        rows = await asyncio.wait_for(self.store.read("t", "p"), 1)
        self.assertIsInstance(rows, platform_store.Rows)
        silent.cancel()


class WorkerTest(unittest.IsolatedAsyncioTestCase):
    """Tests the worker client: commands, fencing, leases and listings."""

    async def asyncSetUp(self):
        self.standin = standins.WorkerStandIn("w1", "s", {}, PassiveChecker())
        address = await self.standin.listen()
        self.client = worker_calls.WorkerClient(address, "w1")

    async def asyncTearDown(self):
        self.standin.close()

    def start(self, run=1, fence=5, until_ms=6000, timeout_s=1.0):
        """Starts a run of the one task of these tests."""
        return self.client.start(
            "a.0.0.0", run, "spec", until_ms, fence, "", "", timeout_s
        )

    def list_tasks(self, last_seen=0, fence=5, wait_ms=0):
        """Lists the tasks without renewing the lease."""
        return self.client.list_tasks(fence, last_seen, None, wait_ms, 3.0)

    async def test_a_start_is_listed_until_its_end_is_acknowledged(self):
        self.assertIsInstance(await self.start(), worker_calls.Accepted)
        listing = await self.list_tasks()
        self.assertEqual(listing.running[0].task, "a.0.0.0")
        await self.client.stop("a.0.0.0", 1, 5, 1.0)
        await asyncio.sleep(0.1)
        listing = await self.list_tasks()
        self.assertEqual([end.how for end in listing.ended], ["stopped"])
        listing = await self.list_tasks(last_seen=1)
        self.assertEqual(listing.ended, [])

    async def test_a_lower_fencing_token_is_rejected(self):
        await self.list_tasks(fence=9)
        result = await self.start(fence=8)
        self.assertEqual(result.reason, worker_calls.STALE_FENCE)

    async def test_a_run_stopped_before_its_start_is_rejected(self):
        """A stop settles a start whose response was lost."""
        await self.client.stop("a.0.0.0", 3, 5, 1.0)
        result = await self.start(run=3)
        self.assertEqual(result.reason, worker_calls.STALE_RUN)

    async def test_a_delayed_command_is_uncertain_and_executed(self):
        self.standin.delayed_share = 1.0
        self.standin.delay_s = 0.2
        result = await self.start(timeout_s=0.1)
        self.assertIsInstance(result, worker_calls.Uncertain)
        self.standin.delayed_share = 0.0
        await asyncio.sleep(0.2)
        self.assertEqual(len((await self.list_tasks()).running), 1)

    async def test_a_crashed_worker_loses_delayed_commands(self):
        """Guards the stand-in: a crashed process executes nothing.

        The soak reported a false violation with seed 534.
        """
        self.standin.delayed_share = 1.0
        self.standin.delay_s = 0.2
        await self.start(timeout_s=0.1)
        self.standin.delayed_share = 0.0
        self.standin.restart()
        await asyncio.sleep(0.2)
        self.assertEqual((await self.list_tasks()).running, [])

    async def test_an_expired_lease_ends_the_runs(self):
        await self.start(until_ms=self.standin.read_clock() + 100)
        await asyncio.sleep(0.2)
        listing = await self.list_tasks()
        self.assertEqual([end.how for end in listing.ended], ["lapsed"])

    async def test_another_incarnation_rejects_commands(self):
        client = worker_calls.WorkerClient(self.standin.address, "w0")
        result = await client.stop("a.0.0.0", 1, 5, 1.0)
        self.assertEqual(result.reason, worker_calls.OTHER_INCARNATION)

    async def test_a_waiting_listing_delays_no_command(self):
        await self.start()
        waiting = asyncio.create_task(self.list_tasks(wait_ms=1500))
        await asyncio.sleep(0.05)
        result = await asyncio.wait_for(self.start(run=2), 0.5)
        self.assertIsInstance(result, worker_calls.Accepted)
        waiting.cancel()

    async def test_a_refused_connection_rejects_the_command(self):
        self.standin.close()
        client = worker_calls.WorkerClient(self.standin.address, "w1")
        result = await client.stop("a.0.0.0", 1, 5, 1.0)
        self.assertIsInstance(result, worker_calls.Rejected)


class AdviceTest(unittest.IsolatedAsyncioTestCase):
    """Tests the advisor client."""

    async def test_tickets_by_worker(self):
        standin = standins.AdviceStandIn()
        client = advice.AdviceClient(await standin.listen())
        tickets = await client.ask("a.0.0", ["w1", "w2"], 1.0)
        self.assertEqual(tickets, {"w1": "t-w1", "w2": "t-w2"})
        standin.close()
        self.assertIsNone(await client.ask("a.0.0", ["w1"], 0.2))


class MessageTest(unittest.TestCase):
    """Tests the decoding of submissions and registrations."""

    def decode(self, **body):
        """Decodes a submission with the given fields."""
        return messages.decode_submission(
            json.dumps(body).encode(), fakes.make_queue(), 1
        )

    def test_errors_of_invalid_submissions_name_the_field(self):
        """The caller learns which field to correct."""
        cases = [
            ("steps", {}),
            ("steps", {"steps": []}),
            ("count", {"steps": [{"count": 0}]}),
            ("count", {"steps": [{"count": "x"}]}),
            ("after", {"steps": [{"count": 1, "after": [0]}]}),
            ("steps[0].cpu", {"steps": [{"count": 1, "cpu": -1}]}),
            ("steps[0].gpu", {"steps": [{"count": 1, "gpu": 10**400}]}),
            (
                "startTimeMs",
                {"steps": [{"count": 1}], "startTimeMs": -(10**99)},
            ),
        ]
        for field, body in cases:
            with self.subTest(body):
                self.assertIn(field, self.decode(**body))
        bad = messages.decode_submission(b"\xff{", fakes.make_queue(), 1)
        self.assertIsInstance(bad, str)

    def test_a_submission_is_translated(self):
        record = self.decode(
            spec="run",
            steps=[{"count": 2, "memMb": 7, "fills": True, "antiAffinity": 1}],
            runCount=3,
        )
        self.assertEqual(record.steps[0].memory_mb, 7)
        self.assertTrue(record.steps[0].is_filler)
        self.assertEqual(record.steps[0].max_per_worker, 1)
        self.assertEqual(record.occurrences, 3)

    def test_an_invalid_registration_is_rejected(self):
        """Other writers may store rows that are no valid registrations."""
        good = {
            "service": "s",
            "address": "127.0.0.1:80",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": 1},
            "labels": ["a", "r1"],
        }
        self.assertEqual(
            messages.decode_registration("w", json.dumps(good).encode()).rack,
            "r1",
        )
        cases = [
            b"\xff",
            b"[]",
            json.dumps({**good, "state": "odd"}).encode(),
            json.dumps({**good, "service": 5}).encode(),
            json.dumps({**good, "address": "nowhere"}).encode(),
            json.dumps({**good, "capacity": None}).encode(),
        ]
        for value in cases:
            with self.subTest(value):
                result = messages.decode_registration("w", value)
                self.assertIsInstance(result, str)


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    """Tests the limit on connections of the HTTP client."""

    async def test_a_waiting_call_gets_the_connection_of_a_timed_out_call(self):
        standin = standins.StoreStandIn()
        standin.mode = "silent"
        client = httpclient.HttpClient(await standin.listen(), limit=1)
        target = "/api/rows-get?table=t&part="
        first = asyncio.create_task(client.call("GET", target, timeout_s=0.2))
        await asyncio.sleep(0.05)
        standin.mode = "ok"
        second = await client.call("GET", target, timeout_s=2.0)
        self.assertEqual((await first).reason, "timeout")
        self.assertEqual(second.status, 200)
        standin.close()

    async def test_an_exhausted_pool_reports_that_nothing_was_sent(self):
        standin = standins.StoreStandIn()
        standin.mode = "silent"
        client = httpclient.HttpClient(await standin.listen(), limit=1)
        first = asyncio.create_task(client.call("GET", "/x", timeout_s=0.4))
        await asyncio.sleep(0.05)
        outcome = await client.call("GET", "/x", timeout_s=0.1)
        self.assertEqual(outcome, httpclient.NoResponse(False, "busy"))
        await first
        standin.close()
