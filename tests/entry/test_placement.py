"""Tests of the placement decisions."""

import unittest

from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import reservations
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from tests.entry import fakes


def make_worker(worker_id, **changes):
    return fleet.Worker(fakes.make_registration(worker_id, **changes))


def make_spec(**changes):
    fields = {"count": 1, "cpu": 1000, "memory_mb": 100}
    return submissions.StepSpec(**{**fields, **changes})


class ChooseWorkerTest(unittest.TestCase):
    def choose(self, workers, spec, counts=None, avoided=()):
        return placement.choose_worker(
            workers, spec, placement.FreeCapacity(), counts or {}, avoided
        )

    def test_no_resource_is_overcommitted(self):
        """Workers start whatever they are told, even if it overloads them."""
        cases = {
            "cpu": make_spec(cpu=17000),
            "memory": make_spec(memory_mb=33000),
            "gpu": make_spec(gpu=1),
        }
        for name, spec in cases.items():
            with self.subTest(name):
                self.assertIsNone(self.choose([make_worker("w1")], spec))

    def test_planned_tasks_reserve_capacity(self):
        """A pass places many tasks before any worker has confirmed a start."""
        worker = make_worker("w1")
        free_capacity = placement.FreeCapacity()
        spec = make_spec(cpu=9000)
        self.assertTrue(placement.fits(worker, spec, free_capacity))
        free_capacity.reserve(worker, spec)
        self.assertFalse(placement.fits(worker, spec, free_capacity))
        free_capacity.release(worker, spec)
        self.assertTrue(placement.fits(worker, spec, free_capacity))

    def test_small_tasks_are_packed(self):
        """Spread over all workers they leave no capacity for a large one."""
        empty = make_worker("empty")
        partly = make_worker("partly")
        partly.used_cpu = 8000
        self.assertIs(self.choose([empty, partly], make_spec()), partly)

    def test_data_rack_is_preferred(self):
        """On another rack than its data a task takes twice as long."""
        far = make_worker("far", rack="r1")
        far.used_cpu = 14000
        near = make_worker("near", rack="r2")
        spec = make_spec(data_rack="r2")
        self.assertIs(self.choose([far, near], spec), near)

    def test_limit_of_tasks_per_worker(self):
        """A step may ask to be spread over workers."""
        one, two = make_worker("one"), make_worker("two")
        spec = make_spec(max_per_worker=1)
        self.assertIs(self.choose([one, two], spec, {"one": 1}), two)
        counts = {"one": 1, "two": 1}
        self.assertIsNone(self.choose([one, two], spec, counts))

    def test_worker_on_which_the_task_failed_comes_last(self):
        """The worker, not the task, may be at fault."""
        one, two = make_worker("one"), make_worker("two")
        one.used_cpu = 8000
        chosen = self.choose([one, two], make_spec(), avoided={"one"})
        self.assertIs(chosen, two)
        chosen = self.choose([one], make_spec(), avoided={"one"})
        self.assertIs(chosen, one)

    def test_fillers_avoid_workers_with_latency_targets(self):
        """They would increase the tail latency of the tasks there."""
        busy, idle = make_worker("busy"), make_worker("idle")
        busy.latency_sensitive_runs = 1
        idle.used_cpu = 12000
        spec = make_spec(is_filler=True)
        self.assertIs(self.choose([busy, idle], spec), idle)

    def test_label_is_required(self):
        """A start on a worker without the label violates the queue's rules."""
        worker = make_worker("w1", labels=("a", "r1"))
        self.assertTrue(placement.can_ever_fit(worker, make_spec(label="a")))
        self.assertFalse(placement.can_ever_fit(worker, make_spec(label="b")))


class GangPlanTest(unittest.TestCase):
    def test_all_members_or_none(self):
        """Part of a gang would hold capacity without making progress."""
        workers = [make_worker("one"), make_worker("two")]
        spec = make_spec(cpu=9000, gang=True)
        free_capacity = placement.FreeCapacity()
        self.assertIsNone(placement.plan_gang(workers, spec, 3, free_capacity))
        self.assertEqual(
            len(placement.plan_gang(workers, spec, 2, free_capacity)), 2
        )

    def test_one_rack_is_tried_first(self):
        """The members take longer on several racks."""
        workers = [
            make_worker("one", rack="r1"),
            make_worker("two", rack="r2"),
            make_worker("three", rack="r2"),
        ]
        workers[0].used_cpu = 5000
        spec = make_spec(cpu=9000, gang=True, same_rack=True)
        plan = placement.plan_gang(workers, spec, 2, placement.FreeCapacity())
        self.assertEqual({w.registration.rack for w in plan}, {"r2"})


class ReservationTest(unittest.TestCase):
    def test_worker_with_the_smallest_shortfall_is_reserved(self):
        """Otherwise small tasks fill every gap and a large one never starts."""
        near = make_worker("near")
        near.used_cpu = 4000
        far = make_worker("far")
        far.used_cpu = 15000
        spec = make_spec(cpu=14000)
        free_capacity = placement.FreeCapacity()
        chosen = reservations.choose_workers_to_reserve(
            [far, near], spec, free_capacity
        )
        self.assertEqual(chosen, [near])

    def test_worker_is_reserved_for_one_task(self):
        """The second waiting task must not reserve what the first one has."""
        worker = make_worker("w1")
        worker.used_cpu = 4000
        spec = make_spec(cpu=14000)
        free_capacity = placement.FreeCapacity()
        free_capacity.reserve(worker, spec)
        self.assertEqual(
            reservations.choose_workers_to_reserve(
                [worker], spec, free_capacity
            ),
            [],
        )

    def test_capacity_is_reserved_for_all_members_of_a_gang(self):
        """Reserved one by one, they would never fit at the same time."""
        one, two = make_worker("one"), make_worker("two")
        one.used_cpu = two.used_cpu = 16000
        spec = make_spec(cpu=8000, gang=True)
        free_capacity = placement.FreeCapacity()
        chosen = reservations.choose_workers_to_reserve(
            [one, two], spec, free_capacity, 4
        )
        self.assertEqual(
            sorted(w.id for w in chosen), ["one", "one", "two", "two"]
        )

    def test_gang_that_never_fits_reserves_nothing(self):
        """It would keep its workers from all others forever.

        Found by a randomized run (odd-platform, seed 1004347461781): a task
        didn't start for 3 s although most of the capacity was free.
        """
        one, two = make_worker("one"), make_worker("two")
        spec = make_spec(cpu=8000, gang=True)
        free_capacity = placement.FreeCapacity()
        chosen = reservations.choose_workers_to_reserve(
            [one, two], spec, free_capacity, 5
        )
        self.assertEqual(chosen, [])

    def test_reservation_is_interrupted(self):
        """A task behind a straggler would keep a worker from others forever."""
        self.assertTrue(
            reservations.is_reservation_active(
                reservations.FULL_RESERVATION_S - 0.1
            )
        )
        states = [
            reservations.is_reservation_active(10 + tenth / 10)
            for tenth in range(30)
        ]
        self.assertIn(True, states)
        self.assertIn(False, states)

    def test_reserved_worker_is_avoided_if_possible(self):
        """The only worker for a long-running task was occupied for 7 s.

        The tasks there could have run on any worker (scenario quiet-1).
        """
        reserved, other = make_worker("reserved"), make_worker("other")
        other.used_cpu = 1000
        spec = make_spec(cpu=1000)
        choose = placement.choose_worker
        free_capacity = placement.FreeCapacity()
        self.assertIs(choose([reserved, other], spec, free_capacity, {}), other)
        other.used_cpu = 0
        reserved.used_cpu = 1000
        self.assertIs(
            choose([reserved, other], spec, free_capacity, {}), reserved
        )
        reserved_ids = ["reserved"]
        chosen = choose(
            [reserved, other], spec, free_capacity, {}, (), 0.0, reserved_ids
        )
        self.assertIs(chosen, other)
        self.assertIs(
            choose([reserved], spec, free_capacity, {}, (), 0.0, reserved_ids),
            reserved,
        )
