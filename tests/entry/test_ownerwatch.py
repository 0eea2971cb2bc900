"""Tests of detecting the exit of an owner's process."""

import asyncio
import unittest

from persimmonpath_entry.engine import ownerwatch


class OwnerWatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_exit_of_a_process_is_detected_at_once(self):
        """A killed owner was replaced only after it had restarted."""
        connected = asyncio.Event()
        writers = []

        async def accept(reader, writer):
            writers.append(writer)
            connected.set()
            await reader.read()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        exited = asyncio.Event()
        watcher = ownerwatch.OwnerWatcher(f"127.0.0.1:{port}", exited.set)
        await asyncio.wait_for(connected.wait(), 5)
        self.assertFalse(exited.is_set())
        writers[0].transport.abort()
        await asyncio.wait_for(exited.wait(), 5)
        watcher.stop()
        server.close()

    async def test_a_long_poll_ends_when_the_process_is_stopping(self):
        """An open long poll must not delay the exit of the process."""
        await asyncio.wait_for(ownerwatch.hold_long_poll(lambda: True), 5)
