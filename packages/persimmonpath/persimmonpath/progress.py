"""State that the owner of a shard keeps in memory for unfinished jobs."""

import dataclasses
import enum

from persimmonpath import identifiers
from persimmonpath import jobs
from persimmonpath import policies
from persimmonpath import work
from persimmonpath import workers

# Attempt numbers are unique without being committed: owners number the attempts
# of a task from epoch * ATTEMPTS_PER_EPOCH + 1, and each owner has a new epoch.
ATTEMPTS_PER_EPOCH = 1 << 20
# Workers per task that are avoided because the task failed there.
MAX_AVOIDED_WORKERS = 4
# Run time of a service attempt, in seconds, after which earlier failures no
# longer count.
FAILURE_RESET_RUN_S = 60.0


class Phase(enum.Enum):
    """Phase of a task's current attempt, as far as the owner knows."""

    IDLE = "idle"
    RESERVED = "reserved"
    STARTING = "starting"
    UNSURE = "unsure"  # The answer to the start was lost.
    RUNNING = "running"


@dataclasses.dataclass(slots=True)
class Task:
    """In-memory state of a task.

    Attributes:
        number: Number of the last attempt.
        worker: Worker with a reservation for it; empty when idle.
        phase: Phase of the last attempt.
        is_preempted: Whether it is being stopped in favor of urgent work.
        failed_on: Workers on which it failed most recently, latest first.
    """

    number: int = 0
    worker: str = ""
    phase: Phase = Phase.IDLE
    is_preempted: bool = False
    failed_on: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, eq=False)
class JobEntry:
    """In-memory state of an unfinished job.

    Attributes:
        record: Content of its row including uncommitted changes.
        version: Version of the row as last read or written.
        job: The job.
        tasks: Its tasks.
        order: Position among jobs of the same priority, in order of addition.
        idle: Indexes of the tasks that wait to be started.
        is_inherited: Whether an earlier owner may have started its tasks.
        is_changed: Whether `record` has changes that are not committed.
        is_committing: Whether a commit of the row is in progress.
        committed_at: Monotonic time at which the last commit was sent.
        retry_at: Monotonic time before which no task is started.
        waiting_since: Monotonic time at which its tasks became ready.
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
        """Returns the sort key among waiting jobs: priority, then order."""
        return (-int(self.job.priority), self.order)

    @property
    def is_cancelling(self) -> bool:
        """Returns whether the job is being cancelled and has not ended."""
        return self.record.state is jobs.JobState.CANCELLING

    def format_attempt(self, index: int) -> str:
        """Returns the id of a task's last attempt."""
        return identifiers.format_attempt(
            f"{self.job.id}/{index}", self.tasks[index].number
        )

    def set_progress(self, index: int, progress: jobs.TaskProgress) -> None:
        """Sets the progress of a task and marks the row for a commit."""
        if progress == self.record.tasks[index]:
            return
        tasks = list(self.record.tasks)
        tasks[index] = progress
        self.record = dataclasses.replace(self.record, tasks=tasks)
        self.is_changed = True

    def set_state(self, state: jobs.JobState) -> None:
        """Sets the state of the job and marks the row for a commit."""
        if self.record.state is not state:
            self.record = dataclasses.replace(self.record, state=state)
            self.is_changed = True

    def set_reason(self, reason: str) -> None:
        """Sets why no worker can run a task and marks the row for a commit."""
        if self.record.reason != reason:
            self.record = dataclasses.replace(self.record, reason=reason)
            self.is_changed = True

    def set_idle(self, index: int) -> None:
        """Marks a task as having no attempt; it waits unless it has ended.

        A task of a job that is being cancelled becomes cancelled instead.
        """
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
        """Returns an unused number for the next attempt of a task.

        Args:
            index: Index of the task.
            epoch: Epoch of the owner.
        """
        return max(self.tasks[index].number, epoch * ATTEMPTS_PER_EPOCH) + 1


def create_entry(
    record: jobs.JobRecord, version: int, order: int, now: float
) -> JobEntry:
    """Returns the in-memory state of a job that was read from its row.

    Args:
        record: Content of the row.
        version: Version of the row.
        order: Position among jobs of the same priority.
        now: Monotonic seconds.
    """
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
    does not count as a failure.

    Args:
        entry: The job.
        index: Index of the task.
        number: Number of the attempt.
        record: The worker's record of the attempt.
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
    """Merges two records of a job after a conflicting write to its row.

    For each task a final state wins, and otherwise the record with the later
    attempt. The stored state of the job wins unless it is `ACCEPTED`.

    Args:
        local: Record with the changes of this owner.
        stored: Record read from the row.
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
    """Returns the state of a job, derived from the states of its tasks."""
    states = {task.state for task in record.tasks}
    if states - jobs.FINAL_TASK_STATES:
        return record.state
    if jobs.TaskState.CANCELLED in states:
        return jobs.JobState.CANCELLED
    if jobs.TaskState.FAILED in states:
        return jobs.JobState.FAILED
    return jobs.JobState.DONE
