"""Fuzzing of every decoder: unreadable input is an outcome, never an error."""

import json
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.platform import machines
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import settings
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.platform import workers
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import metrics
from tests.entry import fakes

EXAMPLES = 200
NESTED = b"[" * 100_000
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)
SUBMISSION = {
    "spec": "s",
    "steps": [{"count": 2, "cpu": 100, "memMb": 100, "after": []}],
    "runCount": 3,
    "intervalMs": 5,
}
REGISTRATION = {
    "service": fakes.SERVICE,
    "address": "127.0.0.1:9",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32000, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 1,
}
LISTING = {
    "clockMs": 5.0,
    "born": 1,
    "running": [["aa.0.0.0", 1, "", 100, 5]],
    "ended": [[1, "aa.0.0.1", 1, "done", ""]],
}
ROWS = {
    "rows": [
        {"table": "t", "part": "p", "key": "k", "value": "e30=", "ver": 1}
    ],
    "ver": 5,
    "nowMs": 7,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {"name": "q", "hostname": "h", "pathPrefix": "/q/", "service": "s"}
    ],
    "services": [{"name": "s"}],
}
WAVE = {"wave": 1, "machines": ["m"], "durationS": 3.0, "maxCount": 1}


def mutate(message):
    """Returns bodies: random bytes, random JSON, and one field replaced."""
    replaced = strategies.tuples(
        strategies.sampled_from(sorted(message)), VALUES
    ).map(lambda change: json.dumps({**message, change[0]: change[1]}).encode())
    return (
        strategies.just(NESTED)
        | strategies.binary(max_size=40)
        | VALUES.map(lambda value: json.dumps(value).encode())
        | replaced
    )


def fuzz(strategy):
    """Decorates a test that is run on derandomized examples."""
    run = hypothesis.settings(
        derandomize=True, max_examples=EXAMPLES, deadline=None
    )
    return lambda test: run(hypothesis.given(strategy)(test))


class MessageTest(unittest.TestCase):
    @fuzz(mutate(SUBMISSION))
    def test_submission(self, body):
        found = messages.decode_submission(body, fakes.make_queue(), 1)
        self.assertIsInstance(found, (str, submissions.SubmissionRecord))

    @fuzz(mutate(REGISTRATION))
    def test_registration(self, body):
        found = messages.decode_registration("w1", body)
        self.assertIsInstance(found, (str, messages.Registration))

    @fuzz(mutate(CONFIGURATION))
    def test_configuration(self, body):
        messages.decode_configuration(body)

    @fuzz(mutate(WAVE))
    def test_maintenance_wave(self, body):
        messages.decode_maintenance_wave(body)

    @fuzz(strategies.binary(max_size=60))
    def test_refusal_of_a_machine_call(self, body):
        self.assertIsInstance(machines._decode_reason(body), str)

    def test_a_schedule_that_opens_too_much_at_once_is_rejected(self):
        """A billion due occurrences would use up the memory of the owner."""
        body = json.dumps({**SUBMISSION, "runCount": 10**9}).encode()
        found = messages.decode_submission(body, fakes.make_queue(), 1)
        self.assertIn("occurrences", found)

    def test_an_address_that_can_t_be_called_names_no_worker(self):
        """Connecting to it raised an error that ended the reader of the table.

        The reader then started again from the same row.
        """
        for address in ("h:99999", "h:\u00b2", "h:0", ":9", "h:"):
            with self.subTest(address):
                body = json.dumps({**REGISTRATION, "address": address})
                found = messages.decode_registration("w1", body.encode())
                self.assertIsInstance(found, str)


class ScriptedClient:
    """Answers each call with the same response."""

    def __init__(self, response):
        self.response = response

    async def call(self, *arguments, **options):
        return self.response


class AnswerTest(unittest.TestCase):
    """An unreadable answer of the store or a worker is none at all."""

    def make_store(self, status, body):
        store = platform_store.StoreClient("127.0.0.1:9", metrics.Metrics())
        store._client = ScriptedClient(httpclient.Response(status, body))
        return store

    @fuzz(mutate(ROWS))
    def test_transaction(self, body):
        for status in (200, 412):
            store = self.make_store(status, body)
            found = fakes.run_async(store.commit("p", [], []))
            self.assertIsInstance(
                found,
                (
                    platform_store.Committed,
                    platform_store.Conflict,
                    platform_store.Unknown,
                ),
            )

    @fuzz(mutate(ROWS))
    def test_read(self, body):
        store = self.make_store(200, body)
        found = fakes.run_async(store.read_row("t", "p", "k"))
        self.assertIsInstance(
            found, (platform_store.Rows, platform_store.Refused)
        )

    @fuzz(mutate(LISTING))
    def test_listing_and_command(self, body):
        client = workers.WorkerClient("127.0.0.1:9", "w1")
        for status in (200, 409, 500):
            response = httpclient.Response(status, body)
            client._listing_client = ScriptedClient(response)
            client._command_client = ScriptedClient(response)
            fakes.run_async(client.list_tasks(1, 0, None, 0, 1.0))
            fakes.run_async(client.stop("aa.0.0.0", 1, 1, 1.0))


class RowTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_unreadable_registration_hides_no_other(self):
        """A nested row ended the reader, which began anew at the same row."""
        shard = fakes.make_shard()
        maintenance = shardmaintenance.ShardMaintenance(shard, None)
        for key, value in (("bad", NESTED), ("w1", REGISTRATION)):
            if not isinstance(value, bytes):
                value = msgspec.json.encode(value)
            maintenance._apply_worker_row(
                platform_store.Row("servers", "", key, value, 3)
            )
        self.assertEqual(list(shard.workers), ["w1"])


class SettingsTest(unittest.TestCase):
    @fuzz(strategies.text(max_size=60))
    def test_settings(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            self.assertIsInstance(settings.load_settings(file.name), list)
