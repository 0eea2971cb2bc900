"""Commands for batch, service and gang jobs."""

import dataclasses
import pathlib
import sys
from typing import Literal

import cyclopts
from returns import result

from persimmonpath_ctl import exitcodes
from persimmonpath_ctl import invocation
from persimmonpath_ctl import operations
from persimmonpath_ctl import output

REPORT_INTERVAL_S = 5.0

app = cyclopts.App(name="job", help="Batch, service and gang jobs.")

_STATE_CODES = {
    "done": exitcodes.DONE,
    "failed": exitcodes.FAILED,
    "cancelled": exitcodes.FAILED,
}


@app.command
def submit(
    form: Literal["batch", "service", "gang"],
    id: str,
    payload: str = "",
    *,
    payload_file: pathlib.Path | None = None,
    tasks: int = 1,
    kind: str = "default",
    team: str = "default",
    size: invocation.Size = invocation.SIZE,
    priority: Literal["batch", "normal", "service", "urgent"] | None = None,
    run_ms: int = 0,
    max_attempts: int = 3,
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """Submit a job; submitting the same job again has no effect.

    Args:
        form: How the tasks run: independently (batch), restarted whenever they
            end (service), or all at the same time (gang).
        id: Unique name of the job, chosen by the caller.
        payload: Payload that is passed to the worker.
        payload_file: File that contains the payload instead.
        tasks: Number of tasks.
        kind: Name of the kind of work.
        team: Team whose quota is charged.
        size: Declared size of one task.
        priority: Priority; by default that of the job form.
        run_ms: Declared run time of a task in milliseconds; 0 if unknown.
        max_attempts: Attempts before a task that reports failures is given up.
        common: Options of every command.
    """
    fields = {} if priority is None else {"priority": priority}
    reply = operations.submit_job(
        common.connect(),
        form,
        id,
        invocation.read_payload(payload, payload_file),
        dataclasses.asdict(size),
        tasks=tasks,
        kind=kind,
        team=team,
        run_ms=run_ms,
        max_attempts=max_attempts,
        **fields,
    )
    invocation.print_and_exit(reply, common, output.print_job)


@app.command
def show(
    id: str, *, common: invocation.CommonOptions = invocation.COMMON
) -> None:
    """Show the state of a job and its tasks."""
    reply = operations.show_job(common.connect(), id)
    invocation.print_and_exit(reply, common, output.print_job)


@app.command(name="list")
def list_jobs(
    *,
    team: str = "",
    state: str = "",
    after: str = "",
    limit: int = 100,
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """List the jobs that have not ended, in the order of their ids.

    Args:
        team: Only jobs of this team.
        state: Only jobs in this state.
        after: Only jobs with a greater id; the last id of a list continues it.
        limit: Maximum number of jobs to list.
        common: Options of every command.
    """
    reply = operations.list_jobs(
        common.connect(), team=team, state=state, after=after, limit=limit
    )
    invocation.print_and_exit(reply, common, output.print_jobs)


@app.command
def cancel(
    ids: list[str], *, common: invocation.CommonOptions = invocation.COMMON
) -> None:
    """Cancel one or more jobs."""
    client = common.connect()
    if len(ids) == 1:
        reply = operations.cancel_job(client, ids[0])
        invocation.print_and_exit(reply, common, output.print_job)
    reply = operations.cancel_jobs(client, ids)
    invocation.print_and_exit(reply, common, output.print_cancellations)


@app.command
def wait(
    id: str,
    *,
    timeout_s: float = 3600.0,
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """Wait until a job has ended.

    Args:
        id: Id of the job.
        timeout_s: Longest time to wait in seconds.
        common: Options of every command.
    """
    reporter = ProgressReporter(id)
    reply = operations.wait_job(
        common.connect(), id, timeout_s, reporter.report
    )
    if isinstance(reply, result.Failure) or reply.unwrap().status != 200:
        invocation.print_and_exit(reply, common, output.print_job)
    body = reply.unwrap().body
    if common.json:
        output.print_json(body)
    else:
        output.print_job(body)
    sys.exit(_STATE_CODES.get(body["state"], exitcodes.UNFINISHED))


class ProgressReporter:
    """Prints the progress of a job to standard error during a long wait."""

    def __init__(self, job_id: str):
        """Creates a reporter for one job."""
        self._job_id = job_id
        self._next_report_s = REPORT_INTERVAL_S

    def report(self, waited_s: float, body: dict) -> None:
        """Prints a line at most once every `REPORT_INTERVAL_S` seconds.

        Args:
            waited_s: Time waited so far in seconds.
            body: JSON form of the job.
        """
        if waited_s < self._next_report_s:
            return
        self._next_report_s = waited_s + REPORT_INTERVAL_S
        tasks = body.get("tasks", [])
        ended = sum(task["state"] != "waiting" for task in tasks)
        print(
            f"waiting for {self._job_id}: {waited_s:.0f} s, "
            f"{body.get('state', 'unknown')}, {ended}/{len(tasks)} tasks ended",
            file=sys.stderr,
            flush=True,
        )
