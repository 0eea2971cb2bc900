"""Commits, conflicts and acceptance of the configuration."""

import unittest

from persimmonpath import acceptance
from persimmonpath import configuration
from persimmonpath import configversions
from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath import rules
from persimmonpath import tables
from tests import fakes

EMPTY_INVENTORY = inventory.Inventory()
RULES = rules.Rules()


def create_inventory(names, shards=2, **fields):
    return inventory.Inventory(
        zones=(inventory.Zone(name="zone-a", shards=shards),),
        workers=tuple(
            inventory.Worker(
                name=name,
                zone="zone-a",
                rack="rack-0",
                host="127.0.0.1",
                port=1,
                cpu_millis=1000,
                memory_mib=1024,
                **fields,
            )
            for name in names
        ),
    )


class VersionStoreTest(unittest.TestCase):
    """Commits and reads during faults of the table."""

    def setUp(self):
        self.rows = tables.create_memory_table()
        self.table = fakes.FaultyTable(self.rows)
        self.store = configversions.ConfigVersionStore(self.table)

    def commit(
        self, based_on, author="one", nonce="n1", content=EMPTY_INVENTORY
    ):
        return self.store.commit(based_on, author, nonce, content, RULES)

    def test_commit_with_lost_answer_is_recognised_by_its_nonce(self):
        self.table.loses_answers = True
        self.assertEqual(self.commit(0).unwrap().version, 1)
        self.table.loses_answers = False
        self.assertEqual(self.store.read_current().unwrap().version, 1)

    def test_commit_with_lost_answer_is_recognised_below_a_newer_version(self):
        """Another operator commits before the first reads its commit back."""
        other_operator = configversions.ConfigVersionStore(self.rows)
        original = self.table.commit

        def commit_and_be_overtaken(checks, writes):
            self.table.commit = original
            original(checks, writes)
            other_operator.commit(
                1, "two", "n2", EMPTY_INVENTORY, RULES
            ).unwrap()
            return original(checks, writes)

        self.table.commit = commit_and_be_overtaken
        self.assertEqual(self.commit(0).unwrap().author, "one")
        self.assertEqual(self.store.read_current().unwrap().author, "two")

    def test_rejected_commit_names_the_current_author(self):
        self.commit(0, "one", "n1").unwrap()
        lost = self.commit(0, "two", "n2").unwrap()
        self.assertEqual(lost, configversions.Conflict(0, 1, "one"))

    def test_concurrent_commits_have_one_winner(self):
        other_operator = configversions.ConfigVersionStore(self.rows)
        original = self.table.commit

        def commit_after_other(checks, writes):
            self.table.commit = original
            other_operator.commit(
                0, "two", "n2", EMPTY_INVENTORY, RULES
            ).unwrap()
            return original(checks, writes)

        self.table.commit = commit_after_other
        self.assertEqual(
            self.commit(0).unwrap(), configversions.Conflict(0, 1, "two")
        )

    def test_commit_during_an_outage_has_no_effect(self):
        self.table.is_down = True
        error = self.commit(0).failure()
        self.assertIsInstance(error, errors.TableUnavailableError)

    def test_history_names_every_author(self):
        for version, author in enumerate(("one", "two", "three")):
            self.commit(version, author, author).unwrap()
        history = self.store.read_history(2).unwrap()
        self.assertEqual([r.author for r in history], ["three", "two"])

    def test_applied_changes_give_the_committed_version(self):
        contents = [["a", "b"], ["b"], ["b", "c"], ["a", "c"]]
        first = None
        for version, names in enumerate(contents):
            content = create_inventory(names)
            done = self.commit(version, content=content).unwrap()
            first = first or done
        newer = self.store.read_newer(first).unwrap()
        self.assertEqual(newer, self.store.read(4).unwrap())

    def test_old_snapshots_are_deleted(self):
        """Otherwise the table would grow by 170 KB with every version."""
        last = configversions.KEPT_SNAPSHOTS + 5
        for version in range(last):
            self.commit(version, nonce=f"n{version}").unwrap()
        rows = self.rows.scan("config/version/").unwrap()
        self.assertEqual(len(rows), configversions.KEPT_SNAPSHOTS)
        behind = configuration.Configuration(1, "one", EMPTY_INVENTORY, RULES)
        newest = self.store.read_newer(behind).unwrap()
        self.assertEqual(newest.version, last)

    def test_damaged_change_is_not_applied(self):
        first = self.commit(0, content=create_inventory(["a"])).unwrap()
        second = self.commit(1, content=create_inventory(["a", "b"])).unwrap()
        key = configversions.format_change_key(2)
        row = self.rows.get(key).unwrap()
        damaged = row.value.replace('"b"', '"x"')
        self.rows.commit([], [tables.Write(key, damaged)])
        self.assertEqual(self.store.read_newer(first).unwrap(), second)


class CreateSuccessorTest(unittest.TestCase):
    """Assigned shards and retired workers of the next version."""

    def commit(self, base, names, **fields):
        return configuration.create_successor(
            base, "one", create_inventory(names, **fields), RULES
        )

    def find_shards(self, config):
        return {w.name: w.shard for w in config.inventory.workers}

    def test_worker_keeps_its_shard_when_others_are_added_or_removed(self):
        """Its records and its epoch belong to the shard."""
        first = self.commit(configuration.EMPTY, ["a", "b", "c", "d"])
        shards = self.find_shards(first)
        gone = self.commit(first, ["c", "d"])
        back = self.commit(gone, ["d", "c", "b", "a"])
        self.assertEqual(self.find_shards(back), shards)

    def test_removed_worker_is_retired_until_it_returns(self):
        first = self.commit(configuration.EMPTY, ["a", "b"])
        gone = self.commit(first, ["b"])
        (retired,) = gone.retired
        shard = retired.worker.shard_id
        self.assertEqual(gone.find_last_removal(shard), 2)
        self.assertEqual(self.commit(gone, ["a", "b"]).retired, ())

    def test_forgotten_removals_still_count(self):
        names = [f"w{i}" for i in range(250)]
        first = self.commit(configuration.EMPTY, names)
        gone = self.commit(first, [])
        later = self.commit(gone, [])
        self.assertEqual(len(later.retired), 200)
        self.assertEqual(later.forgotten_version, 2)

    def test_shard_assignments_cannot_be_changed(self):
        first = self.commit(configuration.EMPTY, ["a", "b"])
        other = 1 - first.inventory.workers[0].shard
        with self.assertRaises(errors.InputError):
            self.commit(first, ["a"], shard=other)
        with self.assertRaises(errors.InputError):
            self.commit(first, ["a", "b"], shards=3)


class AppliedConfigurationTest(unittest.TestCase):
    """Order of the versions that a process applies."""

    def test_lower_version_never_replaces_a_higher_one(self):
        applied = configuration.AppliedConfiguration()
        second = configuration.Configuration(2, "one", EMPTY_INVENTORY, RULES)
        first = configuration.Configuration(1, "one", EMPTY_INVENTORY, RULES)
        self.assertTrue(applied.apply(second))
        self.assertFalse(applied.apply(first))
        self.assertEqual(applied.config.version, 2)


class AcceptanceTest(unittest.TestCase):
    """Acceptance in two zones; `b0` is the only entry VM of the second."""

    def setUp(self):
        self.cell = fakes.FakeCell()
        self.cell.add_worker("w0")
        for name in ("a0", "a1"):
            self.cell.add_entry(name)
        self.cell.add_entry("b0", "zone-b")
        self.cell.timers.advance(12.0)
        self.cell.import_inventory()
        self.cell.timers.advance(12.0)
        self.entry = self.cell.entries["a0"]

    def commit(self):
        base = self.entry.applied.config
        return self.entry.commit_config(
            base.version, "one", base.inventory, base.rules
        ).unwrap()

    def read_status(self, version):
        return self.entry.read_config_status(version).unwrap()

    def test_version_is_applied_everywhere_within_four_seconds(self):
        self.assertIsInstance(self.commit(), acceptance.Pending)
        self.cell.timers.advance(4.0)
        row = self.cell.store.get(acceptance.ACCEPTED_KEY).unwrap()
        self.assertIn("2", row.value)
        for entry in self.cell.entries.values():
            self.assertEqual(entry.applied.config.version, 2)

    def test_partitioned_zone_is_awaited_and_reported(self):
        self.cell.tables["b0"].is_down = True
        self.commit()
        self.cell.timers.advance(60.0)
        expected = acceptance.Pending(2, ("zone-b",), ("b0",))
        self.assertEqual(self.read_status(2), expected)
        self.cell.tables["b0"].is_down = False
        self.cell.timers.advance(4.0)
        self.assertEqual(self.read_status(2), acceptance.Accepted(2))

    def test_unlisted_vm_is_not_awaited(self):
        self.cell.pause("b0")
        self.commit()
        self.cell.timers.advance(20.0)
        self.assertIsInstance(self.read_status(2), acceptance.Pending)
        self.cell.machines.mark("b0", None)
        self.cell.timers.advance(25.0)
        self.assertEqual(self.read_status(2), acceptance.Accepted(2))

    def test_live_vm_missing_from_a_lagging_list_is_awaited(self):
        self.cell.machines.mark("b0", None)
        self.cell.timers.advance(4.0)
        self.commit()
        self.assertIsInstance(self.read_status(2), acceptance.Pending)

    def test_later_version_covers_the_earlier_one(self):
        self.commit()
        self.commit()
        self.cell.timers.advance(4.0)
        self.assertEqual(self.read_status(2), acceptance.Accepted(2))
        self.assertEqual(self.read_status(3), acceptance.Accepted(3))

    def test_accepted_version_stays_accepted(self):
        self.commit()
        self.cell.timers.advance(4.0)
        self.cell.add_entry("a2")
        self.assertEqual(self.read_status(2), acceptance.Accepted(2))

    def test_failed_read_after_the_commit_reports_it_as_pending(self):
        table = self.cell.tables["a0"]
        original = table.commit

        def commit(checks, writes):
            reply = original(checks, writes)
            table.is_down = True
            return reply

        table.commit = commit
        self.assertEqual(self.commit(), acceptance.Pending(2, (), ()))
