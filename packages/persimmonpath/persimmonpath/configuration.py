"""Numbered versions of inventory and rules."""

import dataclasses
import hashlib

from returns import result

from persimmonpath import errors
from persimmonpath import invariants
from persimmonpath import inventory
from persimmonpath import rules
from persimmonpath import tables
from persimmonpath import wire

CURRENT_KEY = "config/current"
ACCEPTED_KEY = "config/accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version: what the operators changed, as a whole."""

    version: int
    author: str
    inventory: inventory.Inventory
    rules: rules.Rules


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentRecord:
    """Content of the row `config/current`."""

    version: int
    digest: str
    author: str
    nonce: str


EMPTY = Configuration(0, "", inventory.Inventory(), rules.Rules())


def format_key(version: int) -> str:
    """Returns the key of the row that holds a version."""
    return f"config/version/{version:012d}"


class ConfigurationStore:
    """Reads and commits versions in the table service."""

    def __init__(self, table: tables.Table):
        """Creates a store over a table."""
        self._table = table

    def read_current(
        self,
    ) -> result.Result[CurrentRecord | None, errors.TableError]:
        """Returns the highest committed version, None before the first."""
        return self._table.get(CURRENT_KEY).map(
            lambda row: wire.decode(CurrentRecord, row.value) if row else None
        )

    def read(
        self, version: int
    ) -> result.Result[Configuration | None, errors.TableError]:
        """Returns the content of a version."""
        return self._table.get(format_key(version)).map(
            lambda row: wire.decode(Configuration, row.value) if row else None
        )

    def commit(
        self,
        based_on: int,
        author: str,
        nonce: str,
        content_inventory: inventory.Inventory,
        content_rules: rules.Rules,
    ) -> result.Result[Configuration, errors.TableError]:
        """Commits the version after `based_on`.

        Args:
            based_on: Version that the change was made from; 0 for none.
            author: Who changes it.
            nonce: Random text by which a commit whose answer was lost is
                recognised.
            content_inventory: The whole inventory.
            content_rules: All rules.

        Returns:
            The new version, or `TableConflictError` when another version was
            committed meanwhile.
        """
        current = self._table.get(CURRENT_KEY)
        if isinstance(current, result.Failure):
            return current
        row = current.unwrap()
        version = wire.decode(CurrentRecord, row.value).version if row else 0
        if version != based_on:
            return result.Failure(errors.TableConflictError(str(version)))
        config = Configuration(
            based_on + 1,
            author,
            inventory.assign_shards(content_inventory),
            content_rules,
        )
        value = wire.encode(config).decode()
        digest = hashlib.blake2b(value.encode(), digest_size=16).hexdigest()
        record = CurrentRecord(config.version, digest, author, nonce)
        reply = self._table.commit(
            [tables.Check(CURRENT_KEY, row.version if row else 0)],
            [
                tables.Write(CURRENT_KEY, wire.encode(record).decode()),
                tables.Write(format_key(config.version), value),
            ],
        )
        return reply.map(lambda _: config)


class AppliedConfiguration:
    """The version in force in this process; it never goes back."""

    def __init__(self):
        """Starts with the empty version 0."""
        self._config = EMPTY

    @property
    def config(self) -> Configuration:
        """Returns the version in force."""
        return self._config

    def apply(self, config: Configuration) -> bool:
        """Puts a version in force if it is higher; returns whether it was."""
        if config.version <= self._config.version:
            return False
        before = self._config.version
        self._config = config
        invariants.ensure(
            self._config.version > before, "configuration went back"
        )
        return True
