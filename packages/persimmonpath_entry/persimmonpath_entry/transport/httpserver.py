"""An HTTP/1.1 server with limits for its clients and graceful shutdown."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
import math
import socket

import httptools

from persimmonpath import httplimits

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    414: "URI Too Long",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Retry-After in seconds of clients that are rejected since the port is full.
RETRY_AFTER_S = 1
# A full backlog drops SYN packets, which clients resend only after 1 s.
LISTEN_BACKLOG = 512
# Most connections accepted at once. Three times as many are open before those
# beyond the limit are closed.
ACCEPT_BATCH = 8
# Largest read from a connection.
RECEIVE_BYTES = 65536
# What is parsed at once, so that few requests are queued beyond the limit.
SLICE_BYTES = 4096
# Largest piece of a body to which further bytes are appended.
PIECE_BYTES = 4096
# Most connections with an incomplete request that are read in one pass of the
# event loop, so that others are answered beside them.
READS_PER_PASS = 8
# What a header line has beside its name and its value, at least.
LINE_BYTES = 3
# Most bytes between two requests: empty lines, which clients needn't send.
BLANK_BYTES = 4096
# After a rejection the connection is read for this long, since closing it with
# unread data would discard the response that is under way.
LINGER_S = 1.0
# Interval of the checks for expired connections, and shortest time between two
# reports of rejections, in seconds.
SWEEP_S = 0.25
REPORT_S = 1.0
# Fields that the server needs itself.
FRAMING_FIELDS = (
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "expect",
)
# Stages of a connection's current request.
NONE, HEAD, BODY = range(3)


@dataclasses.dataclass(slots=True)
class Request:
    """A complete HTTP request.

    Attributes:
      method: the HTTP method.
      target: path and query as sent.
      headers: header values by lower-case name.
      body: the whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """The HTTP response that a handler returns.

    Attributes:
      status: the HTTP status.
      body: the body, which is sent as application/json.
      retry_after_s: seconds for the Retry-After header, or None.
    """

    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


def _ignore_rejections(reason: str, count: int):
    """Stands in where nobody counts the rejected clients."""


@functools.cache
def _format_status(status: int) -> bytes:
    """Returns the lines with which all responses of a status begin."""
    phrase = REASON_PHRASES.get(status, "Other")
    head = f"HTTP/1.1 {status} {phrase}\r\nContent-Type: application/json\r\n"
    return head.encode("latin-1")


def _decode_name(name: bytes) -> str:
    return name.decode("latin-1")


class _BodyCallbacks:
    """The callbacks of a parser that gets a body behind a replaced head.

    Requests that follow the body are parsed as usual.
    """

    def __init__(self, connection: "_ServerConnection"):
        self._connection = connection
        self._is_head_replaced = True
        self.on_body = connection.on_body

    def on_message_begin(self):
        if not self._is_head_replaced:
            self._connection.on_message_begin()

    def on_url(self, url: bytes):
        if not self._is_head_replaced:
            self._connection.on_url(url)

    def on_header(self, name: bytes, value: bytes):
        if not self._is_head_replaced:
            self._connection.on_header(name, value)

    def on_headers_complete(self):
        if not self._is_head_replaced:
            self._connection.on_headers_complete()

    def on_message_complete(self):
        if self._is_head_replaced:
            self._is_head_replaced = False
            self._connection.complete_request()
        else:
            self._connection.on_message_complete()


class _ServerConnection(asyncio.BufferedProtocol):
    """An accepted connection; pipelined requests are answered in order."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._limits = server.limits
        self._budget = server.budget
        self._transport: asyncio.Transport | None = None
        # None once all further data is discarded: it keeps what it has received
        # of a header line.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        # Requests with the bytes that the budget counts for them.
        self._queue: collections.deque[tuple[Request, int]] = (
            collections.deque()
        )
        self._task: asyncio.Task | None = None
        # Status and reason with which the parser was stopped.
        self._rejection: tuple[int, str] | None = None
        # Response to a rejection that follows those of earlier requests.
        self._final_response: Response | None = None
        # Received data that isn't parsed while requests are queued.
        self._rest = memoryview(b"")
        # Bytes that the budget counts for the incomplete request.
        self._held = 0
        self._unsent = 0
        self._drained: asyncio.Future | None = None
        self._is_blocked = False
        self._is_reading = True
        # Whether it isn't read until its turn comes.
        self._awaits_turn = False
        # Whether all further data is discarded.
        self._is_discarding = False
        self._is_at_eof = False
        self._is_lost = False
        # Whether no further request is answered.
        self._has_ended = False
        self._is_charged = True
        self._find_field = server.find_field
        self._needs_continue = False
        # Whether the last part contained a piece of a body or ended a request.
        self._has_advanced = False
        self._method = b""
        self._blank_bytes = 0
        self._stage = NONE
        self._stage_since = 0.0
        self._reset_request()

    def _reset_request(self):
        self._target = b""
        self._headers: dict[str, str] = {}
        # The fields of the head, while those of a trailer may follow.
        self._kept: dict[str, str] | None = None
        # Pieces of the body and their bytes. One buffer that grows would leave
        # holes in the heap, which occupied some times the budget.
        self._body: list[bytes | bytearray] = []
        self._body_bytes = 0
        # Bytes of the head by complete lines, and all received in this stage.
        self._head_bytes = 0
        self._raw_bytes = 0
        self._line_count = 0

    # Events of the transport.

    def connection_made(self, transport):
        self._transport = transport
        # The transport buffers at most one response.
        transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._budget.used += httplimits.CONNECTION_BYTES
        self._server.add(self)

    @property
    def address(self) -> str:
        """The client's address without its port."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    def connection_lost(self, exc):
        self._is_lost = True
        self._has_ended = True
        self._release()
        self._server.remove(self)
        self._wake()

    def get_buffer(self, sizehint):
        return self._server.buffer

    def buffer_updated(self, nbytes):
        if self._is_discarding:
            return
        data = self._server.buffer[:nbytes]
        if nbytes > SLICE_BYTES or self._queue:
            self._feed_slices(data)
        else:
            self._feed_all(data)
        if len(self._queue) >= self._limits.queued:
            self._stop_reading()
        elif self._stage != NONE and self._server.has_turns:
            self._stop_reading()
            if not self._awaits_turn:
                self._awaits_turn = True
                self._server.request_turn(self)

    def eof_received(self):
        self._is_at_eof = True
        # Without a request in progress, the transport closes itself.
        return self._task is not None

    def pause_writing(self):
        self._is_blocked = True
        self._unsent = self._transport.get_write_buffer_size()
        self._budget.used += self._unsent
        self._server.unread[self] = self._server.read_clock()
        self._stop_reading()
        if self._budget.is_exceeded:
            self._server.enforce_budget()

    def resume_writing(self):
        self._is_blocked = False
        self._budget.used -= self._unsent
        self._unsent = 0
        self._server.unread.pop(self, None)
        self._wake()
        if self._task is None:
            self._read_on()

    def _wake(self):
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    def _stop_reading(self):
        if self._is_reading and not self._transport.is_closing():
            self._is_reading = False
            self._transport.pause_reading()

    def _read_on(self):
        if not self._is_reading and not self._transport.is_closing():
            self._is_reading = True
            self._transport.resume_reading()

    # Parsing.

    def _feed_slices(self, data: memoryview):
        for start in range(0, len(data), SLICE_BYTES):
            if len(self._queue) >= self._limits.queued:
                rest = data[start:]
                if not data.readonly:
                    # The buffer of the server is used for the next read.
                    rest = memoryview(bytes(rest))
                self._rest = rest
                self._budget.used += len(rest)
                self._server.count("queued")
                return
            self._feed_all(data[start : start + SLICE_BYTES])
            if self._is_discarding:
                return

    def _feed_all(self, data: memoryview):
        """Parses received data and checks what it leaves incomplete."""
        while True:
            self._has_advanced = False
            try:
                self._parser.feed_data(data)
                break
            except httptools.HttpParserUpgrade as error:
                data = data[error.args[0] :]
                if not self._is_discarding:
                    self._replay_without_upgrade()
                if self._is_discarding or not len(data):
                    return
            except (httptools.HttpParserError, ValueError):
                if not self._is_discarding:
                    self._reject(*(self._rejection or (400, "malformed")))
                return
        if self._stage != NONE:
            self._check_incomplete(len(data))
        elif not self._has_advanced:
            self._blank_bytes += len(data)
            if self._blank_bytes > BLANK_BYTES:
                self._reject(400, "blank")

    def _check_incomplete(self, size: int):
        """Checks and counts the incomplete request after a part of `size`."""
        if self._is_discarding:
            return
        # A part without progress belongs to the head as a whole, or to chunk
        # extensions and trailers. The parser keeps the beginning of a line,
        # which no callback has counted yet.
        if not self._has_advanced:
            self._raw_bytes += size
        elif self._stage == BODY:
            self._raw_bytes = 0
        self._check_head()
        if self._raw_bytes > self._limits.head_bytes:
            self._rejection = (431, "head_bytes")
        if self._rejection is not None:
            self._reject(*self._rejection)
            return
        head = max(self._head_bytes + len(self._target), self._raw_bytes, 1)
        held = head + self._body_bytes
        self._budget.used += held - self._held
        self._held = held
        if self not in self._server.receiving:
            self._stage_since = self._server.read_clock()
            self._server.receiving[self] = self._stage_since
        if self._budget.is_exceeded:
            self._server.enforce_budget()

    def _drop_incomplete(self):
        """Forgets the incomplete request and what wasn't parsed."""
        self._budget.used -= self._held + len(self._rest)
        self._held = 0
        self._rest = memoryview(b"")
        self._server.receiving.pop(self, None)
        self._stage = NONE
        self._reset_request()

    def _start_discarding(self):
        """Discards all further data, and what isn't a complete request."""
        self._is_discarding = True
        self._parser = None
        self._drop_incomplete()

    def _drop_queue(self):
        while self._queue:
            self._budget.used -= self._queue.popleft()[1]

    def _release_connection_bytes(self):
        """Gives back what the budget counts for the connection itself."""
        self._budget.used -= self._unsent
        self._unsent = 0
        if self._is_charged:
            self._is_charged = False
            self._budget.used -= httplimits.CONNECTION_BYTES

    def _release(self):
        """Gives back all that the budget counts for the connection."""
        self._release_connection_bytes()
        self._drop_incomplete()
        self._drop_queue()

    def _stop_parser(self, status: int, reason: str):
        """Makes the parser return from a callback with an error."""
        self._rejection = (status, reason)
        raise ValueError(reason)

    def on_message_begin(self):
        self._stage = HEAD

    def on_url(self, url: bytes):
        self._target += url
        if len(self._target) > self._limits.target_bytes:
            self._stop_parser(414, "target")

    def on_header(self, name: bytes, value: bytes):
        self._line_count += 1
        self._head_bytes += len(name) + len(value)
        key = self._find_field(name.lower())
        if key is not None:
            if key == "host" and key in self._headers:
                self._stop_parser(400, "malformed")
            self._headers[key] = value.decode("latin-1")

    def _check_head(self):
        """Notes whether the head and the trailer exceed their limits.

        All that isn't checked before is less than a slice of received data, of
        which the server keeps only the fields that are read.
        """
        limits = self._limits
        count = self._line_count
        size = self._head_bytes + LINE_BYTES * count + len(self._target)
        if size > limits.head_bytes:
            self._rejection = (431, "head_bytes")
        elif count > limits.head_lines:
            self._rejection = (431, "head_lines")

    def on_headers_complete(self):
        self._stage = BODY
        self._raw_bytes = 0
        self._check_head()
        headers = self._headers
        length = headers.get("content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            self._rejection = self._rejection or (413, "body")
        if self._rejection is not None:
            raise ValueError(self._rejection)
        if "expect" in headers:
            self._expect_body(length)
        if "transfer-encoding" in headers:
            # Fields of a trailer aren't used.
            self._kept, self._headers = headers, {}

    def _expect_body(self, length: str | None):
        is_expected = length not in (None, "0") or (
            "transfer-encoding" in self._headers
        )
        if (
            is_expected
            and self._headers["expect"].lower() == "100-continue"
            and self._parser.get_http_version() == "1.1"
        ):
            self._needs_continue = True
            if self._task is None:
                self._send_continue()

    def _send_continue(self):
        self._needs_continue = False
        if not self._transport.is_closing():
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes):
        self._has_advanced = True
        pieces = self._body
        if pieces and len(pieces[-1]) + len(body) <= PIECE_BYTES:
            if type(pieces[-1]) is bytes:
                pieces[-1] = bytearray(pieces[-1])
            pieces[-1] += body
        else:
            pieces.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            self._stop_parser(413, "body")

    def on_message_complete(self):
        parser = self._parser
        self._method = parser.get_method()
        # Otherwise, the body isn't parsed yet.
        if not parser.should_upgrade():
            self.complete_request()

    def complete_request(self):
        """Queues the current request to be handled."""
        if self._kept is not None:
            self._check_head()
            if self._rejection is not None:
                raise ValueError(self._rejection)
            self._headers, self._kept = self._kept, None
        self._has_advanced = True
        self._needs_continue = False
        request = Request(
            self._method.decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        if not self._parser.should_keep_alive():
            request.headers["connection"] = "close"
            self._is_discarding = True
        size = self._head_bytes + len(self._target) + self._body_bytes
        size += httplimits.REQUEST_BYTES
        self._stage = NONE
        budget = self._budget
        if self._held:
            budget.used -= self._held
            self._held = 0
            self._server.receiving.pop(self, None)
        self._blank_bytes = 0
        self._reset_request()
        if self._task is None:
            self._server.waiting.pop(self, None)
        budget.used += size
        if budget.used > budget.total and not self._server.enforce_budget():
            budget.used -= size
            self._is_discarding = False
            self._stop_parser(503, "budget")
        self._queue.append((request, size))
        if self._task is None:
            self._server.busy_connections += 1
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def _replay_without_upgrade(self):
        """Prepares to parse what follows the head of a request with Upgrade.

        The field is ignored and the request answered.
        The parser takes what follows the head of such a request for another
        protocol. A new one gets a head with the same framing instead.
        """
        version = self._parser.get_http_version()
        lines = [f"POST / HTTP/{version}\r\n"]
        headers = self._headers if self._kept is None else self._kept
        for name in ("content-length", "transfer-encoding"):
            if name in headers:
                lines.append(f"{name}: {headers[name]}\r\n")
        options = headers.get("connection", "").lower()
        for option in ("close", "keep-alive"):
            if option in options:
                lines.append(f"connection: {option}\r\n")
        lines.append("\r\n")
        self._parser = httptools.HttpRequestParser(_BodyCallbacks(self))
        self._feed_all(memoryview("".join(lines).encode("latin-1")))

    # Responses.

    async def _serve(self):
        limits = self._limits
        try:
            while self._queue and not self._has_ended:
                request, size = self._queue.popleft()
                try:
                    response = await self._server.handle(request)
                finally:
                    self._budget.used -= size
                closing = request.headers.get("connection") == "close" or (
                    self._server.is_closing
                    and not self._queue
                    and not len(self._rest)
                )
                self._write(response, close=closing)
                if self._is_blocked:
                    await self._wait_until_read()
                if len(self._rest) and len(self._queue) < limits.queued:
                    self._parse_rest()
        finally:
            self._task = None
            self._server.busy_connections -= 1
            if self._has_ended:
                self._drop_queue()
        self._finish_serving()

    async def _wait_until_read(self):
        while self._is_blocked and not self._is_lost:
            self._drained = asyncio.get_running_loop().create_future()
            await self._drained
        self._drained = None

    def _parse_rest(self):
        rest = self._rest
        self._budget.used -= len(rest)
        self._rest = memoryview(b"")
        if not self._is_discarding:
            self._feed_slices(rest)

    def _finish_serving(self):
        """Continues the connection once all requests are answered."""
        if self._has_ended:
            return
        if self._final_response is not None:
            self._write(self._final_response, close=True)
        elif self._is_at_eof:
            self.close()
        else:
            self._server.waiting[self] = self._server.read_clock()
            if self._needs_continue:
                self._send_continue()
            self._read_on()

    def _write(self, response: Response, close: bool):
        if self._has_ended or self._transport.is_closing():
            return
        head = _format_status(response.status)
        if response.retry_after_s is not None:
            head += b"Retry-After: %d\r\n" % response.retry_after_s
        if close:
            head += b"Connection: close\r\n"
        body = response.body
        self._transport.write(
            b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)
        )
        if close:
            self._close_gracefully()

    def _close_gracefully(self):
        """Closes the connection once the client has read the last response.

        Closing it with unread data would discard the response on its way.
        """
        if self._is_at_eof:
            self.close()
            return
        self._has_ended = True
        self._start_discarding()
        self._release_connection_bytes()
        self._server.start_closing(
            self, self._limits.unread_s if self._is_blocked else LINGER_S
        )
        try:
            self._transport.write_eof()
        except OSError:
            # The client has reset the connection.
            self.abort()
            return
        if not self._is_blocked:
            self._read_on()

    def _reject(self, status: int, reason: str):
        """Answers an incomplete or invalid request and ends the connection.

        Responses to earlier requests are sent first.
        """
        self._server.count(reason)
        self._start_discarding()
        retry_after_s = RETRY_AFTER_S if status in (429, 503) else None
        response = Response(status, b"", retry_after_s)
        if self._task is None:
            self._write(response, close=True)
        else:
            self._final_response = response

    # Calls of the server.

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return self._task is None and self._stage == NONE

    @property
    def is_evictable(self) -> bool:
        """Whether it can be closed without losing a complete request."""
        return self._task is None

    def take_turn(self):
        """Reads on after other connections were read."""
        self._awaits_turn = False
        if not self._is_blocked and len(self._queue) < self._limits.queued:
            self._read_on()

    def check_time(self, now: float):
        """Rejects the incomplete request if it took too long."""
        is_waiting = not self._is_reading and not self._awaits_turn
        if self._is_blocked or is_waiting or len(self._rest):
            # The client waits for this server, and not the other way round.
            self._stage_since = now
            return
        elapsed_s = now - self._stage_since
        limits = self._limits
        if self._stage == HEAD and elapsed_s > limits.head_s:
            self._reject(408, "head_time")
        elif self._stage == BODY and elapsed_s > limits.head_s + limits.body_s:
            self._reject(408, "body_time")

    def evict(self, reason: str):
        """Closes the connection for others; answers an incomplete request."""
        if self._stage != NONE:
            self._reject(503, reason)
        else:
            self._server.count(reason)
        if self._task is None:
            self.close()

    def refuse(self, status: int, reason: str):
        """Answers a new connection that isn't served."""
        self._reject(status, reason)

    def close(self):
        """Closes the connection once its responses are sent."""
        self._has_ended = True
        self._start_discarding()
        self._release_connection_bytes()
        self._server.start_closing(self, self._limits.unread_s)
        self._transport.close()

    def abort(self):
        """Closes the connection at once; unsent responses are lost."""
        self._has_ended = True
        self._is_discarding = True
        self._release()
        self._transport.abort()


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Attributes:
      limits: the limits for clients.
      budget: the bytes that all connections occupy.
      buffer: receives the data of the connection that is being read.
      connections: the open connections.
      waiting: connections without a complete request, by the time since when,
        the longest first.
      receiving: connections with an incomplete request, by its beginning, the
        oldest first.
      unread: connections whose responses aren't read, by the time since when.
      busy_connections: number of connections with a request in progress.
      is_closing: whether each response closes its connection.
    """

    def __init__(
        self,
        handler: Handler,
        on_error: Callable[[str], None],
        limits: httplimits.HttpLimits | None = None,
        fields: Iterable[str] | None = None,
        on_rejected: Callable[[str, int], None] = _ignore_rejections,
    ):
        """Creates a server.

        Args:
          handler: answers the requests.
          on_error: receives the text of each exception of the handler.
          limits: the limits for clients, None for the defaults.
          fields: lower-case names of the header fields that the handler reads;
            others are dropped. None keeps all.
          on_rejected: receives a reason and the number of clients that were
            rejected or closed for it, at most once a second for each reason.
        """
        self._handler = handler
        self._on_error = on_error
        self._on_rejected = on_rejected
        self.limits = limits or httplimits.HttpLimits()
        self.budget = httplimits.ByteBudget(self.limits.budget_bytes)
        self.buffer = memoryview(bytearray(RECEIVE_BYTES))
        # Returns the name of a field as text, None if it isn't needed.
        self.find_field: Callable[[bytes], str | None] = _decode_name
        if fields is not None:
            names = {*fields, *FRAMING_FIELDS}
            self.find_field = {name.encode(): name for name in names}.get
        self._listener: asyncio.Server | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self.connections: set[_ServerConnection] = set()
        self.waiting: dict[_ServerConnection, float] = {}
        self.receiving: dict[_ServerConnection, float] = {}
        self.unread: dict[_ServerConnection, float] = {}
        # Connections that are read again once it is their turn.
        self._turns: collections.deque[_ServerConnection] = collections.deque()
        # Connections being closed and when they are aborted.
        self._closing: dict[_ServerConnection, float] = {}
        self._by_address: collections.Counter[str] = collections.Counter()
        self._rejected: collections.Counter[str] = collections.Counter()
        self._reported_at = 0.0
        self.busy_connections = 0
        self.is_closing = False

    async def listen(self, host: str, port: int):
        """Starts to listen on an address.

        Raises:
          OSError: if the address can't be bound.
        """
        self._loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family)
        # Accepted connections inherit these sizes; without them the kernel
        # holds up to some MB for each of those that aren't read.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(
                socket.SOL_SOCKET, option, self.limits.socket_bytes
            )
        # asyncio accepts as many connections at once as its backlog says.
        self._listener = await self._loop.create_server(
            lambda: _ServerConnection(self), sock=listener, backlog=ACCEPT_BATCH
        )
        listener.listen(LISTEN_BACKLOG)
        self._loop.call_later(SWEEP_S, self._sweep)

    async def handle(self, request: Request) -> Response:
        """Returns the handler's response, status 500 if the handler raised."""
        try:
            return await self._handler(request)
        except Exception as error:  # noqa: BLE001
            self._on_error(f"{request.method} {type(error).__name__}: {error}")
            return Response(500)

    def stop_listening(self):
        """Stops accepting connections; open ones stay usable."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self):
        """Closes the connections without a request in progress."""
        for connection in list(self.connections):
            if connection.is_idle and connection not in self._closing:
                connection.close()

    # Calls of the connections.

    def read_clock(self) -> float:
        """Returns the time of the event loop in seconds."""
        return self._loop.time()

    def count(self, reason: str):
        """Counts a client that was rejected or closed."""
        self._rejected[reason] += 1

    def add(self, connection: _ServerConnection):
        """Adds a connection, or refuses it if there is no room for it."""
        limits = self.limits
        most_open = math.ceil(httplimits.CLOSING_FACTOR * limits.connections)
        self.connections.add(connection)
        if limits.address_connections:
            address = connection.address
            self._by_address[address] += 1
            if self._by_address[address] > limits.address_connections:
                connection.refuse(429, "address")
                return
        if len(self.connections) - len(self._closing) > limits.connections:
            self._evict_one("connections")
        if len(self.connections) > most_open:
            self.count("connections")
            connection.abort()
        elif len(self.connections) - len(self._closing) > limits.connections:
            connection.refuse(503, "connections")
        elif self.budget.is_exceeded and not self.enforce_budget():
            connection.refuse(503, "budget")
        else:
            self.waiting[connection] = self.read_clock()

    def remove(self, connection: _ServerConnection):
        """Removes a connection that has ended."""
        self.connections.discard(connection)
        for index in (self.waiting, self.receiving, self.unread, self._closing):
            index.pop(connection, None)
        if self.limits.address_connections:
            address = connection.address
            self._by_address[address] -= 1
            if not self._by_address[address]:
                del self._by_address[address]

    @property
    def has_turns(self) -> bool:
        """Whether connections with an incomplete request are read in turn."""
        return len(self.receiving) > READS_PER_PASS

    def request_turn(self, connection: _ServerConnection):
        """Has a connection read on after those that have asked before."""
        if not self._turns:
            self._loop.call_soon(self._give_turns)
        self._turns.append(connection)

    def _give_turns(self):
        for _ in range(min(READS_PER_PASS, len(self._turns))):
            self._turns.popleft().take_turn()
        if self._turns:
            self._loop.call_soon(self._give_turns)

    def start_closing(self, connection: _ServerConnection, limit_s: float):
        """Has a connection aborted that isn't closed within a time."""
        self.waiting.pop(connection, None)
        self._closing.setdefault(connection, self.read_clock() + limit_s)

    def enforce_budget(self) -> bool:
        """Frees bytes until the budget suffices.

        Incomplete requests go first, the oldest before the others, then
        connections whose responses aren't read, then idle ones. Complete
        requests whose responses can be sent stay.

        Returns:
          Whether the budget suffices now.
        """
        budget = self.budget
        while budget.is_exceeded and self.receiving:
            connection = next(iter(self.receiving))
            del self.receiving[connection]
            connection.evict("budget")
        while budget.is_exceeded and self.unread:
            connection = next(iter(self.unread))
            del self.unread[connection]
            self.count("budget_unread")
            connection.abort()
        while budget.is_exceeded and self.waiting:
            connection = next(iter(self.waiting))
            del self.waiting[connection]
            connection.evict("budget_idle")
        return not budget.is_exceeded

    def _evict_one(self, reason: str):
        """Closes the connection that has had no complete request longest."""
        for index in (self.receiving, self.waiting):
            for connection in index:
                if connection.is_evictable:
                    connection.evict(reason)
                    return

    def _sweep(self):
        """Closes the connections whose time is up, and reports the reasons."""
        if self.connections or self._listener.is_serving():
            self._loop.call_later(SWEEP_S, self._sweep)
        now = self.read_clock()
        for connection in list(self.receiving):
            connection.check_time(now)
        for connection in self._list_older(self.waiting, self.limits.idle_s):
            if connection.is_idle:
                self.count("idle")
                connection.close()
        for connection in self._list_older(self.unread, self.limits.unread_s):
            self.count("unread")
            connection.abort()
        for connection, deadline in list(self._closing.items()):
            if now >= deadline:
                connection.abort()
        if now - self._reported_at >= REPORT_S:
            self._report(now)

    def _list_older(self, index, limit_s: float) -> list[_ServerConnection]:
        oldest = self.read_clock() - limit_s
        found = []
        for connection, since in index.items():
            if since > oldest:
                break
            found.append(connection)
        return found

    def _report(self, now: float):
        self._reported_at = now
        rejected = dict(self._rejected)
        self._rejected.clear()
        for reason, count in rejected.items():
            self._on_rejected(reason, count)
