"""HTTP calls for jobs: submit, show, list, cancel."""

from concurrent import futures
import re
import uuid

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import events
from persimmonpath import identifiers
from persimmonpath import jobs
from persimmonpath import jobsubmission
from persimmonpath import work
from persimmonpath_daemon import bodies
from persimmonpath_daemon import replies
from persimmonpath_daemon import requestapi

# Longest time in seconds to wait until a batch of changes is committed.
COMMIT_WAIT_S = 10.0
DEFAULT_LISTED = 100
MAX_LISTED = 1000


class JobApi:
    """Handlers of the calls for jobs."""

    def __init__(self, entry: entry_module.EntryVm):
        """Creates the handlers of an entry VM."""
        self._entry = entry
        self._submitter = jobsubmission.JobSubmitter(entry)

    def list_routes(self) -> list[replies.Route]:
        """Returns the routes of these handlers."""
        jobs_path = re.compile(r"/v1/jobs")
        job_path = re.compile(r"/v1/jobs/([^/:]+)")
        cancel_path = re.compile(r"/v1/jobs:cancel")
        return [
            replies.Route("job_submit", "POST", jobs_path, self._submit),
            replies.Route("job_list", "GET", jobs_path, self._list),
            replies.Route("job_show", "GET", job_path, self._show),
            replies.Route("job_cancel", "DELETE", job_path, self._cancel),
            replies.Route(
                "jobs_cancel", "POST", cancel_path, self._cancel_many
            ),
        ]

    def _submit(self, call: replies.Call) -> replies.Reply:
        job = replies.parse_body(bodies.JobBody, call.body).convert()
        self._require_inventory()
        requestapi.check_size(self._entry, job.size)
        reply = _wait_for_commit(self._submitter.submit(job, uuid.uuid4().hex))
        if isinstance(reply, result.Failure):
            return _convert_submit_error(reply.failure(), job)
        record = reply.unwrap()
        events.log_info(
            "job_accepted",
            id=job.id,
            form=record.form,
            tasks=job.tasks,
            shard=record.shard,
        )
        return replies.Reply(200, replies.describe_job(record))

    def _require_inventory(self) -> None:
        if not self._entry.applied.config.inventory.list_shards():
            raise replies.CallError(
                503,
                "no_inventory",
                message="no inventory was imported yet",
                outcome="not_run",
            )

    def _list(self, call: replies.Call) -> replies.Reply:
        """Lists the jobs that have not ended."""
        limit = replies.read_limit(call, DEFAULT_LISTED, MAX_LISTED)
        after = call.query.get("after", "")
        ids: set[str] = set()
        for shard in self._entry.applied.config.inventory.list_shards():
            reply = self._entry.job_store.list_unfinished(shard)
            if isinstance(reply, result.Failure):
                return replies.describe_table_error(reply.failure())
            ids.update(job_id for job_id in reply.unwrap() if job_id > after)
        listed = []
        for job_id in sorted(ids):
            reply = self._entry.job_store.read(job_id)
            if isinstance(reply, result.Failure):
                return replies.describe_table_error(reply.failure())
            if reply.unwrap() and _matches_filters(
                reply.unwrap()[0], call.query
            ):
                listed.append(_describe_summary(reply.unwrap()[0]))
            if len(listed) == limit:
                break
        return replies.Reply(200, {"jobs": listed})

    def _show(self, call: replies.Call, job_id: str) -> replies.Reply:
        del call
        _check_id(job_id)
        reply = self._entry.job_store.read(job_id)
        if isinstance(reply, result.Failure):
            return replies.describe_table_error(reply.failure(), id=job_id)
        if reply.unwrap() is None:
            raise _create_not_found_error(job_id)
        return replies.Reply(200, replies.describe_job(reply.unwrap()[0]))

    def _cancel(self, call: replies.Call, job_id: str) -> replies.Reply:
        del call
        _check_id(job_id)
        reply = _wait_for_commit(self._submitter.cancel([job_id])[0])
        if isinstance(reply, result.Failure):
            return replies.describe_table_error(reply.failure(), id=job_id)
        if reply.unwrap() is None:
            raise _create_not_found_error(job_id)
        events.log_info("job_cancelling", id=job_id)
        return replies.Reply(200, replies.describe_job(reply.unwrap()))

    def _cancel_many(self, call: replies.Call) -> replies.Reply:
        parsed = replies.parse_body(bodies.CancelBody, call.body)
        pending = self._submitter.cancel(list(parsed.ids))
        futures.wait(pending, COMMIT_WAIT_S)
        entries = [
            _describe_cancellation(job_id, _wait_for_commit(future, 0))
            for job_id, future in zip(parsed.ids, pending, strict=True)
        ]
        events.log_info("jobs_cancelling", jobs=len(entries))
        return replies.Reply(200, {"jobs": entries})


def _wait_for_commit(
    future: futures.Future, timeout_s: float = COMMIT_WAIT_S
) -> result.Result:
    try:
        return future.result(timeout_s)
    except futures.TimeoutError:
        # The commit may still take effect.
        return result.Failure(errors.TableUncertainError("no answer in time"))


def _check_id(job_id: str) -> None:
    if not identifiers.is_name(job_id):
        raise replies.CallError(
            400,
            "bad_id",
            "id",
            f"{job_id[:80]!r} is not a job's id",
            "lower-case letters, digits and -, at most 40",
        )


def _create_not_found_error(job_id: str) -> replies.CallError:
    return replies.CallError(
        404, "no_such_job", "id", f"there is no job {job_id}"
    )


def _convert_submit_error(
    error: errors.PersimmonError, job: work.Job
) -> replies.Reply:
    """Returns the reply for a submission that failed or is uncertain.

    Raises:
        replies.CallError: If the job certainly was not accepted because of
            its content.
    """
    if isinstance(error, errors.UnplaceableError):
        raise replies.CallError(
            400,
            "unplaceable",
            "resources",
            str(error),
            "what a VM that the placement rules allow can carry",
        )
    if isinstance(error, errors.QuotaExceededError):
        raise replies.CallError(
            409,
            "quota_exceeded",
            "team",
            str(error),
            f"what the quota of team {job.team} leaves",
            outcome="not_run",
        )
    if isinstance(error, errors.TableConflictError):
        raise replies.CallError(
            409,
            "id_reused",
            "id",
            f"{job.id} was used for another job",
            "the same job as before, or another id",
        )
    return replies.describe_table_error(error, id=job.id)


def _describe_cancellation(job_id: str, reply: result.Result) -> dict:
    if isinstance(reply, result.Failure):
        body = replies.describe_table_error(reply.failure()).body
        return {"id": job_id, "error": body["reason"]}
    record = reply.unwrap()
    if record is None:
        return {"id": job_id, "error": "no_such_job"}
    return {"id": job_id, "state": record.state.value}


def _matches_filters(record: jobs.JobRecord, query: dict[str, str]) -> bool:
    return (
        query.get("team", record.job["team"]) == record.job["team"]
        and query.get("state", record.state) == record.state
    )


def _describe_summary(record: jobs.JobRecord) -> dict:
    body = replies.describe_job(record)
    return {**body, "tasks": len(record.tasks)}
