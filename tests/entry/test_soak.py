"""A short run of the soak, and the seeds that once failed."""

import tempfile
import unittest

from tests.entry import soak

SECONDS = 6.0
# Seed 2: an acknowledgement of a worker's former life made its new life
# forget an end that nobody had seen, and the task ran twice.
# Seeds 11, 13, 15: the same after a reset of the connection, and a run started
# in a worker's new life that was taken for lost at the new registration.
SEEDS = (2, 11, 13, 15)


class SoakTest(unittest.TestCase):
    def test_invariants_hold_under_faults(self):
        """Real processes under kills, pauses, cuts and a faulty store."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                with tempfile.TemporaryDirectory() as folder:
                    run = soak.run_soak(seed, SECONDS, folder)
                self.assertEqual(list(run.checker.violations), [])
                self.assertGreater(len(run.accepted), 10)
