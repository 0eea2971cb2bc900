"""The configuration of a cell: numbered versions of inventory and rules."""

import dataclasses
import threading

from persimmonpath import identifiers
from persimmonpath import invariants
from persimmonpath import inventory
from persimmonpath import retirement
from persimmonpath import rules


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the inventory and the rules.

    Attributes:
        version: Number of the version, from 1; 0 for the empty one.
        author: Name of the operator who committed it.
        inventory: Availability zones and workers.
        rules: Placement rules, quotas and policy settings.
        retired: Workers that were removed and may still run tasks.
        forgotten_version: Highest version whose removals are no longer in
            `retired`.
    """

    version: int
    author: str
    inventory: inventory.Inventory
    rules: rules.Rules
    retired: tuple[retirement.Retired, ...] = ()
    forgotten_version: int = 0

    def list_retired(
        self, shard: identifiers.ShardId
    ) -> list[inventory.Worker]:
        """Returns the retired workers of a shard."""
        return [r.worker for r in self.retired if r.worker.shard_id == shard]

    def find_last_removal(self, shard: identifiers.ShardId) -> int:
        """Returns the version that last removed a worker from a shard, or 0.

        It may be higher than the real one if the removal is no longer in
        `retired`.
        """
        versions = [
            r.version for r in self.retired if r.worker.shard_id == shard
        ]
        return max([self.forgotten_version, *versions])


EMPTY = Configuration(0, "", inventory.Inventory(), rules.Rules())


def create_successor(
    base: Configuration,
    author: str,
    content_inventory: inventory.Inventory,
    content_rules: rules.Rules,
) -> Configuration:
    """Returns the version after `base`.

    Assigns shards to new workers and updates the retired workers.

    Raises:
        errors.InputError: If a worker changes its zone or shard, or a zone its
            number of shards.
    """
    version = base.version + 1
    assigned = retirement.assign_shards(
        base.inventory, base.retired, content_inventory
    )
    retired = retirement.update_retired(
        base.inventory, base.retired, assigned, version
    )
    dropped = retired[: -retirement.MAX_RETIRED]
    forgotten = max([base.forgotten_version, *(r.version for r in dropped)])
    return Configuration(
        version,
        author,
        assigned,
        content_rules,
        tuple(retired[-retirement.MAX_RETIRED :]),
        forgotten,
    )


class AppliedConfiguration:
    """The version that this process applies; it never decreases."""

    def __init__(self):
        """Starts with the empty version 0."""
        self._lock = threading.Lock()
        self._config = EMPTY

    @property
    def config(self) -> Configuration:
        """Returns the applied version."""
        return self._config

    def apply(self, config: Configuration) -> bool:
        """Applies a version if it is higher; returns whether it was."""
        with self._lock:
            before = self._config.version
            if config.version <= before:
                return False
            self._config = config
            invariants.ensure(
                self._config.version > before, "configuration version decreased"
            )
            return True
