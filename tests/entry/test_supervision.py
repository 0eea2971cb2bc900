"""Tests that one unexpected error or unreadable row stops nothing else."""

import asyncio
import unittest
from unittest import mock

from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownerdirectory
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.engine import supervision
from persimmonpath_entry.platform import store as platform_store
from tests.entry import fakes

ID = "00000000000000aa"
# Not JSON, not UTF-8, a wrong type, and nested too deeply to be decoded.
UNREADABLE = (
    b"",
    b"{",
    b'{"owner":"\xff"}',
    b"[1]",
    b'{"workers":' + b"[" * 100_000,
)


def make_row(table, value, key="k", part="p"):
    return platform_store.Row(table, part, key, value, 5)


class KeepRunningTest(unittest.IsolatedAsyncioTestCase):
    """A loop on which the process depends starts again after an error."""

    def setUp(self):
        self.node = fakes.make_context()
        self.enterContext(mock.patch.object(supervision, "RESTART_PAUSE_S", 0))

    async def test_an_error_is_logged_and_the_task_runs_again(self):
        outcomes = [KeyError("first"), ValueError("second"), None]

        async def run():
            outcome = outcomes.pop(0)
            if outcome is not None:
                raise outcome

        await supervision.keep_running(self.node, "reader", run)
        events = self.node.log.list_events("task_restarted")
        self.assertEqual([event["task"] for event in events], ["reader"] * 2)
        self.assertEqual(outcomes, [])

    async def test_a_cancelled_task_isn_t_started_again(self):
        """A shard that was closed would go on placing tasks."""
        starts = []

        async def run():
            starts.append(1)
            await asyncio.sleep(60)

        task = asyncio.create_task(
            supervision.keep_running(self.node, "reader", run)
        )
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(len(starts), 1)


class UnreadableRowTest(unittest.IsolatedAsyncioTestCase):
    """Each costs a log line; the task that reads the table goes on."""

    def setUp(self):
        self.node = fakes.make_context()

    def check_logged(self):
        events = self.node.log.list_events("row_unreadable")
        self.assertEqual(len(events), len(UNREADABLE))

    async def test_rows_of_owners(self):
        directory = ownerdirectory.OwnerDirectory(
            self.node, members.Members(self.node)
        )
        for value in UNREADABLE:
            directory._apply_row(make_row(ownerrows.OWNER_TABLE, value), 0.0)
            observed = directory.observed_owners.pop("p")
            owner = observed.record.owner
            self.assertEqual(owner, ownerdirectory.UNREADABLE_OWNER)
            self.assertIsNone(directory.find_owner("p"))
        self.check_logged()

    async def test_rows_of_vms(self):
        peers = members.Members(self.node)
        for value in UNREADABLE:
            peers._apply_row(make_row(members.VM_TABLE, value))
        self.assertEqual(peers.list_reachable_peers(), [])
        self.check_logged()

    async def test_rows_of_submissions(self):
        shard = fakes.make_shard(self.node)
        maintenance = shardmaintenance.ShardMaintenance(shard, None)
        for value in UNREADABLE:
            maintenance._apply_submission_row(
                make_row(persistence.SUBMISSION_TABLE, value, key=ID)
            )
        self.assertEqual(shard.submissions, {})
        self.check_logged()
