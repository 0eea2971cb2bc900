"""Fencing of a shard's workers and renewal of their owner leases."""

from collections.abc import Callable

from absl import logging
from returns import result

from persimmonpath import errors
from persimmonpath import timers
from persimmonpath import workerclients
from persimmonpath import workers
from persimmonpath import workertable

RENEWAL_INTERVAL_S = 5.0
# Renewals report the ends of attempts. After a start, the next renewal follows
# after this time and later ones at doubling intervals up to the full interval,
# so that the end of a short task is detected soon at no extra cost for long
# tasks.
FIRST_RENEWAL_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 2.0
CONTROL_TIMEOUT_S = 2.0


class LeaseRenewer:
    """Fences workers, renews their owner leases and applies their records."""

    def __init__(
        self,
        owner: str,
        table: workertable.WorkerTable,
        timer_service: timers.TimerService,
        on_fenced: Callable[[], None],
    ):
        """Creates a renewer that has sent no calls.

        Args:
            owner: Name of this process in the workers' owner registers.
            table: Workers of the shard.
            timer_service: Clock and timers.
            on_fenced: Called when another owner has taken over.
        """
        self._owner = owner
        self._table = table
        self._epoch = table.epoch
        self._timers = timer_service
        self._on_fenced = on_fenced
        self._is_stopped = False

    def stop(self) -> None:
        """Prevents all later calls; calls in flight still complete."""
        self._is_stopped = True

    def run_due(self) -> None:
        """Renews or fences every worker that is due and detects lost ones."""
        for entry in self._table.list_all():
            if not entry.is_lost and entry.lease.has_lapsed():
                self._mark_lost(entry)
            if self._timers.now() < entry.due_at:
                continue
            if entry.is_fenced:
                self._renew(entry)
            else:
                self.fence(entry)

    def fence(self, entry: workertable.WorkerEntry) -> None:
        """Fences a worker in this epoch and applies its listing.

        Does nothing while another control call is in flight.
        """
        # A lost worker gets no lease before its uncertain starts are closed.
        # Otherwise a start that is still in transit could take effect.
        lease_s = 0.0 if entry.is_lost else entry.lease.choose_duration_s()
        if lease_s is None or not self._begin_call(entry):
            return
        event_number = next(self._table.events)
        future = entry.client.fence(
            self._epoch, self._owner, lease_s, CONTROL_TIMEOUT_S
        )
        future.add_done_callback(
            lambda f: self._apply_listing(
                entry, event_number, workerclients.read_reply(f)
            )
        )

    def handle_start_reply(
        self, entry: workertable.WorkerEntry, attempt: str, reply: result.Result
    ) -> None:
        """Applies the answer to a start to its reservation and worker."""
        error = reply.swap().value_or(None)
        reason = getattr(error, "reason", "")
        with self._table.lock:
            reservation = entry.reservations.get(attempt)
            if reservation is not None:
                reservation.is_in_flight = False
                reservation.answered_at_event = next(self._table.events)
                reservation.is_uncertain = isinstance(
                    error, errors.WorkerUnreachableError
                )
            record = reply.value_or(None)
            if record and record.state is workers.AttemptState.RUNNING:
                entry.renewal_interval_s = FIRST_RENEWAL_INTERVAL_S
                next_at = self._timers.now() + FIRST_RENEWAL_INTERVAL_S
                entry.due_at = min(entry.due_at, next_at)
            if reason == workers.Refusal.LEAVING:
                entry.reports_leaving = True
            if reason == workers.Refusal.LEASE_LAPSED:
                entry.is_fenced = False
                entry.due_at = 0.0
            self._table.update_open(entry)
        if reason == workers.Refusal.STALE_EPOCH:
            self._on_fenced()

    def _begin_call(self, entry: workertable.WorkerEntry) -> bool:
        with self._table.lock:
            if self._is_stopped or entry.has_control_call:
                return False
            entry.has_control_call = True
            return True

    def _renew(self, entry: workertable.WorkerEntry) -> None:
        lease_s = entry.lease.choose_duration_s()
        if lease_s is None or not self._begin_call(entry):
            return
        future = entry.client.renew(
            self._epoch, lease_s, entry.acknowledged, CONTROL_TIMEOUT_S
        )
        future.add_done_callback(
            lambda f: self._apply_renewal(entry, workerclients.read_reply(f))
        )

    def _apply_listing(
        self,
        entry: workertable.WorkerEntry,
        event_number: int,
        reply: result.Result,
    ) -> None:
        entry.has_control_call = False
        if isinstance(reply, result.Failure):
            self._handle_failure(entry, reply.failure())
            return
        if entry.is_lost:
            self._readmit(entry)
            return
        listing = reply.unwrap()
        with self._table.lock:
            entry.acknowledged = listing.last_event
            entry.rejects_epoch = False
            if entry.complete_since is None:
                entry.complete_since = listing.complete_since_epoch
            for record in listing.records:
                self._table.apply_record(entry, record)
            self._drop_missing(entry, event_number, listing)
            if entry.reservations:
                # `_confirm` doubles this to the first interval.
                entry.renewal_interval_s = FIRST_RENEWAL_INTERVAL_S / 2
            self._confirm(entry)
        logging.info(
            "event=worker_fenced worker=%s epoch=%d records=%d",
            entry.worker.name,
            self._epoch,
            len(listing.records),
        )
        self._close_uncertain(entry)
        self._table.notify()

    def _apply_renewal(
        self, entry: workertable.WorkerEntry, reply: result.Result
    ) -> None:
        entry.has_control_call = False
        if isinstance(reply, result.Failure):
            self._handle_failure(entry, reply.failure())
            return
        renewal = reply.unwrap()
        with self._table.lock:
            entry.acknowledged = renewal.last_event
            entry.reports_leaving = renewal.leaving
            for record in renewal.finished:
                self._table.apply_record(entry, record)
            self._confirm(entry)
        self._close_uncertain(entry)
        self._table.notify()

    def _confirm(self, entry: workertable.WorkerEntry) -> None:
        """Records that a worker has granted a lease; needs the lock."""
        entry.renewal_interval_s = min(
            RENEWAL_INTERVAL_S, 2 * entry.renewal_interval_s
        )
        is_short = entry.lease.is_shortened()
        entry.due_at = self._timers.now() + (
            0.0 if is_short else entry.renewal_interval_s
        )
        entry.is_fenced = True
        entry.lease.confirm()
        self._table.update_open(entry)

    def _drop_missing(
        self,
        entry: workertable.WorkerEntry,
        event_number: int,
        listing: workers.Listing,
    ) -> None:
        """Drops attempts of which a worker has lost the record.

        An attempt whose start was answered after the listing was requested may
        be missing from it although it runs.
        """
        listed = {record.attempt for record in listing.records}
        for attempt, reservation in list(entry.reservations.items()):
            if reservation.is_in_flight or reservation.is_uncertain:
                continue
            if (
                attempt not in listed
                and reservation.answered_at_event < event_number
            ):
                self._table.drop(entry, attempt, "record_lost")

    def _handle_failure(
        self, entry: workertable.WorkerEntry, error: errors.WorkerError
    ) -> None:
        logging.warning(
            "event=worker_control_failed worker=%s kind=%s",
            entry.worker.name,
            type(error).__name__,
        )
        is_lapsed = isinstance(error, errors.LeaseLapsedError)
        with self._table.lock:
            entry.due_at = self._timers.now() + RETRY_INTERVAL_S
            self._table.placement.set_open(entry.worker.name, False)
            if is_lapsed:
                entry.is_fenced = False
        if isinstance(error, errors.StaleEpochError):
            entry.rejects_epoch = True
            if entry.is_listed() or self._is_rejected():
                self._on_fenced()
        if is_lapsed:
            self.fence(entry)

    def _is_rejected(self) -> bool:
        """Returns whether at least half of the workers refuse the epoch.

        A single refusal proves nothing: a worker that was never listed may have
        been moved here from a shard with a higher epoch.
        """
        entries = self._table.list_all()
        return 2 * sum(e.rejects_epoch for e in entries) >= len(entries)

    def _close_uncertain(self, entry: workertable.WorkerEntry) -> None:
        """Closes attempts whose start failed without an answer."""

        def apply_reply(reply: result.Result) -> None:
            if isinstance(reply, result.Failure):
                return
            with self._table.lock:
                if reply.unwrap().attempt in entry.reservations:
                    self._table.apply_record(entry, reply.unwrap())
            self._table.notify()

        with self._table.lock:
            uncertain = [
                a for a, r in entry.reservations.items() if r.is_uncertain
            ]
        for attempt in uncertain:
            self._close(entry, attempt, apply_reply)

    def _close(
        self,
        entry: workertable.WorkerEntry,
        attempt: str,
        on_reply: Callable[[result.Result], None],
    ) -> None:
        future = entry.client.close(attempt, self._epoch, CONTROL_TIMEOUT_S)
        future.add_done_callback(
            lambda f: on_reply(workerclients.read_reply(f))
        )

    def _mark_lost(self, entry: workertable.WorkerEntry) -> None:
        """Marks an unresponsive worker as lost and drops its attempts."""
        with self._table.lock:
            entry.is_lost = True
            entry.is_fenced = False
            reservations = dict(entry.reservations)
            for attempt, reservation in reservations.items():
                if reservation.is_in_flight or reservation.is_uncertain:
                    entry.unconfirmed_starts.add(attempt)
                self._table.drop(entry, attempt, "worker_lost")
            self._table.update_open(entry)
        logging.warning(
            "event=worker_lost worker=%s attempts=%d",
            entry.worker.name,
            len(reservations),
        )
        self._table.notify()

    def _readmit(self, entry: workertable.WorkerEntry) -> None:
        """Closes a lost worker's uncertain starts, then fences it."""
        with self._table.lock:
            unconfirmed_starts = list(entry.unconfirmed_starts)
            entry.due_at = self._timers.now() + RETRY_INTERVAL_S
            if not unconfirmed_starts:
                entry.is_lost = False
                entry.lease.confirm()
        if not unconfirmed_starts:
            self.fence(entry)

        def apply_reply(reply: result.Result) -> None:
            if isinstance(reply, result.Failure):
                return
            with self._table.lock:
                entry.unconfirmed_starts.discard(reply.unwrap().attempt)
                is_last = not entry.unconfirmed_starts
            if is_last:
                self.fence(entry)

        for attempt in unconfirmed_starts:
            self._close(entry, attempt, apply_reply)
