"""The only place that decides on retries: certainty, budget and deadline."""

import enum

from persimmonpath import work

MAX_ATTEMPTS = 4
# Retries allowed before any traffic has earned them.
INITIAL_TOKENS = 10.0
MAX_TOKENS = 100.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# A retry that has less time left than this cannot be answered in time.
MIN_REMAINING_S = 0.02
# Part of the time left that a hop keeps to learn what became of its call.
REPLY_RESERVE_SHARE = 0.25
MAX_REPLY_RESERVE_S = 0.5


class Cause(enum.Enum):
    """Why an attempt gave no answer, as far as it is certain."""

    # It certainly did not start and never will.
    NOT_STARTED = "not_started"
    # It ran, reported a failure and is not running any more.
    FAILED = "failed"
    # It is certainly not running any more; whether it succeeded is unknown.
    ENDED = "ended"
    # It may be running.
    UNCERTAIN = "uncertain"


class RetryBudget:
    """Allows retries in proportion to first attempts.

    Without it, retries multiply the load of a system that fails because of
    its load.
    """

    def __init__(self, share: float, tokens: float = INITIAL_TOKENS):
        """Creates a budget.

        Args:
            share: Retries earned by each first attempt.
            tokens: Retries available at once.
        """
        self._share = share
        self._tokens = tokens if share > 0 else 0.0

    def set_share(self, share: float) -> None:
        """Changes the retries earned by each first attempt."""
        self._share = share

    def record_first_attempt(self) -> None:
        """Notes a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Takes one retry from the budget, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def is_retry_safe(
    request: work.Request, cause: Cause, may_retry_failed: bool
) -> bool:
    """Returns whether a further attempt cannot do harm.

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
    """Decides on a further attempt and charges the budget for it.

    Args:
        request: The request.
        cause: What is certain of the earlier attempt.
        attempts: Attempts made so far.
        remaining_s: Seconds left until the caller gives up.
        budget: Pays for the retry.
        may_retry_failed: Whether the policy allows one after a failure.
    """
    return (
        is_retry_safe(request, cause, may_retry_failed)
        and attempts < MAX_ATTEMPTS
        and remaining_s >= MIN_REMAINING_S
        and budget.try_spend()
    )


def compute_backoff(attempts: int) -> float:
    """Returns the seconds to wait before asking again for the n-th time."""
    return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** max(0, attempts - 1))


def compute_reply_reserve(remaining_s: float) -> float:
    """Returns the seconds that a hop keeps of the time left.

    The next hop gets the rest, so that its answer, or the lack of one, is
    known in time to ask again.
    """
    return min(MAX_REPLY_RESERVE_S, REPLY_RESERVE_SHARE * max(0.0, remaining_s))
