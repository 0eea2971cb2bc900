"""The workers of a shard: which register, start anew, fall silent or leave."""

from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock

# A worker is kept empty for this time after each request.
EMPTY_S = 3.0


class WorkerRegistry:
    """Takes in what becomes of a shard's workers."""

    def __init__(self, shard):
        self._shard = shard

    def apply_registration(self, registration: messages.Registration):
        """Takes in what a worker says of itself."""
        worker = self._shard.workers.get(registration.worker_id)
        if worker is None:
            worker = fleet.Worker(registration)
            self._shard.workers[worker.id] = worker
            self._shard.clients[worker.id] = worker_calls.WorkerClient(
                registration.address, worker.id
            )
            self._shard.store_requested.set()
            self._shard.on_worker_added(worker)
            self._shard.node.log.write(
                "worker_up",
                worker=worker.id,
                service=self._shard.service,
                zone=registration.zone,
                rack=registration.rack,
            )
        self._update_registration(worker, registration)

    def _update_registration(self, worker, registration):
        changed = worker.registration.address != registration.address
        was_draining = worker.registration.is_draining
        is_reborn = 0 < worker.born < registration.born
        worker.registration = registration
        worker.is_listed = True
        if changed:
            self._shard.clients[worker.id].close()
            self._shard.clients[worker.id] = worker_calls.WorkerClient(
                registration.address, worker.id
            )
        if is_reborn:
            # Which runs are gone only a listing tells: some may have been
            # started in the new life already.
            if not worker.lists_born:
                self.begin_incarnation(worker, registration.born)
            self._shard.on_worker_restarted(worker)
        if registration.is_draining and not was_draining:
            worker.drain_deadline = (
                clock.read_clock() + registration.remaining_ms / 1000
            )
            self._shard.node.log.write(
                "worker_draining",
                worker=worker.id,
                remaining_ms=registration.remaining_ms,
                runs=len(worker.runs),
            )
        if not registration.is_draining:
            worker.drain_deadline = None
        if not worker.born:
            worker.born = registration.born

    def mark_unregistered(self, worker_id: str):
        """Takes note that a worker is no longer registered."""
        worker = self._shard.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            self._shard.node.log.write(
                "worker_unregistered", worker=worker_id, runs=len(worker.runs)
            )

    def begin_incarnation(self, worker: fleet.Worker, born: int):
        """Takes note that a worker has started anew under its id."""
        self._shard.node.log.warn(
            "worker_restarted",
            worker=worker.id,
            born=born,
            former=worker.born,
            runs=len(worker.runs),
        )
        worker.begin_incarnation(born)

    def mark_worker_lost(self, worker: fleet.Worker, reason: str):
        """Takes note that nothing runs any more in a worker's lifetime."""
        self._shard.node.log.warn(
            "worker_lost",
            worker=worker.id,
            reason=reason,
            runs=len(worker.runs),
            silent_s=0.0
            if worker.silent_since is None
            else clock.read_clock() - worker.silent_since,
        )
        self._shard.unsettled.pop(worker.id, None)
        for run in list(worker.runs.values()):
            self._shard.remove_run(run, "lost", "")

    def evacuate_worker(self, worker_id: str) -> work.WorkerLoad:
        """Keeps new work off a worker for a while and tells what runs there."""
        worker = self._shard.workers.get(worker_id)
        if worker is None:
            return work.WorkerLoad(0, 0)
        worker.empty_until = clock.read_clock() + EMPTY_S
        protected = sum(
            1
            for run in worker.runs.values()
            if run.spec.long_running and run.spec.may_miss
        )
        return work.WorkerLoad(len(worker.runs), protected)

    def remove_worker(self, worker: fleet.Worker):
        """Drops a worker that has left."""
        self._shard.workers.pop(worker.id, None)
        client = self._shard.clients.pop(worker.id, None)
        if client is not None:
            client.close()
