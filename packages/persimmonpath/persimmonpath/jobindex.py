"""In-memory indexes of the unfinished jobs of a shard."""

import sortedcontainers

from persimmonpath import jobs
from persimmonpath import progress
from persimmonpath import workers

# Maximum number of attempt records kept until the jobs have been read. A worker
# with records beyond this limit is listed again once they have been.
MAX_EARLY_RECORDS = 20_000


class JobIndex:
    """Indexes the unfinished jobs of a shard.

    Every access needs the fleet's lock.

    Attributes:
        entries: Every unfinished job by id; bounded by the jobs of the shard.
        waiting: Jobs with tasks that wait to be started, ordered by rank.
        changed: Ids of jobs with changes that are not committed, in order.
        held: Job and task index by attempt id, for every task that has a
            reservation on a worker.
        early_records: Worker names and attempt records that arrived before the
            jobs were read.
        is_loaded: Whether every unfinished job has been read.
        overflowed_workers: Workers whose early records were dropped.
    """

    def __init__(self):
        """Creates an empty index."""
        self.entries: dict[str, progress.JobEntry] = {}
        self.waiting = sortedcontainers.SortedDict()
        self.changed: dict[str, None] = {}
        self.held: dict[str, tuple[progress.JobEntry, int]] = {}
        self.early_records: list[tuple[str, workers.AttemptRecord]] = []
        self.is_loaded = False
        self.overflowed_workers: set[str] = set()
        self._next_order = 0

    def add(
        self, record: jobs.JobRecord, version: int, now: float
    ) -> progress.JobEntry:
        """Adds a job that was read from its row.

        Args:
            record: Content of the row.
            version: Version of the row.
            now: Monotonic seconds.
        """
        entry = progress.create_entry(record, version, self._next_order, now)
        self._next_order += 1
        self.entries[entry.id] = entry
        self.update(entry)
        return entry

    def remove(self, entry: progress.JobEntry) -> None:
        """Removes a job from every index."""
        self.entries.pop(entry.id, None)
        self.waiting.pop(entry.rank, None)
        self.changed.pop(entry.id, None)
        for index in range(len(entry.tasks)):
            self.held.pop(entry.format_attempt(index), None)

    def update(self, entry: progress.JobEntry) -> None:
        """Updates the indexes after a job has changed."""
        if entry.id not in self.entries:
            return
        if entry.idle and entry.record.state is jobs.JobState.ACCEPTED:
            self.waiting[entry.rank] = entry
        else:
            self.waiting.pop(entry.rank, None)
        if entry.is_changed:
            self.changed[entry.id] = None

    def assign(
        self,
        entry: progress.JobEntry,
        index: int,
        name: str,
        phase: progress.Phase,
    ) -> None:
        """Records that a task's last attempt has a reservation on a worker.

        Args:
            entry: The job.
            index: Index of the task.
            name: Name of the worker.
            phase: Phase of the attempt.
        """
        task = entry.tasks[index]
        task.worker = name
        task.phase = phase
        entry.idle.discard(index)
        self.held[entry.format_attempt(index)] = (entry, index)

    def unassign(self, entry: progress.JobEntry, index: int) -> None:
        """Records that a task's last attempt has no reservation."""
        self.held.pop(entry.format_attempt(index), None)
        entry.set_idle(index)
        self.update(entry)

    def add_early_record(
        self, name: str, record: workers.AttemptRecord
    ) -> None:
        """Keeps a worker's record until the jobs have been read."""
        if len(self.early_records) >= MAX_EARLY_RECORDS:
            self.overflowed_workers.add(name)
        else:
            self.early_records.append((name, record))
