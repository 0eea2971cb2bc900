"""Waiting requests of a shard, and the choice of which starts where.

Under overload, requests that cannot end before their deadline are refused or
dropped early, so that slots go to requests that still can.
"""

import dataclasses
from typing import Any

from persimmonpath import admission
from persimmonpath import attempts
from persimmonpath import errors
from persimmonpath import estimates
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import limits
from persimmonpath import placement
from persimmonpath import queues
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import work
from persimmonpath import workers

# An attempt that runs longer than this many times its high estimate is a
# straggler.
STRAGGLER_RATIO = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """A waiting or started request.

    Attributes:
        id: Its id.
        request: Its content.
        arrival: Input of the admission filters.
        item: Its item in the queue.
        value: Data attached by the dispatcher.
        starts: Number of attempts so far.
    """

    id: identifiers.RequestId
    request: work.Request
    arrival: admission.Arrival
    item: queues.Item
    value: Any
    starts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReservedRequest:
    """A request that starts now, and its reservation.

    Attributes:
        entry: The request.
        attempt: Id of the attempt.
        worker: Name of the reserved worker.
    """

    entry: Entry
    attempt: str
    worker: str


@dataclasses.dataclass(slots=True)
class _RunningWork:
    """Running sums over attempts, updated at each start and end.

    Attributes:
        count: Number of running attempts.
        end_sum: Sum of their expected ends in monotonic seconds.
    """

    count: int = 0
    end_sum: float = 0.0

    def add(self, end: float, sign: int) -> None:
        self.count += sign
        self.end_sum += sign * end

    def get_remaining_s(self, now: float) -> float:
        """Returns the remaining seconds of work, at least 0."""
        return max(0.0, self.end_sum - self.count * now)


class Backlog:
    """Queue, estimates and limits of a shard; calls need the fleet's lock."""

    def __init__(self, shard_fleet: fleet.Fleet, policy: rules.Policy):
        """Creates an empty backlog.

        Args:
            shard_fleet: Workers of the shard.
            policy: Settings of the policies.
        """
        self._fleet = shard_fleet
        self._timers = shard_fleet.timers
        self._policy = policy
        self._queue = queues.FairQueue(policy.queue_limit)
        self._run_times = estimates.RunTimeEstimator()
        self._limits = limits.ConcurrencyLimits(policy.short_slots_share)
        # Expected end of each running attempt, and the sums that count it.
        self._running: dict[str, tuple[float, _RunningWork]] = {}
        self._running_short = _RunningWork()
        self._running_long = _RunningWork()
        # Distinct capacities of the workers in use.
        self._capacities: set[resources.Resources] = set()
        # Whether no waiting request can start until capacity, workers or the
        # heads of the queue change.
        self._is_blocked = False
        self._filters = [
            self._check_fit,
            admission.check_time_left,
            admission.create_wait_check(self._queue, self._measure_slots),
        ]

    def create_entry(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        value: Any,
    ) -> Entry:
        """Returns the entry of a request that arrives now."""
        now = self._timers.now()
        estimate = self._estimate(request)
        item = self._create_item(request, estimate, now)
        arrival = admission.Arrival(request_id, request, now, estimate, item)
        item.value = Entry(request_id, request, arrival, item, value)
        return item.value

    def admit(self, entry: Entry) -> tuple[str | None, Any | None]:
        """Queues a request unless an admission filter refuses it.

        Returns:
            The reason for a refusal, if any, and the dispatcher's data of the
            entry that was displaced from the full queue, if any.
        """
        reason = admission.apply_filters(self._filters, entry.arrival)
        if reason is not None:
            return reason, None
        if self._queue.is_subqueue_empty(entry.item):
            self._is_blocked = False
        displaced = self._queue.push(entry.item)
        if displaced is entry.item:
            return "overloaded", None
        return None, displaced.value.value if displaced else None

    def readmit(self, entry: Entry) -> None:
        """Queues a request again by its first arrival, even when full."""
        self._queue.push(entry.item, is_forced=True)
        self._is_blocked = False

    def remove(self, entry: Entry | None) -> bool:
        """Removes an entry; returns whether it was waiting."""
        return entry is not None and self._queue.remove(entry.item)

    def withdraw(self) -> list[Any]:
        """Removes all waiting requests and returns the dispatcher's data."""
        entries = [item.value for item in self._queue.list_all()]
        for entry in entries:
            self._queue.remove(entry.item)
        return [entry.value for entry in entries]

    def select(self) -> tuple[ReservedRequest | None, list[Any]]:
        """Reserves a worker for the first request that can start.

        Returns:
            The request that starts, if any, and the dispatcher's data of the
            requests dropped since they cannot end before their deadline.
        """
        if self._is_blocked or not len(self._queue):
            return None, []
        expired = [
            i.value.value for i in self._queue.drop_expired(self._is_expired)
        ]
        selected = self._queue.select(lambda item: self._reserve(item.value))
        self._is_blocked = selected is None
        return selected[1] if selected else None, expired

    def _is_expired(self, item: queues.Item) -> bool:
        estimate = self._estimate(item.value.request)
        timeout_s = item.deadline - item.arrived
        needed_s = min(estimate.typical_s, estimate.get_required_s(timeout_s))
        return item.deadline < self._timers.now() + needed_s

    def watch_overrun(self, entry: Entry, attempt: attempts.Attempt) -> None:
        """Arms a timer that counts an overrunning attempt as long work."""
        estimate = self._estimate(entry.request)
        overrun_s = max(
            STRAGGLER_RATIO * estimate.high_s, self._policy.short_run_s
        )

        def record_overrun() -> None:
            with self._fleet.lock:
                if attempt.is_ended:
                    return
                self._run_times.observe(entry.request.kind, overrun_s)
                self._limits.mark_long(attempt.id)

        attempt.straggler_timer = self._timers.call_later(
            overrun_s, record_overrun
        )

    def release(self, attempt: attempts.Attempt) -> None:
        """Releases the reservation of an attempt that certainly has ended."""
        if attempt.straggler_timer is not None:
            attempt.straggler_timer.cancel()
        end, running = self._running.pop(attempt.id, (0.0, None))
        if running is not None:
            running.add(end, -1)
        self._fleet.release(attempt.worker, attempt.id)
        self._limits.release(attempt.id)
        self._is_blocked = False

    def observe(
        self,
        entry: Entry | None,
        attempt: attempts.Attempt,
        record: workers.AttemptRecord,
    ) -> None:
        """Updates estimates and limits from an ended attempt's record."""
        if entry is None or record.state is workers.AttemptState.CLOSED:
            return
        elapsed_s = self._timers.now() - attempt.sent_at
        run_s = record.run_s or elapsed_s
        estimate = self._estimate(entry.request)
        # The record of an attempt that had to be closed arrives late, so the
        # elapsed time says nothing about the worker.
        latency_s = run_s if attempt.close_calls else elapsed_s
        if estimate.is_learned and estimate.typical_s > 0:
            ratio = latency_s / estimate.typical_s
            self._limits.observe(attempt.worker, ratio)
        self._run_times.observe(entry.request.kind, run_s)

    def handle_start_error(
        self, attempt: attempts.Attempt, error: errors.WorkerError
    ) -> None:
        """Limits or excludes a worker that did not start an attempt.

        A missing answer changes nothing: the attempt may just run for long.
        """
        reason = getattr(error, "reason", "")
        is_unreachable = isinstance(error, errors.WorkerUnreachableError)
        if reason == workers.Refusal.OVERLOADED:
            self._limits.observe_refusal(attempt.worker)
        elif not is_unreachable:
            self._limits.exclude(attempt.worker, self._timers.now())
            # No other event announces the end of the exclusion.
            self._timers.call_later(limits.EXCLUSION_S, self._fleet.notify)

    def refresh(self) -> None:
        """Updates limits after workers or free capacity may have changed."""
        listed = self._fleet.list_workers()
        self._capacities = self._fleet.list_capacities()
        for worker in listed:
            self._limits.set_slots(worker.name, worker.slots)
        self._is_blocked = False

    def _reserve(self, entry: Entry) -> ReservedRequest | None:
        is_short = entry.item.is_short
        excluded = self._limits.list_excluded(is_short, self._timers.now())
        attempt = identifiers.format_attempt(str(entry.id), entry.starts + 1)
        constraints = placement.Constraints(
            entry.request.kind, entry.request.team
        )
        name = self._fleet.reserve(
            attempt, entry.request.size, excluded, constraints
        )
        if name is None:
            return None
        entry.starts += 1
        running = self._running_short if is_short else self._running_long
        end = self._timers.now() + entry.item.expected_s
        running.add(end, 1)
        self._running[attempt] = end, running
        self._limits.acquire(name, attempt, is_short)
        return ReservedRequest(entry, attempt, name)

    def _create_item(
        self, request: work.Request, estimate: estimates.Estimate, now: float
    ) -> queues.Item:
        # Declared run times may be wrong, so a kind without learned run times
        # does not get the slots reserved for short work.
        is_short = estimate.is_learned and (
            estimate.high_s <= self._policy.short_run_s
        )
        return queues.Item(
            team=request.team,
            is_short=is_short,
            needs_accelerators=request.size.accelerators > 0,
            expected_s=estimate.typical_s,
            arrived=now,
            deadline=now + request.timeout_s,
        )

    def _estimate(self, request: work.Request) -> estimates.Estimate:
        return self._run_times.estimate(request.kind, request.run_s)

    def _measure_slots(self, is_short: bool) -> tuple[int, float]:
        free = self._fleet.count_free_slots()
        if self._fleet.is_stopped():
            # The shard is moving; the next owner makes the decision.
            return len(self._queue), 0.0
        if free:
            return free + len(self._running), 0.0
        remaining_s = self._running_short.get_remaining_s(self._timers.now())
        if not is_short:
            remaining_s += self._running_long.get_remaining_s(
                self._timers.now()
            )
        return len(self._running), remaining_s

    def _check_fit(self, arrival: admission.Arrival) -> str | None:
        if any(arrival.request.size.fits_in(c) for c in self._capacities):
            return None
        return "fits_no_worker" if self._capacities else "no_worker_in_use"
