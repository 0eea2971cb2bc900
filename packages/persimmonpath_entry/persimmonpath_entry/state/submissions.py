"""Submissions as callers hand them in and as the store keeps them."""

import msgspec

ACTIVE = ""
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"


class StepSpec(msgspec.Struct, omit_defaults=True):
    """A step of a submission.

    Attributes:
      count: number of tasks.
      cpu: thousandths of a core for each task.
      memory_mb: memory for each task.
      gpu: accelerators for each task.
      estimated_ms: the caller's rough estimate of a task's duration.
      after: numbers of the steps that have to be done before.
      gang: whether the tasks work only together.
      same_rack: whether a gang is slower on more than one rack.
      label: a label that the worker must have, or empty.
      data_rack: the rack near the data, or empty.
      max_per_worker: most tasks of the step on one worker, 0 for no limit.
      allow_copies: whether copies of a task may run in parallel.
      long_running: whether the tasks run until they are cancelled.
      checkpointing: whether a task checkpoints its progress.
      image: what the tasks run.
      target_ms: bound on the tail latency of tasks that serve, 0 for none.
      is_filler: whether the tasks use what others leave of the processor.
      may_miss: tasks that the scheduler may take away at the same time.
    """

    count: int = 0
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimated_ms: float = 0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    allow_copies: bool = False
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: float = 0
    is_filler: bool = False
    may_miss: int = 0


class SubmissionRecord(msgspec.Struct, omit_defaults=True):
    """A submission as the store keeps it.

    Attributes:
      queue: name of its queue.
      service: the service of the queue when it was accepted.
      spec: what the workers are told to run.
      steps: its steps.
      accepted_ms: Unix milliseconds of its acceptance.
      start_ms: Unix milliseconds of the first occurrence.
      interval_ms: milliseconds between occurrences.
      occurrences: number of occurrences, 0 for a submission that runs once.
      cancelled: whether its caller has cancelled it.
    """

    queue: str
    service: str
    spec: str
    steps: list[StepSpec]
    accepted_ms: int = 0
    start_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0
    cancelled: bool = False


class ProgressRecord(msgspec.Struct, omit_defaults=True):
    """What the store keeps of the progress of a submission.

    Attributes:
      state: ACTIVE, COMPLETED, FAILED or CANCELLED.
      done: ended tasks by "occurrence.step", as a bit mask of their indexes.
      failures: numbers of the failed runs by "occurrence.step.index", or by
        "occurrence.step.gang". A worker lists an end again to a new owner, so
        a mere count would count it twice.
      saved: newest checkpoints by "occurrence.step.index".
      ended_ms: Unix milliseconds of the end of the submission.
    """

    state: str = ACTIVE
    done: dict[str, int] = {}
    failures: dict[str, list[int]] = {}
    saved: dict[str, str] = {}
    ended_ms: int = 0


def check_steps(steps: list[StepSpec]) -> str | None:
    """Returns what is wrong with the steps of a submission, or None."""
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
