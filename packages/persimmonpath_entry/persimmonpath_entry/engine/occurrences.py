"""Occurrences of a shard's submissions: when they are opened and closed."""

import time

from persimmonpath_entry.state import execution
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock

# Longest number of an occurrence in the name of a task, in digits.
MAX_DIGITS = 9
# A submission older than this when its shard is loaded is taken as the result
# of a wall-clock jump, and its age is ignored.
MAX_SUBMISSION_AGE_S = 600.0


class OccurrenceOpener:
    """Opens the occurrences of a shard's submissions and closes done ones.

    A submission that runs once has one occurrence, number 0.
    """

    def __init__(self, shard):
        self._shard = shard
        # Submissions with a due occurrence that couldn't be opened, by id.
        self._postponing: set[str] = set()

    def open_due(self, submission: execution.Submission):
        """Opens the due occurrences of a recurring submission.

        They take half of the places. The others are left for the occurrences
        that a former owner had open when it was replaced.
        """
        record = submission.record
        limit = max(1, submission.open_limit // 2)
        now_ms = time.time() * 1000
        while submission.next_occurrence < record.occurrences:
            occurrence = submission.next_occurrence
            if record.start_ms + occurrence * record.interval_ms > now_ms:
                return
            if submission.count_open() >= limit:
                self._log_postponement(submission)
                return
            submission.next_occurrence += 1
            if not (
                submission.is_finished(occurrence)
                or submission.is_open(occurrence)
            ):
                self.open(submission, occurrence)

    def _log_postponement(self, submission: execution.Submission):
        if submission.id in self._postponing:
            return
        self._postponing.add(submission.id)
        self._shard.node.log.warn(
            "occurrences_postponed",
            id=submission.id,
            next=submission.next_occurrence,
            open=submission.count_open(),
        )

    def find_task(self, name: str) -> execution.Task | None:
        """Returns the task that a worker names, None if there is none.

        A former owner may have started tasks of an occurrence that this owner
        hasn't opened yet; it is opened then.
        """
        submission_id, _, key = name.partition(".")
        submission = self._shard.submissions.get(submission_id)
        if submission is None:
            return None
        text = key.partition(".")[0]
        if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
            return None
        occurrence = int(text)
        if (
            submission.is_active
            and occurrence < submission.record.occurrences
            and submission.count_open() < submission.open_limit
            and not submission.is_finished(occurrence)
            and not submission.is_open(occurrence)
        ):
            self.open(submission, occurrence)
        return submission.find_task(key)

    def open(self, submission: execution.Submission, occurrence: int):
        """Creates the steps of an occurrence and marks those that are ready."""
        now = clock.read_clock()
        for step in submission.add_occurrence(occurrence, now):
            if submission.record.occurrences:
                step.counted_since = now - _measure_lateness(
                    submission.record, occurrence
                )
            if not step.is_done and submission.is_ready(step):
                self._shard.make_ready(step)
        self.close_if_done(submission, occurrence)

    def close_if_done(self, submission: execution.Submission, occurrence: int):
        """Closes an occurrence, and ends the submission, if all is done."""
        for step in submission.finish_occurrence(occurrence):
            self._shard.next_steps.pop(step, None)
            self._shard.changed_steps.pop(step, None)
        if submission.is_complete():
            self._postponing.discard(submission.id)
            self._shard.end_submission(submission, submissions.COMPLETED)


def _measure_lateness(
    record: submissions.SubmissionRecord, occurrence: int
) -> float:
    """Returns the seconds since an occurrence was due, by the time of day."""
    due_ms = record.start_ms + occurrence * record.interval_ms
    late_s = time.time() - due_ms / 1000
    return min(max(0.0, late_s), MAX_SUBMISSION_AGE_S)
