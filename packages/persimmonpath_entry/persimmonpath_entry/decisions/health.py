"""Which runs are stopped because of their worker.

Answers workers that let tasks stand still, and workers that drain: a task
that can't end there goes on elsewhere from its checkpoint.
"""

from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import work

# Time without any use of the processor after which a run stands still. The
# figure that workers give covers the last half second.
STILL_S = 2.5
# A run younger than this may still be starting up.
STARTUP_S = 1.5
# Time before a worker leaves at which a run is stopped for its checkpoint.
LEAVE_MARGIN_S = 0.9


def is_standing_still(run: work.Run, now: float) -> bool:
    """Returns whether a run makes no progress though it may work."""
    if run.phase is not work.Phase.RUNNING or run.idle_since is None:
        return False
    if run.spec.gang or run.spec.is_filler or run.percent < 100:
        return False
    if run.spec.target_ms:
        return False
    started = now - run.sent_at > STARTUP_S + STILL_S
    return started and now - run.idle_since > STILL_S


def is_to_leave(run: work.Run, worker: fleet.Worker, now: float) -> bool:
    """Returns whether a run on a draining worker is stopped now."""
    if run.phase is not work.Phase.RUNNING:
        return False
    if run.spec.long_running:
        return True
    if not run.spec.checkpointing or worker.drain_deadline is None:
        return False
    return now > worker.drain_deadline - LEAVE_MARGIN_S
