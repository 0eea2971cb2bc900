"""What a pass over the waiting steps starts, keeps free and asks for."""

import unittest

from persimmonpath_entry.engine import placing
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from tests.entry import fakes

WIDE_ID = "00000000000000aa"
NARROW_ID = "00000000000000bb"
ADVICE = configuration.AdvicePolicy(500.0, 8.0, 2000.0)
WIDE = submissions.StepSpec(count=1, cpu=16000, memory_mb=100)
NARROW = submissions.StepSpec(count=1, cpu=1000, memory_mb=100)


class FakeOrders:
    def __init__(self):
        self.started = []

    def start(self, run, ticket):
        self.started.append(run.task.name)


class FakeListings:
    def resume_polling(self, worker):
        pass


class FakeAdvisor:
    def take_caller(self, policy, count, need):
        return None


class PassTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        queues = [
            fakes.make_queue(advice=ADVICE),
            fakes.make_queue(name="batch", prefix="/b/", priority=2),
        ]
        node = fakes.make_context(queues=queues)
        node.settings.advice = "127.0.0.1:9"
        self.shard = fakes.make_shard(node)
        self.worker = fakes.add_worker(self.shard)
        self.orders = FakeOrders()
        self.placing = placing.Placing(
            self.shard, self.orders, FakeListings(), FakeAdvisor()
        )

    def take(self, submission_id, spec, **changes):
        record = fakes.make_record(spec, **changes)
        self.shard.take_submission(submission_id, record)
        return self.shard.submissions[submission_id].steps["0.0"]

    async def test_room_is_kept_while_the_advisor_is_asked(self):
        """Narrow tasks filled the gap during each of a dozen calls.

        Found on scale-1 of tkh-passes: a task of 8 accelerators waited 60 s
        for the only worker that might run it.
        """
        runner = self.take("cc" * 8, NARROW, queue="batch")
        fakes.start_run(self.shard, runner.tasks[0], self.worker)
        wide = self.take(WIDE_ID, WIDE)
        wide.tickets.asked.add(self.worker.id)
        wide.tickets.good.add(self.worker.id)
        wide.tickets.is_asking = True
        self.take(NARROW_ID, NARROW, queue="batch")
        self.placing._place_all(clock.read_clock())
        self.assertEqual(self.orders.started, [])
        self.assertEqual(self.placing._reserved, {self.worker.id: wide})

    async def test_nothing_starts_beyond_the_stored_horizon(self):
        """The next owner would take the task for one that nobody started."""
        record = fakes.make_record(NARROW, queue="batch")
        self.shard.take_submission(NARROW_ID, record, version=9)
        self.placing._place_all(clock.read_clock())
        self.assertEqual(self.orders.started, [])
        self.shard.extend_horizon(9)
        self.placing._place_all(clock.read_clock())
        self.assertEqual(self.orders.started, [f"{NARROW_ID}.0.0.0"])

    async def test_a_worker_that_left_a_call_unanswered_gets_nothing(self):
        """What is started on a cut-off worker waits for 6 s."""
        self.take(NARROW_ID, NARROW, queue="batch")
        self.worker.note_no_answer(clock.read_clock())
        self.placing._place_all(clock.read_clock())
        self.assertEqual(self.orders.started, [])
