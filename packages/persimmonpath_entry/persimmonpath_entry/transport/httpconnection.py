"""A connection of the HTTP server, with its requests and responses."""

import asyncio
import collections
import socket

from persimmonpath import httplimits
from persimmonpath_entry.transport import httpmessages
from persimmonpath_entry.transport import httpparser

Stage = httpparser.Stage
# Retry-After in seconds of clients that are rejected since the port is full.
RETRY_AFTER_S = 1
# What is parsed at once, so that few requests are queued beyond the limit.
PART_BYTES = 4096
# After a rejection the connection is read for this long, since closing it with
# unread data would discard the response that is under way.
LINGER_S = 1.0


class ServerConnection(asyncio.BufferedProtocol):
    """An accepted connection; pipelined requests are answered in order."""

    def __init__(self, server):
        """Creates a connection.

        Args:
          server: the `httpserver.HttpServer` that has accepted it.
        """
        self._server = server
        self._limits = server.limits
        self._budget = server.budget
        self._transport: asyncio.Transport | None = None
        # None once all further data is discarded: it keeps what it has received
        # of a request.
        self._parser: httpparser.RequestParser | None = (
            httpparser.RequestParser(
                server.limits, server.find_field, self._queue_request
            )
        )
        # Requests with the bytes that the budget counts for them.
        self._queue: collections.deque[tuple[httpmessages.Request, int]] = (
            collections.deque()
        )
        self._task: asyncio.Task | None = None
        # Response to a rejection that follows those of earlier requests.
        self._final_response: httpmessages.Response | None = None
        # Received data that isn't parsed while requests are queued.
        self._rest = memoryview(b"")
        # Bytes that the budget counts for the incomplete request.
        self._held = 0
        # When the incomplete request began.
        self._stage_since = 0.0
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
        # Bytes that the budget counts for the connection itself.
        self._own_bytes = 0

    # Events of the transport.

    def connection_made(self, transport):
        """Begins the connection, which the server may refuse."""
        self._transport = transport
        # The transport buffers at most one response.
        transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._own_bytes = httplimits.CONNECTION_BYTES
        self._budget.used += self._own_bytes
        self._server.add(self)

    @property
    def address(self) -> str:
        """The client's address without its port."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    def connection_lost(self, exc):
        """Ends the connection."""
        self._is_lost = True
        self._release()
        self._server.remove(self)
        self._wake()

    def get_buffer(self, sizehint):
        """Returns the buffer for the next read."""
        return self._server.buffer

    def buffer_updated(self, nbytes):
        """Takes what was read into the buffer."""
        if self._is_discarding:
            return
        data = self._server.buffer[:nbytes]
        if nbytes > PART_BYTES or self._queue:
            self._feed_parts(data)
        else:
            self._feed(data)
        if len(self._queue) >= self._limits.queued:
            self._stop_reading()
        elif self._stage is not Stage.NONE and self._server.has_turns:
            self._stop_reading()
            if not self._awaits_turn:
                self._awaits_turn = True
                self._server.request_turn(self)

    def eof_received(self):
        """Notes that the client sends no more; returns whether to go on."""
        self._is_at_eof = True
        # Without a request in progress, the transport closes itself.
        return self._task is not None

    def pause_writing(self):
        """Stops reading too, as the client doesn't read the responses."""
        self._is_blocked = True
        self._unsent = self._transport.get_write_buffer_size()
        self._budget.used += self._unsent
        self._server.unread[self] = self._server.read_clock()
        self._stop_reading()
        if self._budget.is_exceeded:
            self._server.enforce_budget()

    def resume_writing(self):
        """Continues once the client has read the responses."""
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

    # Receiving.

    def _feed_parts(self, data: memoryview):
        for start in range(0, len(data), PART_BYTES):
            if len(self._queue) >= self._limits.queued:
                self._keep_rest(data[start:])
                return
            self._feed(data[start : start + PART_BYTES])
            if self._is_discarding:
                return

    def _keep_rest(self, rest: memoryview):
        """Keeps data that isn't parsed before queued requests are handled."""
        if not rest.readonly:
            # The buffer of the server is used for the next read.
            rest = memoryview(bytes(rest))
        self._rest = rest
        self._budget.used += len(rest)
        self._server.count("queued")

    def _feed(self, data: memoryview):
        parser = self._parser
        try:
            parser.feed(data)
        except httpparser.RejectionError as rejection:
            self.reject(rejection.status, rejection.reason)
            return
        if parser.has_ended:
            self._is_discarding = True
        elif parser.stage is not Stage.NONE:
            if parser.expects_continue and self._task is None:
                self._send_continue()
            self._record_incomplete(parser.held)

    def _record_incomplete(self, held: int):
        """Counts the incomplete request, which may be rejected for others."""
        self._budget.used += held - self._held
        self._held = held
        if self not in self._server.receiving:
            self._stage_since = self._server.read_clock()
            self._server.receiving[self] = self._stage_since
        if self._budget.is_exceeded:
            self._server.enforce_budget()

    def _release_incomplete(self):
        self._budget.used -= self._held
        self._held = 0
        self._server.receiving.pop(self, None)

    def _queue_request(self, request: httpmessages.Request, size: int):
        """Queues a complete request to be handled.

        Raises:
          httpparser.RejectionError: if there is no room for it.
        """
        if self._held:
            self._release_incomplete()
        if self._task is None:
            self._server.waiting.pop(self, None)
        budget = self._budget
        budget.used += size
        if budget.used > budget.total and not self._server.enforce_budget():
            budget.used -= size
            raise httpparser.RejectionError(503, "budget")
        self._queue.append((request, size))
        if self._task is None:
            self._server.busy_connections += 1
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def _send_continue(self):
        self._parser.expects_continue = False
        if not self._transport.is_closing():
            self._transport.write(httpmessages.CONTINUE)

    def _start_discarding(self):
        """Discards all further data, and what isn't a complete request."""
        self._is_discarding = True
        if self._parser is not None:
            self._parser.stop()
            self._parser = None
        self._release_incomplete()
        self._budget.used -= len(self._rest)
        self._rest = memoryview(b"")

    def _drop_queue(self):
        while self._queue:
            self._budget.used -= self._queue.popleft()[1]

    def _release_connection_bytes(self):
        """Gives back what the budget counts for the connection itself."""
        self._budget.used -= self._unsent + self._own_bytes
        self._unsent = 0
        self._own_bytes = 0

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
                if self._queue:
                    # Others are answered between pipelined requests.
                    await asyncio.sleep(0)
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
            self._feed_parts(rest)

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
            if self._parser is not None and self._parser.expects_continue:
                self._send_continue()
            self._read_on()

    def _write(self, response: httpmessages.Response, close: bool):
        if self._has_ended or self._transport.is_closing():
            return
        self._transport.write(httpmessages.format_response(response, close))
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

    # Calls of the server.

    @property
    def _stage(self) -> Stage:
        """What has arrived of the incomplete request."""
        return Stage.NONE if self._parser is None else self._parser.stage

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return self._task is None and self._stage is Stage.NONE

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
        stage = self._stage
        if stage is Stage.HEAD and elapsed_s > limits.head_s:
            self.reject(408, "head_time")
        elif stage is Stage.BODY and elapsed_s > limits.head_s + limits.body_s:
            self.reject(408, "body_time")

    def reject(self, status: int, reason: str):
        """Answers an incomplete or invalid request and ends the connection.

        Responses to earlier requests are sent first.
        """
        self._server.count(reason)
        self._start_discarding()
        retry_after_s = RETRY_AFTER_S if status in (429, 503) else None
        response = httpmessages.Response(status, b"", retry_after_s)
        if self._task is None:
            self._write(response, close=True)
        else:
            self._final_response = response

    def evict(self, reason: str):
        """Closes the connection for others; answers an incomplete request."""
        if self._stage is not Stage.NONE:
            self.reject(503, reason)
        else:
            self._server.count(reason)
        if self._task is None:
            self.close()

    def close(self):
        """Closes the connection once its responses are sent."""
        self._has_ended = True
        self._start_discarding()
        self._release_connection_bytes()
        self._server.start_closing(self, self._limits.unread_s)
        self._transport.close()

    def abort(self):
        """Closes the connection at once; unsent responses are lost."""
        self._release()
        self._transport.abort()

    def _release(self):
        """Ends the serving and gives back all that the budget counts."""
        self._has_ended = True
        self._start_discarding()
        self._release_connection_bytes()
        self._drop_queue()
