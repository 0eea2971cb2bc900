"""Sessions: the lease by which an entry VM shows that it is alive."""

import dataclasses
import enum
import threading
from typing import NamedTuple

from returns import result
import xxhash

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath import wire

SESSION_TTL_S = 4.0
RENEW_PERIOD_S = 1.0
# An observer that missed a read starts its observation again: it cannot tell a
# lapsed session from an outage that kept everybody from renewing.
MAX_READ_GAP_PERIODS = 1.5
KEY_PREFIX = "session/"


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


class _Content(NamedTuple):
    """A row's value: a JSON array, since every VM reads many rows often."""

    incarnation: str
    counter: int
    peer_address: str
    http_address: str
    state: SessionState
    config_version: int


def format_key(zone: str, vm: str) -> str:
    """Returns the key of a session row."""
    return f"{KEY_PREFIX}{zone}/{vm}"


def format_value(record: SessionRecord) -> str:
    """Returns the value of a session row."""
    content = _Content(
        record.incarnation,
        record.counter,
        record.peer_address,
        record.http_address,
        record.state,
        record.config_version,
    )
    return wire.encode(content).decode()


def parse_row(row: tables.Row) -> SessionRecord:
    """Returns the record of a session row.

    Raises:
        errors.InputError: If the row has another form.
    """
    zone, _, vm = row.key.removeprefix(KEY_PREFIX).partition("/")
    content = wire.decode(_Content, row.value)
    return SessionRecord(vm=vm, zone=zone, **content._asdict())


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
        self._lock = threading.Lock()
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

    def is_registered(self) -> bool:
        """Returns whether the row was written and is not closed."""
        is_closed = self._record.state is SessionState.CLOSED
        return self._confirmed_at is not None and not is_closed

    def renew(
        self, config_version: int, state: SessionState | None = None
    ) -> result.Result[int, errors.TableError]:
        """Writes the next counter, the configuration version and the state.

        Args:
            config_version: Version in force; a lower one than before is not
                written, since renewals may overtake each other.
            state: New state; None for no change.
        """
        with self._lock:
            sent_at = self._timers.now()
            self._record = dataclasses.replace(
                self._record,
                counter=self._record.counter + 1,
                config_version=max(config_version, self._record.config_version),
                state=state or self._record.state,
            )
            key = format_key(self._record.zone, self._record.vm)
            value = format_value(self._record)
            reply = self._table.commit([], [tables.Write(key, value)])
            if isinstance(reply, result.Success):
                self._confirmed_at = sent_at
            return reply


@dataclasses.dataclass(slots=True)
class _Observation:
    record: SessionRecord
    version: int
    unchanged_since: (
        float  # When this observer first read this version of the row.
    )
    checked_at: float  # When it last read it.
    live_since: float  # Start of the time in which it was surely alive.


class SessionObserver:
    """Judges which sessions have lapsed, by this process's own clock.

    A session has lapsed when its row did not change in reads that span
    `SESSION_TTL_S` without a gap. No clocks are compared.
    """

    def __init__(self, timer_service: timers.TimerService):
        """Creates an observer that has seen nothing."""
        self._timers = timer_service
        self._lock = threading.Lock()
        self._observations: dict[str, _Observation] = {}
        self._read_at: dict[str, float] = {}

    def observe(
        self, prefix: str, rows: list[tables.Row], period_s: float = 2.0
    ) -> None:
        """Takes in all session rows below a prefix.

        Args:
            prefix: The prefix that was read.
            rows: The rows.
            period_s: Seconds between reads of this prefix.
        """
        now = self._timers.now()
        with self._lock:
            last = self._read_at.get(prefix, now)
            has_gap = now - last > MAX_READ_GAP_PERIODS * period_s
            self._read_at[prefix] = now
            keys = {row.key for row in rows}
            for key in list(self._observations):
                if key.startswith(prefix) and key not in keys:
                    del self._observations[key]
            for row in rows:
                self._observations[row.key] = self._update_observation(
                    row, now, has_gap
                )

    def _update_observation(
        self, row: tables.Row, now: float, has_gap: bool
    ) -> _Observation:
        previous = self._observations.get(row.key)
        if previous is not None and previous.version == row.version:
            previous.checked_at = now
            if has_gap:
                previous.unchanged_since = now
                previous.live_since = now
            return previous
        record = parse_row(row)
        live_since = now
        if previous and previous.record.incarnation == record.incarnation:
            had_lapsed = (
                previous.checked_at - previous.unchanged_since >= SESSION_TTL_S
            )
            if not has_gap and not had_lapsed:
                live_since = previous.live_since
        return _Observation(record, row.version, now, now, live_since)

    def list_sessions(self, zone: str | None = None) -> list[SessionRecord]:
        """Returns all sessions seen, live or not, of one zone or all."""
        records = (o.record for o in list(self._observations.values()))
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
        observation = self._observations.get(format_key(record.zone, record.vm))
        if (
            observation is None
            or observation.record.incarnation != record.incarnation
        ):
            return True
        if observation.record.state is SessionState.CLOSED:
            return True
        return (
            observation.checked_at - observation.unchanged_since
            >= SESSION_TTL_S
        )

    def measure_live_s(self, record: SessionRecord) -> float:
        """Returns for how many seconds a session was surely not lapsed."""
        observation = self._observations.get(format_key(record.zone, record.vm))
        return (
            self._timers.now() - observation.live_since if observation else 0.0
        )

    def measure_unchanged_s(self, record: SessionRecord) -> float:
        """Returns for how many seconds a session's row has not changed."""
        observation = self._observations.get(format_key(record.zone, record.vm))
        return (
            observation.checked_at - observation.unchanged_since
            if observation
            else 0.0
        )

    def get_version(self, record: SessionRecord) -> int:
        """Returns the version of a session's row as last read."""
        return self._observations[format_key(record.zone, record.vm)].version

    def find(self, zone: str, vm: str) -> SessionRecord | None:
        """Returns the session of an entry VM as last read."""
        observation = self._observations.get(format_key(zone, vm))
        return observation.record if observation else None


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
