"""Wrappers of worker clients."""

from collections.abc import Callable
from concurrent import futures

from returns import result

from persimmonpath import errors
from persimmonpath import workers

StartListener = Callable[[str, result.Result], None]


class StartReportingWorker(workers.WorkerClient):
    """Forwards every call to a client and reports the answers to starts.

    The listener is called before the future that `start` returns is resolved.
    """

    def __init__(self, client: workers.WorkerClient, on_start: StartListener):
        """Creates a client.

        Args:
            client: Client that calls are forwarded to.
            on_start: Called with the attempt id and the result of each start.
        """
        self._client = client
        self._on_start = on_start

    def fence(self, epoch, owner, lease_s, timeout_s):
        """Sets the epoch and the owner of the worker and lists attempts."""
        return self._client.fence(epoch, owner, lease_s, timeout_s)

    def renew(self, epoch, lease_s, acknowledged, timeout_s):
        """Extends the owner lease."""
        return self._client.renew(epoch, lease_s, acknowledged, timeout_s)

    def start(self, start, wait, timeout_s):
        """Starts an attempt and reports the answer."""
        tracked: futures.Future = futures.Future()

        def handle_reply(future: futures.Future) -> None:
            reply = read_reply(future)
            self._on_start(start.attempt, reply)
            tracked.set_result(reply)

        self._client.start(start, wait, timeout_s).add_done_callback(
            handle_reply
        )
        return tracked

    def close(self, attempt, epoch, timeout_s):
        """Prevents a start that has not happened."""
        return self._client.close(attempt, epoch, timeout_s)

    def inspect(self, attempt, timeout_s):
        """Returns the record of an attempt."""
        return self._client.inspect(attempt, timeout_s)

    def control(self, attempt, action, epoch, timeout_s):
        """Applies an action to a running attempt."""
        return self._client.control(attempt, action, epoch, timeout_s)

    def disconnect(self):
        """Closes every connection."""
        self._client.disconnect()


class RemovedWorker(workers.WorkerClient):
    """Client of a worker that was removed from the fleet.

    Sends nothing: every call fails with `WorkerNotContactedError`.
    """

    def __init__(self, name: str):
        """Creates a client for the removed worker of that name."""
        self._name = name

    def fence(self, epoch, owner, lease_s, timeout_s):
        """Returns a failure; the call is not sent."""
        return self._fail()

    def renew(self, epoch, lease_s, acknowledged, timeout_s):
        """Returns a failure; the call is not sent."""
        return self._fail()

    def start(self, start, wait, timeout_s):
        """Returns a failure; the call is not sent."""
        return self._fail()

    def close(self, attempt, epoch, timeout_s):
        """Returns a failure; the call is not sent."""
        return self._fail()

    def inspect(self, attempt, timeout_s):
        """Returns a failure; the call is not sent."""
        return self._fail()

    def control(self, attempt, action, epoch, timeout_s):
        """Returns a failure; the call is not sent."""
        return self._fail()

    def disconnect(self):
        """Does nothing."""

    def _fail(self) -> futures.Future:
        future: futures.Future = futures.Future()
        error = errors.WorkerNotContactedError(self._name)
        future.set_result(result.Failure(error))
        return future


def read_reply(future: futures.Future) -> result.Result:
    """Returns the result of a call.

    An exception of the future counts as `WorkerUnreachableError`, since the
    call may have taken effect.
    """
    error = future.exception()
    if error is not None:
        return result.Failure(errors.WorkerUnreachableError(repr(error)))
    return future.result()
