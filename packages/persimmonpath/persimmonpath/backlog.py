"""Requests of a shard that wait, and the choice of which starts where."""

import dataclasses
from typing import Any

from persimmonpath import attempts
from persimmonpath import errors
from persimmonpath import estimates
from persimmonpath import fleet
from persimmonpath import identifiers
from persimmonpath import limits
from persimmonpath import pipeline
from persimmonpath import placement
from persimmonpath import queues
from persimmonpath import resources
from persimmonpath import rules
from persimmonpath import work
from persimmonpath import workers

# A run that takes this many times its high estimate is a straggler.
STRAGGLER_RATIO = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """A request that waits or has started.

    Attributes:
        id: Its id.
        request: Its content.
        arrival: What the filters judge.
        item: Its place in the queue.
        value: What the dispatcher attaches.
        starts: Number of attempts so far.
    """

    id: identifiers.RequestId
    request: work.Request
    arrival: pipeline.Arrival
    item: queues.Item
    value: Any
    starts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """A request that starts now, and its reservation."""

    entry: Entry
    attempt: str
    worker: str


@dataclasses.dataclass(slots=True)
class _Running:
    """Sum over attempts that run, kept so that no sum is taken anew."""

    count: int = 0
    ends: float = 0.0

    def add(self, end: float, sign: int) -> None:
        self.count += sign
        self.ends += sign * end

    def get_left(self, now: float) -> float:
        """Returns the seconds of work left."""
        return max(0.0, self.ends - self.count * now)


class Backlog:
    """Queue, estimates and limits of a shard; every call needs its lock."""

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
        self._run_times = estimates.RunTimes()
        self._limits = limits.Limits(policy.short_slots_share)
        # Expected end and kind of the attempts that run, one for each slot.
        self._running: dict[str, tuple[float, _Running]] = {}
        self._running_short = _Running()
        self._running_long = _Running()
        # Distinct capacities of the workers in use; there are only a few.
        self._capacities: set[resources.Resources] = set()
        # Whether nothing that waits can start before something changes.
        self._is_blocked = False
        self._filters = [
            self._check_fit,
            pipeline.check_time_left,
            pipeline.create_wait_check(self._queue, self._measure_slots),
        ]

    def create_entry(
        self,
        request_id: identifiers.RequestId,
        request: work.Request,
        value: Any,
    ) -> Entry:
        """Returns the entry of a request that has arrived now."""
        now = self._timers.now()
        estimate = self._estimate(request)
        item = self._create_item(request, estimate, now)
        arrival = pipeline.Arrival(request_id, request, now, estimate, item)
        item.value = Entry(request_id, request, arrival, item, value)
        return item.value

    def admit(self, entry: Entry) -> tuple[str | None, Any | None]:
        """Queues a request unless it could not end before its deadline.

        Returns:
            The reason against it, if any, and what the dispatcher attached to
            an entry that had to leave the full queue, if any.
        """
        reason = pipeline.apply(self._filters, entry.arrival)
        if reason is not None:
            return reason, None
        if self._queue.is_lane_empty(entry.item):
            self._is_blocked = False
        displaced = self._queue.push(entry.item)
        if displaced is entry.item:
            return "overloaded", None
        return None, displaced.value.value if displaced else None

    def readmit(self, entry: Entry) -> None:
        """Queues a request for a further attempt, at its first place."""
        self._queue.push(entry.item, is_forced=True)
        self._is_blocked = False

    def remove(self, entry: Entry | None) -> bool:
        """Removes an entry; returns whether it was waiting."""
        return entry is not None and self._queue.remove(entry.item)

    def withdraw(self) -> list[Any]:
        """Removes all that waits; returns what the dispatcher attached."""
        entries = [item.value for item in self._queue.list_all()]
        for entry in entries:
            self._queue.remove(entry.item)
        return [entry.value for entry in entries]

    def select(self) -> tuple[Found | None, list[Any]]:
        """Reserves a worker for the first request that can start.

        Returns:
            The request that starts, if any, and what the dispatcher attached
            to those removed since they cannot end before their deadline.
        """
        if self._is_blocked or not len(self._queue):
            return None, []
        hopeless = [i.value.value for i in self._queue.drop(self._is_hopeless)]
        selected = self._queue.select(lambda item: self._reserve(item.value))
        self._is_blocked = selected is None
        return selected[1] if selected else None, hopeless

    def _is_hopeless(self, item: queues.Item) -> bool:
        estimate = self._estimate(item.value.request)
        timeout_s = item.deadline - item.arrived
        needed_s = min(estimate.typical_s, estimate.get_needed(timeout_s))
        return item.deadline < self._timers.now() + needed_s

    def watch(self, entry: Entry, attempt: attempts.Attempt) -> None:
        """Counts an attempt that overruns as long work from then on."""
        estimate = self._estimate(entry.request)
        overrun_s = max(
            STRAGGLER_RATIO * estimate.high_s, self._policy.short_run_s
        )

        def straggler_timer() -> None:
            with self._fleet.lock:
                if attempt.is_ended:
                    return
                self._run_times.observe(entry.request.kind, overrun_s)
                self._limits.mark_long(attempt.id)

        attempt.straggler_timer = self._timers.call_later(
            overrun_s, straggler_timer
        )

    def release(self, attempt: attempts.Attempt) -> None:
        """Gives back what an attempt held, once it certainly does not run."""
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
        """Learns from the record of an attempt that ended."""
        if entry is None or record.state is workers.AttemptState.CLOSED:
            return
        elapsed_s = self._timers.now() - attempt.sent_at
        run_s = record.run_s or elapsed_s
        estimate = self._estimate(entry.request)
        # Records of attempts that fell silent arrive late by any time.
        latency_s = run_s if attempt.close_calls else elapsed_s
        if estimate.is_learned and estimate.typical_s > 0:
            ratio = latency_s / estimate.typical_s
            self._limits.observe(attempt.worker, ratio)
        self._run_times.observe(entry.request.kind, run_s)

    def take_error(
        self, attempt: attempts.Attempt, error: errors.WorkerError
    ) -> None:
        """Keeps work off a worker that did not take an attempt.

        Silence says nothing: the attempt may just run for long.
        """
        reason = getattr(error, "reason", "")
        is_silent = isinstance(error, errors.WorkerUnreachableError)
        if reason == workers.Refusal.OVERLOADED:
            self._limits.observe_refusal(attempt.worker)
        elif not is_silent:
            self._limits.pause(attempt.worker, self._timers.now())
            # Nothing else says that the worker may be tried again.
            self._timers.call_later(limits.PAUSE_S, self._fleet.notify)

    def refresh(self) -> None:
        """Takes in that workers or free capacity may have changed."""
        listed = self._fleet.list_workers()
        self._capacities = self._fleet.list_capacities()
        for worker in listed:
            self._limits.set_slots(worker.name, worker.slots)
        self._is_blocked = False

    def _reserve(self, entry: Entry) -> Found | None:
        is_short = entry.item.is_short
        excluded = self._limits.list_excluded(is_short, self._timers.now())
        attempt = identifiers.format_attempt(str(entry.id), entry.starts + 1)
        need = placement.Need(entry.request.kind, entry.request.team)
        name = self._fleet.reserve(attempt, entry.request.size, excluded, need)
        if name is None:
            return None
        entry.starts += 1
        running = self._running_short if is_short else self._running_long
        end = self._timers.now() + entry.item.expected_s
        running.add(end, 1)
        self._running[attempt] = end, running
        self._limits.acquire(name, attempt, is_short)
        return Found(entry, attempt, name)

    def _create_item(
        self, request: work.Request, estimate: estimates.Estimate, now: float
    ) -> queues.Item:
        # A kind that has never run is not trusted with the slots of short
        # work, whatever it declares.
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
            # The next owner decides.
            return len(self._queue), 0.0
        if free:
            return free + len(self._running), 0.0
        left_s = self._running_short.get_left(self._timers.now())
        if not is_short:
            left_s += self._running_long.get_left(self._timers.now())
        return len(self._running), left_s

    def _check_fit(self, arrival: pipeline.Arrival) -> str | None:
        if any(arrival.request.size.fits_in(c) for c in self._capacities):
            return None
        return "fits_no_worker" if self._capacities else "no_worker_in_use"
