"""Choice of a worker."""

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
    made = placement.Placement()
    for worker in workers:
        made.add_worker(worker)
        made.set_open(worker.name, True)
    return made


def make_size(cpu=1, memory=1, accelerators=0):
    return resources.Resources(cpu * 1000, memory * 1024, accelerators)


class PlacementTest(unittest.TestCase):
    def test_work_without_accelerators_leaves_accelerated_workers_free(self):
        made = make_placement(
            make_worker("gpu", 32, 128, 8), make_worker("plain")
        )
        self.assertEqual(made.choose(make_size()), "plain")
        made.reserve("plain", "a#1", make_size(16, 1))
        self.assertEqual(made.choose(make_size()), "gpu")

    def test_fullest_fitting_worker_is_taken_so_that_large_work_still_fits(
        self,
    ):
        made = make_placement(make_worker("a"), make_worker("b"))
        made.reserve("b", "x#1", make_size(8, 16))
        self.assertEqual(made.choose(make_size(2, 4)), "b")
        self.assertEqual(made.choose(make_size(16, 32)), "a")

    def test_service_is_not_put_twice_into_one_rack_while_another_has_room(
        self,
    ):
        made = make_placement(
            make_worker("a", rack="r1"), make_worker("b", rack="r2")
        )
        made.reserve("a", "s/0#1", make_size())
        constraints = placement.Constraints(rack_counts=(("r1", 1),))
        self.assertEqual(made.choose(make_size(), constraints), "b")

    def test_rule_keeps_a_kind_out_of_other_racks(self):
        made = make_placement(
            make_worker("a", rack="r1"), make_worker("b", rack="r2")
        )
        made.apply_rules((rules.PlacementRule(kind="k", racks=("r2",)),))
        kind = placement.Constraints(kind="k")
        self.assertEqual(made.choose(make_size(), kind), "b")
        self.assertIsNone(made.choose(make_size(16, 33), kind))
        made.reserve("b", "x#1", make_size(16, 1))
        self.assertIsNone(made.choose(make_size(), kind))
        self.assertEqual(made.choose(make_size()), "a")

    def test_refusal_is_forgotten_when_capacity_comes_free(self):
        made = make_placement(make_worker("a", slots=1))
        made.reserve("a", "x#1", make_size())
        self.assertIsNone(made.choose(make_size()))
        made.release("a", "x#1")
        self.assertEqual(made.choose(make_size()), "a")

    def test_kept_slots_stay_free_for_short_work(self):
        made = make_placement(make_worker("a", slots=4))
        constraints = placement.Constraints(spare_slots_share=0.25)
        for number in range(3):
            name = made.choose(make_size(), constraints)
            made.reserve(name, f"x#{number}", make_size())
        self.assertIsNone(made.choose(make_size(), constraints))
        self.assertEqual(made.choose(make_size()), "a")

    def test_reservation_beyond_capacity_violates_an_invariant(self):
        made = make_placement(make_worker("a"))
        made.reserve("a", "x#1", make_size(17))
        with self.assertRaises(errors.InvariantError):
            made.ensure_capacity("a")

    def test_index_refuses_only_what_fits_nowhere(self):
        """A bucket that is skipped wrongly would waste capacity."""
        generator = random.Random(7)
        workers = [make_worker(f"w{n}") for n in range(30)]
        workers += [make_worker(f"g{n}", 32, 128, 8) for n in range(10)]
        made = make_placement(*workers)
        held = []
        for number in range(3000):
            size = resources.Resources(
                generator.choice([100, 900, 3000, 7000]),
                generator.choice([64, 1000, 9000, 20000]),
                generator.choice([0, 0, 0, 1, 4]),
            )
            name = made.choose(size)
            fitting = [
                w.name
                for w in workers
                if size.fits_in(made.get_free(w.name)[0])
                and made.get_free(w.name)[1] > 0
            ]
            if name is None:
                self.assertEqual(fitting, [])
                if held:
                    index = generator.randrange(len(held))
                    made.release(*held.pop(index))
                continue
            self.assertIn(name, fitting)
            made.reserve(name, f"x#{number}", size)
            made.ensure_capacity(name)
            held.append((name, f"x#{number}"))
