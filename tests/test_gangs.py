"""Tests of the all-or-nothing start of gangs within a shard."""

import unittest

from persimmonpath import jobs
from persimmonpath import memoryworkers
from persimmonpath import work
from tests import jobcells

FOREVER = memoryworkers.Plan(None, True)


class GangTest(unittest.TestCase):
    def setUp(self):
        self.cell = jobcells.JobCell(workers=2, slots=4)
        self.cell.plans["gang"] = memoryworkers.Plan(5.0, True)

    def submit_gang(self, job_id, tasks, **fields):
        self.cell.submit(
            job_id, tasks, work.GangJob, **({"kind": "gang"} | fields)
        )

    def list_running(self, job_id):
        return [
            a for a in self.cell.list_running() if a.startswith(f"{job_id}/")
        ]

    def test_gang_starts_as_a_whole_or_not_at_all(self):
        self.cell.plans["k"] = memoryworkers.Plan(10.0, True)
        self.cell.submit("a", tasks=4)
        self.cell.advance(0.5)
        self.submit_gang("g", 6)
        for _ in range(400):
            self.cell.advance(0.05)
            self.assertIn(len(self.list_running("g")), (0, 6))
        self.cell.advance(10)
        self.assertEqual(self.cell.read("g").state, jobs.JobState.DONE)

    def test_small_work_does_not_starve_a_gang(self):
        self.cell.plans["k"] = memoryworkers.Plan(4.0, True)
        for number in range(120):
            if number == 10:
                self.submit_gang("g", 8)
            self.cell.submit(f"s{number}", tasks=2)
            self.cell.advance(0.75)
        self.assertEqual(self.cell.read("g").state, jobs.JobState.DONE)

    def test_two_gangs_that_compete_for_capacity_both_run(self):
        self.submit_gang("g1", 6)
        self.submit_gang("g2", 6)
        self.cell.advance(40)
        for name in ("g1", "g2"):
            self.assertEqual(self.cell.read(name).state, jobs.JobState.DONE)

    def test_gang_that_never_fits_does_not_block_other_work(self):
        self.submit_gang("huge", 20)
        self.cell.advance(5)
        self.cell.submit("a", tasks=8)
        self.submit_gang("g", 6)
        self.cell.advance(40)
        for name in ("a", "g"):
            self.assertEqual(self.cell.read(name).state, jobs.JobState.DONE)
        self.assertEqual(self.list_running("huge"), [])

    def test_gang_that_lost_a_task_restarts_as_a_whole(self):
        self.cell.plans["gang"] = FOREVER
        self.submit_gang("g", 6)
        self.cell.advance(1)
        lost = self.list_running("g")[0]
        worker = next(
            w for w in self.cell.workers.values() if lost in w.list_running()
        )
        worker.control(lost, "stop", self.cell.epoch, 1.0)
        self.cell.advance(20)
        running = self.list_running("g")
        self.assertEqual(len(running), 6)
        self.assertEqual(len({a.rpartition("#")[2] for a in running}), 1)
