"""Which workers a call to the placement advisor names, and which VM makes it.

The advisor handles one call at a time for each calling VM. At peak load, long
calls and calls for tasks that can't start yet would delay the calls for tasks
that lack only a ticket. A long call therefore goes to a VM without a call in
flight, and prefetching leaves VMs free.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import enum
import itertools

from persimmonpath_entry.decisions import placement
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Most workers named in one call; the call takes longer with each of them.
WORKERS_PER_CALL = 30
# Most approved workers with free capacity that a call for a gang names besides
# the planned ones, whose capacity may be taken while the call is under way.
SPARE_WORKERS = 12
# Fewest workers named in a call that explores, if so many are left.
MIN_EXPLORED_WORKERS = 10
# Calls expected to take at most this long are made by this VM. Longer ones are
# made by peers, so that urgent tasks with short calls don't wait behind them.
SHORT_CALL_S = 0.1
# Most calls in flight from this VM. More than one keeps the advisor busy during
# the round trip.
MAX_LOCAL_CALLS = 3
# Number of idle peers that prefetching leaves free for tasks that can start,
# besides a share of all peers.
PREFETCH_SPARE_CALLERS = 1
PREFETCH_SPARE_SHARE = 0.25
# Share of the peers that long calls leave to short ones.
SHORT_CALL_SHARE = 0.125
# The advisor is asked for a gang until the workers that it approves could carry
# this multiple of the members if nothing but long-running tasks ran there.
EXPLORED_MULTIPLE = 2.0
# A gang that has waited for this long, in seconds, asks about further workers,
# since the approved ones are seldom free at the same time. The multiple rises
# by 1 in each further such time.
EXPLORE_FURTHER_AFTER_S = 4.0
# Most workers that are examined to choose those to ask about, so that the time
# for it doesn't grow with the number of workers.
MAX_EXAMINED_WORKERS = 240
# Most calls in flight for one step.
MAX_PARALLEL_CALLS = 6


class Purpose(enum.Enum):
    """Why the advisor is called.

    Attributes:
      START: a worker has capacity, and only the ticket is missing.
      PREFETCH: no worker has capacity yet.
    """

    START = "start"
    PREFETCH = "ahead"


def choose_workers_to_ask(
    step_advice: execution.StepAdvice,
    spec: submissions.StepSpec,
    fitting: list[fleet.Worker],
    planned: list[fleet.Worker],
    free_capacity: placement.FreeCapacity,
    now: float,
) -> list[str]:
    """Returns the ids of the workers to name in the next call for a step.

    Workers that the advisor has approved are named again by themselves, since
    a call takes longer with each worker named.

    Args:
      step_advice: the advisor's answers for the step so far.
      spec: the step.
      fitting: workers that could run its tasks when empty.
      planned: workers on which its tasks would start now.
      free_capacity: the capacity that is left in the current plan.
      now: the monotonic clock, in seconds.

    Returns:
      At most WORKERS_PER_CALL ids: the planned workers without a valid ticket
      first, then those with free capacity. Empty if there is nothing to ask.
    """
    targets = {
        worker.id: None
        for worker in planned
        if not step_advice.find_ticket(worker.id, now)
    }
    if step_advice.asked and all(
        worker_id in step_advice.good for worker_id in targets
    ):
        good = [w for w in fitting if w.id in step_advice.good]
        if targets:
            if spec.gang:
                spare = [
                    worker.id
                    for worker in good
                    if not step_advice.find_ticket(worker.id, now)
                    and placement.fits(worker, spec, free_capacity)
                ]
                targets.update(dict.fromkeys(spare[:SPARE_WORKERS]))
            return list(targets)[:WORKERS_PER_CALL]
        if good:
            return [w.id for w in good][:WORKERS_PER_CALL]
    unasked = [
        worker for worker in fitting if worker.id not in step_advice.asked
    ]
    unasked.sort(
        key=lambda worker: not placement.fits(worker, spec, free_capacity)
    )
    for worker in unasked:
        targets[worker.id] = None
    return list(targets)[:WORKERS_PER_CALL]


def choose_batches_to_explore(
    step_advice: execution.StepAdvice,
    spec: submissions.StepSpec,
    count: int,
    workers: Mapping[str, fleet.Worker],
    good_share: float,
    free_capacity: placement.FreeCapacity,
    multiple: float = EXPLORED_MULTIPLE,
    start: int = 0,
) -> list[list[str]]:
    """Returns the workers to ask about before a gang is planned.

    A gang starts only if the advisor approves workers for all its members.
    Asked one call after the other, a gang of twenty needs seconds, and the
    first tickets have expired before the last ones arrive.

    Args:
      step_advice: the advisor's answers for the step so far.
      spec: the step.
      count: the number of members.
      workers: the workers that may get tasks, by id.
      good_share: the share of workers that the advisor usually approves.
      free_capacity: the capacity that is left in the current plan.
      multiple: multiple of the members that the approved workers should carry.
      start: a number that differs by step, so that steps examine different
        workers of a large pool first.

    Returns:
      The ids to name in each of several calls at the same time; empty if
      enough workers are approved or expected to be.
    """
    wanted = multiple * count - _count_slots(step_advice.good, spec, workers)
    expected = good_share * _count_slots(
        step_advice.asking - step_advice.good, spec, workers
    )
    if expected >= wanted:
        return []
    unasked = []
    for worker_id, worker in _rotate(workers, start):
        if worker_id in step_advice.asked or worker_id in step_advice.asking:
            continue
        slots = _count_allowed_slots(worker, spec)
        if slots:
            unasked.append((worker, slots))
            if len(unasked) >= MAX_EXAMINED_WORKERS:
                break
    unasked.sort(key=lambda entry: -free_capacity.get_free(entry[0])[0])
    chosen = []
    for worker, slots in unasked:
        if expected >= wanted and len(chosen) >= MIN_EXPLORED_WORKERS:
            break
        expected += slots * good_share
        chosen.append(worker.id)
    return [
        chosen[start : start + WORKERS_PER_CALL]
        for start in range(0, len(chosen), WORKERS_PER_CALL)
    ][:MAX_PARALLEL_CALLS]


def _rotate(
    workers: Mapping[str, fleet.Worker], start: int
) -> Iterator[tuple[str, fleet.Worker]]:
    """Yields the entries of a mapping from a position on, all of them once."""
    position = start % len(workers) if workers else 0
    return itertools.chain(
        itertools.islice(workers.items(), position, None),
        itertools.islice(workers.items(), position),
    )


def _count_slots(
    ids: Iterable[str],
    spec: submissions.StepSpec,
    workers: Mapping[str, fleet.Worker],
) -> int:
    """Returns how many tasks the given workers could run together."""
    return sum(
        _count_allowed_slots(workers[worker_id], spec)
        for worker_id in ids
        if worker_id in workers
    )


def _count_allowed_slots(
    worker: fleet.Worker, spec: submissions.StepSpec
) -> int:
    if not placement.can_ever_fit(worker, spec):
        return 0
    return placement.count_attainable(worker, spec)


def choose_explored_multiple(waited_s: float) -> float:
    """Returns the multiple of its members that a waiting gang explores.

    Args:
      waited_s: seconds for which it has waited.
    """
    further = int(waited_s / EXPLORE_FURTHER_AFTER_S)
    return EXPLORED_MULTIPLE + further


def choose_caller(
    own_address: str,
    peers: list[str],
    busy: dict[str, int],
    call_s: float,
    purpose: Purpose,
) -> str | None:
    """Returns the address of the VM that makes a call, or None to retry later.

    Args:
      own_address: the address of this VM.
      peers: addresses of the VMs that own no service, the preferred first.
      busy: number of calls in flight by address.
      call_s: the expected duration of the call, in seconds.
      purpose: why the call is made.
    """
    idle = [address for address in peers if not busy.get(address)]
    own_calls = busy.get(own_address, 0)
    if call_s <= SHORT_CALL_S or not peers:
        # Long calls take the most preferred idle peer, so the last one is the
        # least likely to be needed for them.
        if own_calls and idle:
            return idle[-1]
        return own_address if own_calls < MAX_LOCAL_CALLS else None
    spare = int(SHORT_CALL_SHARE * len(peers))
    if purpose is Purpose.PREFETCH:
        spare += PREFETCH_SPARE_CALLERS
        spare += int(PREFETCH_SPARE_SHARE * len(peers))
    return idle[0] if len(idle) > spare else None
