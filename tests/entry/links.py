"""A TCP proxy that injects network faults between loopback addresses."""

import asyncio


class Link:
    """Forwards connections to an address.

    Attributes:
      mode: pass, silent (forwards nothing), one_way (forwards nothing from
        the target) or reset (aborts connections).
      delay_s: seconds by which each chunk of data is delayed.
      address: host and port of the proxy, once `listen` has returned.
    """

    def __init__(self, target):
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self.mode = "pass"
        self.delay_s = 0.0
        self._tasks = set()
        self._writers = set()

    async def listen(self):
        """Starts to listen on a free port; returns the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(
            *self._server.sockets[0].getsockname()[:2]
        )
        return self.address

    async def _accept(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            remote = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        for task in (
            self._forward(reader, remote[1], "to_target"),
            self._forward(remote[0], writer, "from_target"),
        ):
            task = asyncio.get_running_loop().create_task(task)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, direction):
        self._writers.add(writer)
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.mode == "reset":
                    break
                # A connection that stopped forwarding never resumes, as in the
                # platform.
                if self.mode == "silent" or (
                    self.mode == "one_way" and direction == "from_target"
                ):
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def reset(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stops listening and cancels all forwarding."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
