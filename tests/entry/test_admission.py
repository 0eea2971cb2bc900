"""Tests of what is refused under overload, and when refused callers return."""

import collections
import unittest

import msgspec

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import stepplanner
from persimmonpath_entry.engine import backlog
from persimmonpath_entry.engine import clientapi
from persimmonpath_entry.engine import ownerdirectory
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import stepranking
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

ID = "00000000000000aa"
SPEC = submissions.StepSpec(count=1, cpu=4000, memory_mb=100, estimated_ms=1000)


def make_workers(count=10, **changes):
    return [
        fleet.Worker(fakes.make_registration(f"w{n}", **changes))
        for n in range(count)
    ]


def make_work(count, priority=0, spec=SPEC):
    return admission.WaitingWork(spec, count, 1.0, priority)


class WaitTest(unittest.TestCase):
    def test_a_priority_waits_for_the_more_urgent_ones_too(self):
        """Ten workers of 16 cores run 40 such tasks a second."""
        waits = admission.estimate_waits(
            make_workers(), [make_work(200, 1), make_work(80, 0)]
        )
        self.assertAlmostEqual(waits[0], 2.0)
        self.assertAlmostEqual(waits[1], 7.0)
        self.assertAlmostEqual(admission.find_wait(waits, 2), 7.0)

    def test_the_scarcest_resource_counts(self):
        spec = msgspec.structs.replace(SPEC, gpu=8)
        waits = admission.estimate_waits(
            make_workers(gpu=8), [make_work(50, spec=spec)]
        )
        self.assertAlmostEqual(waits[0], 5.0)

    def test_short_waits_are_left_out(self):
        self.assertEqual(
            admission.estimate_waits(make_workers(), [make_work(30)]), {}
        )

    def test_work_that_can_never_run_delays_nothing(self):
        """It waits for good, and everything behind it would be refused."""
        for spec in (
            msgspec.structs.replace(SPEC, cpu=64000),
            msgspec.structs.replace(SPEC, gpu=1),
            msgspec.structs.replace(SPEC, label="none"),
        ):
            waits = admission.estimate_waits(
                make_workers(), [make_work(500, spec=spec)]
            )
            self.assertEqual(waits, {})

    def test_without_workers_nothing_is_known(self):
        self.assertEqual(admission.estimate_waits([], [make_work(30)]), {})


class DecisionTest(unittest.TestCase):
    def test_only_what_would_be_of_no_use_is_refused(self):
        limit_s = ordering.EXPIRY_FACTOR * 2.0
        cases = {0.0: True, limit_s - 1.0: True, limit_s - 0.9: False}
        for wait_s, is_accepted in cases.items():
            with self.subTest(wait_s=wait_s):
                decision = admission.decide(wait_s, 1.0, 2.0, 0.0)
                self.assertEqual(decision.is_accepted, is_accepted)

    def test_a_refused_caller_returns_when_it_would_be_served_in_time(self):
        decision = admission.decide(12.0, 1.0, 2.0, 0.0)
        self.assertEqual(decision.retry_after_s, 11)

    def test_callers_that_are_refused_together_return_apart(self):
        found = {
            admission.decide(12.0, 1.0, 2.0, n / 10).retry_after_s
            for n in range(11)
        }
        self.assertGreaterEqual(len(found), 5)
        self.assertLessEqual(max(found), 17)

    def test_the_time_is_limited(self):
        """The estimate may be wrong by far."""
        decision = admission.decide(1e6, 1.0, 2.0, 1.0)
        self.assertEqual(decision.retry_after_s, admission.MAX_RETRY_AFTER_S)


class BurstTest(unittest.TestCase):
    """Five times the mean load for ten seconds, first come first served."""

    MEAN = 20  # Submissions a second.
    CAPACITY = 40
    BURST = (5, 15)
    OBJECTIVE_S = 3.0
    # Age of what the VMs know of the backlog, in seconds.
    LAG_S = 1
    END = 80

    def play(self, is_limited):
        """Plays the load in steps of one second.

        Returns:
          How long each accepted submission waited, and the last second in which
          one was refused.
        """
        returning = collections.defaultdict(int)
        queue = collections.deque()
        known_waits = [0.0] * self.LAG_S
        waited = []
        last_refusal = 0
        for now in range(self.END):
            in_burst = self.BURST[0] <= now < self.BURST[1]
            arrivals = self.MEAN * (5 if in_burst else 1) + returning.pop(
                now, 0
            )
            for number in range(arrivals):
                decision = admission.decide(
                    known_waits[now], 0.0, self.OBJECTIVE_S, number / arrivals
                )
                if decision.is_accepted or not is_limited:
                    queue.append(now)
                else:
                    last_refusal = now
                    returning[now + decision.retry_after_s] += 1
            for _ in range(min(self.CAPACITY, len(queue))):
                waited.append(now - queue.popleft())
            known_waits.append(len(queue) / self.CAPACITY)
        return waited, last_refusal

    def test_nothing_is_accepted_that_can_t_be_served(self):
        """Without a limit all work waited for a quarter of a minute.

        So did what came long after the burst.
        """
        limit_s = ordering.EXPIRY_FACTOR * self.OBJECTIVE_S
        # What is accepted before the wait is known may exceed the limit.
        slack_s = self.LAG_S * 5 * self.MEAN / self.CAPACITY
        waited, _ = self.play(is_limited=True)
        self.assertLessEqual(max(waited), limit_s + slack_s)
        waited, _ = self.play(is_limited=False)
        self.assertGreater(max(waited), limit_s + slack_s)

    def test_it_recovers_by_itself_after_the_burst(self):
        """Callers return while there is capacity for them.

        The burst exceeds the capacity by what is spare in half a minute.
        """
        excess = (5 * self.MEAN - self.CAPACITY) * 10
        recovery_s = excess / (self.CAPACITY - self.MEAN)
        waited, last_refusal = self.play(is_limited=True)
        self.assertLess(last_refusal, self.BURST[1] + recovery_s)
        total = self.MEAN * self.END + 4 * self.MEAN * 10
        self.assertEqual(len(waited), total)


class FakeOwnership:
    def __init__(self, wait_s):
        self.wait_s = wait_s

    def find_wait(self, service, priority):
        return self.wait_s


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = fakes.FakeStore()
        self.node = fakes.make_context(self.store)
        self.queue = fakes.make_queue()

    async def refuse(self, wait_s, spec=SPEC):
        api = clientapi.ClientApi(
            self.node, None, FakeOwnership(wait_s), None, None, None
        )
        record = fakes.make_record(spec)
        return await api.checks.check_overload(self.queue, ID, record)

    async def test_an_overloaded_service_says_when_to_return(self):
        response = await self.refuse(20.0)
        self.assertEqual(response.status, 503)
        self.assertGreater(response.retry_after_s, 15)
        self.assertIsNone(await self.refuse(0.0))
        self.assertIsNone(await self.refuse(3.0))

    async def test_a_repeat_of_a_stored_submission_isn_t_refused(self):
        """A refusal says that it never runs, but it does."""
        row = platform_store.Row("submission", "s0", ID, b"{}", 4)
        self.store.row = platform_store.Rows([row], 4)
        self.assertIsNone(await self.refuse(20.0))

    async def test_nothing_is_refused_while_the_store_can_t_be_read(self):
        self.store.row = platform_store.Refused(503)
        self.assertIsNone(await self.refuse(20.0))

    async def test_long_running_tasks_are_accepted(self):
        """They have all the time in the world; nothing makes them useless."""
        spec = msgspec.structs.replace(SPEC, long_running=True)
        self.assertIsNone(await self.refuse(20.0, spec))


class PublishedWaitTest(unittest.IsolatedAsyncioTestCase):
    """What other VMs know of the wait at the owner."""

    def make_directory(self, age_s):
        directory = ownerdirectory.OwnerDirectory(fakes.make_context(), None)
        record = ownerrows.OwnerRecord("vm-2", waits={1: 6.0})
        row = msgspec.json.decode(
            msgspec.json.encode(record), type=ownerrows.OwnerRecord
        )
        directory.observed_owners[fakes.SERVICE] = ownerdirectory.ObservedOwner(
            row, 11, clock.read_clock() - age_s
        )
        return directory

    async def test_it_falls_with_the_age_of_the_row(self):
        directory = self.make_directory(age_s=2.0)
        found = directory.find_wait(fakes.SERVICE, 1)
        self.assertAlmostEqual(found, 4.0, places=1)
        self.assertEqual(directory.find_wait(fakes.SERVICE, 0), 0.0)

    async def test_an_old_row_says_nothing(self):
        """The owner may be gone, and the next one has published none yet."""
        directory = self.make_directory(admission.MAX_WAIT_AGE_S + 1)
        self.assertEqual(directory.find_wait(fakes.SERVICE, 1), 0.0)

    async def test_the_owner_measures_what_waits(self):
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        shard.pool.replace([worker])
        spec = msgspec.structs.replace(SPEC, count=16)
        shard.apply_submission(ID, fakes.make_record(spec))
        planner = stepplanner.StepPlanner(shard.pool, lambda worker, now: True)
        ranking = stepranking.StepRanking(shard, planner)
        meter = backlog.BacklogMeter(shard, ranking)
        waits = admission.estimate_waits(
            meter._list_workers(), meter._list_waiting(clock.read_clock())
        )
        self.assertAlmostEqual(waits[0], 4.0)
        shard.submissions[ID].steps["0.0"].counted_since -= 1000
        self.assertEqual(list(meter._list_waiting(clock.read_clock())), [])

    async def test_workers_that_have_not_answered_yet_count(self):
        """Refusals followed each takeover: a few workers had answered first."""
        shard = fakes.make_shard()
        silent = fakes.add_worker(shard, "w1")
        silent.is_fenced = False
        fakes.add_worker(shard, "w2", is_draining=True)
        planner = stepplanner.StepPlanner(shard.pool, lambda worker, now: True)
        meter = backlog.BacklogMeter(
            shard, stepranking.StepRanking(shard, planner)
        )
        self.assertEqual(meter._list_workers(), [silent])
