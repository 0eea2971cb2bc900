"""Small fakes for the parts of an entry VM."""

import asyncio

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import settings as platform_settings
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import metrics

SERVICE = "ledger"
QUEUE = "slips"


class FakeLog:
    """Keeps events instead of writing them."""

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))

    warn = write

    def list_events(self, event):
        return [fields for name, fields in self.events if name == event]


class FakeStore:
    """Answers each commit with the next of the outcomes given."""

    def __init__(self, outcomes=()):
        self.outcomes = list(outcomes)
        self.commits = []
        self.last_answer = 0.0
        self.last_failure = -1.0
        self.last_soft_failure = -1.0
        self.clock = None

    async def commit(self, part, expect, put, remove=(), timeout_s=1.0):
        self.commits.append((part, expect, put, remove))
        return self.outcomes.pop(0)


def make_queue(**changes):
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
    """A worker that is never called in earnest."""

    def close(self):
        pass


def make_shard(node=None, fence=5, unsettled=None):
    """Returns a shard whose orders are only noted, in `shard.stopped`."""
    shard = shards.Shard(
        node or make_context(), SERVICE, fence, unsettled or {}
    )
    shard.stopped = []
    shard.on_stop = lambda run, reason: shard.stopped.append((run, reason))
    shard.on_worker = lambda worker: None
    shard.listing_requests = []
    shard.on_reborn = shard.listing_requests.append
    shard.is_loaded = True
    shard.lease_until = clock.read_clock() + 100
    shard.hold_until = shard.lease_until
    return shard


def make_registration(worker_id="w1", **changes):
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
    shard.roster.take_registration(make_registration(worker_id, **changes))
    worker = shard.workers[worker_id]
    worker.is_fenced = True
    worker.is_recorded = True
    worker.note_clock(1000.0, clock.read_clock())
    return worker


def make_record(*steps, **changes):
    steps = steps or (submissions.StepSpec(count=2, cpu=1000, memory_mb=100),)
    fields = {
        "queue": QUEUE,
        "service": SERVICE,
        "spec": "spec",
        "steps": list(steps),
    }
    return submissions.SubmissionRecord(**{**fields, **changes})


def start_run(shard, task, worker):
    """Gives a task a run that its worker has confirmed."""
    run = shard.create_run(task, worker)
    run.settled_at = clock.read_clock()
    return run


def run_async(coroutine):
    return asyncio.run(coroutine)
