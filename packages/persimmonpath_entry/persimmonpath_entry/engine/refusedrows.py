"""Finds the rows that make the store refuse a transaction.

A refused transaction is written again in parts: the rows of the owner alone,
which renews its lease, in turn with those of one submission. A row that the
store refuses thus keeps no other from being stored.
"""

from collections.abc import Iterable

from persimmonpath_entry.engine import progressrows
from persimmonpath_entry.state import execution

# Refusals of a submission that is written alone, after which its rows are taken
# for the cause.
REFUSALS_TO_BLAME = 3
# Seconds for which a submission is left out whose shortest row was refused.
SET_ASIDE_S = 5.0


class RefusalIsolation:
    """Chooses the submissions of a write after the store has refused one.

    Attributes:
      is_probing: whether the next write has to leave out all progress.
    """

    def __init__(self):
        """Starts without a refused transaction."""
        self.is_probing = False
        # Number of refusals of a submission that was written alone, by id.
        self._suspects: dict[str, int] = {}
        # Until when a submission is left out, by id.
        self._set_aside: dict[str, float] = {}

    def choose(
        self, dirty: dict[str, execution.Submission], now: float
    ) -> Iterable[execution.Submission]:
        """Returns the submissions that the next write may contain.

        Args:
          dirty: the submissions to be stored, by id.
          now: the monotonic clock, in seconds.
        """
        if self.is_probing:
            return []
        for submission_id in list(self._suspects):
            if submission_id not in dirty:
                del self._suspects[submission_id]
            elif self._set_aside.get(submission_id, 0.0) <= now:
                return [dirty[submission_id]]
        if not self._set_aside:
            return dirty.values()
        return [
            submission
            for submission in dirty.values()
            if self._set_aside.get(submission.id, 0.0) <= now
        ]

    def has_writable(
        self, dirty: dict[str, execution.Submission], now: float
    ) -> bool:
        """Returns whether a submission is to be stored that isn't set aside."""
        return any(self._set_aside.get(name, 0.0) <= now for name in dirty)

    def record_refusal(
        self, batch: progressrows.ProgressBatch, has_workers: bool
    ) -> str | None:
        """Records that the store has refused a transaction for good.

        Args:
          batch: its rows of progress.
          has_workers: whether it had a workers row.

        Returns:
          The id of the submission whose rows were refused, None if that isn't
          known yet.
        """
        ids = batch.ids
        if not ids:
            return None
        self.is_probing = True
        is_alone = len(ids) == 1 and ids <= self._suspects.keys()
        if not is_alone:
            for submission_id in ids:
                self._suspects.setdefault(submission_id, 0)
            return None
        (submission_id,) = ids
        if not has_workers:
            self._suspects[submission_id] += 1
        if self._suspects[submission_id] < REFUSALS_TO_BLAME:
            return None
        self._suspects[submission_id] = 0
        return submission_id

    def record_stored(self, batch: progressrows.ProgressBatch):
        """Records that the store has applied a transaction."""
        self.is_probing = False
        for submission in batch.submissions:
            self._suspects.pop(submission.id, None)
            self._set_aside.pop(submission.id, None)

    def set_aside(self, submission_id: str, now: float):
        """Leaves a submission out for SET_ASIDE_S."""
        self._set_aside[submission_id] = now + SET_ASIDE_S
