"""Tests of how the owner of a shard handles failures of its workers."""

import unittest

from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import inventory
from persimmonpath import memoryworkers
from persimmonpath import resources
from persimmonpath import timers
from persimmonpath import workers
from tests import fakes

SIZE = resources.Resources(1000, 1024, 0)
LOST_S = 2 * fleet.WORKER_LEASE_S


def describe_worker(name, **fields):
    return inventory.Worker(
        name=name,
        zone="zone-a",
        rack="rack-0",
        host="127.0.0.1",
        port=1,
        cpu_millis=16_000,
        memory_mib=32_768,
        **fields,
    )


class FleetCase(unittest.TestCase):
    """Creates fleets of workers whose tasks never end."""

    def setUp(self):
        self.timers = timers.create_manual_timers()
        self.workers = {}
        self.clients = {}
        self.records = []

    def create_client(self, worker):
        if worker.name not in self.workers:
            self.workers[worker.name] = memoryworkers.MemoryWorker(
                worker.name,
                fakes.WORKER_SIZE,
                8,
                self.timers,
                lambda start: memoryworkers.Plan(None, True),
            )
        client = fakes.FaultyWorker(self.workers[worker.name], self.timers)
        self.clients[worker.name] = client
        return client

    def create_fleet(self, names=("w0", "w1"), epoch=2, cut=(), loses=()):
        created = fleet.Fleet(epoch, f"owner-{epoch}", self.timers)
        created.subscribe(
            lambda name, record: self.records.append((name, record)),
            lambda: None,
        )

        def create(worker):
            client = self.create_client(worker)
            client.is_disconnected = worker.name in cut
            client.loses_answers = worker.name in loses
            return client

        created.apply_workers([describe_worker(n) for n in names], create)
        self.timers.subscribe(1.0, created.renew)
        return created

    def start(self, owned, attempt, size=SIZE):
        with owned.lock:
            name = owned.reserve(attempt, size)
        if name is not None:
            start = workers.StartTask(attempt, owned.epoch, 2.0, size)
            owned.get_client(name).start(start, False, 2.0)
        return name

    def find_records(self, attempt):
        return [r for _, r in self.records if r.attempt == attempt]


class UnreachableAtTakeoverTest(FleetCase):
    def test_unlisted_worker_gets_no_work(self):
        owned = self.create_fleet(cut=["w1"])
        names = {self.start(owned, f"job/{i}#1") for i in range(8)}
        self.assertEqual(names, {"w0"})
        self.assertIsNone(self.start(owned, "job/9#1"))

    def test_unlisted_tasks_may_run_until_an_earlier_lease_has_lapsed(self):
        owned = self.create_fleet(cut=["w1"])
        self.timers.advance(LOST_S - 0.1)
        self.assertTrue(owned.may_have_unlisted_tasks())
        self.timers.advance(0.2)
        self.assertFalse(owned.may_have_unlisted_tasks())

    def test_ids_of_earlier_epochs_stay_uncertain_after_the_lease(self):
        owned = self.create_fleet(cut=["w1"])
        self.timers.advance(2 * LOST_S)
        self.assertEqual(owned.get_complete_since(), owned.epoch)

    def test_late_listing_makes_the_worker_usable(self):
        owned = self.create_fleet(cut=["w1"])
        self.timers.advance(5.0)
        self.clients["w1"].is_disconnected = False
        self.timers.advance(5.0)
        self.assertFalse(owned.may_have_unlisted_tasks())
        self.assertEqual(owned.count_free_slots(), 16)

    def test_unanswered_fences_do_not_keep_earlier_tasks_running(self):
        """Calls whose answers are lost must not extend the lease forever."""
        old = self.create_fleet(["w0"])
        self.start(old, "job/0#1")
        old.stop()
        owned = self.create_fleet(["w0"], epoch=4, loses=["w0"])
        while owned.may_have_unlisted_tasks():
            self.timers.advance(0.5)
        self.assertEqual(self.workers["w0"].list_running(), [])


class LapsedLeaseTest(FleetCase):
    def test_owner_fences_again_and_releases_ended_attempts(self):
        """Reservations must not leak when the lease lapsed meanwhile."""
        owned = self.create_fleet(["w0"])
        self.start(owned, "job/0#1")
        self.clients["w0"].is_disconnected = True
        self.timers.advance(fleet.WORKER_LEASE_S + 6)
        self.assertEqual(self.find_records("job/0#1"), [])
        self.clients["w0"].is_disconnected = False
        self.timers.advance(10.0)
        self.assertEqual(owned.count_free_slots(), 8)
        (record,) = self.find_records("job/0#1")
        self.assertEqual(record.state, workers.AttemptState.STOPPED)

    def test_unanswered_start_is_closed_before_its_release(self):
        """A start that may still arrive must keep its reservation."""
        owned = self.create_fleet(["w0"])
        self.clients["w0"].is_disconnected = True
        self.start(owned, "job/0#1")
        self.timers.advance(3.0)
        self.assertEqual(self.find_records("job/0#1"), [])
        self.clients["w0"].is_disconnected = False
        self.timers.advance(5.0)
        self.assertEqual(owned.count_free_slots(), 8)
        (record,) = self.find_records("job/0#1")
        self.assertEqual(record.state, workers.AttemptState.CLOSED)

    def test_start_in_flight_during_a_fence_keeps_its_reservation(self):
        owned = self.create_fleet(["w0"])
        with owned.lock:
            owned.reserve("job/0#1", SIZE)
        self.workers["w0"]._lease_end = 0.0
        self.timers.advance(10.0)
        self.assertEqual(owned.count_free_slots(), 7)

    def test_running_task_without_a_record_is_reported_as_lost(self):
        """A restarted worker has no records; its tasks must run again."""
        owned = self.create_fleet(["w0"])
        self.start(owned, "job/0#1")
        client = self.clients["w0"]
        del self.workers["w0"]
        client.worker = self.create_client(describe_worker("w0")).worker
        owned._lease_renewer.fence(owned._table.find("w0"))
        (record,) = self.find_records("job/0#1")
        self.assertEqual(record.reason, "record_lost")
        self.assertEqual(owned.count_free_slots(), 8)


class LostWorkerTest(FleetCase):
    def test_nothing_is_released_before_the_lease_has_certainly_lapsed(self):
        owned = self.create_fleet(["w0"])
        self.timers.advance(5.5)
        self.start(owned, "job/0#1")
        self.clients["w0"].is_disconnected = True
        # The last answered renewal was at 5 s.
        self.timers.advance(5.0 + LOST_S - 5.5 - 0.1)
        self.assertEqual(self.find_records("job/0#1"), [])
        self.timers.advance(1.2)
        (record,) = self.find_records("job/0#1")
        self.assertEqual(record.state, workers.AttemptState.STOPPED)
        self.assertEqual(self.workers["w0"].list_running(), [])

    def test_unanswered_renewals_do_not_keep_a_task_running(self):
        """The task must have stopped before the owner releases it."""
        owned = self.create_fleet(["w0"])
        self.start(owned, "job/0#1")
        self.clients["w0"].loses_answers = True
        while not self.find_records("job/0#1"):
            self.timers.advance(0.5)
        self.assertEqual(self.workers["w0"].list_running(), [])

    def test_requests_on_a_lost_worker_are_not_reported_as_ended(self):
        """It is unknown whether such a request has run."""
        owned = self.create_fleet(["w0"])
        self.start(owned, "zone-a.0.2.1#1")
        self.clients["w0"].is_disconnected = True
        self.timers.advance(LOST_S + 6)
        self.assertEqual(self.records, [])

    def test_start_delivered_after_the_loss_does_not_run(self):
        """The task may run on another worker by then."""
        owned = self.create_fleet(["w0"])
        self.clients["w0"].is_disconnected = True
        self.start(owned, "job/0#1")
        self.timers.advance(LOST_S + 6)
        self.clients["w0"].is_disconnected = False
        self.timers.advance(6.0)
        self.assertEqual(owned.count_free_slots(), 8)
        late = workers.StartTask("job/0#1", owned.epoch, 2.0, SIZE)
        reply = self.workers["w0"].start(late, False, 2.0).result()
        self.assertIsInstance(reply.failure(), errors.StartRefusedError)


class FencedOwnerTest(FleetCase):
    def test_fenced_owner_stops_placement_and_notifies_its_listeners(self):
        owned = self.create_fleet(["w0"])
        calls = []
        owned.subscribe_fenced(lambda: calls.append(True))
        self.create_fleet(["w0"], epoch=4)
        self.timers.advance(6.0)
        self.assertEqual(calls, [True])
        self.assertIsNone(self.start(owned, "job/0#1"))

    def test_one_worker_from_another_shard_does_not_fence_the_owner(self):
        """Its owner register may contain a higher epoch of its former shard."""
        self.create_fleet(["w2"], epoch=40).stop()
        owned = self.create_fleet(["w0", "w1", "w2"])
        self.timers.advance(6.0)
        self.assertFalse(owned.is_fenced())


class LeavingWorkerTest(FleetCase):
    def test_leaving_worker_gets_no_work_whatever_the_source(self):
        cases = {
            "list": lambda owned: owned.set_leaving({"w0"}),
            "operator": lambda owned: owned.apply_workers(
                [describe_worker("w0", draining=True)], self.create_client
            ),
            "removal": lambda owned: owned.apply_workers(
                [], self.create_client, [describe_worker("w0")]
            ),
        }
        for name, leave in cases.items():
            with self.subTest(name):
                owned = self.create_fleet(["w0"], epoch=len(self.records) + 2)
                leave(owned)
                self.assertIsNone(self.start(owned, "job/0#1"))
                owned.stop()
                self.records.append(name)

    def test_worker_gets_no_work_after_a_refusal(self):
        """The next attempt must not go to the same worker."""
        owned = self.create_fleet(["w0"])
        self.workers["w0"].leaving = True
        self.assertEqual(self.start(owned, "job/0#1"), "w0")
        owned.release("w0", "job/0#1")
        self.assertIsNone(self.start(owned, "job/0#2"))

    def test_removed_worker_is_kept_until_it_is_idle(self):
        owned = self.create_fleet(["w0"])
        self.start(owned, "job/0#1")
        owned.apply_workers([], self.create_client, [describe_worker("w0")])
        self.timers.advance(30.0)
        self.assertEqual(self.workers["w0"].list_running(), ["job/0#1"])
        self.workers["w0"].control("job/0#1", workers.Action.STOP, 2, 1.0)
        self.timers.advance(6.0)
        self.assertIsInstance(
            owned.get_client("w0").renew(2, 1.0, 0, 1.0).result().failure(),
            errors.WorkerNotContactedError,
        )
