"""Tests of an owner whose event loop is delayed or whose permission expires.

A busy VM reads the answers of its workers late. That must not count against
them, and nothing may be sent on a permission that has run out meanwhile.
"""

import asyncio
import threading
import time
import unittest

from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import execution
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient
from tests.entry import fakes
from tests.entry import standins
from tests.entry import test_standins

ID = "00000000000000aa"
DELAYS_S = (1.0, 5.0)


class WorkerThread:
    """Runs the stand-in of a worker on an event loop of its own.

    Attributes:
      address: where it listens, as host and port.
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.address = self._run(self._listen())

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _listen(self):
        self.standin = standins.WorkerStandIn(
            "w1", fakes.SERVICE, {}, test_standins.PassiveChecker()
        )
        return await self.standin.listen()

    async def _close(self):
        self.standin.close()
        for running in self.standin.running.values():
            running["task"].cancel()

    def close(self):
        """Stops the stand-in and its thread."""
        self._run(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


class DelayedLoopTest(unittest.IsolatedAsyncioTestCase):
    """The event loop stands still right after a call was sent."""

    async def asyncSetUp(self):
        self.worker_thread = WorkerThread()
        self.shard = fakes.make_shard()
        self.worker = fakes.add_worker(
            self.shard,
            address=self.worker_thread.address,
            born=self.worker_thread.standin.born,
        )
        self.shard.clients["w1"] = worker_calls.WorkerClient(
            self.worker_thread.address, "w1"
        )
        self.poller = listings.ListingPoller(self.shard)
        self.commands = workercommands.WorkerCommands(
            self.shard, self.poller.schedule_listing
        )
        self.shard.stop_run = self.commands.stop
        self.shard.apply_submission(ID, fakes.make_record())
        self.task = self.shard.submissions[ID].find_task("0.0.0")
        await self.poller._fetch_listing(self.worker, 0)

    async def asyncTearDown(self):
        self.shard.close("end of the test")
        self.worker_thread.close()

    async def stand_still(self, delay_s):
        # Lets the call be sent first.
        await asyncio.sleep(0.01)
        time.sleep(delay_s)

    async def test_answers_read_late_don_t_count_against_the_worker(self):
        for delay_s in DELAYS_S:
            with self.subTest(delay_s=delay_s):
                listing = asyncio.create_task(
                    self.poller._fetch_listing(self.worker, 0)
                )
                await self.stand_still(delay_s)
                self.assertTrue(await listing)
                self.assertIsNone(self.worker.unanswered_since)
                self.assertEqual(self.worker.listing_failures, 0)

    async def test_a_start_answered_meanwhile_isn_t_stopped(self):
        """Its run went on and was stopped, which made more work."""
        for delay_s in DELAYS_S:
            with self.subTest(delay_s=delay_s):
                run = self.shard.create_run(self.task, self.worker)
                start = asyncio.create_task(self.commands._start(run, ""))
                await self.stand_still(delay_s)
                await start
                self.assertIs(run.phase, execution.Phase.RUNNING)
                self.assertFalse(run.is_being_stopped)
                self.shard.remove_run(run, "void", "")

    async def test_a_call_that_was_never_sent_in_time_says_nothing(self):
        """The owner stood still while it waited for a connection."""
        client = self.shard.clients["w1"]._listing_client
        occupied = [
            asyncio.create_task(client._acquire_connection(time.time()))
            for _ in range(client._limit)
        ]
        await asyncio.wait(occupied)
        listing = asyncio.create_task(
            self.poller._fetch_listing(self.worker, 0)
        )
        await self.stand_still(DELAYS_S[0])
        self.assertFalse(await listing)
        self.assertIsNone(self.worker.unanswered_since)
        self.assertEqual(self.worker.listing_failures, 0)


class ExpiredPermissionTest(unittest.IsolatedAsyncioTestCase):
    """A process that was delayed acts on nothing that has run out."""

    async def asyncSetUp(self):
        self.standin = standins.WorkerStandIn(
            "w1", "s", {}, test_standins.PassiveChecker()
        )
        self.client = worker_calls.WorkerClient(
            await self.standin.listen(), "w1"
        )

    async def asyncTearDown(self):
        self.standin.close()

    async def start(self, send_by):
        return await self.client.start(
            "a.0.0.0", 1, "spec", 6000, 5, "", "", 1.0, send_by
        )

    async def test_no_start_leaves_after_the_end_of_the_lease(self):
        """It had waited for a connection while the lease ended."""
        result = await self.start(clock.read_clock())
        self.assertEqual(result, worker_calls.Rejected(httpclient.EXPIRED))
        self.assertEqual(self.standin.running, {})
        result = await self.start(clock.read_clock() + 60)
        self.assertIsInstance(result, worker_calls.Accepted)

    async def test_no_lease_is_extended_after_the_end_of_the_permission(self):
        result = await self.client.list_tasks(
            5, 0, 6000, 0, 1.0, clock.read_clock()
        )
        self.assertEqual(result, worker_calls.Rejected(httpclient.EXPIRED))
        self.assertEqual(self.standin.lease_ms, 0.0)
