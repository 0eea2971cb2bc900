"""What the scripts of all cases share: the deployment and its clients."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import random
import signal
import socket
import sys

from review.stands_2 import record as records
from review.stands_2 import store as stores
from review.stands_2 import system
from review.stands_2 import web
from review.stands_2 import worker as workers

HELD = 0
BROKEN = 1
NOT_RUN = 2
HOST = "queue.example"
# Ports of the stand-ins, after those of an entry VM; see `system.PORTS`.
STORE_PORT = system.PORTS
WORKER_PORT = system.PORTS + 1
ADVISOR_PORT = system.PORTS + 2
ALL_PORTS = system.PORTS + 3
# Below the range of outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 30_000
SERVICE = "office"


class Case:
    """A small deployment for one case.

    Attributes:
      has_trouble: whether the disruption is to take place.
      record: what was sent, answered and run.
      store: the platform's store.
      vms: the entry VMs.
      workers: the workers by id.
    """

    def __init__(self, folder: pathlib.Path, number: int, temporary: str):
        """Creates a case.

        Args:
          folder: the folder of the case.
          number: the number of the case, which chooses its addresses.
          temporary: a temporary folder.
        """
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = records.Record(folder / "record.txt")
        self.store = stores.Store()
        self.vms: list[system.Vm] = []
        self.workers: dict[str, workers.Worker] = {}
        self._folder = pathlib.Path(temporary)
        self._network, self._port = find_network(number)
        self._store_address = self.make_address(200, STORE_PORT)

    def make_address(self, host: int, port: int) -> str:
        """Returns an address of the loopback network of this case.

        Args:
          host: the last part of the address.
          port: one of the ports above, from 0.
        """
        return f"{self._network}.{host}:{self._port + port}"

    def add_vm(self, zone: str, **fields):
        """Adds an entry VM, which isn't started yet."""
        number = len(self.vms) + 1
        platform = {
            "address": self._store_address,
            "form": "table",
            "writesPerS": 600,
            "readsPerS": 2000,
            "txMs": 6.0,
            "partWritesPerS": 200,
            "rowBytes": 65536,
            "across": False,
            "historyS": 20,
        }
        zones = {"z1": "r1", "z2": "r1"}
        self.vms.append(
            system.Vm(
                f"edge-{number}",
                f"{self._network}.{number}",
                zone,
                self._folder,
                self._port,
                **{"platform": platform, "zones": zones, **fields},
            )
        )

    def write_config(self, version: int, routes: list[dict]):
        """Writes the desired state."""
        self.store.write(
            "op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": [{"name": SERVICE, "rejectsOverload": False}],
                "limits": {"maxBodyBytes": 262144},
            },
        )

    async def start(self, routes: list[dict]):
        """Starts the store, the VMs and the workers."""
        host, _, port = self._store_address.rpartition(":")
        await self.store.listen(host, int(port))
        self.write_config(10, routes)
        for worker in self.workers.values():
            await worker.start()
        for vm in self.vms:
            vm.start()
        await system.await_ready(self.vms, self.record)

    async def submit(
        self, path: str, content: dict, vm: int = 0
    ) -> tuple[int, object] | None:
        """Hands a submission in and returns the answer."""
        self.record.write("post", path=path, vm=vm)
        answer = await self.ask("POST", path, content, vm)
        status = None if answer is None else answer[0]
        self.record.write("answer", method="POST", path=path, status=status)
        return answer

    async def ask(
        self, method: str, path: str, content=None, vm: int = 0
    ) -> tuple[int, object] | None:
        """Makes a client's call and returns the answer."""
        return await web.call(
            self.vms[vm].front,
            method,
            path,
            content,
            {"Host": HOST, "X-Deadline-Ms": "3000"},
        )

    async def ask_state(self, path: str, vm: int = 0) -> str | None:
        """Asks for the state of a submission and records the answer."""
        answer = await self.ask("GET", path, None, vm)
        state = answer[1].get("state") if answer else None
        self.record.write(
            "state",
            path=path,
            status=answer[0] if answer else None,
            state=state,
        )
        return state

    def find_leader(self) -> system.Vm:
        """Returns the VM that last wrote to the store under a condition."""
        writer = self.store.last_conditional
        for vm in self.vms:
            if f"{vm.ip}:" in writer:
                return vm
        return self.vms[0]

    def end(self):
        """Ends all processes and stand-ins."""
        for vm in self.vms:
            vm.end()
        for worker in self.workers.values():
            worker.crash()
        self.store.close()

    def print_logs(self):
        """Prints what the VMs have logged, for a look by hand."""
        for vm in self.vms:
            print(vm.read_log())


def find_network(number: int) -> tuple[str, int]:
    """Returns a loopback network and the first of a row of free ports.

    Args:
      number: the number of the case.

    Raises:
      OSError: if none is found.
    """
    for _ in range(50):
        network = f"127.{70 + number}.{random.randrange(1, 250)}"
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if all(
            _is_free(f"{network}.{host}", port + offset)
            for host in (1, 100, 200)
            for offset in range(ALL_PORTS)
        ):
            return network, port
    raise OSError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def make_route(name: str, prefix: str, **fields) -> dict:
    """Returns a route of the desired state."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "service": SERVICE,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "priority": 1,
        "maxAttempts": 4,
        "stretch": 2.0,
        "targetLatencyMs": 1000,
        **fields,
    }


def run(
    path: str, number: int, play: Callable[["Case"], Awaitable[int]]
) -> None:
    """Plays a case and ends the process with its result.

    Args:
      path: the file of the case.
      number: the number of the case.
      play: plays it and returns HELD, BROKEN or NOT_RUN.
    """
    folder = pathlib.Path(path).resolve().parent
    with system.make_folder() as temporary:
        result = asyncio.run(_play(folder, number, temporary, play))
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}
    print(f"case {number}: {names[result]}")
    sys.exit(result)


async def _play(folder, number, temporary, play) -> int:
    try:
        case = Case(folder, number, temporary)
    except OSError as error:
        print(error)
        return NOT_RUN
    # A case that is stopped from outside ends its processes too.
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(115.0):
            result = await play(case)
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        case.record.write("not_run", reason=repr(error))
        result = NOT_RUN
    finally:
        case.end()
        if os.environ.get("LOGS"):
            case.print_logs()
        case.record.write("ended")
        case.record.close()
    return result
