"""Places the waiting tasks of a shard on its workers."""

import asyncio

from persimmonpath_entry.decisions import advisorcalls
from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import preemption
from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import ticketrequests
from persimmonpath_entry.engine import workercommands
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock

# Pause after each pass, in seconds; one pass then handles all events of it.
BATCH_DELAY_S = 0.004
# Longest time between two passes, in seconds, since penalties, tickets and
# waiting times change without an event.
MAX_PASS_INTERVAL_S = 0.25
# Starts after which a pass ends. The next pass follows at once; answers of
# workers are read in between.
STARTS_PER_PASS = 60


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
            await asyncio.sleep(BATCH_DELAY_S)

    def _list_usable(self, now: float) -> list[fleet.Worker]:
        workers = self._shard.workers.values()
        unresponsive_zones = health.find_unresponsive_zones(workers)
        return [
            worker
            for worker in workers
            if worker.is_fenced
            and worker.unanswered_since is None
            and worker.registration.zone not in unresponsive_zones
            and worker.is_recorded
            and worker.id not in self._shard.frozen_leases
            and worker.is_listed
            and not worker.registration.is_draining
            and worker.unresponsive_since is None
            and worker.excluded_until <= now
            and worker.evacuating_until <= now
            and not worker.unknown_runs
            and worker.clock is not None
        ]

    def _run_pass(self, now: float):
        usable = self._list_usable(now)
        free_capacity = placement.FreeCapacity()
        self._started = 0
        self._ticket_requester.begin_pass()
        self._last_reservations = self._reservations
        self._reservations = {}
        for step in self._rank_steps(now):
            waiting = step.list_waiting()
            if not waiting or not step.submission.is_active:
                self._shard.ready_steps.pop(step, None)
                continue
            if self._shard.unsettled:
                waiting = [
                    task
                    for task in waiting
                    if not self._shard.may_run_elsewhere(task)
                ]
            if not waiting:
                continue
            if step.spec.gang and len(waiting) < step.remaining:
                continue
            self._place_step(step, waiting, usable, free_capacity, now)
            if self._started >= STARTS_PER_PASS:
                self._shard.request_schedule()
                return
        self._ticket_requester.prefetch_queued(free_capacity, now)
        self._ticket_requester.prefetch_for_next_steps(
            usable, free_capacity, now
        )

    def _rank_steps(self, now: float) -> list[execution.Step]:
        ranked = []
        for step in self._shard.ready_steps:
            submission = step.submission
            queue = self._shard.find_queue(submission)
            critical_path_ms = ordering.estimate_critical_path_ms(
                submission.record.steps
            )
            rank = ordering.rank_step(
                step, queue, now - submission.known_since, critical_path_ms, now
            )
            ranked.append((rank, step))
        ranked.sort(key=lambda row: row[0])
        return [step for _, step in ranked]

    def _place_step(self, step, waiting, usable, free_capacity, now: float):
        spec = step.spec
        fitting = [w for w in usable if placement.can_ever_fit(w, spec)]
        policy = self._shard.find_queue(step.submission).advice
        may_start = self._shard.is_within_horizon(step.submission)
        if policy is None or not self._node.settings.advice:
            plan = self._plan(step, waiting, fitting, free_capacity)
            if len(plan) < len(waiting):
                self._reserve(
                    step, fitting, free_capacity, len(waiting) - len(plan)
                )
            if may_start:
                self._start_planned(step, plan, free_capacity)
            return
        if not may_start:
            self._reserve_and_request_tickets(
                step, waiting, fitting, free_capacity, policy, now
            )
            return
        step_advice = step.advice
        valid = [w for w in fitting if step_advice.find_ticket(w.id, now)]
        plan = self._plan(step, waiting, valid, free_capacity)
        self._start_planned(step, plan, free_capacity, now)
        if len(plan) == len(waiting):
            self._ticket_requester.add_next_steps(step)
        placed = {task for task, _ in plan}
        remaining = [task for task in waiting if task not in placed]
        if remaining:
            self._reserve_and_request_tickets(
                step, remaining, fitting, free_capacity, policy, now
            )

    def _plan(self, step, waiting, workers, free_capacity):
        """Chooses workers for tasks and reserves the capacity in the plan.

        Returns:
          Pairs of task and worker. A gang is planned whole or not at all; for
          other steps the tasks without free capacity are left out.
        """
        spec = step.spec
        if not workers:
            return []
        if spec.gang:
            plan = placement.plan_gang(
                workers,
                spec,
                len(waiting),
                free_capacity,
                clock.read_clock(),
                self._list_reserved_for_others(step),
            )
            if plan is None:
                return []
            for worker in plan:
                free_capacity.reserve(worker, spec)
            return list(zip(waiting, plan, strict=True))
        counts = step.count_runs_by_worker()
        now = clock.read_clock()
        reserved = self._list_reserved_for_others(step)
        pairs = []
        for task in waiting:
            current_ids = {run.worker.id for run in task.runs}
            worker = placement.choose_worker(
                [w for w in workers if w.id not in current_ids]
                if current_ids
                else workers,
                spec,
                free_capacity,
                counts,
                task.avoided,
                now,
                reserved,
            )
            if worker is None:
                break
            free_capacity.reserve(worker, spec)
            counts[worker.id] = counts.get(worker.id, 0) + 1
            pairs.append((task, worker))
        return pairs

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
        fitting: list[fleet.Worker],
        free_capacity: placement.FreeCapacity,
        policy: configuration.AdvicePolicy,
        now: float,
    ):
        """Reserves capacity for tasks without a ticket and requests tickets.

        Without a reservation less urgent tasks would take the capacity while
        the advisor is called.
        """
        step_advice = step.advice
        candidates = [
            worker
            for worker in fitting
            if worker.id in step_advice.good
            or worker.id not in step_advice.asked
        ]
        plan = self._plan(step, remaining, candidates, free_capacity)
        if len(plan) < len(remaining):
            self._reserve(
                step, candidates, free_capacity, len(remaining) - len(plan)
            )
        if (
            step_advice.is_asking
            or now < step_advice.retry_at
            or not candidates
        ):
            return
        if not plan:
            self._ticket_requester.queue_prefetch(step, candidates, policy)
            return
        planned = [worker for _, worker in plan]
        self._ticket_requester.request_tickets(
            step,
            candidates,
            planned,
            free_capacity,
            policy,
            now,
            advisorcalls.Purpose.START,
        )

    def _reserve(
        self,
        step: execution.Step,
        candidates: list[fleet.Worker],
        free_capacity: placement.FreeCapacity,
        count: int,
    ):
        """Reserves the workers that lack the least capacity for waiting tasks.

        Less urgent steps don't get the reserved capacity. A gang needs capacity
        for all its members at once; other tasks start one by one, so that one
        reserved worker is enough for them.
        """
        now = clock.read_clock()
        if not placement.is_reservation_active(now - (step.ready_since or now)):
            return
        reserved = placement.choose_workers_to_reserve(
            candidates, step.spec, free_capacity, count if step.spec.gang else 1
        )
        for worker in reserved:
            free_capacity.reserve(worker, step.spec)
            self._reservations[worker.id] = step
        self._preempt(step, reserved)

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

    def _list_reserved_for_others(self, step: execution.Step) -> list[str]:
        """Returns the ids of the workers reserved for other steps."""
        return [
            worker_id
            for worker_id, other in self._last_reservations.items()
            if other is not step
        ]
