"""Tests of the deduplication records of requests."""

import unittest

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import requestrecords

SHARD = identifiers.ShardId("zone-a", 0)
DONE = outcomes.Done(b"ok", "w")
FAILED = outcomes.Failed("broke", "w")
NOT_RUN = outcomes.NotRun("overloaded")
UNKNOWN = outcomes.Unknown("worker_lost")


def finish(records, outcome):
    """Issues an id, admits it and records an outcome."""
    request_id = records.issue(1)[0]
    records.admit(request_id, "digest")
    records.finish(request_id, outcome)
    return request_id


class RequestRecordsTest(unittest.TestCase):
    def test_only_unknown_outcomes_change(self):
        """A caller may have been told the outcome already."""
        finals = (DONE, FAILED, NOT_RUN)
        cases = [(UNKNOWN, after, True) for after in finals]
        cases += [(a, b, a == b) for a in finals for b in (*finals, UNKNOWN)]
        for before, after, is_allowed in cases:
            with self.subTest(before=before, after=after):
                records = requestrecords.RequestRecords(SHARD, 1)
                request_id = finish(records, before)
                if is_allowed:
                    records.finish(request_id, after)
                    self.assertEqual(records.find(request_id).outcome, after)
                else:
                    with self.assertRaises(errors.InvariantError):
                        records.finish(request_id, after)

    def test_late_duplicate_of_an_evicted_id_never_runs(self):
        """Without the eviction mark the evicted id would count as new."""
        records = requestrecords.RequestRecords(SHARD, 1, max_entries=10)
        first = finish(records, DONE)
        running = records.issue(1)[0]
        records.admit(running, "digest")
        for _ in range(100):
            finish(records, DONE)
        self.assertEqual(len(records), 11)
        status = records.admit(first, "digest")
        self.assertIs(status, requestrecords.IdStatus.UNCERTAIN)
        status = records.admit(running, "digest")
        self.assertIs(status, requestrecords.IdStatus.DUPLICATE)

    def test_large_answers_are_evicted_by_their_bytes(self):
        """100,000 answers of 1 MiB would exhaust the memory."""
        records = requestrecords.RequestRecords(SHARD, 1, max_answer_bytes=1000)
        for _ in range(100):
            finish(records, outcomes.Done(b"x" * 100, "w"))
        self.assertEqual(len(records), 10)

    def test_evicted_id_of_an_earlier_epoch_is_uncertain(self):
        """The eviction mark of the own epoch doesn't cover restored ids."""
        records = requestrecords.RequestRecords(SHARD, 5, max_entries=1)
        records.set_complete_since(0)
        for sequence in (1, 2):
            request_id = identifiers.RequestId(SHARD, 3, sequence)
            records.restore(request_id, "digest", 1, DONE)
        evicted = identifiers.RequestId(SHARD, 3, 1)
        self.assertIs(
            records.classify(evicted), requestrecords.IdStatus.UNCERTAIN
        )

    def test_id_of_an_earlier_epoch_without_a_record_is_never_run(self):
        """The earlier owner may have answered a duplicate `not_run`."""
        old = identifiers.RequestId(SHARD, 3, 1)
        records = requestrecords.RequestRecords(SHARD, 5)
        self.assertIs(
            records.admit(old, "digest"), requestrecords.IdStatus.UNCERTAIN
        )
        records.set_complete_since(4)
        self.assertIs(
            records.admit(old, "digest"), requestrecords.IdStatus.UNCERTAIN
        )
        records.set_complete_since(3)
        self.assertIs(
            records.admit(old, "digest"), requestrecords.IdStatus.DUPLICATE
        )
        self.assertIsInstance(records.find(old).outcome, outcomes.NotRun)

    def test_latest_attempt_wins_in_any_order_of_listings(self):
        """An idempotent request that failed may have run again elsewhere."""
        request_id = identifiers.RequestId(SHARD, 3, 1)
        attempts = [(1, FAILED), (2, DONE)]
        for order in (attempts, attempts[::-1]):
            records = requestrecords.RequestRecords(SHARD, 5)
            for number, outcome in order:
                records.restore(request_id, "digest", number, outcome)
            records.set_complete_since(0)
            self.assertEqual(records.find(request_id).outcome, DONE)

    def test_failure_is_final_only_once_all_workers_are_listed(self):
        """An unlisted worker may run a later attempt."""
        request_id = identifiers.RequestId(SHARD, 3, 1)
        records = requestrecords.RequestRecords(SHARD, 5)
        records.restore(request_id, "digest", 1, FAILED)
        records.set_complete_since(5, all_workers_listed=False)
        self.assertFalse(records.find(request_id).is_final())
        records.set_complete_since(0)
        self.assertEqual(records.find(request_id).outcome, FAILED)
