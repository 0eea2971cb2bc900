"""Whether a task waits for a better worker than the one that it could get now.

Covers tasks that take longer away from the rack of their data, gangs that take
longer on several racks, and urgent tasks for which only slow workers are free.
A worker in the place that they want often becomes free within less time than
they would lose elsewhere; but a rack that is busy for long, or has gone, must
not keep them waiting.

A waiting step holds no capacity. The waits of a step add up to at most a share
of what waiting may gain, so that one whose expectations turn out wrong loses no
more than that; for urgent work, to at most what is left to its objective.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import math

from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Seconds from the end of a run to the start of the next one on its capacity:
# listing, planning and the start command.
HANDOVER_S = 0.05
# An expected wait that has to end before an objective is taken this many times,
# as others may get the capacity first and runs may take longer.
OBJECTIVE_MARGIN = 1.5
# Largest part of the gain that a wait may take. A worker for which a task waits
# is missing to others that want it: in replays of a rack with 50 to 170 percent
# of the work that it can carry, the mean age was lowest with a quarter to a
# half.
GAIN_SHARE = 0.5
# Most slots that are looked for; further tasks don't wait.
MAX_SLOTS = 64
# The place of a worker of normal speed on any rack.
ANY_FAST = "*"
# Shortest time in seconds between two plans of waiting steps as runs end, which
# would otherwise take much of an owner's time while many runs end.
RECHECK_INTERVAL_S = 0.02
# Half-life in seconds of the rate at which runs free capacity, and the share of
# it that one step is expected to get.
RATE_HALF_LIFE_S = 1.0
RATE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Capacity for one task that becomes free.

    Attributes:
      wait_s: seconds until a task may start there.
      factor: factor on the run time there.
    """

    wait_s: float
    factor: float = 1.0


def should_wait(
    need: speeds.TimeNeed,
    factor_now: float,
    slot: Slot,
    waited_s: float = 0.0,
    ahead: int = 0,
) -> bool:
    """Returns whether a task waits for a slot.

    The expected gain is the time by which it would run shorter there, less for
    a tenant below its share and more for one above it, which pays for every
    second that its tasks run. Waits of the step so far count as well.
    For urgent work, first of all its objective must be met.

    Args:
      need: the task's run time, the time left to it and its tenant's share.
      factor_now: the factor on the run time on the worker that it could get
        now, with that for being far away.
      slot: the slot for which it would wait.
      waited_s: for how long its step has waited so already.
      ahead: number of tasks that wait for the same place and come before it.
        The more there are, the surer the place is used without this task.
    """
    run_now_s = need.run_s * factor_now
    run_there_s = need.run_s * slot.factor
    gain_s = (run_now_s - run_there_s) * need.share
    if gain_s <= 0 or math.isinf(slot.wait_s):
        return False
    if need.is_urgent and need.left_s is not None:
        end_s = OBJECTIVE_MARGIN * slot.wait_s + run_there_s
        if end_s > need.left_s:
            # A wait that may cost the objective doesn't pay.
            return False
        if need.is_missed(factor_now):
            return True
    gain_s *= GAIN_SHARE / (1 + ahead)
    return waited_s + slot.wait_s < gain_s


def count_waiting(
    need: speeds.TimeNeed,
    factor_now: float,
    slots: list[Slot],
    count: int,
    waited_s: float = 0.0,
    ahead: int = 0,
) -> int:
    """Returns how many tasks of a step wait for slots.

    Args:
      need: as in `should_wait`, like the others.
      factor_now: as there.
      slots: the slots, the earliest one first; each is used by one task.
      count: number of tasks.
      waited_s: as there.
      ahead: number of tasks before the first one, which use as many slots.
    """
    waiting = 0
    for slot in slots[ahead : ahead + count]:
        if not should_wait(need, factor_now, slot, waited_s, ahead + waiting):
            break
        waiting += 1
    return waiting


# Returns for how many seconds a run is expected to go on.
PredictRemaining = Callable[[execution.Run], float]


def list_slots(
    workers: Iterable[fleet.Worker],
    spec: submissions.StepSpec,
    free_capacity: placement.FreeCapacity,
    predict_remaining: PredictRemaining,
) -> list[Slot]:
    """Returns when workers will have room for tasks that don't fit now.

    Args:
      workers: the workers that may run them. Those that drain, don't answer or
        are excluded must be left out: they can't become available.
      spec: the step of the tasks.
      free_capacity: the capacity that is left in the current plan.
      predict_remaining: predicts for how long runs go on.

    Returns:
      At most MAX_SLOTS, the earliest one first.
    """
    slots = []
    for worker in workers:
        if placement.can_ever_fit(worker, spec) and placement.count_attainable(
            worker, spec
        ):
            slots += _list_slots_of(
                worker, spec, free_capacity, predict_remaining
            )
    return heapq.nsmallest(MAX_SLOTS, slots, key=lambda slot: slot.wait_s)


def _list_slots_of(
    worker, spec, free_capacity, predict_remaining: PredictRemaining
) -> list[Slot]:
    """Returns the slots that the ends of a worker's runs open."""
    cpu, memory_mb, gpu, _, _ = free_capacity.get_free(worker)
    present = 0
    if spec.max_per_worker:
        present = sum(run.spec is spec for run in worker.runs.values())
    ends = sorted(
        ((predict_remaining(run), run) for run in worker.runs.values()),
        key=lambda end: end[0],
    )
    slots = []
    taken = _count_in(spec, cpu, memory_mb, gpu)
    for remaining_s, run in ends:
        if math.isinf(remaining_s):
            break
        cpu += 0 if run.spec.is_filler else run.spec.cpu
        memory_mb += run.spec.memory_mb
        gpu += run.spec.gpu
        fitting = _count_in(spec, cpu, memory_mb, gpu)
        if spec.max_per_worker:
            present -= run.spec is spec
            fitting = min(fitting, max(0, spec.max_per_worker - present))
        slot = Slot(HANDOVER_S + remaining_s, worker.run_time_factor)
        slots += [slot] * (fitting - taken)
        taken = max(taken, fitting)
        if len(slots) >= MAX_SLOTS:
            break
    return slots


def _count_in(spec, cpu: int, memory_mb: int, gpu: int) -> int:
    """Returns how many tasks of a step fit into an amount of capacity."""
    counts = [
        max(0, available // needed)
        for available, needed in (
            (cpu, 0 if spec.is_filler else spec.cpu),
            (memory_mb, spec.memory_mb),
            (gpu, spec.gpu),
        )
        if needed
    ]
    return min(counts, default=1)


class FreedCapacity:
    """The rate at which runs that end free CPU on workers of normal speed."""

    def __init__(self):
        """Creates it without any end."""
        self._cpu = 0.0
        self._at = -math.inf

    def _decay(self, now: float) -> float:
        age_s = now - self._at
        return self._cpu * 0.5 ** (age_s / RATE_HALF_LIFE_S)

    def record(self, cpu: int, now: float):
        """Records the end of a run.

        Args:
          cpu: CPU that it frees, in thousandths of a core.
          now: the monotonic clock, in seconds.
        """
        self._cpu = self._decay(now) + cpu
        self._at = now

    def list_slots(
        self, spec: submissions.StepSpec, ahead_cpu: int, count: int, now: float
    ) -> list[Slot]:
        """Returns when freed capacity has room for tasks of a step.

        Args:
          spec: the step.
          ahead_cpu: CPU for which other steps wait already.
          count: number of tasks.
          now: the monotonic clock, in seconds.
        """
        # A steady rate r decays to r times the mean life.
        rate = self._decay(now) * math.log(2) / RATE_HALF_LIFE_S * RATE_SHARE
        if rate <= 0:
            return []
        return [
            Slot(HANDOVER_S + (ahead_cpu + number * spec.cpu) / rate)
            for number in range(1, min(count, MAX_SLOTS) + 1)
        ]


class Waits:
    """The steps of which tasks wait for a better place, by that place.

    A place is the name of a rack, or ANY_FAST.
    """

    def __init__(self):
        """Creates it without any step."""
        self._counts: dict[str, dict[execution.Step, int]] = {}
        # Tasks that wait for a place and the CPU that they need.
        self._totals: dict[str, list[int]] = {}
        self._places: dict[execution.Step, set[str]] = {}
        self._since: dict[execution.Step, float] = {}

    def set(self, step: execution.Step, place: str, count: int, now: float):
        """Records how many tasks of a step wait for a place."""
        if not count:
            return
        counts = self._counts.setdefault(place, {})
        added = count - counts.get(step, 0)
        counts[step] = count
        self._adjust(place, step, added)
        self._places.setdefault(step, set()).add(place)
        self._since.setdefault(step, now)

    def _adjust(self, place: str, step: execution.Step, count: int):
        totals = self._totals.setdefault(place, [0, 0])
        totals[0] += count
        totals[1] += count * step.spec.cpu

    def measure_wait(self, step: execution.Step, now: float) -> float:
        """Returns for how long a step has waited so far, in seconds."""
        return now - self._since.get(step, now)

    def count(self, step: execution.Step) -> int:
        """Returns how many tasks of a step wait."""
        return sum(
            self._counts[place][step] for place in self._places.get(step, ())
        )

    def count_all(self) -> int:
        """Returns how many tasks of all steps wait."""
        return sum(count for count, _ in self._totals.values())

    def measure_demand(self, place: str) -> tuple[int, int]:
        """Returns how many tasks wait for a place and how much CPU they need.

        Returns:
          The number of tasks and thousandths of a core.
        """
        count, cpu = self._totals.get(place, (0, 0))
        return count, cpu

    def list_steps(self, place: str, limit: int) -> list[execution.Step]:
        """Returns the steps that were the first to wait for a place."""
        return list(itertools.islice(self._counts.get(place, ()), limit))

    def release(self, step: execution.Step):
        """Removes a step that is planned anew; its wait so far stays known."""
        for place in self._places.pop(step, ()):
            count = self._counts[place].pop(step)
            self._adjust(place, step, -count)
            if not self._counts[place]:
                del self._counts[place]
                del self._totals[place]

    def clear(self):
        """Removes all steps, as they are planned anew."""
        self._counts.clear()
        self._totals.clear()
        self._places.clear()
        for step in list(self._since):
            if step.is_done or not step.submission.is_active:
                del self._since[step]

    def forget(self, step: execution.Step):
        """Forgets a step that has nothing to place any more."""
        self.release(step)
        self._since.pop(step, None)
