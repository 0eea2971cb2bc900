"""Tests of what callers are told when the store leaves calls unanswered."""

import asyncio
import unittest

import msgspec

from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import clientapi
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.engine import views
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpserver
from tests.entry import fakes

ID = "00000000000000aa"


class CancelStore(fakes.FakeStore):
    """Holds one submission and answers each transaction the same way."""

    def __init__(self, outcome):
        super().__init__()
        self.outcome = outcome

    async def read_row(self, table, part, key):
        row = platform_store.Row(
            table, part, key, msgspec.json.encode(fakes.make_record()), 4
        )
        return platform_store.Rows([row], 4)

    async def commit(self, *arguments, **options):
        return self.outcome


class CancelTest(unittest.IsolatedAsyncioTestCase):
    async def cancel(self, outcome):
        node = fakes.make_context(CancelStore(outcome))
        api = clientapi.ClientApi(node, None, None, None, None, None)
        response = await api._cancel(
            fakes.make_queue(), ID, clock.read_clock() + 0.05
        )
        return response.status

    async def test_a_cancellation_without_an_answer_isn_t_called_rejected(self):
        """Status 503 says that nothing was done, but it may have been."""
        status = await self.cancel(platform_store.Unknown("timeout"))
        self.assertEqual(status, 504)

    async def test_a_refused_cancellation_is_rejected(self):
        status = await self.cancel(platform_store.Refused(503))
        self.assertEqual(status, 503)


class LateStore(fakes.VersionedStore):
    """Leaves transactions unanswered and carries them out later.

    Attributes:
      late: the transactions that weren't answered, in their order.
      is_late: whether transactions are left unanswered.
    """

    def __init__(self):
        super().__init__()
        self.late = []
        self.is_late = False

    async def commit(self, part, expect, put, remove=(), timeout_s=1.0):
        if self.is_late:
            await asyncio.sleep(0)
            self.late.append((part, expect, put, remove))
            return platform_store.Unknown("timeout")
        return await super().commit(part, expect, put, remove)

    def apply_late(self):
        """Carries the late transactions out; returns their results."""
        self.is_late = False
        return [self.apply(*call) for call in self.late]


class CancelBeforeStoredTest(unittest.IsolatedAsyncioTestCase):
    """A cancellation that arrives before its submission is stored.

    It was answered 410 while the transaction that stores the submission was
    under way, and the tasks ran for good.
    """

    async def asyncSetUp(self):
        self.store = LateStore()
        self.node = fakes.make_context(self.store)
        self.queue = fakes.make_queue()
        self.shard = fakes.make_shard(self.node)
        self.acceptor = acceptance.Acceptance(self.node)
        self.storing = asyncio.create_task(self.acceptor.run())
        self.addCleanup(self.storing.cancel)
        self.views = views.Views(self.node, self, None)
        self.api = clientapi.ClientApi(
            self.node, self.acceptor, self, None, None, self.views
        )

    def find_shard(self, service):
        """Stands in for the ownership: this VM owns the service."""
        return self.shard

    def find_owner(self, service):
        return None

    async def submit(self, wait_s=0.1):
        result = await self.acceptor.store(
            ID, fakes.make_record(), clock.read_clock() + wait_s
        )
        return result.outcome

    async def cancel(self, wait_s=0.3):
        deadline = clock.read_clock() + wait_s
        response = await self.api._cancel(self.queue, ID, deadline)
        return response.status

    def read_record(self):
        _, value = self.store.find(
            persistence.SUBMISSION_TABLE, persistence.find_partition(ID), ID
        )
        return msgspec.json.decode(value, type=submissions.SubmissionRecord)

    async def test_a_late_transaction_stores_nothing_after_the_410(self):
        self.store.is_late = True
        self.assertEqual(await self.submit(), acceptance.Outcome.UNKNOWN)
        self.store.is_late = False
        self.assertEqual(await self.cancel(), 410)
        for result in self.store.apply_late():
            self.assertIsInstance(result, platform_store.Conflict)
        self.assertTrue(self.read_record().cancelled)

    async def test_410_is_answered_only_once_the_store_has_confirmed(self):
        """Whatever the store leaves unanswered may be carried out late."""
        self.store.is_late = True
        self.assertEqual(await self.cancel(), 504)
        self.store.apply_late()
        self.assertEqual(await self.cancel(), 410)

    async def test_a_submission_stored_meanwhile_is_cancelled(self):
        self.store.is_late = True
        await self.submit()
        read_row = self.store.read_row

        async def read_and_apply(table, part, key):
            found = await read_row(table, part, key)
            self.store.apply_late()
            return found

        self.store.read_row = read_and_apply
        self.assertEqual(await self.cancel(), 200)
        self.assertTrue(self.read_record().cancelled)

    async def test_a_repeat_of_a_cancelled_submission_never_runs(self):
        """Callers repeat a submission seconds later, at any VM."""
        self.assertEqual(await self.cancel(), 410)
        self.assertEqual(await self.submit(1.0), acceptance.Outcome.REPEATED)
        self.assertTrue(self.read_record().cancelled)
        self.assertFalse(self.read_record().is_tombstone)
        await shardmaintenance.ShardMaintenance(self.shard, None).load()
        self.assertFalse(self.shard.submissions[ID].is_active)
        self.assertFalse(list(self.shard.ready_steps.list_ranked(0.0, None)))
        self.assertEqual(await self.cancel(), 200)

    async def test_an_id_that_nobody_submitted_isn_t_shown(self):
        """Neither by its owner nor by a VM that reads the store."""
        self.assertEqual(await self.cancel(), 410)
        await shardmaintenance.ShardMaintenance(self.shard, None).load()
        self.assertIn(ID, self.shard.submissions)
        view = await self.views.find_view(fakes.SERVICE, ID)
        self.assertIs(view, views.ABSENT)
        self.assertEqual(await self.cancel(), 410)

    async def test_the_row_is_removed_like_that_of_an_ended_submission(self):
        await self.cancel()
        maintenance = shardmaintenance.ShardMaintenance(self.shard, None)
        await maintenance.load()
        self.shard.submissions[ID].stored_at -= 1000.0
        await maintenance._remove_expired()
        self.assertEqual(self.store.rows, {})
        self.assertEqual(self.shard.submissions, {})

    async def test_an_unreadable_row_is_an_error_of_its_own(self):
        part = persistence.find_partition(ID)
        key = (persistence.SUBMISSION_TABLE, part, ID)
        self.store.rows[key] = (5, b"[" * 5000)
        self.assertEqual(await self.cancel(), 500)
        self.assertIsNone(await self.views.find_view(fakes.SERVICE, ID))


class DeadlineTest(unittest.TestCase):
    def test_odd_deadlines_are_bounded(self):
        """Guards against a 500 and against requests that are held for good."""
        api = clientapi.ClientApi(None, None, None, None, None, None)
        for text, expected_s in (
            ("2000", 1.65),
            ("1", 0.2),
            ("", 2.65),
            ("-5", 2.65),
            ("\u00b2", 2.65),
            ("9" * 400, 2.65),
            ("999999999", 59.65),
            ("1" + "0" * 15, 59.65),
        ):
            with self.subTest(text=text):
                headers = {clientapi.DEADLINE_HEADER: text}
                request = httpserver.Request("GET", "/", headers, b"")
                self.assertAlmostEqual(api._read_timeout(request), expected_s)
