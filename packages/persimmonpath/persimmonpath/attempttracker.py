"""Updates the tasks of a shard from the attempt records of its workers."""

import dataclasses

from absl import logging

from persimmonpath import attemptcontroller
from persimmonpath import identifiers
from persimmonpath import jobindex
from persimmonpath import jobs
from persimmonpath import policies
from persimmonpath import progress
from persimmonpath import starter
from persimmonpath import timers
from persimmonpath import workers

# Delay in seconds before a job starts tasks again after the first failure of a
# task; each further failure of the task doubles it, up to the maximum.
FAILURE_BACKOFF_S = 0.5
MAX_FAILURE_BACKOFF_S = 60.0


class AttemptTracker:
    """Records running attempts and handles those that have ended."""

    def __init__(
        self,
        job_index: jobindex.JobIndex,
        attempt_controller: attemptcontroller.AttemptController,
        task_starter: starter.TaskStarter,
        timer_service: timers.TimerService,
    ):
        """Creates a tracker.

        Args:
            job_index: Unfinished jobs of the shard.
            attempt_controller: Stops attempts that must not run.
            task_starter: Starts tasks.
            timer_service: Source of time.
        """
        self._job_index = job_index
        self._attempt_controller = attempt_controller
        self._starter = task_starter
        self._timers = timer_service

    def apply_record(self, name: str, record: workers.AttemptRecord) -> None:
        """Applies a worker's record of an attempt; needs the fleet's lock.

        Records of requests are ignored. A running attempt of an unknown job is
        stopped.

        Args:
            name: Name of the worker.
            record: The record.
        """
        task_id, number = identifiers.split_attempt(record.attempt)
        job_id, _, index_text = task_id.partition("/")
        if not index_text:
            return
        if not self._job_index.is_loaded:
            self._job_index.add_early_record(name, record)
            return
        is_running = record.state is workers.AttemptState.RUNNING
        if not is_running:
            self._attempt_controller.forget(record.attempt)
        entry = self._job_index.entries.get(job_id)
        if entry is None or int(index_text) >= len(entry.tasks):
            if is_running:
                self._attempt_controller.stop(name, record.attempt)
            return
        index = int(index_text)
        if is_running:
            self._adopt_attempt(entry, index, name, number, record)
        else:
            self._handle_end(entry, index, number, record)
        self._job_index.update(entry)

    def _adopt_attempt(
        self,
        entry: progress.JobEntry,
        index: int,
        name: str,
        number: int,
        record: workers.AttemptRecord,
    ) -> None:
        task = entry.tasks[index]
        state = entry.record.tasks[index].state
        is_superseded = number < task.number or (
            task.worker and number != task.number
        )
        if is_superseded or state in jobs.FINAL_TASK_STATES:
            logging.warning("event=attempt_unwanted attempt=%s", record.attempt)
            self._attempt_controller.stop(name, record.attempt)
            return
        task.number = number
        self._job_index.assign(entry, index, name, progress.Phase.RUNNING)
        entry.set_progress(
            index,
            dataclasses.replace(
                entry.record.tasks[index],
                state=jobs.TaskState.RUNNING,
                worker=name,
            ),
        )
        if entry.is_cancelling:
            self._attempt_controller.stop(name, record.attempt)

    def _handle_end(
        self,
        entry: progress.JobEntry,
        index: int,
        number: int,
        record: workers.AttemptRecord,
    ) -> None:
        task = entry.tasks[index]
        committed = entry.record.tasks[index]
        is_final = committed.state in jobs.FINAL_TASK_STATES
        is_current = number == task.number
        if number <= committed.last_attempt or is_final:
            if is_current and task.worker:
                self._job_index.unassign(entry, index)
            return
        if not is_current and task.worker:
            # An earlier attempt; it only matters if it completed the task.
            if record.state is workers.AttemptState.SUCCEEDED:
                entry.set_progress(
                    index,
                    progress.compute_progress(entry, index, number, record),
                )
                self._stop_if_done(entry, index)
            return
        name, was_preempted = task.worker, task.is_preempted
        task.number = max(task.number, number)
        entry.set_progress(
            index, progress.compute_progress(entry, index, number, record)
        )
        self._job_index.unassign(entry, index)
        if record.state is workers.AttemptState.FAILED:
            self._record_failure(entry, index, name)
        is_waiting = entry.record.tasks[index].state is jobs.TaskState.WAITING
        if is_waiting and policies.starts_together(entry.job):
            self._starter.stop_gang(entry)
        if was_preempted:
            self._starter.reserve_urgent()

    def _stop_if_done(self, entry: progress.JobEntry, index: int) -> None:
        task = entry.tasks[index]
        state = entry.record.tasks[index].state
        if state is jobs.TaskState.DONE and task.worker:
            self._attempt_controller.stop(
                task.worker, entry.format_attempt(index)
            )

    def _record_failure(
        self, entry: progress.JobEntry, index: int, name: str
    ) -> None:
        task = entry.tasks[index]
        if name and name not in task.failed_on:
            task.failed_on = (name, *task.failed_on)[
                : progress.MAX_AVOIDED_WORKERS
            ]
        attempts = entry.record.tasks[index].attempts
        backoff_s = min(
            FAILURE_BACKOFF_S * 2 ** min(attempts - 1, 10),
            MAX_FAILURE_BACKOFF_S,
        )
        entry.retry_at = self._timers.now() + backoff_s
