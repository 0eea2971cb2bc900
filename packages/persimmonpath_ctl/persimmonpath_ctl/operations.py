"""Operations behind the commands; each returns the reply or its error."""

import base64
import binascii
from collections.abc import Callable
import time
from typing import Any
import urllib.parse

from returns import result

from persimmonpath import errors
from persimmonpath_ctl import client as client_module

CallResult = result.Result[client_module.Reply, errors.PeerError]

# Time for the reply to arrive after the timeout of the request has passed.
ANSWER_MARGIN_S = 5.0
# Cancelling thousands of jobs takes many batches of reads and commits.
CANCEL_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.5
MAX_EDIT_ATTEMPTS = 5
FINAL_STATES = frozenset({"done", "failed", "cancelled"})


def run_request(
    client: client_module.Client,
    payload: bytes,
    resources: dict[str, int],
    *,
    idempotent: bool = False,
    id: str = "",
    timeout_ms: int = 5000,
    **fields: Any,
) -> CallResult:
    """Runs a request and waits for its answer.

    The request gets an id first, so that it can be retried through another
    entry VM when a connection breaks and still runs only once. Without an id,
    `not_run` from the second entry VM would not tell whether the first one ran
    the request.

    Args:
        client: Client of the entry VMs.
        payload: Payload that is passed to the worker.
        resources: Declared size by resource name.
        idempotent: Whether running it twice is harmless.
        id: An id issued before; empty to request a new one.
        timeout_ms: Timeout of the request in milliseconds.
        **fields: Further fields of the request body.
    """
    is_new_id = not id
    if is_new_id:
        issued = issue_ids(client, 1)
        if isinstance(issued, result.Failure):
            # Nothing runs under an id that was issued but never used.
            failure = errors.PeerError(str(issued.failure()), False)
            return result.Failure(failure)
        if issued.unwrap().status != 200:
            return issued
        id = issued.unwrap().body["ids"][0]
    body = {
        "id": id,
        "idempotent": idempotent,
        "payload": base64.b64encode(payload).decode(),
        "resources": resources,
        "timeout_ms": timeout_ms,
        **fields,
    }
    reply = client.call(
        "POST",
        "/v1/requests",
        body,
        repeatable=True,
        timeout_s=timeout_ms / 1000 + ANSWER_MARGIN_S,
    )
    return _check_answer(reply, id, is_new_id)


def issue_ids(client: client_module.Client, count: int) -> CallResult:
    """Requests new request ids."""
    return client.call("POST", "/v1/ids", {"count": count}, repeatable=True)


def query_request(client: client_module.Client, request_id: str) -> CallResult:
    """Queries the outcome of a request."""
    path = f"/v1/requests/{_quote(request_id)}"
    return _check_answer(client.call("GET", path), request_id)


def cancel_request(client: client_module.Client, request_id: str) -> CallResult:
    """Prevents a request from starting, if it has not; returns its outcome."""
    path = f"/v1/requests/{_quote(request_id)}:cancel"
    return _check_answer(client.call("POST", path, repeatable=True), request_id)


def submit_job(
    client: client_module.Client,
    form: str,
    job_id: str,
    payload: bytes,
    resources: dict[str, int],
    **fields: Any,
) -> CallResult:
    """Submits a batch, service or gang job; repeating it has no effect."""
    body = {
        "form": form,
        "id": job_id,
        "payload": base64.b64encode(payload).decode(),
        "resources": resources,
        **fields,
    }
    return client.call("POST", "/v1/jobs", body, repeatable=True)


def show_job(client: client_module.Client, job_id: str) -> CallResult:
    """Fetches the state of a job."""
    return client.call("GET", f"/v1/jobs/{_quote(job_id)}")


def list_jobs(client: client_module.Client, **filters: Any) -> CallResult:
    """Lists jobs, filtered by the query fields of `GET /v1/jobs`."""
    query = {k: v for k, v in filters.items() if v not in (None, "")}
    return client.call("GET", f"/v1/jobs?{urllib.parse.urlencode(query)}")


def cancel_job(client: client_module.Client, job_id: str) -> CallResult:
    """Cancels a job."""
    path = f"/v1/jobs/{_quote(job_id)}"
    return client.call("DELETE", path, repeatable=True)


def cancel_jobs(client: client_module.Client, ids: list[str]) -> CallResult:
    """Cancels several jobs; the reply has the state or error of each."""
    return client.call(
        "POST",
        "/v1/jobs:cancel",
        {"ids": ids},
        repeatable=True,
        timeout_s=CANCEL_TIMEOUT_S,
    )


def wait_job(
    client: client_module.Client,
    job_id: str,
    timeout_s: float,
    report: Callable[[float, dict], None],
    sleep: Callable[[float], None] = time.sleep,
) -> CallResult:
    """Polls a job until it has ended.

    Args:
        client: Client of the entry VMs.
        job_id: Id of the job.
        timeout_s: Longest time to wait in seconds.
        report: Called after each poll with the seconds waited and the job.
        sleep: Sleeps for a number of seconds.

    Returns:
        The last reply; after a timeout the job in it has not ended.
    """
    waited_s = 0.0
    while True:
        reply = show_job(client, job_id)
        if isinstance(reply, result.Failure) or reply.unwrap().status == 503:
            has_ended = False
        else:
            body = reply.unwrap().body
            has_ended = (
                reply.unwrap().status != 200
                or body.get("state") in FINAL_STATES
            )
            report(waited_s, body)
        if has_ended or waited_s >= timeout_s:
            return reply
        sleep(POLL_INTERVAL_S)
        waited_s += POLL_INTERVAL_S


def show_config(client: client_module.Client) -> CallResult:
    """Fetches the configuration in force."""
    return client.call("GET", "/v1/config")


def commit_config(
    client: client_module.Client,
    based_on: int,
    inventory: dict,
    rules: dict,
) -> CallResult:
    """Commits a configuration that is based on a version."""
    body = {"based_on": based_on, "inventory": inventory, "rules": rules}
    return client.call("POST", "/v1/config", body)


def edit_config(
    client: client_module.Client,
    edit: Callable[[dict], None],
    based_on: int | None = None,
) -> CallResult:
    """Reads the configuration, edits it and commits the change.

    Args:
        client: Client of the entry VMs.
        edit: Changes the configuration in place; may raise `InputError`.
        based_on: Version that the change must be based on. Without one the
            edit is repeated, up to `MAX_EDIT_ATTEMPTS` times in all, when
            another operator has committed a version in between.
    """
    reply: CallResult
    for _ in range(MAX_EDIT_ATTEMPTS):
        reply = show_config(client)
        if isinstance(reply, result.Failure) or reply.unwrap().status != 200:
            return reply
        config = reply.unwrap().body
        edit(config)
        base = config["version"] if based_on is None else based_on
        reply = commit_config(
            client, base, config["inventory"], config["rules"]
        )
        is_conflict = (
            isinstance(reply, result.Success) and reply.unwrap().status == 409
        )
        if based_on is not None or not is_conflict:
            break
    return reply


def wait_accepted(
    client: client_module.Client,
    commit_reply: CallResult,
    timeout_s: float,
    sleep: Callable[[float], None] = time.sleep,
) -> CallResult:
    """Waits until a committed version is in force in every zone.

    Args:
        client: Client of the entry VMs.
        commit_reply: Reply of `commit_config`; returned unchanged unless it is
            pending.
        timeout_s: Longest time to wait in seconds.
        sleep: Sleeps for a number of seconds.

    Returns:
        The reply of the commit with the latest outcome, awaited zones and
        awaited VMs.
    """
    waited_s = 0.0
    while _is_pending(commit_reply) and waited_s < timeout_s:
        sleep(POLL_INTERVAL_S)
        waited_s += POLL_INTERVAL_S
        status = show_config_status(client)
        if isinstance(status, result.Success) and status.unwrap().status == 200:
            # A later version that is accepted covers this one.
            names = ("outcome", "awaited_zones", "awaited_vms")
            latest = {name: status.unwrap().body.get(name) for name in names}
            body = {**commit_reply.unwrap().body, **latest}
            commit_reply = result.Success(client_module.Reply(200, body))
    return commit_reply


def _is_pending(commit_reply: CallResult) -> bool:
    if isinstance(commit_reply, result.Failure):
        return False
    body = commit_reply.unwrap().body
    return (
        commit_reply.unwrap().status == 200 and body.get("outcome") == "pending"
    )


def show_history(client: client_module.Client, limit: int) -> CallResult:
    """Fetches the latest versions of the configuration."""
    return client.call("GET", f"/v1/config/history?limit={limit}")


def show_config_status(client: client_module.Client) -> CallResult:
    """Fetches the committed version and the zones that await it."""
    return client.call("GET", "/v1/config/status")


def show_zones(client: client_module.Client) -> CallResult:
    """Fetches the availability zones as observed by one entry VM."""
    return client.call("GET", "/v1/zones")


def show_vms(client: client_module.Client) -> CallResult:
    """Fetches the entry VMs as observed by one of them."""
    return client.call("GET", "/v1/vms")


def show_metrics(client: client_module.Client) -> CallResult:
    """Fetches the metrics of one entry VM as text."""
    return client.call("GET", "/metrics")


def decode_answer(body: dict) -> bytes:
    """Returns the answer bytes of a request that is done.

    Raises:
        ValueError: If the answer is not base64, or does not match its length
            and checksum.
    """
    try:
        answer = base64.b64decode(body.get("answer", ""), validate=True)
    except binascii.Error as error:
        raise ValueError("answer is not base64") from error
    if not client_module.is_answer_intact(
        answer, body.get("length", -1), body.get("checksum", "")
    ):
        raise ValueError("answer does not match its length and checksum")
    return answer


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def _check_answer(
    reply: CallResult, request_id: str, is_new_id: bool = False
) -> CallResult:
    """Replaces a failed call or an invalid answer with an outcome.

    Only a request whose id was issued for this call, and that was never sent,
    is certainly not run. An answer that is damaged or belongs to another
    request makes the outcome unknown.
    """
    if isinstance(reply, result.Failure):
        error = reply.failure()
        may_have_arrived = error.sent or not is_new_id
        outcome = "unknown" if may_have_arrived else "not_run"
        return _create_outcome_reply(request_id, outcome, str(error))
    body = reply.unwrap().body
    if reply.unwrap().status not in (200, 503) or "outcome" not in body:
        return reply
    if body.get("id") != request_id:
        return _create_outcome_reply(
            request_id, "unknown", "answer_for_another_request"
        )
    if body["outcome"] == "done":
        try:
            decode_answer(body)
        except ValueError:
            return _create_outcome_reply(
                request_id, "unknown", "answer_damaged"
            )
    return reply


def _create_outcome_reply(
    request_id: str, outcome: str, reason: str
) -> CallResult:
    body = {"id": request_id, "outcome": outcome, "reason": reason}
    return result.Success(client_module.Reply(503, body))
