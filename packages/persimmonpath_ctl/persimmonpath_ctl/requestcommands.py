"""Commands that run, query and cancel requests."""

import dataclasses
import pathlib

import cyclopts

from persimmonpath_ctl import invocation
from persimmonpath_ctl import operations
from persimmonpath_ctl import output


def register(app: cyclopts.App) -> None:
    """Adds the commands of this module to an application."""
    for command in (submit, status, cancel):
        app.command(command)


def submit(
    payload: str = "",
    *,
    payload_file: pathlib.Path | None = None,
    kind: str = "default",
    team: str = "default",
    size: invocation.Size = invocation.SIZE,
    timeout_ms: int = 5000,
    run_ms: int = 0,
    idempotent: bool = False,
    id: str = "",
    common: invocation.CommonOptions = invocation.COMMON,
) -> None:
    """Run a request and wait for its answer.

    Args:
        payload: Payload that is passed to the worker.
        payload_file: File that contains the payload instead.
        kind: Name of the kind of work.
        team: Team whose quota is charged.
        size: Declared size of the request.
        timeout_ms: Timeout of the request in milliseconds.
        run_ms: Declared run time in milliseconds; 0 if unknown.
        idempotent: Running the request twice is harmless.
        id: An id issued earlier; the request runs at most once under it.
        common: Options of every command.
    """
    reply = operations.run_request(
        common.connect(),
        invocation.read_payload(payload, payload_file),
        dataclasses.asdict(size),
        kind=kind,
        team=team,
        timeout_ms=timeout_ms,
        run_ms=run_ms,
        idempotent=idempotent,
        id=id,
    )
    invocation.print_and_exit(reply, common, output.print_answer)


def status(
    id: str, *, common: invocation.CommonOptions = invocation.COMMON
) -> None:
    """Show the outcome of a request."""
    reply = operations.query_request(common.connect(), id)
    invocation.print_and_exit(reply, common, output.print_answer)


def cancel(
    id: str, *, common: invocation.CommonOptions = invocation.COMMON
) -> None:
    """Prevent a request from starting and show its outcome.

    `not_run` means that it never ran and never will. A request that is already
    running is not stopped.
    """
    reply = operations.cancel_request(common.connect(), id)
    invocation.print_and_exit(reply, common, output.print_answer)
