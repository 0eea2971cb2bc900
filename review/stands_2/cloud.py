"""The platform's list of machines and their upkeep."""

import asyncio
from collections.abc import Callable

from review.stands_2 import record as records
from review.stands_2 import web
from review.stands_2 import worker as workers

PAGE = 50


class Cloud:
    """Lists machines and carries out upkeeps.

    Attributes:
      workers: the worker of each machine, None while it is away.
    """

    def __init__(
        self,
        record: records.Record,
        maintenance_s: float,
        replace: Callable[[workers.Worker], workers.Worker],
    ):
        """Creates the list.

        Args:
          record: what is sent, answered and run.
          maintenance_s: how long an upkeep takes.
          replace: returns the new worker of a machine after its upkeep.
        """
        self.workers: dict[str, workers.Worker | None] = {}
        self._pools: dict[str, str] = {}
        self._former: dict[str, workers.Worker] = {}
        self._record = record
        self._maintenance_s = maintenance_s
        self._replace = replace
        self._fences: dict[str, int] = {}
        self._done: set[tuple[str, int]] = set()
        self._server = web.Server(self._handle)
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, host: str, port: int):
        """Starts to serve."""
        await self._server.listen(host, port)

    def close(self):
        """Stops serving and ends open upkeeps."""
        for task in self._tasks:
            task.cancel()
        self._server.close()

    def add(self, worker: workers.Worker):
        """Adds the machine of a worker."""
        self.workers[worker.machine] = worker
        self._pools[worker.machine] = worker.service
        self._former[worker.machine] = worker

    async def _handle(self, request: web.Request):
        await asyncio.sleep(0.02)
        path = request.target.partition("?")[0]
        if path == "/api/machines":
            return 200, {
                "machines": [self._describe(m) for m in sorted(self.workers)]
            }
        if path == "/api/machine-upkeep":
            return self._order(request)
        return 404, {}

    def _describe(self, machine: str):
        worker = self.workers[machine]
        former = self._former[machine]
        return {
            "machine": machine,
            "pool": self._pools[machine],
            "state": "up" if worker else "upkeep",
            "zone": former.zone,
            "labels": ["a", former.rack],
            "capacity": {"cpu": former.cpu, "memMb": 32768, "gpu": 8},
            "id": worker.id if worker else "",
        }

    def _order(self, request: web.Request):
        body = request.read_json()
        machine, wave = body["machine"], body["wave"]
        fence = int(request.headers.get("x-fencing-token", 0))
        status, reason = self._carry_out(machine, wave, fence)
        self._record.write(
            "upkeep_order",
            machine=machine,
            wave=wave,
            holder=request.headers.get("x-lease-holder"),
            fence=fence,
            status=status,
            reason=reason,
        )
        return status, {"reason": reason} if reason else {}

    def _carry_out(self, machine: str, wave: int, fence: int):
        if machine not in self.workers:
            return 400, ""
        if fence < self._fences.get(machine, 0):
            return 409, "fence"
        self._fences[machine] = fence
        if (machine, wave) in self._done:
            return 200, ""
        if self.workers[machine] is None:
            return 409, "busy"
        self._done.add((machine, wave))
        task = asyncio.get_running_loop().create_task(self._maintain(machine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 200, ""

    async def _maintain(self, machine: str):
        worker = self.workers[machine]
        self.workers[machine] = None
        worker.crash()
        worker.leave()
        await asyncio.sleep(self._maintenance_s)
        new = self._replace(worker)
        self._former[machine] = new
        self.workers[machine] = new
        await new.start()
