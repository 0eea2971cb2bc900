"""What callers are shown: the state of a submission, counts of a queue."""

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import ledger as ledgers
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

OWNER_TIMEOUT_S = 0.7
# A count of another owner is shown for this time.
COUNT_TTL_S = 0.5


class SubmissionView(msgspec.Struct):
    """What an owner says of a submission.

    Attributes:
      state: its state.
      has_started: whether a task of it has been started.
    """

    state: str
    has_started: bool


# The view of a submission that the store doesn't hold.
ABSENT = SubmissionView("absent", False)


class Views:
    """Finds what callers are shown, here, at the owner or in the store."""

    def __init__(
        self,
        node: context.Context,
        ownership: owners.Ownership,
        peers: members.Members,
    ):
        self._node = node
        self._ownership = ownership
        self._peers = peers
        self._counts: dict[str, tuple[float, int]] = {}

    async def find(
        self, service: str, submission_id: str
    ) -> SubmissionView | None:
        """Returns what to show of a submission, None if nobody can tell."""
        view = await self.describe(service, submission_id)
        if view is None:
            answer = await self._ask_owner(
                service, f"/peer/state/{service}/{submission_id}"
            )
            if answer is not None:
                view = msgspec.json.decode(answer, type=SubmissionView)
        if view is None:
            view = await self._read(submission_id)
        return view

    async def describe(
        self, service: str, submission_id: str
    ) -> SubmissionView | None:
        """Returns what this VM knows as owner of a service, or None."""
        shard = self._ownership.find_shard(service)
        if shard is None or not shard.is_loaded:
            return None
        submission = shard.submissions.get(submission_id)
        if submission is None:
            return None
        await shard.on_question(submission)
        # An owner whose lease has run out may have been replaced.
        if clock.read_clock() > shard.lease_until:
            return None
        state = submission.stored_state
        if submission.record.cancelled and state == submissions.ACTIVE:
            state = submissions.CANCELLED
        return SubmissionView(state, submission.has_started)

    async def _ask_owner(self, service: str, target: str) -> bytes | None:
        """Asks the owner of a service, unless it is this VM."""
        address = self._ownership.find_owner(service)
        if address is None or address == self._node.peer_address:
            return None
        outcome = await self._peers.call(
            address, "GET", target, timeout_s=OWNER_TIMEOUT_S
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return None
        return outcome.body

    async def _read(self, submission_id: str) -> SubmissionView | None:
        """Reads a submission's state from the store."""
        rows = await self._node.store.read_row(
            ledgers.SUBMISSION_TABLE,
            ledgers.find_part(submission_id),
            submission_id,
        )
        if isinstance(rows, platform_store.Refused):
            return None
        if not rows.rows:
            return ABSENT
        record = msgspec.json.decode(
            rows.rows[0].value, type=submissions.SubmissionRecord
        )
        progress = await self._node.store.read_row(
            ledgers.PROGRESS_TABLE, record.service, submission_id
        )
        if isinstance(progress, platform_store.Refused):
            return None
        state = submissions.ACTIVE
        if progress.rows:
            state = msgspec.json.decode(
                progress.rows[0].value, type=submissions.ProgressRecord
            ).state
        if record.cancelled and state == submissions.ACTIVE:
            state = submissions.CANCELLED
        return SubmissionView(state, bool(progress.rows))

    def count_waiting(self, service: str, queue: str) -> int | None:
        """Returns the waiting submissions as owner, or None."""
        shard = self._ownership.find_shard(service)
        if shard is None or not shard.is_loaded:
            return None
        return shard.count_waiting(queue)

    async def count(self, queue: configuration.Queue) -> int | None:
        """Returns the waiting submissions of a queue, None if unknown."""
        count = self.count_waiting(queue.service, queue.name)
        if count is not None:
            return count
        now = clock.read_clock()
        kept = self._counts.get(queue.name)
        if kept is not None and now - kept[0] < COUNT_TTL_S:
            return kept[1]
        answer = await self._ask_owner(
            queue.service, f"/peer/waiting/{queue.service}/{queue.name}"
        )
        if answer is None:
            return None
        count = int(answer)
        self._counts[queue.name] = (now, count)
        return count
