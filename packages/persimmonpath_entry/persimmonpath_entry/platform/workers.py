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


class _Answer(msgspec.Struct, rename="camel"):
    clock_ms: float | None = None
    reason: str = ""
    born: int = 0
    running: list[list] = []
    ended: list[list] = []


_decode_answer = msgspec.json.Decoder(_Answer).decode
MAX_ENDS_PER_LISTING = 500
# A burst of starts takes turns on few connections; each new one has its price.
ORDER_CONNECTIONS = 3


class WorkerClient:
    """Calls to one lifetime of a worker."""

    def __init__(self, address: str, worker_id: str):
        # Orders have connections of their own, so that a listing that waits
        # for an end never delays them.
        self._orders = httpclient.HttpClient(address, limit=ORDER_CONNECTIONS)
        self._listings = httpclient.HttpClient(address, limit=2)
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
        order = {
            "task": task,
            "run": run,
            "spec": spec,
            "untilMs": until_ms,
            "fencingToken": fence,
        }
        if saved:
            order["saved"] = saved
        if ticket:
            order["ticket"] = ticket
        return await self._order("/api/run-start", order, timeout_s)

    async def stop(
        self, task: str, run: int, fence: int, timeout_s: float
    ) -> Accepted | Rejected | Uncertain:
        """Tells the worker to stop a run, also one that isn't there yet."""
        order = {"task": task, "run": run, "fencingToken": fence}
        return await self._order("/api/run-stop", order, timeout_s)

    async def pace(
        self, task: str, run: int, percent: int, fence: int, timeout_s: float
    ) -> Accepted | Rejected | Uncertain:
        """Tells the worker the share at which a run may work, 0 to 100."""
        order = {
            "task": task,
            "run": run,
            "percent": percent,
            "fencingToken": fence,
        }
        return await self._order("/api/pace", order, timeout_s)

    async def _order(self, path, order, timeout_s):
        outcome = await self._orders.call(
            "POST", path, msgspec.json.encode(order), self._header, timeout_s
        )
        if isinstance(outcome, httpclient.NoResponse):
            if outcome.sent:
                return Uncertain(outcome.reason)
            return Rejected(outcome.reason)
        return _translate_order(outcome)

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
        order = {"fencingToken": fence, "lastSeen": last_seen}
        if until_ms is not None:
            order["untilMs"] = until_ms
        if wait_ms:
            order["waitMs"] = wait_ms
        outcome = await self._listings.call(
            "POST",
            "/api/hold",
            msgspec.json.encode(order),
            self._header,
            timeout_s,
        )
        if isinstance(outcome, httpclient.NoResponse):
            if outcome.sent:
                return Uncertain(outcome.reason)
            return Rejected(outcome.reason)
        if outcome.status != 200:
            return _translate_order(outcome)
        try:
            return _translate_listing(_decode_answer(outcome.body))
        except (msgspec.MsgspecError, ValueError, IndexError) as error:
            return Uncertain(f"unreadable: {error}")

    def close(self):
        """Closes the connections."""
        self._orders.close()
        self._listings.close()


def _translate_order(reply: httpclient.Response):
    if reply.status == 421:
        return Rejected(OTHER_INCARNATION)
    try:
        answer = _decode_answer(reply.body)
    except msgspec.MsgspecError:
        answer = _Answer()
    if reply.status == 200:
        return Accepted(answer.clock_ms or 0.0)
    if reply.status == 409:
        return Rejected(answer.reason, answer.clock_ms)
    if reply.status in (400, 429, 503):
        return Rejected(str(reply.status), answer.clock_ms)
    return Uncertain(str(reply.status))


def _translate_listing(answer: _Answer) -> Listing:
    running = [
        RunningTask(
            row[0], row[1], row[2], row[3], row[4] if len(row) > 4 else None
        )
        for row in answer.running
    ]
    ended = [EndedTask(*row[:5]) for row in answer.ended]
    return Listing(answer.clock_ms or 0.0, answer.born, running, ended)
