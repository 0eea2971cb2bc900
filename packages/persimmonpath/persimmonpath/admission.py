"""Filters that every request passes before it waits for a worker."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from persimmonpath import errors
from persimmonpath import estimates
from persimmonpath import identifiers
from persimmonpath import inventory
from persimmonpath import queues
from persimmonpath import work

MAX_TIMEOUT_S = 600.0
# Part of the caller's time that must remain for the way of the answer.
REPLY_HEADROOM_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at the owner of its shard.

    Attributes:
        id: Its id.
        request: Its content.
        now: When it arrived, in monotonic seconds.
        estimate: Its expected run time.
        item: What would wait in the queue.
    """

    id: identifiers.RequestId
    request: work.Request
    now: float
    estimate: estimates.Estimate
    item: queues.Item


# Returns the reason for which a request is not run, or None to pass it on.
Filter = Callable[[Arrival], str | None]


def apply_filters(filters: Iterable[Filter], arrival: Arrival) -> str | None:
    """Returns the first reason against a request, or None."""
    for check in filters:
        reason = check(arrival)
        if reason is not None:
            return reason
    return None


def check_time_left(arrival: Arrival) -> str | None:
    """Refuses a request whose caller has given up."""
    if arrival.request.timeout_s <= 0:
        return "deadline_passed"
    return None


def create_wait_check(
    queue: queues.FairQueue,
    measure_slots: Callable[[bool], tuple[int, float]],
) -> Filter:
    """Returns a filter that refuses what cannot end before its deadline.

    Args:
        queue: What the request would wait in.
        measure_slots: Returns, for short or for all work, the requests that
            can run at once and the seconds of work left of those that run;
            0.0 while a slot is free.
    """

    def check(arrival: Arrival) -> str | None:
        if not len(queue):
            return None
        item = arrival.item
        wait_s = queue.estimate_wait(item, *measure_slots(item.is_short))
        needed_s = wait_s + arrival.estimate.high_s
        # An empty queue means no wait whatever the guess says.
        usable_s = arrival.request.timeout_s * (1 - REPLY_HEADROOM_SHARE)
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

    An entry VM that has no configuration yet cannot judge any id; the router
    answers `unknown` for a shard that it cannot reach.

    Raises:
        errors.InputError: If it does not.
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
