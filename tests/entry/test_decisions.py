"""Tests of ordering, advisor calls, owner selection, pacing and health."""

import unittest

from persimmonpath_entry.decisions import advisorcalls
from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import ownerselection
from persimmonpath_entry.decisions import pacing
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from tests.entry import fakes

NOW = 1000.0


def make_step(**changes):
    fields = {"count": 1, "cpu": 1000, "memory_mb": 100, "estimated_ms": 400}
    spec = submissions.StepSpec(**{**fields, **changes})
    record = fakes.make_record(spec)
    submission = execution.Submission(
        "00000000000000aa", record, None, False, NOW
    )
    return submission.add_occurrence(0, NOW)[0]


class RankTest(unittest.TestCase):
    def rank(self, age_s, **changes):
        queue = fakes.make_queue(**changes)
        return ordering.rank_step(make_step(), queue, age_s, 400, NOW)

    def test_urgent_step_comes_first_even_when_late(self):
        """Batch steps 30 s before their objective must not go before it."""
        urgent = self.rank(1.0, priority=0)
        batch = self.rank(0.0, priority=2, stretch=40.0)
        self.assertLess(urgent, batch)

    def test_step_on_time_comes_before_late_step(self):
        """A late submission is worth a fifth and must not make others late."""
        self.assertLess(self.rank(0.1), self.rank(1.0))

    def test_expired_step_comes_last(self):
        """After three times its objective no caller waits for it any more."""
        expired = self.rank(60.0, priority=0)
        batch = self.rank(0.0, priority=2)
        self.assertLess(batch, expired)

    def test_critical_path(self):
        """The durations of parallel steps aren't added up."""
        specs = [
            submissions.StepSpec(count=1, estimated_ms=100),
            submissions.StepSpec(count=1, estimated_ms=300),
            submissions.StepSpec(count=1, estimated_ms=50, after=[0, 1]),
        ]
        self.assertEqual(ordering.estimate_critical_path_ms(specs), 350)
        remaining = [
            ordering.estimate_remaining_path_ms(specs, number)
            for number in range(3)
        ]
        self.assertEqual(remaining, [150, 350, 50])

    def test_a_step_counts_what_comes_after_it(self):
        """The first step of a long submission seemed to have time left.

        The second one then started when its result was of no use any more.
        """
        specs = [
            submissions.StepSpec(count=1, estimated_ms=400),
            submissions.StepSpec(count=1, estimated_ms=900, after=[0]),
        ]
        submission = execution.Submission(
            "00000000000000aa", fakes.make_record(*specs), None, False, NOW
        )
        first, second = submission.add_occurrence(0, NOW)
        # The objective is 300 ms and one and a half times the path of 1300 ms.
        queue = fakes.make_queue()
        rank = ordering.rank_step(first, queue, 1.0, 1300, NOW)
        self.assertTrue(rank.is_late)
        self.assertAlmostEqual(rank.due_s, NOW - 1.0 + 2.25 - 0.9)
        rank = ordering.rank_step(second, queue, 1.0, 1300, NOW)
        self.assertFalse(rank.is_late)
        self.assertAlmostEqual(rank.due_s, NOW - 1.0 + 2.25)
        change = ordering.find_rank_change(first, queue, 0.5, 1300, NOW)
        self.assertAlmostEqual(change, NOW + 2.25 - 1.3 - 0.5)

    def test_a_step_of_an_ended_submission_can_be_ranked(self):
        """Its details are dropped while it may still be listed once more."""
        step = make_step()
        step.submission.forget_details()
        self.assertFalse(
            ordering.rank_step(
                step, fakes.make_queue(), 0.0, 400, NOW
            ).is_expired
        )


class ChooseCallerTest(unittest.TestCase):
    """Covers a peak load in which tasks wait for tickets, not for capacity."""

    PEERS = ["p1", "p2", "p3"]

    def choose(
        self, busy, call_s, purpose=advisorcalls.Purpose.START, peers=None
    ):
        peers = self.PEERS if peers is None else peers
        return advisorcalls.choose_caller("own", peers, busy, call_s, purpose)

    def test_short_calls_are_made_locally(self):
        """At a peer they were delayed by 0.8 s behind a long call."""
        self.assertEqual(self.choose({}, 0.02), "own")

    def test_long_calls_are_made_by_peers(self):
        self.assertEqual(self.choose({}, 0.9), "p1")

    def test_peer_gets_no_second_long_call(self):
        """The advisor also handles calls that timed out, so they pile up."""
        busy = dict.fromkeys(self.PEERS, 1)
        self.assertIsNone(self.choose(busy, 0.9))

    def test_prefetching_leaves_a_peer_free(self):
        busy = {"p1": 1, "p2": 1}
        self.assertIsNone(self.choose(busy, 0.9, advisorcalls.Purpose.PREFETCH))
        self.assertEqual(self.choose(busy, 0.9), "p3")

    def test_without_peers_all_calls_are_made_locally(self):
        self.assertEqual(self.choose({}, 0.9, peers=[]), "own")


class ChooseWorkersToAskTest(unittest.TestCase):
    def setUp(self):
        self.workers = [
            fleet.Worker(fakes.make_registration(f"w{n}")) for n in range(40)
        ]
        self.step_advice = execution.StepAdvice()
        self.spec = submissions.StepSpec(count=1, cpu=1000, memory_mb=100)

    def choose(self, planned=()):
        return advisorcalls.choose_workers_to_ask(
            self.step_advice,
            self.spec,
            self.workers,
            list(planned),
            placement.FreeCapacity(),
            NOW,
        )

    def test_first_call_names_many_workers(self):
        """One call for each start would keep the advisor busy for minutes."""
        self.assertEqual(len(self.choose()), advisorcalls.WORKERS_PER_CALL)

    def test_later_calls_name_only_approved_workers(self):
        """A call takes longer with each worker named."""
        self.step_advice.asked = {worker.id for worker in self.workers}
        self.step_advice.good = {"w3", "w7"}
        self.assertEqual(self.choose([self.workers[3]]), ["w3"])
        self.assertEqual(self.choose(), ["w3", "w7"])

    def test_valid_ticket_is_used_until_it_expires(self):
        self.step_advice.asked = {worker.id for worker in self.workers}
        self.step_advice.good = {"w3"}
        self.step_advice.tickets["w3"] = ("t", NOW + 1)
        self.assertEqual(self.step_advice.find_ticket("w3", NOW), "t")
        self.assertIsNone(self.step_advice.find_ticket("w3", NOW + 1))


class OwnerSelectionTest(unittest.TestCase):
    """Covers a site in which 32 of 38 VMs have a slow link."""

    def test_vm_with_largest_weight_comes_first(self):
        """A VM with a 10 Mbit/s link can't serve 126 workers."""
        weights = {
            "narrow": ownerselection.compute_vm_weight(0.516, 1, 10),
            "wide": ownerselection.compute_vm_weight(0.717, 3, 200),
        }
        for own, rank in (("wide", 0), ("narrow", 1)):
            with self.subTest(own):
                self.assertEqual(
                    ownerselection.rank_candidate("s", own, weights, False),
                    rank,
                )

    def test_equal_vms_get_different_services(self):
        weights = dict.fromkeys(["a", "b", "c"], 1.0)
        first = {
            service: min(
                weights,
                key=lambda own, s=service: ownerselection.rank_candidate(
                    s, own, weights, False
                ),
            )
            for service in ("s1", "s2", "s3", "s4", "s5")
        }
        self.assertGreater(len(set(first.values())), 1)

    def test_vm_that_owns_a_service_comes_later(self):
        weights = dict.fromkeys(["a", "b", "c"], 1.0)
        free = ownerselection.rank_candidate("s", "a", weights, False)
        busy = ownerselection.rank_candidate("s", "a", weights, True)
        self.assertGreater(busy, free)

    def test_service_is_transferred_only_to_a_much_larger_weight(self):
        """Each change of owner takes a fraction of a second."""
        self.assertTrue(ownerselection.is_outweighed(0.05, [0.5, 2.1]))
        self.assertFalse(ownerselection.is_outweighed(1.0, [1.2]))
        self.assertFalse(ownerselection.is_outweighed(1.0, []))


class PacingTest(unittest.TestCase):
    """Covers a filler that pushes a latency-sensitive task over its target."""

    def test_throttling_and_recovery(self):
        """A task must not be over its target for four seconds."""
        cases = [
            ("on target", 100, 0.0, 0.5, 99.0, 100),
            ("just over", 100, 0.3, 1.2, 99.0, 100),
            ("over for too long", 100, 1.0, 1.2, 99.0, 25),
            ("too soon after the last decrease", 25, 1.4, 1.2, 0.4, 25),
            ("still over", 25, 1.9, 1.1, 0.9, 0),
            ("stopped, but still over", 0, 3.0, 1.1, 0.9, 0),
            ("just under", 0, 0.0, 0.9, 5.0, 0),
            ("well below for long", 0, 0.0, 0.5, 2.1, 25),
            ("well below for longer", 25, 0.0, 0.5, 2.1, 50),
            ("never above 100 percent", 100, 0.0, 0.1, 9.0, 100),
        ]
        for name, current, over_s, share, unchanged_s, expected in cases:
            with self.subTest(name):
                percent = pacing.choose_filler_percent(
                    current, over_s, share, unchanged_s
                )
                self.assertEqual(percent, expected)

    def test_fillers_are_stopped_in_time(self):
        """From 100 to 0 percent takes less than the four seconds allowed."""
        needed = pacing.MAX_OVER_TARGET_S + pacing.DECREASE_INTERVAL_S
        self.assertLess(needed + 0.5, 4.0)


class SlownessTest(unittest.TestCase):
    """Covers workers that become slow beside tasks that take longer."""

    def setUp(self):
        self.worker = fleet.Worker(fakes.make_registration())

    def test_single_straggler_doesn_t_make_a_worker_slow(self):
        health.record_duration(self.worker, 7.0, NOW)
        slowness = health.estimate_slowness(self.worker, NOW)
        self.assertLess(slowness, placement.SLOWNESS_LIMIT)

    def test_consecutive_slow_runs_make_a_worker_slow(self):
        for _ in range(4):
            health.record_duration(self.worker, 6.5, NOW)
        slowness = health.estimate_slowness(self.worker, NOW)
        self.assertGreater(slowness, placement.SLOWNESS_LIMIT)
        later = NOW + 4 * health.SLOWNESS_DECAY_S
        slowness = health.estimate_slowness(self.worker, later)
        self.assertLess(slowness, placement.SLOWNESS_LIMIT)

    def test_speculative_copy_only_if_the_step_allows_it(self):
        """Otherwise a task must never run twice at the same time."""
        for allowed in (True, False):
            with self.subTest(allowed):
                step = make_step(allow_copies=allowed)
                run = execution.Run(
                    step.tasks[0],
                    1,
                    self.worker,
                    execution.Phase.RUNNING,
                    NOW - 10,
                )
                step.tasks[0].runs.append(run)
                wanted = health.may_start_copy(run, 0.5, NOW)
                self.assertEqual(wanted, allowed)
                self.assertFalse(health.may_start_copy(run, 9.0, NOW))


class HealthTest(unittest.TestCase):
    def make_run(self, **changes):
        worker = fleet.Worker(fakes.make_registration())
        task = make_step(**changes).tasks[0]
        return execution.Run(task, 1, worker, execution.Phase.RUNNING, NOW - 10)

    def test_run_without_load_is_stalled(self):
        """A worker that hangs reports no failure."""
        run = self.make_run()
        run.idle_since = NOW - health.STALLED_AFTER_S - 0.1
        run.load_at = NOW
        self.assertTrue(health.is_stalled(run, NOW))

    def test_a_worker_that_reports_late_has_no_stalled_runs(self):
        """One report without load, then silence, had a sound run restarted."""
        run = self.make_run()
        run.idle_since = run.load_at = NOW - health.STALLED_AFTER_S - 5
        self.assertFalse(health.is_stalled(run, NOW))

    def test_a_gang_member_is_stopped_only_if_it_goes_on(self):
        run = self.make_run(gang=True)
        self.assertFalse(health.is_overdue(run, NOW))
        run.done_at = NOW - health.GANG_END_S / 2
        self.assertFalse(health.is_overdue(run, NOW))
        run.done_at = NOW - health.GANG_END_S * 2
        self.assertTrue(health.is_overdue(run, NOW))

    def test_run_that_waits_or_is_throttled_isn_t_stalled(self):
        for changes in ({"gang": True}, {"is_filler": True}, {"target_ms": 5}):
            with self.subTest(changes):
                run = self.make_run(**changes)
                run.idle_since = NOW - 9
                run.load_at = NOW
                self.assertFalse(health.is_stalled(run, NOW))
        run = self.make_run()
        run.idle_since = NOW - 9
        run.load_at = NOW
        run.percent = 30
        self.assertFalse(health.is_stalled(run, NOW))

    def test_drain_stops_what_can_t_end_in_time(self):
        """Such tasks continue on another worker from their checkpoint."""
        long_running = self.make_run(long_running=True)
        long_running.worker.drain_deadline = NOW + 5
        self.assertTrue(
            health.should_stop_for_drain(long_running, long_running.worker, NOW)
        )
        checkpointing = self.make_run(checkpointing=True)
        checkpointing.worker.drain_deadline = NOW + 5
        self.assertFalse(
            health.should_stop_for_drain(
                checkpointing, checkpointing.worker, NOW
            )
        )
        checkpointing.worker.drain_deadline = NOW + 0.5
        self.assertTrue(
            health.should_stop_for_drain(
                checkpointing, checkpointing.worker, NOW
            )
        )
        plain = self.make_run()
        plain.worker.drain_deadline = NOW + 0.5
        self.assertFalse(health.should_stop_for_drain(plain, plain.worker, NOW))


class UnresponsiveZoneTest(unittest.TestCase):
    def make_workers(self, **heard):
        workers = []
        for name, moment in heard.items():
            registration = fakes.make_registration(name, zone=name[:2])
            worker = fleet.Worker(registration)
            worker.last_answer_at = moment
            workers.append(worker)
        return workers

    def test_zone_without_answers_is_unresponsive(self):
        """Half of the tasks started in the second of a partition waited 6 s."""
        workers = self.make_workers(z1a=9.0, z1b=9.1, z1c=9.2, z2a=9.0)
        workers[0].record_no_answer(9.5)
        self.assertEqual(health.find_unresponsive_zones(workers), set())
        workers[1].record_no_answer(9.6)
        self.assertEqual(health.find_unresponsive_zones(workers), {"z1"})

    def test_zone_with_an_answering_worker_isn_t_unresponsive(self):
        """Two workers may have failed independently."""
        workers = self.make_workers(z1a=9.0, z1b=9.1, z1c=9.2)
        workers[0].record_no_answer(9.5)
        workers[1].record_no_answer(9.6)
        workers[2].record_answer(9.55, 9.7)
        self.assertEqual(health.find_unresponsive_zones(workers), set())

    def test_only_the_answer_to_a_later_call_clears_a_worker(self):
        """An earlier call's answer doesn't show that it is still reachable."""
        (worker,) = self.make_workers(z1a=9.0)
        worker.record_no_answer(9.5)
        worker.record_answer(9.4, 9.6)
        self.assertIsNotNone(worker.unanswered_since)
        worker.record_answer(9.7, 9.8)
        self.assertIsNone(worker.unanswered_since)
