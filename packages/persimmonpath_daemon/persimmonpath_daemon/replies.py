"""Replies and error replies of the HTTP interface."""

from collections.abc import Callable
import dataclasses
import re
from typing import Any
from typing import TypeVar

import pydantic

from persimmonpath import errors
from persimmonpath import jobs
from persimmonpath import outcomes
from persimmonpath import router as router_module
from persimmonpath import spans
from persimmonpath import validation
from persimmonpath_daemon import bodies

JSON = "application/json"
TEXT = "text/plain; charset=utf-8"

# Most values in a body: many small ones occupy far more than its bytes once
# they are parsed. An inventory of the largest size has fewer.
MAX_VALUES = 200_000
# Most faults of a body that are described one by one.
MAX_FAULTS = 1000
_VALUE_STARTS = (b",", b"[", b"{")

OUTCOME_STATUS = {"done": 200, "failed": 200, "not_run": 503, "unknown": 503}

Model = TypeVar("Model", bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call as it was received.

    Attributes:
        method: HTTP method.
        path: Percent-decoded path.
        query: Fields of the query string.
        body: The complete body.
        parent: Trace context of the caller; None without one.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    parent: spans.Context | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply to an HTTP call.

    Attributes:
        status: HTTP status.
        body: Value that is sent as JSON, or text of another content type.
        content_type: Content type of the body.
    """

    status: int
    body: Any
    content_type: str = JSON


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Handler of one method of a path.

    Attributes:
        name: Name of the route in metrics.
        method: HTTP method.
        pattern: Matches the complete path.
        handle: Handles a call; gets the call and the groups of the pattern.
    """

    name: str
    method: str
    pattern: re.Pattern
    handle: Callable[..., Reply]


class CallError(Exception):
    """A call that is rejected without changing anything.

    Attributes:
        code: Machine-readable error code.
        field: Field that is wrong.
        reply: Error reply to the caller.
    """

    def __init__(
        self,
        status: int,
        code: str,
        field: str = "",
        message: str = "",
        allowed: str = "",
        **extra: Any,
    ):
        """Creates the error and its reply.

        Args:
            status: HTTP status.
            code: Machine-readable error code.
            field: Field that is wrong.
            message: Description of the error for people.
            allowed: Allowed range or format.
            **extra: Further fields of the body.
        """
        super().__init__(code)
        self.code = code
        self.field = field
        body = {
            "error": code,
            "field": field,
            "message": message,
            "allowed": allowed,
            **extra,
        }
        self.reply = Reply(status, body)


def parse_body(model: type[Model], body: bytes) -> Model:
    """Parses and validates a JSON body.

    Raises:
        CallError: If it is not valid. It describes the first fault and, if
            there are several, lists them.
    """
    if sum(map(body.count, _VALUE_STARTS)) > MAX_VALUES:
        raise CallError(
            413,
            "too_large",
            "body",
            "too many values",
            f"at most {MAX_VALUES} values",
        )
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise convert_validation_error(error, model) from error


def convert_validation_error(
    error: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> CallError:
    """Returns the error reply for a body that is not valid."""
    count = error.error_count()
    if count > MAX_FAULTS:
        return CallError(400, "bad_form", "body", f"{count} faults")
    faults = validation.list_field_errors(error, model)
    first = faults[0]
    extra = {}
    if len(faults) > 1:
        extra["faults"] = [dataclasses.asdict(fault) for fault in faults]
    return CallError(
        400, first.code, first.field, first.message, first.allowed, **extra
    )


def convert_input_error(error: errors.InputError) -> CallError:
    """Returns the error reply for a value that the library rejects."""
    return CallError(
        400,
        f"bad_{error.field}",
        error.field,
        get_message(error),
        error.allowed,
    )


def get_message(error: errors.InputError) -> str:
    """Returns the message of an error without the leading field name."""
    return str(error).removeprefix(f"{error.field}: ")


def describe_answer(answer: router_module.Answer) -> Reply:
    """Returns the reply for the outcome of a request."""
    outcome = answer.outcome
    name = outcomes.get_outcome_name(outcome)
    content = outcome.answer if isinstance(outcome, outcomes.Done) else b""
    body = {
        "id": answer.id,
        "outcome": name,
        "length": len(content),
        "checksum": outcomes.compute_checksum(content),
    }
    if isinstance(outcome, outcomes.Done):
        body["answer"] = bodies.encode_bytes(content)
    else:
        body["reason"] = outcome.reason
    worker = getattr(outcome, "worker", "")
    if worker:
        body["worker"] = worker
    return Reply(OUTCOME_STATUS[name], body)


def describe_job(record: jobs.JobRecord) -> dict:
    """Returns the JSON form of a job."""
    return {
        "id": record.job["id"],
        "form": record.form,
        "kind": record.job["kind"],
        "team": record.job["team"],
        "state": record.state.value,
        "shard": record.shard,
        "reason": record.reason,
        "tasks": [
            {
                "state": task.state.value,
                "attempts": task.attempts,
                "reason": task.reason,
            }
            for task in record.tasks
        ],
    }


def describe_table_error(error: errors.TableError, **fields: Any) -> Reply:
    """Returns the reply for a failed table call.

    Its outcome is `not_run` if certainly nothing was written, else `unknown`.

    Args:
        error: Error of the table call.
        **fields: Further fields of the body.
    """
    if isinstance(error, errors.TableConflictError):
        body = {"outcome": "not_run", "reason": "changed_meanwhile"}
        return Reply(409, {"error": "conflict", **body, **fields})
    if isinstance(error, errors.TableUnavailableError):
        body = {"outcome": "not_run", "reason": "platform_unavailable"}
        return Reply(503, {**body, **fields})
    body = {"outcome": "unknown", "reason": "platform_uncertain"}
    return Reply(503, {**body, **fields})


def read_limit(call: Call, default: int, max_limit: int) -> int:
    """Parses the query field `limit`.

    Args:
        call: The call.
        default: Value of a missing field.
        max_limit: Largest allowed value.

    Raises:
        CallError: If it is not a whole number from 1 to `max_limit`.
    """
    text = call.query.get("limit", str(default))
    if not text.isdecimal() or not 1 <= int(text[:9]) <= max_limit:
        raise CallError(
            400,
            "out_of_range",
            "limit",
            f"limit is {text[:40]!r}",
            f"whole number from 1 to {max_limit}",
        )
    return int(text)
