"""Tests of the order and bounds of the fair queue."""

import collections
import unittest

from persimmonpath import queues


def create_item(team="a", expected_s=0.1, arrived=0.0, is_short=True):
    """Returns an item whose deadline is never reached."""
    return queues.Item(team, is_short, False, expected_s, arrived, 1e9)


def take_all(queue):
    """Removes all items and returns them in the order of selection."""
    taken = []
    while (selected := queue.select(lambda item: True)) is not None:
        taken.append(selected[0])
    return taken


class FairQueueTest(unittest.TestCase):
    def test_team_with_many_requests_does_not_delay_the_others(self):
        """In a FIFO queue the second team would wait for all of the first."""
        queue = queues.FairQueue(1000)
        for _ in range(100):
            queue.push(create_item("many"))
        for _ in range(10):
            queue.push(create_item("few", arrived=1.0))
        first = collections.Counter(i.team for i in take_all(queue)[:20])
        self.assertEqual(first, {"many": 10, "few": 10})

    def test_team_is_charged_for_run_time_not_for_requests(self):
        """Otherwise a team with long requests would get most of the time."""
        queue = queues.FairQueue(1000)
        for _ in range(50):
            queue.push(create_item("long", 1.0, is_short=False))
            queue.push(create_item("short", 0.1))
        first = collections.Counter(i.team for i in take_all(queue)[:44])
        self.assertEqual(first, {"long": 4, "short": 40})

    def test_short_work_goes_first_but_long_work_is_not_starved(self):
        """Without ageing, a stream of short work would starve long work."""
        queue = queues.FairQueue(1000)
        long = create_item(expected_s=1.0)
        queue.push(long)
        late_s = queues.AGEING_FACTOR + 1.0
        early = [create_item(expected_s=0.01, arrived=1.0) for _ in range(5)]
        late = [create_item(expected_s=0.01, arrived=late_s) for _ in range(5)]
        for item in (*early, *late):
            queue.push(item)
        order = take_all(queue)
        self.assertEqual(order, [*early, long, *late])

    def test_full_queue_drops_the_last_of_the_heaviest_team(self):
        """One team must not be able to fill the queue for all teams."""
        queue = queues.FairQueue(4)
        items = [create_item("many", arrived=float(n)) for n in range(4)]
        for item in items:
            self.assertIsNone(queue.push(item))
        refused = create_item("many", arrived=9.0)
        self.assertIs(queue.push(refused), refused)
        self.assertIs(queue.push(create_item("few")), items[3])
        self.assertEqual(len(queue), 4)

    def test_item_that_fits_nowhere_does_not_block_those_behind_it(self):
        """Work for accelerators may wait while CPUs are free."""
        queue = queues.FairQueue(10)
        blocked = create_item(expected_s=0.01)
        blocked.needs_accelerators = True
        queue.push(blocked)
        other = create_item()
        queue.push(other)
        selected = queue.select(lambda i: None if i is blocked else 1)
        self.assertIs(selected[0], other)

    def test_wait_grows_only_with_work_that_comes_first(self):
        """Short requests must not be refused because long ones wait."""
        queue = queues.FairQueue(100)
        for _ in range(10):
            queue.push(create_item(expected_s=4.0, is_short=False))
        short, long = create_item(), create_item(expected_s=4.0)
        self.assertEqual(queue.estimate_wait(short, 4, 0.0), 0.0)
        self.assertAlmostEqual(queue.estimate_wait(long, 4, 2.0), 10.5)
        other = create_item("b", 4.0)
        self.assertLess(queue.estimate_wait(other, 4, 2.0), 10.5)

    def test_removed_item_never_leaves(self):
        """A cancelled request must not start."""
        queue = queues.FairQueue(10)
        items = [create_item() for _ in range(3)]
        for item in items:
            queue.push(item)
        self.assertTrue(queue.remove(items[1]))
        self.assertFalse(queue.remove(items[1]))
        self.assertEqual(take_all(queue), [items[0], items[2]])
