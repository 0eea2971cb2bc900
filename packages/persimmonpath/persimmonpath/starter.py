"""Reserves workers for the waiting tasks of a shard and starts them.

Handles starts that are refused, lost or answered late without two attempts of a
task at the same time, and places urgent tasks in a full shard by preemption.
"""

import collections
import dataclasses

from returns import result

from persimmonpath import attemptcontroller
from persimmonpath import errors
from persimmonpath import fleet
from persimmonpath import gangs
from persimmonpath import identifiers
from persimmonpath import jobindex
from persimmonpath import jobs
from persimmonpath import placement
from persimmonpath import policies
from persimmonpath import preemption
from persimmonpath import progress
from persimmonpath import rules
from persimmonpath import work
from persimmonpath import workers

# Time limit of a start call.
START_TIMEOUT_S = 3.0
# A worker refuses a start that reaches it later than this.
START_WITHIN_S = 2.0
# Delay after a refused start, so that a worker that refuses at once is not
# called in a loop.
REFUSAL_PAUSE_S = 0.5


class TaskStarter:
    """Starts waiting tasks on workers in the order of rank.

    Reservations are made under the fleet's lock; starts are sent without it.
    """

    def __init__(
        self,
        job_index: jobindex.JobIndex,
        shard_fleet: fleet.Fleet,
        attempt_controller: attemptcontroller.AttemptController,
        policy: rules.Policy,
    ):
        """Creates a starter.

        Args:
            job_index: Unfinished jobs of the shard.
            shard_fleet: Workers of the shard.
            attempt_controller: Stops and closes attempts.
            policy: Settings of the policies.
        """
        self.policy = policy
        self._job_index = job_index
        self._fleet = shard_fleet
        self._attempt_controller = attempt_controller
        self._gangs = gangs.GangReservations(shard_fleet, job_index)
        # Tasks with a reservation whose start has not been sent; bounded by
        # the slots of the shard.
        self._reserved: collections.deque[tuple[progress.JobEntry, int]] = (
            collections.deque()
        )
        self._is_driving = False
        self._is_due = False

    def drive(self) -> None:
        """Starts all waiting tasks that fit; the lock must not be held.

        A call during another one makes that one reserve once more.
        """
        with self._fleet.lock:
            self._is_due = True
            if self._is_driving:
                return
            self._is_driving = True
        while self._reserve_if_due():
            while (reserved := self._pop_reserved()) is not None:
                self._start(*reserved)

    def reserve_urgent(self) -> None:
        """Reserves released capacity for urgent tasks; needs the lock.

        Other work must not get the capacity that preemption has released.
        """
        for entry in list(self._job_index.waiting.values()):
            if entry.job.priority is not work.Priority.URGENT:
                return
            if self._is_startable(entry):
                self._reserve_job(entry)

    def release_reserved(self, entry: progress.JobEntry) -> None:
        """Releases a job's reservations without a start; needs the lock."""
        for index, task in enumerate(entry.tasks):
            if task.phase is progress.Phase.RESERVED:
                self._release_reservation(entry, index)

    def _reserve_if_due(self) -> bool:
        """Reserves for waiting jobs; returns False if no pass is due."""
        with self._fleet.lock:
            if not self._is_due:
                self._is_driving = False
                return False
            self._is_due = False
            self._refresh_gangs()
            self._reserve_waiting()
            return True

    def _reserve_waiting(self) -> None:
        """Reserves by rank; skips shapes that fitted no worker in this pass."""
        unplaceable = set()
        for entry in list(self._job_index.waiting.values()):
            is_urgent = entry.job.priority is work.Priority.URGENT
            if not is_urgent and not self._fleet.count_free_slots():
                return
            job = entry.job
            shape = (job.size, job.kind, job.team, is_urgent)
            if policies.starts_together(job):
                shape = None
            if shape in unplaceable or not self._is_startable(entry):
                continue
            self._reserve_job(entry)
            avoids_workers = any(entry.tasks[i].failed_on for i in entry.idle)
            if shape and entry.idle and not avoids_workers:
                unplaceable.add(shape)

    def _refresh_gangs(self) -> None:
        expired = self._gangs.pop_expired()
        if expired is not None:
            self.release_reserved(expired)
        self._gangs.choose_head(self._is_startable)

    def _pop_reserved(self) -> tuple[progress.JobEntry, int] | None:
        with self._fleet.lock:
            while self._reserved:
                entry, index = self._reserved.popleft()
                if entry.tasks[index].phase is progress.Phase.RESERVED:
                    entry.tasks[index].phase = progress.Phase.STARTING
                    return entry, index
            return None

    def _is_startable(self, entry: progress.JobEntry) -> bool:
        if entry.retry_at > self._fleet.timers.now():
            return False
        # An earlier owner may have started tasks of an inherited job on a
        # worker that is not listed yet; tasks of a new job run nowhere.
        return (
            not entry.is_inherited or not self._fleet.may_have_unlisted_tasks()
        )

    def _reserve_job(self, entry: progress.JobEntry) -> None:
        if policies.starts_together(entry.job):
            self._reserve_gang(entry)
            return
        for index in sorted(entry.idle):
            if not self._reserve(entry, index):
                if entry.job.priority is work.Priority.URGENT:
                    self._preempt(entry, len(entry.idle))
                break
            self._reserved.append((entry, index))
        self._job_index.update(entry)

    def _reserve_gang(self, entry: progress.JobEntry) -> None:
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
        is_accumulating = self._gangs.is_accumulating(entry)
        if len(held) > 0 and not is_accumulating:
            # The gang restarts only after all its earlier attempts have ended.
            return
        for index in sorted(entry.idle):
            if not self._reserve(entry, index):
                break
        if entry.idle:
            if not self._gangs.accumulate(entry, self.policy.gang_hold_s):
                self.release_reserved(entry)
            elif not is_accumulating:
                self._fleet.timers.call_later(
                    self.policy.gang_hold_s, self.drive
                )
            if entry.job.priority is work.Priority.URGENT:
                self._preempt(entry, len(entry.idle))
        else:
            self._gangs.finish(entry)
            self._reserved.extend((entry, index) for index in unfinished)
        self._job_index.update(entry)

    def _reserve(self, entry: progress.JobEntry, index: int) -> bool:
        number = entry.get_next_number(index, self._fleet.epoch)
        attempt = identifiers.format_attempt(f"{entry.id}/{index}", number)
        name = self._fleet.reserve(
            attempt,
            entry.job.size,
            constraints=self._create_constraints(entry, index),
        )
        if name is None:
            return False
        entry.tasks[index].number = number
        self._job_index.assign(entry, index, name, progress.Phase.RESERVED)
        return True

    def _create_constraints(
        self, entry: progress.JobEntry, index: int
    ) -> placement.Constraints:
        counts: collections.Counter = collections.Counter()
        if policies.spreads_racks(entry.job):
            for task in entry.tasks:
                if task.worker:
                    counts[self._fleet.find_rack(task.worker)] += 1
        avoided = set(entry.tasks[index].failed_on)
        if avoided and len(avoided) >= len(self._fleet.list_open()):
            avoided = set()
        avoided |= self._gangs.list_drained(entry)
        return placement.Constraints(
            entry.job.kind,
            entry.job.team,
            tuple(sorted(counts.items())),
            frozenset(avoided),
            policies.get_spare_slots_share(entry.job, self.policy),
        )

    def _release_reservation(
        self, entry: progress.JobEntry, index: int
    ) -> None:
        task = entry.tasks[index]
        self._fleet.release(task.worker, entry.format_attempt(index))
        self._job_index.unassign(entry, index)

    def _preempt(self, entry: progress.JobEntry, count: int) -> None:
        """Stops tasks of lower priority to release capacity for urgent ones."""
        for victim, index in preemption.choose_victims(
            entry, count, self._job_index, self._fleet
        ):
            task = victim.tasks[index]
            task.is_preempted = True
            self._attempt_controller.stop(
                task.worker, victim.format_attempt(index), with_checkpoint=True
            )

    def _start(self, entry: progress.JobEntry, index: int) -> None:
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
            lambda f: self._handle_start_reply(entry, index, number, f.result())
        )

    def _handle_start_reply(
        self,
        entry: progress.JobEntry,
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
                self._handle_started(entry, index)
            elif is_current:
                self._handle_start_failure(entry, index, reply.failure())
        self._attempt_controller.drive()

    def _handle_started(self, entry: progress.JobEntry, index: int) -> None:
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
        self._job_index.update(entry)
        is_broken = policies.starts_together(entry.job) and entry.idle
        if entry.is_cancelling or is_broken:
            # The job was cancelled or its gang lost a task during the start.
            self._attempt_controller.stop(
                task.worker, entry.format_attempt(index)
            )

    def _handle_start_failure(
        self, entry: progress.JobEntry, index: int, error: errors.WorkerError
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
            # The task may run, so the reservation stays until the worker
            # confirms its end.
            task.phase = progress.Phase.UNSURE
            self._attempt_controller.close(task.worker, attempt)
            return
        entry.retry_at = self._fleet.timers.now() + REFUSAL_PAUSE_S
        self._release_reservation(entry, index)
        if policies.starts_together(entry.job):
            self.stop_gang(entry)

    def stop_gang(self, entry: progress.JobEntry) -> None:
        """Stops the running tasks of a gang that lost one; needs the lock.

        All tasks of the gang start again together.
        """
        for index, task in enumerate(entry.tasks):
            if task.phase is progress.Phase.RUNNING:
                self._attempt_controller.stop(
                    task.worker,
                    entry.format_attempt(index),
                    with_checkpoint=True,
                )
