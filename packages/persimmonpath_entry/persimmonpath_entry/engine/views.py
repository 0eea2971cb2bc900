"""State of submissions and number of waiting ones, as shown to callers."""

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import progressrows
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import submissions
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

OWNER_TIMEOUT_S = 0.7
# How long a count received from another owner is reused.
COUNT_TTL_S = 0.5


class SubmissionView(msgspec.Struct, omit_defaults=True):
    """State of a submission as its owner reports it.

    Attributes:
      state: its state.
      has_started: whether any of its tasks has been started.
      tenant: the name of the tenant that submitted it, empty without one.
    """

    state: str
    has_started: bool
    tenant: str = ""


# The view of a submission that the store doesn't hold.
ABSENT = SubmissionView("absent", False)


class Views:
    """Looks up states and counts on this VM, at the owner or in the store."""

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

    async def find_view(
        self, service: str, submission_id: str
    ) -> SubmissionView | None:
        """Returns the state of a submission.

        Asks this VM's shard first, then the owner of the service, then the
        store.

        Returns:
          The state; ABSENT if the store doesn't hold the submission; None if
          neither the owner nor the store answers.
        """
        view = await self.describe_owned(service, submission_id)
        if view is None:
            answer = await self._call_owner(
                service, f"/peer/state/{service}/{submission_id}"
            )
            if answer is not None:
                view = msgspec.json.decode(answer, type=SubmissionView)
        if view is None:
            view = await self._read_view(submission_id)
        return view

    async def describe_owned(
        self, service: str, submission_id: str
    ) -> SubmissionView | None:
        """Returns the state of a submission of a service that this VM owns.

        Returns:
          The state, or None if this VM doesn't own the service, has not loaded
          it or doesn't know the submission.
        """
        shard = self._ownership.find_shard(service)
        if shard is None or not shard.is_loaded:
            return None
        submission = shard.submissions.get(submission_id)
        if submission is None or submission.record.is_tombstone:
            return None
        await shard.refresh_submission(submission)
        # After the end of its lease the owner may have been replaced, and its
        # state may be out of date.
        if clock.read_clock() > shard.lease_until:
            return None
        state = submission.stored_state
        if submission.record.cancelled and state == submissions.ACTIVE:
            state = submissions.CANCELLED
        return SubmissionView(
            state, submission.has_started, submission.record.tenant
        )

    async def _call_owner(self, service: str, target: str) -> bytes | None:
        """Sends a GET request to the owner of a service.

        Returns:
          The body, or None if this VM is the owner, the owner is unknown or it
          has not answered with status 200.
        """
        address = self._ownership.find_owner(service)
        if address is None or address == self._node.peer_address:
            return None
        outcome = await self._peers.call(
            address, "GET", target, timeout_s=OWNER_TIMEOUT_S
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return None
        return outcome.body

    async def _read_view(self, submission_id: str) -> SubmissionView | None:
        """Reads a submission's state from the store, None if that fails."""
        stored = await self._node.store.read_row(
            persistence.SUBMISSION_TABLE,
            persistence.find_partition(submission_id),
            submission_id,
        )
        if isinstance(stored, platform_store.Refused):
            return None
        if not stored.rows:
            return ABSENT
        record = rowcodec.decode_row(
            self._node, stored.rows[0], submissions.SubmissionRecord
        )
        if record is None:
            return None
        if record.is_tombstone:
            return ABSENT
        progress = await self._node.store.read_row(
            progressrows.PROGRESS_TABLE, record.service, submission_id
        )
        if isinstance(progress, platform_store.Refused):
            return None
        state = submissions.ACTIVE
        if progress.rows:
            progress_record = rowcodec.decode_row(
                self._node, progress.rows[0], submissions.ProgressRecord
            )
            if progress_record is None:
                return None
            state = progress_record.state
        if record.cancelled and state == submissions.ACTIVE:
            state = submissions.CANCELLED
        return SubmissionView(state, bool(progress.rows), record.tenant)

    def count_waiting(self, service: str, queue: str) -> int | None:
        """Returns the number of waiting submissions of a queue.

        Returns:
          The number, or None if this VM doesn't own the service or has not
          loaded it.
        """
        shard = self._ownership.find_shard(service)
        if shard is None or not shard.is_loaded:
            return None
        return shard.count_waiting(queue)

    async def count(self, queue: configuration.Queue) -> int | None:
        """Returns the number of waiting submissions of a queue.

        A number received from another owner is reused for COUNT_TTL_S.

        Returns:
          The number, or None if the owner can't be reached.
        """
        count = self.count_waiting(queue.service, queue.name)
        if count is not None:
            return count
        now = clock.read_clock()
        cached = self._counts.get(queue.name)
        if cached is not None and now - cached[0] < COUNT_TTL_S:
            return cached[1]
        answer = await self._call_owner(
            queue.service, f"/peer/waiting/{queue.service}/{queue.name}"
        )
        if answer is None:
            return None
        count = int(answer)
        self._counts[queue.name] = (now, count)
        return count
