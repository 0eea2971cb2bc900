"""Runs the tasks of a shard's jobs."""

import dataclasses

from absl import logging
from returns import result

from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import jobs
from persimmonpath import policies
from persimmonpath import work
from persimmonpath import workers

START_TIMEOUT_S = 3.0
START_WITHIN_S = 2.0


@dataclasses.dataclass(slots=True)
class _Task:
    attempt: int = 0
    worker: str = ""
    is_started: bool = False


@dataclasses.dataclass(slots=True)
class _Entry:
    record: jobs.JobRecord
    version: int
    job: work.Job
    tasks: list[_Task]
    is_changed: bool = False


class JobRunner:
    """Starts the tasks of a shard's jobs and commits their progress."""

    def __init__(
        self,
        shard: identifiers.ShardId,
        shard_fleet: fleet.Fleet,
        store: jobs.JobStore,
    ):
        """Creates a runner that knows no job.

        Args:
            shard: The shard.
            shard_fleet: Workers of the shard.
            store: Job rows.
        """
        self._shard = shard
        self._fleet = shard_fleet
        self._store = store
        self._entries: dict[str, _Entry] = {}
        # Records of tasks whose job has not been read yet.
        self._early: dict[str, list[tuple[str, workers.AttemptRecord]]] = {}
        shard_fleet.subscribe(self._take_record, self.drive)

    def poll(self) -> None:
        """Takes in new jobs, commits progress and starts tasks."""
        reply = self._store.list_unfinished(self._shard)
        if isinstance(reply, result.Failure):
            logging.warning("event=job_poll_failed shard=%s", self._shard)
            return
        for job_id in reply.unwrap():
            self._refresh(job_id)
        self._commit()
        self.drive()

    def drive(self) -> None:
        """Starts whatever fits now, unless tasks may run unlisted."""
        if self._fleet.may_run_unlisted():
            return
        for entry in list(self._entries.values()):
            if entry.record.state is jobs.JobState.ACCEPTED:
                self._start_job(entry)

    def _refresh(self, job_id: str) -> None:
        found = self._store.read(job_id)
        if isinstance(found, result.Failure) or found.unwrap() is None:
            return
        record, version = found.unwrap()
        with self._fleet.lock:
            known = self._entries.get(job_id)
            if known is None:
                job = jobs.read_job(record)
                tasks = [_Task(p.attempts) for p in record.tasks]
                self._entries[job_id] = _Entry(record, version, job, tasks)
                for name, early in self._early.pop(job_id, []):
                    self._take_record(name, early)
            elif version != known.version:
                known.version = version
                known.record = dataclasses.replace(
                    known.record, state=record.state
                )
            entry = self._entries[job_id]
            is_cancelling = entry.record.state is jobs.JobState.CANCELLING
        if is_cancelling:
            self._stop_tasks(entry)

    def _start_job(self, entry: _Entry) -> None:
        with self._fleet.lock:
            indices = [
                index
                for index, task in enumerate(entry.tasks)
                if not task.worker
                and entry.record.tasks[index].state is jobs.TaskState.WAITING
            ]
            placed = []
            for index in indices:
                if not self._reserve(entry, index):
                    break
                placed.append(index)
            is_partial = len(placed) < len(indices)
            if is_partial and policies.starts_together(entry.job):
                for index in placed:
                    self._unreserve(entry, index)
                placed = []
        for index in placed:
            self._start(entry, index)

    def _reserve(self, entry: _Entry, index: int) -> bool:
        task = entry.tasks[index]
        attempt = self._format_attempt(entry, index, task.attempt + 1)
        name = self._fleet.reserve(attempt, entry.job.size)
        if name is None:
            return False
        task.attempt += 1
        task.worker = name
        return True

    def _unreserve(self, entry: _Entry, index: int) -> None:
        task = entry.tasks[index]
        attempt = self._format_attempt(entry, index, task.attempt)
        self._fleet.release(task.worker, attempt)
        task.attempt -= 1
        task.worker = ""

    def _start(self, entry: _Entry, index: int) -> None:
        task = entry.tasks[index]
        start = workers.StartTask(
            attempt=self._format_attempt(entry, index, task.attempt),
            epoch=self._fleet.epoch,
            start_within_s=START_WITHIN_S,
            size=entry.job.size,
            payload=entry.job.payload,
            digest=entry.record.digest,
            kind=entry.job.kind,
        )
        name = task.worker
        client = self._fleet.get_client(name)
        future = client.start(start, False, START_TIMEOUT_S)
        future.add_done_callback(
            lambda f: self._take_reply(entry, index, name, f.result())
        )

    def _take_reply(
        self, entry: _Entry, index: int, name: str, reply: result.Result
    ) -> None:
        task = entry.tasks[index]
        if isinstance(reply, result.Success):
            task.is_started = True
            return
        error = reply.failure()
        is_certain = isinstance(
            error, errors.StartRefusedError | errors.WorkerNotContactedError
        )
        if is_certain:
            with self._fleet.lock:
                attempt = self._format_attempt(entry, index, task.attempt)
                self._fleet.release(name, attempt)
                task.worker = ""

    def _take_record(self, name: str, record: workers.AttemptRecord) -> None:
        task_id, number = identifiers.split_attempt(record.attempt)
        job_id, _, index_text = task_id.partition("/")
        if not index_text:
            return
        entry = self._entries.get(job_id)
        if entry is None:
            self._early.setdefault(job_id, []).append((name, record))
            return
        index = int(index_text)
        task = entry.tasks[index]
        if number < task.attempt:
            return
        task.attempt = number
        if record.state is workers.AttemptState.RUNNING:
            task.worker = name
            task.is_started = True
            return
        task.worker = ""
        task.is_started = False
        progress = self._judge(entry, record, entry.record.tasks[index])
        tasks = list(entry.record.tasks)
        tasks[index] = progress
        entry.record = dataclasses.replace(entry.record, tasks=tasks)
        entry.is_changed = True

    def _judge(
        self,
        entry: _Entry,
        record: workers.AttemptRecord,
        progress: jobs.TaskProgress,
    ) -> jobs.TaskProgress:
        if entry.record.state is jobs.JobState.CANCELLING:
            return dataclasses.replace(progress, state=jobs.TaskState.CANCELLED)
        if policies.restarts_on_end(entry.job):
            return progress
        if record.state is workers.AttemptState.SUCCEEDED:
            return dataclasses.replace(progress, state=jobs.TaskState.DONE)
        if record.state is not workers.AttemptState.FAILED:
            return progress
        attempts = progress.attempts + 1
        state = jobs.TaskState.WAITING
        if attempts >= entry.job.max_attempts:
            state = jobs.TaskState.FAILED
        return dataclasses.replace(
            progress, state=state, attempts=attempts, reason=record.reason
        )

    def _stop_tasks(self, entry: _Entry) -> None:
        with self._fleet.lock:
            tasks = list(entry.record.tasks)
            running = []
            for index, task in enumerate(entry.tasks):
                if task.worker:
                    running.append((index, task.worker, task.attempt))
                elif tasks[index].state is jobs.TaskState.WAITING:
                    tasks[index] = dataclasses.replace(
                        tasks[index], state=jobs.TaskState.CANCELLED
                    )
                    entry.is_changed = True
            entry.record = dataclasses.replace(entry.record, tasks=tasks)
        for index, name, number in running:
            self._fleet.get_client(name).control(
                self._format_attempt(entry, index, number),
                workers.Action.STOP,
                self._fleet.epoch,
                START_TIMEOUT_S,
            )

    def _commit(self) -> None:
        for job_id, entry in list(self._entries.items()):
            with self._fleet.lock:
                if not entry.is_changed:
                    continue
                record = dataclasses.replace(
                    entry.record, state=_summarize(entry.record)
                )
                entry.is_changed = False
            reply = self._store.update(record, entry.version)
            if isinstance(reply, result.Failure):
                entry.is_changed = True
                continue
            entry.version = reply.unwrap()
            entry.record = dataclasses.replace(entry.record, state=record.state)
            if record.state in jobs.FINAL_STATES:
                del self._entries[job_id]

    def _format_attempt(self, entry: _Entry, index: int, number: int) -> str:
        return identifiers.format_attempt(f"{entry.job.id}/{index}", number)


def _summarize(record: jobs.JobRecord) -> jobs.JobState:
    states = {task.state for task in record.tasks}
    if jobs.TaskState.WAITING in states:
        return record.state
    if record.state is jobs.JobState.CANCELLING:
        return jobs.JobState.CANCELLED
    if jobs.TaskState.FAILED in states:
        return jobs.JobState.FAILED
    return jobs.JobState.DONE
