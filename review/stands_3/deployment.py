"""A small deployment: entry VMs as processes, and their stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from review.stands_3 import http1
from review.stands_3 import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
BEAT_S = 1.0


def choose_prefix():
    """Returns the first three parts of free loopback addresses."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


def choose_port(hosts):
    """Returns a port that is free on all the hosts."""
    while True:
        port = random.randint(10_000, 30_000)
        sockets = []
        try:
            for host in hosts:
                found = socket.socket()
                sockets.append(found)
                found.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for found in sockets:
                found.close()


class Vm:
    """An entry VM, started with the command of the deploy file."""

    def __init__(self, name, ip, zone, ports, store_address, extra, folder):
        """Writes the settings of a VM that `start` brings up."""
        self.name = name
        self.front = f"{ip}:{ports['front']}"
        self.ready = f"{ip}:{ports['ready']}"
        self.peer = f"{ip}:{ports['peer']}"
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            f'nodeName = "{name}"\nip = "{ip}"\nzone = "{zone}"\n'
            f"internalPorts = [{ports['peer']}, {ports['peer'] + 15}]\n"
            f"metricsPort = {ports['metrics']}\n{extra.get('top', '')}"
            f'[listenAddrs]\nfront = "{self.front}"\nready = "{self.ready}"\n'
            "[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = 300\n"
            "maxFds = 4100\nlinkMbps = 1000.0\n"
            "[bounds]\nholdMaxMs = 6000\nleaseMs = 3000\ngraceS = 6\n"
            "addrReuseS = 2\nmaintenanceS = 2\nstatus_s = 120\nfarX = 2\n"
            f"{extra.get('bounds', '')}"
            f'[platform]\naddress = "{store_address}"\nrowBytes = 65536\n'
            f"writesPerS = 600\n{extra.get('tables', '')}"
        )
        self.log = open(folder / f"{name}.log", "ab")  # noqa: SIM115
        self.process = None

    def start(self):
        """Starts the process."""
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.process = subprocess.Popen(
            roles["roles"]["entry"]["run"].split(),
            cwd=ROOT,
            env={
                "PERSIMMONPATH_BOOT": str(self.settings),
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
            stdout=self.log,
            stderr=self.log,
        )

    def signal(self, number):
        """Sends a signal if the process still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


class Deployment:
    """The store, the workers and the entry VMs of a case.

    Attributes:
      lines: what was sent, answered and run, for record.txt.
      store: the stand-in for the store.
      workers: the workers by id.
      vms: the entry VMs.
    """

    def __init__(self):
        """Creates an empty deployment; `open` starts the store."""
        self._began_at = time.monotonic()
        self.lines = []
        self.prefix = choose_prefix()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = stores.Store()
        self.workers = {}
        self.vms = []
        self._beats = None

    def record(self, text):
        """Appends a line with the seconds since the start."""
        self.lines.append(f"{time.monotonic() - self._began_at:8.3f} {text}")

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._began_at

    async def open(self, configuration):
        """Starts the store with a desired state."""
        await self.store.listen(f"{self.prefix}.1")
        self.store.write("op", "config", configuration)

    async def add_worker(self, worker):
        """Brings up a worker."""
        await worker.listen(f"{self.prefix}.{100 + len(self.workers)}")
        self.workers[worker.id] = worker
        self.store.write("servers", worker.id, worker.describe())
        if self._beats is None:
            self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            for worker in list(self.workers.values()):
                self.store.write("servers", worker.id, worker.describe())

    def add_vms(self, zones, extra=None, store_addresses=None):
        """Starts an entry VM in each zone named."""
        hosts = [f"{self.prefix}.{10 + n}" for n in range(len(zones))]
        ports = {
            name: choose_port(hosts)
            for name in ("front", "ready", "peer", "metrics")
        }
        for number, (zone, ip) in enumerate(zip(zones, hosts, strict=True)):
            address = self.store.address
            if store_addresses is not None:
                address = store_addresses[number]
            vm = Vm(
                f"edge-{zone}-{number + 1}",
                ip,
                zone,
                ports,
                address,
                extra or {},
                self.folder,
            )
            vm.start()
            self.vms.append(vm)

    async def await_ready(self, limit_s=20.0):
        """Waits until all VMs are ready; returns whether they are."""
        deadline = time.monotonic() + limit_s
        for vm in self.vms:
            while True:
                status, _ = await http1.call(vm.ready, "GET", "/api/ready")
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True

    def find_owner(self, service):
        """Returns the VM that owns a service by the store, or None."""
        row = self.store.find("owner", service, "owner")
        if row is None:
            return None
        for vm in self.vms:
            if vm.name == row.get("owner"):
                return vm
        return None

    async def await_owner(self, service, other_than=None, limit_s=20.0):
        """Waits until a service has an owner; returns it, or None."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            owner = self.find_owner(service)
            if owner is not None and owner is not other_than:
                return owner
            await asyncio.sleep(0.02)
        return None

    async def send(self, vm, method, target, body=None, timeout_s=3.0):
        """Sends a client's request and records it with its answer."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = [
            f"Host: {HOST}",
            "Content-Type: application/json",
            f"X-Deadline-Ms: {int(timeout_s * 1000)}",
        ]
        status, content = await http1.call(
            vm.front, method, target, data, headers, timeout_s
        )
        self.record(
            f"{method} {target} to {vm.name}: {status} "
            f"{content.decode('latin-1')}"
        )
        return status, content

    def close(self, path):
        """Ends all processes and writes record.txt."""
        for vm in self.vms:
            vm.kill()
            vm.log.close()
        for worker in self.workers.values():
            worker.close()
        self.store.close()
        pathlib.Path(path).write_text("\n".join(self.lines) + "\n")
