"""Stand-in for a worker, as PROTOCOL.md describes it under "Running tasks"."""

import asyncio
import contextlib
import json
import time

from review.stands_3 import http1

HOLD_MAX_MS = 6000
STOP_S = 0.1
ENDS_PER_ANSWER = 500
LONGEST_WAIT_S = 2.0
# The way of a call between two zones and back, as for tkh-passes.
ROUND_TRIP_S = 0.0002


class Worker:
    """One worker with leases, fencing and listed run ends.

    Attributes:
      id: its id.
      capacity: what it reports as its capacity.
      running: the runs in progress, by task and run.
      ended: the ends that aren't taken note of, as they are listed.
      started: the runs that were started, in order: task, run, time.
      noted: the ends that were taken note of: task, run, how.
      lapsed: whether a lease has run out on it.
    """

    def __init__(self, worker_id, service, zone, capacity, labels, judge):
        """Creates a worker that `start` brings up.

        Args:
          worker_id: its id.
          service: the service that it belongs to.
          zone: its zone.
          capacity: cpu, memMb and gpu.
          labels: its kind and its rack.
          judge: is told of starts, ends and acknowledgements, and names the
            seconds for which a run works.
        """
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.machine = f"m-{worker_id}"
        self.state = "ready"
        self.address = ""
        self.announced = ""
        self.judge = judge
        self._server = http1.Server(self.handle)
        self._sequence = 0
        self._begin()

    def _begin(self):
        self.born = int(time.time() * 1000)
        self._began_at = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self.running = {}
        self.ended = []
        self._ends = 0
        self._stopped = {}
        self._has_ended = asyncio.Event()
        self._lease_timer = None

    async def listen(self, host):
        """Starts to listen."""
        self.address = await self._server.listen(host)
        self.announced = self.announced or self.address

    def close(self):
        """Stops."""
        self._server.close()
        for row in self.running.values():
            row["timer"].cancel()

    def describe(self):
        """Returns its entry in the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.announced,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "sequence": self._sequence,
        }

    def read_clock(self):
        """Returns its steady clock in milliseconds."""
        return int((time.monotonic() - self._began_at) * 1000)

    async def handle(self, request):
        """Serves a call."""
        if request.headers.get("x-target-instance") != self.id:
            return 421, {}
        await asyncio.sleep(ROUND_TRIP_S)
        name = request.target.rsplit("/", 1)[-1]
        command = json.loads(request.body)
        if command.get("fencingToken", 0) < self._fence:
            return self._reject("fence")
        self._fence = command.get("fencingToken", 0)
        if name == "run-start":
            return self._start(command)
        if name == "run-stop":
            return self._stop(command)
        if name == "hold":
            return await self._hold(command)
        if name == "pace":
            return self._answer()
        return 404, {}

    def _answer(self, **fields):
        fields["clockMs"] = self.read_clock()
        fields["born"] = self.born
        return 200, fields

    def _reject(self, reason):
        return 409, {"clockMs": self.read_clock(), "reason": reason}

    def _extend(self, until_ms):
        longest = self.read_clock() + HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest))
        if self._lease_timer is None:
            self._watch_lease()

    def _watch_lease(self):
        left_ms = self._lease_ms - self.read_clock()
        if left_ms <= 0:
            self._lease_timer = None
            for key in list(self.running):
                self._end(key, "lapsed")
            return
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_later(
            left_ms / 1000 + 0.002, self._watch_lease
        )

    def _start(self, command):
        key = command["task"], command["run"]
        if key in self.running:
            return self._answer()
        if command["untilMs"] <= self.read_clock():
            return self._reject("late")
        self._extend(command["untilMs"])
        if command["run"] <= self._stopped.get(command["task"], 0):
            return self._reject("old")
        work_s, how = self.judge.record_start(self, command)
        timer = asyncio.get_running_loop().call_later(
            work_s, self._end, key, how
        )
        self.running[key] = {"timer": timer}
        return self._answer()

    def _stop(self, command):
        task, run = command["task"], command["run"]
        self._stopped[task] = max(self._stopped.get(task, 0), run)
        if (task, run) in self.running:
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, (task, run), "stopped"
            )
        return self._answer()

    def _end(self, key, how):
        row = self.running.pop(key, None)
        if row is None:
            return
        row["timer"].cancel()
        self._ends += 1
        task, run = key
        self._stopped[task] = max(self._stopped.get(task, 0), run)
        self.ended.append([self._ends, task, run, how, ""])
        self.judge.record_end(self, task, run, how)
        self._has_ended.set()
        self._has_ended = asyncio.Event()

    async def _hold(self, command):
        if command.get("untilMs") is not None:
            self._extend(command["untilMs"])
        seen = command.get("lastSeen", 0)
        for number, task, run, how, _ in self.ended:
            if number <= seen:
                self.judge.record_note(self, task, run, how)
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_s = min(LONGEST_WAIT_S, command.get("waitMs", 0) / 1000)
        if wait_s and not self.ended:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._has_ended.wait()
        return self._answer(
            running=[
                [task, run, "", 100, 50] for task, run in list(self.running)
            ],
            ended=self.ended[:ENDS_PER_ANSWER],
        )
