"""Submissions as callers submit them and as the store keeps them."""

import msgspec

from persimmonpath_entry.state import numbers
from persimmonpath_entry.state import tenants

ACTIVE = ""
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"


class StepSpec(msgspec.Struct, omit_defaults=True):
    """A step of a submission.

    Attributes:
      count: number of tasks.
      cpu: CPU for each task, in thousandths of a core.
      memory_mb: memory for each task in MB.
      gpu: number of accelerators for each task.
      estimated_ms: the caller's rough estimate of a task's duration in
        milliseconds.
      after: numbers of the steps that have to be done before this one starts.
      gang: whether the tasks can run only all at the same time.
      same_rack: whether a gang is slower on more than one rack.
      label: a label that the worker must have, or empty.
      data_rack: the rack that holds the data, or empty.
      max_per_worker: most tasks of the step on one worker, 0 for no limit.
      allow_copies: whether speculative copies of a task may run in parallel.
      long_running: whether the tasks run until they are cancelled.
      checkpointing: whether a task writes checkpoints of its progress.
      image: the image that the tasks run.
      target_ms: target for the tail latency of latency-sensitive tasks in
        milliseconds, 0 for other tasks.
      is_filler: whether the tasks use only the CPU time that others leave.
      may_miss: most tasks that the scheduler may make unavailable at once, 0
        for no limit.
    """

    count: numbers.Count = 0
    cpu: numbers.Count = 0
    memory_mb: numbers.Count = 0
    gpu: numbers.Count = 0
    estimated_ms: numbers.Amount = 0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: numbers.Count = 0
    allow_copies: bool = False
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: numbers.Amount = 0
    is_filler: bool = False
    may_miss: numbers.Count = 0

    @property
    def is_latency_sensitive(self) -> bool:
        """Whether fillers beside its tasks are throttled for their target.

        A filler with a target isn't: it would throttle itself and, as it misses
        its target all the more, never recover.
        """
        return bool(self.target_ms) and not self.is_filler


class QueuePolicy(msgspec.Struct, array_like=True, frozen=True):
    """What an owner needs to know of a queue that was removed.

    Attributes:
      priority: as in configuration.Queue, like all others.
      max_attempts: number of failed runs at which a submission fails.
      stretch: factor on the critical path in the latency objective.
      target_latency_ms: milliseconds added to that product.
      advice: decide_ms, each_ms and valid_ms of the advisor's policy, None
        without an advisor.
    """

    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: float
    advice: tuple[float, float, float] | None = None


class SubmissionRecord(msgspec.Struct, omit_defaults=True):
    """A submission as the store keeps it.

    Attributes:
      queue: the name of its queue.
      service: the service of the queue when the submission was accepted.
      spec: the specification that is passed to the workers.
      steps: its steps.
      accepted_ms: time of acceptance in Unix milliseconds.
      start_ms: time of the first occurrence in Unix milliseconds.
      interval_ms: milliseconds between occurrences.
      occurrences: number of occurrences, 0 for a submission that runs once.
      policy: the settings of its queue when it was accepted, None in rows of
        former versions. They hold while the queue is removed.
      cancelled: whether its caller has cancelled it. Its specification and its
        steps aren't stored any longer then.
      is_tombstone: whether only a cancellation was received for its id. The row
        keeps an earlier transaction that is still under way from storing it.
      tenant: the name of the tenant that submitted it, empty without one.
    """

    queue: str
    service: str
    spec: str
    steps: list[StepSpec]
    accepted_ms: numbers.SignedCount = 0
    start_ms: numbers.SignedCount = 0
    interval_ms: numbers.Count = 0
    occurrences: numbers.Count = 0
    policy: QueuePolicy | None = None
    cancelled: bool = False
    is_tombstone: bool = False
    tenant: str = ""


def _make_masks() -> dict[str, int]:
    """Returns an empty mapping that is stored nevertheless.

    Readers of progress rows rely on the field, and msgspec leaves out the
    default of a plain `dict`.
    """
    return {}


class ProgressRecord(msgspec.Struct, omit_defaults=True):
    """The progress of a submission as the store keeps it.

    Attributes:
      state: ACTIVE, COMPLETED, FAILED or CANCELLED.
      done: completed tasks by "occurrence.step", as a bit mask of their
        indexes.
      finished: completed occurrences of a recurring submission, as a bit mask
        of their numbers. They have no entry in the other fields.
      failures: numbers of the failed runs by "occurrence.step.index", or by
        "occurrence.step.gang". A plain count would be wrong: workers report
        the same run ends again to a new owner.
      saved: newest checkpoints by "occurrence.step.index".
      ended_ms: time at which the submission ended, in Unix milliseconds.
    """

    state: str = ACTIVE
    done: dict[str, int] = msgspec.field(default_factory=_make_masks)
    finished: int = 0
    failures: dict[str, list[int]] = {}
    saved: dict[str, str] = {}
    ended_ms: int = 0


class ProgressBlock(msgspec.Struct, omit_defaults=True):
    """Part of the progress of a submission that doesn't fit into one row.

    Attributes:
      failures: as in ProgressRecord, for some of the tasks.
      saved: as in ProgressRecord, for some of the tasks.
    """

    failures: dict[str, list[int]] = {}
    saved: dict[str, str] = {}


def has_long_running(record: SubmissionRecord) -> bool:
    """Returns whether a submission has tasks that run until it is cancelled."""
    return any(step.long_running for step in record.steps)


def is_open_to(owner: str, caller: str) -> bool:
    """Returns whether a caller may read or cancel a submission.

    Args:
      owner: name of the tenant that submitted it, empty without one.
      caller: name of the tenant of the caller, empty without one.
    """
    return not owner or owner == caller


def make_cancelled(record: SubmissionRecord) -> SubmissionRecord:
    """Returns what the store keeps of a submission once it is cancelled.

    It is never longer than the row of the submission.
    """
    return SubmissionRecord(
        record.queue,
        record.service,
        "",
        [],
        accepted_ms=record.accepted_ms,
        cancelled=True,
        tenant=record.tenant,
    )


def make_tombstone(
    queue: str, service: str, tenant: str = ""
) -> SubmissionRecord:
    """Returns the row of an id that was cancelled before it was stored."""
    return SubmissionRecord(
        queue,
        service,
        "",
        [],
        cancelled=True,
        is_tombstone=True,
        tenant=tenant,
    )


# Most occurrences of a submission.
MAX_OCCURRENCES = 10_000
# Most tasks of a recurring submission whose occurrences are open at once. Each
# uses memory of the owner.
MAX_OPEN_TASKS = 20_000
# Decimal digits for each bit of a mask, rounded up.
DIGITS_PER_BIT = 0.302
# Bytes of a progress row beside its masks: names of the fields, state and time.
PROGRESS_FIELDS_BYTES = 120
# Quotes, separators and one digit more in an entry of ProgressRecord.done.
MASK_FIELDS_BYTES = 6


def check_schedule(record: SubmissionRecord) -> str | None:
    """Returns the error in the schedule of a submission, or None."""
    if not 0 <= record.occurrences <= MAX_OCCURRENCES:
        return f"occurrences: {record.occurrences}; allowed: 0 to 10000"
    if record.interval_ms < 0:
        return f"interval: {record.interval_ms}; allowed: 0 or more"
    return None


def count_open_limit(record: SubmissionRecord, max_bytes: int) -> int:
    """Returns how many occurrences of a submission may be open at once.

    An owner opens half as many; the former owner may have had others open. The
    masks of their completed tasks then fit into one row, whatever tasks are
    done.

    Args:
      record: the submission; one that runs once has one occurrence.
      max_bytes: largest row in bytes.
    """
    fixed_bytes = PROGRESS_FIELDS_BYTES + record.occurrences * DIGITS_PER_BIT
    occurrence_bytes = sum(
        len(f"{record.occurrences}.{number}")
        + MASK_FIELDS_BYTES
        + step.count * DIGITS_PER_BIT
        for number, step in enumerate(record.steps)
    )
    limit = int((max_bytes - fixed_bytes) / max(1.0, occurrence_bytes))
    if not record.occurrences:
        return limit
    tasks = sum(step.count for step in record.steps)
    return min(limit, max(2, MAX_OPEN_TASKS // max(1, tasks)))


def check_size(record: SubmissionRecord, row_bytes: int) -> str | None:
    """Returns why the store can't hold a submission, or None.

    Args:
      record: a submission with valid steps and a valid schedule.
      row_bytes: largest row that the store takes, in bytes.
    """
    size = len(msgspec.json.encode(record))
    if size > row_bytes:
        return f"spec and steps: {size} bytes stored; allowed: {row_bytes}"
    # The base64 text of the progress is kept within the limit, too.
    limit = count_open_limit(record, row_bytes // 4 * 3)
    if limit < (2 if record.occurrences else 1):
        return "steps: too many tasks for one row of the store"
    if has_long_running(record) and record.occurrences > limit // 2:
        return (
            f"occurrences: {record.occurrences}; allowed: 0 to {limit // 2}, "
            "as long-running tasks keep all of them open"
        )
    return None


def check_limit(
    record: SubmissionRecord, limit: tenants.TenantLimit
) -> str | None:
    """Returns why a submission can never run within a limit, or None.

    Args:
      record: a submission with valid steps.
      limit: the limit of its tenant.
    """
    for number, step in enumerate(record.steps):
        count = step.count if step.gang else 1
        size = (step.cpu * count, step.memory_mb * count, step.gpu * count)
        if not limit.allows(*size):
            unit = "gang" if step.gang else "task"
            return (
                f"steps[{number}]: a {unit} of cpu {size[0]}, memory "
                f"{size[1]} and gpu {size[2]} is over the limit of the tenant"
            )
    return None


def check_steps(steps: list[StepSpec]) -> str | None:
    """Returns the first error in the steps of a submission, or None."""
    if not steps:
        return "steps: at least one step is needed"
    for number, step in enumerate(steps):
        problem = _check_step(number, step)
        if problem:
            return f"steps[{number}].{problem}"
    return None


def _check_step(number: int, step: StepSpec) -> str | None:
    if not 1 <= step.count <= 10000:
        return f"count: {step.count}; allowed: 1 to 10000"
    if min(step.cpu, step.memory_mb, step.gpu) < 0:
        return "cpu, memory or gpu: below 0"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "after: names a step that isn't an earlier one"
    return None
