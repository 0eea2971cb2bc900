"""Tests of how the budget of bytes and the connections are shared."""

import asyncio
import dataclasses
import unittest

import msgspec

from persimmonpath import httplimits
from persimmonpath_entry.platform import settings as platform_settings
from persimmonpath_entry.transport import httpconnection
from persimmonpath_entry.transport import httpserver

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"
PART = POST + b"a" * 10_000
ANSWER_S = 10.0


class DerivationTest(unittest.TestCase):
    """The limits of a port that are derived from the machine."""

    def derive(self, port, memory_mb=160, max_fds=1000, **fields):
        base = httplimits.HttpLimits(connections=0, budget_bytes=0)
        base = dataclasses.replace(base, **fields)
        return httplimits.derive_limits(base, port, memory_mb, max_fds)

    def test_all_ports_together_leave_most_of_the_machine(self):
        """The store, peers and workers ran out of descriptors."""
        ports = [self.derive(port) for port in httplimits.BYTE_SHARES]
        self.assertLess(sum(p.connections for p in ports), 600)
        self.assertLess(sum(p.budget_bytes for p in ports), 30 << 20)

    def test_the_largest_request_fits_any_budget(self):
        limits = self.derive("ready", memory_mb=1)
        largest = limits.head_bytes + limits.body_bytes
        self.assertGreater(limits.budget_bytes, largest)

    def test_a_setting_lowers_what_is_derived(self):
        limits = self.derive("front", connections=5, budget_bytes=10 << 20)
        self.assertEqual(limits.connections, 5)
        self.assertEqual(limits.budget_bytes, int(0.7 * (10 << 20)))

    def test_defaults_exceed_what_callers_may_send(self):
        """Figures of docs/shared-capacity.md, also with the shortest lines."""
        limits = httplimits.HttpLimits()
        self.assertGreaterEqual(limits.head_bytes, 16_384)
        self.assertGreaterEqual(limits.target_bytes, 16_384)
        self.assertGreaterEqual(limits.head_lines, 16_384 // len(b"a:\r\n"))
        self.assertGreaterEqual(limits.body_bytes, 262_144)
        self.assertGreater(limits.head_s, 3.0)
        self.assertGreater(min(limits.body_s, limits.idle_s), 15.0)

    def test_a_negative_limit_is_an_error_of_the_settings(self):
        http = msgspec.convert(
            {"maxHeadBytes": -1, "maxConnections": 0}, platform_settings._Http
        )
        settings = platform_settings.Settings("vm", "", "z", [1], http=http)
        errors = platform_settings._validate(settings)
        self.assertEqual(
            [e for e in errors if "http" in e], ["http.maxHeadBytes: below 1"]
        )


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """One server with a small budget and a handler that can be held."""

    async def start(self, **fields):
        """Starts the server.

        Args:
          **fields: limits that differ from the defaults.
        """
        self.released = asyncio.Event()
        self.rejected = []
        self.server = httpserver.HttpServer(
            self.handle,
            self.fail,
            dataclasses.replace(httplimits.HttpLimits(), **fields),
            on_rejected=lambda reason, count: self.rejected.append(reason),
        )
        await self.server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.stop_listening)

    async def handle(self, request):
        """Answers once the test allows it."""
        await self.released.wait()
        return httpserver.Response(200)

    async def connect(self, data):
        """Sends on a new connection and waits until the server has read it."""
        address = self.server._listener.sockets[0].getsockname()[:2]
        reader, writer = await asyncio.open_connection(*address)
        self.addCleanup(writer.close)
        writer.write(data)
        await asyncio.sleep(0.05)
        return reader, writer

    async def read_status(self, reader):
        """Returns the status of the next response, 0 without one."""
        async with asyncio.timeout(ANSWER_S):
            line = await reader.readline()
        return int(line.split()[1]) if line else 0

    async def test_the_oldest_incomplete_request_is_rejected_first(self):
        """Clients that stop short of the end held all of the memory."""
        await self.start(budget_bytes=60_000)
        self.released.set()
        opened = [await self.connect(PART) for _ in range(5)]
        statuses = [await self.read_status(opened[n][0]) for n in (0, 1)]
        self.assertEqual(statuses, [503, 503])
        reader, writer = opened[4]
        writer.write(b"a" * 10_000)
        self.assertEqual(await self.read_status(reader), 200)

    async def test_a_complete_request_is_never_the_victim(self):
        await self.start(budget_bytes=60_000)
        complete, _ = await self.connect(PART + b"a" * 10_000)
        opened = [await self.connect(PART) for _ in range(5)]
        self.assertEqual(await self.read_status(opened[0][0]), 503)
        self.released.set()
        self.assertEqual(await self.read_status(complete), 200)

    async def test_a_request_without_room_is_rejected_and_never_runs(self):
        """Complete requests alone may exceed the budget."""
        await self.start(budget_bytes=60_000)
        opened = [await self.connect(PART + b"a" * 10_000) for _ in range(3)]
        self.assertEqual(await self.read_status(opened[2][0]), 503)
        self.released.set()
        for reader, _ in opened[:2]:
            self.assertEqual(await self.read_status(reader), 200)
        self.assertEqual(self.server.budget.is_exceeded, False)

    async def test_the_target_of_a_request_counts(self):
        """Long targets, complete or not, used more than the budget."""
        await self.start()
        target = b"/" + b"a" * 16_000
        await self.connect(POST.replace(b"/", target, 1) + b"a")
        used = self.server.budget.used
        self.assertGreater(used, 16_000)
        await self.connect(GET.replace(b"/", target, 1))
        self.assertGreater(self.server.budget.used - used, 16_000)

    async def test_a_new_connection_replaces_the_one_idle_longest(self):
        await self.start(connections=2)
        self.released.set()
        idle, _ = await self.connect(GET)
        other, _ = await self.connect(GET)
        newest, _ = await self.connect(GET)
        self.assertEqual(await self.read_status(newest), 200)
        self.assertIn(b" 200 ", await idle.read())
        self.assertFalse(other.at_eof())

    async def test_busy_connections_aren_t_replaced(self):
        await self.start(connections=2)
        opened = [await self.connect(GET) for _ in range(3)]
        self.assertEqual(await self.read_status(opened[2][0]), 503)
        self.released.set()
        self.assertEqual(await self.read_status(opened[0][0]), 200)

    async def test_an_address_has_a_limit_of_its_own(self):
        await self.start(address_connections=1)
        self.released.set()
        first, _ = await self.connect(GET)
        second, _ = await self.connect(GET)
        self.assertEqual(await self.read_status(first), 200)
        self.assertEqual(await self.read_status(second), 429)

    async def test_reading_stops_while_requests_are_queued(self):
        await self.start(queued=4)
        reader, writer = await self.connect(GET * 3000)
        (connection,) = self.server.connections
        held = len(connection._queue)
        # What one slice of the received data holds, at most.
        most = httpconnection.PART_BYTES // len(GET) + 4
        self.assertLessEqual(held, most)
        self.released.set()
        writer.write_eof()
        async with asyncio.timeout(ANSWER_S):
            answers = await reader.read()
        self.assertEqual(answers.count(b"HTTP/1.1 200"), 3000)
        self.assertEqual(self.server.budget.used, 0)

    async def test_reasons_are_reported_with_their_counts(self):
        await self.start()
        await self.connect(b"\0")
        await self.connect(b"\0")
        self.server._report(0.0)
        self.assertEqual(self.rejected, ["malformed"])

    async def test_a_client_that_isn_t_read_is_not_late(self):
        """A request behind queued ones was answered 408 while they waited."""
        await self.start(queued=2, head_s=0.01)
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        first = request[:-2]
        reader, writer = await self.connect(request * 4 + first)
        await asyncio.sleep(0.1)
        (connection,) = self.server.connections
        connection.check_time(self.server.read_clock())
        self.released.set()
        writer.write(b"Connection: close\r\n\r\n")
        async with asyncio.timeout(ANSWER_S):
            answers = await reader.read()
        self.assertEqual(answers.count(b"HTTP/1.1 200"), 5)
