"""Places the waiting tasks of a shard on its workers."""

import asyncio

from persimmonpath_entry.decisions import advisorcalls
from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import preemption
from persimmonpath_entry.decisions import workerpool
from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import ticketrequests
from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock

# Pause after each pass, in seconds; one pass then handles all events of it. A
# pass that takes longer is followed by a pause of its own length, so that
# answers of workers and renewals of leases are handled in time.
BATCH_DELAY_S = 0.004
# Longest time between two passes, in seconds, since penalties, tickets and
# waiting times change without an event.
MAX_PASS_INTERVAL_S = 0.25
# Starts after which a pass ends, and the longest time that it examines steps,
# in seconds. The next pass follows at once; answers of workers are read in
# between.
STARTS_PER_PASS = 60
MAX_PASS_S = 0.03
# Shortest time in seconds between two collections of the usable workers. Each
# chosen worker is checked again before a task is started there.
POOL_REFRESH_S = 0.01
# Steps that may reserve workers in one pass. Their reservations are kept for
# RESERVATION_TTL_S seconds, since choosing them examines every worker.
MAX_RESERVING_STEPS = 16
RESERVATION_TTL_S = 0.2
# Seconds for which the plan of a step that waits for tickets is kept.
PLAN_TTL_S = 0.1
# Seconds for which a step that can't be handled because of an unexpected error
# is left out.
BROKEN_STEP_PAUSE_S = 5.0


class TaskScheduler:
    """Places the waiting tasks of a shard in periodic passes."""

    def __init__(
        self,
        shard: shards.Shard,
        commands: workercommands.WorkerCommands,
        poller: listings.ListingPoller,
        advisor: advicebalancer.AdviceBalancer,
    ):
        self._shard = shard
        self._node = shard.node
        self._commands = commands
        self._poller = poller
        self._ticket_requester = ticketrequests.TicketRequester(shard, advisor)
        self._started = 0
        # The steps for which workers are reserved, by worker id, as of the
        # last pass and of the current one.
        self._last_reservations: dict[str, execution.Step] = {}
        self._reservations: dict[str, execution.Step] = {}
        self._reserving_steps = 0
        # The workers chosen for each step that reserves, and when.
        self._kept_reservations: dict[
            execution.Step, tuple[list[fleet.Worker], float]
        ] = {}
        # The workers planned for each step that waits for tickets, and when.
        self._kept_plans: dict[
            execution.Step, tuple[list[fleet.Worker], float]
        ] = {}
        self._unplaceable = workerpool.UnplaceableSizes()
        self._unresponsive_zones: set[str] = set()
        self._pool_refreshed_at = -POOL_REFRESH_S
        # The configuration by which the ready steps are ranked.
        self._ranked_configuration: configuration.Configuration | None = None
        # When a step that caused an error may be tried again.
        self._broken_until: dict[execution.Step, float] = {}

    async def run(self):
        """Runs scheduling passes until the shard is closed."""
        while self._shard.is_open:
            try:
                async with asyncio.timeout(MAX_PASS_INTERVAL_S):
                    await self._shard.schedule_requested.wait()
            except TimeoutError:
                pass
            self._shard.schedule_requested.clear()
            now = clock.read_clock()
            has_work = self._shard.ready_steps or self._shard.next_steps
            if self._shard.may_start(now) and has_work:
                self._run_pass(now)
            duration_s = clock.read_clock() - now
            self._node.metrics.observe(
                f'pass_duration{{service="{self._shard.service}"}}',
                duration_s * 1000,
            )
            await asyncio.sleep(max(BATCH_DELAY_S, duration_s))

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
            and not worker.registration.is_draining
            and worker.unresponsive_since is None
            and worker.excluded_until <= now
            and worker.evacuating_until <= now
            and not worker.unknown_runs
            and worker.clock is not None
        )

    def _run_pass(self, now: float):
        self._refresh_pool(now)
        free_capacity = self._shard.pool.begin_plan()
        self._started = 0
        self._ticket_requester.begin_pass()
        self._last_reservations = self._reservations
        self._reservations = {}
        self._reserving_steps = 0
        self._unplaceable = workerpool.UnplaceableSizes()
        self._drop_expired(now)
        for step in self._list_ranked(now):
            if step in self._broken_until:
                continue
            try:
                self._handle_step(step, free_capacity, now)
            except Exception as error:  # noqa: BLE001
                # One step must not keep all others from being placed.
                self._set_aside(step, error, now)
            if (
                self._started >= STARTS_PER_PASS
                or clock.read_clock() - now >= MAX_PASS_S
            ):
                self._shard.request_schedule()
                return
        self._ticket_requester.prefetch_queued(free_capacity, now)
        self._ticket_requester.prefetch_for_next_steps(free_capacity, now)

    def _drop_expired(self, now: float):
        """Forgets what is kept of steps that may be gone meanwhile."""
        for step, (_, planned_at) in list(self._kept_plans.items()):
            if now - planned_at >= PLAN_TTL_S:
                del self._kept_plans[step]
        for step, (_, chosen_at) in list(self._kept_reservations.items()):
            if now - chosen_at >= RESERVATION_TTL_S:
                del self._kept_reservations[step]
        for step, until in list(self._broken_until.items()):
            if until <= now:
                del self._broken_until[step]

    def _handle_step(self, step, free_capacity, now: float):
        if not step.submission.is_active:
            self._forget_step(step)
            return
        spec = step.spec
        if self._is_hopeless(step):
            return
        waiting = step.list_waiting()
        if not waiting:
            self._forget_step(step)
            return
        if self._shard.unsettled:
            waiting = [
                task
                for task in waiting
                if not self._shard.may_run_elsewhere(task)
            ]
        if not waiting:
            return
        if spec.gang:
            if len(waiting) < step.remaining:
                return
        else:
            waiting = waiting[:STARTS_PER_PASS]
        self._place_step(step, waiting, free_capacity, now)

    def _is_hopeless(self, step: execution.Step) -> bool:
        """Returns whether a step can neither start nor reserve in this pass."""
        if self._reserving_steps < MAX_RESERVING_STEPS:
            return False
        if self._find_advice_policy(step) is not None:
            return False
        count = step.remaining if step.spec.gang else 1
        return self._unplaceable.covers(step.spec, count)

    def _forget_step(self, step: execution.Step):
        self._shard.ready_steps.discard(step)
        self._kept_reservations.pop(step, None)
        self._kept_plans.pop(step, None)
        self._broken_until.pop(step, None)

    def _set_aside(self, step: execution.Step, error: Exception, now: float):
        self._broken_until[step] = now + BROKEN_STEP_PAUSE_S
        self._node.log.warn(
            "step_broken",
            step=step.name,
            reason=f"{type(error).__name__}: {error}",
            where=context.find_raise_location(error),
        )

    def _list_ranked(self, now: float) -> list[execution.Step]:
        """Returns the ready steps, the one to be placed first in front."""
        if self._ranked_configuration is not self._node.configuration:
            self._ranked_configuration = self._node.configuration
            self._shard.ready_steps.rerank()
        return self._shard.ready_steps.list_ranked(
            now, lambda step: self._rank_step(step, now)
        )

    def _rank_step(
        self, step: execution.Step, now: float
    ) -> tuple[ordering.Rank, float]:
        """Returns the rank of a step and the time at which it changes."""
        submission = step.submission
        arguments = (
            step,
            self._shard.find_queue(submission),
            now - submission.known_since,
            ordering.estimate_critical_path_ms(submission.record.steps),
            now,
        )
        return (
            ordering.rank_step(*arguments),
            ordering.find_rank_change(*arguments),
        )

    def _find_advice_policy(
        self, step: execution.Step
    ) -> configuration.AdvicePolicy | None:
        if not self._node.settings.advice:
            return None
        return self._shard.find_queue(step.submission).advice

    def _place_step(self, step, waiting, free_capacity, now: float):
        policy = self._find_advice_policy(step)
        may_start = self._shard.is_within_horizon(step.submission)
        if policy is None:
            plan = self._plan(step, waiting, free_capacity, now)
            if len(plan) < len(waiting):
                self._reserve(
                    step, free_capacity, len(waiting) - len(plan), None
                )
            if may_start:
                self._start_planned(step, plan, free_capacity)
            return
        placed = set()
        if may_start:
            plan = self._plan_with_tickets(step, waiting, free_capacity, now)
            self._start_planned(step, plan, free_capacity, now)
            if len(plan) == len(waiting):
                self._ticket_requester.add_next_steps(step)
            placed = {task for task, _ in plan}
        remaining = [task for task in waiting if task not in placed]
        if remaining:
            self._reserve_and_request_tickets(
                step, remaining, free_capacity, policy, now
            )

    def _list_ever_fitting(
        self, spec, allows: workerpool.Allows | None
    ) -> list[fleet.Worker]:
        return [
            worker
            for worker in self._shard.pool.list_workers()
            if placement.can_ever_fit(worker, spec)
            and (allows is None or allows(worker))
        ]

    def _plan(
        self,
        step,
        waiting,
        free_capacity,
        now: float,
        allows: workerpool.Allows | None = None,
    ):
        """Chooses workers for tasks and reserves the capacity in the plan.

        Args:
          step: the step.
          waiting: the tasks; the members of a gang all together.
          free_capacity: the capacity that is left in the current plan.
          now: the monotonic clock, in seconds.
          allows: returns whether a worker may run the step, None if all may.

        Returns:
          Pairs of task and worker. A gang is planned whole or not at all; for
          other steps the tasks without free capacity are left out.
        """
        spec = step.spec
        count = len(waiting) if spec.gang else 1
        if self._unplaceable.covers(spec, count):
            return []

        def choose(_, counts, task=None):
            return self._choose_from_pool(step, counts, now, allows, task)

        if not spec.gang:
            pairs = self._plan_tasks(step, waiting, free_capacity, choose)
        else:
            workers = []
            if spec.same_rack:
                workers = self._list_ever_fitting(spec, allows)
            pairs = self._plan_gang(
                step, waiting, workers, free_capacity, now, choose
            )
        is_any_allowed = allows is None and not any(t.runs for t in waiting)
        if is_any_allowed and len(pairs) < len(waiting):
            self._unplaceable.add(spec, count)
        return pairs

    def _plan_with_tickets(self, step, waiting, free_capacity, now: float):
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
        if step.spec.gang:
            return self._plan_gang(
                step, waiting, workers, free_capacity, now, None
            )
        reserved = self._list_reserved_for_others(step)

        def choose(trial, counts, task):
            current_ids = {run.worker.id for run in task.runs}
            return placement.choose_worker(
                [w for w in workers if w.id not in current_ids],
                step.spec,
                trial,
                counts,
                task.avoided,
                now,
                reserved,
            )

        return self._plan_tasks(step, waiting, free_capacity, choose)

    def _plan_gang(
        self, step, waiting, workers, free_capacity, now: float, choose
    ):
        plan = placement.plan_gang(
            workers,
            step.spec,
            len(waiting),
            free_capacity,
            now,
            self._list_reserved_for_others(step),
            choose,
        )
        if plan is None or not all(self._is_usable(w, now) for w in plan):
            return []
        for worker in plan:
            free_capacity.reserve(worker, step.spec)
        return list(zip(waiting, plan, strict=True))

    def _plan_tasks(self, step, waiting, free_capacity, choose):
        counts = step.count_runs_by_worker()
        pairs = []
        for task in waiting:
            worker = choose(free_capacity, counts, task)
            if worker is None:
                break
            free_capacity.reserve(worker, step.spec)
            counts[worker.id] = counts.get(worker.id, 0) + 1
            pairs.append((task, worker))
        return pairs

    def _choose_from_pool(
        self,
        step: execution.Step,
        counts: dict[str, int],
        now: float,
        allows: workerpool.Allows | None,
        task: execution.Task | None,
    ) -> fleet.Worker | None:
        """Chooses a worker of the pool that is still usable."""
        avoided: set[str] = set() if task is None else task.avoided
        current_ids = set()
        if task is not None:
            current_ids = {run.worker.id for run in task.runs}

        def is_allowed(worker: fleet.Worker) -> bool:
            if worker.id in current_ids:
                return False
            return allows is None or allows(worker)

        while True:
            worker = self._shard.pool.choose_worker(
                step.spec,
                counts,
                avoided,
                now,
                self._list_reserved_for_others(step),
                is_allowed,
            )
            if worker is None or self._is_usable(worker, now):
                return worker
            self._shard.pool.remove(worker)

    def _start_planned(
        self, step, plan, free_capacity, now: float | None = None
    ):
        if not plan:
            return
        if step.spec.gang:
            number = max(
                self._shard.choose_run_number(task) for task, _ in plan
            )
            for task, _ in plan:
                task.last_number = number
        for task, worker in plan:
            ticket = ""
            if now is not None:
                ticket = step.advice.find_ticket(worker.id, now) or ""
            self._start(task, worker, ticket)
        # The workers' own accounts now include what the plan had reserved.
        for _, worker in plan:
            free_capacity.release(worker, step.spec)

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
        free_capacity: placement.FreeCapacity,
        policy: configuration.AdvicePolicy,
        now: float,
    ):
        """Reserves capacity for tasks without a ticket and requests tickets.

        Without a reservation less urgent tasks would take the capacity while
        the advisor is called.
        """
        step_advice = step.advice
        allows = step_advice.may_run_on if step_advice.asked else None
        plan = self._repeat_plan(step, remaining, free_capacity, now)
        if not plan:
            plan = self._plan(step, remaining, free_capacity, now, allows)
            self._kept_plans[step] = ([worker for _, worker in plan], now)
        if len(plan) < len(remaining):
            self._reserve(
                step, free_capacity, len(remaining) - len(plan), allows
            )
        if step_advice.is_asking or now < step_advice.retry_at:
            return
        if not plan:
            self._ticket_requester.queue_prefetch(step, policy)
            return
        self._ticket_requester.request_tickets(
            step,
            self._list_ever_fitting(step.spec, allows),
            [worker for _, worker in plan],
            free_capacity,
            policy,
            now,
            advisorcalls.Purpose.START,
        )

    def _repeat_plan(
        self,
        step: execution.Step,
        remaining: list[execution.Task],
        free_capacity: placement.FreeCapacity,
        now: float,
    ):
        """Repeats a recent plan of a step that still waits for tickets.

        Returns:
          Pairs of task and worker; empty, with nothing reserved, if the step
          has to be planned anew.
        """
        workers, planned_at = self._kept_plans.get(step, ([], 0.0))
        is_recent = now - planned_at < PLAN_TTL_S
        if not is_recent or len(workers) > len(remaining):
            return []
        if step.spec.gang and len(workers) != len(remaining):
            return []
        for number, worker in enumerate(workers):
            if self._is_usable(worker, now) and placement.fits(
                worker, step.spec, free_capacity
            ):
                free_capacity.reserve(worker, step.spec)
                continue
            for earlier in workers[:number]:
                free_capacity.release(earlier, step.spec)
            return []
        return list(zip(remaining, workers, strict=False))

    def _reserve(
        self,
        step: execution.Step,
        free_capacity: placement.FreeCapacity,
        count: int,
        allows: workerpool.Allows | None,
    ):
        """Reserves the workers that lack the least capacity for waiting tasks.

        Less urgent steps don't get the reserved capacity. A gang needs capacity
        for all its members at once; other tasks start one by one, so that one
        reserved worker is enough for them.

        Args:
          step: the step.
          free_capacity: the capacity that is left in the current plan.
          count: number of its tasks that wait.
          allows: returns whether a worker may run the step, None if all may.
        """
        now = clock.read_clock()
        if self._reserving_steps >= MAX_RESERVING_STEPS:
            return
        if not placement.is_reservation_active(now - (step.ready_since or now)):
            return
        self._reserving_steps += 1
        reserved = self._find_kept_reservation(step, count, now)
        if reserved is None:
            reserved = placement.choose_workers_to_reserve(
                self._list_ever_fitting(step.spec, allows),
                step.spec,
                free_capacity,
                count if step.spec.gang else 1,
            )
            self._kept_reservations[step] = (reserved, now)
        for worker in reserved:
            free_capacity.reserve(worker, step.spec)
            self._reservations[worker.id] = step
        self._preempt(step, reserved)

    def _find_kept_reservation(
        self, step: execution.Step, count: int, now: float
    ) -> list[fleet.Worker] | None:
        """Returns the workers last reserved for a step, None if too old."""
        kept = self._kept_reservations.get(step)
        if kept is None or now - kept[1] >= RESERVATION_TTL_S:
            return None
        reserved = kept[0]
        is_whole = not step.spec.gang or len(reserved) in (0, count)
        if is_whole and all(self._is_usable(w, now) for w in reserved):
            return reserved
        return None

    def _preempt(self, step: execution.Step, reserved: list[fleet.Worker]):
        """Preempts less urgent runs for a step that has waited for long."""
        now = clock.read_clock()
        is_early = (
            now - (step.ready_since or now) < preemption.PREEMPTION_DELAY_S
        )
        if is_early or not self._shard.may_start(now):
            return
        priority = self._shard.find_queue(step.submission).priority
        for worker in dict.fromkeys(reserved):
            if now - worker.preempted_at < preemption.MIN_PREEMPTION_INTERVAL_S:
                continue
            victims = preemption.choose_victims(
                worker,
                step.spec,
                reserved.count(worker),
                priority,
                self._find_priority,
            )
            if not victims:
                continue
            worker.preempted_at = now
            self._node.metrics.count("preemptions", len(victims))
            self._node.log.write(
                "runs_preempted",
                step=step.name,
                worker=worker.id,
                runs=len(victims),
                waited_s=now - step.ready_since,
                priority=priority,
            )
            for run in victims:
                self._shard.stop_run(run, "preempted")

    def _find_priority(self, run: execution.Run) -> int:
        return self._shard.find_queue(run.task.step.submission).priority

    def _list_reserved_for_others(self, step: execution.Step) -> set[str]:
        """Returns the ids of the workers reserved for other steps."""
        return {
            worker_id
            for worker_id, other in self._last_reservations.items()
            if other is not step
        }
