"""Whether a submission is accepted, and when a refused caller comes back.

Covers a burst of several times what a service can carry. Work accepted behind a
backlog that it can't pass before its result is of no use would only be started
once its caller has given up. It is refused at once instead, and callers return
one after the other when the backlog has been worked off. Work beyond the agreed
rate of its tenant is refused as soon as it would be late.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Waits shorter than this, in seconds, aren't published.
MIN_PUBLISHED_WAIT_S = 1.0
# A published wait is of no use after this time, in seconds.
MAX_WAIT_AGE_S = 4.0
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingWork:
    """Tasks that wait for a run.

    Attributes:
      spec: their step.
      count: the number of tasks.
      run_s: the expected duration of a run on a worker of normal speed, in
        seconds.
      priority: the priority of their queue, 0 for the most urgent.
      tenant: the name of their tenant, empty without one.
      is_excess: whether they are beyond the agreed rate of their tenant.
    """

    spec: submissions.StepSpec
    count: int
    run_s: float
    priority: int
    tenant: str = ""
    is_excess: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision on a submission.

    Attributes:
      is_accepted: whether it is accepted.
      retry_after_s: seconds after which a refused caller should come back.
    """

    is_accepted: bool
    retry_after_s: int = 0


ACCEPTED = Admission(True)


def sum_capacity(workers: Iterable[fleet.Worker]) -> list[float]:
    """Returns the attainable capacity of workers, as of normal speed.

    Returns:
      CPU in thousandths of a core, memory in MB and accelerators. A worker that
      takes twice as long counts half.
    """
    capacity = [0.0, 0.0, 0.0]
    for worker in workers:
        for index, amount in enumerate(worker.list_attainable_capacity()):
            capacity[index] += max(0, amount) / worker.run_time_factor
    return capacity


def estimate_waits(
    workers: Iterable[fleet.Worker], waiting: Iterable[WaitingWork]
) -> dict[int, float]:
    """Returns how long new tasks wait for the work before them, by priority.

    The work of a priority and of the more urgent ones is worked off by all the
    capacity that long-running tasks leave. The scarcest resource counts. Limits
    by rack or advice are left out, so the wait may be longer. Work that no
    worker can ever run delays nothing. A worker that is half as fast counts as
    half of its capacity.

    Args:
      workers: the workers in service. Those that don't answer for a moment are
        among them: after a takeover all but a few haven't answered yet.
      waiting: the work that waits and can still be of use.

    Returns:
      Seconds by priority, for the priorities of the waiting work; without those
      below MIN_PUBLISHED_WAIT_S.
    """
    workers = list(workers)
    if not workers:
        return {}
    capacity = sum_capacity(workers)
    needs_by_priority: dict[int, list[float]] = {}
    for work in waiting:
        spec = work.spec
        if not any(placement.can_ever_fit(worker, spec) for worker in workers):
            continue
        needs = needs_by_priority.setdefault(work.priority, [0.0, 0.0, 0.0])
        sizes = (0 if spec.is_filler else spec.cpu, spec.memory_mb, spec.gpu)
        for index, size in enumerate(sizes):
            needs[index] += size * work.count * work.run_s
    waits = {}
    total = [0.0, 0.0, 0.0]
    for priority in sorted(needs_by_priority):
        for index, amount in enumerate(needs_by_priority[priority]):
            total[index] += amount
        wait_s = max(
            need / max(1, room)
            for need, room in zip(total, capacity, strict=True)
        )
        if wait_s >= MIN_PUBLISHED_WAIT_S:
            waits[priority] = wait_s
    return waits


def find_wait(waits: Mapping[int, float], priority: int) -> float:
    """Returns how long new tasks of a priority wait, in seconds.

    Args:
      waits: seconds by priority, as of `estimate_waits`.
      priority: the priority of their queue.
    """
    return max(
        (wait_s for other, wait_s in waits.items() if other <= priority),
        default=0.0,
    )


def decide(
    wait_s: float, critical_path_s: float, objective_s: float, spread: float
) -> Admission:
    """Decides on a new submission.

    It is refused only if its result would come so late that it is of no use.
    Its caller is told to come back when it would be served in time, and callers
    that are refused together come back spread over half of that time.

    Args:
      wait_s: expected wait for the work before it, in seconds.
      critical_path_s: estimated duration of its critical path, in seconds.
      objective_s: its latency objective, in seconds.
      spread: a number from 0 to 1 that differs by caller.
    """
    finish_s = wait_s + critical_path_s
    if finish_s <= ordering.EXPIRY_FACTOR * objective_s:
        return ACCEPTED
    delay_s = max(0.0, finish_s - objective_s)
    retry_after_s = math.ceil(delay_s * (1 + spread / 2))
    return Admission(
        False,
        min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s)),
    )


def is_excess_late(
    wait_s: float, critical_path_s: float, objective_s: float
) -> bool:
    """Returns whether work beyond an agreed rate would be late if accepted.

    Capacity is short then. Otherwise the work does no harm, as it goes last.

    Args:
      wait_s: expected wait of such work, in seconds.
      critical_path_s: estimated duration of its critical path, in seconds.
      objective_s: its latency objective, in seconds.
    """
    return wait_s > 0 and wait_s + critical_path_s > objective_s


def refuse_excess(delay_s: float, spread: float) -> Admission:
    """Returns the refusal of work beyond the agreed rate of its tenant.

    Args:
      delay_s: seconds after which it is inside the rate. They differ by caller
        unless they are above MAX_RETRY_AFTER_S.
      spread: a number from 0 to 1 that differs by caller.
    """
    if delay_s >= MAX_RETRY_AFTER_S:
        delay_s = MAX_RETRY_AFTER_S * (1 - spread / 2)
    return Admission(False, max(MIN_RETRY_AFTER_S, math.ceil(delay_s)))
