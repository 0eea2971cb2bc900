"""Admission filters for requests, and checks of their input.

Under overload the filters refuse a request at once instead of queueing it past
its deadline.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from persimmonpath import errors
from persimmonpath import estimates
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import queues
from persimmonpath import work

# Longest timeout of a request.
MAX_TIMEOUT_S = 600.0
# Share of a request's timeout that is reserved for returning the answer.
REPLY_HEADROOM_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at the owner of its shard.

    Attributes:
        id: Its id.
        request: Its content.
        now: When it arrived, in monotonic seconds.
        estimate: Its expected run time.
        item: Its item in the queue.
    """

    id: identifiers.RequestId
    request: work.Request
    now: float
    estimate: estimates.Estimate
    item: queues.Item


# Returns the reason to refuse a request, or None to admit it.
Filter = Callable[[Arrival], str | None]


def apply_filters(filters: Iterable[Filter], arrival: Arrival) -> str | None:
    """Returns the first reason to refuse a request, None to admit it."""
    for check in filters:
        reason = check(arrival)
        if reason is not None:
            return reason
    return None


def check_time_left(arrival: Arrival) -> str | None:
    """Refuses a request whose deadline has passed."""
    if arrival.request.timeout_s <= 0:
        return "deadline_passed"
    return None


def create_wait_check(
    queue: queues.FairQueue,
    measure_slots: Callable[[bool], tuple[int, float]],
) -> Filter:
    """Returns a filter that refuses requests that would miss their deadline.

    Args:
        queue: Queue in which the request would wait.
        measure_slots: Called with whether the request is short; returns the
            number of requests that can run at once and the remaining seconds
            of running work, of short work only for a short request and 0.0
            while a slot is free.
    """

    def check(arrival: Arrival) -> str | None:
        if not len(queue):
            return None
        item = arrival.item
        wait_s = queue.estimate_wait(item, *measure_slots(item.is_short))
        needed_s = wait_s + arrival.estimate.high_s
        usable_s = arrival.request.timeout_s * (1 - REPLY_HEADROOM_SHARE)
        # A request that need not wait is never refused for its estimate.
        if wait_s > 0 and needed_s > usable_s:
            return "overloaded"
        return None

    return check


def check_request(request: work.Request) -> None:
    """Checks the values of a request.

    Raises:
        errors.InputError: If one is out of range.
    """
    if len(request.payload) > work.MAX_PAYLOAD_BYTES:
        raise errors.InputError(
            "payload",
            f"{len(request.payload)} bytes",
            f"at most {work.MAX_PAYLOAD_BYTES} bytes",
        )
    if not 0 < request.timeout_s <= MAX_TIMEOUT_S:
        raise errors.InputError(
            "timeout", f"{request.timeout_s} s", f"0 to {MAX_TIMEOUT_S} s"
        )
    size = request.size
    if size.is_negative() or request.run_s < 0:
        raise errors.InputError("resources", "a value is negative", "0 or more")


def check_shard(
    request_id: identifiers.RequestId, content: inventory.Inventory
) -> None:
    """Checks that an id names a shard of the inventory.

    Without a configuration every id is accepted: a restarted entry VM must not
    call a valid id invalid, and the router answers `unknown` for a shard that
    it cannot reach.

    Raises:
        errors.InputError: If it names no shard or zone of the inventory.
    """
    if not content.zones:
        return
    for zone in content.zones:
        if zone.name == request_id.shard.zone:
            if request_id.shard.index < zone.shards:
                return
            raise errors.InputError(
                "id", f"{request_id} names no shard", f"0 to {zone.shards - 1}"
            )
    names = ", ".join(zone.name for zone in content.zones)
    raise errors.InputError(
        "id", f"{request_id} names no availability zone", names
    )
