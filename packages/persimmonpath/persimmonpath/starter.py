"""Reserves workers for the waiting tasks of a shard and starts them."""

import collections
import dataclasses

from returns import result

from persimmonpath import attemptcontroller
from persimmonpath import book as book_module
from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import gangs
from persimmonpath import identifiers
from persimmonpath import jobs
from persimmonpath import placement
from persimmonpath import policies
from persimmonpath import preemption
from persimmonpath import progress
from persimmonpath import rules
from persimmonpath import work
from persimmonpath import workers

START_TIMEOUT_S = 3.0
START_WITHIN_S = 2.0
# Pause after a refused start, so that a worker that refuses at once is not
# called in a loop.
REFUSAL_PAUSE_S = 0.5


class TaskStarter:
    """Brings waiting tasks to workers, in the order of rank.

    Reservations are made under the fleet's lock, starts are sent without it.
    """

    def __init__(
        self,
        book: book_module.JobBook,
        shard_fleet: fleet.Fleet,
        attempt_controller: attemptcontroller.AttemptController,
        policy: rules.Policy,
    ):
        """Creates a starter.

        Args:
            book: Jobs of the shard.
            shard_fleet: Workers of the shard.
            attempt_controller: Stops and closes attempts.
            policy: Settings of the policies.
        """
        self.policy = policy
        self._book = book
        self._fleet = shard_fleet
        self._attempt_controller = attempt_controller
        self._gangs = gangs.GangDrain(shard_fleet, book)
        # Tasks with a reservation whose start has not been sent; bounded by
        # the slots of the shard.
        self._reserved: collections.deque[tuple[progress.Entry, int]] = (
            collections.deque()
        )
        self._is_driving = False
        self._is_due = False

    def drive(self) -> None:
        """Starts whatever fits now; must be called without the lock."""
        with self._fleet.lock:
            self._is_due = True
            if self._is_driving:
                return
            self._is_driving = True
        while self._take_due():
            while (taken := self._take_reserved()) is not None:
                self._start(*taken)

    def reserve_urgent(self) -> None:
        """Reserves for urgent tasks what has come free; needs the lock.

        The room made by preemption must not go to other work first.
        """
        for entry in list(self._book.waiting.values()):
            if entry.job.priority is not work.Priority.URGENT:
                return
            if self._is_startable(entry):
                self._reserve_job(entry)

    def give_up(self, entry: progress.Entry) -> None:
        """Gives back what a job holds without a start; needs the lock."""
        for index, task in enumerate(entry.tasks):
            if task.phase is progress.Phase.RESERVED:
                self._unreserve(entry, index)

    def _take_due(self) -> bool:
        """Reserves for waiting jobs; returns False when that was done last."""
        with self._fleet.lock:
            if not self._is_due:
                self._is_driving = False
                return False
            self._is_due = False
            self._refresh_gangs()
            self._reserve_waiting()
            return True

    def _reserve_waiting(self) -> None:
        """Reserves by rank, without trying twice what just fitted nowhere."""
        full = set()
        for entry in list(self._book.waiting.values()):
            is_urgent = entry.job.priority is work.Priority.URGENT
            if not is_urgent and not self._fleet.count_free_slots():
                return
            job = entry.job
            shape = (job.size, job.kind, job.team, is_urgent)
            if policies.starts_together(job):
                shape = None
            if shape in full or not self._is_startable(entry):
                continue
            self._reserve_job(entry)
            is_picky = any(entry.tasks[i].failed_on for i in entry.idle)
            if shape and entry.idle and not is_picky:
                full.add(shape)

    def _refresh_gangs(self) -> None:
        expired = self._gangs.take_expired()
        if expired is not None:
            self.give_up(expired)
        self._gangs.choose_head(self._is_startable)

    def _take_reserved(self) -> tuple[progress.Entry, int] | None:
        with self._fleet.lock:
            while self._reserved:
                entry, index = self._reserved.popleft()
                if entry.tasks[index].phase is progress.Phase.RESERVED:
                    entry.tasks[index].phase = progress.Phase.STARTING
                    return entry, index
            return None

    def _is_startable(self, entry: progress.Entry) -> bool:
        if entry.retry_at > self._fleet.timers.now():
            return False
        # An earlier owner may have started tasks on a worker that is not
        # listed yet; nobody else can have started those of a new job.
        return not entry.is_inherited or not self._fleet.may_run_unlisted()

    def _reserve_job(self, entry: progress.Entry) -> None:
        if policies.starts_together(entry.job):
            self._reserve_gang(entry)
            return
        for index in sorted(entry.idle):
            if not self._reserve(entry, index):
                if entry.job.priority is work.Priority.URGENT:
                    self._preempt(entry, len(entry.idle))
                break
            self._reserved.append((entry, index))
        self._book.update(entry)

    def _reserve_gang(self, entry: progress.Entry) -> None:
        unfinished = [
            index
            for index, state in enumerate(entry.record.tasks)
            if state.state not in jobs.FINAL_TASK_STATES
        ]
        held = [
            i
            for i in unfinished
            if entry.tasks[i].phase is not progress.Phase.IDLE
        ]
        is_gathering = self._gangs.is_gathering(entry)
        if len(held) > 0 and not is_gathering:
            # It starts together once its earlier attempts have all ended.
            return
        for index in sorted(entry.idle):
            if not self._reserve(entry, index):
                break
        if entry.idle:
            if not self._gangs.gather(entry, self.policy.gang_hold_s):
                self.give_up(entry)
            elif not is_gathering:
                self._fleet.timers.call_later(
                    self.policy.gang_hold_s, self.drive
                )
            if entry.job.priority is work.Priority.URGENT:
                self._preempt(entry, len(entry.idle))
        else:
            self._gangs.finish(entry)
            self._reserved.extend((entry, index) for index in unfinished)
        self._book.update(entry)

    def _reserve(self, entry: progress.Entry, index: int) -> bool:
        number = entry.get_next_number(index, self._fleet.epoch)
        attempt = identifiers.format_attempt(f"{entry.id}/{index}", number)
        name = self._fleet.reserve(
            attempt, entry.job.size, need=self._create_need(entry, index)
        )
        if name is None:
            return False
        entry.tasks[index].number = number
        self._book.hold(entry, index, name, progress.Phase.RESERVED)
        return True

    def _create_need(self, entry: progress.Entry, index: int) -> placement.Need:
        counts: collections.Counter = collections.Counter()
        if policies.spreads_racks(entry.job):
            for task in entry.tasks:
                if task.worker:
                    counts[self._fleet.find_rack(task.worker)] += 1
        avoided = set(entry.tasks[index].failed_on)
        if avoided and len(avoided) >= len(self._fleet.list_open()):
            avoided = set()
        avoided |= self._gangs.list_drained(entry)
        return placement.Need(
            entry.job.kind,
            entry.job.team,
            tuple(sorted(counts.items())),
            frozenset(avoided),
            policies.get_spare_slots_share(entry.job, self.policy),
        )

    def _unreserve(self, entry: progress.Entry, index: int) -> None:
        task = entry.tasks[index]
        self._fleet.release(task.worker, entry.format_attempt(index))
        self._book.free(entry, index)

    def _preempt(self, entry: progress.Entry, count: int) -> None:
        """Stops tasks of lower priority to make room for urgent ones."""
        for victim, index in preemption.choose_victims(
            entry, count, self._book, self._fleet
        ):
            task = victim.tasks[index]
            task.is_preempted = True
            self._attempt_controller.stop(
                task.worker, victim.format_attempt(index), with_checkpoint=True
            )

    def _start(self, entry: progress.Entry, index: int) -> None:
        task = entry.tasks[index]
        name = task.worker
        number = task.number
        start = workers.StartTask(
            attempt=entry.format_attempt(index),
            epoch=self._fleet.epoch,
            start_within_s=START_WITHIN_S,
            size=entry.job.size,
            payload=entry.job.payload,
            digest=entry.record.digest,
            kind=entry.job.kind,
            checkpoint=entry.record.tasks[index].checkpoint,
        )
        client = self._fleet.get_client(name)
        future = client.start(start, False, START_TIMEOUT_S)
        future.add_done_callback(
            lambda f: self._take_reply(entry, index, number, f.result())
        )

    def _take_reply(
        self,
        entry: progress.Entry,
        index: int,
        number: int,
        reply: result.Result,
    ) -> None:
        with self._fleet.lock:
            task = entry.tasks[index]
            is_current = (
                task.number == number and task.phase is progress.Phase.STARTING
            )
            if is_current and isinstance(reply, result.Success):
                self._take_started(entry, index)
            elif is_current:
                self._take_failure(entry, index, reply.failure())
        self._attempt_controller.drive()

    def _take_started(self, entry: progress.Entry, index: int) -> None:
        task = entry.tasks[index]
        task.phase = progress.Phase.RUNNING
        entry.set_progress(
            index,
            dataclasses.replace(
                entry.record.tasks[index],
                state=jobs.TaskState.RUNNING,
                worker=task.worker,
            ),
        )
        self._book.update(entry)
        is_broken = policies.starts_together(entry.job) and entry.idle
        if entry.is_cancelling or is_broken:
            # It was cancelled, or its gang lost a task, while the start was
            # in flight.
            self._attempt_controller.stop(
                task.worker, entry.format_attempt(index)
            )

    def _take_failure(
        self, entry: progress.Entry, index: int, error: errors.WorkerError
    ) -> None:
        task = entry.tasks[index]
        attempt = entry.format_attempt(index)
        is_repeated = False
        if isinstance(error, errors.StartRefusedError):
            is_repeated = error.reason == workers.Refusal.REPEATED
            if error.reason == workers.Refusal.STALE_EPOCH:
                self._fleet.mark_fenced()
        elif not isinstance(error, errors.WorkerNotContactedError):
            is_repeated = True
        if is_repeated:
            # It may run: the reservation stays until the worker tells.
            task.phase = progress.Phase.UNSURE
            self._attempt_controller.close(task.worker, attempt)
            return
        entry.retry_at = self._fleet.timers.now() + REFUSAL_PAUSE_S
        self._unreserve(entry, index)
        if policies.starts_together(entry.job):
            self.stop_gang(entry)

    def stop_gang(self, entry: progress.Entry) -> None:
        """Stops the other tasks of a gang that lost one; needs the lock.

        They start again together.
        """
        for index, task in enumerate(entry.tasks):
            if task.phase is progress.Phase.RUNNING:
                self._attempt_controller.stop(
                    task.worker,
                    entry.format_attempt(index),
                    with_checkpoint=True,
                )
