"""Learned run times."""

import unittest

from persimmonpath import estimates


class RunTimesTest(unittest.TestCase):
    def test_runs_outweigh_a_wrong_declaration(self):
        """Callers declare run times that are wrong by any factor."""
        times = estimates.RunTimes()
        self.assertEqual(times.estimate("k", 0.01).typical_s, 0.01)
        self.assertFalse(times.estimate("k", 0.01).is_learned)
        for _ in range(estimates.MIN_SAMPLES):
            times.observe("k", 2.0)
        estimate = times.estimate("k", 0.01)
        self.assertEqual((estimate.typical_s, estimate.high_s), (2.0, 2.0))

    def test_estimate_follows_a_change(self):
        """Old runs must not outvote what a kind does now."""
        times = estimates.RunTimes()
        for _ in range(1000):
            times.observe("k", 0.01)
        for _ in range(estimates.WINDOW):
            times.observe("k", 1.0)
        self.assertEqual(times.estimate("k", 0.0).typical_s, 1.0)

    def test_rare_long_runs_show_in_the_high_estimate_only(self):
        """One of eight runs that is long is no outlier to a deadline."""
        times = estimates.RunTimes()
        for number in range(estimates.WINDOW):
            times.observe("k", 5.0 if number % 8 == 0 else 0.1)
        estimate = times.estimate("k", 0.0)
        self.assertEqual((estimate.typical_s, estimate.high_s), (0.1, 5.0))

    def test_number_of_kinds_is_bounded(self):
        """Names of kinds come from callers."""
        times = estimates.RunTimes()
        for number in range(estimates.MAX_KINDS + 10):
            for _ in range(estimates.MIN_SAMPLES):
                times.observe(f"k{number}", 1.0)
        self.assertFalse(times.estimate("k0", 0.0).is_learned)
        self.assertTrue(times.estimate("k20", 0.0).is_learned)
