"""Which workers are asked before a caller is told that its work goes on.

Answers callers that ask right after the last task has ended: the owner learns
of an end up to a tenth of a second later, and a caller that is told `running`
comes again only after a pause.
"""

from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet

# Beyond this number of workers the end is too far off for a look to be of use.
MAX_QUERIED_WORKERS = 8


def choose_workers_to_query(
    submission: execution.Submission,
) -> list[fleet.Worker]:
    """Returns the workers whose answers may show that a submission is done.

    The list is empty if work is left that hasn't been started, if a task lasts,
    or if too many workers would have to be asked.
    """
    occurrence_count = max(1, submission.record.occurrences)
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
                # One member's end stands for all.
                break
        if len(queried) > MAX_QUERIED_WORKERS:
            return []
    return list(queried.values())
