"""The rows in which the store keeps the progress of submissions.

A submission has one row as long as its whole progress fits there. If not, the
failures and checkpoints of its tasks are divided into blocks with a row each.
"""

import collections
from collections.abc import Iterable
import dataclasses
import zlib

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import submissions

PROGRESS_TABLE = "progress"
BLOCK_SEPARATOR = "/"
# Tasks for each block, on average. A block then fits into a row even if each of
# its tasks has failed many times.
TASKS_PER_BLOCK = 64


@dataclasses.dataclass(slots=True)
class StoredProgress:
    """The progress of a submission as read from its rows.

    Attributes:
      record: the progress.
      block_keys: keys of the rows of its blocks.
    """

    record: submissions.ProgressRecord
    block_keys: list[str]


def encode_rows(
    submission: execution.Submission, max_bytes: int
) -> dict[str, bytes]:
    """Returns the rows that describe the progress of a submission, by key.

    Args:
      submission: the submission.
      max_bytes: largest row in bytes.
    """
    progress = submission.progress
    if not submission.is_active:
        # Nothing but the state is read of an ended submission.
        progress = submissions.ProgressRecord(
            state=progress.state, ended_ms=progress.ended_ms
        )
    elif not submission.stores_checkpoints:
        progress = msgspec.structs.replace(progress, saved={})
    value = msgspec.json.encode(progress)
    if len(value) <= max_bytes and not submission.stored_blocks:
        return {submission.id: value}
    main = msgspec.structs.replace(progress, failures={}, saved={})
    rows = _encode_blocks(submission, progress, max_bytes)
    rows[submission.id] = msgspec.json.encode(main)
    return rows


def _encode_blocks(
    submission: execution.Submission,
    progress: submissions.ProgressRecord,
    max_bytes: int,
) -> dict[str, bytes]:
    count = _count_blocks(submission)
    blocks: dict[str, submissions.ProgressBlock] = collections.defaultdict(
        lambda: submissions.ProgressBlock({}, {})
    )
    for key, numbers in progress.failures.items():
        blocks[_name_block(submission, key, count)].failures[key] = numbers
    for key, saved in progress.saved.items():
        blocks[_name_block(submission, key, count)].saved[key] = saved
    rows = {}
    for name, block in blocks.items():
        rows[name] = msgspec.json.encode(block)
        if len(rows[name]) > max_bytes:
            # A task without its checkpoint starts from the beginning.
            block.saved = {}
            rows[name] = msgspec.json.encode(block)
    return rows


def _count_blocks(submission: execution.Submission) -> int:
    tasks = sum(step.count for step in submission.record.steps)
    occurrences = max(1, submission.record.occurrences)
    open_tasks = tasks * min(occurrences, submission.open_limit)
    return 1 + open_tasks // TASKS_PER_BLOCK


def _name_block(
    submission: execution.Submission, task_key: str, count: int
) -> str:
    number = zlib.crc32(task_key.encode()) % count
    return f"{submission.id}{BLOCK_SEPARATOR}{number}"


def decode_rows(
    node: context.Context, rows: Iterable[platform_store.Row]
) -> dict[str, StoredProgress]:
    """Returns the progress of submissions by id.

    Rows of one submission that were written at different times are merged. No
    failure is lost then, and a task that is done ignores the rest.

    Args:
      node: the context of the process, for the log.
      rows: rows of the table `progress`, in any order.
    """
    main_rows: dict[str, submissions.ProgressRecord] = {}
    blocks = collections.defaultdict(list)
    for row in rows:
        submission_id, separator, _ = row.key.partition(BLOCK_SEPARATOR)
        record_type = (
            submissions.ProgressBlock
            if separator
            else submissions.ProgressRecord
        )
        record = rowcodec.decode_row(node, row, record_type)
        if record is None:
            continue
        if separator:
            blocks[submission_id].append((row.key, record))
        else:
            main_rows[submission_id] = record
    return {
        submission_id: _merge(
            main_rows.get(submission_id), blocks.get(submission_id, [])
        )
        for submission_id in main_rows.keys() | blocks.keys()
    }


def _merge(
    record: submissions.ProgressRecord | None,
    blocks: list[tuple[str, submissions.ProgressBlock]],
) -> StoredProgress:
    record = record or submissions.ProgressRecord()
    for _, block in blocks:
        record.saved.update(block.saved)
        for key, numbers in block.failures.items():
            known = record.failures.setdefault(key, [])
            known += [number for number in numbers if number not in known]
    return StoredProgress(record, [key for key, _ in blocks])


@dataclasses.dataclass(slots=True)
class ProgressBatch:
    """Rows of progress for one transaction.

    Attributes:
      submissions: the submissions whose progress is complete with it.
      states: the states written for them, in the same order.
      put: key and value of the rows to write.
      remove: keys of the rows to remove.
      blocks: submission, key and hash of the blocks in `put` and `remove`, None
        for a removed one.
      covers_all: whether no progress is left for a later transaction.
    """

    submissions: list[execution.Submission] = dataclasses.field(
        default_factory=list
    )
    states: list[str] = dataclasses.field(default_factory=list)
    put: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    remove: list[str] = dataclasses.field(default_factory=list)
    blocks: list[tuple[execution.Submission, str, int | None]] = (
        dataclasses.field(default_factory=list)
    )
    covers_all: bool = True

    @property
    def ids(self) -> set[str]:
        """The ids of the submissions of which it has a row."""
        return {
            key.partition(BLOCK_SEPARATOR)[0]
            for key in [*self.remove, *(key for key, _ in self.put)]
        }


class BatchBuilder:
    """Collects rows of progress up to the limits of a transaction."""

    def __init__(self, max_row_bytes: int, max_rows: int, max_bytes: int):
        """Creates a builder for one transaction.

        Args:
          max_row_bytes: largest row in bytes.
          max_rows: most rows.
          max_bytes: most bytes of all rows; a single row may be larger.
        """
        self._max_row_bytes = max_row_bytes
        self._rows_left = max_rows
        self._bytes_left = max_bytes
        self.batch = ProgressBatch()

    def add(self, submission: execution.Submission) -> bool:
        """Adds the changed rows of a submission, its main row last.

        Returns:
          Whether all of them fit.
        """
        rows = encode_rows(submission, self._max_row_bytes)
        main = rows.pop(submission.id)
        stored = submission.stored_blocks
        for key, value in rows.items():
            value_hash = hash(value)
            if stored.get(key) == value_hash:
                continue
            if not self._take(len(value)):
                return False
            self.batch.put.append((key, value))
            self.batch.blocks.append((submission, key, value_hash))
        if submission.is_active:
            for key in stored.keys() - rows.keys():
                if not self._take(0):
                    return False
                self.batch.remove.append(key)
                self.batch.blocks.append((submission, key, None))
        if not self._take(len(main)):
            return False
        self.batch.put.append((submission.id, main))
        self.batch.submissions.append(submission)
        self.batch.states.append(submission.state)
        return True

    def _take(self, size: int) -> bool:
        """Uses up room for a row; returns whether there was any."""
        is_empty = not self.batch.put and not self.batch.remove
        if not is_empty and (self._rows_left < 1 or size > self._bytes_left):
            return False
        self._rows_left -= 1
        self._bytes_left -= size
        return True


def record_sent(batch: ProgressBatch):
    """Marks blocks as unknown: from now on the store may hold them."""
    for submission, key, _ in batch.blocks:
        submission.stored_blocks[key] = 0


def record_stored(batch: ProgressBatch):
    """Records the blocks that the store holds after a transaction."""
    for submission, key, value_hash in batch.blocks:
        if value_hash is None:
            submission.stored_blocks.pop(key, None)
        else:
            submission.stored_blocks[key] = value_hash
