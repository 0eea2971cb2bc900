"""Tests of what waiting steps may reserve, vacate and ask about."""

import unittest

from persimmonpath_entry.decisions import advisorcalls
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import reservations
from persimmonpath_entry.decisions import stepplanner
from persimmonpath_entry.decisions import workerpool
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from tests.entry import fakes

NOW = 1000.0
# A member of a gang needs most of a worker's memory, but half of its CPU.
MEMBER = submissions.StepSpec(count=3, cpu=8000, memory_mb=20000, gang=True)


def make_workers(count):
    return [
        fleet.Worker(fakes.make_registration(f"w{n}")) for n in range(count)
    ]


def make_gang(number, spec=MEMBER):
    submission = execution.Submission(
        f"{number:016x}", fakes.make_record(spec), None, False, NOW
    )
    step = submission.add_occurrence(0, NOW)[0]
    step.ready_since = NOW
    return step


class ReservationLimitTest(unittest.TestCase):
    """Covers dozens of gangs that each wait for whole workers.

    Each kept two free workers and waited for a third, while most of the
    capacity was free (LOST in trouble-1 of large).
    """

    def setUp(self):
        self.workers = make_workers(40)
        self.pool = workerpool.WorkerPool()
        self.pool.replace(self.workers)
        self.planner = stepplanner.StepPlanner(
            self.pool, lambda worker, now: True
        )
        self.planner.begin_plan(NOW)

    def reserve(self, count, **options):
        return [
            self.planner.reserve(make_gang(number), 3, NOW, None, **options)
            for number in range(count)
        ]

    def test_reservations_end_at_a_share_of_the_scarcest_resource(self):
        reserved = sum(len(workers) for workers in self.reserve(12))
        share = reservations.compute_dominant_share(self.workers[0], MEMBER)
        limit = stepplanner.MAX_RESERVED_SHARE * len(self.workers)
        self.assertGreater(reserved, 0)
        self.assertLess((reserved - MEMBER.count) * share, limit)

    def test_an_expired_gang_reserves_only_if_no_other_step_does(self):
        """Its result is of no use, but it must start one day."""
        first, second = self.reserve(2, yields=True)
        self.assertEqual(len(first), 3)
        self.assertEqual(second, [])

    def test_a_released_reservation_makes_room_for_another(self):
        steps = [make_gang(number) for number in range(12)]
        for step in steps:
            self.planner.reserve(step, 3, NOW, None)
        self.assertEqual(self.planner.reserve(steps[-1], 3, NOW, None), [])
        for step in steps:
            self.planner.release(step)
        self.assertEqual(len(self.planner.reserve(steps[-1], 3, NOW, None)), 3)


class KeepPlanTest(unittest.TestCase):
    """Covers gangs whose tickets take a second to arrive.

    Each pass planned them on other workers, so that the tickets came for
    workers out of the plan (LOST in slow-workers of the grown tender).
    """

    def setUp(self):
        self.workers = make_workers(12)
        self.pool = workerpool.WorkerPool()
        self.pool.replace(self.workers)
        self.planner = stepplanner.StepPlanner(
            self.pool, lambda worker, now: True
        )
        self.step = make_gang(1)
        self.now = NOW

    def plan(self):
        self.now += 2 * stepplanner.PLAN_TTL_S
        self.planner.begin_plan(self.now)
        pairs = self.planner.plan_again(
            self.step, self.step.tasks, self.now, None
        )
        return [worker for _, worker in pairs]

    def use(self, worker, cpu):
        """Changes what other tasks use of a worker."""
        worker.used_cpu = cpu
        self.pool.update(worker)

    def use_partly(self, planned):
        """Makes all other workers the better choice for a member."""
        for worker in self.workers:
            if worker not in planned:
                self.use(worker, 8000)

    def test_a_gang_that_waits_for_tickets_keeps_its_workers(self):
        planned = self.plan()
        self.planner.keep_plan(self.step, self.now + 10)
        self.use_partly(planned)
        self.assertEqual(self.plan(), planned)

    def test_an_old_plan_is_replaced_by_a_better_one(self):
        planned = self.plan()
        self.use_partly(planned)
        self.assertTrue(set(planned).isdisjoint(self.plan()))

    def test_only_members_whose_worker_is_full_move(self):
        """The tickets of the others remain of use."""
        planned = self.plan()
        self.planner.keep_plan(self.step, self.now + 10)
        self.use(planned[0], 16000)
        found = self.plan()
        self.assertEqual(found[:2], planned[1:])
        self.assertNotIn(planned[0], found)
        self.assertEqual(self.plan(), found)

    def test_a_gang_that_doesn_t_fit_any_more_holds_nothing(self):
        planned = self.plan()
        self.planner.keep_plan(self.step, self.now + 10)
        for worker in self.workers[2:]:
            self.use(worker, 16000)
        self.use(planned[0], 16000)
        self.assertEqual(self.plan(), [])
        self.assertFalse(self.planner.holds_capacity)


class LongRunningTest(unittest.TestCase):
    """Covers workers that long-running tasks occupy for good.

    Gangs waited for them though others were free (LOST in trouble-2 of large).
    """

    def setUp(self):
        self.workers = make_workers(4)
        spec = submissions.StepSpec(
            count=1, cpu=100, memory_mb=30000, long_running=True
        )
        for worker in self.workers[:2]:
            worker._adjust_usage(spec, 1)

    def test_no_such_worker_is_reserved_or_vacated(self):
        chosen = reservations.choose_workers_to_reserve(
            self.workers, MEMBER, placement.FreeCapacity(), 2
        )
        self.assertEqual(set(chosen), set(self.workers[2:]))
        self.assertEqual(
            reservations.choose_workers_to_reserve(
                self.workers[:2], MEMBER, placement.FreeCapacity()
            ),
            [],
        )

    def test_such_approved_workers_don_t_count_as_explored(self):
        advice = execution.StepAdvice()
        advice.good = {worker.id for worker in self.workers[:2]}
        advice.asked = set(advice.good)
        (batch,) = advisorcalls.choose_batches_to_explore(
            advice,
            MEMBER,
            1,
            {worker.id: worker for worker in self.workers},
            1.0,
            placement.FreeCapacity(),
        )
        self.assertEqual(set(batch), {w.id for w in self.workers[2:]})


class AmpleCapacityTest(unittest.TestCase):
    def test_capacity_is_scarce_unless_half_of_it_is_free(self):
        workers = make_workers(4)
        pool = workerpool.WorkerPool()
        pool.replace(workers)
        planner = stepplanner.StepPlanner(pool, lambda worker, now: True)
        for used, is_scarce in ((0, False), (7900, False), (8100, True)):
            with self.subTest(used=used):
                for worker in workers:
                    worker.used_cpu = used
                planner.begin_plan(NOW)
                self.assertEqual(planner.is_capacity_scarce, is_scarce)


class VacateTest(unittest.TestCase):
    def choose(self, workers, count, reclaimable):
        return reservations.choose_workers_to_vacate(
            workers,
            MEMBER,
            placement.FreeCapacity(),
            count,
            lambda worker: reclaimable,
        )

    def test_all_members_or_none(self):
        """Runs would be preempted for members that can't start."""
        workers = make_workers(3)
        for worker in workers:
            worker.used_memory_mb = 32000
        room = (8000, 20000, 0)
        self.assertEqual(len(self.choose(workers, 3, room)), 3)
        self.assertEqual(self.choose(workers, 4, room), [])
        self.assertEqual(self.choose(workers, 3, (8000, 19999, 0)), [])

    def test_free_workers_come_first(self):
        """Each preempted run has to be restarted."""
        free, busy = make_workers(2)
        busy.used_memory_mb = 32000
        self.assertEqual(self.choose([busy, free], 1, (0, 20000, 0)), [free])

    def test_a_worker_without_memory_breaks_nothing(self):
        """A registration may leave out a capacity of 0."""
        worker = fleet.Worker(fakes.make_registration("w0", memory_mb=0))
        self.assertEqual(self.choose([worker], 1, (0, 0, 0)), [])


class ExploreTest(unittest.TestCase):
    """Covers a gang of twenty of which three in ten workers are allowed."""

    GOOD_SHARE = 0.3

    def setUp(self):
        self.workers = make_workers(200)
        self.advice = execution.StepAdvice()

    def choose(self, count=20, waited_s=0.0):
        return advisorcalls.choose_batches_to_explore(
            self.advice,
            MEMBER,
            count,
            {worker.id: worker for worker in self.workers},
            self.GOOD_SHARE,
            placement.FreeCapacity(),
            advisorcalls.choose_explored_multiple(waited_s),
        )

    def test_a_gang_that_has_waited_for_long_explores_further(self):
        """Its approved workers were never free at the same time.

        A gang of 17 waited for 48 s (LOST in slow-workers of the grown tender).
        """
        self.advice.good = {worker.id for worker in self.workers[:40]}
        self.advice.asked = set(self.advice.good)
        wait_s = advisorcalls.EXPLORE_FURTHER_AFTER_S
        self.assertEqual(self.choose(waited_s=wait_s - 0.1), [])
        named = [i for batch in self.choose(waited_s=wait_s) for i in batch]
        self.assertGreaterEqual(len(named) * self.GOOD_SHARE, 20)

    def test_a_bounded_number_of_workers_is_examined(self):
        """Examining 840 workers for each of 60 gangs took the owner's time.

        Each gang begins at another worker, so that not all ask about the same.
        """
        workers = {worker.id: worker for worker in make_workers(900)}
        found = []
        for start in (0, 450):
            batches = advisorcalls.choose_batches_to_explore(
                self.advice,
                MEMBER,
                20,
                workers,
                self.GOOD_SHARE,
                placement.FreeCapacity(),
                advisorcalls.EXPLORED_MULTIPLE,
                start,
            )
            found.append({i for batch in batches for i in batch})
        self.assertTrue(found[0].isdisjoint(found[1]))
        names = list(workers)
        limit = advisorcalls.MAX_EXAMINED_WORKERS
        self.assertLessEqual(found[0], set(names[:limit]))
        self.assertLessEqual(found[1], set(names[450 : 450 + limit]))

    def test_calls_for_all_members_are_made_at_once(self):
        batches = self.choose()
        named = [worker_id for batch in batches for worker_id in batch]
        self.assertEqual(len(named), len(set(named)))
        self.assertGreaterEqual(len(named) * self.GOOD_SHARE, 20)
        self.assertLessEqual(len(batches), advisorcalls.MAX_PARALLEL_CALLS)
        for batch in batches:
            self.assertLessEqual(len(batch), advisorcalls.WORKERS_PER_CALL)

    def test_workers_in_calls_under_way_are_counted(self):
        """Each pass would start the same calls again."""
        for batch in self.choose():
            self.advice.asking.update(batch)
        self.assertEqual(self.choose(), [])

    def test_no_more_are_asked_about_than_the_members_need(self):
        self.advice.good = {worker.id for worker in self.workers[:40]}
        self.advice.asked = set(self.advice.good)
        self.assertEqual(self.choose(), [])

    def test_the_last_few_are_not_asked_about_one_by_one(self):
        """Each call takes a second, whatever it names."""
        self.advice.good = {worker.id for worker in self.workers[:39]}
        self.advice.asked = set(self.advice.good)
        (batch,) = self.choose()
        self.assertEqual(len(batch), advisorcalls.MIN_EXPLORED_WORKERS)
