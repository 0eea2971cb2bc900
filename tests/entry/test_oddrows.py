"""Tests of every reader of rows that others write, with one odd row among them.

A reader that ended at such a row began again at the same one, for good, and
missed all the others.
"""

import asyncio
import json
import unittest

from persimmonpath_entry.engine import machinemaintenance
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import operatorfeed
from persimmonpath_entry.engine import ownerdirectory
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import progressrows
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.engine import taskscheduler
from persimmonpath_entry.platform import machines
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import metrics
from tests.entry import fakes
from tests.entry import test_decoders
from tests.entry import test_machinemaintenance

ID = "00000000000000aa"
DEPTH = 100_000
NESTED = "[" * DEPTH
LARGE_NUMBERS = ("1" + "0" * 400, "-1" + "0" * 400, "1e400", "1" + "0" * 5000)
BAD_PORTS = ("70000", "0", "-1", "\u00b2", "x", "", "9" * 30)
BAD_HOSTS = ("", "a b", "a\r\nb", "h\u00e4", "\u0000")


def list_odd_values(good, address_field=""):
    """Returns rows that are like a good one but for one odd part.

    Args:
      good: the content of a good row.
      address_field: name of the field that holds an address, or empty.
    """
    text = json.dumps(good)
    values = [b"", b"\xff\xfe", b"null", b"[]", text[:-1].encode()]
    values += [NESTED.encode(), b'{"a":' * DEPTH]
    for field in good:
        for part in (*LARGE_NUMBERS, NESTED, '{"a":' * DEPTH):
            values.append(replace_field(good, field, part))
        for part in (None, True, -1, 0.5, "\u0000", [], {}, [None], "x" * 300):
            values.append(replace_field(good, field, json.dumps(part)))
        rest = {name: good[name] for name in good if name != field}
        values.append(json.dumps(rest).encode())
    if address_field:
        addresses = [f"127.0.0.1:{port}" for port in BAD_PORTS]
        addresses += [f"{host}:80" for host in BAD_HOSTS] + ["127.0.0.1"]
        values += [
            replace_field(good, address_field, json.dumps(address))
            for address in addresses
        ]
    return values


def replace_field(good, field, text):
    """Returns a row with the JSON text of one field replaced."""
    rest = json.dumps({**good, field: "@"})
    return rest.replace('"@"', text, 1).encode("utf-8", "surrogatepass")


class RowsStore(fakes.FakeStore):
    """Returns the same rows to each read, and as the first changes.

    Attributes:
      rows: the rows of all tables.
      followed: whether the changes have been read.
    """

    def __init__(self, rows=()):
        super().__init__()
        self.rows = list(rows)
        self.followed = False

    def find(self, table, part, key=None):
        found = [
            row
            for row in self.rows
            if (row.table, row.part) == (table, part) and key in (None, row.key)
        ]
        return platform_store.Rows(found, 9)

    async def read_all(self, table, part):
        return self.find(table, part)

    async def read_row(self, table, part, key):
        return self.find(table, part, key)

    async def follow(self, table, after, wait_s):
        if self.followed:
            await asyncio.Future()
        self.followed = True
        found = [row for row in self.rows if row.table == table]
        return platform_store.Rows(found, 10)


def make_rows(table, part, values):
    """Returns a row for each value, in the order of their keys."""
    return [
        platform_store.Row(table, part, f"{number:016x}", value, number + 1)
        for number, value in enumerate(values)
    ]


async def run_reader(reader):
    """Runs a reader that doesn't end; its errors are those of the test."""
    task = asyncio.create_task(reader())
    for _ in range(10):
        await asyncio.sleep(0)
    if task.done():
        task.result()
    task.cancel()


class WorkerRowTest(unittest.IsolatedAsyncioTestCase):
    """The table of the workers, read by the owner of a service."""

    GOOD = {
        **test_decoders.REGISTRATION,
        "sequence": 3,
        "remainingMs": 5,
        "coldRemainingMs": 0,
        "machine": "m1",
        "version": "3",
        "slots": 8,
    }

    def list_values(self):
        values = list_odd_values(self.GOOD, "address")
        for resource in self.GOOD["capacity"]:
            for number in (*LARGE_NUMBERS, "-1", NESTED):
                capacity = replace_field(
                    self.GOOD["capacity"], resource, number
                ).decode()
                values.append(replace_field(self.GOOD, "capacity", capacity))
        return values

    async def read(self, values, is_followed):
        good = json.dumps(self.GOOD).encode()
        rows = make_rows("servers", "", [good, *values, good])
        store = RowsStore(rows)
        shard = fakes.make_shard(fakes.make_context(store))
        maintenance = shardmaintenance.ShardMaintenance(shard, None)
        if is_followed:
            store.rows = []
            await run_reader(maintenance.follow_workers)
            store.rows, store.followed = rows, False
            shardmaintenance.WORKER_POLL_S, poll_s = (
                0.0,
                shardmaintenance.WORKER_POLL_S,
            )
            self.addCleanup(setattr, shardmaintenance, "WORKER_POLL_S", poll_s)
        await run_reader(maintenance.follow_workers)
        return shard, rows

    async def test_the_others_are_read(self):
        for is_followed in (False, True):
            shard, rows = await self.read(self.list_values(), is_followed)
            self.assertIn(rows[0].key, shard.workers)
            self.assertIn(rows[-1].key, shard.workers)
            self.assertEqual(shard.node.log.list_events("row_broken"), [])

    async def test_what_was_read_can_be_used(self):
        """A number that was let in broke each scheduling pass."""
        shard, rows = await self.read(self.list_values(), False)
        shard.apply_submission(ID, fakes.make_record())
        for worker in shard.workers.values():
            worker.is_fenced = worker.is_recorded = True
            worker.record_clock(1000.0, clock.read_clock())
        commands = FakeCommands()
        scheduler = taskscheduler.TaskScheduler(shard, commands, commands, None)
        scheduler._run_pass(clock.read_clock())
        self.assertEqual(shard.node.log.list_events("step_broken"), [])
        self.assertEqual(len(commands.started), 2)
        ownerrows.encode_workers(ownerrows.build_workers(shard))

    async def test_ids_that_can_t_be_sent_name_no_worker(self):
        """The id stands in a header of each call."""
        value = json.dumps(self.GOOD).encode()
        shard, _ = await self.read([value], False)
        maintenance = shardmaintenance.ShardMaintenance(shard, None)
        for key in ("a\r\nX: y", "w\u00e4", "", "\u0000", "a b"):
            row = platform_store.Row("servers", "", key, value, 3)
            maintenance._apply_worker_row(row)
            self.assertNotIn(key, shard.workers)

    async def test_a_good_entry_that_turns_odd_is_used_no_longer(self):
        shard, rows = await self.read([], False)
        maintenance = shardmaintenance.ShardMaintenance(shard, None)
        odd = platform_store.Row("servers", "", rows[0].key, NESTED.encode(), 9)
        maintenance._apply_worker_row(odd)
        self.assertFalse(shard.workers[rows[0].key].is_listed)
        self.assertTrue(shard.workers[rows[1].key].is_listed)


class FakeCommands:
    """Keeps the runs that are started."""

    def __init__(self):
        self.started = []

    def start(self, run, ticket):
        self.started.append(run)

    def resume_polling(self, worker):
        pass


class MemberRowTest(unittest.IsolatedAsyncioTestCase):
    """The table of the VMs."""

    GOOD = {"address": "127.0.0.1:7", "zone": "z", "boot": "b", "weight": 1.0}

    async def test_the_others_are_read_and_can_be_called(self):
        good = json.dumps(self.GOOD).encode()
        values = [good, *list_odd_values(self.GOOD, "address"), good]
        rows = make_rows("vm", "", values)
        peers = members.Members(fakes.make_context(RowsStore(rows)))
        self.assertTrue(await peers._refresh())
        zones = peers.list_peer_zones()
        self.assertIn(rows[0].key, zones)
        self.assertIn(rows[-1].key, zones)
        addresses = set(peers.list_reachable_peers())
        addresses.update(peers.list_probe_targets(50, 0))
        self.assertTrue(addresses)
        for address in addresses:
            await peers.call(address, "GET", "/", timeout_s=0.01)
        self.assertGreater(sum(peers.list_reachable_weights().values()), 0)


class OwnerRowTest(unittest.IsolatedAsyncioTestCase):
    """The rows of the owner of a service, read by those that may replace it."""

    OWNER = {
        "owner": "vm-2",
        "boot": "x",
        "address": "127.0.0.1:7",
        "sequence": 3,
        "horizon": 5,
        "renewed_ms": 5,
        "waits": {"1": 2.0},
    }
    WORKERS = {
        "workers": ["w1"],
        "unresponsive": {"w1": [f"{ID}.0.0.0"]},
        "lease_ends": {"w1": 5},
    }

    def make_directory(self, rows):
        node = fakes.make_context(RowsStore(rows))
        node.configuration = configuration.Configuration(
            7,
            [],
            [configuration.Service(name, False) for name in ("odd", "good")],
            1,
        )
        node.store.clock = platform_store.StoreClock(9.0, 0.0, 0.0)
        peers = members.Members(node)
        return ownerdirectory.OwnerDirectory(node, peers)

    async def test_the_owners_of_other_services_are_read(self):
        """A service with an odd row is taken over once every lease is over."""
        good = json.dumps(self.OWNER).encode()
        for value in list_odd_values(self.OWNER, "address"):
            rows = [
                platform_store.Row("owner", part, "owner", content, 7)
                for part, content in (("odd", value), ("good", good))
            ]
            directory = self.make_directory(rows)
            self.assertTrue(await directory.refresh())
            self.assertEqual(directory.find_owner("good"), "127.0.0.1:7")
            observed = directory.observed_owners["odd"]
            self.assertEqual(observed.version, 7)
            directory.find_wait("odd", 1)
            self.watch(directory)
            ends = directory.bound_lease_ends(
                observed.record, ownerrows.WorkersRecord(["w1"]), observed
            )
            self.assertGreater(ends["w1"], 0.0)
            observed.renewed_at -= 100.0
            directory._current_since -= 100.0
            self.assertTrue(await directory.may_take_over(observed))

    def watch(self, directory):
        """Has an ownership watch all owners and pass their addresses on."""
        ownership = owners.Ownership(
            directory._node, directory._peers, FakeAdvisor()
        )
        ownership._directory = directory
        ownership._watch_owners()
        ownership._choose_pause()
        ownership._yield_services()
        for watcher in ownership._watchers.values():
            watcher.stop()
        for address in ownership.list_owners():
            httpclient.HttpClient(address)

    async def test_an_odd_workers_row_holds_a_takeover_up_no_longer(self):
        """Any task may run somewhere until every lease has ended."""
        for value in list_odd_values(self.WORKERS):
            row = platform_store.Row(
                "owner_workers", "odd", "workers", value, 7
            )
            directory = self.make_directory([row])
            workers = await directory.read_workers("odd")
            observed = ownerdirectory.ObservedOwner(
                ownerrows.OwnerRecord(owner="vm-2"), 7, clock.read_clock()
            )
            ends = directory.bound_lease_ends(
                observed.record, workers, observed
            )
            if workers.workers == [ownerdirectory.ANY_WORKER]:
                self.assertEqual(list(ends), [ownerdirectory.ANY_WORKER])
        shard = fakes.make_shard(unsettled=ends)
        shard.apply_submission(ID, fakes.make_record())
        task = shard.submissions[ID].find_task("0.0.0")
        self.assertTrue(shard.may_run_elsewhere(task))


class FakeAdvisor:
    """Is never asked."""


class SubmissionRowTest(unittest.IsolatedAsyncioTestCase):
    """The rows of submissions and of their progress."""

    RECORD = {
        "queue": fakes.QUEUE,
        "service": fakes.SERVICE,
        "spec": "s",
        "steps": [{"count": 2, "cpu": 100}, {"count": 1, "after": [0]}],
        "accepted_ms": 1,
        "start_ms": 1,
        "interval_ms": 1,
        "occurrences": 2,
        "policy": [0, 3, 1.5, 300.0, [1.0, 2.0, 3.0]],
        "cancelled": False,
        "is_tombstone": False,
    }
    PROGRESS = {
        "state": "",
        "done": {"0.0": 1},
        "finished": 1,
        "failures": {"0.0.1": [3]},
        "saved": {"0.0.1": "c"},
        "ended_ms": 0,
    }

    def list_records(self):
        values = list_odd_values(self.RECORD)
        for field in ("count", "cpu", "gpu", "estimated_ms", "target_ms"):
            for number in (*LARGE_NUMBERS, NESTED):
                step = replace_field({"count": 1, field: 0}, field, number)
                steps = b"[%s]" % step
                values.append(
                    replace_field(self.RECORD, "steps", steps.decode())
                )
        for after in ([5], [-1], [0]):
            steps = json.dumps([{"count": 1, "after": after}])
            values.append(replace_field(self.RECORD, "steps", steps))
        return values

    async def load(self, rows, is_followed=False):
        store = RowsStore(rows)
        shard = fakes.make_shard(fakes.make_context(store))
        fakes.add_worker(shard)
        maintenance = shardmaintenance.ShardMaintenance(shard, None)
        if is_followed:
            await run_reader(maintenance.follow_submissions)
        else:
            self.assertTrue(await maintenance.load())
        return shard

    async def test_the_other_submissions_are_read(self):
        good = json.dumps(self.RECORD).encode()
        values = [good, *self.list_records(), good]
        part = persistence.find_partition(ID)
        rows = make_rows(persistence.SUBMISSION_TABLE, part, values)
        for is_followed in (False, True):
            shard = await self.load(rows, is_followed)
            for row in (rows[0], rows[-1]):
                submission = shard.submissions[row.key]
                self.assertTrue(submission.find_task("1.0.1"))

    async def test_the_progress_of_others_is_read(self):
        good = json.dumps(self.PROGRESS).encode()
        values = [good, *list_odd_values(self.PROGRESS), good]
        progress = make_rows(progressrows.PROGRESS_TABLE, fakes.SERVICE, values)
        record = json.dumps(self.RECORD).encode()
        rows = [
            platform_store.Row(
                persistence.SUBMISSION_TABLE,
                persistence.find_partition(row.key),
                row.key,
                record,
                5,
            )
            for row in progress
        ]
        shard = await self.load(rows + progress)
        for row in (progress[0], progress[-1]):
            self.assertTrue(shard.submissions[row.key].is_finished(0))

    async def test_odd_blocks_of_progress(self):
        block = {"failures": {"1.0.1": [3]}, "saved": {"1.0.1": "c"}}
        values = [json.dumps(block).encode(), *list_odd_values(block)]
        rows = [
            platform_store.Row("progress", "", f"{ID}/{n}", value, 5)
            for n, value in enumerate(values)
        ]
        found = progressrows.decode_rows(fakes.make_context(), rows)
        self.assertEqual(found[ID].record.failures["1.0.1"], [3])


class OperatorRowTest(unittest.IsolatedAsyncioTestCase):
    """The operator's table, and the waves that are read there."""

    CONFIGURATION = {
        "version": 9,
        "routes": [
            {"name": "q", "hostname": "h", "pathPrefix": "/", "service": "s"}
        ],
        "services": [{"name": "s"}],
        "limits": {"maxBodyBytes": 5},
    }
    WAVE = {"wave": 1, "machines": ["m"], "durationS": 3.0, "maxCount": 1}

    async def test_the_good_rows_are_read(self):
        odd = list_odd_values(self.CONFIGURATION)
        values = {
            f"wave/{n}": value
            for n, value in enumerate(list_odd_values(self.WAVE))
        }
        values["wave/z"] = json.dumps(self.WAVE).encode()
        values["what\u00e4"] = NESTED.encode()
        rows = [
            platform_store.Row("op", "", key, value, 3)
            for key, value in values.items()
        ]
        rows += [platform_store.Row("op", "", "config", v, 3) for v in odd]
        rows.append(
            platform_store.Row(
                "op",
                "",
                "config",
                json.dumps({**self.CONFIGURATION, "version": 10**9}).encode(),
                4,
            )
        )
        node = fakes.make_context(RowsStore(rows))
        feed = operatorfeed.OperatorFeed(node)
        await run_reader(feed.run)
        self.assertIn("wave/z", feed.waves)
        self.assertEqual(node.configuration.version, 10**9)
        await self.process(node, feed)

    async def process(self, node, feed):
        """Processes all waves and checks that the last one is got to."""
        shard = fakes.make_shard(node)
        rows = [
            machines.MachineRow("m", fakes.SERVICE, machines.UP, "w1"),
        ]
        client = test_machinemaintenance.FakeMachines(rows)
        node.store.outcomes = [platform_store.Committed(9)] * 2000
        maintenance = machinemaintenance.MachineMaintenance(
            node,
            feed,
            test_machinemaintenance.FakeOwnership(shard),
            None,
            client,
        )
        await maintenance._process_waves(feed.waves, shard)
        self.assertIn("wave/z", maintenance._stored)


class StoreAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Values that aren't base64 text, in a response of the store."""

    async def test_the_other_rows_of_the_response_are_read(self):
        body = {
            "rows": [
                {"table": "t", "key": "a", "value": "e30=", "ver": 1},
                {"table": "t", "key": "b", "value": "\u00e4", "ver": 2},
                {"table": "t", "key": "c", "value": "e", "ver": 3},
                {"table": "t", "key": "d", "value": "e30=", "ver": 4},
            ],
            "ver": 5,
        }
        store = platform_store.StoreClient("127.0.0.1:9", metrics.Metrics())
        response = httpclient.Response(200, json.dumps(body).encode())

        async def call(*arguments, **options):
            return response

        store._client.call = call
        found = await store.read_all("t", "")
        self.assertEqual([row.key for row in found.rows], list("abcd"))
        self.assertEqual(found.rows[3].value, b"{}")


class AddressTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_host_that_can_t_be_looked_up_is_no_error(self):
        """The call raised, and kept its place in the pool for good."""
        client = httpclient.HttpClient("x" * 70 + ".example:9", limit=1)
        for _ in range(3):
            outcome = await client.call("GET", "/", timeout_s=0.3)
            self.assertIsInstance(outcome, httpclient.NoResponse)
            self.assertFalse(outcome.sent)
