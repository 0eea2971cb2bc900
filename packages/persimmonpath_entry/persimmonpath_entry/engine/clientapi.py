"""HTTP API for callers: submits, reads, cancels and counts submissions."""

import asyncio
import re

import msgspec

from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import clienterrors
from persimmonpath_entry.engine import connectivity
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.engine import submissionchecks
from persimmonpath_entry.engine import views
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import tenants
from persimmonpath_entry.transport import clock
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
# The caller of a queue that asks for no key.
ANONYMOUS = tenants.Tenant("")


def _confirm_cancel(
    record: submissions.SubmissionRecord,
) -> httpserver.Response:
    """Returns the response to the cancellation of a row that is stored now."""
    if record.is_tombstone:
        return clienterrors.make_error(410, "no such submission")
    return httpserver.Response(200)


def read_key(request: httpserver.Request) -> str | None:
    """Returns the API key that a request carries, None without one."""
    scheme, _, key = request.headers.get(KEY_HEADER, "").partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return None
    return key.strip() or None


class ClientApi:
    """Handles the HTTP requests of callers.

    Attributes:
      checks: rejects submissions that can't be served.
    """

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
        self.checks = submissionchecks.SubmissionChecks(
            node, acceptor, ownership, peers
        )

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Routes a request by host and path prefix and handles it."""
        start = clock.read_clock()
        path = request.target.partition("?")[0]
        current = self._node.configuration
        if current is None:
            return clienterrors.make_error(503, "no configuration yet", 1)
        queue = current.find_queue(request.headers.get("host", ""), path)
        if queue is None:
            self._node.log.write(
                "request_unrouted",
                method=request.method,
                path=path,
                version=current.version,
            )
            return clienterrors.make_error(404, "no such queue")
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
        return clienterrors.make_error(503, "this VM is cut off", 1)

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
            return clienterrors.make_error(401, "key missing")
        current = self._node.configuration
        if queue.allows_anonymous and not current.tenants:
            return ANONYMOUS
        if self._is_revocation_unknown():
            return clienterrors.make_error(503, "revoked keys unknown", 1)
        tenant = current.find_tenant(key)
        if tenant is not None:
            return tenant
        return clienterrors.make_error(401, "key unknown")

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
                return clienterrors.make_error(405, "method; allowed: GET")
            return await self._answer_count(queue)
        if not ID_PATTERN.fullmatch(submission_id):
            return clienterrors.make_error(
                404, "id; allowed: 16 hexadecimal digits"
            )
        if request.method == "POST":
            return await self._submit(
                request, queue, submission_id, deadline, tenant
            )
        if request.method == "GET":
            return await self._answer_state(queue, submission_id, tenant)
        if request.method == "DELETE":
            return await self._cancel(queue, submission_id, deadline, tenant)
        return clienterrors.make_error(
            405, "method; allowed: POST, GET, DELETE"
        )

    # Submitting.

    async def _submit(
        self, request, queue, submission_id, deadline, tenant: str = ""
    ):
        if len(request.body) > self._node.configuration.max_body_bytes:
            return clienterrors.make_error(413, "body too large")
        record = messages.decode_submission(
            request.body, queue, persistence.read_unix_ms(), tenant
        )
        if isinstance(record, str):
            return clienterrors.make_error(400, record)
        problem = submissions.check_size(
            record, self._node.settings.store.row_bytes
        )
        if problem is not None:
            return clienterrors.make_error(413, problem)
        refusal = await self.checks.check_limit(submission_id, record)
        if refusal is not None:
            return refusal
        refusal = await self.checks.check_overload(queue, submission_id, record)
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
            return clienterrors.make_error(
                504, "the store has not answered", result.retry_after_s
            )
        if outcome is acceptance.Outcome.REFUSED:
            if result.retry_after_s is not None:
                return clienterrors.make_error(
                    503, "store unreachable", result.retry_after_s
                )
            return clienterrors.make_error(
                503, "store unavailable", clienterrors.RETRY_AFTER_S
            )
        if outcome is acceptance.Outcome.TOO_LARGE:
            return clienterrors.make_error(
                413, "the store refuses a row of this size"
            )
        if outcome is acceptance.Outcome.FOREIGN:
            return clienterrors.make_error(409, "id in use")
        if outcome is acceptance.Outcome.ACCEPTED:
            self._notify_owner(submission_id, record, result.version)
        return httpserver.Response(200)

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
            return clienterrors.make_error(
                503, "store unreachable", clienterrors.RETRY_AFTER_S
            )
        if view is views.ABSENT or not submissions.is_open_to(
            view.tenant, tenant
        ):
            return clienterrors.make_error(410, "no such submission")
        return httpserver.Response(
            200, messages.encode_state(view.state, view.has_started)
        )

    async def _answer_count(self, queue: configuration.Queue):
        count = await self._views.count(queue)
        if count is None:
            return clienterrors.make_error(
                503, "owner unreachable", clienterrors.RETRY_AFTER_S
            )
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
                    return clienterrors.make_error(
                        500, "the stored row is unreadable"
                    )
                if not submissions.is_open_to(record.tenant, tenant):
                    return clienterrors.make_error(410, "no such submission")
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
            return clienterrors.make_error(504, "the store has not answered")
        return clienterrors.make_error(
            503, "store unavailable", clienterrors.RETRY_AFTER_S
        )

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
