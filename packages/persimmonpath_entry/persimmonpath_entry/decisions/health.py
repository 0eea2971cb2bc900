"""Health of workers and zones, and which runs leave an unhealthy worker.

Covers workers on which tasks stall, workers that drain, and workers that become
slow or unresponsive. A task that can't finish on such a worker is restarted on
another one, or gets a speculative copy if its step allows that.
"""

from collections.abc import Iterable
import math

from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet

# Seconds without CPU usage after which a run counts as stalled. The load that
# workers report covers the last half second.
STALLED_AFTER_S = 2.5
# Seconds for which a stalled task shows that its worker stands still. Moving
# several long-running tasks of a step away one by one takes some 3 s each.
STALL_EVIDENCE_S = 15.0
# Seconds that a run may take to start up.
STARTUP_S = 1.5
# Seconds before the end of a drain at which a run is stopped, so that it can
# still write its checkpoint.
CHECKPOINT_MARGIN_S = 0.9

# Weight of the newest run in the moving average of a worker's slowness.
SLOWNESS_WEIGHT = 0.3
# Time constant in seconds with which slowness decays on a worker without runs.
SLOWNESS_DECAY_S = 6.0
# Upper bound on the slowness of one run, so that a single straggler doesn't
# make its worker count as slow.
MAX_DURATION_RATIO = 2.5
# A run is a straggler at this multiple of the typical duration in its queue,
# but not before the minimum age in seconds.
STRAGGLER_FACTOR = 2.5
MIN_STRAGGLER_S = 1.2
# Seconds until a copy has been placed and started, and its end is known.
COPY_START_S = 0.1
# Copies are started only while at least this share of the CPU is free. Below
# it, they delay work that waits.
MIN_COPY_FREE_SHARE = 0.1


# Seconds within which the ends of a gang's members are listed once one of them
# is done. A run that is listed longer is stopped.
GANG_END_S = 1.0

# Number of unresponsive workers at which a zone counts as partitioned.
MIN_UNRESPONSIVE_WORKERS = 2


def find_unresponsive_zones(workers: Iterable[fleet.Worker]) -> set[str]:
    """Returns the zones that seem to be cut off by a network partition.

    In such a zone, several workers have left calls unanswered and no worker has
    answered since. A task sent there would be delayed until its lease expires.
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
    """Returns a worker's slowness, decayed to now; 1 is the typical speed."""
    age_s = max(0.0, now - worker.slowness_at)
    decay = math.exp(-age_s / SLOWNESS_DECAY_S)
    return 1.0 + (worker.slowness - 1.0) * decay


def record_duration(worker: fleet.Worker, ratio: float, now: float):
    """Updates a worker's slowness with the duration of a run.

    Args:
      worker: the worker.
      ratio: the run's duration divided by the typical one in its queue.
      now: the monotonic clock, in seconds.
    """
    slowness = estimate_slowness(worker, now)
    ratio = min(MAX_DURATION_RATIO, ratio)
    worker.slowness = slowness + SLOWNESS_WEIGHT * (ratio - slowness)
    worker.slowness_at = now


def may_start_copy(
    run: execution.Run, typical_s: float | None, now: float
) -> bool:
    """Returns whether a run's task should get a speculative copy.

    Args:
      run: the run.
      typical_s: typical duration of runs of its queue in seconds, None if
        unknown.
      now: the monotonic clock, in seconds.
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


def estimate_remaining_s(
    run: execution.Run, expected_s: float, now: float
) -> float:
    """Returns how much longer a straggler is expected to run, in seconds.

    A worker that is slow at present slows the whole run. A run that is late for
    an unknown reason is expected to take as long again as it is late.

    Args:
      run: the run.
      expected_s: expected duration on its worker, in seconds.
      now: the monotonic clock, in seconds.
    """
    age_s = now - run.sent_at
    slowed_s = expected_s * estimate_slowness(run.worker, now)
    return max(0.0, slowed_s - age_s, age_s - expected_s)


def is_copy_faster(
    run: execution.Run, expected_s: float, copy_s: float, now: float
) -> bool:
    """Returns whether a speculative copy is expected to end before a run.

    Args:
      run: the run.
      expected_s: expected duration on its worker, in seconds.
      copy_s: expected duration on the worker that the copy would get.
      now: the monotonic clock, in seconds.
    """
    copy_end_s = copy_s + COPY_START_S
    return copy_end_s < estimate_remaining_s(run, expected_s, now)


def is_overdue(run: execution.Run, now: float) -> bool:
    """Returns whether a run goes on although its gang is done."""
    return run.done_at is not None and now - run.done_at > GANG_END_S


def is_stalled(run: execution.Run, now: float) -> bool:
    """Returns whether a run makes no progress although it isn't throttled.

    Only reports count: the time since the last one shows nothing, as the worker
    may only be slow to report, or this process to read it. A long-running task
    may have nothing to do: it counts as stalled only if a task that has to use
    its CPU was stalled on the same worker, and all others there are idle.
    """
    if run.phase is not execution.Phase.RUNNING or run.idle_since is None:
        return False
    if run.load_at is None:
        return False
    if run.spec.gang or run.spec.is_filler or run.percent < 100:
        return False
    if run.spec.target_ms:
        return False
    if run.spec.long_running:
        stalled_at = run.worker.stalled_at
        if stalled_at is None or now - stalled_at > STALL_EVIDENCE_S:
            return False
        if _has_busy_run(run.worker):
            return False
    started = now - run.sent_at > STARTUP_S + STALLED_AFTER_S
    return started and run.load_at - run.idle_since > STALLED_AFTER_S


def _has_busy_run(worker: fleet.Worker) -> bool:
    """Returns whether any run on a worker uses its CPU."""
    return any(
        other.load and other.idle_since is None
        for other in worker.runs.values()
        if not other.spec.target_ms
    )


def may_be_missed(run: execution.Run) -> bool:
    """Returns whether a run may be stopped without need.

    At most `may_miss` tasks of the step, if it is set, are unavailable at once.
    """
    limit = run.spec.may_miss
    return not limit or run.task.step.count_unavailable() < limit


def should_evacuate(run: execution.Run) -> bool:
    """Returns whether a long-running task leaves a worker being evacuated."""
    if not run.spec.long_running or run.phase is not execution.Phase.RUNNING:
        return False
    return may_be_missed(run)


def should_stop_for_drain(
    run: execution.Run, worker: fleet.Worker, now: float
) -> bool:
    """Returns whether a run on a draining worker is stopped now.

    Long-running tasks are stopped as soon as they may be missed; those that are
    left and tasks with checkpoints are stopped shortly before the worker
    leaves. All others run until they end.
    """
    if run.phase is not execution.Phase.RUNNING:
        return False
    deadline = worker.drain_deadline
    if run.spec.long_running and (deadline is None or may_be_missed(run)):
        return True
    if not (run.spec.long_running or run.spec.checkpointing):
        return False
    return deadline is not None and now > deadline - CHECKPOINT_MARGIN_S
