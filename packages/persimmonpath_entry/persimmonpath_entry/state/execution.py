"""Submissions, steps, tasks and runs as their owner knows them."""

import dataclasses
import enum

import msgspec

from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# A lasting task is at work at its full share only.
AVAILABLE_PERCENT = 100


class WorkerLoad(msgspec.Struct):
    """What still runs on a worker that is being emptied.

    Attributes:
      runs: its tasks.
      protected: those that may not be taken away yet.
    """

    runs: int
    protected: int


class Phase(enum.Enum):
    """How far a run has got.

    STARTING: the order to start is on its way, or its fate is unknown.
    RUNNING: the worker has taken the order, or lists the run.
    STOPPING: the run is to be stopped; its room isn't free yet.
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
      phase: how far it has got.
      sent_at: when its start was sent, in seconds of the steady clock.
      settled_at: when the worker last said something definite of it; a
        listing asked for later has to name the run, or it is gone.
      requeue: whether the task waits for another run once this one is gone.
      load: what the worker said of its load, or None.
      percent: the share at which it may work.
      idle_since: since when it has used no processor time, or None.
      over_target_since: since when its tail is over its target, or None.
      is_being_stopped: whether a call to stop it is under way.
      is_being_paced: whether a call to pace it is under way.
    """

    task: "Task"
    number: int
    worker: fleet.Worker
    phase: Phase
    sent_at: float
    confirmed_at: float | None = None
    requeue: bool = True
    load: float | None = None
    percent: float = 100
    idle_since: float | None = None
    over_target_since: float | None = None
    is_being_stopped: bool = False
    is_being_paced: bool = False

    @property
    def spec(self) -> submissions.StepSpec:
        """The step of its task."""
        return self.task.step.spec


class Task:
    """One task of a step."""

    __slots__ = (
        "step",
        "index",
        "runs",
        "is_done",
        "saved",
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
        self.saved = ""
        self.last_number = 0
        self.waiting_since = waiting_since
        # Workers on which the task failed; another one is tried first.
        self.avoided: set[str] = set()
        # Whether this owner has seen or started its last run, so that no
        # other worker can run it for a former owner.
        self.is_accounted = False
        # Whether a copy may run beside the run that it has.
        self.wants_copy = False

    @property
    def key(self) -> str:
        """The name within its submission."""
        return f"{self.step.key}.{self.index}"

    @property
    def name(self) -> str:
        """The name that workers know."""
        return f"{self.step.submission.id}.{self.key}"

    @property
    def failure_key(self) -> str:
        """Under which name its failures are kept; a gang fails as one."""
        return f"{self.step.key}.gang" if self.step.spec.gang else self.key

    @property
    def failures(self) -> list[int]:
        """The numbers of its failed runs."""
        progress = self.step.submission.progress
        return progress.failures.get(self.failure_key, [])

    @property
    def is_waiting(self) -> bool:
        """Whether it isn't done and has no run, or wants a copy."""
        if self.is_done:
            return False
        return not self.runs or (self.wants_copy and len(self.runs) == 1)


class Step:
    """One step of one occurrence of a submission."""

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
        self.left = spec.count
        self.ready_since: float | None = None
        # Whether this owner saw the last task before it end, so that a former
        # owner can't have started it.
        self.became_ready_here = False
        self.tickets = StepAdvice()

    @property
    def name(self) -> str:
        """The name that the placement advisor knows."""
        return f"{self.submission.id}.{self.key}"

    @property
    def is_done(self) -> bool:
        """Whether all its tasks have ended as done."""
        return self.left == 0

    def list_waiting(self) -> list[Task]:
        """Returns the tasks that wait for a run."""
        return [task for task in self.tasks if task.is_waiting]

    def count_unavailable(self) -> int:
        """Returns the number of its tasks that aren't at work."""
        return sum(
            1
            for task in self.tasks
            if not any(
                run.phase is Phase.RUNNING and run.percent >= AVAILABLE_PERCENT
                for run in task.runs
            )
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
    """What the placement advisor has said of a step.

    Attributes:
      tickets: ticket and last moment of its use, by worker id.
      good: workers that may run the step.
      asked: workers for which the advisor has answered.
      is_asking: whether a call is under way.
      retry_at: when the advisor may be asked again after a failure.
    """

    def __init__(self):
        self.tickets: dict[str, tuple[str, float]] = {}
        self.good: set[str] = set()
        self.asked: set[str] = set()
        self.is_asking = False
        self.retry_at = 0.0

    def find_ticket(self, worker_id: str, now: float) -> str | None:
        """Returns a valid ticket for a worker, or None."""
        row = self.tickets.get(worker_id)
        if row is None or row[1] <= now:
            return None
        return row[0]


class Submission:
    """A submission and all that its owner knows of it."""

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
        # The version at which its row was first seen.
        self.version = version
        self.record = record
        self.progress = progress or submissions.ProgressRecord()
        # Whether a former owner may have started tasks of it.
        self.may_have_former_runs = may_have_former_runs
        self.known_since = now
        self.has_started = False
        # The state that the store holds and that callers may be shown.
        self.stored_state = self.progress.state
        self.steps: dict[str, Step] = {}
        self.occurrences_left = 0
        self.stored_at: float | None = None

    @property
    def state(self) -> str:
        """The newest state, which the store may not hold yet."""
        return self.progress.state

    @property
    def is_active(self) -> bool:
        """Whether it may still have tasks to run."""
        return self.progress.state == submissions.ACTIVE

    def list_occurrence_steps(self, occurrence: int) -> list[Step]:
        """Returns the steps of an occurrence, empty if it isn't there."""
        steps = []
        for number in range(len(self.record.steps)):
            step = self.steps.get(f"{occurrence}.{number}")
            if step is not None:
                steps.append(step)
        return steps

    def add_occurrence(self, occurrence: int, now: float) -> list[Step]:
        """Creates the steps of an occurrence, less what has been done."""
        for number, spec in enumerate(self.record.steps):
            step = Step(self, occurrence, number, spec, now)
            self._restore(step)
            self.steps[step.key] = step
        return self.list_occurrence_steps(occurrence)

    def _restore(self, step: Step):
        mask = self.progress.done.get(step.key, 0)
        for task in step.tasks:
            if mask >> task.index & 1:
                task.is_done = True
                step.left -= 1
            task.saved = self.progress.saved.get(task.key, "")

    def is_ready(self, step: Step) -> bool:
        """Whether all the steps before a step are done."""
        return all(
            self.steps[f"{step.occurrence}.{dependency}"].is_done
            for dependency in step.spec.after
        )

    def find_task(self, key: str) -> Task | None:
        """Returns the task with a name within the submission, or None."""
        step_key, _, index = key.rpartition(".")
        step = self.steps.get(step_key)
        if step is None or not index.isdigit():
            return None
        if int(index) >= len(step.tasks):
            return None
        return step.tasks[int(index)]

    def mark_done(self, task: Task):
        """Notes that a task has ended as done."""
        step = task.step
        task.is_done = True
        step.left -= 1
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

    def is_complete(self) -> bool:
        """Whether every task of every occurrence has ended as done."""
        occurrence_count = max(1, self.record.occurrences)
        if len(self.steps) < occurrence_count * len(self.record.steps):
            return False
        return all(step.is_done for step in self.steps.values())

    def forget_details(self):
        """Drops what is needed only while there are tasks to run."""
        self.steps = {}
        self.record.spec = ""
        self.record.steps = []
