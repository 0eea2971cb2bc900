"""Which workers the waiting steps of a service get, most urgent first.

Covers an overloaded service, in which most of the waiting steps find no room.
What a step holds in the plan stays until the step is planned anew, so that a
step that has just become ready is planned without repeating all the others.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from persimmonpath_entry.decisions import localitywait
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import reservations
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.decisions import workerpool
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Steps that may reserve workers in one plan, and the share of all capacity
# after which no further step may. Many gangs that each keep a part of what they
# need would leave most of the workers idle.
MAX_RESERVING_STEPS = 16
MAX_RESERVED_SHARE = 0.25
# Reservations are kept for this long, in seconds, since choosing them examines
# every worker.
RESERVATION_TTL_S = 0.2
# Seconds for which the workers planned for a step without tickets are kept.
PLAN_TTL_S = 0.1
# Share of all CPU that is free in a service whose capacity isn't scarce.
AMPLE_FREE_SHARE = 0.5
# Seconds for which a gang keeps the workers on which runs were preempted for
# it. No other task gets that capacity meanwhile.
VACATED_TTL_S = 1.5

# A task and the worker on which it is to run.
Placement = tuple[execution.Task, fleet.Worker]
# Seconds for which the slots that open on a rack are kept, since they are found
# by examining its runs.
SLOTS_TTL_S = 0.1
# Steps that are planned anew when a run ends in the place for which they wait.
MAX_RECHECKED = 4


class Outlook:
    """What is known of the run times of steps; by default nothing."""

    def describe_need(
        self, step: execution.Step, waiting: int, now: float
    ) -> speeds.TimeNeed | None:
        """Returns how much tasks of a step need a fast or near worker.

        Args:
          step: the step.
          waiting: number of its tasks that wait.
          now: the monotonic clock, in seconds.

        Returns:
          None if that isn't known, or if it makes no difference.
        """
        return None

    def predict_remaining_s(self, run: execution.Run, now: float) -> float:
        """Returns for how long a run is expected to go on, in seconds."""
        return math.inf


@dataclasses.dataclass(slots=True)
class _Choice:
    """Workers chosen for a step.

    Attributes:
      workers: a worker for each task.
      chosen_at: when they were chosen.
      keep_until: until when they stay chosen at least.
    """

    workers: list[fleet.Worker]
    chosen_at: float
    keep_until: float = 0.0

    def is_kept(self, now: float, ttl_s: float) -> bool:
        """Returns whether the choice still holds, by its age or keep_until."""
        return now < max(self.keep_until, self.chosen_at + ttl_s)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCapacity:
    """What the steps hold in a plan.

    Attributes:
      counts: workers and numbers of tasks by step.
      reservations: the steps for which workers are reserved, by worker id.
    """

    counts: dict[execution.Step, list[tuple[fleet.Worker, int]]]
    reservations: dict[str, execution.Step]


class StepPlanner:
    """Plans the waiting steps of a service on its workers.

    Attributes:
      reservations: the steps for which workers are reserved, by worker id.
      outlook: tells what is known of the run times of steps.
      waits: the steps that wait for a better place than they could get.
      freed_capacity: the rate at which workers of normal speed get free.
      is_capacity_scarce: whether less than AMPLE_FREE_SHARE of the CPU was free
        when the plan was begun.
    """

    def __init__(
        self,
        pool: workerpool.WorkerPool,
        is_usable: Callable[[fleet.Worker, float], bool],
    ):
        """Creates a planner.

        Args:
          pool: the workers that may get tasks.
          is_usable: returns whether a worker may still get tasks at a time.
        """
        self._pool = pool
        self._is_usable = is_usable
        self.outlook = Outlook()
        self.waits = localitywait.Waits()
        self.freed_capacity = localitywait.FreedCapacity()
        # The slots that open on a rack for tasks of a size, and when they were
        # found.
        self._slots: dict[tuple, tuple[float, list[localitywait.Slot]]] = {}
        # Whether a worker of normal speed may run tasks of a size.
        self._fast_sizes: dict[tuple, bool] = {}
        # Steps to be planned although their size fitted nowhere before.
        self._rechecked: set[execution.Step] = set()
        self._recheck_at = 0.0
        # The capacity that each step holds in the current plan: workers and
        # numbers of tasks.
        self._held: dict[execution.Step, list[tuple[fleet.Worker, int]]] = {}
        self._former_reservations: dict[str, execution.Step] = {}
        self.reservations: dict[str, execution.Step] = {}
        # What each step has reserved, in workers.
        self._reserved: dict[execution.Step, float] = {}
        self._kept_reservations: dict[execution.Step, _Choice] = {}
        self._kept_plans: dict[execution.Step, _Choice] = {}
        self._vacated: dict[execution.Step, _Choice] = {}
        self._unplaceable = workerpool.UnplaceableSizes()
        self.is_capacity_scarce = True

    @property
    def free_capacity(self) -> placement.FreeCapacity:
        """The capacity that is left in the current plan."""
        return self._pool.free_capacity

    def begin_plan(self, now: float):
        """Discards the current plan and begins a new one."""
        self._pool.begin_plan()
        self._held.clear()
        self._former_reservations = self.reservations
        self.reservations = {}
        self._reserved.clear()
        self.waits.clear()
        self._slots.clear()
        self._fast_sizes.clear()
        self._rechecked.clear()
        self._unplaceable = workerpool.UnplaceableSizes()
        self.is_capacity_scarce = (
            self._pool.measure_free_share() < AMPLE_FREE_SHARE
        )
        for step, kept in list(self._kept_plans.items()):
            if not kept.is_kept(now, PLAN_TTL_S):
                del self._kept_plans[step]
        _drop_older(self._kept_reservations, now - RESERVATION_TTL_S)
        _drop_older(self._vacated, now - VACATED_TTL_S)

    def begin_backfill(self) -> "HeldCapacity":
        """Begins a plan in which the steps hold only what is vacated for them.

        Returns:
          What the steps held before, for `end_backfill`.
        """
        held = HeldCapacity(self._held, self.reservations)
        self._pool.begin_plan()
        self._unplaceable = workerpool.UnplaceableSizes()
        self._held = {}
        self.reservations = {}
        for step, choice in self._vacated.items():
            if step in held.counts:
                self._reserve_each(step, choice.workers)
        return held

    def end_backfill(self, held: "HeldCapacity"):
        """Has the steps hold again what they held before `begin_backfill`."""
        self._pool.begin_plan()
        self._held = {}
        self.reservations = held.reservations
        for step, counts in held.counts.items():
            if step.submission.is_active and not step.is_done:
                for worker, count in counts:
                    self._hold(step, worker, count)

    def _hold_each(self, step: execution.Step, workers: list[fleet.Worker]):
        """Holds the capacity of one task for each occurrence of a worker."""
        for worker, count in collections.Counter(workers).items():
            self._hold(step, worker, count)

    def _reserve_each(self, step: execution.Step, workers: list[fleet.Worker]):
        """Holds the capacity and has other steps avoid the workers."""
        self._hold_each(step, workers)
        for worker in workers:
            self.reservations[worker.id] = step

    @property
    def holds_capacity(self) -> bool:
        """Whether any step holds capacity in the current plan."""
        return any(self._held.values())

    def release(self, step: execution.Step):
        """Releases what a step holds, before it is planned anew."""
        self._reserved.pop(step, None)
        self.waits.release(step)
        for worker, count in self._held.pop(step, ()):
            self.free_capacity.release(worker, step.spec, count)

    def count_held(self, step: execution.Step) -> int:
        """Returns for how many tasks a step holds capacity."""
        return sum(count for _, count in self._held.get(step, ()))

    def forget(self, step: execution.Step):
        """Forgets a step that has nothing to place any more."""
        self.release(step)
        self.waits.forget(step)
        self._rechecked.discard(step)
        self._kept_reservations.pop(step, None)
        self._kept_plans.pop(step, None)
        self._vacated.pop(step, None)

    def _hold(self, step: execution.Step, worker: fleet.Worker, count: int):
        self.free_capacity.reserve(worker, step.spec, count)
        self._held.setdefault(step, []).append((worker, count))

    def settle(self, step: execution.Step, pairs: list[Placement]):
        """Releases the capacity of started tasks, now used by their runs."""
        held = self._held.get(step, [])
        for _, worker in pairs:
            for index, (holder, count) in enumerate(held):
                if holder is worker:
                    held[index] = (holder, count - 1)
                    break
            self.free_capacity.release(worker, step.spec)
        self._held[step] = [(w, count) for w, count in held if count]

    def is_hopeless(self, step: execution.Step) -> bool:
        """Returns whether a step can neither be planned nor reserve now."""
        if self._may_reserve() or step in self._rechecked:
            return False
        count = step.remaining if step.spec.gang else 1
        return self._unplaceable.covers(step.spec, count)

    def list_ever_fitting(
        self,
        step: execution.Step,
        allows: workerpool.Allows | None,
        ids: Iterable[str] | None = None,
    ) -> list[fleet.Worker]:
        """Returns the workers that could run a task if they ran nothing else.

        Args:
          step: the step.
          allows: returns whether a worker may run the step, None if all may.
          ids: ids of the workers to examine, None for all. An advisor approves
            few of them.
        """
        if ids is None:
            workers = self._pool.list_workers()
        else:
            workers = self._pool.find_workers(ids)
        return [
            worker
            for worker in workers
            if placement.can_ever_fit(worker, step.spec)
            and (allows is None or allows(worker))
        ]

    def plan(
        self,
        step: execution.Step,
        waiting: list[execution.Task],
        now: float,
        allows: workerpool.Allows | None = None,
        ids: Iterable[str] | None = None,
        may_wait: bool = True,
    ) -> list[Placement]:
        """Chooses workers of the pool for tasks and holds their capacity.

        Args:
          step: the step.
          waiting: the tasks; the members of a gang all together.
          now: the monotonic clock, in seconds.
          allows: returns whether a worker may run the step, None if all may.
          ids: ids of the only workers that may run the step, None for no limit.
          may_wait: whether tasks may wait for a better place.

        Returns:
          Pairs of task and worker. A gang is planned whole or not at all; for
          other steps the tasks without free capacity, and those in `waits`, are
          left out.
        """
        spec = step.spec
        count = len(waiting) if spec.gang else 1
        if step in self._rechecked:
            self._rechecked.discard(step)
        elif self._unplaceable.covers(spec, count):
            return []
        if ids is not None:
            workers = self.list_ever_fitting(step, allows, ids)
            return self.plan_among(step, waiting, workers, now)
        if spec.gang and not self._pool.may_fit(spec, count):
            self._unplaceable.add(spec, count)
            return []

        reserved = self._list_reserved_for_others(step)
        need = self.outlook.describe_need(step, len(waiting), now)

        def choose(counts, task=None):
            return self._choose_from_pool(
                step, counts, now, allows, task, reserved, need
            )

        if spec.gang:
            workers = []
            if spec.same_rack:
                workers = self.list_ever_fitting(step, allows)
            pairs = self._plan_gang(
                step, waiting, workers, now, choose, need, may_wait
            )
        else:
            pairs = self._plan_tasks(
                step, waiting, choose, need if may_wait else None, now, allows
            )
        if self.waits.count(step):
            # It could have had workers.
            return pairs
        is_any_allowed = allows is None and not any(t.runs for t in waiting)
        if is_any_allowed and len(pairs) < len(waiting):
            self._unplaceable.add(spec, count)
        return pairs

    def plan_among(
        self,
        step: execution.Step,
        waiting: list[execution.Task],
        workers: list[fleet.Worker],
        now: float,
    ) -> list[Placement]:
        """Chooses some of the given workers for tasks, like `plan`.

        Args:
          step: the step.
          waiting: the tasks; the members of a gang all together.
          workers: the usable workers that may run the step.
          now: the monotonic clock, in seconds.
        """
        need = self.outlook.describe_need(step, len(waiting), now)
        if step.spec.gang:
            return self._plan_gang(step, waiting, workers, now, None, need)
        reserved = self._list_reserved_for_others(step)

        def choose(counts, task):
            current_ids = {run.worker.id for run in task.runs}
            return placement.choose_worker(
                [w for w in workers if w.id not in current_ids],
                step.spec,
                self.free_capacity,
                counts,
                task.avoided,
                now,
                reserved,
                need,
            )

        return self._plan_tasks(step, waiting, choose)

    def plan_again(
        self,
        step: execution.Step,
        waiting: list[execution.Task],
        now: float,
        allows: workerpool.Allows | None,
        ids: Iterable[str] | None = None,
    ) -> list[Placement]:
        """Plans a step that waits for tickets, on the same workers if possible.

        Args:
          step: the step.
          waiting: its tasks without a ticket.
          now: the monotonic clock, in seconds.
          allows: returns whether a worker may run the step, None if all may.
          ids: ids of the only workers that may run the step, None for no limit.

        Returns:
          Pairs of task and worker, as of `plan`.
        """
        workers = self._repeat_plan(step, waiting, now)
        if len(workers) == len(waiting):
            return list(zip(waiting, workers, strict=True))
        if workers and not step.spec.gang:
            return list(zip(waiting, workers, strict=False))
        # The members of a gang whose workers still fit stay there.
        others = self.plan(
            step, waiting[len(workers) :], now, allows, ids, False
        )
        if workers and not others:
            self.release(step)
            return []
        former = self._kept_plans.get(step)
        workers += [worker for _, worker in others]
        self._kept_plans[step] = _Choice(
            workers, now, former.keep_until if former else 0.0
        )
        return list(zip(waiting, workers, strict=False))

    def keep_plan(self, step: execution.Step, until: float):
        """Keeps the planned workers of a gang while it waits for tickets.

        If they changed meanwhile, each answer of the advisor would come for
        workers on which the gang isn't planned any more.

        Args:
          step: the step of the gang.
          until: monotonic time in seconds.
        """
        kept = self._kept_plans.get(step)
        if kept is not None:
            kept.keep_until = max(kept.keep_until, until)

    def _repeat_plan(
        self, step: execution.Step, waiting: list[execution.Task], now: float
    ) -> list[fleet.Worker]:
        """Holds the workers of a step's last plan again, if it isn't too old.

        Returns:
          The workers. Those that don't fit any more are left out for a gang
          without limits for its racks and workers; any other step gets none.
        """
        kept = self._kept_plans.get(step)
        if kept is None or not kept.is_kept(now, PLAN_TTL_S):
            return []
        spec = step.spec
        if len(kept.workers) > len(waiting):
            return []
        if spec.gang and len(kept.workers) != len(waiting):
            return []
        fitting = []
        for worker in kept.workers:
            if self._is_usable(worker, now) and placement.fits(
                worker, spec, self.free_capacity
            ):
                self._hold(step, worker, 1)
                fitting.append(worker)
        is_whole = len(fitting) == len(kept.workers)
        is_limited = spec.same_rack or spec.max_per_worker
        if not is_whole and (not spec.gang or is_limited):
            self.release(step)
            return []
        return fitting

    def _plan_gang(
        self, step, waiting, workers, now: float, choose, need, may_wait=False
    ):
        def choose_member(_, counts):
            return choose(counts)

        plan = placement.plan_gang(
            workers,
            step.spec,
            len(waiting),
            self.free_capacity,
            now,
            self._list_reserved_for_others(step),
            None if choose is None else choose_member,
            need,
        )
        if plan is None or not all(self._is_usable(w, now) for w in plan):
            return []
        if may_wait and self._has_gang_wait(step, plan, workers, need, now):
            return []
        self._hold_each(step, plan)
        return list(zip(waiting, plan, strict=True))

    def _plan_tasks(
        self, step, waiting, choose, need=None, now=0.0, allows=None
    ) -> list[Placement]:
        counts = step.count_runs_by_worker()
        pairs: list[Placement] = []
        limit = len(waiting)
        checked: set[str] = set()
        while len(pairs) < limit:
            worker = choose(counts, waiting[len(pairs)])
            if worker is None:
                break
            place = self._find_better_place(step, worker, need)
            if place is not None and place not in checked:
                checked.add(place)
                count = self._count_waiting(
                    step, worker, place, limit - len(pairs), need, now, allows
                )
                self.waits.set(step, place, count, now)
                limit -= count
                continue
            present = counts.get(worker.id, 0)
            # The best worker stays the best one until it is full.
            fitting = placement.count_fitting(
                worker, step.spec, self.free_capacity, present
            )
            fitting = min(fitting, limit - len(pairs))
            group = _take_alike(waiting, len(pairs), fitting)
            self._hold(step, worker, len(group))
            counts[worker.id] = present + len(group)
            pairs += [(task, worker) for task in group]
        return pairs

    def _find_better_place(
        self,
        step: execution.Step,
        worker: fleet.Worker,
        need: speeds.TimeNeed | None,
    ) -> str | None:
        """Returns the place for which a task may rather wait than start now.

        Returns:
          The rack of its data; ANY_FAST if an urgent task would miss its
          objective only because the worker is slow; None if there is no better
          place.
        """
        if need is None or not need.run_s:
            return None
        spec = step.spec
        if spec.data_rack and worker.registration.rack != spec.data_rack:
            return spec.data_rack
        if not need.is_urgent or not need.is_missed(worker.run_time_factor):
            return None
        if speeds.choose_class(worker.run_time_factor) <= 0:
            return None
        return localitywait.ANY_FAST if self._may_be_fast(spec) else None

    def _may_be_fast(self, spec: submissions.StepSpec) -> bool:
        """Returns whether any worker of normal speed may run a task.

        A step that is bound to labels, accelerators or many workers gets few of
        those that become free.
        """
        if spec.label or spec.gpu or spec.max_per_worker:
            return False
        key = (localitywait.ANY_FAST, spec.cpu, spec.memory_mb)
        if key not in self._fast_sizes:
            self._fast_sizes[key] = any(
                speeds.choose_class(worker.run_time_factor) <= 0
                and placement.count_attainable(worker, spec)
                for worker in self._pool.list_workers()
            )
        return self._fast_sizes[key]

    def _count_waiting(
        self, step, worker, place: str, count: int, need, now: float, allows
    ) -> int:
        """Returns how many tasks wait for a place rather than start now.

        Args:
          step: the step.
          worker: the worker that the tasks could get now.
          place: a rack, or localitywait.ANY_FAST.
          count: number of tasks.
          need: the need of the tasks.
          now: the monotonic clock, in seconds.
          allows: returns whether a worker may run the step, None if all may.
        """
        spec = step.spec
        ahead, ahead_cpu = self.waits.measure_demand(place)
        factor = worker.run_time_factor
        if place == localitywait.ANY_FAST:
            slots = self.freed_capacity.list_slots(spec, ahead_cpu, count, now)
            ahead = 0
        else:
            slots = self._list_rack_slots(place, step, now, allows)
            factor *= need.far_x
        return localitywait.count_waiting(
            need,
            factor,
            slots,
            count,
            self.waits.measure_wait(step, now),
            ahead,
        )

    def _list_rack_slots(
        self, rack: str, step, now: float, allows
    ) -> list[localitywait.Slot]:
        """Returns the slots that open for tasks of a step on a rack."""
        spec = step.spec
        key = (rack, spec.cpu, spec.memory_mb, spec.gpu, spec.label)
        is_shared = allows is None and not spec.max_per_worker
        found_at, slots = self._slots.get(key, (-math.inf, []))
        if is_shared and now - found_at < SLOTS_TTL_S:
            return slots
        workers = [
            worker
            for worker in self._pool.list_rack(rack)
            if self._is_usable(worker, now)
            and (allows is None or allows(worker))
        ]
        slots = localitywait.list_slots(
            workers,
            spec,
            self.free_capacity,
            lambda run: self.outlook.predict_remaining_s(run, now),
        )
        if is_shared:
            self._slots[key] = (now, slots)
        return slots

    def _has_gang_wait(self, step, plan, workers, need, now: float) -> bool:
        """Returns whether a gang waits for one rack instead of several.

        It doesn't while capacity is scarce: less urgent work would take the
        slots one by one, as the gang holds none of them.
        """
        spec = step.spec
        racks = {worker.registration.rack for worker in plan}
        if not spec.same_rack or need is None or len(racks) == 1:
            return False
        if self.is_capacity_scarce:
            return False
        best: tuple[str, localitywait.Slot] | None = None
        for rack in sorted({w.registration.rack for w in workers}):
            fitting = sum(
                placement.count_fitting(w, spec, self.free_capacity)
                for w in self._pool.list_rack(rack)
                if self._is_usable(w, now)
            )
            ahead, _ = self.waits.measure_demand(rack)
            missing = len(plan) - fitting + ahead
            slots = self._list_rack_slots(rack, step, now, None)
            if not 0 < missing <= len(slots):
                continue
            slot = slots[missing - 1]
            if best is None or slot.wait_s < best[1].wait_s:
                best = (rack, slot)
        if best is None:
            return False
        rack, slot = best
        factor = need.far_x * max(worker.run_time_factor for worker in plan)
        waited_s = self.waits.measure_wait(step, now)
        if not localitywait.should_wait(need, factor, slot, waited_s):
            return False
        self.waits.set(step, rack, len(plan), now)
        return True

    def recheck_waiting(
        self, worker: fleet.Worker, now: float
    ) -> list[execution.Step]:
        """Returns the steps to be planned as capacity on a worker is free.

        Args:
          worker: the worker on which a run has ended.
          now: the monotonic clock, in seconds.
        """
        if now < self._recheck_at:
            return []
        rack = worker.registration.rack
        steps = self.waits.list_steps(rack, MAX_RECHECKED)
        if speeds.choose_class(worker.run_time_factor) <= 0:
            steps += self.waits.list_steps(localitywait.ANY_FAST, MAX_RECHECKED)
        if steps:
            self._recheck_at = now + localitywait.RECHECK_INTERVAL_S
        self._rechecked.update(steps)
        return steps

    def _choose_from_pool(
        self,
        step: execution.Step,
        counts: Mapping[str, int],
        now: float,
        allows: workerpool.Allows | None,
        task: execution.Task | None,
        reserved: Collection[str],
        need: speeds.TimeNeed | None,
    ) -> fleet.Worker | None:
        """Chooses a worker of the pool that is still usable."""
        avoided: Iterable[str] = () if task is None else task.avoided
        current_ids = set()
        if task is not None:
            current_ids = {run.worker.id for run in task.runs}

        def is_allowed(worker: fleet.Worker) -> bool:
            if worker.id in current_ids:
                return False
            return allows is None or allows(worker)

        while True:
            worker = self._pool.choose_worker(
                step.spec,
                counts,
                avoided,
                now,
                reserved,
                is_allowed,
                need,
            )
            if worker is None or self._is_usable(worker, now):
                return worker
            self._pool.remove(worker)

    def vacate(
        self,
        step: execution.Step,
        count: int,
        now: float,
        allows: workerpool.Allows,
        measure_reclaimable: reservations.MeasureReclaimable,
    ) -> list[fleet.Worker]:
        """Chooses workers on which a gang fits once runs are preempted there.

        Their capacity is held for the gang for VACATED_TTL_S.

        Args:
          step: the step of the gang.
          count: the number of its members.
          now: the monotonic clock, in seconds.
          allows: returns whether a worker may run the step.
          measure_reclaimable: returns what preemption would free on a worker.

        Returns:
          A worker for each member; empty if they wouldn't all fit.
        """
        kept = self._vacated.get(step)
        if kept is not None and (
            now - kept.chosen_at >= VACATED_TTL_S
            or len(kept.workers) != count
            or not all(self._is_usable(w, now) for w in kept.workers)
        ):
            kept = None
        if kept is None:
            workers = self.list_vacatable(
                step, count, allows, measure_reclaimable
            )
            if not workers:
                self._vacated.pop(step, None)
                return []
            kept = _Choice(workers, now)
            self._vacated[step] = kept
        self._reserve_each(step, kept.workers)
        return kept.workers

    def list_vacatable(
        self,
        step: execution.Step,
        count: int,
        allows: workerpool.Allows,
        measure_reclaimable: reservations.MeasureReclaimable,
    ) -> list[fleet.Worker]:
        """Returns the workers that `vacate` would choose; holds nothing."""
        return reservations.choose_workers_to_vacate(
            self.list_ever_fitting(step, allows, step.advice.good),
            step.spec,
            self.free_capacity,
            count,
            measure_reclaimable,
        )

    def reserve(
        self,
        step: execution.Step,
        count: int,
        now: float,
        allows: workerpool.Allows | None,
        yields: bool = False,
    ) -> list[fleet.Worker]:
        """Reserves the workers that lack the least capacity for waiting tasks.

        Less urgent steps don't get the reserved capacity. A gang needs capacity
        for all its members at once; other tasks start one by one, so that one
        reserved worker is enough for them.

        Args:
          step: the step.
          count: number of its tasks that wait.
          now: the monotonic clock, in seconds.
          allows: returns whether a worker may run the step, None if all may.
          yields: whether the step leaves scarce capacity to others, as its
            result will be too late. It reserves workers only if no other does.

        Returns:
          A worker for each task that has a reservation.
        """
        if not self._may_reserve() or (yields and self._reserved):
            return []
        waited_s = now - (step.ready_since or now)
        if not reservations.is_reservation_active(waited_s):
            return []
        reserved = self._find_kept_reservation(step, count, now)
        if reserved is None:
            reserved = reservations.choose_workers_to_reserve(
                self.list_ever_fitting(step, allows),
                step.spec,
                self.free_capacity,
                count if step.spec.gang else 1,
            )
            self._kept_reservations[step] = _Choice(reserved, now)
        self._reserved[step] = sum(
            reservations.compute_dominant_share(worker, step.spec)
            for worker in reserved
        )
        self._reserve_each(step, reserved)
        return reserved

    def _may_reserve(self) -> bool:
        """Returns whether a further step may reserve workers in this plan."""
        limit = MAX_RESERVED_SHARE * len(self._pool)
        return (
            len(self._reserved) < MAX_RESERVING_STEPS
            and sum(self._reserved.values()) <= limit
        )

    def _find_kept_reservation(
        self, step: execution.Step, count: int, now: float
    ) -> list[fleet.Worker] | None:
        """Returns the workers last reserved for a step, None if too old."""
        kept = self._kept_reservations.get(step)
        if kept is None or now - kept.chosen_at >= RESERVATION_TTL_S:
            return None
        is_whole = not step.spec.gang or len(kept.workers) in (0, count)
        if is_whole and all(self._is_usable(w, now) for w in kept.workers):
            return kept.workers
        return None

    def _list_reserved_for_others(self, step: execution.Step) -> set[str]:
        """Returns the ids of the workers reserved for other steps."""
        return {
            worker_id
            for worker_id, other in self._former_reservations.items()
            if other is not step
        }


def _drop_older(choices: dict[execution.Step, _Choice], limit: float):
    for step, choice in list(choices.items()):
        if choice.chosen_at <= limit:
            del choices[step]


def _take_alike(
    waiting: list[execution.Task], position: int, limit: int
) -> list[execution.Task]:
    """Returns the next tasks that may go to the same worker.

    Args:
      waiting: the tasks.
      position: index of the first task, which is always taken.
      limit: most tasks to take.
    """
    group = [waiting[position]]
    if _needs_own_choice(group[0]):
        return group
    for task in waiting[position + 1 : position + limit]:
        if _needs_own_choice(task):
            break
        group.append(task)
    return group


def _needs_own_choice(task: execution.Task) -> bool:
    """Returns whether a task avoids workers that suit others of its step."""
    return bool(task.avoided or task.runs)
