"""Tests of the concurrency limits of workers."""

import unittest

from persimmonpath import limits


def create_limits(slots=8):
    """Returns the limits of a shard with one worker."""
    created = limits.ConcurrencyLimits(0.25)
    created.set_slots("w", slots)
    return created


class LimitsTest(unittest.TestCase):
    def test_limit_follows_latency_down_and_up(self):
        """A slow worker gets less work, and its full share once it recovers."""
        worker_limits = create_limits()
        for _ in range(20):
            worker_limits.observe("w", 8.0)
        slow = worker_limits.get_limit("w")
        self.assertLess(slow, 4)
        for _ in range(100):
            worker_limits.observe("w", 1.0)
        self.assertEqual(worker_limits.get_limit("w"), 8)

    def test_single_outlier_does_not_lower_the_limit(self):
        """Run times vary within a kind of work."""
        worker_limits = create_limits()
        for _ in range(5):
            worker_limits.observe("w", 1.0)
        worker_limits.observe("w", 5.0)
        self.assertEqual(worker_limits.get_limit("w"), 8)

    def test_long_work_leaves_slots_for_short_work(self):
        """Long work in every slot would block short work for its whole run."""
        worker_limits = create_limits()
        for number in range(6):
            self.assertFalse(worker_limits.list_excluded(False, 0.0))
            worker_limits.acquire("w", f"a#{number}", False)
        self.assertEqual(worker_limits.list_excluded(False, 0.0), {"w"})
        self.assertEqual(worker_limits.list_excluded(True, 0.0), set())

    def test_straggler_counts_as_long_work(self):
        """Overrunning work must not fill the slots of short work."""
        worker_limits = create_limits()
        for number in range(6):
            worker_limits.acquire("w", f"a#{number}", True)
            worker_limits.mark_long(f"a#{number}")
        self.assertEqual(worker_limits.list_excluded(False, 0.0), {"w"})
        worker_limits.release("a#0")
        self.assertEqual(worker_limits.list_excluded(False, 0.0), set())

    def test_unreachable_worker_is_excluded_temporarily(self):
        """Attempts there would use up the retries of a request."""
        worker_limits = create_limits()
        worker_limits.exclude("w", 5.0)
        self.assertEqual(worker_limits.list_excluded(True, 5.5), {"w"})
        self.assertEqual(worker_limits.list_excluded(True, 6.0), set())
