"""WSGI application and HTTP server shared by the stand-ins."""

import argparse
import signal
import threading
import urllib.parse

from cheroot import wsgi
import xxhash

# Estimated size of the status line and of the response headers.
RESPONSE_HEADER_BYTES = 150

_STATUS_LINES = {
    200: "200 OK",
    304: "304 Not Modified",
    404: "404 Not Found",
    409: "409 Conflict",
    503: "503 Service Unavailable",
}


class Application:
    """WSGI application whose `answer` returns a status and a body.

    Attributes:
        bytes: Bytes received and sent so far, headers included.
    """

    bytes = 0

    def answer(self, method, path, query, body):
        """Returns status and body for a call; path and query are decoded."""
        raise NotImplementedError

    def __call__(self, environ, start_response):
        """Serves one call; an unchanged body is answered with status 304."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        path = environ["PATH_INFO"]
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        self.bytes += (
            len(body)
            + len(path)
            + sum(
                len(name) + len(str(value))
                for name, value in environ.items()
                if name.startswith("HTTP_")
            )
        )
        status, reply = self.answer(
            environ["REQUEST_METHOD"], path, query, body
        )
        tag = f'"{xxhash.xxh64_hexdigest(reply)}"'
        if status == 200 and environ.get("HTTP_IF_NONE_MATCH") == tag:
            status, reply = 304, b""
        self.bytes += len(reply) + RESPONSE_HEADER_BYTES
        start_response(
            _STATUS_LINES[status],
            [("Content-Length", str(len(reply))), ("ETag", tag)],
        )
        return [reply]


def create_server(application, port, threads=64):
    """Returns a server on the loopback address that is not started yet."""
    server = wsgi.Server(("127.0.0.1", port), application, numthreads=threads)
    server.shutdown_timeout = 0.2
    # Select timeout of the serve loop in seconds, which bounds how long a stop
    # takes.
    server.expiration_interval = 0.05
    # A full accept queue drops SYNs, which the caller resends after 1 s.
    server.request_queue_size = 128
    return server


def parse_arguments(*extra):
    """Parses `--port` and further options.

    Args:
        extra: Pairs of option name and default; the default sets the type.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    for name, default in extra:
        parser.add_argument(name, type=type(default), default=default)
    return parser.parse_args()


def serve(application, port, threads=64):
    """Serves an application until SIGTERM."""
    server = create_server(application, port, threads)
    server.prepare()
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    threading.Thread(target=server.serve, daemon=True).start()
    stopping.wait()
    server.stop()
