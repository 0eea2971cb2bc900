"""An HTTP/1.1 client with pooled connections and a deadline for each call."""

import asyncio
import collections
import dataclasses
import functools
import socket

import httptools

from persimmonpath_entry.transport import clock

# A lost SYN packet is retransmitted only after seconds, so a connection attempt
# that takes longer than this is abandoned and started again.
CONNECT_TIMEOUT_S = 0.45
# Idle connections are closed before servers close them, usually after 15 s.
IDLE_LIMIT_S = 12.0
# A response that has begun to arrive may exceed the deadline, within the extra
# time of the call, as long as no gap between its parts is longer than this.
STALL_TIMEOUT_S = 0.5
# A call is only sent if at least this time is left for its response.
MIN_RESPONSE_S = 0.05
# A timer that fires later than this shows that the process was delayed. Packets
# that arrived meanwhile may still be on their way to it.
LATE_TIMER_S = 0.05
# Most seconds by which a delay of the process extends the deadline of a call.
MAX_LATE_EXTENSION_S = 0.5
HOST_FIELD = "Host: "
# Reason for a call without a response: none arrived within the deadline.
TIMEOUT = "timeout"
# Reason for a call without a response: the server was unreachable since the
# call was sent, and has recovered, so that no response is to be expected.
OVERTAKEN = "overtaken"
# Reason for a call that wasn't sent: no connection became free in time, or this
# process was too late itself. It says nothing about the server.
BUSY = "busy"
# Reason for a call that wasn't sent: what permits it has expired meanwhile.
EXPIRED = "expired"


@dataclasses.dataclass(slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
      status: the HTTP status.
      body: the whole body.
      retry_after: the Retry-After header as received, or None.
    """

    status: int
    body: bytes
    retry_after: str | None = None


@dataclasses.dataclass(slots=True)
class NoResponse:
    """A call that got no complete response.

    Attributes:
      sent: whether the server may have read the request.
      reason: one word for the cause, such as timeout, overtaken, closed,
        malformed, busy (no free connection), unreachable or refused.
    """

    sent: bool
    reason: str


Outcome = Response | NoResponse


class _Connection(asyncio.Protocol):
    """A client connection, which carries one call at a time."""

    def __init__(self, address: str):
        self.address = address
        self._parser = None
        self._future: asyncio.Future | None = None
        self._chunks: list[bytes] = []
        self._retry_after: str | None = None
        self._transport: asyncio.Transport | None = None
        self.is_open = False
        self.idle_since = 0.0
        # When data of the current response last arrived, 0 if none has.
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
        # Servers reject a request with two of them.
        if HOST_FIELD not in headers:
            headers = f"{HOST_FIELD}{self.address}\r\n{headers}"
        head = (
            f"{method} {target} HTTP/1.1\r\n"
            f"{headers}Content-Length: {len(body)}\r\n\r\n"
        )
        self._transport.write(head.encode("latin-1") + body)
        return self._future

    def abort(self):
        """Closes the connection at once and leaves its call unresolved."""
        self._future = None
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str):
        """Resolves the call without a response and aborts the connection."""
        self._resolve(NoResponse(sent=True, reason=reason))
        self.abort()

    def close(self):
        self.is_open = False
        if self._transport is not None:
            self._transport.close()


class HttpClient:
    """A pool of at most `limit` connections to one address."""

    def __init__(self, address: str, limit: int = 4):
        self.address = address
        self._limit = limit
        self._idle: list[_Connection] = []
        self._open_count = 0
        self._waiters: collections.deque[asyncio.Future] = collections.deque()
        # Connections with a call in progress and when the call was sent.
        self._active: dict[_Connection, float] = {}

    def set_address(self, address: str):
        """Makes later calls to another address.

        Calls in progress are left to end at the former one.

        Args:
          address: host:port.
        """
        if address != self.address:
            self.address = address
            self.close()

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: str = "",
        timeout_s: float = 1.0,
        extra_s: float = 0.0,
        send_by: float | None = None,
    ) -> Outcome:
        """Sends a request and waits for the complete response.

        Args:
          method: the HTTP method.
          target: path and query.
          body: the body, empty for none.
          headers: complete header lines, each ending in CRLF. A line with
            the field Host replaces that with the address.
          timeout_s: seconds until the call is given up, including the wait for
            a free connection.
          extra_s: further seconds for a response that has begun to arrive.
          send_by: time after which the request isn't sent any more, in seconds
            of the local clock; None for no limit.

        Returns:
          The response, or why there is none.
        """
        deadline = clock.read_clock() + timeout_s
        connection = await self._acquire_connection(deadline)
        if isinstance(connection, NoResponse):
            return connection
        now = clock.read_clock()
        unsent_reason = None
        if now > deadline - min(MIN_RESPONSE_S, timeout_s / 2):
            unsent_reason = BUSY
        elif send_by is not None and now >= send_by:
            unsent_reason = EXPIRED
        if unsent_reason is not None:
            self._release_connection(connection)
            return NoResponse(sent=False, reason=unsent_reason)
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
        """Fails the calls in progress that were sent before a time.

        Args:
          sent_before: seconds of the local clock.
        """
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
                late_s = clock.read_clock() - deadline
                if late_s > LATE_TIMER_S and not future.done():
                    grace_s = min(late_s, MAX_LATE_EXTENSION_S)
                    await asyncio.wait([future], timeout=grace_s)
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
                return NoResponse(sent=False, reason=BUSY)

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
        was_late = False
        while True:
            remaining = deadline - clock.read_clock()
            if remaining <= 0:
                reason = BUSY if was_late else "unreachable"
                break
            give_up_at = clock.read_clock() + min(CONNECT_TIMEOUT_S, remaining)
            address = self.address
            host, _, port = address.rpartition(":")
            try:
                async with asyncio.timeout(min(CONNECT_TIMEOUT_S, remaining)):
                    _, connection = await loop.create_connection(
                        functools.partial(_Connection, address),
                        host,
                        int(port),
                    )
                return connection
            except TimeoutError:
                # A connection needs several turns of the event loop.
                late_s = clock.read_clock() - give_up_at
                was_late = was_late or late_s > LATE_TIMER_S
                continue
            except (OSError, ValueError):
                # ValueError: the host is no name that can be looked up.
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
        if connection.is_open and connection.address == self.address:
            connection.idle_since = clock.read_clock()
            self._idle.append(connection)
            self._wake_waiter()
        else:
            connection.close()
            self._free_slot()

    def close(self):
        """Closes every idle connection."""
        while self._idle:
            self._idle.pop().close()
            self._open_count -= 1


def _extend_deadline(connection: _Connection, limit: float) -> float | None:
    """Returns the new deadline of an arriving response, None to give up."""
    now = clock.read_clock()
    deadline = min(limit, connection.last_data_at + STALL_TIMEOUT_S)
    return deadline if deadline > now else None
