"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
import json

REASONS = {200: "OK"}


class Request:
    """A request with its header fields in lower case."""

    def __init__(self, method, target, headers, body):
        """Keeps the parts of a request."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def _read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """Answers requests with what `handler` returns: a status and a body.

    A handler that returns None leaves the call without an answer, for good.
    """

    def __init__(self, handler):
        """Keeps the handler, a coroutine function of a `Request`."""
        self._handler = handler
        self._writers = set()
        self._server = None

    async def listen(self, host, port=0):
        """Starts to listen; returns host:port."""
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=512, limit=1 << 22
        )
        found = self._server.sockets[0].getsockname()
        return f"{found[0]}:{found[1]}"

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ")
                answer = await self._handler(
                    Request(method, target, headers, body)
                )
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The loop of the script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def abort_connections(self):
        """Resets all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.abort_connections()


async def call(address, method, target, body=b"", headers=(), timeout_s=3.0):
    """Makes a call over a connection of its own.

    Returns:
      The status and the body; status 0 and the reason if there is no answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1", *headers]
            if not any(line.lower().startswith("host:") for line in headers):
                lines.append(f"Host: {address}")
            lines.append(f"Content-Length: {len(body)}")
            lines.append("Connection: close")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, _, content = await _read_message(reader)
            return int(first.split(" ")[1]), content
    except TimeoutError:
        return 0, b"no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__.encode()
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
