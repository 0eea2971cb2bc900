"""What a new owner knows of the time before it."""

import unittest

import msgspec

from persimmonpath_entry.engine import advising
from persimmonpath_entry.engine import ledger as ledgers
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import sightings
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from tests.entry import fakes

WORKERS = {"w1": "127.0.0.1:9", "w2": "127.0.0.1:10"}
HOLD_S = 6.0


class StoreClockTest(unittest.TestCase):
    def test_a_time_that_went_over_the_store_never_comes_out_earlier(self):
        """A new owner that counts too short starts a task a second time."""
        writer = platform_store.StoreClock(5000.0, 10.0, 10.4)
        reader = platform_store.StoreClock(5200.0, 70.0, 70.3)
        # The store showed 5000 at the writer's 10.0 to 10.4, and 5200 at the
        # reader's 70.0 to 70.3: the writer's 12.0 is at most the reader's 72.1.
        found = reader.convert_to_local(writer.bound_ms(12.0))
        self.assertGreaterEqual(found, 72.1)


class LeaseBoundTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = fakes.FakeStore()
        self.node = fakes.make_context(self.store)
        peers = members.Members(self.node)
        advisor = advising.Advisor(self.node, peers)
        self.ownership = owners.Ownership(self.node, peers, advisor)
        self.sightings = self.ownership._sightings
        self.now = clock.read_clock()
        self.store.clock = platform_store.StoreClock(
            90_000.0, self.now, self.now
        )

    def bound(self, changed_at, **fields):
        record = ledgers.OwnerRecord(
            owner="vm-2", boot="x", workers=WORKERS, **fields
        )
        sighting = sightings.Sighting(record, 11, changed_at)
        return self.sightings.bound_leases(record, sighting)

    async def test_a_lease_ends_counted_from_the_last_renewal(self):
        """A VM that reads the row late doesn't count from its reading."""
        bounds = self.bound(self.now, renewed_ms=80_000)
        # Renewed 10 s ago, extended for 3 s after that.
        expected = self.now - 10 + ledgers.HOLD_S + HOLD_S
        for bound in bounds.values():
            self.assertGreaterEqual(bound, expected)
            self.assertLess(bound, expected + 1.0)

    async def test_the_stored_end_of_a_silent_worker_holds(self):
        bounds = self.bound(
            self.now, renewed_ms=90_000, lease_ends={"w2": 91_000}
        )
        self.assertLess(bounds["w2"], self.now + 2)
        self.assertGreater(bounds["w1"], self.now + HOLD_S)

    async def test_a_row_without_a_reading_counts_from_its_sight(self):
        bounds = self.bound(self.now - 1)
        expected = self.now - 1 + ledgers.HOLD_S + HOLD_S
        self.assertGreaterEqual(min(bounds.values()), expected)

    async def test_a_process_that_stops_takes_no_service(self):
        """It took one half a second before it ended, and nobody owned it."""
        self.node.is_stopping = True
        await self.ownership._take(fakes.SERVICE, None)
        self.assertEqual(self.store.commits, [])

    async def test_a_row_read_late_isn_t_taken_for_a_fresh_one(self):
        """A VM that started during an outage waited for a dead owner."""
        record = ledgers.OwnerRecord(owner="vm-2", renewed_ms=80_000)
        row = platform_store.Row(
            ledgers.OWNER_TABLE,
            fakes.SERVICE,
            ledgers.OWNER_KEY,
            msgspec.json.encode(record),
            11,
        )
        self.sightings._see(row, self.now)
        sighting = self.sightings.rows[fakes.SERVICE]
        self.assertAlmostEqual(sighting.changed_at, self.now - 10, places=1)

    async def test_an_owner_that_lives_comes_first_after_an_outage(self):
        """Nothing was gained by taking over from it, and work was held up."""
        record = ledgers.OwnerRecord(owner="vm-2", boot="x", address="a:1")
        sighting = sightings.Sighting(record, 11, self.now - 60)
        self.ownership._peers.call = self.answer_boot
        self.sightings._current_since = clock.read_clock()
        self.assertFalse(await self.sightings.is_vacant(sighting))
        self.sightings._current_since -= sightings.OWNER_FIRST_S
        self.assertTrue(await self.sightings.is_vacant(sighting))

    async def answer_boot(self, *arguments, **options):
        return httpclient.Response(200, b"x")

    async def refuse(self, *arguments, **options):
        return httpclient.NoResponse(False, "refused")

    async def test_an_owner_that_has_ended_is_replaced_at_once(self):
        """Its work stood still for a second until its silence told."""
        record = ledgers.OwnerRecord(owner="vm-2", boot="x", address="a:1")
        sighting = sightings.Sighting(record, 11, clock.read_clock())
        self.sightings.rows[fakes.SERVICE] = sighting
        self.ownership._peers.call = self.refuse
        is_vacant = self.sightings.is_vacant
        self.assertFalse(await is_vacant(sighting))
        self.ownership._note_end(fakes.SERVICE)
        self.assertTrue(await is_vacant(sighting))

    async def test_a_connection_that_broke_is_no_end(self):
        record = ledgers.OwnerRecord(owner="vm-2", boot="x", address="a:1")
        sighting = sightings.Sighting(record, 11, clock.read_clock())
        self.sightings.rows[fakes.SERVICE] = sighting
        self.ownership._peers.call = self.answer_boot
        self.ownership._note_end(fakes.SERVICE)
        is_vacant = self.sightings.is_vacant
        self.assertFalse(await is_vacant(sighting))
        self.assertFalse(sighting.has_ended)

    async def test_a_weak_vm_lets_stronger_ones_come_first(self):
        """Its link took 3 s to read what the owner has to know."""
        self.ownership._peers.own_weight = 0.05
        peer = members.MemberRecord("b:1", "z1", "y", 2.0)
        self.ownership._peers._records["vm-3"] = peer
        delay_s = self.ownership._choose_delay(fakes.SERVICE)
        self.assertGreaterEqual(delay_s, owners.OUTDONE_DELAY_S)
        self.ownership._peers.own_weight = 2.0
        delay_s = self.ownership._choose_delay(fakes.SERVICE)
        self.assertLess(delay_s, owners.OUTDONE_DELAY_S)
