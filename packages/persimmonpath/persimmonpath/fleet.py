"""The workers of one shard as their owner holds them."""

from collections.abc import Callable
import threading

from absl import logging
from returns import result

from persimmonpath import errors
from persimmonpath import inventory
from persimmonpath import placement
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import timers
from persimmonpath import workers

WORKER_LEASE_S = 15.0
RENEW_PERIOD_S = 5.0
CONTROL_TIMEOUT_S = 2.0

RecordListener = Callable[[str, workers.AttemptRecord], None]


class Fleet:
    """Owner leases, reservations and attempt records of a shard's workers.

    The lock guards the reservations and whatever the listeners keep; it is
    never held while a worker is called.

    Attributes:
        lock: Guards all state of the shard.
        epoch: Epoch in which this process owns the shard.
    """

    def __init__(
        self, epoch: int, owner: str, timer_service: timers.TimerService
    ):
        """Creates a fleet without workers.

        Args:
            epoch: Epoch in which this process owns the shard.
            owner: Name of this process in the workers' owner registers.
            timer_service: Source of time.
        """
        self.lock = threading.RLock()
        self.epoch = epoch
        self.timers = timer_service
        self._owner = owner
        self._clients: dict[str, workers.WorkerClient] = {}
        self._acknowledged: dict[str, int] = {}
        self._listed: dict[str, int] = {}
        self._placement = placement.Placement()
        self._draining: set[str] = set()
        self._is_fenced = False
        self._record_listeners: list[RecordListener] = []
        self._change_listeners: list[Callable[[], None]] = []

    def subscribe(
        self, on_record: RecordListener, on_change: Callable[[], None]
    ) -> None:
        """Registers listeners.

        Args:
            on_record: Called under the lock with each attempt record that a
                worker reports unasked: at a fence, and when an attempt ends.
            on_change: Called without the lock when capacity may have come
                free or a worker was listed.
        """
        self._record_listeners.append(on_record)
        self._change_listeners.append(on_change)

    def apply_workers(
        self,
        listed: list[inventory.Worker],
        create_client: Callable[[inventory.Worker], workers.WorkerClient],
    ) -> None:
        """Makes the fleet match the inventory."""
        names = {worker.name for worker in listed}
        for worker in listed:
            if worker.name not in self._clients:
                self.add_worker(worker, create_client(worker))
            self.set_draining(worker.name, worker.draining)
        for name in set(self._clients) - names:
            self.set_draining(name, True)

    def set_draining(self, name: str, is_draining: bool) -> None:
        """Stops or allows new work on a worker."""
        with self.lock:
            if is_draining:
                self._draining.add(name)
            else:
                self._draining.discard(name)
            self._update_open(name, name in self._listed)

    def add_worker(
        self, worker: inventory.Worker, client: workers.WorkerClient
    ) -> None:
        """Adds a worker and fences it; it is placed on once it is listed."""
        with self.lock:
            self._clients[worker.name] = client
            self._placement.add_worker(worker)
        self.fence(worker.name)

    def fence(self, name: str) -> None:
        """Fences a worker in this epoch and takes in its listing."""
        future = self._clients[name].fence(
            self.epoch, self._owner, WORKER_LEASE_S, CONTROL_TIMEOUT_S
        )
        future.add_done_callback(lambda f: self._take_listing(name, f.result()))

    def renew(self) -> None:
        """Renews the owner lease of every listed worker, fences the others."""
        for name in list(self._clients):
            if name in self._listed:
                self._renew_one(name)
            else:
                self.fence(name)

    def get_client(self, name: str) -> workers.WorkerClient:
        """Returns the client of a worker."""
        return self._clients[name]

    def apply_rules(self, cell_rules: rules.Rules) -> None:
        """Makes later reservations follow the operator's rules."""
        with self.lock:
            self._placement.apply_rules(cell_rules.placement)

    def reserve(
        self,
        attempt: str,
        size: resources.Resources,
        need: placement.Need = placement.ANY,
    ) -> str | None:
        """Chooses a worker and reserves it for an attempt; needs the lock.

        Args:
            attempt: Attempt id.
            size: What it is placed with.
            need: What it asks of the worker besides resources.

        Returns:
            Name of the worker, or None when no worker has room now.
        """
        name = self._placement.choose(size, need)
        if name is not None:
            self._placement.reserve(name, attempt, size)
            self._placement.ensure_capacity(name)
        return name

    def release(self, name: str, attempt: str) -> None:
        """Gives back a reservation, once the attempt certainly does not run."""
        with self.lock:
            self._placement.release(name, attempt)

    def get_worker(self, name: str) -> inventory.Worker:
        """Returns a worker as the inventory describes it."""
        return self._placement.get_worker(name)

    def find_rack(self, name: str) -> str:
        """Returns the rack of a worker, empty for one that is gone."""
        return self._placement.find_rack(name)

    def list_open(self) -> list[str]:
        """Returns the workers that are open to work; needs the lock."""
        return self._placement.list_open()

    def get_free(self, name: str) -> tuple[resources.Resources, int]:
        """Returns free resources and slots of a worker; needs the lock."""
        return self._placement.get_free(name)

    def allows(self, name: str, kind: str, team: str) -> bool:
        """Returns whether the rules allow work on a worker."""
        return self._placement.allows(name, kind, team)

    def is_fully_listed(self) -> bool:
        """Returns whether every worker's records have been taken in."""
        return len(self._listed) == len(self._clients)

    def get_complete_since(self) -> int:
        """Returns the lowest epoch whose attempts are all on record."""
        if not self.is_fully_listed():
            return self.epoch
        return max(self._listed.values(), default=self.epoch)

    def count_free_slots(self) -> int:
        """Returns the free slots of all workers open to work."""
        with self.lock:
            return self._placement.count_free_slots()

    def mark_fenced(self) -> None:
        """Notes that a worker has refused this owner's epoch."""
        self._is_fenced = True

    def is_fenced(self) -> bool:
        """Returns whether another owner has taken over."""
        return self._is_fenced

    def notify(self) -> None:
        """Tells every listener that capacity may have come free."""
        for listener in self._change_listeners:
            listener()

    def _renew_one(self, name: str) -> None:
        future = self._clients[name].renew(
            self.epoch,
            WORKER_LEASE_S,
            self._acknowledged[name],
            CONTROL_TIMEOUT_S,
        )
        future.add_done_callback(lambda f: self._take_renewal(name, f.result()))

    def _take_listing(self, name: str, reply: result.Result) -> None:
        if isinstance(reply, result.Failure):
            self._take_control_failure(name, reply.failure())
            return
        listing = reply.unwrap()
        with self.lock:
            self._acknowledged[name] = listing.last_event
            self._listed[name] = listing.complete_since_epoch
            for record in listing.records:
                if record.state is workers.AttemptState.RUNNING:
                    self._placement.reserve(name, record.attempt, record.size)
                else:
                    self._placement.release(name, record.attempt)
                self._report(name, record)
            self._update_open(name, True)
        logging.info(
            "event=worker_fenced worker=%s epoch=%d records=%d",
            name,
            self.epoch,
            len(listing.records),
        )
        self.notify()

    def _take_renewal(self, name: str, reply: result.Result) -> None:
        if isinstance(reply, result.Failure):
            self._take_control_failure(name, reply.failure())
            return
        renewal = reply.unwrap()
        with self.lock:
            self._acknowledged[name] = renewal.last_event
            for record in renewal.finished:
                self._placement.release(name, record.attempt)
                self._report(name, record)
            self._update_open(name, not renewal.leaving)
        self.notify()

    def _take_control_failure(
        self, name: str, error: errors.WorkerError
    ) -> None:
        logging.warning(
            "event=worker_control_failed worker=%s kind=%s",
            name,
            type(error).__name__,
        )
        with self.lock:
            self._placement.set_open(name, False)
            if isinstance(error, errors.StaleEpochError):
                self._is_fenced = True
            if isinstance(error, errors.LeaseLapsedError):
                self._listed.pop(name, None)

    def _update_open(self, name: str, is_usable: bool) -> None:
        is_open = is_usable and name not in self._draining
        self._placement.set_open(name, is_open)

    def _report(self, name: str, record: workers.AttemptRecord) -> None:
        for listener in self._record_listeners:
            listener(name, record)
