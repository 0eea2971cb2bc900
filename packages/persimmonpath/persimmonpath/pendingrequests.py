"""Requests without a final outcome, and the callers that wait for them."""

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

MAX_WAITERS = 100

# An outcome, or an `InputError` of the caller, or a `NotOwnerError`.
Reply = result.Result[outcomes.Outcome, errors.PersimmonError]


def create_status_reply(
    request_id: identifiers.RequestId, status: requestrecords.IdStatus
) -> Reply:
    """Returns the answer for an id that is neither new nor held."""
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

    It stays after its callers were answered `unknown` while an attempt of it
    may run, so there are at most as many as queued requests and slots.

    Attributes:
        id: Its id.
        request: Its content; None when only a listing told of it.
        digest: Digest of its content.
        deadline: When the first caller gives up, in monotonic seconds.
        waiters: Futures of the callers that wait.
        backlog_entry: Its entry in the backlog; None when a listing told of it.
        attempt: The attempt that may be running.
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
    """All pending requests of a shard.

    Every call but `flush` needs the shard's lock. Answers are given by
    `flush`, after the lock has been let go.
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
            timer_service: Source of time.
            request_records: Takes the outcomes.
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
        """Adds a request."""
        self._pending[pending.id] = pending

    def find(self, request_id: identifiers.RequestId) -> PendingRequest | None:
        """Returns the pending request of an id."""
        return self._pending.get(request_id)

    def count_waiting(self) -> int:
        """Returns the requests whose callers wait."""
        return sum(1 for p in self._pending.values() if p.waiters)

    def discard(self, pending: PendingRequest, reply: Reply) -> None:
        """Forgets a request and answers every caller that waits."""
        self._pending.pop(pending.id, None)
        self.answer(pending, reply)

    def join(
        self, pending: PendingRequest, future: futures.Future, wait_s: float
    ) -> Reply | None:
        """Adds a caller that waits.

        Args:
            pending: What it waits for.
            future: Takes the answer.
            wait_s: Seconds until the caller gives up.

        Returns:
            The answer when there are too many callers already.
        """
        if len(pending.waiters) >= MAX_WAITERS:
            return result.Success(outcomes.Unknown("too_many_duplicates"))
        pending.waiters.append(future)
        self._timers.call_later(wait_s, lambda: self._expire(pending, future))
        return None

    def finish(
        self, pending: PendingRequest, outcome: outcomes.Outcome
    ) -> None:
        """Stores an outcome and answers every caller that waits."""
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
        """Answers every caller that waits for a request."""
        for future in pending.waiters:
            self.reply(future, reply)
        pending.waiters.clear()

    def reply(self, future: futures.Future, reply: Reply) -> None:
        """Has `flush` answer one caller."""
        self._due_replies.append((future, reply))

    def flush(self) -> None:
        """Gives the answers that are due; the lock must not be held."""
        while True:
            with self._lock:
                if not self._due_replies:
                    return
                future, reply = self._due_replies.pop()
            future.set_result(reply)

    def _expire(self, pending: PendingRequest, future: futures.Future) -> None:
        """Answers a caller whose deadline has come."""
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
