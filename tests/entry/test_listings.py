"""What the owner takes from a worker's list of its tasks."""

import unittest

from persimmonpath_entry.engine import listings
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock
from tests.entry import fakes

ID = "00000000000000aa"
NAME = f"{ID}.0.0.0"


def make_listing(running=(), ended=(), born=1):
    return worker_calls.Listing(
        clock_ms=2000.0,
        born=born,
        running=[worker_calls.RunningTask(*row) for row in running],
        ended=[worker_calls.EndedTask(*row) for row in ended],
    )


class FakeOrders:
    def __init__(self):
        self.strangers = []

    def stop_stranger(self, worker, task, number):
        self.strangers.append((task, number))


class ListingClient:
    """Answers every listing alike and notes the acknowledgements."""

    def __init__(self, listing):
        self.listing = listing
        self.last_seen = []
        self.until = []

    async def list_tasks(self, fence, last_seen, until_ms, *rest):
        self.last_seen.append(last_seen)
        self.until.append(until_ms)
        return self.listing

    def close(self):
        pass


class ListingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(self.shard)
        self.listings = listings.Listings(self.shard)
        self.listings.orders = FakeOrders()
        self.shard.take_submission(ID, fakes.make_record())
        self.task = self.shard.submissions[ID].find_task("0.0.0")

    def take(self, listing, sent_at=None):
        now = clock.read_clock()
        sent_at = now if sent_at is None else sent_at
        self.listings._take(self.worker, listing, sent_at, now)

    async def test_an_older_listing_is_ignored(self):
        """Answers on different channels overtake each other.

        A list from before an end still names the run, which would be taken
        for a run of a former owner.
        """
        before = clock.read_clock() - 1
        run = fakes.start_run(self.shard, self.task, self.worker)
        self.take(make_listing(ended=[(1, NAME, run.number, "failed", "")]))
        self.take(make_listing([(NAME, run.number, "", 100, 500)]), before)
        self.assertEqual(self.task.runs, [])

    async def test_an_end_counts_once(self):
        run = fakes.start_run(self.shard, self.task, self.worker)
        listing = make_listing(ended=[(1, NAME, run.number, "failed", "")])
        self.take(listing)
        self.take(listing)
        self.assertEqual(self.task.failures, [run.number])

    async def test_a_run_that_isn_t_named_any_more_is_gone(self):
        run = fakes.start_run(self.shard, self.task, self.worker)
        run.settled_at = clock.read_clock() - 1
        self.take(make_listing())
        self.assertTrue(self.task.is_waiting)

    async def test_a_run_on_its_way_isn_t_gone(self):
        """Its start may be carried out after the list was made."""
        run = self.shard.create_run(self.task, self.worker)
        self.take(make_listing())
        self.assertEqual(self.task.runs, [run])

    async def test_a_run_confirmed_after_the_question_isn_t_gone(self):
        sent_at = clock.read_clock() - 1
        run = fakes.start_run(self.shard, self.task, self.worker)
        self.take(make_listing(), sent_at)
        self.assertEqual(self.task.runs, [run])

    async def test_a_start_without_an_answer_is_settled_by_the_list(self):
        run = self.shard.create_run(self.task, self.worker)
        self.take(make_listing([(NAME, run.number, "", 100, 500)]))
        self.assertIs(run.phase, work.Phase.RUNNING)

    async def test_runs_of_the_former_owner_are_adopted(self):
        """They go on, and take up their room."""
        self.take(make_listing([(NAME, 4001, "save", 100, 500)]))
        self.assertEqual(self.task.runs[0].number, 4001)
        self.assertEqual(self.worker.free_cpu, 15000)
        self.assertGreater(self.shard.next_number(self.task), 4001)

    async def test_a_second_run_of_a_task_is_stopped(self):
        other = fakes.add_worker(self.shard, "w2")
        fakes.start_run(self.shard, self.task, other)
        self.take(make_listing([(NAME, 4001, "", 100, 500)]))
        self.assertEqual(self.listings.orders.strangers, [(NAME, 4001)])
        self.assertTrue(self.worker.strangers)

    async def test_an_unknown_submission_gets_time_to_become_known(self):
        """It may have been accepted just now by another VM."""
        name = "ffffffffffffffff.0.0.0"
        self.take(make_listing([(name, 1, "", 100, 500)]))
        self.assertEqual(self.listings.orders.strangers, [])
        self.worker.strangers[name, 1] -= listings.STRANGER_S + 0.1
        self.take(make_listing([(name, 1, "", 100, 500)]))
        self.assertEqual(self.listings.orders.strangers, [(name, 1)])

    async def test_a_run_started_in_a_new_life_goes_on(self):
        """The owner learns of the new life only after the start."""
        run = fakes.start_run(self.shard, self.task, self.worker)
        other = self.shard.submissions[ID].find_task("0.0.1")
        lost = fakes.start_run(self.shard, other, self.worker)
        lost.settled_at = run.settled_at = clock.read_clock() - 1
        self.take(make_listing([(NAME, run.number, "", 100, 500)], born=2))
        self.assertEqual(self.task.runs, [run])
        self.assertTrue(other.is_waiting)

    async def test_a_new_life_begins_with_its_own_ends(self):
        """Its numbers start anew, below those of the former life."""
        run = fakes.start_run(self.shard, self.task, self.worker)
        run.settled_at = clock.read_clock() - 1
        self.worker.processed = 40
        self.worker.last_seen = 40
        self.take(make_listing(born=2))
        self.assertTrue(self.task.is_waiting)
        run = fakes.start_run(self.shard, self.task, self.worker)
        listing = make_listing(
            ended=[(1, NAME, run.number, "failed", "")], born=2
        )
        self.take(listing)
        self.assertEqual(self.task.failures, [run.number])

    async def test_a_former_owner_s_lease_counts_until_its_longest_end(self):
        """A worker that answered once and was cut off runs on for 6 s.

        Its tasks were taken for lost after a quarter of a second.
        """
        worker = fakes.add_worker(self.shard, "w7")
        worker.is_fenced = False
        worker.clock = None
        self.worker = worker
        self.take(make_listing([(NAME, 4001, "", 100, 500)]))
        left_s = worker.bound_lease_end() - clock.read_clock()
        self.assertGreater(left_s, 6.0)

    async def test_no_lease_is_extended_that_is_stored_as_ending(self):
        client = ListingClient(make_listing())
        self.shard.clients[self.worker.id] = client
        self.shard.frozen_leases = {self.worker.id}
        await self.listings._list(self.worker, 0)
        self.shard.frozen_leases = set()
        await self.listings._list(self.worker, 0)
        self.assertEqual(
            [until is None for until in client.until], [True, False]
        )

    async def test_an_acknowledgement_is_sent_once(self):
        """A worker that started anew would forget ends that nobody saw.

        Found by the soak, seed 2: the run of its new life ended as done, was
        forgotten by a listing with the number of the former life, and ran
        a second time.
        """
        client = ListingClient(make_listing())
        self.shard.clients[self.worker.id] = client
        self.worker.last_seen = 12
        for _ in range(3):
            await self.listings._list(self.worker, 0)
        self.assertEqual(client.last_seen, [0, 12, 0])

    async def test_no_acknowledgement_after_a_failure(self):
        """The worker may have started anew meanwhile.

        Found by the soak, seeds 11 and 15.
        """
        now = clock.read_clock()
        self.take(make_listing())
        self.worker.last_seen = 12
        self.assertEqual(self.worker.choose_last_seen(now), 12)
        later = now + fleet.ACKNOWLEDGE_S + 0.1
        self.assertEqual(self.worker.choose_last_seen(later), 0)
        lost = worker_calls.Uncertain("closed")
        self.listings._take_failure(self.worker, lost, now)
        self.assertEqual(self.worker.choose_last_seen(now), 0)

    async def test_a_single_lost_answer_doesn_t_make_a_worker_silent(self):
        """One listing in twenty may be lost while its worker is sound."""
        lost = worker_calls.Uncertain("timeout")
        self.listings._take_failure(self.worker, lost, 1.0)
        self.assertIsNone(self.worker.silent_since)
        self.listings._take_failure(self.worker, lost, 2.0)
        self.assertEqual(self.worker.silent_since, 2.0)

    async def test_another_owner_s_token_ends_the_shard(self):
        fenced = worker_calls.Rejected(worker_calls.STALE_FENCE)
        self.listings._take_failure(self.worker, fenced, 1.0)
        self.assertFalse(self.shard.is_open)
