"""Stand-in for a worker: a `MemoryWorker` behind the HTTP API of workers."""

import json
import threading
import urllib.parse

from returns import result

from persimmonpath import errors
from persimmonpath import httpworkers
from persimmonpath import memoryworkers
from persimmonpath import resources
from persimmonpath import timers
from persimmonpath import wire
from tests.standins import server

CALL_TIMEOUT_S = 3600.0


def plan_from_payload(start):
    """Returns the plan that the JSON payload of an attempt describes.

    Fields: `run_s` (seconds), `fails`, and `forever`. The answer is the payload
    in upper case; a payload without these fields succeeds after 5 ms.
    """
    try:
        fields = json.loads(start.payload)
    except ValueError:
        fields = {}
    if not isinstance(fields, dict):
        fields = {}
    if fields.get("forever"):
        return memoryworkers.Plan(None, True)
    return memoryworkers.Plan(
        fields.get("run_s", 0.005),
        not fields.get("fails", False),
        start.payload.upper(),
        "task failed" if fields.get("fails") else "",
    )


class WorkerApplication(server.Application):
    """Serves a `MemoryWorker` over HTTP.

    `POST /faults` sets `is_silent` (calls hang for 30 s before they take
    effect) and `leaving` (the worker reports that it is leaving).
    """

    def __init__(self, worker):
        self.worker = worker
        self.is_silent = False

    def answer(self, method, path, query, body):
        if path == "/faults":
            faults = json.loads(body)
            self.is_silent = faults.get("is_silent", self.is_silent)
            self.worker.leaving = faults.get("leaving", self.worker.leaving)
            return 200, b"ok"
        if path == "/statistics":
            return 200, json.dumps(
                {
                    "bytes": self.bytes,
                    "runs": self.worker.runs,
                    "overloads": self.worker.overloads,
                    "running": self.worker.list_running(),
                }
            ).encode()
        if self.is_silent:
            threading.Event().wait(30.0)
        reply = self._call(method, path, body).result()
        if isinstance(reply, result.Success):
            return 200, wire.encode(reply.unwrap())
        error = reply.failure()
        assert isinstance(error, errors.WorkerError)
        return 409, wire.encode(httpworkers.describe_error(error))

    def _call(self, method, path, body):
        worker = self.worker
        if path == "/fence":
            call = wire.decode(httpworkers.FenceBody, body)
            return worker.fence(
                call.epoch, call.owner, call.lease_s, CALL_TIMEOUT_S
            )
        if path == "/renew":
            call = wire.decode(httpworkers.RenewBody, body)
            return worker.renew(
                call.epoch, call.lease_s, call.acknowledged, CALL_TIMEOUT_S
            )
        if path == "/tasks":
            call = wire.decode(httpworkers.StartBody, body)
            return worker.start(call.start, call.wait, CALL_TIMEOUT_S)
        if path == "/tombstones":
            call = wire.decode(httpworkers.CloseBody, body)
            return worker.close(call.attempt, call.epoch, CALL_TIMEOUT_S)
        if path == "/control":
            call = wire.decode(httpworkers.ControlBody, body)
            return worker.control(
                call.attempt, call.action, call.epoch, CALL_TIMEOUT_S
            )
        attempt = urllib.parse.unquote(path.removeprefix("/tasks/"))
        return worker.inspect(attempt, CALL_TIMEOUT_S)


def main():
    """Serves a worker until SIGTERM."""
    arguments = server.parse_arguments(
        ("--name", "worker"),
        ("--cpu-millis", 16000),
        ("--memory-mib", 32768),
        ("--accelerators", 0),
        ("--slots", 8),
    )
    worker = memoryworkers.MemoryWorker(
        arguments.name,
        resources.Resources(
            arguments.cpu_millis, arguments.memory_mib, arguments.accelerators
        ),
        arguments.slots,
        timers.create_real_timers(lambda error: None),
        plan_from_payload,
    )
    server.serve(WorkerApplication(worker), arguments.port)


if __name__ == "__main__":
    main()
