"""Asks the placement advisor, over several VMs."""

import msgspec

from persimmonpath_entry.decisions import advising
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.platform import advice as advice_calls
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

# The advisor may take this much longer than its policy says.
SLACK_S = 0.6
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
    """Spreads the calls to the advisor over the VMs."""

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        self._client = advice_calls.AdviceClient(node.settings.advice)
        self._backlogs: dict[str, float] = {}

    async def ask(
        self,
        step: work.Step,
        workers: list[str],
        policy: configuration.AdvicePolicy,
    ):
        """Asks which workers may run a step and notes the answer there."""
        length_s = (policy.decide_ms + policy.each_ms * len(workers)) / 1000
        sent_at = clock.read_clock()
        own = self._node.peer_address
        backlogs = {
            address: self._backlogs.get(address, 0.0)
            for address in (own, *self._peers.list_addresses())
        }
        caller = advising.choose_caller(backlogs, own, length_s, sent_at)
        wait_s = max(0.0, backlogs[caller] - sent_at)
        self._backlogs[caller] = sent_at + wait_s + length_s
        timeout_s = wait_s + length_s + SLACK_S
        if caller == own:
            tickets = await self.call(step.name, workers, timeout_s)
        else:
            tickets = await self._call_through(
                caller, PeerAdvice(step.name, workers, timeout_s)
            )
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
        if isinstance(outcome, httpclient.NoReply) or outcome.status != 200:
            self._backlogs[address] = clock.read_clock() + 1.0
            return None
        return msgspec.json.decode(outcome.body, type=dict[str, str] | None)
