"""Tests against a store that refuses too large rows and transactions."""

import asyncio
import json
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonpath_entry.engine import acceptance
from persimmonpath_entry.engine import clientapi
from persimmonpath_entry.engine import connectivity
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shardmaintenance
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpserver
from tests.entry import fakes

ID = "00000000000000aa"
OTHER_ID = "00000000000000bb"
ROW_BYTES = 65536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100
# Transactions after which all progress has to be stored.
MAX_WRITES = 400


class LimitedStore(fakes.VersionedStore):
    """Refuses what is too large, or rows of chosen keys.

    Attributes:
      refused_keys: keys of rows that are refused, whatever their size.
      refused: number of refused transactions.
    """

    def __init__(self, row_bytes=ROW_BYTES):
        super().__init__()
        self.row_bytes = row_bytes
        self.refused_keys = set()
        self.refused = 0

    def _exceeds_limits(self, expect, put, remove):
        values = [value for _, _, value in put]
        return (
            len(expect) + len(put) + len(remove) > CALL_ENTRIES
            or sum(len(v) for v in values) * 4 / 3 > CALL_BYTES
            or any(len(v) * 4 / 3 > self.row_bytes for v in values)
            or any(key in self.refused_keys for _, key, _ in put)
        )

    async def commit(self, part, expect, put, remove=(), timeout_s=1.0):
        if self._exceeds_limits(expect, put, remove):
            self.refused += 1
            return platform_store.Refused(400)
        return await super().commit(part, expect, put, remove)


def make_node(row_bytes=ROW_BYTES):
    node = fakes.make_context(LimitedStore(row_bytes))
    node.settings.store = msgspec.structs.replace(
        node.settings.store, row_bytes=row_bytes
    )
    return node


def finish_task(shard, submission, key):
    task = submission.find_task(key)
    shard.run_end_handler.handle_run_end(
        task, 1, "done", "", shard.workers["w1"]
    )


class WriterCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests of one owner and its successor."""

    def setUp(self):
        self.set_up_owner(make_node())

    def set_up_owner(self, node):
        self.node = node
        self.store = node.store
        self.shard = fakes.make_shard(node)
        fakes.add_worker(self.shard)
        self.writer = persistence.ShardWriter(self.shard, 0, lambda: None)

    async def store_all(self):
        """Writes until nothing is left to be stored."""
        for _ in range(MAX_WRITES):
            await self.writer._write()
            if not self.shard.dirty:
                return
        self.fail(f"not stored: {list(self.shard.dirty)}")

    def add(self, record, submission_id=ID):
        """Adds a submission that the store holds."""
        part = persistence.find_partition(submission_id)
        self.store.rows[persistence.SUBMISSION_TABLE, part, submission_id] = (
            5,
            msgspec.json.encode(record),
        )
        self.shard.apply_submission(submission_id, record, version=5)
        return self.shard.submissions[submission_id]

    async def load_successor(self):
        """Returns the shard of another owner that has read the store."""
        successor = fakes.make_shard(self.node, fence=9)
        fakes.add_worker(successor)
        maintenance = shardmaintenance.ShardMaintenance(successor, None)
        self.assertTrue(await maintenance.load())
        return successor


class ScheduleTest(WriterCase):
    """Schedules of many occurrences, all of them due."""

    def make_schedule(self, occurrences, steps, count=1, **changes):
        step = submissions.StepSpec(count=count, cpu=10, **changes)
        return fakes.make_record(
            *[step] * steps,
            occurrences=occurrences,
            start_ms=1,
            interval_ms=1,
        )

    async def test_the_progress_of_a_long_schedule_is_stored(self):
        """It outgrew its row, and its service lost its owner for good."""
        for occurrences, steps in ((1400, 5), (4000, 3), (10_000, 2)):
            with self.subTest(occurrences=occurrences, steps=steps):
                self.set_up_owner(make_node())
                submission = self.add(self.make_schedule(occurrences, steps))
                for occurrence in range(occurrences):
                    self.shard.occurrence_opener.open_due(submission)
                    for step in range(steps):
                        finish_task(
                            self.shard, submission, f"{occurrence}.{step}.0"
                        )
                    if occurrence % 500 == 0:
                        await self.store_all()
                await self.store_all()
                self.assertEqual(self.store.refused, 0)
                self.assertEqual(submission.state, submissions.COMPLETED)

    async def test_no_accepted_schedule_outgrows_its_row(self):
        """Every open occurrence is left with one task that isn't done."""
        for occurrences, steps, count, row_bytes in (
            (1400, 5, 1, ROW_BYTES),
            (10_000, 7, 1, ROW_BYTES),
            (10_000, 1, 2, 16384),
            (10_000, 2, 40, 8192),
            (300, 2, 9000, ROW_BYTES),
        ):
            with self.subTest(occurrences=occurrences, steps=steps):
                self.set_up_owner(make_node(row_bytes))
                record = self.make_schedule(occurrences, steps, count)
                self.assertIsNone(submissions.check_size(record, row_bytes))
                submission = self.add(record)
                for step in list(submission.steps.values()):
                    for task in step.tasks[step.number == 0 :]:
                        finish_task(self.shard, submission, task.key)
                await self.store_all()
                self.assertEqual(self.store.refused, 0)
                self.assertTrue(submission.is_active)

    async def test_occurrences_wait_only_while_too_many_are_open(self):
        submission = self.add(self.make_schedule(3000, 5))
        limit = submission.open_limit // 2
        self.assertLess(limit, 3000)
        self.assertEqual(submission.count_open(), limit)
        for step in range(5):
            finish_task(self.shard, submission, f"7.{step}.0")
        self.shard.occurrence_opener.open_due(submission)
        self.assertTrue(submission.is_open(limit))
        self.assertEqual(submission.count_open(), limit)

    async def test_a_successor_continues_a_schedule(self):
        """It must not run what is done, and run all the rest."""
        submission = self.add(self.make_schedule(50, 2))
        for occurrence in (0, 3, 49):
            finish_task(self.shard, submission, f"{occurrence}.0.0")
            finish_task(self.shard, submission, f"{occurrence}.1.0")
        finish_task(self.shard, submission, "7.0.0")
        await self.store_all()
        successor = await self.load_successor()
        loaded = successor.submissions[ID]
        self.assertEqual(loaded.count_open(), 47)
        self.assertTrue(loaded.find_task("7.0.0").is_done)
        self.assertFalse(loaded.find_task("7.1.0").is_done)
        self.assertIsNone(successor.occurrence_opener.find_task(f"{ID}.3.0.0"))
        for occurrence in range(50):
            for step in range(2):
                if loaded.find_task(f"{occurrence}.{step}.0"):
                    finish_task(successor, loaded, f"{occurrence}.{step}.0")
        self.assertEqual(loaded.state, submissions.COMPLETED)

    async def test_progress_of_the_former_format_is_read(self):
        """An entry for each occurrence and step, also of finished ones."""
        self.add(self.make_schedule(20, 2))
        progress = submissions.ProgressRecord(
            done={"0.0": 1, "0.1": 1, "1.0": 1}
        )
        self.store.rows["progress", fakes.SERVICE, ID] = (
            6,
            msgspec.json.encode(progress),
        )
        loaded = (await self.load_successor()).submissions[ID]
        self.assertTrue(loaded.is_finished(0))
        self.assertTrue(loaded.find_task("1.0.0").is_done)
        self.assertFalse(loaded.find_task("1.1.0").is_done)

    async def test_a_task_of_an_occurrence_not_open_yet_is_found(self):
        """Its end would be acknowledged unseen, and the task run again."""
        submission = self.add(self.make_schedule(3000, 5))
        task = self.shard.occurrence_opener.find_task(f"{ID}.2999.0.0")
        self.assertEqual(task.name, f"{ID}.2999.0.0")
        for name in ("3000.0.0", "x.0.0", "2999.9.0", "", "9" * 30 + ".0.0"):
            self.assertIsNone(
                self.shard.occurrence_opener.find_task(f"{ID}.{name}")
            )
        self.assertLess(submission.next_occurrence, 2999)
        for occurrence in range(3000):
            self.shard.occurrence_opener.find_task(f"{ID}.{occurrence}.0.0")
        self.assertEqual(submission.count_open(), submission.open_limit)

    def test_schedules_that_can_t_be_stored_are_rejected(self):
        """Long-running tasks keep all occurrences open."""
        cases = [
            (self.make_schedule(10_000, 5, long_running=True), "occurrences"),
            (self.make_schedule(3, 60, 9000), "steps"),
            (fakes.make_record(spec="x" * 70_000), "spec"),
        ]
        for record, problem in cases:
            found = submissions.check_size(record, ROW_BYTES)
            self.assertIn(problem, found)

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.integers(0, 10_000),
        strategies.lists(strategies.integers(1, 10_000), max_size=30),
        strategies.sampled_from([4096, 16384, ROW_BYTES, 1 << 20]),
    )
    def test_the_masks_of_open_occurrences_fit_into_a_row(
        self, occurrences, counts, row_bytes
    ):
        """Any accepted submission, in the longest state that it may have."""
        steps = [submissions.StepSpec(count=n) for n in counts or [1]]
        record = fakes.make_record(*steps, occurrences=occurrences)
        if submissions.check_size(record, row_bytes):
            return
        max_bytes = row_bytes // 4 * 3
        limit = submissions.count_open_limit(record, max_bytes)
        first = max(0, occurrences - limit)
        progress = submissions.ProgressRecord(
            state=submissions.CANCELLED,
            ended_ms=1 << 41,
            finished=(1 << occurrences) - 1,
            done={
                f"{first + number}.{step}": (1 << spec.count) - 1
                for number in range(min(limit, max(1, occurrences)))
                for step, spec in enumerate(steps)
            },
        )
        self.assertLessEqual(len(msgspec.json.encode(progress)), max_bytes)


class FailureTest(WriterCase):
    """Submissions with many failures and checkpoints."""

    async def test_failures_of_many_tasks_are_stored(self):
        """They outgrew the row; the next owner would not count them."""
        step = submissions.StepSpec(count=4000, checkpointing=True)
        submission = self.add(fakes.make_record(step))
        worker = self.shard.workers["w1"]
        handler = self.shard.run_end_handler
        for task in submission.steps["0.0"].tasks:
            handler.handle_run_end(task, 9001, "failed", "c" * 16, worker)
            handler.handle_run_end(task, 9002, "failed", "d" * 16, worker)
        await self.store_all()
        self.assertEqual(self.store.refused, 0)
        loaded = (await self.load_successor()).submissions[ID]
        self.assertEqual(loaded.progress.failures, submission.progress.failures)
        self.assertEqual(loaded.progress.saved, submission.progress.saved)

    async def test_a_successor_writes_blocks_that_it_has_read(self):
        """A block that is no longer needed is removed."""
        step = submissions.StepSpec(count=4000)
        submission = self.add(fakes.make_record(step))
        handler = self.shard.run_end_handler
        worker = self.shard.workers["w1"]
        for task in submission.steps["0.0"].tasks:
            handler.handle_run_end(task, 9001, "failed", "c" * 16, worker)
        await self.store_all()
        self.shard = await self.load_successor()
        self.store.rows.pop(("owner", fakes.SERVICE, "owner"))
        self.writer = persistence.ShardWriter(self.shard, 0, lambda: None)
        loaded = self.shard.submissions[ID]
        for task in loaded.steps["0.0"].tasks[1:]:
            finish_task(self.shard, loaded, task.key)
        await self.store_all()
        keys = [key for table, _, key in self.store.rows if table == "progress"]
        self.assertEqual(len(keys), 2)
        again = (await self.load_successor()).submissions[ID]
        self.assertEqual(again.progress.failures, {"0.0.0": [9001]})


class RefusalTest(WriterCase):
    """A row that the store refuses must not stop anything else."""

    async def test_one_refused_submission_stops_no_other(self):
        """Each write of the owner was refused, and it lost its lease."""
        refused = self.add(fakes.make_record(), ID)
        self.store.refused_keys = {ID}
        self.shard.mark_dirty(refused)
        others = [self.add(fakes.make_record(), f"{n:016x}") for n in range(90)]
        for submission in others:
            finish_task(self.shard, submission, "0.0.0")
        sent_at = clock.read_clock()
        for _ in range(MAX_WRITES):
            await self.writer._write()
        self.assertEqual(list(self.shard.dirty), [ID])
        self.assertGreater(self.shard.lease_until, sent_at)
        for submission in others:
            key = "progress", fakes.SERVICE, submission.id
            self.assertIn(key, self.store.rows)
        self.assertEqual(refused.state, submissions.FAILED)

    async def test_a_passing_refusal_fails_no_submission(self):
        submission = self.add(fakes.make_record())
        self.store.refused_keys = {ID}
        self.shard.mark_dirty(submission)
        for _ in range(5):
            await self.writer._write()
        self.assertEqual(self.store.refused, 3)
        self.store.refused_keys = set()
        await self.store_all()
        self.assertTrue(submission.is_active)
        self.assertFalse(self.shard.dirty)

    async def test_checkpoints_are_left_out_before_a_submission_fails(self):
        submission = self.add(fakes.make_record())
        submission.progress.saved["0.0.0"] = "x" * ROW_BYTES
        submission.stored_blocks[f"{ID}/0"] = 0
        self.shard.mark_dirty(submission)
        await self.store_all()
        self.assertTrue(submission.is_active)

    async def test_a_refused_workers_row_is_shortened(self):
        """The ownership could not be renewed."""
        worker = self.shard.workers["w1"]
        worker.unresponsive_since = clock.read_clock()
        worker.max_lease_end_ms = 9000.0
        for number in range(1000):
            worker.unknown_runs[f"{number:016x}.0.0.0", 1] = 1.0
        self.store.row_bytes = 20_000
        for _ in range(5):
            stored = await self.writer._write()
        self.assertTrue(stored)

    async def test_other_refusals_are_no_reason_to_give_up(self):
        submission = self.add(fakes.make_record())
        self.shard.mark_dirty(submission)
        for status in (0, 429, 503):
            refused = platform_store.Refused(status)
            self.assertFalse(refused.is_final)


class AcceptanceTest(unittest.IsolatedAsyncioTestCase):
    """Submissions that share transactions with others."""

    async def submit(self, store, ids):
        acceptor = acceptance.Acceptance(fakes.make_context(store))
        task = asyncio.create_task(acceptor.run())
        deadline = clock.read_clock() + 5.0
        results = await asyncio.gather(
            *(acceptor.store(i, fakes.make_record(), deadline) for i in ids)
        )
        task.cancel()
        return [result.outcome for result in results]

    def make_ids(self, count):
        """Returns ids of the same partition."""
        step = persistence.SUBMISSION_PARTITIONS
        return [f"{number * step:016x}" for number in range(count)]

    async def test_one_refused_submission_rejects_no_other(self):
        """The others of its transaction were refused until their deadline."""
        store = LimitedStore()
        ids = self.make_ids(8)
        store.refused_keys = {ids[3]}
        outcomes = await self.submit(store, ids)
        self.assertEqual(outcomes.pop(3), acceptance.Outcome.TOO_LARGE)
        self.assertEqual(set(outcomes), {acceptance.Outcome.ACCEPTED})

    async def test_many_submissions_at_once_are_stored(self):
        """A transaction had more entries than the store takes."""
        store = LimitedStore()
        outcomes = await self.submit(store, self.make_ids(200))
        self.assertEqual(set(outcomes), {acceptance.Outcome.ACCEPTED})
        self.assertEqual(store.refused, 0)


class SubmitTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_no_row_can_hold_is_rejected_at_once(self):
        """It was tried until the caller's deadline and answered 503."""
        node = make_node()
        acceptor = acceptance.Acceptance(node)
        reach = connectivity.Connectivity(node, None)
        api = clientapi.ClientApi(node, acceptor, None, None, reach, None)
        steps = [{"count": 1, "image": "i" * 1000}] * 80
        body = json.dumps({"spec": "s", "steps": steps}).encode()
        queue = fakes.make_queue()
        record = messages.decode_submission(body, queue, 1)
        self.assertIsInstance(record, submissions.SubmissionRecord)
        request = httpserver.Request("POST", "/slips/" + ID, {}, body)
        response = await api._submit(request, queue, ID, 0.0)
        self.assertEqual(response.status, 413)
