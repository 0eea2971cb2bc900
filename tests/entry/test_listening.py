"""Tests of addresses in use and of the ports that tests reserve."""

import asyncio
import pathlib
import socket
import subprocess
import sys
import unittest

import msgspec

from persimmonpath_entry.engine import node as nodes
from persimmonpath_entry.platform import settings as platform_settings
from scripts import ports
from tests.entry import fakes

ROOT = pathlib.Path(__file__).resolve().parents[2]


class ListenTest(unittest.IsolatedAsyncioTestCase):
    """A VM that starts while its former process still has the address.

    It ended by itself (EXIT in the soak).
    """

    def setUp(self):
        settings = platform_settings.Settings(
            node_name="vm-1", ip="127.0.0.1", zone="z", internal_ports=[7000]
        )
        settings.store = msgspec.structs.replace(
            settings.store, address="127.0.0.1:9"
        )
        settings.bounds = msgspec.structs.replace(
            settings.bounds, addr_reuse_s=0.6
        )
        self.node = nodes.Node(settings)
        self.node.context.log = fakes.FakeLog()
        self.former = socket.socket()
        self.addCleanup(self.former.close)
        (port,) = ports.reserve_ports(1)
        self.former.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.former.bind(("127.0.0.1", port))
        self.former.listen()
        self.address = f"127.0.0.1:{port}"

    async def test_an_address_that_becomes_free_is_used(self):
        asyncio.get_running_loop().call_later(0.35, self.former.close)
        server = await self.node._listen(self.address, None)
        self.addCleanup(server.stop_listening)
        events = self.node.context.log.list_events("address_in_use")
        self.assertEqual(events, [{"address": self.address}])

    async def test_an_address_that_stays_in_use_ends_the_process(self):
        """The platform starts it again, with the settings of that time."""
        with self.assertRaises(OSError):
            await self.node._listen(self.address, None)
        events = self.node.context.log.list_events("address_in_use")
        self.assertEqual(len(events), 1)


class SignalTest(unittest.TestCase):
    def test_a_settings_change_during_the_start_ends_nothing(self):
        """SIGHUP ended a process whose modules were still being loaded."""
        program = (
            "import runpy, signal; runpy.run_path('deploy/entry.py'); "
            "print(signal.getsignal(signal.SIGHUP).name)"
        )
        found = subprocess.run(
            [sys.executable, "-c", program],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(found.stdout.strip(), "SIG_IGN")


class ReservationTest(unittest.TestCase):
    """Another connection took a port before the VM could bind it."""

    def test_ports_are_outside_the_range_of_outgoing_connections(self):
        first, last = ports.read_ephemeral_range()
        reserved = ports.reserve_ports(50)
        self.assertEqual(len(set(reserved)), 50)
        self.assertFalse([p for p in reserved if first <= p <= last])

    def test_a_reserved_port_is_reserved_once_and_can_be_listened_on(self):
        (port,) = ports.reserve_ports(1)
        self.assertFalse(ports._reserve(port))
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(("127.0.0.1", port))
        for _ in range(2):
            with (
                socket.create_server(("127.0.0.1", port)) as server,
                socket.create_connection(server.getsockname()) as client,
            ):
                self.assertEqual(client.getpeername()[1], port)
