"""Which entry VM may place on the workers of a shard."""

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
        vm: Owner; empty when the shard was released.
        incarnation: Process of the owner.
        epoch: Raised by every change of owner.
        config_version: Configuration that the owner had when it claimed.
        complete_since: Lowest epoch of which no attempt ran on a worker that
            has left the inventory since.
    """

    vm: str
    incarnation: str
    epoch: int
    config_version: int = 0
    complete_since: int = 0


class _Content(NamedTuple):
    """A row's value: a JSON array, since every VM reads many rows often."""

    vm: str
    incarnation: str
    epoch: int
    config_version: int
    complete_since: int


def format_value(record: ShardRecord) -> str:
    """Returns the value of a shard row."""
    return wire.encode(_Content(*dataclasses.astuple(record))).decode()


def parse_value(value: str) -> ShardRecord:
    """Returns the record of a shard row's value.

    Raises:
        errors.InputError: If the value has another form.
    """
    return ShardRecord(*wire.decode(_Content, value))


def format_key(shard: identifiers.ShardId) -> str:
    """Returns the key of a shard row."""
    return f"{KEY_PREFIX}{shard}"


def compute_table_claim_epoch(epoch: int) -> int:
    """Returns the epoch of a claim through the table: the next even one."""
    return epoch + 2 - epoch % 2


def compute_majority_claim_epoch(epoch: int) -> int:
    """Returns the epoch of a claim without the table: the next odd one."""
    return epoch + 1 + epoch % 2


class ShardDirectory:
    """The shard rows of one zone as last read, and changes to them."""

    def __init__(
        self, zone: str, vm: str, incarnation: str, table: tables.Table
    ):
        """Creates a directory that has read nothing.

        Args:
            zone: Zone of the shards.
            vm: Name of this entry VM.
            incarnation: Id of this process.
            table: The table service.
        """
        self._zone = zone
        self._vm = vm
        self._incarnation = incarnation
        self._table = table
        self._lock = threading.Lock()
        self._rows: dict[identifiers.ShardId, tuple[ShardRecord, int]] = {}

    def refresh(self) -> result.Result[None, errors.TableError]:
        """Reads the shard rows of the zone."""
        reply = self._table.scan(f"{KEY_PREFIX}{self._zone}/")
        if isinstance(reply, result.Failure):
            return reply
        for row in reply.unwrap():
            self._store_row(row)
        return result.Success(None)

    def refresh_shard(
        self, shard: identifiers.ShardId
    ) -> result.Result[ShardRecord | None, errors.TableError]:
        """Reads the row of one shard."""
        reply = self._table.get(format_key(shard))
        if isinstance(reply, result.Failure):
            return reply
        if reply.unwrap() is not None:
            self._store_row(reply.unwrap())
        return result.Success(self.find(shard))

    def find(self, shard: identifiers.ShardId) -> ShardRecord | None:
        """Returns the row of a shard as last read."""
        entry = self._rows.get(shard)
        return entry[0] if entry else None

    def claim(
        self,
        shard: identifiers.ShardId,
        config_version: int,
        last_removal: int,
    ) -> result.Result[ShardRecord, errors.TableError]:
        """Makes this process the owner in the next even epoch.

        Args:
            shard: The shard.
            config_version: Configuration in force here.
            last_removal: Version by which a worker last left the shard.

        Returns:
            The new row, or `TableConflictError` when another was first.
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
            # The epoch and the incarnation tell whether it took effect.
            found = self.refresh_shard(shard)
            if found.value_or(None) == claimed:
                return result.Success(claimed)
        return reply

    def reconcile(
        self, shard: identifiers.ShardId, record: ShardRecord
    ) -> result.Result[int, errors.TableError]:
        """Writes the row of a claim that was made without the table."""
        known, version = self._rows.get(shard, (None, 0))
        if known is not None and known.epoch >= record.epoch:
            return result.Failure(errors.TableConflictError(str(shard)))
        return self._write(shard, record, version)

    def release(
        self, shard: identifiers.ShardId
    ) -> result.Result[None, errors.TableError]:
        """Leaves the shard without an owner, so that a peer claims it."""
        record, version = self._rows.get(shard, (None, 0))
        if record is None or record.incarnation != self._incarnation:
            return result.Success(None)
        released = dataclasses.replace(record, vm="", incarnation="")
        return self._write(shard, released, version).map(lambda _: None)

    def _store_row(self, row: tables.Row) -> None:
        """Takes in a row unless a later version of it is known."""
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
    """Returns whether a shard that is not held here may be claimed.

    It may when nobody owns it, when the owner's session has lapsed, and when
    the row names this process: either the answer to its claim was lost, or it
    gave the shard up.
    """
    if record is None or not record.vm or record.incarnation == incarnation:
        return True
    owner = observer.find(shard.zone, record.vm)
    if owner is None or owner.incarnation != record.incarnation:
        return True
    return observer.has_lapsed(owner)
