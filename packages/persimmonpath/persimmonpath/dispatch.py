"""The owner of a shard at work: ledger, queue, placement and workers."""

import collections
from collections.abc import Callable
from concurrent import futures
import dataclasses
import functools
import hashlib

from returns import result

from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import ledger
from persimmonpath import outcomes
from persimmonpath import wire
from persimmonpath import work
from persimmonpath import workers

CLOSE_TIMEOUT_S = 1.0
START_WITHIN_S = 2.0
# Room kept before the caller's deadline to close an attempt that is silent.
CLOSE_MARGIN_S = 0.25


def compute_digest(request: work.Request) -> str:
    """Returns a digest of what a request asks for."""
    content = dataclasses.replace(request, payload=b"", timeout_s=0.0, trace="")
    digest = hashlib.blake2b(wire.encode(content), digest_size=16)
    digest.update(request.payload)
    return digest.hexdigest()


@dataclasses.dataclass(slots=True)
class _Pending:
    id: identifiers.RequestId
    request: work.Request
    digest: str
    deadline: float
    waiting: list[futures.Future]
    attempts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """A request that waits and is to be run by the shard's next owner.

    Attributes:
        id: Its id.
        request: The request, with the time that is left.
        finish: Takes its outcome and answers whoever waits for it.
        put_back: Has it wait again, when it could not be passed on.
    """

    id: identifiers.RequestId
    request: work.Request
    finish: Callable[[outcomes.Outcome], None]
    put_back: Callable[[], None]


class Dispatcher:
    """Runs the requests of one shard for as long as this VM owns it.

    Calls of workers complete on other threads; the fleet's lock is never held
    while a worker is called or a waiting caller is answered.
    """

    def __init__(
        self,
        shard: identifiers.ShardId,
        shard_fleet: fleet.Fleet,
        queue_limit: int = 1000,
    ):
        """Creates a dispatcher.

        Args:
            shard: The shard.
            shard_fleet: Workers of the shard.
            queue_limit: Most requests that wait.
        """
        self.shard = shard
        self._fleet = shard_fleet
        self._timers = shard_fleet.timers
        self._lock = shard_fleet.lock
        self._queue_limit = queue_limit
        self._ledger = ledger.Ledger(shard, shard_fleet.epoch)
        self._queue: collections.deque[_Pending] = collections.deque()
        self._pending: dict[identifiers.RequestId, _Pending] = {}
        shard_fleet.subscribe(self._take_record, self._take_change)

    def issue_ids(self, count: int) -> list[identifiers.RequestId]:
        """Returns fresh request ids of this shard."""
        with self._lock:
            return self._ledger.issue(count)

    def submit(
        self, request_id: identifiers.RequestId, request: work.Request
    ) -> "futures.Future[outcomes.Outcome]":
        """Runs a request, or joins or answers an earlier one with its id."""
        future: futures.Future = futures.Future()
        digest = compute_digest(request)
        with self._lock:
            outcome = self._admit(request_id, request, digest, future)
        if outcome is not None:
            future.set_result(outcome)
        self._drive()
        return future

    def ask(
        self, request_id: identifiers.RequestId, close: bool
    ) -> outcomes.Outcome:
        """Returns what became of an id.

        Args:
            request_id: The id.
            close: Whether an id not seen yet is made final as not run.
        """
        with self._lock:
            if close:
                return self._ledger.close(request_id)
            entry = self._ledger.find(request_id)
            if entry is None:
                return outcomes.Unknown("no_record")
            return entry.outcome or outcomes.Unknown("in_progress")

    def count_in_flight(self) -> int:
        """Returns the number of requests that are not final."""
        with self._lock:
            return len(self._pending)

    def withdraw_queued(self) -> list[Withdrawn]:
        """Takes out the requests that wait, for the shard's next owner.

        Each stays in flight here until its `finish` is called.
        """
        with self._lock:
            queued = list(self._queue)
            self._queue.clear()
        now = self._timers.now()
        return [
            Withdrawn(
                pending.id,
                dataclasses.replace(
                    pending.request,
                    timeout_s=max(0.01, pending.deadline - now),
                ),
                functools.partial(self._finish, pending),
                functools.partial(self._put_back, pending),
            )
            for pending in queued
        ]

    def _put_back(self, pending: _Pending) -> None:
        with self._lock:
            if pending.id not in self._pending:
                return
            if self._timers.now() < pending.deadline:
                self._queue.append(pending)
                return
        self._refuse(pending, "deadline_passed_in_queue")

    def _refuse(self, pending: _Pending, reason: str) -> None:
        """Finishes a request that was not run here."""
        if self._fleet.is_stopped():
            # The next owner may have run it under the same id.
            self._finish(pending, outcomes.Unknown("ownership_moved"))
        else:
            self._finish(pending, outcomes.NotRun(reason))

    def _admit(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        digest: str,
        future: futures.Future,
    ) -> outcomes.Outcome | None:
        verdict = self._ledger.admit(request_id, digest)
        if verdict is ledger.Verdict.DUPLICATE:
            entry = self._ledger.find(request_id)
            if entry.outcome is not None:
                return entry.outcome
            if request_id not in self._pending:
                return outcomes.Unknown("running_since_earlier_epoch")
            self._pending[request_id].waiting.append(future)
            return None
        if verdict is ledger.Verdict.REUSED:
            return outcomes.NotRun("id_reused")
        if verdict is ledger.Verdict.NOT_ISSUED:
            return outcomes.NotRun("id_not_issued")
        if verdict is ledger.Verdict.UNCERTAIN:
            return outcomes.Unknown("no_record")
        if len(self._queue) >= self._queue_limit:
            outcome = outcomes.NotRun("overloaded")
            self._ledger.finish(request_id, outcome)
            return outcome
        deadline = self._timers.now() + request.timeout_s
        pending = _Pending(request_id, request, digest, deadline, [future])
        self._pending[request_id] = pending
        self._queue.append(pending)
        self._timers.call_later(
            request.timeout_s, lambda: self._expire(pending)
        )
        return None

    def _drive(self) -> None:
        while (started := self._take_next()) is not None:
            pending, name, start, timeout_s = started
            future = self._fleet.get_client(name).start(start, True, timeout_s)
            future.add_done_callback(
                lambda f, p=pending, n=name, s=start: self._take_reply(
                    p, n, s, f.result()
                )
            )

    def _take_next(self):
        with self._lock:
            if not self._queue:
                return None
            pending = self._queue[0]
            request = pending.request
            attempt = identifiers.format_attempt(
                str(pending.id), pending.attempts + 1
            )
            name = self._fleet.reserve(attempt, request.size)
            if name is None:
                return None
            self._queue.popleft()
            pending.attempts += 1
            start = workers.StartTask(
                attempt=attempt,
                epoch=self._fleet.epoch,
                start_within_s=START_WITHIN_S,
                size=request.size,
                payload=request.payload,
                digest=pending.digest,
                kind=request.kind,
                trace=request.trace,
            )
            left_s = pending.deadline - self._timers.now()
            return pending, name, start, max(0.01, left_s - CLOSE_MARGIN_S)

    def _take_reply(
        self,
        pending: _Pending,
        name: str,
        start: workers.StartTask,
        reply: result.Result,
    ) -> None:
        if isinstance(reply, result.Success):
            self._conclude(pending, name, start, reply.unwrap())
            return
        error = reply.failure()
        if isinstance(error, errors.StartRefusedError):
            # A request refused by a fenced worker waits for the next owner.
            self._retry(pending, name, start, error.reason)
        elif isinstance(error, errors.WorkerNotContactedError):
            self._retry(pending, name, start, "worker_unreachable")
        else:
            self._close(pending, name, start)

    def _close(
        self, pending: _Pending, name: str, start: workers.StartTask
    ) -> None:
        future = self._fleet.get_client(name).close(
            start.attempt, self._fleet.epoch, CLOSE_TIMEOUT_S
        )

        def take(reply: result.Result) -> None:
            if isinstance(reply, result.Success):
                self._conclude(pending, name, start, reply.unwrap())
            else:
                # The reservation stays until the worker reports the end.
                self._finish(pending, outcomes.Unknown("worker_silent"))

        future.add_done_callback(lambda f: take(f.result()))

    def _conclude(
        self,
        pending: _Pending,
        name: str,
        start: workers.StartTask,
        record: workers.AttemptRecord,
    ) -> None:
        if record.state is workers.AttemptState.RUNNING:
            self._finish(pending, outcomes.Unknown("still_running"))
            return
        if record.state is workers.AttemptState.CLOSED:
            self._retry(pending, name, start, "not_started")
            return
        self._fleet.release(name, start.attempt)
        self._finish(pending, _read_outcome(record, name))
        self._drive()

    def _retry(
        self,
        pending: _Pending,
        name: str,
        start: workers.StartTask,
        reason: str,
    ) -> None:
        self._fleet.release(name, start.attempt)
        if pending.attempts < 2 and self._timers.now() < pending.deadline:
            with self._lock:
                if pending.id in self._pending:
                    self._queue.appendleft(pending)
        else:
            self._refuse(pending, reason)
        self._drive()

    def _expire(self, pending: _Pending) -> None:
        with self._lock:
            if pending not in self._queue:
                return
            self._queue.remove(pending)
        self._refuse(pending, "deadline_passed_in_queue")

    def _finish(self, pending: _Pending, outcome: outcomes.Outcome) -> None:
        with self._lock:
            if self._pending.pop(pending.id, None) is None:
                return
            self._ledger.finish(pending.id, outcome)
            waiting = list(pending.waiting)
        for future in waiting:
            future.set_result(outcome)

    def _take_change(self) -> None:
        with self._lock:
            self._ledger.set_complete_since(self._fleet.get_complete_since())
        self._drive()

    def _take_record(self, name: str, record: workers.AttemptRecord) -> None:
        task_id, _ = identifiers.split_attempt(record.attempt)
        if not identifiers.is_request_id(task_id):
            return
        request_id = identifiers.parse_request_id(task_id)
        if request_id in self._pending:
            return
        if record.state is workers.AttemptState.CLOSED:
            return
        outcome = None
        if record.state is not workers.AttemptState.RUNNING:
            outcome = _read_outcome(record, name)
        self._ledger.restore(request_id, record.digest, outcome)


def _read_outcome(
    record: workers.AttemptRecord, worker: str
) -> outcomes.Outcome:
    if record.state is workers.AttemptState.SUCCEEDED:
        return outcomes.Done(record.answer, worker)
    return outcomes.Failed(record.reason or record.state.value, worker)
