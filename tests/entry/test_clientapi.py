"""Tests of what callers are told when the store leaves calls unanswered."""

import unittest

import msgspec

from persimmonpath_entry.engine import clientapi
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
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
        response = await api._cancel(ID, clock.read_clock() + 0.05)
        return response.status

    async def test_a_cancellation_without_an_answer_isn_t_called_rejected(self):
        """Status 503 says that nothing was done, but it may have been."""
        status = await self.cancel(platform_store.Unknown("timeout"))
        self.assertEqual(status, 504)

    async def test_a_refused_cancellation_is_rejected(self):
        status = await self.cancel(platform_store.Refused(503))
        self.assertEqual(status, 503)
