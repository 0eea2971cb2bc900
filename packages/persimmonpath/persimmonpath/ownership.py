"""Shard rows: which entry VM owns a shard, and in which epoch."""

import dataclasses
import threading
from typing import NamedTuple

from returns import result

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import sessions
from persimmonpath import tables
from persimmonpath import wire

KEY_PREFIX = "shard/"


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRecord:
    """Content of a shard row.

    Attributes:
        vm: Name of the owner; empty when the shard was released.
        incarnation: Id of the owner's process.
        epoch: Fencing token; every change of owner raises it.
        config_version: Version of the configuration that the owner applied
            when it claimed the shard.
        complete_since: Lowest epoch from which on no attempt ran on a worker
            that has since left the inventory.
    """

    vm: str
    incarnation: str
    epoch: int
    config_version: int = 0
    complete_since: int = 0


class _Content(NamedTuple):
    """Value of a shard row.

    It is encoded as a JSON array, which is shorter than an object: every entry
    VM reads all rows of its zone every two seconds.
    """

    vm: str
    incarnation: str
    epoch: int
    config_version: int
    complete_since: int


def format_value(record: ShardRecord) -> str:
    """Returns the value of the row that holds a record."""
    return wire.encode(_Content(*dataclasses.astuple(record))).decode()


def parse_value(value: str) -> ShardRecord:
    """Parses the value of a shard row.

    Raises:
        errors.InputError: If the value is malformed.
    """
    return ShardRecord(*wire.decode(_Content, value))


def format_key(shard: identifiers.ShardId) -> str:
    """Returns the key of a shard row."""
    return f"{KEY_PREFIX}{shard}"


def compute_table_claim_epoch(epoch: int) -> int:
    """Returns the epoch for a claim through the table: the next even one."""
    return epoch + 2 - epoch % 2


def compute_majority_claim_epoch(epoch: int) -> int:
    """Returns the epoch for a claim without the table: the next odd one.

    Such a claim needs a majority of the shard's workers. Even and odd epochs
    keep the two kinds of claims from ever sharing an epoch.
    """
    return epoch + 1 + epoch % 2


class ShardDirectory:
    """Caches the shard rows of one zone and writes changes to them."""

    def __init__(
        self, zone: str, vm: str, incarnation: str, table: tables.Table
    ):
        """Creates a directory with an empty cache.

        Args:
            zone: Availability zone of the shards.
            vm: Name of this entry VM.
            incarnation: Random id of this process.
            table: The table service.
        """
        self._zone = zone
        self._vm = vm
        self._incarnation = incarnation
        self._table = table
        self._lock = threading.Lock()
        self._rows: dict[identifiers.ShardId, tuple[ShardRecord, int]] = {}

    def refresh(self) -> result.Result[None, errors.TableError]:
        """Reads all shard rows of the zone into the cache."""
        reply = self._table.scan(f"{KEY_PREFIX}{self._zone}/")
        if isinstance(reply, result.Failure):
            return reply
        for row in reply.unwrap():
            self._store_row(row)
        return result.Success(None)

    def refresh_shard(
        self, shard: identifiers.ShardId
    ) -> result.Result[ShardRecord | None, errors.TableError]:
        """Reads the row of one shard and returns the cached record."""
        reply = self._table.get(format_key(shard))
        if isinstance(reply, result.Failure):
            return reply
        if reply.unwrap() is not None:
            self._store_row(reply.unwrap())
        return result.Success(self.find(shard))

    def find(self, shard: identifiers.ShardId) -> ShardRecord | None:
        """Returns the record of a shard as last read; None if unknown."""
        entry = self._rows.get(shard)
        return entry[0] if entry else None

    def claim(
        self,
        shard: identifiers.ShardId,
        config_version: int,
        last_removal: int,
    ) -> result.Result[ShardRecord, errors.TableError]:
        """Makes this process the owner of a shard in the next even epoch.

        Args:
            shard: The shard.
            config_version: Version of the configuration that this VM applies.
            last_removal: Version that last removed a worker from the shard.

        Returns:
            The new record, or a `TableConflictError` if the row has changed
            since it was read.
        """
        record, version = self._rows.get(shard, (None, 0))
        epoch = compute_table_claim_epoch(record.epoch if record else 0)
        complete_since = epoch
        if record is not None:
            is_older = config_version < record.config_version
            if not is_older and last_removal <= record.config_version:
                complete_since = record.complete_since
        claimed = ShardRecord(
            self._vm, self._incarnation, epoch, config_version, complete_since
        )
        reply = self._write(shard, claimed, version)
        if isinstance(reply, result.Success):
            return result.Success(claimed)
        if isinstance(reply.failure(), errors.TableUncertainError):
            # The row shows by epoch and incarnation whether the claim took
            # effect.
            found = self.refresh_shard(shard)
            if found.value_or(None) == claimed:
                return result.Success(claimed)
        return reply

    def reconcile(
        self, shard: identifiers.ShardId, record: ShardRecord
    ) -> result.Result[int, errors.TableError]:
        """Writes the row of a claim that was made without the table.

        Returns:
            The version of the row, or a `TableConflictError` if the row has
            the same epoch or a higher one.
        """
        known, version = self._rows.get(shard, (None, 0))
        if known is not None and known.epoch >= record.epoch:
            return result.Failure(errors.TableConflictError(str(shard)))
        return self._write(shard, record, version)

    def release(
        self, shard: identifiers.ShardId
    ) -> result.Result[None, errors.TableError]:
        """Clears the owner in the row, so that a peer can claim the shard.

        Does nothing unless the row names this process as the owner.
        """
        record, version = self._rows.get(shard, (None, 0))
        if record is None or record.incarnation != self._incarnation:
            return result.Success(None)
        released = dataclasses.replace(record, vm="", incarnation="")
        return self._write(shard, released, version).map(lambda _: None)

    def _store_row(self, row: tables.Row) -> None:
        """Caches a row unless a row of a higher epoch is cached."""
        shard = identifiers.parse_shard_id(row.key.removeprefix(KEY_PREFIX))
        record = parse_value(row.value)
        with self._lock:
            known = self._rows.get(shard)
            if known is None or known[0].epoch <= record.epoch:
                self._rows[shard] = (record, row.version)

    def _write(
        self, shard: identifiers.ShardId, record: ShardRecord, version: int
    ) -> result.Result[int, errors.TableError]:
        key = format_key(shard)
        value = format_value(record)
        reply = self._table.commit(
            [tables.Check(key, version)], [tables.Write(key, value)]
        )
        if isinstance(reply, result.Success):
            self._store_row(tables.Row(key, value, reply.unwrap()))
        return reply


def is_claimable(
    shard: identifiers.ShardId,
    record: ShardRecord | None,
    incarnation: str,
    observer: sessions.SessionObserver,
) -> bool:
    """Returns whether a shard that this process does not manage is claimable.

    That is so if it has no owner, if the owner's session is unknown, has lapsed
    or belongs to another incarnation, or if the row names this process: then
    either the answer to its claim was lost or it has given up the shard.

    Args:
        shard: The shard.
        record: Its record as last read; None if there is no row.
        incarnation: Id of this process.
        observer: Sessions of the entry VMs as last read.
    """
    if record is None or not record.vm or record.incarnation == incarnation:
        return True
    owner = observer.find(shard.zone, record.vm)
    if owner is None or owner.incarnation != record.incarnation:
        return True
    return observer.has_lapsed(owner)
