"""Passes requests on to the next owner of their shard."""

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
    """Sends the requests that wait in a retired shard to its owner."""

    def __init__(
        self,
        peer_calls: peers.Peers,
        find_address: AddressFinder,
        find_owned: ShardFinder,
    ):
        """Creates a forwarder.

        Args:
            peer_calls: Calls to other entry VMs.
            find_address: Returns the peer address of a shard's owner.
            find_owned: Returns a shard that is owned here.
        """
        self._peers = peer_calls
        self._find_address = find_address
        self._find_owned = find_owned

    def forward(self, retired: shards.OwnedShard) -> None:
        """Passes on what waits, unless no owner is known yet."""
        owned = self._find_owned(retired.id)
        address = self._find_address(retired.id)
        if owned is None and address is None:
            return
        for withdrawn in retired.dispatcher.withdraw_queued():
            if owned is not None:
                _submit(owned, withdrawn)
            else:
                self._send(address, withdrawn)

    def _send(self, address: str, withdrawn: withdrawals.Withdrawn) -> None:
        call = self._peers.run(address, withdrawn.id, withdrawn.request)
        call.add_done_callback(lambda f: _handle_reply(withdrawn, f.result()))


def _submit(owned: shards.OwnedShard, withdrawn: withdrawals.Withdrawn) -> None:
    call = owned.dispatcher.submit(withdrawn.id, withdrawn.request)
    call.add_done_callback(lambda f: _handle_reply(withdrawn, f.result()))


def _handle_reply(
    withdrawn: withdrawals.Withdrawn, reply: result.Result
) -> None:
    """Takes the next owner's answer; without one the request is unknown.

    A callee that does not own the shard yet is asked again until the request's
    deadline.
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
        withdrawn.put_back()
    else:
        withdrawn.finish(outcomes.Unknown("ownership_moved"))
