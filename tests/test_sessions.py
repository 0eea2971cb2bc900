"""Detection of lapsed sessions by other entry VMs."""

import unittest

from persimmonpath import sessions
from persimmonpath import timers
from tests import fakes

PREFIX = "session/zone-a/"
PERIOD_S = 2.0


class SessionObserverTest(unittest.TestCase):
    """Lapse, restart and reordered renewals of one session."""

    def setUp(self):
        cell = fakes.FakeCell()
        self.table = cell.table
        self.timers = timers.create_manual_timers()
        self.observer = sessions.SessionObserver(self.timers)
        self.session = sessions.create_session(
            "e0", "zone-a", "one", "e0:1", "e0:2", self.table, self.timers
        )

    def read(self):
        rows = self.table.scan(PREFIX).unwrap()
        self.observer.observe(PREFIX, rows, PERIOD_S)

    def has_lapsed(self):
        return self.observer.has_lapsed(self.session.record)

    def test_session_lapses_after_its_ttl_without_renewal(self):
        self.session.renew(1)
        self.read()
        self.timers.advance(PERIOD_S)
        self.read()
        self.assertFalse(self.has_lapsed())
        self.timers.advance(PERIOD_S)
        self.read()
        self.assertTrue(self.has_lapsed())

    def test_time_without_reads_does_not_count(self):
        """After an outage no session was renewed, but every VM is running."""
        self.session.renew(1)
        self.read()
        self.timers.advance(60.0)
        self.assertFalse(self.has_lapsed())
        self.read()
        self.assertFalse(self.has_lapsed())

    def test_one_missed_read_restarts_the_observation(self):
        self.session.renew(1)
        self.read()
        self.timers.advance(2 * PERIOD_S)
        self.read()
        self.assertFalse(self.has_lapsed())

    def test_restart_ends_the_session_of_the_former_process(self):
        self.session.renew(1)
        self.read()
        sessions.create_session(
            "e0", "zone-a", "two", "e0:1", "e0:2", self.table, self.timers
        ).renew(1)
        self.read()
        self.assertTrue(self.has_lapsed())

    def test_session_ends_locally_before_any_observer_sees_it_lapse(self):
        self.session.renew(1)
        self.timers.advance(0.125)
        self.read()
        for _ in range(2):
            self.timers.advance(PERIOD_S)
            self.read()
        self.assertTrue(self.has_lapsed())
        self.assertFalse(self.session.is_live())

    def test_lapse_or_gap_in_reads_resets_the_live_time(self):
        """Shards must not be transferred to a VM that may have failed."""
        for _ in range(6):
            self.session.renew(1)
            self.read()
            self.timers.advance(PERIOD_S)
        record = self.session.record
        self.assertEqual(self.observer.measure_live_s(record), 6 * PERIOD_S)
        self.timers.advance(10.0)
        self.read()
        self.assertEqual(self.observer.measure_live_s(record), 0.0)

    def test_reordered_renewals_never_lower_the_config_version(self):
        self.session.renew(7)
        self.session.renew(6)
        self.read()
        found = self.observer.find("zone-a", "e0")
        self.assertEqual(found.config_version, 7)


class RankCandidatesTest(unittest.TestCase):
    """Stability of the ranking."""

    def test_removed_candidate_moves_only_its_shards(self):
        """Otherwise the loss of a VM would move shards of other VMs."""
        table = fakes.FakeCell().table
        clock = timers.create_manual_timers()
        records = [
            sessions.create_session(
                f"e{i}", "zone-a", "x", "", "", table, clock
            ).record
            for i in range(4)
        ]
        for shard in range(32):
            before = sessions.rank_candidates(shard, records)[0]
            after = sessions.rank_candidates(shard, records[1:])[0]
            if before.vm != "e0":
                self.assertEqual(before, after)
