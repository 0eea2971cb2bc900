"""Tests of a daemon's process against crowds of clients that aren't trusted.

The clients and the bounds were fixed on the code that they failed on. What has
been received and isn't read yet counts as memory of the process.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
import unittest

import urllib3

from persimmonpath import inventory
from scripts import processes
from tests.entry import crowd
from tests.entry import memory
from tests.entry import soak

# The memory of the smallest VM in MB.
MEMORY_MB = 160
# Descriptors of the daemon, most of them for clients' connections in a crowd.
DESCRIPTORS = 400
# Half of them may be connections of clients; 100 are left for the store, peers
# and workers.
MOST_OPEN = 300
IDLE_CLIENTS = 700
BODY_BYTES = 1_000_000
CROWD_CLIENTS = 60
CROWD_S = 10.0
SAMPLE_S = 0.1
ANSWER_S = 30.0
SHAPE = processes.Shape(("zone-a",), 1, 1, 1, spans=False)
ENTRY = "zone-a-entry-0"


class LimitedCell(processes.Cell):
    """A cell with one entry VM that has few descriptors."""

    def spawn(self, name, arguments):
        """Starts a process, the entry VM's with its own descriptor limit."""
        if name == ENTRY:
            shell = ["/bin/sh", "-c", f'ulimit -n {DESCRIPTORS}; exec "$@"']
            arguments = [*shell, "sh", *arguments]
        super().spawn(name, arguments)


class DaemonTestCase(unittest.TestCase):
    """One daemon beside stand-ins of the platform and of a worker."""

    cell_type = processes.Cell

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cell = self.cell_type(folder.name, SHAPE)
        self.addCleanup(self.cell.stop)
        self.cell.start()
        self.process = self.cell.processes[ENTRY]
        self.address = self.cell.get_http_address(ENTRY)

    def call(self):
        """Makes an ordinary call; returns its status, 0 without an answer."""
        try:
            reply = urllib3.request(
                "POST",
                f"http://{self.address}/v1/ids",
                body=b"{}",
                headers={"Connection": "close"},
                retries=False,
                timeout=5.0,
            )
        except urllib3.exceptions.HTTPError:
            return 0
        return reply.status

    def start_crowd(self, address, *arguments):
        """Starts a crowd that calls an address of the daemon."""
        module = crowd.__name__
        process = subprocess.Popen(
            [sys.executable, "-m", module, f"{address}=/v1/ids", *arguments],
            cwd=soak.ROOT,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def check_served(self):
        """Checks that the process lives and answers an ordinary call."""
        deadline = time.monotonic() + ANSWER_S
        status = self.call()
        while status != 200 and time.monotonic() < deadline:
            time.sleep(1.0)
            status = self.call()
        self.assertIsNone(self.process.poll(), "the daemon has ended")
        self.assertEqual(status, 200)


class CrowdMemoryTest(DaemonTestCase):
    """Bodies and kernel buffers exceeded the memory of a small VM."""

    def test_clients_of_all_kinds(self):
        port = int(self.address.rpartition(":")[2])
        process = self.start_crowd(
            self.address,
            *("--clients", str(CROWD_CLIENTS), "--seconds", str(CROWD_S)),
        )
        peak_mb = 0.0
        while process.poll() is None:
            resident_mb = memory.read_resident_mb(self.process.pid)
            unread_mb = memory.measure_unread_mb({port})
            peak_mb = max(peak_mb, resident_mb + unread_mb)
            time.sleep(SAMPLE_S)
        self.assertEqual(process.returncode, 0)
        self.assertLess(peak_mb, MEMORY_MB)
        self.check_served()


class JsonBodyTest(DaemonTestCase):
    """One body of legal size took half a gigabyte once it was parsed."""

    def check_rejected(self, body):
        """Checks that a body is rejected within the memory of the VM."""
        reply = urllib3.request(
            "POST",
            f"http://{self.address}/v1/config",
            body=body,
            retries=False,
            timeout=ANSWER_S,
        )
        self.assertIn(reply.status, (400, 413), reply.data[:200])
        self.assertLess(memory.read_peak_mb(self.process.pid), MEMORY_MB)

    def test_bodies_of_many_values(self):
        half = BODY_BYTES // 2
        zones = b"0," * half + b"0"
        self.check_rejected(b'{"inventory":{"zones":[' + zones + b"]}}")
        fields = (b'"%x":0,' % number for number in range(BODY_BYTES // 9))
        self.check_rejected(b"{" + b"".join(fields) + b'"a":0}')
        self.check_rejected(b'{"inventory":[' + b"[]," * half + b"0]}")
        self.check_served()

    def test_a_large_inventory(self):
        """An inventory of the largest size is parsed and judged as before."""
        workers = [
            {
                "name": f"worker-{number}",
                "zone": "zone-a",
                "rack": f"rack-{number % 500}",
                "shard": 0,
                "host": "127.0.0.1",
                "port": 9000,
                "cpu_millis": 16000,
                "memory_mib": 32768,
                "accelerators": 0,
                "slots": 8,
                "connections": 64,
                "draining": False,
            }
            for number in range(inventory.MAX_WORKERS)
        ]
        content = {"zones": [{"name": "zone-a"}], "workers": workers}
        body = json.dumps({"based_on": 10**9, "inventory": content})
        reply = urllib3.request(
            "POST",
            f"http://{self.address}/v1/config",
            body=body.encode(),
            retries=False,
            timeout=ANSWER_S,
        )
        self.assertEqual(reply.status, 409, reply.data[:200])


class IdleConnectionTest(DaemonTestCase):
    """Connections without a call used up the descriptors.

    Accepting failed in a loop then: no connection expired any more, and the log
    grew by more than a megabyte in a second.
    """

    cell_type = LimitedCell

    def check_idle_clients(self, address):
        """Checks an ordinary call beside more clients than descriptors."""
        self.start_crowd(
            address,
            *("--kinds", crowd.IDLE, "--clients", str(IDLE_CLIENTS)),
            *("--seconds", str(CROWD_S + 2 * ANSWER_S)),
        )
        time.sleep(CROWD_S)
        self.check_served()
        self.assertLess(self.count_descriptors(), MOST_OPEN)

    def test_callers_port(self):
        self.check_idle_clients(self.address)

    def test_peers_port(self):
        _, _, port = self.cell.entries[ENTRY]
        self.check_idle_clients(f"127.0.0.1:{port}")

    def count_descriptors(self):
        """Returns the number of open descriptors of the daemon."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
