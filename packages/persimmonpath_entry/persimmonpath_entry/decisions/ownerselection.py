"""Which VM owns a service.

Answers the load of a service on VMs of unlike sizes: its owner talks to every
worker, which a VM with a narrow link or half a core can't do at a crest.
"""

import zlib

# A link of this width carries the traffic of an owner.
FULL_WEIGHT_LINK_MBPS = 100.0
# An owner gives way to a VM that is this many times stronger.
TRANSFER_WEIGHT_RATIO = 2.0
# A VM that owns another service lets this many others try first.
BUSY_RANK_PENALTY = 2
# Knuth's multiplier, 2**32 divided by the golden ratio.
HASH_MULTIPLIER = 2654435761


def compute_vm_weight(
    cpu_share: float, cores: float, link_mbps: float
) -> float:
    """Returns how fit a VM is to own a service, in cores."""
    link_share = min(1.0, link_mbps / FULL_WEIGHT_LINK_MBPS)
    return round(cpu_share * cores * link_share, 2)


def rank_candidate(
    service: str,
    own_address: str,
    weights: dict[str, float],
    owns_service: bool,
) -> int:
    """Returns how many VMs try to take a service over before this one.

    Args:
      service: the service.
      own: the address of this VM.
      weights: the fitness of each VM that is there, by address.
      is_busy: whether this VM owns another service.
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
    """Returns a hash whose order differs with each part of a text.

    CRC-32 alone is linear: names of one length keep nearly the same order.
    """
    return zlib.crc32(text.encode()) * HASH_MULTIPLIER % 2**32


def is_outweighed(own_weight: float, other_weights: list[float]) -> bool:
    """Returns whether an owner gives its service up to a stronger VM."""
    return max(other_weights, default=0.0) >= TRANSFER_WEIGHT_RATIO * own_weight
