"""Tests of the outcome that is reported for a submission to be stored."""

import asyncio
import unittest

from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from tests.entry import fakes

ID = "00000000000000aa"


class ScriptedStore(fakes.FakeStore):
    """Returns the scripted outcomes in order and repeats the last one."""

    async def commit(self, part, expect, put, remove=(), timeout_s=None):
        self.commits.append((part, expect, put, remove))
        await asyncio.sleep(0)
        if len(self.outcomes) > 1:
            return self.outcomes.pop(0)
        return self.outcomes[0]

    def choose_timeout(self):
        return 1.0


def make_row(submission_id, version):
    return platform_store.Row(
        persistence.SUBMISSION_TABLE,
        persistence.find_partition(submission_id),
        submission_id,
        b"{}",
        version,
    )


class AcceptanceTest(unittest.IsolatedAsyncioTestCase):
    """Outcomes of submissions against a store with scripted outcomes."""

    async def store_submissions(self, outcomes, ids=(ID,), wait_s=0.4):
        store = ScriptedStore(outcomes)
        acceptor = acceptance.Acceptance(fakes.make_context(store))
        task = asyncio.create_task(acceptor.run())
        deadline = clock.read_clock() + wait_s
        verdicts = await asyncio.gather(
            *(acceptor.store(i, fakes.make_record(), deadline) for i in ids)
        )
        task.cancel()
        self.versions = [result.version for result in verdicts]
        return store, [result.outcome for result in verdicts]

    async def test_outcome_for_each_sequence_of_store_results(self):
        """A submission that was refused must never run."""
        committed = platform_store.Committed(5)
        refused = platform_store.Refused(503)
        unknown = platform_store.Unknown("timeout")
        repeated = platform_store.Conflict([make_row(ID, 3)])
        accepted = acceptance.Outcome.ACCEPTED
        cases = [
            ("stored", [committed], accepted),
            ("stored at the second try", [refused, committed], accepted),
            ("never read by the store", [refused], "refused"),
            ("perhaps stored", [unknown], "unknown"),
            ("perhaps stored, then refused", [unknown, refused], "unknown"),
            ("a repeat", [repeated], "repeated"),
            ("stored late, then found", [unknown, repeated], "repeated"),
        ]
        for name, outcomes, expected in cases:
            with self.subTest(name):
                _, verdicts = await self.store_submissions(list(outcomes))
                expected = acceptance.Outcome(expected)
                self.assertEqual(verdicts, [expected])

    async def test_a_repeat_doesn_t_delay_the_others_of_its_batch(self):
        other = f"{int(ID, 16) + persistence.SUBMISSION_PARTITIONS:016x}"
        self.assertEqual(
            persistence.find_partition(ID), persistence.find_partition(other)
        )
        conflict = platform_store.Conflict(
            [make_row(ID, 3), make_row(other, 0)]
        )
        store, verdicts = await self.store_submissions(
            [conflict, platform_store.Committed(5)], (ID, other)
        )
        self.assertEqual(
            verdicts,
            [acceptance.Outcome.REPEATED, acceptance.Outcome.ACCEPTED],
        )
        self.assertEqual(len(store.commits), 2)

    async def test_submissions_share_a_transaction(self):
        """Calls to the store are costly; a partition takes 200 a second."""
        ids = [
            f"{n * persistence.SUBMISSION_PARTITIONS:016x}" for n in range(20)
        ]
        store, _ = await self.store_submissions(
            [platform_store.Committed(5)], ids
        )
        self.assertEqual(len(store.commits), 1)

    async def test_a_row_is_written_only_if_there_is_none(self):
        store, _ = await self.store_submissions([platform_store.Committed(5)])
        expected = [(persistence.SUBMISSION_TABLE, ID, 0)]
        self.assertEqual(store.commits[0][1], expected)
