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
# Older changes and records are deleted by the commit that exceeds this number.
KEPT_VERSIONS = 1000
# A whole version of 880 workers is 170 KB. Only a VM that is too far behind for
# the changes reads one, and it reads the current one.
KEPT_SNAPSHOTS = 20
# A VM that is further behind reads the whole version.
MAX_APPLIED_CHANGES = 20
MAX_HISTORY = 100
COMMIT_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentRecord:
    """Content of the row `config/current` and of the rows of the history.

    Attributes:
        version: Number of the version.
        digest: Digest of its content.
        author: Who committed it.
        nonce: Random text by which its commit is recognised.
        based_on: Version that the change was made from.
    """

    version: int
    digest: str
    author: str
    nonce: str
    based_on: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A commit that lost against another.

    Attributes:
        based_on: Version that the losing change was made from.
        version: Version that is in force instead.
        author: Who committed that version.
    """

    based_on: int
    version: int
    author: str


def format_key(version: int) -> str:
    """Returns the key of the row that holds a version."""
    return f"config/version/{version:012d}"


def format_history_key(version: int) -> str:
    """Returns the key of the row that tells who committed a version."""
    return f"config/history/{version:012d}"


def format_change_key(version: int) -> str:
    """Returns the key of the row with a version's change from the last."""
    return f"config/change/{version:012d}"


class ConfigVersionStore:
    """Reads and commits versions in the table service."""

    def __init__(self, table: tables.Table):
        """Creates a store over a table."""
        self._table = table

    def read_current(
        self,
    ) -> result.Result[CurrentRecord | None, errors.TableError]:
        """Returns the highest committed version, None before the first."""
        return self._read_record(CURRENT_KEY)

    def read(
        self, version: int
    ) -> result.Result[configuration.Configuration | None, errors.TableError]:
        """Returns the content of a version."""
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
        """Returns the highest version, None when it is not newer.

        A VM that is a few versions behind reads the changes only.
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
        """Returns the latest versions, the highest first.

        Args:
            limit: Most versions to return, at most `MAX_HISTORY`.
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
            based_on: Version that the change was made from; 0 for none.
            author: Who changes it.
            nonce: Random text by which a commit whose answer was lost is
                recognised.
            content_inventory: The whole inventory.
            content_rules: All rules.

        Returns:
            The new version, or a `Conflict` when another version was
            committed meanwhile.

        Raises:
            errors.InputError: If a worker or a zone changes what it may not.
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
        """Returns the version of a record, None when the changes do not do."""
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
        """Writes a version; repeats while it is not known to be written.

        The check on the row makes sure that it takes effect at most once.
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
        """Tells a commit that lost from one whose answer was lost."""
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
    """Returns the digest of a version's content."""
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
