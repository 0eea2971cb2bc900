"""Places the waiting tasks of a shard on its workers."""

import asyncio
import collections
from collections.abc import Iterable

from persimmonpath_entry.decisions import backfilling
from persimmonpath_entry.decisions import fairness
from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import passpacing
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import speeds
from persimmonpath_entry.decisions import stepplanner
from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import gangpreparation
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import preemptor
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import stepranking
from persimmonpath_entry.engine import ticketrequests
from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock

# Pause after each round of placements, in seconds; the next round then handles
# all events of it.
BATCH_DELAY_S = 0.004
# Starts after which a pass ends, and the longest time that it examines steps,
# in seconds. Answers of workers are read before the next one.
STARTS_PER_PASS = 60
MAX_PASS_S = 0.03
# Shortest time in seconds between two collections of the usable workers, which
# examine all of them. Each chosen worker is checked again before a task is
# started there.
POOL_REFRESH_S = 0.05
# Seconds for which a step that can't be handled because of an unexpected error
# is left out.
BROKEN_STEP_PAUSE_S = 5.0

# Waiting steps, taken from the left in the order in which they are placed.
StepOrder = collections.deque[execution.Step] | fairness.TenantMerge


class TaskScheduler:
    """Places the waiting tasks of a shard.

    A pass plans all waiting steps anew, the most urgent first. What a pass
    leaves out when its time is over has its turn in every second one: the most
    urgent steps get freed capacity soon, and the others are examined too.
    Between two passes only the steps are planned that have become ready or got
    tickets.

    Attributes:
      ranking: ranks the steps.
    """

    def __init__(
        self,
        shard: shards.Shard,
        commands: workercommands.WorkerCommands,
        poller: listings.ListingPoller,
        advisor: advicebalancer.AdviceBalancer,
    ):
        self._shard = shard
        self._node = shard.node
        self._usage = shard.tenant_usage
        self._commands = commands
        self._poller = poller
        self._ticket_requester = ticketrequests.TicketRequester(shard, advisor)
        self._planner = stepplanner.StepPlanner(shard.pool, self._is_usable)
        self.ranking = stepranking.StepRanking(shard, self._planner)
        self._planner.outlook = self.ranking
        shard.on_run_removed = self._handle_removed_run
        self._preemptor = preemptor.Preemptor(shard)
        self._gangs = gangpreparation.GangPreparer(
            self._planner,
            self._ticket_requester,
            self._preemptor,
            self.ranking,
        )
        self._started = 0
        # Steps for which a pass had no time, and whether they are next.
        self._left_out: StepOrder = collections.deque()
        self._are_left_out_next = False
        self._pacer = passpacing.PassPacer()
        self._backfilled_at = -backfilling.MIN_INTERVAL_S
        self._unresponsive_zones: set[str] = set()
        self._pool_refreshed_at = -POOL_REFRESH_S
        # The configuration by which the ready steps are ranked.
        self._ranked_configuration: configuration.Configuration | None = None
        # When a step that caused an error may be tried again.
        self._broken_until: dict[execution.Step, float] = {}

    async def run(self):
        """Places tasks until the shard is closed."""
        shard = self._shard
        while shard.is_open:
            wait_s = self._pacer.choose_wait(
                shard.is_pass_requested, clock.read_clock()
            )
            try:
                async with asyncio.timeout(wait_s):
                    await shard.schedule_requested.wait()
            except TimeoutError:
                pass
            shard.schedule_requested.clear()
            self._place(clock.read_clock())
            await asyncio.sleep(BATCH_DELAY_S)

    def _handle_removed_run(self, run: execution.Run):
        """Plans the steps anew that wait for capacity where a run ended."""
        worker = run.worker
        now = clock.read_clock()
        if speeds.choose_class(worker.run_time_factor) <= 0:
            self._planner.freed_capacity.record(run.spec.cpu, now)
        for step in self._planner.recheck_waiting(worker, now):
            self._shard.request_placement(step)

    def _place(self, now: float):
        shard = self._shard
        has_work = shard.ready_steps or shard.next_steps
        if not shard.may_start(now) or not has_work:
            return
        self._usage.refresh()
        if not self._pacer.is_due(shard.is_pass_requested, now):
            self._place_changed(now)
            return
        shard.is_pass_requested = False
        self._run_pass(now)
        ended_at = clock.read_clock()
        self._pacer.record_pass(now, ended_at)
        self._node.metrics.observe(
            f'pass_duration{{service="{shard.service}"}}',
            (ended_at - now) * 1000,
        )
        self._node.metrics.set(
            f'waits_for_place{{service="{shard.service}"}}',
            self._planner.waits.count_all(),
        )

    def _refresh_pool(self, now: float):
        """Collects the workers that may get tasks now."""
        if now - self._pool_refreshed_at < POOL_REFRESH_S:
            return
        self._pool_refreshed_at = now
        workers = self._shard.workers.values()
        self._unresponsive_zones = health.find_unresponsive_zones(workers)
        self._shard.pool.replace(
            worker for worker in workers if self._is_usable(worker, now)
        )

    def _is_usable(self, worker: fleet.Worker, now: float) -> bool:
        return (
            worker.is_fenced
            and worker.unanswered_since is None
            and worker.registration.zone not in self._unresponsive_zones
            and worker.is_recorded
            and worker.id not in self._shard.frozen_leases
            and worker.is_listed
            and worker.is_described
            and not worker.registration.is_draining
            and worker.unresponsive_since is None
            and worker.excluded_until <= now
            and worker.evacuating_until <= now
            and not worker.unknown_runs
            and worker.clock is not None
        )

    def _run_pass(self, now: float):
        """Plans waiting steps and starts what fits, as far as time allows."""
        self._refresh_pool(now)
        if self._left_out and self._are_left_out_next:
            self._are_left_out_next = False
            is_complete = self._handle_until_over(self._left_out, now)
        else:
            is_complete = self._plan_anew(now)
        self._usage.finish_plan(now, is_complete)
        if not is_complete:
            self._shard.request_schedule()
            return
        self._backfill(self._list_ranked(now), now)
        free_capacity = self._planner.free_capacity
        self._ticket_requester.prefetch_queued(free_capacity, now)
        self._ticket_requester.prefetch_for_next_steps(free_capacity, now)

    def _plan_anew(self, now: float) -> bool:
        """Plans the most urgent steps first; returns whether it got to all."""
        self._shard.changed_steps.clear()
        self._planner.begin_plan(now)
        self._usage.begin_plan()
        shares = self._shard.fair_shares
        if shares.is_enabled:
            shares.begin_plan(self._shard.workers.values(), now)
        self._ticket_requester.begin_pass()
        for step, until in list(self._broken_until.items()):
            if until <= now:
                del self._broken_until[step]
        steps = self._list_ranked(now)
        if self._handle_until_over(steps, now):
            self._left_out.clear()
            return True
        self._are_left_out_next = True
        if not self._left_out:
            self._left_out = steps
        return False

    def _handle_until_over(self, steps: StepOrder, now: float) -> bool:
        """Places steps in order and removes them, until the pass is over.

        Returns:
          Whether all of them were handled.
        """
        self._started = 0
        shares = self._shard.fair_shares
        has_tenants = shares.is_enabled
        while steps:
            step = steps.popleft()
            if step in self._shard.ready_steps:
                self._planner.release(step)
                self._handle_step_safely(step, now)
                if has_tenants:
                    held = self._planner.count_held(step)
                    shares.record_planned(step, held)
            if steps and self._is_pass_over(now):
                return False
        return True

    def _backfill(self, steps: Iterable[execution.Step], now: float):
        """Lets preemptible tasks run where other steps only hold capacity."""
        if (
            now - self._backfilled_at < backfilling.MIN_INTERVAL_S
            or not self._planner.holds_capacity
        ):
            return
        candidates = [
            step
            for step in steps
            if step in self._shard.ready_steps
            and backfilling.may_backfill(step.spec)
        ]
        if not candidates:
            return
        self._backfilled_at = now
        budget = backfilling.compute_budget(self._shard.pool.list_workers())
        held = self._planner.begin_backfill()
        for step in candidates:
            if budget <= 0 or self._is_pass_over(now):
                break
            limit = budget // max(1, step.spec.cpu)
            started = self._started
            self._handle_step_safely(step, now, limit)
            budget -= (self._started - started) * step.spec.cpu
        self._planner.end_backfill(held)

    def _place_changed(self, now: float):
        """Plans the changed steps beside what the other steps hold."""
        steps = [
            step
            for step in self._shard.changed_steps
            if step in self._shard.ready_steps
        ]
        self._shard.changed_steps.clear()
        if not steps:
            return
        self._refresh_pool(now)
        if not self._handle_until_over(self._order_changed(steps, now), now):
            self._shard.request_schedule()

    def _order_changed(
        self, steps: list[execution.Step], now: float
    ) -> StepOrder:
        """Returns changed steps in order, as far as they are placed now.

        Those beyond the agreed rates are left to the next pass over all steps.
        """
        ranked = [(self.ranking.rank(step, now)[0], step) for step in steps]
        if self._shard.fair_shares.is_enabled:
            if any(rank.is_excess for rank, _ in ranked):
                self._shard.request_schedule()
            return self._shard.fair_shares.order_changed(ranked)
        ranked.sort(key=lambda row: row[0])
        return collections.deque(step for _, step in ranked)

    def _is_pass_over(self, began_at: float) -> bool:
        """Returns whether a pass has started enough or taken long enough."""
        return (
            self._started >= STARTS_PER_PASS
            or clock.read_clock() - began_at >= MAX_PASS_S
        )

    def _handle_step_safely(
        self,
        step: execution.Step,
        now: float,
        backfill_limit: int | None = None,
    ):
        """Places a step; an error must not keep others from being placed.

        Args:
          step: the step.
          now: the monotonic clock, in seconds.
          backfill_limit: most tasks to place by backfilling, which reserves
            nothing; None in a plan of all steps.
        """
        if step in self._broken_until:
            return
        try:
            self._handle_step(step, now, backfill_limit)
        except Exception as error:  # noqa: BLE001
            self._set_aside(step, error, now)

    def _handle_step(
        self, step: execution.Step, now: float, backfill_limit: int | None
    ):
        self._usage.release(step)
        if not step.submission.is_active:
            self._forget_step(step)
            return
        if self._usage.is_blocked(step):
            return
        has_advice = self._find_advice_policy(step) is not None
        if not has_advice and self._planner.is_hopeless(step):
            return
        waiting = step.list_waiting()
        if not waiting:
            self._forget_step(step)
            return
        if not self._shard.former_runs.is_settled:
            waiting = [
                task
                for task in waiting
                if not self._shard.may_run_elsewhere(task)
            ]
        if not waiting:
            return
        if not step.spec.gang:
            waiting = waiting[:STARTS_PER_PASS]
        elif len(waiting) < step.remaining:
            return
        if backfill_limit is not None:
            waiting = waiting[:backfill_limit]
        waiting = self._usage.limit_waiting(
            step, waiting, now, lambda: self.ranking.has_slack(step, now)
        )
        if waiting:
            self._place_step(step, waiting, now, backfill_limit is None)
            if self._usage.limits:
                self._usage.hold(step, self._planner.count_held(step))

    def _forget_step(self, step: execution.Step):
        self._shard.ready_steps.discard(step)
        self._planner.forget(step)
        self._broken_until.pop(step, None)

    def _set_aside(self, step: execution.Step, error: Exception, now: float):
        self._broken_until[step] = now + BROKEN_STEP_PAUSE_S
        self._node.log.warn(
            "step_broken",
            step=step.name,
            **context.describe_error(error),
        )

    def _list_ranked(self, now: float) -> StepOrder:
        """Returns the ready steps, the one to be placed first in front."""
        ready = self._shard.ready_steps
        shares = self._shard.fair_shares
        if self._ranked_configuration is not self._node.configuration:
            self._ranked_configuration = self._node.configuration
            ready.rerank(shares.is_enabled)

        def rank(step):
            return self.ranking.rank(step, now)

        if shares.is_enabled:
            return shares.order(ready.list_by_tenant(now, rank))
        return collections.deque(ready.list_ranked(now, rank))

    def _find_advice_policy(
        self, step: execution.Step
    ) -> configuration.AdvicePolicy | None:
        if not self._node.settings.advice:
            return None
        return self._shard.find_queue(step.submission).advice

    def _place_step(
        self,
        step: execution.Step,
        waiting: list[execution.Task],
        now: float,
        may_reserve: bool,
    ):
        policy = self._find_advice_policy(step)
        may_start = self._shard.is_within_horizon(step.submission)
        if policy is None:
            pairs = self._planner.plan(step, waiting, now)
            if may_reserve:
                waits = self._planner.waits.count(step)
                if waits:
                    self._log_wait(step, waits, now)
                count = len(waiting) - len(pairs) - waits
                self._reserve(step, count, now, None)
            if may_start:
                self._start_planned(step, pairs)
            return
        placed = set()
        if may_start:
            pairs = self._plan_with_tickets(step, waiting, now)
            self._start_planned(step, pairs, now)
            if len(pairs) == len(waiting):
                self._ticket_requester.add_next_steps(step)
            placed = {task for task, _ in pairs}
        remaining = [task for task in waiting if task not in placed]
        if not remaining:
            return
        if step.spec.gang:
            self._gangs.prepare(step, remaining, policy, now)
        else:
            self._reserve_and_request_tickets(
                step, remaining, policy, now, may_reserve
            )

    def _log_wait(self, step: execution.Step, count: int, now: float):
        """Logs that a step begins to wait for a better place."""
        if not self._planner.waits.measure_wait(step, now):
            self._node.log.write(
                "step_waits_for_place",
                step=step.name,
                tasks=count,
                rack=step.spec.data_rack,
            )

    def _plan_with_tickets(
        self, step: execution.Step, waiting: list[execution.Task], now: float
    ) -> list[stepplanner.Placement]:
        """Chooses workers for which the step has a valid ticket."""
        workers = [
            worker
            for worker in map(self._shard.workers.get, step.advice.tickets)
            if worker is not None
            and self._is_usable(worker, now)
            and step.advice.find_ticket(worker.id, now)
            and placement.can_ever_fit(worker, step.spec)
        ]
        if not workers:
            return []
        return self._planner.plan_among(step, waiting, workers, now)

    def _start_planned(
        self,
        step: execution.Step,
        pairs: list[stepplanner.Placement],
        now: float | None = None,
    ):
        """Starts planned tasks, with their tickets if a time is given."""
        if not pairs:
            return
        if step.spec.gang:
            number = max(
                self._shard.choose_run_number(task) for task, _ in pairs
            )
            for task, _ in pairs:
                task.last_number = number
        for task, worker in pairs:
            ticket = ""
            if now is not None:
                ticket = step.advice.find_ticket(worker.id, now) or ""
            self._start(task, worker, ticket)
        self._planner.settle(step, pairs)

    def _start(self, task: execution.Task, worker: fleet.Worker, ticket: str):
        run = self._shard.create_run(task, worker)
        self._started += 1
        now = clock.read_clock()
        self._node.metrics.observe(
            f'start_wait{{queue="{task.step.submission.record.queue}"}}',
            (now - task.waiting_since) * 1000,
        )
        self._node.log.write(
            "run_placed",
            task=task.name,
            run=run.number,
            worker=worker.id,
            waited_s=now - task.waiting_since,
            free_cpu=worker.free_cpu,
            free_mb=worker.free_memory_mb,
            free_gpu=worker.free_gpu,
        )
        self._commands.start(run, ticket)
        self._poller.resume_polling(worker)

    def _reserve_and_request_tickets(
        self,
        step: execution.Step,
        remaining: list[execution.Task],
        policy: configuration.AdvicePolicy,
        now: float,
        may_reserve: bool,
    ):
        """Reserves capacity for tasks without a ticket and requests tickets.

        Without a reservation less urgent tasks would take the capacity while
        the advisor is called.
        """
        step_advice = step.advice
        allows = step_advice.may_run_on if step_advice.asked else None
        pairs = self._planner.plan_again(step, remaining, now, allows)
        if may_reserve:
            self._reserve(step, len(remaining) - len(pairs), now, allows)
        if step_advice.is_asking or now < step_advice.retry_at:
            return
        if pairs:
            workers = [worker for _, worker in pairs]
            self._ticket_requester.request_start(
                step,
                self._planner.list_ever_fitting(step, allows),
                workers,
                self._planner.free_capacity,
                policy,
                now,
            )
        else:
            self._ticket_requester.queue_prefetch(step, policy)

    def _reserve(self, step: execution.Step, count: int, now: float, allows):
        """Reserves workers for waiting tasks, preempting runs if need be."""
        if count:
            yields = self.ranking.yields_capacity(step, now)
            reserved = self._planner.reserve(step, count, now, allows, yields)
            if not yields:
                self._preemptor.preempt(step, reserved)
