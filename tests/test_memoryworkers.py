"""Contract tests of a worker: fencing, lease, records and tombstones."""

from concurrent import futures
import unittest

from persimmonpath import errors
from persimmonpath import httpworkers
from persimmonpath import memoryworkers
from persimmonpath import resources
from persimmonpath import timers
from persimmonpath import workers
from tests import contracts
from tests.standins import worker as worker_standin

SIZE = resources.Resources(1000, 1024, 0)
LEASE_S = 15.0
CALL_S = 2.0


def create_worker(timer_service):
    return memoryworkers.MemoryWorker(
        "w0",
        resources.Resources(4000, 4096, 0),
        2,
        timer_service,
        lambda start: memoryworkers.Plan(None, True),
    )


class WorkerContract:
    """Tests that a worker passes in memory and over HTTP.

    `client` calls the `MemoryWorker` in `worker`.
    """

    def fence(self, epoch=2, owner="one", lease_s=LEASE_S):
        return self.client.fence(epoch, owner, lease_s, CALL_S).result()

    def renew(self, epoch=2, acknowledged=0, lease_s=LEASE_S):
        call = self.client.renew(epoch, lease_s, acknowledged, CALL_S)
        return call.result()

    def start(self, attempt="job/0#1", epoch=2):
        start = workers.StartTask(attempt, epoch, 2.0, SIZE, b"", "digest")
        return self.client.start(start, False, CALL_S).result()

    def close(self, attempt="job/0#1", epoch=2):
        return self.client.close(attempt, epoch, CALL_S).result()

    def assert_refused(self, reply, reason):
        self.assertEqual(reply.failure().reason, reason)

    def test_register_accepts_only_a_higher_epoch_or_the_same_owner(self):
        self.fence(4).unwrap()
        self.fence(4).unwrap()
        for epoch, owner in ((4, "two"), (3, "one")):
            error = self.fence(epoch, owner).failure()
            self.assertIsInstance(error, errors.StaleEpochError)
        self.fence(5, "two").unwrap()
        error = self.renew(4).failure()
        self.assertIsInstance(error, errors.StaleEpochError)

    def test_lapsed_lease_stops_tasks_until_the_next_fence(self):
        self.fence().unwrap()
        self.start().unwrap()
        self.timers.advance(LEASE_S)
        error = self.renew().failure()
        self.assertIsInstance(error, errors.LeaseLapsedError)
        self.assert_refused(self.start("job/1#1"), "lease_lapsed")
        (record,) = self.fence().unwrap().records
        self.assertEqual(record.state, workers.AttemptState.STOPPED)

    def test_shorter_lease_replaces_a_longer_one(self):
        """The bound on an unresponsive worker's lease relies on it."""
        self.fence().unwrap()
        self.renew(lease_s=1.0).unwrap()
        self.timers.advance(1.0)
        error = self.renew().failure()
        self.assertIsInstance(error, errors.LeaseLapsedError)

    def test_fence_with_a_zero_lease_permits_no_start(self):
        """A lost worker must not run starts that were sent long ago."""
        self.fence(lease_s=0.0).unwrap()
        self.assert_refused(self.start(), "lease_lapsed")
        self.close().unwrap()
        self.fence().unwrap()
        self.assert_refused(self.start(), "closed")

    def test_tombstone_prevents_a_late_start(self):
        self.fence().unwrap()
        self.assertEqual(self.close().unwrap().state.value, "closed")
        self.assert_refused(self.start(), "closed")
        self.start("job/1#1").unwrap()
        self.assertEqual(self.close("job/1#1").unwrap().state.value, "running")

    def test_start_of_another_epoch_is_refused(self):
        self.fence(4).unwrap()
        for epoch in (2, 6):
            self.assert_refused(self.start(epoch=epoch), "stale_epoch")

    def test_attempt_is_started_once_only(self):
        self.fence().unwrap()
        self.start().unwrap()
        self.assert_refused(self.start(), "repeated")
        self.assertEqual(self.worker.runs, {"job/0": 1})

    def test_ended_attempts_are_reported_until_they_are_acknowledged(self):
        """The end of an attempt must survive the loss of a renewal's answer."""
        self.fence().unwrap()
        self.start().unwrap()
        stop = workers.Action.STOP
        self.client.control("job/0#1", stop, 2, CALL_S).result().unwrap()
        for _ in range(2):
            self.assertEqual(len(self.renew().unwrap().finished), 1)
        last = self.renew().unwrap().last_event
        self.assertEqual(self.renew(2, last).unwrap().finished, [])

    def test_leaving_worker_finishes_its_tasks_and_refuses_new_ones(self):
        self.fence().unwrap()
        self.start().unwrap()
        self.worker.leaving = True
        self.assert_refused(self.start("job/1#1"), "leaving")
        self.assertTrue(self.renew().unwrap().leaving)
        self.assertEqual(self.worker.list_running(), ["job/0#1"])


class MemoryWorkerTest(WorkerContract, unittest.TestCase):
    def setUp(self):
        self.timers = timers.create_manual_timers()
        self.worker = create_worker(self.timers)
        self.client = self.worker


class LostRecordsTest(unittest.TestCase):
    def test_restarted_worker_is_incomplete_up_to_its_last_fence(self):
        """A stale owner may be the first to fence a restarted worker.

        The worker then claimed complete records for an epoch whose records it
        had lost, and a request that had run was answered as not run (soak seed
        333196426).
        """
        worker = memoryworkers.MemoryWorker(
            "w0",
            resources.Resources(4000, 4096, 0),
            2,
            timers.create_manual_timers(),
            lambda start: memoryworkers.Plan(None, True),
            has_lost_records=True,
        )
        worker.fence(1, "stale", LEASE_S, CALL_S).result().unwrap()
        listing = worker.fence(4, "next", LEASE_S, CALL_S).result().unwrap()
        self.assertEqual(listing.complete_since_epoch, 5)


class HttpWorkerTest(WorkerContract, unittest.TestCase):
    def setUp(self):
        self.timers = timers.create_manual_timers()
        self.worker = create_worker(self.timers)
        running = contracts.RunningStandIn(
            worker_standin.WorkerApplication(self.worker)
        )
        self.addCleanup(running.stop)
        pool = futures.ThreadPoolExecutor(2)
        self.addCleanup(pool.shutdown)
        self.client = httpworkers.create_http_worker(
            "127.0.0.1", running.port, pool, pool
        )
        self.addCleanup(self.client.disconnect)
