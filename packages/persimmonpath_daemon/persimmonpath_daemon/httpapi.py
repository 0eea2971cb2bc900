"""HTTP interface for callers and operators, as a WSGI application."""

import json
import urllib.parse

from absl import logging

from persimmonpath import entry as entry_module
from persimmonpath import httplimits
from persimmonpath import router as router_module
from persimmonpath import spans
from persimmonpath_daemon import cellapi
from persimmonpath_daemon import httpserver
from persimmonpath_daemon import instrumentation
from persimmonpath_daemon import jobapi
from persimmonpath_daemon import replies
from persimmonpath_daemon import requestapi

MAX_BODY_BYTES = 4 << 20
# A rejected body up to this size is read and discarded, so that a client that
# is still sending it gets the error reply. For a larger body the connection is
# closed.
MAX_DISCARDED_BYTES = 16 << 20
DISCARD_CHUNK_BYTES = 64 << 10

_METHODS_WITH_BODY = frozenset({"POST", "PUT"})


class Application:
    """WSGI application of an entry VM.

    Attributes:
        requests: Handlers of the calls for requests.
    """

    def __init__(
        self,
        entry: entry_module.EntryVm,
        router: router_module.Router,
        instruments: instrumentation.Instruments,
        run_limit: int = 48,
        body_budget: int = httplimits.HttpLimits().budget_bytes,
    ):
        """Creates the application of an entry VM.

        Args:
            entry: The entry VM.
            router: Its router.
            instruments: Metrics and tracer.
            run_limit: Maximum number of requests that wait for their answers.
            body_budget: Bytes that the bodies of all calls may occupy.
        """
        self._bodies = httplimits.SharedByteBudget(body_budget)
        self._instruments = instruments
        self.requests = requestapi.RequestApi(
            entry, router, instruments, run_limit
        )
        self._routes = [
            *self.requests.list_routes(),
            *jobapi.JobApi(entry).list_routes(),
            *cellapi.CellApi(entry, instruments).list_routes(),
        ]

    def __call__(self, environ, start_response):
        """Handles one WSGI call."""
        name, reply = self._answer(environ)
        self._instruments.http_calls.increment(name, str(reply.status))
        if reply.content_type == replies.JSON:
            body = json.dumps(reply.body).encode()
        else:
            body = reply.body.encode()
        start_response(
            httpserver.format_status(reply.status),
            [
                ("Content-Type", reply.content_type),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _answer(self, environ) -> tuple[str, replies.Reply]:
        name = "none"
        try:
            route, groups = self._find_route(environ)
            name = route.name
            return name, self._handle(environ, route, groups)
        except replies.CallError as error:
            return name, error.reply
        except Exception:
            logging.exception("event=call_failed route=%s", name)
            body = {"error": "internal", "outcome": "unknown"}
            return name, replies.Reply(500, body)

    def _handle(self, environ, route: replies.Route, groups) -> replies.Reply:
        """Handles a call whose body fits the budget."""
        text = environ.get("CONTENT_LENGTH", "")
        size = min(int(text), MAX_BODY_BYTES) if text.isdecimal() else 0
        if not self._bodies.acquire(size):
            httpserver.close_after_reply(environ)
            raise replies.CallError(
                503, "overloaded", "body", "too many bodies are received"
            )
        try:
            return route.handle(_read_call(environ), *groups)
        finally:
            self._bodies.release(size)

    def _find_route(self, environ) -> tuple[replies.Route, tuple]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        allowed = []
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match and route.method == method:
                return route, match.groups()
            if match:
                allowed.append(route.method)
        _discard_body(environ)
        if allowed:
            raise replies.CallError(
                405, "no_such_method", "method", method, ", ".join(allowed)
            )
        raise replies.CallError(404, "no_such_path", "path", path[:200])


def _read_call(environ) -> replies.Call:
    query = environ.get("QUERY_STRING", "")
    return replies.Call(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(urllib.parse.parse_qsl(query, max_num_fields=20)),
        _read_body(environ),
        spans.parse_traceparent(environ.get("HTTP_TRACEPARENT", "")),
    )


def _read_length(environ) -> int:
    text = environ.get("CONTENT_LENGTH", "")
    allowed = f"whole number from 0 to {MAX_BODY_BYTES}"
    if not text and environ["REQUEST_METHOD"] in _METHODS_WITH_BODY:
        raise replies.CallError(
            411, "length_required", "Content-Length", "missing", allowed
        )
    if not (text or "0").isdecimal():
        raise replies.CallError(
            400, "bad_length", "Content-Length", text[:40], allowed
        )
    return int(text or "0")


def _read_body(environ) -> bytes:
    try:
        length = _read_length(environ)
    except replies.CallError:
        # Without a length, the start of the next call is unknown.
        httpserver.close_after_reply(environ)
        raise
    if length > MAX_BODY_BYTES:
        _discard_body(environ)
        raise replies.CallError(
            413,
            "too_large",
            "body",
            f"{length} bytes",
            f"at most {MAX_BODY_BYTES} bytes",
        )
    try:
        body = environ["wsgi.input"].read(length) if length else b""
    except TimeoutError:
        body = b""
    if len(body) != length:
        httpserver.close_after_reply(environ)
        raise replies.CallError(
            408,
            "body_incomplete",
            "Content-Length",
            f"{length} bytes were announced and fewer came",
            "the length of the body",
        )
    return body


def _discard_body(environ) -> None:
    """Discards a body; closes the connection if the body is too large."""
    text = environ.get("CONTENT_LENGTH", "")
    remaining = int(text) if text.isdecimal() else MAX_DISCARDED_BYTES + 1
    if remaining > MAX_DISCARDED_BYTES:
        httpserver.close_after_reply(environ)
        return
    try:
        while remaining > 0:
            chunk = environ["wsgi.input"].read(
                min(remaining, DISCARD_CHUNK_BYTES)
            )
            if not chunk:
                break
            remaining -= len(chunk)
    except TimeoutError:
        httpserver.close_after_reply(environ)
