"""Contract tests of the calls between entry VMs."""

from concurrent import futures
import socket
import threading
import unittest

from returns import result

from persimmonpath import configuration
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import peers
from persimmonpath import resources
from persimmonpath import timers
from persimmonpath import work
from persimmonpath_daemon import grpcpeers
from persimmonpath_daemon import peers_pb2
from persimmonpath_daemon import servicer
from scripts import ports
from tests import fakes

SHARD = identifiers.ShardId("zone-a", 0)
ID = identifiers.RequestId(SHARD, 1, 7)
REQUEST = work.Request(
    "kind", "team", True, resources.Resources(1, 2, 3), b"\x00\xff", 5.0, 0.5
)
PROBE = peers.Probe("a", "x", 3, True, [peers.ShardLoad(SHARD, 1, 2, 3)])
OUTCOMES = (
    outcomes.Done(b"\x00\xff" * 1000, "w"),
    outcomes.Done(b"", "w"),
    outcomes.Failed("broke", "w"),
    outcomes.NotRun("overloaded"),
    outcomes.Unknown("still_running"),
)


class FakeOwner:
    """Entry VM that returns a fixed reply and records its calls."""

    def __init__(self):
        self.reply = result.Success(OUTCOMES[0])
        self.calls = []
        self.dispatcher = self
        self.applied = configuration.AppliedConfiguration()

    def find_owned(self, shard):
        return self if shard == SHARD else None

    def submit(self, request_id, request):
        self.calls.append((request_id, request))
        return self._answer()

    def ask(self, request_id, close, digest=""):
        self.calls.append((request_id, close))
        return self._answer()

    def issue_ids(self, count):
        return [identifiers.RequestId(SHARD, 1, n) for n in range(count)]

    def describe(self):
        return PROBE

    def _answer(self):
        future = futures.Future()
        if self.reply is not None:
            future.set_result(self.reply)
        return future


class PeersContract:
    """Tests that the gRPC client and the in-memory fake both pass.

    Each subclass sets the attributes.

    Attributes:
        owner: The callee.
        peers: Client of the caller.
        address: Address of the callee.
        unused_address: Address that refuses connections.
    """

    def test_every_outcome_arrives_unchanged(self):
        for outcome in OUTCOMES:
            self.owner.reply = result.Success(outcome)
            for future in (
                self.peers.run(self.address, ID, REQUEST),
                self.peers.ask(self.address, ID, True),
            ):
                self.assertEqual(future.result(9).unwrap(), outcome)

    def test_request_arrives_as_it_was_sent(self):
        self.peers.run(self.address, ID, REQUEST).result(9)
        request_id, request = self.owner.calls[0]
        self.assertEqual(request_id, ID)
        self.assertLessEqual(request.timeout_s, REQUEST.timeout_s)
        for field in ("kind", "team", "idempotent", "size", "payload", "run_s"):
            self.assertEqual(getattr(request, field), getattr(REQUEST, field))

    def test_errors_keep_their_type(self):
        """Guards against an error of the caller that becomes an outcome."""
        for error in (
            errors.IdReusedError(str(ID)),
            errors.IdNotIssuedError(str(ID)),
            errors.NotOwnerError("moved", True),
            errors.NotOwnerError("moved", False),
        ):
            self.owner.reply = result.Failure(error)
            reply = self.peers.run(self.address, ID, REQUEST).result(9)
            self.assertIs(type(reply.failure()), type(error))
            for field in ("field", "has_run"):
                self.assertEqual(
                    getattr(reply.failure(), field, None),
                    getattr(error, field, None),
                )

    def test_shard_of_another_owner_is_rejected(self):
        """Guards against a caller that does not learn that nothing ran."""
        other = identifiers.RequestId(identifiers.ShardId("zone-b", 0), 1, 1)
        for future in (
            self.peers.run(self.address, other, REQUEST),
            self.peers.ask(self.address, other, True),
            self.peers.issue_ids(self.address, other.shard, 1),
        ):
            error = future.result(9).failure()
            self.assertIsInstance(error, errors.NotOwnerError)
        self.assertEqual(self.owner.calls, [])

    def test_refused_connection_counts_as_not_sent(self):
        for future in (
            self.peers.run(self.unused_address, ID, REQUEST),
            self.peers.ask(self.unused_address, ID, True),
            self.peers.issue_ids(self.unused_address, SHARD, 1),
        ):
            error = future.result(9).failure()
            self.assertIsInstance(error, errors.PeerError)
            self.assertFalse(error.sent)

    def test_ids_state_and_configuration_arrive(self):
        ids = self.peers.issue_ids(self.address, SHARD, 3).result(9).unwrap()
        self.assertEqual(ids, self.owner.issue_ids(3))
        self.assertEqual(
            self.peers.probe(self.address).result(9).unwrap(), PROBE
        )
        config = self.peers.fetch_config(self.address).result(9).unwrap()
        self.assertEqual(config, self.owner.applied.config)


class MemoryPeersTest(PeersContract, unittest.TestCase):
    def setUp(self):
        self.owner = FakeOwner()
        network = fakes.Network(timers.create_manual_timers())
        network.entries["a:1"] = self.owner
        self.peers = network.create_peers("b:1")
        self.address, self.unused_address = "a:1", "c:1"


class Proxy:
    """TCP proxy that can stop forwarding on its open connections."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._sockets = []
        self._stop_flags = []
        threading.Thread(target=self._accept, daemon=True).start()

    def stop_forwarding(self):
        """Drops all further data on the connections that are open now."""
        for flag in self._stop_flags:
            flag.set()

    def stop(self):
        self._listener.close()
        for item in self._sockets:
            item.close()

    def _accept(self):
        while True:
            try:
                one, _ = self._listener.accept()
            except OSError:
                return
            other = socket.create_connection(self._target)
            flag = threading.Event()
            self._stop_flags.append(flag)
            self._sockets += [one, other]
            for pair in ((one, other), (other, one)):
                threading.Thread(
                    target=self._forward, args=(*pair, flag), daemon=True
                ).start()

    def _forward(self, source, destination, stopped):
        try:
            while data := source.recv(1 << 16):
                if not stopped.is_set():
                    destination.sendall(data)
        except OSError:
            pass


class GrpcPeersTest(PeersContract, unittest.TestCase):
    def setUp(self):
        self.owner = FakeOwner()
        port, unused_port = ports.reserve_ports(2)
        self.address = f"127.0.0.1:{port}"
        self.unused_address = f"127.0.0.1:{unused_port}"
        self.server = grpcpeers.create_server(
            servicer.PeerServicer(self.owner), self.address, 4
        )
        self.server.start()
        self.addCleanup(lambda: self.server.stop(0).wait())
        self.peers = grpcpeers.create_peers()
        self.proxy = Proxy(("127.0.0.1", port))
        self.addCleanup(self.proxy.stop)

    def test_call_after_a_timeout_uses_another_connection(self):
        """Guards against new channels that share the broken connection."""
        address = self.proxy.address
        self.peers.ask(address, ID, False).result(9).unwrap()
        self.proxy.stop_forwarding()
        error = self.peers.ask(address, ID, False).result(9).failure()
        self.assertTrue(error.sent)
        reply = self.peers.ask(address, ID, False).result(9)
        self.assertEqual(reply.unwrap(), OUTCOMES[0])

    def test_owner_without_an_outcome_replies_unknown_before_the_deadline(self):
        """Leaves the caller time to query the outcome again."""
        self.owner.reply = None
        request = work.Request("k", "t", False, REQUEST.size, b"", 0.3)
        reply = self.peers.run(self.address, ID, request).result(9)
        self.assertIsInstance(
            reply.value_or(outcomes.Unknown("")), outcomes.Unknown
        )


class DecodeOutcomeTest(unittest.TestCase):
    def test_damaged_answer_decodes_to_unknown(self):
        """Covers truncated and corrupted answers and those of another id."""
        intact = grpcpeers.encode_outcome(str(ID), OUTCOMES[0])
        damages = {
            "answer": intact.answer[:-1],
            "checksum": "0",
            "length": intact.length + 1,
            "id": "zone-a.0.1.8",
            "outcome": "",
        }
        for field, value in damages.items():
            with self.subTest(field):
                damaged = peers_pb2.RunReply()
                damaged.CopyFrom(intact)
                setattr(damaged, field, value)
                outcome = grpcpeers.decode_outcome(str(ID), damaged)
                self.assertIsInstance(outcome, outcomes.Unknown)
