"""Whether this VM reaches the store, and through whom if it doesn't."""

import asyncio
import enum

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

CHECK_S = 0.25
# The long poll for the configuration answers at least once a second, so that
# a longer silence after a failure means that the store is out of reach.
SILENCE_S = 1.3
PROBE_TIMEOUT_S = 0.25
PROBED_PEERS = 4


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
    """Follows what this VM reaches."""

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        self.reach = Reach.STORE
        # A peer through which requests can be handed on.
        self.helper: str | None = None

    def reaches_store(self) -> bool:
        """Returns whether the store has answered this VM lately."""
        store = self._node.store
        if store.last_answer >= store.last_failure:
            return True
        return clock.read_clock() - store.last_answer < SILENCE_S

    async def run(self):
        """Follows until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            if self.reaches_store():
                self._change(Reach.STORE, None)
            else:
                await self._probe()

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
            if isinstance(outcome, httpclient.Reply)
        ]
        helpers = [address for address, status in answers if status == 200]
        if helpers:
            self._change(Reach.PEER, helpers[0])
        elif answers:
            self._change(Reach.NO_STORE, None)
        else:
            self._change(Reach.ISOLATED, None)

    def _change(self, reach: Reach, helper: str | None):
        if reach is not self.reach:
            self._node.log.warn(
                "reach_changed",
                reach=reach.value,
                former=self.reach.value,
                helper=helper or "none",
                store_silent_s=clock.read_clock()
                - self._node.store.last_answer,
            )
        self.reach = reach
        self.helper = helper
