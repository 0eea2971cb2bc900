"""Effects of run ends on tasks, submissions and worker health."""

from persimmonpath_entry.decisions import health
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock

# A worker with this many consecutive failures gets no runs for QUARANTINE_S
# seconds.
QUARANTINE_FAILURES = 3
QUARANTINE_S = 4.0
# Weight of the newest run in the exponential moving average of a queue's run
# durations.
DURATION_WEIGHT = 0.03


class RunEndHandler:
    """Applies the ends of a shard's runs."""

    def __init__(self, shard):
        self._shard = shard
        self._node = shard.node
        # Exponential moving average of the run duration in seconds, by queue.
        self._durations: dict[str, float] = {}

    def find_typical_duration(self, queue: str) -> float | None:
        """Returns the typical run duration of a queue in seconds, or None.

        It stands in for kinds of work of which too few runs have ended.
        """
        return self._durations.get(queue)

    def update_worker_health(self, run: execution.Run, how: str):
        """Updates the failure count and the speed of a worker from a run end.

        Args:
          run: the run that has ended.
          how: how it ended, as in Shard.remove_run.
        """
        worker = run.worker
        if how == "done" and run.spec.long_running:
            # It lasts until it is cancelled: its end shows neither a success
            # nor how long runs of its queue take.
            return
        if how == "done":
            worker.recent_failures = 0
            self._update_typical_duration(run)
        elif how == "failed":
            worker.recent_failures += 1
            if worker.recent_failures >= QUARANTINE_FAILURES:
                worker.excluded_until = clock.read_clock() + QUARANTINE_S
                self._node.log.warn(
                    "worker_quarantined",
                    worker=worker.id,
                    failures=worker.recent_failures,
                    for_s=QUARANTINE_S,
                )

    def _update_typical_duration(self, run: execution.Run):
        if run.spec.is_filler or run.confirmed_at is None:
            return
        now = clock.read_clock()
        queue = run.task.step.submission.record.queue
        expected_s = self._shard.learner.predict_run_s(run.task.step)
        ratio = self._shard.learner.observe(run)
        duration_s = max(0.01, now - run.sent_at)
        typical_s = self._durations.get(queue)
        if typical_s is None:
            self._durations[queue] = duration_s
            return
        if expected_s is None:
            ratio = duration_s / typical_s
        if ratio is not None:
            health.record_duration(worker=run.worker, ratio=ratio, now=now)
        self._durations[queue] += DURATION_WEIGHT * (duration_s - typical_s)

    def handle_run_end(
        self,
        task: execution.Task,
        number: int,
        how: str,
        saved: str,
        worker: fleet.Worker,
    ):
        """Applies a run end to its task and submission.

        Nothing happens if the task is already done. A failed run is counted
        once, even if its end is listed again. A long-running task is never
        done: it waits for its next run however the last one has ended.

        Args:
          task: the task.
          number: the number of the run.
          how: how the run ended, as in Shard.remove_run.
          saved: the newest checkpoint of the run, or empty.
          worker: the worker of the run.
        """
        submission = task.step.submission
        if not submission.is_active:
            if submission.stored_at is not None:
                self._shard.forget_details_if_ended(submission)
            return
        if task.is_done:
            return
        if saved:
            self._record_checkpoint(task, saved)
        if how == "done" and not task.step.spec.long_running:
            self._complete_task(task, number)
        elif how == "failed":
            self._record_failure(task, number, worker)
        if submission.is_active and not task.is_done:
            self._requeue(task, number)

    def _record_checkpoint(self, task: execution.Task, saved: str):
        task.saved = saved
        tasks = task.step.tasks if task.step.spec.gang else [task]
        for member in tasks:
            task.step.submission.progress.saved[member.key] = saved

    def _expect_ends(self, step: execution.Step, number: int):
        """Marks the other members of a gang that is done as about to end."""
        now = clock.read_clock()
        for member in step.tasks:
            for run in member.runs:
                run.requeue = False
                if run.number == number:
                    run.done_at = now

    def _complete_task(self, task: execution.Task, number: int):
        step = task.step
        submission = step.submission
        tasks = step.tasks if step.spec.gang else [task]
        for member in tasks:
            if not member.is_done:
                submission.mark_done(member)
        self._shard.mark_dirty(submission)
        if step.spec.gang:
            self._expect_ends(step, number)
        else:
            for run in list(task.runs):
                run.requeue = False
                self._shard.stop_run(run, "copy_done")
        if not step.is_done:
            return
        self._shard.ready_steps.discard(step)
        may_have_copies = any(
            spec.allow_copies for spec in submission.record.steps
        )
        for dependent in submission.list_occurrence_steps(step.occurrence):
            if step.number not in dependent.spec.after or dependent.is_done:
                continue
            if submission.is_ready(dependent):
                # A speculative copy may finish a task that had long ended on
                # another worker. A former owner that saw that end may have
                # started the dependent step already.
                dependent.became_ready_here = (
                    task.is_accounted and not may_have_copies
                )
                self._shard.make_ready(dependent)
        self._shard.occurrence_opener.close_if_done(submission, step.occurrence)

    def _record_failure(
        self, task: execution.Task, number: int, worker: fleet.Worker
    ):
        step = task.step
        submission = step.submission
        task.avoided.add(worker.id)
        if step.spec.long_running:
            return
        numbers = submission.progress.failures.setdefault(task.failure_key, [])
        if number in numbers:
            return
        numbers.append(number)
        failures = len(numbers)
        self._shard.mark_dirty(submission)
        if failures >= self._shard.find_queue(submission).max_attempts:
            self._node.log.warn(
                "attempts_used_up",
                id=submission.id,
                task=task.name,
                run=number,
                failures=failures,
                worker=worker.id,
            )
            self._shard.end_submission(submission, submissions.FAILED)

    def _requeue(self, task: execution.Task, number: int):
        step = task.step
        task.waiting_since = clock.read_clock()
        if step.spec.gang:
            for member in step.tasks:
                for run in list(member.runs):
                    if run.number <= number:
                        self._shard.stop_run(run, "gang_broken")
        if step.ready_since is not None:
            self._shard.ready_steps.add(step)
        self._shard.request_schedule()
