"""Fakes and factories for unit tests of the entry VM."""

import asyncio

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import settings as platform_settings
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import metrics

SERVICE = "ledger"
QUEUE = "slips"


class FakeLog:
    """A log that keeps its events in `events`."""

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        """Keeps an event."""
        self.events.append((event, fields))

    warn = write

    def list_events(self, event):
        """Returns the fields of all events of a name."""
        return [fields for name, fields in self.events if name == event]


class FakeStore:
    """A store that returns the given outcomes to commits, in order.

    A read of one row returns `row`, by default that there is none.
    """

    def __init__(self, outcomes=()):
        self.outcomes = list(outcomes)
        self.commits = []
        self.last_answer = 0.0
        self.last_failure = -1.0
        self.last_soft_failure = -1.0
        self.unanswered_since = None
        self.clock = None
        self.row = platform_store.Rows([], 1)

    async def read_row(self, table, part, key):
        """Returns the result set in `row`."""
        return self.row

    def is_quiet(self):
        """Returns that no call is unanswered."""
        return False

    async def commit(self, part, expect, put, remove=(), timeout_s=1.0):
        """Keeps the transaction and returns the next outcome."""
        self.commits.append((part, expect, put, remove))
        return self.outcomes.pop(0)


class VersionedStore(FakeStore):
    """A store that keeps rows and checks the versions that are expected.

    Attributes:
      rows: version and value by table, partition and key.
      version: the newest version.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 10

    def choose_timeout(self):
        """Returns the seconds for a call."""
        return 1.0

    async def commit(self, part, expect, put, remove=(), timeout_s=1.0):
        """Applies a transaction if its expectations hold."""
        await asyncio.sleep(0)
        return self.apply(part, expect, put, remove)

    def apply(self, part, expect, put, remove=()):
        """Applies a transaction at once; see `commit`."""
        found = [(t, k, *self.find(t, part, k)) for t, k, _ in expect]
        if any(
            row[2] != version
            for row, (*_, version) in zip(found, expect, strict=True)
        ):
            return platform_store.Conflict(
                [platform_store.Row(t, part, k, v, n) for t, k, n, v in found]
            )
        self.version += 1
        for table, key, value in put:
            self.rows[table, part, key] = (self.version, value)
        for table, key in remove:
            self.rows.pop((table, part, key), None)
        return platform_store.Committed(self.version)

    def find(self, table, part, key):
        """Returns version and value of a row, 0 and empty if there is none."""
        return self.rows.get((table, part, key), (0, b""))

    async def read_row(self, table, part, key):
        """Returns one row."""
        version, value = self.find(table, part, key)
        rows = [platform_store.Row(table, part, key, value, version)]
        return platform_store.Rows(rows if version else [], self.version)

    async def read_all(self, table, part):
        """Returns the rows of a partition."""
        found = [
            platform_store.Row(table, part, key[2], value, version)
            for key, (version, value) in sorted(self.rows.items())
            if key[:2] == (table, part)
        ]
        return platform_store.Rows(found, self.version)


def make_queue(**changes):
    """Returns a queue with some fields changed."""
    fields = {
        "name": QUEUE,
        "host": "leaf.example",
        "prefix": "/slips/",
        "service": SERVICE,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 1.5,
        "target_latency_ms": 300.0,
        "timeout_ms": 3000.0,
        "advice": None,
    }
    return configuration.Queue(**{**fields, **changes})


def make_context(store=None, queues=None):
    """Returns the context of an entry VM with a configuration."""
    settings = platform_settings.Settings(
        node_name="vm-1", ip="127.0.0.1", zone="z1", internal_ports=[7000, 7001]
    )
    node = context.Context(
        settings, store or FakeStore(), FakeLog(), metrics.Metrics()
    )
    node.configuration = configuration.Configuration(
        7,
        queues or [make_queue()],
        [configuration.Service(SERVICE, False)],
        262144,
    )
    return node


class FakeClient:
    """A worker client that supports only `close`."""

    def close(self):
        """Does nothing."""


def make_shard(node=None, fence=5, unsettled=None):
    """Returns a loaded shard with a lease and without workers.

    Its stop commands are kept in `stopped` and its requests for a listing
    of a restarted worker in `listing_requests`.
    """
    shard = shards.Shard(
        node or make_context(), SERVICE, fence, unsettled or {}
    )
    shard.stopped = []
    shard.stop_run = lambda run, reason: shard.stopped.append((run, reason))
    shard.on_worker_added = lambda worker: None
    shard.listing_requests = []
    shard.on_worker_restarted = shard.listing_requests.append
    shard.is_loaded = True
    shard.has_read_workers = True
    shard.lease_until = clock.read_clock() + 100
    shard.extend_leases_until = shard.lease_until
    return shard


def make_registration(worker_id="w1", **changes):
    """Returns a worker's registration with some fields changed."""
    fields = {
        "worker_id": worker_id,
        "service": SERVICE,
        "address": "127.0.0.1:9",
        "zone": "z1",
        "is_draining": False,
        "remaining_ms": 0.0,
        "cpu": 16000,
        "memory_mb": 32000,
        "gpu": 0,
        "labels": ("a", "r1"),
        "rack": "r1",
        "machine": "",
        "born": 1,
    }
    return messages.Registration(**{**fields, **changes})


def add_worker(shard, worker_id="w1", **changes):
    """Adds a usable worker to a shard and returns it."""
    shard.worker_registry.apply_registration(
        make_registration(worker_id, **changes)
    )
    worker = shard.workers[worker_id]
    worker.is_fenced = True
    worker.is_recorded = True
    worker.record_clock(1000.0, clock.read_clock())
    return worker


def make_record(*steps, **changes):
    """Returns a submission's record, by default with one step of two tasks."""
    steps = steps or (submissions.StepSpec(count=2, cpu=1000, memory_mb=100),)
    fields = {
        "queue": QUEUE,
        "service": SERVICE,
        "spec": "spec",
        "steps": list(steps),
    }
    return submissions.SubmissionRecord(**{**fields, **changes})


def start_run(shard, task, worker):
    """Creates a run of a task that the worker has confirmed."""
    run = shard.create_run(task, worker)
    run.confirmed_at = clock.read_clock()
    return run


def run_async(coroutine):
    """Runs a coroutine in a new event loop and returns its result."""
    return asyncio.run(coroutine)
