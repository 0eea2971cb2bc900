"""Withdrawal of waiting requests that are forwarded to the next owner."""

from collections.abc import Callable
import dataclasses
import functools
import threading

from persimmonpath import backlog
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import pendingrequests
from persimmonpath import timers
from persimmonpath import work

# Smallest timeout of a forwarded request, even if its deadline has passed.
MIN_TIMEOUT_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnRequest:
    """A waiting request that the shard's next owner is to run.

    Attributes:
        id: Request id.
        request: The request with the remaining time as its timeout.
        finish: Records its outcome and answers the waiting callers.
        requeue: Puts it back into the backlog if it could not be forwarded.
    """

    id: identifiers.RequestId
    request: work.Request
    finish: Callable[[outcomes.Outcome], None]
    requeue: Callable[[], None]


class Withdrawals:
    """Withdraws requests from the backlog of a replaced owner."""

    def __init__(
        self,
        lock: threading.RLock,
        timer_service: timers.TimerService,
        pending: pendingrequests.PendingRequests,
        waiting: backlog.Backlog,
    ):
        """Creates an object that has withdrawn nothing.

        Args:
            lock: The shard's lock.
            timer_service: Clock and timers.
            pending: Requests without a final outcome.
            waiting: Backlog of the requests that wait for a start.
        """
        self._lock = lock
        self._timers = timer_service
        self._pending = pending
        self._backlog = waiting

    def withdraw(self) -> list[WithdrawnRequest]:
        """Removes all waiting requests from the backlog and returns them."""
        with self._lock:
            withdrawn = self._backlog.withdraw()
        return [self._create_withdrawn(pending) for pending in withdrawn]

    def _create_withdrawn(
        self, pending: pendingrequests.PendingRequest
    ) -> WithdrawnRequest:
        left_s = pending.deadline - self._timers.now()
        request = dataclasses.replace(
            pending.request,
            timeout_s=max(MIN_TIMEOUT_S, left_s),
            # A waiting request has not been answered and has no running
            # attempt, so the next owner may run it.
            is_vouched=True,
        )
        return WithdrawnRequest(
            pending.id,
            request,
            functools.partial(self._finish, pending),
            functools.partial(self._requeue, pending),
        )

    def _finish(
        self, pending: pendingrequests.PendingRequest, outcome: outcomes.Outcome
    ) -> None:
        with self._lock:
            self._pending.finish(pending, outcome)
        self._pending.flush()

    def _requeue(self, pending: pendingrequests.PendingRequest) -> None:
        with self._lock:
            if self._pending.find(pending.id) is pending:
                if self._timers.now() < pending.deadline:
                    self._backlog.readmit(pending.backlog_entry)
                else:
                    outcome = outcomes.NotRun("deadline_passed_in_queue")
                    self._pending.finish(pending, outcome)
        self._pending.flush()
