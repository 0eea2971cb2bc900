"""Workers of a shard: registration, restart, loss and removal."""

from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock

# Seconds for which a worker gets no new runs after each evacuation request.
EVACUATION_S = 3.0


class WorkerRegistry:
    """Applies changes of the workers of a shard."""

    def __init__(self, shard):
        self._shard = shard

    def apply_registration(self, registration: messages.Registration):
        """Adds a registered worker or updates its registration."""
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
        address_changed = worker.registration.address != registration.address
        was_draining = worker.registration.is_draining
        is_restarted = 0 < worker.born < registration.born
        worker.registration = registration
        worker.is_listed = True
        if address_changed:
            self._shard.clients[worker.id].close()
            self._shard.clients[worker.id] = worker_calls.WorkerClient(
                registration.address, worker.id
            )
        if is_restarted:
            # Only a listing shows which runs are gone: some may have been
            # started in the new incarnation already.
            if not worker.lists_start_time:
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
        """Records that a worker is no longer registered; its runs are kept."""
        worker = self._shard.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            self._shard.node.log.write(
                "worker_unregistered", worker=worker_id, runs=len(worker.runs)
            )

    def begin_incarnation(self, worker: fleet.Worker, born: int):
        """Records that a worker has restarted under the same id.

        Args:
          worker: the worker.
          born: start of the new incarnation, in Unix milliseconds.
        """
        self._shard.node.log.warn(
            "worker_restarted",
            worker=worker.id,
            born=born,
            former=worker.born,
            runs=len(worker.runs),
        )
        worker.begin_incarnation(born)

    def mark_worker_lost(self, worker: fleet.Worker, reason: str):
        """Removes all runs of a worker incarnation that can't run any more.

        Args:
          worker: the worker.
          reason: how that is known, for the log.
        """
        self._shard.node.log.warn(
            "worker_lost",
            worker=worker.id,
            reason=reason,
            runs=len(worker.runs),
            silent_s=0.0
            if worker.unresponsive_since is None
            else clock.read_clock() - worker.unresponsive_since,
        )
        self._shard.former_runs.unsettled.pop(worker.id, None)
        self._shard.former_runs.forget_listing(worker.id)
        for run in list(worker.runs.values()):
            self._shard.remove_run(run, "lost", "")

    def evacuate_worker(self, worker_id: str) -> execution.WorkerLoad | None:
        """Gives a worker no new runs for EVACUATION_S seconds.

        Its long-running tasks are moved meanwhile by the periodic maintenance
        of the shard.

        Returns:
          What still runs on the worker; None while that isn't known, as the
          workers of the service haven't been read, or not all that this one
          knows of former owners' runs.
        """
        worker = self._shard.workers.get(worker_id)
        if worker is not None:
            worker.evacuating_until = clock.read_clock() + EVACUATION_S
        is_read = self._shard.has_read_workers or not worker_id
        if not is_read or self._shard.former_runs.may_be_on(worker_id):
            return None
        if worker is None:
            return execution.WorkerLoad(0, 0)
        protected = sum(
            1
            for run in worker.runs.values()
            if run.spec.long_running and run.spec.may_miss
        )
        return execution.WorkerLoad(len(worker.runs), protected)

    def remove_worker(self, worker: fleet.Worker):
        """Removes a worker that has left, and closes its client."""
        self._shard.workers.pop(worker.id, None)
        self._shard.former_runs.forget_listing(worker.id)
        client = self._shard.clients.pop(worker.id, None)
        if client is not None:
            client.close()
