"""Shards that an entry VM owns, takes over or hands over."""

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
from persimmonpath import schedules
from persimmonpath import shards
from persimmonpath import timers

# A worker that does not answer within this time does not delay a takeover.
LISTING_LIMIT_S = 2.0
# A claim without the table that has no majority by now is withdrawn.
MAJORITY_LIMIT_S = 5.0
# Two VMs that do not see each other could fence each other in turn; after a
# withdrawn claim this VM leaves the shard alone for twice the worker lease.
HOLD_OFF_S = 2 * fleet.WORKER_LEASE_S
# A handed-over shard that nobody took is given up and claimed as usual.
HANDOVER_LIMIT_S = 10.0


@dataclasses.dataclass(slots=True)
class _Claim:
    owned: shards.OwnedShard
    record: ownership.ShardRecord
    config_version: int = 0  # Version that the fleet matches.

    def is_tableless(self) -> bool:
        return self.record.epoch % 2 == 1


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What holdings work with.

    Attributes:
        owner: `VM/incarnation`, for the workers' owner registers.
        timers: Source of time.
        directory: Shard rows of this zone.
        applied: Configuration in force.
        job_store: Job rows.
        create_client: Creates the client of a worker.
        forwarder: Passes requests on to a shard's next owner.
    """

    owner: str
    timers: timers.TimerService
    directory: ownership.ShardDirectory
    applied: configuration.AppliedConfiguration
    job_store: jobs.JobStore
    create_client: shards.ClientFactory
    forwarder: forwarding.Forwarder


class Holdings:
    """The shards of one entry VM.

    A shard is first claimed, and its workers are fenced; it is owned, and
    visible to requests, once they are listed. A shard that is handed over
    admits requests but places none until the next owner has listed the
    workers; then it retires, and its requests in flight end here.
    """

    def __init__(self, parts: Dependencies):
        """Creates holdings without shards."""
        self._parts = parts
        self._timers = parts.timers
        self._directory = parts.directory
        self._lock = threading.RLock()
        self._owned: dict[identifiers.ShardId, _Claim] = {}
        self._claims: dict[identifiers.ShardId, _Claim] = {}
        self._handed_over: dict[identifiers.ShardId, float] = {}
        self._held_off: dict[identifiers.ShardId, float] = {}
        # Retired shards; each leaves the list when its requests have ended.
        self._retired: list[shards.OwnedShard] = []
        self._listeners: dict[identifiers.ShardId, Callable[[], None]] = {}

    def find(self, shard: identifiers.ShardId) -> shards.OwnedShard | None:
        """Returns a shard that this VM owns, else None."""
        claim = self._owned.get(shard)
        return claim.owned if claim else None

    def list_owned(self) -> list[shards.OwnedShard]:
        """Returns all shards that this VM owns."""
        return [claim.owned for claim in list(self._owned.values())]

    def list_placing(self) -> list[shards.OwnedShard]:
        """Returns the owned shards that are not being handed over."""
        return [o for o in self.list_owned() if not o.fleet.is_stopped()]

    def is_held(self, shard: identifiers.ShardId) -> bool:
        """Returns whether a shard is owned or being taken over here."""
        return shard in self._owned or shard in self._claims

    def may_claim(self, shard: identifiers.ShardId) -> bool:
        """Returns whether no claim was withdrawn lately."""
        return self._timers.now() >= self._held_off.get(shard, 0.0)

    def count_in_flight(self) -> int:
        """Returns the requests that have no final outcome here."""
        everything = [*self.list_owned(), *self._retired]
        return sum(o.dispatcher.count_in_flight() for o in everything)

    def take_over(
        self,
        shard: identifiers.ShardId,
        record: ownership.ShardRecord,
        is_current: bool,
    ) -> None:
        """Fences the workers of a shard that was claimed.

        Args:
            shard: The shard.
            record: Its row, or the row to be written for a claim without the
                table.
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
            self._parts.owner,
            self._timers,
            self._parts.job_store,
            self._parts.applied.config.rules.policy,
            takeover,
        )
        claim = _Claim(owned, record)
        with self._lock:
            self._claims[shard] = claim
        logging.info(
            "event=shard_claimed shard=%s epoch=%d", shard, record.epoch
        )
        owned.fleet.subscribe_fenced(lambda: self._give_up(claim))
        owned.fleet.subscribe(
            lambda name, listed: None, lambda: self._advance(claim)
        )
        self._apply_workers(claim)
        self._advance(claim)
        limit_s = MAJORITY_LIMIT_S if claim.is_tableless() else LISTING_LIMIT_S
        self._timers.call_later(limit_s, lambda: self._conclude(claim))

    def wait_owned(
        self, shard: identifiers.ShardId, on_owned: Callable[[], None]
    ) -> None:
        """Calls back once a shard is owned; a later call replaces it."""
        with self._lock:
            self._listeners[shard] = on_owned
            is_owned = shard in self._owned
        if is_owned:
            self._tell(shard)

    def hand_over(
        self, shard: identifiers.ShardId
    ) -> result.Result[None, Exception]:
        """Stops placing in a shard and releases its row."""
        with self._lock:
            claim = self._owned.get(shard)
            if claim is None:
                return result.Success(None)
            self._handed_over[shard] = self._timers.now()
        claim.owned.fleet.stop()
        logging.info("event=shard_handed_over shard=%s", shard)
        return self._directory.release(shard)

    def abandon(self) -> None:
        """Gives up every shard, released or not, when the process ends."""
        for shard in list(self._owned):
            self.hand_over(shard)

    def review(self) -> None:
        """Compares the shards held here with the rows as last read."""
        for shard, claim in list(self._owned.items()):
            row = self._directory.find(shard)
            epoch = claim.record.epoch
            if shard in self._handed_over:
                self._review_handover(shard, claim, row)
            elif row is None or row.epoch < epoch:
                self._directory.reconcile(shard, claim.record)
            elif row.epoch > epoch or row.incarnation != self._incarnation:
                self._give_up(claim)
        self.apply_config()
        self.tend_retired()

    def tend_retired(self) -> None:
        """Passes on what waits in retired shards and drops idle ones."""
        with self._lock:
            self._retired = [
                o for o in self._retired if o.dispatcher.count_in_flight()
            ]
            retired = list(self._retired)
        for owned in retired:
            row = self._directory.find(owned.id)
            if row is None or row.epoch <= owned.fleet.epoch:
                self._directory.refresh_shard(owned.id)
            self._parts.forwarder.forward(owned)

    def renew_workers(self) -> None:
        """Renews the owner lease of every worker that is due."""
        claims = [*self._owned.values(), *self._claims.values()]
        for claim in claims:
            claim.owned.fleet.renew()

    def poll_jobs(self) -> None:
        """Takes in new jobs and commits progress in every owned shard."""
        for owned in self.list_placing():
            owned.runner.poll()

    @property
    def poll_action(self) -> schedules.ConditionalAction:
        """Returns the action that takes in jobs after a notice."""
        return schedules.ConditionalAction(
            lambda: any(o.runner.is_notified() for o in self.list_placing()),
            self.poll_notified,
        )

    def poll_notified(self) -> None:
        """Takes in jobs of which there was a notice."""
        for owned in self.list_placing():
            owned.runner.poll_if_notified()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Takes in which VMs the platform lists as leaving."""
        for claim in [*self._owned.values(), *self._claims.values()]:
            claim.owned.fleet.set_leaving(set(names))

    def apply_config(self) -> None:
        """Makes every shard's workers match the configuration in force."""
        version = self._parts.applied.config.version
        for claim in [*self._owned.values(), *self._claims.values()]:
            is_due = claim.config_version < version
            if is_due and self._may_add_workers(claim):
                self._apply_workers(claim)

    @property
    def _incarnation(self) -> str:
        return self._parts.owner.rpartition("/")[2]

    def _may_add_workers(self, claim: _Claim) -> bool:
        """Returns whether this VM surely owned the shard a moment ago.

        A successor reads the configuration after its claim, so it knows every
        worker that was added while this VM owned the shard. A worker that was
        added later must not be used here: the successor would not list it.
        """
        shard = claim.owned.id
        if not self._list_unknown(claim.owned):
            return True
        row = self._directory.refresh_shard(shard).value_or(None)
        if row is None:
            return False
        if row.epoch > claim.record.epoch:
            self._give_up(claim)
            return False
        return True

    def _list_unknown(self, owned: shards.OwnedShard) -> list[inventory.Worker]:
        listed = self._parts.applied.config.inventory.list_workers(owned.id)
        return [w for w in listed if not owned.fleet.has_worker(w.name)]

    def _apply_workers(self, claim: _Claim) -> None:
        config = self._parts.applied.config
        shard = claim.owned.id
        claim.owned.apply_rules(config.rules)
        claim.owned.apply_workers(
            config.inventory.list_workers(shard),
            self._parts.create_client,
            config.list_retired(shard),
        )
        claim.config_version = config.version

    def _advance(self, claim: _Claim) -> None:
        """Owns a claimed shard as soon as its workers allow it."""
        workers = claim.owned.fleet
        if claim.is_tableless():
            is_ready = 2 * workers.count_listed() > workers.count_workers()
        else:
            is_ready = workers.is_fully_listed()
        if is_ready:
            self._own(claim)

    def _conclude(self, claim: _Claim) -> None:
        """Ends the wait for workers that do not answer."""
        if self._claims.get(claim.owned.id) is not claim:
            return
        if claim.is_tableless():
            self._give_up(claim)
        else:
            self._own(claim)

    def _own(self, claim: _Claim) -> None:
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
        self._tell(shard)

    def _tell(self, shard: identifiers.ShardId) -> None:
        with self._lock:
            listener = self._listeners.pop(shard, None)
        if listener is not None:
            listener()

    def _give_up(self, claim: _Claim) -> None:
        """Stops working on a shard at once."""
        shard = claim.owned.id
        claim.owned.fleet.stop()
        with self._lock:
            was_owned = self._owned.get(shard) is claim
            if was_owned:
                del self._owned[shard]
                self._handed_over.pop(shard, None)
                self._retired.append(claim.owned)
            elif self._claims.get(shard) is claim:
                del self._claims[shard]
                if claim.is_tableless():
                    self._held_off[shard] = self._timers.now() + HOLD_OFF_S
            else:
                return
        logging.info(
            "event=shard_given_up shard=%s epoch=%d",
            shard,
            claim.record.epoch,
        )

    def _review_handover(
        self,
        shard: identifiers.ShardId,
        claim: _Claim,
        row: ownership.ShardRecord | None,
    ) -> None:
        """Retires a shard once it has another owner, or nobody took it."""
        if row is not None and row.incarnation == self._incarnation:
            # The answer to the release was an error; write it again.
            self._directory.release(shard)
        has_owner = row is not None and row.epoch > claim.record.epoch
        held_s = self._timers.now() - self._handed_over[shard]
        if has_owner or held_s >= HANDOVER_LIMIT_S:
            logging.info("event=shard_left shard=%s taken=%s", shard, has_owner)
            self._give_up(claim)
            self.tend_retired()
