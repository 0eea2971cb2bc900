"""A worker as the users' pages describe it."""

import asyncio
from collections.abc import Callable
import contextlib
import time

from review.stands_2 import advisor as advisors
from review.stands_2 import gang as gangs
from review.stands_2 import record as records
from review.stands_2 import store as stores
from review.stands_2 import web

HEARTBEAT_S = 1.5
# Time after which a run is at work, in seconds.
STARTUP_S = 0.3
# Work is done in parts of this length, at the share of the run, in seconds.
STEP_S = 0.1
MAX_ENDS = 500

# Returns the duration of a run in seconds, None for one that lasts, and how it
# ends, given the task and the run.
Plan = Callable[[str, int], tuple[float | None, str]]


class Run:
    """A run in progress on a worker."""

    def __init__(self, task: str, number: int):
        self.task = task
        self.number = number
        self.saved = ""
        self.work: asyncio.Task | None = None
        self.began = time.monotonic()
        self.share = 100

    @property
    def is_at_work(self) -> bool:
        """Whether its startup is over."""
        return time.monotonic() - self.began > STARTUP_S


class Worker:
    """One life of a worker.

    Attributes:
      id: the id under which it registers.
      machine: the machine of which it is a life.
      running: the runs in progress by task and number.
      load: returns the figure that it lists for a run, instead of `used_cpu`.
      needs_ticket: whether a start needs the ticket of its step.
      used_cpu: the `cpu` in use that it lists for each run.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        address: str,
        rack: str,
        zone: str,
        plan: Plan,
        record: records.Record,
        rows: stores.Store,
        timings: dict[str, float],
        cpu: int = 16000,
        machine: str = "",
    ):
        """Creates a worker.

        Args:
          worker_id: its id.
          service: its service.
          address: host and port.
          rack: its rack.
          zone: its zone.
          plan: how long runs take and how they end.
          record: what is sent, answered and run.
          rows: the store in which it registers.
          timings: the bounds of the settings.
          cpu: its capacity in thousandths of a core.
          machine: its machine; by default one of its own.
        """
        self.machine = machine or f"m-{worker_id}"
        self.id = worker_id
        self.service = service
        self.address = address
        self.rack = rack
        self.zone = zone
        self.cpu = cpu
        self.running: dict[tuple[str, int], Run] = {}
        self.gang: gangs.Gang | None = None
        self.used_cpu = 500
        self.needs_ticket = False
        self.load: Callable[[Worker, Run], float] | None = None
        self._plan = plan
        self._record = record
        self._rows = rows
        self._timings = timings
        self._born = int(time.time() * 1000)
        self._began = time.monotonic()
        self._fence = 0
        self._lease_ms = 0.0
        self._ended: list[list] = []
        self._count = 0
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._has_ended = asyncio.Event()
        self._server = web.Server(self._handle)
        self._tasks: list[asyncio.Task] = []

    async def start(self):
        """Listens and registers."""
        host, _, port = self.address.rpartition(":")
        await self._server.listen(host, int(port))
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._beat()),
            loop.create_task(self._watch_lease()),
        ]
        self._record.write("worker_up", worker=self.id, address=self.address)

    def crash(self):
        """Ends at once with everything that runs; sends nothing."""
        self._record.write(
            "worker_crashed",
            worker=self.id,
            runs=[f"{t}/{n}" for t, n in self.running],
        )
        for task in self._tasks:
            task.cancel()
        for run in self.running.values():
            run.work.cancel()
        self.running.clear()
        self._server.close()

    def expire(self):
        """Has its entry removed after three heartbeats of silence."""
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self._rows.remove, "servers", self.id
        )

    def describe(self):
        """Returns its entry in the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "machine": self.machine,
            "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 8},
            "labels": ["a", self.rack],
            "born": self._born,
        }

    async def _beat(self):
        while True:
            self._rows.write("servers", self.id, self.describe())
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self._clock_ms() > self._lease_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began) * 1000) + 1000

    async def _handle(self, request: web.Request):
        if request.target == "/health":
            return 200, {}
        if request.headers.get("x-target-instance") != self.id:
            return 421, {}
        body = request.read_json()
        fence = body.get("fencingToken", 0)
        if fence < self._fence:
            return 409, self._stamp(reason="fence")
        if fence > self._fence:
            self._record.write("fence_seen", worker=self.id, fence=fence)
        self._fence = fence
        if request.target == "/api/run-start":
            return self._start_run(body)
        if request.target == "/api/run-stop":
            return self._stop_run(body)
        if request.target == "/api/hold":
            return await self._hold(body)
        if request.target == "/api/pace":
            return self._pace(body)
        return 404, {}

    def _stamp(self, **fields):
        return {**fields, "clockMs": self._clock_ms(), "born": self._born}

    def _extend_lease(self, until_ms):
        if until_ms is not None:
            most = self._clock_ms() + self._timings["holdMaxMs"]
            self._lease_ms = max(self._lease_ms, min(until_ms, most))

    def _start_run(self, body):
        task, number = body["task"], body["run"]
        if (task, number) in self.running:
            return 200, self._stamp()
        if body["untilMs"] < self._clock_ms():
            return 409, self._stamp(reason="late")
        self._extend_lease(body["untilMs"])
        if number <= self._highest.get(task, 0):
            return 409, self._stamp(reason="old")
        step = task.rpartition(".")[0]
        ticket = advisors.make_ticket(step, self.id)
        if self.needs_ticket and body.get("ticket") != ticket:
            return 409, self._stamp(reason="ticket")
        self._record.write(
            "start",
            worker=self.id,
            task=task,
            run=number,
            fence=body["fencingToken"],
            spec=body["spec"],
            saved=body.get("saved", ""),
        )
        run = Run(task, number)
        run.saved = body.get("saved", "")
        self.running[task, number] = run
        run.work = asyncio.get_running_loop().create_task(self._work(run))
        return 200, self._stamp()

    async def _work(self, run: Run):
        if self.gang is not None and self.gang.covers(run.task):
            how = await self.gang.work(self, run)
        else:
            duration_s, how = self._plan(run.task, run.number)
            if duration_s is None:
                await asyncio.get_running_loop().create_future()
            while duration_s > 0:
                await asyncio.sleep(min(STEP_S, duration_s))
                duration_s -= STEP_S * run.share / 100
        self._end(run, how)

    def _pace(self, body):
        run = self.running.get((body["task"], body["run"]))
        self._record.write(
            "pace",
            worker=self.id,
            task=body["task"],
            run=body["run"],
            percent=body["percent"],
        )
        if run is not None:
            run.share = body["percent"]
        return 200, self._stamp()

    def _stop_run(self, body):
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.running.get((task, number))
        self._record.write("stop", worker=self.id, task=task, run=number)
        if run is not None:
            asyncio.get_running_loop().call_later(
                0.05, self._end, run, "stopped"
            )
        return 200, self._stamp()

    def end(self, task: str, how: str):
        """Ends the runs of a task."""
        for run in list(self.running.values()):
            if run.task == task:
                self._end(run, how)

    def _end(self, run: Run, how: str):
        if self.running.pop((run.task, run.number), None) is None:
            return
        if run.work is not asyncio.current_task():
            run.work.cancel()
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        self._count += 1
        self._ended.append([self._count, run.task, run.number, how, run.saved])
        self._record.write(
            "end",
            worker=self.id,
            task=run.task,
            run=run.number,
            how=how,
            saved=run.saved,
            at_work=run.is_at_work,
        )
        if self.gang is not None:
            self.gang.note_end(run, how)
        self._has_ended.set()

    async def _hold(self, body):
        self._extend_lease(body.get("untilMs"))
        seen = body.get("lastSeen", 0)
        for row in self._ended:
            if row[0] <= seen:
                self._record.write(
                    "end_seen", worker=self.id, task=row[1], run=row[2]
                )
        self._ended = [row for row in self._ended if row[0] > seen]
        wait_ms = min(2000, body.get("waitMs", 0))
        if wait_ms and not self._ended:
            self._has_ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self._has_ended.wait()
        running = [
            [
                run.task,
                run.number,
                run.saved,
                run.share if run.is_at_work else 0,
                self.used_cpu if self.load is None else self.load(self, run),
            ]
            for run in self.running.values()
        ]
        return 200, self._stamp(running=running, ended=self._ended[:MAX_ENDS])
