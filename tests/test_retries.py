"""Tests of retry decisions and of the retry budget."""

import unittest

from persimmonpath import resources
from persimmonpath import retries
from persimmonpath import work

Cause = retries.Cause


def decide(
    cause, is_idempotent, attempts=1, remaining_s=1.0, may_retry_failed=True
):
    """Returns the decision while the budget has retries."""
    size = resources.Resources(1, 1, 0)
    request = work.Request("k", "t", is_idempotent, size, b"", 5.0)
    budget = retries.RetryBudget(0.1)
    return retries.should_retry(
        request, cause, attempts, remaining_s, budget, may_retry_failed
    )


class RetriesTest(unittest.TestCase):
    def test_retry_needs_certainty(self):
        """A retry of an attempt that may run could run a request twice."""
        # Cause, retried when not idempotent, when idempotent, and when
        # idempotent while the policy forbids retries of failures.
        cases = [
            (Cause.NOT_STARTED, True, True, True),
            (Cause.FAILED, False, True, False),
            (Cause.ENDED, False, True, True),
            (Cause.UNCERTAIN, False, False, False),
        ]
        for cause, plain, idempotent, forbidden in cases:
            with self.subTest(cause):
                self.assertEqual(decide(cause, False), plain)
                self.assertEqual(decide(cause, True), idempotent)
                self.assertEqual(
                    decide(cause, True, may_retry_failed=False), forbidden
                )

    def test_retries_end_with_the_deadline_and_the_attempts(self):
        """A retry that cannot be answered in time only adds load."""
        self.assertFalse(decide(Cause.NOT_STARTED, True, remaining_s=0.001))
        most = retries.MAX_ATTEMPTS
        self.assertFalse(decide(Cause.NOT_STARTED, True, attempts=most))

    def test_budget_bounds_retries_to_a_share_of_first_attempts(self):
        """When every attempt fails, retries must not multiply the load."""
        budget = retries.RetryBudget(0.1)
        retried = 0
        for _ in range(10_000):
            budget.record_first_attempt()
            retried += budget.try_spend()
        self.assertLessEqual(retried, 1000 + retries.INITIAL_TOKENS)
        self.assertFalse(retries.RetryBudget(0.0).try_spend())
