"""Tests of the choice of a worker for a task."""

import random
import unittest

from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath import placement
from persimmonpath import resources
from persimmonpath import rules


def make_worker(name, cpu=16, memory=32, accelerators=0, rack="r1", slots=8):
    return inventory.Worker(
        name=name,
        zone="z1",
        rack=rack,
        host="127.0.0.1",
        port=1,
        cpu_millis=cpu * 1000,
        memory_mib=memory * 1024,
        accelerators=accelerators,
        slots=slots,
    )


def make_placement(*workers):
    shard_placement = placement.Placement()
    for worker in workers:
        shard_placement.add_worker(worker)
        shard_placement.set_open(worker.name, True)
    return shard_placement


def make_size(cpu=1, memory=1, accelerators=0):
    return resources.Resources(cpu * 1000, memory * 1024, accelerators)


class PlacementTest(unittest.TestCase):
    def test_work_without_accelerators_leaves_accelerated_workers_free(self):
        shard_placement = make_placement(
            make_worker("gpu", 32, 128, 8), make_worker("plain")
        )
        self.assertEqual(shard_placement.choose(make_size()), "plain")
        shard_placement.reserve("plain", "a#1", make_size(16, 1))
        self.assertEqual(shard_placement.choose(make_size()), "gpu")

    def test_best_fit_keeps_capacity_for_large_work(
        self,
    ):
        shard_placement = make_placement(make_worker("a"), make_worker("b"))
        shard_placement.reserve("b", "x#1", make_size(8, 16))
        self.assertEqual(shard_placement.choose(make_size(2, 4)), "b")
        self.assertEqual(shard_placement.choose(make_size(16, 32)), "a")

    def test_service_tasks_are_spread_over_racks(
        self,
    ):
        shard_placement = make_placement(
            make_worker("a", rack="r1"), make_worker("b", rack="r2")
        )
        shard_placement.reserve("a", "s/0#1", make_size())
        constraints = placement.Constraints(rack_counts=(("r1", 1),))
        self.assertEqual(shard_placement.choose(make_size(), constraints), "b")

    def test_rule_keeps_a_kind_out_of_other_racks(self):
        shard_placement = make_placement(
            make_worker("a", rack="r1"), make_worker("b", rack="r2")
        )
        shard_placement.apply_rules(
            (rules.PlacementRule(kind="k", racks=("r2",)),)
        )
        kind = placement.Constraints(kind="k")
        self.assertEqual(shard_placement.choose(make_size(), kind), "b")
        self.assertIsNone(shard_placement.choose(make_size(16, 33), kind))
        shard_placement.reserve("b", "x#1", make_size(16, 1))
        self.assertIsNone(shard_placement.choose(make_size(), kind))
        self.assertEqual(shard_placement.choose(make_size()), "a")

    def test_cached_refusal_is_dropped_when_capacity_is_released(self):
        shard_placement = make_placement(make_worker("a", slots=1))
        shard_placement.reserve("a", "x#1", make_size())
        self.assertIsNone(shard_placement.choose(make_size()))
        shard_placement.release("a", "x#1")
        self.assertEqual(shard_placement.choose(make_size()), "a")

    def test_kept_slots_stay_free_for_short_work(self):
        shard_placement = make_placement(make_worker("a", slots=4))
        constraints = placement.Constraints(spare_slots_share=0.25)
        for number in range(3):
            name = shard_placement.choose(make_size(), constraints)
            shard_placement.reserve(name, f"x#{number}", make_size())
        self.assertIsNone(shard_placement.choose(make_size(), constraints))
        self.assertEqual(shard_placement.choose(make_size()), "a")

    def test_reservation_beyond_capacity_violates_an_invariant(self):
        shard_placement = make_placement(make_worker("a"))
        shard_placement.reserve("a", "x#1", make_size(17))
        with self.assertRaises(errors.InvariantError):
            shard_placement.ensure_capacity("a")

    def test_index_finds_a_worker_whenever_one_fits(self):
        """Guards against the index skipping a bucket in which a task fits.

        Compares each choice with a scan of all workers.
        """
        generator = random.Random(7)
        workers = [make_worker(f"w{n}") for n in range(30)]
        workers += [make_worker(f"g{n}", 32, 128, 8) for n in range(10)]
        shard_placement = make_placement(*workers)
        held = []
        for number in range(3000):
            size = resources.Resources(
                generator.choice([100, 900, 3000, 7000]),
                generator.choice([64, 1000, 9000, 20000]),
                generator.choice([0, 0, 0, 1, 4]),
            )
            name = shard_placement.choose(size)
            fitting = [
                w.name
                for w in workers
                if size.fits_in(shard_placement.get_free(w.name)[0])
                and shard_placement.get_free(w.name)[1] > 0
            ]
            if name is None:
                self.assertEqual(fitting, [])
                if held:
                    index = generator.randrange(len(held))
                    shard_placement.release(*held.pop(index))
                continue
            self.assertIn(name, fitting)
            shard_placement.reserve(name, f"x#{number}", size)
            shard_placement.ensure_capacity(name)
            held.append((name, f"x#{number}"))
