"""Calls to workers."""

import dataclasses

import msgspec

from persimmonpath_entry.transport import httpclient

STALE_FENCE = "fence"
NO_CAPACITY = "room"
INVALID_TICKET = "ticket"
TOO_LATE = "late"
STALE_RUN = "old"
OTHER_INCARNATION = "lifetime"


@dataclasses.dataclass(slots=True)
class Accepted:
    """The worker has carried an order out.

    Attributes:
      clock_ms: the worker's steady clock.
    """

    clock_ms: float


@dataclasses.dataclass(slots=True)
class Rejected:
    """The worker has not carried an order out and won't.

    Attributes:
      reason: FENCE, OLD, LATE, ROOM, TICKET, OTHER_LIFETIME or an HTTP status.
      clock_ms: the worker's steady clock, or None.
    """

    reason: str
    clock_ms: float | None = None


@dataclasses.dataclass(slots=True)
class Uncertain:
    """The order may have been, or may yet be, carried out."""

    reason: str


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A task that a worker runs.

    Attributes:
      task: its name.
      run: the number of the run.
      saved: its newest checkpoint, or empty.
      percent: the share at which it may work.
      load: tail latency in ms of a task that serves, thousandths of a core of
        any other, None where the worker doesn't say.
    """

    task: str
    run: int
    saved: str
    percent: float
    load: float | None


@dataclasses.dataclass(slots=True)
class EndedTask:
    """A task that has ended on a worker.

    Attributes:
      number: the number of the end in the worker's lifetime.
      task: its name.
      run: the number of the run.
      how: done, failed, stopped, lapsed, broken or alone.
      saved: its newest checkpoint, or empty.
    """

    number: int
    task: str
    run: int
    how: str
    saved: str


@dataclasses.dataclass(slots=True)
class Listing:
    """What a worker says of its tasks.

    Attributes:
      clock_ms: the worker's steady clock.
      born: Unix milliseconds of its start, 0 if it doesn't say.
      running: the tasks that it runs.
      ended: the ends that have not been acknowledged.
    """

    clock_ms: float
    born: int
    running: list[RunningTask]
    ended: list[EndedTask]


class _WorkerResponse(msgspec.Struct, rename="camel"):
    clock_ms: float | None = None
    reason: str = ""
    born: int = 0
    running: list[list] = []
    ended: list[list] = []


_decode_response = msgspec.json.Decoder(_WorkerResponse).decode
MAX_ENDS_PER_LISTING = 500
# A burst of starts takes turns on few connections; each new one has its price.
COMMAND_CONNECTIONS = 3


class WorkerClient:
    """Calls to one lifetime of a worker."""

    def __init__(self, address: str, worker_id: str):
        # Orders have connections of their own, so that a listing that waits
        # for an end never delays them.
        self._command_client = httpclient.HttpClient(
            address, limit=COMMAND_CONNECTIONS
        )
        self._listing_client = httpclient.HttpClient(address, limit=2)
        self._header = f"X-Target-Instance: {worker_id}\r\n"

    async def start(
        self,
        task: str,
        run: int,
        spec: str,
        until_ms: int,
        fence: int,
        saved: str,
        ticket: str,
        timeout_s: float,
    ) -> Accepted | Rejected | Uncertain:
        """Tells the worker to start a run of a task."""
        command = {
            "task": task,
            "run": run,
            "spec": spec,
            "untilMs": until_ms,
            "fencingToken": fence,
        }
        if saved:
            command["saved"] = saved
        if ticket:
            command["ticket"] = ticket
        return await self._send_command("/api/run-start", command, timeout_s)

    async def stop(
        self, task: str, run: int, fence: int, timeout_s: float
    ) -> Accepted | Rejected | Uncertain:
        """Tells the worker to stop a run, also one that isn't there yet."""
        command = {"task": task, "run": run, "fencingToken": fence}
        return await self._send_command("/api/run-stop", command, timeout_s)

    async def pace(
        self, task: str, run: int, percent: int, fence: int, timeout_s: float
    ) -> Accepted | Rejected | Uncertain:
        """Tells the worker the share at which a run may work, 0 to 100."""
        command = {
            "task": task,
            "run": run,
            "percent": percent,
            "fencingToken": fence,
        }
        return await self._send_command("/api/pace", command, timeout_s)

    async def _send_command(self, path, command, timeout_s):
        outcome = await self._command_client.call(
            "POST", path, msgspec.json.encode(command), self._header, timeout_s
        )
        if isinstance(outcome, httpclient.NoResponse):
            if outcome.sent:
                return Uncertain(outcome.reason)
            return Rejected(outcome.reason)
        return _decode_command_result(outcome)

    async def list_tasks(
        self,
        fence: int,
        last_seen: int,
        until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> Listing | Rejected | Uncertain:
        """Renews the lease, acknowledges ends and returns the worker's tasks.

        Args:
          fence: the owner's fencing token.
          last_seen: number of the last end that is stored.
          until_ms: end of the lease on the worker's clock, None to leave it.
          wait_ms: milliseconds that the answer may wait for an end.
          timeout_s: seconds until the call is given up.
        """
        command = {"fencingToken": fence, "lastSeen": last_seen}
        if until_ms is not None:
            command["untilMs"] = until_ms
        if wait_ms:
            command["waitMs"] = wait_ms
        outcome = await self._listing_client.call(
            "POST",
            "/api/hold",
            msgspec.json.encode(command),
            self._header,
            timeout_s,
        )
        if isinstance(outcome, httpclient.NoResponse):
            if outcome.sent:
                return Uncertain(outcome.reason)
            return Rejected(outcome.reason)
        if outcome.status != 200:
            return _decode_command_result(outcome)
        try:
            return _decode_listing(_decode_response(outcome.body))
        except (msgspec.MsgspecError, ValueError, IndexError) as error:
            return Uncertain(f"unreadable: {error}")

    def close(self):
        """Closes the connections."""
        self._command_client.close()
        self._listing_client.close()


def _decode_command_result(response: httpclient.Response):
    if response.status == 421:
        return Rejected(OTHER_INCARNATION)
    try:
        message = _decode_response(response.body)
    except msgspec.MsgspecError:
        message = _WorkerResponse()
    if response.status == 200:
        return Accepted(message.clock_ms or 0.0)
    if response.status == 409:
        return Rejected(message.reason, message.clock_ms)
    if response.status in (400, 429, 503):
        return Rejected(str(response.status), message.clock_ms)
    return Uncertain(str(response.status))


def _decode_listing(message: _WorkerResponse) -> Listing:
    running = [
        RunningTask(
            row[0], row[1], row[2], row[3], row[4] if len(row) > 4 else None
        )
        for row in message.running
    ]
    ended = [EndedTask(*row[:5]) for row in message.ended]
    return Listing(message.clock_ms or 0.0, message.born, running, ended)
