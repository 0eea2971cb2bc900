"""Metrics and trace spans of calls to workers, peers and the platform."""

from concurrent import futures
import dataclasses

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import metrics
from persimmonpath import outcomes
from persimmonpath import peers
from persimmonpath import spans
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath import workers


class Instruments:
    """Metrics and tracer of a process.

    Attributes:
        registry: Registry of all metrics.
        tracer: Starts spans.
        timers: Clock that durations are measured with.
        http_calls: Count of HTTP calls by route and status.
        requests: Durations of requests in seconds by outcome.
        reasons: Count of requests that were not done, by outcome and reason.
        calls: Durations of outgoing calls in seconds by callee, call and
            outcome.
    """

    def __init__(
        self,
        registry: metrics.Registry,
        tracer: spans.Tracer,
        timer_service: timers.TimerService,
    ):
        """Registers the metrics of a process."""
        self.registry = registry
        self.tracer = tracer
        self.timers = timer_service
        self.http_calls = registry.add_counter(
            "persimmonpath_http_calls",
            "calls of callers and operators",
            "route",
            "status",
        )
        self.requests = registry.add_latency(
            "persimmonpath_request_seconds",
            "from a request's arrival to its answer",
            "outcome",
        )
        self.reasons = registry.add_counter(
            "persimmonpath_requests_not_done",
            "requests that were not done",
            "outcome",
            "reason",
        )
        self.calls = registry.add_latency(
            "persimmonpath_call_seconds",
            "calls to workers, other entry VMs and the platform",
            "callee",
            "call",
            "outcome",
        )

    def record_when_done(
        self,
        callee: str,
        call: str,
        future: futures.Future,
        span: spans.Span | None = None,
    ) -> futures.Future:
        """Records the duration of a call once its future is done.

        Args:
            callee: `worker` or `peer`.
            call: Name of the call.
            future: Future of the reply.
            span: Span that ends with the call; None for none.

        Returns:
            The same future.
        """
        started_at = self.timers.now()

        def record(done: futures.Future) -> None:
            outcome = get_reply_outcome(done)
            elapsed_s = self.timers.now() - started_at
            self.calls.record(elapsed_s, callee, call, outcome)
            if span is not None:
                span.end(outcome)

        future.add_done_callback(record)
        return future


def get_reply_outcome(done: futures.Future) -> str:
    """Returns the outcome label of a finished call, for metrics and spans."""
    if done.cancelled() or done.exception() is not None:
        return "broken"
    reply = done.result()
    if isinstance(reply, result.Failure):
        error = reply.failure()
        return getattr(error, "reason", "") or type(error).__name__
    value = reply.unwrap()
    if type(value) in outcomes.OUTCOME_NAMES:
        return outcomes.get_outcome_name(value)
    return "ok"


def add_entry_gauges(
    registry: metrics.Registry, entry: entry_module.EntryVm
) -> None:
    """Registers gauges that read the state of an entry VM."""

    def count_free() -> int:
        return sum(o.fleet.count_free_slots() for o in entry.list_owned())

    for name, text, read in (
        ("owned_shards", "shards owned here", lambda: len(entry.list_owned())),
        ("requests_in_flight", "requests not final", entry.count_in_flight),
        ("free_slots", "free slots of the workers of owned shards", count_free),
        (
            "config_version",
            "version of the configuration in force here",
            lambda: entry.applied.config.version,
        ),
        ("ready", "1 when callers may be sent here", entry.is_ready),
    ):
        registry.add_gauge(f"persimmonpath_{name}", text, read)


def _replace_trace(
    start: workers.StartTask, span: spans.Span
) -> workers.StartTask:
    return dataclasses.replace(start, trace=span.trace)


class InstrumentedWorker(workers.WorkerClient):
    """Worker client that records every call; starts are traced as spans."""

    def __init__(self, inner: workers.WorkerClient, instruments: Instruments):
        """Wraps a client."""
        self._inner = inner
        self._instruments = instruments

    def fence(self, epoch, owner, lease_s, timeout_s):
        """Sets the owner of the worker and lists its attempts."""
        reply = self._inner.fence(epoch, owner, lease_s, timeout_s)
        return self._record_when_done("fence", reply)

    def renew(self, epoch, lease_s, acknowledged, timeout_s):
        """Extends the lease of the owner."""
        reply = self._inner.renew(epoch, lease_s, acknowledged, timeout_s)
        return self._record_when_done("renew", reply)

    def start(self, start, wait, timeout_s):
        """Starts an attempt."""
        parent = spans.parse_context(start.trace)
        span = self._instruments.tracer.start("worker_call", parent)
        start = _replace_trace(start, span)
        reply = self._inner.start(start, wait, timeout_s)
        return self._record_when_done("run" if wait else "start", reply, span)

    def close(self, attempt, epoch, timeout_s):
        """Prevents an attempt that has not started from starting."""
        return self._record_when_done(
            "close", self._inner.close(attempt, epoch, timeout_s)
        )

    def inspect(self, attempt, timeout_s):
        """Returns the record of an attempt."""
        return self._record_when_done(
            "inspect", self._inner.inspect(attempt, timeout_s)
        )

    def control(self, attempt, action, epoch, timeout_s):
        """Applies an action to a running attempt."""
        reply = self._inner.control(attempt, action, epoch, timeout_s)
        return self._record_when_done("control", reply)

    def disconnect(self):
        """Closes all idle connections."""
        self._inner.disconnect()

    def _record_when_done(self, call, reply, span=None):
        return self._instruments.record_when_done("worker", call, reply, span)


class InstrumentedPeers(peers.Peers):
    """Peer client that records every call; `run` is traced as a span."""

    def __init__(self, inner: peers.Peers, instruments: Instruments):
        """Wraps a client."""
        self._inner = inner
        self._instruments = instruments

    def run(self, address, request_id, request):
        """Runs a request at the owner of its shard."""
        parent = spans.parse_context(request.trace)
        span = self._instruments.tracer.start("peer_call", parent)
        request = dataclasses.replace(request, trace=span.trace)
        reply = self._inner.run(address, request_id, request)
        return self._instruments.record_when_done("peer", "run", reply, span)

    def ask(self, address, request_id, close, digest=""):
        """Queries the owner of a shard for the outcome of a request."""
        reply = self._inner.ask(address, request_id, close, digest)
        return self._record_when_done("ask", reply)

    def issue_ids(self, address, shard, count):
        """Requests new request ids from the owner of a shard."""
        reply = self._inner.issue_ids(address, shard, count)
        return self._record_when_done("issue_ids", reply)

    def probe(self, address):
        """Fetches the state of an entry VM."""
        return self._record_when_done("probe", self._inner.probe(address))

    def fetch_config(self, address):
        """Fetches the configuration that an entry VM applies."""
        return self._record_when_done(
            "fetch_config", self._inner.fetch_config(address)
        )

    def offer_shard(self, address, shard):
        """Offers a released shard to an entry VM of its zone."""
        reply = self._inner.offer_shard(address, shard)
        return self._record_when_done("offer_shard", reply)

    def notify_job(self, address, shard, job_id):
        """Notifies the owner of a shard of a new or changed job."""
        reply = self._inner.notify_job(address, shard, job_id)
        return self._record_when_done("notify_job", reply)

    def _record_when_done(self, call, reply):
        return self._instruments.record_when_done("peer", call, reply)


class InstrumentedTable(tables.Table):
    """Table client that records every call to the table service."""

    def __init__(self, inner: tables.Table, instruments: Instruments):
        """Wraps a table."""
        self._inner = inner
        self._instruments = instruments

    def get(self, key):
        """Reads a row."""
        return self._record("get", lambda: self._inner.get(key))

    def scan(self, prefix):
        """Reads all rows with a prefix."""
        return self._record("scan", lambda: self._inner.scan(prefix))

    def commit(self, checks, writes):
        """Applies all writes atomically if all checks hold."""
        return self._record(
            "commit", lambda: self._inner.commit(checks, writes)
        )

    def _record(self, call, call_table):
        started_at = self._instruments.timers.now()
        reply = call_table()
        elapsed_s = self._instruments.timers.now() - started_at
        outcome = "ok"
        if isinstance(reply, result.Failure):
            outcome = type(reply.failure()).__name__
        self._instruments.calls.record(elapsed_s, "platform", call, outcome)
        return reply


def create_instruments(
    traces: bool, timer_service: timers.TimerService
) -> Instruments:
    """Returns the metrics and the tracer of a process.

    Args:
        traces: Whether spans are logged.
        timer_service: Clock that durations are measured with.
    """
    return Instruments(
        metrics.create_registry(),
        spans.create_tracer(traces, timer_service.now),
        timer_service,
    )
