"""Tests of takeovers and of the ends of a former owner's leases."""

import asyncio
import unittest

import msgspec

from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownerdirectory
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from tests.entry import fakes

WORKERS = ["w1", "w2"]
HOLD_S = 6.0


class StoreClockTest(unittest.TestCase):
    def test_a_time_converted_through_the_store_clock_is_never_earlier(self):
        """If a lease seems to end too early, a task runs twice."""
        writer = platform_store.StoreClock(5000.0, 10.0, 10.4)
        reader = platform_store.StoreClock(5200.0, 70.0, 70.3)
        # The store's clock read 5000 ms at 10.0 to 10.4 s of the writer's clock
        # and 5200 ms at 70.0 to 70.3 s of the reader's clock. So the writer's
        # 12.0 s is at most 72.1 s on the reader's clock.
        found = reader.convert_to_local(writer.bound_ms(12.0))
        self.assertGreaterEqual(found, 72.1)


class LeaseBoundTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = fakes.FakeStore()
        self.node = fakes.make_context(self.store)
        peers = members.Members(self.node)
        advisor = advicebalancer.AdviceBalancer(self.node, peers)
        self.ownership = owners.Ownership(self.node, peers, advisor)
        self.directory = self.ownership._directory
        self.now = clock.read_clock()
        self.store.clock = platform_store.StoreClock(
            90_000.0, self.now, self.now
        )

    def bound_lease_ends(self, renewed_at, renewed_ms=0, lease_ends=()):
        record = ownerrows.OwnerRecord("vm-2", "x", renewed_ms=renewed_ms)
        workers = ownerrows.WorkersRecord(WORKERS, lease_ends=dict(lease_ends))
        observed = ownerdirectory.ObservedOwner(record, 11, renewed_at)
        return self.directory.bound_lease_ends(record, workers, observed)

    async def test_lease_ends_count_from_the_last_renewal(self):
        """The bound doesn't count from when a VM reads the row."""
        lease_ends = self.bound_lease_ends(self.now, renewed_ms=80_000)
        # Renewed 10 s ago, extended for 3 s after that.
        expected = self.now - 10 + persistence.HOLD_S + HOLD_S
        for lease_end in lease_ends.values():
            self.assertGreaterEqual(lease_end, expected)
            self.assertLess(lease_end, expected + 1.0)

    async def test_the_stored_lease_end_of_an_unresponsive_worker_is_used(self):
        lease_ends = self.bound_lease_ends(
            self.now, renewed_ms=90_000, lease_ends={"w2": 91_000}
        )
        self.assertLess(lease_ends["w2"], self.now + 2)
        self.assertGreater(lease_ends["w1"], self.now + HOLD_S)

    async def test_a_row_without_a_store_time_counts_from_its_read(self):
        lease_ends = self.bound_lease_ends(self.now - 1)
        expected = self.now - 1 + persistence.HOLD_S + HOLD_S
        self.assertGreaterEqual(min(lease_ends.values()), expected)

    async def test_a_stopping_process_takes_over_no_service(self):
        """A process took a service over half a second before it exited.

        The service then had no owner.
        """
        self.node.is_stopping = True
        await self.ownership._take_over(fakes.SERVICE, None)
        self.assertEqual(self.store.commits, [])

    async def test_a_row_read_late_doesn_t_count_as_just_renewed(self):
        """A VM that started during an outage waited for a failed owner.

        It counted the renewal from when it read the row.
        """
        record = ownerrows.OwnerRecord(owner="vm-2", renewed_ms=80_000)
        row = platform_store.Row(
            ownerrows.OWNER_TABLE,
            fakes.SERVICE,
            ownerrows.OWNER_KEY,
            msgspec.json.encode(record),
            11,
        )
        self.directory._apply_row(row, self.now)
        observed = self.directory.observed_owners[fakes.SERVICE]
        self.assertAlmostEqual(observed.renewed_at, self.now - 10, places=1)

    async def test_a_reachable_owner_keeps_its_service_after_an_outage(self):
        """Taking over from a reachable owner only delayed its work."""
        record = ownerrows.OwnerRecord(owner="vm-2", boot="x", address="a:1")
        observed = ownerdirectory.ObservedOwner(record, 11, self.now - 60)
        self.ownership._peers.call = self.answer_boot
        self.directory._current_since = clock.read_clock()
        self.assertFalse(await self.directory.may_take_over(observed))
        self.directory._current_since -= ownerdirectory.OUTAGE_GRACE_S
        self.assertTrue(await self.directory.may_take_over(observed))

    async def answer_boot(self, *arguments, **options):
        return httpclient.Response(200, b"x")

    async def refuse_connection(self, *arguments, **options):
        return httpclient.NoResponse(False, "refused")

    async def test_an_exited_owner_is_replaced_at_once(self):
        """A service stopped for a second, until its owner counted as failed."""
        record = ownerrows.OwnerRecord(owner="vm-2", boot="x", address="a:1")
        observed = ownerdirectory.ObservedOwner(record, 11, clock.read_clock())
        self.directory.observed_owners[fakes.SERVICE] = observed
        self.ownership._peers.call = self.refuse_connection
        may_take_over = self.directory.may_take_over
        self.assertFalse(await may_take_over(observed))
        self.ownership._handle_exit(fakes.SERVICE)
        self.assertTrue(await may_take_over(observed))

    async def test_a_broken_connection_alone_is_no_exit(self):
        record = ownerrows.OwnerRecord(owner="vm-2", boot="x", address="a:1")
        observed = ownerdirectory.ObservedOwner(record, 11, clock.read_clock())
        self.directory.observed_owners[fakes.SERVICE] = observed
        self.ownership._peers.call = self.answer_boot
        self.ownership._handle_exit(fakes.SERVICE)
        may_take_over = self.directory.may_take_over
        self.assertFalse(await may_take_over(observed))
        self.assertFalse(observed.has_exited)

    async def test_a_weak_vm_delays_its_takeover_for_stronger_ones(self):
        """A VM with a narrow link took 3 s to load the submissions."""
        self.ownership._peers.own_weight = 0.05
        peer = members.MemberRecord("b:1", "z1", "y", 2.0)
        self.ownership._peers._records["vm-3"] = peer
        delay_s = self.ownership._choose_takeover_delay(fakes.SERVICE)
        self.assertGreaterEqual(delay_s, owners.WEAK_VM_DELAY_S)
        self.ownership._peers.own_weight = 2.0
        delay_s = self.ownership._choose_takeover_delay(fakes.SERVICE)
        self.assertLess(delay_s, owners.WEAK_VM_DELAY_S)


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    """Covers a store that is back after an outage, with VMs of unlike sizes."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.node = fakes.make_context(self.store)
        self.peers = members.Members(self.node)
        advisor = advicebalancer.AdviceBalancer(self.node, self.peers)
        self.ownership = owners.Ownership(self.node, self.peers, advisor)
        self.peers.own_weight = 0.05
        self.peers._records["vm-2"] = members.MemberRecord(
            "b:1", "z1", "y", 2.0
        )
        self.calls = []
        self.store_status = 200

        async def call(address, method, target, *arguments, **options):
            self.calls.append((address, target))
            return httpclient.Response(self.store_status, b"")

        self.peers.call = call

    async def test_a_weak_vm_leaves_it_to_a_strong_one(self):
        """Weak VMs took a service over from one another for six seconds.

        None of them could load it within its lease (trouble-3 of the grown
        tender).
        """
        self.assertTrue(
            await self.ownership._defer_to_stronger_vm(fakes.SERVICE)
        )
        self.assertIn(("b:1", "/peer/owners-changed"), self.calls)

    async def test_a_weak_vm_acts_if_strong_ones_don_t_reach_the_store(self):
        self.store_status = 503
        self.assertFalse(
            await self.ownership._defer_to_stronger_vm(fakes.SERVICE)
        )

    async def test_a_weak_vm_waits_for_a_strong_one_for_a_limited_time(self):
        """The service must not stay without an owner if that one never acts."""
        self.ownership._deferred_since[fakes.SERVICE] = (
            clock.read_clock() - owners.MAX_DEFERRAL_S - 1
        )
        self.assertFalse(
            await self.ownership._defer_to_stronger_vm(fakes.SERVICE)
        )

    async def test_refused_takeovers_are_spaced(self):
        """During an outage the candidates called the store hundreds of times.

        A store that is away refuses at once.
        """
        self.store.outcomes = [platform_store.Refused(503)] * 100
        for _ in range(2):
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(owners.RETRY_S / 2):
                    await self.ownership._take_over(fakes.SERVICE, None)
        self.assertEqual(len(self.store.commits), 2)

    async def test_a_service_that_comes_back_is_taken_over(self):
        """Its row was never read, as it wasn't configured at that time.

        The VM took it for a service without a row, was refused, and tried again
        at once, for good.
        """
        self.store = fakes.VersionedStore()
        self.node.store = self.store
        row = (fakes.SERVICE, ownerrows.OWNER_KEY)
        released = msgspec.json.encode(ownerrows.OwnerRecord(horizon=7))
        self.store.rows[ownerrows.OWNER_TABLE, *row] = (40, released)
        self.store.version = 40
        directory = self.ownership._directory
        observed = directory.observed_owners
        await self.ownership._take_over(fakes.SERVICE, None)
        self.assertEqual(observed[fakes.SERVICE].version, 40)
        await self.ownership._take_over(fakes.SERVICE, observed[fakes.SERVICE])
        shard = self.ownership.shards[fakes.SERVICE]
        shard.close("the test needs only its state")
        self.assertEqual(shard.fence, 41)
        self.assertEqual(shard.former_horizon, 7)

    async def test_a_conflict_that_shows_nothing_new_is_followed_by_a_pause(
        self,
    ):
        """The store was called eight to fourteen times a second."""
        self.store.outcomes = [platform_store.Conflict([])] * 100
        for _ in range(2):
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(owners.RETRY_S / 2):
                    await self.ownership._take_over(fakes.SERVICE, None)
        self.assertEqual(len(self.store.commits), 2)

    async def test_a_takeover_without_the_workers_row_fails(self):
        """The new owner wouldn't know which workers may run tasks."""
        self.store.row = platform_store.Refused(503)
        await self.ownership._take_over(fakes.SERVICE, None)
        self.assertEqual(self.store.commits, [])
        self.assertEqual(self.ownership.shards, {})

    async def test_an_unreadable_workers_row_may_name_any_worker(self):
        """No task of a former owner starts before every lease has ended.

        Without a takeover the service would have no owner for good.
        """
        unreadable = platform_store.Row(
            ownerrows.WORKERS_TABLE,
            fakes.SERVICE,
            ownerrows.WORKERS_KEY,
            b"[",
            11,
        )
        self.store.row = platform_store.Rows([unreadable], 11)
        self.store.outcomes = [platform_store.Committed(12)]
        now = clock.read_clock()
        await self.ownership._take_over(fakes.SERVICE, None)
        shard = self.ownership.shards[fakes.SERVICE]
        shard.close("the test needs only its state")
        (until,) = shard.former_runs.unsettled.values()
        lease_s = self.ownership._node.settings.bounds.hold_max_ms / 1000
        self.assertGreater(until, now + lease_s)
        shard.apply_submission("00000000000000aa", fakes.make_record())
        submission = shard.submissions["00000000000000aa"]
        task = submission.find_task("0.0.0")
        self.assertTrue(shard.may_run_elsewhere(task))
        maintenance = shardmaintenance.ShardMaintenance(shard, None)
        maintenance._expire_unsettled(until - 0.1)
        self.assertTrue(shard.may_run_elsewhere(task))
        maintenance._expire_unsettled(until + 0.1)
        self.assertFalse(shard.may_run_elsewhere(task))

    async def test_a_weak_vm_asks_nobody_if_there_is_an_owner_already(self):
        """After a start 97 VMs called the strongest ones at the same moment."""
        record = ownerrows.OwnerRecord(owner="vm-2", boot="x", address="b:1")

        async def refresh():
            observed = ownerdirectory.ObservedOwner(
                record, 11, clock.read_clock()
            )
            observed.was_probed = True
            self.ownership._directory.observed_owners[fakes.SERVICE] = observed

        self.ownership._directory.refresh = refresh
        await self.ownership._act_as_candidate(fakes.SERVICE)
        self.assertEqual(self.calls, [])
        self.assertEqual(self.store.commits, [])
