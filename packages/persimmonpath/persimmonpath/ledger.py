"""What became of each request of a shard, bounded in memory."""

import collections
import dataclasses
import enum

from persimmonpath import identifiers
from persimmonpath import outcomes

MAX_ENTRIES = 100_000


class Verdict(enum.Enum):
    """What the ledger says of an id that comes in."""

    NEW = "new"
    DUPLICATE = "duplicate"
    REUSED = "reused"
    UNCERTAIN = "uncertain"
    NOT_ISSUED = "not_issued"


@dataclasses.dataclass(slots=True)
class Entry:
    """What is known of one id; `outcome` is None while it is not final."""

    digest: str
    outcome: outcomes.Outcome | None = None


class Ledger:
    """Ids issued in the owner's epoch and ids rebuilt from listings.

    An id that is neither held nor certainly fresh is never run again.
    """

    def __init__(
        self,
        shard: identifiers.ShardId,
        epoch: int,
        max_entries: int = MAX_ENTRIES,
    ):
        """Creates an empty ledger.

        Args:
            shard: The shard.
            epoch: Epoch of the owner.
            max_entries: Bound on the entries held.
        """
        self._shard = shard
        self._epoch = epoch
        self._max_entries = max_entries
        self._next_sequence = 1
        self._evicted_through = 0
        # Ids of epochs below this one may have run without a record here.
        self._complete_since = epoch
        self._entries: collections.OrderedDict[identifiers.RequestId, Entry] = (
            collections.OrderedDict()
        )

    def issue(self, count: int) -> list[identifiers.RequestId]:
        """Returns `count` fresh ids."""
        first = self._next_sequence
        self._next_sequence += count
        return [
            identifiers.RequestId(self._shard, self._epoch, sequence)
            for sequence in range(first, first + count)
        ]

    def set_complete_since(self, epoch: int) -> None:
        """States that every id of that epoch or later that ran is held."""
        self._complete_since = min(epoch, self._epoch)

    def admit(self, request_id: identifiers.RequestId, digest: str) -> Verdict:
        """Classifies an id that comes in and, when new, adds it.

        Args:
            request_id: The id.
            digest: Digest of the request's content.
        """
        entry = self._entries.get(request_id)
        if entry is not None:
            if entry.digest and digest and entry.digest != digest:
                return Verdict.REUSED
            return Verdict.DUPLICATE
        verdict = self._classify(request_id)
        if verdict is Verdict.NEW:
            self._add(request_id, Entry(digest))
        return verdict

    def find(self, request_id: identifiers.RequestId) -> Entry | None:
        """Returns the entry of an id, if held."""
        return self._entries.get(request_id)

    def close(self, request_id: identifiers.RequestId) -> outcomes.Outcome:
        """Makes an id that was never admitted final as not run.

        Returns:
            The outcome as far as known; `Unknown` while it is running or when
            the id may have run without a record.
        """
        entry = self._entries.get(request_id)
        if entry is not None:
            return entry.outcome or outcomes.Unknown("in_progress")
        if self._classify(request_id) is not Verdict.NEW:
            return outcomes.Unknown("no_record")
        outcome = outcomes.NotRun("never_received")
        self._add(request_id, Entry("", outcome))
        return outcome

    def finish(
        self, request_id: identifiers.RequestId, outcome: outcomes.Outcome
    ) -> None:
        """Records a final outcome."""
        entry = self._entries[request_id]
        entry.outcome = outcome
        self._evict()

    def restore(
        self,
        request_id: identifiers.RequestId,
        digest: str,
        outcome: outcomes.Outcome | None,
    ) -> None:
        """Adds an id found in a worker's listing."""
        self._add(request_id, Entry(digest, outcome))

    def _classify(self, request_id: identifiers.RequestId) -> Verdict:
        if request_id.epoch > self._epoch:
            return Verdict.NOT_ISSUED
        if request_id.epoch == self._epoch:
            if request_id.sequence >= self._next_sequence:
                return Verdict.NOT_ISSUED
            if request_id.sequence <= self._evicted_through:
                return Verdict.UNCERTAIN
            return Verdict.NEW
        if request_id.epoch >= self._complete_since:
            return Verdict.NEW
        return Verdict.UNCERTAIN

    def _add(self, request_id: identifiers.RequestId, entry: Entry) -> None:
        self._entries[request_id] = entry
        self._evict()

    def _evict(self) -> None:
        excess = len(self._entries) - self._max_entries
        if excess <= 0:
            return
        final = [k for k, e in self._entries.items() if e.outcome is not None]
        for request_id in final[:excess]:
            del self._entries[request_id]
            if request_id.epoch == self._epoch:
                self._evicted_through = max(
                    self._evicted_through, request_id.sequence
                )
            else:
                self._complete_since = max(
                    self._complete_since, request_id.epoch + 1
                )
