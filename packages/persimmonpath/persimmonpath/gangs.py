"""All-or-nothing reservation for gangs within a shard."""

from collections.abc import Callable

from persimmonpath import fleet
from persimmonpath import jobindex
from persimmonpath import jobs
from persimmonpath import policies
from persimmonpath import progress
from persimmonpath import resources

# Time that a gang waits for room before workers are drained for it.
PATIENCE_S = 2.0


class GangDrain:
    """Lets one gang at a time gather reservations.

    A gang that does not fit at once may hold what it has for a short time,
    while the rest comes free. After `PATIENCE_S` just enough workers are also
    drained for it: work that ranks after it is no longer placed there, so that
    small work cannot starve it, while other workers go on taking work.

    Only the first gang by rank that could ever fit holds or drains anything,
    so no two gangs wait for each other. Needs the fleet's lock.
    """

    def __init__(self, shard_fleet: fleet.Fleet, job_index: jobindex.JobIndex):
        """Creates a drain for no gang.

        Args:
            shard_fleet: Workers of the shard.
            job_index: Unfinished jobs of the shard.
        """
        self._fleet = shard_fleet
        self._job_index = job_index
        self._head: progress.JobEntry | None = None
        self._gathering: progress.JobEntry | None = None
        self._hold_until = 0.0
        self._rest_until = float("-inf")
        self._drained: frozenset[str] = frozenset()

    def is_gathering(self, entry: progress.JobEntry) -> bool:
        """Returns whether a gang holds reservations while it waits."""
        return self._gathering is entry

    def gather(self, entry: progress.JobEntry, hold_s: float) -> bool:
        """Returns whether a gang may keep what it has reserved so far.

        Args:
            entry: The gang.
            hold_s: Longest time that it may hold reservations in seconds.
        """
        now = self._fleet.timers.now()
        if self._gathering is entry:
            return True
        is_free = self._gathering is None and now >= self._rest_until
        if entry is not self._head or not is_free:
            return False
        self._gathering = entry
        self._hold_until = now + hold_s
        # Work that was kept out gets as long a turn as the gang had.
        self._rest_until = now + 2 * hold_s
        return True

    def finish(self, entry: progress.JobEntry) -> None:
        """Ends the turn of a gang that has all its reservations."""
        if self._gathering is entry:
            self._gathering = None
        if self._head is entry:
            self._head = None
            self._drained = frozenset()

    def take_expired(self) -> progress.JobEntry | None:
        """Ends the turn of a gang whose time is over, and returns the gang."""
        entry = self._gathering
        if entry is None:
            return None
        is_waiting = self._job_index.waiting.get(entry.rank) is entry
        if is_waiting and self._fleet.timers.now() < self._hold_until:
            return None
        self._gathering = None
        return entry

    def choose_head(
        self, is_startable: Callable[[progress.JobEntry], bool]
    ) -> None:
        """Determines which gang may gather, and drains workers for it."""
        if self._gathering is not None:
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
        self._drained = drained if waited_s >= PATIENCE_S else frozenset()

    def list_drained(self, entry: progress.JobEntry) -> frozenset[str]:
        """Returns the workers on which a job must not be placed now."""
        if self._head is None or entry.rank <= self._head.rank:
            return frozenset()
        return self._drained

    def _is_drain_valid(self) -> bool:
        if not self._drained:
            return False
        return self._drained <= set(self._fleet.list_open())

    def _choose_drained(self, entry: progress.JobEntry) -> frozenset[str]:
        """Returns enough workers for a gang, empty if there never are."""
        needed = sum(
            task.state not in jobs.FINAL_TASK_STATES
            for task in entry.record.tasks
        )
        fixed = self._sum_fixed(entry)
        rooms = []
        for name in self._fleet.list_open():
            if not self._fleet.allows(name, entry.job.kind, entry.job.team):
                continue
            worker = self._fleet.get_worker(name)
            held, slots = fixed.get(name, (resources.ZERO, 0))
            most = count_fitting(
                entry.job.size, worker.capacity - held, worker.slots - slots
            )
            free, free_slots = self._fleet.get_free(name)
            now = count_fitting(entry.job.size, free, free_slots)
            if most:
                rooms.append((-now, -most, name))
        chosen = set()
        for _, most, name in sorted(rooms):
            if needed <= 0:
                break
            chosen.add(name)
            needed += most
        return frozenset(chosen) if needed <= 0 else frozenset()

    def _sum_fixed(
        self, entry: progress.JobEntry
    ) -> dict[str, tuple[resources.Resources, int]]:
        """Returns by worker what services hold, which does not end."""
        fixed: dict[str, tuple[resources.Resources, int]] = {}
        for other, index in self._job_index.held.values():
            if other is entry:
                continue
            if not policies.restarts_on_end(other.job):
                continue
            name = other.tasks[index].worker
            held, slots = fixed.get(name, (resources.ZERO, 0))
            fixed[name] = (held + other.job.size, slots + 1)
        return fixed


def count_fitting(
    size: resources.Resources, free: resources.Resources, slots: int
) -> int:
    """Returns how many tasks of a size fit into free resources and slots."""
    counts = [slots]
    for wanted, available in (
        (size.cpu_millis, free.cpu_millis),
        (size.memory_mib, free.memory_mib),
        (size.accelerators, free.accelerators),
    ):
        if wanted > 0:
            counts.append(available // wanted)
    return max(0, min(counts))
