"""The workers of one shard as their owner holds them."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from absl import logging

from persimmonpath import holds
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

WORKER_LEASE_S = leases.WORKER_LEASE_S

ClientFactory = Callable[[inventory.Worker], workers.WorkerClient]


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """What the owner of a shard knows of the time before its epoch.

    Attributes:
        complete_since: Lowest epoch of which no attempt ran on a worker that
            is no longer in the inventory.
        has_unknown_workers: Whether tasks may run on workers that are not
            known here.
    """

    complete_since: int = 0
    has_unknown_workers: bool = False


NOTHING_BEFORE = Takeover()


class Fleet:
    """Owner leases, reservations and attempt records of a shard's workers.

    The lock guards the reservations and whatever the listeners keep; it is
    never held while a worker is called.

    Attributes:
        lock: Guards all state of the shard.
        epoch: Epoch in which this process owns the shard.
    """

    def __init__(
        self,
        epoch: int,
        owner: str,
        timer_service: timers.TimerService,
        takeover: Takeover = NOTHING_BEFORE,
    ):
        """Creates a fleet without workers.

        Args:
            epoch: Epoch in which this process owns the shard.
            owner: Name of this process in the workers' owner registers.
            timer_service: Source of time.
            takeover: What is known of the time before.
        """
        self.epoch = epoch
        self.timers = timer_service
        self._takeover = takeover
        self._taken_over_at = timer_service.now()
        self._held = holds.Holds(epoch)
        self.lock = self._held.lock
        self._renewals = renewals.Renewals(
            owner, self._held, timer_service, self.mark_fenced
        )
        # Retired workers that have been drained; as many as are retired.
        self._drained: set[str] = set()
        self._is_fenced = False
        self._is_stopped = False
        self._quarantine = quarantine.Quarantine(timer_service)
        self._held.subscribe(self._observe, lambda: None)
        self._fenced_listeners: list[Callable[[], None]] = []

    def subscribe(
        self, on_record: holds.RecordListener, on_change: Callable[[], None]
    ) -> None:
        """Registers listeners.

        Args:
            on_record: Called under the lock with each attempt record that a
                worker reports unasked: at a fence, and when an attempt ends.
                Tasks of a lost worker are reported as stopped.
            on_change: Called without the lock when capacity may have come
                free or a worker was listed.
        """
        self._held.subscribe(on_record, on_change)

    def subscribe_fenced(self, on_fenced: Callable[[], None]) -> None:
        """Registers a listener that is called once another owner took over."""
        self._fenced_listeners.append(on_fenced)

    def apply_workers(
        self,
        listed: list[inventory.Worker],
        create_client: ClientFactory,
        retired: list[inventory.Worker] | None = None,
    ) -> None:
        """Makes the fleet match the inventory.

        Args:
            listed: Workers of the shard.
            create_client: Creates the client of a worker.
            retired: Workers that left the inventory and may not be idle yet;
                they get no work and are dropped once they are idle.
        """
        left = retired or []
        self._drained &= {worker.name for worker in left}
        for worker in [*listed, *left]:
            is_held = self._held.find(worker.name) is not None
            if not is_held and worker.name not in self._drained:
                self.add_worker(worker, create_client(worker))
        draining = {worker.name: worker.draining for worker in listed}
        with self.lock:
            for hold in self._held.list_all():
                hold.is_removed = hold.worker.name not in draining
                hold.is_draining = draining.get(hold.worker.name, True)
                self._held.update_open(hold)
        self.notify()

    def set_leaving(self, names: set[str]) -> None:
        """Takes in which VMs the platform lists as leaving."""
        with self.lock:
            for hold in self._held.list_all():
                hold.is_listed_leaving = hold.worker.name in names
                self._held.update_open(hold)

    def add_worker(
        self, worker: inventory.Worker, client: workers.WorkerClient
    ) -> None:
        """Adds a worker and fences it; it is placed on once it is listed."""

        def take(attempt, reply) -> None:
            self._renewals.take_start(hold, attempt, reply)

        tracked = workerclients.StartReportingWorker(client, take)
        hold = holds.Hold(worker, tracked, leases.OwnerLease(self.timers))
        hold.is_draining = worker.draining
        self._held.add(hold)
        self._renewals.fence(hold)

    def renew(self) -> None:
        """Renews or fences every worker that is due, drops drained ones."""
        self._renewals.run_due()
        for hold in self._held.list_all():
            if hold.is_drained():
                name = hold.worker.name
                self._drained.add(name)
                self._held.remove(name)
                hold.client.disconnect()
                logging.info("event=worker_drained worker=%s", name)
        self._apply_quarantine()

    def relist(self, name: str) -> None:
        """Has a worker report every attempt again."""
        hold = self._held.find(name)
        if hold is not None:
            self._renewals.fence(hold)

    def stop(self) -> None:
        """Ends placing and renewing; calls in flight are still answered."""
        self._is_stopped = True
        self._renewals.stop()

    def is_stopped(self) -> bool:
        """Returns whether nothing is placed any more."""
        return self._is_stopped

    def has_worker(self, name: str) -> bool:
        """Returns whether a worker is held."""
        return self._held.find(name) is not None

    def get_client(self, name: str) -> workers.WorkerClient:
        """Returns the client of a worker; calls of a dropped one fail."""
        hold = self._held.find(name)
        return hold.client if hold else workerclients.RemovedWorker(name)

    def apply_rules(self, cell_rules: rules.Rules) -> None:
        """Makes later reservations follow the operator's rules."""
        with self.lock:
            self._held.placement.apply_rules(cell_rules.placement)
            self._quarantine.policy = cell_rules.policy

    def reserve(
        self,
        attempt: str,
        size: resources.Resources,
        excluded: Collection[str] = (),
        need: placement.Need = placement.ANY,
    ) -> str | None:
        """Chooses a worker and reserves it for an attempt; needs the lock.

        Args:
            attempt: The attempt.
            size: What it needs.
            excluded: Workers not to choose.
            need: What it asks of the worker besides resources.

        Returns:
            Name of the worker, or None when no worker has room now.
        """
        if self._is_stopped:
            return None
        if excluded:
            avoided = need.avoided.union(excluded)
            need = dataclasses.replace(need, avoided=avoided)
        name = self._held.placement.choose(size, need)
        if name is not None:
            self._held.placement.reserve(name, attempt, size)
            self._held.placement.ensure_capacity(name)
            hold = self._held.find(name)
            hold.attempts[attempt] = holds.Attempt(size)
            self._quarantine.note_start(name)
            self._update_quarantined(hold)
        return name

    def release(self, name: str, attempt: str) -> None:
        """Gives back a reservation, once the attempt certainly does not run."""
        self._held.release(name, attempt)

    def has_lapsed(self, name: str) -> bool:
        """Returns whether a worker has certainly stopped what it ran."""
        hold = self._held.find(name)
        return hold is None or hold.is_lost or hold.lease.has_lapsed()

    def list_workers(self) -> list[inventory.Worker]:
        """Returns the workers of the shard that are in the inventory."""
        return [hold.worker for hold in self._held.list_current()]

    def list_capacities(self) -> set[resources.Resources]:
        """Returns the capacities of workers that may be given work again.

        A worker that only cannot be reached now is among them.
        """
        return {
            hold.worker.capacity
            for hold in self._held.list_current()
            if not hold.is_closed()
        }

    def count_workers(self) -> int:
        """Returns the workers of the shard that are in the inventory."""
        return len(self._held.list_current())

    def count_listed(self) -> int:
        """Returns the workers in the inventory that accepted this epoch."""
        return sum(h.is_listed() for h in self._held.list_current())

    def get_worker(self, name: str) -> inventory.Worker:
        """Returns a worker as the inventory describes it."""
        return self._held.placement.get_worker(name)

    def explain_unfit(
        self, size: resources.Resources, kind: str, team: str
    ) -> str:
        """Returns why no worker can ever run a task, empty if one can."""
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
        """Returns the rack of a worker, empty for one that is gone."""
        return self._held.placement.find_rack(name)

    def list_open(self) -> list[str]:
        """Returns the workers that are open to work; needs the lock."""
        return self._held.placement.list_open()

    def get_free(self, name: str) -> tuple[resources.Resources, int]:
        """Returns free resources and slots of a worker; needs the lock."""
        return self._held.placement.get_free(name)

    def allows(self, name: str, kind: str, team: str) -> bool:
        """Returns whether the rules allow work on a worker."""
        return self._held.placement.allows(name, kind, team)

    def is_fully_listed(self) -> bool:
        """Returns whether every worker's records have been taken in."""
        return all(h.is_listed() for h in self._held.list_current())

    def may_run_unlisted(self) -> bool:
        """Returns whether tasks may run that are in no listing.

        They may on a worker that was not reached at the takeover, until its
        lease from an earlier owner has certainly lapsed.
        """
        if self.timers.now() >= self._taken_over_at + 2 * WORKER_LEASE_S:
            return False
        if self._takeover.has_unknown_workers:
            return True
        return not all(h.is_listed() for h in self._held.list_all())

    def get_complete_since(self) -> int:
        """Returns the lowest epoch whose attempts are all on record."""
        if not self.is_fully_listed():
            return self.epoch
        listed = [h.complete_since for h in self._held.list_current()]
        return min(self.epoch, max([self._takeover.complete_since, *listed]))

    def count_free_slots(self) -> int:
        """Returns the free slots of all workers open to work."""
        with self.lock:
            if self._is_stopped:
                return 0
            return self._held.placement.count_free_slots()

    def mark_fenced(self) -> None:
        """Notes that a worker has refused this owner's epoch."""
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
        """Tells every listener that capacity may have come free."""
        self._held.notify()

    def list_quarantined(self) -> list[str]:
        """Returns the workers in quarantine, those being probed included."""
        with self.lock:
            return [
                hold.worker.name
                for hold in self._held.list_all()
                if self._quarantine.is_quarantined(hold.worker.name)
            ]

    def _observe(self, name: str, record: workers.AttemptRecord) -> None:
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
        hold = self._held.find(name)
        if hold is not None:
            self._update_quarantined(hold)

    def _apply_quarantine(self) -> None:
        with self.lock:
            held = self._held.list_all()
            self._quarantine.forget({hold.worker.name for hold in held})
            for hold in held:
                self._update_quarantined(hold)

    def _update_quarantined(self, hold: holds.Hold) -> None:
        is_closed = self._quarantine.is_closed(hold.worker.name)
        if hold.is_quarantined != is_closed:
            hold.is_quarantined = is_closed
            self._held.update_open(hold)
