"""Calls for jobs: submit, show, list, cancel."""

import dataclasses
import re

from returns import result

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import events
from persimmonpath import identifiers
from persimmonpath import jobs
from persimmonpath import outcomes
from persimmonpath_daemon import bodies
from persimmonpath_daemon import replies
from persimmonpath_daemon import requestapi

# The runner may commit progress of the job between reading and writing.
MAX_CANCEL_ATTEMPTS = 5


class JobApi:
    """Answers the callers' calls for jobs."""

    def __init__(self, entry: entry_module.EntryVm):
        """Creates the calls of an entry VM."""
        self._entry = entry

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
        requestapi.check_size(self._entry, job.size)
        shard = self._choose_shard(job.id)
        record = jobs.create_record(job, "", shard)
        reply = self._entry.job_store.submit(record)
        if isinstance(reply, result.Success):
            events.log_info(
                "job_accepted",
                id=job.id,
                form=record.form,
                tasks=job.tasks,
                shard=shard,
            )
            return replies.Reply(200, replies.describe_job(reply.unwrap()))
        if isinstance(reply.failure(), errors.TableConflictError):
            raise replies.CallError(
                409,
                "id_reused",
                "id",
                f"{job.id} was used for another job",
                "the same job as before, or another id",
            )
        return replies.describe_table_error(reply.failure(), id=job.id)

    def _choose_shard(self, job_id: str) -> identifiers.ShardId:
        config = self._entry.applied.config
        zone = self._entry.identity.zone
        shards = config.inventory.list_shards()
        if not shards:
            raise replies.CallError(
                503,
                "no_inventory",
                message="no inventory was imported yet",
                outcome="not_run",
            )
        own = [shard for shard in shards if shard.zone == zone] or shards
        digest = outcomes.compute_checksum(job_id.encode())
        return own[int(digest, 16) % len(own)]

    def _show(self, call: replies.Call, job_id: str) -> replies.Reply:
        del call
        reply = self._read(job_id)
        if isinstance(reply, result.Failure):
            return replies.describe_table_error(reply.failure(), id=job_id)
        record, _ = reply.unwrap()
        return replies.Reply(200, replies.describe_job(record))

    def _cancel(self, call: replies.Call, job_id: str) -> replies.Reply:
        del call
        reply = self._mark_cancelling(job_id)
        if isinstance(reply, result.Failure):
            return replies.describe_table_error(reply.failure(), id=job_id)
        return replies.Reply(200, replies.describe_job(reply.unwrap()))

    def _cancel_many(self, call: replies.Call) -> replies.Reply:
        parsed = replies.parse_body(bodies.CancelBody, call.body)
        entries = [self._cancel_one(job_id) for job_id in parsed.ids]
        return replies.Reply(200, {"jobs": entries})

    def _cancel_one(self, job_id: str) -> dict:
        try:
            reply = self._mark_cancelling(job_id)
        except replies.CallError as error:
            return {"id": job_id, "error": error.reply.body["error"]}
        if isinstance(reply, result.Failure):
            body = replies.describe_table_error(reply.failure()).body
            return {"id": job_id, "error": body["reason"]}
        return {"id": job_id, "state": reply.unwrap().state.value}

    def _read(self, job_id: str) -> result.Result:
        if not identifiers.is_name(job_id):
            raise replies.CallError(
                400,
                "bad_id",
                "id",
                f"{job_id[:80]!r} is not a job's id",
                "lower-case letters, digits and -, at most 40",
            )
        reply = self._entry.job_store.read(job_id)
        if isinstance(reply, result.Success) and reply.unwrap() is None:
            raise replies.CallError(
                404, "no_such_job", "id", f"there is no job {job_id}"
            )
        return reply

    def _mark_cancelling(self, job_id: str) -> result.Result:
        update: result.Result
        for _ in range(MAX_CANCEL_ATTEMPTS):
            reply = self._read(job_id)
            if isinstance(reply, result.Failure):
                return reply
            record, version = reply.unwrap()
            if record.state is not jobs.JobState.ACCEPTED:
                return result.Success(record)
            cancelled = dataclasses.replace(
                record, state=jobs.JobState.CANCELLING
            )
            update = self._entry.job_store.update(cancelled, version)
            if isinstance(update, result.Success):
                events.log_info("job_cancelling", id=job_id)
                return result.Success(cancelled)
            if not isinstance(update.failure(), errors.TableConflictError):
                return update
        return update
