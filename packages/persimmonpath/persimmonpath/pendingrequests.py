"""Requests without a final outcome and their waiting callers."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import threading

from returns import result

from persimmonpath import attempts
from persimmonpath import backlog
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import requestrecords
from persimmonpath import timers
from persimmonpath import work

# Bound on the callers that wait for one request.
MAX_WAITERS = 100

# Success: the outcome. Failure: an `InputError` or a `NotOwnerError`.
Reply = result.Result[outcomes.Outcome, errors.PersimmonError]


def create_status_reply(
    request_id: identifiers.RequestId, status: requestrecords.IdStatus
) -> Reply:
    """Returns the reply for an id that has no record and cannot be added."""
    match status:
        case requestrecords.IdStatus.REUSED:
            return result.Failure(errors.IdReusedError(str(request_id)))
        case requestrecords.IdStatus.NOT_ISSUED:
            return result.Failure(errors.IdNotIssuedError(str(request_id)))
        case requestrecords.IdStatus.LATER_EPOCH:
            return result.Failure(errors.NotOwnerError(str(request_id.shard)))
    return result.Success(outcomes.Unknown("no_record"))


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final outcome.

    It is kept while an attempt may run, even after its callers were answered
    `unknown`. The number is bounded by the queue limit and the slots.

    Attributes:
        id: Request id.
        request: Content; None if restored from a listing.
        digest: Digest of the content.
        deadline: Deadline of the first caller, in monotonic seconds.
        waiters: Futures of the callers that wait.
        backlog_entry: Entry in the backlog; None if restored from a listing.
        attempt: The attempt that may be running, or None.
        attempts: Number of attempts so far.
        earlier_outcome: Outcome of an attempt that ran before a further one was
            allowed.
        is_cancelled: Whether no further attempt may start.
    """

    id: identifiers.RequestId
    request: work.Request | None
    digest: str
    deadline: float
    waiters: list[futures.Future] = dataclasses.field(default_factory=list)
    backlog_entry: backlog.Entry | None = None
    attempt: attempts.Attempt | None = None
    attempts: int = 0
    earlier_outcome: outcomes.Outcome | None = None
    is_cancelled: bool = False


class PendingRequests:
    """Pending requests of a shard.

    Every method except `flush` needs the shard's lock. Replies are queued and
    delivered by `flush` after the lock has been released, because
    completing a future runs its callbacks.
    """

    def __init__(
        self,
        lock: threading.RLock,
        timer_service: timers.TimerService,
        request_records: requestrecords.RequestRecords,
        withdraw: Callable[[backlog.Entry | None], bool],
    ):
        """Creates an empty collection.

        Args:
            lock: The shard's lock.
            timer_service: Clock and timers.
            request_records: Records of the outcomes.
            withdraw: Removes an entry from the backlog; returns whether it
                was waiting there.
        """
        self._lock = lock
        self._timers = timer_service
        self._records = request_records
        self._withdraw = withdraw
        self._pending: dict[identifiers.RequestId, PendingRequest] = {}
        self._due_replies: list[tuple[futures.Future, Reply]] = []

    def add(self, pending: PendingRequest) -> None:
        """Adds a pending request."""
        self._pending[pending.id] = pending

    def find(self, request_id: identifiers.RequestId) -> PendingRequest | None:
        """Returns the pending request of an id, or None."""
        return self._pending.get(request_id)

    def count_waiting(self) -> int:
        """Returns the number of requests with waiting callers."""
        return sum(1 for p in self._pending.values() if p.waiters)

    def discard(self, pending: PendingRequest, reply: Reply) -> None:
        """Removes a request without an outcome and answers its callers."""
        self._pending.pop(pending.id, None)
        self.answer(pending, reply)

    def add_waiter(
        self, pending: PendingRequest, future: futures.Future, wait_s: float
    ) -> Reply | None:
        """Adds a waiting caller to a request.

        Args:
            pending: The request.
            future: Receives the reply.
            wait_s: Seconds until the caller is answered without a final
                outcome.

        Returns:
            A reply if too many callers wait already, else None.
        """
        if len(pending.waiters) >= MAX_WAITERS:
            return result.Success(outcomes.Unknown("too_many_duplicates"))
        pending.waiters.append(future)
        self._timers.call_later(wait_s, lambda: self._expire(pending, future))
        return None

    def finish(
        self, pending: PendingRequest, outcome: outcomes.Outcome
    ) -> None:
        """Records the outcome of a request and answers its callers.

        The outcome of an earlier attempt replaces a `NotRun` outcome. Does
        nothing if the request is no longer pending.
        """
        if self._pending.pop(pending.id, None) is None:
            return
        if (
            isinstance(outcome, outcomes.NotRun)
            and pending.earlier_outcome is not None
        ):
            outcome = pending.earlier_outcome
        self._records.finish(pending.id, outcome)
        self.answer(pending, result.Success(outcome))

    def answer(self, pending: PendingRequest, reply: Reply) -> None:
        """Queues a reply to every waiting caller of a request."""
        for future in pending.waiters:
            self.reply(future, reply)
        pending.waiters.clear()

    def reply(self, future: futures.Future, reply: Reply) -> None:
        """Queues a reply to one caller for `flush`."""
        self._due_replies.append((future, reply))

    def flush(self) -> None:
        """Delivers the queued replies; the lock must not be held."""
        while True:
            with self._lock:
                if not self._due_replies:
                    return
                future, reply = self._due_replies.pop()
            future.set_result(reply)

    def _expire(self, pending: PendingRequest, future: futures.Future) -> None:
        """Answers a caller whose waiting time has elapsed.

        A request that still waits in the backlog at its deadline ends as not
        run.
        """
        with self._lock:
            if future not in pending.waiters:
                return
            is_due = self._timers.now() >= pending.deadline
            if is_due and self._withdraw(pending.backlog_entry):
                outcome = outcomes.NotRun("deadline_passed_in_queue")
                self.finish(pending, outcome)
            else:
                pending.waiters.remove(future)
                unknown = outcomes.Unknown("still_running")
                self.reply(future, result.Success(unknown))
        self.flush()
