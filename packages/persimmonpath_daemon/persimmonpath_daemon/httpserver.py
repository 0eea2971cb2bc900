"""HTTP server: cheroot with timeouts and JSON error replies."""

import http
import io
import json
import re
import select
import socket
import time
import weakref

from cheroot import errors as cheroot_errors
from cheroot import makefile
from cheroot import server as cheroot_server
from cheroot import wsgi

from persimmonpath import events
from persimmonpath import httplimits

_ENVIRON_KEY = "persimmonpath.request"
# A full backlog drops SYN packets, which clients resend only after 1 s.
LISTEN_BACKLOG = 128
# Connections that wait for a thread where the caller sets no other number.
MAX_WAITING = 512
# Shortest time between two log lines about rejections with the same status.
REPORT_S = 1.0


def format_status(status: int) -> str:
    """Formats a status code and its reason phrase."""
    return f"{status} {http.HTTPStatus(status).phrase}"


def close_after_reply(environ) -> None:
    """Marks the connection of a call to be closed after its reply."""
    environ[_ENVIRON_KEY].close_connection = True


_CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# An empty line; cheroot rejects lines that end without CR.
_HEAD_END = re.compile(rb"\n\r?\n")
# Lines of a head beside its fields: the first one, an empty one before it and
# the empty one at the end.
_OTHER_LINES = 3
_SINGLE_FIELDS = frozenset({b"Host", b"Content-Length"})


class _Fields(dict):
    """The header fields of a request; rejects what has no clear meaning."""

    def __init__(self, max_lines: int):
        super().__init__()
        self._lines_left = max_lines

    def __setitem__(self, name: bytes, value: bytes):
        self._lines_left -= 1
        if self._lines_left < 0:
            raise cheroot_errors.MaxSizeExceeded
        if name in _SINGLE_FIELDS and name in self:
            raise ValueError(f"Second {name.decode()}.")
        if _CONTROL_BYTES.search(name) or _CONTROL_BYTES.search(value):
            raise ValueError("Control byte in a header field.")
        super().__setitem__(name, value)


def _read_head(stream, limits: httplimits.HttpLimits) -> bytes:
    """Reads the head of a call, or its beginning if it exceeds the limits.

    Reading line by line, as cheroot does, is slow for heads of many lines.
    """
    head = bytearray()
    most_lines = limits.head_lines + _OTHER_LINES
    while len(head) <= limits.head_bytes:
        received = stream.peek(1)
        searched = max(0, len(head) - len(b"\n\r"))
        end = _HEAD_END.search(head[searched:] + received)
        if end is not None:
            size = searched + end.end() - len(head)
            return bytes(head) + stream.read(size)
        head += stream.read(len(received))
        if not received or head.count(b"\n") >= most_lines:
            break
    return bytes(head)


class _SocketReader(socket.SocketIO):
    """Reads from a socket until a deadline, however the data is divided."""

    def __init__(self, sock, timeout_s: float):
        super().__init__(sock, "rb")
        self._socket = sock
        self._timeout_s = timeout_s
        self._deadline = 0.0

    def start_part(self, limit_s: float):
        """Starts the time in which a head or a body has to arrive."""
        self._deadline = time.monotonic() + limit_s

    def readinto(self, buffer):
        """Reads once; raises TimeoutError after the deadline."""
        left_s = self._deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        self._socket.settimeout(min(self._timeout_s, left_s))
        try:
            return super().readinto(buffer)
        finally:
            # Responses are written to the same socket.
            self._socket.settimeout(self._timeout_s)


class _Request(cheroot_server.HTTPRequest):
    """An HTTP request; errors that the server itself detects are JSON too."""

    def parse_request(self):
        """Parses the head, which has to arrive in time."""
        limits = self.server.limits
        self.inheaders = _Fields(limits.head_lines)
        stream = self.conn.rfile
        stream.raw.start_part(limits.head_s)
        head = _read_head(stream, limits)
        if head.count(b"\n") > limits.head_lines + _OTHER_LINES:
            self.simple_response("431 Request Header Fields Too Large")
            return
        self.conn.rfile = io.BytesIO(head)
        try:
            super().parse_request()
        finally:
            self.conn.rfile = stream
        stream.raw.start_part(limits.body_s)

    def read_request_line(self):
        """Returns whether the request line is valid."""
        if not super().read_request_line():
            return False
        if len(self.uri) > self.server.limits.target_bytes:
            raise cheroot_errors.MaxSizeExceeded
        if _CONTROL_BYTES.search(self.uri):
            self.simple_response("400 Bad Request", "Control byte in the URI.")
            return False
        return True

    def read_request_headers(self):
        """Returns whether the header fields are valid."""
        if not super().read_request_headers():
            return False
        if self.chunked_read and b"Content-Length" in self.inheaders:
            self.simple_response(
                "400 Bad Request", "Content-Length with Transfer-Encoding."
            )
            return False
        return True

    def simple_response(self, status, msg=""):
        """Sends an error reply of the server and closes the connection."""
        code = int(str(status)[:3])
        # cheroot rejects only heads with this status here.
        if code == 413:
            code = 431
        self.server.record_rejected(code)
        field = "Content-Length" if "Content-Length" in msg else "request"
        error = "timed_out" if code == 408 else "bad_http"
        if field == "Content-Length":
            error = "bad_length"
        content = {
            "error": error,
            "field": field,
            "message": msg or str(status),
            "allowed": "whole number from 0" if error == "bad_length" else "",
        }
        body = json.dumps(content).encode()
        head = (
            f"{self.server.protocol} {format_status(code)}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        try:
            self.conn.wfile.write(head.encode() + body)
        except OSError:
            events.log_info("caller_gone", status=code)


def _is_readable(number: int) -> bool:
    """Returns whether a socket has data or was closed by its client."""
    poller = select.poll()
    poller.register(number, select.POLLIN)
    return bool(poller.poll(0))


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server, sock, make_file=makefile.MakeFile):
        super().__init__(server, sock, make_file)
        self.rfile = _StreamReader(sock, self.rbufsize, server.timeout)
        server.open_connections.add(self)

    def close(self):
        """Closes the connection."""
        self.server.open_connections.discard(self)
        super().close()


class _StreamReader(makefile.StreamReader):
    def __init__(self, sock, size: int, timeout_s: float):
        super().__init__(sock, "rb", size)
        self._raw = _SocketReader(sock, timeout_s)


class _Gateway(wsgi.Gateway_10):
    def get_environ(self):
        """Returns the WSGI environment with the request object added."""
        environ = super().get_environ()
        environ[_ENVIRON_KEY] = self.req
        return environ


class Server(wsgi.Server):
    """HTTP server that logs errors as events instead of stack traces.

    Attributes:
        open_connections: All connections, also those without a call.
    """

    ConnectionClass = _Connection
    limits = httplimits.HttpLimits()
    # Receives the status of each call that the server itself rejects.
    on_rejected = staticmethod(lambda status: None)

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.open_connections = weakref.WeakSet()
        # When a rejection was last logged, by status.
        self._logged_at: dict[int, float] = {}

    def record_rejected(self, status: int):
        """Counts a rejected call; logs each status at most once a second."""
        self.on_rejected(str(status))
        now = time.monotonic()
        if now - self._logged_at.get(status, -REPORT_S) >= REPORT_S:
            self._logged_at[status] = now
            events.log_warning("client_rejected", status=status)

    def prepare(self):
        """Binds the address and limits what the kernel holds for clients.

        Accepted connections inherit the sizes of the buffers.
        """
        super().prepare()
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(
                socket.SOL_SOCKET, option, self.limits.socket_bytes
            )

    def process_conn(self, conn):
        """Passes a connection to a thread once there is something to read.

        A new one waits for that as those between two calls do, so that idle
        clients occupy no thread. If there are too many connections, it replaces
        the one that has been idle longest, or is rejected with 503.
        """
        if conn.last_used is not None:
            super().process_conn(conn)
        elif (
            len(self.open_connections) <= self.limits.connections
            or self._close_idle()
        ):
            self._connections.put(conn)
        else:
            self._unservicable_conns.put(conn)

    def _close_idle(self) -> bool:
        """Closes the connection idle longest; returns whether there was one.

        One with data isn't idle: this pass of the selector may get to it.
        """
        selector = self._connections._selector
        for number, conn in list(selector.connections):
            if conn is not self and not _is_readable(number):
                selector.unregister(number)
                conn.close()
                return True
        return False

    def error_log(self, msg="", level=20, traceback=False):
        """Logs an error that the server itself detected."""
        del level, traceback
        events.log_warning("http_error", message=msg)


def create_server(
    application,
    host: str,
    port: int,
    threads: int,
    timeout_s: float,
    limits: httplimits.HttpLimits | None = None,
    waiting: int = MAX_WAITING,
) -> Server:
    """Returns an HTTP server that is not started.

    Args:
        application: WSGI application.
        host: IP address to listen on.
        port: TCP port.
        threads: Number of calls served concurrently.
        timeout_s: Timeout in seconds for reading from a client in the middle of
            a call; afterwards its connection is closed.
        limits: Limits for clients, None for the defaults.
        waiting: Most connections with a call that wait for a thread.
    """
    limits = limits or httplimits.HttpLimits()
    server = Server(
        (host, port),
        application,
        numthreads=threads,
        timeout=timeout_s,
        request_queue_size=LISTEN_BACKLOG,
        accepted_queue_size=waiting,
        # Further connections are rejected with 503 at once.
        accepted_queue_timeout=0,
    )
    server.limits = limits
    server.max_request_header_size = limits.head_bytes
    server.gateway = _Gateway
    server.shutdown_timeout = 5
    return server
