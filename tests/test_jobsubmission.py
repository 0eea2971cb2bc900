"""Tests of the choice of a shard for a job, and of refused jobs."""

import unittest

from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import jobsubmission
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import work


def make_worker(name, zone, shard, cpu_millis=16_000):
    return inventory.Worker(
        name=name,
        zone=zone,
        rack=f"{zone}-r1",
        shard=shard,
        host="127.0.0.1",
        port=1,
        cpu_millis=cpu_millis,
        memory_mib=32_768,
    )


CELL = inventory.Inventory(
    zones=(
        inventory.Zone(name="z1", shards=2),
        inventory.Zone(name="z2", shards=1),
    ),
    workers=(
        make_worker("a", "z1", 0),
        make_worker("b", "z1", 1),
        make_worker("c", "z2", 0, cpu_millis=64_000),
    ),
)


class ChooseShardTest(unittest.TestCase):
    def list_candidate_shards(
        self, cpu_millis, home, *placement_rules, cell=CELL
    ):
        job = work.BatchJob(
            "j", "k", "t", 1, resources.Resources(cpu_millis, 1024)
        )
        return jobsubmission.list_candidate_shards(
            cell, rules.Rules(placement=placement_rules), job, home
        )

    def drain(self, *names):
        workers = tuple(
            worker.model_copy(update={"draining": worker.name in names})
            for worker in CELL.workers
        )
        return CELL.model_copy(update={"workers": workers})

    def test_job_is_not_sent_to_a_shard_whose_workers_are_drained(self):
        """Soak seed 31377: such a job waited for the end of the drain."""
        shards = self.list_candidate_shards(1000, "z1", cell=self.drain("a"))
        self.assertEqual(shards, [identifiers.ShardId("z1", 1)])
        shards = self.list_candidate_shards(
            1000, "z1", cell=self.drain("a", "b")
        )
        self.assertEqual(shards, [identifiers.ShardId("z2", 0)])

    def test_job_is_accepted_while_every_worker_is_drained(self):
        """A drain of all workers delays jobs but refuses none."""
        shards = self.list_candidate_shards(
            1000, "z1", cell=self.drain("a", "b", "c")
        )
        self.assertEqual({shard.zone for shard in shards}, {"z1"})

    def test_job_is_not_sent_where_no_worker_can_run_it(self):
        large = self.list_candidate_shards(40_000, "z1")
        self.assertEqual(large, [identifiers.ShardId("z2", 0)])
        self.assertEqual(self.list_candidate_shards(80_000, "z1"), [])

    def test_own_zone_comes_first(self):
        shards = self.list_candidate_shards(1000, "z1")
        self.assertEqual({shard.zone for shard in shards}, {"z1"})

    def test_rules_confine_a_kind_to_a_zone(self):
        rule = rules.PlacementRule(kind="k", zones=("z2",))
        shards = self.list_candidate_shards(1000, "z1", rule)
        self.assertEqual(shards, [identifiers.ShardId("z2", 0)])
        nowhere = rules.PlacementRule(kind="k", racks=("z1-r1",))
        self.assertEqual(
            self.list_candidate_shards(1000, "z1", rule, nowhere), []
        )

    def test_refusal_names_the_reason(self):
        job = work.BatchJob("j", "k", "t", 1, resources.Resources(80_000))
        reason = jobsubmission.explain_unplaceable(CELL, rules.Rules(), job)
        self.assertIn("no worker is as large", reason)

    def test_idle_capacity_is_counted_in_gang_tasks_per_shard(self):
        gang = work.GangJob("j", "k", "t", 9, resources.Resources(4000, 1024))
        shards = [identifiers.ShardId("z1", 0), identifiers.ShardId("z2", 0)]
        capacities = jobsubmission.count_idle_capacity(
            CELL, rules.Rules(), gang, shards
        )
        self.assertEqual(list(capacities.values()), [4, 6])
