"""Which workers are queried before a submission is reported as running.

Covers a caller that asks for the status just after the last task has ended. The
owner learns of a run end up to 0.1 s later, and a caller that is told `running`
polls again only after a pause.
"""

from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet

# Most workers to query. With more of them the submission is unlikely to be
# about to end.
MAX_QUERIED_WORKERS = 8


def choose_workers_to_query(
    submission: execution.Submission,
) -> list[fleet.Worker]:
    """Returns the workers that may report the last run ends of a submission.

    The list is empty if a task has no run yet, if an unfinished step is
    long-running, or if more than MAX_QUERIED_WORKERS would have to be queried.
    """
    finished_count = submission.progress.finished.bit_count()
    occurrence_count = max(1, submission.record.occurrences) - finished_count
    if len(submission.steps) < occurrence_count * len(submission.record.steps):
        return []
    queried: dict[str, fleet.Worker] = {}
    for step in submission.steps.values():
        if step.is_done:
            continue
        if step.spec.long_running:
            return []
        for task in step.tasks:
            if task.is_done:
                continue
            if not task.runs:
                return []
            for run in task.runs:
                queried[run.worker.id] = run.worker
            if step.spec.gang:
                # A gang is done as soon as one of its members is.
                break
        if len(queried) > MAX_QUERIED_WORKERS:
            return []
    return list(queried.values())
