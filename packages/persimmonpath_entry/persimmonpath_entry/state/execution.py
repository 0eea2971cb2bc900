"""Submissions, steps, tasks and runs as the owner of a service knows them."""

import dataclasses
import enum

import msgspec

from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# What a worker lists for a long-running task that is at work, in percent.
AT_WORK_PERCENT = 100
# Stands in the place of an index in the key of a gang's failures.
GANG_KEY = "gang"


class WorkerLoad(msgspec.Struct):
    """What still runs on a worker that is being evacuated.

    Attributes:
      runs: number of runs.
      protected: number of runs that must not be stopped yet.
    """

    runs: int
    protected: int


class Phase(enum.Enum):
    """The phase of a run.

    Attributes:
      STARTING: the start request is in flight, or its outcome is unknown.
      RUNNING: the worker has accepted the start or lists the run.
      STOPPING: the run is being stopped and still uses its capacity.
    """

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One run of a task on a worker.

    Attributes:
      task: the task.
      number: the number of the run.
      worker: the worker.
      phase: the phase of the run.
      sent_at: when its start was sent, in seconds of the monotonic clock.
      confirmed_at: when the worker last confirmed its state, or None. If a
        listing requested later doesn't contain the run, it no longer exists.
      saved: the checkpoint from which it starts, then the one that its worker
        listed last; or empty.
      requeue: whether the task waits for another run once this one has ended.
      load: the load that the worker reported last, or None. For a run with a
        latency target it is the tail latency in milliseconds, for others the
        CPU usage in thousandths of a core.
      load_at: when that load was reported, or None.
      percent: the CPU share that it may use, in percent.
      paced_percent: the share that this owner has set last, None for a run of a
        former owner.
      paced_at: when that share was set, 0 before.
      is_at_work: whether the last listing shows a long-running task at work.
        After its start it takes a while to begin.
      idle_since: since when it has used no CPU time, or None.
      over_target_since: since when its tail latency is over the target, or
        None.
      done_at: when another member of its gang was seen to be done, or None.
        All members end at the same time.
      is_being_stopped: whether a stop has been requested.
      is_being_paced: whether a call to change its CPU share is in flight.
      started_at: when the worker answered that it has started, None if that
        isn't known.
      is_resumed: whether it began from a checkpoint.
    """

    task: "Task"
    number: int
    worker: fleet.Worker
    phase: Phase
    sent_at: float
    confirmed_at: float | None = None
    saved: str = ""
    requeue: bool = True
    load: float | None = None
    percent: float = 100
    paced_percent: int | None = 100
    paced_at: float = 0.0
    is_at_work: bool = False
    idle_since: float | None = None
    load_at: float | None = None
    over_target_since: float | None = None
    done_at: float | None = None
    is_being_stopped: bool = False
    is_being_paced: bool = False
    started_at: float | None = None
    is_resumed: bool = False

    @property
    def spec(self) -> submissions.StepSpec:
        """The specification of its step."""
        return self.task.step.spec

    @property
    def is_available(self) -> bool:
        """Whether a long-running task is known to be at work with it."""
        return (
            self.phase is Phase.RUNNING
            and self.is_at_work
            and self.worker.unresponsive_since is None
        )

    @property
    def is_ending(self) -> bool:
        """Whether it ends by itself, as its gang is done."""
        return self.done_at is not None


class Task:
    """One task of a step.

    Attributes:
      step: the step.
      index: the index of the task in its step.
      runs: the current runs, more than one only with speculative copies.
      is_done: whether the task has completed.
      last_number: the number of the last run, 0 if there was none.
      waiting_since: since when it has waited for a run, in seconds of the
        monotonic clock.
      avoided: ids of the workers on which it failed or stalled. Others are
        preferred for its next run.
      wants_copy: whether a speculative copy may be started.
      is_accounted: whether this owner has seen or started its last run. If so,
        no other worker can still run it for a former owner.
    """

    __slots__ = (
        "step",
        "index",
        "runs",
        "is_done",
        "_saved",
        "last_number",
        "waiting_since",
        "avoided",
        "wants_copy",
        "is_accounted",
    )

    def __init__(self, step: "Step", index: int, waiting_since: float):
        self.step = step
        self.index = index
        self.runs: list[Run] = []
        self.is_done = False
        self._saved = ""
        self.last_number = 0
        self.waiting_since = waiting_since
        self.avoided: set[str] = set()
        self.is_accounted = False
        self.wants_copy = False

    @property
    def key(self) -> str:
        """The name within its submission: "occurrence.step.index"."""
        return f"{self.step.key}.{self.index}"

    @property
    def name(self) -> str:
        """The name used in calls to workers."""
        return f"{self.step.submission.id}.{self.key}"

    @property
    def failure_key(self) -> str:
        """The key of its failures; all tasks of a gang share one."""
        if self.step.spec.gang:
            return f"{self.step.key}.{GANG_KEY}"
        return self.key

    @property
    def failures(self) -> list[int]:
        """The numbers of its failed runs."""
        progress = self.step.submission.progress
        return progress.failures.get(self.failure_key, [])

    @property
    def saved(self) -> str:
        """The newest checkpoint, or empty; all tasks of a gang share one."""
        return self.step.gang_saved if self.step.spec.gang else self._saved

    @saved.setter
    def saved(self, value: str):
        if self.step.spec.gang:
            self.step.gang_saved = value
        else:
            self._saved = value

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for a run, or for a speculative copy."""
        if self.is_done:
            return False
        return not self.runs or (self.wants_copy and len(self.runs) == 1)


class Step:
    """One step of one occurrence of a submission.

    Attributes:
      submission: the submission.
      occurrence: the number of the occurrence.
      number: the number of the step in its submission.
      spec: the specification of the step.
      key: the name within the submission, "occurrence.step".
      tasks: the tasks by index.
      remaining: number of tasks that aren't done.
      counted_since: since when its latency objective counts, in seconds of the
        monotonic clock: when the submission was accepted, or its occurrence
        was due.
      ready_since: since when its tasks may start, in seconds of the monotonic
        clock; None if earlier steps aren't done.
      became_ready_here: whether this owner saw the end of the last task before
        it. If so, no former owner can have started its tasks.
      advice: the placement advisor's answers for the step.
      gang_saved: the newest checkpoint of a gang, or empty. That of any member
        is valid for all, and all have to start from the same one.
    """

    def __init__(
        self,
        submission: "Submission",
        occurrence: int,
        number: int,
        spec: submissions.StepSpec,
        now: float,
    ):
        self.submission = submission
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.key = f"{occurrence}.{number}"
        self.tasks = [Task(self, index, now) for index in range(spec.count)]
        self.remaining = spec.count
        self.counted_since = submission.known_since
        self.ready_since: float | None = None
        self.became_ready_here = False
        self.advice = StepAdvice()
        self.gang_saved = ""

    @property
    def name(self) -> str:
        """The name used in calls to the placement advisor."""
        return f"{self.submission.id}.{self.key}"

    @property
    def is_done(self) -> bool:
        """Whether all its tasks are done."""
        return self.remaining == 0

    def list_waiting(self) -> list[Task]:
        """Returns the tasks that wait for a run."""
        return [task for task in self.tasks if task.is_waiting]

    def count_unavailable(self) -> int:
        """Returns the number of tasks without a run that is at work."""
        return sum(
            1
            for task in self.tasks
            if not any(run.is_available for run in task.runs)
        )

    def count_runs_by_worker(self) -> dict[str, int]:
        """Returns the number of its runs by worker id."""
        counts: dict[str, int] = {}
        for task in self.tasks:
            for run in task.runs:
                worker_id = run.worker.id
                counts[worker_id] = counts.get(worker_id, 0) + 1
        return counts


class StepAdvice:
    """The placement advisor's answers for a step.

    Attributes:
      tickets: each ticket and the time at which it expires, by worker id.
      good: ids of the workers that may run the step.
      asked: ids of the workers for which the advisor has answered.
      is_asking: whether a call is in flight.
      asking: ids of the workers named in calls in flight.
      retry_at: when the advisor may be called again after a failure.
    """

    def __init__(self):
        self.tickets: dict[str, tuple[str, float]] = {}
        self.good: set[str] = set()
        self.asked: set[str] = set()
        self.is_asking = False
        self.asking: set[str] = set()
        self.retry_at = 0.0

    def may_run_on(self, worker: fleet.Worker) -> bool:
        """Returns whether the advisor hasn't excluded a worker so far."""
        return worker.id in self.good or worker.id not in self.asked

    def is_approved(self, worker: fleet.Worker) -> bool:
        """Returns whether the advisor has approved a worker."""
        return worker.id in self.good

    def find_ticket(self, worker_id: str, now: float) -> str | None:
        """Returns a valid ticket for a worker, or None."""
        row = self.tickets.get(worker_id)
        if row is None or row[1] <= now:
            return None
        return row[0]


class Submission:
    """A submission with its progress and the state of its steps.

    Attributes:
      id: the id of the submission.
      version: the version at which its row was first read.
      record: the submission as the store keeps it.
      progress: its progress, which the store may not hold yet.
      may_have_former_runs: whether a former owner may have started its tasks.
      known_since: when it was accepted or first read, in seconds of the
        monotonic clock.
      has_started: whether a worker has confirmed that one of its tasks runs or
        has ended. A start that is only sent, or that was rejected, is none.
      stored_state: the state that the store holds; only this one may be shown
        to callers.
      steps: the steps of the open occurrences by key, "occurrence.step".
      open_limit: most occurrences that may be open at once.
      next_occurrence: number of the next occurrence to be opened.
      stored_blocks: hashes of the blocks of progress that the store holds, by
        row key; 0 if the content of the row isn't known.
      stores_checkpoints: whether its checkpoints are stored. They are left out
        once the store has refused a row with them.
      stored_at: when the store was first known to hold its final state, in
        seconds of the monotonic clock; None before.
    """

    def __init__(
        self,
        submission_id: str,
        record: submissions.SubmissionRecord,
        progress: submissions.ProgressRecord | None,
        may_have_former_runs: bool,
        now: float,
        version: int = 0,
    ):
        self.id = submission_id
        self.version = version
        self.record = record
        self.progress = progress or submissions.ProgressRecord()
        self.may_have_former_runs = may_have_former_runs
        self.known_since = now
        self.has_started = self.progress != submissions.ProgressRecord()
        self.stored_state = self.progress.state
        self.steps: dict[str, Step] = {}
        self.open_limit = submissions.MAX_OCCURRENCES
        self.next_occurrence = 0
        self.stored_blocks: dict[str, int] = {}
        self.stores_checkpoints = True
        self.stored_at: float | None = None

    @property
    def state(self) -> str:
        """The newest state, which may not be stored yet."""
        return self.progress.state

    @property
    def is_active(self) -> bool:
        """Whether it may still have tasks to run."""
        return self.progress.state == submissions.ACTIVE

    def list_occurrence_steps(self, occurrence: int) -> list[Step]:
        """Returns the steps of an occurrence, empty if it isn't open."""
        steps = []
        for number in range(len(self.record.steps)):
            step = self.steps.get(f"{occurrence}.{number}")
            if step is not None:
                steps.append(step)
        return steps

    def add_occurrence(self, occurrence: int, now: float) -> list[Step]:
        """Creates the steps of an occurrence and restores their progress."""
        for number, spec in enumerate(self.record.steps):
            step = Step(self, occurrence, number, spec, now)
            self._restore(step)
            self.steps[step.key] = step
        return self.list_occurrence_steps(occurrence)

    def _restore(self, step: Step):
        if step.spec.long_running:
            # Former versions stored such tasks as done if they ended so.
            self.progress.done.pop(step.key, None)
        mask = self.progress.done.get(step.key, 0)
        for task in step.tasks:
            if mask >> task.index & 1:
                task.is_done = True
                step.remaining -= 1
            saved = self.progress.saved.get(task.key, "")
            if saved:
                task.saved = saved

    def is_ready(self, step: Step) -> bool:
        """Returns whether all steps that a step depends on are done."""
        return all(
            self.steps[f"{step.occurrence}.{dependency}"].is_done
            for dependency in step.spec.after
        )

    def find_task(self, key: str) -> Task | None:
        """Returns the task with a key, or None if there is no such task."""
        step_key, _, index = key.rpartition(".")
        step = self.steps.get(step_key)
        if step is None or not index.isdigit():
            return None
        if int(index) >= len(step.tasks):
            return None
        return step.tasks[int(index)]

    def mark_done(self, task: Task):
        """Marks a task as done and updates the progress."""
        step = task.step
        task.is_done = True
        step.remaining -= 1
        mask = self.progress.done.get(step.key, 0)
        self.progress.done[step.key] = mask | 1 << task.index
        self.progress.saved.pop(task.key, None)
        self.progress.failures.pop(task.key, None)

    def list_runs(self) -> list[Run]:
        """Returns all its runs."""
        return [
            run
            for step in self.steps.values()
            for task in step.tasks
            for run in task.runs
        ]

    def is_finished(self, occurrence: int) -> bool:
        """Returns whether an occurrence of a recurring submission is done."""
        return bool(self.progress.finished >> occurrence & 1)

    def is_open(self, occurrence: int) -> bool:
        """Returns whether the steps of an occurrence have been created."""
        return f"{occurrence}.0" in self.steps

    def count_open(self) -> int:
        """Returns the number of open occurrences."""
        return len(self.steps) // max(1, len(self.record.steps))

    def finish_occurrence(self, occurrence: int) -> list[Step]:
        """Closes an occurrence of a recurring submission if it is done.

        Returns:
          Its former steps, empty if it isn't done.
        """
        steps = self.list_occurrence_steps(occurrence)
        if not self.record.occurrences:
            return []
        if not all(step.is_done for step in steps):
            return []
        self.progress.finished |= 1 << occurrence
        for step in steps:
            del self.steps[step.key]
            self.progress.done.pop(step.key, None)
            self.progress.failures.pop(f"{step.key}.{GANG_KEY}", None)
        return steps

    def is_complete(self) -> bool:
        """Returns whether every task of every occurrence is done."""
        if self.record.occurrences:
            finished = self.progress.finished.bit_count()
            return finished == self.record.occurrences
        if len(self.steps) < len(self.record.steps):
            return False
        return all(step.is_done for step in self.steps.values())

    def forget_details(self):
        """Drops the data that is needed only while tasks are left to run."""
        self.steps = {}
        self.record.spec = ""
        self.record.steps = []
