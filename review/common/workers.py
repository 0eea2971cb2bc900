"""Stand-in of a worker."""

import asyncio
import contextlib
import json
import time

from review.common import platform

HOLD_MAX_MS = 6000
STOP_S = 0.1
HEARTBEAT_S = 1.5
CHECK_S = 0.02
ENDS_PER_LISTING = 500


class Worker(platform.StandIn):
    """A worker that starts whatever it is told to, as PROTOCOL.md says.

    Attributes:
      behaviour: called with the worker and a start; returns the seconds after
        which the run ends and how, or None for a run that lasts.
      refused_status: status of the answer to starts, None to execute them.
      running: the runs in progress, by task and number.
    """

    def __init__(self, worker_id, service, capacity, labels, log, behaviour):
        super().__init__()
        self.id = worker_id
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.machine = f"m-{worker_id}"
        self.log = log
        self.behaviour = behaviour
        self.startup_s = 0.3
        self.refused_status = None
        self.refused = 0
        self.is_down = False
        self._begin()

    def _begin(self):
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self.fence = 0
        self.lease_ms = 0.0
        self.running = {}
        self.ended = []
        self.count = 0
        self.stopped = {}
        self._run_ended = asyncio.Event()

    async def open(self):
        """Starts to listen and to check leases."""
        await self.listen()
        self._checker = asyncio.create_task(self._check())

    def crash(self):
        """Ends the process: all runs and all connections are lost."""
        port = int(self.address.rpartition(":")[2])
        self.is_down = True
        self.stop()
        self._checker.cancel()
        for task, run in list(self.running):
            self.log.write("lost", self.id, task, run)
            self.log.end(self, task, run, "lost")
        self.running = {}
        return port

    async def restart(self, port, capacity=None, labels=None):
        """Starts a new life at the same address, under the same id."""
        self.capacity = capacity or self.capacity
        self.labels = labels or self.labels
        self._begin()
        self.is_down = False
        await self.listen(port)
        self._checker = asyncio.create_task(self._check())
        self.log.write("worker starts", self.id, self.capacity, self.labels)

    def describe(self):
        """Returns the worker's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z0",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clockMs": self.read_clock(),
            "sequence": int(time.monotonic() * 1000),
        }

    def read_clock(self):
        """Returns the worker's steady clock in milliseconds."""
        return int((time.monotonic() - self._started_at) * 1000)

    async def handle(self, request):
        """Carries out a command or lists the runs."""
        if self.is_down:
            # Requests that a process has read are lost with it.
            await asyncio.sleep(platform.FOREVER_S)
        if request.headers.get("x-target-instance") != self.id:
            return platform.respond(421)
        command = json.loads(request.body)
        name = request.target.rsplit("/", 1)[-1]
        fence = command.get("fencingToken", 0)
        if fence < self.fence:
            return self._reject("fence")
        self.fence = fence
        if name == "run-start":
            return self._start(command)
        if name == "run-stop":
            return self._stop(command)
        if name == "hold":
            return await self._hold(command)
        return self._reply()

    def _reply(self, **fields):
        fields = {**fields, "clockMs": self.read_clock(), "born": self.born}
        return platform.respond(200, fields)

    def _reject(self, reason):
        fields = {"clockMs": self.read_clock(), "reason": reason}
        return platform.respond(409, fields)

    def _extend(self, command):
        until = command.get("untilMs")
        if until is not None:
            longest = self.read_clock() + HOLD_MAX_MS
            self.lease_ms = max(self.lease_ms, min(until, longest))

    def _start(self, command):
        task, run = command["task"], command["run"]
        if self.refused_status is not None:
            self.refused += 1
            self.log.write("start refused", self.id, task, run)
            return platform.respond(self.refused_status)
        if (task, run) in self.running:
            return self._reply()
        if command["untilMs"] < self.read_clock():
            return self._reject("late")
        self._extend(command)
        if run <= self.stopped.get(task, 0):
            return self._reject("old")
        self.log.start(self, command)
        plan = self.behaviour(self, command)
        now = time.monotonic()
        self.running[task, run] = {
            "began": now,
            "ends": None if plan is None else now + plan[0],
            "how": "" if plan is None else plan[1],
        }
        return self._reply()

    def _stop(self, command):
        task, run = command["task"], command["run"]
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        row = self.running.get((task, run))
        if row is not None and row["how"] != "stopped":
            self.log.write("stop", self.id, task, run)
            self.log.stop(self, task, run)
            row.update(ends=time.monotonic() + STOP_S, how="stopped")
        return self._reply()

    async def _check(self):
        while True:
            await asyncio.sleep(CHECK_S)
            now = time.monotonic()
            has_lapsed = self.read_clock() > self.lease_ms
            for key, row in list(self.running.items()):
                if has_lapsed:
                    self._end(key, "lapsed")
                elif row["ends"] is not None and now >= row["ends"]:
                    self._end(key, row["how"])

    def _end(self, key, how):
        del self.running[key]
        task, run = key
        self.count += 1
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        self.ended.append([self.count, task, run, how, ""])
        self.log.write("end", self.id, task, run, how)
        self.log.end(self, task, run, how)
        self._run_ended.set()

    def get_percent(self, key):
        """Returns the percent of a run: below 100 while it starts up."""
        row = self.running[key]
        if row["ends"] is not None and row["how"] != "stopped":
            return 100
        age_s = time.monotonic() - row["began"]
        return min(100, int(100 * age_s / self.startup_s))

    async def _hold(self, command):
        self._extend(command)
        seen = command["lastSeen"]
        for number, task, run, how, _ in self.ended:
            if number <= seen:
                self.log.acknowledge(task, run, how)
        self.ended = [row for row in self.ended if row[0] > seen]
        if command.get("waitMs") and not self.ended:
            self._run_ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._run_ended.wait(), command["waitMs"] / 1000
                )
        running = [
            [task, run, "", self.get_percent((task, run)), 500]
            for task, run in self.running
        ]
        return self._reply(running=running, ended=self.ended[:ENDS_PER_LISTING])
