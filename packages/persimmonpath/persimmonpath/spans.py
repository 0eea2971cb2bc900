"""Tracing: one trace id per request from caller to worker, a span per hop."""

from collections.abc import Callable
import dataclasses
import re
import secrets

from persimmonpath import events

_TRACEPARENT = re.compile(
    r"^(?!ff)(?P<version>[0-9a-f]{2})-(?P<trace>[0-9a-f]{32})"
    r"-(?P<span>[0-9a-f]{16})-[0-9a-f]{2}(?P<more>-.*)?$"
)
_CONTEXT = re.compile(r"^(?P<trace>[0-9a-f]{32})-(?P<span>[0-9a-f]{16})$")

TRACE_BYTES = 16
SPAN_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Trace context that a hop propagates to the next one.

    Attributes:
        trace: Id of the trace, 32 hexadecimal digits.
        span: Id of the calling span, 16 hexadecimal digits.
    """

    trace: str
    span: str

    def __str__(self) -> str:
        return f"{self.trace}-{self.span}"


def parse_traceparent(text: str) -> Context | None:
    """Parses a W3C `traceparent` header; returns None if it is invalid."""
    match = _TRACEPARENT.match(text.strip())
    if match is None or (match["version"] == "00" and match["more"]):
        return None
    return _create_context(match)


def parse_context(text: str) -> Context | None:
    """Parses the form `trace-span`; returns None if it is invalid."""
    match = _CONTEXT.match(text)
    return _create_context(match) if match else None


def _create_context(match: re.Match) -> Context | None:
    if set(match["trace"]) == {"0"} or set(match["span"]) == {"0"}:
        return None
    return Context(match["trace"], match["span"])


class Span:
    """The span of one hop in a trace."""

    def __init__(
        self,
        name: str,
        context: Context | None,
        parent: str,
        now: Callable[[], float],
        emit: Callable[..., None] | None,
    ):
        """Starts a span; `Tracer.start` calls this.

        Args:
            name: Name of the hop.
            context: Context for the next hop; None for no trace.
            parent: Id of the calling span; empty for none.
            now: Returns monotonic seconds.
            emit: Called with the event and fields of the finished span; None
                to write nothing.
        """
        self._name = name
        self._context = context
        self._parent = parent
        self._now = now
        self._emit = emit
        self._started_at = now()

    @property
    def context(self) -> Context | None:
        """Returns the context for the next hop, None for no trace."""
        return self._context

    @property
    def trace(self) -> str:
        """Returns the context for the next hop as text, empty for none."""
        return str(self._context) if self._context else ""

    @property
    def trace_id(self) -> str:
        """Returns the id of the trace, empty for none."""
        return self._context.trace if self._context else ""

    def end(self, outcome: str, **fields) -> None:
        """Ends the span and writes it to the log.

        Args:
            outcome: Outcome of the hop.
            **fields: Further fields of the log line.
        """
        if self._emit is None or self._context is None:
            return
        self._emit(
            "span",
            name=self._name,
            trace=self._context.trace,
            span=self._context.span,
            parent=self._parent or None,
            duration_ms=round((self._now() - self._started_at) * 1000, 3),
            outcome=outcome,
            **fields,
        )


class Tracer:
    """Starts spans.

    A disabled tracer propagates the caller's context unchanged, so that a trace
    continues through entry VMs that write no spans.
    """

    def __init__(
        self,
        enabled: bool,
        now: Callable[[], float],
        emit: Callable[..., None] = events.log_info,
    ):
        """Creates a tracer.

        Args:
            enabled: Whether spans are written.
            now: Returns monotonic seconds.
            emit: Called with the name and the fields of an event.
        """
        self._enabled = enabled
        self._now = now
        self._emit = emit

    def start(self, name: str, parent: Context | None) -> Span:
        """Starts a span under a parent, or a new trace if there is none."""
        if not self._enabled:
            return Span(name, parent, "", self._now, None)
        trace = parent.trace if parent else secrets.token_hex(TRACE_BYTES)
        context = Context(trace, secrets.token_hex(SPAN_BYTES))
        parent_id = parent.span if parent else ""
        return Span(name, context, parent_id, self._now, self._emit)


def create_tracer(enabled: bool, now: Callable[[], float]) -> Tracer:
    """Returns a tracer that writes spans as log lines.

    Args:
        enabled: Whether spans are written.
        now: Returns monotonic seconds.
    """
    return Tracer(enabled, now)
