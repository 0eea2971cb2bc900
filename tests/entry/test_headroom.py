"""Room within a tenant's limit that long work leaves to urgent work."""

import unittest

from persimmonpath import resources
from persimmonpath_entry.decisions import headroom
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes
from tests.entry import test_tenantusage

URGENT = submissions.StepSpec(count=2, cpu=500, memory_mb=50)
LONG = submissions.StepSpec(count=9, cpu=500, memory_mb=50)


class UrgentDemandTest(unittest.TestCase):
    def setUp(self):
        self.demand = headroom.UrgentDemand()
        size = resources.Resources(1000, 50, 2)
        self.demand.record("t", 0, size, 100.0)
        self.demand.record("t", 0, resources.Resources(500, 100, 0), 101.0)

    def test_the_largest_urgent_step_counts_for_less_urgent_work(self):
        """Guards against headroom for work that is no more urgent."""
        expected = resources.Resources(1000, 100, 2)
        self.assertEqual(self.demand.find("t", 1, 102.0), expected)
        self.assertEqual(self.demand.find("t", 0, 102.0), resources.ZERO)
        self.assertEqual(self.demand.find("other", 1, 102.0), resources.ZERO)

    def test_it_is_forgotten_after_two_windows(self):
        """Guards against room that stays free after urgent work has ended."""
        self.assertNotEqual(self.demand.find("t", 1, 107.0), resources.ZERO)
        later = 107.0 + headroom.WINDOW_S
        self.assertEqual(self.demand.find("t", 1, later), resources.ZERO)

    def test_a_part_of_the_limit_at_most(self):
        """Guards against less urgent work that is never started."""
        demand = resources.Resources(9000, 10, 0)
        allowed = resources.Resources(8000, 800, 8)
        self.assertEqual(
            headroom.cap_headroom(demand, allowed),
            resources.Resources(2000, 10, 0),
        )


class HeadroomTest(test_tenantusage.UsageTestCase):
    """A tenant whose long work could fill its limit of 8 tasks."""

    def setUp(self):
        super().setUp()
        self.long = self.add_step(spec=LONG)
        self.urgent = self.add_step(test_tenantusage.OTHER_ID, URGENT)
        self.queues = {
            self.long.submission: fakes.make_queue(name="late", priority=2),
            self.urgent.submission: fakes.make_queue(),
        }
        self.shard.find_queue = lambda submission: self.queues[submission]

    def count(self, step, has_slack=True):
        waiting = step.list_waiting()
        startable = self.usage.limit_waiting(
            step, waiting, clock.read_clock(), lambda: has_slack
        )
        return len(startable)

    async def test_long_work_leaves_room_for_urgent_work(self):
        """Guards against urgent steps that wait for seconds at the limit."""
        self.assertEqual(self.count(self.urgent), 2)
        self.assertEqual(self.count(self.long), 6)

    async def test_urgent_work_uses_the_room_that_is_left(self):
        """Guards against steps taken for blocked by what is kept for them."""
        self.count(self.urgent)
        startable = self.count(self.long)
        self.usage.hold(self.long, startable)
        self.assertFalse(self.usage.is_blocked(self.urgent))
        self.assertEqual(self.count(self.urgent), 2)

    async def test_work_that_would_be_late_leaves_nothing(self):
        """Guards against long work that is late because it gave way."""
        self.count(self.urgent)
        self.assertEqual(self.count(self.long, has_slack=False), 8)

    async def test_without_urgent_work_nothing_is_left(self):
        """Guards against a limit that can't be used."""
        self.assertEqual(self.count(self.long), 8)
