"""Probes of other entry VMs.

Their answers replace the table as the source of liveness, shard owners and
configuration while an entry VM cannot read the table.
"""

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
# Entry VMs of the own zone probed in each period, besides one of another zone;
# constant, so that the cost per VM does not grow with their number.
FANOUT = 4
# An answer of a peer with a session confirms this VM for this long.
CONFIRMATION_MAX_AGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An entry VM that may be probed.

    Attributes:
        address: Its peer address.
        zone: Its zone.
    """

    address: str
    zone: str


@dataclasses.dataclass(slots=True)
class _PeerState:
    """Last probe results of one entry VM.

    Attributes:
        target: The entry VM.
        probe: Its last answer; None before the first.
        answered_at: Monotonic time of that answer.
        unresponsive_since: Monotonic time of the first failed probe since;
            None if the last probe was answered.
    """

    target: Target
    probe: peers.Probe | None = None
    answered_at: float = 0.0
    unresponsive_since: float | None = None


class PeerProber:
    """Probes a few entry VMs each period and stores their last answers."""

    def __init__(
        self,
        zone: str,
        peer_calls: peers.Peers,
        timer_service: timers.TimerService,
        apply: Callable[[configuration.Configuration], None],
        get_version: Callable[[], int],
    ):
        """Creates a prober without answers.

        Args:
            zone: Zone of this entry VM.
            peer_calls: Calls to other entry VMs.
            timer_service: Source of time.
            apply: Called with a newer configuration fetched from a peer of the
                same zone.
            get_version: Returns the configuration version applied here.
        """
        self._zone = zone
        self._peers = peer_calls
        self._timers = timer_service
        self._apply = apply
        self._get_version = get_version
        self._lock = threading.Lock()
        # One entry for each address that was a target in the last call.
        self._states: dict[str, _PeerState] = {}
        # Highest epoch reported for each shard.
        self._highest_epochs: dict[identifiers.ShardId, int] = {}
        self._rounds = itertools.count()

    def run(self, targets: list[Target]) -> None:
        """Probes the next few targets, those of this zone first."""
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
        """Returns whether a peer of the zone with a session answered lately.

        Lately means within `CONFIRMATION_MAX_AGE_S`.
        """
        return any(
            state.probe.has_session and state.target.zone == self._zone
            for state in self._list_recent(CONFIRMATION_MAX_AGE_S)
        )

    def has_connected_peer(self) -> bool:
        """Returns whether a peer that reaches the table answered lately.

        Lately means within `sessions.SESSION_TTL_S`.
        """
        return any(
            state.probe.is_connected
            for state in self._list_recent(sessions.SESSION_TTL_S)
        )

    def has_answer(self) -> bool:
        """Returns whether any peer answered within the session time."""
        return bool(self._list_recent(sessions.SESSION_TTL_S))

    def is_reachable(self, record: sessions.SessionRecord) -> bool:
        """Returns whether a process answered within the session time.

        Args:
            record: Session of the process; another incarnation at the same
                address does not count.
        """
        return any(
            state.probe.incarnation == record.incarnation
            for state in self._list_recent(sessions.SESSION_TTL_S)
        )

    def is_unresponsive(self, record: sessions.SessionRecord) -> bool:
        """Returns whether a process was replaced or stopped answering.

        It stopped when its probes have failed for the session time.

        A process that was never probed does not count as unresponsive.

        Args:
            record: Session of the process.
        """
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
        """Returns the address and epoch of a shard's owner, None if unknown.

        Only answers of the last two session times are used; the highest epoch
        wins.
        """
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
        """Returns the highest epoch reported for a shard, 0 if none was."""
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
