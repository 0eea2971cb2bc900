"""What the owner of a shard holds of its workers."""

from collections.abc import Callable
import dataclasses
import itertools
import threading

from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import leases
from persimmonpath import placement
from persimmonpath import resources
from persimmonpath import workers

RecordListener = Callable[[str, workers.AttemptRecord], None]


@dataclasses.dataclass(slots=True)
class Reservation:
    """A reservation.

    Attributes:
        size: What is reserved.
        is_in_flight: Whether its start is unsent or not answered yet.
        is_uncertain: Whether its start failed without an answer, so that it
            may yet take effect.
        answered_at_event: Number of the call event that answered its start.
    """

    size: resources.Resources
    is_in_flight: bool = True
    is_uncertain: bool = False
    answered_at_event: int = 0


@dataclasses.dataclass(slots=True)
class WorkerEntry:
    """A worker as its owner knows it.

    Attributes:
        worker: Its entry in the inventory.
        client: Calls to it.
        lease: Its owner lease.
        complete_since: Lowest epoch whose records it retained when it was
            first listed in this epoch; None before.
        is_fenced: Whether its owner lease is taken to be in force.
        acknowledged: Number of the last finished-attempt event taken in.
        reservations: Reservations by attempt id, at most one for each slot.
        unconfirmed_starts: Attempts given up while their start was uncertain;
            they are closed before the worker gets a lease again.
        is_lost: Whether it was silent until its lease certainly lapsed.
        rejects_epoch: Whether it refused to be fenced in this epoch.
        is_draining: Whether the operator asked for no new work.
        platform_lists_leaving: Whether the platform lists it as leaving.
        reports_leaving: Whether it says itself that it is leaving.
        is_quarantined: Whether it rests after failing everything it started.
        is_removed: Whether the inventory no longer has it.
        has_control_call: Whether a fence or renewal is in progress.
        renewal_interval_s: Seconds between the last renewals.
        due_at: When the next fence or renewal is due.
    """

    worker: inventory.Worker
    client: workers.WorkerClient
    lease: leases.OwnerLease
    complete_since: int | None = None
    is_fenced: bool = False
    acknowledged: int = 0
    reservations: dict[str, Reservation] = dataclasses.field(
        default_factory=dict
    )
    unconfirmed_starts: set[str] = dataclasses.field(default_factory=set)
    is_lost: bool = False
    rejects_epoch: bool = False
    is_draining: bool = False
    platform_lists_leaving: bool = False
    reports_leaving: bool = False
    is_quarantined: bool = False
    is_removed: bool = False
    has_control_call: bool = False
    renewal_interval_s: float = 5.0
    due_at: float = 0.0

    def is_listed(self) -> bool:
        """Returns whether its records have been taken in."""
        return self.complete_since is not None

    def is_closed(self) -> bool:
        """Returns whether it gets no work although it may be reached."""
        return (
            self.is_draining
            or self.platform_lists_leaving
            or self.reports_leaving
            or self.is_quarantined
            or self.is_removed
        )

    def is_open(self) -> bool:
        """Returns whether it may be given work."""
        return self.is_fenced and not self.is_lost and not self.is_closed()

    def is_drained(self) -> bool:
        """Returns whether it has left the inventory and runs nothing.

        A lost worker runs nothing, nor will it without a new lease.
        """
        is_idle = self.is_lost or (self.is_fenced and not self.reservations)
        return self.is_removed and is_idle


class WorkerTable:
    """Reservations of all workers of a shard, and who listens to changes.

    The lock guards the reservations and whatever the listeners keep; it is
    never held while a worker is called.

    Attributes:
        lock: Guards all state of the shard.
        epoch: Epoch of the owner.
        placement: Free capacity of the workers.
        events: Numbers the answers to starts and the fences.
    """

    def __init__(self, epoch: int):
        """Creates a collection without workers."""
        self.lock = threading.RLock()
        self.epoch = epoch
        self.placement = placement.Placement()
        self.events = itertools.count(1)
        self._entries: dict[str, WorkerEntry] = {}
        self._record_listeners: list[RecordListener] = []
        self._change_listeners: list[Callable[[], None]] = []

    def subscribe(
        self, on_record: RecordListener, on_change: Callable[[], None]
    ) -> None:
        """Registers listeners; see `fleet.Fleet.subscribe`."""
        self._record_listeners.append(on_record)
        self._change_listeners.append(on_change)

    def add(self, entry: WorkerEntry) -> None:
        """Adds a worker."""
        with self.lock:
            self._entries[entry.worker.name] = entry
            self.placement.add_worker(entry.worker)

    def remove(self, name: str) -> None:
        """Forgets a worker."""
        with self.lock:
            self._entries.pop(name, None)
            self.placement.remove_worker(name)

    def find(self, name: str) -> WorkerEntry | None:
        """Returns a worker, None when it is not held."""
        return self._entries.get(name)

    def list_all(self) -> list[WorkerEntry]:
        """Returns all workers, those that are being drained included."""
        return list(self._entries.values())

    def list_current(self) -> list[WorkerEntry]:
        """Returns the workers that are in the inventory."""
        return [e for e in self.list_all() if not e.is_removed]

    def release(self, name: str, attempt: str) -> None:
        """Gives back a reservation."""
        with self.lock:
            entry = self._entries.get(name)
            if entry is not None:
                entry.reservations.pop(attempt, None)
            self.placement.release(name, attempt)

    def apply_record(
        self, entry: WorkerEntry, record: workers.AttemptRecord
    ) -> None:
        """Takes in and reports a record of a worker; needs the lock."""
        attempt = record.attempt
        if record.state is not workers.AttemptState.RUNNING:
            self.release(entry.worker.name, attempt)
        elif attempt in entry.reservations:
            entry.reservations[attempt].is_uncertain = False
        else:
            self.placement.reserve(entry.worker.name, attempt, record.size)
            entry.reservations[attempt] = Reservation(record.size, False)
        self._report(entry, record)

    def drop(self, entry: WorkerEntry, attempt: str, reason: str) -> None:
        """Releases an attempt that certainly does not run any more.

        A task of a job is reported as stopped, so that it is placed again.
        What became of a request is not known, so it is not reported.
        """
        reservation = entry.reservations[attempt]
        self.release(entry.worker.name, attempt)
        if identifiers.is_request_id(identifiers.split_attempt(attempt)[0]):
            return
        state = workers.AttemptState.STOPPED
        self._report(
            entry,
            workers.AttemptRecord(
                attempt, self.epoch, state, reservation.size, reason=reason
            ),
        )

    def update_open(self, entry: WorkerEntry) -> None:
        """Opens or closes a worker to new work."""
        self.placement.set_open(entry.worker.name, entry.is_open())

    def notify(self) -> None:
        """Tells every listener that capacity may have come free."""
        for listener in self._change_listeners:
            listener()

    def _report(
        self, entry: WorkerEntry, record: workers.AttemptRecord
    ) -> None:
        for listener in self._record_listeners:
            listener(entry.worker.name, record)
