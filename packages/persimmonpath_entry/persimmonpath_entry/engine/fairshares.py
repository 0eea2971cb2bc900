"""Shares of tenants in a shard: their usage, agreed rates and waits."""

from collections.abc import Iterable
import time

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.decisions import fairness
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import tenantwaits
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions
from persimmonpath_entry.state import tenants as tenant_types

# Most tenants with labels of their own in the metrics.
MAX_LABELS = 100
OTHER_LABEL = "other"
# Seconds between two log lines on the shares, and most tenants in one.
LOG_INTERVAL_S = 10.0
MAX_LOGGED_TENANTS = 8
# Most tasks of a step that is placed as a whole before other tenants have their
# turn. If the tenants took turns by task, all steps would end as late as the
# last one.
MAX_TURN_TASKS = 60
# Seconds between two sums of the capacity of all workers.
CAPACITY_INTERVAL_S = 0.5
# Bounds of a tenant's use relative to its fair share. A tenant that has nothing
# yet still values a faster place, and one that has much doesn't wait for long.
MIN_USE = 0.5
MAX_USE = 2.0


class TenantLabels:
    """Labels of tenants in metrics, at most MAX_LABELS and one for the rest."""

    def __init__(self):
        """Starts without any label in use."""
        self._labels: dict[str, str] = {}

    def find(self, tenant: str) -> str:
        """Returns the label of a tenant."""
        label = self._labels.get(tenant)
        if label is None:
            if len(self._labels) >= MAX_LABELS:
                return OTHER_LABEL
            label = tenant[: tenantwaits.MAX_NAME_LENGTH]
            for character in '\\"{}\n':
                label = label.replace(character, "_")
            self._labels[tenant] = label
        return label


class FairShares:
    """Knows what the tenants of a shard have, sent and wait for.

    Without tenants in the configuration it does nothing.

    Attributes:
      waits: the expected waits by tenant; None without tenants and while
        nothing waits.
    """

    def __init__(self, shard):
        self._shard = shard
        self._node = shard.node
        self._rates = fairness.AgreedRates(self._find_rate)
        self._shares = fairness.DominantShares()
        # Runs are counted from the first plan with tenants on.
        self._counts_runs = False
        self._counted_runs: set[execution.Run] = set()
        # Shares relative to the weights, until they change.
        self._measured: dict[str, float] = {}
        self._capacity_at = float("-inf")
        self._logged_at = float("-inf")
        self._labels = TenantLabels()
        # The sum of the weights of all tenants, of this configuration.
        self._total_weight = 0.0
        self._weighed_configuration: configuration.Configuration | None = None
        self.waits: tenantwaits.TenantWaits | None = None

    @property
    def is_enabled(self) -> bool:
        """Whether the configuration has tenants."""
        current = self._node.configuration
        return current is not None and bool(current.tenants)

    def find_weight(self, name: str) -> float:
        """Returns the weight of a tenant, the default of an unknown one."""
        tenant = self._find_tenant(name)
        if tenant is None:
            return tenant_types.DEFAULT_WEIGHT
        return fairness.bound_weight(tenant.weight)

    def _find_rate(self, name: str) -> float | None:
        return (
            None if self._find_tenant(name) is None else self.find_weight(name)
        )

    def _find_tenant(self, name: str) -> tenant_types.Tenant | None:
        current = self._node.configuration
        return None if current is None else current.tenants.get(name)

    # Agreed rates.

    def record_submission(
        self, submission_id: str, record: submissions.SubmissionRecord
    ):
        """Counts an accepted submission of any service for its tenant.

        All owners read the rows of all services, so that each of them judges
        the rate of a tenant by all that it sends.

        Args:
          submission_id: the id of the submission.
          record: the submission.
        """
        is_live = self._shard.is_loaded
        if not self.is_enabled or not record.tenant or not record.accepted_ms:
            return
        if record.cancelled and is_live:
            # Its row was counted when it was accepted.
            return
        accepted_s = fairness.bound_acceptance(
            record.accepted_ms / 1000, time.time(), is_live
        )
        if accepted_s is not None:
            self._rates.record(
                submission_id,
                record.tenant,
                accepted_s,
                record.service == self._shard.service,
            )

    def is_excess(self, step: execution.Step) -> bool:
        """Returns whether a step is beyond the agreed rate of its tenant.

        Long-running tasks and later occurrences of a schedule aren't: the rate
        of a few seconds would decide on their days.
        """
        if not self.is_enabled or step.occurrence or step.spec.long_running:
            return False
        return self._rates.is_excess(step.submission.id)

    def admit(self, submission_id: str, tenant: str) -> float:
        """Returns after how many seconds a submission is inside the rate.

        Args:
          submission_id: the id of a submission that isn't accepted yet.
          tenant: the name of its tenant.
        """
        if submission_id in self._shard.submissions:
            return 0.0
        return self._rates.admit(submission_id, tenant, time.time())

    # Shares.

    def add_run(self, run: execution.Run):
        """Counts a run for its tenant, once runs are counted at all."""
        if self._counts_runs and run not in self._counted_runs:
            self._counted_runs.add(run)
            self._count_run(run, 1)

    def remove_run(self, run: execution.Run):
        """Counts a run no longer, if it was counted."""
        if run in self._counted_runs:
            self._counted_runs.remove(run)
            self._count_run(run, -1)

    def _count_run(self, run: execution.Run, change: int):
        tenant = run.task.step.submission.record.tenant
        self._shares.add(tenant, run.spec, change)
        self._measured.pop(tenant, None)

    def begin_plan(self, workers: Iterable[fleet.Worker], now: float):
        """Begins a plan of all waiting steps.

        Args:
          workers: the workers of the service.
          now: the monotonic clock, in seconds.
        """
        self._shares.clear_plans()
        self._measured.clear()
        if now - self._capacity_at < CAPACITY_INTERVAL_S:
            return
        self._capacity_at = now
        workers = list(workers)
        if not self._counts_runs:
            self._counts_runs = True
            for worker in workers:
                for run in worker.runs.values():
                    self.add_run(run)
        rows = [w.registration for w in workers if w.is_listed]
        self._shares.set_capacity(
            sum(row.cpu for row in rows),
            sum(row.memory_mb for row in rows),
            sum(row.gpu for row in rows),
        )

    def record_planned(self, step: execution.Step, count: int):
        """Records for how many tasks a step holds capacity in the plan."""
        tenant = step.submission.record.tenant
        if self._shares.plan(step, tenant, step.spec, count):
            self._measured.pop(tenant, None)

    def measure(self, tenant: str) -> float:
        """Returns the dominant share of a tenant relative to its weight."""
        measured = self._measured.get(tenant)
        if measured is None:
            measured = self._shares.measure(tenant) / self.find_weight(tenant)
            self._measured[tenant] = measured
        return measured

    def measure_use(self, tenant: str) -> float:
        """Returns what a tenant has, divided by its fair share.

        The fair share is its part of the weights of all tenants.

        Returns:
          A number from MIN_USE to MAX_USE; 1 without tenants.
        """
        if not self.is_enabled:
            return 1.0
        use = self.measure(tenant) * self._sum_weights()
        return min(MAX_USE, max(MIN_USE, use))

    def _sum_weights(self) -> float:
        current = self._node.configuration
        if current is not self._weighed_configuration:
            self._weighed_configuration = current
            self._total_weight = sum(map(self.find_weight, current.tenants))
        return self._total_weight

    def measure_task(self, spec: submissions.StepSpec) -> float:
        """Returns the dominant share of a task."""
        return self._shares.measure_task(spec)

    def describe_holding(self, tenant: str) -> fairness.Holding:
        """Returns what a tenant has."""
        return fairness.Holding(
            self._shares.measure(tenant), self.find_weight(tenant)
        )

    def order(self, steps_by_tenant) -> fairness.TenantMerge:
        """Returns the ranked steps of all tenants in one order."""
        return fairness.TenantMerge(steps_by_tenant, self.measure, _is_begun)

    def order_changed(
        self, ranked: Iterable[tuple[ordering.Rank, execution.Step]]
    ) -> Iterable[execution.Step]:
        """Returns a few steps in one order, without those beyond the rates.

        Between two passes, work beyond the rates would take capacity that has
        become free for the steps that wait.

        Args:
          ranked: the steps with their ranks.
        """
        steps_by_tenant: dict[str, list[fairness.QueuedStep]] = {}
        for number, (rank, step) in enumerate(sorted(ranked, key=_get_rank)):
            if not rank.is_excess:
                tenant = step.submission.record.tenant
                queued = fairness.QueuedStep(
                    rank,
                    number,
                    step,
                    tenant,
                    rank[: fairness.RANK_CLASS_FIELDS],
                )
                steps_by_tenant.setdefault(tenant, []).append(queued)
        return self.order(steps_by_tenant)

    # Waits.

    def measure_waits(
        self,
        workers: list[fleet.Worker],
        waiting: list[admission.WaitingWork],
        now: float,
    ):
        """Sets the expected waits by tenant, and reports them.

        Args:
          workers: the workers in service.
          waiting: the work that waits and can still be of use.
          now: the monotonic clock, in seconds.
        """
        if not self.is_enabled:
            self.waits = None
            return
        self._rates.keep_excess(self._is_active)
        exceeding = self._rates.list_exceeding(time.time())
        if waiting or exceeding:
            self.waits = tenantwaits.estimate(
                workers, waiting, self.find_weight, exceeding
            )
        else:
            self.waits = None
        self._report(now)

    def _is_active(self, submission_id: str) -> bool:
        submission = self._shard.submissions.get(submission_id)
        return submission is not None and submission.is_active

    def _report(self, now: float):
        metrics = self._node.metrics
        service = self._shard.service
        waits = self.waits or tenantwaits.TenantWaits()
        shares: dict[str, float] = {}
        longest: dict[str, float] = {}
        for tenant in self._shares.list_tenants():
            label = self._labels.find(tenant)
            share = self._shares.measure(tenant)
            shares[label] = shares.get(label, 0.0) + share
            own = waits.tenants.get(tenant, {})
            wait_s = max(own.values(), default=0.0)
            longest[label] = max(longest.get(label, 0.0), wait_s)
        for label, share in shares.items():
            labels = f'{{service="{service}",tenant="{label}"}}'
            metrics.set(f"tenant_dominant_share{labels}", round(share, 4))
            metrics.set(f"tenant_wait{labels}", longest[label])
        is_short = bool(waits.levels or waits.excess)
        if not is_short or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        largest = sorted(shares.items(), key=lambda row: -row[1])
        self._node.log.write(
            "capacity_short",
            service=service,
            wait_s=max(waits.levels.values(), default=0.0),
            excess_wait_s=max(waits.excess.values(), default=0.0),
            shares=",".join(
                f"{label}:{share:.3f}"
                for label, share in largest[:MAX_LOGGED_TENANTS]
            ),
            exceeding=",".join(list(waits.exceeding)[:MAX_LOGGED_TENANTS]),
        )


def _is_begun(step: execution.Step) -> bool:
    """Returns whether a part of the tasks of a small step has started.

    Tasks start in their order, and one that is started again is most often
    between others, so that the first and the last one tell.
    """
    if step.spec.gang or step.spec.count > MAX_TURN_TASKS:
        return False
    tasks = step.tasks
    return not (tasks[0].is_waiting and tasks[-1].is_waiting)


def _get_rank(row: tuple[ordering.Rank, execution.Step]) -> ordering.Rank:
    return row[0]
