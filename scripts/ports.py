"""Reserves TCP ports of the loopback address for servers to be started."""

import itertools
import pathlib
import random
import socket

LOOPBACK = "127.0.0.1"
EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_RANGE = (32768, 60999)
FIRST_PORT = 10_000
LAST_PORT = 65_535

# Bound sockets that keep other processes from taking the ports.
_held: list[socket.socket] = []


def reserve_ports(count: int) -> list[int]:
    """Reserves distinct ports until this process ends.

    They lie outside the range from which the kernel takes the local ports of
    outgoing connections. Each is held by a socket that doesn't listen, beside
    which a server can bind the port if it sets SO_REUSEADDR, as the servers of
    asyncio, cheroot and gRPC do.

    Raises:
      OSError: if there are no free ports.
    """
    candidates = _list_candidates()
    random.SystemRandom().shuffle(candidates)
    reserved = itertools.islice(filter(_reserve, candidates), count)
    ports = list(reserved)
    if len(ports) < count:
        raise OSError(f"only {len(ports)} of {count} ports are free")
    return ports


def read_ephemeral_range() -> tuple[int, int]:
    """Returns the first and last local port of outgoing connections."""
    try:
        first, last = EPHEMERAL_RANGE.read_text().split()
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_RANGE
    return int(first), int(last)


def _list_candidates() -> list[int]:
    first, last = read_ephemeral_range()
    return [
        port
        for port in range(FIRST_PORT, LAST_PORT + 1)
        if not first <= port <= last
    ]


def _reserve(port: int) -> bool:
    """Holds a port; returns whether it was free."""
    one = socket.socket()
    try:
        one.bind((LOOPBACK, port))
    except OSError:
        one.close()
        return False
    # Set after the bind, so that of two reservations of a port one fails.
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _held.append(one)
    return True
