"""Quarantine of workers that fail every attempt.

A broken worker whose attempts fail quickly frees its slots at once and could
fail much of a shard's work.
"""

import dataclasses

import cachetools

from persimmonpath import rules
from persimmonpath import timers

# Time closed to new work before the first probe; doubled after each failed
# probe, up to the maximum.
INITIAL_CLOSED_S = 30.0
MAX_CLOSED_S = 900.0
# Probes that must succeed, one after another, before the quarantine ends.
REQUIRED_PROBE_SUCCESSES = 3
MAX_COUNTED_ATTEMPTS = 8192


@dataclasses.dataclass(slots=True)
class _Health:
    """Recent failures and quarantine state of one worker.

    Attributes:
        failures: Consecutive failed attempts.
        kinds: Kinds of work that failed, at most two.
        is_quarantined: Whether it is in quarantine.
        is_probing: Whether a probe runs.
        successes: Consecutive successful probes.
        closed_s: Seconds for which it is closed before the next probe.
        closed_until: End of that time in monotonic seconds.
    """

    failures: int = 0
    kinds: set[str] = dataclasses.field(default_factory=set)
    is_quarantined: bool = False
    is_probing: bool = False
    successes: int = 0
    closed_s: float = INITIAL_CLOSED_S
    closed_until: float = 0.0


class Quarantine:
    """Quarantines workers by the outcomes of their attempts.

    A worker is quarantined after `quarantine_failures` consecutive failures of
    at least two kinds of work; failures of a single kind may be caused by the
    work itself. After a time without work it gets one task at a time as a
    probe. At most `quarantine_share` of a shard's workers are quarantined.
    """

    def __init__(self, timer_service: timers.TimerService):
        """Creates a quarantine without workers."""
        self.policy = rules.Policy()
        self._timers = timer_service
        # One for each worker that has failed since its last success.
        self._health: dict[str, _Health] = {}
        # Listings repeat records that have been counted already.
        self._counted_attempts: cachetools.LRUCache = cachetools.LRUCache(
            MAX_COUNTED_ATTEMPTS
        )

    def observe(
        self, name: str, attempt: str, kind: str, succeeded: bool, total: int
    ) -> None:
        """Records the end of an attempt.

        Args:
            name: The worker.
            attempt: The attempt; a repeated one is ignored.
            kind: Kind of work.
            succeeded: Whether it succeeded.
            total: Number of workers of the shard.
        """
        if attempt in self._counted_attempts:
            return
        self._counted_attempts[attempt] = True
        if succeeded:
            self._record_success(name)
        else:
            self._record_failure(name, kind, total)

    def record_start(self, name: str) -> None:
        """Records that a worker was chosen for a task.

        For a quarantined worker the task is a probe, and the worker is closed
        to further work while the probe runs.
        """
        health = self._health.get(name)
        if health is not None and health.is_quarantined:
            health.is_probing = True
            # Allows another probe if this one is never reported to have ended.
            health.closed_until = self._timers.now() + health.closed_s

    def is_closed(self, name: str) -> bool:
        """Returns whether a worker is closed to new work now."""
        health = self._health.get(name)
        if health is None or not health.is_quarantined:
            return False
        return self._timers.now() < health.closed_until

    def is_quarantined(self, name: str) -> bool:
        """Returns whether a worker is in quarantine, probed or not."""
        health = self._health.get(name)
        return health is not None and health.is_quarantined

    def retain(self, names: set[str]) -> None:
        """Drops the state of all workers but the named ones."""
        for name in self._health.keys() - names:
            del self._health[name]

    def _record_success(self, name: str) -> None:
        health = self._health.get(name)
        if health is None:
            return
        if not health.is_quarantined:
            del self._health[name]
            return
        if health.is_probing:
            health.is_probing = False
            health.successes += 1
            health.closed_until = self._timers.now()
        if health.successes >= REQUIRED_PROBE_SUCCESSES:
            del self._health[name]

    def _record_failure(self, name: str, kind: str, total: int) -> None:
        health = self._health.setdefault(name, _Health())
        health.failures += 1
        if len(health.kinds) < 2:
            health.kinds.add(kind)
        now = self._timers.now()
        if health.is_quarantined:
            if health.is_probing:
                health.is_probing = False
                health.successes = 0
                health.closed_s = min(2 * health.closed_s, MAX_CLOSED_S)
                health.closed_until = now + health.closed_s
            return
        is_faulty = (
            health.failures >= self.policy.quarantine_failures
            and len(health.kinds) >= 2
        )
        quarantined = sum(h.is_quarantined for h in self._health.values())
        if is_faulty and quarantined + 1 <= int(
            self.policy.quarantine_share * total
        ):
            health.is_quarantined = True
            health.closed_until = now + health.closed_s
