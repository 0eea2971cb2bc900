"""Gets the tickets that steps need from the placement advisor."""

from persimmonpath_entry.decisions import advising as advice_decisions
from persimmonpath_entry.decisions import placement
from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.state import work

# Tickets are asked for before a step is ready if a call isn't longer.
NEXT_DECIDE_MS = 60.0


class Ticketing:
    """Asks for tickets: those that a start lacks, and some ahead of need."""

    def __init__(self, shard: shards.Shard, advisor: advicebalancer.Advisor):
        self._shard = shard
        self._advisor = advisor
        # Steps without room, with the workers that may run them.
        self._ahead: list[tuple] = []

    def begin_pass(self):
        """Forgets the steps of the last pass."""
        self._ahead = []

    def add_ahead(self, step: work.Step, maybe, policy):
        """Has tickets kept for a step that has no room yet."""
        self._ahead.append((step, maybe, policy))

    def note_next(self, step: work.Step):
        """Notes the steps that may be ready once a step is done."""
        submission = step.submission
        for later in submission.list_occurrence(step.occurrence):
            if step.number not in later.spec.after:
                continue
            earlier = [
                submission.steps[f"{step.occurrence}.{number}"]
                for number in later.spec.after
            ]
            if not any(before.list_waiting() for before in earlier):
                self._shard.next_steps[later] = None

    def ask_for_next(self, usable, room, now: float):
        """Asks for steps that follow on running ones, where calls are short."""
        for step in list(self._shard.next_steps):
            book = step.tickets
            if book.is_asking or book.asked or step.ready_since is not None:
                self._shard.next_steps.pop(step, None)
                continue
            policy = self._shard.find_queue(step.submission).advice
            if policy is None or policy.decide_ms > NEXT_DECIDE_MS:
                self._shard.next_steps.pop(step, None)
                continue
            fitting = [
                w for w in usable if placement.can_ever_fit(w, step.spec)
            ]
            if not self.ask_if_possible(
                step,
                fitting,
                [],
                room,
                policy,
                now,
                advice_decisions.Need.AHEAD,
            ):
                return
            self._shard.next_steps.pop(step, None)

    def ask_ahead(self, room: placement.Room, now: float):
        """Keeps tickets of steps without room, as far as VMs are free.

        The room that a worker gets next goes to the first waiting step that
        may run there, so only that one needs a ticket there.
        """
        covered: set[str] = set()
        for step, maybe, policy in self._ahead:
            book = step.tickets
            open_workers = [w for w in maybe if w.id not in covered]
            if not open_workers:
                continue
            covered.update(worker.id for worker in open_workers)
            length_s = (policy.decide_ms + policy.each_ms * len(maybe)) / 1000
            if any(book.find(w.id, now + length_s) for w in open_workers):
                continue
            if not self.ask_if_possible(
                step,
                maybe,
                [],
                room,
                policy,
                now,
                advice_decisions.Need.AHEAD,
            ):
                return

    def ask_if_possible(
        self, step, maybe, planned, room, policy, now, need
    ) -> bool:
        """Asks for a step; returns False if no VM is free to call."""
        targets = advice_decisions.choose_targets(
            step.tickets, step.spec, maybe, planned, room, now
        )
        if not targets:
            return True
        caller = self._advisor.take_caller(policy, len(targets), need)
        if caller is None:
            return False
        step.tickets.is_asking = True
        self._shard.spawn(self._ask(step, targets, policy, caller))
        return True

    async def _ask(self, step, targets, policy, caller):
        try:
            await self._advisor.ask(step, targets, policy, caller)
        finally:
            step.tickets.is_asking = False
        self._shard.request_schedule()
