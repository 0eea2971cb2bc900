"""Starts entry VMs and stand-ins, and records what they do."""

import asyncio
import collections
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from persimmonpath_entry.transport import httpclient
from review.common import platform
from review.common import workers

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ledger.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_LIMIT_S = 20.0
CASE_LIMIT_S = 115.0
# Settings of a small deployment, as DEPLOY.md shows them.
SETTINGS = """nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z{number}"
region = "r0"
internalPorts = [{peer}, {peer}]
seedNodes = []
bootstrap = true
heartbeatMs = 1500
metricsPort = {metrics}
orders = "rpc"
contracts = ["base","drain","config","cost","recover","sched","platform",
  "upkeep","sharing"]
advice = ""
[listenAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configMs = 2000
holdMaxMs = 6000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
noticeMs = 4500
maintenanceS = 2
requireFencing = true
leaseMs = 3000
[platform]
address = "{store}"
form = "table"
rowBytes = 65536
[cloudApi]
address = "{cloud}"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
"""


def is_troubled():
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_ports(count):
    """Returns free TCP ports of the loopback interface."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Log:
    """Writes record.txt and keeps what the workers have seen.

    Attributes:
      starts: time, worker and command of each start, by task.
      ends: time, run and how of each end, by task.
      acknowledged: run and how of each end taken note of, by task.
      stops: time, worker, task and run of each stop.
      on_start: called with the worker and the command before each start.
    """

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._began = time.monotonic()
        self.starts = collections.defaultdict(list)
        self.ends = collections.defaultdict(list)
        self.acknowledged = collections.defaultdict(set)
        self.stops = []
        self.on_start = None

    def write(self, *words):
        """Writes a line with the seconds since the begin."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()

    def start(self, worker, command):
        """Records a start that a worker carries out."""
        task = command["task"]
        self.write("start", worker.id, json.dumps(command))
        if self.on_start is not None:
            self.on_start(worker, command)
        self.starts[task].append((time.monotonic(), worker, command))

    def stop(self, worker, task, run):
        """Records an order to stop a run."""
        self.stops.append((time.monotonic(), worker, task, run))

    def end(self, worker, task, run, how):
        """Records the end of a run."""
        self.ends[task].append((time.monotonic(), run, how))

    def acknowledge(self, task, run, how):
        """Records that an end was taken note of."""
        self.acknowledged[task].add((run, how))


class Vm:
    """An entry VM, started with the command of the deploy file."""

    def __init__(self, number, folder, store, cloud):
        self.name = f"edge-{number}"
        front, ready, peer, metrics = find_ports(4)
        self.ready_address = f"127.0.0.1:{ready}"
        self.client = httpclient.HttpClient(f"127.0.0.1:{front}", 60)
        self.output = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                number=number,
                front=front,
                ready=ready,
                peer=peer,
                metrics=metrics,
                store=store,
                cloud=cloud,
            )
        )
        self.process = None

    def start(self):
        """Starts the process."""
        environment = {
            "PERSIMMONPATH_BOOT": str(self._settings),
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                ["python3", "deploy/entry.py"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    async def end(self, number):
        """Sends a signal that ends the process and waits for its end."""
        if self.process.poll() is None:
            self.process.send_signal(number)
        deadline = time.monotonic() + 8.0
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        return self.process.wait()


class Deployment:
    """A small deployment: a store, workers and two entry VMs or more.

    Attributes:
      store: the platform's store.
      cloud: the API for machines.
      workers: the workers by id.
      vms: the entry VMs.
      log: records what happens.
      configuration: the desired state that the operator wrote last.
    """

    def __init__(self, folder, vms=2):
        self.log = Log(folder)
        self.store = platform.Store()
        self.cloud = platform.Cloud()
        self.workers = {}
        self.silent = set()
        self.vms = []
        self.configuration = None
        self._count = vms
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    def add_worker(self, worker_id, service, capacity, labels, behaviour):
        """Adds a worker."""
        self.workers[worker_id] = workers.Worker(
            worker_id, service, capacity, labels, self.log, behaviour
        )

    async def configure(self, version, routes, services):
        """Writes a desired state."""
        self.configuration = {
            "version": version,
            "routes": routes,
            "services": [{"name": name} for name in services],
            "limits": {"maxBodyBytes": 262144},
        }
        self.log.write("operator writes version", version, json.dumps(routes))
        await self.store.write("op", "config", self.configuration)

    async def start(self):
        """Starts all stand-ins and VMs; returns once the VMs are ready."""
        await self.store.listen()
        await self.cloud.listen()
        for worker in self.workers.values():
            await worker.open()
            self.cloud.machines[worker.machine] = worker
        self._registering = asyncio.create_task(self._register())
        for number in range(self._count):
            vm = Vm(
                number, self._folder, self.store.address, self.cloud.address
            )
            self.vms.append(vm)
            vm.start()
        for vm in self.vms:
            if not await self.await_ready(vm):
                raise RuntimeError(f"{vm.name} doesn't get ready")
        await asyncio.sleep(2.0)

    async def await_ready(self, vm):
        """Waits until a VM is ready; returns whether it is."""
        client = httpclient.HttpClient(vm.ready_address, 1)
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            outcome = await client.call("GET", "/api/ready")
            if getattr(outcome, "status", 0) == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def register(self, worker):
        """Writes the entry of a worker."""
        await self.store.write("servers", worker.id, worker.describe())

    async def _register(self):
        while True:
            for worker in self.workers.values():
                if worker.id not in self.silent:
                    await self.register(worker)
            await asyncio.sleep(workers.HEARTBEAT_S)

    async def call(self, vm, method, path, body=None, deadline_ms=3000):
        """Calls a VM as a client; returns the status and the body.

        The status is 0 if there was no answer by the deadline.
        """
        data = b"" if body is None else json.dumps(body).encode()
        self.log.write("send", method, path, "to", vm.name, data.decode()[:900])
        headers = f"Host: {HOST}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        outcome = await vm.client.call(
            method, path, data, headers, deadline_ms / 1000
        )
        status = getattr(outcome, "status", 0)
        answer = getattr(outcome, "body", b"").decode("latin-1")
        self.log.write(method, path, "at", vm.name, "->", status, answer)
        try:
            return status, json.loads(answer or "{}")
        except ValueError:
            return status, {}

    async def get_state(self, path):
        """Asks the VMs in turn for a state; returns it or the last status."""
        status = 0
        for vm in self.vms:
            if vm.process.poll() is None:
                status, body = await self.call(vm, "GET", path)
                if status == 200:
                    return body["state"]
        return status

    def find_owner(self, service):
        """Returns the VM that owns a service by the store's rows, or None."""
        row = self.store.read_value("owner", service, "owner") or {}
        for vm in self.vms:
            if vm.name == row.get("owner"):
                return vm
        return None

    async def close(self):
        """Ends all processes that were started."""
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                await vm.end(signal.SIGKILL)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def run_case(file, play, vms=2):
    """Plays a case and exits with 0, 1 or 2.

    Args:
      file: the file of the case; record.txt is written beside it.
      play: coroutine function that gets the deployment and returns the texts
        of the rules that were broken.
      vms: number of entry VMs.
    """
    folder = pathlib.Path(file).resolve().parent

    async def run():
        deployment = Deployment(folder, vms)
        deployment.log.write("trouble", is_troubled())
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                broken = await play(deployment)
            for text in broken:
                deployment.log.write("BROKEN", text)
            if not broken:
                deployment.log.write("held")
            for text in deployment.store.errors[:5]:
                deployment.log.write("stand-in error", text)
            return broken
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        print(f"not run: {type(error).__name__}: {error}")
        sys.exit(NOT_RUN)
    for text in broken[:10]:
        print(f"broken: {text}")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
