"""Interface and messages of the platform's workers."""

import abc
from concurrent import futures
import dataclasses
import enum

from returns import result

from persimmonpath import errors
from persimmonpath import outcomes
from persimmonpath import resources
from persimmonpath import wire


class AttemptState(enum.StrEnum):
    """State of an attempt at its worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CLOSED = "closed"  # A tombstone: it never started and never will.


class Refusal(enum.StrEnum):
    """Reason for which a worker refused a start.

    No refusal starts the attempt.
    """

    STALE_EPOCH = "stale_epoch"
    LEASE_LAPSED = "lease_lapsed"
    CLOSED = "closed"
    REPEATED = "repeated"
    LATE = "late"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"


class Action(enum.StrEnum):
    """Action that a worker can apply to a running attempt."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"


FINAL_STATES = frozenset(AttemptState) - {AttemptState.RUNNING}


@wire.uses_base64
@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """A request to start an attempt.

    Attributes:
        attempt: Attempt id, `ID#N`.
        epoch: Epoch of the shard's owner.
        start_within_s: Seconds after receipt within which it may start.
        size: Resources that are reserved for it.
        payload: Input of the task.
        digest: Digest of the request's content, kept in the record.
        kind: Kind of work, kept in the record.
        checkpoint: Name of the object to resume from; empty for none.
        trace: Trace id and parent span id.
    """

    attempt: str
    epoch: int
    start_within_s: float
    size: resources.Resources
    payload: bytes = b""
    digest: str = ""
    kind: str = ""
    checkpoint: str = ""
    trace: str = ""


@wire.uses_base64
@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecord:
    """A worker's record of one attempt.

    Attributes:
        attempt: Attempt id, `ID#N`.
        epoch: Epoch that started or closed it.
        state: State of the attempt.
        size: Resources that it was started with.
        digest: Digest of the request's content.
        kind: Kind of work.
        answer: The complete answer, once it succeeded.
        length: Length of the answer as the worker sent it, in bytes.
        checksum: xxh64 of the answer as the worker sent it.
        reason: Why it failed or was stopped.
        checkpoint: Name of the object with its last checkpoint.
        run_s: Run time in seconds, so far if it is still running.
    """

    attempt: str
    epoch: int
    state: AttemptState
    size: resources.Resources = resources.ZERO
    digest: str = ""
    kind: str = ""
    answer: bytes = b""
    length: int = 0
    checksum: str = ""
    reason: str = ""
    checkpoint: str = ""
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Answer to a fence.

    Attributes:
        records: Records of all attempts that the worker knows.
        complete_since_epoch: Lowest epoch since which all records are kept.
        last_event: Number of the last finished-attempt event.
    """

    records: list[AttemptRecord]
    complete_since_epoch: int
    last_event: int


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A usage report, which lags and is never used for reservations.

    Attributes:
        used: Resources in use.
        running: Number of running attempts.
    """

    used: resources.Resources
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """Answer to a renewal.

    Attributes:
        finished: Attempts that ended after the acknowledged event.
        last_event: Number of the last event in `finished`.
        leaving: Whether the worker is about to leave.
        usage: Usage report.
    """

    finished: list[AttemptRecord]
    last_event: int
    leaving: bool
    usage: Usage


def is_intact(record: AttemptRecord) -> bool:
    """Returns whether the answer in a record arrived undamaged."""
    if record.state is not AttemptState.SUCCEEDED:
        return True
    return outcomes.is_intact(record.answer, record.length, record.checksum)


Reply = futures.Future


class WorkerClient(abc.ABC):
    """Calls to one worker.

    Every call returns immediately with a future of a `returns.result.Result`.
    The failure is a `WorkerError`. A call that gets no answer within
    `timeout_s` seconds fails with `WorkerUnreachableError` and may have taken
    effect.
    """

    @abc.abstractmethod
    def fence(
        self, epoch: int, owner: str, lease_s: float, timeout_s: float
    ) -> "Reply[result.Result[Listing, errors.WorkerError]]":
        """Sets the owner register, starts the owner lease, lists attempts.

        Fails with `StaleEpochError` unless the epoch is greater than the
        register's, or equal with the same owner.
        """

    @abc.abstractmethod
    def renew(
        self, epoch: int, lease_s: float, acknowledged: int, timeout_s: float
    ) -> "Reply[result.Result[Renewal, errors.WorkerError]]":
        """Extends the owner lease.

        Fails with `StaleEpochError` or, after it lapsed, `LeaseLapsedError`.
        """

    @abc.abstractmethod
    def start(
        self, start: StartTask, wait: bool, timeout_s: float
    ) -> "Reply[result.Result[AttemptRecord, errors.WorkerError]]":
        """Starts an attempt, or fails with `StartRefusedError`.

        With `wait` the call is answered when the attempt has ended, otherwise
        when it has started.
        """

    @abc.abstractmethod
    def close(
        self, attempt: str, epoch: int, timeout_s: float
    ) -> "Reply[result.Result[AttemptRecord, errors.WorkerError]]":
        """Prevents a start that has not happened and returns the record.

        A record in state `CLOSED` means that the attempt never ran.
        """

    @abc.abstractmethod
    def inspect(
        self, attempt: str, timeout_s: float
    ) -> "Reply[result.Result[AttemptRecord, errors.WorkerError]]":
        """Returns the record, or fails with `UnknownAttemptError`."""

    @abc.abstractmethod
    def control(
        self, attempt: str, action: Action, epoch: int, timeout_s: float
    ) -> "Reply[result.Result[AttemptRecord, errors.WorkerError]]":
        """Applies an action to a running attempt and returns the record."""

    @abc.abstractmethod
    def disconnect(self) -> None:
        """Closes every connection; calls in flight fail."""
