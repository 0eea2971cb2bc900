"""HTTP server: cheroot with timeouts and JSON error replies."""

import http
import json

from cheroot import server as cheroot_server
from cheroot import wsgi

from persimmonpath import events

_ENVIRON_KEY = "persimmonpath.request"
# A full backlog drops SYN packets, which clients resend only after 1 s.
LISTEN_BACKLOG = 128


def format_status(status: int) -> str:
    """Formats a status code and its reason phrase."""
    return f"{status} {http.HTTPStatus(status).phrase}"


def close_after_reply(environ) -> None:
    """Marks the connection of a call to be closed after its reply."""
    environ[_ENVIRON_KEY].close_connection = True


class _Request(cheroot_server.HTTPRequest):
    """An HTTP request; errors that the server itself detects are JSON too."""

    def simple_response(self, status, msg=""):
        """Sends an error reply of the server and closes the connection."""
        code = int(str(status)[:3])
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


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request


class _Gateway(wsgi.Gateway_10):
    def get_environ(self):
        """Returns the WSGI environment with the request object added."""
        environ = super().get_environ()
        environ[_ENVIRON_KEY] = self.req
        return environ


class Server(wsgi.Server):
    """HTTP server that logs errors as events instead of stack traces."""

    ConnectionClass = _Connection

    def error_log(self, msg="", level=20, traceback=False):
        """Logs an error that the server itself detected."""
        del level, traceback
        events.log_warning("http_error", message=msg)


def create_server(
    application, host: str, port: int, threads: int, timeout_s: float
) -> Server:
    """Returns an HTTP server that is not started.

    Args:
        application: WSGI application.
        host: IP address to listen on.
        port: TCP port.
        threads: Number of calls served concurrently.
        timeout_s: Timeout in seconds for reading from a client in the middle of
            a call; afterwards its connection is closed.
    """
    server = Server(
        (host, port),
        application,
        numthreads=threads,
        timeout=timeout_s,
        request_queue_size=LISTEN_BACKLOG,
    )
    server.gateway = _Gateway
    server.shutdown_timeout = 5
    return server
