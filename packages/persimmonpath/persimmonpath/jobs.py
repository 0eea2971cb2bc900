"""Job records and their storage in the table service.

A job is accepted once its row has been committed.
"""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import enum
import hashlib

from returns import result

from persimmonpath import errors
from persimmonpath import groupcommit
from persimmonpath import identifiers
from persimmonpath import periodicactions
from persimmonpath import quotas
from persimmonpath import tables
from persimmonpath import timers
from persimmonpath import wire
from persimmonpath import work


class JobState(enum.StrEnum):
    """State of a job."""

    ACCEPTED = "accepted"
    DONE = "done"
    FAILED = "failed"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"


class TaskState(enum.StrEnum):
    """State of a task."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})
FINAL_TASK_STATES = frozenset(
    {TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED}
)


class Notice(enum.StrEnum):
    """Why a job is in the inbox of its shard."""

    SUBMITTED = "submitted"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class InboxItem:
    """A row of a shard's inbox: a job that its owner must read or cancel.

    Attributes:
        job_id: Id of the job.
        notice: Why it is in the inbox.
        version: Version of the row.
    """

    job_id: str
    notice: Notice
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskProgress:
    """Progress of a task, as stored in the job row.

    Attributes:
        state: A `TaskState`.
        attempts: Number of attempts that failed.
        reason: Why the last failed attempt failed.
        checkpoint: Object to resume from; empty for none.
        last_attempt: Number of the last attempt known to have ended.
        worker: Worker that runs it; empty for none.
    """

    state: TaskState = TaskState.WAITING
    attempts: int = 0
    reason: str = ""
    checkpoint: str = ""
    last_attempt: int = 0
    worker: str = ""


@wire.uses_base64
@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """Content of a job row.

    Attributes:
        form: Type of the job: `batch`, `service` or `gang`.
        job: The fields of the job as submitted.
        digest: Digest of the job.
        nonce: Random text that identifies the submission.
        shard: Text form of the shard whose owner runs it.
        state: A `JobState`.
        tasks: Progress of each task.
        reason: Why no worker can run its tasks; empty when some worker can.
    """

    form: str
    job: dict
    digest: str
    nonce: str
    shard: str
    state: JobState
    tasks: list[TaskProgress]
    reason: str = ""


_FORMS = {
    "batch": work.BatchJob,
    "service": work.ServiceJob,
    "gang": work.GangJob,
}
_FORM_NAMES = {kind: name for name, kind in _FORMS.items()}


def format_key(job_id: str) -> str:
    """Returns the key of a job row."""
    return f"job/{job_id}"


def format_queue_prefix(shard: identifiers.ShardId) -> str:
    """Returns the prefix of the rows that list a shard's unfinished jobs."""
    return f"queue/{shard}/"


def format_inbox_prefix(shard: identifiers.ShardId) -> str:
    """Returns the prefix of the inbox rows of a shard."""
    return f"inbox/{shard}/"


def create_record(
    job: work.Job, nonce: str, shard: identifiers.ShardId
) -> JobRecord:
    """Returns the record of a newly submitted job.

    Args:
        job: The job.
        nonce: Random text that identifies the submission.
        shard: Shard whose owner runs it.
    """
    content = wire.decode(dict, wire.encode(job))
    digest = hashlib.blake2b(wire.encode(job), digest_size=16).hexdigest()
    return JobRecord(
        _FORM_NAMES[type(job)],
        content,
        digest,
        nonce,
        str(shard),
        JobState.ACCEPTED,
        [TaskProgress()] * job.tasks,
    )


def read_job(record: JobRecord) -> work.Job:
    """Decodes the job of a record."""
    return wire.decode(_FORMS[record.form], wire.encode(record.job))


class JobStore:
    """Reads and commits job rows in the table service.

    After its submission, only the owner of its shard writes the row of a job.
    Submitting or cancelling a job also writes a row to the shard's inbox, so
    that the owner finds new and cancelled jobs with one small scan.
    """

    def __init__(
        self, table: tables.Table, committer: groupcommit.GroupCommitter
    ):
        """Creates a store over a table.

        Args:
            table: The table service, used for reads.
            committer: Commits changes in groups.
        """
        self._table = table
        self._committer = committer

    @property
    def flush_action(self) -> periodicactions.ConditionalAction:
        """Returns the periodic action that commits queued changes."""
        return periodicactions.ConditionalAction(
            self._committer.has_pending, self._committer.flush
        )

    def flush(self) -> None:
        """Commits the next group of changes."""
        self._committer.flush()

    def submit(
        self, record: JobRecord, charge: quotas.Charge | None = None
    ) -> "futures.Future[result.Result[JobRecord, errors.TableError]]":
        """Commits a new job.

        Args:
            record: The job.
            charge: Resources counted against the quota of its team.

        Returns:
            A future of a result: the record, which is the existing one if the
            same job was submitted before; `TableConflictError` if a job with
            this id and another content exists; or another `TableError`.
        """
        job_id = record.job["id"]
        shard = identifiers.parse_shard_id(record.shard)
        reply = self._committer.add(
            groupcommit.Change(
                (tables.Check(format_key(job_id), 0),),
                (
                    tables.Write(
                        format_key(job_id), wire.encode(record).decode()
                    ),
                    tables.Write(format_queue_prefix(shard) + job_id, "1"),
                    tables.Write(
                        format_inbox_prefix(shard) + job_id, Notice.SUBMITTED
                    ),
                ),
                charge,
            )
        )
        return _map_future(
            reply, lambda done: self._resolve_conflict(job_id, record, done)
        )

    def cancel(
        self, job_id: str, is_bulk: bool = False
    ) -> "futures.Future[result.Result[JobRecord | None, errors.TableError]]":
        """Asks the owner of a job's shard to cancel it.

        Args:
            job_id: The job.
            is_bulk: Whether many jobs are being cancelled.

        Returns:
            A future of a result: the record in state `CANCELLING`, the
            unchanged record if the job has already ended, None if no such job
            exists, or a `TableError`.
        """
        found = self.read(job_id)
        if isinstance(found, result.Failure) or found.unwrap() is None:
            return _create_resolved_future(found)
        record, _ = found.unwrap()
        if record.state in FINAL_STATES:
            return _create_resolved_future(result.Success(record))
        shard = identifiers.parse_shard_id(record.shard)
        write = tables.Write(
            format_inbox_prefix(shard) + job_id, Notice.CANCELLED
        )
        reply = self._committer.add(
            groupcommit.Change((), (write,), is_bulk=is_bulk)
        )
        cancelling = dataclasses.replace(record, state=JobState.CANCELLING)
        return _map_future(reply, lambda done: done.map(lambda _: cancelling))

    def read(
        self, job_id: str
    ) -> result.Result[tuple[JobRecord, int] | None, errors.TableError]:
        """Returns a job's record and row version, None if it does not exist."""
        return self._table.get(format_key(job_id)).map(
            lambda row: (
                (wire.decode(JobRecord, row.value), row.version)
                if row
                else None
            )
        )

    def list_unfinished(
        self, shard: identifiers.ShardId
    ) -> result.Result[list[str], errors.TableError]:
        """Returns the ids of a shard's unfinished jobs."""
        prefix = format_queue_prefix(shard)
        return self._table.scan(prefix).map(
            lambda rows: [row.key.removeprefix(prefix) for row in rows]
        )

    def list_inbox(
        self, shard: identifiers.ShardId
    ) -> result.Result[list[InboxItem], errors.TableError]:
        """Returns the inbox rows of a shard."""
        prefix = format_inbox_prefix(shard)
        return self._table.scan(prefix).map(
            lambda rows: [
                InboxItem(
                    row.key.removeprefix(prefix),
                    Notice(row.value),
                    row.version,
                )
                for row in rows
            ]
        )

    def clear_inbox(
        self, shard: identifiers.ShardId, item: InboxItem
    ) -> "futures.Future[result.Result[int, errors.TableError]]":
        """Removes an inbox row unless it has changed since it was read.

        The change stays queued while the table service is unavailable.

        Returns:
            A future of a result; `TableConflictError` if the row has changed
            or has already been removed.
        """
        key = format_inbox_prefix(shard) + item.job_id
        return self._committer.add(
            groupcommit.Change(
                (tables.Check(key, item.version),),
                (tables.Write(key, None),),
                is_kept=True,
                is_bulk=item.notice is Notice.CANCELLED,
            )
        )

    def update(
        self,
        record: JobRecord,
        version: int,
        is_bulk: bool = False,
        notice: InboxItem | None = None,
    ) -> "futures.Future[result.Result[int, errors.TableError]]":
        """Replaces a job row if it still has the given version.

        The change stays queued while the table service is unavailable. If the
        job has ended, the same transaction removes it from the shard's queue
        and refunds the quota of its team.

        Args:
            record: The whole record.
            version: Expected version of the row.
            is_bulk: Whether many jobs change for the same reason.
            notice: Inbox row that is removed in the same transaction.

        Returns:
            A future of a result: the new version, or `TableConflictError`.
        """
        job_id = record.job["id"]
        checks = [tables.Check(format_key(job_id), version)]
        writes = [
            tables.Write(format_key(job_id), wire.encode(record).decode())
        ]
        shard = identifiers.parse_shard_id(record.shard)
        if notice is not None:
            key = format_inbox_prefix(shard) + job_id
            checks.append(tables.Check(key, notice.version))
            writes.append(tables.Write(key, None))
        refund = None
        if record.state in FINAL_STATES:
            writes.append(
                tables.Write(format_queue_prefix(shard) + job_id, None)
            )
            refund = quotas.create_refund(read_job(record))
        return self._committer.add(
            groupcommit.Change(
                tuple(checks),
                tuple(writes),
                refund,
                is_kept=True,
                is_bulk=is_bulk,
            )
        )

    def _resolve_conflict(
        self, job_id: str, record: JobRecord, reply: result.Result
    ) -> result.Result[JobRecord, errors.TableError]:
        """Returns the existing record if the submission is a repeat."""
        if isinstance(reply, result.Success):
            return result.Success(record)
        if not isinstance(reply.failure(), errors.TableConflictError):
            return reply
        found = self.read(job_id)
        if isinstance(found, result.Failure) or found.unwrap() is None:
            return reply
        existing, _ = found.unwrap()
        if existing.digest == record.digest:
            return result.Success(existing)
        return result.Failure(errors.TableConflictError(job_id))


def _map_future(
    reply: futures.Future, convert: Callable[[result.Result], result.Result]
) -> futures.Future:
    converted: futures.Future = futures.Future()
    reply.add_done_callback(
        lambda done: converted.set_result(convert(done.result()))
    )
    return converted


def _create_resolved_future(value: result.Result) -> futures.Future:
    future: futures.Future = futures.Future()
    future.set_result(value)
    return future


def create_job_store(
    name: str, table: tables.Table, timer_service: timers.TimerService
) -> JobStore:
    """Returns a store with its own group committer.

    Args:
        name: Name of the entry VM with its zone; see `GroupCommitter`.
        table: The table service.
        timer_service: Source of time.
    """
    return JobStore(
        table, groupcommit.GroupCommitter(name, table, timer_service)
    )
