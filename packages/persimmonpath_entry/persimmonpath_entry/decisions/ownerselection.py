"""Which VM owns a service.

Covers VMs of different sizes. The owner of a service calls all its workers,
which a VM with a slow link or half a core can't do at peak load.
"""

import zlib

# Link bandwidth in Mbit/s that is enough for the traffic of an owner; more
# doesn't increase the weight.
FULL_WEIGHT_LINK_MBPS = 100.0
# An owner transfers its service to a VM with at least this many times its
# weight.
TRANSFER_WEIGHT_RATIO = 2.0
# Number of places by which a VM that owns another service moves back.
BUSY_RANK_PENALTY = 2
# Multiplier of Knuth's multiplicative hash: 2**32 divided by the golden ratio.
HASH_MULTIPLIER = 2654435761


def compute_vm_weight(
    cpu_share: float, cores: float, link_mbps: float
) -> float:
    """Returns the weight of a VM as an owner, in cores.

    Args:
      cpu_share: share of its cores that the VM can use, 0 to 1.
      cores: number of cores.
      link_mbps: link bandwidth in Mbit/s.
    """
    link_share = min(1.0, link_mbps / FULL_WEIGHT_LINK_MBPS)
    return round(cpu_share * cores * link_share, 2)


def rank_candidate(
    service: str,
    own_address: str,
    weights: dict[str, float],
    owns_service: bool,
) -> int:
    """Returns how many VMs try to take over a service before this one.

    Args:
      service: the name of the service.
      own_address: the address of this VM.
      weights: the weight of each reachable VM by address.
      owns_service: whether this VM owns another service.
    """
    ranked = sorted(
        weights,
        key=lambda address: (
            -weights[address],
            _hash_text(f"{service}/{address}"),
        ),
    )
    rank = ranked.index(own_address)
    return rank + BUSY_RANK_PENALTY if owns_service else rank


def _hash_text(text: str) -> int:
    """Returns a 32-bit hash that orders the same VMs differently per service.

    CRC-32 alone is linear: texts of equal length keep nearly the same order.
    """
    return zlib.crc32(text.encode()) * HASH_MULTIPLIER % 2**32


def is_outweighed(own_weight: float, other_weights: list[float]) -> bool:
    """Returns whether an owner should transfer its service to another VM."""
    return max(other_weights, default=0.0) >= TRANSFER_WEIGHT_RATIO * own_weight


def list_much_stronger(
    own_weight: float, weights: dict[str, float], limit: int
) -> list[str]:
    """Returns the VMs that should take a service over instead of this one.

    Covers an outage after which a VM with a narrow link is the first to reach
    the store again. It can't load a service of thousands of submissions before
    its lease ends, and the next such VM takes over from it.

    Args:
      own_weight: the weight of this VM.
      weights: the weights of the reachable peers by address.
      limit: most VMs to return.

    Returns:
      Addresses, the strongest first.
    """
    stronger = [
        address
        for address, weight in weights.items()
        if is_outweighed(own_weight, [weight])
    ]
    stronger.sort(key=lambda address: (-weights[address], address))
    return stronger[:limit]
