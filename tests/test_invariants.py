"""Tests of runtime checks of invariants."""

from concurrent import futures
import unittest
from unittest import mock

from persimmonpath import errors
from persimmonpath import invariants


class EnsureTest(unittest.TestCase):
    """A violation in a callback of a future must not only be logged."""

    def test_handler_is_called_for_a_violation_in_a_future_callback(self):
        seen = []
        with mock.patch.object(invariants, "_handlers", [seen.append]):
            future = futures.Future()
            future.add_done_callback(lambda _: invariants.ensure(False, "x"))
            with self.assertLogs("concurrent.futures"):
                future.set_result(None)
        self.assertIsInstance(seen[0], errors.InvariantError)

    def test_true_condition_calls_no_handler(self):
        with mock.patch.object(invariants, "_handlers", [self.fail]):
            invariants.ensure(True, "x")
