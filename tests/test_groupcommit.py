"""Many changes to one transaction."""

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


def make_change(key, version=0, **fields):
    return groupcommit.Change(
        (tables.Check(key, version),), (tables.Write(key, "1"),), **fields
    )


class DelayedTable(fakes.FaultyTable):
    """Keeps uncertain commits back, to be applied later."""

    def __init__(self, table):
        super().__init__(table)
        self.delayed = []
        self.delays = False

    def commit(self, checks, writes):
        if not self.delays:
            return super().commit(checks, writes)
        self.delayed.append((checks, writes))
        return make_uncertain()

    def deliver(self):
        return [self._table.commit(*d) for d in self.delayed]


def make_uncertain():
    return result.Failure(errors.TableUncertainError("lost"))


class GroupCommitTest(unittest.TestCase):
    def setUp(self):
        self.timers = timers.create_manual_timers()
        self.memory = tables.create_memory_table()
        self.table = DelayedTable(self.memory)
        self.committer = groupcommit.GroupCommitter(
            "z1/vm1", self.table, self.timers
        )

    def flush(self, count=1):
        for _ in range(count):
            self.timers.advance(groupcommit.COMMIT_PERIOD_S)
            self.committer.flush()

    def test_failed_check_of_one_change_does_not_fail_the_others(self):
        self.memory.commit([], [tables.Write("b", "taken")])
        replies = [self.committer.add(make_change(k)) for k in "abc"]
        self.flush(2)
        kinds = [type(r.result()).__name__ for r in replies]
        self.assertEqual(kinds, ["Success", "Failure", "Success"])
        self.assertEqual(self.memory.get("b").unwrap().value, "taken")

    def test_commits_are_no_more_often_than_the_budget_allows(self):
        for number in range(40):
            self.committer.add(make_change(f"k{number}"))
            self.timers.advance(0.025)
            self.committer.flush()
        self.assertLessEqual(self.table.commits, 20)

    def test_two_changes_of_one_row_never_overwrite_each_other(self):
        """In one transaction both checks would hold and one write be lost."""
        replies = [self.committer.add(make_change("a")) for _ in range(2)]
        self.flush(3)
        self.assertIsInstance(replies[0].result(), result.Success)
        self.assertIsInstance(
            replies[1].result().failure(), errors.TableConflictError
        )

    def test_commit_whose_answer_was_lost_is_recognised_as_its_own(self):
        reply = self.committer.add(make_change("a"))
        self.table.loses_answers = True
        self.flush()
        self.assertFalse(reply.done())
        self.table.loses_answers = False
        self.flush()
        version = self.memory.get("a").unwrap().version
        self.assertEqual(reply.result().unwrap(), version)

    def test_delayed_copy_has_no_effect_after_its_change_was_refused(self):
        """A sender told of a conflict must not find its change applied."""
        self.memory.commit([], [tables.Write("b", "taken")])
        reply = self.committer.add(make_change("b"))
        self.table.delays = True
        self.flush()
        self.table.delays = False
        self.flush(3)
        self.assertIsInstance(
            reply.result().failure(), errors.TableConflictError
        )
        self.memory.commit([], [tables.Write("b", None)])
        self.table.deliver()
        self.assertIsNone(self.memory.get("b").unwrap())

    def test_late_copy_and_its_repetition_apply_once(self):
        reply = self.committer.add(make_change("a"))
        self.table.delays = True
        self.flush()
        self.table.delays = False
        self.table.deliver()
        self.flush()
        self.assertIsInstance(reply.result(), result.Success)
        outcomes = self.table.deliver()
        self.assertIsInstance(outcomes[0], result.Failure)

    def test_refused_submission_surely_had_no_effect_while_table_is_down(self):
        self.table.is_down = True
        reply = self.committer.add(make_change("a"))
        kept = self.committer.add(make_change("b", is_kept=True))
        self.flush()
        self.assertIsInstance(
            reply.result().failure(), errors.TableUnavailableError
        )
        self.assertFalse(kept.done())
        self.table.is_down = False
        self.flush()
        self.assertIsInstance(kept.result(), result.Success)
        self.assertIsNone(self.memory.get("a").unwrap())

    def test_sender_is_told_when_its_commit_stays_in_doubt(self):
        reply = self.committer.add(make_change("a"))
        self.table.loses_answers = True
        self.flush()
        self.table.is_down = True
        self.flush(80)
        self.assertIsInstance(
            reply.result().failure(), errors.TableUncertainError
        )

    def test_bulk_changes_leave_room_for_others(self):
        for number in range(1000):
            self.committer.add(make_change(f"bulk{number}", is_bulk=True))
        reply = self.committer.add(make_change("a"))
        self.flush()
        self.assertTrue(reply.done())


class QuotaTest(unittest.TestCase):
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
        return committer.add(make_change(key, charge=charge))

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

    def test_refund_makes_room_and_idle_team_has_no_row(self):
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
