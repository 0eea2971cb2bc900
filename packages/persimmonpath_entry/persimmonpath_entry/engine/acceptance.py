"""Stores submissions before they are accepted.

The submissions of a partition that wait at the same time share a transaction.
"""

import asyncio
import dataclasses
import enum
from typing import NamedTuple

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock

# The store takes 100 entries in a transaction. Each submission has two of them:
# its row and the expectation that there is none.
ROWS_PER_COMMIT = 48
BYTES_PER_COMMIT = 500_000
RETRY_S = 0.15
# Submissions that may wait for each partition; further ones are refused.
MAX_PENDING = 500


class Outcome(enum.Enum):
    """Outcome of an attempt to store a submission.

    ACCEPTED: this call has stored it.
    REPEATED: the store held a submission of this id already.
    REFUSED: it is not stored and never will be by this call: no write was sent,
      or the store refused each one.
    FOREIGN: as REFUSED, since the store holds a submission of another tenant
      under this id.
    TOO_LARGE: as REFUSED, and the store would refuse it again.
    UNKNOWN: a write was not answered, so it may be stored now or later.
    """

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    REFUSED = "refused"
    FOREIGN = "foreign"
    TOO_LARGE = "too_large"
    UNKNOWN = "unknown"


class AcceptanceResult(NamedTuple):
    """Result of storing a submission.

    Attributes:
      outcome: the outcome.
      version: version of its row if it was accepted, else 0.
    """

    outcome: Outcome
    version: int = 0


@dataclasses.dataclass(eq=False, slots=True)
class _Pending:
    """A submission that waits to be stored.

    Attributes:
      submission_id: its id.
      record: the submission.
      value: its row, encoded as JSON.
      version: version of the row that it replaces, 0 for none.
      deadline: monotonic time in seconds by which its caller needs a result.
      future: receives the AcceptanceResult.
      may_be_stored: whether a write of it was not answered.
      is_suspect: whether the store has refused a transaction with it for good,
        so that it is written in one of its own.
    """

    submission_id: str
    record: submissions.SubmissionRecord
    value: bytes
    deadline: float
    future: asyncio.Future
    may_be_stored: bool = False
    is_suspect: bool = False
    version: int = 0


class Acceptance:
    """Stores submissions through one queue for each store partition."""

    def __init__(self, node: context.Context):
        self._queues = {
            partition: _PartitionQueue(node, partition)
            for partition in persistence.list_partitions()
        }

    async def store(
        self,
        submission_id: str,
        record: submissions.SubmissionRecord,
        deadline: float,
    ) -> AcceptanceResult:
        """Stores a submission, retrying until the deadline.

        Args:
          submission_id: its id.
          record: the submission.
          deadline: monotonic time in seconds by which a result is needed.

        Returns:
          The outcome, and the version of the row if it was accepted.
        """
        queue = self._queues[persistence.find_partition(submission_id)]
        return await queue.store(submission_id, record, deadline)

    async def run(self):
        """Stores queued submissions until cancelled."""
        await asyncio.gather(*(queue.run() for queue in self._queues.values()))


class _PartitionQueue:
    """Queue of the submissions of one partition that wait to be stored."""

    def __init__(self, node: context.Context, partition: str):
        self._node = node
        self._partition = partition
        self._pending: list[_Pending] = []
        self._wake = asyncio.Event()

    async def store(
        self,
        submission_id: str,
        record: submissions.SubmissionRecord,
        deadline: float,
    ) -> AcceptanceResult:
        """Queues a submission and waits for its result.

        A submission is refused at once while MAX_PENDING others wait.
        """
        if len(self._pending) >= MAX_PENDING:
            return AcceptanceResult(Outcome.REFUSED)
        pending = _Pending(
            submission_id,
            record,
            msgspec.json.encode(record),
            deadline,
            asyncio.get_running_loop().create_future(),
        )
        self._pending.append(pending)
        self._wake.set()
        return await pending.future

    async def run(self):
        """Stores batches of queued submissions until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                batch = self._take_batch()
                if not await self._commit(batch):
                    await asyncio.sleep(RETRY_S)
                self._expire()

    def _take_batch(self) -> list[_Pending]:
        batch = {}
        size = 0
        for pending in self._pending:
            # A transaction may contain a row only once; a second submission of
            # the same id waits for the next one.
            if pending.submission_id in batch:
                continue
            if pending.is_suspect:
                if batch:
                    continue
                return [pending]
            size += len(pending.value)
            if batch and size > BYTES_PER_COMMIT:
                break
            batch[pending.submission_id] = pending
            if len(batch) >= ROWS_PER_COMMIT:
                break
        return list(batch.values())

    async def _commit(self, batch: list[_Pending]) -> bool:
        now = clock.read_clock()
        remaining_s = max(pending.deadline for pending in batch) - now
        result = await self._node.store.commit(
            self._partition,
            [
                (
                    persistence.SUBMISSION_TABLE,
                    pending.submission_id,
                    pending.version,
                )
                for pending in batch
            ],
            [
                (
                    persistence.SUBMISSION_TABLE,
                    pending.submission_id,
                    pending.value,
                )
                for pending in batch
            ],
            timeout_s=min(
                self._node.store.choose_timeout(), max(0.2, remaining_s)
            ),
        )
        if isinstance(result, platform_store.Committed):
            for pending in batch:
                accepted = AcceptanceResult(Outcome.ACCEPTED, result.version)
                if pending.version:
                    # It was cancelled before, and its tasks must not start.
                    accepted = AcceptanceResult(Outcome.REPEATED)
                self._resolve(pending, accepted)
            return True
        if isinstance(result, platform_store.Conflict):
            return self._handle_conflict(batch, result)
        if isinstance(result, platform_store.Unknown):
            for pending in batch:
                pending.may_be_stored = True
            return False
        return result.is_final and self._isolate(batch)

    def _handle_conflict(
        self, batch: list[_Pending], conflict: platform_store.Conflict
    ) -> bool:
        """Resolves the submissions that are stored already.

        One of which only a cancellation is stored takes that row's place, as a
        cancelled submission.

        Returns:
          Whether the others can be stored at once.
        """
        found = {row.key: row for row in conflict.rows if row.version}
        for pending in batch:
            row = found.get(pending.submission_id)
            if row is None:
                continue
            record = rowcodec.decode_row(
                self._node, row, submissions.SubmissionRecord
            )
            if record is not None and not submissions.is_open_to(
                record.tenant, pending.record.tenant
            ):
                self._resolve(pending, AcceptanceResult(Outcome.FOREIGN))
                continue
            if record is None or not record.is_tombstone:
                self._resolve(pending, AcceptanceResult(Outcome.REPEATED))
                continue
            pending.version = row.version
            pending.value = msgspec.json.encode(
                submissions.make_cancelled(pending.record)
            )
        return bool(found)

    def _isolate(self, batch: list[_Pending]) -> bool:
        """Writes the submissions of a refused transaction one at a time.

        Otherwise one that the store refuses would keep the others from being
        stored.
        """
        if len(batch) > 1:
            for pending in batch:
                pending.is_suspect = True
            return True
        outcome = Outcome.TOO_LARGE
        if batch[0].may_be_stored:
            outcome = Outcome.UNKNOWN
        self._resolve(batch[0], AcceptanceResult(outcome))
        return True

    def _resolve(self, pending: _Pending, result: AcceptanceResult):
        self._pending.remove(pending)
        if not pending.future.done():
            pending.future.set_result(result)

    def _expire(self):
        now = clock.read_clock()
        for pending in list(self._pending):
            if now >= pending.deadline:
                outcome = Outcome.REFUSED
                if pending.may_be_stored:
                    outcome = Outcome.UNKNOWN
                self._resolve(pending, AcceptanceResult(outcome))
