"""Processes of a small cell on the loopback address."""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

import urllib3

BIN = pathlib.Path(sys.executable).parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
COMMAND_TIMEOUT_S = 60.0
# Exit codes of persimmonctl.
EXIT_DONE = 0
EXIT_UNFINISHED = 6


@dataclasses.dataclass(frozen=True)
class Shape:
    """Size of a cell."""

    zones: tuple[str, ...] = ("zone-a", "zone-b")
    entry_vms_per_zone: int = 2
    workers_per_zone: int = 3
    shards_per_zone: int = 2
    spans: bool = True


def find_free_ports(count):
    """Returns TCP ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def is_cell_process(pid):
    """Returns whether a process id is still one of a cell's processes.

    The id may have gone to a process of somebody else since the cell came up.
    """
    try:
        command = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
    return b"persimmond" in command or b"tests.standins." in command


def signal_cell_process(pid, number):
    """Sends a signal if the process is still one of a cell's."""
    if not is_cell_process(pid):
        return False
    try:
        os.kill(pid, number)
    except ProcessLookupError:
        return False
    return True


class Cell:
    """Starts and stops the processes of a cell."""

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
        """Starts every process and imports the inventory."""
        self.directory.mkdir(parents=True, exist_ok=True)
        shape = self.shape
        zones = len(shape.zones)
        per_zone = shape.workers_per_zone + 2 * shape.entry_vms_per_zone
        ports = iter(find_free_ports(1 + zones * per_zone))
        self.platform = f"127.0.0.1:{next(ports)}"
        self.spawn_platform()
        for zone in shape.zones:
            for index in range(shape.workers_per_zone):
                name = f"{zone}-worker-{index}"
                self.workers[name] = (zone, next(ports))
                self.spawn_worker(name)
        self.wait_ready(self.platform, "/machines")
        for name in self.workers:
            self.list_machine(name)
        for zone in shape.zones:
            for index in range(shape.entry_vms_per_zone):
                name = f"{zone}-entry-{index}"
                self.entries[name] = (zone, next(ports), next(ports))
                self.list_machine(name)
                self.spawn_entry(name)
        for name in self.entries:
            self.wait_ready(self.get_http_address(name), "/healthz")
        self.import_inventory()
        for name in self.entries:
            self.wait_ready(self.get_http_address(name), "/readyz")

    def spawn(self, name, arguments):
        """Starts a process whose output goes to a file."""
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
        """Has the platform list a VM with that state."""
        urllib3.request(
            "POST",
            f"http://{self.platform}/machines",
            json={"name": name, "state": state},
            retries=False,
            timeout=2,
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
        """Starts an entry VM."""
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
        """Returns the address of an entry VM for callers."""
        return f"127.0.0.1:{self.entries[name][1]}"

    def wait_ready(self, address, path):
        """Waits until a path answers with status 200."""
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
        """Imports an asset register with all workers."""
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
        """Returns the asset register in TOML."""
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
        """Runs `persimmonctl` and returns the completed process."""
        addresses = [self.get_http_address(name) for name in self.entries]
        # Not `subprocess.run`: `stop` has to find commands that still run.
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
        """Stops every process that this cell started, entry VMs first.

        An entry VM hands its shards over through the platform, so the platform
        goes last.
        """
        with self.lock:
            self.is_stopping = True
            commands = list(self.commands)
        entries = [p for n, p in self.processes.items() if n in self.entries]
        others = [p for n, p in self.processes.items() if n not in self.entries]
        for group in (commands, entries, others):
            self.stop_group(group)

    def stop_group(self, group):
        """Stops processes and waits for their end."""
        for process in group:
            process.send_signal(signal.SIGTERM)
        for process in group:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def save(self):
        """Writes process ids and addresses, for a later `down`."""
        state = {
            "pids": {n: p.pid for n, p in self.processes.items()},
            "entries": [self.get_http_address(n) for n in self.entries],
        }
        (self.directory / "cell.json").write_text(json.dumps(state))
