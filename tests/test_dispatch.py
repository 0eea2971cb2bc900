"""Tests of faults between the owner of a shard and its workers."""

from concurrent import futures
import dataclasses
import unittest

from returns import result

from persimmonpath import dispatch
from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import memoryworkers
from persimmonpath import outcomes
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import timers
from persimmonpath import work
from persimmonpath import workers
from tests import fakes

SHARD = identifiers.ShardId("zone-a", 0)
SIZE = resources.Resources(1000, 1024, 0)
REQUEST = work.Request("kind", "team", False, SIZE, b"x", 5.0)
IDEMPOTENT = dataclasses.replace(REQUEST, idempotent=True)


class FailingClient(fakes.FaultyWorker):
    """Fails calls by name: not sent, refused, or lost before or after they act.

    Attributes:
        faults: Kind of fault by method name: `not_sent`, `refused:REASON`,
            `lost` or `answer_lost`.
    """

    def __init__(self, worker, timer_service):
        super().__init__(worker, timer_service)
        self.faults = {}

    def _call(self, method, timeout_s, *arguments):
        fault = self.faults.get(method)
        if fault == "not_sent":
            return _create_resolved_future(
                result.Failure(errors.WorkerNotContactedError(""))
            )
        if isinstance(fault, str) and fault.startswith("refused:"):
            error = errors.StartRefusedError(fault.partition(":")[2])
            return _create_resolved_future(result.Failure(error))
        self.is_disconnected = fault == "lost"
        self.loses_answers = fault == "answer_lost"
        return super()._call(method, timeout_s, *arguments)


class Shard:
    """A shard with one or more workers on manual timers."""

    def __init__(self, count=1, run_s=0.1, slots=8, policy=None, succeeds=True):
        self.timers = timers.create_manual_timers()
        self.plan = memoryworkers.Plan(run_s, succeeds, b"ok", "broke")
        self.workers = []
        self.clients = {}
        self.policy = policy or rules.Policy()
        for index in range(count):
            self.workers.append(
                memoryworkers.MemoryWorker(
                    f"worker-{index}",
                    fakes.WORKER_SIZE,
                    slots,
                    self.timers,
                    lambda start: self.plan,
                )
            )
        self.slots = slots
        self.take_over(1)

    def take_over(self, epoch):
        """Replaces the owner by a new one with this epoch."""
        self.fleet = fleet.Fleet(epoch, f"owner-{epoch}", self.timers)
        self.dispatcher = dispatch.Dispatcher(SHARD, self.fleet, self.policy)
        for worker in self.workers:
            self.clients[worker.name] = FailingClient(worker, self.timers)
        self.fleet.apply_workers(
            [
                inventory.Worker(
                    name=worker.name,
                    zone="zone-a",
                    rack="rack",
                    host="127.0.0.1",
                    port=1,
                    cpu_millis=fakes.WORKER_SIZE.cpu_millis,
                    memory_mib=fakes.WORKER_SIZE.memory_mib,
                    slots=self.slots,
                )
                for worker in self.workers
            ],
            lambda worker: self.clients[worker.name],
        )
        return self.dispatcher

    def fail(self, **faults):
        """Sets the faults of all clients; without arguments clears them."""
        for client in self.clients.values():
            client.faults = faults

    def submit(self, request=REQUEST, request_id=None):
        """Submits a request and returns its id and future."""
        request_id = request_id or self.dispatcher.issue_ids(1)[0]
        return request_id, self.dispatcher.submit(request_id, request)

    def ask(self, request_id, close=False):
        """Queries an id and returns its outcome."""
        future = self.dispatcher.ask(request_id, close)
        self.timers.advance(0.6)
        return future.result(0).unwrap()

    def advance(self, seconds):
        """Advances the time and renews the workers' leases every 0.25 s."""
        for _ in range(int(seconds * 4)):
            self.timers.advance(0.25)
            self.fleet.renew()

    def count_runs(self):
        """Returns the number of starts on all workers."""
        return sum(sum(w.runs.values()) for w in self.workers)


def name(future):
    """Returns the wire name of the outcome of a completed future."""
    return outcomes.get_outcome_name(future.result(0).unwrap())


def _create_resolved_future(value):
    future = futures.Future()
    future.set_result(value)
    return future


class DispatcherTest(unittest.TestCase):
    def test_outcome_for_each_fault_of_a_worker(self):
        """An outcome must not state more than is certain about the runs."""
        # Faults, run time in seconds, idempotent, first outcome, runs, and the
        # outcome after the faults have ended.
        cases = [
            ({}, 0.1, False, "done", 1, "done"),
            ({"start": "not_sent"}, 0.1, False, "not_run", 0, "not_run"),
            ({"start": "refused:leaving"}, 0.1, False, "not_run", 0, "not_run"),
            ({"start": "refused:late"}, 0.1, False, "not_run", 0, "not_run"),
            ({"start": "lost"}, 0.1, False, "not_run", 0, "not_run"),
            ({"start": "answer_lost"}, 0.1, False, "done", 1, "done"),
            ({"start": "answer_lost"}, 7.0, False, "unknown", 1, "done"),
            ({"start": "answer_lost"}, 7.0, True, "unknown", 1, "done"),
            (
                {"start": "lost", "close": "lost"},
                0.1,
                True,
                "unknown",
                0,
                "not_run",
            ),
            (
                {"start": "answer_lost", "close": "answer_lost"},
                0.1,
                False,
                "unknown",
                1,
                "done",
            ),
            ({}, 7.0, False, "unknown", 1, "done"),
        ]
        for faults, run_s, idempotent, first, runs, later in cases:
            with self.subTest(faults=faults, run_s=run_s):
                shard = Shard(run_s=run_s)
                shard.fail(**faults)
                request = IDEMPOTENT if idempotent else REQUEST
                request_id, future = shard.submit(request)
                shard.timers.advance(REQUEST.timeout_s)
                self.assertEqual(name(future), first)
                self.assertEqual(shard.count_runs(), runs)
                shard.fail()
                shard.advance(15.0)
                outcome = shard.ask(request_id)
                self.assertEqual(outcomes.get_outcome_name(outcome), later)
                self.assertEqual(shard.fleet.count_free_slots(), 8)
                self.assertEqual(shard.count_runs(), runs)

    def test_failed_attempt_is_repeated_only_when_idempotent(self):
        """A non-idempotent request must not run twice."""
        for request, most in ((REQUEST, 1), (IDEMPOTENT, 4)):
            shard = Shard(succeeds=False)
            _, future = shard.submit(request)
            shard.timers.advance(5.0)
            self.assertEqual(name(future), "failed")
            self.assertEqual(shard.count_runs(), most)

    def test_refusal_after_a_failed_attempt_is_not_stated_as_not_run(self):
        """The first attempt has run, so `not_run` would be wrong."""
        shard = Shard(succeeds=False)
        _, future = shard.submit(IDEMPOTENT)
        shard.fail(start="refused:leaving")
        shard.timers.advance(5.0)
        self.assertEqual(name(future), "failed")
        self.assertEqual(shard.count_runs(), 1)

    def test_worker_whose_lease_lapsed_reports_the_stopped_attempt(self):
        """The fence after a lapse ends the request and its reservation."""
        shard = Shard(run_s=60.0)
        long_timeout = dataclasses.replace(REQUEST, timeout_s=30.0)
        request_id, future = shard.submit(long_timeout)
        shard.timers.advance(16.0)
        self.assertEqual(name(future), "failed")
        shard.advance(1.0)
        self.assertEqual(shard.fleet.count_free_slots(), 8)
        outcome = shard.ask(request_id)
        self.assertEqual(outcomes.get_outcome_name(outcome), "failed")

    def test_close_of_a_queued_request_makes_it_not_run(self):
        """A request must not start after it was reported as not run."""
        shard = Shard(run_s=1.0, slots=1)
        shard.submit()
        queued, future = shard.submit()
        self.assertEqual(shard.ask(queued, True), outcomes.NotRun("cancelled"))
        self.assertEqual(name(future), "not_run")
        shard.timers.advance(5.0)
        self.assertNotIn(str(queued), shard.workers[0].runs)

    def test_close_of_a_started_request_closes_it_at_the_worker(self):
        """A start that arrives after the close must be refused."""
        shard = Shard()
        shard.fail(start="lost")
        request_id, future = shard.submit()
        outcome = shard.ask(request_id, True)
        self.assertEqual(outcomes.get_outcome_name(outcome), "not_run")
        self.assertEqual(name(future), "not_run")
        late = workers.StartTask(f"{request_id}#1", 1, 2.0, SIZE)
        reply = shard.workers[0].start(late, False, 1.0).result()
        self.assertEqual(reply.failure().reason, workers.Refusal.CLOSED)

    def test_close_of_an_id_not_seen_refuses_its_late_arrival(self):
        """A forwarded request may arrive after the query that closed its id."""
        shard = Shard()
        request_id = shard.dispatcher.issue_ids(1)[0]
        outcome = shard.ask(request_id, True)
        self.assertEqual(outcomes.get_outcome_name(outcome), "not_run")
        _, future = shard.submit(REQUEST, request_id)
        self.assertEqual(name(future), "not_run")
        self.assertEqual(shard.count_runs(), 0)

    def test_caller_error_is_no_outcome_of_the_id(self):
        """`not_run` for a reused id would deny the first run of that id."""
        shard = Shard()
        request_id, future = shard.submit()
        other = dataclasses.replace(REQUEST, payload=b"other")
        _, reused = shard.submit(other, request_id)
        error = reused.result(0).failure()
        self.assertIsInstance(error, errors.IdReusedError)
        forged = identifiers.RequestId(SHARD, 1, 999)
        error = shard.submit(REQUEST, forged)[1].result(0).failure()
        self.assertIsInstance(error, errors.IdNotIssuedError)
        later = identifiers.RequestId(SHARD, 2, 1)
        error = shard.submit(REQUEST, later)[1].result(0).failure()
        self.assertIsInstance(error, errors.NotOwnerError)
        shard.timers.advance(1.0)
        self.assertEqual(name(future), "done")

    def test_query_with_another_digest_gets_no_outcome(self):
        """The caller of a reused id must not get another request's answer."""
        shard = Shard()
        request_id, future = shard.submit()
        asked = shard.dispatcher.ask(request_id, True, "other").result(0)
        self.assertIsInstance(asked.failure(), errors.IdReusedError)
        shard.timers.advance(1.0)
        self.assertEqual(name(future), "done")

    def test_duplicates_get_the_answer_of_one_run(self):
        """A retry while the first call is in progress must not run again."""
        shard = Shard()
        request_id, first = shard.submit()
        _, second = shard.submit(REQUEST, request_id)
        shard.timers.advance(1.0)
        _, third = shard.submit(REQUEST, request_id)
        self.assertEqual(
            [name(f) for f in (first, second, third)], 3 * ["done"]
        )
        self.assertEqual(shard.count_runs(), 1)


class TakeoverTest(unittest.TestCase):
    def test_queued_requests_are_run_once_by_the_next_owner(self):
        """A replaced owner must not end its queued requests as `not_run`."""
        shard = Shard(run_s=1.0, slots=1)
        _, running = shard.submit()
        long_timeout = dataclasses.replace(REQUEST, timeout_s=30.0)
        waiting = [shard.submit(long_timeout) for _ in range(2)]
        old = shard.dispatcher
        shard.take_over(2)
        # The fenced worker refuses the start of the first queued request.
        shard.advance(1.5)
        self.assertEqual(name(running), "done")
        self.assertEqual([f.done() for _, f in waiting], [False, False])
        for withdrawn in old.withdraw_queued():
            call = shard.dispatcher.submit(withdrawn.id, withdrawn.request)
            call.add_done_callback(
                lambda f, w=withdrawn: w.finish(f.result().unwrap())
            )
        shard.advance(8.0)
        self.assertEqual([name(f) for _, f in waiting], ["done", "done"])
        self.assertEqual(shard.count_runs(), 3)

    def test_old_owner_leaves_an_unconfirmed_attempt_to_the_next(self):
        """Only the next owner can learn the outcome of such an attempt."""
        shard = Shard(run_s=10.0)
        shard.fail(start="answer_lost")
        request_id, future = shard.submit()
        shard.take_over(2)
        shard.timers.advance(5.0)
        error = future.result(0).failure()
        self.assertIsInstance(error, errors.NotOwnerError)
        self.assertTrue(error.has_run)
        shard.advance(9.0)
        outcome = shard.ask(request_id)
        self.assertEqual(outcomes.get_outcome_name(outcome), "done")

    def test_new_owner_restores_ids_from_the_listings(self):
        """A duplicate that arrives after a takeover must not run again."""
        shard = Shard(count=2, run_s=1.0)
        done, _ = shard.submit()
        shard.timers.advance(2.0)
        running, _ = shard.submit()
        unused = shard.dispatcher.issue_ids(1)[0]
        shard.take_over(2)
        again = {i: shard.submit(REQUEST, i)[1] for i in (done, running)}
        shard.timers.advance(0.5)
        self.assertEqual(name(again[done]), "done")
        self.assertFalse(again[running].done())
        shard.advance(4.0)
        self.assertEqual(name(again[running]), "done")
        self.assertEqual(name(shard.submit(REQUEST, unused)[1]), "not_run")
        self.assertEqual(shard.count_runs(), 2)

    def test_id_is_unknown_until_every_worker_is_listed(self):
        """A worker that is not listed yet may have run the request."""
        shard = Shard(count=2)
        request_id, _ = shard.submit()
        shard.timers.advance(1.0)
        ran = next(w for w in shard.workers if w.runs)
        shard.fleet = fleet.Fleet(2, "next", shard.timers)
        shard.dispatcher = dispatch.Dispatcher(SHARD, shard.fleet)
        shard.clients[ran.name].faults = {"fence": "lost"}
        shard.fleet.apply_workers(
            [
                inventory.Worker(
                    name=worker.name,
                    zone="zone-a",
                    rack="rack",
                    host="127.0.0.1",
                    port=1,
                    cpu_millis=1000,
                    memory_mib=1000,
                )
                for worker in shard.workers
            ],
            lambda worker: shard.clients[worker.name],
        )
        shard.timers.advance(3.0)
        _, future = shard.submit(REQUEST, request_id)
        self.assertEqual(name(future), "unknown")
        shard.fail()
        shard.advance(3.0)
        _, future = shard.submit(REQUEST, request_id)
        self.assertEqual(name(future), "done")
        self.assertEqual(shard.count_runs(), 1)

    def test_kind_is_served_again_once_its_runs_are_short(self):
        """If all were refused, no run would ever correct the estimate."""
        shard = Shard(run_s=8.0)
        for _ in range(8):
            shard.submit()
        shard.advance(12.0)
        shard.plan = memoryworkers.Plan(0.1, True, b"ok")
        for _ in range(3):
            _, future = shard.submit()
            shard.advance(1.0)
            self.assertEqual(name(future), "done")
