"""Choice of the tasks that give way to urgent work."""

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
    """Returns tasks to stop so that urgent tasks get room.

    On each worker the lowest priority gives way first, and workers are taken
    in the order of the highest priority and the number of tasks that must go.
    Room that earlier victims are about to leave counts as free. Needs the
    fleet's lock.

    Args:
        urgent: The job that waits.
        count: Its tasks that wait.
        job_index: Unfinished jobs of the shard.
        shard_fleet: Workers of the shard.
    """
    missing = count + _count_ahead(urgent, job_index)
    rooms = _list_rooms(urgent, job_index, shard_fleet)
    size = urgent.job.size
    missing -= sum(
        gangs.count_fitting(size, room.free, room.slots) for room in rooms
    )
    victims: list[Victim] = []
    while missing > 0:
        options = [o for o in (room.plan(size) for room in rooms) if o]
        if not options:
            break
        _, _, _, room, chosen = min(options, key=lambda o: o[:3])
        before = gangs.count_fitting(size, room.free, room.slots)
        room.take(chosen)
        missing -= gangs.count_fitting(size, room.free, room.slots) - before
        victims += chosen
    return victims


class _Room:
    """What is or comes free on a worker, and the tasks that may give way."""

    def __init__(self, name: str, free: resources.Resources, slots: int):
        self.name = name
        self.free = free
        self.slots = slots
        self.tasks: list[Victim] = []

    def plan(self, size: resources.Resources) -> tuple | None:
        """Returns the cheapest way to fit one more task, None if none."""
        wanted = gangs.count_fitting(size, self.free, self.slots) + 1
        free, slots = self.free, self.slots
        chosen: list[Victim] = []
        for victim in self.tasks:
            free = free + victim[0].job.size
            slots += 1
            chosen.append(victim)
            if gangs.count_fitting(size, free, slots) >= wanted:
                highest = int(chosen[-1][0].job.priority)
                return highest, len(chosen), self.name, self, chosen
        return None

    def take(self, chosen: list[Victim]) -> None:
        """Counts chosen tasks as gone."""
        for victim in chosen:
            self.tasks.remove(victim)
            self.free = self.free + victim[0].job.size
            self.slots += 1


def _count_ahead(
    urgent: progress.JobEntry, job_index: jobindex.JobIndex
) -> int:
    """Returns the waiting tasks that are served before those of a job."""
    count = 0
    for rank, entry in job_index.waiting.items():
        if rank >= urgent.rank:
            break
        count += len(entry.idle)
    return count


def _list_rooms(
    urgent: progress.JobEntry,
    job_index: jobindex.JobIndex,
    shard_fleet: fleet.Fleet,
) -> list[_Room]:
    held = collections.defaultdict(list)
    for entry, index in job_index.held.values():
        held[entry.tasks[index].worker].append((entry, index))
    rooms = []
    for name in shard_fleet.list_open():
        if not shard_fleet.allows(name, urgent.job.kind, urgent.job.team):
            continue
        worker = shard_fleet.get_worker(name)
        if not urgent.job.size.fits_in(worker.capacity):
            continue
        room = _Room(name, *shard_fleet.get_free(name))
        for entry, index in held[name]:
            task = entry.tasks[index]
            if task.is_preempted:
                room.free = room.free + entry.job.size
                room.slots += 1
            elif (
                task.phase is progress.Phase.RUNNING
                and entry.job.priority < work.Priority.URGENT
            ):
                room.tasks.append((entry, index))
        room.tasks.sort(key=_rank_victim)
        rooms.append(room)
    return rooms


def _rank_victim(victim: Victim) -> tuple[int, bool, int]:
    """Orders tasks by who gives way first: the latest of the lowest."""
    entry, _ = victim
    return (
        int(entry.job.priority),
        policies.starts_together(entry.job),
        -entry.order,
    )
