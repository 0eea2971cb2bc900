"""An entry VM in this process, with its HTTP API, on an in-memory table."""

import contextlib
import json
import threading

from returns import result
import urllib3

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import groupcommit
from persimmonpath import inventory
from persimmonpath import memoryworkers
from persimmonpath import peers
from persimmonpath import resources
from persimmonpath import router as router_module
from persimmonpath import rules
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath_daemon import httpapi
from persimmonpath_daemon import httpserver
from persimmonpath_daemon import instrumentation
from scripts import ports
from tests.standins import worker as worker_standin

WORKER = {
    "name": "worker-1",
    "zone": "zone-a",
    "rack": "rack-1",
    "host": "127.0.0.1",
    "port": 9000,
    "cpu_millis": 4000,
    "memory_mib": 8192,
}
INVENTORY = {
    "zones": [{"name": "zone-a"}, {"name": "zone-b"}],
    "workers": [WORKER],
}


class FaultyTable(tables.MemoryTable):
    """An in-memory table.

    Attributes:
        fault: Error of every commit, None while commits work.
    """

    fault = None

    def commit(self, checks, writes):
        if self.fault is not None:
            return result.Failure(self.fault)
        return super().commit(checks, writes)


class UnreachablePeers(peers.Peers):
    """Peers whose calls all fail without effect."""

    def _fail(self, *_):
        future = peers.Reply()
        future.set_result(result.Failure(errors.PeerError("none", False)))
        return future

    run = ask = issue_ids = probe = fetch_config = notify_job = _fail
    offer_shard = _fail


class InProcessEntry:
    """An entry VM with one worker that serves the HTTP API.

    Attributes:
        timers: Timers of the entry VM and of the worker.
        table: The table; its `fault` makes commits fail.
        instruments: Metrics and traces.
        worker: The worker.
        entry: The entry VM.
        address: Host and port of the HTTP API.
        application: WSGI application of the HTTP API.
        server: HTTP server of the application.
        pool: Connection pool of `call`.
    """

    def __init__(self, traces=False, threads=16, run_limit=8):
        self.timers = timers.create_real_timers(lambda error: None)
        self.table = FaultyTable()
        self.instruments = instrumentation.create_instruments(
            traces, self.timers
        )
        self.worker = memoryworkers.MemoryWorker(
            "worker-1",
            resources.Resources(4000, 8192, 0),
            8,
            self.timers,
            worker_standin.plan_from_payload,
        )
        self.entry = self._create_entry()
        self.import_inventory()
        self.timers.subscribe(
            groupcommit.COMMIT_PERIOD_S, self.entry.job_store.flush
        )
        port = ports.reserve_ports(1)[0]
        self.address = f"127.0.0.1:{port}"
        self.application = httpapi.Application(
            self.entry,
            router_module.create_router(self.entry, seed=1),
            self.instruments,
            run_limit,
        )
        self.server = httpserver.create_server(
            self.application, "127.0.0.1", port, threads, timeout_s=0.3
        )
        self.server.shutdown_timeout = 0.2
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.pool = urllib3.PoolManager()

    def _create_entry(self):
        surroundings = entry_module.Surroundings(
            timers=self.timers,
            table=self.table,
            peers=UnreachablePeers(),
            create_client=lambda _: instrumentation.InstrumentedWorker(
                self.worker, self.instruments
            ),
            repeat=lambda period_s, action: self.timers.call_later(0, action),
        )
        identity = entry_module.create_identity(
            "entry-1", "zone-a", "127.0.0.1:1", "127.0.0.1:2"
        )
        return entry_module.EntryVm(identity, surroundings)

    def import_inventory(self):
        """Commits INVENTORY and makes the entry VM own its shard."""
        content = inventory.validate_inventory(INVENTORY)
        self.entry.renew_session()
        self.entry.commit_config(0, "test", content, rules.Rules()).unwrap()
        self.entry.renew_session()
        self.entry.refresh_directory()
        assert self.entry.list_owned(), "the entry VM owns no shard"

    def call(self, method, path, body=None, headers=None):
        """Makes an HTTP call; returns the status and the parsed body."""
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        reply = self.pool.request(
            method,
            f"http://{self.address}{path}",
            body=body,
            headers=headers or {},
            retries=False,
            timeout=10,
        )
        is_json = reply.headers["Content-Type"] == "application/json"
        return reply.status, json.loads(reply.data) if is_json else reply.data

    @contextlib.contextmanager
    def occupy_run_slot(self):
        """Occupies one of the slots for requests that wait for an outcome."""
        self.application.requests.run_slots.acquire()
        try:
            yield
        finally:
            self.application.requests.run_slots.release()

    def stop(self):
        """Stops server and timers."""
        self.pool.clear()
        self.server.stop()
        self.timers.stop()
