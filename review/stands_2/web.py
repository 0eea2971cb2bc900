"""A small HTTP/1.1 server and client for JSON bodies, on asyncio streams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json


@dataclasses.dataclass
class Request:
    """A request as the server read it.

    Attributes:
      method: the HTTP method.
      target: path and query.
      headers: values by lower-case name.
      body: the whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def read_json(self):
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


# Returns the status and the body of a response, or None to stay silent.
Handler = Callable[[Request], Awaitable[tuple[int, object] | None]]


async def read_message(reader: asyncio.StreamReader):
    """Reads one message.

    Returns:
      The first line, the headers and the body; None at the end of the stream.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """Serves one address of the loopback network.

    Attributes:
      handler: answers the requests.
    """

    def __init__(self, handler: Handler):
        self.handler = handler
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int):
        """Starts to listen."""
        self._listener = await asyncio.start_server(
            self._serve, host, port, backlog=256
        )

    def close(self):
        """Stops to listen and resets all connections, like a crash."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(
                    Request(method, target, headers, body)
                )
                if answer is None:
                    # No answer: the channel stays open and silent.
                    await reader.read()
                    break
                status, content = answer
                data = json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    content=None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, object] | None:
    """Makes one call over a new channel.

    Returns:
      The status and the decoded body, None without a complete answer.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if content is None else json.dumps(content).encode()
            lines = {"Host": address, **(headers or {})}
            lines["Content-Length"] = str(len(body))
            if body:
                lines["Content-Type"] = "application/json"
            head = "".join(f"{k}: {v}\r\n" for k, v in lines.items())
            writer.write(
                f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body
            )
            await writer.drain()
            message = await read_message(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    line, _, body = message
    return int(line.split(" ")[1]), json.loads(body or b"{}")
