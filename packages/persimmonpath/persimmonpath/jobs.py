"""Jobs: accepted once they are committed to the table service."""

import dataclasses
import enum
import hashlib

from returns import result

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import tables
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
    """State of a task as last committed."""

    WAITING = "waiting"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


@dataclasses.dataclass(frozen=True, slots=True)
class TaskProgress:
    """A task as last committed.

    Attributes:
        state: A `TaskState`.
        attempts: Attempts that ended without success.
        reason: Why it failed.
        checkpoint: Object to resume from; empty for none.
    """

    state: TaskState = TaskState.WAITING
    attempts: int = 0
    reason: str = ""
    checkpoint: str = ""


@wire.uses_base64
@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """Content of a job row.

    Attributes:
        form: `batch`, `service` or `gang`.
        job: The job as submitted.
        digest: Digest of the job.
        nonce: Random text of the submission.
        shard: Text form of the shard whose owner runs it.
        state: A `JobState`.
        tasks: Progress of each task.
    """

    form: str
    job: dict
    digest: str
    nonce: str
    shard: str
    state: JobState
    tasks: list[TaskProgress]


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


def create_record(
    job: work.Job, nonce: str, shard: identifiers.ShardId
) -> JobRecord:
    """Returns the record of a job that is being submitted."""
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
    """Returns the job of a record."""
    return wire.decode(_FORMS[record.form], wire.encode(record.job))


class JobStore:
    """Job rows in the table service."""

    def __init__(self, table: tables.Table):
        """Creates a store over a table."""
        self._table = table

    def submit(
        self, record: JobRecord
    ) -> result.Result[JobRecord, errors.TableError]:
        """Commits a new job.

        Returns:
            The record, also when the same job was already committed, or
            `TableConflictError` when the id has another content.
        """
        job_id = record.job["id"]
        queue_key = format_queue_prefix(
            identifiers.parse_shard_id(record.shard)
        )
        reply = self._table.commit(
            [tables.Check(format_key(job_id), 0)],
            [
                tables.Write(format_key(job_id), wire.encode(record).decode()),
                tables.Write(queue_key + job_id, ""),
            ],
        )
        if isinstance(reply, result.Success):
            return result.Success(record)
        return self._resolve(job_id, record, reply)

    def read(
        self, job_id: str
    ) -> result.Result[tuple[JobRecord, int] | None, errors.TableError]:
        """Returns a job's record and row version, None when there is none."""
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

    def update(
        self, record: JobRecord, version: int
    ) -> result.Result[int, errors.TableError]:
        """Commits progress if the row still has that version."""
        job_id = record.job["id"]
        writes = [
            tables.Write(format_key(job_id), wire.encode(record).decode())
        ]
        if record.state in FINAL_STATES:
            shard = identifiers.parse_shard_id(record.shard)
            writes.append(
                tables.Write(format_queue_prefix(shard) + job_id, None)
            )
        return self._table.commit(
            [tables.Check(format_key(job_id), version)], writes
        )

    def _resolve(
        self, job_id: str, record: JobRecord, reply: result.Result
    ) -> result.Result[JobRecord, errors.TableError]:
        """Reads back whether a commit that was not confirmed took effect."""
        if isinstance(reply.failure(), errors.TableUnavailableError):
            return reply
        found = self.read(job_id)
        if isinstance(found, result.Failure) or found.unwrap() is None:
            return reply
        existing, _ = found.unwrap()
        if existing.digest == record.digest:
            return result.Success(existing)
        return result.Failure(errors.TableConflictError(job_id))
