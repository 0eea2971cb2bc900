"""The owner's side of one service: its submissions, workers and runs."""

import asyncio
from collections.abc import Coroutine
import time

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import endings
from persimmonpath_entry.engine import roster
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock

# Run numbers of an owner begin at its fencing token times this, so that they
# rise over every owner without a write for each start.
RUNS_PER_FENCE = 1000
# An age beyond this comes from a jump of the time of day.
MAX_AGE_S = 600.0


class Shard:
    """All that the owner of a service knows, and what events change in it."""

    def __init__(
        self,
        node: context.Context,
        service: str,
        fence: int,
        unsettled: dict[str, float],
    ):
        self.node = node
        self.service = service
        self.fence = fence
        self.submissions: dict[str, work.Submission] = {}
        self.workers: dict[str, fleet.Worker] = {}
        self.clients: dict[str, worker_calls.WorkerClient] = {}
        # Workers of the former owner that haven't answered yet, and when
        # every lease that it granted there has ended.
        self.unsettled = unsettled
        # Tasks that may run on such a worker, where the former owner knew.
        self.suspects: dict[str, set[str]] = {}
        # Newest version of a submission that former owners may have started
        # tasks of, None if that isn't known.
        self.former_horizon: int | None = 0
        # Tasks of a submission start once the store holds that its version is
        # within the horizon, so that the next owner knows which ones can't run.
        self.newest_version = 0
        self.stored_horizon = 0
        # Workers whose leases the stored row says to end; none is extended.
        self.frozen_leases: set[str] = set()
        self.ready_steps: dict[work.Step, None] = {}
        # Steps that may be ready soon, for which advice is asked early.
        self.next_steps: dict[work.Step, None] = {}
        self.dirty: dict[str, work.Submission] = {}
        self.timed: dict[str, work.Submission] = {}
        self.endings = endings.Endings(self)
        self.roster = roster.Roster(self)
        self.is_open = True
        self.is_leaving = False
        self.opened_at = clock.read_clock()
        self.is_loaded = False
        self.lease_until = 0.0
        self.hold_until = 0.0
        self.on_dirty = asyncio.Event()
        self.on_schedule = asyncio.Event()
        self.on_stop = None
        self.on_worker = None
        self.on_reborn = None
        self.on_question = None
        self.queues: dict[str, configuration.Queue] = {}
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Runs a coroutine until the shard is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.node.log.warn(
                "task_broken",
                service=self.service,
                reason=f"{type(error).__name__}: {error}",
                where=context.find_raise_location(error),
            )

    def close(self, reason: str):
        """Gives everything up; nothing is started or renewed afterwards."""
        if not self.is_open:
            return
        self.is_open = False
        self.node.log.warn(
            "ownership_lost",
            service=self.service,
            fence=self.fence,
            reason=reason,
        )
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()
        for client in self.clients.values():
            client.close()

    def may_start(self, now: float) -> bool:
        """Whether the lease allows orders to start."""
        if self.is_leaving or not self.is_loaded:
            return False
        return self.is_open and now < self.lease_until

    def may_hold(self, now: float) -> bool:
        """Whether the leases of workers may be extended."""
        return self.is_open and now < self.hold_until

    def find_queue(self, submission: work.Submission) -> configuration.Queue:
        """Returns the queue of a submission, also when it was removed."""
        name = submission.record.queue
        queue = self.node.find_queue(name)
        if queue is not None:
            self.queues[name] = queue
            return queue
        kept = self.queues.get(name)
        if kept is not None:
            return kept
        return configuration.Queue(
            name, "", "", self.service, 9, 3, 4.0, 3000.0, 3000.0, None
        )

    def extend_horizon(self, version: int):
        """Takes note that the store holds a horizon of this owner."""
        if version > self.stored_horizon:
            self.stored_horizon = version
            self.request_schedule()

    def may_start_tasks(self, submission: work.Submission) -> bool:
        """Whether the next owner would know that tasks may have started."""
        return submission.version <= self.stored_horizon

    def request_schedule(self):
        """Has waiting tasks placed soon."""
        self.on_schedule.set()

    def mark_dirty(self, submission: work.Submission):
        """Has the progress of a submission stored soon."""
        self.dirty[submission.id] = submission
        self.on_dirty.set()

    # Submissions.

    def may_run_elsewhere(self, task: work.Task) -> bool:
        """Whether a worker that hasn't answered yet may run a task."""
        step = task.step
        if task.is_accounted or step.is_fresh or step.spec.allow_copies:
            return False
        if not step.submission.may_be_started:
            return False
        name = task.name
        return any(
            worker_id not in self.suspects or name in self.suspects[worker_id]
            for worker_id in self.unsettled
        )

    def take_submission(
        self,
        submission_id: str,
        record: submissions.SubmissionRecord,
        progress: submissions.ProgressRecord | None = None,
        version: int = 0,
    ):
        """Takes in a stored submission; a repeat only tells of a cancel.

        Args:
          submission_id: its id.
          record: the submission.
          progress: what the store holds of its progress, if anything.
          version: the version of its row.
        """
        known = self.submissions.get(submission_id)
        if known is not None:
            if record.cancelled:
                self.cancel(known)
            return
        now = clock.read_clock()
        age_s = time.time() - record.accepted_ms / 1000
        if 0 < age_s < MAX_AGE_S and not self.is_loaded:
            now -= age_s
        submission = work.Submission(
            submission_id,
            record,
            progress,
            self.former_horizon is None or version <= self.former_horizon,
            now,
            version,
        )
        self.submissions[submission_id] = submission
        if version > self.newest_version:
            self.newest_version = version
            self.on_dirty.set()
        if not submission.is_active:
            submission.stored_at = clock.read_clock()
            submission.forget_details()
            return
        if record.cancelled:
            self.end_submission(submission, submissions.CANCELLED)
            return
        if record.occurrences:
            self.timed[submission_id] = submission
            self.open_occurrences(submission)
        else:
            self._open(submission, 0)

    def open_occurrences(self, submission: work.Submission):
        """Opens the occurrences of a scheduled submission that are due."""
        record = submission.record
        now_ms = time.time() * 1000
        for occurrence in range(record.occurrences):
            if record.start_ms + occurrence * record.interval_ms > now_ms:
                break
            if f"{occurrence}.0" not in submission.steps:
                self._open(submission, occurrence)

    def _open(self, submission: work.Submission, occurrence: int):
        now = clock.read_clock()
        for step in submission.add_occurrence(occurrence, now):
            if not step.is_done and submission.is_ready(step):
                self.make_ready(step)
        if submission.is_complete():
            self.end_submission(submission, submissions.COMPLETED)

    def make_ready(self, step: work.Step):
        """Lets the tasks of a step be placed."""
        if step.ready_since is None:
            step.ready_since = clock.read_clock()
        self.ready_steps[step] = None
        self.request_schedule()

    def cancel(self, submission: work.Submission):
        """Ends a submission that its caller has cancelled."""
        submission.record.cancelled = True
        if submission.is_active:
            self.end_submission(submission, submissions.CANCELLED)

    def end_submission(self, submission: work.Submission, state: str):
        """Ends a submission and stops what it still runs."""
        submission.progress.state = state
        submission.progress.ended_ms = int(time.time() * 1000)
        self.timed.pop(submission.id, None)
        for step in submission.steps.values():
            self.ready_steps.pop(step, None)
            self.next_steps.pop(step, None)
        self.mark_dirty(submission)
        self.node.metrics.count(f'submissions_ended{{state="{state}"}}')
        self.node.log.write(
            "submission_ended",
            id=submission.id,
            queue=submission.record.queue,
            state=state,
            age_s=clock.read_clock() - submission.known_since,
        )
        for run in submission.list_runs():
            run.requeue = False
            self.on_stop(run, state)

    def count_waiting(self, queue: str) -> int:
        """Returns the accepted submissions of a queue that haven't begun."""
        return sum(
            1
            for submission in self.submissions.values()
            if submission.is_active
            and not submission.has_started
            and submission.record.queue == queue
            and not submission.record.occurrences
        )

    # Runs.

    def create_run(self, task: work.Task, worker: fleet.Worker) -> work.Run:
        """Takes room for a new run of a task."""
        if task.step.spec.gang:
            number = task.last_number
        else:
            number = self.next_number(task)
        run = work.Run(
            task, number, worker, work.Phase.STARTING, clock.read_clock()
        )
        task.last_number = number
        task.wants_copy = False
        task.is_accounted = True
        task.runs.append(run)
        worker.add_run(run)
        return run

    def request_copy(self, task: work.Task):
        """Has a copy of a task placed beside the run that it has."""
        if task.wants_copy:
            return
        task.wants_copy = True
        self.ready_steps[task.step] = None
        self.request_schedule()
        self.node.log.write(
            "copy_wanted",
            task=task.name,
            worker=task.runs[0].worker.id,
            age_s=clock.read_clock() - task.runs[0].sent_at,
        )

    def next_number(self, task: work.Task) -> int:
        """Returns the next run number of a task."""
        return max(task.last_number, self.fence * RUNS_PER_FENCE) + 1

    def adopt_run(
        self, task: work.Task, number: int, worker: fleet.Worker, now: float
    ) -> work.Run:
        """Takes over a run that a worker lists."""
        run = work.Run(
            task, number, worker, work.Phase.RUNNING, now, settled_at=now
        )
        task.last_number = max(task.last_number, number)
        task.is_accounted = True
        task.runs.append(run)
        worker.add_run(run)
        task.step.submission.has_started = True
        return run

    def remove_run(self, run: work.Run, how: str, saved: str):
        """Frees the room of a run that is over and goes on from its end.

        Args:
          run: the run.
          how: done, failed, stopped, lapsed, broken or alone as the worker
            says; lost if it is gone without a word; void if it never ran.
          saved: its newest checkpoint, or empty.
        """
        task = run.task
        run.worker.remove_run(run)
        if run in task.runs:
            task.runs.remove(run)
        self.node.metrics.count(f'runs_ended{{how="{how}"}}')
        self.node.log.write(
            "run_ended",
            task=task.name,
            run=run.number,
            worker=run.worker.id,
            how=how,
            age_s=clock.read_clock() - run.sent_at,
            failures=len(task.failures),
            free_cpu=run.worker.free_cpu,
            free_mb=run.worker.free_memory_mb,
            free_gpu=run.worker.free_gpu,
        )
        self.endings.note_health(run, how)
        self.endings.take_end(task, run.number, how, saved, run.worker)

    def forget_if_over(self, submission: work.Submission):
        """Drops the details of an ended submission without runs."""
        if submission.steps and not submission.list_runs():
            submission.forget_details()

    def note_stored(self, submission: work.Submission, state: str, now: float):
        """Takes note that the store holds the progress of a submission."""
        submission.stored_state = state
        if state != submissions.ACTIVE and submission.stored_at is None:
            submission.stored_at = now
            self.forget_if_over(submission)
