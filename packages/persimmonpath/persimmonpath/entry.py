"""The entry VM: its components and periodic tasks, without a transport."""

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
from persimmonpath import shardmanager
from persimmonpath import shards
from persimmonpath import tables
from persimmonpath import timers

CONFIG_PERIOD_S = 1.0
WORKER_PERIOD_S = 1.0
GONE_VM_CLEANUP_PERIOD_S = 60.0
JOB_PERIOD_S = 0.5

Repeat = Callable[[float, Callable[[], None]], timers.Subscription]


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """External dependencies of an entry VM.

    Attributes:
        timers: Clock and timers.
        table: The table service.
        peers: Calls to other entry VMs.
        create_client: Creates the client of a worker.
        repeat: Runs an action every given number of seconds, never
            concurrently with itself.
        machines: The platform's VM list; None if there is none.
        seeds: Peer addresses of entry VMs of the zone, probed after a start
            while the platform is unavailable.
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
    """Names and addresses of an entry VM process.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone of the VM.
        peer_address: `IP:port` for other entry VMs.
        http_address: `IP:port` for callers.
        incarnation: Random id of the process, new at each start.
    """

    vm: str
    zone: str
    peer_address: str
    http_address: str
    incarnation: str


def create_identity(
    vm: str, zone: str, peer_address: str, http_address: str
) -> Identity:
    """Returns an identity with a new incarnation."""
    return Identity(vm, zone, peer_address, http_address, uuid.uuid4().hex[:12])


class EntryVm:
    """An entry VM of a cell.

    Attributes:
        identity: Its name and addresses.
        applied: Configuration that this VM applies.
        config_store: Versions of the configuration.
        session: Its session row.
        members: Sessions, shards and VMs as last read.
        observer: Liveness of all sessions as observed here.
        shard_manager: Shards that this VM owns or takes over.
        job_store: Job rows.
        peers: Calls to other entry VMs.
        timers: Clock and timers.
    """

    def __init__(self, identity: Identity, surroundings: Surroundings):
        """Creates an entry VM; `start` begins its periodic tasks."""
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
            self._handle_config_change,
        )
        self.applied = self._rollout.applied
        self._probes = probes.PeerProber(
            identity.zone,
            surroundings.peers,
            surroundings.timers,
            self._rollout.apply,
            lambda: self.applied.config.version,
        )
        self.shard_manager = self._create_shard_manager()
        self._ownership_controller = self._create_ownership_controller()
        self._subscriptions: list[timers.Subscription] = []
        self._zones: list[str] = []
        self._is_leaving = False

    def start(self) -> None:
        """Starts every periodic task; one registers and renews the session."""
        for period_s, action in (
            (sessions.RENEW_PERIOD_S, self.renew_session),
            (CONFIG_PERIOD_S, self.refresh_config),
            (membership.OWN_ZONE_PERIOD_S, self.refresh_directory),
            (membership.OTHER_ZONES_PERIOD_S, self.refresh_other_zones),
            (membership.MACHINES_PERIOD_S, self.refresh_machines),
            (probes.PROBE_PERIOD_S, self.probe_peers),
            (WORKER_PERIOD_S, self.renew_workers),
            (JOB_PERIOD_S, self.poll_jobs),
            (groupcommit.COMMIT_PERIOD_S, self.shard_manager.poll_action),
            (groupcommit.COMMIT_PERIOD_S, self.job_store.flush_action),
            (GONE_VM_CLEANUP_PERIOD_S, self.members.delete_gone_sessions),
        ):
            repeat = self._surroundings.repeat
            self._subscriptions.append(repeat(period_s, action))

    def may_serve(self) -> bool:
        """Returns whether this VM may serve requests.

        A VM without a session may serve only while a peer with a session
        confirms that its zone applies the same configuration version.
        """
        if self.applied.config.version == 0:
            return False
        return self.session.is_registered() or self._probes.is_confirmed()

    def is_ready(self) -> bool:
        """Returns whether callers should send requests here."""
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
        return self.shard_manager.find(shard)

    def list_owned(self) -> list[shards.OwnedShard]:
        """Returns all shards that this VM owns."""
        return self.shard_manager.list_owned()

    def find_owner_address(self, shard: identifiers.ShardId) -> str | None:
        """Returns the last known peer address of a shard's owner.

        While the table service is unavailable, an owner may have claimed the
        shard without it. Only the owner's probe replies show such a claim, so
        a probed owner with a higher epoch than the row takes precedence.
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

    def accept_offer(self, shard: identifiers.ShardId) -> futures.Future:
        """Claims a shard that its owner has released to this VM.

        Returns:
            A future of a result: the epoch once this VM owns the shard, or a
            `NotOwnerError`.
        """
        return self._ownership_controller.accept_offer(shard)

    def describe(self) -> peers.Probe:
        """Returns this VM's reply to the probes of other entry VMs."""
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
            Its status: `Pending` or `Accepted` if it was committed, `Conflict`
            if another version was committed first. `TableUnavailableError`
            means that it was definitely not committed.

        Raises:
            errors.InputError: If a property of a worker or zone changes that
                must not change.
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
        """Returns the number of unfinished requests in shards held here."""
        return self.shard_manager.count_in_flight()

    def begin_leaving(self) -> None:
        """Stops being ready and starts to transfer every shard."""
        self._is_leaving = True
        logging.info("event=leaving vm=%s", self.identity.vm)
        self.renew_session()
        self._ownership_controller.leave()

    def finish_leaving(self) -> None:
        """Stops periodic tasks, releases every shard, closes the session."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self.shard_manager.transfer_all()
        self.session.renew(
            self.applied.config.version, sessions.SessionState.CLOSED
        )

    def renew_session(self) -> None:
        """Renews the session with the applied configuration version."""
        state = sessions.SessionState.LIVE
        if self._is_leaving or self._ownership_controller.is_leaving():
            state = sessions.SessionState.LEAVING
        reply = self.session.renew(self.applied.config.version, state)
        if isinstance(reply, result.Failure):
            logging.warning(
                "event=session_renewal_failed error=%s", reply.failure()
            )

    def refresh_config(self) -> None:
        """Reads and applies a newer version of the configuration, if any."""
        if self._rollout.read_newer():
            self._rollout.check_pending()

    def refresh_directory(self) -> None:
        """Reads this zone's rows, then transfers and claims shards."""
        reply = self.members.refresh_own_zone()
        if isinstance(reply, result.Failure):
            return
        self.shard_manager.reconcile_ownership()
        self._ownership_controller.transfer_shards()
        self._ownership_controller.claim_shards()

    def refresh_other_zones(self) -> None:
        """Reads the sessions and shards of the other zones."""
        self._zones = [z.name for z in self.applied.config.inventory.zones]
        self.members.refresh_other_zones(self._zones)

    def refresh_machines(self) -> None:
        """Reads the platform's VM list and marks workers that are leaving."""
        self.members.refresh_machines()
        self.shard_manager.set_leaving(self.members.list_leaving())

    def probe_peers(self) -> None:
        """Probes peers while the table or the session is unavailable."""
        is_outage = self.members.measure_table_outage_s() > (
            sessions.MAX_READ_GAP_PERIODS * membership.OWN_ZONE_PERIOD_S
        )
        if is_outage or not self.session.is_registered():
            self._probes.run(self._list_probe_targets())
            self._ownership_controller.claim_without_table()

    def renew_workers(self) -> None:
        """Renews the owner leases of workers whose renewal is due."""
        self.shard_manager.renew_workers()

    def poll_jobs(self) -> None:
        """Polls the jobs of every owned shard and maintains retired shards."""
        self.shard_manager.forward_retired()
        self.shard_manager.poll_jobs()

    def _handle_config_change(self) -> None:
        self.shard_manager.apply_config()
        if self.session.is_registered():
            # A version is accepted only once every session row has it.
            self.renew_session()
        zones = [z.name for z in self.applied.config.inventory.zones]
        if zones != self._zones:
            self.refresh_other_zones()

    def _list_probe_targets(self) -> list[probes.Target]:
        targets = {
            record.peer_address: probes.Target(record.peer_address, record.zone)
            for record in self.observer.list_sessions()
            if record.state is not sessions.SessionState.CLOSED
        }
        for seed in self._surroundings.seeds:
            targets[seed] = probes.Target(seed, self.identity.zone)
        targets.pop(self.identity.peer_address, None)
        return list(targets.values())

    def _create_shard_manager(self) -> shardmanager.ShardManager:
        identity = self.identity
        return shardmanager.ShardManager(
            shardmanager.Dependencies(
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
                self.shard_manager,
                self.applied,
                self.peers,
                self._rollout.read_newer,
            )
        )
