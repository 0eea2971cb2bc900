"""HTTP calls for requests: issue ids, run, query, cancel."""

from concurrent import futures
import re
import threading

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import events
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import resources
from persimmonpath import router as router_module
from persimmonpath_daemon import bodies
from persimmonpath_daemon import instrumentation
from persimmonpath_daemon import replies

# Upper bound on the total time of the calls between entry VMs, each of which
# has a deadline of its own.
WAIT_LIMIT_S = 10.0
# Outcome label in metrics of a rejected call.
REFUSED = "refused"

_ID_PATTERN = r"([^/:]+)"


class RequestApi:
    """Handlers of the calls for requests.

    Attributes:
        run_slots: Semaphore that limits the requests that wait for an answer.
    """

    def __init__(
        self,
        entry: entry_module.EntryVm,
        router: router_module.Router,
        instruments: instrumentation.Instruments,
        run_limit: int,
    ):
        """Creates the handlers of an entry VM.

        Args:
            entry: The entry VM.
            router: Its router.
            instruments: Metrics and tracer.
            run_limit: Maximum number of requests that wait for their answers.
                It is less than the number of HTTP threads, so that other calls
                are still served.
        """
        self._entry = entry
        self._router = router
        self._instruments = instruments
        self.run_slots = threading.BoundedSemaphore(run_limit)

    def list_routes(self) -> list[replies.Route]:
        """Returns the routes of these handlers."""
        return [
            replies.Route(
                "issue_ids", "POST", re.compile(r"/v1/ids"), self._issue_ids
            ),
            replies.Route(
                "run", "POST", re.compile(r"/v1/requests"), self._run
            ),
            replies.Route(
                "ask",
                "GET",
                re.compile(rf"/v1/requests/{_ID_PATTERN}"),
                self._ask,
            ),
            replies.Route(
                "cancel",
                "POST",
                re.compile(rf"/v1/requests/{_ID_PATTERN}:cancel"),
                self._cancel,
            ),
        ]

    def _issue_ids(self, call: replies.Call) -> replies.Reply:
        parsed = replies.parse_body(bodies.IdsBody, call.body)
        try:
            ids = self._router.issue_ids(parsed.count).result(WAIT_LIMIT_S)
        except futures.TimeoutError:
            ids = []
        if not ids:
            body = {"outcome": "not_run", "reason": "no_shard_reachable"}
            return replies.Reply(503, body)
        return replies.Reply(200, {"ids": ids})

    def _run(self, call: replies.Call) -> replies.Reply:
        started_at = self._instruments.timers.now()
        try:
            answer, kind, trace_id = self._validate_and_run(call)
        except replies.CallError as error:
            elapsed_s = self._instruments.timers.now() - started_at
            self._instruments.requests.record(elapsed_s, REFUSED)
            self._instruments.reasons.increment(REFUSED, error.code)
            events.log_info(
                "request_refused", error=error.code, field=error.field
            )
            raise
        elapsed_s = self._instruments.timers.now() - started_at
        name = outcomes.get_outcome_name(answer.outcome)
        reason = getattr(answer.outcome, "reason", None)
        self._instruments.requests.record(elapsed_s, name)
        if name != "done":
            self._instruments.reasons.increment(
                name, _limit_reason(name, reason)
            )
        events.log_info(
            "request_answered",
            id=answer.id or None,
            outcome=name,
            reason=reason,
            kind=kind,
            duration_ms=round(elapsed_s * 1000, 3),
            trace=trace_id or None,
        )
        return replies.describe_answer(answer)

    def _validate_and_run(
        self, call: replies.Call
    ) -> tuple[router_module.Answer, str, str]:
        """Returns the answer, the kind of work and the trace id."""
        parsed = replies.parse_body(bodies.RequestBody, call.body)
        if parsed.id:
            check_request_id(self._entry, parsed.id)
        check_size(self._entry, parsed.resources.convert())
        span = self._instruments.tracer.start("caller_call", call.parent)
        try:
            answer = self._run_limited(parsed, span)
        except replies.CallError as error:
            span.end(error.code)
            raise
        span.end(
            outcomes.get_outcome_name(answer.outcome), id=answer.id or None
        )
        return answer, parsed.kind, span.trace_id

    def _run_limited(self, parsed, caller_span) -> router_module.Answer:
        if not self.run_slots.acquire(blocking=False):
            # A request with an id from the caller may run through another VM.
            kind = outcomes.Unknown if parsed.id else outcomes.NotRun
            return router_module.Answer(parsed.id, kind("entry_vm_overloaded"))
        try:
            return self._route(parsed, caller_span)
        finally:
            self.run_slots.release()

    def _route(self, parsed, caller_span) -> router_module.Answer:
        tracer = self._instruments.tracer
        span = tracer.start("route", caller_span.context)
        request = parsed.convert(span.trace)
        try:
            future = self._router.run(parsed.id, request)
            answer = future.result(request.timeout_s + WAIT_LIMIT_S)
        except futures.TimeoutError:
            outcome = outcomes.Unknown("entry_vm_silent")
            answer = router_module.Answer(parsed.id, outcome)
        except errors.InputError as error:
            span.end("refused")
            raise convert_request_error(error) from error
        span.end(outcomes.get_outcome_name(answer.outcome))
        return answer

    def _ask(self, call: replies.Call, request_id: str) -> replies.Reply:
        del call
        return self._query(request_id, False)

    def _cancel(self, call: replies.Call, request_id: str) -> replies.Reply:
        del call
        return self._query(request_id, True)

    def _query(self, request_id: str, close: bool) -> replies.Reply:
        check_request_id(self._entry, request_id)
        try:
            future = self._router.ask(request_id, close)
            answer = future.result(WAIT_LIMIT_S)
        except futures.TimeoutError:
            outcome = outcomes.Unknown("shard_unreachable")
            answer = router_module.Answer(request_id, outcome)
        except errors.InputError as error:
            raise convert_request_error(error) from error
        return replies.describe_answer(answer)


def _limit_reason(outcome: str, reason: str | None) -> str:
    # The reason of a failed task is free text, which is no metric label.
    return "task" if outcome == "failed" else reason or ""


def convert_request_error(error: errors.InputError) -> replies.CallError:
    """Returns the error reply for an id or request that the owner rejects."""
    if isinstance(error, errors.IdReusedError):
        return replies.CallError(
            409, "id_reused", "id", replies.get_message(error), error.allowed
        )
    if isinstance(error, errors.IdNotIssuedError):
        return replies.CallError(
            400,
            "id_not_issued",
            "id",
            replies.get_message(error),
            error.allowed,
        )
    return replies.convert_input_error(error)


def check_request_id(entry: entry_module.EntryVm, text: str) -> None:
    """Checks that an id is well-formed and that its zone and shard exist.

    Raises:
        replies.CallError: If it is not, or if they do not exist.
    """
    try:
        parsed = identifiers.parse_request_id(text)
    except errors.InputError as error:
        raise replies.convert_input_error(error) from error
    shards = entry.applied.config.inventory.list_shards()
    if not shards or parsed.shard in shards:
        return
    zones = sorted({shard.zone for shard in shards})
    if parsed.shard.zone not in zones:
        raise replies.CallError(
            400,
            "unknown_zone",
            "id",
            f"no availability zone {parsed.shard.zone}",
            "an id of one of the zones " + ", ".join(zones),
        )
    count = sum(shard.zone == parsed.shard.zone for shard in shards)
    raise replies.CallError(
        400,
        "unknown_shard",
        "id",
        f"no shard {parsed.shard}",
        f"an id of one of the shards 0 to {count - 1}",
    )


def check_size(entry: entry_module.EntryVm, size: resources.Resources) -> None:
    """Checks that a size fits the capacity of some VM of the inventory.

    Raises:
        replies.CallError: If it fits no VM.
    """
    capacities = entry.applied.config.inventory.capacities
    if not capacities or any(size.fits_in(c) for c in capacities):
        return
    largest = [
        f"{c.cpu_millis}/{c.memory_mib}/{c.accelerators}"
        for c in sorted(capacities, key=lambda c: -c.cpu_millis)
        if not any(c != other and c.fits_in(other) for other in capacities)
    ]
    raise replies.CallError(
        400,
        "larger_than_any_vm",
        "resources",
        f"no VM has {size.cpu_millis} cpu_millis, {size.memory_mib} memory_mib"
        f" and {size.accelerators} accelerators",
        "cpu_millis/memory_mib/accelerators of at most " + " or ".join(largest),
    )
