"""Tracks whether this VM reaches the store, directly or through a peer."""

import asyncio
import enum

import msgspec

from persimmonpath_entry.decisions import outages
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

CHECK_INTERVAL_S = 0.25
# Timeout of a direct probe of the store, and the interval of these probes while
# a peer relays. They show when the store can be reached directly again.
RETRY_S = 0.5
# Pause between the probes of a store that no peer reaches either. Submissions
# are held until it answers.
PROBE_PAUSE_S = 0.15
# A VM that reaches no peer, and got no answer of the store for this time, takes
# itself out of rotation. Shorter gaps come from single lost packets.
ISOLATION_TIMEOUT_S = 1.3
# If calls time out or are rejected as too many, a store that answered another
# call within this time counts as slow, not as unreachable. Relaying calls
# through a peer would only make them slower.
SLOW_STORE_S = 0.8
# A VM relays calls only if the store answered it within this time. Its long
# polls are answered at least this often, so without an answer it is about to
# detect an outage.
MAX_ANSWER_AGE_S = 0.9
PROBE_TIMEOUT_S = 0.25
MAX_PROBED_PEERS = 4
# Added to the timeout of a relayed call for the way to the peer and back.
RELAY_SLACK_S = 0.15


class Reach(enum.Enum):
    """What this VM reaches.

    Peers are those of other zones.

    STORE: the store answers this VM directly.
    PEER: a peer answers that reaches the store.
    NO_STORE: peers answer, but none of them reaches the store.
    ISOLATED: neither the store nor a peer answers.
    """

    STORE = "store"
    PEER = "peer"
    NO_STORE = "no_store"
    ISOLATED = "isolated"


class Connectivity:
    """Tracks what this VM reaches and relays store calls through a peer.

    Attributes:
      reach: what this VM reaches.
      outage_lengths: the lengths of the store's outages.
    """

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        self._check_requested = asyncio.Event()
        self._relay_peer: str | None = None
        # Number of probes of peers since one last reached the store.
        self._failed_probes = 0
        self.reach = Reach.STORE
        self.outage_lengths = outages.OutageLengths()
        # When the present outage began.
        self._away_since: float | None = None
        self._quiet_check: asyncio.Task | None = None
        # When a peer last ceased to make the calls of this VM.
        self._relayed_until = 0.0
        node.store.on_failure = self._check_requested.set

    def reaches_store_directly(self) -> bool:
        """Returns whether the store answers this VM directly."""
        store = self._node.store
        if store.last_failure > store.last_answer:
            return False
        if store.last_soft_failure <= store.last_answer:
            return True
        return clock.read_clock() - store.last_answer < SLOW_STORE_S

    def can_relay(self) -> bool:
        """Returns whether peers may relay store calls through this VM."""
        age_s = clock.read_clock() - self._node.store.last_answer
        return self.reaches_store_directly() and age_s < MAX_ANSWER_AGE_S

    def can_use_store(self) -> bool:
        """Returns whether the store is reachable, directly or by relay."""
        return self.reaches_store_directly() or self.reach is Reach.PEER

    def find_outage(self) -> outages.Outage | None:
        """Returns what is known of an outage of the store, None without one.

        There is none as long as a peer makes the calls of this VM.
        """
        store = self._node.store
        now = clock.read_clock()
        began_at = now
        if store.unanswered_since is not None:
            # As long as a peer made the calls there was no outage.
            began_at = max(store.unanswered_since, self._relayed_until)
        age_s = now - began_at
        if self.reach is Reach.PEER:
            return None
        if self.reaches_store_directly():
            if store.is_quiet():
                self._check_requested.set()
                return outages.Outage(outages.Kind.SILENT, age_s)
            if store.last_soft_failure > store.last_answer:
                return outages.Outage(outages.Kind.SLOW, age_s)
            return None
        kind = outages.Kind.SILENT
        if store.last_failure > store.last_soft_failure:
            kind = outages.Kind.REFUSING
        scope = {
            Reach.NO_STORE: outages.Scope.EVERYWHERE,
            Reach.ISOLATED: outages.Scope.ISOLATED,
        }.get(self.reach, outages.Scope.UNKNOWN)
        return outages.Outage(kind, age_s, scope)

    def _record_outage(self):
        """Records the length of an outage once it is over."""
        store = self._node.store
        if not self.can_use_store():
            if self._away_since is None:
                since = store.unanswered_since or clock.read_clock()
                self._away_since = max(since, self._relayed_until)
            return
        if self._away_since is None:
            return
        length_s = clock.read_clock() - self._away_since
        self._away_since = None
        if self.reach is Reach.PEER:
            # The store may be away for this VM only, and still be so.
            return
        self.outage_lengths.record(length_s)
        self._node.log.warn("store_outage_over", length_s=length_s)

    async def run(self):
        """Checks every CHECK_INTERVAL_S, or after a failed call.

        Runs until cancelled.
        """
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._check_requested.wait()
            except TimeoutError:
                pass
            self._check_requested.clear()
            self._record_outage()
            if self.reaches_store_directly():
                self._set_reach(Reach.STORE, None)
                self._check_quiet_store()
                continue
            await asyncio.gather(self._probe_peers(), self._probe_store())
            if not self.reaches_store_directly():
                await asyncio.sleep(
                    RETRY_S if self._relay_peer else PROBE_PAUSE_S
                )

    def _check_quiet_store(self):
        """Reads a row if a transaction is unanswered for long.

        An answer shows that the store is there; it may take as long as that of
        any other call, as the store may be slow.
        """
        is_checking = self._quiet_check and not self._quiet_check.done()
        if self._node.store.is_quiet() and not is_checking:
            self._quiet_check = asyncio.create_task(
                self._node.store.read_row(members.VM_TABLE, "", self._node.name)
            )

    async def _probe_store(self):
        """Probes the store; once it answers again, fails the pending calls."""
        store = self._node.store
        sent_at = clock.read_clock()
        has_answered = await store.probe(RETRY_S)
        if has_answered and self.reach in (Reach.NO_STORE, Reach.ISOLATED):
            store.fail_calls(sent_at)

    async def _probe_peers(self):
        """Asks peers whether they reach the store and updates the reach."""
        addresses = self._peers.list_probe_targets(
            MAX_PROBED_PEERS, self._failed_probes
        )
        outcomes = await asyncio.gather(
            *(
                self._peers.call(
                    address, "GET", "/peer/store", timeout_s=PROBE_TIMEOUT_S
                )
                for address in addresses
            )
        )
        answers = [
            (address, outcome.status)
            for address, outcome in zip(addresses, outcomes, strict=True)
            if isinstance(outcome, httpclient.Response)
        ]
        relay_peers = [address for address, status in answers if status == 200]
        self._failed_probes = 0 if relay_peers else self._failed_probes + 1
        unanswered_s = clock.read_clock() - self._node.store.last_answer
        if self.reaches_store_directly():
            self._set_reach(Reach.STORE, None)
        elif relay_peers:
            if self._relay_peer not in relay_peers:
                self._set_reach(Reach.PEER, relay_peers[0])
        elif answers:
            self._set_reach(Reach.NO_STORE, None)
        elif unanswered_s > ISOLATION_TIMEOUT_S:
            self._set_reach(Reach.ISOLATED, None)

    def _set_reach(self, reach: Reach, relay_peer: str | None):
        """Sets the reach and the relay peer, if any; logs a change."""
        if reach is not self.reach or relay_peer != self._relay_peer:
            self._node.log.warn(
                "reach_changed",
                reach=reach.value,
                former=self.reach.value,
                helper=relay_peer or "none",
                store_silent_s=clock.read_clock()
                - self._node.store.last_answer,
            )
        if self.reach is Reach.PEER and reach is not Reach.PEER:
            self._relayed_until = clock.read_clock()
        self.reach = reach
        self._relay_peer = relay_peer
        self._node.store.relay = self._relay if relay_peer else None

    async def _relay(
        self, call: platform_store.RelayedCall
    ) -> httpclient.Outcome:
        """Makes a store call through the relay peer."""
        relay_peer = self._relay_peer
        if relay_peer is None:
            return httpclient.NoResponse(sent=False, reason="no_helper")
        outcome = await self._peers.call(
            relay_peer,
            "POST",
            "/peer/relay",
            msgspec.json.encode(call),
            call.timeout_s + RELAY_SLACK_S,
        )
        if isinstance(outcome, httpclient.NoResponse):
            self._check_requested.set()
            return outcome
        try:
            result = msgspec.json.decode(outcome.body, type=RelayResult)
        except messages.UNREADABLE:
            return httpclient.NoResponse(sent=True, reason="relay_failed")
        if result.status == 0:
            return httpclient.NoResponse(result.was_sent, result.reason)
        return httpclient.Response(result.status, result.body)


class RelayResult(msgspec.Struct):
    """The result of a store call that a peer made.

    Attributes:
      status: the HTTP status, 0 if the store didn't answer.
      body: the body of the answer.
      was_sent: if there is no answer, whether the store may have read the call.
      reason: if there is no answer, why, as one word.
    """

    status: int
    body: bytes = b""
    was_sent: bool = True
    reason: str = ""


async def relay_call(
    store: platform_store.StoreClient, call: platform_store.RelayedCall
) -> RelayResult:
    """Makes a store call for a peer.

    Args:
      store: the client of the store.
      call: the call.

    Returns:
      The answer of the store, or why there is none.
    """
    outcome = await store.call_directly(
        call.method, call.target, call.body, call.timeout_s
    )
    if isinstance(outcome, httpclient.NoResponse):
        return RelayResult(0, b"", outcome.sent, outcome.reason)
    return RelayResult(outcome.status, outcome.body)
