"""An entry VM: its parts and its periodic tasks, without any transport."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import uuid

from absl import logging
from returns import result

from persimmonpath import acceptance
from persimmonpath import configversions
from persimmonpath import errors
from persimmonpath import forwarding
from persimmonpath import groupcommit
from persimmonpath import holdings
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import jobs
from persimmonpath import machines as machines_module
from persimmonpath import membership
from persimmonpath import ownershipcontroller
from persimmonpath import peers
from persimmonpath import probes
from persimmonpath import rollout
from persimmonpath import rules
from persimmonpath import sessions
from persimmonpath import shards
from persimmonpath import tables
from persimmonpath import timers

CONFIG_PERIOD_S = 1.0
WORKER_PERIOD_S = 1.0
FORGET_PERIOD_S = 60.0
JOB_PERIOD_S = 0.5

Repeat = Callable[[float, Callable[[], None]], timers.Subscription]


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What an entry VM works with.

    Attributes:
        timers: Source of time.
        table: The table service.
        peers: Calls to other entry VMs.
        create_client: Creates the client of a worker.
        repeat: Runs an action periodically, never twice at once.
        machines: The platform's VM list; None when there is none.
        seeds: Peer addresses of entry VMs of the zone, for a start while the
            platform is unavailable.
    """

    timers: timers.TimerService
    table: tables.Table
    peers: peers.Peers
    create_client: shards.ClientFactory
    repeat: Repeat
    machines: machines_module.MachineList | None = None
    seeds: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What an entry VM is called and where it listens.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        peer_address: `IP:port` for other entry VMs.
        http_address: `IP:port` for callers.
        incarnation: Random id of the process.
    """

    vm: str
    zone: str
    peer_address: str
    http_address: str
    incarnation: str


def create_identity(
    vm: str, zone: str, peer_address: str, http_address: str
) -> Identity:
    """Returns the identity of a new process."""
    return Identity(vm, zone, peer_address, http_address, uuid.uuid4().hex[:12])


class EntryVm:
    """One entry VM.

    Attributes:
        identity: Its name and addresses.
        applied: Configuration in force here.
        config_store: Versions of the configuration.
        session: Its session.
        members: Sessions, shards and VMs as last read.
        observer: Its view of all sessions.
        holdings: Shards held here.
        job_store: Job rows.
        peers: Calls to other entry VMs.
        timers: Source of time.
    """

    def __init__(self, identity: Identity, surroundings: Surroundings):
        """Creates an entry VM that does nothing until `start`."""
        self.identity = identity
        self.timers = surroundings.timers
        self.peers = surroundings.peers
        self.job_store = jobs.create_job_store(
            f"{identity.zone}/{identity.vm}",
            surroundings.table,
            surroundings.timers,
        )
        self.session = sessions.create_session(
            identity.vm,
            identity.zone,
            identity.incarnation,
            identity.peer_address,
            identity.http_address,
            surroundings.table,
            surroundings.timers,
        )
        self.members = membership.Membership(
            identity.zone,
            identity.vm,
            identity.incarnation,
            surroundings.table,
            surroundings.timers,
            surroundings.machines,
        )
        self.observer = self.members.observer
        self._surroundings = surroundings
        self.config_store = configversions.ConfigVersionStore(
            surroundings.table
        )
        self._rollout = rollout.Rollout(
            self.config_store,
            acceptance.AcceptanceStore(surroundings.table, self.members),
            self._act_on_config,
        )
        self.applied = self._rollout.applied
        self._probes = probes.Probes(
            identity.zone,
            surroundings.peers,
            surroundings.timers,
            self._rollout.apply,
            lambda: self.applied.config.version,
        )
        self.holdings = self._create_holdings()
        self._ownership_controller = self._create_ownership_controller()
        self._subscriptions: list[timers.Subscription] = []
        self._zones: list[str] = []
        self._is_leaving = False

    def start(self) -> None:
        """Registers the session and starts every periodic task."""
        for period_s, action in (
            (sessions.RENEW_PERIOD_S, self.renew_session),
            (CONFIG_PERIOD_S, self.refresh_config),
            (membership.OWN_ZONE_PERIOD_S, self.refresh_directory),
            (membership.OTHER_ZONES_PERIOD_S, self.refresh_other_zones),
            (membership.MACHINES_PERIOD_S, self.refresh_machines),
            (probes.PROBE_PERIOD_S, self.probe_peers),
            (WORKER_PERIOD_S, self.renew_workers),
            (JOB_PERIOD_S, self.poll_jobs),
            (groupcommit.COMMIT_PERIOD_S, self.holdings.poll_action),
            (groupcommit.COMMIT_PERIOD_S, self.job_store.flush_action),
            (FORGET_PERIOD_S, self.members.delete_gone_sessions),
        ):
            repeat = self._surroundings.repeat
            self._subscriptions.append(repeat(period_s, action))

    def may_serve(self) -> bool:
        """Returns whether this VM is known to be part of the cell.

        A VM without a session serves only while a peer with one vouches that
        its zone's configuration is the one applied here.
        """
        if self.applied.config.version == 0:
            return False
        return self.session.is_registered() or self._probes.is_vouched()

    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""
        if not self.may_serve() or self._is_leaving:
            return False
        return any(
            self.find_owned(shard) or self.find_owner_address(shard)
            for shard in self.applied.config.inventory.list_shards()
            if shard.zone == self.identity.zone
        )

    def is_leaving(self) -> bool:
        """Returns whether a graceful shutdown has begun."""
        return self._is_leaving

    def find_owned(
        self, shard: identifiers.ShardId
    ) -> shards.OwnedShard | None:
        """Returns a shard that this VM owns, else None."""
        return self.holdings.find(shard)

    def list_owned(self) -> list[shards.OwnedShard]:
        """Returns all shards that this VM owns."""
        return self.holdings.list_owned()

    def find_owner_address(self, shard: identifiers.ShardId) -> str | None:
        """Returns the peer address of a shard's owner as last learned.

        While the table is unavailable an owner may have claimed without it,
        which only its answers to probes tell.
        """
        if not self.may_serve():
            return None
        record = self.members.get_directory(shard.zone).find(shard)
        known = record.epoch if record and record.vm else 0
        probed = self._probes.find_owner(shard)
        if probed is not None and probed[1] > known:
            return probed[0]
        session = self.members.find_owner(shard)
        return session.peer_address if session else None

    def take_offer(self, shard: identifiers.ShardId) -> futures.Future:
        """Claims a shard that its owner has released for this VM.

        Returns:
            A future of a result: the epoch, once the shard is owned, or a
            `NotOwnerError`.
        """
        return self._ownership_controller.take_offer(shard)

    def describe(self) -> peers.Probe:
        """Returns the state that other entry VMs ask for."""
        return peers.Probe(
            vm=self.identity.vm,
            incarnation=self.identity.incarnation,
            config_version=self.applied.config.version,
            has_session=self.session.is_registered(),
            shards=[
                peers.ShardLoad(
                    owned.id,
                    owned.fleet.epoch,
                    owned.fleet.count_free_slots(),
                    owned.dispatcher.count_in_flight(),
                )
                for owned in self.list_owned()
            ],
            is_connected=self.session.is_live(),
        )

    def commit_config(
        self,
        based_on: int,
        author: str,
        content_inventory: inventory.Inventory,
        content_rules: rules.Rules,
    ) -> result.Result[acceptance.Status, errors.TableError]:
        """Commits a version of the configuration and applies it here.

        Returns:
            Its status: `Pending` or `Accepted` when it was committed,
            `Conflict` when another version was. `TableUnavailableError` means
            that it surely was not committed.

        Raises:
            errors.InputError: If a worker or a zone changes what it may not.
        """
        return self._rollout.commit(
            based_on, author, content_inventory, content_rules
        )

    def read_config_status(
        self, version: int
    ) -> result.Result[acceptance.Status, errors.TableError]:
        """Returns whether a committed version is accepted or pending."""
        return self._rollout.read_status(version)

    def count_in_flight(self) -> int:
        """Returns the requests without a final outcome in shards held here."""
        return self.holdings.count_in_flight()

    def begin_leaving(self) -> None:
        """Stops being ready and hands every shard over."""
        self._is_leaving = True
        logging.info("event=leaving vm=%s", self.identity.vm)
        self.renew_session()
        self._ownership_controller.leave()

    def finish_leaving(self) -> None:
        """Releases what is left and closes the session."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self.holdings.abandon()
        self.session.renew(
            self.applied.config.version, sessions.SessionState.CLOSED
        )

    def renew_session(self) -> None:
        """Renews the session."""
        state = sessions.SessionState.LIVE
        if self._is_leaving or self._ownership_controller.is_leaving():
            state = sessions.SessionState.LEAVING
        reply = self.session.renew(self.applied.config.version, state)
        if isinstance(reply, result.Failure):
            logging.warning(
                "event=session_renewal_failed error=%s", reply.failure()
            )

    def refresh_config(self) -> None:
        """Applies a newer version of the configuration if there is one."""
        if self._rollout.read_newer():
            self._rollout.check_pending()

    def refresh_directory(self) -> None:
        """Reads this zone's sessions and shards and acts on changes."""
        reply = self.members.refresh_own_zone()
        if isinstance(reply, result.Failure):
            return
        self.holdings.review()
        self._ownership_controller.transfer_shards()
        self._ownership_controller.claim_shards()

    def refresh_other_zones(self) -> None:
        """Reads the sessions and shards of the other zones."""
        self._zones = [z.name for z in self.applied.config.inventory.zones]
        self.members.refresh_other_zones(self._zones)

    def refresh_machines(self) -> None:
        """Reads the platform's VM list."""
        self.members.refresh_machines()
        self.holdings.set_leaving(self.members.list_leaving())

    def probe_peers(self) -> None:
        """Asks peers what the table does not tell while it is unavailable."""
        is_outage = self.members.measure_table_outage_s() > (
            sessions.MAX_READ_GAP_PERIODS * membership.OWN_ZONE_PERIOD_S
        )
        if is_outage or not self.session.is_registered():
            self._probes.run(self._list_targets())
            self._ownership_controller.claim_without_table()

    def renew_workers(self) -> None:
        """Renews the owner lease of every worker that is due."""
        self.holdings.renew_workers()

    def poll_jobs(self) -> None:
        """Takes in new jobs and commits progress in every owned shard."""
        self.holdings.tend_retired()
        self.holdings.poll_jobs()

    def _act_on_config(self) -> None:
        self.holdings.apply_config()
        if self.session.is_registered():
            # Acceptance waits for this row.
            self.renew_session()
        zones = [z.name for z in self.applied.config.inventory.zones]
        if zones != self._zones:
            self.refresh_other_zones()

    def _list_targets(self) -> list[probes.Target]:
        targets = {
            record.peer_address: probes.Target(record.peer_address, record.zone)
            for record in self.observer.list_sessions()
            if record.state is not sessions.SessionState.CLOSED
        }
        for seed in self._surroundings.seeds:
            targets[seed] = probes.Target(seed, self.identity.zone)
        targets.pop(self.identity.peer_address, None)
        return list(targets.values())

    def _create_holdings(self) -> holdings.Holdings:
        identity = self.identity
        return holdings.Holdings(
            holdings.Dependencies(
                f"{identity.vm}/{identity.incarnation}",
                self.timers,
                self.members.get_directory(identity.zone),
                self.applied,
                self.job_store,
                self._surroundings.create_client,
                forwarding.Forwarder(
                    self.peers, self.find_owner_address, self.find_owned
                ),
            )
        )

    def _create_ownership_controller(
        self,
    ) -> ownershipcontroller.OwnershipController:
        return ownershipcontroller.OwnershipController(
            ownershipcontroller.Dependencies(
                self.session,
                self.members,
                self._probes,
                self.holdings,
                self.applied,
                self.peers,
                self._rollout.read_newer,
            )
        )
