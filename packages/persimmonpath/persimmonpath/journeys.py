"""The way of one request from the entry VM to the owner of its shard."""

from concurrent import futures
import dataclasses
import threading

from returns import result

from persimmonpath import attempts
from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import retries
from persimmonpath import work

# Outcome of a request that an owner has passed on without an answer.
OWNERSHIP_MOVED = outcomes.Unknown("ownership_moved")
# The owner answers at the deadline too, and knows better what to say.
EXPIRE_GRACE_S = 0.05
# Reasons for which a request was not run that another shard need not share.
MOVABLE_REASONS = frozenset(
    {
        "overloaded",
        "shard_unreachable",
        "issued_by_earlier_owner",
        "never_received",
        "cancelled",
        "not_started",
        "worker_unreachable",
        "leaving",
        "lease_lapsed",
        "fits_no_worker",
        "no_worker_in_use",
    }
)


def ask_owner(
    entry: entry_module.EntryVm,
    request_id: identifiers.RequestId,
    close: bool,
    digest: str = "",
) -> futures.Future:
    """Asks the owner of a shard what became of an id, here or elsewhere.

    Returns:
        A future of a result; the failure is a `PeerError`, a `NotOwnerError`
        or an `InputError`.
    """
    owned = entry.find_owned(request_id.shard)
    if owned is not None:
        return owned.dispatcher.ask(request_id, close, digest)
    address = entry.find_owner_address(request_id.shard)
    if address is not None:
        return entry.peers.ask(address, request_id, close, digest)
    future: futures.Future = futures.Future()
    error = errors.PeerError("no owner is known", False)
    future.set_result(result.Failure(error))
    return future


class Journey:
    """Forwards a request until its outcome is known or the deadline comes.

    Once a call may have reached an owner without an answer, the request is
    not sent again; the owner is asked with `close`, over a new channel, what
    became of it.

    Attributes:
        future: A `returns.result.Result` of an outcome or an `InputError`.
    """

    def __init__(
        self,
        entry: entry_module.EntryVm,
        request_id: identifiers.RequestId,
        request: work.Request,
        deadline: float,
        is_fresh: bool,
    ):
        """Creates a journey that has not begun.

        Args:
            entry: The entry VM.
            request_id: Id of the request.
            request: The request.
            deadline: When the caller gives up, in monotonic seconds.
            is_fresh: Whether the id was issued for this very request, so that
                nobody else can have sent it.
        """
        self.future: futures.Future = futures.Future()
        self._entry = entry
        self._timers = entry.timers
        self._id = request_id
        self._request = request
        self._deadline = deadline
        self._is_fresh = is_fresh
        self._lock = threading.Lock()
        self._tries = 0
        # Whether an owner may have taken the request in.
        self._is_sent = False
        self._is_finished = False

    def start(self) -> None:
        """Sends the request on its way."""
        delay_s = self._get_left() + EXPIRE_GRACE_S
        self._timers.call_later(delay_s, self._expire)
        self._forward()

    def _get_left(self) -> float:
        return self._deadline - self._timers.now()

    def _forward(self) -> None:
        left_s = self._get_left()
        if left_s < retries.MIN_REMAINING_S:
            self._expire()
            return
        self._tries += 1
        owned = self._entry.find_owned(self._id.shard)
        if owned is not None:
            self._is_sent = True
            request = dataclasses.replace(self._request, timeout_s=left_s)
            reply = owned.dispatcher.submit(self._id, request)
            reply.add_done_callback(lambda f: self._take(f.result()))
            return
        address = self._entry.find_owner_address(self._id.shard)
        if address is None:
            self._wait_for_owner()
            return
        given_s = left_s - retries.compute_reply_reserve(left_s)
        request = dataclasses.replace(self._request, timeout_s=given_s)
        self._is_sent = True
        reply = self._entry.peers.run(address, self._id, request)
        reply.add_done_callback(lambda f: self._take(f.result()))

    def _take(self, reply: result.Result) -> None:
        """Takes the answer to a request that was forwarded."""
        if isinstance(reply, result.Success):
            if reply.unwrap() == OWNERSHIP_MOVED:
                # The next owner knows, or will know, what became of it.
                self._settle()
            else:
                self._finish(reply)
            return
        error = reply.failure()
        if isinstance(error, errors.InputError):
            self._finish(reply)
        elif isinstance(error, errors.NotOwnerError):
            self._is_sent = error.has_run
            self._wait_for_owner()
        elif not error.sent:
            self._is_sent = False
            self._wait_for_owner()
        else:
            self._settle()

    def _wait_for_owner(self) -> None:
        """Tries again after a moment, or elsewhere if nothing was sent."""
        if self._is_fresh and not self._is_sent:
            # Another shard can take the request at once.
            outcome = outcomes.NotRun("shard_unreachable")
            self._finish(result.Success(outcome))
            return
        delay_s = retries.compute_backoff(self._tries)
        again = self._settle if self._is_sent else self._forward
        self._timers.call_later(delay_s, again)

    def _settle(self) -> None:
        """Asks the owner to close the request and tell what became of it."""
        if self._is_finished:
            return
        if self._get_left() < retries.MIN_REMAINING_S:
            self._expire()
            return
        self._tries += 1
        # Under a reused id another request's outcome must not come back.
        digest = attempts.compute_digest(self._request)
        reply = ask_owner(self._entry, self._id, True, digest)
        reply.add_done_callback(lambda f: self._take_settled(f.result()))

    def _take_settled(self, reply: result.Result) -> None:
        if isinstance(reply, result.Success):
            outcome = reply.unwrap()
            is_settled = (
                isinstance(outcome, outcomes.FINAL)
                or outcome.reason == "no_record"
            )
        else:
            is_settled = isinstance(reply.failure(), errors.InputError)
        if is_settled:
            self._finish(reply)
            return
        delay_s = retries.compute_backoff(self._tries)
        self._timers.call_later(delay_s, self._settle)

    def _expire(self) -> None:
        """Answers at the deadline with what is certain."""
        if self._is_fresh and not self._is_sent:
            outcome = outcomes.NotRun("shard_unreachable")
        elif self._is_sent:
            outcome = outcomes.Unknown("owner_silent")
        else:
            outcome = outcomes.Unknown("shard_unreachable")
        self._finish(result.Success(outcome))

    def _finish(self, reply: result.Result) -> None:
        with self._lock:
            if self._is_finished:
                return
            self._is_finished = True
        self.future.set_result(reply)
