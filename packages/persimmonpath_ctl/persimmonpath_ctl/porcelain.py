"""Plain functions behind each command."""

import base64
from typing import Any

from returns import result

from persimmonpath import errors
from persimmonpath_ctl import client as client_module

Outcome = result.Result[client_module.Reply, errors.PeerError]


def run_request(
    client: client_module.Client,
    payload: bytes,
    resources: dict[str, int],
    **fields: Any,
) -> Outcome:
    """Runs a request and waits for its answer.

    Args:
        client: Client of the entry VMs.
        payload: Body for the worker.
        resources: Declared size by resource name.
        **fields: Further fields of `POST /v1/requests`.
    """
    body = {
        "payload": base64.b64encode(payload).decode(),
        "resources": resources,
        **fields,
    }
    return client.call("POST", "/v1/requests", body)


def issue_ids(client: client_module.Client, count: int) -> Outcome:
    """Has request ids issued."""
    return client.call("POST", "/v1/ids", {"count": count})


def ask_request(client: client_module.Client, request_id: str) -> Outcome:
    """Asks what became of a request."""
    return client.call("GET", f"/v1/requests/{request_id}")


def submit_job(
    client: client_module.Client,
    form: str,
    job_id: str,
    payload: bytes,
    resources: dict[str, int],
    **fields: Any,
) -> Outcome:
    """Submits a batch, service or gang job."""
    body = {
        "form": form,
        "id": job_id,
        "payload": base64.b64encode(payload).decode(),
        "resources": resources,
        **fields,
    }
    return client.call("POST", "/v1/jobs", body)


def show_job(client: client_module.Client, job_id: str) -> Outcome:
    """Returns the state of a job."""
    return client.call("GET", f"/v1/jobs/{job_id}")


def cancel_job(client: client_module.Client, job_id: str) -> Outcome:
    """Cancels a job."""
    return client.call("DELETE", f"/v1/jobs/{job_id}")


def show_config(client: client_module.Client) -> Outcome:
    """Returns the configuration in force."""
    return client.call("GET", "/v1/config")


def commit_config(
    client: client_module.Client,
    based_on: int,
    inventory: dict,
    rules: dict,
) -> Outcome:
    """Commits a configuration."""
    body = {"based_on": based_on, "inventory": inventory, "rules": rules}
    return client.call("POST", "/v1/config", body)


def show_vms(client: client_module.Client) -> Outcome:
    """Returns the entry VMs as one of them sees them."""
    return client.call("GET", "/v1/vms")
