"""Tests that instrumented clients pass every call on unchanged."""

import inspect
import unittest
from unittest import mock

from persimmonpath import peers
from persimmonpath import tables
from persimmonpath import workers
from persimmonpath_daemon import instrumentation

WRAPPERS = (
    (peers.Peers, instrumentation.InstrumentedPeers),
    (tables.Table, instrumentation.InstrumentedTable),
    (workers.WorkerClient, instrumentation.InstrumentedWorker),
)


class SignatureTest(unittest.TestCase):
    """Every method takes the arguments of the method that it wraps.

    `persimmonctl status` ended with `internal` at entry VMs that don't own the
    shard of the id, as `InstrumentedPeers.ask` lacked an argument.
    """

    def test_wrappers_take_every_argument(self):
        for base, wrapper in WRAPPERS:
            for name in base.__abstractmethods__:
                with self.subTest(wrapper=wrapper.__name__, method=name):
                    self.assertEqual(
                        self.list_parameters(getattr(base, name)),
                        self.list_parameters(getattr(wrapper, name)),
                    )

    def list_parameters(self, function):
        return [
            (parameter.name, parameter.default)
            for parameter in inspect.signature(function).parameters.values()
        ]


class InstrumentedPeersTest(unittest.TestCase):
    def test_ask_passes_the_digest_on(self):
        """Without it an id that was used for other content isn't noticed."""
        inner = mock.create_autospec(peers.Peers, instance=True)
        instruments = mock.create_autospec(
            instrumentation.Instruments, instance=True
        )
        client = instrumentation.InstrumentedPeers(inner, instruments)
        client.ask("vm:1", "id", True, "digest")
        inner.ask.assert_called_once_with("vm:1", "id", True, "digest")
