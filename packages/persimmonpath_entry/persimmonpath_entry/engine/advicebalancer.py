"""Calls to the placement advisor, spread over several VMs."""

import collections

import msgspec

from persimmonpath_entry.decisions import advisorcalls
from persimmonpath_entry.decisions import peerorder
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.platform import advice as advice_calls
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

# Seconds that a call may take beyond the time stated in the advice policy.
# Other owners call through the same VM, and the advisor handles a call to its
# end even if the caller has given it up.
TIMEOUT_SLACK_S = 2.0
# A ticket isn't used in the last part of its validity, since the start
# command takes time to arrive. In seconds.
EXPIRY_MARGIN_S = 0.15
# Seconds until a step is asked for again after a call without an answer.
RETRY_S = 0.3


class AdviceRelayRequest(msgspec.Struct):
    """Request to a peer to call the advisor for an owner.

    Attributes:
      step: the name of the step.
      workers: ids of the workers to ask about.
      timeout_s: seconds until the call times out.
    """

    step: str
    workers: list[str]
    timeout_s: float


class AdviceBalancer:
    """Spreads the calls to the advisor over the VMs of the deployment.

    The advisor handles one call at a time for each VM, so that calls through
    different VMs run in parallel.

    Attributes:
      list_owners: returns the addresses of the VMs that own a service. They
        need their advisor calls for themselves and relay none.
    """

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        # Deployments without advice policies have no advisor.
        self._client: advice_calls.AdviceClient | None = None
        self.set_address(node.settings.advice)
        self._calls_in_progress: collections.Counter[str] = (
            collections.Counter()
        )
        self.list_owners = list

    def set_address(self, address: str):
        """Makes later calls to another address, empty for no advisor."""
        if not address:
            self._client = None
        elif self._client is None:
            self._client = advice_calls.AdviceClient(address)
        else:
            self._client.set_address(address)

    def reserve_caller(
        self,
        policy: configuration.AdvicePolicy,
        count: int,
        purpose: advisorcalls.Purpose,
    ) -> str | None:
        """Reserves a VM for a call that starts now.

        The reservation ends with the call made by `ask`.

        Args:
          policy: the advice policy of the queue.
          count: the number of workers to ask about.
          purpose: why the call is made.

        Returns:
          The address of the VM, or None if no VM is free.
        """
        call_s = (policy.decide_ms + policy.each_ms * count) / 1000
        caller = advisorcalls.choose_caller(
            self._node.peer_address,
            self._list_peer_callers(),
            self._calls_in_progress,
            call_s,
            purpose,
        )
        if caller is not None:
            self._calls_in_progress[caller] += 1
        return caller

    def _list_peer_callers(self) -> list[str]:
        """Returns the peers to call through, in an order that differs by VM."""
        owners = self.list_owners()
        peers = [
            a for a in self._peers.list_reachable_peers() if a not in owners
        ]
        return peerorder.sort_peers(self._node.peer_address, peers)

    async def ask(
        self,
        step: execution.Step,
        workers: list[str],
        policy: configuration.AdvicePolicy,
        caller: str,
    ):
        """Asks which workers may run a step and records the answer in the step.

        Args:
          step: the step.
          workers: ids of the workers to ask about.
          policy: the advice policy of the step's queue.
          caller: address of the VM reserved for the call.
        """
        call_s = (policy.decide_ms + policy.each_ms * len(workers)) / 1000
        sent_at = clock.read_clock()
        timeout_s = call_s + TIMEOUT_SLACK_S
        try:
            if caller == self._node.peer_address:
                tickets = await self.call(step.name, workers, timeout_s)
            else:
                tickets = await self._call_through_peer(
                    caller, AdviceRelayRequest(step.name, workers, timeout_s)
                )
        finally:
            self._calls_in_progress[caller] -= 1
        self._record_answer(step, workers, policy, tickets, sent_at, caller)

    def _record_answer(self, step, workers, policy, tickets, sent_at, caller):
        now = clock.read_clock()
        step_advice = step.advice
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
            step_advice.retry_at = now + RETRY_S
            return
        until = now + policy.valid_ms / 1000 - EXPIRY_MARGIN_S
        step_advice.asked.update(workers)
        step_advice.good.update(tickets)
        for worker_id, ticket in tickets.items():
            step_advice.tickets[worker_id] = (ticket, until)

    async def call(
        self, step: str, workers: list[str], timeout_s: float
    ) -> dict[str, str] | None:
        """Calls the advisor from this VM.

        Args:
          step: the name of the step.
          workers: ids of the workers to ask about.
          timeout_s: seconds until the call times out.

        Returns:
          Tickets by worker id, None if there was no answer.
        """
        if self._client is None:
            return None
        return await self._client.ask(step, workers, timeout_s)

    async def _call_through_peer(
        self, address: str, request: AdviceRelayRequest
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
