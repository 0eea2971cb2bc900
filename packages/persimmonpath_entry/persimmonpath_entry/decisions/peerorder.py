"""In which order a VM turns to its peers, so that the load is spread.

Covers dozens of VMs that the store turns away at the same time. All of them
probed the same peers, relayed their calls through the first one, and its few
connections to the store carried none of them in time.
"""

from collections.abc import Iterable
import itertools
import zlib


def sort_peers(own_address: str, peers: Iterable[str]) -> list[str]:
    """Returns peers in an order that differs by VM (rendezvous hashing).

    Args:
      own_address: the address of the VM that asks.
      peers: the addresses of the peers.
    """
    return sorted(
        peers,
        key=lambda address: zlib.crc32(f"{own_address}/{address}".encode()),
    )


def choose_probe_targets(
    own_address: str,
    peers_by_zone: dict[str, list[str]],
    count: int,
    attempt: int,
) -> list[str]:
    """Returns the peers that a VM asks whether they reach the store.

    They are of as many zones as possible; each attempt turns to the next ones.

    Args:
      own_address: the address of the VM that asks.
      peers_by_zone: addresses of the peers by zone.
      count: the most peers to return.
      attempt: number of the attempt.
    """
    ordered = [
        sort_peers(own_address, peers_by_zone[zone])
        for zone in sort_peers(own_address, peers_by_zone)
    ]
    interleaved = [
        address
        for addresses in itertools.zip_longest(*ordered)
        for address in addresses
        if address is not None
    ]
    if len(interleaved) <= count:
        return interleaved
    start = attempt * count % len(interleaved)
    return list(
        itertools.islice(itertools.cycle(interleaved), start, start + count)
    )
