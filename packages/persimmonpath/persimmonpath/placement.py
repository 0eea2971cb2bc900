"""Choice of a worker for a task."""

from collections.abc import Collection
import dataclasses

from persimmonpath import invariants
from persimmonpath import inventory
from persimmonpath import resources


@dataclasses.dataclass(slots=True)
class _Load:
    worker: inventory.Worker
    free: resources.Resources
    free_slots: int
    reserved: dict[str, resources.Resources]
    is_open: bool


class Placement:
    """Reservations on the workers of one shard.

    Only reservations made here count; a worker's lagging usage report is never
    consulted.
    """

    def __init__(self):
        """Creates a placement without workers."""
        self._loads: dict[str, _Load] = {}

    def add_worker(self, worker: inventory.Worker) -> None:
        """Adds a worker without reservations, closed to new work."""
        self._loads[worker.name] = _Load(
            worker, worker.capacity, worker.slots, {}, False
        )

    def remove_worker(self, name: str) -> None:
        """Forgets a worker; does nothing when it is not known."""
        self._loads.pop(name, None)

    def set_open(self, name: str, is_open: bool) -> None:
        """Opens or closes a worker to new work."""
        if name in self._loads:
            self._loads[name].is_open = is_open

    def choose(
        self,
        size: resources.Resources,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Returns the open worker that fits best, or None when none fits.

        Args:
            size: What the task needs.
            excluded: Workers not to choose.
        """
        best = None
        best_left = None
        for load in self._loads.values():
            if not load.is_open or load.free_slots < 1:
                continue
            if load.worker.name in excluded:
                continue
            if not size.fits_in(load.free):
                continue
            left = load.free - size
            rank = (left.accelerators, -load.free_slots, left.cpu_millis)
            if best_left is None or rank < best_left:
                best, best_left = load.worker.name, rank
        return best

    def reserve(
        self, name: str, attempt: str, size: resources.Resources
    ) -> None:
        """Takes a slot and resources of a worker for an attempt."""
        load = self._loads[name]
        if attempt in load.reserved:
            return
        load.reserved[attempt] = size
        load.free = load.free - size
        load.free_slots -= 1

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
        load.free = load.free + size
        load.free_slots += 1

    def count_free_slots(self) -> int:
        """Returns the free slots of all open workers."""
        return sum(w.free_slots for w in self._loads.values() if w.is_open)
