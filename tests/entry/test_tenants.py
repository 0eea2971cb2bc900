"""Tenants: decoding, API keys and whose submissions a key reaches."""

import json
import unittest

import msgspec

from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import clientapi
from persimmonpath_entry.engine import connectivity
from persimmonpath_entry.engine import operatorfeed
from persimmonpath_entry.engine import views
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import httpserver
from tests.entry import fakes

ID = "5c0e7a21d94b36f8"
ROUTE = {
    "name": fakes.QUEUE,
    "hostname": "leaf.example",
    "pathPrefix": "/slips/",
    "service": fakes.SERVICE,
}
TENANTS = [
    {
        "name": "north",
        "apiKeys": ["key-n1", "key-n2"],
        "weight": 16,
        "maxCount": {"cpu": 5000, "memMb": 0, "gpu": 4},
    },
    {"name": "south", "apiKeys": ["key-s1"], "weight": 2},
]


def encode_configuration(version=7, tenants=TENANTS, **route):
    """Returns an encoded configuration; without tenants if they are None."""
    table = {
        "version": version,
        "routes": [{**ROUTE, **route}],
        "services": [{"name": fakes.SERVICE}],
    }
    if tenants is not None:
        table["tenants"] = tenants
    return json.dumps(table).encode()


def decode(**changes):
    """Decodes a configuration that must be readable."""
    decoded = messages.decode_configuration(encode_configuration(**changes))
    assert not isinstance(decoded, str), decoded
    return decoded


class DecodingTest(unittest.TestCase):
    def test_tenants_have_weight_and_limit(self):
        """Guards against a limit of 0 that is taken for a limit."""
        north = decode().tenants["north"]
        self.assertEqual(north.weight, 16)
        self.assertEqual(
            (north.limit.cpu, north.limit.memory_mb, north.limit.gpu),
            (5000, None, 4),
        )
        self.assertTrue(decode().tenants["south"].limit.is_unlimited)

    def test_keys_lead_to_their_tenant(self):
        """Guards against a key that leads to another tenant."""
        found = decode()
        for key, name in (("key-n2", "north"), ("key-s1", "south")):
            self.assertEqual(found.find_tenant(key).name, name)
        self.assertIsNone(found.find_tenant("key-x"))

    def test_a_faulty_field_stops_nothing(self):
        """Guards against a version that one odd tenant keeps from applying."""
        good = TENANTS[1]
        for row, field in (
            (5, "tenants[0]"),
            ({"apiKeys": ["secret"]}, "tenants[0].name"),
            ({"name": "a", "weight": 0}, "tenants[0].weight"),
            ({"name": "a", "weight": "much"}, "tenants[0].weight"),
            ({"name": "a", "apiKeys": "secret"}, "tenants[0].apiKeys"),
            ({"name": "a", "apiKeys": [7]}, "tenants[0].apiKeys[0]"),
            ({"name": "a", "maxCount": 3}, "tenants[0].maxCount"),
            ({"name": "a", "maxCount": {"cpu": -1}}, "tenants[0].maxCount.cpu"),
            (
                {"name": "a", "apiKeys": ["key-s1"]},
                "tenants[1].apiKeys[0]",
            ),
            ({"name": "south"}, "tenants[1].name"),
            ({"name": "a", "weight": 10**400}, "tenants[0].weight"),
        ):
            with self.subTest(field=field, row=row):
                found = decode(tenants=[row, good])
                self.assertIn("south", found.tenants)
                self.assertEqual(len(found.problems), 1)
                self.assertTrue(found.problems[0].startswith(field + ":"))
                self.assertNotIn("secret", found.problems[0])

    def test_a_field_that_is_no_list_is_reported(self):
        """Guards against a configuration that is dropped as a whole."""
        found = decode(tenants={"north": 1})
        self.assertEqual(found.tenants, {})
        self.assertFalse(found.queues[fakes.QUEUE].allows_anonymous)

    def test_an_empty_table_is_reported(self):
        """Guards against queues that ask for keys of nobody, unseen."""
        self.assertEqual(len(decode(tenants={}).problems), 1)

    def test_a_fraction_is_no_missing_limit(self):
        """Guards against half an accelerator that is read as no limit."""
        row = {"name": "a", "maxCount": {"gpu": 0.5}}
        self.assertEqual(decode(tenants=[row]).tenants["a"].limit.gpu, 1)

    def test_without_tenants_no_key_is_asked_for(self):
        """Guards against a change for deployments without tenants."""
        found = decode(tenants=None)
        self.assertTrue(found.queues[fakes.QUEUE].allows_anonymous)


class FakeAcceptance:
    """Records what is to be stored."""

    def __init__(self):
        self.records = []

    unknown_ids = ()

    def may_be_stored(self, submission_id):
        return submission_id in self.unknown_ids

    async def store(self, submission_id, record, deadline):
        self.records.append(record)
        return acceptance.AcceptanceResult(acceptance.Outcome.REPEATED)


class FakeViews:
    """Knows one submission of the tenant north."""

    async def find_view(self, service, submission_id):
        return views.SubmissionView(submissions.ACTIVE, True, "north")


class FakeReach:
    """A VM that reaches the store."""

    reach = connectivity.Reach.STORE

    def can_use_store(self):
        return True


class FakeOwnership:
    """No service has an expected wait."""

    def find_wait(self, service, priority):
        return 0.0

    def find_tenant_waits(self, service):
        return None


class CancelledRowStore(fakes.FakeStore):
    """Holds one submission of the tenant north."""

    def __init__(self):
        super().__init__()
        self.writes = 0

    async def read_row(self, table, part, key):
        record = submissions.SubmissionRecord(
            fakes.QUEUE, fakes.SERVICE, "s", [], tenant="north"
        )
        row = platform_store.Row(
            table, part, key, msgspec.json.encode(record), 4
        )
        return platform_store.Rows([row], 4)

    async def commit(self, *args, **kwargs):
        self.writes += 1
        return platform_store.Refused(503)


class ApiKeyTest(unittest.IsolatedAsyncioTestCase):
    def make_api(self, store=None, **changes):
        node = fakes.make_context(store)
        node.configuration = decode(**changes)
        self.node = node
        self.accepted = FakeAcceptance()
        return clientapi.ClientApi(
            node,
            self.accepted,
            FakeOwnership(),
            None,
            FakeReach(),
            FakeViews(),
        )

    async def call(self, api, key=None, method="GET"):
        headers = {"host": "leaf.example"}
        if key is not None:
            headers["authorization"] = f"Token {key}"
        body = b'{"spec":"s","steps":[{"count":1,"estimatedMs":5}]}'
        response = await api.handle(
            httpserver.Request(method, f"/slips/{ID}", headers, body)
        )
        return response.status

    async def test_calls_need_a_valid_key(self):
        """Guards against a call that runs with a key that never existed."""
        api = self.make_api()
        for key in (None, "", "key-x", "key-n1x"):
            for method in ("POST", "GET", "DELETE"):
                with self.subTest(key=key, method=method):
                    self.assertEqual(await self.call(api, key, method), 401)
        self.assertEqual(self.accepted.records, [])
        self.assertEqual(await self.call(api, "key-n1"), 200)

    async def test_a_revoked_key_is_refused_at_once(self):
        """Guards against a key that works on after the newer version."""
        api = self.make_api()
        self.node.configuration = decode(version=8, tenants=TENANTS[1:])
        self.assertEqual(await self.call(api, "key-n1"), 401)

    async def test_an_open_queue_needs_no_key(self):
        """Guards against callers of open queues that are turned away."""
        api = self.make_api(allowAnonymous=True)
        self.assertEqual(await self.call(api, None, "POST"), 200)
        self.assertEqual(await self.call(api, "key-s1", "POST"), 200)
        self.assertEqual(
            [record.tenant for record in self.accepted.records], ["", "south"]
        )

    async def test_strict_revocation_holds_on_open_queues(self):
        """Guards against a revoked key that opens its tenant's submissions."""
        api = self.make_api(allowAnonymous=True)
        self.node.settings.bounds = msgspec.structs.replace(
            self.node.settings.bounds, strict_revoke=True
        )
        self.node.configuration_confirmed_at = clock.read_clock() - 60
        self.assertEqual(await self.call(api, "key-n1"), 503)
        self.assertEqual(await self.call(api, None, "POST"), 200)

    async def test_a_key_reaches_only_its_own_submissions(self):
        """Guards against a tenant that reads another one's submission."""
        api = self.make_api()
        self.assertEqual(await self.call(api, "key-n2"), 200)
        self.assertEqual(await self.call(api, "key-s1"), 410)

    async def test_no_refusal_while_a_write_has_no_answer(self):
        """Guards against a 429 for a submission that is stored later."""
        api = self.make_api()
        self.accepted.unknown_ids = (ID,)
        self.assertTrue(await api.checks.may_be_stored(ID))

    async def test_no_key_is_logged(self):
        """Guards against keys that leak by logs or metrics."""
        api = self.make_api()
        await self.call(api, "key-x-secret")
        await self.call(api, "key-n1", "POST")
        written = str(vars(self.node.log)) + self.node.metrics.render().decode()
        self.assertNotIn("key-", written)

    async def test_strict_revocation_refuses_rather_than_guesses(self):
        """Guards against a VM that trusts keys it can't check any more."""
        api = self.make_api()
        bounds = self.node.settings.bounds
        self.node.settings.bounds = msgspec.structs.replace(
            bounds, strict_revoke=True, revoke_ms=5000
        )
        self.node.configuration_confirmed_at = clock.read_clock() - 4
        self.assertEqual(await self.call(api, "key-n1"), 200)
        self.node.configuration_confirmed_at = clock.read_clock() - 6
        self.assertEqual(await self.call(api, "key-n1"), 503)

    async def test_another_tenant_cannot_cancel(self):
        """Guards against a tenant that cancels another one's submission."""
        store = CancelledRowStore()
        api = self.make_api(store)
        self.assertEqual(await self.call(api, "key-s1", "DELETE"), 410)
        self.assertEqual(store.writes, 0)


class FakePeers:
    """Peers of which each gives the same answer."""

    def __init__(self, answer):
        self.answer = answer
        self.targets = []

    def list_reachable_peers(self):
        return ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]

    async def call(self, address, method, target, timeout_s):
        self.targets.append(target)
        if self.answer is None:
            return httpclient.NoResponse(sent=True, reason="timeout")
        return httpclient.Response(200, msgspec.json.encode(self.answer))


class PeerConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """A VM that the store refuses learns of a revocation from its peers."""

    async def ask(self, answer, version=7):
        node = fakes.make_context()
        node.configuration = decode(version=version)
        peers = FakePeers(answer)
        feed = operatorfeed.OperatorFeed(node, peers)
        await feed._ask_peers(clock.read_clock())
        self.assertEqual(len(peers.targets), 2)
        return node

    async def test_a_newer_version_is_applied(self):
        """Guards against keys that work until the store answers again."""
        newer = encode_configuration(9, tenants=TENANTS[1:])
        node = await self.ask(operatorfeed.PeerConfiguration(0.5, newer))
        self.assertEqual(node.configuration.version, 9)
        age_s = clock.read_clock() - node.configuration_confirmed_at
        self.assertAlmostEqual(age_s, 0.5, delta=0.3)

    async def test_an_older_or_odd_answer_changes_nothing(self):
        """Guards against a revocation that is undone by a peer."""
        older = encode_configuration(3)
        for answer in (
            operatorfeed.PeerConfiguration(0.5, older),
            operatorfeed.PeerConfiguration(0.5, b"{"),
            {"age_s": "x"},
            None,
        ):
            with self.subTest(answer=answer):
                node = await self.ask(answer)
                self.assertEqual(node.configuration.version, 7)
                self.assertEqual(node.configuration_confirmed_at, 0.0)

    async def test_an_unreadable_version_confirms_nothing(self):
        """Guards against keys revoked by a version that can't be read."""
        node = fakes.make_context()
        feed = operatorfeed.OperatorFeed(node)
        feed.apply_configuration(encode_configuration(9))
        feed.apply_configuration(b"{")
        feed._confirm(clock.read_clock())
        self.assertEqual(node.configuration_confirmed_at, 0.0)
        feed.apply_configuration(encode_configuration(10))
        feed._confirm(clock.read_clock())
        self.assertGreater(node.configuration_confirmed_at, 0.0)

    async def test_what_a_vm_tells_its_peers(self):
        """Guards against an old VM that confirms a newer configuration."""
        node = fakes.make_context()
        operatorfeed.OperatorFeed(node).apply_configuration(
            encode_configuration(9)
        )
        describe = operatorfeed.describe_configuration
        self.assertEqual(describe(node, 8).value, encode_configuration(9))
        self.assertEqual(describe(node, 9).value, b"")
        self.assertIsNone(describe(node, 10))
