"""Delivers a request from an entry VM to the owner of its shard."""

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

# Outcome that a former owner returns for a request that it forwarded to the
# next owner without receiving an answer.
OWNERSHIP_MOVED = outcomes.Unknown("ownership_moved")
# Wait beyond the deadline: the owner also answers at the deadline, and its
# outcome is more precise than the one concluded here.
EXPIRE_GRACE_S = 0.05
# Reasons of `NotRun` that are specific to one shard, so that the request may
# succeed on another.
REROUTABLE_REASONS = frozenset(
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
    """Asks the owner of a shard for the outcome of a request.

    The owner may be this entry VM or another one.

    Args:
        entry: This entry VM.
        request_id: Id of the request.
        close: Whether the owner must prevent the request from running if it
            has not run.
        digest: Digest of the request's content; empty to skip the check that
            the id belongs to this content.

    Returns:
        A future of a result with the outcome; its failure is a `PeerError`, a
        `NotOwnerError` or an `InputError`.
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


class RequestDelivery:
    """Forwards a request until its outcome is known or its deadline passes.

    After an unanswered call that may have reached an owner, the request is not
    sent again. Instead the owner is asked for the outcome, over a new channel
    and with `close`, so that a request that has not run never will.

    Attributes:
        future: Resolves to a `returns.result.Result` of an outcome or an
            `InputError`.
    """

    def __init__(
        self,
        entry: entry_module.EntryVm,
        request_id: identifiers.RequestId,
        request: work.Request,
        deadline: float,
        is_new_id: bool,
    ):
        """Creates a delivery; `start` begins it.

        Args:
            entry: The entry VM.
            request_id: Id of the request.
            request: The request.
            deadline: Time at which the caller stops waiting, in monotonic
                seconds.
            is_new_id: Whether the id was issued for this request only, so that
                no other request can have used it.
        """
        self.future: futures.Future = futures.Future()
        self._entry = entry
        self._timers = entry.timers
        self._id = request_id
        self._request = request
        self._deadline = deadline
        self._is_new_id = is_new_id
        self._lock = threading.Lock()
        self._attempts = 0
        # Whether an owner may have received the request.
        self._may_have_arrived = False
        self._is_finished = False

    def start(self) -> None:
        """Starts the deadline timer and forwards the request."""
        delay_s = self._get_remaining_s() + EXPIRE_GRACE_S
        self._timers.call_later(delay_s, self._expire)
        self._forward()

    def _get_remaining_s(self) -> float:
        return self._deadline - self._timers.now()

    def _forward(self) -> None:
        remaining_s = self._get_remaining_s()
        if remaining_s < retries.MIN_REMAINING_S:
            self._expire()
            return
        self._attempts += 1
        owned = self._entry.find_owned(self._id.shard)
        if owned is not None:
            self._may_have_arrived = True
            request = dataclasses.replace(self._request, timeout_s=remaining_s)
            reply = owned.dispatcher.submit(self._id, request)
            reply.add_done_callback(lambda f: self._handle_reply(f.result()))
            return
        address = self._entry.find_owner_address(self._id.shard)
        if address is None:
            self._wait_for_owner()
            return
        forwarded_timeout_s = remaining_s - retries.compute_reply_reserve(
            remaining_s
        )
        request = dataclasses.replace(
            self._request, timeout_s=forwarded_timeout_s
        )
        self._may_have_arrived = True
        reply = self._entry.peers.run(address, self._id, request)
        reply.add_done_callback(lambda f: self._handle_reply(f.result()))

    def _handle_reply(self, reply: result.Result) -> None:
        """Finishes, retries or asks for the outcome after an answer."""
        if isinstance(reply, result.Success):
            if reply.unwrap() == OWNERSHIP_MOVED:
                # The next owner has, or will have, the outcome.
                self._close_and_ask()
            else:
                self._finish(reply)
            return
        error = reply.failure()
        if isinstance(error, errors.InputError):
            self._finish(reply)
        elif isinstance(error, errors.NotOwnerError):
            self._may_have_arrived = error.has_run
            self._wait_for_owner()
        elif not error.sent:
            self._may_have_arrived = False
            self._wait_for_owner()
        else:
            self._close_and_ask()

    def _wait_for_owner(self) -> None:
        """Retries after a delay, or finishes if another shard may run it."""
        if self._is_new_id and not self._may_have_arrived:
            # The router can submit it to another shard at once.
            outcome = outcomes.NotRun("shard_unreachable")
            self._finish(result.Success(outcome))
            return
        delay_s = retries.compute_backoff(self._attempts)
        retry = self._close_and_ask if self._may_have_arrived else self._forward
        self._timers.call_later(delay_s, retry)

    def _close_and_ask(self) -> None:
        """Asks the owner to close the request and return its outcome."""
        if self._is_finished:
            return
        if self._get_remaining_s() < retries.MIN_REMAINING_S:
            self._expire()
            return
        self._attempts += 1
        # Without the digest, a reused id would return the outcome of another
        # request.
        digest = attempts.compute_digest(self._request)
        reply = ask_owner(self._entry, self._id, True, digest)
        reply.add_done_callback(lambda f: self._handle_close_reply(f.result()))

    def _handle_close_reply(self, reply: result.Result) -> None:
        if isinstance(reply, result.Success):
            outcome = reply.unwrap()
            is_resolved = (
                isinstance(outcome, outcomes.FINAL)
                or outcome.reason == "no_record"
            )
        else:
            is_resolved = isinstance(reply.failure(), errors.InputError)
        if is_resolved:
            self._finish(reply)
            return
        delay_s = retries.compute_backoff(self._attempts)
        self._timers.call_later(delay_s, self._close_and_ask)

    def _expire(self) -> None:
        """Finishes at the deadline with the outcome that is certain."""
        if self._is_new_id and not self._may_have_arrived:
            outcome = outcomes.NotRun("shard_unreachable")
        elif self._may_have_arrived:
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
