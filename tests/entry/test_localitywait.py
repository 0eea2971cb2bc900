"""Tests of how long tasks wait for a near or a fast worker."""

import functools
import unittest
from unittest import mock

from persimmonpath_entry.decisions import localitywait
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.state import submissions
from tests.entry import fakes
from tests.entry import replay

FAR_X = 1.5
LOCAL = fakes.make_queue(
    name="local", priority=1, stretch=4.0, target_latency_ms=5000.0
)
URGENT = fakes.make_queue(name="urgent", target_latency_ms=260.0)


def make_need(**changes):
    return speeds.TimeNeed(**{"run_s": 2.0, "far_x": FAR_X, **changes})


def make_service(racks=4, workers=2):
    """Returns a service with some workers of 16 cores on each rack."""
    service = replay.Replay([LOCAL, URGENT])
    for rack in range(racks):
        for number in range(workers):
            service.add_worker(f"w{rack}.{number}", rack=f"r{rack}")
    return service


def make_spec(true_s=2.0, **changes):
    """Returns a step of one task of 4 cores."""
    fields = {"count": 1, "cpu": 4000, "memory_mb": 100}
    fields["estimated_ms"] = true_s * 1000
    return submissions.StepSpec(**{**fields, **changes})


def submit(service, queue=LOCAL, count=1, **fields):
    """Submits steps now and returns the id of the last submission."""
    spec = make_spec(**fields)
    true_s = spec.estimated_ms / 1000
    for _ in range(count):
        key = service.submit(service.now, queue, [spec], [true_s])
    return key


class ShouldWaitTest(unittest.TestCase):
    def should_wait(self, wait_s, waited_s=0.0, **changes):
        return localitywait.should_wait(
            make_need(**changes), FAR_X, localitywait.Slot(wait_s), waited_s
        )

    def test_a_wait_pays_for_half_of_the_gain(self):
        """Each wait for "a little more" would have no end."""
        for wait_s, waited_s, expected in (
            (0.45, 0.0, True),
            (0.55, 0.0, False),
            (0.2, 0.2, True),
            (0.2, 0.4, False),
            (float("inf"), 0.0, False),
        ):
            found = self.should_wait(wait_s, waited_s)
            self.assertEqual(found, expected, (wait_s, waited_s))
        self.assertFalse(self.should_wait(0.1, run_s=0.0))

    def test_the_objective_of_urgent_work_goes_first(self):
        should_wait = functools.partial(self.should_wait, is_urgent=True)
        self.assertTrue(should_wait(0.3, left_s=2.5))
        self.assertFalse(should_wait(0.4, left_s=2.5))
        self.assertTrue(should_wait(0.3, waited_s=0.9, left_s=2.6))

    def test_a_tenant_above_its_share_waits_longer(self):
        self.assertTrue(self.should_wait(0.9, share=2.0))
        self.assertFalse(self.should_wait(0.3, share=0.5))

    def test_the_more_wait_before_a_task_the_less_its_wait_pays(self):
        slots = [localitywait.Slot(wait_s) for wait_s in (0.1, 0.2, 0.2, 0.2)]
        for ahead, expected in ((0, 2), (1, 1), (2, 0), (9, 0)):
            waiting = localitywait.count_waiting(
                make_need(), FAR_X, slots, 9, 0.0, ahead
            )
            self.assertEqual(waiting, expected, ahead)


class RackReplayTest(unittest.TestCase):
    """Replays tasks whose data lies on one rack, or gangs that want one."""

    def test_many_tasks_that_want_one_rack(self):
        """Neither going away at once nor waiting always is better."""
        means_s = {}
        for name, decide in (
            ("always", mock.Mock(return_value=True)),
            ("never", mock.Mock(return_value=False)),
            ("decided", localitywait.should_wait),
        ):
            with mock.patch.object(localitywait, "should_wait", decide):
                service = make_service()
                spec = make_spec(data_rack="r0")
                for _ in range(120):
                    moment = service.now + service.random.uniform(0, 30)
                    service.submit(moment, LOCAL, [spec], [2.0])
                service.run(90)
                ages = service.list_ages(LOCAL)
                means_s[name] = sum(age_s for age_s, _ in ages) / len(ages)
        self.assertLess(means_s["decided"], 0.95 * means_s["always"])
        self.assertLess(means_s["decided"], means_s["never"])

    def test_short_tasks_don_t_wait_for_long_ones(self):
        service = make_service()
        submit(service, count=8, data_rack="r0", true_s=20.0)
        service.run(0.5)
        key = submit(service, data_rack="r0", true_s=0.5)
        service.run(0.1)
        self.assertEqual(len(service.list_racks(key)), 1)

    def test_a_long_task_waits_for_short_ones_and_holds_nothing(self):
        service = make_service()
        submit(service, count=8, data_rack="r0")
        service.run(1.5)
        key = submit(service, data_rack="r0", true_s=8.0)
        service.run(0.1)
        self.assertEqual(service.list_racks(key), [])
        # All of the capacity elsewhere is left to others.
        other = submit(service, count=24)
        service.run(0.1)
        self.assertEqual(len(service.list_racks(other)), 1)
        self.assertEqual(len(service.starts), 32)
        service.run(0.6)
        self.assertEqual(service.list_racks(key), ["r0"])
        service.run(20)
        self.assertEqual(service.scheduler._planner.waits.count_all(), 0)

    def test_a_rack_that_goes_away_keeps_nobody_waiting(self):
        for field, value in (("is_listed", False), ("unresponsive_since", 1.0)):
            with self.subTest(field):
                service = make_service()
                submit(service, count=8, data_rack="r0", true_s=3.0)
                service.run(1.5)
                key = submit(service, data_rack="r0", true_s=20.0)
                service.run(0.2)
                self.assertEqual(service.list_racks(key), [])
                for worker in service.shard.pool.list_rack("r0"):
                    setattr(worker, field, value)
                service.run(0.35)
                (rack,) = service.list_racks(key)
                self.assertNotEqual(rack, "r0")

    def test_a_gang_that_fits_only_across_racks_starts_at_once(self):
        service = make_service()
        submit(service, count=8)
        gang = {"cpu": 16000, "gang": True, "same_rack": True}
        service.run(0.1)
        key = service.submit(
            service.now, LOCAL, [make_spec(9.0, **{**gang, "count": 3})], [9.0]
        )
        service.run(0.1)
        self.assertEqual(len(service.list_racks(key)), 3)

    def test_a_gang_waits_only_for_a_rack_that_is_free_soon(self):
        for busy_s, racks in ((2.0, 1), (30.0, 2)):
            service = make_service(racks=3)
            for rack in ("r0", "r1", "r2"):
                submit(service, cpu=16000, data_rack=rack, true_s=busy_s)
            service.run(1.2)
            spec = make_spec(9.0, count=2, cpu=16000, gang=True, same_rack=True)
            key = service.submit(service.now, LOCAL, [spec], [9.0])
            service.run(1.5)
            found = service.list_racks(key)
            self.assertEqual((len(found), len(set(found))), (2, racks))


class FastWorkerTest(unittest.TestCase):
    """Covers urgent tasks for which only slow workers are free."""

    def start(self, **changes):
        """Returns the worker on which an urgent task starts."""
        service = make_service(racks=0)
        slow = service.add_worker("slow", 2.0, labels=("b",))
        fast = service.add_worker("fast", labels=("a",))
        for _ in range(20):
            service.shard.learner.speeds.record(slow, 2.0, False)
            service.shard.learner.speeds.record(fast, 1.0, False)
        service.shard.learner.refresh_factors()
        # Short runs that end one after the other keep the fast one busy.
        submit(service, count=90, label="a", true_s=0.1)
        service.run(2.5)
        while fast.free_cpu:
            service.run(0.01)
        key = submit(service, URGENT, true_s=1.0, **changes)
        service.run(0.4)
        (run,) = (
            run for run in service.starts if run.task.step.submission.id == key
        )
        return run.worker.id

    def test_it_waits_for_a_fast_worker_that_is_about_to_be_free(self):
        self.assertEqual(self.start(), "fast")

    def test_a_step_that_is_bound_to_slow_workers_starts_at_once(self):
        self.assertEqual(self.start(label="b"), "slow")
