"""Tests of learned run times and of the row that keeps them."""

import asyncio
import json
import unittest

from persimmonpath_entry.decisions import runtimes
from persimmonpath_entry.engine import learnedrows
from persimmonpath_entry.engine import stepranking
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

KIND = "slips/img"


def observe(run_times, values, declared_s=0.5, kind=KIND):
    for value in values:
        run_times.observe(kind, value, declared_s)


class RunTimesTest(unittest.TestCase):
    def setUp(self):
        self.run_times = runtimes.RunTimes()

    def test_callers_estimates_apply_until_enough_runs_have_ended(self):
        observe(self.run_times, [2.0] * (runtimes.MIN_SAMPLES - 1))
        self.assertIsNone(self.run_times.predict_s(KIND, 0.5))
        observe(self.run_times, [2.0])
        self.assertEqual(self.run_times.predict_s(KIND, 0.5), 2.0)

    def test_a_few_stragglers_change_nothing(self):
        observe(self.run_times, [1.0, 1.0, 1.0, 9.0] * 10)
        self.assertEqual(self.run_times.predict_s(KIND, 0.5), 1.0)

    def test_the_mean_counts_for_the_work_that_waits(self):
        """A tenth of the tasks takes most of the time."""
        observe(self.run_times, [*([1.0] * 9), 20.0] * 12)
        self.assertEqual(self.run_times.predict_s(KIND, 0.5), 1.0)
        mean_s = self.run_times.predict_mean_s(KIND, 0.5)
        self.assertAlmostEqual(mean_s, 2.9, delta=0.7)

    def test_estimates_that_mean_nothing_are_ignored(self):
        """Callers that are off by up to ten times, at random."""
        for number in range(30):
            declared_s = 0.5 * 10 ** ((number * 7 % 11 - 5) / 5)
            observe(self.run_times, [0.5 + 0.01 * (number % 3)], declared_s)
        for declared_s in (0.05, 0.5, 5.0):
            predicted_s = self.run_times.predict_s(KIND, declared_s)
            self.assertAlmostEqual(predicted_s, 0.51, delta=0.02)

    def test_estimates_off_by_a_common_factor_are_corrected(self):
        """Tasks of one image that differ, all declared at a fifth."""
        for number in range(30):
            run_s = 0.2 * 2 ** (number % 6)
            observe(self.run_times, [run_s], run_s / 5)
        self.assertAlmostEqual(self.run_times.predict_s(KIND, 0.1), 0.5)

    def test_kinds_are_bounded(self):
        for number in range(1500):
            observe(self.run_times, [1.0] * 8, kind=f"slips/{number}")
        kinds = [kind for kind, _ in self.run_times.list_learned()]
        self.assertEqual(len(kinds), 1000)
        self.assertIn("slips/1499", kinds)

    def test_a_step_without_an_image_is_named_by_its_number(self):
        names = {
            runtimes.name_kind("q", submissions.StepSpec(image=image), number)
            for image, number in (("", 0), ("", 1), ("i", 0), ("i", 1))
        }
        self.assertEqual(names, {"q#0", "q#1", "q/i"})
        spec = submissions.StepSpec(image="x" * 5000)
        self.assertLess(len(runtimes.name_kind("q", spec, 0)), 100)


class LearnedRowTest(unittest.TestCase):
    """Covers a takeover: the next owner knew nothing for its first seconds."""

    def make_shard(self, store=None, fence=5):
        node = fakes.make_context(store or fakes.VersionedStore())
        return fakes.make_shard(node, fence)

    def teach(self, shard, workers=3):
        for number in range(workers):
            worker = fakes.add_worker(shard, f"w{number}")
            for _ in range(20):
                factor = 1.0 if number else 2.0
                shard.learner.speeds.record(worker, factor, False)
        observe(shard.learner.run_times, [1.5] * 20)
        shard.learner.version += 20
        shard.learner.refresh_factors()

    def pass_on(self, value):
        """Returns a new owner's shard, after it has read a row."""
        store = fakes.VersionedStore()
        store.rows["learned", fakes.SERVICE, "runtimes"] = (3, value)
        shard = self.make_shard(store, fence=9)
        for number in range(3):
            fakes.add_worker(shard, f"w{number}")
        keeper = learnedrows.LearnedRowKeeper(shard)
        fakes.run_async(keeper.read())
        return shard, keeper

    def test_the_next_owner_knows_it(self):
        shard = self.make_shard()
        self.teach(shard)
        successor, _ = self.pass_on(learnedrows.encode_learned(shard))
        learner = successor.learner
        self.assertAlmostEqual(learner.run_times.predict_s(KIND, 0.5), 1.5)
        factor = successor.workers["w0"].run_time_factor
        self.assertGreater(factor, 1.6)

    def test_stored_values_count_as_few_runs(self):
        shard = self.make_shard()
        self.teach(shard)
        successor, _ = self.pass_on(learnedrows.encode_learned(shard))
        learner = successor.learner
        worker = successor.workers["w0"]
        observe(learner.run_times, [0.3] * 4)
        self.assertEqual(learner.run_times.predict_s(KIND, 0.5), 0.3)
        for _ in range(20):
            learner.speeds.record(worker, 1.0, False)
        self.assertLess(learner.speeds.choose_factor(worker), 1.2)

    def test_odd_rows_do_no_harm(self):
        """An unreadable row must not end the owner's task."""
        huge = {"run_times": {KIND: [1e15, 1e15, 1e15, 1e15]}}
        wrong_order = {"run_times": {KIND: [5.0, 1.0]}}
        rows = [
            b"",
            b"{",
            b"[]",
            b"null",
            b"\xff\xfe",
            json.dumps({"run_times": 3}).encode(),
            json.dumps(huge).encode(),
            json.dumps(wrong_order).encode(),
            json.dumps({"workers": {"w0": [1e300, 5, 1]}}).encode(),
            json.dumps({"workers": {"w0": [-900.0, 1e9, 1]}}).encode(),
            json.dumps({"kinds": {"a": [99.0, 1e9, 0]}}).encode(),
        ]
        for value in rows:
            with self.subTest(value):
                shard, _ = self.pass_on(value)
                predicted = shard.learner.run_times.predict_s(KIND, 0.5)
                self.assertIsNone(predicted)
                self.assertEqual(shard.workers["w0"].run_time_factor, 1.0)

    def test_the_row_stays_within_its_size(self):
        shard = self.make_shard()
        self.teach(shard, workers=900)
        for number in range(900):
            kind = f"slips/{number:04}{'x' * 70}"
            observe(shard.learner.run_times, [1.0] * 8, kind=kind)
        value = learnedrows.encode_learned(shard)
        self.assertLessEqual(len(value), 48_000)
        record = json.loads(value)
        self.assertGreater(len(record["run_times"]), 200)
        self.assertGreater(len(record["workers"]), 200)

    def test_a_replaced_owner_doesn_t_write_over_the_next_one(self):
        store = fakes.VersionedStore()
        former = self.make_shard(store, fence=5)
        former_keeper = learnedrows.LearnedRowKeeper(former)
        new = self.make_shard(store, fence=6)
        new_keeper = learnedrows.LearnedRowKeeper(new)

        async def write_both():
            await former_keeper.read()
            await new_keeper.read()
            self.teach(new)
            await new_keeper.write()
            version = store.version
            await new_keeper.write()
            # Nothing has changed.
            self.assertEqual(store.version, version)
            self.teach(former)
            for _ in range(3):
                await former_keeper.write()
                await former_keeper.read()

        fakes.run_async(write_both())
        _, value = store.find("learned", fakes.SERVICE, "runtimes")
        self.assertEqual(json.loads(value)["fence"], 6)


class LearnedReaderTest(unittest.IsolatedAsyncioTestCase):
    """Covers VMs that decide on submissions for another owner."""

    async def test_it_predicts_from_the_owners_row_without_waiting(self):
        owner = fakes.make_shard()
        observe(owner.learner.run_times, [1.5] * 20)
        store = fakes.VersionedStore()
        value = learnedrows.encode_learned(owner)
        store.rows["learned", fakes.SERVICE, "runtimes"] = (3, value)
        reader = learnedrows.LearnedReader(
            fakes.make_context(store), lambda service: None
        )
        spec = submissions.StepSpec(count=1, estimated_ms=300, image="img")
        record = fakes.make_record(spec)
        self.assertIsNone(reader.predict_run_ms(record))
        await asyncio.gather(*reader._tasks)
        (run_ms,) = reader.predict_run_ms(record)
        self.assertAlmostEqual(run_ms, 1500)
        self.assertEqual(reader._tasks, set())


class RankingTest(unittest.TestCase):
    """Covers an estimate of a fifth of the true run time."""

    def test_a_learned_path_decides_whether_a_step_is_late(self):
        shard = fakes.make_shard()
        ranking = stepranking.StepRanking(shard, None)
        spec = submissions.StepSpec(count=1, estimated_ms=100, image="img")
        shard.apply_submission("0" * 16, fakes.make_record(spec))
        step = shard.submissions["0" * 16].steps["0.0"]
        now = clock.read_clock()
        step.counted_since = now - 0.5
        self.assertTrue(ranking.rank(step, now)[0].is_late)
        observe(shard.learner.run_times, [0.5] * 8, 0.1)
        self.assertFalse(ranking.rank(step, now)[0].is_late)
