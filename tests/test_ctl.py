"""Tests of the command `persimmonctl` and the operations behind it."""

import contextlib
import io
import json
import os
import pathlib
import re
import socket
import socketserver
import tempfile
import threading
import unittest
from unittest import mock

from returns import result

from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath_ctl import client as client_module
from persimmonpath_ctl import exitcodes
from persimmonpath_ctl import inventorycommands
from persimmonpath_ctl import jobcommands
from persimmonpath_ctl import main
from persimmonpath_ctl import operations
from tests import inprocessentry


def receive_call(connection):
    """Reads one complete HTTP request, head and body."""
    data = connection.recv(65536)
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        found = re.search(rb"Content-Length: (\d+)", head)
        if end and len(body) >= (int(found[1]) if found else 0):
            return data
        data += connection.recv(65536)


class ReplyDroppingProxy:
    """Forwards calls to an entry VM but drops the replies to some paths.

    A dropped reply closes the connection, as when the entry VM is killed.
    """

    def __init__(self, address, dropped_paths):
        host, _, port = address.partition(":")

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                data = receive_call(self.request)
                with socket.create_connection((host, int(port))) as upstream:
                    upstream.sendall(
                        data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
                    )
                    reply = b""
                    while chunk := upstream.recv(65536):
                        reply += chunk
                if not any(path in data for path in dropped_paths):
                    self.request.sendall(reply)

        self.server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class CommandTestCase(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cell = inprocessentry.InProcessEntry()
        cls.addClassCleanup(cls.cell.stop)

    def run_command(self, *arguments, entry=None):
        """Returns the exit code, standard output and standard error."""
        output, error = io.StringIO(), io.StringIO()
        environment = {"PERSIMMON_ENTRY": entry or self.cell.address}
        with (
            mock.patch("sys.argv", ["persimmonctl", *arguments]),
            mock.patch.dict(os.environ, environment),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(error),
            self.assertRaises(SystemExit) as caught,
        ):
            main.main()
        code = caught.exception.code
        return code or 0, output.getvalue(), error.getvalue()


class ExitCodeTest(CommandTestCase):
    def test_outcomes_have_different_codes(self):
        (used,) = self.cell.call("POST", "/v1/ids", {})[1]["ids"]
        self.run_command("submit", "first", "--id", used)
        for expected, arguments in (
            (exitcodes.DONE, ("submit", "x")),
            (exitcodes.FAILED, ("submit", '{"fails": true}')),
            (exitcodes.BAD_INPUT, ("submit", "--cpu-millis", "0")),
            (exitcodes.BAD_INPUT, ("submit", "--no-such-option")),
            (exitcodes.BAD_INPUT, ("status", "zone-x.0.1.1")),
            (exitcodes.BAD_INPUT, ("job", "show", "none")),
            (exitcodes.BAD_INPUT, ("inventory", "drain", "none")),
            (exitcodes.CONFLICT, ("submit", "second", "--id", used)),
            (exitcodes.UNKNOWN, ("status", "zone-b.0.1.1")),
        ):
            with self.subTest(arguments=arguments):
                code, _, error = self.run_command(*arguments)
                self.assertEqual(code, expected, error)

    def test_unreachable_entry_vm_is_not_run_only_for_a_new_id(self):
        """Guards against `not_run` for an id that an earlier call ran."""
        unused_address = "127.0.0.1:1"
        code, _, _ = self.run_command("submit", "x", entry=unused_address)
        self.assertEqual(code, exitcodes.NOT_RUN)
        for arguments in (
            ("submit", "x", "--id", "zone-a.0.1.1"),
            ("status", "zone-a.0.1.1"),
            ("cancel", "zone-a.0.1.1"),
        ):
            code, _, _ = self.run_command(*arguments, entry=unused_address)
            self.assertEqual(code, exitcodes.UNKNOWN)

    def test_json_is_the_reply_of_the_entry_vm(self):
        _, text, _ = self.run_command("submit", "hello", "--json")
        body = json.loads(text)
        self.assertEqual(operations.decode_answer(body), b"HELLO")


class RetryTest(CommandTestCase):
    def test_broken_request_is_retried_with_the_same_id(self):
        """Guards against a second run through another entry VM."""
        entry = ReplyDroppingProxy(self.cell.address, [b"POST /v1/requests "])
        self.addCleanup(entry.stop)
        runs = len(self.cell.worker.runs)
        code, text, _ = self.run_command(
            "submit", "once", entry=f"{entry.address},{self.cell.address}"
        )
        self.assertEqual(code, exitcodes.DONE, text)
        self.assertEqual(len(self.cell.worker.runs), runs + 1)

    def test_lost_answer_without_another_entry_vm_is_unknown(self):
        entry = ReplyDroppingProxy(self.cell.address, [b"POST /v1/requests "])
        self.addCleanup(entry.stop)
        code, text, _ = self.run_command(
            "submit", "x", "--json", entry=entry.address
        )
        self.assertEqual(code, exitcodes.UNKNOWN)
        status, _, _ = self.run_command("status", json.loads(text)["id"])
        self.assertEqual(status, exitcodes.DONE)

    def test_configuration_change_is_not_retried(self):
        entry = ReplyDroppingProxy(self.cell.address, [b"POST /v1/config "])
        self.addCleanup(entry.stop)
        before = self.cell.entry.applied.config.version
        code, _, _ = self.run_command(
            "inventory",
            "drain",
            "worker-1",
            entry=f"{entry.address},{self.cell.address}",
        )
        self.addCleanup(
            self.run_command, "inventory", "undrain", "worker-1", "--wait-s=0"
        )
        self.assertEqual(code, exitcodes.UNKNOWN)
        self.assertEqual(self.cell.entry.applied.config.version, before + 1)


class AnswerTest(unittest.TestCase):
    def answer(self, **fields):
        body = {
            "id": "zone-a.0.1.1",
            "outcome": "done",
            "answer": "aGk=",
            "length": 2,
            "checksum": "2b4e4cbb9e8e1f95",
            **fields,
        }
        client = mock.Mock()
        client.call.return_value = result.Success(
            client_module.Reply(200, body)
        )
        return operations.query_request(client, "zone-a.0.1.1").unwrap().body

    def test_damaged_or_mismatched_answer_is_unknown(self):
        for fields, reason in (
            ({"length": 3}, "answer_damaged"),
            ({"checksum": "0"}, "answer_damaged"),
            ({"answer": "%"}, "answer_damaged"),
            ({"id": "zone-a.0.1.2"}, "answer_for_another_request"),
        ):
            body = self.answer(**fields)
            self.assertEqual(
                (body["outcome"], body["reason"]), ("unknown", reason)
            )


class WaitTest(unittest.TestCase):
    def wait(self, states, timeout_s=100.0):
        client = mock.Mock()
        client.call.side_effect = [
            result.Success(
                client_module.Reply(200, {"state": state, "tasks": []})
            )
            if state
            else result.Failure(errors.PeerError("gone", True))
            for state in states
        ]
        reporter = jobcommands.ProgressReporter("job-1")
        error = io.StringIO()
        with contextlib.redirect_stderr(error):
            reply = operations.wait_job(
                client, "job-1", timeout_s, reporter.report, lambda _: None
            )
        return reply, error.getvalue()

    def test_wait_continues_after_a_lost_answer(self):
        reply, _ = self.wait(["accepted", None, "done"])
        self.assertEqual(reply.unwrap().body["state"], "done")

    def test_long_wait_shows_progress_and_a_short_one_does_not(self):
        self.assertEqual(self.wait(["accepted"] * 3 + ["done"])[1], "")
        _, text = self.wait(["accepted"] * 25 + ["done"])
        self.assertEqual(text.count("waiting for job-1"), 2)

    def test_wait_ends_at_its_timeout(self):
        reply, _ = self.wait(["accepted"] * 3, timeout_s=1.0)
        self.assertEqual(reply.unwrap().body["state"], "accepted")


class InventoryTest(unittest.TestCase):
    def create(self, **fields):
        worker = {**inprocessentry.WORKER, "shard": 1, **fields}
        zone = {"name": "zone-a", "shards": 2}
        return inventory.validate_inventory(
            {"zones": [zone], "workers": [worker]}
        )

    def test_import_keeps_the_shard_and_draining_state_of_a_vm(self):
        """Guards against two shards that place work on the same worker."""
        current = self.create(draining=True)
        header = ",".join(inprocessentry.WORKER)
        row = ",".join(str(value) for value in inprocessentry.WORKER.values())
        new = inventorycommands.parse_register(f"{header}\n{row}", True, None)
        merged = inventorycommands.merge_assignments(new, current, True)
        self.assertEqual(merged, current)

    def test_shards_of_a_toml_register_are_not_overridden(self):
        with self.assertRaises(errors.InputError):
            inventorycommands.parse_register("", False, 2)


class RulesTest(CommandTestCase):
    def test_check_rejects_unknown_zones_and_changes_nothing(self):
        version = self.cell.entry.applied.config.version
        for content, expected in (
            ("[policy]\nqueue_limit = 5\n", exitcodes.DONE),
            ("[policy]\nqueue_limit = 0\n", exitcodes.BAD_INPUT),
            ('[[placement]]\nzones = ["zone-x"]\n', exitcodes.BAD_INPUT),
        ):
            with tempfile.TemporaryDirectory() as directory:
                path = pathlib.Path(directory, "rules.toml")
                path.write_text(content)
                code, _, _ = self.run_command("rules", "check", str(path))
            self.assertEqual(code, expected)
        self.assertEqual(self.cell.entry.applied.config.version, version)

    def test_apply_on_an_old_version_is_a_conflict(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "rules.toml")
            path.write_text("[policy]\nqueue_limit = 5\n")
            code, _, _ = self.run_command(
                "rules", "apply", str(path), "--based-on", "0"
            )
        self.assertEqual(code, exitcodes.CONFLICT)
