"""Retry decisions: safety, budget and deadline.

All retries are decided here. They cover calls that were lost and attempts that
failed; the budget keeps them from multiplying the load of an overloaded system.
"""

import enum

from persimmonpath import work

MAX_ATTEMPTS = 4
# Retries available before first attempts have earned any.
INITIAL_TOKENS = 10.0
MAX_TOKENS = 100.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Least remaining time of a retry; with less it cannot be answered in time.
MIN_REMAINING_S = 0.02
# Share of the remaining time that a hop reserves to learn the outcome of its
# call.
REPLY_RESERVE_SHARE = 0.25
MAX_REPLY_RESERVE_S = 0.5


class Cause(enum.Enum):
    """What is certain about an attempt that did not succeed."""

    # It certainly did not start and never will.
    NOT_STARTED = "not_started"
    # It ran, reported a failure and is not running any more.
    FAILED = "failed"
    # It is certainly not running any more; whether it succeeded is unknown.
    ENDED = "ended"
    # It may be running.
    UNCERTAIN = "uncertain"


class RetryBudget:
    """Token bucket that allows retries in proportion to first attempts.

    Without it, retries multiply the load of a system that fails because it is
    overloaded.
    """

    def __init__(self, share: float, tokens: float = INITIAL_TOKENS):
        """Creates a budget.

        Args:
            share: Retries earned by each first attempt.
            tokens: Retries available at the start.
        """
        self._share = share
        self._tokens = tokens if share > 0 else 0.0

    def set_share(self, share: float) -> None:
        """Changes the retries earned by each first attempt."""
        self._share = share

    def record_first_attempt(self) -> None:
        """Records a first attempt, which earns a share of a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spends one retry; returns whether the budget had one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def is_retry_safe(
    request: work.Request, cause: Cause, may_retry_failed: bool
) -> bool:
    """Returns whether a further attempt is safe.

    It is when the earlier attempt never starts, or when it has certainly ended
    and the request is idempotent.

    Args:
        request: The request.
        cause: What is certain of the earlier attempt.
        may_retry_failed: Whether the policy allows one after a failure.
    """
    if cause is Cause.NOT_STARTED:
        return True
    if cause is Cause.UNCERTAIN or not request.idempotent:
        return False
    return may_retry_failed or cause is Cause.ENDED


def should_retry(
    request: work.Request,
    cause: Cause,
    attempts: int,
    remaining_s: float,
    budget: RetryBudget,
    may_retry_failed: bool = True,
) -> bool:
    """Returns whether to retry, and charges the budget if so.

    Args:
        request: The request.
        cause: What is certain of the earlier attempt.
        attempts: Attempts made so far.
        remaining_s: Seconds until the caller gives up.
        budget: Budget that is charged for the retry.
        may_retry_failed: Whether the policy allows one after a failure.
    """
    return (
        is_retry_safe(request, cause, may_retry_failed)
        and attempts < MAX_ATTEMPTS
        and remaining_s >= MIN_REMAINING_S
        and budget.try_spend()
    )


def compute_backoff(attempts: int) -> float:
    """Returns the exponential backoff in seconds before the next attempt.

    Args:
        attempts: Attempts made so far.
    """
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** max(0, attempts - 1))


def compute_reply_reserve(remaining_s: float) -> float:
    """Returns the seconds of the remaining time that a hop reserves.

    The next hop gets the rest, so that its answer or its timeout is known in
    time to ask again.
    """
    return min(MAX_REPLY_RESERVE_S, REPLY_RESERVE_SHARE * max(0.0, remaining_s))
