"""Workers of one shard, as managed by the owner of the shard."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from absl import logging

from persimmonpath import inventory
from persimmonpath import leases
from persimmonpath import placement
from persimmonpath import quarantine
from persimmonpath import renewals
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import timers
from persimmonpath import workerclients
from persimmonpath import workers
from persimmonpath import workertable

WORKER_LEASE_S = leases.WORKER_LEASE_S

ClientFactory = Callable[[inventory.Worker], workers.WorkerClient]


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """What the owner of a shard knows about earlier epochs.

    Attributes:
        complete_since: Lowest epoch since which no attempt ran on a worker
            that has left the inventory.
        has_unknown_workers: Whether tasks may run on workers that this owner
            does not know.
    """

    complete_since: int = 0
    has_unknown_workers: bool = False


NO_EARLIER_EPOCH = Takeover()


class Fleet:
    """Manages the owner leases, reservations and records of a shard's workers.

    The lock guards the reservations and the state of the listeners. It is
    never held while a worker is called.

    Attributes:
        lock: Guards all state of the shard.
        epoch: Epoch in which this process owns the shard.
        timers: Clock and timers.
    """

    def __init__(
        self,
        epoch: int,
        owner: str,
        timer_service: timers.TimerService,
        takeover: Takeover = NO_EARLIER_EPOCH,
    ):
        """Creates a fleet without workers.

        Args:
            epoch: Epoch in which this process owns the shard.
            owner: Name of this process in the workers' owner registers.
            timer_service: Clock and timers.
            takeover: What is known about earlier epochs.
        """
        self.epoch = epoch
        self.timers = timer_service
        self._takeover = takeover
        self._taken_over_at = timer_service.now()
        self._table = workertable.WorkerTable(epoch)
        self.lock = self._table.lock
        self._lease_renewer = renewals.LeaseRenewer(
            owner, self._table, timer_service, self.mark_fenced
        )
        # Retired workers that have been drained; bounded by the number of
        # retired workers in the configuration.
        self._drained: set[str] = set()
        self._is_fenced = False
        self._is_stopped = False
        self._quarantine = quarantine.Quarantine(timer_service)
        self._table.subscribe(self._record_result, lambda: None)
        self._fenced_listeners: list[Callable[[], None]] = []

    def subscribe(
        self,
        on_record: workertable.RecordListener,
        on_change: Callable[[], None],
    ) -> None:
        """Registers listeners.

        Args:
            on_record: Called under the lock with each attempt record from a
                listing or a renewal, so also when an attempt ends. Tasks of a
                lost worker are reported as stopped.
            on_change: Called without the lock when capacity may have been
                released or a worker was listed.
        """
        self._table.subscribe(on_record, on_change)

    def subscribe_fenced(self, on_fenced: Callable[[], None]) -> None:
        """Registers a listener for the takeover by another owner."""
        self._fenced_listeners.append(on_fenced)

    def apply_workers(
        self,
        listed: list[inventory.Worker],
        create_client: ClientFactory,
        retired: list[inventory.Worker] | None = None,
    ) -> None:
        """Updates the fleet to match the inventory.

        Args:
            listed: Workers of the shard.
            create_client: Creates the client of a worker.
            retired: Workers that left the inventory and may not be idle yet;
                they get no work and are removed once they are idle.
        """
        removed = retired or []
        self._drained &= {worker.name for worker in removed}
        for worker in [*listed, *removed]:
            is_known = self._table.find(worker.name) is not None
            if not is_known and worker.name not in self._drained:
                self.add_worker(worker, create_client(worker))
        draining = {worker.name: worker.draining for worker in listed}
        with self.lock:
            for entry in self._table.list_all():
                entry.is_removed = entry.worker.name not in draining
                entry.is_draining = draining.get(entry.worker.name, True)
                self._table.update_open(entry)
        self.notify()

    def set_leaving(self, names: set[str]) -> None:
        """Sets which VMs the platform lists as leaving."""
        with self.lock:
            for entry in self._table.list_all():
                entry.platform_lists_leaving = entry.worker.name in names
                self._table.update_open(entry)

    def add_worker(
        self, worker: inventory.Worker, client: workers.WorkerClient
    ) -> None:
        """Adds a worker and fences it; it gets work once it is listed."""

        def handle_reply(attempt, reply) -> None:
            self._lease_renewer.handle_start_reply(entry, attempt, reply)

        tracked = workerclients.StartReportingWorker(client, handle_reply)
        entry = workertable.WorkerEntry(
            worker, tracked, leases.OwnerLease(self.timers)
        )
        entry.is_draining = worker.draining
        self._table.add(entry)
        self._lease_renewer.fence(entry)

    def renew(self) -> None:
        """Renews or fences every worker that is due, removes drained ones."""
        self._lease_renewer.run_due()
        for entry in self._table.list_all():
            if entry.is_drained():
                name = entry.worker.name
                self._drained.add(name)
                self._table.remove(name)
                entry.client.disconnect()
                logging.info("event=worker_drained worker=%s", name)
        self._apply_quarantine()

    def relist(self, name: str) -> None:
        """Fences a worker again, so that it lists every attempt."""
        entry = self._table.find(name)
        if entry is not None:
            self._lease_renewer.fence(entry)

    def stop(self) -> None:
        """Stops placement and renewals; calls in flight still complete."""
        self._is_stopped = True
        self._lease_renewer.stop()

    def is_stopped(self) -> bool:
        """Returns whether placement has stopped."""
        return self._is_stopped

    def has_worker(self, name: str) -> bool:
        """Returns whether a worker belongs to the fleet."""
        return self._table.find(name) is not None

    def get_client(self, name: str) -> workers.WorkerClient:
        """Returns the client of a worker; calls to a removed worker fail."""
        entry = self._table.find(name)
        return entry.client if entry else workerclients.RemovedWorker(name)

    def apply_rules(self, cell_rules: rules.Rules) -> None:
        """Applies the operator's rules to later reservations."""
        with self.lock:
            self._table.placement.apply_rules(cell_rules.placement)
            self._quarantine.policy = cell_rules.policy

    def reserve(
        self,
        attempt: str,
        size: resources.Resources,
        excluded: Collection[str] = (),
        constraints: placement.Constraints = placement.NO_CONSTRAINTS,
    ) -> str | None:
        """Chooses a worker and reserves resources for an attempt.

        The caller must hold the lock.

        Args:
            attempt: The attempt.
            size: Resources that it needs.
            excluded: Names of workers that must not be chosen.
            constraints: Requirements on the worker other than resources.

        Returns:
            Name of the worker, or None when no worker has enough free
            capacity now.
        """
        if self._is_stopped:
            return None
        if excluded:
            avoided = constraints.avoided.union(excluded)
            constraints = dataclasses.replace(constraints, avoided=avoided)
        name = self._table.placement.choose(size, constraints)
        if name is not None:
            self._table.placement.reserve(name, attempt, size)
            self._table.placement.ensure_capacity(name)
            entry = self._table.find(name)
            entry.reservations[attempt] = workertable.Reservation(size)
            self._quarantine.record_start(name)
            self._update_quarantined(entry)
        return name

    def release(self, name: str, attempt: str) -> None:
        """Releases a reservation; the attempt must certainly not run."""
        self._table.release(name, attempt)

    def has_lapsed(self, name: str) -> bool:
        """Returns whether a worker has certainly stopped its attempts."""
        entry = self._table.find(name)
        return entry is None or entry.is_lost or entry.lease.has_lapsed()

    def list_workers(self) -> list[inventory.Worker]:
        """Returns the workers of the shard that are in the inventory."""
        return [entry.worker for entry in self._table.list_current()]

    def list_capacities(self) -> set[resources.Resources]:
        """Returns the capacities of workers that may be given work again.

        Workers that are only unreachable at the moment are included.
        """
        return {
            entry.worker.capacity
            for entry in self._table.list_current()
            if not entry.is_closed()
        }

    def count_workers(self) -> int:
        """Returns the number of the shard's workers in the inventory."""
        return len(self._table.list_current())

    def count_listed(self) -> int:
        """Returns the number of current workers listed in this epoch."""
        return sum(e.is_listed() for e in self._table.list_current())

    def get_worker(self, name: str) -> inventory.Worker:
        """Returns a worker as the inventory describes it."""
        return self._table.placement.get_worker(name)

    def explain_unfit(
        self, size: resources.Resources, kind: str, team: str
    ) -> str:
        """Returns why no worker can ever run a task, or "" if one can.

        Args:
            size: Resources that the task needs.
            kind: Kind of work.
            team: Team that submitted it.
        """
        with self.lock:
            fitting = [
                worker.name
                for worker in self.list_workers()
                if size.fits_in(worker.capacity)
            ]
            if not fitting:
                return f"fits_no_worker: no worker is as large as {size}"
            if any(self.allows(name, kind, team) for name in fitting):
                return ""
            return "fits_no_worker: the rules allow no worker of this size"

    def find_rack(self, name: str) -> str:
        """Returns the rack of a worker, or "" if the worker is unknown."""
        return self._table.placement.find_rack(name)

    def list_open(self) -> list[str]:
        """Returns the workers that accept new work; needs the lock."""
        return self._table.placement.list_open()

    def get_free(self, name: str) -> tuple[resources.Resources, int]:
        """Returns the free resources and slots of a worker; needs the lock."""
        return self._table.placement.get_free(name)

    def allows(self, name: str, kind: str, team: str) -> bool:
        """Returns whether the rules allow work on a worker."""
        return self._table.placement.allows(name, kind, team)

    def is_fully_listed(self) -> bool:
        """Returns whether every worker has been listed in this epoch."""
        return all(e.is_listed() for e in self._table.list_current())

    def may_have_unlisted_tasks(self) -> bool:
        """Returns whether tasks may run that appear in no listing.

        They may run on a worker that was unreachable at the takeover, until its
        lease from an earlier owner has certainly lapsed.
        """
        if self.timers.now() >= self._taken_over_at + 2 * WORKER_LEASE_S:
            return False
        if self._takeover.has_unknown_workers:
            return True
        return not all(e.is_listed() for e in self._table.list_all())

    def get_complete_since(self) -> int:
        """Returns the lowest epoch since which every attempt has a record."""
        if not self.is_fully_listed():
            return self.epoch
        listed = [e.complete_since for e in self._table.list_current()]
        return min(self.epoch, max([self._takeover.complete_since, *listed]))

    def count_free_slots(self) -> int:
        """Returns the number of free slots of workers that accept new work."""
        with self.lock:
            if self._is_stopped:
                return 0
            return self._table.placement.count_free_slots()

    def mark_fenced(self) -> None:
        """Stops the fleet because another owner has taken over.

        Called when a worker refuses this owner's epoch; later calls do nothing.
        """
        with self.lock:
            if self._is_fenced:
                return
            self._is_fenced = True
        self.stop()
        logging.warning("event=owner_fenced epoch=%d", self.epoch)
        for listener in self._fenced_listeners:
            listener()

    def is_fenced(self) -> bool:
        """Returns whether another owner has taken over."""
        return self._is_fenced

    def notify(self) -> None:
        """Calls the change listeners when capacity may have been released."""
        self._table.notify()

    def list_quarantined(self) -> list[str]:
        """Returns the quarantined workers, including those being probed."""
        with self.lock:
            return [
                entry.worker.name
                for entry in self._table.list_all()
                if self._quarantine.is_quarantined(entry.worker.name)
            ]

    def _record_result(self, name: str, record: workers.AttemptRecord) -> None:
        succeeded = record.state is workers.AttemptState.SUCCEEDED
        if not succeeded and record.state is not workers.AttemptState.FAILED:
            return
        was_quarantined = self._quarantine.is_quarantined(name)
        self._quarantine.observe(
            name, record.attempt, record.kind, succeeded, self.count_workers()
        )
        is_quarantined = self._quarantine.is_quarantined(name)
        if was_quarantined != is_quarantined:
            logging.warning(
                "event=worker_quarantine worker=%s on=%s", name, is_quarantined
            )
        entry = self._table.find(name)
        if entry is not None:
            self._update_quarantined(entry)

    def _apply_quarantine(self) -> None:
        with self.lock:
            entries = self._table.list_all()
            self._quarantine.retain({entry.worker.name for entry in entries})
            for entry in entries:
                self._update_quarantined(entry)

    def _update_quarantined(self, entry: workertable.WorkerEntry) -> None:
        is_closed = self._quarantine.is_closed(entry.worker.name)
        if entry.is_quarantined != is_closed:
            entry.is_quarantined = is_closed
            self._table.update_open(entry)
