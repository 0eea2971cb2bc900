"""Workers and their free capacity as the owner of their service knows them."""

from persimmonpath_entry.platform import messages

# Most seconds of this VM's monotonic clock per second of a worker's.
MAX_CLOCK_RATIO = 1.021
# Seconds that a worker may take to kill its runs after a lease has expired.
LEASE_KILL_S = 0.25
# Seconds after a listing within which run ends may be acknowledged: long enough
# for a transaction of the store, too short for a task to start and end on a
# restarted worker.
ACKNOWLEDGE_WINDOW_S = 0.15
# Stands for all workers where a row that names them can't be read.
ANY_WORKER = "?"


# Most seconds by which answers on different connections arrive out of order.
MAX_REORDERING_S = 0.5


class Worker:
    """A worker that runs tasks of a service.

    Times are in seconds of this VM's monotonic clock unless stated otherwise.

    Attributes:
      id: the id of the worker.
      registration: the registration that it has stored.
      runs: the runs that use its capacity, by task name and run number.
      unknown_runs: runs that it lists and its owner doesn't know, with the
        time at which each was first listed.
      last_seen: number of the last run end that is stored.
      acknowledged: number of the last run end acknowledged to the worker.
      processed: number of the last run end that has been processed.
      unidentified_end: number of a run end whose submission isn't known, and
        that isn't processed yet.
      unidentified_since: when that end was first listed.
      clock: the worker's monotonic clock in milliseconds and the time at which
        it was read, or None.
      max_lease_end_ms: the latest lease end granted, on the worker's clock.
      born: start time of its incarnation in Unix milliseconds, 0 while unknown.
      lists_start_time: whether its listings contain its start time.
      is_fenced: whether it has answered under the owner's fencing token.
      is_recorded: whether the store lists it among the owner's workers.
      is_listed: whether it is registered.
      unresponsive_since: when its owner began to treat it as unresponsive, or
        None.
      listing_failures: number of consecutive listings without an answer.
      listed_at: when it last answered with a listing.
      last_answer_at: when it last answered any call.
      unanswered_since: when the first call was sent that it hasn't answered,
        with no later call answered; None if there is no such call.
      excluded_until: until when no task is placed on it.
      drain_deadline: the earliest time at which a draining worker leaves, or
        None.
      evacuating_until: until when it is evacuated for maintenance.
      used_cpu: CPU of its runs except fillers, in thousandths of a core.
      used_memory_mb: memory of its runs in MB.
      used_gpu: number of accelerators of its runs.
      filler_cpu: CPU claimed by its fillers, in thousandths of a core.
      long_running_usage: CPU, memory and accelerators of its long-running
        tasks, which don't end by themselves; in the same units.
      latency_sensitive_runs: number of runs with a latency target.
      filler_runs: number of runs that are fillers.
      recent_failures: number of failed or stalled runs since the last success.
      stalled_at: when a task that has to use its CPU was last seen to stall
        on it, None if there was none or it has worked since.
      filler_percent: CPU share that its fillers may use, in percent.
      paced_at: when that share was last changed.
      preempted_at: when runs on it were last preempted.
      slowness: duration of its runs relative to the typical one of their
        queue, as a moving average; 1 is typical.
      slowness_at: when the slowness was last updated.
      run_time_factor: duration of its runs relative to a worker of normal
        speed, as learned over a long time; 1 is normal, 2 half as fast.
      listing_gap_s: seconds before its last listing in which a run may have
        ended without being listed.
    """

    def __init__(self, registration: messages.Registration):
        self.id = registration.worker_id
        self.registration = registration
        self.runs: dict[tuple[str, int], object] = {}
        self.unknown_runs: dict[tuple[str, int], float] = {}
        self.last_seen = 0
        self.acknowledged = 0
        self.processed = 0
        self.unidentified_end = 0
        self.unidentified_since = 0.0
        self.clock: tuple[float, float] | None = None
        self.max_lease_end_ms = 0.0
        self.born = registration.born
        self.lists_start_time = False
        self.is_fenced = False
        self.is_recorded = False
        self.is_listed = True
        self.unresponsive_since: float | None = None
        self.listing_failures = 0
        self.listed_at = 0.0
        self.last_answer_at = 0.0
        self.unanswered_since: float | None = None
        self.excluded_until = 0.0
        self.drain_deadline: float | None = None
        self.evacuating_until = 0.0
        self.used_cpu = 0
        self.used_memory_mb = 0
        self.used_gpu = 0
        self.filler_cpu = 0
        self.long_running_usage = [0, 0, 0]
        self.latency_sensitive_runs = 0
        self.filler_runs = 0
        self.recent_failures = 0
        self.stalled_at: float | None = None
        self.filler_percent = 100
        self.paced_at = 0.0
        self.preempted_at = 0.0
        self.slowness = 1.0
        self.slowness_at = 0.0
        self.run_time_factor = 1.0
        self.listing_gap_s = 0.0

    def begin_incarnation(self, born: int):
        """Resets the state that belongs to the former incarnation.

        Runs are kept: the next listing shows which of them still exist.

        Args:
          born: start time of the new incarnation in Unix milliseconds.
        """
        self.born = born
        self.processed = 0
        self.unidentified_end = 0
        self.last_seen = 0
        self.acknowledged = 0
        self.clock = None
        self.max_lease_end_ms = 0.0
        self.recent_failures = 0
        self.stalled_at = None
        self.run_time_factor = 1.0

    def choose_acknowledged_end(self, now: float) -> int:
        """Returns the number of the run end to acknowledge in a listing.

        A restarted worker numbers its run ends from 1 again. A number from its
        former incarnation would make it drop run ends that nobody has
        processed. An acknowledgement is therefore sent once, and only shortly
        after a listing has confirmed the incarnation.

        Args:
          now: the monotonic clock, in seconds.

        Returns:
          The number, or 0 for no acknowledgement.
        """
        is_answering = self.listing_failures == 0
        is_fresh = now - self.listed_at < ACKNOWLEDGE_WINDOW_S
        if is_answering and is_fresh and self.last_seen > self.acknowledged:
            return self.last_seen
        return 0

    @property
    def is_described(self) -> bool:
        """Whether its registration is that of its present incarnation.

        Another incarnation may be of another kind and size.
        """
        return self.registration.born in (0, self.born)

    @property
    def free_cpu(self) -> int:
        """Free CPU in thousandths of a core, fillers left out."""
        return self.registration.cpu - self.used_cpu

    @property
    def free_memory_mb(self) -> int:
        """Free memory in MB."""
        return self.registration.memory_mb - self.used_memory_mb

    @property
    def free_gpu(self) -> int:
        """Number of free accelerators."""
        return self.registration.gpu - self.used_gpu

    def add_run(self, run):
        """Adds a run and reserves its capacity."""
        self.runs[run.task.name, run.number] = run
        self._adjust_usage(run.spec, 1)

    def remove_run(self, run) -> bool:
        """Removes a run and releases its capacity; returns if it was there."""
        if self.runs.pop((run.task.name, run.number), None) is None:
            return False
        self._adjust_usage(run.spec, -1)
        return True

    def _adjust_usage(self, spec, sign: int):
        if spec.is_filler:
            self.filler_cpu += sign * spec.cpu
            self.filler_runs += sign
        else:
            self.used_cpu += sign * spec.cpu
        if spec.is_latency_sensitive:
            self.latency_sensitive_runs += sign
        self.used_memory_mb += sign * spec.memory_mb
        self.used_gpu += sign * spec.gpu
        if spec.long_running:
            usage = self.long_running_usage
            usage[0] += 0 if spec.is_filler else sign * spec.cpu
            usage[1] += sign * spec.memory_mb
            usage[2] += sign * spec.gpu

    def list_attainable_capacity(self) -> tuple[int, int, int]:
        """Returns the capacity that is free once its other runs have ended.

        Returns:
          CPU in thousandths of a core, memory in MB and accelerators, without
          what long-running tasks use.
        """
        cpu, memory_mb, gpu = self.long_running_usage
        capacity = self.registration
        return (
            capacity.cpu - cpu,
            capacity.memory_mb - memory_mb,
            capacity.gpu - gpu,
        )

    def record_answer(self, sent_at: float, now: float):
        """Records that the worker has answered a call sent at `sent_at`."""
        self.last_answer_at = now
        was_unanswered = self.unanswered_since is not None
        if was_unanswered and sent_at > self.unanswered_since:
            self.unanswered_since = None

    def record_no_answer(self, sent_at: float):
        """Records that a call sent at `sent_at` wasn't answered in time.

        The call is ignored if the worker has answered another one later than
        out-of-order answers explain.
        """
        if (
            self.unanswered_since is None
            and sent_at > self.last_answer_at - MAX_REORDERING_S
        ):
            self.unanswered_since = sent_at

    def record_clock(self, clock_ms: float, now: float):
        """Records a reading of the worker's clock; 0 means no reading."""
        if clock_ms:
            self.clock = (clock_ms, now)

    def estimate_clock_ms(self, now: float) -> float | None:
        """Returns a lower bound of the worker's clock in ms, or None."""
        if self.clock is None:
            return None
        return self.clock[0] + (now - self.clock[1]) * 1000 / MAX_CLOCK_RATIO

    def assume_lease(self, lease_ms: float):
        """Assumes that the worker holds a lease of full length from now on.

        A former owner may have granted it, or this owner to the worker's former
        incarnation.
        """
        clock_ms = 0.0 if self.clock is None else self.clock[0]
        self.max_lease_end_ms = max(self.max_lease_end_ms, clock_ms + lease_ms)

    def grant_lease(self, now: float, lease_ms: float) -> int | None:
        """Grants a lease and returns its end in ms of the worker's clock.

        Returns None, and grants nothing, if the worker's clock is unknown.
        """
        clock_ms = self.estimate_clock_ms(now)
        if clock_ms is None:
            return None
        until_ms = int(clock_ms + lease_ms)
        self.max_lease_end_ms = max(self.max_lease_end_ms, until_ms)
        return until_ms

    def bound_lease_end(self) -> float:
        """Returns the time by which every lease granted has surely ended.

        It includes the time that the worker takes to kill its runs. It is 0 if
        the worker's clock is unknown.
        """
        if self.clock is None:
            return 0.0
        clock_ms, at = self.clock
        left_s = max(0.0, self.max_lease_end_ms - clock_ms) / 1000
        return at + left_s * MAX_CLOCK_RATIO + LEASE_KILL_S
