"""Group commit of changes during faults of the table."""

import unittest

from returns import result

from persimmonpath import errors
from persimmonpath import groupcommit
from persimmonpath import quotas
from persimmonpath import resources
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath import wire
from tests import fakes


def create_change(key, version=0, **fields):
    return groupcommit.Change(
        (tables.Check(key, version),), (tables.Write(key, "1"),), **fields
    )


class DelayedTable(fakes.FaultyTable):
    """A table that can delay commits, which are applied later."""

    def __init__(self, table):
        super().__init__(table)
        self.delayed = []
        self.is_delaying = False

    def commit(self, checks, writes):
        if not self.is_delaying:
            return super().commit(checks, writes)
        self.delayed.append((checks, writes))
        return create_uncertain_reply()

    def deliver_delayed(self):
        return [self._table.commit(*d) for d in self.delayed]


def create_uncertain_reply():
    return result.Failure(errors.TableUncertainError("lost"))


class GroupCommitTest(unittest.TestCase):
    """Conflicts, lost answers, delayed copies and outages."""

    def setUp(self):
        self.timers = timers.create_manual_timers()
        self.backing_table = tables.create_memory_table()
        self.table = DelayedTable(self.backing_table)
        self.committer = groupcommit.GroupCommitter(
            "z1/vm1", self.table, self.timers
        )

    def flush(self, count=1):
        for _ in range(count):
            self.timers.advance(groupcommit.COMMIT_PERIOD_S)
            self.committer.flush()

    def test_failed_check_refuses_only_its_own_change(self):
        self.backing_table.commit([], [tables.Write("b", "taken")])
        replies = [self.committer.add(create_change(k)) for k in "abc"]
        self.flush(2)
        kinds = [type(r.result()).__name__ for r in replies]
        self.assertEqual(kinds, ["Success", "Failure", "Success"])
        self.assertEqual(self.backing_table.get("b").unwrap().value, "taken")

    def test_commit_rate_is_limited(self):
        for number in range(40):
            self.committer.add(create_change(f"k{number}"))
            self.timers.advance(0.025)
            self.committer.flush()
        self.assertLessEqual(self.table.commits, 20)

    def test_second_change_of_a_row_in_a_group_is_a_conflict(self):
        """In one transaction both checks would pass and one write be lost."""
        replies = [self.committer.add(create_change("a")) for _ in range(2)]
        self.flush(3)
        self.assertIsInstance(replies[0].result(), result.Success)
        self.assertIsInstance(
            replies[1].result().failure(), errors.TableConflictError
        )

    def test_commit_with_lost_answer_is_recognised_by_its_nonce(self):
        reply = self.committer.add(create_change("a"))
        self.table.loses_answers = True
        self.flush()
        self.assertFalse(reply.done())
        self.table.loses_answers = False
        self.flush()
        version = self.backing_table.get("a").unwrap().version
        self.assertEqual(reply.result().unwrap(), version)

    def test_delayed_copy_has_no_effect_after_its_change_was_refused(self):
        """After a conflict was reported the change must not take effect."""
        self.backing_table.commit([], [tables.Write("b", "taken")])
        reply = self.committer.add(create_change("b"))
        self.table.is_delaying = True
        self.flush()
        self.table.is_delaying = False
        self.flush(3)
        self.assertIsInstance(
            reply.result().failure(), errors.TableConflictError
        )
        self.backing_table.commit([], [tables.Write("b", None)])
        self.table.deliver_delayed()
        self.assertIsNone(self.backing_table.get("b").unwrap())

    def test_delayed_copy_and_its_retry_apply_once(self):
        reply = self.committer.add(create_change("a"))
        self.table.is_delaying = True
        self.flush()
        self.table.is_delaying = False
        self.table.deliver_delayed()
        self.flush()
        self.assertIsInstance(reply.result(), result.Success)
        outcomes = self.table.deliver_delayed()
        self.assertIsInstance(outcomes[0], result.Failure)

    def test_refused_change_has_no_effect_during_an_outage(self):
        self.table.is_down = True
        reply = self.committer.add(create_change("a"))
        persistent = self.committer.add(create_change("b", is_kept=True))
        self.flush()
        self.assertIsInstance(
            reply.result().failure(), errors.TableUnavailableError
        )
        self.assertFalse(persistent.done())
        self.table.is_down = False
        self.flush()
        self.assertIsInstance(persistent.result(), result.Success)
        self.assertIsNone(self.backing_table.get("a").unwrap())

    def test_sender_gets_an_uncertain_result_after_the_time_limit(self):
        reply = self.committer.add(create_change("a"))
        self.table.loses_answers = True
        self.flush()
        self.table.is_down = True
        self.flush(80)
        self.assertIsInstance(
            reply.result().failure(), errors.TableUncertainError
        )

    def test_bulk_changes_do_not_delay_others(self):
        for number in range(1000):
            self.committer.add(create_change(f"bulk{number}", is_bulk=True))
        reply = self.committer.add(create_change("a"))
        self.flush()
        self.assertTrue(reply.done())


class QuotaChargeTest(unittest.TestCase):
    """Charges of a team's quota by one and by two committers."""

    def setUp(self):
        self.timers = timers.create_manual_timers()
        self.table = tables.create_memory_table()
        self.committers = [
            groupcommit.GroupCommitter(f"z1/vm{n}", self.table, self.timers)
            for n in range(2)
        ]

    def add(self, committer, key, cpu, limit=10):
        charge = quotas.Charge(
            "t", resources.Resources(cpu), resources.Resources(limit)
        )
        return committer.add(create_change(key, charge=charge))

    def flush(self, count=4):
        for _ in range(count):
            self.timers.advance(groupcommit.COMMIT_PERIOD_S)
            for committer in self.committers:
                committer.flush()

    def test_team_never_exceeds_its_quota_in_one_group(self):
        replies = [self.add(self.committers[0], f"k{n}", 4) for n in range(3)]
        self.flush()
        self.assertIsInstance(
            replies[2].result().failure(), errors.QuotaExceededError
        )
        self.assertEqual(self.read_usage(), resources.Resources(8))

    def test_two_entry_vms_never_exceed_a_quota_together(self):
        replies = [
            self.add(committer, f"{index}/{n}", 4)
            for n in range(3)
            for index, committer in enumerate(self.committers)
        ]
        self.flush()
        accepted = [
            r for r in replies if isinstance(r.result(), result.Success)
        ]
        self.assertEqual(len(accepted), 2)

    def test_released_quota_is_reusable_and_idle_team_has_no_row(self):
        first = self.add(self.committers[0], "a", 10)
        self.flush()
        first.result().unwrap()
        self.add(self.committers[1], "b", -10)
        self.flush()
        self.assertIsNone(self.table.get("quota/t").unwrap())
        second = self.add(self.committers[0], "c", 10)
        self.flush()
        second.result().unwrap()

    def read_usage(self):
        row = self.table.get("quota/t").unwrap()
        return wire.decode(resources.Resources, row.value)
