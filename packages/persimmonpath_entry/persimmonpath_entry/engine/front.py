"""Answers callers: hand in, ask, cancel and count submissions."""

import asyncio
import re

import msgspec

from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import connectivity
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import ledger as ledgers
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import views
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpserver

ID_FORM = re.compile(r"[0-9a-fA-F]{16}")
DEADLINE_HEADER = "x-deadline-ms"
DEFAULT_WAIT_S = 3.0
# Time kept for the answer to reach the caller before its deadline.
ANSWER_MARGIN_S = 0.35
# When a rejected caller may come again: an outage of the store or a takeover
# of a service takes some seconds.
RETRY_AFTER_S = 2


def reject(status: int, reason: str, retry_after_s: int | None = None):
    """Returns an answer that says why a request was rejected."""
    return httpserver.Response(
        status, msgspec.json.encode({"error": reason}), retry_after_s
    )


class Front:
    """Answers callers."""

    def __init__(
        self,
        node: context.Context,
        accepting: acceptance.Acceptance,
        ownership: owners.Ownership,
        peers: members.Members,
        reach: connectivity.Connectivity,
        state_views: views.Views,
    ):
        self._node = node
        self._reach = reach
        self._accepting = accepting
        self._ownership = ownership
        self._peers = peers
        self._views = state_views

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Answers a request of a caller."""
        start = clock.read_clock()
        path = request.target.partition("?")[0]
        current = self._node.configuration
        if current is None:
            return reject(503, "no configuration yet", 1)
        queue = current.find_queue(request.headers.get("host", ""), path)
        if queue is None:
            self._node.log.write(
                "request_unrouted",
                method=request.method,
                path=path,
                version=current.version,
            )
            return reject(404, "no such queue")
        submission_id = path[len(queue.prefix) :]
        if self._reach.reach is connectivity.Reach.ISOLATED:
            return self._turn_away(request, queue, submission_id)
        deadline = start + self._read_wait(request)
        answer = await self._dispatch(request, queue, submission_id, deadline)
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

    def _turn_away(self, request, queue, submission_id):
        """Has a caller come again over a connection to another zone."""
        self._node.log.warn(
            "request_rejected",
            id=submission_id,
            method=request.method,
            queue=queue.name,
            status=503,
            reason="isolated",
        )
        request.headers["connection"] = "close"
        return reject(503, "this VM is cut off", 1)

    def _read_wait(self, request: httpserver.Request) -> float:
        text = request.headers.get(DEADLINE_HEADER, "")
        wait_s = int(text) / 1000 if text.isdigit() else DEFAULT_WAIT_S
        return max(0.2, wait_s - ANSWER_MARGIN_S)

    async def _dispatch(self, request, queue, submission_id, deadline):
        if not submission_id:
            if request.method != "GET":
                return reject(405, "method; allowed: GET")
            return await self._answer_count(queue)
        if not ID_FORM.fullmatch(submission_id):
            return reject(404, "id; allowed: 16 hexadecimal digits")
        if request.method == "POST":
            return await self._hand_in(request, queue, submission_id, deadline)
        if request.method == "GET":
            return await self._answer_state(queue, submission_id)
        if request.method == "DELETE":
            return await self._cancel(submission_id, deadline)
        return reject(405, "method; allowed: POST, GET, DELETE")

    # Handing in.

    async def _hand_in(self, request, queue, submission_id, deadline):
        if len(request.body) > self._node.configuration.max_body_bytes:
            return reject(413, "body too large")
        record = messages.decode_submission(
            request.body, queue, ledgers.stamp_time()
        )
        if isinstance(record, str):
            return reject(400, record)
        if not self._reach.can_store():
            return reject(503, "store unreachable", RETRY_AFTER_S)
        verdict, version = await self._accepting.store(
            submission_id, record, deadline
        )
        self._node.log.write(
            "submission_stored",
            id=submission_id,
            queue=queue.name,
            outcome=verdict.value,
            steps=len(record.steps),
            tasks=sum(step.count for step in record.steps),
            version=self._node.configuration.version,
        )
        if verdict is acceptance.Verdict.UNKNOWN:
            return reject(504, "the store has not answered")
        if verdict is acceptance.Verdict.REFUSED:
            return reject(503, "store unavailable", RETRY_AFTER_S)
        if verdict is acceptance.Verdict.ACCEPTED:
            self._tell_owner(submission_id, record, version)
        return httpserver.Response(200)

    def _tell_owner(self, submission_id, record, version: int):
        shard = self._ownership.find_shard(record.service)
        if shard is not None:
            if shard.is_loaded:
                shard.take_submission(submission_id, record, version=version)
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

    # Asking.

    async def _answer_state(self, queue, submission_id):
        view = await self._views.find(queue.service, submission_id)
        if view is None:
            return reject(503, "store unreachable", RETRY_AFTER_S)
        if view is views.ABSENT:
            return reject(410, "no such submission")
        return httpserver.Response(
            200, messages.encode_state(view.state, view.has_started)
        )

    async def _answer_count(self, queue: configuration.Queue):
        count = await self._views.count(queue)
        if count is None:
            return reject(503, "owner unreachable", RETRY_AFTER_S)
        return httpserver.Response(200, messages.encode_waiting(count))

    # Cancelling.

    async def _cancel(self, submission_id, deadline):
        while clock.read_clock() < deadline:
            rows = await self._node.store.read_row(
                ledgers.SUBMISSION_TABLE,
                ledgers.find_part(submission_id),
                submission_id,
            )
            if isinstance(rows, platform_store.Refused):
                await asyncio.sleep(acceptance.RETRY_S)
                continue
            if not rows.rows:
                return reject(410, "no such submission")
            record = msgspec.json.decode(
                rows.rows[0].value, type=submissions.SubmissionRecord
            )
            if record.cancelled:
                return httpserver.Response(200)
            record.cancelled = True
            result = await self._node.store.commit(
                ledgers.find_part(submission_id),
                [
                    (
                        ledgers.SUBMISSION_TABLE,
                        submission_id,
                        rows.rows[0].version,
                    )
                ],
                [
                    (
                        ledgers.SUBMISSION_TABLE,
                        submission_id,
                        msgspec.json.encode(record),
                    )
                ],
            )
            if isinstance(result, platform_store.Committed):
                self._node.log.write("submission_cancelled", id=submission_id)
                self._tell_owner(submission_id, record, result.version)
                return httpserver.Response(200)
            await asyncio.sleep(0.02)
        return reject(503, "store unavailable", RETRY_AFTER_S)
