"""Helpers shared by all commands: options, input, output and exit code."""

from collections.abc import Callable
import dataclasses
import pathlib
import sys
from typing import Annotated
from typing import Any

import cyclopts
from returns import result

from persimmonpath import errors
from persimmonpath_ctl import client as client_module
from persimmonpath_ctl import exitcodes
from persimmonpath_ctl import operations
from persimmonpath_ctl import output

# A change is designed to be in force in every zone within 4 s.
DEFAULT_ACCEPT_WAIT_S = 10.0
DEFAULT_ENTRY = "127.0.0.1:8080"
Printer = Callable[[Any], None]


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class CommonOptions:
    """Options that every command has.

    Attributes:
        entry: Comma-separated IP:port of entry VMs, tried in this order.
        json: Print JSON instead of a table.
    """

    entry: Annotated[str, cyclopts.Parameter(env_var="PERSIMMON_ENTRY")] = (
        DEFAULT_ENTRY
    )
    json: Annotated[bool, cyclopts.Parameter(negative=())] = False

    def connect(self) -> client_module.Client:
        """Returns a client of the entry VMs in the options."""
        addresses = [part.strip() for part in self.entry.split(",")]
        return client_module.create_client([a for a in addresses if a])


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class Size:
    """Declared size of a request or of one task.

    Attributes:
        cpu_millis: CPU in thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = 100
    memory_mib: int = 64
    accelerators: int = 0


COMMON = CommonOptions()
SIZE = Size()


def print_and_exit(
    reply: operations.CallResult, common: CommonOptions, show: Printer
) -> None:
    """Prints the result of a call and exits with its exit code.

    Args:
        reply: The reply, or the error of the call.
        common: Options of the command.
        show: Prints the body as text for people.
    """
    code = exitcodes.choose_exit_code(reply)
    if isinstance(reply, result.Failure):
        error = reply.failure()
        outcome = "unknown" if error.sent else "not_run"
        if common.json:
            output.print_json({"outcome": outcome, "reason": str(error)})
        else:
            output.print_error(f"{error} ({outcome})")
        sys.exit(code)
    body = reply.unwrap().body
    if common.json:
        output.print_json(body)
    elif isinstance(body, dict) and "error" in body:
        output.print_error(describe_error(body))
    else:
        show(body)
    sys.exit(code)


def commit_and_exit(
    edit: Callable[[dict], None],
    based_on: int | None,
    wait_s: float,
    common: CommonOptions,
) -> None:
    """Commits an edited configuration, waits until it is in force and exits.

    Args:
        edit: Changes the configuration in place; may raise `InputError`.
        based_on: Version that the change must be based on; None for the version
            in force.
        wait_s: Longest time to wait for every zone, in seconds.
        common: Options of the command.
    """
    client = common.connect()
    try:
        reply = operations.edit_config(client, edit, based_on)
    except errors.InputError as error:
        exit_with_input_error(error)
        raise
    reply = operations.wait_accepted(client, reply, wait_s)
    print_and_exit(reply, common, output.print_commit)


def describe_error(body: dict) -> str:
    """Returns a one-line message for the JSON error of an entry VM."""
    parts = [str(body["error"])]
    if body.get("field"):
        parts.append(f"{body['field']}: {body.get('message', '')}")
    elif body.get("message"):
        parts.append(str(body["message"]))
    if body.get("allowed"):
        parts.append(f"allowed: {body['allowed']}")
    return "; ".join(parts)


def exit_with_input_error(error: errors.InputError) -> None:
    """Prints an input error and exits with `exitcodes.BAD_INPUT`."""
    allowed = f" (allowed: {error.allowed})" if error.allowed else ""
    output.print_error(f"{error}{allowed}")
    sys.exit(exitcodes.BAD_INPUT)


def read_payload(text: str, file: pathlib.Path | None) -> bytes:
    """Returns the payload from a file, or from an argument without one.

    Exits with `exitcodes.BAD_INPUT` if the file cannot be read.
    """
    if file is None:
        return text.encode()
    try:
        return file.read_bytes()
    except OSError as error:
        exit_with_input_error(errors.InputError("payload-file", str(error)))
        raise


def read_text(file: pathlib.Path) -> str:
    """Returns the content of a UTF-8 text file.

    Exits with `exitcodes.BAD_INPUT` if the file cannot be read.
    """
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        exit_with_input_error(errors.InputError("file", str(error)))
        raise
