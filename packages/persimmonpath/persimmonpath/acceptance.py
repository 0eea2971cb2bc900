"""Acceptance of configuration versions.

A version is accepted once every entry VM applies it whose session is open and
whose VM is not gone.
"""

import dataclasses

from returns import result

from persimmonpath import configversions
from persimmonpath import errors
from persimmonpath import membership
from persimmonpath import sessions
from persimmonpath import tables
from persimmonpath import wire

ACCEPTED_KEY = "config/accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The version, or a later one, is applied in every zone.

    Attributes:
        version: The requested version.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The version is committed but not yet applied everywhere.

    Attributes:
        version: The requested version.
        zones: Availability zones with entry VMs that do not apply it yet.
        vms: Names of the entry VMs that do not apply it yet.
    """

    version: int
    zones: tuple[str, ...]
    vms: tuple[str, ...]


Status = Accepted | Pending | configversions.Conflict


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedRecord:
    """Content of the row `config/accepted`: the newest accepted version."""

    version: int


class AcceptanceStore:
    """Determines and records which version has been accepted."""

    def __init__(self, table: tables.Table, members: membership.Membership):
        """Creates a store.

        Args:
            table: The table service.
            members: Reads the sessions and knows which VMs are gone.
        """
        self._table = table
        self._members = members

    def check(
        self, version: int
    ) -> result.Result[Accepted | Pending, errors.TableError]:
        """Returns the status of a committed version and records its acceptance.

        Args:
            version: The committed version.

        Returns:
            `Accepted` or `Pending`, or a `TableError` if the table service
            could not be read or written.
        """
        row = self._table.get(ACCEPTED_KEY)
        if isinstance(row, result.Failure):
            return row
        if _read_version(row.unwrap()) >= version:
            return result.Success(Accepted(version))
        sessions_read = self._members.read_sessions()
        if isinstance(sessions_read, result.Failure):
            return sessions_read
        awaited = [
            record
            for record in sessions_read.unwrap()
            if record.config_version < version and self._is_awaited(record)
        ]
        if awaited or not sessions_read.unwrap():
            return result.Success(_describe_pending(version, awaited))
        return self._record(version, row.unwrap())

    def _is_awaited(self, record: sessions.SessionRecord) -> bool:
        if record.state is sessions.SessionState.CLOSED:
            return False
        return not self._members.is_gone(record)

    def _record(
        self, version: int, row: tables.Row | None
    ) -> result.Result[Accepted | Pending, errors.TableError]:
        """Records acceptance; the recorded version never decreases."""
        content = wire.encode(AcceptedRecord(version)).decode()
        reply = self._table.commit(
            [tables.Check(ACCEPTED_KEY, row.version if row else 0)],
            [tables.Write(ACCEPTED_KEY, content)],
        )
        if isinstance(reply, result.Failure):
            is_conflict = isinstance(reply.failure(), errors.TableConflictError)
            if not is_conflict:
                return reply
            # Another VM has written the row; the next check reads it.
            return result.Success(Pending(version, (), ()))
        return result.Success(Accepted(version))


def _read_version(row: tables.Row | None) -> int:
    return wire.decode(AcceptedRecord, row.value).version if row else 0


def _describe_pending(
    version: int, awaited: list[sessions.SessionRecord]
) -> Pending:
    zones = sorted({record.zone for record in awaited})
    vms = sorted(record.vm for record in awaited)
    return Pending(version, tuple(zones), tuple(vms))
