"""Forwards queued requests of retired shards to the next owner."""

from collections.abc import Callable

from returns import result

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import outcomes
from persimmonpath import peers
from persimmonpath import shards
from persimmonpath import withdrawals

AddressFinder = Callable[[identifiers.ShardId], str | None]
ShardFinder = Callable[[identifiers.ShardId], shards.OwnedShard | None]


class Forwarder:
    """Forwards the queued requests of a retired shard to its new owner."""

    def __init__(
        self,
        peer_calls: peers.Peers,
        find_address: AddressFinder,
        find_owned: ShardFinder,
    ):
        """Creates a forwarder.

        Args:
            peer_calls: Calls to other entry VMs.
            find_address: Returns the peer address of a shard's owner, None
                if it is unknown.
            find_owned: Returns the shard if this entry VM owns it, else None.
        """
        self._peers = peer_calls
        self._find_address = find_address
        self._find_owned = find_owned

    def forward(self, retired: shards.OwnedShard) -> None:
        """Forwards the queued requests, unless no owner is known yet."""
        owned = self._find_owned(retired.id)
        address = self._find_address(retired.id)
        if owned is None and address is None:
            return
        for withdrawn in retired.dispatcher.withdraw_queued():
            if owned is not None:
                _submit(owned, withdrawn)
            else:
                self._send(address, withdrawn)

    def _send(
        self, address: str, withdrawn: withdrawals.WithdrawnRequest
    ) -> None:
        call = self._peers.run(address, withdrawn.id, withdrawn.request)
        call.add_done_callback(lambda f: _handle_reply(withdrawn, f.result()))


def _submit(
    owned: shards.OwnedShard, withdrawn: withdrawals.WithdrawnRequest
) -> None:
    call = owned.dispatcher.submit(withdrawn.id, withdrawn.request)
    call.add_done_callback(lambda f: _handle_reply(withdrawn, f.result()))


def _handle_reply(
    withdrawn: withdrawals.WithdrawnRequest, reply: result.Result
) -> None:
    """Finishes a forwarded request with the answer of the next owner.

    A request that certainly did not reach an owner, because the callee does
    not own the shard yet or the call was not sent, returns to the queue and is
    forwarded again until its deadline. Any other failure makes its outcome
    unknown.
    """
    if isinstance(reply, result.Success):
        withdrawn.finish(reply.unwrap())
        return
    error = reply.failure()
    if isinstance(error, errors.NotOwnerError):
        is_unsent = not error.has_run
    else:
        is_unsent = isinstance(error, errors.PeerError) and not error.sent
    if is_unsent:
        withdrawn.requeue()
    else:
        withdrawn.finish(outcomes.Unknown("ownership_moved"))
