"""Limits of what clients may send to an HTTP port, and its budget of bytes.

The limits of a connection provide fairness between clients. What keeps a
process within the memory of its machine is the budget, which is shared by all
connections of a port.
"""

import dataclasses
import resource
import threading

# What the connection itself occupies: its transport, parser and protocol.
CONNECTION_BYTES = 6000
# What a complete request occupies beside its head and its body.
REQUEST_BYTES = 1000
# Part of a machine's memory that the budgets of all ports may use. Buffers that
# grow or are joined occupy up to twice their bytes for a short time.
MEMORY_SHARE = 1 / 8
# Memory assumed where none is set: that of the smallest machine.
DEFAULT_MEMORY_MB = 160
# Most connections, those being closed included, as a multiple of the limit.
CLOSING_FACTOR = 1.25
# Descriptors are reserved for the store, peers and workers: the connections of
# all ports together, those being closed included, use at most 54 percent.
BYTE_SHARES = {"front": 0.7, "peer": 0.2, "ready": 0.05, "metrics": 0.05}
CONNECTION_SHARES = {"front": 0.3, "peer": 0.2, "ready": 0.02, "metrics": 0.02}


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """The limits of the connections of one port.

    Attributes:
      head_bytes: largest head of a request, its first line included; also the
        largest trailer.
      head_lines: most header lines of a request.
      target_bytes: longest target, path and query.
      body_bytes: largest body.
      head_s: seconds in which a head has to arrive.
      body_s: seconds in which a body has to arrive after its head.
      idle_s: seconds after which a connection without a request is closed.
      unread_s: seconds after which a connection is closed whose client doesn't
        read a response.
      queued: requests waiting on a connection from which it isn't read on.
      connections: most connections of the port.
      address_connections: most connections of a client address, 0 for no limit
        of its own.
      budget_bytes: what all that is received may occupy.
      socket_bytes: receive buffer and send buffer that the kernel keeps for a
        connection, of which Linux doubles each. They count as memory of the
        process and aren't part of `budget_bytes`.
    """

    head_bytes: int = 32768
    head_lines: int = 4096
    target_bytes: int = 16384
    body_bytes: int = 1 << 20
    head_s: float = 5.0
    body_s: float = 20.0
    idle_s: float = 20.0
    unread_s: float = 15.0
    queued: int = 16
    connections: int = 10_000
    address_connections: int = 0
    budget_bytes: int = 64 << 20
    socket_bytes: int = 16384


def derive_limits(
    base: HttpLimits, port: str, memory_mb: int, max_fds: int
) -> HttpLimits:
    """Returns the limits of a port, with its part of the memory and files.

    Args:
      base: the limits of the settings. A value of 0 for `budget_bytes` or
        `connections` derives it from the machine; other values are divided
        among the ports, too.
      port: name of the port, a key of `BYTE_SHARES`.
      memory_mb: memory of the machine, 0 if it isn't known.
      max_fds: most open files of the process, 0 if it isn't known.
    """
    total = base.budget_bytes or int(
        (memory_mb or DEFAULT_MEMORY_MB) * (1 << 20) * MEMORY_SHARE
    )
    largest = CONNECTION_BYTES + base.head_bytes + base.body_bytes
    fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_fds:
        fds = min(fds, max_fds)
    connections = int(fds * CONNECTION_SHARES[port] / CLOSING_FACTOR)
    if base.connections:
        connections = min(connections, base.connections)
    return dataclasses.replace(
        base,
        # One request within the limits is served in any case.
        budget_bytes=max(int(total * BYTE_SHARES[port]), 2 * largest),
        connections=max(connections, 1),
    )


class ByteBudget:
    """Counts the bytes that the connections of a port occupy.

    Attributes:
      total: most bytes.
      used: bytes in use; above the total, the owner has to free some.
    """

    __slots__ = ("total", "used")

    def __init__(self, total: int):
        self.total = total
        self.used = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether more bytes are in use than there are."""
        return self.used > self.total


class SharedByteBudget:
    """A budget of bytes that several threads use."""

    def __init__(self, total: int):
        self._total = total
        self._used = 0
        self._lock = threading.Lock()

    def acquire(self, amount: int) -> bool:
        """Reserves bytes; returns whether there were enough."""
        with self._lock:
            if self._used + amount > self._total:
                return False
            self._used += amount
            return True

    def release(self, amount: int) -> None:
        """Gives reserved bytes back."""
        with self._lock:
            self._used -= amount
