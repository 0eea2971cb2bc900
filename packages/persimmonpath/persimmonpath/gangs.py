"""All-or-nothing reservations for gangs within a shard.

Under a steady load of small tasks a gang may never find all its slots free at
once, and two gangs that each hold a part of the slots would wait for each other
without end.
"""

from collections.abc import Callable

from persimmonpath import fleet
from persimmonpath import jobindex
from persimmonpath import jobs
from persimmonpath import policies
from persimmonpath import progress
from persimmonpath import resources

# Time that a gang waits for free capacity before workers are drained for it.
DRAIN_DELAY_S = 2.0


class GangReservations:
    """Lets one gang at a time accumulate reservations.

    A gang that does not fit at once may keep partial reservations for a short
    time while further capacity is released. After `DRAIN_DELAY_S` just enough
    workers are also drained for it: work of a later rank is no longer placed
    on them, so that small tasks cannot starve the gang, while other workers
    keep accepting work.

    Only the first gang by rank that could ever fit accumulates reservations or
    drains workers, so two gangs cannot deadlock. Every call needs the fleet's
    lock.
    """

    def __init__(self, shard_fleet: fleet.Fleet, job_index: jobindex.JobIndex):
        """Creates the state without a gang that accumulates reservations.

        Args:
            shard_fleet: Workers of the shard.
            job_index: Unfinished jobs of the shard.
        """
        self._fleet = shard_fleet
        self._job_index = job_index
        self._head: progress.JobEntry | None = None
        self._accumulating: progress.JobEntry | None = None
        self._hold_until = 0.0
        self._next_turn_at = float("-inf")
        self._drained: frozenset[str] = frozenset()

    def is_accumulating(self, entry: progress.JobEntry) -> bool:
        """Returns whether a gang keeps partial reservations while it waits."""
        return self._accumulating is entry

    def accumulate(self, entry: progress.JobEntry, hold_s: float) -> bool:
        """Returns whether a gang may keep its partial reservations.

        Args:
            entry: The gang.
            hold_s: Longest time in seconds for which it may keep them.
        """
        now = self._fleet.timers.now()
        if self._accumulating is entry:
            return True
        is_free = self._accumulating is None and now >= self._next_turn_at
        if entry is not self._head or not is_free:
            return False
        self._accumulating = entry
        self._hold_until = now + hold_s
        # Work that was excluded meanwhile gets a turn of the same length.
        self._next_turn_at = now + 2 * hold_s
        return True

    def finish(self, entry: progress.JobEntry) -> None:
        """Ends the turn of a gang once all its tasks have reservations."""
        if self._accumulating is entry:
            self._accumulating = None
        if self._head is entry:
            self._head = None
            self._drained = frozenset()

    def pop_expired(self) -> progress.JobEntry | None:
        """Ends the turn of a gang that has expired and returns that gang."""
        entry = self._accumulating
        if entry is None:
            return None
        is_waiting = self._job_index.waiting.get(entry.rank) is entry
        if is_waiting and self._fleet.timers.now() < self._hold_until:
            return None
        self._accumulating = None
        return entry

    def choose_head(
        self, is_startable: Callable[[progress.JobEntry], bool]
    ) -> None:
        """Chooses the gang that may accumulate, and the workers to drain.

        Args:
            is_startable: Returns whether a job may start now.
        """
        if self._accumulating is not None:
            return
        head = None
        drained: frozenset[str] = frozenset()
        for entry in self._job_index.waiting.values():
            if not policies.starts_together(entry.job):
                continue
            if is_startable(entry):
                drained = self._choose_drained(entry)
                if drained:
                    head = entry
                    break
        if head is None:
            drained = frozenset()
        elif head is self._head and self._is_drain_valid():
            return
        waited_s = 0.0
        if head is not None:
            waited_s = self._fleet.timers.now() - head.waiting_since
        self._head = head
        self._drained = drained if waited_s >= DRAIN_DELAY_S else frozenset()

    def list_drained(self, entry: progress.JobEntry) -> frozenset[str]:
        """Returns the drained workers that a job must not use now."""
        if self._head is None or entry.rank <= self._head.rank:
            return frozenset()
        return self._drained

    def _is_drain_valid(self) -> bool:
        if not self._drained:
            return False
        return self._drained <= set(self._fleet.list_open())

    def _choose_drained(self, entry: progress.JobEntry) -> frozenset[str]:
        """Returns workers that can run a gang, empty if they never suffice."""
        needed = sum(
            task.state not in jobs.FINAL_TASK_STATES
            for task in entry.record.tasks
        )
        service_reservations = self._sum_service_reservations(entry)
        candidates = []
        for name in self._fleet.list_open():
            if not self._fleet.allows(name, entry.job.kind, entry.job.team):
                continue
            worker = self._fleet.get_worker(name)
            held, slots = service_reservations.get(name, (resources.ZERO, 0))
            max_tasks = count_fitting(
                entry.job.size, worker.capacity - held, worker.slots - slots
            )
            free, free_slots = self._fleet.get_free(name)
            now = count_fitting(entry.job.size, free, free_slots)
            if max_tasks:
                candidates.append((-now, -max_tasks, name))
        chosen = set()
        for _, max_tasks, name in sorted(candidates):
            if needed <= 0:
                break
            chosen.add(name)
            needed += max_tasks
        return frozenset(chosen) if needed <= 0 else frozenset()

    def _sum_service_reservations(
        self, entry: progress.JobEntry
    ) -> dict[str, tuple[resources.Resources, int]]:
        """Returns reservations of services by worker; these do not end."""
        service_reservations: dict[str, tuple[resources.Resources, int]] = {}
        for other, index in self._job_index.held.values():
            if other is entry:
                continue
            if not policies.restarts_on_end(other.job):
                continue
            name = other.tasks[index].worker
            held, slots = service_reservations.get(name, (resources.ZERO, 0))
            service_reservations[name] = (held + other.job.size, slots + 1)
        return service_reservations


def count_fitting(
    size: resources.Resources, free: resources.Resources, slots: int
) -> int:
    """Returns how many tasks of a size fit in free resources and slots."""
    counts = [slots]
    for required, available in (
        (size.cpu_millis, free.cpu_millis),
        (size.memory_mib, free.memory_mib),
        (size.accelerators, free.accelerators),
    ):
        if required > 0:
            counts.append(available // required)
    return max(0, min(counts))
