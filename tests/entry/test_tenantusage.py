"""Tests of what counts for a tenant in a shard, and of what may start."""

import unittest

from persimmonpath import resources
from persimmonpath_entry.decisions import quotashares
from persimmonpath_entry.engine import clientapi
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import overview
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import tenants
from persimmonpath_entry.transport import clock
from tests.entry import fakes
from tests.entry import test_listings
from tests.entry import test_taskscheduler

ID = "00000000000000aa"
OTHER_ID = "00000000000000bb"
SPEC = submissions.StepSpec(count=4, cpu=1000, memory_mb=100)
LIMIT = tenants.TenantLimit(cpu=4000, memory_mb=1000)


def make_node(limit=LIMIT, **others):
    """Returns a context with the tenant t-1 and further ones."""
    node = fakes.make_context()
    apply_limits(node, {"t-1": limit, **others})
    return node


def apply_limits(node, limits):
    """Applies a newer configuration with the given limits by tenant."""
    former = node.configuration
    node.configuration = configuration.Configuration(
        former.version + 1,
        list(former.queues.values()),
        list(former.services.values()),
        former.max_body_bytes,
        {
            name: tenants.Tenant(name, 1, limit)
            for name, limit in limits.items()
        },
    )


def measure(cpu, memory_mb, gpu=0):
    return resources.Resources(cpu, memory_mb, gpu)


class UsageTestCase(unittest.IsolatedAsyncioTestCase):
    unsettled = None

    def setUp(self):
        self.node = make_node()
        self.shard = fakes.make_shard(
            self.node, unsettled=dict(self.unsettled or {})
        )
        self.usage = self.shard.tenant_usage
        self.worker = fakes.add_worker(self.shard)
        self.poller = listings.ListingPoller(self.shard)
        self.poller.effects.commands = test_listings.FakeCommands()
        self.commands = test_taskscheduler.FakeCommands()
        self.scheduler = test_taskscheduler.make_scheduler(
            self.shard, self.commands
        )
        self.usage.refresh()
        self.allow(4000, 1000)

    def allow(self, cpu, memory_mb, tenant="t-1"):
        self.usage.allowances[tenant] = measure(cpu, memory_mb, 99)

    def add_step(self, submission_id=ID, spec=SPEC, tenant="t-1"):
        record = fakes.make_record(spec, tenant=tenant)
        self.shard.apply_submission(submission_id, record)
        return self.shard.submissions[submission_id].steps["0.0"]

    def list_tasks(self, running=(), ended=()):
        now = clock.read_clock()
        self.poller.effects.apply(
            self.worker, test_listings.make_listing(running, ended), now, now
        )

    def run_pass(self):
        self.usage.refresh()
        self.scheduler._run_pass(clock.read_clock())
        return len(self.commands.started)


class CountTest(UsageTestCase):
    async def test_a_run_counts_from_its_creation_until_its_end_is_known(self):
        """Starts without an answer went beyond the limit of a tenant."""
        step = self.add_step()
        run = self.shard.create_run(step.tasks[0], self.worker)
        self.assertEqual(self.usage.find_counted("t-1"), measure(1000, 100))
        self.shard.stop_run(run, "start_unanswered")
        self.assertEqual(self.usage.find_counted("t-1"), measure(1000, 100))
        self.list_tasks(ended=[(1, run.task.name, run.number, "stopped", "")])
        self.assertEqual(self.usage.find_counted("t-1"), resources.ZERO)

    async def test_a_removed_run_is_uncounted_once(self):
        """A lost worker and a start that wasn't sent both remove a run."""
        run = self.shard.create_run(self.add_step().tasks[0], self.worker)
        self.shard.remove_run(run, "lost", "")
        self.shard.remove_run(run, "void", "")
        self.assertEqual(self.usage.find_counted("t-1"), resources.ZERO)

    async def test_an_adopted_run_counts_once(self):
        name = f"{self.add_step().submission.id}.0.0.0"
        for _ in range(2):
            self.list_tasks([(name, 7001, "", 100, 500)])
        self.assertEqual(self.usage.find_counted("t-1"), measure(1000, 100))

    async def test_a_cancelled_submission_counts_until_its_runs_end(self):
        """Its steps are forgotten while its runs are being stopped."""
        step = self.add_step()
        run = self.shard.create_run(step.tasks[0], self.worker)
        self.shard.cancel(step.submission)
        step.submission.forget_details()
        self.assertEqual(self.usage.find_counted("t-1"), measure(1000, 100))
        self.list_tasks(ended=[(1, run.task.name, run.number, "stopped", "")])
        self.assertEqual(self.usage.find_counted("t-1"), resources.ZERO)

    async def test_a_run_of_an_unread_submission_counts_for_every_tenant(self):
        self.list_tasks([(f"{OTHER_ID}.0.0.0", 7001, "", 100, 500)])
        self.usage.refresh()
        self.assertEqual(self.usage.find_counted("t-1"), measure(16000, 32000))
        self.add_step(OTHER_ID, tenant="t-2")
        self.list_tasks([(f"{OTHER_ID}.0.0.0", 7001, "", 100, 500)])
        self.usage.refresh()
        self.assertEqual(self.usage.find_counted("t-1"), resources.ZERO)
        self.assertEqual(self.usage.find_counted("t-2"), measure(1000, 100))

    async def test_a_silent_worker_counts_until_its_leases_have_ended(self):
        """A partitioned worker goes on running what it has started."""
        run = fakes.start_run(self.shard, self.add_step().tasks[0], self.worker)
        self.worker.unresponsive_since = clock.read_clock()
        self.worker.excluded_until = clock.read_clock() + 100
        self.usage.refresh()
        self.assertEqual(self.usage.find_counted("t-1"), measure(1000, 100))
        self.shard.worker_registry.mark_worker_lost(self.worker, "lease ended")
        self.assertEqual(self.usage.find_counted("t-1"), resources.ZERO)
        self.assertNotIn(run, run.task.runs)


class TakeoverTest(UsageTestCase):
    unsettled = {"w1": 1e12, "w2": 1e12}

    async def test_an_unsettled_worker_counts_with_its_whole_capacity(self):
        """A takeover let a tenant start again what still ran elsewhere."""
        self.add_step()
        self.assertEqual(self.run_pass(), 0)
        self.assertEqual(
            self.usage.find_counted("t-1"), measure(2 * 16000, 2 * 32000)
        )
        self.shard.former_runs.unsettled.pop("w2")
        self.list_tasks([(f"{ID}.0.0.0", 7001, "", 100, 500)])
        self.usage.refresh()
        self.assertEqual(self.usage.find_counted("t-1"), measure(1000, 100))

    async def test_a_worker_with_unlisted_ends_counts_with_what_it_runs(self):
        """A listing is cut at a number of ends; the runs in it are complete.

        Counted with its whole capacity, such a worker would hold up tenants.
        """
        self.add_step()
        self.shard.former_runs.unsettled.pop("w2")
        self.list_tasks(
            [(f"{ID}.0.0.0", 7001, "", 100, 500)],
            [
                (number, f"{ID}.0.0.1", number, "stopped", "")
                for number in range(1, worker_calls.MAX_ENDS_PER_LISTING + 1)
            ],
        )
        self.usage.refresh()
        self.assertFalse(self.shard.former_runs.is_settled)
        self.assertEqual(self.usage.find_counted("t-1"), measure(1000, 100))

    async def test_a_worker_with_listed_tasks_counts_with_these(self):
        """Workers cut off before the takeover stay unsettled for 6 s."""
        self.add_step()
        self.add_step(OTHER_ID, tenant="t-2")
        self.shard.former_runs.unsettled_tasks = {
            "w1": {f"{ID}.0.0.0", f"{OTHER_ID}.0.0.1"},
            "w2": set(),
        }
        self.usage.refresh()
        self.assertEqual(self.usage.find_counted("t-1"), measure(1000, 100))

    async def test_an_unreadable_list_of_workers_may_name_any(self):
        fakes.add_worker(self.shard, "w3").is_fenced = False
        self.shard.former_runs.unsettled = {fleet.ANY_WORKER: 1e12}
        self.usage.refresh()
        self.assertEqual(
            self.usage.find_counted("t-1"), measure(2 * 16000, 2 * 32000)
        )


class PlanTest(UsageTestCase):
    async def test_several_steps_share_the_room_of_their_tenant(self):
        """Each step of a pass found the same room."""
        self.allow(3000, 1000)
        self.add_step()
        self.add_step(OTHER_ID)
        self.assertEqual(self.run_pass(), 3)
        self.assertEqual(self.run_pass(), 3)

    async def test_a_tenant_without_room_is_not_examined_step_by_step(self):
        """Thousands of blocked steps took the time of the pass from others."""
        self.allow(1500, 1000)
        for number in range(9):
            self.add_step(f"{number:016x}")
        self.assertEqual(self.run_pass(), 1)
        step = self.add_step(OTHER_ID)
        self.assertTrue(self.usage.is_blocked(step))
        # A smaller task is examined, and what is lacking is still known.
        small = change_spec(SPEC, count=1, cpu=500)
        small_step = self.add_step("cc" * 8, small)
        self.assertFalse(self.usage.is_blocked(small_step))
        self.assertEqual(self.run_pass(), 2)
        want = self.usage.find_want("t-1", clock.read_clock())
        self.assertFalse(want.fits_in(self.usage.limits["t-1"]))

    async def test_other_tenants_are_not_delayed(self):
        self.allow(0, 0)
        self.add_step()
        self.add_step(OTHER_ID, tenant="t-2")
        self.assertEqual(self.run_pass(), 4)
        self.assertEqual(self.scheduler._planner.reservations, {})
        self.assertTrue(self.usage.is_lacking("t-1"))

    async def test_a_gang_starts_whole_or_not_at_all(self):
        self.allow(3999, 1000)
        self.add_step(spec=change_spec(SPEC, gang=True))
        self.assertEqual(self.run_pass(), 0)
        self.allow(4000, 1000)
        self.assertEqual(self.run_pass(), 4)

    async def test_room_is_kept_for_a_gang_that_has_waited(self):
        """Smaller tasks took each part that became free."""
        runner = self.add_step()
        run = fakes.start_run(self.shard, runner.tasks[0], self.worker)
        for task in runner.tasks[1:]:
            runner.submission.mark_done(task)
        gang = change_spec(SPEC, gang=True)
        self.add_step("cc" * 8, gang)
        self.run_pass()
        step, since = self.usage._large["t-1"]
        self.usage._large["t-1"] = (step, since - quotashares.KEEP_WAIT_S)
        self.add_step(OTHER_ID)
        self.assertEqual(self.run_pass(), 0)
        self.shard.remove_run(run, "done", "")
        self.assertEqual(self.run_pass(), 4)

    async def test_fillers_and_memory_count(self):
        filler = change_spec(SPEC, is_filler=True)
        self.allow(2000, 1000)
        self.add_step(spec=filler)
        self.assertEqual(self.run_pass(), 2)
        self.allow(9000, 300)
        self.assertEqual(self.run_pass(), 3)

    async def test_blocked_work_starts_once_a_run_ends(self):
        self.allow(1000, 1000)
        step = self.add_step()
        self.assertEqual(self.run_pass(), 1)
        self.shard.schedule_requested.clear()
        self.shard.remove_run(step.tasks[0].runs[0], "done", "")
        self.assertTrue(self.shard.schedule_requested.is_set())
        self.assertEqual(self.run_pass(), 2)

    async def test_a_removed_tenant_keeps_its_last_limit(self):
        self.allow(1000, 1000)
        apply_limits(self.node, {"t-2": LIMIT})
        self.add_step()
        self.assertEqual(self.run_pass(), 1)

    async def test_the_overview_shows_usage_share_and_limit(self):
        self.allow(3000, 1000)
        self.add_step()
        self.run_pass()
        self.assertEqual(
            overview._render_tenants(self.usage),
            [
                "tenant=t-1 used=3000/300/0 share=3000/1000/99 "
                "limit=4000/1000/- limited=True"
            ],
        )

    async def test_work_without_a_limit_is_not_held_back(self):
        self.add_step(tenant="")
        self.add_step(OTHER_ID, tenant="t-9")
        self.assertEqual(self.run_pass(), 8)


class OversizedTest(unittest.IsolatedAsyncioTestCase):
    """What can never run within its tenant's limit is told so at once."""

    async def submit(self, spec, store):
        node = make_node()
        node.store = store
        api = clientapi.ClientApi(node, None, None, None, None, None)
        record = fakes.make_record(spec, tenant="t-1")
        response = await api.checks.check_limit(ID, record)
        return response and response.status

    async def test_a_task_or_gang_above_the_limit_is_refused(self):
        store = fakes.VersionedStore()
        self.assertIsNone(await self.submit(SPEC, store))
        self.assertEqual(
            await self.submit(change_spec(SPEC, cpu=4001), store), 413
        )
        gang = change_spec(SPEC, cpu=1001, gang=True)
        self.assertEqual(await self.submit(gang, store), 413)

    async def test_a_repeat_of_an_accepted_submission_is_not_refused(self):
        """It waits until the limit is raised again."""
        store = fakes.VersionedStore()
        part = persistence.find_partition(ID)
        store.rows[persistence.SUBMISSION_TABLE, part, ID] = (7, b"{}")
        spec = change_spec(SPEC, cpu=4001)
        self.assertIsNone(await self.submit(spec, store))

    async def test_nothing_is_said_while_the_store_is_silent(self):
        store = fakes.FakeStore()
        store.row = platform_store.Refused(0)
        spec = change_spec(SPEC, cpu=4001)
        self.assertEqual(await self.submit(spec, store), 503)


def change_spec(spec, **changes):
    """Returns a step with some fields changed."""
    fields = {name: getattr(spec, name) for name in spec.__struct_fields__}
    return submissions.StepSpec(**{**fields, **changes})
