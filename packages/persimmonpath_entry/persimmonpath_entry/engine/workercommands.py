"""Start, stop and pace commands to workers.

A start without an answer may still be carried out, so its run is stopped before
the task is placed again.
"""

import asyncio

from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import workers as worker_calls
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

# Seconds. A round trip takes up to 10 ms, and a retransmitted packet 0.2 s.
COMMAND_TIMEOUT_S = 0.35
STOP_RETRY_S = 0.3
# Seconds for which a worker gets no new runs after it rejected a start, and
# after it answered with HTTP status 429 or 503.
REJECTED_PENALTY_S = 0.3
OVERLOADED_PENALTY_S = 1.5
# Reasons of a command that wasn't sent and that say nothing about the worker.
OWN_REASONS = frozenset({httpclient.BUSY, httpclient.EXPIRED})
# Reasons of a command that wasn't sent because the worker wasn't reachable.
UNREACHABLE_REASONS = frozenset({"unreachable", "refused"})


class WorkerCommands:
    """Sends start, stop and pace commands for the runs of a shard."""

    def __init__(self, shard: shards.Shard, schedule_listing):
        self._shard = shard
        self._node = shard.node
        # Callback that requests a task listing of a worker soon, which shows
        # whether a command was carried out.
        self._schedule_listing = schedule_listing

    def start(self, run: execution.Run, ticket: str):
        """Sends the start command of a run whose capacity is reserved.

        Args:
          run: the run.
          ticket: the ticket of the placement advisor, or empty.
        """
        self._shard.spawn(self._start(run, ticket))

    async def _start(self, run: execution.Run, ticket: str):
        worker = run.worker
        task = run.task
        if (task.name, run.number) not in worker.runs:
            # It counts as lost already, and its task may have another run.
            return
        if self._shard.workers.get(worker.id) is not worker:
            self._shard.remove_run(run, "void", "")
            return
        now = clock.read_clock()
        until_ms = worker.grant_lease(now, self._node.lease_ms)
        may_start = self._shard.may_start(now) and worker.is_described
        if until_ms is None or not may_start:
            self._shard.remove_run(run, "void", "")
            return
        sent_at = clock.read_clock()
        result = await self._shard.clients[worker.id].start(
            task.name,
            run.number,
            task.step.submission.record.spec,
            until_ms,
            self._shard.fence,
            run.saved,
            ticket,
            COMMAND_TIMEOUT_S,
            self._shard.lease_until,
        )
        now = clock.read_clock()
        _record_reachability(worker, result, sent_at, now)
        self._handle_start_result(run, result, now)

    def _handle_start_result(self, run: execution.Run, result, now: float):
        worker = run.worker
        elapsed_ms = (now - run.sent_at) * 1000
        if isinstance(result, worker_calls.Accepted):
            run.task.step.submission.has_started = True
        if (run.task.name, run.number) not in worker.runs:
            return
        if isinstance(result, worker_calls.Accepted):
            self._node.metrics.count('starts{outcome="accepted"}')
            self._node.metrics.observe("start_latency", elapsed_ms)
            worker.record_clock(result.clock_ms, now)
            run.confirmed_at = now
            run.started_at = now
            if run.phase is execution.Phase.STARTING:
                run.phase = execution.Phase.RUNNING
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
        self._handle_rejection(run, reason, now)

    def _handle_rejection(self, run: execution.Run, reason: str, now: float):
        worker = run.worker
        if reason == worker_calls.STALE_FENCE:
            self._shard.close("fenced by a worker")
            return
        if reason == worker_calls.OTHER_INCARNATION:
            self._shard.worker_registry.mark_worker_lost(
                worker, "other incarnation"
            )
            worker.is_listed = False
            return
        if reason == worker_calls.INVALID_TICKET:
            run.task.step.advice.tickets.pop(worker.id, None)
        elif reason in ("429", "503"):
            worker.excluded_until = now + OVERLOADED_PENALTY_S
        else:
            worker.excluded_until = now + REJECTED_PENALTY_S
            self._schedule_listing(worker)
        self._shard.remove_run(run, "void", "")

    def stop(self, run: execution.Run, reason: str):
        """Stops a run, repeating the command until the worker answers.

        The capacity of the run stays reserved until the worker lists its end.

        Args:
          run: the run.
          reason: why it is stopped, for the log.
        """
        if run.is_being_stopped:
            return
        run.is_being_stopped = True
        run.phase = execution.Phase.STOPPING
        self._node.log.write(
            "run_stopping",
            task=run.task.name,
            run=run.number,
            worker=run.worker.id,
            reason=reason,
        )
        self._shard.spawn(self._stop(run))

    async def _stop(self, run: execution.Run):
        worker = run.worker
        name = run.task.name
        while (name, run.number) in worker.runs:
            client = self._shard.clients.get(worker.id)
            if self._shard.workers.get(worker.id) is not worker:
                # Nothing lists its runs any more.
                self._shard.remove_run(run, "lost", "")
                return
            sent_at = clock.read_clock()
            result = await client.stop(
                name, run.number, self._shard.fence, COMMAND_TIMEOUT_S
            )
            now = clock.read_clock()
            _record_reachability(worker, result, sent_at, now)
            if isinstance(result, worker_calls.Accepted):
                worker.record_clock(result.clock_ms, now)
                run.confirmed_at = now
                self._schedule_listing(worker)
                return
            if isinstance(result, worker_calls.Rejected):
                if result.reason == worker_calls.STALE_FENCE:
                    self._shard.close("fenced by a worker")
                    return
                if result.reason == worker_calls.OTHER_INCARNATION:
                    self._shard.worker_registry.mark_worker_lost(
                        worker, "other incarnation"
                    )
                    return
            await asyncio.sleep(STOP_RETRY_S)

    def pace(self, run: execution.Run, percent: int):
        """Limits the processor share of a run, in percent."""
        if not run.is_being_paced:
            run.is_being_paced = True
            self._shard.spawn(self._pace(run, percent))

    async def _pace(self, run: execution.Run, percent: int):
        client = self._shard.clients.get(run.worker.id)
        if client is None:
            run.is_being_paced = False
            return
        try:
            result = await client.pace(
                run.task.name,
                run.number,
                percent,
                self._shard.fence,
                COMMAND_TIMEOUT_S,
            )
        finally:
            run.is_being_paced = False
        if isinstance(result, worker_calls.Accepted):
            run.percent = run.paced_percent = percent
            run.paced_at = clock.read_clock()
        self._node.log.write(
            "run_paced",
            task=run.task.name,
            run=run.number,
            worker=run.worker.id,
            percent=percent,
            outcome=type(result).__name__,
        )

    def stop_unknown_run(self, worker, task: str, number: int):
        """Stops a run that a worker lists but the shard doesn't know."""
        self._shard.spawn(self._stop_unknown_run(worker, task, number))

    async def _stop_unknown_run(self, worker, task: str, number: int):
        client = self._shard.clients.get(worker.id)
        if client is not None:
            result = await client.stop(
                task, number, self._shard.fence, COMMAND_TIMEOUT_S
            )
            self._node.log.warn(
                "stranger_stopped",
                task=task,
                run=number,
                worker=worker.id,
                outcome=type(result).__name__,
            )


def _record_reachability(
    worker: fleet.Worker, result, sent_at: float, now: float
):
    """Records whether a worker has answered a command."""
    reason = getattr(result, "reason", "")
    if (
        isinstance(result, worker_calls.Uncertain)
        or reason in UNREACHABLE_REASONS
    ):
        worker.record_no_answer(sent_at)
    elif reason not in OWN_REASONS:
        worker.record_answer(sent_at, now)
