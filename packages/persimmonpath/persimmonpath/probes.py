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
VOUCH_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An entry VM that may be probed."""

    address: str
    zone: str


@dataclasses.dataclass(slots=True)
class _Seen:
    target: Target
    probe: peers.Probe | None = None
    answered_at: float = 0.0
    silent_since: float | None = None


class Probes:
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
        self._seen: dict[str, _Seen] = {}
        # Highest epoch that was told of each shard.
        self._epochs: dict[identifiers.ShardId, int] = {}
        self._turns = itertools.count()

    def run(self, targets: list[Target]) -> None:
        """Probes the next few targets, of this zone first."""
        with self._lock:
            known = self._seen
            self._seen = {
                t.address: known.get(t.address, _Seen(t)) for t in targets
            }
        for target in self._choose(targets):
            call = self._peers.probe(target.address)
            call.add_done_callback(
                lambda f, t=target: self._take(t, f.result())
            )

    def is_vouched(self) -> bool:
        """Returns whether a peer with a session has answered lately."""
        return any(
            seen.probe.has_session and seen.target.zone == self._zone
            for seen in self._list_fresh(VOUCH_S)
        )

    def has_connected_peer(self) -> bool:
        """Returns whether a peer that reaches the table has answered lately."""
        return any(
            seen.probe.is_connected
            for seen in self._list_fresh(sessions.SESSION_TTL_S)
        )

    def has_answer(self) -> bool:
        """Returns whether any entry VM has answered lately."""
        return bool(self._list_fresh(sessions.SESSION_TTL_S))

    def is_alive(self, record: sessions.SessionRecord) -> bool:
        """Returns whether that process has answered lately."""
        return any(
            seen.probe.incarnation == record.incarnation
            for seen in self._list_fresh(sessions.SESSION_TTL_S)
        )

    def is_silent(self, record: sessions.SessionRecord) -> bool:
        """Returns whether a process has not answered for the session time."""
        seen = self._seen.get(record.peer_address)
        if seen is None:
            return False
        if seen.probe and seen.probe.incarnation != record.incarnation:
            return True
        if seen.silent_since is None:
            return False
        silent_s = self._timers.now() - seen.silent_since
        return silent_s >= sessions.SESSION_TTL_S

    def find_owner(self, shard: identifiers.ShardId) -> tuple[str, int] | None:
        """Returns address and epoch of the owner that has answered lately."""
        found = [
            (load.epoch, seen.target.address)
            for seen in self._list_fresh(2 * sessions.SESSION_TTL_S)
            for load in seen.probe.shards
            if load.shard == shard
        ]
        if not found:
            return None
        epoch, address = max(found)
        return address, epoch

    def find_epoch(self, shard: identifiers.ShardId) -> int:
        """Returns the highest epoch that any owner of a shard has told."""
        return self._epochs.get(shard, 0)

    def _choose(self, targets: list[Target]) -> list[Target]:
        own = [t for t in targets if t.zone == self._zone]
        others = [t for t in targets if t.zone != self._zone]
        turn = next(self._turns)
        chosen = _rotate(own, turn * FANOUT)[:FANOUT]
        return chosen + _rotate(others, turn)[:1]

    def _list_fresh(self, age_s: float) -> list[_Seen]:
        limit = self._timers.now() - age_s
        return [
            seen
            for seen in list(self._seen.values())
            if seen.probe is not None and seen.answered_at >= limit
        ]

    def _take(self, target: Target, reply: result.Result) -> None:
        seen = self._seen.get(target.address)
        if seen is None:
            return
        if isinstance(reply, result.Failure):
            if seen.silent_since is None:
                seen.silent_since = self._timers.now()
            return
        seen.probe = reply.unwrap()
        seen.answered_at = self._timers.now()
        seen.silent_since = None
        for load in seen.probe.shards:
            known = self._epochs.get(load.shard, 0)
            self._epochs[load.shard] = max(known, load.epoch)
        is_newer = seen.probe.config_version > self._get_version()
        if is_newer and target.zone == self._zone:
            call = self._peers.fetch_config(target.address)
            call.add_done_callback(lambda f: self._take_config(f.result()))

    def _take_config(self, reply: result.Result) -> None:
        if isinstance(reply, result.Success):
            self._apply(reply.unwrap())


def _rotate(targets: list[Target], turn: int) -> list[Target]:
    start = turn % len(targets) if targets else 0
    return targets[start:] + targets[:start]
