"""A crowd of clients outside the limits, as a process of its own.

Usage: python -m tests.entry.crowd ADDRESS=PATH... [--kinds KIND,...]
  [--clients N] [--seconds S]

Each address gets the clients of every kind. They keep their connections open
and open a new one when the server closes theirs, a few times.
"""

import argparse
import itertools
import select
import socket
import time

BLOCK_BYTES = 50_000
# What a client sends unless its connection is closed before, in bytes.
SENT_BYTES = 4_000_000
# Connections that a client opens at most.
MAX_OPENED = 4
# Blocks that a client sends before it is another one's turn.
BLOCKS_PER_TURN = 4
POLL_S = 0.2
# Clients that send nothing, and clients that pipeline ordinary requests and
# read the responses. They are no part of the crowd of all kinds.
IDLE = "idle"
PIPELINED = "pipelined"


def repeat(block, size=SENT_BYTES):
    """Returns blocks that repeat a text up to a number of bytes."""
    block *= max(1, BLOCK_BYTES // len(block))
    return itertools.repeat(block, max(1, size // len(block)))


def list_kinds(path):
    """Returns for each kind of client what it sends, as a function.

    Args:
      path: the path of its requests.
    """
    get = f"GET {path} HTTP/1.1\r\nHost: h\r\n".encode()
    post = f"POST {path} HTTP/1.1\r\nHost: h\r\n".encode()
    chunked = post + b"Transfer-Encoding: chunked\r\n\r\n"
    announced = post + b"Content-Length: "
    large_chunk = b"c350\r\n" + b"a" * 50_000 + b"\r\n"
    return {
        IDLE: list,
        PIPELINED: lambda: repeat(get + b"\r\n", 5 * SENT_BYTES),
        "head_too_large": lambda: [get + b"X: " + b"a" * 200_000 + b"\r\n\r\n"],
        "head_without_end": lambda: [get, b"X: ", *repeat(b"a")],
        "lines_without_end": lambda: [get, *repeat(b"X-A:\r\n")],
        "target_without_end": lambda: [b"GET /", *repeat(b"a")],
        "head_stops_short": lambda: [get + b"X: " + b"a" * 32_000],
        "empty_lines": lambda: repeat(b"\r\n"),
        "large_chunks": lambda: [chunked, *[large_chunk] * 20, b"c350\r\na"],
        "tiny_chunks": lambda: [
            chunked,
            *repeat(b"1\r\na\r\n", 6_000_000),
            b"2\r\na",
        ],
        "body_announced": lambda: [
            announced + b"10000000000\r\n\r\n",
            *repeat(b"a"),
        ],
        "body_sent": lambda: [chunked + b"fffffff0\r\n", *repeat(b"a")],
        "body_not_announced": lambda: [post + b"\r\n", *repeat(b"a")],
        "body_stops_short": lambda: [
            announced + b"1000000\r\n\r\n",
            b"a" * 999_999,
        ],
        "responses_unread": lambda: repeat(get + b"\r\n"),
        "bodies_pipelined": lambda: repeat(
            announced + b"50000\r\n\r\n" + b"a" * 50_000
        ),
    }


class Client:
    """A client that sends what its kind sends.

    Attributes:
      socket: the open connection, None once it opens no further one.
    """

    def __init__(self, address, kind, list_blocks, poller):
        self.address = address
        self.reads = kind not in ("responses_unread", "bodies_pipelined")
        self.list_blocks = list_blocks
        self.poller = poller
        self.opened = 0
        self.socket = None

    def open(self):
        """Opens a connection unless the client has opened enough."""
        self.socket = None
        if self.opened >= MAX_OPENED:
            return
        self.opened += 1
        self.blocks = iter(self.list_blocks())
        self.block = memoryview(b"")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(self.address)
        self.poller.register(self.socket, self.list_events(select.EPOLLOUT))

    def list_events(self, events=0):
        """Returns the events that the client waits for."""
        return events | select.EPOLLRDHUP | (self.reads and select.EPOLLIN)

    def handle(self, events):
        """Handles events of the connection.

        Raises:
          ConnectionError: if the server has closed it.
        """
        if self.reads and events & select.EPOLLIN:
            if not self.socket.recv(65536):
                raise ConnectionResetError
        elif events & ~select.EPOLLOUT:
            raise ConnectionResetError
        if events & select.EPOLLOUT:
            for _ in range(BLOCKS_PER_TURN):
                self.send()

    def send(self):
        """Sends as much of the next block as fits."""
        if not self.block:
            self.block = memoryview(next(self.blocks, b""))
        if not self.block:
            self.poller.modify(self.socket, self.list_events())
            return
        self.block = self.block[self.socket.send(self.block) :]


def run_crowd(targets, kinds, clients, seconds):
    """Runs clients of several kinds.

    Args:
      targets: addresses and paths.
      kinds: the names of their kinds.
      clients: number of clients of each kind at each address.
      seconds: how long they run.
    """
    poller = select.epoll()
    by_descriptor = {}

    def open_client(client):
        client.open()
        if client.socket is not None:
            by_descriptor[client.socket.fileno()] = client

    for address, path in targets:
        for kind, list_blocks in list_kinds(path).items():
            if kind not in kinds:
                continue
            for _ in range(clients):
                open_client(Client(address, kind, list_blocks, poller))
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for descriptor, events in poller.poll(POLL_S):
            client = by_descriptor[descriptor]
            try:
                client.handle(events)
            except BlockingIOError:
                continue
            except OSError:
                del by_descriptor[descriptor]
                client.socket.close()
                open_client(client)


def main():
    """Runs the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("targets", nargs="+")
    kinds = [k for k in list_kinds("/") if k not in (IDLE, PIPELINED)]
    parser.add_argument("--kinds", default=",".join(kinds))
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    targets = []
    for target in arguments.targets:
        address, _, path = target.partition("=")
        host, _, port = address.rpartition(":")
        targets.append(((host, int(port)), path))
    kinds = arguments.kinds.split(",")
    run_crowd(targets, kinds, arguments.clients, arguments.seconds)


if __name__ == "__main__":
    main()
