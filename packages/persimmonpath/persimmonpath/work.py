"""Requests, jobs and their tasks."""

import dataclasses
import enum

from persimmonpath import resources

MAX_PAYLOAD_BYTES = 1 << 20
MAX_ANSWER_BYTES = 1 << 20
MAX_TASKS_PER_JOB = 1000


class Priority(enum.IntEnum):
    """Order in which work gives way; a higher one preempts a lower one."""

    BATCH = 0
    NORMAL = 1
    SERVICE = 2
    URGENT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A short request that is answered on the caller's connection.

    Attributes:
        kind: Name of the kind of work; run times are learned per kind.
        team: The team or caller that is charged for it.
        idempotent: Whether running it twice does no harm.
        size: Declared size; may be wrong.
        payload: Body for the worker.
        timeout_s: Seconds until the caller gives up.
        run_s: Declared run time in seconds; may be wrong. 0 for none.
        trace: Trace id and parent span id, `trace-span`; empty for none.
        is_vouched: Whether the owner that issued the id vouches that it has
            neither run nor answered it, so that its successor may run it.
    """

    kind: str
    team: str
    idempotent: bool
    size: resources.Resources
    payload: bytes
    timeout_s: float
    run_s: float = 0.0
    trace: str = ""
    is_vouched: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Job:
    """Fields of every kind of job.

    Attributes:
        id: The caller's name for the job, unique.
        kind: Name of the kind of work.
        team: The team that is charged.
        tasks: Number of tasks.
        size: Declared size of one task.
        payload: Body for the worker.
        priority: A `Priority`.
        run_s: Declared run time of one task in seconds; 0 for none.
        max_attempts: Attempts for a task that reports a failure.
    """

    id: str
    kind: str
    team: str
    tasks: int
    size: resources.Resources
    payload: bytes = b""
    priority: Priority = Priority.BATCH
    run_s: float = 0.0
    max_attempts: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class BatchJob(_Job):
    """Tasks that may run at any time and in any order."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceJob(_Job):
    """Tasks that run until cancelled, spread over racks."""


@dataclasses.dataclass(frozen=True, slots=True)
class GangJob(_Job):
    """Tasks that must all start at once or not at all."""


Job = BatchJob | ServiceJob | GangJob
