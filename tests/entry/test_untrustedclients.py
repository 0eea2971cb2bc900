"""Tests of an entry VM's process against clients that aren't trusted.

The number of clients, what they send and the bounds were fixed on the code
without limits; only what doesn't depend on the machine's speed is checked.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import tempfile
import time
import unittest

from tests.entry import memory
from tests.entry import soak
from tests.entry import standins

# Limits far below the defaults, so that a few clients exceed them.
SETTINGS = """
[limits]
memoryMb = 160
maxFds = {descriptors}

[http]
maxHeadBytes = 8192
maxHeadLines = 2000
maxTargetBytes = 4096
maxBodyBytes = 65536
headTimeoutMs = 3000
bodyTimeoutMs = 3000
idleTimeoutMs = 4000
unreadTimeoutMs = 2000
maxQueuedRequests = 8
budgetBytes = 2000000
"""
# Most growth of the resident memory under load, in MB. The code without limits
# grows by at least twice as much under each load of MemoryTest.
GROWTH_MB = 20
CLIENTS = 16
# What a client sends unless its connection is closed before, in bytes.
SENT_BYTES = 4_000_000
BLOCK_BYTES = 50_000
# Bounds of waits that end as soon as their condition holds.
LOAD_S = 15.0
ANSWER_S = 20.0
CLOSE_S = 30.0
SETTLE_S = 1.0
RETRY_S = 1.0
BODY = b'{"steps":[{"count":1,"cpu":500,"memMb":100}]}'


def make_submit(number):
    """Returns an ordinary submit call as bytes."""
    head = (
        f"POST {soak.PREFIX}{number:016x} HTTP/1.1\r\nHost: {soak.HOST}\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


def make_blocks(block, size=SENT_BYTES):
    """Returns blocks that repeat a text up to a number of bytes."""
    block *= max(1, BLOCK_BYTES // len(block))
    return itertools.repeat(block, max(1, size // len(block)))


class VmTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs one entry VM with lowered limits beside a stand-in store.

    Attributes:
      descriptors: most open descriptors of the process, set with `maxFds`.
      settings: what is added to the settings file.
    """

    descriptors = 300
    settings = SETTINGS

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.violations = standins.Violations()
        store = standins.StoreStandIn()
        await store.listen()
        self.addCleanup(store.close)
        route = {"name": "slips", "hostname": soak.HOST, "service": "s"}
        route["pathPrefix"] = soak.PREFIX
        await store.write(
            "op",
            "config",
            {"version": 1, "routes": [route], "services": [{"name": "s"}]},
        )
        self.vm = soak.Vm(
            "vm0",
            pathlib.Path(folder.name),
            store,
            "",
            "",
            self.violations,
        )
        self.addCleanup(self.vm.log.close)
        with open(self.vm.settings, "a") as settings:
            settings.write(self.settings.format(descriptors=self.descriptors))
        self.vm.start()
        self.addCleanup(self.vm.process.wait)
        self.addCleanup(self.vm.process.kill)
        self.numbers = itertools.count(1)
        self.writers = []
        deadline = time.monotonic() + ANSWER_S
        while await self.submit() != 200:
            self.assertLess(time.monotonic(), deadline, "the VM isn't ready")
            await asyncio.sleep(0.1)

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.transport.abort()

    async def connect(self):
        """Opens a connection to the callers' port."""
        host, _, port = self.vm.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        return reader, writer

    async def exchange(self, data, ends=False):
        """Returns all that is answered on a new connection until its end.

        Args:
          data: what is sent; the server has to close the connection then.
          ends: whether the client closes its sending side.
        """
        reader, writer = await self.connect()
        writer.write(data)
        if ends:
            writer.write_eof()
        async with asyncio.timeout(ANSWER_S):
            return await reader.read()

    async def submit(self):
        """Makes an ordinary call; returns its status, 0 for no answer."""
        data = make_submit(next(self.numbers))
        data = data.replace(b"\r\nHost", b"\r\nConnection: close\r\nHost", 1)
        try:
            answer = await self.exchange(data)
        except (OSError, TimeoutError):
            return 0
        return int(answer.split(b" ", 2)[1]) if answer else 0

    async def submit_with_retries(self):
        """Makes an ordinary call as callers do, with four retries.

        The load occupies the process of the test, too, so that its store may
        answer late and the entry VM reject the first call with 503.
        """
        for _ in range(4):
            status = await self.submit()
            if status != 503:
                return status
            await asyncio.sleep(RETRY_S)
        return await self.submit()

    def read_peak_mb(self):
        """Returns the highest resident memory of the process so far."""
        return memory.read_peak_mb(self.vm.process.pid)

    def count_descriptors(self):
        """Returns the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.vm.process.pid}/fd"))

    async def send(self, head, blocks, tail=b""):
        """Sends without reading, until all is sent or the server closes."""
        with contextlib.suppress(OSError):
            _, writer = await self.connect()
            writer.write(head)
            for block in blocks:
                writer.write(block)
                await writer.drain()
            writer.write(tail)
            await writer.drain()

    async def check_served(self):
        """Checks that the process lives and answers an ordinary request."""
        self.assertIsNone(self.vm.process.poll(), "the process has ended")
        self.assertEqual(await self.submit_with_retries(), 200)
        self.assertLess(self.count_descriptors(), self.descriptors)

    async def check_load(self, head, blocks, tail=b"", clients=CLIENTS):
        """Checks the process while clients send and keep their connections.

        Args:
          head: what each client sends first.
          blocks: returns what each client sends then.
          tail: what each client sends last.
          clients: number of clients.
        """
        before = self.read_peak_mb()
        tasks = [
            asyncio.create_task(self.send(head, blocks(), tail))
            for _ in range(clients)
        ]
        # A client whose connection isn't read any more stays blocked.
        await asyncio.wait(tasks, timeout=LOAD_S)
        status = await self.submit_with_retries()
        # The process takes what still is in the buffers of the connections.
        await asyncio.sleep(SETTLE_S)
        growth = self.read_peak_mb() - before
        for task in tasks:
            task.cancel()
        self.assertLess(growth, GROWTH_MB)
        self.assertEqual(status, 200)
        await self.check_served()


class MemoryTest(VmTestCase):
    """Clients outside the limits exhausted the memory of the process."""

    async def test_endless_header_field(self):
        head = b"GET / HTTP/1.1\r\nHost: h\r\nX-A: "
        await self.check_load(head, lambda: make_blocks(b"a"))

    async def test_endless_target(self):
        await self.check_load(b"GET /", lambda: make_blocks(b"a"))

    async def test_many_short_header_lines(self):
        def list_blocks():
            lines = (b"%x:\r\n" % number for number in itertools.count())
            for _ in range(10):
                yield b"".join(itertools.islice(lines, 10_000))

        await self.check_load(b"GET / HTTP/1.1\r\n", list_blocks)

    async def test_odd_header_lines(self):
        def list_blocks():
            for number in range(40_000):
                yield b"%x!#$|~: \t\xfe\t \r\n" % number

        await self.check_load(b"GET / HTTP/1.1\r\n", list_blocks)

    async def test_heads_of_legal_size_with_many_lines(self):
        """Each is complete, and its answer is never read."""
        lines = b"".join(b"%x:\r\n" % number for number in range(1200))
        block = make_submit(1).replace(b"Host", lines + b"Host", 1)
        await self.check_load(b"", lambda: make_blocks(block, 1_000_000))

    async def test_pipelined_requests_without_reading(self):
        await self.check_load(b"", lambda: make_blocks(make_submit(1)))

    async def test_large_chunks_that_stop_short(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        chunk = b"c350\r\n" + b"a" * 50_000 + b"\r\n"
        await self.check_load(
            head, lambda: itertools.repeat(chunk, 20), b"c350\r\na", 60
        )

    async def test_tiny_chunks_that_stop_short(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        await self.check_load(
            head, lambda: make_blocks(b"2\r\naa\r\n", 1_500_000), b"2\r\na"
        )

    async def test_endless_trailer(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n0\r\nX-A: "
        )
        await self.check_load(head, lambda: make_blocks(b"a"))


class BudgetTest(VmTestCase):
    """Many clients, each within the limits of a connection."""

    descriptors = 2000

    async def test_bodies_within_the_limit_that_stop_short(self):
        """Together they exceed the budget of bytes for what is received."""
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65000\r\n\r\n"
        await self.check_load(
            head, lambda: itertools.repeat(b"a" * 64_999, 1), clients=700
        )


class EndlessInputTest(VmTestCase):
    """Input that holds no memory but never becomes a request."""

    async def check_closed(self, head, block):
        """Checks that endless input ends with the server closing."""
        reader, writer = await self.connect()
        writer.write(head)
        deadline = time.monotonic() + CLOSE_S
        with contextlib.suppress(OSError):
            while time.monotonic() < deadline and not reader.at_eof():
                writer.write(block)
                await writer.drain()
                await asyncio.sleep(0.05)
        self.assertLess(time.monotonic(), deadline, "never closed")
        await self.check_served()

    async def test_empty_lines(self):
        await self.check_closed(b"", b"\r\n" * 1000)

    async def test_spaces_before_the_target(self):
        await self.check_closed(b"GET", b" " * 1000)

    async def test_chunk_extension(self):
        await self.check_closed(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1;a=",
            b"b" * 1000,
        )


class DescriptorTest(VmTestCase):
    """Connections used up the descriptors for the store and the peers."""

    async def check_all_closed(self, data, clients=30):
        """Checks that the server closes connections that go no further."""
        opened = [await self.connect() for _ in range(clients)]
        for _, writer in opened:
            writer.write(data)
        reads = [asyncio.create_task(reader.read()) for reader, _ in opened]
        _, pending = await asyncio.wait(reads, timeout=CLOSE_S)
        for task in pending:
            task.cancel()
        self.assertEqual(len(pending), 0)
        await self.check_served()

    async def test_more_connections_than_descriptors(self):
        for _ in range(500):
            with contextlib.suppress(OSError):
                await self.connect()
        await self.check_served()

    async def test_a_burst_of_connections(self):
        """All were accepted at once, before those too many were closed."""
        host, _, port = self.vm.front.rpartition(":")
        for _ in range(480):
            client = socket.socket()
            self.addCleanup(client.close)
            client.setblocking(False)
            client.connect_ex((host, int(port)))
        for _ in range(200):
            self.assertLess(self.count_descriptors(), self.descriptors)
            await asyncio.sleep(0.002)
        await self.check_served()

    async def test_incomplete_heads_are_closed(self):
        await self.check_all_closed(b"GET / HTTP/1.1\r\nHost: h")

    async def test_incomplete_bodies_are_closed(self):
        await self.check_all_closed(make_submit(1)[:-1])

    async def test_idle_connections_are_closed(self):
        await self.check_all_closed(b"")

    async def test_unread_answers_are_closed(self):
        """Clients that send requests and never read held theirs for good."""
        host, _, port = self.vm.front.rpartition(":")
        request = b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n" * 1000

        def send_until_closed():
            client = socket.socket()
            self.addCleanup(client.close)
            # Larger buffers would take the answers of the whole test.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect((host, int(port)))
            client.settimeout(0.5)
            deadline = time.monotonic() + CLOSE_S
            while time.monotonic() < deadline:
                try:
                    client.send(request)
                except TimeoutError:
                    continue
                except OSError:
                    return True
            return False

        closed = await asyncio.gather(
            *(asyncio.to_thread(send_until_closed) for _ in range(5))
        )
        self.assertTrue(all(closed), closed)
        await self.check_served()


class ProtocolTest(VmTestCase):
    """What clients may send beside ordinary requests, on one process."""

    async def check_status(self, data, status, ends=False):
        """Checks the status of the last answer, with which it closes."""
        try:
            answer = await self.exchange(data, ends)
        except TimeoutError:
            self.fail("no answer or not closed")
        found = answer.rpartition(b"HTTP/1.1 ")[2][:3]
        self.assertEqual(found, str(status).encode(), answer)

    async def test_a_request_outside_the_limits_is_answered(self):
        """Every case is answered, then the connection is closed."""
        get = b"GET / HTTP/1.1\r\nHost: h\r\n"
        post = b"POST / HTTP/1.1\r\nHost: h\r\n"
        chunked = post + b"Transfer-Encoding: chunked\r\n"
        length = post + b"Content-Length: "
        cases = [
            (431, get + b"X: " + b"a" * 9000 + b"\r\n\r\n"),
            (431, get + b"X: " + b"a" * 90_000),
            (431, get + b"a:\r\n" * 2001 + b"\r\n"),
            (414, b"GET /" + b"a" * 5000 + b" HTTP/1.1\r\nHost: h\r\n\r\n"),
            (413, length + b"65537\r\n\r\n"),
            (413, length + b"100000\r\n\r\n" + b"a" * 100_000),
            (413, chunked + b"\r\n186a0\r\n" + b"a" * 70_000),
            (408, get),
            (408, length + b"5\r\n\r\n1234"),
            (400, length + b"5\r\nContent-Length: 5\r\n\r\n12345"),
            (400, length + b"5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            (400, chunked + b"Content-Length: 5\r\n\r\n0\r\n\r\n"),
            (400, get + b"Host: h\r\n\r\n"),
            (400, get + b"X: a\0b\r\n\r\n"),
            (400, get + b"X: a\x01b\r\n\r\n"),
            (400, get + b"X: a\x7fb\r\n\r\n"),
            (400, get + b"X\0: a\r\n\r\n"),
            (400, b"GET /\0 HTTP/1.1\r\nHost: h\r\n\r\n"),
            (400, b"GET /\x1f HTTP/1.1\r\nHost: h\r\n\r\n"),
        ]
        for status, data in cases:
            with self.subTest(data[:200]):
                await self.check_status(data, status)
        await self.check_served()

    async def test_a_half_closed_client_gets_all_its_answers(self):
        data = make_submit(0xA0) + make_submit(0xA1)
        answer = await self.exchange(data, ends=True)
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 2, answer)

    async def test_upgrade_is_ignored(self):
        """It raised an exception, and the body was taken for a request."""
        upgrade = b"Connection: Upgrade\r\nUpgrade: h2c\r\nHost"
        data = make_submit(0xB0).replace(b"Host", upgrade, 1)
        answer = await self.exchange(data + make_submit(0xB1), ends=True)
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 2, answer)
        self.assertEqual(answer.count(b"HTTP/1.1 "), 2, answer)

    async def test_connect_is_answered(self):
        data = b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        await self.check_status(data, 404)

    async def test_expect_continue(self):
        reader, writer = await self.connect()
        head, _, body = make_submit(0xC0).partition(b"\r\n\r\n")
        writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
        async with asyncio.timeout(ANSWER_S):
            self.assertIn(b" 100 ", await reader.readuntil(b"\r\n\r\n"))
            writer.write(body)
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
        too_large = head.replace(b"Length: ", b"Length: 99999")
        await self.check_status(
            too_large + b"\r\nExpect: 100-continue\r\n\r\n", 413
        )

    async def test_a_head_in_single_bytes(self):
        reader, writer = await self.connect()
        for byte in make_submit(0xD0):
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        async with asyncio.timeout(ANSWER_S):
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))

    async def test_a_shutdown_answers_what_has_begun(self):
        """A request of which only a part of the head had arrived was lost."""
        reader, writer = await self.connect()
        data = make_submit(0xE0)
        self.vm.signal(signal.SIGTERM)
        # The process closes idle connections 2.3 s after the signal.
        await asyncio.sleep(1.8)
        writer.write(data[:30])
        await asyncio.sleep(1.1)
        writer.write(data[30:])
        async with asyncio.timeout(ANSWER_S):
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
