"""gRPC client and messages for calls between entry VMs."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import threading
from typing import Any

import grpc
from returns import result

from persimmonpath import configuration
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import peers
from persimmonpath import resources
from persimmonpath import wire
from persimmonpath import work
from persimmonpath_daemon import peers_pb2
from persimmonpath_daemon import peers_pb2_grpc

CALL_TIMEOUT_S = 1.0
# The callee claims the offered shard and lists its workers before it replies.
OFFER_TIMEOUT_S = 5.0
# Time for the owner's reply to arrive after the timeout of the request has
# passed. It is shorter than the time that the caller reserves to query the
# outcome.
ANSWER_MARGIN_S = 0.2
ANSWER_MARGIN_SHARE = 0.1
MAX_MESSAGE_BYTES = 8 << 20
# Time in which a new connection has to turn out to be one of gRPC.
HANDSHAKE_TIMEOUT_MS = 5000
# Connections accepted where the caller sets no other number.
MAX_CONNECTIONS = 256

_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.so_reuseport", 0),
    # By default, channels to one address share a connection, so a new channel
    # would reuse the connection that timed out.
    ("grpc.use_local_subchannel_pool", 1),
]
_CALLER_ERRORS = {
    "id_reused": errors.IdReusedError,
    "id_not_issued": errors.IdNotIssuedError,
}
# Status details that gRPC reports only before the callee's code runs.
_UNSENT_DETAILS = ("failed to connect", "concurrent rpc limit exceeded")


def encode_request(
    request_id: str, request: work.Request
) -> peers_pb2.RunRequest:
    """Encodes a request to be forwarded to the owner of its shard."""
    return peers_pb2.RunRequest(
        id=request_id,
        kind=request.kind,
        team=request.team,
        idempotent=request.idempotent,
        cpu_millis=request.size.cpu_millis,
        memory_mib=request.size.memory_mib,
        accelerators=request.size.accelerators,
        payload=request.payload,
        timeout_s=request.timeout_s,
        run_s=request.run_s,
        trace=request.trace,
        is_vouched=request.is_vouched,
    )


def decode_request(message: peers_pb2.RunRequest) -> work.Request:
    """Decodes a forwarded request."""
    size = resources.Resources(
        message.cpu_millis, message.memory_mib, message.accelerators
    )
    return work.Request(
        kind=message.kind,
        team=message.team,
        idempotent=message.idempotent,
        size=size,
        payload=message.payload,
        timeout_s=message.timeout_s,
        run_s=message.run_s,
        trace=message.trace,
        is_vouched=message.is_vouched,
    )


def encode_outcome(
    request_id: str, outcome: outcomes.Outcome
) -> peers_pb2.RunReply:
    """Encodes an outcome; an answer gets a length and a checksum."""
    reply = peers_pb2.RunReply(
        id=request_id, outcome=outcomes.get_outcome_name(outcome)
    )
    match outcome:
        case outcomes.Done(answer, worker):
            reply.answer = answer
            reply.worker = worker
            reply.length = len(answer)
            reply.checksum = outcomes.compute_checksum(answer)
        case outcomes.Failed(reason, worker):
            reply.reason = reason
            reply.worker = worker
        case outcomes.NotRun(reason) | outcomes.Unknown(reason):
            reply.reason = reason
    return reply


def decode_outcome(
    request_id: str, reply: peers_pb2.RunReply
) -> outcomes.Outcome:
    """Decodes an outcome.

    Returns `Unknown` if the message belongs to another request or its answer
    does not match its length and checksum.
    """
    if reply.id != request_id:
        return outcomes.Unknown("answer_for_another_request")
    match reply.outcome:
        case "done":
            if not outcomes.is_intact(
                reply.answer, reply.length, reply.checksum
            ):
                return outcomes.Unknown("answer_damaged")
            return outcomes.Done(reply.answer, reply.worker)
        case "failed":
            return outcomes.Failed(reply.reason, reply.worker)
        case "not_run":
            return outcomes.NotRun(reply.reason)
    return outcomes.Unknown(reply.reason)


@dataclasses.dataclass(slots=True)
class _PooledChannel:
    """A channel and its use.

    Attributes:
        channel: The channel.
        calls: Calls in flight.
        is_discarded: Whether it accepts no new calls.
    """

    channel: grpc.Channel
    calls: int = 0
    is_discarded: bool = False


class GrpcPeers(peers.Peers):
    """gRPC client of other entry VMs with one channel for each address.

    A call that exceeds its deadline discards its channel, because the
    connection may be broken without notice. The next call opens a new one.
    """

    def __init__(self):
        """Creates a client without open channels."""
        self._lock = threading.Lock()
        # By address of the entry VM.
        self._channels: dict[str, _PooledChannel] = {}

    def run(self, address, request_id, request):
        """Runs a request at the owner of its shard."""
        return self._call(
            address,
            "Run",
            encode_request(str(request_id), request),
            request.timeout_s
            + min(ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * request.timeout_s),
            lambda m: _decode_reply(str(request_id), m),
        )

    def ask(self, address, request_id, close, digest=""):
        """Queries the owner of a shard for the outcome of a request."""
        return self._call(
            address,
            "Ask",
            peers_pb2.AskRequest(
                id=str(request_id), close=close, digest=digest
            ),
            CALL_TIMEOUT_S,
            lambda m: _decode_reply(str(request_id), m),
        )

    def issue_ids(self, address, shard, count):
        """Requests new request ids from the owner of a shard."""

        def decode(reply: peers_pb2.IssueIdsReply) -> result.Result:
            if reply.not_owner:
                return result.Failure(errors.NotOwnerError(str(shard)))
            return result.Success(
                [identifiers.parse_request_id(i) for i in reply.ids]
            )

        message = peers_pb2.IssueIdsRequest(
            zone=shard.zone, shard=shard.index, count=count
        )
        return self._call(address, "IssueIds", message, CALL_TIMEOUT_S, decode)

    def probe(self, address):
        """Fetches the state of an entry VM."""
        return self._call(
            address,
            "Probe",
            peers_pb2.ProbeRequest(),
            CALL_TIMEOUT_S,
            lambda m: result.Success(decode_probe(m)),
        )

    def fetch_config(self, address):
        """Fetches the configuration that an entry VM applies."""
        return self._call(
            address,
            "FetchConfig",
            peers_pb2.FetchConfigRequest(),
            CALL_TIMEOUT_S,
            lambda m: result.Success(
                wire.decode(configuration.Configuration, m.content)
            ),
        )

    def offer_shard(self, address, shard):
        """Offers a released shard to an entry VM of its zone."""

        def decode(reply: peers_pb2.OfferShardReply) -> result.Result:
            if reply.not_owner:
                return result.Failure(errors.NotOwnerError(str(shard)))
            return result.Success(reply.epoch)

        message = peers_pb2.OfferShardRequest(
            zone=shard.zone, shard=shard.index
        )
        return self._call(
            address, "OfferShard", message, OFFER_TIMEOUT_S, decode
        )

    def notify_job(self, address, shard, job_id):
        """Notifies the owner of a shard of a new or changed job."""
        message = peers_pb2.NotifyJobRequest(
            zone=shard.zone, shard=shard.index, id=job_id
        )
        return self._call(
            address,
            "NotifyJob",
            message,
            CALL_TIMEOUT_S,
            lambda _: result.Success(None),
        )

    def _call(
        self,
        address: str,
        method: str,
        message: Any,
        timeout_s: float,
        decode: Callable[[Any], result.Result],
    ) -> futures.Future:
        future: futures.Future = futures.Future()
        pooled = self._acquire_channel(address)
        stub = peers_pb2_grpc.PeerStub(pooled.channel)
        call = getattr(stub, method).future(message, timeout=timeout_s)

        def handle_reply(done: grpc.Future) -> None:
            error = done.exception()
            self._release_channel(address, pooled, _is_deadline_exceeded(error))
            try:
                future.set_result(decode(done.result()))
            except grpc.RpcError as error:
                future.set_result(result.Failure(_convert_error(error)))
            except errors.InputError as error:
                future.set_result(
                    result.Failure(errors.PeerError(str(error), True))
                )

        call.add_done_callback(handle_reply)
        return future

    def _acquire_channel(self, address: str) -> _PooledChannel:
        with self._lock:
            pooled = self._channels.get(address)
            if pooled is None:
                pooled = _PooledChannel(
                    grpc.insecure_channel(address, options=_OPTIONS)
                )
                self._channels[address] = pooled
            pooled.calls += 1
            return pooled

    def _release_channel(
        self, address: str, pooled: _PooledChannel, has_timed_out: bool
    ) -> None:
        with self._lock:
            pooled.calls -= 1
            pooled.is_discarded |= has_timed_out
            if pooled.is_discarded and self._channels.get(address) is pooled:
                del self._channels[address]
            # Other calls in flight on a discarded channel may still succeed.
            is_unused = pooled.is_discarded and pooled.calls == 0
        if is_unused:
            pooled.channel.close()


def _is_deadline_exceeded(error: BaseException | None) -> bool:
    return (
        isinstance(error, grpc.RpcError)
        and error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
    )


def _convert_error(error: grpc.RpcError) -> errors.PeerError:
    # UNAVAILABLE also covers a connection that broke after the call was sent,
    # so only the details tell that a call was not sent.
    details = (error.details() or "").lower()
    is_sent = not any(text in details for text in _UNSENT_DETAILS)
    return errors.PeerError(error.code().name, is_sent)


def encode_reply(request_id: str, reply: result.Result) -> peers_pb2.RunReply:
    """Encodes an outcome, or the error that the dispatcher returned.

    Raises:
        errors.PersimmonError: If the error has no encoding.
    """
    if isinstance(reply, result.Success):
        return encode_outcome(request_id, reply.unwrap())
    match reply.failure():
        case errors.NotOwnerError(has_run=has_run):
            return peers_pb2.RunReply(
                id=request_id, not_owner=True, has_run=has_run
            )
        case errors.IdReusedError():
            return peers_pb2.RunReply(id=request_id, fault="id_reused")
        case errors.IdNotIssuedError():
            return peers_pb2.RunReply(id=request_id, fault="id_not_issued")
    raise reply.failure()


def _decode_reply(request_id: str, reply: peers_pb2.RunReply) -> result.Result:
    # A reply for another request says nothing about this one.
    if reply.id != request_id:
        return result.Failure(
            errors.PeerError(f"answer for {reply.id[:80]!r}", True)
        )
    if reply.not_owner:
        error = errors.NotOwnerError(request_id, reply.has_run)
        return result.Failure(error)
    if reply.fault:
        create = _CALLER_ERRORS.get(reply.fault, errors.IdNotIssuedError)
        return result.Failure(create(request_id))
    return result.Success(decode_outcome(request_id, reply))


def encode_probe(probe: peers.Probe) -> peers_pb2.ProbeReply:
    """Encodes the state of an entry VM."""
    reply = peers_pb2.ProbeReply(
        vm=probe.vm,
        incarnation=probe.incarnation,
        config_version=probe.config_version,
        has_session=probe.has_session,
        is_connected=probe.is_connected,
    )
    for load in probe.shards:
        reply.shards.add(
            zone=load.shard.zone,
            shard=load.shard.index,
            epoch=load.epoch,
            free_slots=load.free_slots,
            in_flight=load.in_flight,
        )
    return reply


def decode_probe(reply: peers_pb2.ProbeReply) -> peers.Probe:
    """Decodes the state of an entry VM."""
    return peers.Probe(
        reply.vm,
        reply.incarnation,
        reply.config_version,
        reply.has_session,
        [
            peers.ShardLoad(
                identifiers.ShardId(load.zone, load.shard),
                load.epoch,
                load.free_slots,
                load.in_flight,
            )
            for load in reply.shards
        ],
        reply.is_connected,
    )


def create_peers() -> peers.Peers:
    """Returns a gRPC client of other entry VMs."""
    return GrpcPeers()


def create_server(
    servicer: peers_pb2_grpc.PeerServicer,
    address: str,
    threads: int,
    connections: int = MAX_CONNECTIONS,
) -> grpc.Server:
    """Returns a gRPC server that is bound to its address but not started.

    Args:
        servicer: Handles the calls.
        address: `IP:port` to listen on.
        threads: Number of calls served concurrently; four times as many are
            accepted.
        connections: Most connections; further ones are closed at once.

    Raises:
        errors.InputError: If the address cannot be listened on.
    """
    server = grpc.server(
        futures.ThreadPoolExecutor(threads, thread_name_prefix="peer"),
        options=[
            *_OPTIONS,
            ("grpc.max_allowed_incoming_connections", connections),
            ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
        ],
        maximum_concurrent_rpcs=threads * 4,
    )
    peers_pb2_grpc.add_PeerServicer_to_server(servicer, server)
    if server.add_insecure_port(address) == 0:
        raise errors.InputError("peer", f"cannot listen on {address}")
    return server
