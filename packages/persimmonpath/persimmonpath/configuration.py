"""Numbered versions of inventory and rules."""

import dataclasses
import threading

from persimmonpath import identifiers
from persimmonpath import invariants
from persimmonpath import inventory
from persimmonpath import retirement
from persimmonpath import rules


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version: what the operators changed, as a whole.

    Attributes:
        version: Number, from 1.
        author: Who committed it.
        inventory: Availability zones and workers.
        rules: Rules.
        retired: Workers that left the inventory and may not be idle yet.
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
        """Returns the version by which a worker last left a shard, or 0.

        It may be too high, when removals have been forgotten.
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
    """Returns the version after `base`, with shards and retired workers.

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
    """The version in force in this process; it never goes back."""

    def __init__(self):
        """Starts with the empty version 0."""
        self._lock = threading.Lock()
        self._config = EMPTY

    @property
    def config(self) -> Configuration:
        """Returns the version in force."""
        return self._config

    def apply(self, config: Configuration) -> bool:
        """Puts a version in force if it is higher; returns whether it was."""
        with self._lock:
            before = self._config.version
            if config.version <= before:
                return False
            self._config = config
            invariants.ensure(
                self._config.version > before, "configuration went back"
            )
            return True
