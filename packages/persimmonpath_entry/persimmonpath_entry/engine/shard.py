"""State of one service at its owner: its submissions, workers and runs."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
import time

from persimmonpath_entry.decisions import readysteps
from persimmonpath_entry.decisions import workerpool
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import fairshares
from persimmonpath_entry.engine import formerruns
from persimmonpath_entry.engine import learning
from persimmonpath_entry.engine import occurrences
from persimmonpath_entry.engine import runends
from persimmonpath_entry.engine import tenantusage
from persimmonpath_entry.engine import workerregistry
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock

# The run numbers of an owner begin above its fencing token times this value.
# They thus increase from owner to owner without a store write for each start.
RUN_NUMBERS_PER_FENCE = 1000


class Shard:
    """Owner state of one service and the transitions that events cause in it.

    Attributes:
      node: the context shared by the parts of the process.
      service: the name of the service.
      fence: the fencing token of this owner.
      submissions: the known submissions by id.
      workers: the known workers by id.
      clients: the clients of the workers by worker id.
      former_runs: which runs of former owners aren't known yet.
      submissions_read_at: when the last complete read of the submissions began,
        on the monotonic clock.
      former_horizon: newest submission version of which former owners may
        have started tasks, None if unknown.
      newest_version: newest submission version that this owner has seen.
      stored_horizon: the horizon that the store holds. Tasks of a submission
        start only once its version is within it, so that the next owner knows
        which submissions can't have running tasks.
      frozen_leases: ids of workers whose leases run out according to the
        stored owner row; none of these leases is extended.
      pool: the workers that may get tasks, as of the last scheduling pass.
      ready_steps: steps whose dependencies are done and that may have tasks to
        place.
      next_steps: steps that may become ready soon, for which tickets are
        requested in advance.
      dirty: submissions whose progress has to be stored, by id.
      recurring: active submissions with a schedule of occurrences, by id.
      occurrence_opener: opens and closes the occurrences of submissions.
      learner: learns run times and speeds of workers from the ends of runs.
      run_end_handler: applies the ends of runs.
      worker_registry: applies changes of the set of workers.
      tenant_usage: what the tenants use and may use of their limits.
      fair_shares: what its tenants have, sent and wait for.
      has_read_workers: whether the table of the workers has been read.
      is_open: whether this process still acts as the owner.
      is_leaving: whether the owner is about to release the service.
      opened_at: when the shard was opened, on the monotonic clock.
      is_loaded: whether the stored submissions have been read.
      lease_until: end of the time in which runs may be started.
      extend_leases_until: end of the time in which worker leases may be
        extended.
      store_requested: set to have the owner row and progress stored soon.
      schedule_requested: set to have waiting tasks placed soon.
      is_pass_requested: whether all waiting steps are to be planned anew.
      changed_steps: steps to be planned before the next pass over all steps.
      stop_run: callback that stops a run, given the run and a reason.
      on_worker_added: callback for a worker that was added.
      on_worker_restarted: callback for a worker that has restarted.
      on_run_removed: callback for a run that no longer uses capacity, or None.
      refresh_submission: coroutine function that brings a submission up to
        date before its state is shown.
      queues: last known configuration of each queue in use, by name.
      waits: expected waits of new tasks in seconds, by the priority of their
        queue.
    """

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
        self.submissions: dict[str, execution.Submission] = {}
        self.workers: dict[str, fleet.Worker] = {}
        self.clients: dict[str, worker_calls.WorkerClient] = {}
        self.former_runs = formerruns.FormerRuns(unsettled)
        self.submissions_read_at = 0.0
        self.former_horizon: int | None = 0
        self.newest_version = 0
        self.stored_horizon = 0
        self.frozen_leases: set[str] = set()
        self.pool = workerpool.WorkerPool()
        self.ready_steps = readysteps.ReadySteps()
        self.next_steps: dict[execution.Step, None] = {}
        self.dirty: dict[str, execution.Submission] = {}
        self.recurring: dict[str, execution.Submission] = {}
        self.occurrence_opener = occurrences.OccurrenceOpener(self)
        self.learner = learning.RunLearner(self)
        self.run_end_handler = runends.RunEndHandler(self)
        self.worker_registry = workerregistry.WorkerRegistry(self)
        self.tenant_usage = tenantusage.TenantUsage(self)
        self.fair_shares = fairshares.FairShares(self)
        self.has_read_workers = False
        self.is_open = True
        self.is_leaving = False
        self.opened_at = clock.read_clock()
        self.is_loaded = False
        self.lease_until = 0.0
        self.extend_leases_until = 0.0
        self.store_requested = asyncio.Event()
        self.schedule_requested = asyncio.Event()
        self.is_pass_requested = False
        self.changed_steps: dict[execution.Step, None] = {}
        self.stop_run = None
        self.on_worker_added = None
        self.on_worker_restarted = None
        self.on_run_removed = None
        self.refresh_submission = None
        self.queues: dict[str, configuration.Queue] = {}
        self.waits: dict[int, float] = {}
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
                **context.describe_error(error),
            )

    def close(self, reason: str):
        """Gives up ownership and cancels all tasks of the shard.

        No run is started and no lease extended afterwards.

        Args:
          reason: why the ownership ended, for the log.
        """
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
        """Returns whether the ownership lease allows runs to be started."""
        if self.is_leaving or not self.is_loaded:
            return False
        return self.is_open and now < self.lease_until

    def may_extend_leases(self, now: float) -> bool:
        """Returns whether the leases of workers may be extended."""
        return self.is_open and now < self.extend_leases_until

    def find_queue(
        self, submission: execution.Submission
    ) -> configuration.Queue:
        """Returns the queue of a submission.

        A queue that was removed from the configuration keeps the settings that
        this owner has last seen, else those that are stored with the
        submission.
        """
        name = submission.record.queue
        queue = self.node.find_queue(name)
        if queue is not None:
            self.queues[name] = queue
            return queue
        last_known = self.queues.get(name)
        if last_known is not None:
            return last_known
        return configuration.make_removed_queue(submission.record)

    def extend_horizon(self, version: int):
        """Records the horizon that the store holds for this owner."""
        if version > self.stored_horizon:
            self.stored_horizon = version
            self.request_schedule()

    def is_within_horizon(self, submission: execution.Submission) -> bool:
        """Returns whether the stored horizon covers a submission."""
        return submission.version <= self.stored_horizon

    def request_schedule(self):
        """Requests a scheduling pass over all waiting steps."""
        self.is_pass_requested = True
        self.schedule_requested.set()

    def request_placement(self, step: execution.Step):
        """Requests that one step is planned, without a pass over all."""
        self.changed_steps[step] = None
        self.schedule_requested.set()

    def mark_dirty(self, submission: execution.Submission):
        """Marks the progress of a submission to be stored soon."""
        self.dirty[submission.id] = submission
        self.store_requested.set()

    # Submissions.

    def may_run_elsewhere(self, task: execution.Task) -> bool:
        """Returns whether a former owner's run of a task isn't accounted for.

        It may go on at a worker that hasn't answered yet, be listed by one
        whose listing couldn't be applied to the submission, or have ended on
        one that hasn't listed all ends yet.
        """
        step = task.step
        if (
            task.is_accounted
            or step.became_ready_here
            or step.spec.allow_copies
        ):
            return False
        if not step.submission.may_have_former_runs:
            return False
        return self.former_runs.may_include(task.name)

    def apply_submission(
        self,
        submission_id: str,
        record: submissions.SubmissionRecord,
        progress: submissions.ProgressRecord | None = None,
        version: int = 0,
        stored_blocks: Iterable[str] = (),
    ):
        """Adds a stored submission.

        For a known submission only a cancellation is applied.

        Args:
          submission_id: the id of the submission.
          record: the stored submission.
          progress: the stored progress, None if there is none.
          version: the version of the submission's row.
          stored_blocks: keys of the rows of its progress beside the first one.
        """
        existing = self.submissions.get(submission_id)
        if existing is not None and not existing.record.is_tombstone:
            if record.cancelled:
                self.cancel(existing)
            return
        if record.is_tombstone:
            progress = submissions.ProgressRecord(state=submissions.CANCELLED)
        now = clock.read_clock()
        age_s = time.time() - record.accepted_ms / 1000
        if 0 < age_s < occurrences.MAX_SUBMISSION_AGE_S and not self.is_loaded:
            now -= age_s
        submission = execution.Submission(
            submission_id,
            record,
            progress,
            self.former_horizon is None or version <= self.former_horizon,
            now,
            version,
        )
        submission.stored_blocks = dict.fromkeys(stored_blocks, 0)
        self.submissions[submission_id] = submission
        self.fair_shares.record_submission(submission_id, record)
        if version > self.newest_version:
            self.newest_version = version
            if version > self.stored_horizon:
                self.store_requested.set()
        if not submission.is_active:
            submission.stored_at = clock.read_clock()
            submission.forget_details()
            return
        if record.cancelled:
            self.end_submission(submission, submissions.CANCELLED)
            return
        submission.open_limit = submissions.count_open_limit(
            record, self.node.max_row_bytes
        )
        if record.occurrences:
            self.recurring[submission_id] = submission
            self.occurrence_opener.open_due(submission)
        else:
            self.occurrence_opener.open(submission, 0)

    def make_ready(self, step: execution.Step):
        """Marks a step as ready, so that its tasks are placed."""
        if step.ready_since is None:
            step.ready_since = clock.read_clock()
        self.ready_steps.add(step)
        self.request_placement(step)

    def cancel(self, submission: execution.Submission):
        """Ends a submission that its client has cancelled."""
        submission.record.cancelled = True
        if submission.is_active:
            self.end_submission(submission, submissions.CANCELLED)

    def end_submission(self, submission: execution.Submission, state: str):
        """Ends a submission and stops its runs.

        Args:
          submission: the submission.
          state: the final state: completed, failed or cancelled.
        """
        submission.progress.state = state
        submission.progress.ended_ms = int(time.time() * 1000)
        self.recurring.pop(submission.id, None)
        for step in submission.steps.values():
            self.ready_steps.discard(step)
            self.next_steps.pop(step, None)
            self.changed_steps.pop(step, None)
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
            if not run.is_ending:
                self.stop_run(run, state)

    def count_waiting(self, queue: str) -> int:
        """Returns the number of active submissions of a queue not yet started.

        Recurring submissions are left out.
        """
        return sum(
            1
            for submission in self.submissions.values()
            if submission.is_active
            and not submission.has_started
            and submission.record.queue == queue
            and not submission.record.occurrences
        )

    # Runs.

    def create_run(
        self, task: execution.Task, worker: fleet.Worker
    ) -> execution.Run:
        """Creates a run of a task and reserves capacity on the worker for it.

        The members of a gang share one run number, set in advance.
        """
        if task.step.spec.gang:
            number = task.last_number
        else:
            number = self.choose_run_number(task)
        run = execution.Run(
            task, number, worker, execution.Phase.STARTING, clock.read_clock()
        )
        run.paced_at = run.sent_at
        run.saved = task.saved
        run.is_resumed = bool(task.saved)
        task.last_number = number
        task.wants_copy = False
        task.is_accounted = True
        task.runs.append(run)
        worker.add_run(run)
        self.tenant_usage.add_run(run)
        self.fair_shares.add_run(run)
        self.pool.update(worker)
        return run

    def request_speculative_copy(self, task: execution.Task):
        """Requests a speculative copy beside the only run of a task."""
        if task.wants_copy:
            return
        task.wants_copy = True
        self.ready_steps.add(task.step)
        self.request_schedule()
        self.node.log.write(
            "copy_wanted",
            task=task.name,
            worker=task.runs[0].worker.id,
            age_s=clock.read_clock() - task.runs[0].sent_at,
        )

    def choose_run_number(self, task: execution.Task) -> int:
        """Returns a number above those of all earlier runs of a task."""
        return max(task.last_number, self.fence * RUN_NUMBERS_PER_FENCE) + 1

    def adopt_run(
        self,
        task: execution.Task,
        number: int,
        worker: fleet.Worker,
        now: float,
    ) -> execution.Run:
        """Adds a run that a worker lists and the shard doesn't know yet."""
        run = execution.Run(
            task, number, worker, execution.Phase.RUNNING, now, confirmed_at=now
        )
        run.paced_percent = None
        task.last_number = max(task.last_number, number)
        task.is_accounted = True
        task.runs.append(run)
        worker.add_run(run)
        self.tenant_usage.add_run(run)
        self.fair_shares.add_run(run)
        self.pool.update(worker)
        return run

    def remove_run(self, run: execution.Run, how: str, saved: str):
        """Releases the capacity of an ended run and applies its end.

        Args:
          run: the run.
          how: how the run ended: done, failed, stopped, lapsed, broken or
            alone as reported by the worker; lost if no end was reported
            because the worker no longer lists it or its leases have expired;
            void if it never ran.
          saved: the newest checkpoint of the run, or empty.
        """
        task = run.task
        if run.worker.remove_run(run):
            self.tenant_usage.remove_run(run)
        self.fair_shares.remove_run(run)
        self.pool.update(run.worker)
        if run in task.runs:
            task.runs.remove(run)
        if self.on_run_removed is not None:
            self.on_run_removed(run)
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
        self.run_end_handler.update_worker_health(run, how)
        self.run_end_handler.handle_run_end(
            task, run.number, how, saved, run.worker
        )

    def forget_details_if_ended(self, submission: execution.Submission):
        """Drops the details of an ended submission once it has no runs."""
        if not submission.list_runs():
            submission.forget_details()

    def record_stored_state(
        self, submission: execution.Submission, state: str, now: float
    ):
        """Records the submission state that the store holds.

        Args:
          submission: the submission.
          state: the stored state.
          now: the monotonic clock, in seconds.
        """
        submission.stored_state = state
        if state != submissions.ACTIVE and submission.stored_at is None:
            submission.stored_at = now
            self.forget_details_if_ended(submission)
