"""Contract of the implementations of the table service."""

import unittest

from returns import result

from persimmonpath import errors
from persimmonpath import httpplatform
from persimmonpath import tables
from tests import contracts
from tests.standins import platform


class TableContract:
    """Tests that every implementation of the table must pass."""

    def test_commit_writes_nothing_if_one_check_fails(self):
        self.table.commit([], [tables.Write("a", "1")]).unwrap()
        reply = self.table.commit(
            [tables.Check("a", 0), tables.Check("b", 0)],
            [tables.Write("b", "2")],
        )
        self.assertIsInstance(reply.failure(), errors.TableConflictError)
        self.assertIsNone(self.table.get("b").unwrap())

    def test_version_changes_with_every_write(self):
        first = self.table.commit([], [tables.Write("a", "1")]).unwrap()
        second = self.table.commit([], [tables.Write("a", "1")]).unwrap()
        self.assertNotEqual(first, second)
        self.assertEqual(self.table.get("a").unwrap().version, second)

    def test_check_against_version_zero_means_no_row(self):
        write = [tables.Write("a/b c", "1")]
        check = [tables.Check("a/b c", 0)]
        self.assertIsInstance(self.table.commit(check, write), result.Success)
        self.assertIsInstance(self.table.commit(check, write), result.Failure)

    def test_scan_returns_rows_of_the_prefix_in_key_order(self):
        for key in ("x/2", "x/1", "y/1"):
            self.table.commit([], [tables.Write(key, key)]).unwrap()
        keys = [row.key for row in self.table.scan("x/").unwrap()]
        self.assertEqual(keys, ["x/1", "x/2"])

    def test_deleted_row_is_gone(self):
        self.table.commit([], [tables.Write("a", "1")]).unwrap()
        self.table.commit([], [tables.Write("a", None)]).unwrap()
        self.assertIsNone(self.table.get("a").unwrap())


class MemoryTableTest(TableContract, unittest.TestCase):
    """The table in memory."""

    def setUp(self):
        self.table = tables.create_memory_table()


class HttpTableTest(TableContract, unittest.TestCase):
    """The HTTP client against a stand-in of the platform."""

    def setUp(self):
        self.application = platform.PlatformApplication()
        stand_in = contracts.RunningStandIn(self.application)
        self.addCleanup(stand_in.stop)
        self.table = httpplatform.HttpTable(stand_in.url, timeout_s=0.5)

    def test_commit_with_lost_answer_is_uncertain(self):
        self.application.faults = platform.Faults(
            loses_answers=True, hold_s=1.0
        )
        reply = self.table.commit([], [tables.Write("a", "1")])
        self.assertIsInstance(reply.failure(), errors.TableUncertainError)
        self.assertEqual(self.table.get("a").unwrap().value, "1")

    def test_commit_to_an_unavailable_service_has_no_effect(self):
        self.application.faults = platform.Faults(is_down=True)
        reply = self.table.commit([], [tables.Write("a", "1")])
        self.assertIsInstance(reply.failure(), errors.TableUnavailableError)
