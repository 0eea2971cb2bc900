"""Which VM owns a service.

Answers the load of a service on VMs of unlike sizes: its owner talks to every
worker, which a VM with a narrow link or half a core can't do at a crest.
"""

import zlib

# A link of this width carries the traffic of an owner.
AMPLE_LINK_MBPS = 100.0
# An owner gives way to a VM that is this many times stronger.
STRONGER = 2.0
# A VM that owns another service lets this many others try first.
BUSY_RANK = 2
# Knuth's multiplier, 2**32 divided by the golden ratio.
HASH_MULTIPLIER = 2654435761


def weigh_vm(cpu_share: float, cores: float, link_mbps: float) -> float:
    """Returns how fit a VM is to own a service, in cores."""
    link = min(1.0, link_mbps / AMPLE_LINK_MBPS)
    return round(cpu_share * cores * link, 2)


def rank_candidate(
    service: str, own: str, weights: dict[str, float], is_busy: bool
) -> int:
    """Returns how many VMs try to take a service over before this one.

    Args:
      service: the service.
      own: the address of this VM.
      weights: the fitness of each VM that is there, by address.
      is_busy: whether this VM owns another service.
    """
    order = sorted(
        weights,
        key=lambda address: (
            -weights[address],
            _mix(f"{service}/{address}"),
        ),
    )
    rank = order.index(own)
    return rank + BUSY_RANK if is_busy else rank


def _mix(text: str) -> int:
    """Returns a hash whose order differs with each part of a text.

    CRC-32 alone is linear: names of one length keep nearly the same order.
    """
    return zlib.crc32(text.encode()) * HASH_MULTIPLIER % 2**32


def is_outdone(own_weight: float, others: list[float]) -> bool:
    """Returns whether an owner gives its service up to a stronger VM."""
    return max(others, default=0.0) >= STRONGER * own_weight
