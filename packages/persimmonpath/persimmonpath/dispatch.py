"""The owner of a shard at work: admission, ledger and attempts."""

from concurrent import futures
import dataclasses
import hashlib

from returns import result

from persimmonpath import attempts
from persimmonpath import backlog
from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import ledger
from persimmonpath import outcomes
from persimmonpath import retries
from persimmonpath import rules
from persimmonpath import wire
from persimmonpath import work
from persimmonpath import workers

# Room kept before the caller's deadline to close an attempt that is silent.
CLOSE_MARGIN_S = 0.25
# How long a question that closes an id waits for the attempt's end.
ASK_WAIT_S = 0.5
MAX_WAITERS = 100

# An outcome, or an `InputError` of the caller, or a `NotOwnerError`.
Reply = result.Result[outcomes.Outcome, errors.PersimmonError]


def compute_digest(request: work.Request) -> str:
    """Returns a digest of what a request asks for."""
    content = dataclasses.replace(request, payload=b"", timeout_s=0.0, trace="")
    digest = hashlib.blake2b(wire.encode(content), digest_size=16)
    digest.update(request.payload)
    return digest.hexdigest()


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """A request without a final outcome.

    It stays after its callers were answered `unknown` while an attempt of it
    may run. `request` is None when only a listing told of it; `earlier` is the
    outcome of an attempt that ran before a further one was allowed.
    """

    id: identifiers.RequestId
    request: work.Request | None
    digest: str
    deadline: float
    waiting: list[futures.Future] = dataclasses.field(default_factory=list)
    queued: backlog.Entry | None = None
    attempt: attempts.Attempt | None = None
    attempts: int = 0
    earlier: outcomes.Outcome | None = None
    is_cancelled: bool = False


class Dispatcher:
    """Runs the requests of one shard for as long as this VM owns it.

    Calls of workers complete on other threads; the fleet's lock is never held
    while a worker is called or a waiting caller is answered.
    """

    def __init__(
        self,
        shard: identifiers.ShardId,
        shard_fleet: fleet.Fleet,
        policy: rules.Policy | None = None,
        max_entries: int = ledger.MAX_ENTRIES,
    ):
        """Creates a dispatcher.

        Args:
            shard: The shard.
            shard_fleet: Workers of the shard.
            policy: Settings of the policies.
            max_entries: Bound on the ledger.
        """
        self.shard = shard
        self._policy = policy or rules.Policy()
        self._fleet = shard_fleet
        self._timers = shard_fleet.timers
        self._lock = shard_fleet.lock
        self._ledger = ledger.Ledger(shard, shard_fleet.epoch, max_entries)
        self._backlog = backlog.Backlog(shard_fleet, self._policy)
        self._budget = retries.Budget(self._policy.retry_share)
        self._closer = attempts.Closer(
            shard_fleet, self._take_ending, self._take_fenced
        )
        self._pending: dict[identifiers.RequestId, _Pending] = {}
        # Answers that are given once the lock has been let go.
        self._outbox: list[tuple[futures.Future, Reply]] = []
        self._is_retired = False
        shard_fleet.subscribe(self._take_record, self._take_change)
        # Later, so that the refused start itself is judged first.
        shard_fleet.subscribe_fenced(
            lambda: self._timers.call_later(0.0, self.retire)
        )

    def issue_ids(self, count: int) -> list[identifiers.RequestId]:
        """Returns fresh request ids of this shard."""
        with self._lock:
            return self._ledger.issue(count)

    def submit(
        self, request_id: identifiers.RequestId, request: work.Request
    ) -> "futures.Future[Reply]":
        """Runs a request, or joins or answers an earlier one with its id."""
        future: futures.Future = futures.Future()
        digest = compute_digest(request)
        with self._lock:
            reply = self._admit(request_id, request, digest, future)
            if reply is not None:
                self._outbox.append((future, reply))
        self._flush()
        self._drive()
        return future

    def ask(
        self, request_id: identifiers.RequestId, close: bool
    ) -> "futures.Future[Reply]":
        """Returns what became of an id.

        Args:
            request_id: The id.
            close: Whether to end it: an id not seen yet is made final as not
                run, a queued one is cancelled, a started one is closed at its
                worker.
        """
        future: futures.Future = futures.Future()
        with self._lock:
            reply = self._find_reply(request_id, close)
            pending = self._pending.get(request_id)
            if reply is None:
                self._cancel(pending, future)
            else:
                self._outbox.append((future, reply))
        self._flush()
        if reply is None and pending.attempt is not None:
            self._close(pending, pending.attempt)
        return future

    def count_in_flight(self) -> int:
        """Returns the number of requests whose callers wait."""
        with self._lock:
            return sum(1 for p in self._pending.values() if p.waiting)

    def retire(self) -> None:
        """Answers every waiting caller that this VM lost the shard."""
        with self._lock:
            self._is_retired = True
            for pending in list(self._pending.values()):
                self._backlog.remove(pending.queued)
                has_run = pending.earlier is not None
                if pending.attempt is not None:
                    has_run = True
                    # Its reservation stays: it may be running.
                    pending.attempt.is_ended = True
                moved = errors.NotOwnerError(str(self.shard), has_run)
                self._answer(pending, result.Failure(moved))
            self._pending.clear()
        self._flush()

    def _admit(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        digest: str,
        future: futures.Future,
    ) -> Reply | None:
        if self._is_retired:
            return result.Failure(errors.NotOwnerError(str(self.shard)))
        verdict = self._ledger.admit(request_id, digest)
        if verdict is ledger.Verdict.NEW:
            return self._enqueue(request_id, request, digest, future)
        if verdict is ledger.Verdict.DUPLICATE:
            pending = self._pending.get(request_id)
            if pending is None:
                return result.Success(self._ledger.find(request_id).outcome)
            return self._join(pending, future, request.timeout_s)
        return self._judge_verdict(request_id, verdict)

    def _judge_verdict(
        self, request_id: identifiers.RequestId, verdict: ledger.Verdict
    ) -> Reply:
        match verdict:
            case ledger.Verdict.REUSED:
                return result.Failure(errors.IdReusedError(str(request_id)))
            case ledger.Verdict.NOT_ISSUED:
                return result.Failure(errors.IdNotIssuedError(str(request_id)))
            case ledger.Verdict.LATER_EPOCH:
                return result.Failure(errors.NotOwnerError(str(self.shard)))
        return result.Success(outcomes.Unknown("no_record"))

    def _enqueue(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        digest: str,
        future: futures.Future,
    ) -> Reply | None:
        self._budget.record_first()
        now = self._timers.now()
        pending = _Pending(request_id, request, digest, now + request.timeout_s)
        self._pending[request_id] = pending
        self._join(pending, future, request.timeout_s)
        pending.queued = self._backlog.create_entry(
            request_id, request, pending
        )
        reason, displaced = self._backlog.admit(pending.queued)
        if reason is not None:
            self._finish(pending, outcomes.NotRun(reason))
        if displaced is not None:
            self._finish(displaced, outcomes.NotRun("overloaded"))
        return None

    def _find_reply(
        self, request_id: identifiers.RequestId, close: bool
    ) -> Reply | None:
        """Returns the answer to a question, None when it must wait."""
        if self._is_retired:
            return result.Failure(errors.NotOwnerError(str(self.shard)))
        entry = self._ledger.find(request_id)
        if entry is None:
            verdict = self._ledger.classify(request_id)
            if verdict is not ledger.Verdict.NEW:
                return self._judge_verdict(request_id, verdict)
            if not close:
                return result.Success(outcomes.Unknown("never_received"))
            return result.Success(self._ledger.close(request_id))
        if entry.is_final():
            return result.Success(entry.outcome)
        if close and request_id in self._pending:
            return None
        unknown = outcomes.Unknown("in_progress")
        return result.Success(entry.outcome or unknown)

    def _cancel(self, pending: _Pending, future: futures.Future) -> None:
        pending.is_cancelled = True
        refusal = self._join(pending, future, ASK_WAIT_S)
        if refusal is not None:
            self._outbox.append((future, refusal))
        if pending.attempt is None:
            self._backlog.remove(pending.queued)
            self._finish(pending, outcomes.NotRun("cancelled"))

    def _join(
        self, pending: _Pending, future: futures.Future, wait_s: float
    ) -> Reply | None:
        if len(pending.waiting) >= MAX_WAITERS:
            return result.Success(outcomes.Unknown("too_many_duplicates"))
        pending.waiting.append(future)
        self._timers.call_later(wait_s, lambda: self._expire(pending, future))
        return None

    def _expire(self, pending: _Pending, future: futures.Future) -> None:
        """Answers a caller whose deadline has come."""
        with self._lock:
            if future not in pending.waiting:
                return
            is_due = self._timers.now() >= pending.deadline
            if is_due and self._backlog.remove(pending.queued):
                outcome = outcomes.NotRun("deadline_passed_in_queue")
                self._finish(pending, outcome)
            else:
                pending.waiting.remove(future)
                unknown = outcomes.Unknown("still_running")
                self._outbox.append((future, result.Success(unknown)))
        self._flush()

    def _drive(self) -> None:
        while True:
            with self._lock:
                started = self._take_next()
            self._flush()
            if started is None:
                return
            self._start(*started)

    def _take_next(self) -> tuple[_Pending, workers.StartTask, float] | None:
        if self._is_retired:
            return None
        found, hopeless = self._backlog.select()
        for pending in hopeless:
            self._finish(pending, outcomes.NotRun("deadline_passed_in_queue"))
        if found is None:
            return None
        pending = found.entry.value
        pending.attempts += 1
        pending.attempt = attempts.Attempt(
            found.attempt, found.worker, self._timers.now()
        )
        start = attempts.create_start(
            found.attempt, self._fleet.epoch, pending.digest, pending.request
        )
        self._backlog.watch(found.entry, pending.attempt)
        left_s = pending.deadline - self._timers.now()
        return pending, start, max(left_s - CLOSE_MARGIN_S, left_s / 2)

    def _start(
        self, pending: _Pending, start: workers.StartTask, timeout_s: float
    ) -> None:
        attempt = pending.attempt
        client = self._fleet.get_client(attempt.worker)
        future = client.start(start, True, timeout_s)
        future.add_done_callback(
            lambda f: self._take_reply(pending, attempt, f.result())
        )

    def _take_reply(
        self, pending: _Pending, attempt: attempts.Attempt, reply: result.Result
    ) -> None:
        if isinstance(reply, result.Success):
            ending = attempts.judge_record(reply.unwrap())
        elif attempts.is_fenced(reply.failure()):
            with self._lock:
                if not attempt.is_ended:
                    # The worker refused it, so it certainly does not run.
                    self._end_attempt(attempt)
                    pending.attempt = None
            self._take_fenced()
            return
        else:
            ending = attempts.judge_start_error(reply.failure())
            with self._lock:
                self._backlog.take_error(attempt, reply.failure())
        if ending is None:
            self._close(pending, attempt)
        else:
            self._take_ending(attempt, ending)

    def _close(self, pending: _Pending, attempt: attempts.Attempt) -> None:
        self._closer.close(attempt, lambda: not pending.waiting)

    def _take_fenced(self) -> None:
        self._fleet.mark_fenced()
        self.retire()

    def _take_ending(
        self, attempt: attempts.Attempt, ending: attempts.Ending
    ) -> None:
        with self._lock:
            self._conclude(attempt, ending)
        self._flush()
        self._drive()

    def _conclude(
        self, attempt: attempts.Attempt, ending: attempts.Ending
    ) -> None:
        """Takes in the end of an attempt; a second report changes nothing."""
        if attempt.is_ended:
            return
        self._end_attempt(attempt)
        parsed, _ = attempts.parse_attempt(attempt.id)
        pending = self._pending[parsed]
        pending.attempt = None
        if ending.record is not None:
            self._backlog.observe(pending.queued, attempt, ending.record)
        outcome = self._read_outcome(attempt, ending)
        if not isinstance(outcome, outcomes.NotRun):
            pending.earlier = outcome
        if isinstance(outcome, outcomes.Done) or not self._requeue(
            pending, ending.cause
        ):
            self._finish(pending, outcome)

    def _read_outcome(
        self, attempt: attempts.Attempt, ending: attempts.Ending
    ) -> outcomes.Outcome:
        if ending.record is not None:
            return attempts.read_record(ending.record, attempt.worker)
        if ending.cause is retries.Cause.NOT_STARTED:
            return outcomes.NotRun(ending.reason)
        return outcomes.Unknown(ending.reason)

    def _requeue(self, pending: _Pending, cause: retries.Cause) -> bool:
        if pending.is_cancelled or pending.request is None:
            return False
        left_s = pending.deadline - self._timers.now()
        if not retries.should_retry(
            pending.request,
            cause,
            pending.attempts,
            left_s,
            self._budget,
            self._policy.retry_failed,
        ):
            return False
        self._backlog.readmit(pending.queued)
        return True

    def _end_attempt(self, attempt: attempts.Attempt) -> None:
        attempt.is_ended = True
        self._backlog.release(attempt)

    def _finish(self, pending: _Pending, outcome: outcomes.Outcome) -> None:
        if self._pending.pop(pending.id, None) is None:
            return
        if isinstance(outcome, outcomes.NotRun) and pending.earlier is not None:
            outcome = pending.earlier
        self._ledger.finish(pending.id, outcome)
        self._answer(pending, result.Success(outcome))

    def _answer(self, pending: _Pending, reply: Reply) -> None:
        self._outbox.extend((future, reply) for future in pending.waiting)
        pending.waiting.clear()

    def _flush(self) -> None:
        while True:
            with self._lock:
                if not self._outbox:
                    return
                future, reply = self._outbox.pop()
            future.set_result(reply)

    def _take_change(self) -> None:
        with self._lock:
            self._backlog.refresh()
            self._ledger.set_complete_since(
                self._fleet.get_complete_since(), self._fleet.is_fully_listed()
            )
        self._flush()
        self._drive()

    def _take_record(self, name: str, record: workers.AttemptRecord) -> None:
        """Takes in a record that a worker reported unasked."""
        parsed = attempts.parse_attempt(record.attempt)
        if parsed is None or self._is_retired:
            return
        request_id, number = parsed
        ending = attempts.judge_record(record)
        pending = self._pending.get(request_id)
        current = pending.attempt if pending else None
        if current is not None and current.id == record.attempt:
            if ending is not None:
                self._conclude(current, ending)
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
        """Takes in an attempt that this owner did not start or gave up on."""
        is_running = record.state is workers.AttemptState.RUNNING
        outcome = None if is_running else attempts.read_record(record, name)
        is_held = self._ledger.restore(
            request_id, record.digest, number, outcome
        )
        if is_running and is_held:
            attempt = attempts.Attempt(record.attempt, name, self._timers.now())
            pending = _Pending(request_id, None, record.digest, 0.0)
            pending.attempt = attempt
            self._pending[request_id] = pending
