"""Requests, jobs and their tasks."""

import dataclasses
import enum

from persimmonpath import resources

MAX_PAYLOAD_BYTES = 1 << 20
MAX_ANSWER_BYTES = 1 << 20
MAX_TASKS_PER_JOB = 1000


class Priority(enum.IntEnum):
    """Priority of a job.

    Tasks of a higher priority start first. Urgent tasks preempt tasks of lower
    priorities, the lowest first.
    """

    BATCH = 0
    NORMAL = 1
    SERVICE = 2
    URGENT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A short request whose answer is returned on the caller's connection.

    Attributes:
        kind: Name of the kind of work; run times are estimated per kind.
        team: The team or caller that is charged for it.
        idempotent: Whether running it twice has the effect of running it once.
        size: Declared resource usage; may be wrong.
        payload: Body passed to the worker.
        timeout_s: Seconds until the caller stops waiting.
        run_s: Declared run time in seconds; may be wrong. 0 for none.
        trace: Trace id and parent span id as `trace-span`; empty for none.
        is_vouched: Whether the owner that issued the id confirms that it has
            neither run nor answered the request, so that its successor may
            run it.
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
    """Fields common to all types of job.

    Attributes:
        id: Unique id of the job, chosen by the caller.
        kind: Name of the kind of work.
        team: The team that is charged.
        tasks: Number of tasks.
        size: Declared resource usage of one task.
        payload: Body passed to the worker.
        priority: A `Priority`.
        run_s: Declared run time of one task in seconds; 0 for none.
        max_attempts: Number of failed attempts after which a task fails.
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
    """A job whose tasks may run at any time and in any order."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceJob(_Job):
    """A job whose tasks run until cancelled, spread over racks."""


@dataclasses.dataclass(frozen=True, slots=True)
class GangJob(_Job):
    """A job whose tasks must all start together or not at all."""


Job = BatchJob | ServiceJob | GangJob
