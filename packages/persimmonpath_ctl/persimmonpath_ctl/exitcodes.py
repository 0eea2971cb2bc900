"""Exit codes of `persimmonctl`; docs/OPERATIONS.md lists them."""

from returns import result

from persimmonpath import errors
from persimmonpath_ctl import client as client_module

DONE = 0
FAILED = 1
BAD_INPUT = 2
NOT_RUN = 3
UNKNOWN = 4
CONFLICT = 5
UNFINISHED = 6

_OUTCOME_CODES = {
    "done": DONE,
    "failed": FAILED,
    "not_run": NOT_RUN,
    "unknown": UNKNOWN,
    "accepted": DONE,
    "pending": UNFINISHED,
    "conflict": CONFLICT,
}
_STATUS_CODES = {
    409: CONFLICT,
    500: UNKNOWN,
}


def choose_exit_code(
    reply: "result.Result[client_module.Reply, errors.PeerError]",
) -> int:
    """Returns the exit code for the result of a call.

    A call that failed before it was sent is `NOT_RUN`, any other failed call
    is `UNKNOWN`. A reply with an outcome gets the code of the outcome, another
    one the code of its HTTP status.
    """
    if isinstance(reply, result.Failure):
        return UNKNOWN if reply.failure().sent else NOT_RUN
    answer = reply.unwrap()
    outcome = None
    if isinstance(answer.body, dict):
        outcome = answer.body.get("outcome")
    if answer.status < 400 or answer.status == 503:
        if outcome in _OUTCOME_CODES:
            return _OUTCOME_CODES[outcome]
        return DONE if answer.status < 400 else NOT_RUN
    return _STATUS_CODES.get(answer.status, BAD_INPUT)
