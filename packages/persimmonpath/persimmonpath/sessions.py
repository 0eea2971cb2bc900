"""Sessions of entry VMs: rows whose renewal shows that a process is live."""

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
# After a longer gap between reads, in periods, an observer restarts its
# observations: it cannot tell a lapsed session from an outage of the table that
# kept every VM from renewing.
MAX_READ_GAP_PERIODS = 1.5
KEY_PREFIX = "session/"


class SessionState(enum.StrEnum):
    """State that an entry VM writes into its session row."""

    LIVE = "live"
    LEAVING = "leaving"
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRecord:
    """Content of a session row.

    Attributes:
        vm: Name of the entry VM.
        zone: Its availability zone.
        incarnation: Random id of the process; each restart creates a new one.
        counter: Incremented by every renewal.
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
    """Value of a session row.

    It is encoded as a JSON array, which is shorter than an object: every entry
    VM reads all rows of its zone every two seconds.
    """

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
    """Returns the value of the row that holds a record."""
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
    """Parses a session row.

    Raises:
        errors.InputError: If the value of the row is malformed.
    """
    zone, _, vm = row.key.removeprefix(KEY_PREFIX).partition("/")
    content = wire.decode(_Content, row.value)
    return SessionRecord(vm=vm, zone=zone, **content._asdict())


class Session:
    """Registers this process and renews its session."""

    def __init__(
        self,
        record: SessionRecord,
        table: tables.Table,
        timer_service: timers.TimerService,
    ):
        """Creates a session that is not registered yet.

        Args:
            record: Initial content; each renewal increments `counter`.
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
        """Returns the content that was last sent or is sent next."""
        return self._record

    def is_live(self) -> bool:
        """Returns whether the last confirmed renewal is recent enough.

        The `SESSION_TTL_S` seconds count from the time when the renewal was
        sent, so the session ends here before any observer sees it lapse.
        """
        if self._confirmed_at is None:
            return False
        return self._timers.now() < self._confirmed_at + SESSION_TTL_S

    def is_registered(self) -> bool:
        """Returns whether the row was written and its state is not closed."""
        is_closed = self._record.state is SessionState.CLOSED
        return self._confirmed_at is not None and not is_closed

    def renew(
        self, config_version: int, state: SessionState | None = None
    ) -> result.Result[int, errors.TableError]:
        """Writes the row with the next counter.

        Args:
            config_version: Version of the configuration that is applied. A
                lower one than the last is ignored: concurrent renewals may
                arrive in another order.
            state: New state; None leaves it unchanged.

        Returns:
            The version of the row.
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
    """What an observer knows of one session row.

    Attributes:
        record: Content of the row.
        version: Version of the row.
        unchanged_since: When the observer first read this version.
        checked_at: When the observer last read the row.
        live_since: Since when the session has not lapsed, without a gap in
            the reads.
    """

    record: SessionRecord
    version: int
    unchanged_since: float
    checked_at: float
    live_since: float


class SessionObserver:
    """Detects lapsed sessions by the monotonic clock of this process.

    A session has lapsed if its row did not change over reads that span
    `SESSION_TTL_S` seconds without a gap. Clocks of different VMs are never
    compared.
    """

    def __init__(self, timer_service: timers.TimerService):
        """Creates an observer without observations."""
        self._timers = timer_service
        self._lock = threading.Lock()
        self._observations: dict[str, _Observation] = {}
        self._read_at: dict[str, float] = {}

    def observe(
        self, prefix: str, rows: list[tables.Row], period_s: float = 2.0
    ) -> None:
        """Updates the observations from a read of all rows with a prefix.

        Args:
            prefix: Prefix of the keys that were read.
            rows: All rows with this prefix.
            period_s: Normal interval between reads of this prefix, in seconds.
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
        """Returns the known sessions, live or not, of one zone or of all."""
        records = (o.record for o in list(self._observations.values()))
        return [r for r in records if zone is None or r.zone == zone]

    def list_live(self, zone: str | None = None) -> list[SessionRecord]:
        """Returns the sessions in state `LIVE` that have not lapsed."""
        return [
            r
            for r in self.list_sessions(zone)
            if r.state is SessionState.LIVE and not self.has_lapsed(r)
        ]

    def has_lapsed(self, record: SessionRecord) -> bool:
        """Returns whether a session is closed, replaced, removed or expired."""
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
        """Returns for how many seconds a session has certainly not lapsed."""
        observation = self._observations.get(format_key(record.zone, record.vm))
        return (
            self._timers.now() - observation.live_since if observation else 0.0
        )

    def measure_unchanged_s(self, record: SessionRecord) -> float:
        """Returns for how many seconds the row of a session has not changed."""
        observation = self._observations.get(format_key(record.zone, record.vm))
        return (
            observation.checked_at - observation.unchanged_since
            if observation
            else 0.0
        )

    def get_version(self, record: SessionRecord) -> int:
        """Returns the version of the row of a session as last read."""
        return self._observations[format_key(record.zone, record.vm)].version

    def find(self, zone: str, vm: str) -> SessionRecord | None:
        """Returns the session of an entry VM as last read; None if unknown."""
        observation = self._observations.get(format_key(zone, vm))
        return observation.record if observation else None


def rank_candidates(
    shard: identifiers.ShardId, candidates: list[SessionRecord]
) -> list[SessionRecord]:
    """Ranks candidates for the ownership of a shard, the best first.

    Rendezvous hashing: adding or removing a candidate does not change the order
    of the others.
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
    """Creates the session of a new process, which is not registered yet."""
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
