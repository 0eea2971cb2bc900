"""Asks the placement advisor, over several VMs."""

import collections
import zlib

import msgspec

from persimmonpath_entry.decisions import advising
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.platform import advice as advice_calls
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

# The advisor may take this much longer than its policy says; other owners
# call through the same VM, and a call given up is handled all the same.
SLACK_S = 2.0
# A ticket isn't used in the last part of its validity: the start takes time.
MARGIN_S = 0.15
RETRY_S = 0.3


class PeerAdvice(msgspec.Struct):
    """A call to the advisor that a peer makes for an owner.

    Attributes:
      step: the step.
      workers: the workers named.
      timeout_s: seconds until the call is given up.
    """

    step: str
    workers: list[str]
    timeout_s: float


class Advisor:
    """Spreads the calls to the advisor over the VMs, one at a time for each."""

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        # Deployments without such policies have no advisor.
        self._client = None
        if node.settings.advice:
            self._client = advice_calls.AdviceClient(node.settings.advice)
        self._busy: collections.Counter[str] = collections.Counter()
        # Addresses of VMs that own a service and need their own calls.
        self.list_owners = list

    def take_caller(
        self,
        policy: configuration.AdvicePolicy,
        count: int,
        need: advising.Need,
    ) -> str | None:
        """Returns the VM that may make a call now, or None.

        Args:
          policy: the advisor's policy for the queue.
          count: number of workers named.
          need: why the call is made.
        """
        length_s = (policy.decide_ms + policy.each_ms * count) / 1000
        caller = advising.choose_caller(
            self._node.peer_address,
            self._list_callers(),
            self._busy,
            length_s,
            need,
        )
        if caller is not None:
            self._busy[caller] += 1
        return caller

    def _list_callers(self) -> list[str]:
        """Returns the VMs to call through, in an order that differs by VM."""
        owners = self.list_owners()
        peers = [a for a in self._peers.list_addresses() if a not in owners]
        own = self._node.peer_address
        peers.sort(key=lambda address: zlib.crc32(f"{own}/{address}".encode()))
        return peers

    async def ask(
        self,
        step: work.Step,
        workers: list[str],
        policy: configuration.AdvicePolicy,
        caller: str,
    ):
        """Asks which workers may run a step and notes the answer there."""
        length_s = (policy.decide_ms + policy.each_ms * len(workers)) / 1000
        sent_at = clock.read_clock()
        timeout_s = length_s + SLACK_S
        try:
            if caller == self._node.peer_address:
                tickets = await self.call(step.name, workers, timeout_s)
            else:
                tickets = await self._call_through(
                    caller, PeerAdvice(step.name, workers, timeout_s)
                )
        finally:
            self._busy[caller] -= 1
        self._note(step, workers, policy, tickets, sent_at, caller)

    def _note(self, step, workers, policy, tickets, sent_at, caller):
        now = clock.read_clock()
        book = step.tickets
        self._node.log.write(
            "advice_answered",
            step=step.name,
            asked=len(workers),
            good=-1 if tickets is None else len(tickets),
            took_ms=(now - sent_at) * 1000,
            through=caller,
        )
        outcome = "none" if tickets is None else "answered"
        self._node.metrics.count(f'advice_calls{{outcome="{outcome}"}}')
        if tickets is None:
            book.retry_at = now + RETRY_S
            return
        until = now + policy.valid_ms / 1000 - MARGIN_S
        book.asked.update(workers)
        book.good.update(tickets)
        for worker_id, ticket in tickets.items():
            book.tickets[worker_id] = (ticket, until)

    async def call(
        self, step: str, workers: list[str], timeout_s: float
    ) -> dict[str, str] | None:
        """Asks from this VM."""
        if self._client is None:
            return None
        return await self._client.ask(step, workers, timeout_s)

    async def _call_through(
        self, address: str, request: PeerAdvice
    ) -> dict[str, str] | None:
        outcome = await self._peers.call(
            address,
            "POST",
            "/peer/advice",
            msgspec.json.encode(request),
            request.timeout_s + 0.2,
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return None
        return msgspec.json.decode(outcome.body, type=dict[str, str] | None)
