"""What the ledger says of ids, old and new."""

import unittest

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import ledger
from persimmonpath import outcomes

SHARD = identifiers.ShardId("zone-a", 0)
DONE = outcomes.Done(b"ok", "w")
FAILED = outcomes.Failed("broke", "w")
NOT_RUN = outcomes.NotRun("overloaded")
UNKNOWN = outcomes.Unknown("worker_lost")


def finish(book, outcome):
    """Issues an id, admits it and records an outcome."""
    request_id = book.issue(1)[0]
    book.admit(request_id, "digest")
    book.finish(request_id, outcome)
    return request_id


class LedgerTest(unittest.TestCase):
    def test_only_unknown_outcomes_change(self):
        """A caller may have been told the outcome already."""
        finals = (DONE, FAILED, NOT_RUN)
        cases = [(UNKNOWN, after, True) for after in finals]
        cases += [(a, b, a == b) for a in finals for b in (*finals, UNKNOWN)]
        for before, after, is_allowed in cases:
            with self.subTest(before=before, after=after):
                book = ledger.Ledger(SHARD, 1)
                request_id = finish(book, before)
                if is_allowed:
                    book.finish(request_id, after)
                    self.assertEqual(book.find(request_id).outcome, after)
                else:
                    with self.assertRaises(errors.InvariantError):
                        book.finish(request_id, after)

    def test_late_duplicate_of_an_evicted_id_never_runs(self):
        """Without the mark the evicted id would look new."""
        book = ledger.Ledger(SHARD, 1, max_entries=10)
        first = finish(book, DONE)
        running = book.issue(1)[0]
        book.admit(running, "digest")
        for _ in range(100):
            finish(book, DONE)
        self.assertEqual(len(book), 11)
        verdict = book.admit(first, "digest")
        self.assertIs(verdict, ledger.Verdict.UNCERTAIN)
        verdict = book.admit(running, "digest")
        self.assertIs(verdict, ledger.Verdict.DUPLICATE)

    def test_large_answers_are_evicted_by_their_bytes(self):
        """100,000 answers of 1 MiB would exhaust the memory."""
        book = ledger.Ledger(SHARD, 1, max_answer_bytes=1000)
        for _ in range(100):
            finish(book, outcomes.Done(b"x" * 100, "w"))
        self.assertEqual(len(book), 10)

    def test_evicted_id_of_an_earlier_epoch_is_uncertain(self):
        """The mark of the own epoch does not cover restored ids."""
        book = ledger.Ledger(SHARD, 5, max_entries=1)
        book.set_complete_since(0)
        for sequence in (1, 2):
            request_id = identifiers.RequestId(SHARD, 3, sequence)
            book.restore(request_id, "digest", 1, DONE)
        evicted = identifiers.RequestId(SHARD, 3, 1)
        self.assertIs(book.classify(evicted), ledger.Verdict.UNCERTAIN)

    def test_absent_id_of_an_earlier_epoch_is_never_run(self):
        """The earlier owner may have answered a duplicate `not_run`."""
        old = identifiers.RequestId(SHARD, 3, 1)
        book = ledger.Ledger(SHARD, 5)
        self.assertIs(book.admit(old, "digest"), ledger.Verdict.UNCERTAIN)
        book.set_complete_since(4)
        self.assertIs(book.admit(old, "digest"), ledger.Verdict.UNCERTAIN)
        book.set_complete_since(3)
        self.assertIs(book.admit(old, "digest"), ledger.Verdict.DUPLICATE)
        self.assertIsInstance(book.find(old).outcome, outcomes.NotRun)

    def test_later_attempt_decides_in_any_order_of_listings(self):
        """An idempotent request that failed may have run again elsewhere."""
        request_id = identifiers.RequestId(SHARD, 3, 1)
        attempts = [(1, FAILED), (2, DONE)]
        for order in (attempts, attempts[::-1]):
            book = ledger.Ledger(SHARD, 5)
            for number, outcome in order:
                book.restore(request_id, "digest", number, outcome)
            book.set_complete_since(0)
            self.assertEqual(book.find(request_id).outcome, DONE)

    def test_failure_is_final_only_once_all_workers_are_listed(self):
        """A worker that is not listed may run a further attempt."""
        request_id = identifiers.RequestId(SHARD, 3, 1)
        book = ledger.Ledger(SHARD, 5)
        book.restore(request_id, "digest", 1, FAILED)
        book.set_complete_since(5, is_listed=False)
        self.assertFalse(book.find(request_id).is_final())
        book.set_complete_since(0)
        self.assertEqual(book.find(request_id).outcome, FAILED)
