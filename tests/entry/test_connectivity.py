"""Whether a VM takes the store for slow, for away, or for one that refuses."""

import asyncio
import unittest

from persimmonpath_entry.engine import connectivity
from persimmonpath_entry.engine import ledger as ledgers
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import metrics
from tests.entry import fakes

TIMEOUT = httpclient.NoResponse(True, httpclient.TIMEOUT)
CLOSED = httpclient.NoResponse(True, "closed")
OK = httpclient.Response(200, b'{"rows":[],"ver":1}')
BUSY = httpclient.Response(503, b"{}")
TOO_MANY = httpclient.Response(429, b"{}")


class ScriptedClient:
    """Gives the outcomes in turn, each after the time it takes."""

    def __init__(self, *outcomes, takes_s=0.0):
        self.outcomes = list(outcomes)
        self.takes_s = takes_s

    async def call(self, *arguments, timeout_s, extra_s=0.0):
        await asyncio.sleep(self.takes_s)
        return self.outcomes.pop(0)


def make_store(*outcomes, takes_s=0.0):
    store = platform_store.StoreClient("127.0.0.1:9", metrics.Metrics())
    store._client = ScriptedClient(*outcomes, takes_s=takes_s)
    return store


async def hold_open(reader, writer):
    """Reads and never answers, until the other end closes."""
    while await reader.read(1000):
        pass
    writer.close()


class ReachTest(unittest.IsolatedAsyncioTestCase):
    async def reach_after(self, *outcomes):
        store = make_store(*outcomes)
        for _ in range(len(outcomes)):
            await store.read("vm", "")
        reach = connectivity.Connectivity(fakes.make_context(store), None)
        return store, reach

    async def test_a_call_without_answer_beside_answers_is_a_slow_store(self):
        """All VMs of a slow store called through one peer, which was slower."""
        for doubt in (TIMEOUT, TOO_MANY):
            with self.subTest(doubt=doubt):
                _, reach = await self.reach_after(OK, doubt)
                self.assertTrue(reach.reaches_store())

    async def test_a_store_that_refuses_or_says_nothing_is_away(self):
        for outcome in (BUSY, CLOSED):
            with self.subTest(outcome=outcome):
                _, reach = await self.reach_after(OK, outcome)
                self.assertFalse(reach.reaches_store())
        store, reach = await self.reach_after(OK, TIMEOUT)
        store.last_answer = clock.read_clock() - connectivity.SLOW_S
        self.assertFalse(reach.reaches_store())


class HelperTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_vm_that_has_heard_nothing_lately_offers_no_help(self):
        """Half of the VMs sent calls through one that knew no better.

        Found on inc-5a0b of tbw-leafscale, in the first second of an outage.
        """
        store = make_store(OK)
        await store.read("vm", "")
        reach = connectivity.Connectivity(fakes.make_context(store), None)
        self.assertTrue(reach.can_help())
        store.last_answer -= connectivity.FRESH_S
        self.assertFalse(reach.can_help())


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_that_hang_end_once_the_store_is_back(self):
        """They went on waiting for up to 2.5 s, and a takeover with them."""
        server = await asyncio.start_server(hold_open, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = httpclient.HttpClient(f"127.0.0.1:{port}")
        call = asyncio.create_task(client.call("GET", "/", timeout_s=5.0))
        while not client._active:
            await asyncio.sleep(0.01)
        client.fail_calls(clock.read_clock() - 60)
        await asyncio.sleep(0)
        self.assertFalse(call.done())
        client.fail_calls(clock.read_clock() + 1)
        outcome = await call
        server.close()
        self.assertEqual(outcome, httpclient.NoResponse(True, "overtaken"))

    async def test_a_probe_that_is_answered_ends_the_hanging_calls(self):
        store = make_store()
        store._probe_client = ScriptedClient(OK)
        ended = []
        store.fail_calls = ended.append
        reach = connectivity.Connectivity(fakes.make_context(store), None)
        reach.reach = connectivity.Reach.NO_STORE
        await reach._probe_store()
        self.assertEqual(len(ended), 1)
        self.assertTrue(reach.reaches_store())


class PatienceTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_store_doesnt_make_calls_wait_longer(self):
        """A takeover came 3 s after the store had: its call was still waiting.

        Every call without an answer had made the next one more patient.
        """
        store = make_store(TIMEOUT, takes_s=0.01)
        store._typical_latency_s = 0.02
        await store.read("vm", "")
        self.assertEqual(store._typical_latency_s, 0.02)

    async def test_a_slow_store_makes_calls_wait_longer(self):
        """Else every call is given up and sent again, which slows it more."""
        store = make_store(TIMEOUT, takes_s=0.05)
        store._typical_latency_s = 0.02
        call = asyncio.create_task(store.read("vm", ""))
        await asyncio.sleep(0.02)
        store.last_answer = clock.read_clock()
        await call
        self.assertGreater(store._typical_latency_s, 0.02)


class PartitionTest(unittest.TestCase):
    def test_a_slow_store_carries_a_crest(self):
        """With 8 partitions 63 of 160 submissions were lost in four seconds.

        A partition carries 200 transactions a second, one fiftieth of that
        while the store is fifty times slower; a crest brings 60 a second.
        """
        parts = ledgers.list_parts()
        self.assertGreaterEqual(len(parts) * 200 / 50, 60)
        found = {ledgers.find_part(f"{n:016x}") for n in range(256)}
        self.assertEqual(found, set(parts))
