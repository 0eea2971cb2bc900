"""In-memory worker for tests, stand-ins and embedding programs."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import threading

from returns import result

from persimmonpath import errors
from persimmonpath import outcomes
from persimmonpath import resources
from persimmonpath import timers
from persimmonpath import workers

# Bound on the records; the oldest are evicted.
MAX_RECORDS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Simulated behaviour of an attempt.

    Attributes:
        run_s: Seconds until it ends; None to run until it is stopped.
        succeeds: Whether it succeeds.
        answer: Its answer.
        reason: Why it fails.
    """

    run_s: float | None
    succeeds: bool
    answer: bytes = b""
    reason: str = ""


Planner = Callable[[workers.StartTask], Plan]


@dataclasses.dataclass(slots=True)
class _RunningAttempt:
    start: workers.StartTask
    started_at: float
    plan: Plan
    checkpoint: str = ""
    end_timer: timers.Subscription | None = None
    waiters: list[futures.Future] = dataclasses.field(default_factory=list)


class MemoryWorker(workers.WorkerClient):
    """Implements the worker's side of every call without a network.

    It keeps attempt records and enforces the owner lease.

    Attributes:
        name: Name of the VM.
        leaving: Whether it refuses new attempts because it is leaving.
        runs: Number of starts per task or request id.
        overloads: Number of starts that exceeded the capacity; 0 unless the
            owner miscounted.
    """

    def __init__(
        self,
        name: str,
        capacity: resources.Resources,
        slots: int,
        timer_service: timers.TimerService,
        plan: Planner,
        has_lost_records: bool = False,
    ):
        """Creates an idle worker without an owner.

        Args:
            name: Name of the VM.
            capacity: Resources for running attempts.
            slots: Largest number of running attempts.
            timer_service: Clock and timers.
            plan: Returns the behaviour of an attempt.
            has_lost_records: Whether it is a restarted worker that has lost
                its records.
        """
        self.name = name
        self.leaving = False
        self.overloads = 0
        self.runs: dict[str, int] = {}
        self._capacity = capacity
        self._slots = slots
        self._timers = timer_service
        self._plan = plan
        self._has_lost_records = has_lost_records
        self._lock = threading.RLock()
        self._epoch = 0
        self._owner = ""
        self._lease_end = 0.0
        self._running: dict[str, _RunningAttempt] = {}
        self._records: dict[str, workers.AttemptRecord] = {}
        self._events: list[tuple[int, str]] = []
        self._last_event = 0
        self._complete_since = 0

    def fence(self, epoch, owner, lease_s, timeout_s):
        """Sets the owner register and lists attempts."""
        del timeout_s
        with self._lock:
            self._expire_lease()
            is_newer = epoch > self._epoch
            is_same = epoch == self._epoch and owner == self._owner
            if not is_newer and not is_same:
                return _reply(result.Failure(errors.StaleEpochError(self.name)))
            if is_newer and self._has_lost_records:
                # The first fence after a restart may come from a stale owner,
                # so attempts of any epoch up to this one may have run in the
                # previous incarnation.
                self._complete_since = epoch + 1
            self._epoch = epoch
            self._owner = owner
            self._extend_lease(lease_s)
            records = list(self._records.values())
            records += [self._create_record(r) for r in self._running.values()]
            return _reply(
                result.Success(
                    workers.Listing(
                        records, self._complete_since, self._last_event
                    )
                )
            )

    def renew(self, epoch, lease_s, acknowledged, timeout_s):
        """Extends the owner lease and reports ended attempts."""
        del timeout_s
        with self._lock:
            self._expire_lease()
            if epoch != self._epoch:
                return _reply(result.Failure(errors.StaleEpochError(self.name)))
            if self._lease_end <= self._timers.now():
                return _reply(
                    result.Failure(errors.LeaseLapsedError(self.name))
                )
            self._extend_lease(lease_s)
            self._events = [e for e in self._events if e[0] > acknowledged]
            finished = [
                self._records[attempt]
                for _, attempt in self._events
                if attempt in self._records
            ]
            return _reply(
                result.Success(
                    workers.Renewal(
                        finished,
                        self._last_event,
                        self.leaving,
                        self._compute_usage(),
                    )
                )
            )

    def start(self, start, wait, timeout_s):
        """Starts an attempt or refuses it."""
        del timeout_s
        with self._lock:
            self._expire_lease()
            refusal = self._find_refusal(start)
            if refusal is not None:
                return _reply(result.Failure(errors.StartRefusedError(refusal)))
            running = _RunningAttempt(
                start, self._timers.now(), self._plan(start)
            )
            self._running[start.attempt] = running
            task_id = start.attempt.rpartition("#")[0]
            self.runs[task_id] = self.runs.get(task_id, 0) + 1
            if running.plan.run_s is not None:
                running.end_timer = self._timers.call_later(
                    running.plan.run_s,
                    lambda: self._complete_attempt(start.attempt),
                )
            if not wait:
                return _reply(result.Success(self._create_record(running)))
            future = futures.Future()
            running.waiters.append(future)
            return future

    def close(self, attempt, epoch, timeout_s):
        """Records a tombstone unless the attempt was started."""
        del timeout_s
        with self._lock:
            self._expire_lease()
            if epoch != self._epoch:
                return _reply(result.Failure(errors.StaleEpochError(self.name)))
            record = self._find_record(attempt)
            if record is None:
                record = workers.AttemptRecord(
                    attempt, epoch, workers.AttemptState.CLOSED
                )
                self._store_record(record)
            return _reply(result.Success(record))

    def inspect(self, attempt, timeout_s):
        """Returns the record of an attempt."""
        del timeout_s
        with self._lock:
            self._expire_lease()
            record = self._find_record(attempt)
            if record is None:
                return _reply(
                    result.Failure(errors.UnknownAttemptError(attempt))
                )
            return _reply(result.Success(record))

    def control(self, attempt, action, epoch, timeout_s):
        """Stops or checkpoints a running attempt; throttling has no effect."""
        del timeout_s
        with self._lock:
            self._expire_lease()
            if epoch != self._epoch:
                return _reply(result.Failure(errors.StaleEpochError(self.name)))
            record = self._find_record(attempt)
            if record is None:
                return _reply(
                    result.Failure(errors.UnknownAttemptError(attempt))
                )
            running = self._running.get(attempt)
            if running is not None and action is workers.Action.CHECKPOINT:
                running.checkpoint = f"checkpoint/{attempt}"
            if running is not None and action is workers.Action.STOP:
                self._end_attempt(
                    attempt, workers.AttemptState.STOPPED, b"", "stopped"
                )
            return _reply(result.Success(self._find_record(attempt)))

    def disconnect(self):
        """Does nothing; there are no connections."""

    def list_running(self) -> list[str]:
        """Returns the ids of the running attempts."""
        with self._lock:
            self._expire_lease()
            return list(self._running)

    def _find_refusal(self, start: workers.StartTask) -> workers.Refusal | None:
        record = self._find_record(start.attempt)
        if start.epoch != self._epoch:
            return workers.Refusal.STALE_EPOCH
        if self._lease_end <= self._timers.now():
            return workers.Refusal.LEASE_LAPSED
        if record is not None:
            if record.state is workers.AttemptState.CLOSED:
                return workers.Refusal.CLOSED
            return workers.Refusal.REPEATED
        if self.leaving:
            return workers.Refusal.LEAVING
        used = self._compute_usage().used + start.size
        is_full = len(self._running) >= self._slots
        if is_full or not used.fits_in(self._capacity):
            self.overloads += 1
            return workers.Refusal.OVERLOADED
        return None

    def _extend_lease(self, lease_s: float) -> None:
        self._lease_end = self._timers.now() + lease_s
        self._timers.call_later(lease_s, self._expire_lease)

    def _expire_lease(self) -> None:
        with self._lock:
            if self._lease_end > self._timers.now():
                return
            for attempt in list(self._running):
                self._end_attempt(
                    attempt, workers.AttemptState.STOPPED, b"", "lease lapsed"
                )

    def _complete_attempt(self, attempt: str) -> None:
        with self._lock:
            self._expire_lease()
            running = self._running.get(attempt)
            if running is None:
                return
            plan = running.plan
            state = workers.AttemptState.FAILED
            if plan.succeeds:
                state = workers.AttemptState.SUCCEEDED
            self._end_attempt(attempt, state, plan.answer, plan.reason)

    def _end_attempt(
        self,
        attempt: str,
        state: workers.AttemptState,
        answer: bytes,
        reason: str,
    ) -> None:
        running = self._running.pop(attempt)
        if running.end_timer is not None:
            running.end_timer.cancel()
        record = dataclasses.replace(
            self._create_record(running),
            state=state,
            answer=answer,
            length=len(answer),
            checksum=outcomes.compute_checksum(answer),
            reason=reason,
        )
        self._store_record(record)
        self._last_event += 1
        self._events.append((self._last_event, attempt))
        for future in running.waiters:
            future.set_result(result.Success(record))

    def _store_record(self, record: workers.AttemptRecord) -> None:
        self._records[record.attempt] = record
        if len(self._records) > MAX_RECORDS:
            oldest = next(iter(self._records))
            evicted = self._records.pop(oldest)
            self._complete_since = max(self._complete_since, evicted.epoch + 1)

    def _find_record(self, attempt: str) -> workers.AttemptRecord | None:
        running = self._running.get(attempt)
        if running is not None:
            return self._create_record(running)
        return self._records.get(attempt)

    def _create_record(self, running: _RunningAttempt) -> workers.AttemptRecord:
        start = running.start
        return workers.AttemptRecord(
            attempt=start.attempt,
            epoch=start.epoch,
            state=workers.AttemptState.RUNNING,
            size=start.size,
            digest=start.digest,
            kind=start.kind,
            checkpoint=running.checkpoint,
            run_s=self._timers.now() - running.started_at,
        )

    def _compute_usage(self) -> workers.Usage:
        used = resources.ZERO
        for running in self._running.values():
            used = used + running.start.size
        return workers.Usage(used, len(self._running))


def _reply(value: result.Result) -> futures.Future:
    future = futures.Future()
    future.set_result(value)
    return future
