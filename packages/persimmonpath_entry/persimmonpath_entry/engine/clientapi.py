"""HTTP API for callers: submits, reads, cancels and counts submissions."""

import asyncio
import random
import re

import msgspec

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import connectivity
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import fairshares
from persimmonpath_entry.engine import learnedrows
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.engine import views
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import tenants
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import httpserver

ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
DEADLINE_HEADER = "x-deadline-ms"
KEY_HEADER = "authorization"
KEY_SCHEME = "token"
# The header fields that the APIs for callers and peers read.
HEADER_FIELDS = ("host", KEY_HEADER, DEADLINE_HEADER)
DEADLINE_PATTERN = re.compile(r"[0-9]{1,20}")
DEFAULT_WAIT_S = 3.0
# A caller that names a later deadline is answered after this time, so that its
# request doesn't use memory for as long as it likes.
MAX_WAIT_S = 60.0
# Time reserved for the response to reach the caller before its deadline.
ANSWER_MARGIN_S = 0.35
# Retry-After of rejected requests: an outage of the store or a takeover of a
# service lasts some seconds.
RETRY_AFTER_S = 2
# The caller of a queue that asks for no key.
ANONYMOUS = tenants.Tenant("")


def _confirm_cancel(
    record: submissions.SubmissionRecord,
) -> httpserver.Response:
    """Returns the response to the cancellation of a row that is stored now."""
    if record.is_tombstone:
        return make_error(410, "no such submission")
    return httpserver.Response(200)


def make_error(status: int, reason: str, retry_after_s: int | None = None):
    """Returns the response to a rejected request.

    Args:
      status: the HTTP status.
      reason: the text of the field "error" in the body.
      retry_after_s: seconds for the header Retry-After, None to leave it out.
    """
    return httpserver.Response(
        status, msgspec.json.encode({"error": reason}), retry_after_s
    )


def read_key(request: httpserver.Request) -> str | None:
    """Returns the API key that a request carries, None without one."""
    scheme, _, key = request.headers.get(KEY_HEADER, "").partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return None
    return key.strip() or None


class ClientApi:
    """Handles the HTTP requests of callers."""

    def __init__(
        self,
        node: context.Context,
        acceptor: acceptance.Acceptance,
        ownership: owners.Ownership,
        peers: members.Members,
        reach: connectivity.Connectivity,
        state_views: views.Views,
    ):
        self._node = node
        self._reach = reach
        self._acceptance = acceptor
        self._ownership = ownership
        self._peers = peers
        self._views = state_views
        self._labels = fairshares.TenantLabels()
        self.learned: learnedrows.LearnedReader | None = None

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Routes a request by host and path prefix and handles it."""
        start = clock.read_clock()
        path = request.target.partition("?")[0]
        current = self._node.configuration
        if current is None:
            return make_error(503, "no configuration yet", 1)
        queue = current.find_queue(request.headers.get("host", ""), path)
        if queue is None:
            self._node.log.write(
                "request_unrouted",
                method=request.method,
                path=path,
                version=current.version,
            )
            return make_error(404, "no such queue")
        submission_id = path[len(queue.prefix) :]
        if self._reach.reach is connectivity.Reach.ISOLATED:
            return self._reject_isolated(request, queue, submission_id)
        deadline = start + self._read_timeout(request)
        caller = self._authenticate(request, queue)
        if isinstance(caller, httpserver.Response):
            answer = caller
        else:
            answer = await self._dispatch(
                request, queue, submission_id, deadline, caller.name
            )
        elapsed_ms = (clock.read_clock() - start) * 1000
        self._node.metrics.count(
            f'requests{{method="{request.method}",status="{answer.status}"}}'
        )
        self._node.metrics.observe(
            f'request_latency{{method="{request.method}"}}', elapsed_ms
        )
        if answer.status not in (200, 410):
            self._node.log.warn(
                "request_rejected",
                id=submission_id,
                method=request.method,
                queue=queue.name,
                status=answer.status,
                reason=answer.body.decode("latin-1"),
                after_ms=elapsed_ms,
                version=current.version,
            )
        return answer

    def _reject_isolated(self, request, queue, submission_id):
        """Rejects a request while this VM is isolated.

        Closes the connection, so that the caller retries over a new one, which
        may lead to another zone.
        """
        self._node.log.warn(
            "request_rejected",
            id=submission_id,
            method=request.method,
            queue=queue.name,
            status=503,
            reason="isolated",
        )
        request.headers["connection"] = "close"
        return make_error(503, "this VM is cut off", 1)

    def _authenticate(
        self, request: httpserver.Request, queue: configuration.Queue
    ) -> tenants.Tenant | httpserver.Response:
        """Returns the tenant of a caller, or the response that rejects it.

        A key that isn't known is rejected on a queue without keys, too: the
        caller takes its call for one of its tenant.
        """
        key = read_key(request)
        if key is None:
            if queue.allows_anonymous:
                return ANONYMOUS
            return make_error(401, "key missing")
        current = self._node.configuration
        if queue.allows_anonymous and not current.tenants:
            return ANONYMOUS
        if self._is_revocation_unknown():
            return make_error(503, "revoked keys unknown", 1)
        tenant = current.find_tenant(key)
        if tenant is not None:
            return tenant
        return make_error(401, "key unknown")

    def _is_revocation_unknown(self) -> bool:
        """Returns whether a revocation may be too long unknown to this VM."""
        bounds = self._node.settings.bounds
        if not bounds.strict_revoke:
            return False
        age_s = clock.read_clock() - self._node.configuration_confirmed_at
        return age_s > bounds.revoke_ms / 1000

    def _read_timeout(self, request: httpserver.Request) -> float:
        """Returns the seconds left for a request, at least 0.2."""
        text = request.headers.get(DEADLINE_HEADER, "")
        wait_s = DEFAULT_WAIT_S
        if DEADLINE_PATTERN.fullmatch(text):
            wait_s = min(MAX_WAIT_S, int(text) / 1000)
        return max(0.2, wait_s - ANSWER_MARGIN_S)

    async def _dispatch(
        self, request, queue, submission_id, deadline, tenant: str = ""
    ):
        """Handles a request of an authenticated caller.

        Args:
          request: the request.
          queue: the queue that it was routed to.
          submission_id: the id in its path, empty for the queue itself.
          deadline: monotonic time in seconds by which its caller needs a
            response.
          tenant: name of the caller's tenant, empty without one.
        """
        if not submission_id:
            if request.method != "GET":
                return make_error(405, "method; allowed: GET")
            return await self._answer_count(queue)
        if not ID_PATTERN.fullmatch(submission_id):
            return make_error(404, "id; allowed: 16 hexadecimal digits")
        if request.method == "POST":
            return await self._submit(
                request, queue, submission_id, deadline, tenant
            )
        if request.method == "GET":
            return await self._answer_state(queue, submission_id, tenant)
        if request.method == "DELETE":
            return await self._cancel(queue, submission_id, deadline, tenant)
        return make_error(405, "method; allowed: POST, GET, DELETE")

    # Submitting.

    async def _submit(
        self, request, queue, submission_id, deadline, tenant: str = ""
    ):
        if len(request.body) > self._node.configuration.max_body_bytes:
            return make_error(413, "body too large")
        record = messages.decode_submission(
            request.body, queue, persistence.read_unix_ms(), tenant
        )
        if isinstance(record, str):
            return make_error(400, record)
        problem = submissions.check_size(
            record, self._node.settings.store.row_bytes
        )
        if problem is not None:
            return make_error(413, problem)
        refusal = await self._refuse_oversized(submission_id, record)
        if refusal is not None:
            return refusal
        refusal = await self._refuse_overload(queue, submission_id, record)
        if refusal is not None:
            return refusal
        result = await self._acceptance.store(submission_id, record, deadline)
        outcome = result.outcome
        self._node.log.write(
            "submission_stored",
            id=submission_id,
            queue=queue.name,
            outcome=outcome.value,
            steps=len(record.steps),
            tasks=sum(step.count for step in record.steps),
            version=self._node.configuration.version,
        )
        if outcome is acceptance.Outcome.UNKNOWN:
            return make_error(
                504, "the store has not answered", result.retry_after_s
            )
        if outcome is acceptance.Outcome.REFUSED:
            if result.retry_after_s is not None:
                return make_error(
                    503, "store unreachable", result.retry_after_s
                )
            return make_error(503, "store unavailable", RETRY_AFTER_S)
        if outcome is acceptance.Outcome.TOO_LARGE:
            return make_error(413, "the store refuses a row of this size")
        if outcome is acceptance.Outcome.FOREIGN:
            return make_error(409, "id in use")
        if outcome is acceptance.Outcome.ACCEPTED:
            self._notify_owner(submission_id, record, result.version)
        return httpserver.Response(200)

    def _has_unknown_outcome(self, submission_id: str) -> bool:
        """Returns whether a former attempt may still store a submission."""
        return self._acceptance is not None and self._acceptance.may_be_stored(
            submission_id
        )

    def _is_holding(self) -> bool:
        """Returns whether the store is unavailable and submissions are held."""
        return self._acceptance is not None and self._acceptance.is_holding()

    async def _refuse_oversized(
        self, submission_id: str, record: submissions.SubmissionRecord
    ) -> httpserver.Response | None:
        """Refuses a submission that can never run within its tenant's limit.

        A repeat of one that was stored before the limit was lowered isn't
        refused.

        Returns:
          The response, None if the submission is accepted.
        """
        tenant = self._node.configuration.tenants.get(record.tenant)
        if tenant is None:
            return None
        problem = submissions.check_limit(record, tenant.limit)
        if problem is None:
            return None
        if self._has_unknown_outcome(submission_id):
            return make_error(504, "the store has not answered")
        if self._is_holding():
            return make_error(503, "store unreachable", RETRY_AFTER_S)
        stored = await self._node.store.read_row(
            persistence.SUBMISSION_TABLE,
            persistence.find_partition(submission_id),
            submission_id,
        )
        if not isinstance(stored, platform_store.Rows):
            return make_error(503, "store unavailable", RETRY_AFTER_S)
        return None if stored.rows else make_error(413, problem)

    async def _refuse_overload(
        self, queue, submission_id, record
    ) -> httpserver.Response | None:
        """Refuses a submission that would end too late to be of use.

        A repeat of a stored submission isn't refused, since it will run.

        Returns:
          The response, None if the submission is accepted.
        """
        wait_s = self._ownership.find_wait(queue.service, queue.priority)
        tenant_waits = None
        if self._node.configuration.tenants:
            tenant_waits = self._ownership.find_tenant_waits(queue.service)
        if not wait_s and tenant_waits is None:
            return None
        if record.occurrences or submissions.has_long_running(record):
            return None
        run_ms = None
        if self.learned is not None:
            run_ms = self.learned.predict_run_ms(record)
        path_ms = ordering.estimate_critical_path_ms(record.steps, run_ms)
        if tenant_waits is not None:
            waits, age_s = tenant_waits
            refusal = await self._refuse_excess(
                queue, submission_id, record, waits, age_s, path_ms
            )
            if refusal is not None:
                return refusal
            own_wait_s = waits.find_wait(record.tenant, queue.priority) - age_s
            wait_s = min(wait_s, max(0.0, own_wait_s))
            if not wait_s:
                return None
        decision = admission.decide(
            wait_s,
            path_ms / 1000,
            ordering.compute_objective_s(queue, path_ms),
            random.random(),
        )
        if decision.is_accepted:
            return None
        if self._is_holding():
            # The owner couldn't start it in time once the store is back, and
            # the store can't tell whether it is a repeat.
            return self._make_overload(
                queue, submission_id, record, wait_s, decision
            )
        if await self._may_be_stored(submission_id):
            return None
        return self._make_overload(
            queue, submission_id, record, wait_s, decision
        )

    def _make_overload(
        self,
        queue,
        submission_id,
        record,
        wait_s: float,
        decision: admission.Admission,
    ) -> httpserver.Response:
        """Logs an overload and returns the response that tells of it."""
        if self._has_unknown_outcome(submission_id):
            return make_error(504, "the store has not answered")
        self._node.log.write(
            "submission_refused",
            id=submission_id,
            queue=queue.name,
            wait_s=wait_s,
            retry_after_s=decision.retry_after_s,
        )
        self._count_refusal(record.tenant, 503)
        return make_error(503, "overloaded", decision.retry_after_s)

    async def _may_be_stored(self, submission_id: str) -> bool:
        """Returns whether the store may hold a submission, or get it late."""
        if self._has_unknown_outcome(submission_id):
            return True
        stored = await self._node.store.read_row(
            persistence.SUBMISSION_TABLE,
            persistence.find_partition(submission_id),
            submission_id,
        )
        return not isinstance(stored, platform_store.Rows) or bool(stored.rows)

    def _count_refusal(self, tenant: str, status: int):
        if tenant:
            label = self._labels.find(tenant)
            self._node.metrics.count(
                f'tenant_refusals{{tenant="{label}",status="{status}"}}'
            )

    async def _refuse_excess(
        self,
        queue,
        submission_id,
        record,
        waits,
        age_s: float,
        path_ms: float,
    ) -> httpserver.Response | None:
        """Refuses a submission beyond its tenant's rate that would be late.

        Args:
          queue: its queue.
          submission_id: its id.
          record: the submission.
          waits: the expected waits that the owner has published.
          age_s: their age in seconds.
          path_ms: expected duration of its critical path, in milliseconds.

        Returns:
          The response, None if it isn't beyond the rate or capacity isn't
          short.
        """
        if record.tenant not in waits.exceeding:
            return None
        if self._is_holding():
            # The store can't tell whether it is a repeat.
            return None
        wait_s = max(
            0.0,
            waits.find_excess_wait(record.tenant, queue.priority) - age_s,
        )
        if not admission.is_excess_late(
            wait_s,
            path_ms / 1000,
            ordering.compute_objective_s(queue, path_ms),
        ):
            return None
        delay_s = await self._ask_admission(queue, submission_id, record.tenant)
        if delay_s <= 0 or await self._may_be_stored(submission_id):
            return None
        decision = admission.refuse_excess(delay_s, random.random())
        self._node.log.write(
            "submission_refused",
            id=submission_id,
            queue=queue.name,
            tenant=record.tenant,
            wait_s=wait_s,
            path_ms=path_ms,
            retry_after_s=decision.retry_after_s,
        )
        self._count_refusal(record.tenant, 429)
        return make_error(429, "above the agreed rate", decision.retry_after_s)

    async def _ask_admission(
        self, queue, submission_id: str, tenant: str
    ) -> float:
        """Asks the owner when a submission is inside its tenant's rate.

        Returns:
          Seconds, 0 if it is inside now or the owner doesn't answer in time.
        """
        shard = self._ownership.find_shard(queue.service)
        if shard is not None:
            return shard.fair_shares.admit(submission_id, tenant)
        address = self._ownership.find_owner(queue.service)
        if address is None:
            return 0.0
        outcome = await self._peers.call(
            address,
            "POST",
            f"/peer/admission/{queue.service}/{submission_id}",
            tenant.encode(),
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return 0.0
        try:
            return msgspec.json.decode(outcome.body, type=float)
        except ValueError:
            return 0.0

    def _notify_owner(self, submission_id, record, version: int):
        """Passes a stored submission to the owner of its service.

        A lost message does no harm, as the owner also reads new rows from the
        store.
        """
        shard = self._ownership.find_shard(record.service)
        if shard is not None:
            if shard.is_loaded:
                shard.apply_submission(submission_id, record, version=version)
            return
        address = self._ownership.find_owner(record.service)
        if address is not None:
            asyncio.get_running_loop().create_task(
                self._peers.call(
                    address,
                    "POST",
                    f"/peer/submission/{submission_id}/{version}",
                    msgspec.json.encode(record),
                )
            )

    # Reading states and counts.

    async def _answer_state(self, queue, submission_id, tenant: str = ""):
        view = await self._views.find_view(queue.service, submission_id)
        if view is None:
            return make_error(503, "store unreachable", RETRY_AFTER_S)
        if view is views.ABSENT or not submissions.is_open_to(
            view.tenant, tenant
        ):
            return make_error(410, "no such submission")
        return httpserver.Response(
            200, messages.encode_state(view.state, view.has_started)
        )

    async def _answer_count(self, queue: configuration.Queue):
        count = await self._views.count(queue)
        if count is None:
            return make_error(503, "owner unreachable", RETRY_AFTER_S)
        return httpserver.Response(200, messages.encode_waiting(count))

    # Cancelling.

    async def _cancel(self, queue, submission_id, deadline, tenant: str = ""):
        """Marks a submission as cancelled.

        If there is none, a row without content takes its place before that is
        answered: a transaction that was sent earlier, and that may be carried
        out seconds later, can't store the submission any more then.
        """
        may_be_cancelled = False
        while clock.read_clock() < deadline:
            stored = await self._node.store.read_row(
                persistence.SUBMISSION_TABLE,
                persistence.find_partition(submission_id),
                submission_id,
            )
            if isinstance(stored, platform_store.Refused):
                await asyncio.sleep(acceptance.RETRY_S)
                continue
            record = None
            if stored.rows:
                record = rowcodec.decode_row(
                    self._node, stored.rows[0], submissions.SubmissionRecord
                )
                if record is None:
                    return make_error(500, "the stored row is unreadable")
                if not submissions.is_open_to(record.tenant, tenant):
                    return make_error(410, "no such submission")
                if record.cancelled:
                    return _confirm_cancel(record)
            cancelled = (
                submissions.make_tombstone(queue.name, queue.service, tenant)
                if record is None
                else submissions.make_cancelled(record)
            )
            result = await self._store_cancelled(
                submission_id, cancelled, stored.rows
            )
            if isinstance(result, platform_store.Committed):
                self._node.log.write(
                    "submission_cancelled",
                    id=submission_id,
                    was_stored=record is not None,
                )
                self._notify_owner(submission_id, cancelled, result.version)
                return _confirm_cancel(cancelled)
            if isinstance(result, platform_store.Unknown):
                may_be_cancelled = True
            await asyncio.sleep(0.02)
        if may_be_cancelled:
            return make_error(504, "the store has not answered")
        return make_error(503, "store unavailable", RETRY_AFTER_S)

    async def _store_cancelled(
        self,
        submission_id: str,
        cancelled: submissions.SubmissionRecord,
        rows: list[platform_store.Row],
    ):
        """Writes a cancelled submission if its row is the one that was read.

        Args:
          submission_id: the id of the submission.
          cancelled: the new row.
          rows: the row that was read, empty if there was none.

        Returns:
          The result of the transaction.
        """
        table = persistence.SUBMISSION_TABLE
        version = rows[0].version if rows else 0
        return await self._node.store.commit(
            persistence.find_partition(submission_id),
            [(table, submission_id, version)],
            [(table, submission_id, msgspec.json.encode(cancelled))],
        )
