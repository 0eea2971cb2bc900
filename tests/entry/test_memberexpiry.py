"""Tests of the removal of VMs that are lost for good."""

import unittest

from persimmonpath_entry.decisions import memberexpiry as decisions
from persimmonpath_entry.engine import memberexpiry
from persimmonpath_entry.engine import members
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from tests.entry import fakes

NOW = 1000.0


def make_records(**zones):
    """Returns the records of VMs, by name and zone, with a probe due now."""
    return {
        name: decisions.ProbeRecord(zone, NOW) for name, zone in zones.items()
    }


def probe(records, name, answers, start, until):
    """Records the probes of a VM that are due in a time."""
    while records[name].next_probe_at <= until:
        records[name].record(answers, max(start, records[name].next_probe_at))


class LostVmTest(unittest.TestCase):
    """Dozens of VMs a day are lost without removing their rows."""

    def test_a_vm_is_lost_after_some_time_only(self):
        """A frozen or restarted VM is back after seconds."""
        records = make_records(a="z1", b="z1")
        end = NOW + decisions.LOST_AFTER_S
        probe(records, "a", False, NOW, end)
        probe(records, "b", True, NOW, end)
        self.assertFalse(decisions.is_lost(records, "a", "z2", end - 1))
        self.assertTrue(decisions.is_lost(records, "a", "z2", end))
        self.assertFalse(decisions.is_lost(records, "b", "z2", end))

    def test_one_answer_begins_the_time_anew(self):
        records = make_records(a="z1", b="z1")
        end = NOW + decisions.LOST_AFTER_S
        probe(records, "a", False, NOW, end)
        records["a"].record(True, end)
        self.assertFalse(decisions.is_lost(records, "a", "z1", end + 100))

    def test_the_vms_of_a_zone_that_is_cut_off_are_kept(self):
        """All of them would have to register again when it is back."""
        records = make_records(a="z1", b="z1", c="z2")
        end = NOW + 300
        for name in ("a", "b"):
            probe(records, name, False, NOW, end)
        probe(records, "c", True, NOW, end)
        self.assertFalse(decisions.is_lost(records, "a", "z2", end))

    def test_a_vm_of_the_own_zone_needs_no_other_that_answers(self):
        records = make_records(a="z1")
        end = NOW + decisions.LOST_AFTER_S
        probe(records, "a", False, NOW, end)
        self.assertTrue(decisions.is_lost(records, "a", "z1", end))

    def test_a_zone_that_is_gone_for_good_is_removed_at_last(self):
        records = make_records(a="z1")
        end = NOW + decisions.LOST_WITH_ZONE_AFTER_S
        probe(records, "a", False, NOW, end)
        self.assertTrue(decisions.is_lost(records, "a", "z2", end))

    def test_probes_are_few_however_many_vms_there_are(self):
        """Each VM is probed once a period, by one VM for all."""
        records = make_records(**{f"vm{n}": "z1" for n in range(300)})
        end = NOW + 2 * decisions.PROBE_PERIOD_S
        probes = 0
        for step in range(int((end - NOW) * 10)):
            now = NOW + step / 10
            name = decisions.choose_probe(records, now)
            if name is not None:
                records[name].record(True, now)
                probes += 1
        self.assertLessEqual(probes, 600)


class FakeOwnership:
    def __init__(self, shard):
        self.shard = shard

    def find_coordinating_shard(self):
        return self.shard


class MemberExpiryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = fakes.FakeStore([platform_store.Committed(20)])
        self.node = fakes.make_context(self.store)
        self.members = members.Members(self.node)
        for name in ("vm-1", "vm-2"):
            self.members._apply_row(self.make_row(name))
        self.shard = fakes.make_shard(self.node)
        self.expiry = memberexpiry.MemberExpiry(
            self.node, self.members, FakeOwnership(self.shard)
        )

        async def call(address, method, target, *arguments, **options):
            return httpclient.NoResponse(False, "unreachable")

        self.members.call = call

    def make_row(self, name, version=7, is_deleted=False):
        value = b'{"address":"127.0.0.1:9","zone":"z1","boot":"x"}'
        return platform_store.Row(
            members.VM_TABLE, "", name, value, version, is_deleted
        )

    async def probe_until_lost(self):
        self.expiry._follow_members(clock.read_clock())
        record = self.expiry._records["vm-2"]
        record.failures = decisions.LOST_PROBES
        record.failing_since = clock.read_clock() - decisions.LOST_AFTER_S
        record.next_probe_at = 0.0
        await self.expiry._probe_next()

    async def test_the_row_of_a_lost_vm_is_removed(self):
        """Every VM called lost ones again every two seconds."""
        await self.probe_until_lost()
        _, expect, put, remove = self.store.commits[0]
        self.assertEqual(expect, [(members.VM_TABLE, "vm-2", 7)])
        self.assertEqual(put, [])
        self.assertEqual(remove, [(members.VM_TABLE, "vm-2")])

    async def test_a_replaced_coordinator_removes_nothing(self):
        self.shard.lease_until = 0.0
        await self.probe_until_lost()
        self.assertEqual(self.store.commits, [])

    async def test_the_own_row_is_never_probed(self):
        self.expiry._follow_members(NOW)
        self.assertEqual(list(self.expiry._records), ["vm-2"])

    async def test_a_vm_whose_row_was_removed_registers_again(self):
        """It was cut off for long and is back."""
        self.members._is_registered = True
        self.members._apply_row(self.make_row("vm-1", 9, is_deleted=True))
        self.assertFalse(self.members._is_registered)
