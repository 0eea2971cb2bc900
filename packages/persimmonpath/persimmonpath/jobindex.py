"""The unfinished jobs of a shard and their indexes."""

import sortedcontainers

from persimmonpath import jobs
from persimmonpath import progress
from persimmonpath import workers

# Records of tasks whose job has not been read; a worker whose records exceed
# this is listed again after the jobs were read.
MAX_EARLY_RECORDS = 20_000


class JobIndex:
    """The unfinished jobs of a shard; guarded by the fleet's lock.

    Attributes:
        entries: Every unfinished job by id; as many as the shard has.
        waiting: Jobs with tasks to be started, by rank.
        changed: Ids of jobs whose row is out of date.
        held: Task by attempt, of every task that is not idle.
        early: Records that came before the jobs were read.
        is_loaded: Whether every unfinished job has been read.
        overflowed: Workers of which early records were dropped.
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
        """Adds a job as read from its row."""
        entry = progress.create_entry(record, version, self._next_order, now)
        self._next_order += 1
        self.entries[entry.id] = entry
        self.update(entry)
        return entry

    def remove(self, entry: progress.JobEntry) -> None:
        """Removes a job."""
        self.entries.pop(entry.id, None)
        self.waiting.pop(entry.rank, None)
        self.changed.pop(entry.id, None)
        for index in range(len(entry.tasks)):
            self.held.pop(entry.format_attempt(index), None)

    def update(self, entry: progress.JobEntry) -> None:
        """Brings the indexes up to date after a job has changed."""
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
        """Notes that a task's last attempt has a reservation on a worker."""
        task = entry.tasks[index]
        task.worker = name
        task.phase = phase
        entry.idle.discard(index)
        self.held[entry.format_attempt(index)] = (entry, index)

    def unassign(self, entry: progress.JobEntry, index: int) -> None:
        """Notes that a task's last attempt holds nothing."""
        self.held.pop(entry.format_attempt(index), None)
        entry.set_idle(index)
        self.update(entry)

    def add_early_record(
        self, name: str, record: workers.AttemptRecord
    ) -> None:
        """Keeps a record until the jobs have been read."""
        if len(self.early_records) >= MAX_EARLY_RECORDS:
            self.overflowed_workers.add(name)
        else:
            self.early_records.append((name, record))
