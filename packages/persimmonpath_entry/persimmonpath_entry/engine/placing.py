"""Places the waiting tasks of a shard on its workers."""

import asyncio

from persimmonpath_entry.decisions import advising as advice_decisions
from persimmonpath_entry.decisions import health
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.decisions import preemption
from persimmonpath_entry.engine import advising
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import orders as order_calls
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import ticketing
from persimmonpath_entry.state import configuration
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock

# Events of this time are answered by one pass.
GATHER_S = 0.004
# A pass at least this often, for what depends on time alone.
PASS_S = 0.25
# Starts sent in one pass; the rest follow at once in the next one, so that
# answers are read in between.
STARTS_PER_PASS = 60


class Placing:
    """Places the waiting tasks of a shard."""

    def __init__(
        self,
        shard: shards.Shard,
        orders: order_calls.Orders,
        poller: listings.ListingPoller,
        advisor: advising.Advisor,
    ):
        self._shard = shard
        self._node = shard.node
        self._orders = orders
        self._poller = poller
        self._tickets = ticketing.Ticketing(shard, advisor)
        self._started = 0
        # The steps for which workers are kept free, by worker id, as of the
        # last pass and of the present one.
        self._wanted: dict[str, work.Step] = {}
        self._reserved: dict[str, work.Step] = {}

    async def run(self):
        """Places until the shard is closed."""
        while self._shard.is_open:
            try:
                async with asyncio.timeout(PASS_S):
                    await self._shard.on_schedule.wait()
            except TimeoutError:
                pass
            self._shard.on_schedule.clear()
            now = clock.read_clock()
            has_work = self._shard.ready_steps or self._shard.next_steps
            if self._shard.may_start(now) and has_work:
                self._place_all(now)
            await asyncio.sleep(GATHER_S)

    def _list_usable(self, now: float) -> list[fleet.Worker]:
        workers = self._shard.workers.values()
        silent_zones = health.find_silent_zones(workers)
        return [
            worker
            for worker in workers
            if worker.is_fenced
            and worker.unanswered_since is None
            and worker.registration.zone not in silent_zones
            and worker.is_recorded
            and worker.id not in self._shard.frozen_leases
            and worker.is_listed
            and not worker.registration.is_draining
            and worker.silent_since is None
            and worker.penalty_until <= now
            and worker.empty_until <= now
            and not worker.strangers
            and worker.clock is not None
        ]

    def _place_all(self, now: float):
        usable = self._list_usable(now)
        room = placement.Room()
        self._started = 0
        self._tickets.begin_pass()
        self._wanted = self._reserved
        self._reserved = {}
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
            if step.spec.gang and len(waiting) < step.left:
                continue
            self._place_step(step, waiting, usable, room, now)
            if self._started >= STARTS_PER_PASS:
                self._shard.request_schedule()
                return
        self._tickets.ask_ahead(room, now)
        self._tickets.ask_for_next(usable, room, now)

    def _rank_steps(self, now: float) -> list[work.Step]:
        ranked = []
        for step in self._shard.ready_steps:
            submission = step.submission
            queue = self._shard.find_queue(submission)
            chain_ms = ordering.estimate_chain_ms(submission.record.steps)
            rank = ordering.rank_step(
                step, queue, now - submission.known_since, chain_ms, now
            )
            ranked.append((rank, step))
        ranked.sort(key=lambda row: row[0])
        return [step for _, step in ranked]

    def _place_step(self, step, waiting, usable, room, now: float):
        spec = step.spec
        fitting = [w for w in usable if placement.can_ever_fit(w, spec)]
        policy = self._shard.find_queue(step.submission).advice
        may_start = self._shard.may_start_tasks(step.submission)
        if policy is None or not self._node.settings.advice:
            plan = self._plan(step, waiting, fitting, room)
            if len(plan) < len(waiting):
                self._reserve(step, fitting, room, len(waiting) - len(plan))
            if may_start:
                self._start_planned(step, plan, room)
            return
        if not may_start:
            self._prepare(step, waiting, fitting, room, policy, now)
            return
        book = step.tickets
        valid = [w for w in fitting if book.find(w.id, now)]
        plan = self._plan(step, waiting, valid, room)
        self._start_planned(step, plan, room, now)
        if len(plan) == len(waiting):
            self._tickets.note_next(step)
        placed = {task for task, _ in plan}
        left = [task for task in waiting if task not in placed]
        if left:
            self._prepare(step, left, fitting, room, policy, now)

    def _plan(self, step, waiting, workers, room):
        """Returns a worker for each task that has room, and takes the room."""
        spec = step.spec
        if not workers:
            return []
        if spec.gang:
            plan = placement.plan_gang(
                workers,
                spec,
                len(waiting),
                room,
                clock.read_clock(),
                self._list_wanted(step),
            )
            if plan is None:
                return []
            for worker in plan:
                room.take(worker, spec)
            return list(zip(waiting, plan, strict=True))
        counts = step.count_runs_by_worker()
        now = clock.read_clock()
        wanted = self._list_wanted(step)
        pairs = []
        for task in waiting:
            held = {run.worker.id for run in task.runs}
            worker = placement.choose_worker(
                [w for w in workers if w.id not in held] if held else workers,
                spec,
                room,
                counts,
                task.avoided,
                now,
                wanted,
            )
            if worker is None:
                break
            room.take(worker, spec)
            counts[worker.id] = counts.get(worker.id, 0) + 1
            pairs.append((task, worker))
        return pairs

    def _start_planned(self, step, plan, room, now: float | None = None):
        if not plan:
            return
        if step.spec.gang:
            number = max(self._shard.next_number(task) for task, _ in plan)
            for task, _ in plan:
                task.last_number = number
        for task, worker in plan:
            ticket = ""
            if now is not None:
                ticket = step.tickets.find(worker.id, now) or ""
            self._start(task, worker, ticket)
        # The rooms of the workers themselves now hold what the plan took.
        for _, worker in plan:
            room.give_back(worker, step.spec)

    def _start(self, task: work.Task, worker: fleet.Worker, ticket: str):
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
        self._orders.start(run, ticket)
        self._poller.resume_polling(worker)

    def _prepare(
        self,
        step: work.Step,
        left: list[work.Task],
        fitting: list[fleet.Worker],
        room: placement.Room,
        policy: configuration.AdvicePolicy,
        now: float,
    ):
        """Keeps room for tasks that lack only a ticket, and asks for it."""
        book = step.tickets
        maybe = [
            worker
            for worker in fitting
            if worker.id in book.good or worker.id not in book.asked
        ]
        plan = self._plan(step, left, maybe, room)
        if len(plan) < len(left):
            self._reserve(step, maybe, room, len(left) - len(plan))
        if book.is_asking or now < book.retry_at or not maybe:
            return
        if not plan:
            self._tickets.add_ahead(step, maybe, policy)
            return
        planned = [worker for _, worker in plan]
        self._tickets.ask_if_possible(
            step, maybe, planned, room, policy, now, advice_decisions.Need.START
        )

    def _reserve(
        self,
        step: work.Step,
        maybe: list[fleet.Worker],
        room: placement.Room,
        count: int,
    ):
        """Keeps what comes less urgently off the workers that are free first.

        A gang needs room for all its members at once; other tasks start one
        by one, and one worker kept free for them is enough.
        """
        now = clock.read_clock()
        if not placement.is_kept(now - (step.ready_since or now)):
            return
        wanted = placement.choose_reserved(
            maybe, step.spec, room, count if step.spec.gang else 1
        )
        for worker in wanted:
            room.take(worker, step.spec)
            self._reserved[worker.id] = step
        self._preempt(step, wanted)

    def _preempt(self, step: work.Step, wanted: list[fleet.Worker]):
        """Has less urgent runs give way where a step has waited for long."""
        now = clock.read_clock()
        is_early = now - (step.ready_since or now) < preemption.WAIT_S
        if is_early or not self._shard.may_start(now):
            return
        priority = self._shard.find_queue(step.submission).priority
        for worker in dict.fromkeys(wanted):
            if now - worker.preempted_at < preemption.PAUSE_S:
                continue
            victims = preemption.choose_victims(
                worker,
                step.spec,
                wanted.count(worker),
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
                self._shard.on_stop(run, "preempted")

    def _find_priority(self, run: work.Run) -> int:
        return self._shard.find_queue(run.task.step.submission).priority

    def _list_wanted(self, step: work.Step) -> list[str]:
        """Returns the workers that are kept free for other steps."""
        return [
            worker_id
            for worker_id, other in self._wanted.items()
            if other is not step
        ]
