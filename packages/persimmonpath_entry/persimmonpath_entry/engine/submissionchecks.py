"""Rejects submissions that can't be served, before they are stored.

A rejection says that a submission never runs. So none is rejected that is
stored already, or that an earlier attempt may still store.
"""

import dataclasses
import random

import msgspec

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import tenantwaits
from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import clienterrors
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import fairshares
from persimmonpath_entry.engine import learnedrows
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import httpserver


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A submission that may be rejected for overload.

    Attributes:
      queue: its queue.
      submission_id: its id.
      record: the submission.
      path_ms: expected duration of its critical path, in milliseconds.
    """

    queue: configuration.Queue
    submission_id: str
    record: submissions.SubmissionRecord
    path_ms: float

    @property
    def objective_s(self) -> float:
        """Its latency objective in seconds."""
        return ordering.compute_objective_s(self.queue, self.path_ms)


class SubmissionChecks:
    """Decides whether an entry VM rejects a submission.

    Attributes:
      learned: the learned run times of services that other VMs own, None to go
        by the estimates of callers.
    """

    def __init__(
        self,
        node: context.Context,
        acceptor: acceptance.Acceptance | None,
        ownership: owners.Ownership,
        peers: members.Members,
    ):
        """Creates the checks.

        Args:
          node: the context of the process.
          acceptor: stores submissions; None if nothing is ever held.
          ownership: knows the owners and the waits that they publish.
          peers: the other VMs.
        """
        self._node = node
        self._acceptance = acceptor
        self._ownership = ownership
        self._peers = peers
        self._labels = fairshares.TenantLabels()
        self.learned: learnedrows.LearnedReader | None = None

    async def check_limit(
        self, submission_id: str, record: submissions.SubmissionRecord
    ) -> httpserver.Response | None:
        """Rejects a submission that can never run within its tenant's limit.

        Returns:
          The response, None if the submission isn't rejected.
        """
        tenant = self._node.configuration.tenants.get(record.tenant)
        if tenant is None:
            return None
        problem = submissions.check_limit(record, tenant.limit)
        if problem is None:
            return None
        if self._has_unknown_outcome(submission_id):
            return clienterrors.make_error(504, "the store has not answered")
        stored = None
        if not self._is_holding():
            stored = await self._read(submission_id)
        if not isinstance(stored, platform_store.Rows):
            return clienterrors.make_error(
                503, "store unavailable", clienterrors.RETRY_AFTER_S
            )
        if stored.rows:
            # It was stored before the limit was lowered.
            return None
        return clienterrors.make_error(413, problem)

    async def check_overload(
        self,
        queue: configuration.Queue,
        submission_id: str,
        record: submissions.SubmissionRecord,
    ) -> httpserver.Response | None:
        """Rejects a submission that would end too late to be of use.

        Returns:
          The response, None if the submission isn't rejected.
        """
        wait_s = self._ownership.find_wait(queue.service, queue.priority)
        tenant_waits = None
        if self._node.configuration.tenants:
            tenant_waits = self._ownership.find_tenant_waits(queue.service)
        if not wait_s and tenant_waits is None:
            return None
        if record.occurrences or submissions.has_long_running(record):
            return None
        candidate = self._describe(queue, submission_id, record)
        if tenant_waits is not None:
            waits, age_s = tenant_waits
            rejection = await self._check_rate(candidate, waits, age_s)
            if rejection is not None:
                return rejection
            own_wait_s = waits.find_wait(record.tenant, queue.priority) - age_s
            wait_s = min(wait_s, max(0.0, own_wait_s))
            if not wait_s:
                return None
        return await self._check_wait(candidate, wait_s)

    def _describe(self, queue, submission_id, record) -> _Candidate:
        run_ms = None
        if self.learned is not None:
            run_ms = self.learned.predict_run_ms(record)
        path_ms = ordering.estimate_critical_path_ms(record.steps, run_ms)
        return _Candidate(queue, submission_id, record, path_ms)

    async def _check_wait(
        self, candidate: _Candidate, wait_s: float
    ) -> httpserver.Response | None:
        """Rejects a submission whose expected wait is too long."""
        decision = admission.decide(
            wait_s,
            candidate.path_ms / 1000,
            candidate.objective_s,
            random.random(),
        )
        if decision.is_accepted:
            return None
        if self._is_holding():
            # The store can't tell whether it is a repeat, but the owner
            # couldn't start it in time once the store is back.
            if self._has_unknown_outcome(candidate.submission_id):
                return clienterrors.make_error(
                    504, "the store has not answered"
                )
        elif await self.may_be_stored(candidate.submission_id):
            return None
        return self._reject(candidate, 503, "overloaded", wait_s, decision)

    async def _check_rate(
        self,
        candidate: _Candidate,
        waits: tenantwaits.TenantWaits,
        age_s: float,
    ) -> httpserver.Response | None:
        """Rejects a submission beyond its tenant's rate that would be late.

        Args:
          candidate: the submission.
          waits: the expected waits that the owner has published.
          age_s: their age in seconds.

        Returns:
          The response, None if it isn't beyond the rate or capacity isn't
          short.
        """
        tenant = candidate.record.tenant
        if tenant not in waits.exceeding or self._is_holding():
            # While submissions are held, the store can't tell whether this one
            # is a repeat.
            return None
        priority = candidate.queue.priority
        wait_s = max(0.0, waits.find_excess_wait(tenant, priority) - age_s)
        if not admission.is_excess_late(
            wait_s, candidate.path_ms / 1000, candidate.objective_s
        ):
            return None
        delay_s = await self._ask_owner(candidate)
        if delay_s <= 0 or await self.may_be_stored(candidate.submission_id):
            return None
        decision = admission.refuse_excess(delay_s, random.random())
        return self._reject(
            candidate, 429, "above the agreed rate", wait_s, decision
        )

    async def _ask_owner(self, candidate: _Candidate) -> float:
        """Asks the owner when a submission is inside its tenant's rate.

        Returns:
          Seconds, 0 if it is inside now or the owner doesn't answer in time.
        """
        service = candidate.queue.service
        tenant = candidate.record.tenant
        shard = self._ownership.find_shard(service)
        if shard is not None:
            return shard.fair_shares.admit(candidate.submission_id, tenant)
        address = self._ownership.find_owner(service)
        if address is None:
            return 0.0
        outcome = await self._peers.call(
            address,
            "POST",
            f"/peer/admission/{service}/{candidate.submission_id}",
            tenant.encode(),
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return 0.0
        try:
            return msgspec.json.decode(outcome.body, type=float)
        except ValueError:
            return 0.0

    def _reject(
        self,
        candidate: _Candidate,
        status: int,
        reason: str,
        wait_s: float,
        decision: admission.Admission,
    ) -> httpserver.Response:
        """Logs and counts a rejection and returns its response."""
        tenant = candidate.record.tenant
        fields = {"tenant": tenant} if tenant else {}
        self._node.log.write(
            "submission_refused",
            id=candidate.submission_id,
            queue=candidate.queue.name,
            wait_s=wait_s,
            path_ms=candidate.path_ms,
            retry_after_s=decision.retry_after_s,
            **fields,
        )
        if tenant:
            label = self._labels.find(tenant)
            self._node.metrics.count(
                f'tenant_refusals{{tenant="{label}",status="{status}"}}'
            )
        return clienterrors.make_error(status, reason, decision.retry_after_s)

    # What is stored.

    async def may_be_stored(self, submission_id: str) -> bool:
        """Returns whether the store may hold a submission, or get it late."""
        if self._has_unknown_outcome(submission_id):
            return True
        stored = await self._read(submission_id)
        return not isinstance(stored, platform_store.Rows) or bool(stored.rows)

    async def _read(self, submission_id: str):
        return await self._node.store.read_row(
            persistence.SUBMISSION_TABLE,
            persistence.find_partition(submission_id),
            submission_id,
        )

    def _has_unknown_outcome(self, submission_id: str) -> bool:
        """Returns whether a former attempt may still store a submission."""
        return self._acceptance is not None and self._acceptance.may_be_stored(
            submission_id
        )

    def _is_holding(self) -> bool:
        """Returns whether the store is unavailable and submissions are held."""
        return self._acceptance is not None and self._acceptance.is_holding()
