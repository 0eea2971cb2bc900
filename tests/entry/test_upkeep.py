"""Waves of upkeep."""

import unittest

from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import waves
from persimmonpath_entry.engine import upkeep
from persimmonpath_entry.platform import machines
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock
from tests.entry import fakes

NOW = 1000.0
ID = "00000000000000aa"


class FakeMachines:
    """Lists machines and notes the orders."""

    def __init__(self, rows, result=None):
        self.rows = rows
        self.orders = []
        self.result = result or machines.MaintenanceResult(True)

    async def list_machines(self):
        return self.rows

    async def start_maintenance(self, machine, wave, holder, fence):
        self.orders.append((machine, wave, holder, fence))
        return self.result


class FakeOwnership:
    def __init__(self, shard):
        self.shard = shard

    def find_shard(self, service):
        return self.shard

    def find_owner(self, service):
        return None


class FakeVersions:
    def __init__(self, wave):
        self.waves = {f"wave/{wave.wave}": wave}


class WaveTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = fakes.FakeStore(
            [platform_store.Committed(n) for n in range(1, 20)]
        )
        self.node = fakes.make_context(self.store)
        self.shard = fakes.make_shard(self.node)
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
        return upkeep.Upkeep(
            self.node,
            FakeVersions(self.wave),
            FakeOwnership(self.shard),
            None,
            self.client,
        )

    async def tick(self, wave):
        await wave._look_after(dict(wave._wanted.waves), 77)

    async def test_no_more_than_allowed_are_down_at_once(self):
        """The list of machines lags behind the order."""
        wave = self.make()
        await self.tick(wave)
        await self.tick(wave)
        self.assertEqual(self.client.orders, [("m0", 1, "vm-1", 77)])

    async def test_the_next_one_follows_when_it_is_up_again(self):
        wave = self.make()
        await self.tick(wave)
        wave._ordered["wave/1", "m0"] -= 60
        await self.tick(wave)
        self.assertEqual([o[0] for o in self.client.orders], ["m0", "m1"])

    async def test_completed_only_when_each_has_had_its_upkeep(self):
        """A machine that stays and was left out breaks the promise."""
        wave = self.make()
        for _ in range(3):
            await self.tick(wave)
            for key in list(wave._ordered):
                wave._ordered[key] -= 60
        self.assertFalse(wave._stored["wave/1"])
        await self.tick(wave)
        self.assertTrue(wave._stored["wave/1"])

    async def test_an_order_without_an_answer_counts_as_begun(self):
        wave = self.make(machines.MaintenanceResult(False, machines.UNKNOWN))
        await self.tick(wave)
        await self.tick(wave)
        self.assertEqual(len(self.client.orders), 1)
        progress = wave._progress["wave/1"]["m0"]
        self.assertFalse(progress.is_done)

    async def test_a_machine_that_left_isn_t_waited_for(self):
        wave = self.make()
        self.rows.clear()
        await self.tick(wave)
        self.assertTrue(wave._stored["wave/1"])

    async def test_lasting_work_is_moved_first(self):
        """An upkeep ends all that runs on the machine at once."""
        lasting = submissions.StepSpec(
            count=1, cpu=1, memory_mb=1, long_running=True, may_miss=1
        )
        self.shard.take_submission(ID, fakes.make_record(lasting))
        task = self.shard.submissions[ID].find_task("0.0.0")
        worker = self.shard.workers["w0"]
        run = fakes.start_run(self.shard, task, worker)
        wave = self.make()
        await self.tick(wave)
        self.assertEqual(self.client.orders, [])
        self.assertGreater(worker.empty_until, clock.read_clock())
        self.shard.remove_run(run, "stopped", "")
        await self.tick(wave)
        self.assertEqual(len(self.client.orders), 1)


class MoveTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_more_tasks_are_moved_than_may_be_missed(self):
        lasting = submissions.StepSpec(
            count=3, cpu=1, memory_mb=1, long_running=True, may_miss=1
        )
        shard = fakes.make_shard()
        worker = fakes.add_worker(shard)
        shard.take_submission(ID, fakes.make_record(lasting))
        runs = []
        for task in shard.submissions[ID].steps["0.0"].tasks:
            run = fakes.start_run(shard, task, worker)
            run.phase = work.Phase.RUNNING
            runs.append(run)
        self.assertTrue(health.is_to_move(runs[0]))
        runs[0].phase = work.Phase.STOPPING
        self.assertFalse(health.is_to_move(runs[1]))


class WaveDecisionTest(unittest.TestCase):
    def test_batch_work_is_waited_for_within_limits(self):
        limit_s = waves.find_wait_limit(30, 3, 1, 2)
        self.assertEqual(limit_s, 4.0)
        machine = waves.MachineProgress(since=NOW, runs=2)
        self.assertFalse(waves.may_begin(machine, limit_s, NOW + 3.9))
        self.assertTrue(waves.may_begin(machine, limit_s, NOW + 4.1))
        machine.protected = 1
        self.assertFalse(waves.may_begin(machine, limit_s, NOW + 99))

    def test_an_unknown_load_is_no_empty_machine(self):
        """The owner of its service may just be away."""
        machine = waves.MachineProgress(since=NOW, runs=None)
        self.assertFalse(waves.may_begin(machine, 1.0, NOW + 99))
