"""Tests of the quarantine of workers that fail every attempt."""

import unittest

from persimmonpath import jobs
from persimmonpath import memoryworkers
from persimmonpath import rules
from tests import jobcells


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        policy = rules.Policy(quarantine_failures=3, short_slots_share=0.0)
        self.cell = jobcells.JobCell(workers=3, slots=4, policy=policy)
        self.broken = {"w0"}
        for name, worker in self.cell.workers.items():
            worker._plan = self.make_plan(name)

    def make_plan(self, name):
        def plan(start):
            is_bad = name in self.broken or start.kind == "bad"
            return memoryworkers.Plan(0.2, not is_bad)

        return plan

    def submit_all(self, count, prefix="j", kinds=("a", "b")):
        for number in range(count):
            kind = kinds[number % len(kinds)]
            self.cell.submit(f"{prefix}{number}", kind=kind, max_attempts=5)
            self.cell.advance(0.5)

    def test_worker_that_fails_everything_gets_no_more_work(self):
        self.submit_all(12)
        self.cell.advance(15)
        self.assertEqual(self.cell.fleet.list_quarantined(), ["w0"])
        runs = sum(self.cell.workers["w0"].runs.values())
        self.submit_all(12, "k")
        self.cell.advance(8)
        self.assertLessEqual(
            sum(self.cell.workers["w0"].runs.values()) - runs, 1
        )
        for number in range(12):
            state = self.cell.read(f"j{number}").state
            self.assertEqual(state, jobs.JobState.DONE)

    def test_work_that_always_fails_quarantines_no_worker(self):
        self.submit_all(10, kinds=("bad",))
        self.cell.advance(60)
        self.assertEqual(self.cell.fleet.list_quarantined(), [])

    def test_no_more_than_the_share_is_quarantined(self):
        self.broken = {"w0", "w1", "w2"}
        self.submit_all(12)
        self.cell.advance(60)
        self.assertEqual(len(self.cell.fleet.list_quarantined()), 1)

    def test_repaired_worker_returns_after_probes(self):
        self.submit_all(12)
        self.cell.advance(15)
        self.broken.clear()
        self.submit_all(240, "k")
        self.assertEqual(self.cell.fleet.list_quarantined(), [])
