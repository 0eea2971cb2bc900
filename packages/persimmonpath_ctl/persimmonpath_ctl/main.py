"""The command `persimmonctl`."""

import json
import pathlib
import sys
from typing import Annotated

import cyclopts
from returns import result

from persimmonpath import errors
from persimmonpath import inventory as inventory_module
from persimmonpath_ctl import client as client_module
from persimmonpath_ctl import porcelain

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_CONFLICT = 5

_OUTCOME_EXITS = {
    "done": 0,
    "failed": EXIT_FAILED,
    "not_run": EXIT_NOT_RUN,
    "unknown": EXIT_UNKNOWN,
}
_STATUS_EXITS = {
    400: EXIT_BAD_INPUT,
    404: EXIT_BAD_INPUT,
    409: EXIT_CONFLICT,
    413: EXIT_BAD_INPUT,
}

app = cyclopts.App(name="persimmonctl", help="Work with a persimmonpath cell.")
job_app = cyclopts.App(name="job", help="Batch, service and gang jobs.")
inventory_app = cyclopts.App(name="inventory", help="VMs, racks and zones.")
app.command(job_app)
app.command(inventory_app)

Entry = Annotated[
    str,
    cyclopts.Parameter(
        env_var="PERSIMMON_ENTRY", help="IP:port of entry VMs, by commas."
    ),
]
DEFAULT_ENTRY = "127.0.0.1:8080"


def _connect(entry: str) -> client_module.Client:
    return client_module.create_client(entry.split(","))


def _finish(reply: porcelain.Outcome) -> None:
    """Prints an answer and exits with the code that tells its outcome."""
    if isinstance(reply, result.Failure):
        error = reply.failure()
        print(f"persimmonctl: {error}", file=sys.stderr)
        sys.exit(EXIT_UNKNOWN if error.sent else EXIT_NOT_RUN)
    answer = reply.unwrap()
    print(json.dumps(answer.body, indent=2))
    sys.exit(_choose_exit(answer))


def _choose_exit(answer: client_module.Reply) -> int:
    outcome = None
    if isinstance(answer.body, dict):
        outcome = answer.body.get("outcome")
    if outcome is not None:
        return _OUTCOME_EXITS[outcome]
    if answer.status < 400:
        return 0
    return _STATUS_EXITS.get(answer.status, EXIT_NOT_RUN)


@app.command
def submit(
    payload: str = "",
    *,
    kind: str = "default",
    cpu_millis: int = 100,
    memory_mib: int = 64,
    accelerators: int = 0,
    timeout_ms: int = 5000,
    idempotent: bool = False,
    id: str = "",
    entry: Entry = DEFAULT_ENTRY,
) -> None:
    """Run a request and wait for its answer."""
    size = {
        "cpu_millis": cpu_millis,
        "memory_mib": memory_mib,
        "accelerators": accelerators,
    }
    _finish(
        porcelain.run_request(
            _connect(entry),
            payload.encode(),
            size,
            kind=kind,
            timeout_ms=timeout_ms,
            idempotent=idempotent,
            id=id,
        )
    )


@app.command
def status(id: str, *, entry: Entry = DEFAULT_ENTRY) -> None:
    """Ask what became of a request."""
    _finish(porcelain.ask_request(_connect(entry), id))


@app.command
def vms(*, entry: Entry = DEFAULT_ENTRY) -> None:
    """Show the entry VMs as one of them sees them."""
    _finish(porcelain.show_vms(_connect(entry)))


@job_app.command(name="submit")
def job_submit(
    form: str,
    id: str,
    payload: str = "",
    *,
    tasks: int = 1,
    kind: str = "default",
    cpu_millis: int = 100,
    memory_mib: int = 64,
    accelerators: int = 0,
    entry: Entry = DEFAULT_ENTRY,
) -> None:
    """Submit a batch, service or gang job."""
    size = {
        "cpu_millis": cpu_millis,
        "memory_mib": memory_mib,
        "accelerators": accelerators,
    }
    _finish(
        porcelain.submit_job(
            _connect(entry),
            form,
            id,
            payload.encode(),
            size,
            tasks=tasks,
            kind=kind,
        )
    )


@job_app.command(name="show")
def job_show(id: str, *, entry: Entry = DEFAULT_ENTRY) -> None:
    """Show the state of a job."""
    _finish(porcelain.show_job(_connect(entry), id))


@job_app.command(name="cancel")
def job_cancel(id: str, *, entry: Entry = DEFAULT_ENTRY) -> None:
    """Cancel a job."""
    _finish(porcelain.cancel_job(_connect(entry), id))


@inventory_app.command(name="import")
def inventory_import(
    file: pathlib.Path, *, entry: Entry = DEFAULT_ENTRY
) -> None:
    """Replace the inventory by an asset register in TOML or CSV."""
    text = file.read_text(encoding="utf-8")
    try:
        if file.suffix == ".csv":
            parsed = inventory_module.parse_csv(text)
        else:
            parsed = inventory_module.parse_toml(text)
    except errors.InputError as error:
        print(f"persimmonctl: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    client = _connect(entry)
    current = porcelain.show_config(client)
    if isinstance(current, result.Failure):
        _finish(current)
    config = current.unwrap().body
    _finish(
        porcelain.commit_config(
            client,
            config["version"],
            json.loads(parsed.model_dump_json()),
            config["rules"],
        )
    )


@inventory_app.command(name="show")
def inventory_show(*, entry: Entry = DEFAULT_ENTRY) -> None:
    """Show the inventory in force."""
    _finish(porcelain.show_config(_connect(entry)))


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
