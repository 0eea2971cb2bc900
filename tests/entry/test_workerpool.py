"""Tests of the search for workers and of the order of waiting steps."""

import random
import unittest

from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import passpacing
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import readysteps
from persimmonpath_entry.decisions import workerpool
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from tests.entry import fakes

WORKERS = 200


def make_pool(count=WORKERS, seed=1, **changes):
    """Returns a pool of workers that are used to different degrees."""
    generator = random.Random(seed)
    workers = []
    for number in range(count):
        worker = fleet.Worker(
            fakes.make_registration(
                f"w{number}",
                rack=f"r{number % 20}",
                labels=("a", f"r{number % 20}"),
                **changes,
            )
        )
        worker.used_cpu = generator.randrange(0, 16001, 50)
        worker.used_memory_mb = generator.randrange(0, 32001, 16)
        workers.append(worker)
    pool = workerpool.WorkerPool()
    pool.replace(workers)
    return pool, workers


def make_steps(count, **changes):
    """Returns steps of one submission each."""
    steps = []
    for number in range(count):
        spec = submissions.StepSpec(
            **{"count": 1, "cpu": 1000, "estimated_ms": 500, **changes}
        )
        submission = execution.Submission(
            f"{number:016x}", fakes.make_record(spec), None, False, 0.0
        )
        steps += submission.add_occurrence(0, 0.0)
    return steps


class WorkerPoolTest(unittest.TestCase):
    def choose(self, pool, spec, **options):
        return pool.choose_worker(spec, {}, **options)

    def test_it_finds_a_worker_whenever_a_scan_does(self):
        pool, workers = make_pool()
        generator = random.Random(2)
        for _ in range(300):
            spec = submissions.StepSpec(
                count=1,
                cpu=generator.randrange(50, 16001, 50),
                memory_mb=generator.randrange(16, 32001, 16),
                label=generator.choice(["", "", "r3"]),
            )
            fitting = [
                w
                for w in workers
                if placement.can_ever_fit(w, spec)
                and placement.fits(w, spec, pool.free_capacity)
            ]
            chosen = self.choose(pool, spec)
            with self.subTest(cpu=spec.cpu, memory_mb=spec.memory_mb):
                self.assertEqual(chosen is None, not fitting)
                if chosen is not None:
                    self.assertIn(chosen, fitting)

    def test_a_chosen_worker_is_nearly_the_best_fit(self):
        pool, workers = make_pool()
        spec = submissions.StepSpec(count=1, cpu=4000, memory_mb=1000)
        costs = {
            w.id: placement.compute_cost(w, spec, pool.free_capacity)
            for w in workers
            if placement.fits(w, spec, pool.free_capacity)
        }
        chosen = self.choose(pool, spec)
        self.assertLess(costs[chosen.id], min(costs.values()) + 0.25)

    def test_reserved_capacity_isn_t_found_until_the_next_plan(self):
        pool, workers = make_pool(count=1)
        workers[0].used_cpu = workers[0].used_memory_mb = 0
        pool.update(workers[0])
        spec = submissions.StepSpec(count=1, cpu=9000, memory_mb=100)
        pool.free_capacity.reserve(workers[0], spec)
        self.assertIsNone(self.choose(pool, spec))
        pool.begin_plan()
        self.assertIs(self.choose(pool, spec), workers[0])

    def test_a_worker_that_left_is_never_chosen(self):
        """The index would go on naming a worker that drains or is silent."""
        pool, workers = make_pool(count=2)
        for worker in workers:
            worker.used_cpu = worker.used_memory_mb = 0
            pool.update(worker)
        spec = submissions.StepSpec(count=1, cpu=100, memory_mb=100)
        pool.replace(workers[1:])
        self.assertIs(self.choose(pool, spec), workers[1])
        pool.replace([])
        self.assertIsNone(self.choose(pool, spec))

    def test_the_rack_of_the_data_goes_first(self):
        pool, _ = make_pool()
        spec = submissions.StepSpec(
            count=1, cpu=100, memory_mb=16, data_rack="r7"
        )
        self.assertEqual(self.choose(pool, spec).registration.rack, "r7")


class GangTest(unittest.TestCase):
    """Gangs of a nearly full pool, most of which find no room."""

    def plan(self, pool, spec):
        def choose(_, counts):
            return pool.choose_worker(spec, counts)

        return placement.plan_gang(
            [], spec, spec.count, pool.free_capacity, choose_member=choose
        )

    def test_a_gang_that_fits_is_never_ruled_out_beforehand(self):
        pool, workers = make_pool(count=40, seed=4)
        generator = random.Random(5)
        planned = 0
        for _ in range(300):
            spec = submissions.StepSpec(
                count=generator.randrange(1, 60),
                cpu=generator.randrange(50, 8001, 50),
                memory_mb=generator.randrange(16, 16001, 16),
                gang=True,
            )
            plan = self.plan(pool, spec)
            if plan is None:
                continue
            planned += 1
            with self.subTest(spec=spec):
                self.assertTrue(pool.may_fit(spec, spec.count))
                for worker in set(plan):
                    members = plan.count(worker)
                    self.assertLessEqual(members * spec.cpu, worker.free_cpu)
                    self.assertLessEqual(
                        members * spec.memory_mb, worker.free_memory_mb
                    )
        self.assertGreater(planned, 30)

    def test_a_gang_larger_than_all_free_capacity_is_ruled_out(self):
        pool, workers = make_pool(count=40, seed=4)
        free_cpu = sum(worker.free_cpu for worker in workers)
        spec = submissions.StepSpec(cpu=100, memory_mb=1, gang=True)
        # Free capacity is rounded up to eighths of a worker.
        too_many = (free_cpu + len(workers) * 2000) // spec.cpu + 1
        self.assertFalse(pool.may_fit(spec, too_many))

    def test_a_limit_for_each_worker_holds_for_members(self):
        pool, workers = make_pool(count=3)
        for worker in workers:
            worker.used_cpu = worker.used_memory_mb = 0
            pool.update(worker)
        spec = submissions.StepSpec(
            count=6, cpu=100, memory_mb=100, gang=True, max_per_worker=2
        )
        plan = self.plan(pool, spec)
        self.assertEqual({plan.count(w) for w in workers}, {2})


class PassPacerTest(unittest.TestCase):
    def test_passes_leave_most_of_the_time_to_other_work(self):
        """Passes in a row left the answers of workers unread."""
        pacer = passpacing.PassPacer()
        now = 0.0
        busy = 0.0
        while now < 10:
            now += pacer.choose_wait(True, now)
            self.assertTrue(pacer.is_due(True, now))
            pacer.record_pass(now, now + 0.1)
            now += 0.1
            busy += 0.1
        share = busy / now
        self.assertLessEqual(share, passpacing.MAX_TIME_SHARE + 0.02)

    def test_without_a_request_a_pass_follows_in_time(self):
        pacer = passpacing.PassPacer()
        pacer.record_pass(5.0, 5.01)
        self.assertFalse(pacer.is_due(False, 5.1))
        self.assertTrue(pacer.is_due(False, 5.0 + passpacing.MAX_INTERVAL_S))


class UnplaceableSizesTest(unittest.TestCase):
    def test_what_is_as_large_as_a_size_that_failed_is_covered(self):
        sizes = workerpool.UnplaceableSizes()
        sizes.add(submissions.StepSpec(cpu=2000, memory_mb=500))
        cases = [
            (submissions.StepSpec(cpu=2000, memory_mb=500), 1, True),
            (submissions.StepSpec(cpu=3000, memory_mb=500), 4, True),
            (submissions.StepSpec(cpu=2000, memory_mb=500, gpu=1), 1, True),
            (submissions.StepSpec(cpu=2000, memory_mb=500, label="a"), 1, True),
            (submissions.StepSpec(cpu=1999, memory_mb=9000), 1, False),
            (submissions.StepSpec(cpu=9000, memory_mb=499), 1, False),
            (
                submissions.StepSpec(cpu=2000, memory_mb=500, is_filler=True),
                1,
                False,
            ),
        ]
        for spec, count, is_covered in cases:
            with self.subTest(spec=spec):
                self.assertIs(sizes.covers(spec, count), is_covered)

    def test_a_failed_gang_says_nothing_about_smaller_ones(self):
        sizes = workerpool.UnplaceableSizes()
        spec = submissions.StepSpec(cpu=2000, memory_mb=500)
        sizes.add(spec, 5)
        self.assertFalse(sizes.covers(spec, 4))
        self.assertTrue(sizes.covers(spec, 5))

    def test_a_failure_for_a_label_covers_only_that_label(self):
        sizes = workerpool.UnplaceableSizes()
        sizes.add(submissions.StepSpec(cpu=100, label="a"))
        self.assertFalse(sizes.covers(submissions.StepSpec(cpu=100)))
        self.assertTrue(sizes.covers(submissions.StepSpec(cpu=100, label="a")))

    def test_a_limit_for_each_worker_is_no_evidence(self):
        sizes = workerpool.UnplaceableSizes()
        sizes.add(submissions.StepSpec(cpu=100, max_per_worker=1))
        self.assertFalse(sizes.covers(submissions.StepSpec(cpu=100)))


class ReadyStepsTest(unittest.TestCase):
    """The order equals that of ranking all steps anew at each moment."""

    def rank(self, now):
        queue = fakes.make_queue()

        def rank_step(step):
            arguments = (step, queue, now - step.counted_since, 500.0)
            return (
                ordering.rank_step(*arguments, now),
                ordering.find_rank_change(*arguments, now),
            )

        return rank_step

    def test_the_order_follows_time_without_ranking_all_anew(self):
        steps = make_steps(200)
        generator = random.Random(3)
        ready = readysteps.ReadySteps()
        for step in steps:
            step.counted_since = generator.uniform(-6.0, 0.0)
            ready.add(step)
        for moment in range(0, 60, 2):
            now = moment / 10
            rank_step = self.rank(now)
            expected = sorted(rank_step(step)[0] for step in steps)
            listed = ready.list_ranked(now, rank_step)
            with self.subTest(now=now):
                # Due times are computed from differences of floats.
                for got, want in zip(
                    (rank_step(step)[0] for step in listed),
                    expected,
                    strict=True,
                ):
                    self.assertEqual(got[:3], want[:3])
                    self.assertAlmostEqual(got.due_s, want.due_s)

    def test_a_removed_step_is_gone_and_may_come_back(self):
        first, second = make_steps(2)
        ready = readysteps.ReadySteps()
        ready.add(first)
        ready.add(second)
        self.assertEqual(len(ready.list_ranked(0.0, self.rank(0.0))), 2)
        ready.discard(first)
        self.assertNotIn(first, ready)
        self.assertEqual(ready.list_ranked(9.0, self.rank(9.0)), [second])
        ready.add(first)
        self.assertEqual(len(ready.list_ranked(9.0, self.rank(9.0))), 2)

    def test_a_step_is_ranked_again_only_when_its_rank_changes(self):
        """Ranking thousands of steps in each pass took longer than the pass."""
        steps = make_steps(50)
        ready = readysteps.ReadySteps()
        for step in steps:
            ready.add(step)
        ranked = []

        def count(step):
            ranked.append(step)
            return self.rank(0.0)(step)

        for _ in range(10):
            ready.list_ranked(0.0, count)
        self.assertEqual(len(ranked), len(steps))
        ready.rerank()
        ready.list_ranked(0.0, count)
        self.assertEqual(len(ranked), 2 * len(steps))
