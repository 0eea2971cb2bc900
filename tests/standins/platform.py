"""Stand-in for the table service, the object store and the VM list."""

import dataclasses
import json
import threading
import time
import urllib.parse

from returns import result

from persimmonpath import errors
from persimmonpath import httpplatform
from persimmonpath import machines
from persimmonpath import objectstore
from persimmonpath import tables
from persimmonpath import wire
from tests.standins import server


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults of the platform, set by `POST /faults`.

    Attributes:
        is_down: Whether every call fails with status 503.
        delay_s: Seconds by which every call is delayed.
        loses_answers: Whether the response to a POST is held back after the
            call has taken effect.
        hold_s: Seconds for which such a response is held back.
    """

    is_down: bool = False
    delay_s: float = 0.0
    loses_answers: bool = False
    hold_s: float = 5.0


class PlatformApplication(server.Application):
    """Serves in-memory implementations over HTTP, with faults."""

    def __init__(self):
        self.table = tables.create_memory_table()
        self.objects = objectstore.create_memory_object_store()
        self.machines = machines.create_memory_machine_list()
        self.faults = Faults()
        self._never_set = threading.Event()

    def answer(self, method, path, query, body):
        if path == "/faults":
            self.faults = wire.decode(Faults, body)
            return 200, b"ok"
        if path == "/statistics":
            return 200, json.dumps({"bytes": self.bytes}).encode()
        faults = self.faults
        if faults.is_down:
            return 503, b"down"
        if faults.delay_s:
            time.sleep(faults.delay_s)
        status, reply = self._serve(method, path, query, body)
        if faults.loses_answers and method == "POST":
            self._never_set.wait(faults.hold_s)
        return status, reply

    def _serve(self, method, path, query, body):
        if path.startswith("/table/rows/"):
            key = urllib.parse.unquote(path.removeprefix("/table/rows/"))
            row = self.table.get(key).unwrap()
            return 200, wire.encode(row, tables.Row | None)
        if path == "/table/scan":
            rows = self.table.scan(query.get("prefix", "")).unwrap()
            return 200, wire.encode(rows, list[tables.Row])
        if path == "/table/commit":
            return self._commit(body)
        if path.startswith("/objects/"):
            return self._serve_object(method, path, body)
        if path == "/machines":
            if method == "POST":
                machine = wire.decode(machines.Machine, body)
                self.machines.mark(machine.name, machine.state)
                return 200, b"ok"
            listed = self.machines.read().unwrap()
            return 200, wire.encode(listed, list[machines.Machine])
        return 404, b"no such path"

    def _commit(self, body):
        parsed = wire.decode(httpplatform.CommitBody, body)
        reply = self.table.commit(parsed.checks, parsed.writes)
        if isinstance(reply, result.Success):
            return 200, str(reply.unwrap()).encode()
        assert isinstance(reply.failure(), errors.TableConflictError)
        return 409, str(reply.failure()).encode()

    def _serve_object(self, method, path, body):
        name = urllib.parse.unquote(path.removeprefix("/objects/"))
        if method == "PUT":
            self.objects.put(name, body)
            return 200, b"ok"
        found = self.objects.get(name).unwrap()
        return (404, b"none") if found is None else (200, found)


if __name__ == "__main__":
    server.serve(PlatformApplication(), server.parse_arguments().port)
