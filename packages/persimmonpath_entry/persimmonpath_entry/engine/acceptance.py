"""Stores submissions before they are accepted.

The submissions of a partition that wait at the same time share a transaction.
While the store is away they are held without anything being sent, and stored
when it answers again: the most urgent first, all VMs together within the rate
that the store takes.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
import random
from typing import NamedTuple

import msgspec

from persimmonpath_entry.decisions import outages
from persimmonpath_entry.engine import connectivity
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
# Most submissions, and bytes of their rows, that are held while the store is
# away. Each keeps a connection, and small VMs have few descriptors.
MAX_HELD = 400
MAX_HELD_BYTES = 8_000_000
# Seconds after which it is checked again whether the store answers.
HOLD_CHECK_S = 0.03
# Seconds after which a queue without a token asks again during recovery.
TOKEN_RETRY_S = 0.01
# For this time after an outage all VMs together use at most this share of the
# store's rate of writes for submissions. The rest is left to the owners.
RECOVERY_S = 3.0
RECOVERY_SHARE = 2 / 3
# Most transactions that this VM begins at once then.
RECOVERY_BURST = 4
# Ids that may be stored although no answer said so, and how long they are kept.
MAX_UNKNOWN_IDS = 2000
UNKNOWN_ID_S = 60.0
# For rows without a policy, after those of every queue.
LOWEST_PRIORITY = 1_000_000


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
      retry_after_s: seconds after which the caller should come back if it isn't
        known to be stored, as the store is away; else None.
    """

    outcome: Outcome
    version: int = 0
    retry_after_s: int | None = None


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
      is_being_written: whether a transaction with it is under way.
      is_suspect: whether the store has refused a transaction with it for good,
        so that it is written in one of its own.
      wait_s: how long its caller waits in this attempt, in seconds.
    """

    submission_id: str
    record: submissions.SubmissionRecord
    value: bytes
    deadline: float
    future: asyncio.Future
    may_be_stored: bool = False
    is_being_written: bool = False
    is_suspect: bool = False
    version: int = 0
    wait_s: float = 0.0

    @property
    def tenant(self) -> str:
        """The name of its tenant, empty without one."""
        return self.record.tenant

    @property
    def rank(self) -> tuple[int, float]:
        """Its urgency; the lowest one is stored first."""
        policy = self.record.policy
        priority = LOWEST_PRIORITY if policy is None else policy.priority
        return priority, self.deadline


class Acceptance:
    """Stores submissions through one queue for each store partition."""

    def __init__(
        self,
        node: context.Context,
        reach: connectivity.Connectivity | None = None,
        count_vms: Callable[[], int] = lambda: 1,
    ):
        """Creates the queues; `run` serves them.

        Args:
          node: the context of the process.
          reach: tells of outages of the store, None if nothing does.
          count_vms: returns the number of VMs that share the store.
        """
        self._node = node
        self._reach = reach
        self._gate = _StoreGate(node, reach, count_vms)
        self._queues = {
            partition: _PartitionQueue(node, partition, self._gate)
            for partition in persistence.list_partitions()
        }

    async def store(
        self,
        submission_id: str,
        record: submissions.SubmissionRecord,
        deadline: float,
    ) -> AcceptanceResult:
        """Stores a submission, retrying until the deadline.

        While the store is away it is held or refused at once.

        Args:
          submission_id: its id.
          record: the submission.
          deadline: monotonic time in seconds by which a result is needed.

        Returns:
          The outcome, and the version of the row if it was accepted.
        """
        pending = _Pending(
            submission_id,
            record,
            msgspec.json.encode(record),
            deadline,
            asyncio.get_running_loop().create_future(),
            wait_s=deadline - clock.read_clock(),
        )
        outage = self._gate.find_closing_outage()
        if outage is not None:
            decision = outages.decide(
                outage,
                self._reach.outage_lengths,
                pending.wait_s,
                random.random(),
            )
            if not decision.is_held or not self._make_room(pending):
                return self._gate.refuse(pending)
            self._node.metrics.count("submissions_held")
        queue = self._queues[persistence.find_partition(submission_id)]
        return await queue.store(pending)

    def is_holding(self) -> bool:
        """Returns whether submissions are held, as the store is away."""
        return self._gate.find_closing_outage() is not None

    def may_be_stored(self, submission_id: str) -> bool:
        """Returns whether a former attempt had an unknown outcome."""
        return self._gate.is_unknown(submission_id)

    def _make_room(self, pending: _Pending) -> bool:
        """Returns whether a submission can be held beside the others.

        If no more can be, one of the tenant with the most held ones is refused,
        the least urgent of those of which nothing was sent.
        """
        held = [
            (queue, other)
            for queue in self._queues.values()
            for other in queue.pending
        ]
        size = sum(len(other.value) for _, other in held) + len(pending.value)
        if len(held) < MAX_HELD and size <= MAX_HELD_BYTES:
            return True
        counts = collections.Counter(other.tenant for _, other in held)
        tenant = outages.choose_tenant_to_reject(counts, pending.tenant)
        victims = [
            (queue, other)
            for queue, other in held
            if other.tenant == tenant
            and len(other.value) >= size - MAX_HELD_BYTES
            and not other.may_be_stored
            and not other.is_being_written
        ]
        if not victims:
            return False
        queue, victim = max(victims, key=lambda pair: pair[1].rank)
        is_same = tenant == pending.tenant
        if is_same and victim.rank[0] <= pending.rank[0]:
            return False
        queue.refuse(victim)
        return True

    async def run(self):
        """Stores queued submissions until cancelled."""
        await asyncio.gather(*(queue.run() for queue in self._queues.values()))


class _StoreGate:
    """Tells the queues whether and when they may send to the store."""

    def __init__(
        self,
        node: context.Context,
        reach: connectivity.Connectivity | None,
        count_vms: Callable[[], int],
    ):
        self._node = node
        self._reach = reach
        self._count_vms = count_vms
        self._was_closed = False
        self._recovering_until = 0.0
        self._tokens = 0.0
        self._tokens_at = 0.0
        # Ranks of the queues that wait for a token, by partition.
        self._waiting: dict[str, tuple[int, float]] = {}
        # When the outcome for each id became unknown, the oldest first.
        self._unknown_ids: dict[str, float] = {}

    def find_closing_outage(self) -> outages.Outage | None:
        """Returns the outage for which nothing is sent, or None."""
        outage = None if self._reach is None else self._reach.find_outage()
        if outage is None or outage.may_send:
            if self._was_closed:
                self._was_closed = False
                self._tokens = RECOVERY_BURST
                self._tokens_at = clock.read_clock()
                self._recovering_until = self._tokens_at + RECOVERY_S
            return None
        self._was_closed = True
        return outage

    def try_take(self, partition: str, rank: tuple[int, float]) -> bool:
        """Returns whether a queue may begin a transaction now.

        Right after an outage the most urgent queue goes first.

        Args:
          partition: the partition of the queue.
          rank: the rank of its most urgent submission.
        """
        now = clock.read_clock()
        if now >= self._recovering_until:
            self._waiting.clear()
            return True
        self._waiting[partition] = rank
        writes_per_s = RECOVERY_SHARE * self._node.settings.store.writes_per_s
        rate = writes_per_s / max(1, self._count_vms())
        self._tokens += rate * (now - self._tokens_at)
        self._tokens = min(RECOVERY_BURST, self._tokens)
        self._tokens_at = now
        if self._tokens < 1 or rank > min(self._waiting.values()):
            return False
        self._tokens -= 1
        del self._waiting[partition]
        return True

    def wait(self, partition: str, rank: tuple[int, float]):
        """Records that a queue waits for the end of an outage.

        Args:
          partition: the partition of the queue.
          rank: the rank of its most urgent submission.
        """
        self._waiting[partition] = rank

    def leave(self, partition: str):
        """Takes a queue without submissions out of those that wait."""
        self._waiting.pop(partition, None)

    def refuse(self, pending: _Pending) -> AcceptanceResult:
        """Returns the result for a submission that won't be stored.

        It is unknown if a write of it, also in an earlier attempt, was not
        answered: it may be stored then, and a refusal would be wrong.
        """
        if pending.may_be_stored:
            self._record_unknown(pending.submission_id)
        outcome = Outcome.REFUSED
        if self.is_unknown(pending.submission_id):
            outcome = Outcome.UNKNOWN
        outage = self.find_closing_outage()
        if outage is None:
            return AcceptanceResult(outcome)
        return AcceptanceResult(
            outcome,
            retry_after_s=outages.choose_retry_after(
                outage,
                self._reach.outage_lengths,
                pending.wait_s,
                random.random(),
            ),
        )

    def is_unknown(self, submission_id: str) -> bool:
        """Returns whether an id may be stored although no answer said so."""
        unknown_at = self._unknown_ids.get(submission_id, -UNKNOWN_ID_S)
        return clock.read_clock() - unknown_at < UNKNOWN_ID_S

    def _record_unknown(self, submission_id: str):
        self._unknown_ids.pop(submission_id, None)
        self._unknown_ids[submission_id] = clock.read_clock()
        if len(self._unknown_ids) > MAX_UNKNOWN_IDS:
            del self._unknown_ids[next(iter(self._unknown_ids))]

    def forget_unknown(self, submission_id: str):
        """Records that an id has a known outcome."""
        self._unknown_ids.pop(submission_id, None)


class _PartitionQueue:
    """Queue of the submissions of one partition that wait to be stored.

    Attributes:
      pending: the submissions.
    """

    def __init__(self, node: context.Context, partition: str, gate: _StoreGate):
        self._node = node
        self._partition = partition
        self._gate = gate
        self.pending: list[_Pending] = []
        self._wake = asyncio.Event()

    async def store(self, pending: _Pending) -> AcceptanceResult:
        """Queues a submission and waits for its result.

        A submission is refused at once while MAX_PENDING others wait.
        """
        if len(self.pending) >= MAX_PENDING:
            return self._gate.refuse(pending)
        self.pending.append(pending)
        self._wake.set()
        return await pending.future

    def refuse(self, pending: _Pending):
        """Refuses a submission that waits."""
        self._resolve(pending, self._gate.refuse(pending))

    async def run(self):
        """Stores batches of queued submissions until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self.pending:
                pause_s = self._find_pause()
                if pause_s:
                    await asyncio.sleep(pause_s)
                    self._expire()
                    continue
                batch = self._take_batch()
                if not await self._commit(batch):
                    await asyncio.sleep(RETRY_S)
                self._expire()
            self._gate.leave(self._partition)

    def _find_pause(self) -> float:
        """Returns the seconds to wait, 0 if a transaction may begin now.

        A VM that is isolated sends the callers of held submissions away, since
        they may reach another one.
        """
        outage = self._gate.find_closing_outage()
        rank = min(pending.rank for pending in self.pending)
        if outage is None:
            may_begin = self._gate.try_take(self._partition, rank)
            return 0.0 if may_begin else TOKEN_RETRY_S
        self._gate.wait(self._partition, rank)
        if outage.scope is outages.Scope.ISOLATED:
            for pending in list(self.pending):
                if not pending.may_be_stored:
                    self.refuse(pending)
        return HOLD_CHECK_S

    def _take_batch(self) -> list[_Pending]:
        batch = {}
        size = 0
        for pending in sorted(self.pending, key=lambda pending: pending.rank):
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
        for pending in batch:
            pending.is_being_written = True
        result = await self._write(batch)
        for pending in batch:
            pending.is_being_written = False
        return self._handle_result(batch, result)

    async def _write(self, batch: list[_Pending]):
        now = clock.read_clock()
        remaining_s = max(pending.deadline for pending in batch) - now
        return await self._node.store.commit(
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

    def _handle_result(self, batch: list[_Pending], result) -> bool:
        """Resolves what a transaction has decided.

        Returns:
          Whether the next one may follow at once.
        """
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
        result = AcceptanceResult(Outcome.TOO_LARGE)
        if batch[0].may_be_stored:
            result = self._gate.refuse(batch[0])
        self._resolve(batch[0], result)
        return True

    def _resolve(self, pending: _Pending, result: AcceptanceResult):
        self.pending.remove(pending)
        if result.outcome not in (Outcome.UNKNOWN, Outcome.REFUSED):
            self._gate.forget_unknown(pending.submission_id)
        if not pending.future.done():
            pending.future.set_result(result)

    def _expire(self):
        now = clock.read_clock()
        for pending in list(self.pending):
            if now >= pending.deadline:
                self.refuse(pending)
