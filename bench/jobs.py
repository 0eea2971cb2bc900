"""Benchmarks of jobs in virtual time: commits, gangs, preemption, cancellation.

Each baseline is the same cell with one mechanism switched off.
"""

import random
import unittest.mock

from absl import logging

from bench import report
from persimmonpath import gangs
from persimmonpath import groupcommit
from persimmonpath import memoryworkers
from persimmonpath import preemption
from persimmonpath import work
from tests import jobcells

SEED = 20
START_RATE = 66  # Task starts per second at the two-year peak.
LOAD_S = 20
GANG_LIMIT_S = 120.0
URGENT_LIMIT_S = 60.0
CANCELLATIONS = 10_000
CANCELLATION_LIMIT_S = 60.0
FOREVER = memoryworkers.Plan(None, True)


def draw_plan(generator):
    """Returns a plan that runs for 1 to 3 s; 5% run ten times as long."""
    scale = 10.0 if generator.random() < 0.05 else 1.0
    return memoryworkers.Plan(scale * generator.uniform(1.0, 3.0), True)


def measure_commits(changes_per_commit):
    """Returns commits and task starts per second under peak load.

    Args:
        changes_per_commit: Largest number of changes that one commit groups;
            at most 2 measures the baseline.
    """
    generator = random.Random(SEED)
    with unittest.mock.patch.object(
        groupcommit, "MAX_GROUP_CHANGES", changes_per_commit
    ):
        cell = jobcells.JobCell(workers=40, slots=8)
        cell.plans["k"] = lambda start: draw_plan(generator)
        if changes_per_commit <= 2:
            # The baseline commits each change at once, without a commit period.
            for _ in range(10):
                cell.owner_timers.append(
                    cell.timers.subscribe(0.005, cell.store.flush)
                )
        before = cell.table.commits
        period_s = groupcommit.COMMIT_PERIOD_S
        if changes_per_commit <= 2:
            groupcommit.COMMIT_PERIOD_S = 0.0
        try:
            for number in range(START_RATE * LOAD_S):
                cell.submit(f"j{number}")
                cell.advance(1 / START_RATE, 1 / START_RATE)
        finally:
            groupcommit.COMMIT_PERIOD_S = period_s
    starts = cell.count_runs()
    return (cell.table.commits - before) / LOAD_S, starts / LOAD_S


def wait_for(cell, limit_s, is_met):
    """Returns the virtual seconds until a condition holds, or the limit."""
    started = cell.timers.now()
    while not is_met() and cell.timers.now() - started < limit_s:
        cell.advance(0.05)
    return cell.timers.now() - started


def count_running(cell, job_id):
    """Returns the number of running tasks of a job."""
    return sum(a.startswith(f"{job_id}/") for a in cell.list_running())


def measure_gang(drain_delay_s, reserves):
    """Returns the seconds that a gang waits in a cell full of small jobs.

    The gang needs half of the slots of the cell.

    Args:
        drain_delay_s: Wait of a gang before capacity is reserved for it.
        reserves: Whether capacity is reserved for waiting gangs at all.
    """
    generator = random.Random(SEED)

    def accumulate(self, entry, hold_s):
        return reserves and original(self, entry, hold_s)

    original = gangs.GangReservations.accumulate
    with (
        unittest.mock.patch.object(gangs, "DRAIN_DELAY_S", drain_delay_s),
        unittest.mock.patch.object(
            gangs.GangReservations, "accumulate", accumulate
        ),
    ):
        cell = jobcells.JobCell(workers=4, slots=8)
        cell.plans["k"] = lambda start: draw_plan(generator)
        cell.plans["gang"] = FOREVER
        numbers = iter(range(1_000_000))

        def submit_small():
            # Keeps more small jobs waiting than the cell can run.
            if cell.runner.count_unfinished() < 60:
                cell.submit(f"s{next(numbers)}", tasks=2)

        cell.owner_timers.append(cell.timers.subscribe(0.05, submit_small))
        cell.advance(10)
        cell.submit("g", 16, work.GangJob, kind="gang")
        return wait_for(
            cell, GANG_LIMIT_S, lambda: count_running(cell, "g") == 16
        )


def measure_urgent(preempts):
    """Returns the seconds that an urgent job waits in a full cell.

    Args:
        preempts: Whether running tasks may be preempted.
    """

    def choose_or_skip(*arguments):
        return original(*arguments) if preempts else []

    original = preemption.choose_victims
    with unittest.mock.patch.object(
        preemption, "choose_victims", choose_or_skip
    ):
        cell = jobcells.JobCell(workers=8, slots=8)
        cell.plans["k"] = FOREVER
        cell.submit("full", 64)
        cell.advance(5)
        cell.submit("u", 8, kind="u", priority=work.Priority.URGENT)
        return wait_for(
            cell, URGENT_LIMIT_S, lambda: count_running(cell, "u") == 8
        )


def measure_cancellations(count, is_bulk):
    """Measures a short job that is submitted after many cancellations.

    Args:
        count: Number of jobs that are cancelled.
        is_bulk: Whether the cancellations are marked as bulk work.

    Returns:
        Virtual seconds until the short job starts, and until all cancelled
        jobs have ended.
    """
    cell = jobcells.JobCell(workers=8, slots=8)
    cell.plans["k"] = FOREVER
    cell.plans["short"] = memoryworkers.Plan(0.1, True)
    for number in range(count):
        cell.submit(f"c{number}")
    cell.advance(15)
    for number in range(count):
        cell.cancel(f"c{number}", is_bulk)
    cell.submit("other", kind="short", priority=work.Priority.NORMAL)
    waited_s = wait_for(
        cell, CANCELLATION_LIMIT_S, lambda: cell.count_runs("other") == 1
    )
    total_s = waited_s + wait_for(
        cell, CANCELLATION_LIMIT_S, lambda: cell.runner.count_unfinished() <= 1
    )
    return waited_s, total_s


def measure():
    """Prints every figure."""
    logging.set_verbosity(logging.FATAL)
    grouped_commits, starts = measure_commits(groupcommit.MAX_GROUP_CHANGES)
    single_commits, _ = measure_commits(2)
    report.print_figure("job_task_starts", starts, "starts/s")
    report.print_figure(
        "job_commits", grouped_commits, "commits/s", single_commits
    )
    report.print_figure(
        "gang_wait_under_small_work",
        measure_gang(gangs.DRAIN_DELAY_S, True),
        "s",
        measure_gang(1e9, False),
    )
    report.print_figure(
        "urgent_wait_in_full_cell",
        measure_urgent(True),
        "s",
        measure_urgent(False),
    )
    unloaded_s, _ = measure_cancellations(0, True)
    waited_s, total_s = measure_cancellations(CANCELLATIONS, True)
    unbatched_s, _ = measure_cancellations(CANCELLATIONS, False)
    report.print_figure("start_wait_without_cancellations", unloaded_s, "s")
    report.print_figure(
        "start_wait_during_10000_cancellations", waited_s, "s", unbatched_s
    )
    report.print_figure("time_to_end_10000_cancelled_jobs", total_s, "s")


if __name__ == "__main__":
    measure()
