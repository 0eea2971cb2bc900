"""An entry VM: its parts and its periodic tasks, without any transport."""

from collections.abc import Callable
import dataclasses
import threading
import uuid

from absl import logging
from returns import result

from persimmonpath import configuration
from persimmonpath import errors
from persimmonpath import groupcommit
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import jobs
from persimmonpath import ownership
from persimmonpath import peers
from persimmonpath import rules
from persimmonpath import sessions
from persimmonpath import shards
from persimmonpath import tables
from persimmonpath import timers

DIRECTORY_PERIOD_S = 1.0
CONFIG_PERIOD_S = 1.0
WORKER_PERIOD_S = 3.0
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
    """

    timers: timers.TimerService
    table: tables.Table
    peers: peers.Peers
    create_client: shards.ClientFactory
    repeat: Repeat


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
        session: Its session.
        observer: Its view of all sessions.
        job_store: Job rows.
        peers: Calls to other entry VMs.
        timers: Source of time.
    """

    def __init__(self, identity: Identity, surroundings: Surroundings):
        """Creates an entry VM that does nothing until `start`."""
        self.identity = identity
        self.timers = surroundings.timers
        self.peers = surroundings.peers
        self.applied = configuration.AppliedConfiguration()
        self.config_store = configuration.ConfigurationStore(surroundings.table)
        self.job_store = jobs.create_job_store(
            f"{identity.zone}/{identity.vm}",
            surroundings.table,
            surroundings.timers,
        )
        self.observer = sessions.SessionObserver(surroundings.timers)
        self.session = sessions.create_session(
            identity.vm,
            identity.zone,
            identity.incarnation,
            identity.peer_address,
            identity.http_address,
            surroundings.table,
            surroundings.timers,
        )
        self._table = surroundings.table
        self._create_client = surroundings.create_client
        self._repeat = surroundings.repeat
        self._directories: dict[str, ownership.ShardDirectory] = {}
        self._lock = threading.RLock()
        self._owned: dict[identifiers.ShardId, shards.OwnedShard] = {}
        self._subscriptions: list[timers.Subscription] = []
        self._is_leaving = False

    def start(self) -> None:
        """Registers the session and starts every periodic task."""
        for period_s, action in (
            (sessions.RENEW_PERIOD_S, self.renew_session),
            (CONFIG_PERIOD_S, self.refresh_config),
            (DIRECTORY_PERIOD_S, self.refresh_directory),
            (WORKER_PERIOD_S, self.renew_workers),
            (JOB_PERIOD_S, self.poll_jobs),
            (groupcommit.COMMIT_PERIOD_S, self.flush_jobs),
        ):
            self._subscriptions.append(self._repeat(period_s, action))

    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""
        if self.applied.config.version == 0 or self._is_leaving:
            return False
        return any(
            self.find_owned(shard) or self.find_owner_address(shard)
            for shard in self.applied.config.inventory.list_shards()
            if shard.zone == self.identity.zone
        )

    def find_owned(
        self, shard: identifiers.ShardId
    ) -> shards.OwnedShard | None:
        """Returns a shard that this VM owns, else None."""
        with self._lock:
            return self._owned.get(shard)

    def list_owned(self) -> list[shards.OwnedShard]:
        """Returns all shards that this VM owns."""
        with self._lock:
            return list(self._owned.values())

    def find_owner_address(self, shard: identifiers.ShardId) -> str | None:
        """Returns the peer address of a shard's owner as last read."""
        directory = self._directories.get(shard.zone)
        record = directory.find(shard) if directory else None
        if record is None or not record.vm:
            return None
        session = self.observer.find(shard.zone, record.vm)
        return session.peer_address if session else None

    def describe(self) -> peers.Probe:
        """Returns the state that other entry VMs ask for."""
        return peers.Probe(
            vm=self.identity.vm,
            incarnation=self.identity.incarnation,
            config_version=self.applied.config.version,
            has_session=self.session.is_live(),
            shards=[
                peers.ShardLoad(
                    owned.id,
                    owned.fleet.epoch,
                    owned.fleet.count_free_slots(),
                    owned.dispatcher.count_in_flight(),
                )
                for owned in self.list_owned()
            ],
        )

    def commit_config(
        self,
        based_on: int,
        author: str,
        content_inventory: inventory.Inventory,
        content_rules: rules.Rules,
    ) -> result.Result[configuration.Configuration, errors.TableError]:
        """Commits a version of the configuration and applies it here."""
        reply = self.config_store.commit(
            based_on,
            author,
            uuid.uuid4().hex,
            content_inventory,
            content_rules,
        )
        if isinstance(reply, result.Success):
            self._apply_config(reply.unwrap())
        return reply

    def count_in_flight(self) -> int:
        """Returns the requests that are not final in any owned shard."""
        return sum(o.dispatcher.count_in_flight() for o in self.list_owned())

    def begin_leaving(self) -> None:
        """Stops being ready and claiming shards."""
        self._is_leaving = True
        logging.info("event=leaving vm=%s", self.identity.vm)

    def finish_leaving(self) -> None:
        """Releases every shard and closes the session."""
        for subscription in self._subscriptions:
            subscription.cancel()
        directory = self._get_directory(self.identity.zone)
        for owned in self.list_owned():
            directory.release(owned.id)
        self.session.renew(
            self.applied.config.version, sessions.SessionState.CLOSED
        )

    def renew_session(self) -> None:
        """Renews the session."""
        reply = self.session.renew(self.applied.config.version)
        if isinstance(reply, result.Failure):
            logging.warning(
                "event=session_renewal_failed error=%s", reply.failure()
            )

    def refresh_config(self) -> None:
        """Applies a newer version of the configuration if there is one."""
        current = self.config_store.read_current()
        if isinstance(current, result.Failure) or current.unwrap() is None:
            return
        version = current.unwrap().version
        if version <= self.applied.config.version:
            return
        reply = self.config_store.read(version)
        if isinstance(reply, result.Success) and reply.unwrap():
            self._apply_config(reply.unwrap())

    def refresh_directory(self) -> None:
        """Reads sessions and shards, drops lost shards and claims others."""
        scan = self._table.scan(sessions.PREFIX)
        if isinstance(scan, result.Failure):
            return
        self.observer.observe(sessions.PREFIX, scan.unwrap())
        for zone in self.applied.config.inventory.zones:
            self._get_directory(zone.name).refresh()
        self._drop_lost_shards()
        if self.session.is_live() and not self._is_leaving:
            self._claim_shards()

    def renew_workers(self) -> None:
        """Renews the owner lease of every worker of every owned shard."""
        for owned in self.list_owned():
            owned.fleet.renew()

    def poll_jobs(self) -> None:
        """Takes in new jobs and commits progress in every owned shard."""
        for owned in self.list_owned():
            owned.runner.poll()

    def flush_jobs(self) -> None:
        """Takes in jobs of which there was a notice and commits a group."""
        for owned in self.list_owned():
            owned.runner.poll_if_notified()
        self.job_store.flush()

    def _apply_config(self, config: configuration.Configuration) -> None:
        with self._lock:
            if not self.applied.apply(config):
                return
        logging.info("event=config_applied version=%d", config.version)
        for owned in self.list_owned():
            self._apply_workers(owned)

    def _apply_workers(self, owned: shards.OwnedShard) -> None:
        listed = self.applied.config.inventory.list_workers(owned.id)
        owned.apply_rules(self.applied.config.rules)
        owned.apply_workers(listed, self._create_client)

    def _get_directory(self, zone: str) -> ownership.ShardDirectory:
        if zone not in self._directories:
            self._directories[zone] = ownership.ShardDirectory(
                zone, self.identity.vm, self.identity.incarnation, self._table
            )
        return self._directories[zone]

    def _claim_shards(self) -> None:
        directory = self._get_directory(self.identity.zone)
        for shard in self.applied.config.inventory.list_shards():
            if shard.zone != self.identity.zone or self.find_owned(shard):
                continue
            record = directory.find(shard)
            if not ownership.should_claim(
                shard, record, self.session.record, self.observer
            ):
                continue
            claimed = directory.claim(shard)
            if isinstance(claimed, result.Success):
                self._take_over(shard, claimed.unwrap())

    def _take_over(self, shard: identifiers.ShardId, epoch: int) -> None:
        logging.info("event=shard_claimed shard=%s epoch=%d", shard, epoch)
        owned = shards.create_owned_shard(
            shard,
            epoch,
            f"{self.identity.vm}/{self.identity.incarnation}",
            self.timers,
            self.job_store,
            self.applied.config.rules.policy,
        )
        with self._lock:
            self._owned[shard] = owned
        self._apply_workers(owned)

    def _drop_lost_shards(self) -> None:
        directory = self._get_directory(self.identity.zone)
        for owned in self.list_owned():
            if directory.is_mine(owned.id) and not owned.fleet.is_fenced():
                continue
            logging.warning("event=shard_lost shard=%s", owned.id)
            with self._lock:
                self._owned.pop(owned.id, None)
