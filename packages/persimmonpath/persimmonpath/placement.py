"""Choice of a worker for a task."""

import dataclasses

from persimmonpath import fits
from persimmonpath import invariants
from persimmonpath import inventory
from persimmonpath import resources
from persimmonpath import rules

# Fitting workers compared for a task that is spread over racks.
SPREAD_CANDIDATES = 32
MAX_CACHED_REFUSALS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a task asks of its worker besides resources.

    Attributes:
        kind: Kind of work, for the placement rules.
        team: Team that is charged, for the placement rules.
        rack_counts: Tasks of the same service by rack; the worker is taken
            from a rack with few of them. Empty for work that is not spread.
        avoided: Workers that must not be used.
        spare_slots_share: Share of the worker's slots that must stay free.
    """

    kind: str = ""
    team: str = ""
    rack_counts: tuple[tuple[str, int], ...] = ()
    avoided: frozenset[str] = frozenset()
    spare_slots_share: float = 0.0


ANY = Need()


def find_racks(
    placement_rules: tuple[rules.PlacementRule, ...], kind: str, team: str
) -> frozenset[str] | None:
    """Returns the racks that every matching rule allows, None for all."""
    allowed = None
    for rule in placement_rules:
        if not rule.racks or not matches(rule, kind, team):
            continue
        racks = frozenset(rule.racks)
        allowed = racks if allowed is None else allowed & racks
    return allowed


def matches(rule: rules.PlacementRule, kind: str, team: str) -> bool:
    """Returns whether a rule is for work of a kind and team."""
    return rule.kind in ("*", kind) and rule.team in ("*", team)


class Placement:
    """Reservations on the workers of one shard.

    Only reservations made here count; a worker's lagging usage report is never
    consulted.
    """

    def __init__(self):
        """Creates a placement without workers."""
        self._loads: dict[str, fits.Load] = {}
        self._index = fits.FitIndex()
        self._rules: tuple[rules.PlacementRule, ...] = ()
        self._open_slots = 0
        # Requests that fitted nowhere since capacity last came free.
        self._refused: set[tuple] = set()

    def apply_rules(
        self, placement_rules: tuple[rules.PlacementRule, ...]
    ) -> None:
        """Makes later choices follow these rules."""
        self._rules = placement_rules
        self._refused.clear()

    def add_worker(self, worker: inventory.Worker) -> None:
        """Adds a worker without reservations, closed to new work."""
        self.set_open(worker.name, False)
        self._loads[worker.name] = fits.create_load(worker)

    def remove_worker(self, name: str) -> None:
        """Forgets a worker; does nothing when it is not known."""
        self.set_open(name, False)
        self._loads.pop(name, None)

    def set_open(self, name: str, is_open: bool) -> None:
        """Opens or closes a worker to new work."""
        load = self._loads.get(name)
        if load is None or load.is_open == is_open:
            return
        load.is_open = is_open
        if is_open:
            self._index.add(load)
            self._open_slots += load.free_slots
            self._refused.clear()
        else:
            self._index.remove(load)
            self._open_slots -= load.free_slots

    def choose(self, size: resources.Resources, need: Need = ANY) -> str | None:
        """Returns the open worker that fits best, or None when none fits.

        Best is the least dominant share left free. Workers with accelerators
        are taken for work that needs none only when no other worker fits.
        """
        shape = (size, need)
        if shape in self._refused:
            return None
        load = self._choose_load(size, need)
        if load is None:
            if len(self._refused) >= MAX_CACHED_REFUSALS:
                self._refused.clear()
            self._refused.add(shape)
            return None
        return load.worker.name

    def reserve(
        self, name: str, attempt: str, size: resources.Resources
    ) -> None:
        """Takes a slot and resources of a worker for an attempt."""
        load = self._loads[name]
        if attempt in load.reserved:
            return
        load.reserved[attempt] = size
        self._change(load, load.free - size, -1)

    def ensure_capacity(self, name: str) -> None:
        """Checks the invariant that no worker is overloaded."""
        load = self._loads[name]
        invariants.ensure(
            not load.free.is_negative() and load.free_slots >= 0,
            f"worker {name} is reserved beyond its capacity",
        )

    def release(self, name: str, attempt: str) -> None:
        """Gives back what an attempt held; does nothing when it holds none."""
        load = self._loads.get(name)
        size = load.reserved.pop(attempt, None) if load else None
        if size is None:
            return
        self._change(load, load.free + size, 1)
        self._refused.clear()

    def count_free_slots(self) -> int:
        """Returns the free slots of all open workers."""
        return self._open_slots

    def get_worker(self, name: str) -> inventory.Worker:
        """Returns a worker as it was added."""
        return self._loads[name].worker

    def find_rack(self, name: str) -> str:
        """Returns the rack of a worker, empty for one that is gone."""
        load = self._loads.get(name)
        return load.worker.rack if load else ""

    def allows(self, name: str, kind: str, team: str) -> bool:
        """Returns whether the rules allow work on a worker."""
        racks = find_racks(self._rules, kind, team)
        return racks is None or self._loads[name].worker.rack in racks

    def get_free(self, name: str) -> tuple[resources.Resources, int]:
        """Returns the free resources and slots of a worker."""
        load = self._loads[name]
        return load.free, load.free_slots

    def list_open(self) -> list[str]:
        """Returns the names of the workers open to new work."""
        return [n for n, load in self._loads.items() if load.is_open]

    def _change(
        self, load: fits.Load, free: resources.Resources, slots: int
    ) -> None:
        if not load.is_open:
            load.free = free
            load.free_slots += slots
            return
        self._index.remove(load)
        load.free = free
        load.free_slots += slots
        self._open_slots += slots
        self._index.add(load)

    def _choose_load(
        self, size: resources.Resources, need: Need
    ) -> fits.Load | None:
        racks = find_racks(self._rules, need.kind, need.team)

        def allows(load: fits.Load) -> bool:
            kept = int(load.worker.slots * need.spare_slots_share)
            return (
                load.free_slots > kept
                and load.worker.name not in need.avoided
                and (racks is None or load.worker.rack in racks)
            )

        for is_accelerated in (False, True):
            if size.accelerators and not is_accelerated:
                continue
            found = self._index.list_best(
                size,
                is_accelerated,
                SPREAD_CANDIDATES if need.rack_counts else 1,
                allows,
            )
            if found:
                counts = dict(need.rack_counts)
                return min(found, key=lambda f: counts.get(f.worker.rack, 0))
        return None
