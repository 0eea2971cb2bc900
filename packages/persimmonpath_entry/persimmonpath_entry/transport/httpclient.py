"""An HTTP/1.1 client with kept connections and a deadline for each call."""

import asyncio
import collections
import dataclasses
import socket

import httptools

from persimmonpath_entry.transport import clock

# A lost opening packet is sent again only after seconds, so a new connection
# that isn't there after this time is tried afresh.
CONNECT_TIMEOUT_S = 0.45
# An idle connection is closed before the other end's usual limit of 15 s.
IDLE_LIMIT_S = 12.0
# An answer that is still arriving is waited for beyond the deadline, unless
# nothing has come for this time.
STALL_TIMEOUT_S = 0.5
# Why a call had no answer: none came within its deadline.
TIMEOUT = "timeout"
# Why a call had no answer: the other end has been away since it was sent.
OVERTAKEN = "overtaken"


@dataclasses.dataclass(slots=True)
class Response:
    """A complete answer.

    Attributes:
      status: the HTTP status.
      body: the whole body.
      retry_after: the Retry-After header in seconds, or None.
    """

    status: int
    body: bytes
    retry_after: str | None = None


@dataclasses.dataclass(slots=True)
class NoResponse:
    """A call without an answer.

    Attributes:
      sent: whether the other end may have read the request.
      reason: what went wrong, as one word.
    """

    sent: bool
    reason: str


Outcome = Response | NoResponse


class _Connection(asyncio.Protocol):
    """One connection, which carries one call at a time."""

    def __init__(self, host_header: str):
        self._host = host_header
        self._parser = None
        self._future: asyncio.Future | None = None
        self._chunks: list[bytes] = []
        self._retry_after: str | None = None
        self._transport: asyncio.Transport | None = None
        self.is_open = False
        self.idle_since = 0.0
        # When a part of the present answer last came.
        self.last_data_at = 0.0
        self._keep_alive = True

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.is_open = True

    def connection_lost(self, exc):
        self.is_open = False
        self._resolve(NoResponse(sent=True, reason="closed"))

    def data_received(self, data):
        if self._parser is None:
            self.close()
            return
        self.last_data_at = clock.read_clock()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()
            self._resolve(NoResponse(sent=True, reason="malformed"))

    def on_header(self, name: bytes, value: bytes):
        if name.lower() == b"retry-after":
            self._retry_after = value.decode("latin-1")

    def on_body(self, body: bytes):
        self._chunks.append(body)

    def on_message_complete(self):
        status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        body = b"".join(self._chunks)
        if not self._keep_alive:
            self.close()
        self._resolve(Response(status, body, self._retry_after))

    def _resolve(self, outcome: Outcome):
        future = self._future
        self._future = None
        if future is not None and not future.done():
            future.set_result(outcome)

    def send(
        self, method: str, target: str, headers: str, body: bytes
    ) -> asyncio.Future:
        self._future = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._chunks = []
        self._retry_after = None
        self.last_data_at = 0.0
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"{headers}Content-Length: {len(body)}\r\n\r\n"
        )
        self._transport.write(head.encode("latin-1") + body)
        return self._future

    def abort(self):
        """Gives the call up; the connection can't be used again."""
        self._future = None
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str):
        """Ends the call without an answer and closes the connection."""
        self._resolve(NoResponse(sent=True, reason=reason))
        self.abort()

    def close(self):
        self.is_open = False
        if self._transport is not None:
            self._transport.close()


class HttpClient:
    """Calls to one address over at most `limit` connections."""

    def __init__(self, address: str, limit: int = 4):
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._limit = limit
        self._idle: list[_Connection] = []
        self._open_count = 0
        self._waiters: collections.deque[asyncio.Future] = collections.deque()
        # Calls under way and when they were sent.
        self._active: dict[_Connection, float] = {}

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: str = "",
        timeout_s: float = 1.0,
        extra_s: float = 0.0,
    ) -> Outcome:
        """Sends a request and waits for the whole answer.

        Args:
          method: the HTTP method.
          target: path and query.
          body: the body, empty for none.
          headers: complete header lines, each with its line end.
          timeout_s: seconds until the call is given up.
          extra_s: further seconds for an answer that is still arriving.

        Returns:
          The answer, or why there is none.
        """
        deadline = clock.read_clock() + timeout_s
        connection = await self._acquire_connection(deadline)
        if isinstance(connection, NoResponse):
            return connection
        if body:
            headers += "Content-Type: application/json\r\n"
        future = connection.send(method, target, headers, body)
        self._active[connection] = clock.read_clock()
        try:
            outcome = await self._await_response(
                connection, future, deadline, extra_s
            )
        finally:
            self._active.pop(connection, None)
        self._release_connection(connection)
        return outcome

    def fail_calls(self, sent_before: float):
        """Ends the calls that were sent before a moment without an answer."""
        for connection, sent_at in list(self._active.items()):
            if sent_at < sent_before:
                connection.fail(OVERTAKEN)

    async def _await_response(
        self, connection, future, deadline, extra_s
    ) -> Outcome:
        limit = deadline + extra_s
        try:
            while not future.done() and deadline is not None:
                remaining = deadline - clock.read_clock()
                await asyncio.wait([future], timeout=max(0.01, remaining))
                deadline = _extend_deadline(connection, limit)
        except asyncio.CancelledError:
            connection.abort()
            self._release_connection(connection)
            raise
        if future.done():
            return future.result()
        connection.abort()
        return NoResponse(sent=True, reason=TIMEOUT)

    async def _acquire_connection(
        self, deadline: float
    ) -> _Connection | NoResponse:
        while True:
            idle = self._pop_idle()
            if idle is not None:
                return idle
            if self._open_count < self._limit:
                return await self._connect(deadline)
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            remaining = deadline - clock.read_clock()
            done, _ = await asyncio.wait([waiter], timeout=max(0, remaining))
            if not done:
                waiter.cancel()
                return NoResponse(sent=False, reason="busy")

    def _pop_idle(self) -> _Connection | None:
        oldest = clock.read_clock() - IDLE_LIMIT_S
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and connection.idle_since >= oldest:
                return connection
            connection.close()
            self._open_count -= 1
        return None

    async def _connect(self, deadline: float) -> _Connection | NoResponse:
        self._open_count += 1
        loop = asyncio.get_running_loop()
        while True:
            remaining = deadline - clock.read_clock()
            if remaining <= 0:
                reason = "unreachable"
                break
            try:
                async with asyncio.timeout(min(CONNECT_TIMEOUT_S, remaining)):
                    _, connection = await loop.create_connection(
                        lambda: _Connection(self.address),
                        self._host,
                        self._port,
                    )
                return connection
            except TimeoutError:
                continue
            except OSError:
                reason = "refused"
                break
            except asyncio.CancelledError:
                self._free_slot()
                raise
        self._free_slot()
        return NoResponse(sent=False, reason=reason)

    def _free_slot(self):
        self._open_count -= 1
        self._wake_waiter()

    def _wake_waiter(self):
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _release_connection(self, connection: _Connection):
        if connection.is_open:
            connection.idle_since = clock.read_clock()
            self._idle.append(connection)
            self._wake_waiter()
        else:
            self._free_slot()

    def close(self):
        """Closes every idle connection."""
        while self._idle:
            self._idle.pop().close()
            self._open_count -= 1


def _extend_deadline(connection: _Connection, limit: float) -> float | None:
    """Returns until when an answer is waited for further, None to give up."""
    now = clock.read_clock()
    deadline = min(limit, connection.last_data_at + STALL_TIMEOUT_S)
    return deadline if deadline > now else None
