"""Runs the requests of a shard at its owner.

Tracks the outcome of each id while calls of workers are lost, workers fail and
the shard moves to another owner: a request that is not idempotent runs at most
once, and `not_run` is reported only for one that never runs.
"""

from concurrent import futures

from returns import result

from persimmonpath import attempts
from persimmonpath import backlog
from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import pendingrequests
from persimmonpath import requestrecords
from persimmonpath import retries
from persimmonpath import rules
from persimmonpath import withdrawals
from persimmonpath import work
from persimmonpath import workers

# Time reserved before the caller's deadline to close an attempt that has not
# answered.
CLOSE_MARGIN_S = 0.25
# Time for which a query that closes an id waits for the attempt's end.
CLOSE_WAIT_S = 0.5

Reply = pendingrequests.Reply

# A request, its attempt, the start to send and the timeout in seconds.
_ReservedStart = tuple[
    pendingrequests.PendingRequest, attempts.Attempt, workers.StartTask, float
]


class Dispatcher:
    """Runs the requests of one shard while this VM owns it.

    Thread-safe. Calls of workers complete on other threads; the fleet's lock is
    never held while a worker is called or a waiting caller is answered.
    """

    def __init__(
        self,
        shard: identifiers.ShardId,
        shard_fleet: fleet.Fleet,
        policy: rules.Policy | None = None,
        max_entries: int = requestrecords.MAX_ENTRIES,
    ):
        """Creates a dispatcher.

        Args:
            shard: The shard.
            shard_fleet: Workers of the shard.
            policy: Settings of the policies.
            max_entries: Most request records kept.
        """
        self.shard = shard
        self._policy = policy or rules.Policy()
        self._fleet = shard_fleet
        self._timers = shard_fleet.timers
        self._lock = shard_fleet.lock
        self._records = requestrecords.RequestRecords(
            shard, shard_fleet.epoch, max_entries
        )
        self._backlog = backlog.Backlog(shard_fleet, self._policy)
        self._budget = retries.RetryBudget(self._policy.retry_share)
        self._closer = attempts.AttemptCloser(
            shard_fleet, self._handle_end, self._handle_fenced
        )
        self._pending = pendingrequests.PendingRequests(
            self._lock, self._timers, self._records, self._backlog.remove
        )
        self._withdrawals = withdrawals.Withdrawals(
            self._lock, self._timers, self._pending, self._backlog
        )
        shard_fleet.subscribe(self._apply_record, self._apply_fleet_change)

    def issue_ids(self, count: int) -> list[identifiers.RequestId]:
        """Issues new request ids of this shard."""
        with self._lock:
            return self._records.issue(count)

    def submit(
        self, request_id: identifiers.RequestId, request: work.Request
    ) -> "futures.Future[Reply]":
        """Runs a request, or joins an earlier one with the same id.

        Returns:
            A future of the outcome, or of an error such as
            `IdReusedError`.
        """
        future: futures.Future = futures.Future()
        digest = attempts.compute_digest(request)
        with self._lock:
            reply = self._admit(request_id, request, digest, future)
            if reply is not None:
                self._pending.reply(future, reply)
        self._pending.flush()
        self._start_ready()
        return future

    def ask(
        self,
        request_id: identifiers.RequestId,
        close: bool,
        digest: str = "",
    ) -> "futures.Future[Reply]":
        """Returns the outcome of an id.

        Args:
            request_id: The id.
            close: Whether to end it: an id not received yet becomes final as
                not run, a queued one is cancelled, a started one is closed at
                its worker.
            digest: Digest of the request that the caller asks about; empty for
                any request with this id.

        Returns:
            A future of the outcome, or of `IdReusedError` if the digest does
            not match.
        """
        future: futures.Future = futures.Future()
        with self._lock:
            reply = self._find_reply(request_id, close, digest)
            pending = self._pending.find(request_id)
            if reply is None:
                self._cancel(pending, future)
            else:
                self._pending.reply(future, reply)
        self._pending.flush()
        if reply is None and pending.attempt is not None:
            self._close(pending, pending.attempt)
        return future

    def count_in_flight(self) -> int:
        """Returns the number of requests with waiting callers."""
        with self._lock:
            return self._pending.count_waiting()

    def withdraw_queued(self) -> list[withdrawals.WithdrawnRequest]:
        """Removes the queued requests, for the shard's next owner.

        Each stays in flight here until its `finish` is called.
        """
        return self._withdrawals.withdraw()

    def _admit(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        digest: str,
        future: futures.Future,
    ) -> Reply | None:
        status = self._records.admit(request_id, digest, request.is_vouched)
        if status is requestrecords.IdStatus.NEW:
            return self._enqueue(request_id, request, digest, future)
        if status is requestrecords.IdStatus.DUPLICATE:
            pending = self._pending.find(request_id)
            if pending is None:
                return result.Success(self._records.find(request_id).outcome)
            return self._pending.add_waiter(pending, future, request.timeout_s)
        return pendingrequests.create_status_reply(request_id, status)

    def _enqueue(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        digest: str,
        future: futures.Future,
    ) -> Reply | None:
        self._budget.record_first_attempt()
        now = self._timers.now()
        pending = pendingrequests.PendingRequest(
            request_id, request, digest, now + request.timeout_s
        )
        self._pending.add(pending)
        self._pending.add_waiter(pending, future, request.timeout_s)
        pending.backlog_entry = self._backlog.create_entry(
            request_id, request, pending
        )
        reason, displaced = self._backlog.admit(pending.backlog_entry)
        if reason is not None:
            self._pending.finish(pending, outcomes.NotRun(reason))
        if displaced is not None:
            self._pending.finish(displaced, outcomes.NotRun("overloaded"))
        return None

    def _find_reply(
        self, request_id: identifiers.RequestId, close: bool, digest: str
    ) -> Reply | None:
        """Returns the answer to a query, None if it must wait."""
        entry = self._records.find(request_id)
        if entry is None:
            status = self._records.classify(request_id)
            if status is not requestrecords.IdStatus.NEW:
                return pendingrequests.create_status_reply(request_id, status)
            if not close:
                return result.Success(outcomes.Unknown("never_received"))
            return result.Success(self._records.close(request_id))
        if entry.digest and digest and entry.digest != digest:
            # The outcome belongs to another caller's request.
            return result.Failure(errors.IdReusedError(str(request_id)))
        if entry.is_final():
            return result.Success(entry.outcome)
        if close and self._pending.find(request_id):
            return None
        unknown = outcomes.Unknown("in_progress")
        return result.Success(entry.outcome or unknown)

    def _cancel(
        self, pending: pendingrequests.PendingRequest, future: futures.Future
    ) -> None:
        pending.is_cancelled = True
        refusal = self._pending.add_waiter(pending, future, CLOSE_WAIT_S)
        if refusal is not None:
            self._pending.reply(future, refusal)
        if pending.attempt is None:
            self._backlog.remove(pending.backlog_entry)
            self._pending.finish(pending, outcomes.NotRun("cancelled"))

    def _start_ready(self) -> None:
        while True:
            with self._lock:
                started = self._reserve_next()
            self._pending.flush()
            if started is None:
                return
            self._start(*started)

    def _reserve_next(self) -> _ReservedStart | None:
        reserved, expired = self._backlog.select()
        for pending in expired:
            self._pending.finish(
                pending, outcomes.NotRun("deadline_passed_in_queue")
            )
        if reserved is None:
            return None
        pending = reserved.entry.value
        pending.attempts += 1
        pending.attempt = attempts.Attempt(
            reserved.attempt, reserved.worker, self._timers.now()
        )
        start = attempts.create_start(
            reserved.attempt, self._fleet.epoch, pending.digest, pending.request
        )
        self._backlog.watch_overrun(reserved.entry, pending.attempt)
        left_s = pending.deadline - self._timers.now()
        timeout_s = max(left_s - CLOSE_MARGIN_S, left_s / 2)
        return pending, pending.attempt, start, timeout_s

    def _start(
        self,
        pending: pendingrequests.PendingRequest,
        attempt: attempts.Attempt,
        start: workers.StartTask,
        timeout_s: float,
    ) -> None:
        client = self._fleet.get_client(attempt.worker)
        future = client.start(start, True, timeout_s)
        future.add_done_callback(
            lambda f: self._handle_start_reply(pending, attempt, f.result())
        )

    def _handle_start_reply(
        self,
        pending: pendingrequests.PendingRequest,
        attempt: attempts.Attempt,
        reply: result.Result,
    ) -> None:
        if isinstance(reply, result.Success):
            attempt_end = attempts.classify_record(reply.unwrap())
        else:
            attempt_end = attempts.classify_start_error(reply.failure())
            with self._lock:
                self._backlog.handle_start_error(attempt, reply.failure())
        if attempt_end is None:
            self._close(pending, attempt)
        else:
            self._handle_end(attempt, attempt_end)

    def _close(
        self, pending: pendingrequests.PendingRequest, attempt: attempts.Attempt
    ) -> None:
        self._closer.close(attempt, lambda: not pending.waiters)

    def _handle_fenced(self, attempt: attempts.Attempt) -> None:
        """Leaves an attempt that may still run to the next owner."""
        self._fleet.mark_fenced()
        with self._lock:
            if attempt.is_ended:
                return
            # The reservation stays, since the attempt may still run.
            attempt.is_ended = True
            pending = self._find_by_attempt(attempt)
            moved = errors.NotOwnerError(str(self.shard), True)
            self._pending.discard(pending, result.Failure(moved))
        self._pending.flush()

    def _handle_end(
        self, attempt: attempts.Attempt, attempt_end: attempts.AttemptEnd
    ) -> None:
        with self._lock:
            self._apply_end(attempt, attempt_end)
        self._pending.flush()
        self._start_ready()

    def _apply_end(
        self, attempt: attempts.Attempt, attempt_end: attempts.AttemptEnd
    ) -> None:
        """Applies the end of an attempt; a repeated report changes nothing."""
        if attempt.is_ended:
            return
        self._end_attempt(attempt)
        pending = self._find_by_attempt(attempt)
        pending.attempt = None
        if attempt_end.record is not None:
            self._backlog.observe(
                pending.backlog_entry, attempt, attempt_end.record
            )
        outcome = self._create_outcome(attempt, attempt_end)
        if not isinstance(outcome, outcomes.NotRun):
            pending.earlier_outcome = outcome
        if isinstance(outcome, outcomes.Done) or not self._requeue(
            pending, attempt_end.cause
        ):
            self._pending.finish(pending, outcome)

    def _find_by_attempt(
        self, attempt: attempts.Attempt
    ) -> pendingrequests.PendingRequest:
        request_id, _ = attempts.parse_attempt(attempt.id)
        return self._pending.find(request_id)

    def _create_outcome(
        self, attempt: attempts.Attempt, attempt_end: attempts.AttemptEnd
    ) -> outcomes.Outcome:
        if attempt_end.record is not None:
            return attempts.create_outcome(attempt_end.record, attempt.worker)
        if attempt_end.cause is retries.Cause.NOT_STARTED:
            return outcomes.NotRun(attempt_end.reason)
        return outcomes.Unknown(attempt_end.reason)

    def _requeue(
        self, pending: pendingrequests.PendingRequest, cause: retries.Cause
    ) -> bool:
        if pending.is_cancelled or pending.request is None:
            return False
        left_s = pending.deadline - self._timers.now()
        if self._fleet.is_stopped() and cause is retries.Cause.NOT_STARTED:
            # It waits for the next owner, which runs it under the same id.
            self._backlog.readmit(pending.backlog_entry)
            return True
        if not retries.should_retry(
            pending.request,
            cause,
            pending.attempts,
            left_s,
            self._budget,
            self._policy.retry_failed,
        ):
            return False
        self._backlog.readmit(pending.backlog_entry)
        return True

    def _end_attempt(self, attempt: attempts.Attempt) -> None:
        attempt.is_ended = True
        self._backlog.release(attempt)

    def _apply_fleet_change(self) -> None:
        with self._lock:
            self._backlog.refresh()
            self._records.set_complete_since(
                self._fleet.get_complete_since(), self._fleet.is_fully_listed()
            )
        self._pending.flush()
        self._start_ready()

    def _apply_record(self, name: str, record: workers.AttemptRecord) -> None:
        """Applies a record that a worker reports at a fence or at an end."""
        parsed = attempts.parse_attempt(record.attempt)
        if parsed is None:
            return
        request_id, number = parsed
        attempt_end = attempts.classify_record(record)
        pending = self._pending.find(request_id)
        current = pending.attempt if pending else None
        if current is not None and current.id == record.attempt:
            if attempt_end is not None:
                self._apply_end(current, attempt_end)
            return
        if record.state is workers.AttemptState.CLOSED:
            return
        if pending is None or pending.request is None:
            self._restore(request_id, number, name, record)

    def _restore(
        self,
        request_id: identifiers.RequestId,
        number: int,
        name: str,
        record: workers.AttemptRecord,
    ) -> None:
        """Restores an attempt that this owner did not start or gave up on."""
        is_running = record.state is workers.AttemptState.RUNNING
        outcome = None if is_running else attempts.create_outcome(record, name)
        is_held = self._records.restore(
            request_id, record.digest, number, outcome
        )
        if is_running and is_held:
            attempt = attempts.Attempt(record.attempt, name, self._timers.now())
            pending = self._pending.find(
                request_id
            ) or pendingrequests.PendingRequest(
                request_id, None, record.digest, 0.0
            )
            pending.attempt = attempt
            self._pending.add(pending)
            self._timers.call_later(
                attempts.BACKGROUND_CLOSE_INTERVAL_S,
                lambda: self._close(pending, attempt),
            )
