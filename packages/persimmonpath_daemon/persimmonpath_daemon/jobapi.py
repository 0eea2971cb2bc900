"""Calls for jobs: submit, show, list, cancel."""

from concurrent import futures
import re
import uuid

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import events
from persimmonpath import identifiers
from persimmonpath import intake
from persimmonpath_daemon import bodies
from persimmonpath_daemon import replies
from persimmonpath_daemon import requestapi


class JobApi:
    """Answers the callers' calls for jobs."""

    def __init__(self, entry: entry_module.EntryVm):
        """Creates the calls of an entry VM."""
        self._entry = entry
        self._intake = intake.JobIntake(entry)

    def list_routes(self) -> list[replies.Route]:
        """Returns the paths that are answered here."""
        jobs_path = re.compile(r"/v1/jobs")
        job_path = re.compile(r"/v1/jobs/([^/:]+)")
        cancel_path = re.compile(r"/v1/jobs:cancel")
        return [
            replies.Route("job_submit", "POST", jobs_path, self._submit),
            replies.Route("job_show", "GET", job_path, self._show),
            replies.Route("job_cancel", "DELETE", job_path, self._cancel),
            replies.Route(
                "jobs_cancel", "POST", cancel_path, self._cancel_many
            ),
        ]

    def _submit(self, call: replies.Call) -> replies.Reply:
        job = replies.parse_body(bodies.JobBody, call.body).convert()
        self._check_inventory()
        requestapi.check_size(self._entry, job.size)
        future = self._intake.submit(job, uuid.uuid4().hex)
        reply = _await_reply(future)
        if isinstance(reply, result.Failure):
            return _describe_refusal(reply.failure(), job.id)
        record = reply.unwrap()
        events.log_info(
            "job_accepted",
            id=job.id,
            form=record.form,
            tasks=job.tasks,
            shard=record.shard,
        )
        return replies.Reply(200, replies.describe_job(record))

    def _check_inventory(self) -> None:
        if not self._entry.applied.config.inventory.list_shards():
            raise replies.CallError(
                503,
                "no_inventory",
                message="no inventory was imported yet",
                outcome="not_run",
            )

    def _show(self, call: replies.Call, job_id: str) -> replies.Reply:
        del call
        reply = self._read(job_id)
        if isinstance(reply, result.Failure):
            return replies.describe_table_error(reply.failure(), id=job_id)
        record, _ = reply.unwrap()
        return replies.Reply(200, replies.describe_job(record))

    def _cancel(self, call: replies.Call, job_id: str) -> replies.Reply:
        del call
        _check_id(job_id)
        reply = _await_reply(self._intake.cancel([job_id])[0])
        if isinstance(reply, result.Failure):
            return replies.describe_table_error(reply.failure(), id=job_id)
        if reply.unwrap() is None:
            raise _create_missing_error(job_id)
        events.log_info("job_cancelling", id=job_id)
        return replies.Reply(200, replies.describe_job(reply.unwrap()))

    def _cancel_many(self, call: replies.Call) -> replies.Reply:
        parsed = replies.parse_body(bodies.CancelBody, call.body)
        futures_by_id = zip(
            parsed.ids, self._intake.cancel(list(parsed.ids)), strict=True
        )
        entries = [
            _describe_cancelled(job_id, _await_reply(future))
            for job_id, future in futures_by_id
        ]
        return replies.Reply(200, {"jobs": entries})

    def _read(self, job_id: str) -> result.Result:
        _check_id(job_id)
        reply = self._entry.job_store.read(job_id)
        if isinstance(reply, result.Success) and reply.unwrap() is None:
            raise _create_missing_error(job_id)
        return reply


def _await_reply(future: futures.Future) -> result.Result:
    """Returns the result of a commit, uncertain when it takes too long."""
    try:
        return future.result(requestapi.WAIT_LIMIT_S)
    except futures.TimeoutError:
        return result.Failure(errors.TableUncertainError("no answer"))


def _check_id(job_id: str) -> None:
    if not identifiers.is_name(job_id):
        raise replies.CallError(
            400,
            "bad_id",
            "id",
            f"{job_id[:80]!r} is not a job's id",
            "lower-case letters, digits and -, at most 40",
        )


def _create_missing_error(job_id: str) -> replies.CallError:
    return replies.CallError(
        404, "no_such_job", "id", f"there is no job {job_id}"
    )


def _describe_cancelled(job_id: str, reply: result.Result) -> dict:
    if isinstance(reply, result.Failure):
        body = replies.describe_table_error(reply.failure()).body
        return {"id": job_id, "error": body["reason"]}
    if reply.unwrap() is None:
        return {"id": job_id, "error": "no_such_job"}
    return {"id": job_id, "state": reply.unwrap().state.value}


def _describe_refusal(
    error: errors.PersimmonError, job_id: str
) -> replies.Reply:
    """Returns the reply that tells why a job was not accepted."""
    if isinstance(error, errors.UnplaceableError):
        raise replies.CallError(
            400,
            "unplaceable",
            "resources",
            str(error),
            "what a worker that the placement rules allow can carry",
        )
    if isinstance(error, errors.QuotaExceededError):
        raise replies.CallError(
            409,
            "quota_exceeded",
            "team",
            str(error),
            "what the quota of the team leaves",
            outcome="not_run",
        )
    if isinstance(error, errors.TableConflictError):
        raise replies.CallError(
            409,
            "id_reused",
            "id",
            f"{job_id} was used for another job",
            "the same job as before, or another id",
        )
    return replies.describe_table_error(error, id=job_id)
