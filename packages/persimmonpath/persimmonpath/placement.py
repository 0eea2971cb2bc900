"""Chooses the worker on which a task is placed.

Best fit keeps large workers free for large tasks when a shard runs many small
ones. Choices count reservations made here, so a burst of starts cannot
overload a worker whose usage report lags behind.
"""

import dataclasses

from persimmonpath import fitindex
from persimmonpath import invariants
from persimmonpath import inventory
from persimmonpath import resources
from persimmonpath import rules

# Fitting workers of each capacity that are compared by rack for a task that is
# spread over racks.
SPREAD_CANDIDATES = 32
# The cache of refused requests is cleared when it has this many entries.
MAX_CACHED_UNPLACEABLE = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Constraints:
    """Placement constraints of a task besides its resources.

    Attributes:
        kind: Kind of work, for the placement rules.
        team: Team that is charged, for the placement rules.
        rack_counts: Tasks of the same service by rack; a worker in the rack
            with the fewest is preferred. Empty for work that is not spread.
        avoided: Names of workers that must not be used.
        spare_slots_share: Share of the worker's slots that must stay free,
            from 0 to 1.
    """

    kind: str = ""
    team: str = ""
    rack_counts: tuple[tuple[str, int], ...] = ()
    avoided: frozenset[str] = frozenset()
    spare_slots_share: float = 0.0


NO_CONSTRAINTS = Constraints()


def find_racks(
    placement_rules: tuple[rules.PlacementRule, ...], kind: str, team: str
) -> frozenset[str] | None:
    """Returns the racks that all matching rules allow, None for any rack."""
    allowed = None
    for rule in placement_rules:
        if not rule.racks or not matches(rule, kind, team):
            continue
        racks = frozenset(rule.racks)
        allowed = racks if allowed is None else allowed & racks
    return allowed


def matches(rule: rules.PlacementRule, kind: str, team: str) -> bool:
    """Returns whether a rule applies to work of a kind and team."""
    return rule.kind in ("*", kind) and rule.team in ("*", team)


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class WorkerAllocation(fitindex.IndexEntry):
    """A worker and the reservations on it.

    Attributes:
        worker: Its inventory entry.
        reserved: Reserved resources by attempt id.
        is_open: Whether it takes new work.
    """

    worker: inventory.Worker
    reserved: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    is_open: bool = False


def create_allocation(worker: inventory.Worker) -> WorkerAllocation:
    """Returns the allocation of an idle worker, closed to new work."""
    return WorkerAllocation(
        worker=worker,
        capacity=worker.capacity,
        free=worker.capacity,
        free_slots=worker.slots,
    )


class Placement:
    """Tracks reservations on the workers of one shard and chooses workers.

    Free capacity follows from the reservations made here alone; usage reported
    by workers lags behind and is not used. Not thread-safe.
    """

    def __init__(self):
        """Creates a placement without workers."""
        self._allocations: dict[str, WorkerAllocation] = {}
        self._index = fitindex.FitIndex()
        self._rules: tuple[rules.PlacementRule, ...] = ()
        self._open_slots = 0
        # Sizes and constraints that fitted no worker since capacity was last
        # released.
        self._unplaceable: set[tuple] = set()

    def apply_rules(
        self, placement_rules: tuple[rules.PlacementRule, ...]
    ) -> None:
        """Sets the placement rules for later choices."""
        self._rules = placement_rules
        self._unplaceable.clear()

    def add_worker(self, worker: inventory.Worker) -> None:
        """Adds a worker without reservations, closed to new work."""
        self.set_open(worker.name, False)
        self._allocations[worker.name] = create_allocation(worker)

    def remove_worker(self, name: str) -> None:
        """Removes a worker; does nothing when it is not known."""
        self.set_open(name, False)
        self._allocations.pop(name, None)

    def set_open(self, name: str, is_open: bool) -> None:
        """Opens or closes a worker to new work."""
        allocation = self._allocations.get(name)
        if allocation is None or allocation.is_open == is_open:
            return
        allocation.is_open = is_open
        if is_open:
            self._index.add(allocation)
            self._open_slots += allocation.free_slots
            self._unplaceable.clear()
        else:
            self._index.remove(allocation)
            self._open_slots -= allocation.free_slots

    def choose(
        self,
        size: resources.Resources,
        constraints: Constraints = NO_CONSTRAINTS,
    ) -> str | None:
        """Returns the best fitting open worker, or None when none fits.

        The best fit leaves the smallest dominant share of a worker's capacity
        free. Workers with accelerators are chosen for work that needs none
        only when no other worker fits.
        """
        shape = (size, constraints)
        if shape in self._unplaceable:
            return None
        allocation = self._choose_allocation(size, constraints)
        if allocation is None:
            if len(self._unplaceable) >= MAX_CACHED_UNPLACEABLE:
                self._unplaceable.clear()
            self._unplaceable.add(shape)
            return None
        return allocation.worker.name

    def reserve(
        self, name: str, attempt: str, size: resources.Resources
    ) -> None:
        """Reserves a slot and resources of a worker for an attempt.

        A repeated reservation of the same attempt changes nothing.
        """
        allocation = self._allocations[name]
        if attempt in allocation.reserved:
            return
        allocation.reserved[attempt] = size
        self._update_free(allocation, allocation.free - size, -1)

    def ensure_capacity(self, name: str) -> None:
        """Checks that the reservations on a worker fit its capacity.

        Raises:
            errors.InvariantError: If they exceed it.
        """
        allocation = self._allocations[name]
        invariants.ensure(
            not allocation.free.is_negative() and allocation.free_slots >= 0,
            f"worker {name} is reserved beyond its capacity",
        )

    def release(self, name: str, attempt: str) -> None:
        """Releases the reservation of an attempt, if it has one."""
        allocation = self._allocations.get(name)
        size = allocation.reserved.pop(attempt, None) if allocation else None
        if size is None:
            return
        self._update_free(allocation, allocation.free + size, 1)
        self._unplaceable.clear()

    def count_free_slots(self) -> int:
        """Returns the number of free slots on all open workers."""
        return self._open_slots

    def get_worker(self, name: str) -> inventory.Worker:
        """Returns the inventory entry of a worker."""
        return self._allocations[name].worker

    def find_rack(self, name: str) -> str:
        """Returns the rack of a worker, empty if it has been removed."""
        allocation = self._allocations.get(name)
        return allocation.worker.rack if allocation else ""

    def allows(self, name: str, kind: str, team: str) -> bool:
        """Returns whether the rules allow work of a kind and team there."""
        racks = find_racks(self._rules, kind, team)
        return racks is None or self._allocations[name].worker.rack in racks

    def get_free(self, name: str) -> tuple[resources.Resources, int]:
        """Returns the free resources and slots of a worker."""
        allocation = self._allocations[name]
        return allocation.free, allocation.free_slots

    def list_open(self) -> list[str]:
        """Returns the names of the workers open to new work."""
        return [
            n
            for n, allocation in self._allocations.items()
            if allocation.is_open
        ]

    def _update_free(
        self,
        allocation: WorkerAllocation,
        free: resources.Resources,
        slots: int,
    ) -> None:
        if not allocation.is_open:
            allocation.free = free
            allocation.free_slots += slots
            return
        self._index.remove(allocation)
        allocation.free = free
        allocation.free_slots += slots
        self._open_slots += slots
        self._index.add(allocation)

    def _choose_allocation(
        self, size: resources.Resources, constraints: Constraints
    ) -> WorkerAllocation | None:
        racks = find_racks(self._rules, constraints.kind, constraints.team)

        def allows(allocation: WorkerAllocation) -> bool:
            spare_slots = int(
                allocation.worker.slots * constraints.spare_slots_share
            )
            return (
                allocation.free_slots > spare_slots
                and allocation.worker.name not in constraints.avoided
                and (racks is None or allocation.worker.rack in racks)
            )

        for is_accelerated in (False, True):
            if size.accelerators and not is_accelerated:
                continue
            found = self._index.list_best(
                size,
                is_accelerated,
                SPREAD_CANDIDATES if constraints.rack_counts else 1,
                allows,
            )
            if found:
                counts = dict(constraints.rack_counts)
                return min(found, key=lambda f: counts.get(f.worker.rack, 0))
        return None
