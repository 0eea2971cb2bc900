"""Chooses the tasks that are preempted for urgent work.

Used when urgent tasks wait and the shard is full of work of lower priority.
"""

import collections

from persimmonpath import fleet
from persimmonpath import gangs
from persimmonpath import jobindex
from persimmonpath import policies
from persimmonpath import progress
from persimmonpath import resources
from persimmonpath import work

Victim = tuple[progress.JobEntry, int]


def choose_victims(
    urgent: progress.JobEntry,
    count: int,
    job_index: jobindex.JobIndex,
    shard_fleet: fleet.Fleet,
) -> list[Victim]:
    """Returns the tasks to stop so that urgent tasks can be placed.

    On each worker the tasks of the lowest priority are preempted first. Workers
    are chosen by the highest priority among their victims, then by the number
    of victims. Capacity of tasks that are being preempted already counts as
    free. Needs the fleet's lock.

    Args:
        urgent: The waiting job.
        count: Number of its waiting tasks.
        job_index: Unfinished jobs of the shard.
        shard_fleet: Workers of the shard.
    """
    unplaced = count + _count_tasks_ahead(urgent, job_index)
    candidates = _list_candidates(urgent, job_index, shard_fleet)
    size = urgent.job.size
    unplaced -= sum(
        gangs.count_fitting(size, candidate.free, candidate.slots)
        for candidate in candidates
    )
    victims: list[Victim] = []
    while unplaced > 0:
        options = [
            o
            for o in (candidate.find_victims(size) for candidate in candidates)
            if o
        ]
        if not options:
            break
        _, _, _, candidate, chosen = min(options, key=lambda o: o[:3])
        before = gangs.count_fitting(size, candidate.free, candidate.slots)
        candidate.remove_victims(chosen)
        unplaced -= (
            gangs.count_fitting(size, candidate.free, candidate.slots) - before
        )
        victims += chosen
    return victims


class _CandidateWorker:
    """A worker's free capacity and the tasks that may be preempted there."""

    def __init__(self, name: str, free: resources.Resources, slots: int):
        self.name = name
        self.free = free
        self.slots = slots
        self.tasks: list[Victim] = []

    def find_victims(self, size: resources.Resources) -> tuple | None:
        """Returns the cheapest victims for one more task, None if none fit.

        The result is the highest priority of a victim, the number of victims,
        the worker's name, this object and the victims.
        """
        target_count = gangs.count_fitting(size, self.free, self.slots) + 1
        free, slots = self.free, self.slots
        chosen: list[Victim] = []
        for victim in self.tasks:
            free = free + victim[0].job.size
            slots += 1
            chosen.append(victim)
            if gangs.count_fitting(size, free, slots) >= target_count:
                highest_priority = int(chosen[-1][0].job.priority)
                return highest_priority, len(chosen), self.name, self, chosen
        return None

    def remove_victims(self, chosen: list[Victim]) -> None:
        """Counts the capacity of chosen victims as free."""
        for victim in chosen:
            self.tasks.remove(victim)
            self.free = self.free + victim[0].job.size
            self.slots += 1


def _count_tasks_ahead(
    urgent: progress.JobEntry, job_index: jobindex.JobIndex
) -> int:
    """Returns the number of waiting tasks that rank before a job."""
    count = 0
    for rank, entry in job_index.waiting.items():
        if rank >= urgent.rank:
            break
        count += len(entry.idle)
    return count


def _list_candidates(
    urgent: progress.JobEntry,
    job_index: jobindex.JobIndex,
    shard_fleet: fleet.Fleet,
) -> list[_CandidateWorker]:
    held = collections.defaultdict(list)
    for entry, index in job_index.held.values():
        held[entry.tasks[index].worker].append((entry, index))
    candidates = []
    for name in shard_fleet.list_open():
        if not shard_fleet.allows(name, urgent.job.kind, urgent.job.team):
            continue
        worker = shard_fleet.get_worker(name)
        if not urgent.job.size.fits_in(worker.capacity):
            continue
        candidate = _CandidateWorker(name, *shard_fleet.get_free(name))
        for entry, index in held[name]:
            task = entry.tasks[index]
            if task.is_preempted:
                candidate.free = candidate.free + entry.job.size
                candidate.slots += 1
            elif (
                task.phase is progress.Phase.RUNNING
                and entry.job.priority < work.Priority.URGENT
            ):
                candidate.tasks.append((entry, index))
        candidate.tasks.sort(key=_get_victim_rank)
        candidates.append(candidate)
    return candidates


def _get_victim_rank(victim: Victim) -> tuple[int, bool, int]:
    """Returns the preemption order: lowest priority, then latest job."""
    entry, _ = victim
    return (
        int(entry.job.priority),
        policies.starts_together(entry.job),
        -entry.order,
    )
