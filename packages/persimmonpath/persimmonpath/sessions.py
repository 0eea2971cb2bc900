"""Sessions: the lease by which an entry VM shows that it is alive."""

import dataclasses
import enum

from returns import result
import xxhash

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath import wire

SESSION_TTL_S = 4.0
RENEW_PERIOD_S = 1.0
PREFIX = "session/"


class SessionState(enum.StrEnum):
    """What an entry VM says of itself."""

    LIVE = "live"
    LEAVING = "leaving"
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRecord:
    """Content of a session row.

    Attributes:
        vm: Name of the entry VM.
        zone: Its availability zone.
        incarnation: Random id of the process; a restart has another.
        counter: Raised with every renewal.
        peer_address: `IP:port` of its interface for other entry VMs.
        http_address: `IP:port` of its interface for callers.
        state: A `SessionState`.
        config_version: Version of the configuration that it applies.
    """

    vm: str
    zone: str
    incarnation: str
    counter: int
    peer_address: str
    http_address: str
    state: SessionState
    config_version: int


def format_key(zone: str, vm: str) -> str:
    """Returns the key of a session row."""
    return f"{PREFIX}{zone}/{vm}"


class Session:
    """The session of this process."""

    def __init__(
        self,
        record: SessionRecord,
        table: tables.Table,
        timer_service: timers.TimerService,
    ):
        """Creates a session that is not yet registered.

        Args:
            record: First content; `counter` is raised by each renewal.
            table: The table service.
            timer_service: Source of time.
        """
        self._record = record
        self._table = table
        self._timers = timer_service
        self._confirmed_at: float | None = None

    @property
    def record(self) -> SessionRecord:
        """Returns the content last sent or to be sent."""
        return self._record

    def is_live(self) -> bool:
        """Returns whether a renewal was confirmed within the lease time.

        The lease counts from when the renewal was sent, so it ends here
        before any observer regards it as lapsed.
        """
        if self._confirmed_at is None:
            return False
        return self._timers.now() < self._confirmed_at + SESSION_TTL_S

    def renew(
        self,
        config_version: int,
        state: SessionState = SessionState.LIVE,
    ) -> result.Result[int, errors.TableError]:
        """Writes the next counter, the configuration version and the state."""
        sent_at = self._timers.now()
        self._record = dataclasses.replace(
            self._record,
            counter=self._record.counter + 1,
            config_version=config_version,
            state=state,
        )
        key = format_key(self._record.zone, self._record.vm)
        value = wire.encode(self._record).decode()
        reply = self._table.commit([], [tables.Write(key, value)])
        if isinstance(reply, result.Success):
            self._confirmed_at = sent_at
        return reply


@dataclasses.dataclass(slots=True)
class _Observation:
    record: SessionRecord
    version: int
    seen_at: float


class SessionObserver:
    """Judges which sessions have lapsed, by this process's own clock.

    A session has lapsed when its row has not changed for `SESSION_TTL_S`
    since this observer first read it. No clocks are compared.
    """

    def __init__(self, timer_service: timers.TimerService):
        """Creates an observer that has seen nothing."""
        self._timers = timer_service
        self._seen: dict[str, _Observation] = {}

    def observe(self, prefix: str, rows: list[tables.Row]) -> None:
        """Takes in all session rows below a prefix."""
        keys = {row.key for row in rows}
        for key in list(self._seen):
            if key.startswith(prefix) and key not in keys:
                del self._seen[key]
        for row in rows:
            known = self._seen.get(row.key)
            if known is not None and known.version == row.version:
                continue
            record = wire.decode(SessionRecord, row.value)
            self._seen[row.key] = _Observation(
                record, row.version, self._timers.now()
            )

    def list_sessions(self, zone: str | None = None) -> list[SessionRecord]:
        """Returns all sessions seen, live or not, of one zone or all."""
        records = (o.record for o in self._seen.values())
        return [r for r in records if zone is None or r.zone == zone]

    def list_live(self, zone: str | None = None) -> list[SessionRecord]:
        """Returns the sessions in state live that have not lapsed."""
        return [
            r
            for r in self.list_sessions(zone)
            if r.state is SessionState.LIVE and not self.has_lapsed(r)
        ]

    def has_lapsed(self, record: SessionRecord) -> bool:
        """Returns whether a session is closed, replaced or out of time."""
        seen = self._seen.get(format_key(record.zone, record.vm))
        if seen is None or seen.record.incarnation != record.incarnation:
            return True
        if seen.record.state is SessionState.CLOSED:
            return True
        return self._timers.now() >= seen.seen_at + SESSION_TTL_S

    def find(self, zone: str, vm: str) -> SessionRecord | None:
        """Returns the session of an entry VM as last read."""
        seen = self._seen.get(format_key(zone, vm))
        return seen.record if seen else None


def rank_candidates(
    shard: identifiers.ShardId, candidates: list[SessionRecord]
) -> list[SessionRecord]:
    """Returns candidates in the order in which they should own a shard.

    Rendezvous hashing: the order of the rest does not change when one
    candidate comes or goes.
    """
    return sorted(
        candidates,
        key=lambda r: xxhash.xxh64_intdigest(f"{shard}|{r.vm}".encode()),
        reverse=True,
    )


def create_session(
    vm: str,
    zone: str,
    incarnation: str,
    peer_address: str,
    http_address: str,
    table: tables.Table,
    timer_service: timers.TimerService,
) -> Session:
    """Returns the session of a new process, not yet registered."""
    record = SessionRecord(
        vm=vm,
        zone=zone,
        incarnation=incarnation,
        counter=0,
        peer_address=peer_address,
        http_address=http_address,
        state=SessionState.LIVE,
        config_version=0,
    )
    return Session(record, table, timer_service)
