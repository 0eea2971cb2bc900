"""Checks of states that the program rules out."""

from concurrent import futures
import unittest
from unittest import mock

from persimmonpath import errors
from persimmonpath import invariants


class EnsureTest(unittest.TestCase):
    """Guards against a broken invariant that is only logged."""

    def test_handler_hears_of_a_violation_in_a_callback_of_a_future(self):
        seen = []
        with mock.patch.object(invariants, "_handlers", [seen.append]):
            future = futures.Future()
            future.add_done_callback(lambda _: invariants.ensure(False, "x"))
            with self.assertLogs("concurrent.futures"):
                future.set_result(None)
        self.assertIsInstance(seen[0], errors.InvariantError)

    def test_condition_that_holds_calls_nobody(self):
        with mock.patch.object(invariants, "_handlers", [self.fail]):
            invariants.ensure(True, "x")
