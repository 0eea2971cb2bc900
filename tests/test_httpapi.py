"""Contract tests of the HTTP interface for callers and operators."""

import base64
import json
import socket
import unittest

from persimmonpath_daemon import httpapi
from tests import inprocessentry

TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = "b7ad6b7169203331"


def encode(text):
    return base64.b64encode(text.encode()).decode()


def job(**fields):
    return {"form": "batch", "id": "job-x", **fields}


def config(**fields):
    return {"based_on": 1, "inventory": inprocessentry.INVENTORY, **fields}


def change_worker(**fields):
    worker = {**inprocessentry.WORKER, **fields}
    return {"zones": inprocessentry.INVENTORY["zones"], "workers": [worker]}


RUN, JOBS, CONFIG = "/v1/requests", "/v1/jobs", "/v1/config"
# Path, body, and the expected status, error, field and part of `allowed`.
BAD_CASES = (
    (RUN, b"{", 400, "invalid_json", "body", "object"),
    (RUN, b"", 400, "invalid_json", "body", "object"),
    (RUN, b"[]", 400, "wrong_type", "body", "object"),
    (RUN, b"\xff\xfe", 400, "invalid_json", "body", "object"),
    (RUN, {"payload": "%%"}, 400, "invalid_base64", "payload", "base64"),
    (RUN, {"payload": 7}, 400, "wrong_type", "payload", "base64"),
    (RUN, {"kind": 7}, 400, "wrong_type", "kind", "text"),
    (RUN, {"kind": "A b"}, 400, "bad_form", "kind", "a-z"),
    (RUN, {"timeout_ms": "9"}, 400, "wrong_type", "timeout_ms", "10 to"),
    (RUN, {"timeout_ms": 9}, 400, "out_of_range", "timeout_ms", "10 to"),
    (RUN, {"timeout_ms": True}, 400, "wrong_type", "timeout_ms", "10 to"),
    (RUN, {"colour": 1}, 400, "unknown_field", "colour", "payload"),
    (
        RUN,
        {"resources": {"cpu_millis": 0}},
        400,
        "out_of_range",
        "resources.cpu_millis",
        "from 1 to 1000000",
    ),
    (
        RUN,
        {"resources": {"memory_mib": -1}},
        400,
        "out_of_range",
        "resources.memory_mib",
        "from 1 to",
    ),
    (
        RUN,
        {"resources": {"cpu_millis": 4001}},
        400,
        "larger_than_any_vm",
        "resources",
        "4000/8192/0",
    ),
    (RUN, {"id": "x"}, 400, "bad_id", "id", "zone.shard"),
    (RUN, {"id": "zone-x.0.1.1"}, 400, "unknown_zone", "id", "zone-a"),
    (RUN, {"id": "zone-a.7.1.1"}, 400, "unknown_shard", "id", "0 to 0"),
    (RUN, {"id": "zone-a.0.2.999999"}, 400, "id_not_issued", "id", "ids"),
    (
        RUN,
        {"payload": "A" * ((4 << 20) + 1)},
        413,
        "too_large",
        "body",
        "4194304",
    ),
    (
        RUN,
        {"payload": "A" * (2 << 20)},
        400,
        "too_large",
        "payload",
        "1048576",
    ),
    (JOBS, job(form="swarm"), 400, "not_allowed", "form", "gang"),
    (JOBS, {"form": "batch"}, 400, "missing_field", "id", ""),
    (JOBS, job(tasks=0), 400, "out_of_range", "tasks", "1 to 1000"),
    (JOBS, job(tasks=1001), 400, "out_of_range", "tasks", "1 to 1000"),
    (
        JOBS,
        job(resources={"accelerators": 1}),
        400,
        "larger_than_any_vm",
        "resources",
        "4000/8192/0",
    ),
    (f"{JOBS}:cancel", {"ids": []}, 400, "bad_form", "ids", "list"),
    (f"{JOBS}:cancel", {"ids": ["A"]}, 400, "bad_form", "ids.0", "a-z"),
    (
        CONFIG,
        config(inventory=change_worker(zone="zone-x")),
        400,
        "inconsistent",
        "inventory",
        "",
    ),
    (
        CONFIG,
        config(inventory=change_worker(cpu_millis=-5)),
        400,
        "out_of_range",
        "inventory.workers.0.cpu_millis",
        "from 1 to",
    ),
    (
        CONFIG,
        config(rules={"placement": [{"zones": ["zone-x"]}]}),
        400,
        "unknown_zone",
        "rules.placement.zones",
        "zone-a, zone-b",
    ),
    (
        CONFIG,
        config(rules={"policy": {"queue_limit": 0}}),
        400,
        "out_of_range",
        "rules.policy.queue_limit",
        "from 1 to",
    ),
    ("/v1/ids", {"count": 1001}, 400, "out_of_range", "count", "1 to 1000"),
    ("/v1/nothing", {}, 404, "no_such_path", "path", ""),
    ("/v1/vms", {}, 405, "no_such_method", "method", "GET"),
)

# Raw headers and body, each sent on its own connection, and the expected
# status and error.
RAW_CASES = (
    ("", b"{}", 411, "length_required"),
    ("Content-Length: x\r\n", b"{}", 400, "bad_length"),
    ("Content-Length: -1\r\n", b"{}", 400, "bad_length"),
    ("Content-Length: 99999999999\r\n", b"{}", 413, "too_large"),
    ("Content-Length: 50\r\n", b"{}", 408, "body_incomplete"),
    ("Transfer-Encoding: chunked\r\n", b"2\r\n{}\r\n0\r\n\r\n", 411, None),
)


class EntryTestCase(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cell = inprocessentry.InProcessEntry()
        cls.addClassCleanup(cls.cell.stop)

    def call(self, *arguments, **fields):
        return self.cell.call(*arguments, **fields)

    def send_raw(self, headers, body):
        host, _, port = self.cell.address.partition(":")
        with socket.create_connection((host, int(port)), timeout=10) as raw:
            head = f"POST /v1/requests HTTP/1.1\r\nHost: x\r\n{headers}\r\n"
            raw.sendall(head.encode() + body)
            reply = b""
            while chunk := raw.recv(65536):
                reply += chunk
        head, _, content = reply.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(content)


class BadInputTest(EntryTestCase):
    def test_each_fault_names_field_and_range_and_changes_nothing(self):
        before = dict(self.cell.table._rows), list(self.cell.worker.runs)
        for path, body, status, error, field, allowed in BAD_CASES:
            with self.subTest(path=path, body=str(body)[:60]):
                actual_status, reply = self.call("POST", path, body)
                self.assertEqual(
                    (actual_status, reply["error"]), (status, error), reply
                )
                self.assertEqual(reply["field"], field)
                self.assertIn(allowed, reply["allowed"])
        after = dict(self.cell.table._rows), list(self.cell.worker.runs)
        self.assertEqual(before, after)

    def test_wrong_length_is_rejected_and_the_connection_closed(self):
        for headers, body, status, error in RAW_CASES:
            with self.subTest(headers=headers):
                actual_status, reply = self.send_raw(headers, body)
                self.assertEqual(actual_status, status, reply)
                self.assertEqual(reply["error"], error or "length_required")
                self.assertTrue(reply["field"])

    def test_every_fault_of_a_body_is_listed(self):
        body = {"timeout_ms": 1, "run_ms": -1, "colour": 1}
        _, reply = self.call("POST", RUN, body)
        fields = {fault["field"] for fault in reply["faults"]}
        self.assertEqual(fields, {"timeout_ms", "run_ms", "colour"})

    def test_limit_out_of_range_is_rejected(self):
        for limit in ("0", "-1", "x", "101", "9" * 50):
            path = f"/v1/config/history?limit={limit}"
            status, reply = self.call("GET", path)
            self.assertEqual((status, reply["field"]), (400, "limit"))

    def test_connection_is_usable_after_an_error_response(self):
        """Guards against parsing a rejected body as the next call."""
        self.call("POST", "/v1/nothing", {"a": 1})
        status, _ = self.call("GET", "/healthz")
        self.assertEqual(status, 200)


class RequestTest(EntryTestCase):
    def test_answer_carries_id_outcome_length_and_checksum(self):
        body = {"payload": encode("hello \xff")}
        status, reply = self.call("POST", RUN, body)
        self.assertEqual((status, reply["outcome"]), (200, "done"), reply)
        answer = base64.b64decode(reply["answer"])
        self.assertEqual(answer, "hello \xff".encode().upper())
        self.assertEqual(reply["length"], len(answer))
        self.assertEqual(len(reply["checksum"]), 16)
        self.assertTrue(reply["id"].startswith("zone-a.0."))

    def test_failure_has_a_reason_and_is_counted(self):
        payload = encode(json.dumps({"fails": True}))
        _, reply = self.call("POST", RUN, {"payload": payload})
        self.assertEqual(reply["outcome"], "failed")
        self.assertEqual(reply["reason"], "task failed")
        self.assertEqual(reply["length"], 0)
        _, text = self.call("GET", "/metrics")
        self.assertIn(
            b'persimmonpath_request_seconds_count{outcome="failed"} 1', text
        )

    def test_repeated_id_runs_once(self):
        (request_id,) = self.call("POST", "/v1/ids", {})[1]["ids"]
        body = {"id": request_id, "payload": encode("once")}
        first = self.call("POST", RUN, body)
        runs = len(self.cell.worker.runs)
        self.assertEqual(self.call("POST", RUN, body), first)
        self.assertEqual(len(self.cell.worker.runs), runs)

    def test_repeated_id_with_other_content_is_a_conflict(self):
        (request_id,) = self.call("POST", "/v1/ids", {})[1]["ids"]
        self.call("POST", RUN, {"id": request_id, "payload": encode("one")})
        status, reply = self.call(
            "POST", RUN, {"id": request_id, "payload": encode("two")}
        )
        self.assertEqual((status, reply["error"]), (409, "id_reused"))
        self.assertEqual(reply["field"], "id")

    def test_cancelled_id_never_runs(self):
        (request_id,) = self.call("POST", "/v1/ids", {})[1]["ids"]
        _, reply = self.call("POST", f"{RUN}/{request_id}:cancel", {})
        self.assertEqual(reply["outcome"], "not_run")
        runs = len(self.cell.worker.runs)
        _, reply = self.call("POST", RUN, {"id": request_id})
        self.assertEqual(reply["outcome"], "not_run")
        self.assertEqual(len(self.cell.worker.runs), runs)

    def test_id_of_an_unreachable_zone_is_unknown(self):
        status, reply = self.call("GET", f"{RUN}/zone-b.0.1.1")
        self.assertEqual((status, reply["outcome"]), (503, "unknown"))

    def test_request_over_the_limit_is_not_run(self):
        """Guards against waiting requests that occupy every thread."""
        cell = inprocessentry.InProcessEntry(run_limit=1)
        self.addCleanup(cell.stop)
        with cell.occupy_run_slot():
            status, reply = cell.call("POST", RUN, {})
            self.assertEqual((status, reply["outcome"]), (503, "not_run"))
            (request_id,) = cell.call("POST", "/v1/ids", {})[1]["ids"]
            _, reply = cell.call("POST", RUN, {"id": request_id})
            self.assertEqual(reply["outcome"], "unknown")


class ServerTest(EntryTestCase):
    def test_idle_clients_do_not_exhaust_the_threads(self):
        host, _, port = self.cell.address.partition(":")
        idle_clients = [
            socket.create_connection((host, int(port))) for _ in range(40)
        ]
        for number, connection in enumerate(idle_clients):
            self.addCleanup(connection.close)
            started = (b"", b"POST /v1/ids HT", b"POST /v1/ids HTTP/1.1\r\n")
            connection.sendall(started[number % 3])
        status, _ = self.call("GET", "/healthz")
        self.assertEqual(status, 200)

    def test_health_and_readiness_differ(self):
        self.assertEqual(self.call("GET", "/readyz")[0], 200)
        self.cell.entry.begin_leaving()
        self.assertEqual(self.call("GET", "/readyz")[0], 503)
        self.assertEqual(self.call("GET", "/healthz")[0], 200)


class TraceTest(unittest.TestCase):
    def test_trace_spans_caller_route_and_worker_call(self):
        cell = inprocessentry.InProcessEntry(traces=True)
        self.addCleanup(cell.stop)
        spans, starts = [], []
        cell.instruments.tracer._emit = lambda _, **fields: spans.append(fields)
        start = cell.worker.start

        def record(task, *rest):
            starts.append(task)
            return start(task, *rest)

        cell.worker.start = record
        header = {"traceparent": f"00-{TRACE}-{PARENT}-01"}
        cell.call("POST", RUN, {}, header)
        names = [span["name"] for span in spans]
        self.assertEqual(names, ["worker_call", "route", "caller_call"])
        self.assertEqual({span["trace"] for span in spans}, {TRACE})
        parents = [span["parent"] for span in spans]
        ids = [span["span"] for span in spans]
        self.assertEqual(parents, [ids[1], ids[2], PARENT])
        self.assertEqual(starts[0].trace, f"{TRACE}-{ids[0]}")


class LimitTest(unittest.TestCase):
    def test_body_limit_allows_the_largest_payload(self):
        """Guards against a body limit that rejects an allowed payload."""
        self.assertGreater(httpapi.MAX_BODY_BYTES, (1 << 20) * 4 / 3 + 4096)
