"""An HTTP/1.1 server with graceful shutdown."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import socket

import httptools

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
# Larger request bodies are rejected with status 413.
MAX_BODY_BYTES = 1 << 20


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


class _ServerConnection(asyncio.Protocol):
    """An accepted connection; pipelined requests are answered in order."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: list[Request] = []
        self._task: asyncio.Task | None = None
        self._reset_request()

    def _reset_request(self):
        self._target = ""
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self._size = 0

    def connection_made(self, transport):
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)

    def connection_lost(self, exc):
        self._server.connections.discard(self)

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self._transport.write(
                b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
                b"Connection: close\r\n\r\n"
            )
            self._transport.close()

    def on_url(self, url: bytes):
        self._target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes):
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes):
        self._size += len(body)
        if self._size <= MAX_BODY_BYTES:
            self._chunks.append(body)

    def on_message_complete(self):
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._target,
            self._headers,
            b"".join(self._chunks),
        )
        if not self._parser.should_keep_alive():
            request.headers["connection"] = "close"
        too_large = self._size > MAX_BODY_BYTES
        self._reset_request()
        if too_large:
            self._write(Response(413), close=True)
            return
        self._queue.append(request)
        if self._task is None:
            self._server.busy_connections += 1
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self):
        try:
            while self._queue:
                request = self._queue.pop(0)
                response = await self._server.handle(request)
                closing = request.headers.get("connection") == "close"
                self._write(response, close=closing or self._server.is_closing)
        finally:
            self._task = None
            self._server.busy_connections -= 1

    def _write(self, response: Response, close: bool):
        if self._transport is None or self._transport.is_closing():
            return
        extra_headers = ""
        if response.retry_after_s is not None:
            extra_headers = f"Retry-After: {response.retry_after_s}\r\n"
        if close:
            extra_headers += "Connection: close\r\n"
        head = (
            f"HTTP/1.1 {response.status} "
            f"{REASON_PHRASES.get(response.status, 'Other')}\r\n"
            f"Content-Type: application/json\r\n{extra_headers}"
            f"Content-Length: {len(response.body)}\r\n\r\n"
        )
        self._transport.write(head.encode("latin-1") + response.body)
        if close:
            self._transport.close()

    @property
    def is_idle(self) -> bool:
        return self._task is None and self._size == 0

    def close(self):
        self._transport.close()


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Attributes:
      connections: the open connections.
      busy_connections: number of connections with a request in progress.
      is_closing: whether each response closes its connection.
    """

    def __init__(self, handler: Handler, on_error: Callable[[str], None]):
        self._handler = handler
        self._on_error = on_error
        self._listener: asyncio.Server | None = None
        self.connections: set[_ServerConnection] = set()
        self.busy_connections = 0
        self.is_closing = False

    async def listen(self, host: str, port: int):
        """Starts to listen on an address.

        Raises:
          OSError: if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _ServerConnection(self), host, port, backlog=512
        )

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
            if connection.is_idle:
                connection.close()
