"""Starts and stops the processes of a small cell on the loopback address."""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

import urllib3

from scripts import ports

BIN = pathlib.Path(sys.executable).parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
COMMAND_TIMEOUT_S = 60.0
# Exit codes of persimmonctl.
EXIT_DONE = 0
EXIT_UNFINISHED = 6


@dataclasses.dataclass(frozen=True)
class Shape:
    """Zones of a cell, and the entry VMs, workers and shards of each zone.

    `spans` sets whether entry VMs write spans to their log.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b")
    entry_vms_per_zone: int = 2
    workers_per_zone: int = 3
    shards_per_zone: int = 2
    spans: bool = True


def is_cell_process(pid):
    """Returns whether a process id still belongs to a cell.

    The kernel may have given the id to an unrelated process since then.
    """
    try:
        command = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
    return b"persimmond" in command or b"tests.standins." in command


def signal_cell_process(pid, number):
    """Sends a signal to a process of a cell; returns whether it was sent."""
    if not is_cell_process(pid):
        return False
    try:
        os.kill(pid, number)
    except ProcessLookupError:
        return False
    return True


class Cell:
    """The processes of a cell: platform and worker stand-ins, and entry VMs.

    Attributes:
        directory: Directory of settings and logs.
        shape: Size of the cell.
        processes: `Popen` by process name.
        commands: `persimmonctl` processes that run now.
        is_stopping: Whether `stop` was called; no command starts after that.
        lock: Guards `commands` and `is_stopping`.
        workers: Zone and port by worker name.
        entries: Zone, HTTP port and peer port by entry VM name.
        platform: Address of the platform stand-in.
    """

    def __init__(self, directory, shape=Shape()):
        self.directory = pathlib.Path(directory)
        self.shape = shape
        self.processes = {}
        self.commands = set()
        self.is_stopping = False
        self.lock = threading.Lock()
        self.workers = {}
        self.entries = {}
        self.platform = ""

    def start(self):
        """Starts every process and imports the inventory.

        Returns once every entry VM is ready.

        Raises:
            RuntimeError: If a process is not ready within START_TIMEOUT_S.
        """
        self.directory.mkdir(parents=True, exist_ok=True)
        shape = self.shape
        zones = len(shape.zones)
        per_zone = shape.workers_per_zone + 2 * shape.entry_vms_per_zone
        free_ports = iter(ports.reserve_ports(1 + zones * per_zone))
        self.platform = f"127.0.0.1:{next(free_ports)}"
        self.spawn_platform()
        for zone in shape.zones:
            for index in range(shape.workers_per_zone):
                name = f"{zone}-worker-{index}"
                self.workers[name] = (zone, next(free_ports))
                self.spawn_worker(name)
        self.wait_ready(self.platform, "/machines")
        for name in self.workers:
            self.list_machine(name)
        for zone in shape.zones:
            for index in range(shape.entry_vms_per_zone):
                name = f"{zone}-entry-{index}"
                self.entries[name] = (zone, next(free_ports), next(free_ports))
                self.list_machine(name)
                self.spawn_entry(name)
        for name in self.entries:
            self.wait_ready(self.get_http_address(name), "/healthz")
        self.import_inventory()
        for name in self.entries:
            self.wait_ready(self.get_http_address(name), "/readyz")

    def spawn(self, name, arguments):
        """Starts a process whose output goes to `name`.log."""
        log = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            arguments, stdout=log, stderr=log, start_new_session=True
        )

    def spawn_platform(self):
        """Starts the platform stand-in."""
        port = self.platform.rpartition(":")[2]
        module = "tests.standins.platform"
        self.spawn("platform", [sys.executable, "-m", module, "--port", port])

    def list_machine(self, name, state="live"):
        """Sets the state of a VM in the platform's VM list."""
        urllib3.request(
            "POST",
            f"http://{self.platform}/machines",
            json={"name": name, "state": state},
            retries=False,
            timeout=START_TIMEOUT_S,
        )

    def spawn_worker(self, name):
        """Starts a worker stand-in."""
        port = str(self.workers[name][1])
        module = "tests.standins.worker"
        self.spawn(
            name,
            [sys.executable, "-m", module, "--port", port, "--name", name],
        )

    def spawn_entry(self, name):
        """Writes the settings of an entry VM and starts its daemon."""
        zone, http_port, peer_port = self.entries[name]
        path = self.directory / f"{name}.toml"
        path.write_text(
            f'vm = "{name}"\nzone = "{zone}"\n'
            f"[http]\nport = {http_port}\n[peer]\nport = {peer_port}\n"
            f'[platform]\nurl = "http://{self.platform}"\n'
            f"[log]\nspans = {str(self.shape.spans).lower()}\n"
        )
        self.spawn(name, [str(BIN / "persimmond"), str(path)])

    def get_http_address(self, name):
        """Returns host and port of an entry VM's HTTP API."""
        return f"127.0.0.1:{self.entries[name][1]}"

    def wait_ready(self, address, path):
        """Waits until a GET of a path returns status 200.

        Raises:
            RuntimeError: If it doesn't within START_TIMEOUT_S.
        """
        pool = urllib3.PoolManager()
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                reply = pool.request(
                    "GET", f"http://{address}{path}", retries=False, timeout=2
                )
                if reply.status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.1)
        raise RuntimeError(f"{address}{path} is not ready; see the logs")

    def import_inventory(self):
        """Imports an inventory of all workers with `persimmonctl`.

        Raises:
            RuntimeError: If it isn't committed within START_TIMEOUT_S.
        """
        path = self.directory / "inventory.toml"
        path.write_text(self.format_inventory())
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            done = self.control(
                "inventory", "import", str(path), "--wait-s", "0"
            )
            if done.returncode in (EXIT_DONE, EXIT_UNFINISHED):
                return
            time.sleep(0.5)
        raise RuntimeError(f"the inventory was not imported: {done.stderr}")

    def format_inventory(self):
        """Returns the inventory as TOML."""
        lines = []
        for zone in self.shape.zones:
            lines.append(
                f'[[zones]]\nname = "{zone}"\n'
                f"shards = {self.shape.shards_per_zone}\n"
            )
        for index, (name, (zone, port)) in enumerate(self.workers.items()):
            lines.append(
                f'[[workers]]\nname = "{name}"\nzone = "{zone}"\n'
                f'rack = "{zone}-rack-{index % 2}"\nhost = "127.0.0.1"\n'
                f"port = {port}\ncpu_millis = 16000\nmemory_mib = 32768\n"
            )
        return "\n".join(lines)

    def control(self, *arguments):
        """Runs `persimmonctl` and returns the completed process.

        Raises:
            RuntimeError: If the cell is being stopped.
            subprocess.TimeoutExpired: After COMMAND_TIMEOUT_S.
        """
        addresses = [self.get_http_address(name) for name in self.entries]
        # `subprocess.run` would hide the process from `stop`.
        with self.lock:
            if self.is_stopping:
                raise RuntimeError("the cell is stopping")
            process = subprocess.Popen(
                [str(BIN / "persimmonctl"), *arguments],
                env={**os.environ, "PERSIMMON_ENTRY": ",".join(addresses)},
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                text=True,
                start_new_session=True,
            )
            self.commands.add(process)
        try:
            output, errors = process.communicate(timeout=COMMAND_TIMEOUT_S)
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
            self.commands.discard(process)
        return subprocess.CompletedProcess(
            arguments, process.returncode, output, errors
        )

    def stop(self):
        """Stops every process that this cell started.

        Entry VMs stop before the platform and the workers, since they transfer
        their shards through the platform.
        """
        with self.lock:
            self.is_stopping = True
            commands = list(self.commands)
        entries = [p for n, p in self.processes.items() if n in self.entries]
        others = [p for n, p in self.processes.items() if n not in self.entries]
        for group in (commands, entries, others):
            self.stop_group(group)

    def stop_group(self, group):
        """Terminates processes, and kills those that exceed STOP_TIMEOUT_S."""
        for process in group:
            process.send_signal(signal.SIGTERM)
        for process in group:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def save(self):
        """Writes process ids and addresses to cell.json for `make down`."""
        state = {
            "pids": {n: p.pid for n, p in self.processes.items()},
            "entries": [self.get_http_address(n) for n in self.entries],
        }
        (self.directory / "cell.json").write_text(json.dumps(state))
