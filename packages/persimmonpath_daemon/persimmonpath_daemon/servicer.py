"""gRPC service for the calls of other entry VMs."""

from concurrent import futures
import dataclasses

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import spans
from persimmonpath import wire
from persimmonpath_daemon import grpcpeers
from persimmonpath_daemon import peers_pb2
from persimmonpath_daemon import peers_pb2_grpc

# The dispatcher replies at the deadline; this margin bounds the wait for it.
WAIT_MARGIN_S = 0.1


class PeerServicer(peers_pb2_grpc.PeerServicer):
    """Handlers of the calls between entry VMs."""

    def __init__(
        self, entry: entry_module.EntryVm, tracer: spans.Tracer | None = None
    ):
        """Creates a servicer of an entry VM.

        Args:
            entry: The entry VM.
            tracer: Starts spans; None to disable tracing.
        """
        self._entry = entry
        self._tracer = tracer or spans.create_tracer(False, lambda: 0.0)

    def Run(self, request, context):  # noqa: N802
        """Runs a request if this VM owns its shard."""
        parsed = identifiers.parse_request_id(request.id)
        owned = self._entry.find_owned(parsed.shard)
        if owned is None:
            return _reply_not_owner(request.id)
        decoded = grpcpeers.decode_request(request)
        # Subtracts the time that the call waited for a thread.
        remaining_s = min(decoded.timeout_s, context.time_remaining() or 0.0)
        if remaining_s <= 0:
            outcome = outcomes.Unknown("deadline_passed")
            return grpcpeers.encode_outcome(request.id, outcome)
        parent = spans.parse_context(decoded.trace)
        span = self._tracer.start("peer_serve", parent)
        decoded = dataclasses.replace(
            decoded, timeout_s=remaining_s, trace=span.trace
        )
        future = owned.dispatcher.submit(parsed, decoded)
        reply = _wait_for_outcome(
            request.id, future, remaining_s + WAIT_MARGIN_S
        )
        span.end(reply.outcome or "refused")
        return reply

    def Ask(self, request, context):  # noqa: N802
        """Returns the outcome of a request."""
        parsed = identifiers.parse_request_id(request.id)
        owned = self._entry.find_owned(parsed.shard)
        if owned is None:
            return _reply_not_owner(request.id)
        future = owned.dispatcher.ask(parsed, request.close, request.digest)
        return _wait_for_outcome(
            request.id, future, context.time_remaining() or 0.0
        )

    def IssueIds(self, request, context):  # noqa: N802
        """Issues request ids."""
        del context
        shard = identifiers.ShardId(request.zone, request.shard)
        owned = self._entry.find_owned(shard)
        if owned is None:
            return peers_pb2.IssueIdsReply(not_owner=True)
        ids = owned.dispatcher.issue_ids(request.count)
        return peers_pb2.IssueIdsReply(ids=[str(i) for i in ids])

    def Probe(self, request, context):  # noqa: N802
        """Returns the state of this entry VM."""
        del request, context
        return grpcpeers.encode_probe(self._entry.describe())

    def FetchConfig(self, request, context):  # noqa: N802
        """Returns the configuration in force here."""
        del request, context
        config = self._entry.applied.config
        return peers_pb2.FetchConfigReply(
            version=config.version, content=wire.encode(config)
        )

    def OfferShard(self, request, context):  # noqa: N802
        """Claims a shard that its owner has released."""
        shard = identifiers.ShardId(request.zone, request.shard)
        try:
            reply = self._entry.accept_offer(shard).result(
                context.time_remaining()
            )
        except futures.TimeoutError:
            return peers_pb2.OfferShardReply(not_owner=True)
        if isinstance(reply, result.Failure):
            return peers_pb2.OfferShardReply(not_owner=True)
        return peers_pb2.OfferShardReply(epoch=reply.unwrap())

    def NotifyJob(self, request, context):  # noqa: N802
        """Notifies the job runner of a shard that its jobs have changed."""
        del context
        shard = identifiers.ShardId(request.zone, request.shard)
        owned = self._entry.find_owned(shard)
        if owned is not None:
            owned.runner.notify()
        return peers_pb2.NotifyJobReply()


def _reply_not_owner(request_id: str) -> peers_pb2.RunReply:
    error = errors.NotOwnerError(request_id)
    return grpcpeers.encode_reply(request_id, result.Failure(error))


def _wait_for_outcome(
    request_id: str, future: futures.Future, timeout_s: float
) -> peers_pb2.RunReply:
    try:
        reply = future.result(timeout_s)
    except futures.TimeoutError:
        reply = result.Success(outcomes.Unknown("still_running"))
    return grpcpeers.encode_reply(request_id, reply)
