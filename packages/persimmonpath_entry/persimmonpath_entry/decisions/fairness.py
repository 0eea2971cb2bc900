"""How tenants share the capacity of a service while it is short.

Covers a service whose tenants want more than it has, while one of them sends
several times its usual load. Ordered by due times alone, all of them waited
behind that tenant's work. Here the work beyond the agreed rate of a tenant goes
last, and the tenants take turns by what they have relative to their weights.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import heapq
from typing import Any
from typing import NamedTuple

from persimmonpath_entry.state import submissions

# A tenant may send what its rate gives in this time at once, in seconds, and in
# any case MIN_BURST submissions: callers that don't know of each other often
# send several in a moment. At four fifths of a rate of 0.5 a second, 10% of
# random arrivals are beyond it with 3, and 4% with 5.
BURST_S = 2.0
MIN_BURST = 5
# Bounds of a weight. Between them the sums of waits lose no digits that count.
MIN_WEIGHT = 1e-3
MAX_WEIGHT = 1e6
# Most seconds by which acceptance times lag: a slow store takes several seconds
# to store a submission. A larger difference is the jump of a clock, and says
# nothing about a rate.
MAX_LAG_S = 10.0
# Seconds for which the ids of counted submissions are remembered: longer than
# it takes to store an admitted one and to read its row.
COUNTED_ID_TTL_S = 60.0
# Part of the agreed rate that is reserved for retries of refused submissions.
# Retries take no tokens, so that they don't put new submissions over the rate.
RETRY_SLOT_SHARE = 0.25
# Shortest time after which one may come back, in seconds: most of a peak is
# over then. Sooner, it takes the place of new work of its own tenant.
MIN_RETRY_S = 5.0
# Latest time ahead for which a retry slot is reserved, in seconds.
MAX_RETRY_S = 30.0
# Most retry slots that are kept; a caller without one is judged anew.
MAX_RETRY_SLOTS = 4096
# Seconds for which a tenant counts as above its rate after a submission beyond
# it. Other VMs learn of it within two seconds.
EXCEEDING_S = 3.0


def bound_weight(weight: float) -> float:
    """Returns a weight within bounds in which all shares and waits are finite.

    A wait that isn't finite would make the row of the owner unreadable.
    """
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


def bound_acceptance(
    accepted_s: float, now_s: float, is_live: bool
) -> float | None:
    """Returns the time at which a submission counts as accepted.

    A wrong clock of one VM must not use up the rate of a tenant, and neither
    must old rows that are read again.

    Args:
      accepted_s: time of acceptance by the clock of the VM that accepted it,
        in seconds since the Unix epoch.
      now_s: the time by the own clock.
      is_live: whether the submission is new, as opposed to one that is read
        when a service is taken over.

    Returns:
      The time, or None if it doesn't count.
    """
    if is_live and accepted_s < now_s - MAX_LAG_S:
        return None
    return min(accepted_s, now_s)


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The token bucket of a tenant, as a generic cell rate algorithm.

    Attributes:
      full_at: when the bucket is full again, in seconds.
      slots_until: when the next retry slot is due at the earliest.
      exceeded_at: when a submission was last beyond the rate.
    """

    full_at: float = 0.0
    slots_until: float = 0.0
    exceeded_at: float = float("-inf")

    def is_empty(self, rate: float, at: float) -> bool:
        """Returns whether a submission at a time is beyond the rate."""
        tolerance_s = _choose_tolerance(rate)
        ahead_s = self.full_at - at
        if ahead_s > tolerance_s + 1 / rate + MAX_LAG_S:
            self.full_at = at
            return False
        return ahead_s > tolerance_s

    def take(self, rate: float, at: float):
        """Takes a token at a time."""
        self.full_at = max(self.full_at, at) + 1 / rate

    def reserve_retry_slot(self, rate: float, at: float) -> float:
        """Reserves a slot for the retry of a refused submission.

        A slot that would be due after more than MAX_RETRY_S isn't reserved.

        Returns:
          When the slot is due.
        """
        refilled_at = self.full_at - _choose_tolerance(rate)
        due = max(self.slots_until, refilled_at, at + MIN_RETRY_S)
        if due - at <= MAX_RETRY_S:
            self.slots_until = due + 1 / (rate * RETRY_SLOT_SHARE)
        return due


def _choose_tolerance(rate: float) -> float:
    """Returns how far a bucket may be from full, in seconds of its rate."""
    return max(BURST_S, (MIN_BURST - 1) / rate)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Arrival:
    """A submission that hasn't been counted yet."""

    at: float
    submission_id: str
    tenant: str
    is_own: bool


class AgreedRates:
    """Tells which submissions are beyond the agreed rates of their tenants.

    Submissions are counted in the order of their acceptance. Those that are
    read together, as after a takeover, are sorted first, so that a new owner
    comes to the same result as the former one.
    """

    def __init__(self, find_rate: Callable[[str], float | None]):
        """Creates full buckets.

        Args:
          find_rate: returns the submissions per second that a tenant has agreed
            to send, None if nothing is agreed.
        """
        self._find_rate = find_rate
        self._buckets: dict[str, _Bucket] = {}
        self._arrivals: list[_Arrival] = []
        # Ids of counted submissions, and when they were accepted.
        self._counted: dict[str, float] = {}
        self._excess: set[str] = set()
        self._retry_slots: dict[str, float] = {}

    def record(
        self, submission_id: str, tenant: str, at: float, is_own: bool = True
    ):
        """Records an accepted submission.

        Args:
          submission_id: its id.
          tenant: the name of its tenant.
          at: when it was accepted, in seconds.
          is_own: whether it belongs to this service, so that `is_excess` is
            asked for it.
        """
        self._arrivals.append(_Arrival(at, submission_id, tenant, is_own))

    def is_excess(self, submission_id: str) -> bool:
        """Returns whether a recorded submission is beyond its tenant's rate."""
        self._count_arrivals()
        return submission_id in self._excess

    def keep_excess(self, is_active: Callable[[str], bool]):
        """Forgets which submissions were beyond a rate once they have ended.

        Args:
          is_active: returns whether the submission with an id is active.
        """
        self._excess = {i for i in self._excess if is_active(i)}

    def admit(self, submission_id: str, tenant: str, at: float) -> float:
        """Returns after how many seconds a new submission is inside the rate.

        At 0 it is counted. A refused submission gets a retry slot, from which
        on it is inside the rate.

        Args:
          submission_id: its id.
          tenant: the name of its tenant.
          at: the time in seconds.
        """
        self._count_arrivals()
        rate = self._find_rate(tenant)
        if rate is None or submission_id in self._counted:
            return 0.0
        bucket = self._buckets.setdefault(tenant, _Bucket())
        if self._use_retry_slot(submission_id, at):
            self._remember(submission_id, at)
            return 0.0
        if not bucket.is_empty(rate, at):
            bucket.take(rate, at)
            self._remember(submission_id, at)
            return 0.0
        bucket.exceeded_at = max(bucket.exceeded_at, at)
        retry_at = self._retry_slots.get(submission_id)
        if retry_at is None:
            _drop_oldest(self._retry_slots, at - COUNTED_ID_TTL_S)
            if len(self._retry_slots) >= MAX_RETRY_SLOTS:
                return MAX_RETRY_S
            retry_at = bucket.reserve_retry_slot(rate, at)
            if retry_at - at <= MAX_RETRY_S:
                self._retry_slots[submission_id] = retry_at
        return retry_at - at

    def _use_retry_slot(self, submission_id: str, at: float) -> bool:
        """Uses the retry slot of a submission, if it is due.

        Returns:
          Whether there was one.
        """
        retry_at = self._retry_slots.get(submission_id)
        if retry_at is None or retry_at > at:
            return False
        del self._retry_slots[submission_id]
        return True

    def list_exceeding(self, now: float) -> list[str]:
        """Returns the tenants that send more than agreed, the latest first."""
        self._count_arrivals()
        recent = [
            (bucket.exceeded_at, name)
            for name, bucket in self._buckets.items()
            if now - bucket.exceeded_at <= EXCEEDING_S
        ]
        return [name for _, name in sorted(recent, reverse=True)]

    def _count_arrivals(self):
        if not self._arrivals:
            return
        arrivals = sorted(self._arrivals)
        self._arrivals.clear()
        for arrival in arrivals:
            self._count(arrival)

    def _count(self, arrival: _Arrival):
        rate = self._find_rate(arrival.tenant)
        if rate is None or arrival.submission_id in self._counted:
            return
        self._remember(arrival.submission_id, arrival.at)
        if self._use_retry_slot(arrival.submission_id, arrival.at):
            return
        bucket = self._buckets.setdefault(arrival.tenant, _Bucket())
        if not bucket.is_empty(rate, arrival.at):
            bucket.take(rate, arrival.at)
            return
        bucket.exceeded_at = max(bucket.exceeded_at, arrival.at)
        if arrival.is_own:
            self._excess.add(arrival.submission_id)

    def _remember(self, submission_id: str, at: float):
        self._counted[submission_id] = at
        _drop_oldest(self._counted, at - COUNTED_ID_TTL_S)


def _drop_oldest(times: dict[str, float], limit: float):
    """Removes the first entries of a dictionary that are before a time."""
    while times:
        first = next(iter(times))
        if times[first] >= limit:
            return
        del times[first]


class DominantShares:
    """The shares of a service's capacity that its tenants have.

    A tenant's dominant share is the largest of its shares of CPU, memory and
    accelerators. Running and planned tasks count.
    """

    def __init__(self):
        """Starts with an unknown capacity and nothing in use."""
        self._capacity = (1, 1, 1)
        self._used: dict[str, list[int]] = {}
        self._planned: dict[str, list[int]] = {}
        self._planned_counts: dict[Hashable, int] = {}

    def set_capacity(self, cpu: int, memory_mb: int, gpu: int):
        """Sets the capacity of all workers of the service together."""
        self._capacity = (max(1, cpu), max(1, memory_mb), max(1, gpu))

    def add(self, tenant: str, spec: submissions.StepSpec, count: int = 1):
        """Adds runs of a tenant; a negative count removes them."""
        _add_amounts(self._used.setdefault(tenant, [0, 0, 0]), spec, count)

    def plan(
        self,
        step: Hashable,
        tenant: str,
        spec: submissions.StepSpec,
        count: int,
    ) -> bool:
        """Sets how many tasks of a step are planned and haven't been started.

        Args:
          step: the step.
          tenant: the name of its tenant.
          spec: its specification.
          count: the number of tasks for which it holds capacity.

        Returns:
          Whether that changes anything.
        """
        change = count - self._planned_counts.get(step, 0)
        if not change:
            return False
        self._planned_counts[step] = count
        planned = self._planned.setdefault(tenant, [0, 0, 0])
        _add_amounts(planned, spec, change)
        return True

    def clear_plans(self):
        """Forgets all planned tasks."""
        self._planned.clear()
        self._planned_counts.clear()

    def measure(self, tenant: str) -> float:
        """Returns the dominant share of a tenant, from 0 to 1."""
        used = self._used.get(tenant)
        planned = self._planned.get(tenant)
        if used is None and planned is None:
            return 0.0
        return max(
            (a + b) / capacity
            for a, b, capacity in zip(
                used or (0, 0, 0),
                planned or (0, 0, 0),
                self._capacity,
                strict=True,
            )
        )

    def measure_task(self, spec: submissions.StepSpec) -> float:
        """Returns the dominant share of one task."""
        amounts = [0, 0, 0]
        _add_amounts(amounts, spec, 1)
        return max(
            amount / capacity
            for amount, capacity in zip(amounts, self._capacity, strict=True)
        )

    def list_tenants(self) -> list[str]:
        """Returns the tenants that have or had runs."""
        return list(self._used)


def _add_amounts(
    amounts: list[int], spec: submissions.StepSpec, count: int
) -> None:
    # Fillers use only the CPU that others leave.
    amounts[0] += 0 if spec.is_filler else count * spec.cpu
    amounts[1] += count * spec.memory_mb
    amounts[2] += count * spec.gpu


# Number of the first fields of a rank that count before the tenants' shares:
# whether it is expired, whether it is beyond the agreed rate, the priority,
# whether it is late and whether it is distant. Work that is late already, or
# that can wait, must not make other work late.
RANK_CLASS_FIELDS = 5
# Steps due after this time, in seconds, go behind nearer ones. Callers of
# urgent work wait that long.
NEAR_S = 3.0


class QueuedStep(NamedTuple):
    """A step at its place among those of its tenant.

    Attributes:
      rank: its rank.
      sequence: orders steps of equal rank by age.
      step: the step.
      tenant: the name of its tenant, empty if all steps are in one list.
      rank_class: the first fields of the rank, which count before the shares of
        the tenants. Equal ones of all steps are the same object.
    """

    rank: tuple
    sequence: int
    step: Any
    tenant: str = ""
    rank_class: tuple = ()


class TenantMerge:
    """Merges the steps of several tenants into one order, lazily.

    The next step is that of the first class in the order; within a class it
    comes from the tenant with the lowest share relative to its weight, as of
    that moment. A step costs at most one replacement in a heap of the tenants,
    and none while the last tenant is still the one with the lowest share.
    """

    def __init__(
        self,
        steps_by_tenant: Mapping[str, Sequence[QueuedStep]],
        measure_share: Callable[[str], float],
        is_begun: Callable[[Any], bool] = lambda step: False,
    ):
        """Begins the order.

        Args:
          steps_by_tenant: the steps of each tenant in their order. The lists
            are not copied.
          measure_share: returns what a tenant has, relative to its weight. It
            is called again after each step of the tenant.
          is_begun: returns whether a step goes before those of tenants with
            lower shares, since a part of its tasks has started.
        """
        self._measure_share = measure_share
        self._is_begun = is_begun
        self._heap: list[tuple] = []
        # The steps that follow the last one at its tenant, its class and the
        # share that its tenant had before it.
        self._following: Iterator[QueuedStep] = iter(())
        self._rank_class: tuple | None = None
        self._share = 0.0
        self._remaining = 0
        for steps in steps_by_tenant.values():
            if steps:
                self._remaining += len(steps)
                following = iter(steps)
                entry = self._make_entry(next(following), following)
                self._heap.append(entry)
        heapq.heapify(self._heap)

    def __bool__(self) -> bool:
        return self._remaining > 0

    def __iter__(self) -> Iterator[Any]:
        while self:
            yield self.popleft()

    def clear(self):
        """Leaves out all further steps."""
        self._remaining = 0

    def popleft(self) -> Any:
        """Removes the next step and returns it."""
        self._remaining -= 1
        queued = next(self._following, None)
        if queued is None:
            entry = heapq.heappop(self._heap)
        else:
            if (
                queued.rank_class is self._rank_class
                and self._measure_share(queued.tenant) == self._share
            ):
                return queued.step
            entry = self._make_entry(queued, self._following)
            entry = heapq.heappushpop(self._heap, entry)
        self._rank_class, self._share, _, _, queued, self._following = entry
        return queued.step

    def _make_entry(
        self, queued: QueuedStep, following: Iterator[QueuedStep]
    ) -> tuple:
        """Returns the heap entry of a tenant whose next step is given."""
        share = -1.0
        if not self._is_begun(queued.step):
            share = self._measure_share(queued.tenant)
        return (
            queued.rank_class,
            share,
            queued.rank,
            queued.sequence,
            queued,
            following,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What a tenant has while a task is preempted for another tenant.

    Attributes:
      share: its dominant share.
      weight: its weight.
    """

    share: float
    weight: float

    def measure(self, change: float = 0.0) -> float:
        """Returns the share relative to the weight after a change of it."""
        return (self.share + change) / self.weight


def may_take_over_share(
    victim: Holding, run_share: float, taker: Holding, task_share: float
) -> bool:
    """Returns whether a run may be preempted for a task of another tenant.

    Even afterwards the tenant of the run has no less than the other one, so
    that the two don't preempt each other in turn.

    Args:
      victim: what the tenant of the run has.
      run_share: the dominant share of the run.
      taker: what the tenant of the waiting task has.
      task_share: the dominant share of that task.
    """
    return victim.measure(-run_share) >= taker.measure(task_share)
