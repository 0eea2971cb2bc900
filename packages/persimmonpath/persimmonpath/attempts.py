"""Start messages, results and closing of the attempts of requests."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import hashlib

from returns import result

from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import retries
from persimmonpath import timers
from persimmonpath import wire
from persimmonpath import work
from persimmonpath import workers

# A worker may start an attempt within this time after receipt.
START_WITHIN_S = 2.0
CLOSE_TIMEOUT_S = 1.0
# Interval of close calls once every caller has been answered `unknown`.
BACKGROUND_CLOSE_INTERVAL_S = 5.0

# Refusals after which the attempt certainly did not start. A repeated id means
# that the attempt already exists, so only its record tells the result.
_NOT_STARTED = frozenset(workers.Refusal) - {workers.Refusal.REPEATED}


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on a worker.

    Attributes:
        id: Attempt id, `ID#N`.
        worker: Name of the worker.
        sent_at: When the start was sent, in monotonic seconds.
        close_calls: Number of close calls so far.
        is_closing: Whether a close call is in flight or due.
        is_ended: Whether the attempt needs no more calls.
        straggler_timer: Fires when the attempt counts as a straggler.
    """

    id: str
    worker: str
    sent_at: float
    close_calls: int = 0
    is_closing: bool = False
    is_ended: bool = False
    straggler_timer: timers.Subscription | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt.

    Attributes:
        cause: What is known for certain, for the retry decision.
        reason: Reason code for the outcome.
        record: Record of the worker, or None.
    """

    cause: retries.Cause
    reason: str
    record: workers.AttemptRecord | None = None


def compute_digest(request: work.Request) -> str:
    """Returns a digest of a request's content.

    Time limits, trace ids and the mark of a forwarding owner are not included.
    """
    content = dataclasses.replace(
        request, payload=b"", timeout_s=0.0, trace="", is_vouched=False
    )
    digest = hashlib.blake2b(wire.encode(content), digest_size=16)
    digest.update(request.payload)
    return digest.hexdigest()


def create_outcome(
    record: workers.AttemptRecord, worker: str
) -> outcomes.Outcome:
    """Returns the outcome for the record of an ended attempt.

    Args:
        record: The record.
        worker: Name of the worker.
    """
    if record.state is workers.AttemptState.CLOSED:
        return outcomes.NotRun("not_started")
    if record.state is not workers.AttemptState.SUCCEEDED:
        return outcomes.Failed(record.reason or record.state.value, worker)
    if len(record.answer) > work.MAX_ANSWER_BYTES:
        return outcomes.Failed("answer_too_large", worker)
    return outcomes.Done(record.answer, worker)


def classify_record(record: workers.AttemptRecord) -> AttemptEnd | None:
    """Returns the end of an attempt, or None while it runs."""
    if record.state is workers.AttemptState.RUNNING:
        return None
    if record.state is workers.AttemptState.CLOSED:
        return AttemptEnd(retries.Cause.NOT_STARTED, "not_started", record)
    reason = record.reason or record.state.value
    return AttemptEnd(retries.Cause.FAILED, reason, record)


def classify_start_error(error: errors.WorkerError) -> AttemptEnd | None:
    """Returns the end of a failed start, or None if it may have started."""
    if isinstance(error, errors.WorkerNotContactedError):
        return AttemptEnd(retries.Cause.NOT_STARTED, "worker_unreachable")
    if not isinstance(error, errors.StartRefusedError):
        return None
    if error.reason in _NOT_STARTED:
        return AttemptEnd(retries.Cause.NOT_STARTED, str(error.reason))
    return None


def create_start(
    attempt: str, epoch: int, digest: str, request: work.Request
) -> workers.StartTask:
    """Returns the start message for an attempt of a request."""
    return workers.StartTask(
        attempt=attempt,
        epoch=epoch,
        start_within_s=min(START_WITHIN_S, request.timeout_s),
        size=request.size,
        payload=request.payload,
        digest=digest,
        kind=request.kind,
        trace=request.trace,
    )


def parse_attempt(
    attempt: str,
) -> tuple[identifiers.RequestId, int] | None:
    """Returns the request id and number of an attempt, or None for a task."""
    task_id, number = identifiers.split_attempt(attempt)
    if not identifiers.is_request_id(task_id):
        return None
    return identifiers.parse_request_id(task_id), number


class AttemptCloser:
    """Closes unanswered attempts, with retries until their end is certain."""

    def __init__(
        self,
        shard_fleet: fleet.Fleet,
        on_end: Callable[[Attempt, AttemptEnd], None],
        on_fenced: Callable[[Attempt], None],
    ):
        """Creates a closer.

        Args:
            shard_fleet: Workers of the shard.
            on_end: Called when an attempt has certainly ended.
            on_fenced: Called when the worker refuses the epoch, because it has
                another owner.
        """
        self._fleet = shard_fleet
        self._on_end = on_end
        self._on_fenced = on_fenced

    def close(
        self, attempt: Attempt, has_no_callers: Callable[[], bool]
    ) -> None:
        """Prevents a start that has not happened, else waits for the end.

        Args:
            attempt: The attempt.
            has_no_callers: Returns whether no caller waits any more.
        """
        should_retry = not attempt.is_closing
        attempt.is_closing = True
        self._send_close(attempt, has_no_callers, should_retry)

    def _send_close(
        self,
        attempt: Attempt,
        has_no_callers: Callable[[], bool],
        should_retry: bool,
    ) -> None:
        if attempt.is_ended:
            return
        attempt.close_calls += 1
        future = self._fleet.get_client(attempt.worker).close(
            attempt.id, self._fleet.epoch, CLOSE_TIMEOUT_S
        )
        future.add_done_callback(
            lambda f: self._handle_reply(
                attempt, has_no_callers, should_retry, f
            )
        )

    def _handle_reply(
        self,
        attempt: Attempt,
        has_no_callers: Callable[[], bool],
        should_retry: bool,
        future: futures.Future,
    ) -> None:
        reply = future.result()
        if isinstance(reply, result.Failure):
            if isinstance(reply.failure(), errors.StaleEpochError):
                self._on_fenced(attempt)
                return
            attempt_end = None
            if self._fleet.has_lapsed(attempt.worker):
                attempt_end = AttemptEnd(retries.Cause.ENDED, "worker_lost")
        else:
            attempt_end = classify_record(reply.unwrap())
        if attempt_end is not None:
            self._on_end(attempt, attempt_end)
            return
        if not should_retry:
            return
        delay_s = retries.compute_backoff(attempt.close_calls)
        if has_no_callers():
            delay_s = BACKGROUND_CLOSE_INTERVAL_S
        self._fleet.timers.call_later(
            delay_s, lambda: self._send_close(attempt, has_no_callers, True)
        )
