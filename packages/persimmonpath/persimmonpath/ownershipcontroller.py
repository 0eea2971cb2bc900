"""Decides which shards an entry VM claims and which it transfers."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import threading

from absl import logging
from returns import result

from persimmonpath import configuration
from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import membership
from persimmonpath import ownership
from persimmonpath import peers
from persimmonpath import probes
from persimmonpath import sessions
from persimmonpath import shardmanager

# A VM that joined gets shards only once its session has been live for this
# long, so that a VM that keeps restarting does not move shards each time.
MIN_OWNER_AGE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Collaborators of an `OwnershipController`.

    Attributes:
        session: Session of this VM.
        members: Sessions and shard rows as last read.
        probes: Answers of other VMs to probes during an outage of the table.
        shard_manager: Shards that this process owns, claims or transfers.
        applied: Configuration that this VM applies.
        peers: Client for calls to other entry VMs.
        refresh_config: Applies the highest version of the configuration;
            returns whether the table could be read.
    """

    session: sessions.Session
    members: membership.Membership
    probes: probes.PeerProber
    shard_manager: shardmanager.ShardManager
    applied: configuration.AppliedConfiguration
    peers: peers.Peers
    refresh_config: Callable[[], bool]


class OwnershipController:
    """Claims shards without an owner and transfers shards to better owners.

    Each shard belongs to the candidate that `sessions.rank_candidates` puts
    first.
    """

    def __init__(self, dependencies: Dependencies):
        """Creates a controller that has claimed nothing."""
        self._dependencies = dependencies
        self._members = dependencies.members
        self._probes = dependencies.probes
        self._shard_manager = dependencies.shard_manager
        self._lock = threading.Lock()
        # Highest epoch in which each shard was claimed without the table.
        self._majority_epochs: dict[identifiers.ShardId, int] = {}
        self._is_leaving = False

    def leave(self) -> None:
        """Stops claiming shards and transfers all that this VM owns."""
        self._is_leaving = True
        self.transfer_shards()

    def is_leaving(self) -> bool:
        """Returns whether this VM is leaving or is listed as leaving."""
        return self._is_leaving or self._me.vm in self._members.list_leaving()

    def claim_shards(self) -> None:
        """Claims through the table the shards for which this VM ranks first."""
        if self.is_leaving() or not self._dependencies.session.is_live():
            return
        candidates = self._members.list_candidates()
        for shard in self._list_shards():
            if self._shard_manager.is_owned_or_claimed(
                shard
            ) or not self._is_claimable(shard):
                continue
            ranked = sessions.rank_candidates(shard, candidates)
            if ranked and ranked[0].vm == self._me.vm:
                self._claim(shard)
            else:
                # No effect unless the row still names this process.
                self._directory.release(shard)

    def claim_without_table(self) -> None:
        """Claims shards of unresponsive owners during an outage of the table.

        The claims need a majority of the workers of a shard.
        """
        is_outage = (
            self._members.measure_table_outage_s() >= sessions.SESSION_TTL_S
        )
        if not is_outage or self.is_leaving():
            return
        if not self._dependencies.session.is_registered():
            return
        # A peer that reaches the table claims through it. A VM that reaches no
        # other entry VM is more likely partitioned than the last one running.
        if self._probes.has_connected_peer() or not self._probes.has_answer():
            return
        for shard in self._list_shards():
            is_owned_or_claimed = self._shard_manager.is_owned_or_claimed(shard)
            if is_owned_or_claimed or not self._shard_manager.may_claim(shard):
                continue
            if self._is_owner_unresponsive(shard) and self._is_first_choice(
                shard
            ):
                self._claim_by_majority(shard)

    def transfer_shards(self) -> None:
        """Transfers the shards for which another VM ranks first."""
        me = self._me.vm
        others = [r for r in self._members.list_candidates() if r.vm != me]
        for owned in self._shard_manager.list_placing():
            ranked = sessions.rank_candidates(owned.id, [*others, self._me])
            if self.is_leaving():
                ranked = [r for r in ranked if r.vm != me]
            if not ranked or ranked[0].vm == me:
                continue
            if self.is_leaving() or self._may_receive_shards(ranked[0]):
                self._transfer(owned.id, ranked[0])

    def accept_offer(self, shard: identifiers.ShardId) -> futures.Future:
        """Claims a shard that its owner has released for this VM.

        Returns:
            A future of the epoch, which completes when the workers have been
            listed, or of a `NotOwnerError` if the shard was not claimed.
        """
        future: futures.Future = futures.Future()
        refusal = result.Failure(errors.NotOwnerError(str(shard)))
        if self.is_leaving() or shard not in self._list_shards():
            future.set_result(refusal)
            return future
        self._directory.refresh_shard(shard)
        if not self._shard_manager.is_owned_or_claimed(
            shard
        ) and self._is_claimable(shard):
            self._claim(shard)
        if not self._shard_manager.is_owned_or_claimed(shard):
            future.set_result(refusal)
            return future

        def answer() -> None:
            owned = self._shard_manager.find(shard)
            future.set_result(
                result.Success(owned.fleet.epoch) if owned else refusal
            )

        self._shard_manager.wait_owned(shard, answer)
        return future

    @property
    def _me(self) -> sessions.SessionRecord:
        return self._dependencies.session.record

    @property
    def _directory(self) -> ownership.ShardDirectory:
        return self._members.get_directory(self._me.zone)

    def _list_shards(self) -> list[identifiers.ShardId]:
        shards = self._dependencies.applied.config.inventory.list_shards()
        return [s for s in shards if s.zone == self._me.zone]

    def _is_claimable(self, shard: identifiers.ShardId) -> bool:
        return ownership.is_claimable(
            shard,
            self._directory.find(shard),
            self._me.incarnation,
            self._members.observer,
        )

    def _may_receive_shards(self, record: sessions.SessionRecord) -> bool:
        is_old_enough = (
            self._members.observer.measure_live_s(record) >= MIN_OWNER_AGE_S
        )
        version = self._dependencies.applied.config.version
        return is_old_enough and record.config_version >= version

    def _claim(self, shard: identifiers.ShardId) -> None:
        """Claims a shard through the table; one claim at a time.

        The configuration is read again after the claim: every worker that the
        former owner used was added by a version committed before the claim.
        """
        with self._lock:
            if self._shard_manager.is_owned_or_claimed(shard):
                return
            if not self._dependencies.refresh_config():
                return
            config = self._dependencies.applied.config
            claimed = self._directory.claim(
                shard, config.version, config.find_last_removal(shard)
            )
            if isinstance(claimed, result.Failure):
                logging.info("event=claim_failed shard=%s", shard)
                return
            is_current = self._dependencies.refresh_config()
            self._shard_manager.take_over(shard, claimed.unwrap(), is_current)

    def _is_owner_unresponsive(self, shard: identifiers.ShardId) -> bool:
        if self._probes.find_owner(shard) is not None:
            return False
        record = self._directory.find(shard)
        if record is None or not record.vm:
            return True
        owner = self._members.find_owner(shard)
        if owner is None or record.incarnation == self._me.incarnation:
            return True
        return self._probes.is_unresponsive(owner)

    def _is_first_choice(self, shard: identifiers.ShardId) -> bool:
        reachable = [
            record
            for record in self._members.observer.list_sessions(self._me.zone)
            if record.state is sessions.SessionState.LIVE
            and record.vm != self._me.vm
            and self._probes.is_reachable(record)
        ]
        ranked = sessions.rank_candidates(shard, [*reachable, self._me])
        return ranked[0].vm == self._me.vm

    def _claim_by_majority(self, shard: identifiers.ShardId) -> None:
        row = self._directory.find(shard)
        known = max(
            row.epoch if row else 0,
            self._probes.find_highest_epoch(shard),
            self._majority_epochs.get(shard, 0),
        )
        epoch = ownership.compute_majority_claim_epoch(known)
        self._majority_epochs[shard] = epoch
        record = ownership.ShardRecord(
            self._me.vm,
            self._me.incarnation,
            epoch,
            self._dependencies.applied.config.version,
            epoch,
        )
        self._shard_manager.take_over(shard, record, False)

    def _transfer(
        self, shard: identifiers.ShardId, successor: sessions.SessionRecord
    ) -> None:
        self._shard_manager.transfer(shard)
        call = self._dependencies.peers.offer_shard(
            successor.peer_address, shard
        )
        call.add_done_callback(
            lambda f: self._handle_offer_reply(shard, f.result())
        )

    def _handle_offer_reply(
        self, shard: identifiers.ShardId, reply: result.Result
    ) -> None:
        if isinstance(reply, result.Failure):
            # The other VM finds the released row at its next read.
            logging.warning("event=offer_failed shard=%s", shard)
            return
        self._directory.refresh_shard(shard)
        self._shard_manager.reconcile_ownership()
