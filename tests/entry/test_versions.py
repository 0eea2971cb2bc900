"""How a VM keeps up with what the operator writes."""

import asyncio
import unittest

from persimmonpath_entry.engine import versions
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import httpclient
from tests.entry import fakes


class FeedStore(fakes.FakeStore):
    """Notes the reads; the feed fails once it has been read."""

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
    async def test_a_vm_that_falls_behind_reads_the_newest_version(self):
        """Ten VMs on thin links kept an old configuration for 20 s.

        Found by hunts on grown tkh (hunt-56be-7, hunt-8e7b-7): each time the
        feed repeated all versions of a storm, and the answer came too late.
        """
        store = FeedStore()
        follower = versions.Versions(fakes.make_context(store))
        task = asyncio.create_task(follower.run())
        while len(store.reads) < 3:
            await asyncio.sleep(0.01)
        task.cancel()
        self.assertEqual(store.reads[:3], ["table", "feed", "table"])


class ArrivingTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, pause_s, **options):
        """Calls a server that sends its answer in five pieces."""

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

    async def test_an_answer_that_is_arriving_is_waited_for(self):
        """A thin link carried the same large answer again and again."""
        outcome = await self.call(0.1, timeout_s=0.2, extra_s=5.0)
        self.assertEqual(outcome, httpclient.Response(200, b"xxxxx"))

    async def test_an_answer_that_stalls_is_given_up(self):
        pause_s = httpclient.STALL_TIMEOUT_S + 0.3
        outcome = await self.call(pause_s, timeout_s=0.2, extra_s=5.0)
        self.assertEqual(outcome, httpclient.NoResponse(True, "timeout"))

    async def test_other_calls_end_at_their_deadline(self):
        outcome = await self.call(0.1, timeout_s=0.2)
        self.assertEqual(outcome, httpclient.NoResponse(True, "timeout"))
