"""The interface for callers and operators over HTTP."""

from collections.abc import Callable
import dataclasses
import json
import re
from typing import Any
import uuid

from absl import logging
from cheroot import wsgi
import pydantic
from returns import result

from persimmonpath import acceptance
from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import intake
from persimmonpath import jobs
from persimmonpath import outcomes
from persimmonpath import router as router_module
from persimmonpath import wire
from persimmonpath_daemon import bodies

MAX_BODY_BYTES = 4 << 20
# Calls between entry VMs carry deadlines; this only bounds their sum.
WAIT_LIMIT_S = 10.0
LISTEN_BACKLOG = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status, JSON body."""

    status: int
    body: Any


_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    413: "413 Content Too Large",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}
_OUTCOME_STATUS = {"done": 200, "failed": 200, "not_run": 503, "unknown": 503}


def describe_answer(answer: router_module.Answer) -> Reply:
    """Returns the reply that tells an outcome."""
    outcome = answer.outcome
    name = outcomes.name_outcome(outcome)
    body = {"id": answer.id, "outcome": name}
    if isinstance(outcome, outcomes.Done):
        body["answer"] = bodies.encode_bytes(outcome.answer)
        body["length"] = len(outcome.answer)
        body["checksum"] = outcomes.compute_checksum(outcome.answer)
    else:
        body["reason"] = outcome.reason
    worker = getattr(outcome, "worker", "")
    if worker:
        body["worker"] = worker
    return Reply(_OUTCOME_STATUS[name], body)


def describe_job(record: jobs.JobRecord) -> dict:
    """Returns the JSON form of a job."""
    return {
        "id": record.job["id"],
        "form": record.form,
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


def describe_status(status: acceptance.Status) -> Reply:
    """Returns the reply that tells the status of a configuration."""
    match status:
        case acceptance.Accepted(version):
            return Reply(200, {"version": version, "state": "accepted"})
        case acceptance.Pending(version, zones, vms):
            body = {
                "version": version,
                "state": "pending",
                "zones": zones,
                "vms": vms,
            }
            return Reply(200, body)
    return Reply(
        409,
        {
            "error": "conflict",
            "version": status.version,
            "author": status.author,
            "message": f"version {status.version} of {status.author} won",
        },
    )


class Application:
    """WSGI application of an entry VM."""

    def __init__(
        self, entry: entry_module.EntryVm, router: router_module.Router
    ):
        """Creates the application of an entry VM."""
        self._entry = entry
        self._router = router
        self._intake = intake.JobIntake(entry)
        self._routes: list[tuple[str, re.Pattern, Callable[..., Reply]]] = [
            ("POST", re.compile(r"/v1/ids"), self._issue_ids),
            ("POST", re.compile(r"/v1/requests"), self._run),
            ("GET", re.compile(r"/v1/requests/([^/]+)"), self._ask),
            ("POST", re.compile(r"/v1/jobs"), self._submit_job),
            ("GET", re.compile(r"/v1/jobs/([^/]+)"), self._show_job),
            ("DELETE", re.compile(r"/v1/jobs/([^/]+)"), self._cancel_job),
            ("GET", re.compile(r"/v1/config"), self._show_config),
            ("POST", re.compile(r"/v1/config"), self._commit_config),
            (
                "GET",
                re.compile(r"/v1/config/status"),
                self._show_config_status,
            ),
            ("GET", re.compile(r"/v1/vms"), self._show_vms),
            ("GET", re.compile(r"/healthz"), self._check_health),
            ("GET", re.compile(r"/readyz"), self._check_ready),
        ]

    def __call__(self, environ, start_response):
        """Answers one call."""
        reply = self._answer(environ)
        body = json.dumps(reply.body).encode()
        start_response(
            _STATUS_LINES[reply.status],
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _answer(self, environ) -> Reply:
        try:
            body = _read_body(environ)
            return self._dispatch(environ, body)
        except errors.InputError as error:
            return Reply(400, _describe_input_error(error))
        except pydantic.ValidationError as error:
            fault = error.errors(include_url=False)[0]
            field = ".".join(str(part) for part in fault["loc"]) or "body"
            return Reply(
                400,
                {"error": "bad_input", "field": field, "allowed": fault["msg"]},
            )
        except Exception:
            logging.exception("event=call_failed path=%s", environ["PATH_INFO"])
            return Reply(500, {"error": "internal"})

    def _dispatch(self, environ, body: bytes) -> Reply:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        for route_method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match and method == route_method:
                return handler(body, *match.groups())
        return Reply(404, {"error": "no_such_path"})

    def _issue_ids(self, body: bytes) -> Reply:
        parsed = bodies.IdsBody.model_validate_json(body)
        ids = self._router.issue_ids(parsed.count).result(WAIT_LIMIT_S)
        if not ids:
            return Reply(503, {"error": "no_shard_reachable"})
        return Reply(200, {"ids": ids})

    def _run(self, body: bytes) -> Reply:
        parsed = bodies.RequestBody.model_validate_json(body)
        request = parsed.convert("")
        future = self._router.run(parsed.id, request)
        answer = future.result(request.timeout_s + WAIT_LIMIT_S)
        logging.info(
            "event=request_answered id=%s outcome=%s",
            answer.id,
            outcomes.name_outcome(answer.outcome),
        )
        return describe_answer(answer)

    def _ask(self, body: bytes, request_id: str) -> Reply:
        del body
        return describe_answer(
            self._router.ask(request_id).result(WAIT_LIMIT_S)
        )

    def _submit_job(self, body: bytes) -> Reply:
        job = bodies.JobBody.model_validate_json(body).convert()
        future = self._intake.submit(job, uuid.uuid4().hex)
        reply = future.result(WAIT_LIMIT_S)
        if isinstance(reply, result.Failure):
            return _describe_job_error(reply.failure())
        return Reply(200, describe_job(reply.unwrap()))

    def _show_job(self, body: bytes, job_id: str) -> Reply:
        del body
        reply = self._entry.job_store.read(job_id)
        if isinstance(reply, result.Failure):
            return _describe_table_error(reply.failure())
        if reply.unwrap() is None:
            return Reply(404, {"error": "no_such_job"})
        return Reply(200, describe_job(reply.unwrap()[0]))

    def _cancel_job(self, body: bytes, job_id: str) -> Reply:
        del body
        reply = self._intake.cancel([job_id])[0].result(WAIT_LIMIT_S)
        if isinstance(reply, result.Failure):
            return _describe_job_error(reply.failure())
        if reply.unwrap() is None:
            return Reply(404, {"error": "no_such_job"})
        return Reply(200, describe_job(reply.unwrap()))

    def _show_config(self, body: bytes) -> Reply:
        del body
        config = self._entry.applied.config
        return Reply(200, json.loads(wire.encode(config)))

    def _commit_config(self, body: bytes) -> Reply:
        parsed = bodies.ConfigBody.model_validate_json(body)
        reply = self._entry.commit_config(
            parsed.based_on, parsed.author, parsed.inventory, parsed.rules
        )
        if isinstance(reply, result.Failure):
            return _describe_table_error(reply.failure())
        return describe_status(reply.unwrap())

    def _show_config_status(self, body: bytes) -> Reply:
        del body
        version = self._entry.applied.config.version
        reply = self._entry.read_config_status(version)
        if isinstance(reply, result.Failure):
            return _describe_table_error(reply.failure())
        return describe_status(reply.unwrap())

    def _show_vms(self, body: bytes) -> Reply:
        del body
        observer = self._entry.observer
        return Reply(
            200,
            [
                {
                    "vm": session.vm,
                    "zone": session.zone,
                    "state": "lapsed"
                    if observer.has_lapsed(session)
                    else session.state.value,
                    "config_version": session.config_version,
                    "http_address": session.http_address,
                }
                for session in observer.list_sessions()
            ],
        )

    def _check_health(self, body: bytes) -> Reply:
        del body
        return Reply(200, {"healthy": True})

    def _check_ready(self, body: bytes) -> Reply:
        del body
        ready = self._entry.is_ready()
        return Reply(200 if ready else 503, {"ready": ready})


def _read_body(environ) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        raise errors.InputError(
            "body", f"{length} bytes", f"at most {MAX_BODY_BYTES} bytes"
        )
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise errors.InputError("body", "shorter than Content-Length")
    return body


def _describe_input_error(error: errors.InputError) -> dict:
    return {
        "error": "bad_input",
        "field": error.field,
        "message": str(error),
        "allowed": error.allowed,
    }


def _describe_job_error(error: errors.PersimmonError) -> Reply:
    if isinstance(error, errors.UnplaceableError):
        return Reply(
            400,
            {
                "error": "unplaceable",
                "field": "resources",
                "message": str(error),
                "allowed": "what a worker of the inventory can carry",
            },
        )
    if isinstance(error, errors.QuotaExceededError):
        return Reply(409, {"error": "quota_exceeded", "message": str(error)})
    return _describe_table_error(error)


def _describe_table_error(error: errors.TableError) -> Reply:
    if isinstance(error, errors.TableConflictError):
        return Reply(409, {"error": "conflict", "message": str(error)})
    if isinstance(error, errors.TableUnavailableError):
        return Reply(
            503, {"outcome": "not_run", "reason": "platform_unavailable"}
        )
    return Reply(503, {"outcome": "unknown", "reason": "platform_uncertain"})


def create_server(
    application: Application, host: str, port: int, threads: int
) -> wsgi.Server:
    """Returns a server that is not started.

    Args:
        application: The application.
        host: IP number to listen on.
        port: TCP port.
        threads: Calls served at once.
    """
    server = wsgi.Server((host, port), application, numthreads=threads)
    server.max_request_body_size = MAX_BODY_BYTES
    server.shutdown_timeout = 5
    # A full queue drops SYNs, which the caller repeats only after a second.
    server.request_queue_size = LISTEN_BACKLOG
    return server
