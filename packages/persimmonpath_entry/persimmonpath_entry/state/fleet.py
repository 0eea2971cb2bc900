"""Workers and their room as the owner of their service knows them."""

from persimmonpath_entry.platform import messages

# A worker's steady clock may run this much slower than ours.
CLOCK_RATE_LIMIT = 1.021
# Time for a worker to kill what runs after its lease has ended.
LEASE_SLACK_S = 0.25
# An acknowledgement follows a listing within this time: long enough for a
# transaction, too short for a task to start and end in a new life.
ACKNOWLEDGE_S = 0.15


# Answers on different connections overtake each other by this time at most.
OVERLAP_S = 0.5


class Worker:
    """One lifetime of a worker.

    Attributes:
      id: its id.
      registration: what it says of itself.
      runs: the runs that take up its room, by task name and run number.
      strangers: tasks it lists that its owner doesn't know, with the moment
        of the first sight.
      last_seen: number of the last end that is stored.
      acknowledged: number of the last end that the worker was told of.
      processed: number of the last end that has been taken in.
      clock: the worker's clock in ms and the moment at which we read it.
      max_until_ms: the latest end of a lease sent, on the worker's clock.
      born: Unix milliseconds of its start, 0 while unknown.
      lists_born: whether its listings tell its start.
      is_fenced: whether it has answered under the owner's fencing token.
      is_recorded: whether the store names it among the owner's workers.
      is_listed: whether it is registered.
      silent_since: when it stopped answering, or None.
      listed_at: when it last answered with a listing.
      heard_at: when it last answered at all.
      unanswered_since: when the first call was sent that it hasn't answered
        and that nothing else from it has followed, or None.
      listing_failures: listings on end without an answer.
      filler_percent: the share at which its fillers may work.
      paced_at: when that was last changed.
      slowness: how much longer its runs take than those of their queue.
      slowness_at: when that was last changed.
      preempted_at: when runs there last had to give way.
      penalty_until: until when no task is placed there.
      empty_until: until when it is being emptied for an upkeep.
      drain_deadline: when it leaves at the earliest, or None.
    """

    def __init__(self, registration: messages.Registration):
        self.id = registration.worker_id
        self.registration = registration
        self.runs: dict[tuple[str, int], object] = {}
        self.strangers: dict[tuple[str, int], float] = {}
        self.last_seen = 0
        self.acknowledged = 0
        self.processed = 0
        self.clock: tuple[float, float] | None = None
        self.max_until_ms = 0.0
        self.born = registration.born
        self.lists_born = False
        self.is_fenced = False
        self.is_recorded = False
        self.is_listed = True
        self.silent_since: float | None = None
        self.listing_failures = 0
        self.listed_at = 0.0
        self.heard_at = 0.0
        self.unanswered_since: float | None = None
        self.penalty_until = 0.0
        self.drain_deadline: float | None = None
        self.empty_until = 0.0
        self.used_cpu = 0
        self.used_memory_mb = 0
        self.used_gpu = 0
        self.filler_cpu = 0
        self.serving = 0
        self.fillers = 0
        self.recent_failures = 0
        self.filler_percent = 100
        self.paced_at = 0.0
        self.preempted_at = 0.0
        self.slowness = 1.0
        self.slowness_at = 0.0

    def begin_incarnation(self, born: int):
        """Forgets what held in the former life; runs stay for a listing."""
        self.born = born
        self.processed = 0
        self.last_seen = 0
        self.acknowledged = 0
        self.clock = None
        self.max_until_ms = 0.0
        self.recent_failures = 0

    def choose_last_seen(self, now: float) -> int:
        """Returns the number to send with a listing.

        A worker that has started anew counts its ends from 1 again, and would
        forget those up to the number of its former life before anybody saw
        them. So an acknowledgement is sent once, and only right after the
        worker has shown that it is still in the same life.
        """
        is_known = self.listing_failures == 0
        is_fresh = now - self.listed_at < ACKNOWLEDGE_S
        if is_known and is_fresh and self.last_seen > self.acknowledged:
            return self.last_seen
        return 0

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that aren't taken."""
        return self.registration.cpu - self.used_cpu

    @property
    def free_memory_mb(self) -> int:
        """Memory that isn't taken."""
        return self.registration.memory_mb - self.used_memory_mb

    @property
    def free_gpu(self) -> int:
        """Accelerators that aren't taken."""
        return self.registration.gpu - self.used_gpu

    def add_run(self, run):
        """Takes the room of a run."""
        self.runs[run.task.name, run.number] = run
        self._change_room(run.spec, 1)

    def remove_run(self, run):
        """Frees the room of a run."""
        if self.runs.pop((run.task.name, run.number), None) is not None:
            self._change_room(run.spec, -1)

    def _change_room(self, spec, sign: int):
        if spec.is_filler:
            self.filler_cpu += sign * spec.cpu
            self.fillers += sign
        else:
            self.used_cpu += sign * spec.cpu
        if spec.target_ms:
            self.serving += sign
        self.used_memory_mb += sign * spec.memory_mb
        self.used_gpu += sign * spec.gpu

    def note_answer(self, sent_at: float, now: float):
        """Takes note that it has answered a call."""
        self.heard_at = now
        is_settled = self.unanswered_since is not None
        if is_settled and sent_at > self.unanswered_since:
            self.unanswered_since = None

    def note_no_answer(self, sent_at: float):
        """Takes note that it hasn't answered a call in time."""
        if (
            self.unanswered_since is None
            and sent_at > self.heard_at - OVERLAP_S
        ):
            self.unanswered_since = sent_at

    def note_clock(self, clock_ms: float, now: float):
        """Takes note of the worker's clock."""
        if clock_ms:
            self.clock = (clock_ms, now)

    def estimate_clock_ms(self, now: float) -> float | None:
        """Returns the worker's clock, never ahead of it, or None."""
        if self.clock is None:
            return None
        return self.clock[0] + (now - self.clock[1]) * 1000 / CLOCK_RATE_LIMIT

    def assume_lease(self, length_ms: float):
        """Takes note that anything there may hold a lease of full length.

        A former owner may have granted it, or this one in a former life.
        """
        clock_ms = 0.0 if self.clock is None else self.clock[0]
        self.max_until_ms = max(self.max_until_ms, clock_ms + length_ms)

    def grant_lease(self, now: float, length_ms: float) -> int | None:
        """Returns the end of a new lease on the worker's clock, or None."""
        clock_ms = self.estimate_clock_ms(now)
        if clock_ms is None:
            return None
        until_ms = int(clock_ms + length_ms)
        self.max_until_ms = max(self.max_until_ms, until_ms)
        return until_ms

    def bound_lease_end(self) -> float:
        """Returns the moment at which every lease granted has ended."""
        if self.clock is None:
            return 0.0
        clock_ms, at = self.clock
        left_s = max(0.0, self.max_until_ms - clock_ms) / 1000
        return at + left_s * CLOCK_RATE_LIMIT + LEASE_SLACK_S
