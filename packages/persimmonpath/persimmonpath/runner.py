"""Runs the jobs of a shard."""

import dataclasses
import threading

from absl import logging
from returns import result

from persimmonpath import attemptcontroller
from persimmonpath import attempttracker
from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import jobindex
from persimmonpath import jobs
from persimmonpath import progress
from persimmonpath import rules
from persimmonpath import starter
from persimmonpath import workers

# Seconds between scans of all unfinished jobs, which find those that
# notifications and the inbox have missed.
SCAN_PERIOD_S = 30.0
# Minimum seconds between progress commits of a job that has not ended.
PROGRESS_PERIOD_S = 1.0
# Inbox rows processed by one poll, so that a burst of cancellations does not
# delay the commits of other jobs.
MAX_INBOX_ITEMS_PER_POLL = 500


class JobRunner:
    """Reads the jobs of a shard, runs their tasks and commits their progress.

    A new owner restores the state of its predecessor from the job rows and the
    workers' attempt records alone: a task that a worker reports as running is
    recorded as running and not started again.
    """

    def __init__(
        self,
        shard: identifiers.ShardId,
        shard_fleet: fleet.Fleet,
        store: jobs.JobStore,
        policy: rules.Policy | None = None,
    ):
        """Creates a runner; its first poll reads the jobs.

        Args:
            shard: The shard.
            shard_fleet: Workers of the shard.
            store: Job rows.
            policy: Settings of the policies; None for the defaults.
        """
        self._shard = shard
        self._fleet = shard_fleet
        self._timers = shard_fleet.timers
        self._store = store
        self._job_index = jobindex.JobIndex()
        self._attempt_controller = attemptcontroller.AttemptController(
            shard_fleet, self._apply_reply_record
        )
        self._starter = starter.TaskStarter(
            self._job_index,
            shard_fleet,
            self._attempt_controller,
            policy or rules.Policy(),
        )
        self._tracker = attempttracker.AttemptTracker(
            self._job_index,
            self._attempt_controller,
            self._starter,
            self._timers,
        )
        self._polling = threading.Lock()
        self._is_notified = False

        self._scanned_at = float("-inf")
        # Versions of the inbox rows that are being removed, by job id; bounded
        # by the size of the inbox.
        self._inbox_versions_in_removal: dict[str, int] = {}
        shard_fleet.subscribe(self._tracker.apply_record, self.drive)

    def apply_policy(self, policy: rules.Policy) -> None:
        """Applies new policy settings to later starts."""
        self._starter.policy = policy

    def notify(self) -> None:
        """Marks the inbox as changed, so that the next check polls it."""
        self._is_notified = True

    def is_notified(self) -> bool:
        """Returns whether the inbox was marked as changed since a poll."""
        return self._is_notified

    def poll_if_notified(self) -> None:
        """Polls if the inbox was marked as changed since the last one."""
        if self._is_notified:
            self.poll()

    def poll(self) -> None:
        """Reads new and cancelled jobs, commits progress and starts tasks.

        If another thread is polling, this only requests a further poll.
        """
        if not self._polling.acquire(blocking=False):
            self._is_notified = True
            return
        try:
            self._is_notified = False
            now = self._timers.now()
            if now >= self._scanned_at + SCAN_PERIOD_S and self._scan_queue():
                self._scanned_at = now
                self.update_unplaceable_reasons()
            if self._job_index.is_loaded:
                self._scan_inbox()
                self._commit_changes()
        finally:
            self._polling.release()
        self.drive()

    def drive(self) -> None:
        """Starts the tasks that fit now and sends pending stops."""
        if self._job_index.is_loaded and not self._fleet.is_stopped():
            self._starter.drive()
            self._attempt_controller.drive()

    def update_unplaceable_reasons(self) -> None:
        """Updates for each waiting job why no worker can ever run it, if so."""
        with self._fleet.lock:
            for entry in list(self._job_index.waiting.values()):
                job = entry.job
                entry.set_reason(
                    self._fleet.explain_unfit(job.size, job.kind, job.team)
                )
                self._job_index.update(entry)

    def count_unfinished(self) -> int:
        """Returns the number of jobs of the shard that have not ended."""
        return len(self._job_index.entries)

    def list_records(self) -> list[jobs.JobRecord]:
        """Returns the unfinished jobs, including uncommitted changes."""
        with self._fleet.lock:
            return [entry.record for entry in self._job_index.entries.values()]

    def _scan_queue(self) -> bool:
        """Reads the unfinished jobs that are not indexed; False on failure."""
        reply = self._store.list_unfinished(self._shard)
        if isinstance(reply, result.Failure):
            logging.warning("event=job_scan_failed shard=%s", self._shard)
            return False
        for job_id in reply.unwrap():
            if job_id not in self._job_index.entries and not self._read_job(
                job_id
            ):
                return False
        if not self._job_index.is_loaded:
            self._finish_loading()
        return True

    def _read_job(self, job_id: str) -> bool:
        """Adds a job unless it has ended; False if it cannot be read."""
        found = self._store.read(job_id)
        if isinstance(found, result.Failure):
            return False
        if found.unwrap() is not None:
            record, version = found.unwrap()
            if record.state not in jobs.FINAL_STATES:
                with self._fleet.lock:
                    if job_id not in self._job_index.entries:
                        self._job_index.add(record, version, self._timers.now())
        return True

    def _finish_loading(self) -> None:
        with self._fleet.lock:
            self._job_index.is_loaded = True
            early_records, self._job_index.early_records = (
                self._job_index.early_records,
                [],
            )
            overflowed_workers = sorted(self._job_index.overflowed_workers)
            self._job_index.overflowed_workers.clear()
            for name, record in early_records:
                self._tracker.apply_record(name, record)
            for entry in self._job_index.entries.values():
                if entry.is_cancelling:
                    self._cancel(entry)
        for name in overflowed_workers:
            self._fleet.relist(name)
        logging.info(
            "event=jobs_loaded shard=%s jobs=%d",
            self._shard,
            len(self._job_index.entries),
        )

    def _scan_inbox(self) -> None:
        reply = self._store.list_inbox(self._shard)
        if isinstance(reply, result.Failure):
            logging.warning("event=job_poll_failed shard=%s", self._shard)
            return
        items = [
            i
            for i in reply.unwrap()
            if self._inbox_versions_in_removal.get(i.job_id) != i.version
        ]
        items.sort(key=lambda i: i.notice is jobs.Notice.CANCELLED)
        if len(items) > MAX_INBOX_ITEMS_PER_POLL:
            self._is_notified = True
        for item in items[:MAX_INBOX_ITEMS_PER_POLL]:
            known = item.job_id in self._job_index.entries
            if known or self._read_job(item.job_id):
                self._handle_inbox_item(item)

    def _handle_inbox_item(self, item: jobs.InboxItem) -> None:
        with self._fleet.lock:
            entry = self._job_index.entries.get(item.job_id)
            if entry is not None and item.notice is jobs.Notice.CANCELLED:
                entry.set_state(jobs.JobState.CANCELLING)
                self._cancel(entry)
                if entry.is_committing:
                    # The inbox row stays until the cancellation is committed.
                    return
            self._inbox_versions_in_removal[item.job_id] = item.version
            is_changed = entry is not None and entry.is_changed
        if is_changed and item.notice is jobs.Notice.CANCELLED:
            self._commit(entry, item)
            return
        cleared = self._store.clear_inbox(self._shard, item)
        cleared.add_done_callback(
            lambda f: self._handle_inbox_cleared(entry, item, f.result())
        )

    def _handle_inbox_cleared(
        self,
        entry: progress.JobEntry | None,
        item: jobs.InboxItem,
        reply: result.Result,
    ) -> None:
        with self._fleet.lock:
            self._inbox_versions_in_removal.pop(item.job_id, None)
            has_cleared = isinstance(reply, result.Success)
            if entry is not None and has_cleared:
                # Only one owner can remove the inbox row of a submission, so no
                # other owner has started tasks of the job.
                entry.is_inherited = False
            is_waiting = self._fleet.may_have_unlisted_tasks()
        if is_waiting:
            self.drive()

    def _cancel(self, entry: progress.JobEntry) -> None:
        self._starter.release_reserved(entry)
        for index in sorted(entry.idle):
            entry.set_idle(index)
        for index, task in enumerate(entry.tasks):
            if task.phase is progress.Phase.RUNNING:
                self._attempt_controller.stop(
                    task.worker, entry.format_attempt(index)
                )
        self._job_index.update(entry)

    def _commit_changes(self) -> None:
        now = self._timers.now()
        with self._fleet.lock:
            due = []
            for job_id in self._job_index.changed:
                entry = self._job_index.entries[job_id]
                state = progress.compute_job_state(entry.record)
                is_urgent = state is not jobs.JobState.ACCEPTED
                is_due = now >= entry.committed_at + PROGRESS_PERIOD_S
                if not entry.is_committing and (is_urgent or is_due):
                    due.append(entry)
        for entry in due:
            self._commit(entry, None)

    def _commit(
        self, entry: progress.JobEntry, notice: jobs.InboxItem | None
    ) -> None:
        with self._fleet.lock:
            if entry.is_committing or not entry.is_changed:
                return
            record = dataclasses.replace(
                entry.record, state=progress.compute_job_state(entry.record)
            )
            entry.is_changed = False
            entry.is_committing = True
            entry.committed_at = self._timers.now()
            self._job_index.changed.pop(entry.id, None)
            version = entry.version
        is_bulk = record.state in (
            jobs.JobState.CANCELLING,
            jobs.JobState.CANCELLED,
        )
        reply = self._store.update(record, version, is_bulk, notice)
        reply.add_done_callback(
            lambda f: self._handle_commit_reply(entry, record, f.result())
        )

    def _handle_commit_reply(
        self,
        entry: progress.JobEntry,
        record: jobs.JobRecord,
        reply: result.Result,
    ) -> None:
        if isinstance(reply, result.Failure):
            self._handle_commit_failure(entry, reply.failure())
            return
        with self._fleet.lock:
            self._inbox_versions_in_removal.pop(entry.id, None)
            entry.is_committing = False
            entry.version = reply.unwrap()
            if record.state in jobs.FINAL_STATES:
                self._job_index.remove(entry)
            else:
                self._job_index.update(entry)

    def _handle_commit_failure(
        self, entry: progress.JobEntry, error: errors.TableError
    ) -> None:
        """Merges a job with its row after a conflict, to be committed again.

        After any other failure the same change is committed again. A job whose
        row is final is removed.
        """
        found = None
        if isinstance(error, errors.TableConflictError):
            found = self._store.read(entry.id).value_or(None)
        with self._fleet.lock:
            self._inbox_versions_in_removal.pop(entry.id, None)
            entry.is_committing = False
            entry.is_changed = True
            if found is not None:
                record, entry.version = found
                if record.state in jobs.FINAL_STATES:
                    self._discard_ended(entry)
                    return
                entry.record = progress.merge_records(entry.record, record)
            self._job_index.update(entry)

    def _discard_ended(self, entry: progress.JobEntry) -> None:
        """Removes a job that has ended and stops its remaining attempts."""
        self._starter.release_reserved(entry)
        for index, task in enumerate(entry.tasks):
            if task.worker:
                self._attempt_controller.stop(
                    task.worker, entry.format_attempt(index)
                )
        self._job_index.remove(entry)

    def _apply_reply_record(
        self, name: str, record: workers.AttemptRecord
    ) -> None:
        with self._fleet.lock:
            if record.state in workers.FINAL_STATES:
                self._fleet.release(name, record.attempt)
            self._tracker.apply_record(name, record)
        self._starter.drive()
