"""Tests of how tenants share a service whose capacity is short."""

import collections
import heapq
import random
import statistics
import time
from typing import ClassVar
import unittest
from unittest import mock

import msgspec

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.decisions import fairness
from persimmonpath_entry.decisions import preemption
from persimmonpath_entry.decisions import tenantwaits
from persimmonpath_entry.engine import backlog
from persimmonpath_entry.engine import clientapi
from persimmonpath_entry.engine import fairshares
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import peerapi
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import preemptor
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.engine import taskscheduler
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import tenants
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from persimmonpath_entry.transport import httpserver
from tests.entry import fakes

START_S = 1_000_000.0
LARGE = "t-large"


def configure(node, weights, queues=None):
    """Gives a node a configuration with tenants of the given weights."""
    node.configuration = configuration.Configuration(
        8,
        queues or [fakes.make_queue()],
        [configuration.Service(fakes.SERVICE, False)],
        262144,
        {name: tenants.Tenant(name, w) for name, w in weights.items()},
    )


class RateTest(unittest.TestCase):
    """Which submissions of a tenant are beyond its agreed rate."""

    def setUp(self):
        self.agreed = {"t": 2.0}
        self.rates = fairness.AgreedRates(self.agreed.get)
        self.count = 0

    def send(self, at, tenant="t"):
        self.count += 1
        self.rates.record(f"{self.count:016x}", tenant, at)
        return f"{self.count:016x}"

    def count_excess(self, ids):
        return sum(self.rates.is_excess(i) for i in ids)

    def test_the_agreed_rate_is_inside_also_with_a_short_burst(self):
        ids = [self.send(100 + n / 2) for n in range(40)]
        ids += [self.send(130.0) for _ in range(4)]
        self.assertEqual(self.count_excess(ids), 0)

    def test_six_times_the_rate_is_beyond_it_by_the_rest(self):
        """The tenant keeps what it has agreed to send while it sends more."""
        ids = [self.send(100 + n / 12) for n in range(72)]
        inside = len(ids) - self.count_excess(ids)
        burst = fairness.BURST_S * 2.0
        self.assertLessEqual(abs(inside - (12 + burst)), 1)

    def test_a_new_owner_comes_to_the_same_result(self):
        """It reads the rows by partition and not in their order."""
        moments = [100 + n / 12 for n in range(72)]
        ids = [self.send(at) for at in moments]
        expected = [self.rates.is_excess(i) for i in ids]
        other = fairness.AgreedRates(self.agreed.get)
        rows = list(zip(ids, moments, strict=True))
        random.Random(1).shuffle(rows)
        for submission_id, at in rows:
            other.record(submission_id, "t", at)
        self.assertEqual([other.is_excess(i) for i in ids], expected)

    def test_nothing_is_beyond_a_rate_that_isn_t_agreed(self):
        ids = [self.send(100.0, tenant="") for _ in range(50)]
        self.assertEqual(self.count_excess(ids), 0)

    def test_the_jump_of_a_clock_uses_up_no_rate(self):
        """A clock that was a minute ahead made all later work excess."""
        for _ in range(3):
            self.send(160.0)
        ids = [self.send(100.0 + n) for n in range(5)]
        self.assertEqual(self.count_excess(ids), 0)

    def test_refused_callers_are_inside_the_rate_when_they_return(self):
        """Otherwise they are refused again and again."""
        calls = [(100 + n / 12, f"{n:016x}") for n in range(480)]
        returns = []
        while calls:
            at, submission_id = heapq.heappop(calls)
            delay_s = self.rates.admit(submission_id, "t", at)
            if submission_id in {i for _, i in returns}:
                self.assertEqual(delay_s, 0.0)
            elif 0 < delay_s < fairness.MAX_RETRY_S:
                returns.append((at + delay_s, submission_id))
                # Retry-After is in whole seconds.
                heapq.heappush(calls, (at + delay_s + 0.3, submission_id))
        self.assertGreater(len(returns), 20)
        moments = sorted(at for at, _ in returns)
        gaps = [b - a for a, b in zip(moments, moments[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 1 / 2.0)

    def test_a_refused_caller_without_a_slot_delays_no_other(self):
        """Each one moved the slots of later callers, and got none itself."""
        with mock.patch.object(fairness, "MAX_RETRY_SLOTS", 1):
            for n in range(12):
                self.rates.admit(f"{n:016x}", "t", 100.0)
        late = self.rates.admit("f" * 16, "t", 100.0)
        with mock.patch.object(fairness, "MAX_RETRY_SLOTS", 1):
            for n in range(20, 30):
                self.rates.admit(f"{n:016x}", "t", 100.0)
        after = self.rates.admit("e" * 16, "t", 100.0)
        self.assertAlmostEqual(after - late, 1 / (2.0 * 0.25))

    def test_an_admitted_submission_is_counted_once(self):
        """Its row is read after its admission and takes no second token."""
        ids = []
        for n in range(20):
            self.assertEqual(self.rates.admit(f"{n:016x}", "t", 100 + n), 0.0)
            self.rates.record(f"{n:016x}", "t", 100 + n)
            ids.append(f"{n:016x}")
        self.assertEqual(self.count_excess(ids), 0)
        burst = [self.send(119.0) for _ in range(4)]
        self.assertEqual(self.count_excess(burst), 0)


class CountedShare(float):
    """A share that counts how often it is compared."""

    comparisons = 0

    def __lt__(self, other):
        CountedShare.comparisons += 1
        return float(self) < float(other)


class MergeTest(unittest.TestCase):
    """The order of the steps of several tenants."""

    def merge(self, names, weights=None, classes=None):
        """Plays a merge in which each step uses one unit."""
        used = collections.Counter()
        weights = weights or {}
        lists = collections.defaultdict(list)
        for number, name in enumerate(names):
            rank = ((classes or {}).get(number, 0), 0, 0, 0, 0, number)
            queued = fairness.QueuedStep(
                rank, number, (name, number), name, rank[:5]
            )
            lists[name].append(queued)
        for rows in lists.values():
            rows.sort()
        order = []
        merge = fairness.TenantMerge(
            lists, lambda name: used[name] / weights.get(name, 1)
        )
        while merge:
            name, number = merge.popleft()
            used[name] += 1
            order.append((name, number))
        return order

    def test_tenants_take_turns_by_their_weights(self):
        """One with a long backlog had all the capacity before the others."""
        order = self.merge(["a"] * 30 + ["b"] * 30, {"a": 2})
        first = collections.Counter(name for name, _ in order[:30])
        self.assertEqual(first, {"a": 20, "b": 10})

    def test_shares_that_are_not_used_go_to_the_others(self):
        order = self.merge(["a"] * 30 + ["b"] * 3)
        self.assertEqual(len(order), 33)
        self.assertEqual([name for name, _ in order[7:]], ["a"] * 26)

    def test_the_class_goes_before_the_share(self):
        """A tenant that has little must not delay more urgent work."""
        order = self.merge(["a"] * 4 + ["b"] * 4, classes={6: 1, 7: 1, 3: 1})
        self.assertEqual({number for _, number in order[:5]}, {0, 1, 2, 4, 5})

    def test_one_tenant_keeps_its_order(self):
        order = self.merge(["a"] * 20)
        self.assertEqual([number for _, number in order], list(range(20)))

    def play_counted(self, count):
        """Returns measured shares and their comparisons for 400 steps."""
        rank_class = (False, False, 0, False, False)
        lists = {
            f"t{n}": [
                fairness.QueuedStep(
                    (*rank_class, s), s * count + n, s, f"t{n}", rank_class
                )
                for s in range(100)
            ]
            for n in range(count)
        }
        used = collections.Counter()
        measured = 0

        def measure(name):
            nonlocal measured
            measured += 1
            used[name] += 1
            return CountedShare(used[name])

        merge = fairness.TenantMerge(lists, measure)
        measured = CountedShare.comparisons = 0
        for _ in range(400):
            merge.popleft()
        return measured, CountedShare.comparisons

    def test_a_step_costs_the_same_for_any_number_of_tenants(self):
        """A search over all tenants for each step would grow with them."""
        few, few_comparisons = self.play_counted(20)
        many, many_comparisons = self.play_counted(80)
        self.assertEqual(few, many)
        self.assertLess(many_comparisons, 2 * few_comparisons)


class Caller:
    """Asks the API of the owner itself whether a submission is refused."""

    def __init__(self, node, shard):
        self.shard = shard
        self.api = clientapi.ClientApi(node, None, self, None, None, None)

    def find_wait(self, service, priority):
        return admission.find_wait(self.shard.waits, priority)

    def find_tenant_waits(self, service):
        waits = self.shard.fair_shares.waits
        return None if waits is None else (waits, 0.0)

    def find_shard(self, service):
        return self.shard


class Replay:
    """A service in virtual time, with the real scheduler and admission.

    Attributes:
      refusals: tenant and response of each refused call.
      stopped: preempted runs.
      ages: of each submission inside the agreed rates that was first sent in
        the time of the burst, by tenant, whether it is large and the seconds
        from its acceptance to its end, END_S if it didn't end.
    """

    TICK_S = 0.01
    END_S = 18.0
    BURST = (4.0, 10.0)
    # Usual submissions per second.
    LARGE_RATE = 4.0
    SMALL_RATE = 0.5
    URGENT = submissions.StepSpec(
        count=10, cpu=4000, memory_mb=100, estimated_ms=560.0
    )
    # A tenth of the submissions is large and less urgent.
    BATCH_SHARE = 0.1
    BATCH = submissions.StepSpec(
        count=6,
        cpu=8000,
        memory_mb=100,
        estimated_ms=2000.0,
        checkpointing=True,
    )

    def __init__(
        self, has_tenants=True, factor=6.0, seed=1, workers=36, priority=2
    ):
        self.now = START_S
        self.workers = workers
        self.random = random.Random(seed)
        self.factor = factor
        self.queues = [
            fakes.make_queue(target_latency_ms=600.0),
            fakes.make_queue(
                name="batch", prefix="/b/", priority=priority, stretch=3.0
            ),
        ]
        self.node = fakes.make_context(queues=self.queues)
        self.rates = {f"t-{n}": self.SMALL_RATE for n in range(19)}
        self.rates[LARGE] = self.LARGE_RATE
        self.weights = {n: 1.25 * rate for n, rate in self.rates.items()}
        if has_tenants:
            configure(self.node, self.weights, self.queues)
        self.ends = []
        self.calls = []
        self.count = 0
        self.first_calls = {}
        self.refusals = []
        self.stopped = []
        self.saved = {}
        self.ages = collections.defaultdict(list)

    async def run(self):
        with (
            mock.patch.object(clock, "read_clock", lambda: self.now),
            mock.patch.object(time, "time", lambda: self.now),
        ):
            await self._play()
        return self

    async def _play(self):
        self.shard = fakes.make_shard(self.node)
        self.shard.lease_until = START_S + 1000
        self.shard.stop_run = self.stop
        self.shard.extend_horizon(1)
        for number in range(self.workers):
            fakes.add_worker(self.shard, f"w{number}")
        self.scheduler = taskscheduler.TaskScheduler(
            self.shard, self, self, None
        )
        meter = backlog.BacklogMeter(self.shard, self.scheduler.ranking)
        self.caller = Caller(self.node, self.shard)
        self._draw_calls()
        next_measure = self.now
        while self.now < START_S + self.END_S:
            while self.calls and self.calls[0][0] <= self.now:
                await self._submit(*heapq.heappop(self.calls)[1:])
            while self.ends and self.ends[0][0] <= self.now:
                self._end_run(heapq.heappop(self.ends)[2])
            if next_measure <= self.now:
                meter.measure(self.now)
                next_measure += backlog.INTERVAL_S
            self.scheduler._place(self.now)
            self.now += self.TICK_S
        self._collect()

    def _draw_calls(self):
        for name, rate in self.rates.items():
            at = 0.0
            while at < self.END_S:
                is_loud = name == LARGE and (
                    self.BURST[0] <= at < self.BURST[1]
                )
                current = rate * (self.factor if is_loud else 1.0)
                at += self.random.expovariate(current)
                self.count += 1
                submission_id = f"{self.count:016x}"
                is_batch = self.random.random() < self.BATCH_SHARE
                call = (START_S + at, submission_id, name, is_batch)
                heapq.heappush(self.calls, call)

    async def _submit(self, submission_id, tenant, is_batch):
        call = (self.now, tenant, is_batch)
        self.first_calls.setdefault(submission_id, call)
        queue = self.queues[is_batch]
        record = fakes.make_record(
            self.BATCH if is_batch else self.URGENT,
            queue=queue.name,
            tenant=tenant,
            accepted_ms=int(self.now * 1000),
        )
        response = await self.caller.api.checks.check_overload(
            queue, submission_id, record
        )
        if response is None:
            self.shard.apply_submission(submission_id, record, version=1)
            return
        self.refusals.append((tenant, response))
        retry_at = self.now + response.retry_after_s
        call = (retry_at, submission_id, tenant, is_batch)
        heapq.heappush(self.calls, call)

    def start(self, run, ticket):
        """Takes a start for sent; the task ends after its estimated time."""
        run.phase = execution.Phase.RUNNING
        done_s = self.saved.get(run.task, 0.0)
        end = self.now + run.spec.estimated_ms / 1000 - done_s
        heapq.heappush(self.ends, (end, self.count, run))
        self.count += 1

    def stop(self, run, reason):
        """Stops a run at once; its task goes on from its checkpoint."""
        self.stopped.append(run)
        done_s = self.saved.get(run.task, 0.0)
        self.saved[run.task] = done_s + self.now - run.sent_at
        self.shard.remove_run(run, "stopped", "saved")

    def _end_run(self, run):
        if (run.task.name, run.number) in run.worker.runs:
            self.shard.remove_run(run, "done", "")

    def resume_polling(self, worker):
        """Does nothing, as no worker is listed."""

    def _collect(self):
        ended = {
            fields["id"]: fields["age_s"]
            for fields in self.node.log.list_events("submission_ended")
        }
        agreed = fairness.AgreedRates(self.weights.get)
        for submission_id, (at, tenant, _) in self.first_calls.items():
            agreed.record(submission_id, tenant, at)
        for submission_id, (at, tenant, is_batch) in self.first_calls.items():
            is_in_burst = self.BURST[0] <= at - START_S < self.BURST[1]
            if is_in_burst and not agreed.is_excess(submission_id):
                age_s = ended.get(submission_id, self.END_S)
                self.ages[tenant].append((is_batch, age_s))


class ReplayTest(unittest.IsolatedAsyncioTestCase):
    """A tenant sends six times its usual load for six seconds."""

    SEEDS = (1, 2, 3)
    RUN_S = Replay.URGENT.estimated_ms / 1000
    # Replays that several tests look at, by their parameters.
    played: ClassVar[dict] = {}

    async def play(self, **changes):
        key = tuple(sorted(changes.items()))
        if key not in self.played:
            self.played[key] = [
                await Replay(seed=seed, **changes).run() for seed in self.SEEDS
            ]
        return self.played[key]

    def list_others(self, replays, is_batch=False):
        return [
            age_s
            for replay in replays
            for name, rows in replay.ages.items()
            for row_is_batch, age_s in rows
            if name != LARGE and row_is_batch == is_batch
        ]

    def measure_late(self, ages):
        """Returns the part of urgent work that misses its objective."""
        objective_s = 1.5 * self.RUN_S + 0.6
        return sum(age_s > objective_s for age_s in ages) / len(ages)

    async def test_the_others_wait_as_without_it(self):
        """All of them waited behind it: 188 to 311 of 1,000 were late."""
        calm = self.list_others(await self.play(factor=1.0))
        loud = self.list_others(await self.play())
        unfair = self.list_others(await self.play(has_tenants=False))
        self.assertLess(statistics.mean(calm), 1.2 * self.RUN_S)
        # At most the rest of a task that already runs is waited for.
        self.assertLess(statistics.mean(loud), 1.7 * self.RUN_S)
        self.assertLess(self.measure_late(loud), 0.03)
        self.assertGreater(self.measure_late(unfair), 0.3)

    async def test_nobody_starves(self):
        """Neither the large work of the others nor what a loud one is owed."""
        loud = await self.play()
        batch = self.list_others(loud, is_batch=True)
        self.assertLess(max(batch), 3 * Replay.BATCH.estimated_ms / 1000)
        own = [a for r in loud for large, a in r.ages[LARGE] if not large]
        self.assertLess(self.measure_late(own), 0.03)

    async def test_only_the_loud_tenant_is_refused(self):
        """The others were refused with it."""
        for replay in await self.play():
            names = [name for name, _ in replay.refusals]
            self.assertGreater(names.count(LARGE), 20)
            self.assertLess(len(names) - names.count(LARGE), 3)
            self.assertEqual({r.status for _, r in replay.refusals}, {429})

    async def test_shares_make_no_urgent_work_late(self):
        """Large work of a tenant that had little went first and could wait.

        With capacity for all, 14 of 386 urgent submissions were late, and 6
        without shares.
        """
        late = {}
        for has_tenants in (False, True):
            replays = await self.play(
                has_tenants=has_tenants, factor=1.0, workers=30, priority=0
            )
            late[has_tenants] = self.measure_late(self.list_others(replays))
        self.assertLessEqual(late[True], late[False] + 0.01)

    async def test_nothing_is_refused_while_capacity_is_ample(self):
        """A burst above the rate is served where there is room for it."""
        for replay in await self.play(factor=1.5):
            self.assertEqual(replay.refusals, [])


class TenantWaitTest(unittest.TestCase):
    """How long new work of each tenant waits."""

    WEIGHTS = {"a": 1.0, "b": 1.0, "c": 2.0}
    SPEC = submissions.StepSpec(count=1, cpu=4000, estimated_ms=1000.0)

    def make_work(self, count, tenant, priority=0, is_excess=False):
        return admission.WaitingWork(
            self.SPEC, count, 1.0, priority, tenant, is_excess
        )

    def estimate(self, *waiting, exceeding=()):
        """Estimates for ten workers, which run 40 such tasks a second."""
        workers = [
            fleet.Worker(fakes.make_registration(f"w{n}")) for n in range(10)
        ]
        return tenantwaits.estimate(
            workers,
            waiting,
            lambda name: self.WEIGHTS.get(name, 1.0),
            exceeding,
        )

    def test_a_tenant_without_a_backlog_doesn_t_wait_for_another_s(self):
        """Its work was refused for what another tenant had sent."""
        waits = self.estimate(self.make_work(400, "a"))
        self.assertAlmostEqual(waits.find_wait("a", 0), 10.0)
        self.assertEqual(waits.find_wait("b", 0), 0.0)
        # Less urgent work waits for the more urgent one of all tenants.
        self.assertAlmostEqual(waits.find_wait("b", 1), 10.0)

    def test_backlogs_are_worked_off_in_parallel_by_weight(self):
        waits = self.estimate(self.make_work(400, "a"), self.make_work(80, "c"))
        self.assertAlmostEqual(waits.find_wait("c", 0), 3.0)
        self.assertAlmostEqual(waits.find_wait("a", 0), 12.0)

    def test_excess_waits_for_all_other_work(self):
        waits = self.estimate(
            self.make_work(200, "a", 2),
            self.make_work(80, "b", 0, is_excess=True),
            exceeding=["b"],
        )
        self.assertAlmostEqual(waits.find_excess_wait("b", 0), 7.0)
        self.assertAlmostEqual(waits.find_wait("a", 2), 5.0)
        self.assertIn("b", waits.exceeding)

    def test_waits_are_finite_for_any_weight(self):
        """An infinite one would make the owner's row unreadable."""
        node = fakes.make_context()
        configure(node, {"a": 5e-324, "b": 1e300})
        shares = fakes.make_shard(node).fair_shares
        self.WEIGHTS = {n: shares.find_weight(n) for n in "ab"}
        waits = self.estimate(
            self.make_work(400, "a"), self.make_work(400, "b")
        )
        found = [waits.find_wait(name, 0) for name in "ab"]
        self.assertEqual(found, [20.0, 10.0])

    def test_the_published_waits_are_bounded(self):
        """Every VM reads the row of the owner again and again."""
        names = [f"t-{n}" for n in range(500)] + ["x" * 1000]
        waits = self.estimate(
            *(self.make_work(100, name) for name in names),
            *(self.make_work(9, name, 1, is_excess=True) for name in names),
            exceeding=names,
        )
        limit = tenantwaits.MAX_PUBLISHED_TENANTS
        self.assertEqual(len(waits.tenants), limit)
        self.assertEqual(len(waits.exceeding), limit)
        self.assertLess(len(msgspec.json.encode(waits)), 4000)


class FormerOwnerRecord(msgspec.Struct, omit_defaults=True):
    """The fields of the owner row that a former version reads."""

    owner: str = ""
    waits: dict[int, float] = {}


class OwnerRowTest(unittest.TestCase):
    """The owner row of a mixed deployment."""

    def test_former_versions_read_the_row(self):
        waits = tenantwaits.TenantWaits({0: 2.0}, {"a": {0: 1.5}})
        row = ownerrows.OwnerRecord("vm", waits={0: 2.0}, tenant_waits=waits)
        value = msgspec.json.encode(row)
        former = msgspec.json.decode(value, type=FormerOwnerRecord)
        self.assertEqual(former.waits, {0: 2.0})
        self.assertEqual(
            msgspec.json.decode(value, type=ownerrows.OwnerRecord), row
        )

    def test_the_owner_writes_the_field_only_with_tenants(self):
        for weights in ({}, {"a": 1.0}):
            shard = fakes.make_shard()
            configure(shard.node, weights)
            for number in range(10):
                shard.fair_shares.admit(f"{number:x}", "a")
            shard.fair_shares.measure_waits([], [], START_S)
            writer = persistence.ShardWriter(shard, 1, lambda: None)
            row = msgspec.json.encode(writer._build_owner("vm", START_S))
            self.assertEqual(b"tenant_waits" in row, bool(weights))


class SharedShardTest(unittest.IsolatedAsyncioTestCase):
    """A shard whose configuration has tenants."""

    SPEC = submissions.StepSpec(
        count=4,
        cpu=4000,
        memory_mb=100,
        checkpointing=True,
        estimated_ms=60_000.0,
    )

    def setUp(self):
        queues = [fakes.make_queue(), fakes.make_queue(name="b", priority=2)]
        self.node = fakes.make_context(queues=queues)
        configure(self.node, {"a": 1.0, "b": 1.0}, queues)
        self.shard = fakes.make_shard(self.node)
        self.worker = fakes.add_worker(self.shard)
        self.count = 0

    def submit(self, tenant, version=0, **changes):
        self.count += 1
        record = fakes.make_record(
            self.SPEC,
            tenant=tenant,
            accepted_ms=int(time.time() * 1000),
            **changes,
        )
        submission_id = f"{self.count:016x}"
        self.shard.apply_submission(submission_id, record, version=version)
        return self.shard.submissions[submission_id]

    def run_all(self, submission):
        for task in submission.steps["0.0"].tasks:
            run = fakes.start_run(self.shard, task, self.worker)
            run.phase = execution.Phase.RUNNING

    def preempt(self, submission):
        step = submission.steps["0.0"]
        step.ready_since = clock.read_clock() - 5
        self.worker.preempted_at = 0.0
        self.shard.fair_shares.begin_plan([self.worker], clock.read_clock())
        self.preemptor.preempt(step, [self.worker])
        return [run for run, _ in self.shard.stopped]

    async def test_usage_follows_the_runs(self):
        """Also that of runs from before the first version with tenants."""
        former = self.submit("b")
        self.run_all(former)
        shares = self.shard.fair_shares
        shares.begin_plan([self.worker], clock.read_clock())
        self.assertEqual(shares.measure("b"), 1.0)
        submission = self.submit("a")
        self.run_all(submission)
        self.assertEqual(shares.measure("a"), 1.0)
        for run in submission.list_runs():
            self.shard.remove_run(run, "done", "")
            self.shard.remove_run(run, "done", "")
        self.assertEqual(self.shard.fair_shares.measure("a"), 0.0)

    async def test_what_is_sent_to_other_services_counts(self):
        """Each service has its own owner, and a tenant one agreed rate."""
        maintenance = shardmaintenance.ShardMaintenance(self.shard, None)
        for number in range(10):
            record = fakes.make_record(
                tenant="a",
                service="other",
                accepted_ms=int(time.time() * 1000) - 100,
            )
            row = platform_store.Row(
                "submission",
                "s0",
                f"{number:x}",
                msgspec.json.encode(record),
                4,
            )
            maintenance._apply_submission_row(row)
        self.assertTrue(
            self.shard.fair_shares.is_excess(self.submit("a").steps["0.0"])
        )
        self.assertFalse(
            self.shard.fair_shares.is_excess(self.submit("b").steps["0.0"])
        )

    async def test_a_tenant_that_has_all_is_preempted_for_another(self):
        """The other one waited for the end of tasks of many minutes."""
        self.preemptor = preemptor.Preemptor(self.shard)
        self.run_all(self.submit("a"))
        own = self.preempt(self.submit("a"))
        self.assertEqual(own, [])
        victims = self.preempt(self.submit("b"))
        self.assertEqual(len(victims), 1)

    async def test_the_use_relative_to_the_fair_share(self):
        """Guards against waits for faster places that ignore the shares."""
        shares = self.shard.fair_shares
        self.run_all(self.submit("a"))
        shares.begin_plan([self.worker], clock.read_clock())
        self.assertEqual(shares.measure_use("a"), fairshares.MAX_USE)
        self.assertEqual(shares.measure_use("b"), fairshares.MIN_USE)
        self.node.configuration.tenants = {}
        self.assertEqual(shares.measure_use("a"), 1.0)

    async def test_a_run_that_ends_soon_isn_t_preempted_for_a_share(self):
        """Its restart costs more than the wait for its end."""
        self.preemptor = preemptor.Preemptor(self.shard)
        self.SPEC = msgspec.structs.replace(self.SPEC, estimated_ms=2000.0)
        self.run_all(self.submit("a"))
        self.assertEqual(self.preempt(self.submit("b")), [])

    async def test_marks_of_ended_submissions_are_dropped(self):
        """They would fill the memory of an owner that stays for days."""
        sent = [self.submit("a") for _ in range(9)]
        shares = self.shard.fair_shares
        steps = [s.steps["0.0"] for s in sent]
        self.assertEqual(sum(map(shares.is_excess, steps)), 4)
        for submission in sent:
            self.shard.cancel(submission)
        shares.measure_waits([], [], clock.read_clock())
        self.assertEqual(sum(map(shares.is_excess, steps)), 0)

    async def test_a_task_isn_t_preempted_again_and_again(self):
        self.preemptor = preemptor.Preemptor(self.shard)
        submission = self.submit("a", queue="b")
        self.run_all(submission)
        other = self.submit("b")
        for _ in range(20):
            for run in self.preempt(other):
                run.phase = execution.Phase.RUNNING
        tasks = collections.Counter(r.task for r, _ in self.shard.stopped)
        self.assertEqual(max(tasks.values()), 1)

    async def test_shares_are_evened_out_at_a_bounded_pace(self):
        """Restarting all the work of a tenant at once would waste it."""
        history = preemption.PreemptionHistory()
        count = 0
        for tick in range(200):
            now = 50 + tick / 100
            while history.has_budget(now):
                history.record(object(), True, now)
                count += 1
        self.assertLessEqual(count, 3 * preemption.SHARE_PREEMPTIONS_PER_S)

    async def test_freed_capacity_goes_to_the_tenant_that_has_less(self):
        """It went to the one that had sent its work first."""
        running = self.submit("a")
        self.run_all(running)
        self.submit("a")
        self.submit("b")
        self.shard.extend_horizon(1)
        commands = mock.Mock()
        scheduler = taskscheduler.TaskScheduler(
            self.shard, commands, mock.Mock(), None
        )
        for run in running.list_runs()[:2]:
            self.shard.remove_run(run, "done", "")
        scheduler._run_pass(clock.read_clock())
        started = [c.args[0].task for c in commands.start.call_args_list]
        names = [task.step.submission.record.tenant for task in started]
        self.assertEqual(names, ["b", "b"])

    async def test_planned_tasks_count(self):
        """A tenant whose tasks wait for tickets would plan all capacity."""
        self.submit("a", version=9)
        scheduler = taskscheduler.TaskScheduler(self.shard, None, None, None)
        scheduler._run_pass(clock.read_clock())
        self.assertEqual(self.shard.fair_shares.measure("a"), 1.0)

    async def test_excess_isn_t_placed_between_passes(self):
        """It would take what has become free for the steps that wait."""
        scheduler = taskscheduler.TaskScheduler(self.shard, None, None, None)
        inside = [self.submit("a").steps["0.0"] for _ in range(5)]
        excess = self.submit("a").steps["0.0"]
        order = scheduler._order_changed([excess, *inside], clock.read_clock())
        self.assertEqual(list(order), inside)
        self.assertTrue(self.shard.is_pass_requested)

    async def test_labels_are_bounded(self):
        labels = fairshares.TenantLabels()
        found = {labels.find(f't"{n}\n') for n in range(500)}
        self.assertEqual(len(found), fairshares.MAX_LABELS + 1)
        self.assertFalse([label for label in found if '"' in label])


class AdmissionRouteTest(unittest.IsolatedAsyncioTestCase):
    """What the owner answers a peer that asks for a rate."""

    async def test_the_owner_answers_in_seconds(self):
        node = fakes.make_context()
        configure(node, {"a/ö": 1.0})
        caller = Caller(node, fakes.make_shard(node))
        api = peerapi.PeerApi(node, None, caller, None, None)
        answers = []
        for number in range(10):
            request = httpserver.Request(
                "POST",
                f"/peer/admission/{fakes.SERVICE}/{number:016x}",
                {},
                "a/ö".encode(),
            )
            response = await api.handle(request)
            self.assertEqual(response.status, 200)
            answers.append(msgspec.json.decode(response.body, type=float))
        self.assertEqual(answers[: fairness.MIN_BURST], [0.0] * 5)
        self.assertGreater(min(answers[fairness.MIN_BURST :]), 0.0)


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """What a caller beyond its tenant's rate is answered."""

    SPEC = submissions.StepSpec(count=1, cpu=4000, estimated_ms=1000.0)

    def setUp(self):
        self.store = fakes.FakeStore()
        self.node = fakes.make_context(self.store)
        configure(self.node, {"a": 1.0, "b": 1.0})
        self.shard = fakes.make_shard(self.node)
        self.shard.waits = {0: 30.0}
        self.shard.fair_shares.waits = tenantwaits.TenantWaits(
            excess={0: 9.0}, exceeding={"a": {0: 9.0}}
        )
        for number in range(20):
            self.shard.fair_shares.admit(f"{number:016x}", "a")

    async def refuse(self, tenant, submission_id="ff" * 8, peers=None):
        caller = Caller(self.node, self.shard)
        if peers is not None:
            caller.find_shard = lambda service: None
            caller.find_owner = lambda service: "127.0.0.1:9"
            caller.api.checks._peers = peers
        return await caller.api.checks.check_overload(
            fakes.make_queue(),
            submission_id,
            fakes.make_record(self.SPEC, tenant=tenant),
        )

    async def test_only_the_tenant_above_its_rate_is_refused(self):
        response = await self.refuse("a")
        self.assertEqual(response.status, 429)
        self.assertGreaterEqual(response.retry_after_s, 1)
        self.assertIsNone(await self.refuse("b"))

    async def test_a_repeat_of_a_stored_submission_isn_t_refused(self):
        """A refusal says that it never runs, but it does."""
        row = platform_store.Row("submission", "s0", "ff" * 8, b"{}", 4)
        self.store.row = platform_store.Rows([row], 4)
        self.assertIsNone(await self.refuse("a"))

    async def test_nothing_is_refused_while_capacity_is_ample(self):
        self.shard.waits = {}
        self.shard.fair_shares.waits = tenantwaits.TenantWaits(
            exceeding={"a": {}}
        )
        self.assertIsNone(await self.refuse("a"))

    async def test_an_owner_that_doesn_t_answer_refuses_nothing(self):
        """The work goes last there; a wrong refusal would be worse."""
        for outcome in (
            httpclient.NoResponse(sent=True, reason="timeout"),
            httpclient.Response(404, b""),
            httpclient.Response(200, b"nan?"),
        ):
            peers = mock.AsyncMock()
            peers.call.return_value = outcome
            self.assertIsNone(await self.refuse("a", peers=peers))
        peers.call.return_value = httpclient.Response(200, b"2.5")
        response = await self.refuse("a", peers=peers)
        self.assertEqual(response.retry_after_s, 3)
