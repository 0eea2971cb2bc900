"""Runs the tasks of a shard's jobs."""

import dataclasses
import threading

from absl import logging
from returns import result

from persimmonpath import attemptcontroller
from persimmonpath import book as book_module
from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import jobs
from persimmonpath import progress
from persimmonpath import rules
from persimmonpath import starter
from persimmonpath import taskrecords
from persimmonpath import workers

# Time between scans of all unfinished jobs, which find what a lost notice and
# the inbox did not tell.
SCAN_PERIOD_S = 30.0
# Time between commits of a job that has not ended.
PROGRESS_PERIOD_S = 1.0
# Inbox rows taken in by one poll; a wave of cancellations must not hold up
# the commits of other jobs.
MAX_INTAKE = 500


class JobRunner:
    """Takes in the jobs of a shard, follows their tasks, commits progress.

    Rows and worker records are all that it needs to carry on after another
    owner: a task that a worker reports as running is adopted.
    """

    def __init__(
        self,
        shard: identifiers.ShardId,
        shard_fleet: fleet.Fleet,
        store: jobs.JobStore,
        policy: rules.Policy | None = None,
    ):
        """Creates a runner that knows no job.

        Args:
            shard: The shard.
            shard_fleet: Workers of the shard.
            store: Job rows.
            policy: Settings of the policies.
        """
        self._shard = shard
        self._fleet = shard_fleet
        self._timers = shard_fleet.timers
        self._store = store
        self._book = book_module.JobBook()
        self._attempt_controller = attemptcontroller.AttemptController(
            shard_fleet, self._take_reply_record
        )
        self._starter = starter.TaskStarter(
            self._book,
            shard_fleet,
            self._attempt_controller,
            policy or rules.Policy(),
        )
        self._tracker = taskrecords.AttemptTracker(
            self._book, self._attempt_controller, self._starter, self._timers
        )
        self._polling = threading.Lock()
        self._is_notified = False

        self._scanned_at = float("-inf")
        # Inbox rows that are being removed, by job; no more than the inbox.
        self._clearing: dict[str, int] = {}
        shard_fleet.subscribe(self._tracker.take_record, self.drive)

    def apply_policy(self, policy: rules.Policy) -> None:
        """Puts settings in force."""
        self._starter.policy = policy

    def notify(self) -> None:
        """Notes that the inbox has something new."""
        self._is_notified = True

    def is_notified(self) -> bool:
        """Returns whether there was a notice since the last poll."""
        return self._is_notified

    def poll_if_notified(self) -> None:
        """Polls if there was a notice since the last poll."""
        if self._is_notified:
            self.poll()

    def poll(self) -> None:
        """Takes in new and cancelled jobs, commits progress, starts tasks."""
        if not self._polling.acquire(blocking=False):
            self._is_notified = True
            return
        try:
            self._is_notified = False
            now = self._timers.now()
            if now >= self._scanned_at + SCAN_PERIOD_S and self._scan_queue():
                self._scanned_at = now
                self.review_fits()
            if self._book.is_loaded:
                self._scan_inbox()
                self._commit_changes()
        finally:
            self._polling.release()
        self.drive()

    def drive(self) -> None:
        """Starts whatever fits now and stops what must end."""
        if self._book.is_loaded and not self._fleet.is_stopped():
            self._starter.drive()
            self._attempt_controller.drive()

    def review_fits(self) -> None:
        """Notes on each waiting job whether any worker can ever run it."""
        with self._fleet.lock:
            for entry in list(self._book.waiting.values()):
                job = entry.job
                entry.set_reason(
                    self._fleet.explain_unfit(job.size, job.kind, job.team)
                )
                self._book.update(entry)

    def count_unfinished(self) -> int:
        """Returns the jobs of the shard that have not ended."""
        return len(self._book.entries)

    def list_records(self) -> list[jobs.JobRecord]:
        """Returns the unfinished jobs as they are now."""
        with self._fleet.lock:
            return [entry.record for entry in self._book.entries.values()]

    def _scan_queue(self) -> bool:
        """Reads every unfinished job that is not known; False if it fails."""
        reply = self._store.list_unfinished(self._shard)
        if isinstance(reply, result.Failure):
            logging.warning("event=job_scan_failed shard=%s", self._shard)
            return False
        for job_id in reply.unwrap():
            if job_id not in self._book.entries and not self._read_job(job_id):
                return False
        if not self._book.is_loaded:
            self._finish_loading()
        return True

    def _read_job(self, job_id: str) -> bool:
        """Takes in a job unless it has ended; False if it cannot be read."""
        found = self._store.read(job_id)
        if isinstance(found, result.Failure):
            return False
        if found.unwrap() is not None:
            record, version = found.unwrap()
            if record.state not in jobs.FINAL_STATES:
                with self._fleet.lock:
                    if job_id not in self._book.entries:
                        self._book.add(record, version, self._timers.now())
        return True

    def _finish_loading(self) -> None:
        with self._fleet.lock:
            self._book.is_loaded = True
            early, self._book.early = self._book.early, []
            overflowed = sorted(self._book.overflowed)
            self._book.overflowed.clear()
            for name, record in early:
                self._tracker.take_record(name, record)
            for entry in self._book.entries.values():
                if entry.is_cancelling:
                    self._cancel(entry)
        for name in overflowed:
            self._fleet.relist(name)
        logging.info(
            "event=jobs_loaded shard=%s jobs=%d",
            self._shard,
            len(self._book.entries),
        )

    def _scan_inbox(self) -> None:
        reply = self._store.list_inbox(self._shard)
        if isinstance(reply, result.Failure):
            logging.warning("event=job_poll_failed shard=%s", self._shard)
            return
        items = [
            i
            for i in reply.unwrap()
            if self._clearing.get(i.job_id) != i.version
        ]
        items.sort(key=lambda i: i.notice is jobs.Notice.CANCELLED)
        if len(items) > MAX_INTAKE:
            self._is_notified = True
        for item in items[:MAX_INTAKE]:
            known = item.job_id in self._book.entries
            if known or self._read_job(item.job_id):
                self._take_notice(item)

    def _take_notice(self, item: jobs.InboxItem) -> None:
        with self._fleet.lock:
            entry = self._book.entries.get(item.job_id)
            if entry is not None and item.notice is jobs.Notice.CANCELLED:
                entry.set_state(jobs.JobState.CANCELLING)
                self._cancel(entry)
                if entry.is_committing:
                    # The notice stays until the cancellation is committed.
                    return
            self._clearing[item.job_id] = item.version
            is_changed = entry is not None and entry.is_changed
        if is_changed and item.notice is jobs.Notice.CANCELLED:
            self._commit(entry, item)
            return
        cleared = self._store.clear_inbox(self._shard, item)
        cleared.add_done_callback(
            lambda f: self._take_cleared(entry, item, f.result())
        )

    def _take_cleared(
        self,
        entry: progress.Entry | None,
        item: jobs.InboxItem,
        reply: result.Result,
    ) -> None:
        with self._fleet.lock:
            self._clearing.pop(item.job_id, None)
            is_first = isinstance(reply, result.Success)
            if entry is not None and is_first:
                # Only one owner can remove the notice of a submission, so no
                # other has started tasks of the job.
                entry.is_inherited = False
            is_waiting = self._fleet.may_run_unlisted()
        if is_waiting:
            self.drive()

    def _cancel(self, entry: progress.Entry) -> None:
        self._starter.give_up(entry)
        for index in sorted(entry.idle):
            entry.set_idle(index)
        for index, task in enumerate(entry.tasks):
            if task.phase is progress.Phase.RUNNING:
                self._attempt_controller.stop(
                    task.worker, entry.format_attempt(index)
                )
        self._book.update(entry)

    def _commit_changes(self) -> None:
        now = self._timers.now()
        with self._fleet.lock:
            due = []
            for job_id in self._book.changed:
                entry = self._book.entries[job_id]
                state = progress.summarize(entry.record)
                is_urgent = state is not jobs.JobState.ACCEPTED
                is_due = now >= entry.committed_at + PROGRESS_PERIOD_S
                if not entry.is_committing and (is_urgent or is_due):
                    due.append(entry)
        for entry in due:
            self._commit(entry, None)

    def _commit(
        self, entry: progress.Entry, notice: jobs.InboxItem | None
    ) -> None:
        with self._fleet.lock:
            if entry.is_committing or not entry.is_changed:
                return
            record = dataclasses.replace(
                entry.record, state=progress.summarize(entry.record)
            )
            entry.is_changed = False
            entry.is_committing = True
            entry.committed_at = self._timers.now()
            self._book.changed.pop(entry.id, None)
            version = entry.version
        is_bulk = record.state in (
            jobs.JobState.CANCELLING,
            jobs.JobState.CANCELLED,
        )
        reply = self._store.update(record, version, is_bulk, notice)
        reply.add_done_callback(
            lambda f: self._take_committed(entry, record, f.result())
        )

    def _take_committed(
        self,
        entry: progress.Entry,
        record: jobs.JobRecord,
        reply: result.Result,
    ) -> None:
        if isinstance(reply, result.Failure):
            self._resolve_commit(entry, reply.failure())
            return
        with self._fleet.lock:
            self._clearing.pop(entry.id, None)
            entry.is_committing = False
            entry.version = reply.unwrap()
            if record.state in jobs.FINAL_STATES:
                self._book.remove(entry)
            else:
                self._book.update(entry)

    def _resolve_commit(
        self, entry: progress.Entry, error: errors.TableError
    ) -> None:
        """Merges with what another writer made of the row."""
        found = None
        if isinstance(error, errors.TableConflictError):
            found = self._store.read(entry.id).value_or(None)
        with self._fleet.lock:
            self._clearing.pop(entry.id, None)
            entry.is_committing = False
            entry.is_changed = True
            if found is not None:
                record, entry.version = found
                if record.state in jobs.FINAL_STATES:
                    self._drop(entry)
                    return
                entry.record = progress.merge(entry.record, record)
            self._book.update(entry)

    def _drop(self, entry: progress.Entry) -> None:
        """Forgets a job that has ended, and stops what still runs of it."""
        self._starter.give_up(entry)
        for index, task in enumerate(entry.tasks):
            if task.worker:
                self._attempt_controller.stop(
                    task.worker, entry.format_attempt(index)
                )
        self._book.remove(entry)

    def _take_reply_record(
        self, name: str, record: workers.AttemptRecord
    ) -> None:
        with self._fleet.lock:
            if record.state in workers.FINAL_STATES:
                self._fleet.release(name, record.attempt)
            self._tracker.take_record(name, record)
        self._starter.drive()
