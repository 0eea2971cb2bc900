"""Tests of maintenance waves and of worker evacuation."""

import unittest

from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import maintenancewaves
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import machinemaintenance
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.platform import machines
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

NOW = 1000.0
ID = "00000000000000aa"


class FakeMachines:
    """Lists machines and records the maintenance orders."""

    def __init__(self, rows, result=None):
        self.rows = rows
        self.orders = []
        self.result = result or machines.MaintenanceResult(True)

    async def list_machines(self):
        return self.rows

    async def start_maintenance(self, machine, wave, holder, fence, send_by):
        self.orders.append((machine, wave, holder, fence))
        self.send_by = send_by
        return self.result


class FakeOwnership:
    def __init__(self, shard):
        self.shard = shard

    def find_shard(self, service):
        return self.shard

    def find_owner(self, service):
        return None


class FakeOperatorFeed:
    def __init__(self, wave):
        self.waves = {f"wave/{wave.wave}": wave}


class WaveTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = fakes.FakeStore(
            [platform_store.Committed(n) for n in range(1, 20)]
        )
        self.node = fakes.make_context(self.store)
        self.shard = fakes.make_shard(self.node)
        self.shard.opened_at -= 60
        self.rows = [
            machines.MachineRow(f"m{n}", fakes.SERVICE, "up", f"w{n}")
            for n in range(3)
        ]
        for n in range(3):
            fakes.add_worker(self.shard, f"w{n}")
        self.wave = messages.MaintenanceWave(
            1, ["m0", "m1", "m2"], duration_s=30, max_count=1
        )

    def make(self, result=None):
        self.client = FakeMachines(self.rows, result)
        return machinemaintenance.MachineMaintenance(
            self.node,
            FakeOperatorFeed(self.wave),
            FakeOwnership(self.shard),
            None,
            self.client,
        )

    async def tick(self, maintenance):
        await maintenance._process_waves(
            dict(maintenance._operator_feed.waves), self.shard
        )

    async def test_no_more_than_allowed_are_down_at_once(self):
        """The list may still show a machine as up after its order."""
        maintenance = self.make()
        await self.tick(maintenance)
        await self.tick(maintenance)
        self.assertEqual(self.client.orders, [("m0", 1, "vm-1", 5)])

    async def test_a_paused_coordinator_orders_nothing_after_its_lease(self):
        """Two VMs ordered maintenance in turn after a takeover.

        The first one had been paused while it listed the machines.
        """
        maintenance = self.make()
        list_machines = self.client.list_machines

        async def list_slowly():
            self.shard.lease_until = clock.read_clock() - 1
            return await list_machines()

        self.client.list_machines = list_slowly
        await self.tick(maintenance)
        self.assertEqual(self.client.orders, [])

    async def test_a_new_coordinator_orders_nothing_a_former_one_just_has(self):
        """It ordered the same machine again 2.2 to 2.8 s after its predecessor.

        It can't know the orders of a predecessor, which may order until its
        lease has run out.
        """
        maintenance = self.make()
        lease_s = self.node.settings.bounds.lease_ms / 1000
        self.shard.opened_at = clock.read_clock()
        await self.tick(maintenance)
        self.shard.opened_at -= lease_s
        await self.tick(maintenance)
        self.assertEqual(self.client.orders, [])
        worker = self.shard.workers["w0"]
        self.assertGreater(worker.evacuating_until, clock.read_clock())
        self.shard.opened_at -= persistence.LEASE_S
        await self.tick(maintenance)
        self.assertEqual(len(self.client.orders), 1)

    async def test_an_order_carries_the_end_of_its_permission(self):
        maintenance = self.make()
        await self.tick(maintenance)
        self.assertEqual(self.client.send_by, self.shard.lease_until)

    async def test_a_refused_fencing_token_isn_t_used_again(self):
        """A newer coordinator has used a higher one."""
        maintenance = self.make(
            machines.MaintenanceResult(False, machines.STALE_FENCE)
        )
        for _ in range(3):
            await self.tick(maintenance)
        self.assertEqual(len(self.client.orders), 1)
        self.shard.fence += 1
        await self.tick(maintenance)
        self.assertEqual(len(self.client.orders), 2)

    async def test_the_next_machine_follows_when_the_first_is_up_again(self):
        maintenance = self.make()
        await self.tick(maintenance)
        maintenance._started_at["wave/1", "m0"] -= 60
        await self.tick(maintenance)
        self.assertEqual([o[0] for o in self.client.orders], ["m0", "m1"])

    async def test_completed_only_after_the_maintenance_of_every_machine(self):
        """A wave isn't complete while a listed machine was left out."""
        maintenance = self.make()
        for _ in range(3):
            await self.tick(maintenance)
            for key in list(maintenance._started_at):
                maintenance._started_at[key] -= 60
        self.assertFalse(maintenance._stored["wave/1"])
        await self.tick(maintenance)
        self.assertTrue(maintenance._stored["wave/1"])

    async def test_an_unanswered_order_counts_as_started(self):
        maintenance = self.make(
            machines.MaintenanceResult(False, machines.UNKNOWN)
        )
        await self.tick(maintenance)
        await self.tick(maintenance)
        self.assertEqual(len(self.client.orders), 1)
        progress = maintenance._progress["wave/1"]["m0"]
        self.assertFalse(progress.is_done)

    async def test_a_removed_machine_isn_t_waited_for(self):
        maintenance = self.make()
        self.rows.clear()
        await self.tick(maintenance)
        self.assertTrue(maintenance._stored["wave/1"])

    async def test_long_running_tasks_are_evacuated_first(self):
        """Maintenance immediately ends all runs on the machine."""
        long_running_spec = submissions.StepSpec(
            count=1, cpu=1, memory_mb=1, long_running=True, may_miss=1
        )
        self.shard.apply_submission(ID, fakes.make_record(long_running_spec))
        task = self.shard.submissions[ID].find_task("0.0.0")
        worker = self.shard.workers["w0"]
        run = fakes.start_run(self.shard, task, worker)
        maintenance = self.make()
        await self.tick(maintenance)
        self.assertEqual(self.client.orders, [])
        self.assertGreater(worker.evacuating_until, clock.read_clock())
        self.shard.remove_run(run, "stopped", "")
        await self.tick(maintenance)
        self.assertEqual(len(self.client.orders), 1)

    async def test_a_worker_that_isn_t_known_yet_may_run_tasks(self):
        """Right after a takeover its machine was taken for empty."""
        maintenance = self.make()
        self.shard.workers.pop("w0")
        self.shard.has_read_workers = False
        await self.tick(maintenance)
        self.assertEqual(self.client.orders, [])
        self.shard.has_read_workers = True
        self.shard.former_runs.unsettled["w0"] = clock.read_clock() + 5
        await self.tick(maintenance)
        self.assertEqual(self.client.orders, [])
        del self.shard.former_runs.unsettled["w0"]
        await self.tick(maintenance)
        self.assertEqual(len(self.client.orders), 1)

    async def test_a_worker_whose_listing_is_not_applied_may_run_tasks(self):
        """Its machine was taken for empty, and what it had done was lost.

        It runs a task of a submission that isn't read yet, or has more run ends
        than one listing holds.
        """
        maintenance = self.make()
        former_runs = self.shard.former_runs
        former_runs.record_unidentified("w0", {f"{ID}.0.0.0"})
        await self.tick(maintenance)
        self.assertEqual(self.client.orders, [])
        former_runs.record_unidentified("w0", set())
        former_runs.workers_with_unlisted_ends.add("w0")
        await self.tick(maintenance)
        self.assertEqual(self.client.orders, [])
        former_runs.forget_listing("w0")
        await self.tick(maintenance)
        self.assertEqual(len(self.client.orders), 1)

    async def test_a_wave_that_was_completed_stays_so(self):
        """The next coordinator wrote that it was running and repeated it."""
        status = messages.encode_maintenance_wave_status(1, completed=True)
        row = platform_store.Row("status", "", "wave/1", status, 5)
        self.store.row = platform_store.Rows([row], 5)
        await self.tick(self.make())
        self.assertEqual(self.client.orders, [])
        self.assertEqual(self.store.commits, [])

    async def test_a_status_that_can_t_be_read_is_read_again(self):
        self.store.row = platform_store.Refused(503)
        maintenance = self.make()
        await self.tick(maintenance)
        self.assertEqual(self.store.commits, [])
        self.store.row = platform_store.Rows([], 5)
        await self.tick(maintenance)
        self.assertFalse(maintenance._stored["wave/1"])


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    """Long-running tasks of a step of which one may be unavailable."""

    def setUp(self):
        long_running_spec = submissions.StepSpec(
            count=3, cpu=1, memory_mb=1, long_running=True, may_miss=1
        )
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)
        self.shard.apply_submission(ID, fakes.make_record(long_running_spec))
        self.tasks = self.shard.submissions[ID].steps["0.0"].tasks
        self.poller = listings.ListingPoller(self.shard)
        self.runs = [
            fakes.start_run(self.shard, task, self.worker)
            for task in self.tasks
        ]
        for run in self.runs:
            run.phase = execution.Phase.RUNNING
        self.list_percent([100, 100, 100])

    def list_percent(self, percents):
        """Applies a listing with a percent for each run."""
        running = [
            worker_calls.RunningTask(run.task.name, run.number, "", percent)
            for run, percent in zip(self.runs, percents, strict=True)
        ]
        now = clock.read_clock()
        listing = worker_calls.Listing(2000.0, 1, running, [])
        self.poller.effects.apply(self.worker, listing, now, now)

    async def test_no_more_tasks_are_evacuated_than_may_be_missed(self):
        self.assertTrue(health.should_evacuate(self.runs[0]))
        self.runs[0].phase = execution.Phase.STOPPING
        self.assertFalse(health.should_evacuate(self.runs[1]))

    async def test_a_task_that_starts_again_is_waited_for(self):
        """The next one was stopped while the one before it was starting.

        A run counted as available from the answer to its start on.
        """
        self.shard.remove_run(self.runs[0], "stopped", "")
        run = fakes.start_run(self.shard, self.tasks[0], self.worker)
        run.phase = execution.Phase.RUNNING
        self.runs[0] = run
        self.assertFalse(health.should_evacuate(self.runs[1]))
        for percent in (0, 99):
            self.list_percent([percent, 100, 100])
            self.assertFalse(health.should_evacuate(self.runs[1]))
        self.list_percent([100, 100, 100])
        self.assertTrue(health.should_evacuate(self.runs[1]))

    async def test_a_task_on_a_silent_worker_is_missed_already(self):
        other = fakes.add_worker(self.shard, "w2")
        self.shard.remove_run(self.runs[0], "stopped", "")
        run = fakes.start_run(self.shard, self.tasks[0], other)
        run.phase, run.is_at_work = execution.Phase.RUNNING, True
        self.assertTrue(health.should_evacuate(self.runs[1]))
        other.unresponsive_since = clock.read_clock()
        self.assertFalse(health.should_evacuate(self.runs[1]))


class WaveDecisionTest(unittest.TestCase):
    def test_batch_work_is_waited_for_within_limits(self):
        limit_s = maintenancewaves.compute_evacuation_limit(30, 3, 1, 2)
        self.assertEqual(limit_s, 4.0)
        machine = maintenancewaves.MachineProgress(evacuating_since=NOW, runs=2)
        self.assertFalse(
            maintenancewaves.may_begin_maintenance(machine, limit_s, NOW + 3.9)
        )
        self.assertTrue(
            maintenancewaves.may_begin_maintenance(machine, limit_s, NOW + 4.1)
        )
        machine.protected = 1
        self.assertFalse(
            maintenancewaves.may_begin_maintenance(machine, limit_s, NOW + 99)
        )

    def test_an_unknown_load_doesn_t_count_as_empty(self):
        """The owner of its service may just be unreachable."""
        machine = maintenancewaves.MachineProgress(
            evacuating_since=NOW, runs=None
        )
        self.assertFalse(
            maintenancewaves.may_begin_maintenance(machine, 1.0, NOW + 99)
        )
