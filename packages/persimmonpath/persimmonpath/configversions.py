"""Versions of the configuration in the table service."""

import dataclasses
import hashlib

from returns import result

from persimmonpath import configchanges
from persimmonpath import configuration
from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath import rules
from persimmonpath import tables
from persimmonpath import wire

CURRENT_KEY = "config/current"
# Changes and history records that are kept; each commit deletes an older one.
KEPT_VERSIONS = 1000
# Full copies of versions that are kept; one of 880 workers is 170 KB. Only a
# VM that is too far behind to apply changes reads a copy, and only the current.
KEPT_SNAPSHOTS = 20
# A VM that is more versions behind reads the full copy instead of changes.
MAX_APPLIED_CHANGES = 20
MAX_HISTORY = 100
COMMIT_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentRecord:
    """Content of the row `config/current` and of the history rows.

    Attributes:
        version: Number of the version.
        digest: Digest of its content.
        author: Name of the operator who committed it.
        nonce: Random text that identifies the commit.
        based_on: Version that the commit was based on.
    """

    version: int
    digest: str
    author: str
    nonce: str
    based_on: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A commit that was rejected because another one came first.

    Attributes:
        based_on: Version that the rejected commit was based on.
        version: Current version.
        author: Name of the operator who committed the current version.
    """

    based_on: int
    version: int
    author: str


def format_key(version: int) -> str:
    """Returns the key of the row with the full copy of a version."""
    return f"config/version/{version:012d}"


def format_history_key(version: int) -> str:
    """Returns the key of the row with the history record of a version."""
    return f"config/history/{version:012d}"


def format_change_key(version: int) -> str:
    """Returns the key of the row with the change that led to a version."""
    return f"config/change/{version:012d}"


class ConfigVersionStore:
    """Reads and commits versions of the configuration in a table."""

    def __init__(self, table: tables.Table):
        """Creates a store that uses a table."""
        self._table = table

    def read_current(
        self,
    ) -> result.Result[CurrentRecord | None, errors.TableError]:
        """Returns the record of the current version; None if there is none."""
        return self._read_record(CURRENT_KEY)

    def read(
        self, version: int
    ) -> result.Result[configuration.Configuration | None, errors.TableError]:
        """Returns the full copy of a version; None if it was deleted."""
        return self._table.get(format_key(version)).map(
            lambda row: (
                wire.decode(configuration.Configuration, row.value)
                if row
                else None
            )
        )

    def read_newer(
        self, known: configuration.Configuration
    ) -> result.Result[configuration.Configuration | None, errors.TableError]:
        """Returns the current version; None if it is not newer than `known`.

        Reads only the changes if `known` is at most `MAX_APPLIED_CHANGES`
        versions behind.
        """
        current = self.read_current()
        if isinstance(current, result.Failure):
            return current
        record = current.unwrap()
        if record is None or record.version <= known.version:
            return result.Success(None)
        if 0 < record.version - known.version <= MAX_APPLIED_CHANGES:
            config = self._apply_changes(known, record)
            if config is not None:
                return result.Success(config)
        return self.read(record.version)

    def read_history(
        self, limit: int = 20
    ) -> result.Result[list[CurrentRecord], errors.TableError]:
        """Returns the records of the latest versions, the newest first.

        Args:
            limit: Maximum number of records; capped at `MAX_HISTORY`.
        """
        current = self.read_current()
        if isinstance(current, result.Failure) or current.unwrap() is None:
            return current.map(lambda _: [])
        version = current.unwrap().version
        found = []
        for number in range(
            version, max(0, version - min(limit, MAX_HISTORY)), -1
        ):
            reply = self._read_record(format_history_key(number))
            if isinstance(reply, result.Failure):
                return reply
            if reply.unwrap() is not None:
                found.append(reply.unwrap())
        return result.Success(found)

    def commit(
        self,
        based_on: int,
        author: str,
        nonce: str,
        content_inventory: inventory.Inventory,
        content_rules: rules.Rules,
    ) -> result.Result[
        configuration.Configuration | Conflict, errors.TableError
    ]:
        """Commits the version after `based_on`.

        Args:
            based_on: Version that the commit is based on; 0 for the first.
            author: Name of the operator.
            nonce: Random text that identifies this commit if its answer is
                lost.
            content_inventory: The full new inventory.
            content_rules: All new rules.

        Returns:
            The new version, or a `Conflict` if `based_on` is not the current
            version.

        Raises:
            errors.InputError: If a worker changes its zone or shard, or a zone
                its number of shards.
        """
        current = self._table.get(CURRENT_KEY)
        if isinstance(current, result.Failure):
            return current
        row = current.unwrap()
        known = wire.decode(CurrentRecord, row.value) if row else None
        if (known.version if known else 0) != based_on:
            return result.Success(_describe_conflict(based_on, known))
        base = (
            self.read(based_on)
            if based_on
            else result.Success(configuration.EMPTY)
        )
        if isinstance(base, result.Failure):
            return base
        config = configuration.create_successor(
            base.unwrap(), author, content_inventory, content_rules
        )
        return self._write(base.unwrap(), config, nonce, row)

    def _apply_changes(
        self, known: configuration.Configuration, record: CurrentRecord
    ) -> configuration.Configuration | None:
        """Applies changes up to a record's version.

        Returns None if a change is missing or the result does not match the
        digest.
        """
        if known.version == 0:
            return None
        config = known
        for version in range(known.version + 1, record.version + 1):
            row = self._table.get(format_change_key(version)).value_or(None)
            if row is None:
                return None
            change = wire.decode(configchanges.ConfigChange, row.value)
            config = configchanges.apply_change(config, change)
        return config if compute_digest(config) == record.digest else None

    def _write(
        self,
        base: configuration.Configuration,
        config: configuration.Configuration,
        nonce: str,
        row: tables.Row | None,
    ) -> result.Result[
        configuration.Configuration | Conflict, errors.TableError
    ]:
        """Writes a version, with retries while the result is uncertain.

        The check on `config/current` ensures that it takes effect at most once.
        """
        record = CurrentRecord(
            config.version,
            compute_digest(config),
            config.author,
            nonce,
            base.version,
        )
        writes = _list_writes(record, base, config)
        check = tables.Check(CURRENT_KEY, row.version if row else 0)
        was_uncertain = False
        for _ in range(COMMIT_ATTEMPTS):
            reply = self._table.commit([check], writes)
            if isinstance(reply, result.Success):
                return result.Success(config)
            error = reply.failure()
            if isinstance(error, errors.TableConflictError):
                return self._resolve_conflict(config, nonce)
            if isinstance(error, errors.TableUncertainError):
                was_uncertain = True
                if self._is_committed(config.version, nonce):
                    return result.Success(config)
        if was_uncertain:
            return result.Failure(errors.TableUncertainError("no answer"))
        return reply

    def _is_committed(self, version: int, nonce: str) -> bool:
        found = self._read_record(format_history_key(version)).value_or(None)
        return found is not None and found.nonce == nonce

    def _resolve_conflict(
        self, config: configuration.Configuration, nonce: str
    ) -> result.Result[
        configuration.Configuration | Conflict, errors.TableError
    ]:
        """Determines whether a conflict is with this very commit.

        An earlier attempt whose answer was lost may have taken effect.
        """
        committed = self._read_record(format_history_key(config.version))
        if isinstance(committed, result.Failure):
            return result.Failure(errors.TableUncertainError("not read back"))
        if committed.unwrap() is not None and committed.unwrap().nonce == nonce:
            return result.Success(config)
        return self.read_current().map(
            lambda known: _describe_conflict(config.version - 1, known)
        )

    def _read_record(
        self, key: str
    ) -> result.Result[CurrentRecord | None, errors.TableError]:
        return self._table.get(key).map(
            lambda row: wire.decode(CurrentRecord, row.value) if row else None
        )


def compute_digest(config: configuration.Configuration) -> str:
    """Returns the digest of the content of a version in hexadecimal."""
    content = wire.encode(config)
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def _list_writes(
    record: CurrentRecord,
    base: configuration.Configuration,
    config: configuration.Configuration,
) -> list[tables.Write]:
    text = wire.encode(record).decode()
    change = configchanges.compute_change(base, config)
    writes = [
        tables.Write(CURRENT_KEY, text),
        tables.Write(format_history_key(config.version), text),
        tables.Write(
            format_change_key(config.version), wire.encode(change).decode()
        ),
        tables.Write(format_key(config.version), wire.encode(config).decode()),
    ]
    expired = config.version - KEPT_VERSIONS
    if expired > 0:
        for format_old in (format_history_key, format_change_key):
            writes.append(tables.Write(format_old(expired), None))
    expired = config.version - KEPT_SNAPSHOTS
    if expired > 0:
        writes.append(tables.Write(format_key(expired), None))
    return writes


def _describe_conflict(based_on: int, known: CurrentRecord | None) -> Conflict:
    if known is None:
        return Conflict(based_on, 0, "")
    return Conflict(based_on, known.version, known.author)
