"""State that the owner of a shard keeps about its workers."""

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
    """Resources of a worker that are reserved for one attempt.

    Attributes:
        size: Reserved resources.
        is_in_flight: Whether the start is unsent or not answered yet.
        is_uncertain: Whether the start failed without an answer, so that it
            may still take effect.
        answered_at_event: Number from `WorkerTable.events` of the answer to
            the start; 0 before.
    """

    size: resources.Resources
    is_in_flight: bool = True
    is_uncertain: bool = False
    answered_at_event: int = 0


@dataclasses.dataclass(slots=True)
class WorkerEntry:
    """State of one worker as known to the owner of its shard.

    Attributes:
        worker: Its entry in the inventory.
        client: Client for calls to it.
        lease: Its owner lease.
        complete_since: Lowest epoch whose records were complete when it was
            first listed in this epoch; None before.
        is_fenced: Whether the owner assumes that its owner lease is active.
        acknowledged: Number of the last finished-attempt event applied.
        reservations: Reservations by attempt id, at most one for each slot.
        unconfirmed_starts: Attempts whose start was uncertain when the worker
            was lost; they are closed before it gets a lease again.
        is_lost: Whether it was unresponsive until its lease certainly lapsed.
        rejects_epoch: Whether it refused a fence of this epoch as stale.
        is_draining: Whether the operator drains it.
        platform_lists_leaving: Whether the platform lists it as leaving.
        reports_leaving: Whether it reports itself that it is leaving.
        is_quarantined: Whether quarantine after failures keeps work away.
        is_removed: Whether it has left the inventory.
        has_control_call: Whether a fence or renewal is in progress.
        renewal_interval_s: Current seconds between renewals.
        due_at: When the next fence or renewal is due, in monotonic seconds.
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
        """Returns whether its records were listed in this epoch."""
        return self.complete_since is not None

    def is_closed(self) -> bool:
        """Returns whether it gets no new work even when it is reachable."""
        return (
            self.is_draining
            or self.platform_lists_leaving
            or self.reports_leaving
            or self.is_quarantined
            or self.is_removed
        )

    def is_open(self) -> bool:
        """Returns whether new work may be placed on it."""
        return self.is_fenced and not self.is_lost and not self.is_closed()

    def is_drained(self) -> bool:
        """Returns whether it has left the inventory and runs nothing.

        A lost worker runs nothing, and starts nothing without a new lease.
        """
        is_idle = self.is_lost or (self.is_fenced and not self.reservations)
        return self.is_removed and is_idle


class WorkerTable:
    """Workers of a shard with their reservations and change listeners.

    The lock guards the reservations and the state of the listeners. It is
    never held while a worker is called.

    Attributes:
        lock: Guards all state of the shard.
        epoch: Epoch of the owner.
        placement: Free capacity of the workers.
        events: Counter that orders answers to starts and fences.
    """

    def __init__(self, epoch: int):
        """Creates a table without workers."""
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
        """Removes a worker; does nothing when it is absent."""
        with self.lock:
            self._entries.pop(name, None)
            self.placement.remove_worker(name)

    def find(self, name: str) -> WorkerEntry | None:
        """Returns the entry of a worker, or None if it is absent."""
        return self._entries.get(name)

    def list_all(self) -> list[WorkerEntry]:
        """Returns all workers, including those that left the inventory."""
        return list(self._entries.values())

    def list_current(self) -> list[WorkerEntry]:
        """Returns the workers that are in the inventory."""
        return [e for e in self.list_all() if not e.is_removed]

    def release(self, name: str, attempt: str) -> None:
        """Releases a reservation; does nothing when it is absent."""
        with self.lock:
            entry = self._entries.get(name)
            if entry is not None:
                entry.reservations.pop(attempt, None)
            self.placement.release(name, attempt)

    def apply_record(
        self, entry: WorkerEntry, record: workers.AttemptRecord
    ) -> None:
        """Applies a record of a worker and notifies the record listeners.

        The caller must hold the lock.
        """
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
        """Releases the reservation of an attempt that certainly does not run.

        A task of a job is reported as stopped, so that it is placed again. A
        request is not reported, because its outcome is unknown.
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
        """Updates in the placement whether a worker accepts new work."""
        self.placement.set_open(entry.worker.name, entry.is_open())

    def notify(self) -> None:
        """Calls the change listeners when capacity may have been released."""
        for listener in self._change_listeners:
            listener()

    def _report(
        self, entry: WorkerEntry, record: workers.AttemptRecord
    ) -> None:
        for listener in self._record_listeners:
            listener(entry.worker.name, record)
