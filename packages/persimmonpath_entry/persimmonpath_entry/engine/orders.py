"""Orders to workers, and how an order without an answer is settled."""

import asyncio

from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock

# Round trips take up to 10 ms, a packet sent again 0.2 s.
ORDER_TIMEOUT_S = 0.35
STOP_RETRY_S = 0.3
# How long a worker gets no work after it turned a start down.
PENALTY_S = 0.3
UNHEALTHY_PENALTY_S = 1.5
# Why an order never left, through no fault of the worker's.
BUSY = "busy"
UNREACHED = frozenset({"unreachable", "refused"})


class Orders:
    """Sends starts and stops for a shard."""

    def __init__(self, shard: shards.Shard, look):
        self._shard = shard
        self._node = shard.node
        # Asks a worker for its tasks now, to settle an order.
        self._look = look

    def start(self, run: work.Run, ticket: str):
        """Sends the start of a run whose room has been taken."""
        self._shard.spawn(self._start(run, ticket))

    async def _start(self, run: work.Run, ticket: str):
        worker = run.worker
        task = run.task
        now = clock.read_clock()
        until_ms = worker.grant_lease(now, self._node.lease_ms)
        if until_ms is None or not self._shard.may_start(now):
            self._shard.remove_run(run, "void", "")
            return
        task.step.submission.has_started = True
        sent_at = clock.read_clock()
        result = await self._shard.clients[worker.id].start(
            task.name,
            run.number,
            task.step.submission.record.spec,
            until_ms,
            self._shard.fence,
            task.saved,
            ticket,
            ORDER_TIMEOUT_S,
        )
        now = clock.read_clock()
        _note_reach(worker, result, sent_at, now)
        self._take_start(run, result, now)

    def _take_start(self, run: work.Run, result, now: float):
        worker = run.worker
        elapsed_ms = (now - run.sent_at) * 1000
        if (run.task.name, run.number) not in worker.runs:
            return
        if isinstance(result, worker_calls.Accepted):
            self._node.metrics.count('starts{outcome="accepted"}')
            self._node.metrics.observe("start_latency", elapsed_ms)
            worker.note_clock(result.clock_ms, now)
            run.settled_at = now
            if run.phase is work.Phase.STARTING:
                run.phase = work.Phase.RUNNING
            return
        reason = result.reason
        self._node.metrics.count(f'starts{{outcome="{reason}"}}')
        self._node.log.write(
            "start_unanswered"
            if isinstance(result, worker_calls.Uncertain)
            else "start_refused",
            task=run.task.name,
            run=run.number,
            worker=worker.id,
            reason=reason,
            after_ms=elapsed_ms,
        )
        if isinstance(result, worker_calls.Uncertain):
            self.stop(run, "start_unanswered")
            return
        self._take_refusal(run, reason, now)

    def _take_refusal(self, run: work.Run, reason: str, now: float):
        worker = run.worker
        if reason == worker_calls.STALE_FENCE:
            self._shard.close("fenced by a worker")
            return
        if reason == worker_calls.OTHER_INCARNATION:
            self._shard.roster.lose_worker(worker, "other lifetime")
            worker.is_listed = False
            return
        if reason == worker_calls.INVALID_TICKET:
            run.task.step.tickets.tickets.pop(worker.id, None)
        elif reason in ("429", "503"):
            worker.penalty_until = now + UNHEALTHY_PENALTY_S
        else:
            worker.penalty_until = now + PENALTY_S
            self._look(worker)
        self._shard.remove_run(run, "void", "")

    def stop(self, run: work.Run, reason: str):
        """Stops a run; its room is free once the worker says so."""
        if run.is_being_stopped:
            return
        run.is_being_stopped = True
        run.phase = work.Phase.STOPPING
        self._node.log.write(
            "run_stopping",
            task=run.task.name,
            run=run.number,
            worker=run.worker.id,
            reason=reason,
        )
        self._shard.spawn(self._stop(run))

    async def _stop(self, run: work.Run):
        worker = run.worker
        name = run.task.name
        while (name, run.number) in worker.runs:
            client = self._shard.clients.get(worker.id)
            if client is None:
                return
            sent_at = clock.read_clock()
            result = await client.stop(
                name, run.number, self._shard.fence, ORDER_TIMEOUT_S
            )
            now = clock.read_clock()
            _note_reach(worker, result, sent_at, now)
            if isinstance(result, worker_calls.Accepted):
                worker.note_clock(result.clock_ms, now)
                run.settled_at = now
                self._look(worker)
                return
            if isinstance(result, worker_calls.Rejected):
                if result.reason == worker_calls.STALE_FENCE:
                    self._shard.close("fenced by a worker")
                    return
                if result.reason == worker_calls.OTHER_INCARNATION:
                    self._shard.roster.lose_worker(worker, "other lifetime")
                    return
            await asyncio.sleep(STOP_RETRY_S)

    def pace(self, run: work.Run, percent: int):
        """Sets the share at which a run may work."""
        if not run.is_being_paced:
            run.is_being_paced = True
            self._shard.spawn(self._pace(run, percent))

    async def _pace(self, run: work.Run, percent: int):
        try:
            result = await self._shard.clients[run.worker.id].pace(
                run.task.name,
                run.number,
                percent,
                self._shard.fence,
                ORDER_TIMEOUT_S,
            )
        finally:
            run.is_being_paced = False
        if isinstance(result, worker_calls.Accepted):
            run.percent = percent
        self._node.log.write(
            "run_paced",
            task=run.task.name,
            run=run.number,
            worker=run.worker.id,
            percent=percent,
            outcome=type(result).__name__,
        )

    def stop_stranger(self, worker, task: str, number: int):
        """Stops a run that its owner doesn't know."""
        self._shard.spawn(self._stop_stranger(worker, task, number))

    async def _stop_stranger(self, worker, task: str, number: int):
        client = self._shard.clients.get(worker.id)
        if client is not None:
            result = await client.stop(
                task, number, self._shard.fence, ORDER_TIMEOUT_S
            )
            self._node.log.warn(
                "stranger_stopped",
                task=task,
                run=number,
                worker=worker.id,
                outcome=type(result).__name__,
            )


def _note_reach(worker: fleet.Worker, result, sent_at: float, now: float):
    """Takes note of whether a worker has answered an order."""
    reason = getattr(result, "reason", "")
    if isinstance(result, worker_calls.Uncertain) or reason in UNREACHED:
        worker.note_no_answer(sent_at)
    elif reason != BUSY:
        worker.note_answer(sent_at, now)
