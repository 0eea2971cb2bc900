"""Which runs are stopped because of their worker.

Answers workers that let tasks stand still, workers that drain, and workers
that turn slow or silent: a task that can't end there goes on elsewhere, or has
a copy where its step allows that.
"""

from collections.abc import Iterable
import math

from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet

# Time without any use of the processor after which a run stands still. The
# figure that workers give covers the last half second.
STALLED_AFTER_S = 2.5
# A run younger than this may still be starting up.
STARTUP_S = 1.5
# Time before a worker leaves at which a run is stopped for its checkpoint.
CHECKPOINT_MARGIN_S = 0.9

# Weight of the newest run in a worker's slowness, and the time in which a
# worker that gets no work is forgotten to be slow.
SLOWNESS_WEIGHT = 0.3
SLOWNESS_DECAY_S = 6.0
# A single straggler must not make its worker a slow one.
MAX_DURATION_RATIO = 2.5
# A run that takes this many times as long as others of its queue may have a
# copy, but not before the least age.
STRAGGLER_FACTOR = 2.5
MIN_STRAGGLER_S = 1.2


# A zone is taken for cut off only if several of its workers don't answer.
MIN_UNRESPONSIVE_WORKERS = 2


def find_unresponsive_zones(workers: Iterable[fleet.Worker]) -> set[str]:
    """Returns the zones of which nothing has been heard lately.

    Answers a zone that is cut off: several of its workers leave calls
    unanswered, and none has answered since. A task started there would be held
    up until its lease has ended.
    """
    unanswered: dict[str, list[float]] = {}
    for worker in workers:
        if worker.unanswered_since is not None:
            zone = worker.registration.zone
            unanswered.setdefault(zone, []).append(worker.unanswered_since)
    first_unanswered = {
        zone: min(unanswered_times)
        for zone, unanswered_times in unanswered.items()
        if len(unanswered_times) >= MIN_UNRESPONSIVE_WORKERS
    }
    for worker in workers:
        since = first_unanswered.get(worker.registration.zone)
        if since is not None and worker.last_answer_at > since:
            del first_unanswered[worker.registration.zone]
    return set(first_unanswered)


def estimate_slowness(worker: fleet.Worker, now: float) -> float:
    """Returns how slow a worker is by now, 1 for the usual."""
    age_s = max(0.0, now - worker.slowness_at)
    decay = math.exp(-age_s / SLOWNESS_DECAY_S)
    return 1.0 + (worker.slowness - 1.0) * decay


def record_duration(worker: fleet.Worker, ratio: float, now: float):
    """Takes in how long a run took against the others of its queue."""
    slowness = estimate_slowness(worker, now)
    ratio = min(MAX_DURATION_RATIO, ratio)
    worker.slowness = slowness + SLOWNESS_WEIGHT * (ratio - slowness)
    worker.slowness_at = now


def may_start_copy(
    run: execution.Run, typical_s: float | None, now: float
) -> bool:
    """Returns whether a copy of a run's task is worth its room.

    Args:
      run: the run.
      usual_s: how long runs of its queue take, None if unknown.
      now: the steady clock.
    """
    if not run.spec.allow_copies or run.spec.gang or run.spec.long_running:
        return False
    if len(run.task.runs) != 1 or run.phase is execution.Phase.STOPPING:
        return False
    if run.worker.unresponsive_since is not None:
        return True
    if typical_s is None:
        return False
    age_limit_s = max(MIN_STRAGGLER_S, STRAGGLER_FACTOR * typical_s)
    return now - run.sent_at > age_limit_s


def is_stalled(run: execution.Run, now: float) -> bool:
    """Returns whether a run makes no progress though it may work."""
    if run.phase is not execution.Phase.RUNNING or run.idle_since is None:
        return False
    if run.spec.gang or run.spec.is_filler or run.percent < 100:
        return False
    if run.spec.target_ms:
        return False
    if run.spec.long_running and _has_busy_run(run.worker):
        # A lasting task may have nothing to do for a while.
        return False
    started = now - run.sent_at > STARTUP_S + STALLED_AFTER_S
    return started and now - run.idle_since > STALLED_AFTER_S


def _has_busy_run(worker: fleet.Worker) -> bool:
    """Returns whether any task on a worker uses its processor."""
    return any(
        other.load and other.idle_since is None
        for other in worker.runs.values()
        if not other.spec.target_ms
    )


def should_evacuate(run: execution.Run) -> bool:
    """Returns whether a lasting run is moved off a worker that is emptied."""
    if not run.spec.long_running or run.phase is not execution.Phase.RUNNING:
        return False
    limit = run.spec.may_miss
    return not limit or run.task.step.count_unavailable() < limit


def should_stop_for_drain(
    run: execution.Run, worker: fleet.Worker, now: float
) -> bool:
    """Returns whether a run on a draining worker is stopped now."""
    if run.phase is not execution.Phase.RUNNING:
        return False
    if run.spec.long_running:
        return True
    if not run.spec.checkpointing or worker.drain_deadline is None:
        return False
    return now > worker.drain_deadline - CHECKPOINT_MARGIN_S
