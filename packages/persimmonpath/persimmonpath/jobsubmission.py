"""Submission and cancellation of jobs at an entry VM.

Jobs that no worker can ever run are refused here, and jobs are kept out of
shards whose workers are all drained, where they would wait without end.
"""

from concurrent import futures

from returns import result
import xxhash

from persimmonpath import entry as entry_module
from persimmonpath import errors
from persimmonpath import gangs
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import jobs
from persimmonpath import placement
from persimmonpath import policies
from persimmonpath import quotas
from persimmonpath import rules
from persimmonpath import work

# A call that cancels more jobs than this is committed after other changes.
BULK_THRESHOLD = 10

Reply = futures.Future


class JobSubmitter:
    """Commits new jobs and cancellations and notifies the shards' owners."""

    def __init__(self, entry: entry_module.EntryVm):
        """Creates the job submitter of an entry VM."""
        self._entry = entry

    def submit(
        self, job: work.Job, nonce: str = ""
    ) -> "Reply[result.Result[jobs.JobRecord, errors.PersimmonError]]":
        """Commits a job and notifies the owner of its shard.

        Args:
            job: The job.
            nonce: Random text that identifies the submission.

        Returns:
            A future of the record; of an `UnplaceableError` when no worker can
            run a task, or no shard all tasks of a gang; or of a `TableError`.
        """
        config = self._entry.applied.config
        shards = list_candidate_shards(
            config.inventory, config.rules, job, self._entry.identity.zone
        )
        if not shards:
            return _reject(
                explain_unplaceable(config.inventory, config.rules, job)
            )
        shard = choose_shard(shards, job)
        if policies.starts_together(job):
            capacities = count_idle_capacity(
                config.inventory, config.rules, job, shards
            )
            shard = max(shards, key=lambda s: capacities[s])
            if capacities[shard] < job.tasks:
                return _reject(
                    f"the largest shard carries {capacities[shard]} of"
                    f" {job.tasks} tasks at once"
                )
        record = jobs.create_record(job, nonce, shard)
        charge = quotas.create_charge(job, config.rules)
        reply = self._entry.job_store.submit(record, charge)
        reply.add_done_callback(lambda done: self._notify(done.result()))
        return reply

    def cancel(
        self, job_ids: list[str]
    ) -> "list[Reply[result.Result[jobs.JobRecord | None, errors.TableError]]]":
        """Commits cancellations and notifies the owners of the shards.

        Owners are not notified of a bulk cancellation; they find it in their
        inbox.

        Args:
            job_ids: Ids of the jobs.

        Returns:
            A future for each id, in the same order.
        """
        is_bulk = len(job_ids) > BULK_THRESHOLD
        replies = []
        for job_id in job_ids:
            reply = self._entry.job_store.cancel(job_id, is_bulk)
            if not is_bulk:
                reply.add_done_callback(
                    lambda done: self._notify(done.result())
                )
            replies.append(reply)
        return replies

    def _notify(self, reply: result.Result) -> None:
        record = reply.value_or(None)
        if record is None:
            return
        shard = identifiers.parse_shard_id(record.shard)
        owned = self._entry.find_owned(shard)
        if owned is not None:
            owned.runner.notify()
            return
        address = self._entry.find_owner_address(shard)
        if address is not None:
            # A lost notification only delays the job: owners poll their inbox.
            self._entry.peers.notify_job(address, shard, record.job["id"])


def _reject(reason: str) -> futures.Future:
    future: futures.Future = futures.Future()
    future.set_result(result.Failure(errors.UnplaceableError(reason)))
    return future


def list_candidate_shards(
    cell: inventory.Inventory,
    cell_rules: rules.Rules,
    job: work.Job,
    own_zone: str,
) -> list[identifiers.ShardId]:
    """Returns the shards of one zone that have a worker for a job.

    Shards in which every such worker is drained are used only if there are no
    others: a job there would wait until the operator ends the drain. The zone
    is the entry VM's own if it has such a shard, else the first that has one.
    """
    capable = [w for w in cell.workers if can_run(w, cell_rules, job)]
    undrained = [worker for worker in capable if not worker.draining]
    shards = {worker.shard_id for worker in undrained or capable}
    zones = {shard.zone for shard in shards}
    if not zones:
        return []
    zone = own_zone if own_zone in zones else min(zones)
    return sorted(shard for shard in shards if shard.zone == zone)


def choose_shard(
    shards: list[identifiers.ShardId], job: work.Job
) -> identifiers.ShardId:
    """Returns the shard of a job, chosen by a hash of its id."""
    return shards[xxhash.xxh64_intdigest(job.id.encode()) % len(shards)]


def count_idle_capacity(
    cell: inventory.Inventory,
    cell_rules: rules.Rules,
    job: work.Job,
    shards: list[identifiers.ShardId],
) -> dict[identifiers.ShardId, int]:
    """Returns how many tasks of a job each shard can run while idle."""
    capacities = dict.fromkeys(shards, 0)
    share = policies.get_spare_slots_share(job, cell_rules.policy)
    for worker in cell.workers:
        if worker.shard_id in capacities and can_run(worker, cell_rules, job):
            slots = worker.slots - int(worker.slots * share)
            capacities[worker.shard_id] += gangs.count_fitting(
                job.size, worker.capacity, slots
            )
    return capacities


def can_run(
    worker: inventory.Worker, cell_rules: rules.Rules, job: work.Job
) -> bool:
    """Returns whether a worker could run a task of a job while idle."""
    if not job.size.fits_in(worker.capacity):
        return False
    for rule in cell_rules.placement:
        if not placement.matches(rule, job.kind, job.team):
            continue
        if rule.zones and worker.zone not in rule.zones:
            return False
        if rule.racks and worker.rack not in rule.racks:
            return False
    return True


def explain_unplaceable(
    cell: inventory.Inventory, cell_rules: rules.Rules, job: work.Job
) -> str:
    """Returns the reason that no worker can run a job."""
    if not cell.workers:
        return "the inventory has no workers"
    if not any(job.size.fits_in(w.capacity) for w in cell.workers):
        return f"no worker is as large as {job.size}"
    return (
        f"placement rules allow kind {job.kind} of team {job.team} on no"
        " worker that is large enough"
    )
