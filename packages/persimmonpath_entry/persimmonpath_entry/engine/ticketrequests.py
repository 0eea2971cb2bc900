"""Requests the tickets that steps need from the placement advisor."""

import zlib

from persimmonpath_entry.decisions import advisorcalls
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.state import execution

# Tickets of a step that isn't ready yet are requested only if the advisor takes
# at most this long, in milliseconds.
MAX_PREFETCH_DECIDE_MS = 60.0
# Share of workers that the advisor approves for a queue of which nothing is
# known yet, and the weight of the newest answer in the moving average.
INITIAL_GOOD_SHARE = 0.5
# Seconds for which gangs look for no workers to ask about after no VM was free
# to call: choosing them examines every worker.
NO_CALLER_PAUSE_S = 0.1
GOOD_SHARE_WEIGHT = 0.2


class TicketRequester:
    """Requests tickets that a start lacks, and prefetches others."""

    def __init__(
        self, shard: shards.Shard, advisor: advicebalancer.AdviceBalancer
    ):
        self._shard = shard
        self._advisor = advisor
        # Steps without free capacity, with the advice policy of their queue,
        # in order of urgency.
        self._prefetch_queue: list[tuple] = []
        # Share of the workers that the advisor has approved lately, by queue.
        self._good_shares: dict[str, float] = {}
        # When gangs may ask about further workers again.
        self._explore_at = 0.0

    def begin_pass(self):
        """Clears the prefetch queue at the start of a scheduling pass."""
        self._prefetch_queue = []

    def queue_prefetch(self, step: execution.Step, policy):
        """Queues a step without free capacity for prefetching its tickets.

        Args:
          step: the step.
          policy: the advice policy of its queue.
        """
        self._prefetch_queue.append((step, policy))

    def add_next_steps(self, step: execution.Step):
        """Adds the dependents of a step that may soon be ready to `next_steps`.

        These are the ones of whose dependencies no task waits for a run.
        """
        submission = step.submission
        for dependent in submission.list_occurrence_steps(step.occurrence):
            if step.number not in dependent.spec.after:
                continue
            dependencies = [
                submission.steps[f"{step.occurrence}.{number}"]
                for number in dependent.spec.after
            ]
            if not any(
                dependency.list_waiting() for dependency in dependencies
            ):
                self._shard.next_steps[dependent] = None

    def prefetch_for_next_steps(self, free_capacity, now: float):
        """Prefetches tickets of steps whose dependencies are running.

        Only steps whose queue has a short decision time are considered.

        Args:
          free_capacity: the free capacity less what the pass has planned.
          now: the monotonic clock, in seconds.
        """
        for step in list(self._shard.next_steps):
            step_advice = step.advice
            if (
                step_advice.is_asking
                or step_advice.asked
                or step.ready_since is not None
            ):
                self._shard.next_steps.pop(step, None)
                continue
            policy = self._shard.find_queue(step.submission).advice
            if policy is None or policy.decide_ms > MAX_PREFETCH_DECIDE_MS:
                self._shard.next_steps.pop(step, None)
                continue
            if not self.request_tickets(
                step,
                self._list_candidates(step),
                [],
                free_capacity,
                policy,
                now,
                advisorcalls.Purpose.PREFETCH,
            ):
                return
            self._shard.next_steps.pop(step, None)

    def prefetch_queued(
        self, free_capacity: placement.FreeCapacity, now: float
    ):
        """Prefetches tickets of the queued steps while VMs are free to call.

        The next capacity that a worker frees goes to the first waiting step
        that may run there, so only that step needs a ticket there.

        Args:
          free_capacity: the free capacity less what the pass has planned.
          now: the monotonic clock, in seconds.
        """
        covered: set[str] = set()
        for step, policy in self._prefetch_queue:
            if len(covered) >= len(self._shard.pool):
                return
            step_advice = step.advice
            candidates = self._list_candidates(step)
            open_workers = [w for w in candidates if w.id not in covered]
            if not open_workers:
                continue
            covered.update(worker.id for worker in open_workers)
            call_s = (
                policy.decide_ms + policy.each_ms * len(candidates)
            ) / 1000
            if any(
                step_advice.find_ticket(w.id, now + call_s)
                for w in open_workers
            ):
                continue
            if not self.request_tickets(
                step,
                candidates,
                [],
                free_capacity,
                policy,
                now,
                advisorcalls.Purpose.PREFETCH,
            ):
                return

    def explore(
        self,
        step: execution.Step,
        policy,
        free_capacity: placement.FreeCapacity,
        now: float,
    ):
        """Asks about more workers for a gang if too few are approved.

        Args:
          step: the step of the gang.
          policy: the advice policy of its queue.
          free_capacity: the capacity that is left in the current plan.
          now: the monotonic clock, in seconds.
        """
        advice = step.advice
        if now < self._explore_at:
            return
        purpose = advisorcalls.Purpose.START
        batches = self._choose_batches(
            step, free_capacity, advisorcalls.EXPLORED_MULTIPLE
        )
        if not batches and not advice.is_asking:
            # The calls of other steps are more likely to lead to a start.
            purpose = advisorcalls.Purpose.PREFETCH
            multiple = advisorcalls.choose_explored_multiple(
                now - (step.ready_since or now)
            )
            batches = self._choose_batches(step, free_capacity, multiple)[:1]
        for targets in batches:
            if not self._start_call(step, targets, policy, purpose):
                self._explore_at = now + NO_CALLER_PAUSE_S
                return

    def _choose_batches(
        self, step, free_capacity, multiple: float
    ) -> list[list[str]]:
        queue = step.submission.record.queue
        return advisorcalls.choose_batches_to_explore(
            step.advice,
            step.spec,
            step.remaining,
            self._shard.pool.workers,
            self._good_shares.get(queue, INITIAL_GOOD_SHARE),
            free_capacity,
            multiple,
            zlib.crc32(step.name.encode()),
        )

    def _list_candidates(self, step: execution.Step):
        """Returns the workers of the pool that may run a step."""
        return [
            worker
            for worker in self._shard.pool.list_workers()
            if placement.can_ever_fit(worker, step.spec)
            and step.advice.may_run_on(worker)
        ]

    def request_start(
        self, step, candidates, planned, free_capacity, policy, now
    ):
        """Requests the tickets that planned tasks lack to start.

        Nothing is requested while a call for the step is under way or has just
        failed. The arguments are those of `request_tickets`.
        """
        if not step.advice.is_asking and now >= step.advice.retry_at:
            self.request_tickets(
                step,
                candidates,
                planned,
                free_capacity,
                policy,
                now,
                advisorcalls.Purpose.START,
            )

    def request_tickets(
        self, step, candidates, planned, free_capacity, policy, now, purpose
    ) -> bool:
        """Starts a call to the advisor for a step.

        Args:
          step: the step.
          candidates: the workers that may run it.
          planned: the workers on which its tasks would start now.
          free_capacity: the free capacity less what the pass has planned.
          policy: the advice policy of its queue.
          now: the monotonic clock, in seconds.
          purpose: why the tickets are needed.

        Returns:
          False if no VM is free to call; True if a call was started or none
          is needed.
        """
        targets = advisorcalls.choose_workers_to_ask(
            step.advice, step.spec, candidates, planned, free_capacity, now
        )
        if not targets:
            return True
        return self._start_call(step, targets, policy, purpose)

    def _start_call(self, step, targets: list[str], policy, purpose) -> bool:
        """Starts a call unless no VM is free; returns whether it did."""
        caller = self._advisor.reserve_caller(policy, len(targets), purpose)
        if caller is None:
            return False
        step.advice.is_asking = True
        step.advice.asking.update(targets)
        self._shard.spawn(self._fetch_tickets(step, targets, policy, caller))
        return True

    async def _fetch_tickets(self, step, targets: list[str], policy, caller):
        step_advice = step.advice
        new = [w for w in targets if w not in step_advice.asked]
        try:
            await self._advisor.ask(step, targets, policy, caller)
        finally:
            step_advice.asking.difference_update(targets)
            step_advice.is_asking = bool(step_advice.asking)
        if new and step_advice.asked.issuperset(new):
            good = sum(worker_id in step_advice.good for worker_id in new)
            self._record_good_share(step, good / len(new))
        self._shard.request_placement(step)

    def _record_good_share(self, step: execution.Step, share: float):
        queue = step.submission.record.queue
        known = self._good_shares.get(queue, INITIAL_GOOD_SHARE)
        self._good_shares[queue] = known + GOOD_SHARE_WEIGHT * (share - known)
