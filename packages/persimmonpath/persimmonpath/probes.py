"""What other entry VMs tell of themselves while the table cannot be read."""

from collections.abc import Callable
import dataclasses
import itertools
import threading

from returns import result

from persimmonpath import configuration
from persimmonpath import identifiers
from persimmonpath import peers
from persimmonpath import sessions
from persimmonpath import timers

PROBE_PERIOD_S = 1.0
# Entry VMs probed in each period; constant, so that the cost per VM does not
# grow with their number.
FANOUT = 4
CONFIRMATION_MAX_AGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An entry VM that may be probed."""

    address: str
    zone: str


@dataclasses.dataclass(slots=True)
class _PeerState:
    target: Target
    probe: peers.Probe | None = None
    answered_at: float = 0.0
    unresponsive_since: float | None = None


class PeerProber:
    """Probes a few entry VMs each period and keeps what they answer."""

    def __init__(
        self,
        zone: str,
        peer_calls: peers.Peers,
        timer_service: timers.TimerService,
        apply: Callable[[configuration.Configuration], None],
        get_version: Callable[[], int],
    ):
        """Creates probes that have asked nobody.

        Args:
            zone: Zone of this entry VM.
            peer_calls: Calls to other entry VMs.
            timer_service: Source of time.
            apply: Takes in a configuration that a peer of the zone applies.
            get_version: Returns the version in force here.
        """
        self._zone = zone
        self._peers = peer_calls
        self._timers = timer_service
        self._apply = apply
        self._get_version = get_version
        self._lock = threading.Lock()
        # One entry for each address that was a target in the last call.
        self._states: dict[str, _PeerState] = {}
        # Highest epoch that was told of each shard.
        self._highest_epochs: dict[identifiers.ShardId, int] = {}
        self._rounds = itertools.count()

    def run(self, targets: list[Target]) -> None:
        """Probes the next few targets, of this zone first."""
        with self._lock:
            known = self._states
            self._states = {
                t.address: known.get(t.address, _PeerState(t)) for t in targets
            }
        for target in self._choose(targets):
            call = self._peers.probe(target.address)
            call.add_done_callback(
                lambda f, t=target: self._record_answer(t, f.result())
            )

    def is_confirmed(self) -> bool:
        """Returns whether a peer with a session has answered lately."""
        return any(
            state.probe.has_session and state.target.zone == self._zone
            for state in self._list_recent(CONFIRMATION_MAX_AGE_S)
        )

    def has_connected_peer(self) -> bool:
        """Returns whether a peer that reaches the table has answered lately."""
        return any(
            state.probe.is_connected
            for state in self._list_recent(sessions.SESSION_TTL_S)
        )

    def has_answer(self) -> bool:
        """Returns whether any entry VM has answered lately."""
        return bool(self._list_recent(sessions.SESSION_TTL_S))

    def is_reachable(self, record: sessions.SessionRecord) -> bool:
        """Returns whether that process has answered lately."""
        return any(
            state.probe.incarnation == record.incarnation
            for state in self._list_recent(sessions.SESSION_TTL_S)
        )

    def is_unresponsive(self, record: sessions.SessionRecord) -> bool:
        """Returns whether a process has not answered for the session time."""
        state = self._states.get(record.peer_address)
        if state is None:
            return False
        if state.probe and state.probe.incarnation != record.incarnation:
            return True
        if state.unresponsive_since is None:
            return False
        unresponsive_s = self._timers.now() - state.unresponsive_since
        return unresponsive_s >= sessions.SESSION_TTL_S

    def find_owner(self, shard: identifiers.ShardId) -> tuple[str, int] | None:
        """Returns address and epoch of the owner that has answered lately."""
        found = [
            (load.epoch, state.target.address)
            for state in self._list_recent(2 * sessions.SESSION_TTL_S)
            for load in state.probe.shards
            if load.shard == shard
        ]
        if not found:
            return None
        epoch, address = max(found)
        return address, epoch

    def find_highest_epoch(self, shard: identifiers.ShardId) -> int:
        """Returns the highest epoch that any owner of a shard has told."""
        return self._highest_epochs.get(shard, 0)

    def _choose(self, targets: list[Target]) -> list[Target]:
        own = [t for t in targets if t.zone == self._zone]
        others = [t for t in targets if t.zone != self._zone]
        round_number = next(self._rounds)
        chosen = _rotate(own, round_number * FANOUT)[:FANOUT]
        return chosen + _rotate(others, round_number)[:1]

    def _list_recent(self, age_s: float) -> list[_PeerState]:
        limit = self._timers.now() - age_s
        return [
            state
            for state in list(self._states.values())
            if state.probe is not None and state.answered_at >= limit
        ]

    def _record_answer(self, target: Target, reply: result.Result) -> None:
        state = self._states.get(target.address)
        if state is None:
            return
        if isinstance(reply, result.Failure):
            if state.unresponsive_since is None:
                state.unresponsive_since = self._timers.now()
            return
        state.probe = reply.unwrap()
        state.answered_at = self._timers.now()
        state.unresponsive_since = None
        for load in state.probe.shards:
            known = self._highest_epochs.get(load.shard, 0)
            self._highest_epochs[load.shard] = max(known, load.epoch)
        is_newer = state.probe.config_version > self._get_version()
        if is_newer and target.zone == self._zone:
            call = self._peers.fetch_config(target.address)
            call.add_done_callback(lambda f: self._apply_fetched(f.result()))

    def _apply_fetched(self, reply: result.Result) -> None:
        if isinstance(reply, result.Success):
            self._apply(reply.unwrap())


def _rotate(targets: list[Target], round_number: int) -> list[Target]:
    start = round_number % len(targets) if targets else 0
    return targets[start:] + targets[:start]
