"""Client of a worker: commands, leases and task listings."""

import dataclasses

import msgspec

from persimmonpath_entry.platform import messages
from persimmonpath_entry.transport import httpclient

# Reasons for which a worker rejects a command, as on the wire.
# The worker has seen a higher fencing token.
STALE_FENCE = "fence"
# The worker lacks free capacity.
NO_CAPACITY = "room"
# The worker does not accept the ticket.
INVALID_TICKET = "ticket"
# The lease that the command carries has already ended.
TOO_LATE = "late"
# This run or a later run of the task was stopped or has ended.
STALE_RUN = "old"
# Status 421: the address belongs to another incarnation of the worker.
OTHER_INCARNATION = "lifetime"
# Most run ends that a worker returns in one listing.
MAX_ENDS_PER_LISTING = 500


@dataclasses.dataclass(slots=True)
class Accepted:
    """Result of a command that the worker has carried out.

    Attributes:
      clock_ms: the worker's monotonic clock.
    """

    clock_ms: float


@dataclasses.dataclass(slots=True)
class Rejected:
    """Result of a command that the worker has not carried out and won't.

    Attributes:
      reason: one of the reasons above, an HTTP status, or why the command was
        never sent.
      clock_ms: the worker's monotonic clock, or None.
    """

    reason: str
    clock_ms: float | None = None


@dataclasses.dataclass(slots=True)
class Uncertain:
    """Result of a command that may have been, or may yet be, carried out.

    Attributes:
      reason: why there was no usable response, or the HTTP status.
    """

    reason: str


class RunningTask(msgspec.Struct, array_like=True):
    """A task that a worker runs.

    Attributes:
      task: name of the task.
      run: number of the run.
      saved: the newest checkpoint, or empty.
      percent: share of its full speed at which the run may work, 0 to 100.
      load: tail latency in ms of a task that serves requests, CPU use in
        thousandths of a core of any other, None if the worker reports none.
    """

    task: str
    run: int
    saved: str = ""
    percent: float = 100
    load: float | None = None


class EndedTask(msgspec.Struct, array_like=True):
    """A run that has ended on a worker.

    Attributes:
      number: sequence number of the run end within the worker's incarnation.
      task: name of the task.
      run: number of the run.
      how: the outcome: done, failed, stopped, lapsed (the lease ended),
        broken or alone.
      saved: the newest checkpoint, or empty.
    """

    number: int
    task: str
    run: int
    how: str
    saved: str = ""


@dataclasses.dataclass(slots=True)
class Listing:
    """A worker's report of its tasks.

    Attributes:
      clock_ms: the worker's monotonic clock.
      born: Unix milliseconds at which the worker started, 0 if not reported.
      running: the runs in progress.
      ended: the first run ends that have not been acknowledged, at most
        MAX_ENDS_PER_LISTING.
    """

    clock_ms: float
    born: int
    running: list[RunningTask]
    ended: list[EndedTask]

    @property
    def may_omit_ends(self) -> bool:
        """Whether the worker may have more run ends than it has listed."""
        return len(self.ended) >= MAX_ENDS_PER_LISTING


class _WorkerResponse(msgspec.Struct, rename="camel"):
    clock_ms: float | None = None
    reason: str = ""
    born: int = 0
    # Workers may leave out the load of a row, or add fields to it.
    running: list[RunningTask] = []
    ended: list[EndedTask] = []


_decode_response = msgspec.json.Decoder(_WorkerResponse).decode
# Each new connection costs time, so a burst of commands shares a few.
COMMAND_CONNECTIONS = 3


class WorkerClient:
    """Client of one incarnation of a worker."""

    def __init__(self, address: str, worker_id: str):
        # Commands have their own connections, so that a listing that waits for
        # a run end never delays them.
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
        send_by: float | None = None,
    ) -> Accepted | Rejected | Uncertain:
        """Starts a run of a task.

        Args:
          task: name of the task.
          run: number of the run.
          spec: what to run, passed on as submitted.
          until_ms: end of the lease on the worker's clock.
          fence: the owner's fencing token.
          saved: checkpoint to continue from, or empty.
          ticket: the advisor's ticket for this worker, or empty.
          timeout_s: seconds until the call is given up.
          send_by: end of the permission to start runs, on the local clock.
        """
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
        return await self._send_command(
            "/api/run-start", command, timeout_s, send_by
        )

    async def stop(
        self, task: str, run: int, fence: int, timeout_s: float
    ) -> Accepted | Rejected | Uncertain:
        """Stops a run; if it has not started, the worker rejects its start."""
        command = {"task": task, "run": run, "fencingToken": fence}
        return await self._send_command("/api/run-stop", command, timeout_s)

    async def pace(
        self, task: str, run: int, percent: int, fence: int, timeout_s: float
    ) -> Accepted | Rejected | Uncertain:
        """Sets the percentage of full speed at which a run may work."""
        command = {
            "task": task,
            "run": run,
            "percent": percent,
            "fencingToken": fence,
        }
        return await self._send_command("/api/pace", command, timeout_s)

    async def _send_command(self, path, command, timeout_s, send_by=None):
        outcome = await self._command_client.call(
            "POST",
            path,
            msgspec.json.encode(command),
            self._header,
            timeout_s,
            send_by=send_by,
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
        send_by: float | None = None,
    ) -> Listing | Rejected | Uncertain:
        """Renews the lease, acknowledges run ends and lists the worker's tasks.

        Args:
          fence: the owner's fencing token.
          last_seen: number of the last run end that is stored.
          until_ms: end of the lease on the worker's clock, None to keep it.
          wait_ms: milliseconds that the worker may wait for a run end before
            it responds.
          timeout_s: seconds until the call is given up.
          send_by: end of the permission to renew leases, on the local clock.
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
            send_by=send_by,
        )
        if isinstance(outcome, httpclient.NoResponse):
            if outcome.sent:
                return Uncertain(outcome.reason)
            return Rejected(outcome.reason)
        if outcome.status != 200:
            return _decode_command_result(outcome)
        try:
            message = _decode_response(outcome.body)
        except messages.UNREADABLE as error:
            return Uncertain(f"unreadable: {error}")
        return Listing(
            message.clock_ms or 0.0,
            message.born,
            message.running,
            message.ended,
        )

    def close(self):
        """Closes the connections."""
        self._command_client.close()
        self._listing_client.close()


def _decode_command_result(response: httpclient.Response):
    if response.status == 421:
        return Rejected(OTHER_INCARNATION)
    try:
        message = _decode_response(response.body)
    except messages.UNREADABLE:
        message = _WorkerResponse()
    if response.status == 200:
        return Accepted(message.clock_ms or 0.0)
    if response.status == 409:
        return Rejected(message.reason, message.clock_ms)
    if response.status in (400, 429, 503):
        return Rejected(str(response.status), message.clock_ms)
    return Uncertain(str(response.status))
