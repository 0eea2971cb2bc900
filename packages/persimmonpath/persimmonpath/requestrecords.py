"""Deduplication records of the requests of a shard, bounded in memory."""

import collections
import dataclasses
import enum

from persimmonpath import identifiers
from persimmonpath import invariants
from persimmonpath import outcomes

MAX_ENTRIES = 100_000
# Without this bound, 100,000 answers of the largest size would take 100 GB.
MAX_ANSWER_BYTES_HELD = 32 << 20


class IdStatus(enum.Enum):
    """Status of a request id as known to the owner.

    NEW: May run. DUPLICATE: Has a record. REUSED: Has a record of a request
    with other content. UNCERTAIN: May have run, its record is gone.
    NOT_ISSUED: Was not issued in this epoch. LATER_EPOCH: Was issued by a
    later owner.
    """

    NEW = "new"
    DUPLICATE = "duplicate"
    REUSED = "reused"
    UNCERTAIN = "uncertain"
    NOT_ISSUED = "not_issued"
    LATER_EPOCH = "later_epoch"


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Record of one request.

    Attributes:
        digest: Digest of the request's content; empty while unknown.
        outcome: None while the request is in progress; an `Unknown` outcome
            may still be replaced by a final one.
        attempt: Number of the latest attempt restored from a listing; 0 for
            none.
        failure: Failure of an earlier attempt; becomes final unless another
            worker lists a later attempt.
    """

    digest: str
    outcome: outcomes.Outcome | None = None
    attempt: int = 0
    failure: outcomes.Failed | None = None

    def is_final(self) -> bool:
        """Returns whether the outcome can no longer change."""
        return isinstance(self.outcome, outcomes.FINAL)


class RequestRecords:
    """Records of ids issued in this epoch or restored from listings.

    An id of the owner's epoch is new only once. An id of an earlier epoch
    without a record is run only if that epoch's owner forwards it: otherwise
    that owner may have answered a duplicate of it `not_run`.
    """

    def __init__(
        self,
        shard: identifiers.ShardId,
        epoch: int,
        max_entries: int = MAX_ENTRIES,
        max_answer_bytes: int = MAX_ANSWER_BYTES_HELD,
    ):
        """Creates an empty collection.

        Args:
            shard: The shard.
            epoch: Epoch of the owner.
            max_entries: Bound on the records that are not in progress.
            max_answer_bytes: Bound on the size of the stored answers, in bytes.
        """
        self._shard = shard
        self._epoch = epoch
        self._max_entries = max_entries
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._next_sequence = 1
        self._evicted_through = 0
        # Ids of lower epochs may have run although they have no record here.
        self._complete_since = epoch
        self._evicted_epoch = 0
        self._entries: dict[identifiers.RequestId, RequestRecord] = {}
        # Ids that are not in progress, in the order in which they ended.
        self._ended: collections.OrderedDict[identifiers.RequestId, None] = (
            collections.OrderedDict()
        )
        # Ids whose record has a provisional `failure`; it becomes final once
        # every worker is listed.
        self._provisional: set[identifiers.RequestId] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def issue(self, count: int) -> list[identifiers.RequestId]:
        """Issues `count` new ids."""
        first = self._next_sequence
        self._next_sequence += count
        return [
            identifiers.RequestId(self._shard, self._epoch, sequence)
            for sequence in range(first, first + count)
        ]

    def set_complete_since(
        self, epoch: int, all_workers_listed: bool = True
    ) -> None:
        """Sets the epoch since which every id that ran has a record.

        Args:
            epoch: The epoch.
            all_workers_listed: Whether every worker has been listed.
        """
        self._complete_since = min(epoch, self._epoch)
        if not all_workers_listed:
            return
        for request_id in self._provisional:
            record = self._entries.get(request_id)
            if record is not None and not record.is_final():
                record.outcome = record.failure
        self._provisional.clear()

    def admit(
        self,
        request_id: identifiers.RequestId,
        digest: str,
        is_vouched: bool = False,
    ) -> IdStatus:
        """Classifies the id of a received request and adds a record if new.

        Args:
            request_id: The id.
            digest: Digest of the request's content.
            is_vouched: Whether the owner that issued the id forwards it, so
                that it has certainly not run.
        """
        record = self._entries.get(request_id)
        if record is not None:
            if record.digest and digest and record.digest != digest:
                return IdStatus.REUSED
            return IdStatus.DUPLICATE
        status = self.classify(request_id)
        if status is IdStatus.NEW:
            if request_id.epoch < self._epoch and not is_vouched:
                outcome = outcomes.NotRun("issued_by_earlier_owner")
                self._end(request_id, RequestRecord(digest, outcome))
                return IdStatus.DUPLICATE
            self._entries[request_id] = RequestRecord(digest)
        return status

    def find(self, request_id: identifiers.RequestId) -> RequestRecord | None:
        """Returns the record of an id, or None."""
        return self._entries.get(request_id)

    def classify(self, request_id: identifiers.RequestId) -> IdStatus:
        """Returns the status of an id that has no record."""
        if request_id.epoch > self._epoch:
            return IdStatus.LATER_EPOCH
        if request_id.epoch == self._epoch:
            if not 0 < request_id.sequence < self._next_sequence:
                return IdStatus.NOT_ISSUED
            if request_id.sequence <= self._evicted_through:
                return IdStatus.UNCERTAIN
            return IdStatus.NEW
        if request_id.epoch <= self._evicted_epoch:
            return IdStatus.UNCERTAIN
        if request_id.epoch >= self._complete_since:
            return IdStatus.NEW
        return IdStatus.UNCERTAIN

    def close(self, request_id: identifiers.RequestId) -> outcomes.NotRun:
        """Records an id as not run; `classify` must have returned `NEW`."""
        outcome = outcomes.NotRun("never_received")
        self._end(request_id, RequestRecord("", outcome))
        return outcome

    def finish(
        self, request_id: identifiers.RequestId, outcome: outcomes.Outcome
    ) -> None:
        """Sets the outcome of an id that has a record.

        Raises:
            errors.InvariantError: If this would change a final outcome.
        """
        record = self._entries[request_id]
        invariants.ensure(
            not record.is_final() or record.outcome == outcome,
            f"final outcome of {request_id} would change from"
            f" {record.outcome} to {outcome}",
        )
        if record.is_final():
            return
        record.outcome = outcome
        self._end(request_id, record)

    def restore(
        self,
        request_id: identifiers.RequestId,
        digest: str,
        attempt: int,
        outcome: outcomes.Outcome | None,
    ) -> bool:
        """Restores an attempt of an earlier owner from a worker's listing.

        Listings arrive in any order. A later attempt exists only if every
        earlier one failed or ended without an outcome, so a failure is final
        only once every worker was listed.

        Args:
            request_id: The id.
            digest: Digest of the request's content.
            attempt: Number of the attempt.
            outcome: None while the attempt is running.

        Returns:
            Whether the record changed.

        Raises:
            errors.InvariantError: If the id was already recorded as not run.
        """
        record = self._entries.get(request_id)
        if record is None:
            record = RequestRecord(digest)
        invariants.ensure(
            not isinstance(record.outcome, outcomes.NotRun),
            f"{request_id} is listed by a worker but was recorded as not run",
        )
        if record.is_final() or attempt < record.attempt:
            return False
        record.attempt = attempt
        record.digest = record.digest or digest
        if isinstance(outcome, outcomes.Failed):
            record.failure = outcome
            record.outcome = outcomes.Unknown("not_all_workers_listed")
            self._provisional.add(request_id)
        else:
            record.outcome = outcome
            self._provisional.discard(request_id)
        if outcome is None:
            self._entries[request_id] = record
            self._ended.pop(request_id, None)
        else:
            self._end(request_id, record)
        return True

    def _end(
        self, request_id: identifiers.RequestId, record: RequestRecord
    ) -> None:
        self._entries[request_id] = record
        self._ended.pop(request_id, None)
        self._ended[request_id] = None
        self._answer_bytes += _count_bytes(record)
        while len(self._ended) > 1 and (
            len(self._ended) > self._max_entries
            or self._answer_bytes > self._max_answer_bytes
        ):
            self._evict()

    def _evict(self) -> None:
        request_id, _ = self._ended.popitem(last=False)
        self._answer_bytes -= _count_bytes(self._entries.pop(request_id))
        self._provisional.discard(request_id)
        if request_id.epoch == self._epoch:
            self._evicted_through = max(
                self._evicted_through, request_id.sequence
            )
        else:
            self._evicted_epoch = max(self._evicted_epoch, request_id.epoch)


def _count_bytes(record: RequestRecord) -> int:
    if isinstance(record.outcome, outcomes.Done):
        return len(record.outcome.answer)
    return 0
