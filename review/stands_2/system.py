"""Starts and ends the project's entry processes with the deploy command."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import tempfile

from review.stands_2 import record as records
from review.stands_2 import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The `run` line of deploy/system.toml.
COMMAND = ["python3", "deploy/entry.py"]
START_S = 15.0
# Ports of a VM: for clients, readiness, two between VMs, metrics.
PORTS = 5

# The figures of a small deployment, as its site file and pages name them.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 2,
    "checkpointS": 1,
    "restoreMs": 600,
    "noticeMs": 4500,
    "moveS": 1.5,
    "maintenanceS": 2,
    "requireFencing": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


class Vm:
    """One entry VM.

    Attributes:
      name: its name.
      front: the address for clients.
      ready: the address of the readiness probe.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        folder: pathlib.Path,
        port: int,
        **fields,
    ):
        """Creates the settings of a VM; fields replace parts of them.

        Args:
          name: its name.
          ip: its address.
          zone: its zone.
          folder: where its files are written.
          port: the first of PORTS free ports.
          **fields: settings.
        """
        self.name = name
        self.ip = ip
        self.front = f"{ip}:{port}"
        self.ready = f"{ip}:{port + 1}"
        self._folder = folder
        self._path = folder / f"{name}.toml"
        self._output = folder / f"{name}.out"
        self._process: subprocess.Popen | None = None
        self._settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": zone,
            "region": "r1",
            "internalPorts": [port + 2, port + 3],
            "metricsPort": port + 4,
            "seedNodes": [],
            "bootstrap": True,
            "lossCounted": False,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatMs": 1500,
            "orders": "rpc",
            "advice": "",
            "listenAddrs": {"front": self.front, "ready": self.ready},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "bounds": BOUNDS,
            **fields,
        }
        self.write_settings()

    def write_settings(self, **fields):
        """Writes the settings file, as the platform does after a change."""
        self._settings |= fields
        path = self._path.with_suffix(".new")
        path.write_text(render(self._settings), encoding="utf-8")
        path.replace(self._path)

    def start(self):
        """Starts the process."""
        kept = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in kept if k in os.environ}
        env["PERSIMMONPATH_BOOT"] = str(self._path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals):
        """Sends a signal to the process."""
        if self.is_running:
            self._process.send_signal(number)

    def end(self):
        """Ends the process and waits for it."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()

    def read_log(self) -> str:
        """Returns what the process has written."""
        return self._output.read_text(encoding="utf-8", errors="replace")

    async def is_ready(self) -> bool:
        """Returns whether it reports itself ready."""
        answer = await web.call(self.ready, "GET", "/api/ready", timeout_s=1.0)
        return answer is not None and answer[0] == 200


def render(settings: dict) -> str:
    """Renders settings as TOML."""
    lines = []
    tables = []
    for key, value in settings.items():
        if isinstance(value, dict):
            tables.append(f"[{key}]")
            tables += [f"{k} = {json.dumps(v)}" for k, v in value.items()]
        else:
            lines.append(f"{key} = {json.dumps(value)}")
    return "\n".join([*lines, *tables]) + "\n"


def make_folder() -> tempfile.TemporaryDirectory:
    """Returns a new temporary folder."""
    return tempfile.TemporaryDirectory(prefix="review-")


async def await_ready(vms: list[Vm], record: records.Record):
    """Waits until all VMs are ready.

    Raises:
      TimeoutError: if they aren't in time.
    """
    async with asyncio.timeout(START_S):
        for vm in vms:
            while not await vm.is_ready():
                await asyncio.sleep(0.1)
    record.write("vms_ready", vms=[vm.name for vm in vms])
