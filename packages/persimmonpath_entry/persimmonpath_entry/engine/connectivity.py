"""Whether this VM reaches the store, and through whom if it doesn't."""

import asyncio
import enum

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

CHECK_S = 0.25
# A direct call this often tells when the store answers again.
RETRY_S = 0.5
# A VM that neither the store nor a peer has answered for this time takes
# itself out of rotation; shorter gaps come from single lost packets.
SILENCE_S = 1.3
# A store that answered a call within this time is slow, not away, when other
# calls have no answer. Calls made through a peer instead would only be slower.
SLOW_S = 0.8
# A VM that follows the store has an answer to a long poll at least this often,
# so one without is about to notice an outage and can't help others.
FRESH_S = 0.9
PROBE_TIMEOUT_S = 0.25
PROBED_PEERS = 4
# Time on top of that of a call that a peer makes.
RELAY_SLACK_S = 0.15


class Reach(enum.Enum):
    """What this VM reaches.

    STORE: the store answers.
    PEER: a peer answers, and the store answers it.
    NO_STORE: peers answer, and the store answers none of them.
    ISOLATED: neither the store nor a peer of another zone answers.
    """

    STORE = "store"
    PEER = "peer"
    NO_STORE = "no_store"
    ISOLATED = "isolated"


class Connectivity:
    """Follows what this VM reaches and sends store calls through a peer."""

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        self._wake = asyncio.Event()
        self._helper: str | None = None
        self.reach = Reach.STORE
        node.store.on_failure = self._wake.set

    def reaches_store(self) -> bool:
        """Returns whether the store answers this VM directly."""
        store = self._node.store
        if store.last_failure > store.last_answer:
            return False
        if store.last_soft_failure <= store.last_answer:
            return True
        return clock.read_clock() - store.last_answer < SLOW_S

    def can_help(self) -> bool:
        """Returns whether peers may send their calls through this VM."""
        age_s = clock.read_clock() - self._node.store.last_answer
        return self.reaches_store() and age_s < FRESH_S

    def can_store(self) -> bool:
        """Returns whether calls to the store are likely to succeed."""
        return self.reaches_store() or self.reach is Reach.PEER

    async def run(self):
        """Follows until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if self.reaches_store():
                self._change(Reach.STORE, None)
                continue
            await self._probe()
            await asyncio.sleep(RETRY_S if self._helper else CHECK_S)
            await self._probe_store()

    async def _probe_store(self):
        """Asks the store; once it is back, ends the calls that hang."""
        store = self._node.store
        sent_at = clock.read_clock()
        has_answered = await store.probe(RETRY_S)
        if has_answered and self.reach in (Reach.NO_STORE, Reach.ISOLATED):
            store.fail_calls(sent_at)

    async def _probe(self):
        addresses = self._peers.list_distant(PROBED_PEERS)
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
        helpers = [address for address, status in answers if status == 200]
        silence_s = clock.read_clock() - self._node.store.last_answer
        if self.reaches_store():
            self._change(Reach.STORE, None)
        elif helpers:
            if self._helper not in helpers:
                self._change(Reach.PEER, helpers[0])
        elif answers:
            self._change(Reach.NO_STORE, None)
        elif silence_s > SILENCE_S:
            self._change(Reach.ISOLATED, None)

    def _change(self, reach: Reach, helper: str | None):
        if reach is not self.reach or helper != self._helper:
            self._node.log.warn(
                "reach_changed",
                reach=reach.value,
                former=self.reach.value,
                helper=helper or "none",
                store_silent_s=clock.read_clock()
                - self._node.store.last_answer,
            )
        self.reach = reach
        self._helper = helper
        self._node.store.relay = self._relay if helper else None

    async def _relay(
        self, call: platform_store.RelayedCall
    ) -> httpclient.Outcome:
        helper = self._helper
        if helper is None:
            return httpclient.NoResponse(sent=False, reason="no_helper")
        outcome = await self._peers.call(
            helper,
            "POST",
            "/peer/relay",
            msgspec.json.encode(call),
            call.timeout_s + RELAY_SLACK_S,
        )
        if isinstance(outcome, httpclient.NoResponse):
            self._wake.set()
            return outcome
        result = msgspec.json.decode(outcome.body, type=RelayResult)
        if result.status == 0:
            return httpclient.NoResponse(result.was_sent, result.reason)
        return httpclient.Response(result.status, result.body)


class RelayResult(msgspec.Struct):
    """What came of a call that a peer made.

    Attributes:
      status: the HTTP status, 0 if there was no answer.
      body: the answer's body.
      was_sent: whether the store may have read the call.
      reason: why there was no answer.
    """

    status: int
    body: bytes = b""
    was_sent: bool = True
    reason: str = ""


async def relay_call(
    store: platform_store.StoreClient, call: platform_store.RelayedCall
) -> RelayResult:
    """Makes a call to the store for a peer."""
    outcome = await store.call_directly(
        call.method, call.target, call.body, call.timeout_s
    )
    if isinstance(outcome, httpclient.NoResponse):
        return RelayResult(0, b"", outcome.sent, outcome.reason)
    return RelayResult(outcome.status, outcome.body)
