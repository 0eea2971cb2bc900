"""Which entry VM may place on the workers of a shard."""

import dataclasses

from returns import result

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import sessions
from persimmonpath import tables
from persimmonpath import wire

PREFIX = "shard/"


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRecord:
    """Content of a shard row.

    Attributes:
        vm: Owner; empty when the shard was released.
        incarnation: Process of the owner.
        epoch: Raised by every change of owner.
    """

    vm: str
    incarnation: str
    epoch: int


def format_key(shard: identifiers.ShardId) -> str:
    """Returns the key of a shard row."""
    return f"{PREFIX}{shard}"


class ShardDirectory:
    """The shard rows of one zone as last read, and changes to them."""

    def __init__(
        self, zone: str, vm: str, incarnation: str, table: tables.Table
    ):
        """Creates a directory that has read nothing.

        Args:
            zone: Zone of this entry VM.
            vm: Name of this entry VM.
            incarnation: Id of this process.
            table: The table service.
        """
        self._zone = zone
        self._vm = vm
        self._incarnation = incarnation
        self._table = table
        self._rows: dict[identifiers.ShardId, tuple[ShardRecord, int]] = {}

    def refresh(self) -> result.Result[None, errors.TableError]:
        """Reads the shard rows of the zone."""
        reply = self._table.scan(f"{PREFIX}{self._zone}/")
        if isinstance(reply, result.Failure):
            return reply
        self._rows = {
            identifiers.parse_shard_id(row.key.removeprefix(PREFIX)): (
                wire.decode(ShardRecord, row.value),
                row.version,
            )
            for row in reply.unwrap()
        }
        return result.Success(None)

    def find(self, shard: identifiers.ShardId) -> ShardRecord | None:
        """Returns the row of a shard as last read."""
        entry = self._rows.get(shard)
        return entry[0] if entry else None

    def is_mine(self, shard: identifiers.ShardId) -> bool:
        """Returns whether the row as last read names this process."""
        record = self.find(shard)
        return record is not None and record.incarnation == self._incarnation

    def claim(
        self, shard: identifiers.ShardId
    ) -> result.Result[int, errors.TableError]:
        """Makes this process the owner in the next epoch.

        Returns:
            The epoch, or `TableConflictError` when another was first.
        """
        record, version = self._rows.get(shard, (None, 0))
        epoch = record.epoch + 1 if record else 1
        claimed = ShardRecord(self._vm, self._incarnation, epoch)
        return self._write(shard, claimed, version).map(lambda _: epoch)

    def release(
        self, shard: identifiers.ShardId
    ) -> result.Result[None, errors.TableError]:
        """Leaves the shard without an owner, so that a peer claims it."""
        record, version = self._rows.get(shard, (None, 0))
        if record is None or record.incarnation != self._incarnation:
            return result.Success(None)
        released = ShardRecord("", "", record.epoch)
        return self._write(shard, released, version).map(lambda _: None)

    def _write(
        self, shard: identifiers.ShardId, record: ShardRecord, version: int
    ) -> result.Result[int, errors.TableError]:
        key = format_key(shard)
        value = wire.encode(record).decode()
        reply = self._table.commit(
            [tables.Check(key, version)], [tables.Write(key, value)]
        )
        if isinstance(reply, result.Success):
            self._rows[shard] = (record, reply.unwrap())
        return reply


def should_claim(
    shard: identifiers.ShardId,
    record: ShardRecord | None,
    me: sessions.SessionRecord,
    observer: sessions.SessionObserver,
) -> bool:
    """Returns whether this entry VM should claim a shard now.

    Called only for shards that this process does not hold. It should when the
    owner's session has lapsed, or there is no owner, and this VM ranks first
    among the live sessions of the zone. It also should when the row names this
    process: the answer to its claim was lost, or a worker has fenced it.
    """
    live = observer.list_live(shard.zone)
    if record is not None and record.incarnation == me.incarnation:
        return True
    if record is not None and record.vm:
        owner = observer.find(shard.zone, record.vm)
        is_owner = owner is not None and owner.incarnation == record.incarnation
        if is_owner and not observer.has_lapsed(owner):
            return False
    ranked = sessions.rank_candidates(shard, live)
    return bool(ranked) and ranked[0].vm == me.vm
