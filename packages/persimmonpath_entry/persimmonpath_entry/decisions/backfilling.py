"""Which waiting tasks use capacity that more urgent steps only wait for.

Covers an overloaded service with many gangs. Half of its capacity was reserved
for gangs that waited for tickets or for the rest of their room, while hundreds
of smaller tasks waited and missed their latency objective. A task that can be
preempted without losing its progress runs there until the gang can start.
"""

from collections.abc import Iterable

from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Share of the CPU that backfilling leaves free for urgent tasks to come.
HEADROOM_SHARE = 0.08
# Shortest time between two rounds of backfilling, in seconds.
MIN_INTERVAL_S = 0.05


def may_backfill(spec: submissions.StepSpec) -> bool:
    """Returns whether the tasks of a step may use reserved capacity."""
    return (
        spec.checkpointing
        and not spec.gang
        and not spec.long_running
        and not spec.is_filler
    )


def compute_budget(workers: Iterable[fleet.Worker]) -> int:
    """Returns the CPU that backfilling may use, in thousandths of a core.

    Args:
      workers: the usable workers.
    """
    free = 0
    capacity = 0
    for worker in workers:
        free += max(0, worker.free_cpu)
        capacity += worker.registration.cpu
    return max(0, free - int(HEADROOM_SHARE * capacity))
