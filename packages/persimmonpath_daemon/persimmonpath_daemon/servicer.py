"""Answers the calls of other entry VMs."""

from concurrent import futures
import dataclasses

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import spans
from persimmonpath import wire
from persimmonpath_daemon import grpcpeers
from persimmonpath_daemon import observation
from persimmonpath_daemon import peers_pb2
from persimmonpath_daemon import peers_pb2_grpc


class PeerServicer(peers_pb2_grpc.PeerServicer):
    """The callee's side of every call."""

    def __init__(
        self, entry: entry_module.EntryVm, instruments: observation.Instruments
    ):
        """Creates a servicer of an entry VM."""
        self._entry = entry
        self._instruments = instruments

    def Run(self, request, context):  # noqa: N802
        """Runs a request of a shard owned here."""
        del context
        parsed = identifiers.parse_request_id(request.id)
        owned = self._entry.find_owned(parsed.shard)
        if owned is None:
            return peers_pb2.RunReply(id=request.id, not_owner=True)
        decoded = grpcpeers.decode_request(request)
        parent = spans.parse_context(decoded.trace)
        span = self._instruments.tracer.start("peer_serve", parent)
        decoded = dataclasses.replace(decoded, trace=span.trace)
        future = owned.dispatcher.submit(parsed, decoded)
        try:
            outcome = future.result(decoded.timeout_s)
        except futures.TimeoutError:
            outcome = outcomes.Unknown("still_running")
        span.end(outcomes.name_outcome(outcome))
        return grpcpeers.encode_outcome(request.id, outcome)

    def Ask(self, request, context):  # noqa: N802
        """Tells what became of a request."""
        del context
        parsed = identifiers.parse_request_id(request.id)
        owned = self._entry.find_owned(parsed.shard)
        if owned is None:
            return peers_pb2.RunReply(id=request.id, not_owner=True)
        outcome = owned.dispatcher.ask(parsed, request.close)
        return grpcpeers.encode_outcome(request.id, outcome)

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
        """Tells the state of this entry VM."""
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
            reply = self._entry.take_offer(shard).result(
                context.time_remaining()
            )
        except futures.TimeoutError:
            return peers_pb2.OfferShardReply(not_owner=True)
        if isinstance(reply, result.Failure):
            return peers_pb2.OfferShardReply(not_owner=True)
        return peers_pb2.OfferShardReply(epoch=reply.unwrap())

    def NotifyJob(self, request, context):  # noqa: N802
        """Has the runner of a shard read its jobs again."""
        del context
        shard = identifiers.ShardId(request.zone, request.shard)
        owned = self._entry.find_owned(shard)
        if owned is not None:
            owned.runner.poll()
        return peers_pb2.NotifyJobReply()
