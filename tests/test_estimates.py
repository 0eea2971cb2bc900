"""Tests of the learned run times."""

import unittest

from persimmonpath import estimates


class RunTimesTest(unittest.TestCase):
    def test_runs_outweigh_a_wrong_declaration(self):
        """Run times declared by callers may be wrong by any factor."""
        estimator = estimates.RunTimeEstimator()
        self.assertEqual(estimator.estimate("k", 0.01).typical_s, 0.01)
        self.assertFalse(estimator.estimate("k", 0.01).is_learned)
        for _ in range(estimates.MIN_SAMPLES):
            estimator.observe("k", 2.0)
        estimate = estimator.estimate("k", 0.01)
        self.assertEqual((estimate.typical_s, estimate.high_s), (2.0, 2.0))

    def test_estimate_follows_a_change(self):
        """Old runs must not outweigh a change of a kind's run times."""
        estimator = estimates.RunTimeEstimator()
        for _ in range(1000):
            estimator.observe("k", 0.01)
        for _ in range(estimates.WINDOW_SAMPLES):
            estimator.observe("k", 1.0)
        self.assertEqual(estimator.estimate("k", 0.0).typical_s, 1.0)

    def test_rare_long_runs_show_in_the_high_estimate_only(self):
        """A long run in eight is too frequent for a deadline to ignore."""
        estimator = estimates.RunTimeEstimator()
        for number in range(estimates.WINDOW_SAMPLES):
            estimator.observe("k", 5.0 if number % 8 == 0 else 0.1)
        estimate = estimator.estimate("k", 0.0)
        self.assertEqual((estimate.typical_s, estimate.high_s), (0.1, 5.0))

    def test_number_of_kinds_is_bounded(self):
        """Callers choose the names of kinds and could exhaust the memory."""
        estimator = estimates.RunTimeEstimator()
        for number in range(estimates.MAX_KINDS + 10):
            for _ in range(estimates.MIN_SAMPLES):
                estimator.observe(f"k{number}", 1.0)
        self.assertFalse(estimator.estimate("k0", 0.0).is_learned)
        self.assertTrue(estimator.estimate("k20", 0.0).is_learned)
