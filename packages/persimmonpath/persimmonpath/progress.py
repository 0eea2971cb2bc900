"""What the owner of a shard holds of its unfinished jobs."""

import dataclasses
import enum

from persimmonpath import identifiers
from persimmonpath import jobs
from persimmonpath import policies
from persimmonpath import work
from persimmonpath import workers

# Attempt numbers are unique without being committed: the epoch of the owner
# that chose the number, then a count.
ATTEMPTS_PER_EPOCH = 1 << 20
MAX_AVOIDED_WORKERS = 4
# Run time after which earlier failures of a service no longer count.
FAILURE_RESET_RUN_S = 60.0


class Phase(enum.Enum):
    """What is known of a task's current attempt."""

    IDLE = "idle"
    RESERVED = "reserved"
    STARTING = "starting"
    UNSURE = "unsure"  # The answer to the start was lost.
    RUNNING = "running"


@dataclasses.dataclass(slots=True)
class Task:
    """A task in the hands of its owner.

    Attributes:
        number: Number of the last attempt.
        worker: Worker that has a reservation for it; empty when idle.
        phase: A `Phase`.
        is_preempted: Whether it is being stopped for urgent work.
        failed_on: Workers on which it failed lately.
    """

    number: int = 0
    worker: str = ""
    phase: Phase = Phase.IDLE
    is_preempted: bool = False
    failed_on: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, eq=False)
class JobEntry:
    """An unfinished job.

    Attributes:
        record: Its row as it should be.
        version: Version of the row as last read or written.
        job: The job.
        tasks: Its tasks.
        order: Position among jobs of the same priority.
        idle: Indices of the tasks that wait to be started.
        is_inherited: Whether an earlier owner may have started tasks of it.
        is_changed: Whether the row is out of date.
        is_committing: Whether a change of the row is under way.
        committed_at: When the last change of the row was sent.
        retry_at: Time before which no task is started.
        waiting_since: When its tasks became ready to start.
    """

    record: jobs.JobRecord
    version: int
    job: work.Job
    tasks: list[Task]
    order: int
    idle: set[int]
    is_inherited: bool = True
    is_changed: bool = False
    is_committing: bool = False
    committed_at: float = float("-inf")
    retry_at: float = float("-inf")
    waiting_since: float = 0.0

    @property
    def id(self) -> str:
        """Returns the id of the job."""
        return self.job.id

    @property
    def rank(self) -> tuple[int, int]:
        """Returns the position among the jobs that wait."""
        return (-int(self.job.priority), self.order)

    @property
    def is_cancelling(self) -> bool:
        """Returns whether the job was cancelled and has not ended."""
        return self.record.state is jobs.JobState.CANCELLING

    def format_attempt(self, index: int) -> str:
        """Returns the id of a task's last attempt."""
        return identifiers.format_attempt(
            f"{self.job.id}/{index}", self.tasks[index].number
        )

    def set_progress(self, index: int, progress: jobs.TaskProgress) -> None:
        """Notes the progress of a task, to be committed."""
        if progress == self.record.tasks[index]:
            return
        tasks = list(self.record.tasks)
        tasks[index] = progress
        self.record = dataclasses.replace(self.record, tasks=tasks)
        self.is_changed = True

    def set_state(self, state: jobs.JobState) -> None:
        """Notes the state of the job, to be committed."""
        if self.record.state is not state:
            self.record = dataclasses.replace(self.record, state=state)
            self.is_changed = True

    def set_reason(self, reason: str) -> None:
        """Notes why no task can run, to be committed."""
        if self.record.reason != reason:
            self.record = dataclasses.replace(self.record, reason=reason)
            self.is_changed = True

    def set_idle(self, index: int) -> None:
        """Notes that a task has no attempt; it waits unless it is final."""
        task = self.tasks[index]
        task.worker = ""
        task.phase = Phase.IDLE
        task.is_preempted = False
        progress = self.record.tasks[index]
        if progress.state in jobs.FINAL_TASK_STATES:
            self.idle.discard(index)
            return
        if self.is_cancelling:
            state = jobs.TaskState.CANCELLED
            self.idle.discard(index)
        else:
            state = jobs.TaskState.WAITING
            self.idle.add(index)
        self.set_progress(
            index, dataclasses.replace(progress, state=state, worker="")
        )

    def get_next_number(self, index: int, epoch: int) -> int:
        """Returns the number for a task's next attempt, never used before."""
        return max(self.tasks[index].number, epoch * ATTEMPTS_PER_EPOCH) + 1


def create_entry(
    record: jobs.JobRecord, version: int, order: int, now: float
) -> JobEntry:
    """Returns the entry of a job that was read from its row."""
    idle = {
        index
        for index, progress in enumerate(record.tasks)
        if progress.state not in jobs.FINAL_TASK_STATES
    }
    return JobEntry(
        record,
        version,
        jobs.read_job(record),
        [Task(number=p.last_attempt) for p in record.tasks],
        order,
        idle,
        waiting_since=now,
    )


def compute_progress(
    entry: JobEntry, index: int, number: int, record: workers.AttemptRecord
) -> jobs.TaskProgress:
    """Returns the progress of a task after an attempt has ended.

    An attempt that was stopped, by preemption or because its worker was lost,
    counts as no failure.
    """
    progress = dataclasses.replace(
        entry.record.tasks[index],
        last_attempt=number,
        checkpoint=record.checkpoint or entry.record.tasks[index].checkpoint,
        worker="",
    )
    state = jobs.TaskState.WAITING
    if record.state is workers.AttemptState.SUCCEEDED:
        if not policies.restarts_on_end(entry.job):
            state = jobs.TaskState.DONE
    elif record.state is workers.AttemptState.FAILED:
        attempts = progress.attempts + 1
        if (
            policies.restarts_on_end(entry.job)
            and record.run_s >= FAILURE_RESET_RUN_S
        ):
            attempts = 1
        progress = dataclasses.replace(
            progress, attempts=attempts, reason=record.reason
        )
        limit = policies.get_attempt_limit(entry.job)
        if limit is not None and progress.attempts >= limit:
            state = jobs.TaskState.FAILED
    if entry.is_cancelling and state is jobs.TaskState.WAITING:
        state = jobs.TaskState.CANCELLED
    return dataclasses.replace(progress, state=state)


def merge_records(
    local: jobs.JobRecord, stored: jobs.JobRecord
) -> jobs.JobRecord:
    """Returns both records together, after both were written to one row.

    What ended, has ended: final states win, and the later attempt of two.
    """
    tasks = []
    for local_task, stored_task in zip(local.tasks, stored.tasks, strict=True):
        is_final = stored_task.state in jobs.FINAL_TASK_STATES
        is_later = stored_task.last_attempt > local_task.last_attempt
        if local_task.state in jobs.FINAL_TASK_STATES:
            tasks.append(local_task)
        else:
            tasks.append(stored_task if is_final or is_later else local_task)
    state = local.state
    if stored.state is not jobs.JobState.ACCEPTED:
        state = stored.state
    return dataclasses.replace(local, tasks=tasks, state=state)


def compute_job_state(record: jobs.JobRecord) -> jobs.JobState:
    """Returns the state of a job from the states of its tasks."""
    states = {task.state for task in record.tasks}
    if states - jobs.FINAL_TASK_STATES:
        return record.state
    if jobs.TaskState.CANCELLED in states:
        return jobs.JobState.CANCELLED
    if jobs.TaskState.FAILED in states:
        return jobs.JobState.FAILED
    return jobs.JobState.DONE
