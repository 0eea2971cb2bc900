"""Tests of how long tasks wait for a worker near their data."""

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
URGENT = fakes.make_queue(
    name="urgent", priority=0, stretch=1.5, target_latency_ms=260.0
)


def make_need(**changes):
    return speeds.TimeNeed(**{"run_s": 2.0, "far_x": FAR_X, **changes})


def make_service(seed=1, racks=4, workers=2):
    """Returns a service with some workers of 16 cores on each rack."""
    service = replay.Replay([LOCAL, URGENT], seed)
    for rack in range(racks):
        for number in range(workers):
            service.add_worker(f"w{rack}.{number}", rack=f"r{rack}")
    return service


def make_spec(**changes):
    fields = {"count": 1, "cpu": 4000, "memory_mb": 100, "estimated_ms": 2000}
    return submissions.StepSpec(**{**fields, **changes})


def fill(service, rack, spec, true_s):
    """Has a rack's workers run tasks of a step on all of their CPU."""
    count = sum(
        worker.registration.cpu // spec.cpu
        for worker in service.shard.workers.values()
        if worker.registration.rack == rack
    )
    for _ in range(count):
        service.submit(service.now, LOCAL, [spec], [true_s])


def list_racks(service, submission_id):
    """Returns the racks on which tasks of a submission were started."""
    return [
        worker.registration.rack
        for worker, run in service.starts
        if run.task.step.submission.id == submission_id
    ]


def measure_mean_age(service, queue):
    ages_s = [
        outcome.age_s
        for outcome in service.list_outcomes()
        if outcome.queue == queue.name
    ]
    return sum(ages_s) / len(ages_s)


class ShouldWaitTest(unittest.TestCase):
    def should_wait(self, wait_s, waited_s=0.0, **changes):
        return localitywait.should_wait(
            make_need(**changes), FAR_X, localitywait.Slot(wait_s), waited_s
        )

    def test_a_wait_shorter_than_the_gain_pays(self):
        self.assertTrue(self.should_wait(0.45))
        self.assertFalse(self.should_wait(0.55))
        self.assertFalse(self.should_wait(float("inf")))

    def test_all_waits_together_are_bounded_by_the_gain(self):
        """Each wait for "a little more" would have no end."""
        self.assertTrue(self.should_wait(0.2, waited_s=0.2))
        self.assertFalse(self.should_wait(0.2, waited_s=0.4))

    def test_urgent_work_doesn_t_wait_beyond_its_objective(self):
        self.assertTrue(self.should_wait(0.3, left_s=2.5, is_urgent=True))
        self.assertFalse(self.should_wait(0.4, left_s=2.5, is_urgent=True))

    def test_urgent_work_waits_if_it_would_be_late_otherwise(self):
        self.assertTrue(self.should_wait(0.3, 0.9, left_s=2.6, is_urgent=True))

    def test_a_tenant_above_its_share_waits_longer(self):
        self.assertTrue(self.should_wait(0.9, share=2.0))
        self.assertFalse(self.should_wait(0.3, share=0.5))

    def test_without_a_run_time_nothing_waits(self):
        self.assertFalse(self.should_wait(0.1, run_s=0.0))

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

        def wait_always(need, factor_now, slot, waited_s=0.0, ahead=0):
            return True

        def wait_never(need, factor_now, slot, waited_s=0.0, ahead=0):
            return False

        means_s = {}
        for name, decide in (
            ("always", wait_always),
            ("never", wait_never),
            ("decided", localitywait.should_wait),
        ):
            with mock.patch.object(localitywait, "should_wait", decide):
                service = make_service()
                spec = make_spec(data_rack="r0")
                for _ in range(120):
                    moment = service.now + service.random.uniform(0, 30)
                    service.submit(moment, LOCAL, [spec], [2.0])
                service.run(service.now + 90)
                means_s[name] = measure_mean_age(service, LOCAL)
        self.assertLess(means_s["decided"], 0.95 * means_s["always"])
        self.assertLess(means_s["decided"], means_s["never"])

    def test_short_tasks_don_t_wait_for_long_ones(self):
        service = make_service()
        fill(service, "r0", make_spec(data_rack="r0"), 20.0)
        service.run(service.now + 0.5)
        spec = make_spec(data_rack="r0", estimated_ms=500)
        submission_id = service.submit(service.now, LOCAL, [spec], [0.5])
        service.run(service.now + 0.1)
        (rack,) = list_racks(service, submission_id)
        self.assertNotEqual(rack, "r0")

    def test_a_long_task_waits_for_short_ones_and_holds_nothing(self):
        service = make_service()
        fill(service, "r0", make_spec(data_rack="r0"), 2.0)
        service.run(service.now + 1.5)
        spec = make_spec(data_rack="r0", estimated_ms=8000)
        submission_id = service.submit(service.now, LOCAL, [spec], [8.0])
        service.run(service.now + 0.1)
        self.assertEqual(list_racks(service, submission_id), [])
        # All of the capacity elsewhere is left to others.
        other = make_spec(count=24)
        other_id = service.submit(service.now, LOCAL, [other], [2.0])
        service.run(service.now + 0.1)
        self.assertEqual(len(list_racks(service, other_id)), 24)
        service.run(service.now + 0.6)
        self.assertEqual(list_racks(service, submission_id), ["r0"])

    def test_a_rack_that_goes_away_keeps_nobody_waiting(self):
        for name, change in (
            ("drained", {"is_listed": False}),
            ("partitioned", {"unresponsive_since": 1.0}),
        ):
            with self.subTest(name):
                service = make_service()
                fill(service, "r0", make_spec(data_rack="r0"), 3.0)
                service.run(service.now + 1.5)
                spec = make_spec(data_rack="r0", estimated_ms=20000)
                submission_id = service.submit(
                    service.now, LOCAL, [spec], [20.0]
                )
                service.run(service.now + 0.2)
                self.assertEqual(list_racks(service, submission_id), [])
                for worker in service.shard.workers.values():
                    if worker.registration.rack == "r0":
                        for field, value in change.items():
                            setattr(worker, field, value)
                service.run(service.now + 0.35)
                (rack,) = list_racks(service, submission_id)
                self.assertNotEqual(rack, "r0")

    def test_a_gang_that_fits_only_across_racks_starts_at_once(self):
        service = make_service()
        spec = make_spec(count=3, cpu=16000, gang=True, same_rack=True)
        fill(service, "r0", make_spec(), 1.0)
        submission_id = service.submit(service.now, LOCAL, [spec], [9.0])
        service.run(service.now + 0.1)
        self.assertEqual(len(list_racks(service, submission_id)), 3)

    def test_a_gang_waits_a_little_for_a_rack_that_carries_it(self):
        service = make_service(racks=3)
        for rack in ("r0", "r1", "r2"):
            half = make_spec(cpu=16000, data_rack=rack)
            service.submit(service.now, LOCAL, [half], [2.0])
        service.run(service.now + 1.2)
        spec = make_spec(
            count=2, cpu=16000, gang=True, same_rack=True, estimated_ms=9000
        )
        submission_id = service.submit(service.now, LOCAL, [spec], [9.0])
        service.run(service.now + 1.5)
        racks = list_racks(service, submission_id)
        self.assertEqual(len(racks), 2)
        self.assertEqual(len(set(racks)), 1)

    def test_a_gang_doesn_t_wait_for_a_rack_that_is_busy_for_long(self):
        service = make_service(racks=3)
        for rack in ("r0", "r1", "r2"):
            half = make_spec(cpu=16000, data_rack=rack, estimated_ms=30000)
            service.submit(service.now, LOCAL, [half], [30.0])
        service.run(service.now + 1.2)
        spec = make_spec(
            count=2, cpu=16000, gang=True, same_rack=True, estimated_ms=9000
        )
        submission_id = service.submit(service.now, LOCAL, [spec], [9.0])
        service.run(service.now + 0.1)
        self.assertEqual(len(set(list_racks(service, submission_id))), 2)


class FastWorkerTest(unittest.TestCase):
    """Covers urgent tasks for which only slow workers are free."""

    def start(self, **changes):
        """Returns the ids of the workers on which an urgent task starts."""
        service = make_service(racks=1, workers=0)
        slow = service.add_worker("slow", 2.0, labels=("b",))
        service.add_worker("fast", labels=("a",))
        service.run(service.now + 0.1)
        learner = service.shard.learner
        for _ in range(20):
            learner.speeds.record(slow, 2.0, False)
            learner.speeds.record(service.shard.workers["fast"], 1.0, False)
        learner.refresh_factors()
        # Short runs that end one after the other keep the fast one busy.
        short = make_spec(count=90, cpu=4000, label="a", estimated_ms=100)
        service.submit(service.now, LOCAL, [short], [0.1])
        service.run(service.now + 2.5)
        while service.shard.workers["fast"].free_cpu:
            service.run(service.now + 0.01)
        spec = make_spec(cpu=4000, estimated_ms=1000, **changes)
        submission_id = service.submit(service.now, URGENT, [spec], [1.0])
        service.run(service.now + 0.4)
        return [
            worker.id
            for worker, run in service.starts
            if run.task.step.submission.id == submission_id
        ]

    def test_it_waits_for_a_fast_worker_that_is_about_to_be_free(self):
        self.assertEqual(self.start(), ["fast"])

    def test_a_step_that_is_bound_to_slow_workers_starts_at_once(self):
        self.assertEqual(self.start(label="b"), ["slow"])


class WaitsTest(unittest.TestCase):
    """Covers the account of who waits: a leak would stop all others."""

    def test_demand_returns_to_nothing(self):
        service = make_service()
        fill(service, "r0", make_spec(data_rack="r0"), 2.0)
        spec = make_spec(data_rack="r0", estimated_ms=20000)
        for _ in range(3):
            service.submit(service.now + 1.0, LOCAL, [spec], [20.0])
        service.run(service.now + 1.2)
        waits = service.scheduler._planner.waits
        self.assertEqual(waits.measure_demand("r0"), (3, 12000))
        self.assertEqual(len(waits.list_steps("r0", 2)), 2)
        service.run(service.now + 40)
        self.assertEqual(waits.measure_demand("r0"), (0, 0))
        self.assertEqual(waits._counts, {})
        self.assertEqual(waits._places, {})

    def test_freed_capacity_predicts_slots(self):
        freed = localitywait.FreedCapacity()
        spec = make_spec(cpu=2700)
        self.assertEqual(freed.list_slots(spec, 0, 3, 0.0), [])
        for number in range(400):
            freed.record(2700, number * 0.05)
        first, second = freed.list_slots(spec, 0, 2, 20.0)
        self.assertAlmostEqual(first.wait_s, 0.15, delta=0.05)
        self.assertGreater(second.wait_s, first.wait_s)
        (late,) = freed.list_slots(spec, 27000, 1, 20.0)
        self.assertGreater(late.wait_s, 1.0)
