"""Takeover, ownership and transfer of the shards of one entry VM."""

from collections.abc import Callable
import dataclasses
import threading

from absl import logging
from returns import result

from persimmonpath import configuration
from persimmonpath import fleet
from persimmonpath import forwarding
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import jobs
from persimmonpath import ownership
from persimmonpath import periodicactions
from persimmonpath import shards
from persimmonpath import timers

# A takeover waits at most this long for workers that do not answer.
LISTING_TIMEOUT_S = 2.0
# A claim without the table is withdrawn if a majority of the workers has not
# accepted it within this time.
MAJORITY_TIMEOUT_S = 5.0
# Two VMs that cannot reach each other could fence each other in turn. After a
# withdrawn claim this VM does not claim the shard for twice the worker lease.
CLAIM_BACKOFF_S = 2 * fleet.WORKER_LEASE_S
# A transferred shard that no VM claimed within this time is dropped, so that it
# is claimed like any shard without an owner.
TRANSFER_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class _Claim:
    """A shard that is being taken over or is owned."""

    owned: shards.OwnedShard
    record: ownership.ShardRecord
    config_version: int = 0  # Version last applied to the fleet.

    def needs_majority(self) -> bool:
        """Returns whether the claim was made without the table.

        Such claims have odd epochs.
        """
        return self.record.epoch % 2 == 1


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of a `ShardManager`.

    Attributes:
        owner: `VM/incarnation`, for the workers' owner registers.
        timers: Clock and timers.
        directory: Shard rows of this zone.
        applied: Current configuration.
        job_store: Storage of the job rows.
        create_client: Creates the client of a worker.
        forwarder: Forwards requests to a shard's next owner.
    """

    owner: str
    timers: timers.TimerService
    directory: ownership.ShardDirectory
    applied: configuration.AppliedConfiguration
    job_store: jobs.JobStore
    create_client: shards.ClientFactory
    forwarder: forwarding.Forwarder


class ShardManager:
    """Claims, owns and transfers the shards of one entry VM.

    The workers of a claimed shard are fenced first. Once they are listed, the
    shard is owned and visible to requests. A shard in transfer admits requests
    but places none until the next owner has listed the workers. Then it is
    retired, and its requests in flight are completed here.
    """

    def __init__(self, dependencies: Dependencies):
        """Creates a manager without shards."""
        self._dependencies = dependencies
        self._timers = dependencies.timers
        self._directory = dependencies.directory
        self._lock = threading.RLock()
        self._owned: dict[identifiers.ShardId, _Claim] = {}
        self._claims: dict[identifiers.ShardId, _Claim] = {}
        self._transferred_at: dict[identifiers.ShardId, float] = {}
        self._claims_blocked_until: dict[identifiers.ShardId, float] = {}
        # Each retired shard is removed once it has no requests in flight.
        self._retired: list[shards.OwnedShard] = []
        self._listeners: dict[identifiers.ShardId, Callable[[], None]] = {}

    def find(self, shard: identifiers.ShardId) -> shards.OwnedShard | None:
        """Returns an owned shard, or None if this VM does not own it."""
        claim = self._owned.get(shard)
        return claim.owned if claim else None

    def list_owned(self) -> list[shards.OwnedShard]:
        """Returns all owned shards, including those in transfer."""
        return [claim.owned for claim in list(self._owned.values())]

    def list_placing(self) -> list[shards.OwnedShard]:
        """Returns the owned shards that are not in transfer."""
        return [o for o in self.list_owned() if not o.fleet.is_stopped()]

    def is_owned_or_claimed(self, shard: identifiers.ShardId) -> bool:
        """Returns whether this VM owns a shard or is taking it over."""
        return shard in self._owned or shard in self._claims

    def may_claim(self, shard: identifiers.ShardId) -> bool:
        """Returns whether the backoff after a withdrawn claim has elapsed."""
        return self._timers.now() >= self._claims_blocked_until.get(shard, 0.0)

    def count_in_flight(self) -> int:
        """Returns the number of requests without a final outcome here."""
        everything = [*self.list_owned(), *self._retired]
        return sum(o.dispatcher.count_in_flight() for o in everything)

    def take_over(
        self,
        shard: identifiers.ShardId,
        record: ownership.ShardRecord,
        is_current: bool,
    ) -> None:
        """Starts the takeover of a claimed shard by fencing its workers.

        Args:
            shard: The shard.
            record: Row of the shard, or the row to be written for a claim
                without the table.
            is_current: Whether the highest configuration was applied after
                the claim, so that every worker of the shard is known.
        """
        takeover = fleet.Takeover(
            record.complete_since if is_current else record.epoch,
            not is_current,
        )
        owned = shards.create_owned_shard(
            shard,
            record.epoch,
            self._dependencies.owner,
            self._timers,
            self._dependencies.job_store,
            self._dependencies.applied.config.rules.policy,
            takeover,
        )
        claim = _Claim(owned, record)
        with self._lock:
            self._claims[shard] = claim
        logging.info(
            "event=shard_claimed shard=%s epoch=%d", shard, record.epoch
        )
        owned.fleet.subscribe_fenced(lambda: self._drop(claim))
        owned.fleet.subscribe(
            lambda name, listed: None, lambda: self._own_if_ready(claim)
        )
        self._apply_workers(claim)
        self._own_if_ready(claim)
        limit_s = (
            MAJORITY_TIMEOUT_S if claim.needs_majority() else LISTING_TIMEOUT_S
        )
        self._timers.call_later(
            limit_s, lambda: self._handle_takeover_timeout(claim)
        )

    def wait_owned(
        self, shard: identifiers.ShardId, on_owned: Callable[[], None]
    ) -> None:
        """Calls `on_owned` once a shard is owned.

        A later call for the same shard replaces the callback.
        """
        with self._lock:
            self._listeners[shard] = on_owned
            is_owned = shard in self._owned
        if is_owned:
            self._notify_owned(shard)

    def transfer(
        self, shard: identifiers.ShardId
    ) -> result.Result[None, Exception]:
        """Stops placement in an owned shard and releases its row.

        Returns the result of the release; a shard that is not owned is a
        success.
        """
        with self._lock:
            claim = self._owned.get(shard)
            if claim is None:
                return result.Success(None)
            self._transferred_at[shard] = self._timers.now()
        claim.owned.fleet.stop()
        logging.info("event=shard_handed_over shard=%s", shard)
        return self._directory.release(shard)

    def transfer_all(self) -> None:
        """Transfers every owned shard, ignoring failed releases.

        Called when the process ends.
        """
        for shard in list(self._owned):
            self.transfer(shard)

    def reconcile_ownership(self) -> None:
        """Reconciles the owned shards with the rows as last read.

        A shard with a newer owner is dropped, and a missing or older row is
        reconciled.
        """
        for shard, claim in list(self._owned.items()):
            row = self._directory.find(shard)
            epoch = claim.record.epoch
            if shard in self._transferred_at:
                self._check_transfer(shard, claim, row)
            elif row is None or row.epoch < epoch:
                self._directory.reconcile(shard, claim.record)
            elif row.epoch > epoch or row.incarnation != self._incarnation:
                self._drop(claim)
        self.apply_config()
        self.forward_retired()

    def forward_retired(self) -> None:
        """Forwards waiting requests of retired shards and removes idle ones."""
        with self._lock:
            self._retired = [
                o for o in self._retired if o.dispatcher.count_in_flight()
            ]
            retired = list(self._retired)
        for owned in retired:
            row = self._directory.find(owned.id)
            if row is None or row.epoch <= owned.fleet.epoch:
                self._directory.refresh_shard(owned.id)
            self._dependencies.forwarder.forward(owned)

    def renew_workers(self) -> None:
        """Renews the owner lease of every worker that is due."""
        claims = [*self._owned.values(), *self._claims.values()]
        for claim in claims:
            claim.owned.fleet.renew()

    def poll_jobs(self) -> None:
        """Reads new jobs and commits progress in every shard that places."""
        for owned in self.list_placing():
            owned.runner.poll()

    @property
    def poll_action(self) -> periodicactions.ConditionalAction:
        """The action that reads new jobs after a notification."""
        return periodicactions.ConditionalAction(
            lambda: any(o.runner.is_notified() for o in self.list_placing()),
            self.poll_notified,
        )

    def poll_notified(self) -> None:
        """Reads new jobs in the shards that were notified."""
        for owned in self.list_placing():
            owned.runner.poll_if_notified()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Sets which VMs the platform lists as leaving."""
        for claim in [*self._owned.values(), *self._claims.values()]:
            claim.owned.fleet.set_leaving(set(names))

    def apply_config(self) -> None:
        """Updates the workers of every shard to the current configuration."""
        version = self._dependencies.applied.config.version
        for claim in [*self._owned.values(), *self._claims.values()]:
            is_due = claim.config_version < version
            if is_due and self._may_add_workers(claim):
                self._apply_workers(claim)

    @property
    def _incarnation(self) -> str:
        return self._dependencies.owner.rpartition("/")[2]

    def _may_add_workers(self, claim: _Claim) -> bool:
        """Returns whether this VM certainly owned the shard a moment ago.

        A successor reads the configuration after its claim, so it knows every
        worker that was added while this VM owned the shard. A worker that was
        added later must not be used here, because the successor might not list
        it.
        """
        shard = claim.owned.id
        if not self._list_unknown(claim.owned):
            return True
        row = self._directory.refresh_shard(shard).value_or(None)
        if row is None:
            return False
        if row.epoch > claim.record.epoch:
            self._drop(claim)
            return False
        return True

    def _list_unknown(self, owned: shards.OwnedShard) -> list[inventory.Worker]:
        listed = self._dependencies.applied.config.inventory.list_workers(
            owned.id
        )
        return [w for w in listed if not owned.fleet.has_worker(w.name)]

    def _apply_workers(self, claim: _Claim) -> None:
        config = self._dependencies.applied.config
        shard = claim.owned.id
        claim.owned.apply_rules(config.rules)
        claim.owned.apply_workers(
            config.inventory.list_workers(shard),
            self._dependencies.create_client,
            config.list_retired(shard),
        )
        claim.config_version = config.version

    def _own_if_ready(self, claim: _Claim) -> None:
        """Completes a takeover once enough workers are listed.

        A claim without the table needs a majority, any other claim all of them.
        """
        workers = claim.owned.fleet
        if claim.needs_majority():
            is_ready = 2 * workers.count_listed() > workers.count_workers()
        else:
            is_ready = workers.is_fully_listed()
        if is_ready:
            self._complete_takeover(claim)

    def _handle_takeover_timeout(self, claim: _Claim) -> None:
        """Stops waiting for workers that do not answer.

        A claim without the table is withdrawn, any other takeover is completed.
        """
        if self._claims.get(claim.owned.id) is not claim:
            return
        if claim.needs_majority():
            self._drop(claim)
        else:
            self._complete_takeover(claim)

    def _complete_takeover(self, claim: _Claim) -> None:
        shard = claim.owned.id
        with self._lock:
            if self._claims.get(shard) is not claim:
                return
            del self._claims[shard]
            self._owned[shard] = claim
        logging.info(
            "event=shard_owned shard=%s epoch=%d listed=%d workers=%d",
            shard,
            claim.record.epoch,
            claim.owned.fleet.count_listed(),
            claim.owned.fleet.count_workers(),
        )
        self._notify_owned(shard)

    def _notify_owned(self, shard: identifiers.ShardId) -> None:
        with self._lock:
            listener = self._listeners.pop(shard, None)
        if listener is not None:
            listener()

    def _drop(self, claim: _Claim) -> None:
        """Drops a shard at once and retires it if it was owned."""
        shard = claim.owned.id
        claim.owned.fleet.stop()
        with self._lock:
            was_owned = self._owned.get(shard) is claim
            if was_owned:
                del self._owned[shard]
                self._transferred_at.pop(shard, None)
                self._retired.append(claim.owned)
            elif self._claims.get(shard) is claim:
                del self._claims[shard]
                if claim.needs_majority():
                    self._claims_blocked_until[shard] = (
                        self._timers.now() + CLAIM_BACKOFF_S
                    )
            else:
                return
        logging.info(
            "event=shard_given_up shard=%s epoch=%d",
            shard,
            claim.record.epoch,
        )

    def _check_transfer(
        self,
        shard: identifiers.ShardId,
        claim: _Claim,
        row: ownership.ShardRecord | None,
    ) -> None:
        """Drops a shard in transfer once it has a new owner or timed out."""
        if row is not None and row.incarnation == self._incarnation:
            # The release failed or its result is unknown, so repeat it.
            self._directory.release(shard)
        has_owner = row is not None and row.epoch > claim.record.epoch
        transferring_s = self._timers.now() - self._transferred_at[shard]
        if has_owner or transferring_s >= TRANSFER_TIMEOUT_S:
            logging.info("event=shard_left shard=%s taken=%s", shard, has_owner)
            self._drop(claim)
            self.forward_retired()
