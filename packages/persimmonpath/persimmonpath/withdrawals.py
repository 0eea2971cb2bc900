"""Requests that wait at an owner and are passed on to the next one."""

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

MIN_TIMEOUT_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnRequest:
    """A request that waits and is to be run by the shard's next owner.

    Attributes:
        id: Its id.
        request: The request, with the time that is left.
        finish: Takes its outcome and answers whoever waits for it.
        requeue: Has it wait again, when it could not be passed on.
    """

    id: identifiers.RequestId
    request: work.Request
    finish: Callable[[outcomes.Outcome], None]
    requeue: Callable[[], None]


class Withdrawals:
    """Takes requests out of the backlog of an owner that was replaced."""

    def __init__(
        self,
        lock: threading.RLock,
        timer_service: timers.TimerService,
        pending: pendingrequests.PendingRequests,
        waiting: backlog.Backlog,
    ):
        """Creates withdrawals.

        Args:
            lock: The shard's lock.
            timer_service: Source of time.
            pending: Requests without a final outcome.
            waiting: Those of them that wait.
        """
        self._lock = lock
        self._timers = timer_service
        self._pending = pending
        self._backlog = waiting

    def withdraw(self) -> list[WithdrawnRequest]:
        """Takes out everything that waits."""
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
            # Nothing that waits has been answered, and no attempt of it runs.
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
