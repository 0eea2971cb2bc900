"""Tests of the row of shares, with writes that are lost or applied late."""

import asyncio
import random
import types
import unittest
from unittest import mock

import msgspec

from persimmonpath import resources
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import quotaledger
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import tenants
from tests.entry import fakes

SERVICES = ("s-1", "s-2", "s-3")
TENANT = "t-1"
KEY = (quotaledger.TABLE, quotaledger.PART, quotaledger.KEY)
TASK = submissions.StepSpec(count=1, cpu=10, memory_mb=1)


class ChaosStore(fakes.VersionedStore):
    """A store whose answers are held back until they are released.

    Attributes:
      held: transactions that have been sent, each with the future of its
        answer.
      late: transactions whose callers have given up and that may be applied.
    """

    def __init__(self):
        super().__init__()
        self.held = []
        self.late = []
        self.is_holding = False

    async def commit(self, part, expect, put, remove=(), timeout_s=1.0):
        """Applies a transaction, or holds it back."""
        if not self.is_holding:
            return self.apply(part, expect, put, remove)
        answer = asyncio.get_running_loop().create_future()
        self.held.append(((part, expect, put, remove), answer))
        return await answer

    def release(self, index, how):
        """Settles a transaction that is held back.

        Args:
          index: its place in `held`.
          how: "apply", "refuse", "lose" for one without an answer that isn't
            applied yet, or "lose applied".
        """
        transaction, answer = self.held.pop(index)
        if how == "apply":
            answer.set_result(self.apply(*transaction))
        elif how == "refuse":
            answer.set_result(platform_store.Refused(503))
        else:
            if how == "lose applied":
                self.apply(*transaction)
            else:
                self.late.append(transaction)
            answer.set_result(platform_store.Unknown("timeout"))

    def read_quota(self):
        """Returns the row of the shares."""
        version, value = self.find(*KEY)
        return platform_store.Row(*KEY, value, version)


class Owner:
    """An owner of a service that starts tasks of one tenant."""

    def __init__(self, store, service, fence, version, limit, running=0):
        self.node = fakes.make_context(store)
        self.shard = shards.Shard(self.node, service, fence, {})
        self.shard.is_loaded = True
        self.usage = self.shard.tenant_usage
        self.ledger = quotaledger.QuotaLedger(self.shard)
        self.running = []
        self.wanted = 0
        self.now = 0.0
        self.task = None
        self.set_limit(version, limit)
        for _ in range(running):
            self.add_run()

    def set_limit(self, version, limit):
        """Has the owner know a version of the configuration."""
        self.node.configuration = configuration.Configuration(
            version,
            [],
            [configuration.Service(name, False) for name in SERVICES],
            1000,
            {TENANT: tenants.Tenant(TENANT, 1, limit)},
        )

    def add_run(self):
        record = types.SimpleNamespace(tenant=TENANT)
        step = types.SimpleNamespace(
            submission=types.SimpleNamespace(record=record)
        )
        run = types.SimpleNamespace(
            task=types.SimpleNamespace(step=step), spec=TASK
        )
        self.running.append(run)
        self.usage.add_run(run)

    def end_run(self):
        self.usage.remove_run(self.running.pop())

    def start(self):
        """Starts what it wants and may; returns how many tasks."""
        self.usage.refresh()
        self.note_lack()
        if self.ledger._record is not None:
            self.ledger.update_allowances()
        count = self.usage.count_startable(TENANT, TASK, self.wanted)
        for _ in range(count):
            self.add_run()
        self.wanted -= count
        self.note_lack()
        return count

    def note_lack(self):
        """Records what has found no room, like a plan."""
        self.usage._last_lacking.clear()
        if self.wanted:
            lacking = resources.Resources(
                TASK.cpu * self.wanted, TASK.memory_mb * self.wanted
            )
            self.usage._last_lacking[TENANT] = (lacking, self.now)

    def read(self):
        """Reads the row as it is stored."""
        row = self.node.store.read_quota()
        self.ledger._apply_rows([row] if row.version else [], is_whole=True)

    async def examine(self):
        self.now += 0.35
        self.note_lack()
        await self.ledger.examine(self.now)

    def begin_examining(self):
        if self.task is None or self.task.done():
            if self.task is not None:
                self.task.result()
            self.task = asyncio.get_running_loop().create_task(self.examine())


class LedgerTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        patch = mock.patch.object(quotaledger, "MAX_CONFLICT_PAUSE_S", 0)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = ChaosStore()
        self.limit = tenants.TenantLimit(cpu=1200, memory_mb=200)

    def make_owner(self, service="s-1", fence=5, **changes):
        return Owner(self.store, service, fence, 1, self.limit, **changes)

    async def claim(self, *owners):
        for owner in owners:
            owner.read()
            await owner.examine()

    def read_record(self):
        return msgspec.json.decode(
            self.store.find(*KEY)[1], type=quotaledger.SharesRecord
        )


class LedgerTest(LedgerTestCase):
    async def test_nothing_starts_before_the_share_is_claimed(self):
        """Another owner may hold more than an equal part."""
        owner = self.make_owner()
        owner.wanted = 100
        self.assertEqual(owner.start(), 0)
        owner.read()
        self.assertEqual(owner.start(), 0)
        await owner.examine()
        self.assertEqual(owner.start(), 40)

    async def test_a_share_moves_to_the_owner_with_demand(self):
        first, second = self.make_owner(), self.make_owner("s-2")
        await self.claim(first, second)
        first.wanted = 100
        for _ in range(4):
            first.start()
            for owner in (first, second):
                owner.read()
                await owner.examine()
        self.assertGreaterEqual(len(first.running), 100)

    async def test_a_lowered_share_holds_before_its_write_is_answered(self):
        first, second = self.make_owner(), self.make_owner("s-2")
        await self.claim(first, second)
        second.wanted = 120
        second.start()
        await second.examine()
        second.read()
        await second.examine()
        first.read()
        self.store.is_holding = True
        first.begin_examining()
        await asyncio.sleep(0)
        self.store.release(0, "lose applied")
        await first.task
        second.read()
        self.store.is_holding = False
        await second.examine()
        second.start()
        first.wanted = 100
        first.note_lack()
        first.ledger.update_allowances()
        first.start()
        self.assertLessEqual(len(first.running) + len(second.running), 120)
        self.assertGreater(len(second.running), 80)

    async def test_a_raise_without_an_answer_is_not_used(self):
        owner = self.make_owner()
        await self.claim(owner)
        owner.wanted = 100
        owner.start()
        self.store.is_holding = True
        owner.begin_examining()
        await asyncio.sleep(0)
        self.store.release(0, "lose")
        await owner.task
        self.assertEqual(owner.start(), 0)
        # Read again at the same version, it may still be applied.
        owner.read()
        self.assertEqual(owner.start(), 0)
        self.store.apply(*self.store.late.pop())
        owner.read()
        self.assertGreater(owner.start(), 0)

    async def test_a_new_owner_inherits_the_share_and_fences_the_former(self):
        """The former one would lower the share while the new one uses it."""
        former, other = self.make_owner(), self.make_owner("s-2")
        await self.claim(former, other)
        former.wanted = 40
        former.start()
        new = self.make_owner(fence=9, running=40)
        await self.claim(new)
        new.wanted = 5
        new.start()
        self.assertEqual(len(new.running), 40)
        other.wanted = 100
        other.start()
        await other.examine()
        former.read()
        while former.running:
            former.end_run()
        before = self.store.version
        await former.examine()
        self.assertEqual(self.store.version, before)
        self.assertEqual(former.start(), 0)

    async def test_a_lowered_limit_holds_at_once(self):
        """What runs elsewhere within the former shares counts."""
        owners = [self.make_owner(name) for name in SERVICES]
        await self.claim(*owners)
        owners[0].wanted = 25
        owners[0].start()
        for owner in owners:
            owner.set_limit(2, tenants.TenantLimit(cpu=300, memory_mb=200))
            owner.wanted = 100
        for _ in range(6):
            for owner in owners:
                owner.read()
                owner.start()
                running = sum(len(each.running) for each in owners)
                self.assertLessEqual(running, 30)
                await owner.examine()
        self.assertEqual(running, 30)

    async def test_an_owner_with_an_old_configuration_raises_nothing(self):
        """It would raise its share up to a limit that is lowered meanwhile."""
        first, second = self.make_owner(), self.make_owner("s-2")
        await self.claim(first, second)
        first.set_limit(2, tenants.TenantLimit(cpu=900, memory_mb=200))
        first.read()
        first.wanted = 100
        first.start()
        await first.examine()
        second.read()
        second.wanted = 100
        second.start()
        await second.examine()
        share = self.read_record().services["s-2"].shares[TENANT]
        self.assertLessEqual(share[0], 400)

    async def test_a_removed_tenant_keeps_its_limit_after_a_takeover(self):
        """The new owner's configuration doesn't name the tenant any more."""
        await self.claim(self.make_owner())
        new = self.make_owner(fence=9, running=20)
        new.set_limit(2, self.limit)
        new.node.configuration.tenants = {"t-2": tenants.Tenant("t-2")}
        new.wanted = 500
        for _ in range(3):
            new.read()
            await new.examine()
            new.start()
        self.assertEqual(len(new.running), 120)
        # Without work it is forgotten.
        new.wanted = 0
        while new.running:
            new.end_run()
        new.start()
        new.now += quotaledger.IDLE_CHECK_S
        await new.examine()
        self.assertEqual(self.read_record().limits, {})

    async def test_a_removed_service_gives_its_share_back(self):
        """Its share would be lost for good, as it has no owner any more."""
        old, owner = self.make_owner("old"), self.make_owner()
        await self.claim(old, owner)
        row = ("owner", "old", "owner")
        self.store.clock = platform_store.StoreClock(50_000, 0.0, 0.0)
        for renewed_ms, is_gone in ((49_000, False), (20_000, True)):
            record = ownerrows.OwnerRecord("vm-2", renewed_ms=renewed_ms)
            self.store.rows[row] = (3, msgspec.json.encode(record))
            owner.now += quotaledger.REMOVED_CHECK_S
            owner.read()
            await owner.examine()
            services = self.read_record().services
            self.assertEqual("old" not in services, is_gone)
        owner.wanted = 500
        for _ in range(3):
            owner.start()
            await owner.examine()
        self.assertEqual(owner.start() + len(owner.running), 120)

    async def test_a_new_owner_is_seen_while_removed_services_are_read(self):
        """The former owner overwrote the entry of the new one."""
        old, former = self.make_owner("old"), self.make_owner()
        await self.claim(old, former)
        former.wanted = 100
        former.note_lack()
        new = self.make_owner(fence=9)

        async def read_row(*key):
            await self.claim(new)
            former.read()
            return platform_store.Refused(503)

        self.store.read_row = read_row
        former.now += quotaledger.REMOVED_CHECK_S
        await former.examine()
        fences = [e.fence for e in self.read_record().services.values()]
        self.assertIn(9, fences)

    async def test_an_outage_of_the_store_leaves_the_shares(self):
        owner = self.make_owner()
        await self.claim(owner)
        owner.wanted = 100
        self.assertEqual(owner.start(), 40)
        self.store.is_holding = True
        for _ in range(5):
            owner.begin_examining()
            await asyncio.sleep(0)
            self.store.release(0, "lose")
            await owner.task
        self.assertEqual(owner.start(), 0)
        owner.end_run()
        self.assertEqual(owner.start(), 1)
        self.assertEqual(len(owner.node.log.list_events("shares_unwritten")), 1)

    async def test_an_unreadable_row_is_replaced(self):
        owner = self.make_owner()
        await self.claim(owner)
        self.store.apply(KEY[1], [], [(KEY[0], KEY[2], b"{")])
        owner.read()
        await owner.examine()
        self.assertEqual(
            self.read_record().services["s-1"].shares[TENANT][0], 400
        )
        owner.wanted = 100
        self.assertEqual(owner.start(), 40)

    async def test_a_new_owner_replaces_an_unreadable_row_by_equal_parts(self):
        self.store.apply(KEY[1], [], [(KEY[0], KEY[2], b"{")])
        owner = self.make_owner()
        await self.claim(owner)
        self.assertEqual(owner.start(), 0)
        owner.ledger._unreadable_since = (
            owner.now - quotaledger.UNREADABLE_WAIT_S
        )
        await owner.examine()
        await owner.examine()
        owner.wanted = 100
        self.assertEqual(owner.start(), 40)

    async def test_nothing_is_written_without_a_reason(self):
        """The store allows 1,200 writes a second for all VMs together."""
        owner = self.make_owner()
        await self.claim(owner)
        before = self.store.version
        for _ in range(5):
            await owner.examine()
        self.assertEqual(self.store.version, before)

    async def test_without_limits_the_store_is_not_called(self):
        owner = self.make_owner()
        owner.set_limit(2, tenants.UNLIMITED)
        owner.ledger._usage.limits.clear()
        await owner.examine()
        self.assertEqual(self.store.rows, {})
        owner.wanted = 7
        self.assertEqual(owner.start(), 7)

    async def test_eighty_tenants_fit_into_the_row(self):
        owners = [self.make_owner(name) for name in SERVICES]
        huge = tenants.TenantLimit(cpu=59212460, memory_mb=82535800, gpu=1810)
        for owner in owners:
            owner.node.configuration.tenants = {
                f"customer-{n:02}": tenants.Tenant(f"customer-{n:02}", 1, huge)
                for n in range(80)
            }
        await self.claim(*owners)
        for owner in owners:
            for name in owner.usage.limits:
                owner.usage._last_lacking[name] = (
                    resources.Resources(59212460, 82535800, 1810),
                    owner.now,
                )
            owner.read()
            owner.note_lack = lambda: None
            await owner.examine()
        self.assertLess(
            len(self.store.find(*KEY)[1]), quotaledger.MAX_ROW_BYTES
        )


class RandomLedgerTest(LedgerTestCase):
    """Owners at work while the store loses writes and applies some late.

    From time to time one owner gets no answers and reads nothing.
    """

    async def test_the_running_tasks_never_exceed_the_limit(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                await self.play(random.Random(seed), False)

    async def test_a_changed_limit_holds_as_soon_as_all_owners_know_it(self):
        """Each owner reads the configuration at another moment."""
        for seed in range(100, 140):
            with self.subTest(seed=seed):
                await self.play(random.Random(seed), True)

    async def play(self, rng, has_changes):
        self.store = ChaosStore()
        self.store.is_holding = True
        self.owners = {
            name: self.make_owner(name)
            for name in SERVICES[: rng.choice([2, 3])]
        }
        self.former = []
        self.limits = {1: self.limit}
        started = 0
        for step in range(600):
            owner = rng.choice(list(self.owners.values()))
            if step % 30 == 0:
                self.victim = rng.choice([*self.owners, None])
            getattr(self, rng.choices(*self.ACTIONS)[0])(rng, owner)
            for former in self.former[-2:]:
                if rng.random() < 0.3:
                    former.begin_examining()
            await asyncio.sleep(0)
            if has_changes and rng.random() < 0.1:
                self.change_limit(rng)
            count = owner.start()
            started += count
            used = sum(len(o.running) for o in self.owners.values())
            if count:
                self.assertLessEqual(used * TASK.cpu, self.find_bound(), step)
        self.assertGreater(started, 0)
        for owner in [*self.owners.values(), *self.former]:
            if owner.task is not None:
                owner.task.cancel()
        await asyncio.sleep(0)

    def change_limit(self, rng):
        """Changes the limit, or has an owner learn the newest one."""
        newest = max(self.limits)
        if rng.random() < 0.2:
            self.limits[newest + 1] = tenants.TenantLimit(
                cpu=rng.randint(200, 2000), memory_mb=1000
            )
        else:
            owner = rng.choice(list(self.owners.values()))
            owner.set_limit(newest, self.limits[newest])

    def find_bound(self):
        """Returns the largest limit that an owner knows."""
        return max(
            self.limits[owner.node.configuration.version].cpu
            for owner in self.owners.values()
        )

    ACTIONS = (
        ["want", "end", "read", "examine", "answer", "apply_late", "take_over"],
        [8, 8, 6, 12, 12, 2, 1],
    )

    def want(self, rng, owner):
        owner.wanted = rng.choice([0, 0, 3, 200])

    def end(self, rng, owner):
        for _ in range(min(len(owner.running), rng.randint(0, 30))):
            owner.end_run()

    def read(self, rng, owner):
        if owner.shard.service != self.victim:
            owner.read()

    def examine(self, rng, owner):
        owner.begin_examining()

    def answer(self, rng, owner):
        if self.store.held:
            how = rng.choices(
                ["apply", "refuse", "lose", "lose applied"], [3, 1, 2, 4]
            )
            index = rng.randrange(len(self.store.held))
            if self.victim is not None:
                value = self.store.held[index][0][2][0][2]
                is_victim = self.is_by(self.victim, value)
                how = ["lose applied" if is_victim else "apply"]
            self.store.release(index, how[0])

    def is_by(self, service, value):
        """Returns whether a row was written by the owner of a service."""
        newest = self.owners[service].ledger._sequence
        entry = msgspec.json.decode(
            value, type=quotaledger.SharesRecord
        ).services.get(service)
        return entry is not None and entry.sequence == newest

    def apply_late(self, rng, owner):
        if self.store.late:
            index = rng.randrange(len(self.store.late))
            self.store.apply(*self.store.late.pop(index))

    def take_over(self, rng, owner):
        """Another owner continues; the former one doesn't know and writes."""
        service, fence = owner.shard.service, owner.shard.fence
        new = self.make_owner(service, fence + 1, running=len(owner.running))
        known = owner.node.configuration.version
        new.set_limit(known, self.limits[known])
        new.wanted = owner.wanted
        owner.wanted = 0
        self.former.append(owner)
        self.owners[service] = new
