"""Workers removed from the inventory, and stable shard assignment."""

import dataclasses

from persimmonpath import errors
from persimmonpath import inventory

# Bound on the retired workers in a configuration.
MAX_RETIRED = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Retired:
    """A worker that is no longer in the inventory.

    The owner of its shard drains it. A later owner of the shard must know that
    attempts may have run on it or may still run.

    Attributes:
        worker: Its last entry in the inventory.
        version: Version of the configuration that removed it.
    """

    worker: inventory.Worker
    version: int


def assign_shards(
    base: inventory.Inventory,
    retired: tuple[Retired, ...],
    changed: inventory.Inventory,
) -> inventory.Inventory:
    """Assigns a shard to each worker.

    A worker keeps its current shard, or its former one if it returns to the
    same zone; any other worker gets a new one.

    Args:
        base: Inventory of the current version.
        retired: Workers that left the inventory.
        changed: The new inventory.

    Raises:
        errors.InputError: If a worker changes its zone or shard, or a zone its
            number of shards.
    """
    _check_zones(base, changed)
    former = {r.worker.name: r.worker for r in retired}
    present = {worker.name: worker for worker in base.workers}
    shards = {zone.name: zone.shards for zone in changed.zones}
    kept = []
    for worker in changed.workers:
        previous = present.get(worker.name)
        if previous is not None:
            _check_worker(previous, worker)
        else:
            previous = former.get(worker.name)
        if worker.shard is None and previous is not None:
            is_same = previous.zone == worker.zone
            if is_same and (previous.shard or 0) < shards[worker.zone]:
                worker = worker.model_copy(update={"shard": previous.shard})
        kept.append(worker)
    return inventory.assign_shards(
        changed.model_copy(update={"workers": tuple(kept)})
    )


def update_retired(
    base: inventory.Inventory,
    retired: tuple[Retired, ...],
    changed: inventory.Inventory,
    version: int,
) -> list[Retired]:
    """Returns the retired workers of a new version, the latest last.

    Args:
        base: Inventory of the current version.
        retired: Retired workers of the current version.
        changed: Inventory of the new version.
        version: The new version.
    """
    names = {worker.name for worker in changed.workers}
    kept = [r for r in retired if r.worker.name not in names]
    removed = [
        Retired(worker, version)
        for worker in base.workers
        if worker.name not in names
    ]
    return kept + removed


def _check_zones(
    base: inventory.Inventory, changed: inventory.Inventory
) -> None:
    shards = {zone.name: zone.shards for zone in base.zones}
    for zone in changed.zones:
        previous = shards.get(zone.name, zone.shards)
        if zone.shards != previous:
            raise errors.InputError(
                "inventory",
                f"zones: {zone.name}: {zone.shards} shards",
                f"{previous}, which is fixed",
            )


def _check_worker(
    previous: inventory.Worker, changed: inventory.Worker
) -> None:
    if changed.zone != previous.zone:
        raise errors.InputError(
            "inventory",
            f"workers: {changed.name}: zone {changed.zone}",
            f"{previous.zone}; remove the worker first",
        )
    if changed.shard not in (None, previous.shard):
        raise errors.InputError(
            "inventory",
            f"workers: {changed.name}: shard {changed.shard}",
            f"{previous.shard}, which is fixed",
        )
