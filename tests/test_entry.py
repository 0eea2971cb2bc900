"""Tests of the start, membership and shutdown of entry VMs."""

import unittest

from persimmonpath import identifiers
from persimmonpath import sessions
from tests import fakes

SHARD = identifiers.ShardId("zone-a", 0)


class EntryCase(unittest.TestCase):
    """Base of tests with two entry VMs and two workers in one shard."""

    def setUp(self):
        self.cell = fakes.FakeCell()
        for name in ("w0", "w1"):
            self.cell.add_worker(name)
        for name in ("e0", "e1"):
            self.cell.add_entry(name)
        self.cell.timers.advance(1.0)
        self.cell.import_inventory(shards=1)
        self.cell.timers.advance(8.0)
        (self.owner,) = self.cell.list_owners()[SHARD]
        (self.other,) = {"e0", "e1"} - {self.owner}


class StartDuringOutageTest(EntryCase):
    """Tests an entry VM that starts while the table is unavailable."""

    def setUp(self):
        super().setUp()
        self.cell.table.is_down = True
        self.late_entry = self.cell.add_entry("e2")
        self.cell.timers.advance(2.0)

    def test_vm_serves_with_the_configuration_of_its_peers(self):
        self.assertEqual(self.late_entry.applied.config.version, 1)
        self.assertTrue(self.late_entry.is_ready())
        self.assertEqual(
            self.late_entry.find_owner_address(SHARD), f"{self.owner}:1"
        )

    def test_vm_stops_serving_when_no_peer_confirms_its_configuration(self):
        for name in ("e0", "e1"):
            self.cell.network.cut("e2:1", f"{name}:1")
        self.cell.timers.advance(3.5)
        self.assertFalse(self.late_entry.may_serve())
        self.assertIsNone(self.late_entry.find_owner_address(SHARD))

    def test_vm_without_platform_and_peers_serves_nothing(self):
        isolated = self.cell.add_entry("e3", "zone-b")
        self.cell.timers.advance(10.0)
        self.assertFalse(isolated.is_ready())

    def test_vm_without_a_session_claims_nothing(self):
        self.cell.pause(self.owner)
        self.cell.pause(self.other)
        self.cell.timers.advance(60.0)
        self.assertEqual(self.late_entry.list_owned(), [])

    def test_session_is_registered_once_the_platform_is_back(self):
        self.cell.table.is_down = False
        self.cell.timers.advance(2.0)
        self.assertTrue(self.late_entry.session.is_live())


class MembershipTest(EntryCase):
    """Tests probes, table reads, stale rows and leaving workers."""

    def test_healthy_cell_sends_no_probes(self):
        calls = []
        network = self.cell.network
        network.entries = _RecordingDict(network.entries, calls)
        self.cell.timers.advance(30.0)
        self.assertEqual(calls, [])

    def test_reads_do_not_grow_with_the_number_of_vms(self):
        before = self.cell.tables["e0"].reads
        self.cell.timers.advance(60.0)
        reads_with_few_vms = self.cell.tables["e0"].reads - before
        for number in range(2, 8):
            self.cell.add_entry(f"e{number}")
        self.cell.timers.advance(60.0)
        before = self.cell.tables["e0"].reads
        self.cell.timers.advance(60.0)
        self.assertLessEqual(
            self.cell.tables["e0"].reads - before, reads_with_few_vms
        )

    def test_rows_of_replaced_vms_are_deleted(self):
        """Without deletion, scans grow with every VM that was ever replaced."""
        self.cell.pause(self.other)
        self.cell.machines.mark(self.other, None)
        self.cell.timers.advance(700.0)
        key = sessions.format_key("zone-a", self.other)
        self.assertIsNone(self.cell.store.get(key).unwrap())

    def test_worker_listed_as_leaving_gets_no_new_work(self):
        self.cell.mark_leaving("w0")
        self.cell.timers.advance(2.5)
        owned = self.cell.entries[self.owner].find_owned(SHARD)
        self.assertEqual(owned.fleet.count_free_slots(), 8)

    def test_drained_worker_gets_no_new_work(self):
        self.cell.import_inventory(shards=1, draining=["w0"])
        self.cell.timers.advance(2.0)
        owned = self.cell.entries[self.owner].find_owned(SHARD)
        self.assertEqual(owned.fleet.count_free_slots(), 8)

    def test_task_on_a_removed_worker_survives_a_takeover(self):
        self.cell.set_run_time(60.0)
        for _ in range(16):
            self.cell.submit(self.owner, SHARD, 300.0)
        self.cell.workers.pop("w1")
        removed = self.cell.clients[self.owner, "w1"].worker
        running = removed.list_running()
        self.assertTrue(running)
        self.cell.import_inventory(shards=1)
        self.cell.workers["w1"] = removed
        self.cell.timers.advance(4.0)
        self.cell.entries[self.owner].begin_leaving()
        self.cell.timers.advance(40.0)
        self.assertEqual(removed.list_running(), running)


class AddedWorkerTest(EntryCase):
    """Tests workers that are added while the owner is paused."""

    def test_owner_unaware_of_its_lost_shard_uses_no_new_worker(self):
        """The shard's new owner would not list the tasks on that worker."""
        entry = self.cell.entries[self.owner]
        self.cell.pause(self.owner)
        self.cell.timers.advance(10.0)
        self.assertIsNotNone(self.cell.entries[self.other].find_owned(SHARD))
        self.cell.add_worker("w2")
        self.cell.resume(self.owner)
        entry.refresh_config()
        entry.commit_config(
            1,
            "operator",
            entry.applied.config.inventory.model_copy(
                update={
                    "workers": (
                        *entry.applied.config.inventory.workers,
                        entry.applied.config.inventory.workers[0].model_copy(
                            update={"name": "w2"}
                        ),
                    )
                }
            ),
            entry.applied.config.rules,
        ).unwrap()
        self.assertNotIn((self.owner, "w2"), self.cell.clients)
        self.assertEqual(entry.list_owned(), [])


class _RecordingDict(dict):
    """Records the keys that are looked up with `get`."""

    def __init__(self, entries, calls):
        super().__init__(entries)
        self._calls = calls

    def get(self, key, default=None):
        self._calls.append(key)
        return super().get(key, default)
