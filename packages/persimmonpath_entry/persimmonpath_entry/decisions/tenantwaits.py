"""How long new work of each tenant waits while capacity is short.

Covers a service in which one tenant has a long backlog and the others have
none. By one wait for all, new work of the others would be refused for a backlog
that it doesn't wait for.
"""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.state import fleet

# Most tenants named in the published waits, each with an own wait or above its
# agreed rate. Every VM reads them again and again.
MAX_PUBLISHED_TENANTS = 32
# Longest name of a tenant that is published, in characters.
MAX_NAME_LENGTH = 64
# Waits of work beyond the agreed rate are published from here on, in seconds.
# Urgent work of half a second is late after such a wait.
MIN_EXCESS_WAIT_S = 0.5


class TenantWaits(msgspec.Struct, omit_defaults=True):
    """Expected waits in seconds; short ones are left out.

    Attributes:
      levels: until the work within the agreed rates is worked off, by its
        priority. A tenant without work of a priority waits for the more urgent
        ones only.
      tenants: the waits of tenants with work of a priority, by tenant and
        priority.
      excess: until the work beyond the agreed rates is worked off as well, by
        its priority.
      exceeding: the tenants that send more than agreed, with the waits of their
        work beyond it by priority.
    """

    levels: dict[int, float] = {}
    tenants: dict[str, dict[int, float]] = {}
    excess: dict[int, float] = {}
    exceeding: dict[str, dict[int, float]] = {}

    def find_wait(self, tenant: str, priority: int) -> float:
        """Returns the wait of new work inside the rate of a tenant."""
        own_s = self.tenants.get(tenant, {}).get(priority, 0.0)
        return max(_find_more_urgent(self.levels, priority), own_s)

    def find_excess_wait(self, tenant: str, priority: int) -> float:
        """Returns the wait of new work beyond the rate of a tenant."""
        return max(
            max(self.levels.values(), default=0.0),
            _find_more_urgent(self.excess, priority),
            self.exceeding.get(tenant, {}).get(priority, 0.0),
        )


def _find_more_urgent(levels: dict[int, float], priority: int) -> float:
    """Returns the longest wait of the levels before a priority."""
    return max(
        (wait_s for level, wait_s in levels.items() if level < priority),
        default=0.0,
    )


def estimate(
    workers: Iterable[fleet.Worker],
    waiting: Iterable[admission.WaitingWork],
    find_weight: Callable[[str], float],
    exceeding: Iterable[str] = (),
) -> TenantWaits:
    """Returns how long new work waits, by tenant.

    Within a priority, tenants work off their backlogs in parallel, each with a
    part of the capacity by its weight; the parts of those that are done go to
    the others. Work beyond the agreed rates follows after all other, and is
    divided in the same way.

    Args:
      workers: the workers in service.
      waiting: the work that waits and can still be of use.
      find_weight: returns the weight of a tenant.
      exceeding: tenants that send more than agreed, the first ones of which are
        published.
    """
    workers = list(workers)
    capacity = admission.sum_capacity(workers)
    needs = _sum_needs(workers, waiting)
    total = [0.0, 0.0, 0.0]
    waits = TenantWaits()
    own_waits: dict[bool, list[_OwnWait]] = {False: [], True: []}
    for is_excess, priority in sorted(needs):
        by_tenant = needs[is_excess, priority]
        began_s = _measure_duration(total, capacity)
        for amounts in by_tenant.values():
            for index, amount in enumerate(amounts):
                total[index] += amount
        ends_s = _measure_duration(total, capacity)
        if ends_s >= _choose_limit(is_excess):
            levels = waits.excess if is_excess else waits.levels
            levels[priority] = round(ends_s, 1)
        for tenant, part in _divide(by_tenant, capacity, find_weight).items():
            own_waits[is_excess].append(
                (began_s + part * (ends_s - began_s), tenant, priority)
            )
    named = [n for n in exceeding if len(n) <= MAX_NAME_LENGTH]
    waits.exceeding = {n: {} for n in named[:MAX_PUBLISHED_TENANTS]}
    _publish(waits.exceeding, own_waits[True], _choose_limit(True))
    _publish(waits.tenants, own_waits[False], _choose_limit(False))
    return waits


# The wait of a tenant in seconds, its name and the priority.
_OwnWait = tuple[float, str, int]


def _choose_limit(is_excess: bool) -> float:
    """Returns from which length on a wait is published, in seconds."""
    return MIN_EXCESS_WAIT_S if is_excess else admission.MIN_PUBLISHED_WAIT_S


def _sum_needs(
    workers: list[fleet.Worker], waiting: Iterable[admission.WaitingWork]
) -> dict[tuple[bool, int], dict[str, list[float]]]:
    """Returns resource-seconds by excess and priority, and by tenant."""
    needs: dict[tuple[bool, int], dict[str, list[float]]] = {}
    for work in waiting:
        spec = work.spec
        if not any(placement.can_ever_fit(worker, spec) for worker in workers):
            continue
        by_tenant = needs.setdefault((work.is_excess, work.priority), {})
        amounts = by_tenant.setdefault(work.tenant, [0.0, 0.0, 0.0])
        sizes = (0 if spec.is_filler else spec.cpu, spec.memory_mb, spec.gpu)
        for index, size in enumerate(sizes):
            amounts[index] += size * work.count * work.run_s
    return needs


def _measure_duration(needs: list[float], capacity: list[float]) -> float:
    """Returns the seconds for which all capacity is busy with work."""
    return max(
        need / max(1, room) for need, room in zip(needs, capacity, strict=True)
    )


def _divide(
    by_tenant: dict[str, list[float]],
    capacity: list[float],
    find_weight: Callable[[str], float],
) -> dict[str, float]:
    """Returns at which part of a level's duration each tenant is done."""
    durations = {
        tenant: _measure_duration(amounts, capacity)
        for tenant, amounts in by_tenant.items()
    }
    weights = {tenant: find_weight(tenant) for tenant in by_tenant}
    order = sorted(by_tenant, key=lambda name: durations[name] / weights[name])
    remaining_weight = sum(weights.values())
    elapsed_s = 0.0
    served = 0.0
    ends_s = {}
    for tenant in order:
        per_weight = durations[tenant] / weights[tenant]
        elapsed_s += (per_weight - served) * remaining_weight
        served = per_weight
        remaining_weight -= weights[tenant]
        ends_s[tenant] = elapsed_s
    if elapsed_s <= 0:
        return dict.fromkeys(order, 0.0)
    return {tenant: end_s / elapsed_s for tenant, end_s in ends_s.items()}


def _publish(
    rows: dict[str, dict[int, float]], waits: list[_OwnWait], limit_s: float
):
    """Adds the longest waits of tenants, as far as the bounds allow."""
    for wait_s, tenant, priority in sorted(waits, reverse=True):
        if wait_s < limit_s:
            return
        if len(tenant) > MAX_NAME_LENGTH:
            continue
        if tenant not in rows:
            if len(rows) >= MAX_PUBLISHED_TENANTS:
                continue
            rows[tenant] = {}
        rows[tenant][priority] = round(wait_s, 1)
