"""Short soak runs with fixed seeds, and the checks that the mutants use."""

import contextlib
import io
import unittest

from tests import checks
from tests import soak

SEEDS = (1, 2)
STEPS = 480


class SoakTest(unittest.TestCase):
    def test_invariants_hold_under_faults(self):
        """Guards the invariants against single and combined faults."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                steps = io.StringIO()
                with contextlib.redirect_stdout(steps):
                    error = soak.find_violation(seed, STEPS, shrinks=False)
                self.assertIsNone(error, steps.getvalue())

    def test_same_seed_gives_the_same_run(self):
        """Guards against a failing run that its seed does not reproduce."""
        results = []
        for _ in range(2):
            soak.find_violation(7, 240, shrinks=False)
            results.append((dict(soak.run_totals), dict(soak.fault_counts)))
        self.assertEqual(results[0], results[1])


class ChecksTest(unittest.TestCase):
    def test_focused_checks_hold_without_a_mutant(self):
        """Guards against a check that fails even without a mutant."""
        checks.check_eviction()
        checks.check_config_version()
        checks.check_drain()
        checks.check_gang()
        checks.check_takeover_listing()
        checks.check_owner_lease()
