"""HTTP API for peers: the other entry VMs."""

import msgspec

from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import connectivity
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import operatorfeed
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import ownerwatch
from persimmonpath_entry.engine import views
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import httpserver


class PeerApi:
    """Handles the HTTP requests of peers."""

    def __init__(
        self,
        node: context.Context,
        state_views: views.Views,
        ownership: owners.Ownership,
        advisor: advicebalancer.AdviceBalancer,
        reach: connectivity.Connectivity,
    ):
        self._node = node
        self._reach = reach
        self._views = state_views
        self._ownership = ownership
        self._advisor = advisor

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Routes a request of a peer by its path and handles it.

        Status 421 says that this VM can't answer as the owner of the service,
        404 that the path is unknown.
        """
        segments = request.target.strip("/").split("/")
        match segments[1:]:
            case ["submission", submission_id, version]:
                return self._handle_submission(
                    submission_id, request.body, int(version)
                )
            case ["state", service, submission_id]:
                return await self._answer_state(service, submission_id)
            case ["waiting", service, queue]:
                count = self._views.count_waiting(service, queue)
                if count is None:
                    return httpserver.Response(421)
                return httpserver.Response(200, str(count).encode())
            case ["admission", service, submission_id]:
                return self._answer_admission(
                    service, submission_id, request.body
                )
            case ["empty", service, worker_id]:
                shard = self._ownership.find_shard(service)
                if shard is None:
                    return httpserver.Response(421)
                load = shard.worker_registry.evacuate_worker(worker_id)
                if load is None:
                    return httpserver.Response(421)
                return httpserver.Response(200, msgspec.json.encode(load))
            case ["advice"]:
                return await self._answer_advice(request.body)
            case ["configuration", version]:
                known = operatorfeed.describe_configuration(
                    self._node, int(version)
                )
                if known is None:
                    return httpserver.Response(404)
                return httpserver.Response(200, msgspec.json.encode(known))
            case ["boot"]:
                return httpserver.Response(200, self._node.boot.encode())
            case ["watch"]:
                await ownerwatch.hold_long_poll(lambda: self._node.is_stopping)
                return httpserver.Response(200)
            case ["owners-changed"]:
                self._ownership.request_refresh()
                return httpserver.Response(200)
            case ["store"]:
                can_relay = self._reach.can_relay()
                return httpserver.Response(200 if can_relay else 503)
            case ["relay"]:
                return await self._relay(request.body)
        return httpserver.Response(404)

    def _handle_submission(self, submission_id, body, version):
        record = msgspec.json.decode(body, type=submissions.SubmissionRecord)
        shard = self._ownership.find_shard(record.service)
        if shard is None or not shard.is_loaded:
            self._ownership.request_refresh()
            return httpserver.Response(421)
        shard.apply_submission(submission_id, record, version=version)
        return httpserver.Response(200)

    def _answer_admission(self, service, submission_id, body):
        """Answers after how many seconds a submission is inside a rate."""
        shard = self._ownership.find_shard(service)
        if shard is None or not shard.is_loaded:
            return httpserver.Response(421)
        delay_s = shard.fair_shares.admit(submission_id, body.decode())
        return httpserver.Response(200, msgspec.json.encode(delay_s))

    async def _answer_state(self, service, submission_id):
        view = await self._views.describe_owned(service, submission_id)
        if view is None:
            return httpserver.Response(421)
        return httpserver.Response(200, msgspec.json.encode(view))

    async def _answer_advice(self, body):
        request = msgspec.json.decode(
            body, type=advicebalancer.AdviceRelayRequest
        )
        tickets = await self._advisor.call(
            request.step, request.workers, request.timeout_s
        )
        return httpserver.Response(200, msgspec.json.encode(tickets))

    async def _relay(self, body):
        call = msgspec.json.decode(body, type=platform_store.RelayedCall)
        result = await connectivity.relay_call(self._node.store, call)
        return httpserver.Response(200, msgspec.json.encode(result))
