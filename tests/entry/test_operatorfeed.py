"""Tests of following the operator's table over narrow links."""

import asyncio
import unittest

from persimmonpath_entry.engine import operatorfeed
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import httpclient
from tests.entry import fakes


class FailingFeedStore(fakes.FakeStore):
    """Records the reads; reads of the feed fail."""

    def __init__(self):
        super().__init__()
        self.reads = []

    async def read_all(self, table, part):
        self.reads.append("table")
        return platform_store.Rows([], 7)

    async def follow(self, table, after, wait_s):
        self.reads.append("feed")
        await asyncio.sleep(0)
        return platform_store.Refused(0)


class FollowTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_vm_that_falls_behind_reads_the_table_again(self):
        """Ten VMs on narrow links kept an old configuration for 20 s.

        After many changes in a row, the feed repeated every version, so each
        answer missed its timeout.
        """
        store = FailingFeedStore()
        operator_feed = operatorfeed.OperatorFeed(fakes.make_context(store))
        task = asyncio.create_task(operator_feed.run())
        while len(store.reads) < 3:
            await asyncio.sleep(0.01)
        task.cancel()
        self.assertEqual(store.reads[:3], ["table", "feed", "table"])


class FullFeedStore(fakes.FakeStore):
    """Returns a full response of the feed, and then fails."""

    async def read_all(self, table, part):
        return platform_store.Refused(0)

    async def follow(self, table, after, wait_s):
        if after > 7:
            return platform_store.Refused(0)
        return platform_store.Rows([], 8, has_more=True)


class FullResponseTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_full_response_does_not_confirm_the_configuration(self):
        """A newer configuration may be among the changes that it leaves out.

        A revoked key would be accepted for longer than it may be.
        """
        node = fakes.make_context(FullFeedStore())
        operator_feed = operatorfeed.OperatorFeed(node)
        operator_feed._version = 7
        before = node.configuration_confirmed_at
        task = asyncio.create_task(operator_feed.run())
        while operator_feed._version is not None:
            await asyncio.sleep(0)
        task.cancel()
        self.assertEqual(node.configuration_confirmed_at, before)


class PartialAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, pause_s, **options):
        """Calls a server that sends its body in five parts, pause_s apart."""

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
            for _ in range(5):
                await asyncio.sleep(pause_s)
                writer.write(b"x")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = httpclient.HttpClient(f"127.0.0.1:{port}")
        outcome = await client.call("GET", "/", **options)
        client.close()
        server.close()
        return outcome

    async def test_an_arriving_answer_extends_the_deadline(self):
        """A large answer timed out on a narrow link and was sent repeatedly."""
        outcome = await self.call(0.1, timeout_s=0.2, extra_s=5.0)
        self.assertEqual(outcome, httpclient.Response(200, b"xxxxx"))

    async def test_a_stalled_answer_times_out(self):
        pause_s = httpclient.STALL_TIMEOUT_S + 0.3
        outcome = await self.call(pause_s, timeout_s=0.2, extra_s=5.0)
        self.assertEqual(outcome, httpclient.NoResponse(True, "timeout"))

    async def test_a_call_without_extra_time_ends_at_its_deadline(self):
        outcome = await self.call(0.1, timeout_s=0.2)
        self.assertEqual(outcome, httpclient.NoResponse(True, "timeout"))
