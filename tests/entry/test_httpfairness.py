"""Tests of how one HTTP server divides its time among connections."""

import asyncio
import contextlib
import sys
import unittest
from unittest import mock

from persimmonpath import httplimits
from persimmonpath_entry.transport import httpconnection
from persimmonpath_entry.transport import httpserver
from tests.entry import crowd
from tests.entry import soak

CLIENTS = 100
# Most bytes that are read between an ordinary request and its response: in
# eight passes of the event loop, eight of its largest reads each.
READ_BYTES = 8 * 8 * 65536
# Most requests handled from the opening of a connection to its end: one of each
# client in each pass, of which it takes about ten.
HANDLED = 16 * CLIENTS
GET = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
ANSWER_S = 30.0
CROWD_S = 40.0


class FairnessTest(unittest.IsolatedAsyncioTestCase):
    """Clients that send without end kept all others from being answered."""

    async def asyncSetUp(self):
        self.server = httpserver.HttpServer(
            self.handle, self.fail, httplimits.HttpLimits()
        )
        await self.server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.stop_listening)
        self.address = self.server._listener.sockets[0].getsockname()[:2]
        self.read_bytes = 0
        self.handled = 0

    async def handle(self, request):
        self.handled += 1
        return httpserver.Response(200)

    async def start_crowd(self, kind):
        """Starts clients of a kind and waits until all are connected."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", crowd.__name__),
            "{}:{}=/".format(*self.address),
            *("--kinds", kind, "--clients", str(CLIENTS)),
            *("--seconds", str(CROWD_S)),
            cwd=soak.ROOT,
        )
        self.addAsyncCleanup(self.stop_crowd, process)
        async with asyncio.timeout(ANSWER_S):
            while len(self.server.connections) < CLIENTS:
                await asyncio.sleep(0.05)

    async def stop_crowd(self, process):
        """Ends the crowd unless its time is up."""
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()

    def count_reads(self):
        """Counts what the connections of the server read from now on."""
        connection = httpconnection.ServerConnection
        update = connection.buffer_updated

        def count_and_update(self_, nbytes):
            self.read_bytes += nbytes
            update(self_, nbytes)

        patch = mock.patch.object(
            connection, "buffer_updated", count_and_update
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def check_answered(self):
        """Checks what is done for others before a request is answered."""
        self.count_reads()
        for _ in range(3):
            self.read_bytes = 0
            self.handled = 0
            async with asyncio.timeout(ANSWER_S):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(GET)
                answer = await reader.read()
            self.assertIn(b" 200 ", answer)
            self.assertLess(self.read_bytes, READ_BYTES)
            self.assertLess(self.handled, HANDLED)
            writer.close()

    async def test_pipelined_requests(self):
        """All that one read contained were handled in one pass."""
        await self.start_crowd(crowd.PIPELINED)
        await self.check_answered()

    async def test_tiny_chunks(self):
        await self.start_crowd("tiny_chunks")
        await self.check_answered()
