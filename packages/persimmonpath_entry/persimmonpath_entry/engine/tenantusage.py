"""What the tenants of a shard use, and what they may still start.

A run counts from its creation, before its start is sent, until its end is
known. What may run without being known as a run counts as well: runs that a
worker lists and whose task isn't known, and what a former owner may have left
on workers that haven't answered this one.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import sys

from persimmonpath import resources
from persimmonpath_entry.decisions import headroom
from persimmonpath_entry.decisions import quotashares
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Stands for all tenants in the usage by tenant.
EVERY_TENANT = None
# Seconds after which a lack of room that no plan has seen again is over. A plan
# of an overloaded service doesn't get to all steps.
LACK_TTL_S = 1.0
# Sizes without room that are remembered for each tenant in a plan.
MAX_BLOCKED_SIZES = 8
_Amounts = tuple[int, int, int]


def measure_size(
    spec: submissions.StepSpec, count: int = 1
) -> resources.Resources:
    """Returns what a number of tasks of a step use, fillers' CPU included."""
    return resources.Resources(
        spec.cpu * count, spec.memory_mb * count, spec.gpu * count
    )


class TenantUsage:
    """Usage of the tenants in one shard, and what their limits allow.

    Attributes:
      limits: the limits by tenant; tenants without a limit are left out. One
        that is no longer configured keeps its last known limit.
      on_limits_changed: called without arguments after a change of the limits,
        or None.
      allowances: what each tenant may use in this shard, as of the newest
        shares. A tenant with a limit that is missing here may use nothing.
    """

    def __init__(self, shard):
        """Creates the usage of a shard without runs.

        Args:
          shard: the shard.
        """
        self._shard = shard
        self.limits: dict[str, resources.Resources] = {}
        self.allowances: dict[str, resources.Resources] = {}
        self.on_limits_changed = None
        self._configuration: configuration.Configuration | None = None
        self._used: dict[str, resources.Resources] = {}
        # What may run unknown to this owner; EVERY_TENANT adds to each of them.
        self._unknown: dict[str | None, resources.Resources] = {}
        # What the steps hold in the current plan without a run, by step, and
        # the sums by tenant.
        self._planned: dict[execution.Step, resources.Resources] = {}
        self._planned_sums: dict[str, resources.Resources] = {}
        # What found no room in the current plan, and in former ones with the
        # time of the plan.
        self._lacking: dict[str, resources.Resources] = {}
        self._last_lacking: dict[str, tuple[resources.Resources, float]] = {}
        # Priorities and sizes of tasks and gangs that found no room in the
        # current plan, by tenant.
        self._blocked: dict[str, list[tuple[int, _Amounts]]] = {}
        # Sizes above which tasks and gangs are large, by tenant.
        self._large_from: dict[str, _Amounts] = {}
        # The large task or gang of each tenant that has found no room, and
        # since when.
        self._large: dict[str, tuple[execution.Step, float]] = {}
        self._urgent = headroom.UrgentDemand()

    def refresh(self):
        """Applies a new configuration and counts anew what isn't known."""
        current = self._shard.node.configuration
        if current is not self._configuration and current is not None:
            self._configuration = current
            self._apply_limits(current)
            self._find_large_sizes()
            if self.on_limits_changed is not None:
                self.on_limits_changed()
        if self.limits:
            self._count_unknown()
        if self._large_from.keys() != self.limits.keys():
            self._find_large_sizes()

    def _apply_limits(self, current: configuration.Configuration):
        for name, tenant in current.tenants.items():
            limit = quotashares.convert_limit(tenant.limit)
            if limit is None:
                self.limits.pop(name, None)
            else:
                self.limits[name] = limit

    def _find_large_sizes(self):
        self._large_from = {
            tenant: quotashares.find_part(limit, quotashares.KEPT_SHARE)
            for tenant, limit in self.limits.items()
        }

    def add_run(self, run: execution.Run):
        """Counts a run that is about to be sent, or that a worker lists."""
        tenant = run.task.step.submission.record.tenant
        if tenant:
            used = self._used.get(tenant, resources.ZERO)
            self._used[tenant] = used + measure_size(run.spec)

    def remove_run(self, run: execution.Run):
        """Uncounts a run whose end is known."""
        tenant = run.task.step.submission.record.tenant
        if not tenant:
            return
        left = self._used[tenant] - measure_size(run.spec)
        if left == resources.ZERO:
            del self._used[tenant]
        else:
            self._used[tenant] = left
        if tenant in self._lacking or tenant in self._last_lacking:
            self._shard.request_schedule()

    def list_tenants(self) -> list[str]:
        """Returns the tenants that use something or have a limit."""
        return sorted(self._used.keys() | self.limits.keys())

    def find_used(self, tenant: str) -> resources.Resources:
        """Returns what the known runs of a tenant use."""
        return self._used.get(tenant, resources.ZERO)

    def find_counted(self, tenant: str) -> resources.Resources:
        """Returns what counts as used, with what may run unknown."""
        counted = self._used.get(tenant, resources.ZERO)
        if self._unknown:
            counted += self._unknown.get(tenant, resources.ZERO)
            counted += self._unknown.get(EVERY_TENANT, resources.ZERO)
        return counted

    def find_kept(self, tenant: str) -> resources.Resources:
        """Returns what counts as used, with what the plan holds for starts."""
        planned = self._planned_sums.get(tenant, resources.ZERO)
        return self.find_counted(tenant) + planned

    def find_want(self, tenant: str, now: float) -> resources.Resources:
        """Returns what a tenant could use: also what is planned or lacks room.

        While a large task or gang comes first, nothing else counts.

        Args:
          tenant: the name of the tenant.
          now: the monotonic clock, in seconds.
        """
        planned = self._planned_sums.get(tenant, resources.ZERO)
        used = self.find_used(tenant) + planned
        if self.comes_first(tenant, now):
            return used + measure_unit(self._large[tenant][0])
        row = self._last_lacking.get(tenant)
        if row is None:
            return used
        # Without it, work that leaves headroom would not start with a share
        # that is just large enough for it.
        demand = self._urgent.find(tenant, sys.maxsize, now)
        return used + row[0] + demand

    def is_lacking(self, tenant: str) -> bool:
        """Returns whether work of a tenant found no room in the last plan."""
        return tenant in self._last_lacking

    def list_lacking(self) -> list[str]:
        """Returns the tenants of which work found no room in the last plan."""
        return list(self._last_lacking)

    def find_large(self, tenant: str, now: float) -> execution.Step | None:
        """Returns the step for which room is kept now, None without one.

        Args:
          tenant: the name of the tenant.
          now: the monotonic clock, in seconds.
        """
        row = self._large.get(tenant)
        if row is None or not quotashares.is_keeping(now - row[1]):
            return None
        return row[0]

    def comes_first(self, tenant: str, now: float) -> bool:
        """Returns whether a large step comes before other services' demand.

        Args:
          tenant: the name of the tenant.
          now: the monotonic clock, in seconds.
        """
        large = self.find_large(tenant, now)
        return large is not None and quotashares.exceeds(
            quotashares.split(measure_unit(large)),
            quotashares.find_part(self.limits[tenant], quotashares.FIRST_SHARE),
        )

    # Planning.

    def begin_plan(self):
        """Forgets what the steps held, before all of them are planned anew."""
        self.refresh()
        self._planned.clear()
        self._planned_sums.clear()
        self._lacking = {}
        self._blocked = {}

    def finish_plan(self, now: float, is_complete: bool):
        """Records what found no room in a plan.

        Args:
          now: the monotonic clock, in seconds.
          is_complete: whether the plan has got to all steps.
        """
        for tenant, amount in self._lacking.items():
            self._last_lacking[tenant] = (amount, now)
        for tenant, (_, at) in list(self._last_lacking.items()):
            if at < now - (0.0 if is_complete else LACK_TTL_S):
                del self._last_lacking[tenant]
        for tenant, (step, _) in list(self._large.items()):
            is_over = not step.submission.is_active or not step.list_waiting()
            if is_over or tenant not in self._last_lacking:
                del self._large[tenant]

    def is_blocked(self, step: execution.Step) -> bool:
        """Returns whether a step surely finds no room in the current plan.

        A tenant at its limit may have thousands of steps that wait; this is
        much cheaper than `limit_waiting`.
        """
        sizes = self._blocked.get(step.submission.record.tenant)
        if not sizes:
            return False
        spec = step.spec
        count = step.remaining if spec.gang else 1
        unit = (spec.cpu * count, spec.memory_mb * count, spec.gpu * count)
        # Room that less urgent work leaves free is there for urgent work.
        priority = self._shard.find_queue(step.submission).priority
        if all(
            priority < blocked or quotashares.exceeds(size, unit)
            for blocked, size in sizes
        ):
            return False
        tenant = step.submission.record.tenant
        row = self._large.get(tenant)
        if row is None:
            return not quotashares.exceeds(unit, self._large_from[tenant])
        return row[0] is not step

    def limit_waiting(
        self,
        step: execution.Step,
        waiting: list[execution.Task],
        now: float,
        has_slack: Callable[[], bool] = lambda: False,
    ) -> list[execution.Task]:
        """Returns the waiting tasks that the limit of the tenant lets start.

        Args:
          step: the step.
          waiting: its tasks that wait; all members of a gang.
          now: the monotonic clock, in seconds.
          has_slack: returns whether the step can wait and still be in time, so
            that it leaves room for the more urgent work of its tenant.
        """
        tenant = step.submission.record.tenant
        if tenant not in self.limits:
            return waiting
        self.release(step)
        count = len(waiting)
        startable = self._count_for_step(step, count, now, has_slack)
        if step.spec.gang and startable < count:
            startable = 0
        row = self._large.get(tenant)
        if startable and row is not None and row[0] is step:
            del self._large[tenant]
        if startable < count:
            self._record_lacking(step, count - startable, now)
        return waiting[:startable]

    def count_startable(
        self, tenant: str, spec: submissions.StepSpec, count: int
    ) -> int:
        """Returns how many of some tasks of a step a tenant may start now.

        Args:
          tenant: the name of the tenant, empty without one.
          spec: the step.
          count: number of tasks that wait.
        """
        if tenant not in self.limits:
            return count
        return self._count_fitting(tenant, spec, count, resources.ZERO)

    def _count_for_step(
        self, step, count: int, now: float, has_slack: Callable[[], bool]
    ) -> int:
        tenant = step.submission.record.tenant
        large = self.find_large(tenant, now)
        kept = resources.ZERO
        if large is not None and large is not step:
            kept = measure_unit(large)
        elif large is None:
            kept = self._find_headroom(step, count, now, has_slack)
        return self._count_fitting(tenant, step.spec, count, kept)

    def _find_headroom(
        self, step, count: int, now: float, has_slack: Callable[[], bool]
    ) -> resources.Resources:
        """Returns what a step leaves to the urgent work of its tenant."""
        if step.spec.long_running:
            return resources.ZERO
        tenant = step.submission.record.tenant
        priority = self._shard.find_queue(step.submission).priority
        size = measure_size(step.spec, count)
        self._urgent.record(tenant, priority, size, now)
        demand = self._urgent.find(tenant, priority, now)
        if demand == resources.ZERO or not has_slack():
            return resources.ZERO
        allowed = self.allowances.get(tenant, resources.ZERO)
        return headroom.cap_headroom(demand, allowed)

    def _count_fitting(
        self, tenant: str, spec, count: int, kept: resources.Resources
    ) -> int:
        allowed = self.allowances.get(tenant, resources.ZERO)
        room = allowed - self.find_counted(tenant) - kept
        planned = self._planned_sums.get(tenant)
        if planned is not None:
            room -= planned
        size = (spec.cpu, spec.memory_mb, spec.gpu)
        for left, need in zip(quotashares.split(room), size, strict=True):
            if need:
                count = min(count, max(0, left) // need)
        return count

    def _record_lacking(self, step: execution.Step, count: int, now: float):
        tenant = step.submission.record.tenant
        limit = self.limits[tenant]
        unit = measure_unit(step)
        lacking = self._lacking.get(tenant, resources.ZERO)
        lacking += measure_size(step.spec, count)
        self._lacking[tenant] = lacking
        if not (self.find_counted(tenant) + lacking).fits_in(limit):
            sizes = self._blocked.setdefault(tenant, [])
            if len(sizes) < MAX_BLOCKED_SIZES:
                priority = self._shard.find_queue(step.submission).priority
                sizes.append((priority, quotashares.split(unit)))
        is_large = quotashares.exceeds(
            quotashares.split(unit), self._large_from[tenant]
        )
        if is_large and tenant not in self._large:
            self._large[tenant] = (step, now)

    def hold(self, step: execution.Step, count: int):
        """Counts tasks that are planned and have no run yet.

        Args:
          step: the step.
          count: number of tasks.
        """
        tenant = step.submission.record.tenant
        if not count or tenant not in self.limits:
            return
        size = measure_size(step.spec, count)
        self._planned[step] = size
        self._planned_sums[tenant] = (
            self._planned_sums.get(tenant, resources.ZERO) + size
        )

    def release(self, step: execution.Step):
        """Uncounts what a step holds in the plan."""
        size = self._planned.pop(step, None)
        if size is not None:
            self._planned_sums[step.submission.record.tenant] -= size

    # What may run without being known as a run.

    def _count_unknown(self):
        former_runs = self._shard.former_runs
        self._unknown = {}
        if not former_runs.unsettled and not former_runs.unidentified_tasks:
            return
        sums = collections.defaultdict(lambda: resources.ZERO)
        for worker_id in former_runs.unsettled:
            for tenant, amount in self._list_unsettled(worker_id):
                sums[tenant] += amount
        for worker_id in former_runs.unidentified_tasks:
            worker = self._shard.workers.get(worker_id)
            if worker is not None and worker_id not in former_runs.unsettled:
                names = {name for name, _ in worker.unknown_runs}
                for tenant, amount in self._list_tasks(
                    names, _measure_free(worker)
                ):
                    sums[tenant] += amount
        self._unknown = dict(sums)

    def _list_unsettled(
        self, worker_id: str
    ) -> Iterator[tuple[str | None, resources.Resources]]:
        """Yields what may run on a worker that hasn't answered this owner."""
        workers = self._shard.workers
        former_runs = self._shard.former_runs
        if worker_id == fleet.ANY_WORKER:
            for worker in workers.values():
                is_unsettled = worker.id in former_runs.unsettled
                if not worker.is_fenced and not is_unsettled:
                    yield EVERY_TENANT, _measure_capacity(worker)
        worker = workers.get(worker_id)
        if worker is not None:
            capacity = _measure_capacity(worker)
        else:
            capacity = self._find_largest_capacity()
        names = former_runs.unsettled_tasks.get(worker_id)
        if names is None:
            yield EVERY_TENANT, capacity
        else:
            yield from self._list_tasks(names, capacity)

    def _find_largest_capacity(self) -> resources.Resources:
        """Returns the largest capacity of a worker, in each resource."""
        sizes = [
            quotashares.split(_measure_capacity(worker))
            for worker in self._shard.workers.values()
        ]
        return resources.Resources(*map(max, zip(*sizes, strict=True)))

    def _list_tasks(
        self, names: set[str], capacity: resources.Resources
    ) -> Iterator[tuple[str | None, resources.Resources]]:
        """Yields the sizes of tasks that may run on a worker.

        Args:
          names: the names of the tasks.
          capacity: what those may use whose size isn't known, all together.
        """
        tenants_without_size = set()
        for name in names:
            submission_id, _, key = name.partition(".")
            submission = self._shard.submissions.get(submission_id)
            if submission is None:
                tenants_without_size.add(EVERY_TENANT)
                continue
            spec = _find_spec(submission, key)
            if spec is None:
                tenants_without_size.add(submission.record.tenant)
            else:
                yield submission.record.tenant, measure_size(spec)
        if EVERY_TENANT in tenants_without_size:
            tenants_without_size = {EVERY_TENANT}
        for tenant in tenants_without_size:
            yield tenant, capacity


def measure_unit(step: execution.Step) -> resources.Resources:
    """Returns what a step needs at least to start: a task or a whole gang."""
    return measure_size(step.spec, step.remaining if step.spec.gang else 1)


def _find_spec(
    submission: execution.Submission, key: str
) -> submissions.StepSpec | None:
    """Returns the step of a task, None if the submission has ended."""
    number = key.partition(".")[2].partition(".")[0]
    steps = submission.record.steps
    if not number.isdecimal() or len(number) > 5 or int(number) >= len(steps):
        return None
    return steps[int(number)]


def _measure_capacity(worker: fleet.Worker) -> resources.Resources:
    registration = worker.registration
    return resources.Resources(
        registration.cpu, registration.memory_mb, registration.gpu
    )


def _measure_free(worker: fleet.Worker) -> resources.Resources:
    return resources.Resources(
        max(0, worker.free_cpu),
        max(0, worker.free_memory_mb),
        max(0, worker.free_gpu),
    )
