"""An HTTP/1.1 server with limits for its clients and graceful shutdown."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
import socket

from persimmonpath import httplimits
from persimmonpath_entry.transport import httpconnection
from persimmonpath_entry.transport import httpmessages
from persimmonpath_entry.transport import httpparser

# What handlers receive and return.
Request = httpmessages.Request
Response = httpmessages.Response

# A full backlog drops SYN packets, which clients resend only after 1 s.
LISTEN_BACKLOG = 512
# Most connections accepted at once. Three times as many are open before those
# beyond the limit are closed.
ACCEPT_BATCH = 4
# Largest read from a connection.
RECEIVE_BYTES = 65536
# Most connections with an incomplete request that are read in one pass of the
# event loop, so that others are answered beside them.
READS_PER_PASS = 8
# Interval of the checks for expired connections, and shortest time between two
# reports of rejections, in seconds.
SWEEP_S = 0.25
REPORT_S = 1.0


def _ignore_rejections(reason: str, count: int):
    """Stands in where nobody counts the rejected clients."""


def _decode_name(name: bytes) -> str:
    return name.decode("latin-1")


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Attributes:
      limits: the limits for clients.
      budget: the bytes that all connections occupy.
      buffer: receives the data of the connection that is being read.
      connections: the open connections.
      waiting: connections without a complete request, by the time since when,
        the longest first.
      receiving: connections with an incomplete request, by its beginning, the
        oldest first.
      unread: connections whose responses aren't read, by the time since when.
      busy_connections: number of connections with a request in progress.
      is_closing: whether each response closes its connection.
    """

    def __init__(
        self,
        handler: httpmessages.Handler,
        on_error: Callable[[str], None],
        limits: httplimits.HttpLimits | None = None,
        fields: Iterable[str] | None = None,
        on_rejected: Callable[[str, int], None] = _ignore_rejections,
    ):
        """Creates a server.

        Args:
          handler: answers the requests.
          on_error: receives the text of each exception of the handler.
          limits: the limits for clients, None for the defaults.
          fields: lower-case names of the header fields that the handler reads;
            others are dropped. None keeps all.
          on_rejected: receives a reason and the number of clients that were
            rejected or closed for it, at most once a second for each reason.
        """
        self._handler = handler
        self._on_error = on_error
        self._on_rejected = on_rejected
        self.limits = limits or httplimits.HttpLimits()
        self.budget = httplimits.ByteBudget(self.limits.budget_bytes)
        self.buffer = memoryview(bytearray(RECEIVE_BYTES))
        # Returns the name of a field as text, None if it isn't needed.
        self.find_field: Callable[[bytes], str | None] = _decode_name
        if fields is not None:
            names = {*fields, *httpparser.FRAMING_FIELDS}
            self.find_field = {name.encode(): name for name in names}.get
        self._listener: asyncio.Server | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self.connections: set[httpconnection.ServerConnection] = set()
        self.waiting: dict[httpconnection.ServerConnection, float] = {}
        self.receiving: dict[httpconnection.ServerConnection, float] = {}
        self.unread: dict[httpconnection.ServerConnection, float] = {}
        # Connections that are read again once it is their turn.
        self._turns: collections.deque[httpconnection.ServerConnection] = (
            collections.deque()
        )
        # Connections being closed and when they are aborted.
        self._closing: dict[httpconnection.ServerConnection, float] = {}
        self._by_address: collections.Counter[str] = collections.Counter()
        self._rejected: collections.Counter[str] = collections.Counter()
        self._reported_at = 0.0
        self.busy_connections = 0
        self.is_closing = False

    async def listen(self, host: str, port: int):
        """Starts to listen on an address.

        Raises:
          OSError: if the address can't be bound.
        """
        self._loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family)
        # Accepted connections inherit these sizes; without them the kernel
        # holds up to some MB for each of those that aren't read.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(
                socket.SOL_SOCKET, option, self.limits.socket_bytes
            )
        # asyncio accepts as many connections at once as its backlog says.
        self._listener = await self._loop.create_server(
            lambda: httpconnection.ServerConnection(self),
            sock=listener,
            backlog=ACCEPT_BATCH,
        )
        listener.listen(LISTEN_BACKLOG)
        self._loop.call_later(SWEEP_S, self._sweep)

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
            if connection.is_idle and connection not in self._closing:
                connection.close()

    # Calls of the connections.

    def read_clock(self) -> float:
        """Returns the time of the event loop in seconds."""
        return self._loop.time()

    def count(self, reason: str):
        """Counts a client that was rejected or closed."""
        self._rejected[reason] += 1

    def add(self, connection: httpconnection.ServerConnection):
        """Adds a connection, or refuses it if there is no room for it."""
        limits = self.limits
        most_open = math.ceil(httplimits.CLOSING_FACTOR * limits.connections)
        self.connections.add(connection)
        if limits.address_connections:
            address = connection.address
            self._by_address[address] += 1
            if self._by_address[address] > limits.address_connections:
                connection.reject(429, "address")
                return
        if len(self.connections) - len(self._closing) > limits.connections:
            self._evict_one("connections")
        if len(self.connections) > most_open:
            self.count("connections")
            connection.abort()
        elif len(self.connections) - len(self._closing) > limits.connections:
            connection.reject(503, "connections")
        elif self.budget.is_exceeded and not self.enforce_budget():
            connection.reject(503, "budget")
        else:
            self.waiting[connection] = self.read_clock()

    def remove(self, connection: httpconnection.ServerConnection):
        """Removes a connection that has ended."""
        self.connections.discard(connection)
        for index in (self.waiting, self.receiving, self.unread, self._closing):
            index.pop(connection, None)
        if self.limits.address_connections:
            address = connection.address
            self._by_address[address] -= 1
            if not self._by_address[address]:
                del self._by_address[address]

    @property
    def has_turns(self) -> bool:
        """Whether connections with an incomplete request are read in turn."""
        return len(self.receiving) > READS_PER_PASS

    def request_turn(self, connection: httpconnection.ServerConnection):
        """Has a connection read on after those that have asked before."""
        if not self._turns:
            self._loop.call_soon(self._give_turns)
        self._turns.append(connection)

    def _give_turns(self):
        for _ in range(min(READS_PER_PASS, len(self._turns))):
            self._turns.popleft().take_turn()
        if self._turns:
            self._loop.call_soon(self._give_turns)

    def start_closing(
        self, connection: httpconnection.ServerConnection, limit_s: float
    ):
        """Has a connection aborted that isn't closed within a time."""
        self.waiting.pop(connection, None)
        self._closing.setdefault(connection, self.read_clock() + limit_s)

    def enforce_budget(self) -> bool:
        """Frees bytes until the budget suffices.

        Incomplete requests go first, the oldest before the others, then
        connections whose responses aren't read, then idle ones. Complete
        requests whose responses can be sent stay.

        Returns:
          Whether the budget suffices now.
        """
        budget = self.budget
        while budget.is_exceeded and self.receiving:
            connection = next(iter(self.receiving))
            del self.receiving[connection]
            connection.evict("budget")
        while budget.is_exceeded and self.unread:
            connection = next(iter(self.unread))
            del self.unread[connection]
            self.count("budget_unread")
            connection.abort()
        while budget.is_exceeded and self.waiting:
            connection = next(iter(self.waiting))
            del self.waiting[connection]
            connection.evict("budget_idle")
        return not budget.is_exceeded

    def _evict_one(self, reason: str):
        """Closes the connection that has had no complete request longest."""
        for index in (self.receiving, self.waiting):
            for connection in index:
                if connection.is_evictable:
                    connection.evict(reason)
                    return

    def _sweep(self):
        """Closes the connections whose time is up, and reports the reasons."""
        if self.connections or self._listener.is_serving():
            self._loop.call_later(SWEEP_S, self._sweep)
        now = self.read_clock()
        for connection in list(self.receiving):
            connection.check_time(now)
        for connection in self._list_older(self.waiting, self.limits.idle_s):
            if connection.is_idle:
                self.count("idle")
                connection.close()
        for connection in self._list_older(self.unread, self.limits.unread_s):
            self.count("unread")
            connection.abort()
        for connection, deadline in list(self._closing.items()):
            if now >= deadline:
                connection.abort()
        if now - self._reported_at >= REPORT_S:
            self._report(now)

    def _list_older(
        self, index, limit_s: float
    ) -> list[httpconnection.ServerConnection]:
        oldest = self.read_clock() - limit_s
        found = []
        for connection, since in index.items():
            if since > oldest:
                break
            found.append(connection)
        return found

    def _report(self, now: float):
        self._reported_at = now
        rejected = dict(self._rejected)
        self._rejected.clear()
        for reason, count in rejected.items():
            self._on_rejected(reason, count)
