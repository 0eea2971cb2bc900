"""Tests of the rows that an owner stores and of the loss of its ownership."""

import asyncio
import unittest

import msgspec

from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

ID = "00000000000000aa"


def make_owner_row(node, boot, version):
    record = ownerrows.OwnerRecord(owner=node, boot=boot)
    return platform_store.Row(
        ownerrows.OWNER_TABLE,
        fakes.SERVICE,
        ownerrows.OWNER_KEY,
        msgspec.json.encode(record),
        version,
    )


class ShardWriterTest(unittest.IsolatedAsyncioTestCase):
    """Writes of one owner against a store with scripted outcomes."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.node = fakes.make_context(self.store)
        self.shard = fakes.make_shard(self.node)
        self.shard.lease_until = 0.0
        self.worker = fakes.add_worker(self.shard)
        self.worker.is_recorded = False
        self.shard_writer = persistence.ShardWriter(
            self.shard, 10, lambda: None
        )
        self.shard.apply_submission(ID, fakes.make_record())
        self.submission = self.shard.submissions[ID]

    async def end_all(self):
        for number, task in enumerate(self.submission.steps["0.0"].tasks):
            run = fakes.start_run(self.shard, task, self.worker)
            self.shard.remove_run(run, "done", "")
            self.worker.processed = number + 1

    async def write(self, outcome):
        self.store.outcomes.append(outcome)
        return await self.shard_writer._write()

    async def test_ends_are_acknowledged_only_once_stored(self):
        """Otherwise a task that ended would run again after a takeover."""
        await self.end_all()
        await self.write(platform_store.Unknown("timeout"))
        self.assertEqual(self.worker.last_seen, 0)
        self.assertEqual(self.submission.stored_state, submissions.ACTIVE)
        await self.write(platform_store.Committed(11))
        self.assertEqual(self.worker.last_seen, 2)
        self.assertEqual(self.submission.stored_state, submissions.COMPLETED)

    async def test_a_failed_write_keeps_its_submissions_dirty(self):
        await self.end_all()
        await self.write(platform_store.Refused(503))
        self.assertIn(ID, self.shard.dirty)

    async def test_a_partial_write_acknowledges_no_ends(self):
        """The effect of an end may be in the part that isn't stored yet."""
        await self.end_all()
        for number in range(persistence.ROWS_PER_COMMIT + 1):
            name = f"{number:016x}"
            self.shard.apply_submission(name, fakes.make_record())
            self.shard.mark_dirty(self.shard.submissions[name])
        await self.write(platform_store.Committed(11))
        self.assertEqual(self.worker.last_seen, 0)
        await self.write(platform_store.Committed(12))
        self.assertEqual(self.worker.last_seen, 2)

    async def test_every_write_expects_the_owner_row(self):
        """The store then refuses the writes of a replaced owner."""
        await self.write(platform_store.Committed(11))
        await self.write(platform_store.Committed(12))
        expected = [
            [(ownerrows.OWNER_TABLE, ownerrows.OWNER_KEY, version)]
            for version in (10, 11)
        ]
        self.assertEqual([c[1] for c in self.store.commits], expected)

    async def test_an_own_write_without_an_answer_is_recognised(self):
        """The store applied it late; the VM is still the owner."""
        row = make_owner_row("vm-1", self.node.boot, 15)
        await self.write(platform_store.Unknown("timeout"))
        await self.write(platform_store.Conflict([row]))
        self.assertTrue(self.shard.is_open)
        await self.write(platform_store.Committed(16))
        self.assertEqual(self.store.commits[-1][1][0][2], 15)

    async def test_a_replaced_owner_closes_the_shard(self):
        cases = {
            "another VM": make_owner_row("vm-2", "x", 15),
            "another incarnation of this VM": make_owner_row("vm-1", "x", 15),
        }
        for name, row in cases.items():
            with self.subTest(name):
                shard = fakes.make_shard(self.node)
                shard_writer = persistence.ShardWriter(shard, 10, lambda: None)
                self.store.outcomes.append(platform_store.Conflict([row]))
                await shard_writer._write()
                self.assertFalse(shard.is_open)

    async def test_the_lease_counts_from_the_sending_of_the_renewal(self):
        """Counted from the answer, a delayed one would make it too long."""
        self.shard_writer.extend_lease(50.0)
        self.assertTrue(self.shard.may_start(50.0 + persistence.LEASE_S - 0.1))
        self.assertFalse(self.shard.may_start(50.0 + persistence.LEASE_S + 0.1))
        self.assertTrue(
            self.shard.may_extend_leases(50.0 + persistence.LEASE_S + 0.1)
        )
        self.assertFalse(
            self.shard.may_extend_leases(50.0 + persistence.HOLD_S + 0.1)
        )

    async def test_a_worker_is_used_only_once_its_record_is_stored(self):
        """A new owner must know each worker that may run tasks."""
        await self.write(platform_store.Refused(503))
        self.assertFalse(self.worker.is_recorded)
        await self.write(platform_store.Committed(11))
        self.assertTrue(self.worker.is_recorded)
        self.assertIn(self.worker.id, self.read_workers().workers)

    def read_last(self, table, record_type):
        """Returns the newest record that was written to a table."""
        for _, _, put, _ in reversed(self.store.commits):
            for row_table, _, value in put:
                if row_table == table:
                    return msgspec.json.decode(value, type=record_type)
        return None

    def read_record(self):
        return self.read_last(ownerrows.OWNER_TABLE, ownerrows.OwnerRecord)

    def read_workers(self):
        return self.read_last(ownerrows.WORKERS_TABLE, ownerrows.WorkersRecord)

    def read_recorded(self):
        return set(self.read_workers().workers)

    def list_written_tables(self):
        """Returns the tables of the rows of the last transaction."""
        return [table for table, _, _ in self.store.commits[-1][2]]

    async def test_the_workers_row_is_written_only_if_it_has_changed(self):
        """Every VM reads the owner row again and again.

        With the workers in it, 97 VMs read 4 MB a second (quiet-1 of large).
        """
        await self.write(platform_store.Committed(11))
        self.assertIn(ownerrows.WORKERS_TABLE, self.list_written_tables())
        await self.write(platform_store.Committed(12))
        self.assertEqual(self.list_written_tables(), [ownerrows.OWNER_TABLE])
        fakes.add_worker(self.shard, "w2")
        await self.write(platform_store.Committed(13))
        self.assertEqual(self.read_recorded(), {"w1", "w2"})

    async def test_a_workers_row_without_an_answer_is_written_again(self):
        """The next owner wouldn't know of the worker that got tasks."""
        await self.write(platform_store.Committed(11))
        fakes.add_worker(self.shard, "w2")
        for outcome in (
            platform_store.Unknown("timeout"),
            platform_store.Refused(503),
            platform_store.Conflict(
                [make_owner_row("vm-1", self.node.boot, 15)]
            ),
            platform_store.Committed(16),
        ):
            await self.write(outcome)
            self.assertIn(ownerrows.WORKERS_TABLE, self.list_written_tables())

    async def test_an_expired_worker_is_not_recorded(self):
        """The next owner would wait 10 s for a worker that left long ago."""
        self.worker.unresponsive_since = 1.0
        self.worker.clock = (1000.0, 1.0)
        await self.write(platform_store.Committed(11))
        self.assertEqual(self.read_recorded(), set())
        self.assertFalse(self.worker.is_recorded)
        fakes.start_run(
            self.shard, self.submission.find_task("0.0.0"), self.worker
        )
        await self.write(platform_store.Committed(12))
        self.assertEqual(self.read_recorded(), {self.worker.id})

    def read_unresponsive(self):
        return self.read_workers().unresponsive

    async def test_the_tasks_of_an_unresponsive_worker_are_stored(self):
        """Otherwise a new owner would delay every task for ten seconds."""
        task = self.submission.find_task("0.0.0")
        fakes.start_run(self.shard, task, self.worker)
        await self.write(platform_store.Committed(11))
        self.assertEqual(self.read_unresponsive(), {})
        self.worker.unresponsive_since = clock.read_clock()
        self.worker.max_lease_end_ms = 9000.0
        await self.write(platform_store.Committed(12))
        self.assertEqual(
            self.read_unresponsive(), {self.worker.id: [task.name]}
        )

    async def test_a_partial_write_lists_no_tasks_of_unresponsive_workers(self):
        """Ends of tasks there may be in the part that isn't stored yet."""
        task = self.submission.find_task("0.0.0")
        fakes.start_run(self.shard, task, self.worker)
        self.worker.unresponsive_since = clock.read_clock()
        self.worker.max_lease_end_ms = 9000.0
        for number in range(persistence.ROWS_PER_COMMIT + 1):
            name = f"{number:016x}"
            self.shard.apply_submission(name, fakes.make_record())
            self.shard.mark_dirty(self.shard.submissions[name])
        await self.write(platform_store.Committed(11))
        self.assertEqual(self.read_unresponsive(), {})
        self.assertEqual(self.read_recorded(), {self.worker.id})

    async def test_an_unresponsive_worker_is_used_again_only_once_stored(self):
        """The stored list of its tasks would no longer be complete."""
        fakes.start_run(
            self.shard, self.submission.find_task("0.0.0"), self.worker
        )
        self.worker.unresponsive_since = clock.read_clock()
        self.worker.max_lease_end_ms = 9000.0
        await self.write(platform_store.Committed(11))
        self.worker.unresponsive_since = None
        self.assertFalse(self.worker.is_recorded)
        await self.write(platform_store.Committed(12))
        self.assertTrue(self.worker.is_recorded)

    async def test_a_worker_unresponsive_during_a_write_isn_t_used(self):
        self.worker.unresponsive_since = clock.read_clock()
        self.worker.max_lease_end_ms = 9000.0
        fakes.start_run(
            self.shard, self.submission.find_task("0.0.0"), self.worker
        )
        write = asyncio.create_task(self.write(platform_store.Committed(11)))
        await asyncio.sleep(0)
        self.worker.unresponsive_since = None
        await write
        self.assertFalse(self.worker.is_recorded)

    async def test_the_horizon_takes_effect_once_stored(self):
        """The next owner wouldn't know of a task started before that."""
        self.shard.apply_submission("bb" * 8, fakes.make_record(), version=41)
        submission = self.shard.submissions["bb" * 8]
        await self.write(platform_store.Unknown("timeout"))
        self.assertFalse(self.shard.is_within_horizon(submission))
        await self.write(platform_store.Committed(42))
        self.assertTrue(self.shard.is_within_horizon(submission))
        self.assertEqual(self.read_record().horizon, 41)

    async def test_the_horizon_never_goes_back(self):
        """Tasks started within a stored horizon were unknown to the next owner.

        The store had become slower, and a later row held a lower horizon: a
        task ran twice (TWICE in trouble-3 of the grown tender).
        """
        self.shard_writer._horizon.record_version(100, 0.0)
        self.shard_writer._horizon.record_version(500, 1.0)
        await self.write(platform_store.Committed(500))
        horizon = self.read_record().horizon
        self.shard_writer._horizon.record_version(510, 2.0)
        await self.write(platform_store.Committed(510))
        self.assertGreaterEqual(self.read_record().horizon, horizon)
        self.assertEqual(self.shard.stored_horizon, self.read_record().horizon)

    async def test_tasks_of_the_next_submissions_need_no_write_to_start(self):
        """Each one waited for a write of the owner row, 40 ms at the peak."""
        self.shard_writer._horizon.record_version(100, 0.0)
        self.shard_writer._horizon.record_version(500, 1.0)
        await self.write(platform_store.Committed(500))
        horizon = self.read_record().horizon
        self.shard.store_requested.clear()
        self.shard.apply_submission(
            "cc" * 8, fakes.make_record(), version=horizon
        )
        submission = self.shard.submissions["cc" * 8]
        self.assertTrue(self.shard.is_within_horizon(submission))
        self.assertFalse(self.shard.store_requested.is_set())
        self.shard.apply_submission(
            "dd" * 8, fakes.make_record(), version=horizon + 1
        )
        self.assertFalse(
            self.shard.is_within_horizon(self.shard.submissions["dd" * 8])
        )
        self.assertTrue(self.shard.store_requested.is_set())

    async def test_the_lease_end_of_an_unresponsive_worker_is_stored(self):
        """Without it each takeover restarted the wait of 9 s for the worker."""
        self.store.clock = platform_store.StoreClock(
            70_000.0, clock.read_clock(), clock.read_clock()
        )
        self.worker.unresponsive_since = clock.read_clock()
        self.worker.max_lease_end_ms = 9000.0
        end = self.worker.bound_lease_end()
        await self.write(platform_store.Committed(11))
        ends = self.read_workers().lease_ends
        self.assertEqual(ends, {self.worker.id: self.store.clock.bound_ms(end)})

    async def test_leases_with_a_stored_end_are_not_extended(self):
        """The next owner relies on the lease end in the row."""
        self.store.clock = platform_store.StoreClock(70_000.0, 0.0, 0.0)
        fakes.start_run(
            self.shard, self.submission.find_task("0.0.0"), self.worker
        )
        self.worker.unresponsive_since = clock.read_clock()
        self.worker.max_lease_end_ms = 9000.0
        await self.write(platform_store.Unknown("timeout"))
        self.assertEqual(self.shard.frozen_leases, {self.worker.id})
        self.worker.unresponsive_since = None
        await self.write(platform_store.Unknown("timeout"))
        self.assertEqual(self.shard.frozen_leases, {self.worker.id})
        await self.write(platform_store.Committed(12))
        self.assertEqual(self.shard.frozen_leases, set())

    async def test_a_long_list_of_tasks_is_left_out(self):
        """The store refuses longer rows, and the ownership would be lost."""
        self.worker.unresponsive_since = clock.read_clock()
        self.worker.max_lease_end_ms = 9000.0
        for number in range(2000):
            self.worker.unknown_runs[f"{number:016x}.0.0.0", 1] = 1.0
        await self.write(platform_store.Committed(11))
        self.assertEqual(self.read_unresponsive(), {})
        self.assertEqual(self.read_recorded(), {self.worker.id})

    async def test_a_release_lists_the_tasks_of_every_worker(self):
        """The next owner can then start all other tasks at once."""
        task = self.submission.find_task("0.0.0")
        fakes.start_run(self.shard, task, self.worker)
        self.store.outcomes += [platform_store.Committed(n) for n in (11, 12)]
        self.shard_writer.release()
        await asyncio.wait_for(self.shard_writer.run(), 5)
        self.assertEqual(
            self.read_unresponsive(), {self.worker.id: [task.name]}
        )
        self.assertTrue(self.shard.is_leaving)

    async def test_a_release_lists_only_workers_with_runs(self):
        """The next owner need not wait for workers without runs."""
        busy = fakes.add_worker(self.shard, "w2")
        task = self.submission.find_task("0.0.0")
        fakes.start_run(self.shard, task, busy)
        self.store.outcomes += [platform_store.Committed(n) for n in (11, 12)]
        self.shard_writer.release()
        await asyncio.wait_for(self.shard_writer.run(), 5)
        self.assertEqual(self.read_recorded(), {"w2"})

    async def test_a_released_service_has_no_owner(self):
        self.store.outcomes += [platform_store.Committed(n) for n in (11, 12)]
        self.shard_writer.release()
        await asyncio.wait_for(self.shard_writer.run(), 5)
        self.assertEqual(self.read_record().owner, "")
        self.assertFalse(self.shard.is_open)
