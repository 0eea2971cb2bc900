"""How the limit of a tenant is divided among the services.

Covers a tenant at its limit whose load moves between two services, each with an
owner of its own. An owner can't ask the other one before each start. So the
limit is divided into shares, one for each service, and an owner starts what its
share allows.

An owner changes only the share of its own service. It raises it within what the
sum of all shares leaves of the limit, and lowers it when another service lacks
room. All functions work on one tenant; each resource is divided on its own.
"""

from collections.abc import Mapping
import dataclasses

from persimmonpath import resources
from persimmonpath_entry.state import numbers
from persimmonpath_entry.state import tenants

# Stands for the limit of a resource that the tenant may use without limit.
UNBOUNDED = numbers.MAX_NUMBER
# Part of a limit by which a share has to change to be worth a write.
MIN_CHANGE = 1 / 200
# Part of the unused rest of the limit that a raise takes beyond what is needed,
# and of its own unused rest that a service keeps when another one lacks room.
# Without it, each further start would need a write.
REST_SHARE = 1 / 8
# Part of a limit by which the shares may exceed it for one service to give all
# of that.
SMALL_EXCESS = 1 / 4
# Smaller tasks of a tenant at its limit use whatever becomes free, so that a
# task or gang above KEPT_SHARE of the limit may never fit. Room is kept for one
# of them in each service, once it has waited for KEEP_WAIT_S seconds. One above
# FIRST_SHARE may not fit into what its service gets beside the others; it comes
# before their demand.
KEPT_SHARE = 1 / 16
FIRST_SHARE = 1 / 4
KEEP_WAIT_S = 2.0
# Room is kept for this long at first and at most, in seconds, each time twice
# as long as before, with a pause of KEEP_PAUSE times that in between. It isn't
# known whether what runs ends soon: long-running tasks don't.
FIRST_KEEP_S = 2.0
MAX_KEEP_S = 32.0
KEEP_PAUSE = 2.0
# Sorts after every service with a large task that waits.
_NO_LARGE = (numbers.MAX_NUMBER, "")

# CPU, memory and accelerators, in the units of `resources.Resources`.
_Amounts = tuple[int, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What a service holds of the limit of a tenant.

    Attributes:
      share: what it may use.
      want: what it could use now, ZERO unless that is more than its share.
      large_since: since when a large task or gang has found no room there, in
        Unix seconds; 0 without one. The oldest one in all services gets room
        first.
    """

    share: resources.Resources = resources.ZERO
    want: resources.Resources = resources.ZERO
    large_since: int = 0


EMPTY = Holding()


def convert_limit(limit: tenants.TenantLimit) -> resources.Resources | None:
    """Returns a limit as an amount, None if it limits no resource."""
    if limit.is_unlimited:
        return None
    return resources.Resources(
        *(
            UNBOUNDED if amount is None else amount
            for amount in (limit.cpu, limit.memory_mb, limit.gpu)
        )
    )


def split(amount: resources.Resources) -> _Amounts:
    """Returns CPU, memory and accelerators of an amount."""
    return amount.cpu_millis, amount.memory_mib, amount.accelerators


def find_part(limit: resources.Resources, part: float) -> _Amounts:
    """Returns a part of a limit, in each resource."""
    return tuple(int(whole * part) for whole in split(limit))


def exceeds(amounts: _Amounts, bounds: _Amounts) -> bool:
    """Returns whether any amount is above its bound."""
    return (
        amounts[0] > bounds[0]
        or amounts[1] > bounds[1]
        or amounts[2] > bounds[2]
    )


def is_keeping(waited_s: float) -> bool:
    """Returns whether room is kept for a large task or gang now.

    Args:
      waited_s: seconds since it first found no room.
    """
    waited_s -= KEEP_WAIT_S
    keep_s = FIRST_KEEP_S
    while waited_s >= keep_s * (1 + KEEP_PAUSE):
        waited_s -= keep_s * (1 + KEEP_PAUSE)
        keep_s = min(2 * keep_s, MAX_KEEP_S)
    return 0 <= waited_s < keep_s


def is_contended(
    limit: resources.Resources, holdings: Mapping[str, Holding]
) -> bool:
    """Returns whether a service lacks room or the shares exceed the limit."""
    total = resources.ZERO
    for held in holdings.values():
        if held.want != resources.ZERO:
            return True
        total += held.share
    return not total.fits_in(limit)


def claim(
    limit: resources.Resources,
    holdings: Mapping[str, Holding],
    service: str,
    services: int,
) -> Holding:
    """Returns the holding of a service that has none yet: an equal part.

    Args:
      limit: the limit of the tenant.
      holdings: the holdings of all services by name.
      service: the service.
      services: number of services in the configuration.
    """
    share = [
        0
        if whole >= UNBOUNDED
        else min(whole // max(1, services), max(0, whole - sum(others)))
        for whole, others in zip(
            split(limit), _list_other_shares(holdings, service), strict=True
        )
    ]
    return Holding(resources.Resources(*share))


def compute_allowance(
    limit: resources.Resources,
    holdings: Mapping[str, Holding],
    service: str,
    used: resources.Resources,
    want: resources.Resources,
) -> resources.Resources:
    """Returns what a service may use of the limit of a tenant now.

    If the sum of the shares is above the limit, which has been lowered then, it
    is what the limit leaves beside the shares of the others, all of which may
    be in use. While another service lacks room, this one must not start again
    what the other one is about to get.

    Args:
      limit: the limit of the tenant.
      holdings: the holdings of all services by name, as one version of the row
        has them.
      service: the service.
      used: what it uses.
      want: what it could use.
    """
    own = holdings.get(service, EMPTY)
    allowed = []
    for index, whole in enumerate(split(limit)):
        if whole >= UNBOUNDED:
            allowed.append(UNBOUNDED)
            continue
        share = split(own.share)[index]
        total = sum(split(held.share)[index] for held in holdings.values())
        ceiling = _find_ceiling(
            index, whole, holdings, service, split(used), split(want)
        )
        allowed.append(max(0, min(share, share + whole - total, ceiling)))
    return resources.Resources(*allowed)


def rebalance(
    limit: resources.Resources,
    holdings: Mapping[str, Holding],
    service: str,
    used: resources.Resources,
    want: resources.Resources,
    large_since: int = 0,
) -> Holding:
    """Returns the next holding of a service.

    Args:
      limit: the limit of the tenant.
      holdings: the holdings of all services by name.
      service: the service.
      used: what it uses, with what may still run there for a former owner.
      want: what it could use.
      large_since: as in Holding.
    """
    own = holdings.get(service, EMPTY)
    share = tuple(
        _rebalance_one(
            index, whole, holdings, service, split(used), split(want)
        )
        for index, whole in enumerate(split(limit))
    )
    wanted = tuple(
        0 if whole >= UNBOUNDED else min(amount, whole)
        for amount, whole in zip(split(want), split(limit), strict=True)
    )
    lacks = any(
        amount > held for amount, held in zip(wanted, share, strict=True)
    )
    return dataclasses.replace(
        own,
        share=resources.Resources(*share),
        want=resources.Resources(*wanted) if lacks else resources.ZERO,
        large_since=large_since if lacks else 0,
    )


def keep_lower(stored: Holding, changed: Holding) -> Holding:
    """Returns a changed holding without what it raises of the stored share."""
    share = map(min, split(stored.share), split(changed.share))
    return dataclasses.replace(changed, share=resources.Resources(*share))


def is_worth_writing(
    limit: resources.Resources,
    stored: Holding,
    changed: Holding,
    used: resources.Resources,
) -> bool:
    """Returns whether a changed holding is worth a write to the store.

    Args:
      limit: the limit of the tenant.
      stored: the holding that is stored.
      changed: the next holding.
      used: what the service uses.
    """
    if bool(stored.large_since) != bool(changed.large_since):
        return True
    stored_lacks = stored.want != resources.ZERO
    if stored_lacks != (changed.want != resources.ZERO):
        return True
    pairs = [
        *zip(
            split(stored.share),
            split(changed.share),
            split(limit),
            strict=True,
        ),
        *zip(
            split(stored.want), split(changed.want), split(limit), strict=True
        ),
    ]
    if any(
        abs(after - before) >= max(1, whole * MIN_CHANGE)
        for before, after, whole in pairs
    ):
        return True
    # A small raise that lets something start which has no room yet.
    return any(
        after > before and use >= before
        for before, after, use in zip(
            split(stored.share), split(changed.share), split(used), strict=True
        )
    )


def _list_other_shares(
    holdings: Mapping[str, Holding], service: str
) -> list[list[int]]:
    """Returns the shares of the other services, one list for each resource."""
    others = [
        split(held.share) for name, held in holdings.items() if name != service
    ]
    return [[share[index] for share in others] for index in range(3)]


def _rebalance_one(
    index: int,
    whole: int,
    holdings: Mapping[str, Holding],
    service: str,
    used: _Amounts,
    want: _Amounts,
) -> int:
    """Returns the next share of one resource; see `rebalance`."""
    if whole >= UNBOUNDED:
        return 0
    share = split(holdings.get(service, EMPTY).share)[index]
    total = sum(split(held.share)[index] for held in holdings.values())
    if total > whole:
        # The limit was lowered: all shares shrink in proportion, but none below
        # what is in use. If others are in use, that alone would take many
        # writes, so the first writer takes over a small rest.
        lowered = share * whole // total
        if total - whole <= whole * SMALL_EXCESS:
            lowered = min(lowered, share - (total - whole))
        return max(min(share, used[index]), lowered)
    free = whole - total
    needed = min(want[index], whole) - share
    ceiling = _find_ceiling(index, whole, holdings, service, used, want)
    raised = share
    if needed > 0:
        rest = max(0, free - needed) if ceiling >= whole else 0
        raised += min(free, needed + int(rest * REST_SHARE))
    return max(min(raised, ceiling), min(share, used[index]))


def _find_ceiling(
    index: int,
    whole: int,
    holdings: Mapping[str, Holding],
    service: str,
    used: _Amounts,
    want: _Amounts,
) -> int:
    """Returns the most that a service may use while another one lacks room.

    Returns:
      The amount, UNBOUNDED if no other service lacks room.
    """
    if whole >= UNBOUNDED:
        return UNBOUNDED
    claims = {}
    missing = 0
    first = _NO_LARGE
    total = 0
    for name, held in holdings.items():
        share = split(held.share)[index]
        wanted = min(whole, split(held.want)[index])
        total += share
        if name == service:
            continue
        missing += max(0, wanted - share)
        claims[name] = max(share, wanted)
        if held.large_since and wanted > share:
            first = min(first, (held.large_since, name))
    missing -= max(0, whole - total)
    if missing <= 0:
        return UNBOUNDED
    own = holdings.get(service, EMPTY)
    share = split(own.share)[index]
    reserve = int(max(0, share - used[index]) * REST_SHARE)
    claims[service] = min(whole, max(want[index], used[index] + reserve))
    if own.large_since:
        first = min(first, (own.large_since, service))
    return max(_divide(whole, claims, first[1])[service], share - missing)


def _divide(whole: int, claims: dict[str, int], first: str) -> dict[str, int]:
    """Divides an amount evenly, none getting more than it claims.

    Args:
      whole: the amount.
      claims: what each service claims.
      first: the service whose claim is met before all others, or empty.
    """
    parts = {}
    if first:
        parts[first] = min(whole, claims[first])
        whole -= parts[first]
    rest = sorted((c, name) for name, c in claims.items() if name != first)
    for position, (amount, name) in enumerate(rest):
        parts[name] = min(amount, whole // (len(rest) - position))
        whole -= parts[name]
    return parts
