"""Shard ownership during failures of owners, workers and the table."""

import unittest

from returns import result

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import ownership
from persimmonpath import tables
from tests import fakes

SHARD = identifiers.ShardId("zone-a", 0)


class EpochTest(unittest.TestCase):
    """Epochs of claims through the table and by majority."""

    def test_table_and_majority_claims_never_share_an_epoch(self):
        for epoch in range(20):
            with_table = ownership.compute_table_claim_epoch(epoch)
            without = ownership.compute_majority_claim_epoch(epoch)
            self.assertEqual((with_table % 2, without % 2), (0, 1))
            self.assertGreater(min(with_table, without), epoch)


class ShardDirectoryTest(unittest.TestCase):
    """Claims and reconciliation of shard rows."""

    def setUp(self):
        self.table = fakes.FaultyTable(tables.create_memory_table())

    def create(self, vm):
        return ownership.ShardDirectory("zone-a", vm, f"{vm}-1", self.table)

    def test_claim_whose_answer_was_lost_is_recognised(self):
        directory = self.create("e0")
        self.table.loses_answers = True
        claimed = directory.claim(SHARD, 1, 0)
        self.assertEqual(claimed.unwrap().vm, "e0")

    def test_second_claimant_loses(self):
        one, two = self.create("e0"), self.create("e1")
        one.refresh()
        two.refresh()
        self.assertIsInstance(one.claim(SHARD, 1, 0), result.Success)
        error = two.claim(SHARD, 1, 0).failure()
        self.assertIsInstance(error, errors.TableConflictError)

    def test_older_ids_are_uncertain_after_a_worker_was_removed(self):
        """They may have run on that worker, which is no longer listed."""
        directory = self.create("e0")
        first = directory.claim(SHARD, 1, 0).unwrap()
        unaffected = directory.claim(SHARD, 2, 1).unwrap()
        self.assertEqual(unaffected.complete_since, first.epoch)
        removed = directory.claim(SHARD, 3, 3).unwrap()
        self.assertEqual(removed.complete_since, removed.epoch)

    def test_reconciliation_never_overwrites_a_higher_epoch(self):
        one, two = self.create("e0"), self.create("e1")
        two.claim(SHARD, 1, 0)
        two.claim(SHARD, 1, 0)
        stale = ownership.ShardRecord("e0", "e0-1", 3)
        self.assertIsInstance(one.reconcile(SHARD, stale), result.Failure)
        one.refresh()
        self.assertIsInstance(one.reconcile(SHARD, stale), result.Failure)
        self.assertEqual(one.find(SHARD).epoch, 4)


class OwnershipTestCase(unittest.TestCase):
    """A zone with three entry VMs, three workers and one shard."""

    def setUp(self):
        self.cell = fakes.FakeCell()
        for name in ("w0", "w1", "w2"):
            self.cell.add_worker(name)
        for name in ("e0", "e1", "e2"):
            self.cell.add_entry(name)
        self.cell.timers.advance(1.0)
        self.cell.import_inventory(shards=1)
        self.cell.timers.advance(5.0)
        (self.owner,) = self.cell.list_owners()[SHARD]

    @property
    def others(self):
        return [n for n in self.cell.entries if n != self.owner]

    def find_owned(self, name):
        return self.cell.entries[name].find_owned(SHARD)

    def list_new_owners(self):
        owners = self.cell.list_owners().get(SHARD, [])
        return [n for n in owners if n != self.owner]

    def wait_takeover(self, limit_s):
        waited = 0.0
        while not self.list_new_owners() and waited < limit_s:
            self.cell.timers.advance(0.5)
            waited += 0.5
        (owner,) = self.list_new_owners()
        return owner


class TakeoverTest(OwnershipTestCase):
    """Claims through the table."""

    def test_paused_owner_is_replaced_and_releases_the_shard_on_resume(self):
        self.cell.pause(self.owner)
        successor = self.wait_takeover(limit_s=8.0)
        self.assertEqual(self.find_owned(successor).fleet.epoch % 2, 0)
        self.cell.resume(self.owner)
        self.cell.timers.advance(6.0)
        self.assertEqual(self.cell.list_owners()[SHARD], [successor])

    def test_owner_keeps_its_shard_through_a_table_outage(self):
        self.cell.table.is_down = True
        self.cell.timers.advance(60.0)
        self.assertEqual(self.cell.list_owners()[SHARD], [self.owner])
        self.cell.table.is_down = False
        self.cell.timers.advance(10.0)
        self.assertEqual(self.cell.list_owners()[SHARD], [self.owner])
        self.assertEqual(self.find_owned(self.owner).fleet.epoch, 2)

    def test_shard_of_a_fenced_owner_is_claimed_again(self):
        """Its row still names a running process; claims must be possible."""
        self.find_owned(self.owner).fleet.mark_fenced()
        self.assertNotIn(SHARD, self.cell.list_owners())
        self.cell.timers.advance(4.0)
        self.assertIn(SHARD, self.cell.list_owners())

    def test_unreachable_worker_delays_a_takeover_but_does_not_stop_it(self):
        for name in self.others:
            self.cell.disconnect_workers(name, {"w0"})
        self.cell.pause(self.owner)
        successor = self.wait_takeover(limit_s=10.0)
        self.assertFalse(self.find_owned(successor).fleet.is_fully_listed())


class MajorityClaimTest(OwnershipTestCase):
    """Claims without the table, by a majority of the workers."""

    def test_peer_takes_over_in_an_odd_epoch_and_writes_the_row_later(self):
        self.cell.table.is_down = True
        self.cell.timers.advance(10.0)
        self.cell.pause(self.owner)
        successor = self.wait_takeover(limit_s=12.0)
        self.assertEqual(self.find_owned(successor).fleet.epoch, 3)
        self.cell.table.is_down = False
        self.cell.timers.advance(8.0)
        row = self.cell.entries[successor].members.get_directory("zone-a")
        self.assertEqual(row.find(SHARD).epoch, 3)
        self.assertEqual(row.find(SHARD).vm, successor)

    def test_others_find_the_owner_by_its_answers_to_probes(self):
        self.cell.table.is_down = True
        self.cell.timers.advance(10.0)
        self.cell.pause(self.owner)
        successor = self.wait_takeover(limit_s=12.0)
        self.cell.timers.advance(2.0)
        (other,) = [n for n in self.others if n != successor]
        address = self.cell.entries[other].find_owner_address(SHARD)
        self.assertEqual(address, f"{successor}:1")

    def test_claim_without_a_majority_of_the_workers_is_withdrawn(self):
        """Another VM may have the majority of workers in the same epoch."""
        for name in self.others:
            self.cell.disconnect_workers(name, {"w0", "w1"})
        self.cell.table.is_down = True
        self.cell.timers.advance(10.0)
        self.cell.pause(self.owner)
        self.cell.timers.advance(25.0)
        self.assertEqual(self.list_new_owners(), [])

    def test_vm_that_alone_lost_the_table_leaves_claims_to_peers(self):
        isolated, peer = self.others
        self.cell.tables[isolated].is_down = True
        self.cell.timers.advance(10.0)
        self.cell.pause(self.owner)
        self.assertEqual(self.wait_takeover(limit_s=12.0), peer)
        self.assertEqual(self.find_owned(peer).fleet.epoch % 2, 0)

    def test_isolated_vm_does_not_fence_the_owner(self):
        isolated = self.others[0]
        self.cell.tables[isolated].is_down = True
        for name in self.cell.entries:
            self.cell.network.cut(f"{isolated}:1", f"{name}:1")
        self.cell.timers.advance(60.0)
        self.assertEqual(self.cell.list_owners()[SHARD], [self.owner])

    def test_table_claim_supersedes_a_majority_claim(self):
        self.cell.table.is_down = True
        self.cell.timers.advance(10.0)
        self.cell.pause(self.owner)
        successor = self.wait_takeover(limit_s=12.0)
        self.cell.tables[successor].is_down = True
        self.cell.table.is_down = False
        self.cell.timers.advance(20.0)
        (owner,) = self.list_new_owners()
        self.assertNotEqual(owner, successor)
        self.assertEqual(self.find_owned(owner).fleet.epoch, 4)


class TransferTest(OwnershipTestCase):
    """Transfers of a shard to another entry VM."""

    def add_entries_until_transferred(self):
        """Adds entry VMs until one ranks first; returns the name of that VM."""
        for number in range(3, 40):
            self.cell.add_entry(f"e{number}")
            self.cell.timers.advance(20.0)
            if self.list_new_owners():
                return self.list_new_owners()[0]
        return self.fail("no added VM ranked first")

    def test_vm_that_joins_and_ranks_first_gets_the_shard(self):
        new_owner = self.add_entries_until_transferred()
        self.assertEqual(self.cell.list_owners()[SHARD], [new_owner])

    def test_request_in_flight_is_answered_by_the_old_owner(self):
        self.cell.set_run_time(30.0)
        future = self.cell.submit(self.owner, SHARD)
        self.cell.entries[self.owner].begin_leaving()
        self.cell.timers.advance(1.0)
        self.assertEqual(len(self.list_new_owners()), 1)
        self.assertEqual(self.cell.entries[self.owner].count_in_flight(), 1)
        self.cell.timers.advance(30.0)
        self.assertEqual(future.result(0).unwrap().answer, b"ok")
        self.assertEqual(self.cell.entries[self.owner].count_in_flight(), 0)
        self.assertEqual(self.cell.count_runs(), 1)

    def test_queued_request_is_forwarded_and_runs_once(self):
        self.cell.set_run_time(5.0)
        running = [self.cell.submit(self.owner, SHARD) for _ in range(24)]
        queued = self.cell.submit(self.owner, SHARD)
        self.cell.entries[self.owner].begin_leaving()
        self.cell.timers.advance(12.0)
        self.assertEqual(queued.result(0).unwrap().answer, b"ok")
        for future in running:
            self.assertEqual(future.result(0).unwrap().answer, b"ok")
        self.assertEqual(self.cell.count_runs(), 25)

    def test_request_received_during_the_transfer_is_answered(self):
        """The successor does not answer at first, so the transfer is slow."""
        entry = self.cell.entries[self.owner]
        self.cell.network.unanswered_pairs |= {
            (f"{self.owner}:1", f"{name}:1") for name in self.others
        }
        entry.begin_leaving()
        future = self.cell.submit(self.owner, SHARD)
        self.cell.timers.advance(0.2)
        self.cell.network.heal()
        self.cell.timers.advance(9.0)
        self.assertEqual(future.result(0).unwrap().answer, b"ok")

    def test_queue_of_a_fenced_owner_is_forwarded(self):
        self.cell.set_run_time(4.0)
        for _ in range(24):
            self.cell.submit(self.owner, SHARD)
        queued = self.cell.submit(self.owner, SHARD)
        self.find_owned(self.owner).fleet.mark_fenced()
        self.cell.timers.advance(20.0)
        self.assertEqual(queued.result(0).unwrap().answer, b"ok")

    def test_last_vm_serves_until_it_has_left(self):
        for name in self.others:
            self.cell.entries[name].finish_leaving()
        self.cell.timers.advance(5.0)
        entry = self.cell.entries[self.owner]
        entry.begin_leaving()
        future = self.cell.submit(self.owner, SHARD)
        self.cell.timers.advance(1.0)
        self.assertEqual(future.result(0).unwrap().answer, b"ok")

    def test_vm_listed_as_leaving_transfers_shards_and_claims_none(self):
        self.cell.mark_leaving(self.owner)
        self.cell.timers.advance(5.0)
        self.assertEqual(len(self.list_new_owners()), 1)
        self.assertNotIn(self.owner, self.cell.list_owners()[SHARD])
