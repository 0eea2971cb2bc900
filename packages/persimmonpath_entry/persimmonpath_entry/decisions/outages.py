"""Whether a submission is held or rejected while the store is away.

Covers an outage of the store of some seconds that begins under peak load. A
caller waits some 3 s in an attempt and makes five of them. One that is turned
away at once uses up its attempts, and is away when the store is back; one that
waits for an outage that goes on is told too late. So a submission is held if
the outage may well end before its deadline. Otherwise it is rejected at once,
and its caller comes back when the end is likely to fall into its next attempt.
"""

import collections
from collections.abc import Mapping
import dataclasses
import enum
import math

# Shortest and longest outage that is assumed without having been seen, in
# seconds; the logarithm of the length is taken to be uniform between. The
# recorded days have outages of 4.4 and 6 s.
MIN_ASSUMED_S = 0.5
MAX_ASSUMED_S = 30.0
# How many outages the assumption counts for, and each one seen.
ASSUMED_WEIGHT = 10
SEEN_WEIGHT = 2
# Most lengths kept of those seen.
MAX_SEEN = 20
# An outage that is longer than all assumed and seen ones goes on for this share
# of its age.
LONG_OUTAGE_SHARE = 0.5
# Callers come back when this share of the outages of the same age is over. They
# are held then; a later return would cost most of them time.
RETURN_QUANTILE = 0.33
# A caller stays away for at least this share of the age of the outage, as its
# five attempts would be used up in some 17 s otherwise.
MIN_RETURN_SHARE = 0.25
# Accuracy of the estimated end, in seconds.
ACCURACY_S = 0.05
# A submission is held if the outage ends before its deadline with at least this
# probability. A caller that is held in vain comes back no later than one that
# is rejected at once, but keeps a connection.
MIN_END_PROBABILITY = 0.15
# Until an outage has this age, in seconds, a peer may begin to make the calls
# of this VM, for which a caller needs the second time.
PEER_SEARCH_S = 1.0
RELAYED_S = 0.4
# A deadline closer than this, in seconds, leaves no time to store anything.
MIN_HOLD_S = 0.1
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30


class Kind(enum.Enum):
    """How the store fails.

    SILENT: it leaves calls unanswered, so that what is sent may be stored.
    REFUSING: it refuses calls or connections.
    SLOW: some calls time out, others are answered.
    """

    SILENT = "silent"
    REFUSING = "refusing"
    SLOW = "slow"


class Scope(enum.Enum):
    """For whom the store is away, as far as peers have told.

    UNKNOWN: no peer has been asked yet; one may make the calls of this VM soon.
    EVERYWHERE: no peer that was asked reaches the store.
    ISOLATED: this VM reaches neither the store nor a peer.
    """

    UNKNOWN = "unknown"
    EVERYWHERE = "everywhere"
    ISOLATED = "isolated"


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """What is known of an outage of the store.

    Attributes:
      kind: how the store fails.
      age_s: seconds since the first call that it hasn't served.
      scope: for whom it is away.
    """

    kind: Kind
    age_s: float
    scope: Scope = Scope.UNKNOWN

    @property
    def may_send(self) -> bool:
        """Whether calls are still worth sending."""
        return self.kind is Kind.SLOW


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on a submission.

    Attributes:
      is_held: whether it waits for the store.
      retry_after_s: seconds after which a rejected caller should come back.
    """

    is_held: bool
    retry_after_s: int = 0


HOLD = Decision(True)


class OutageLengths:
    """The lengths of outages: assumed ones and those seen by this process."""

    def __init__(self):
        self._seen: collections.deque[float] = collections.deque(
            maxlen=MAX_SEEN
        )

    def record(self, length_s: float):
        """Records the length of an outage that is over, in seconds."""
        self._seen.append(length_s)

    def _count_longer(self, age_s: float) -> float:
        """Returns the weight of the outages longer than an age."""
        seen = sum(1 for length in self._seen if length > age_s)
        bounded_s = min(MAX_ASSUMED_S, max(MIN_ASSUMED_S, age_s))
        assumed = math.log(MAX_ASSUMED_S / bounded_s)
        assumed /= math.log(MAX_ASSUMED_S / MIN_ASSUMED_S)
        return SEEN_WEIGHT * seen + ASSUMED_WEIGHT * assumed

    def estimate_end_probability(self, age_s: float, within_s: float) -> float:
        """Returns the probability that an outage ends within a time.

        Args:
          age_s: how long it has lasted, in seconds.
          within_s: seconds from now on.
        """
        longer = self._count_longer(age_s)
        if not longer:
            return float(within_s >= LONG_OUTAGE_SHARE * age_s)
        return 1 - self._count_longer(age_s + within_s) / longer

    def estimate_remaining(self, age_s: float) -> float:
        """Returns how long an outage goes on, in seconds.

        RETURN_QUANTILE of the outages of this age are over by then.
        """
        if not self._count_longer(age_s):
            return LONG_OUTAGE_SHARE * age_s
        low_s, high_s = 0.0, max(MAX_ASSUMED_S, *self._seen, age_s)
        while high_s - low_s > ACCURACY_S:
            middle_s = (low_s + high_s) / 2
            if self.estimate_end_probability(age_s, middle_s) < RETURN_QUANTILE:
                low_s = middle_s
            else:
                high_s = middle_s
        return high_s


def decide(
    outage: Outage,
    lengths: OutageLengths,
    left_s: float,
    spread: float,
) -> Decision:
    """Decides on a submission that arrives while the store is away.

    Args:
      outage: the outage.
      lengths: the lengths of outages.
      left_s: seconds until the submission's caller needs a response.
      spread: a number from 0 to 1 that differs by caller.
    """
    if outage.scope is Scope.ISOLATED:
        # The caller comes back over a new connection, to another VM.
        return Decision(False, MIN_RETRY_AFTER_S)
    may_be_relayed = (
        outage.scope is Scope.UNKNOWN
        and outage.age_s < PEER_SEARCH_S
        and left_s >= RELAYED_S
    )
    is_in_time = left_s >= MIN_HOLD_S and (
        may_be_relayed
        or outage.may_send
        or lengths.estimate_end_probability(outage.age_s, left_s)
        >= MIN_END_PROBABILITY
    )
    if is_in_time:
        return HOLD
    return Decision(False, choose_retry_after(outage, lengths, left_s, spread))


def choose_retry_after(
    outage: Outage | None,
    lengths: OutageLengths,
    wait_s: float,
    spread: float,
) -> int:
    """Returns after how many seconds a rejected caller should come back.

    The likely end of the outage then lies within the wait of its next attempt.
    Callers that are rejected together come back spread over half of the time.

    Args:
      outage: the outage, None if it is over.
      lengths: the lengths of outages.
      wait_s: how long the caller waits in an attempt, in seconds.
      spread: a number from 0 to 1 that differs by caller.
    """
    if outage is None or outage.scope is Scope.ISOLATED:
        return MIN_RETRY_AFTER_S
    return_s = lengths.estimate_remaining(outage.age_s) - max(0.0, wait_s)
    return_s = max(MIN_RETRY_AFTER_S, return_s, MIN_RETURN_SHARE * outage.age_s)
    return min(MAX_RETRY_AFTER_S, round(return_s * (1 + spread / 2)))


def choose_tenant_to_reject(held: Mapping[str, int], tenant: str) -> str:
    """Returns whose submission is rejected if no more can be held.

    It is the tenant with the most held submissions, so that one that sends many
    doesn't take the room of the others.

    Args:
      held: the number of held submissions by tenant.
      tenant: the tenant of a further one, which is rejected if no other tenant
        holds more than it would.
    """
    largest = max(held, key=lambda name: held[name], default=tenant)
    own = held.get(tenant, 0) + 1
    return largest if held.get(largest, 0) > own else tenant
