"""Fences and renews the workers of a shard."""

from collections.abc import Callable

from absl import logging
from returns import result

from persimmonpath import errors
from persimmonpath import holds
from persimmonpath import timers
from persimmonpath import workerclients
from persimmonpath import workers

RENEW_PERIOD_S = 5.0
# Ends of tasks are learned by renewals. After a start the next renewal comes
# after this time and the following ones at doubling periods, so the end of a
# short task is learned soon and long tasks cost nothing extra.
FIRST_PERIOD_S = 1.0
RETRY_PERIOD_S = 2.0
CONTROL_TIMEOUT_S = 2.0


class Renewals:
    """Keeps the owner leases of a shard's workers and takes in listings."""

    def __init__(
        self,
        owner: str,
        held: holds.Holds,
        timer_service: timers.TimerService,
        on_fenced: Callable[[], None],
    ):
        """Creates the control side of a fleet.

        Args:
            owner: Name of this process in the workers' owner registers.
            held: The workers.
            timer_service: Source of time.
            on_fenced: Called when another owner has taken over.
        """
        self._owner = owner
        self._held = held
        self._epoch = held.epoch
        self._timers = timer_service
        self._on_fenced = on_fenced
        self._is_stopped = False

    def stop(self) -> None:
        """Prevents every later call."""
        self._is_stopped = True

    def run_due(self) -> None:
        """Renews or fences every worker that is due."""
        for hold in self._held.list_all():
            if not hold.is_lost and hold.lease.has_lapsed():
                self._give_up(hold)
            if self._timers.now() < hold.due_at:
                continue
            if hold.is_fenced:
                self._renew(hold)
            else:
                self.fence(hold)

    def fence(self, hold: holds.Hold) -> None:
        """Fences a worker in this epoch and takes in its listing."""
        # A lost worker gets no lease before its uncertain starts are closed,
        # else one that is still on its way could take effect.
        length_s = 0.0 if hold.is_lost else hold.lease.choose_length()
        if length_s is None or not self._begin_call(hold):
            return
        number = next(self._held.events)
        future = hold.client.fence(
            self._epoch, self._owner, length_s, CONTROL_TIMEOUT_S
        )
        future.add_done_callback(
            lambda f: self._take_listing(
                hold, number, workerclients.read_reply(f)
            )
        )

    def take_start(
        self, hold: holds.Hold, attempt: str, reply: result.Result
    ) -> None:
        """Takes in the answer to a start."""
        error = reply.swap().value_or(None)
        reason = getattr(error, "reason", "")
        with self._held.lock:
            started = hold.attempts.get(attempt)
            if started is not None:
                started.is_in_flight = False
                started.settled = next(self._held.events)
                started.is_uncertain = isinstance(
                    error, errors.WorkerUnreachableError
                )
            record = reply.value_or(None)
            if record and record.state is workers.AttemptState.RUNNING:
                hold.period_s = FIRST_PERIOD_S
                next_at = self._timers.now() + FIRST_PERIOD_S
                hold.due_at = min(hold.due_at, next_at)
            if reason == workers.Refusal.LEAVING:
                hold.refuses_work = True
            if reason == workers.Refusal.LEASE_LAPSED:
                hold.is_fenced = False
                hold.due_at = 0.0
            self._held.update_open(hold)
        if reason == workers.Refusal.STALE_EPOCH:
            self._on_fenced()

    def _begin_call(self, hold: holds.Hold) -> bool:
        with self._held.lock:
            if self._is_stopped or hold.is_called:
                return False
            hold.is_called = True
            return True

    def _renew(self, hold: holds.Hold) -> None:
        length_s = hold.lease.choose_length()
        if length_s is None or not self._begin_call(hold):
            return
        future = hold.client.renew(
            self._epoch, length_s, hold.acknowledged, CONTROL_TIMEOUT_S
        )
        future.add_done_callback(
            lambda f: self._take_renewal(hold, workerclients.read_reply(f))
        )

    def _take_listing(
        self, hold: holds.Hold, number: int, reply: result.Result
    ) -> None:
        hold.is_called = False
        if isinstance(reply, result.Failure):
            self._take_failure(hold, reply.failure())
            return
        if hold.is_lost:
            self._readmit(hold)
            return
        listing = reply.unwrap()
        with self._held.lock:
            hold.acknowledged = listing.last_event
            hold.is_rejecting = False
            if hold.complete_since is None:
                hold.complete_since = listing.complete_since_epoch
            for record in listing.records:
                self._held.take_record(hold, record)
            self._drop_missing(hold, number, listing)
            if hold.attempts:
                # Doubled to the first period by the confirmation.
                hold.period_s = FIRST_PERIOD_S / 2
            self._confirm(hold)
        logging.info(
            "event=worker_fenced worker=%s epoch=%d records=%d",
            hold.worker.name,
            self._epoch,
            len(listing.records),
        )
        self._close_uncertain(hold)
        self._held.notify()

    def _take_renewal(self, hold: holds.Hold, reply: result.Result) -> None:
        hold.is_called = False
        if isinstance(reply, result.Failure):
            self._take_failure(hold, reply.failure())
            return
        renewal = reply.unwrap()
        with self._held.lock:
            hold.acknowledged = renewal.last_event
            hold.refuses_work = renewal.leaving
            for record in renewal.finished:
                self._held.take_record(hold, record)
            self._confirm(hold)
        self._close_uncertain(hold)
        self._held.notify()

    def _confirm(self, hold: holds.Hold) -> None:
        """Notes that a worker has granted a lease; needs the lock."""
        hold.period_s = min(RENEW_PERIOD_S, 2 * hold.period_s)
        is_short = hold.lease.is_cut_short()
        hold.due_at = self._timers.now() + (0.0 if is_short else hold.period_s)
        hold.is_fenced = True
        hold.lease.confirm()
        self._held.update_open(hold)

    def _drop_missing(
        self, hold: holds.Hold, number: int, listing: workers.Listing
    ) -> None:
        """Drops attempts that a worker ran and has no record of any more.

        An attempt whose start was answered after the listing was asked for
        may be missing in it although it runs.
        """
        listed = {record.attempt for record in listing.records}
        for attempt, started in list(hold.attempts.items()):
            if started.is_in_flight or started.is_uncertain:
                continue
            if attempt not in listed and started.settled < number:
                self._held.drop(hold, attempt, "record_lost")

    def _take_failure(
        self, hold: holds.Hold, error: errors.WorkerError
    ) -> None:
        logging.warning(
            "event=worker_control_failed worker=%s kind=%s",
            hold.worker.name,
            type(error).__name__,
        )
        is_lapsed = isinstance(error, errors.LeaseLapsedError)
        with self._held.lock:
            hold.due_at = self._timers.now() + RETRY_PERIOD_S
            self._held.placement.set_open(hold.worker.name, False)
            if is_lapsed:
                hold.is_fenced = False
        if isinstance(error, errors.StaleEpochError):
            hold.is_rejecting = True
            if hold.is_listed() or self._is_rejected():
                self._on_fenced()
        if is_lapsed:
            self.fence(hold)

    def _is_rejected(self) -> bool:
        """Returns whether too many workers refuse the epoch to go on.

        A single worker that was never listed may have been moved here from a
        shard with a higher epoch.
        """
        held = self._held.list_all()
        return 2 * sum(h.is_rejecting for h in held) >= len(held)

    def _close_uncertain(self, hold: holds.Hold) -> None:
        """Closes attempts whose start was not answered."""

        def take(reply: result.Result) -> None:
            if isinstance(reply, result.Failure):
                return
            with self._held.lock:
                if reply.unwrap().attempt in hold.attempts:
                    self._held.take_record(hold, reply.unwrap())
            self._held.notify()

        with self._held.lock:
            uncertain = [a for a, h in hold.attempts.items() if h.is_uncertain]
        for attempt in uncertain:
            self._close(hold, attempt, take)

    def _close(
        self,
        hold: holds.Hold,
        attempt: str,
        take: Callable[[result.Result], None],
    ) -> None:
        future = hold.client.close(attempt, self._epoch, CONTROL_TIMEOUT_S)
        future.add_done_callback(lambda f: take(workerclients.read_reply(f)))

    def _give_up(self, hold: holds.Hold) -> None:
        """Treats a worker that was silent for too long as lost."""
        with self._held.lock:
            hold.is_lost = True
            hold.is_fenced = False
            attempts = dict(hold.attempts)
            for attempt, started in attempts.items():
                if started.is_in_flight or started.is_uncertain:
                    hold.unconfirmed.add(attempt)
                self._held.drop(hold, attempt, "worker_lost")
            self._held.update_open(hold)
        logging.warning(
            "event=worker_lost worker=%s attempts=%d",
            hold.worker.name,
            len(attempts),
        )
        self._held.notify()

    def _readmit(self, hold: holds.Hold) -> None:
        """Closes a lost worker's uncertain attempts, then fences it."""
        with self._held.lock:
            unconfirmed = list(hold.unconfirmed)
            hold.due_at = self._timers.now() + RETRY_PERIOD_S
            if not unconfirmed:
                hold.is_lost = False
                hold.lease.confirm()
        if not unconfirmed:
            self.fence(hold)

        def take(reply: result.Result) -> None:
            if isinstance(reply, result.Failure):
                return
            with self._held.lock:
                hold.unconfirmed.discard(reply.unwrap().attempt)
                is_last = not hold.unconfirmed
            if is_last:
                self.fence(hold)

        for attempt in unconfirmed:
            self._close(hold, attempt, take)
