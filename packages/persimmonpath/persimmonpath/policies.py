"""Scheduling rules that depend on the type of work.

Each function dispatches on requests, batch jobs, gangs and services, and raises
`NotImplementedError` for any other type.
"""

import functools

from persimmonpath import rules
from persimmonpath import work


@functools.singledispatch
def starts_together(item: object) -> bool:
    """Returns whether all tasks must start together."""
    raise NotImplementedError(type(item).__name__)


@starts_together.register(work.Request)
@starts_together.register(work.BatchJob)
@starts_together.register(work.ServiceJob)
def _(item) -> bool:
    return False


@starts_together.register
def _(item: work.GangJob) -> bool:
    return True


@functools.singledispatch
def restarts_on_end(item: object) -> bool:
    """Returns whether a task is restarted whenever it ends by itself."""
    raise NotImplementedError(type(item).__name__)


@restarts_on_end.register(work.Request)
@restarts_on_end.register(work.BatchJob)
@restarts_on_end.register(work.GangJob)
def _(item) -> bool:
    return False


@restarts_on_end.register
def _(item: work.ServiceJob) -> bool:
    return True


@functools.singledispatch
def get_attempt_limit(item: object) -> int | None:
    """Returns the failed attempts that end a task; None for no limit."""
    raise NotImplementedError(type(item).__name__)


@get_attempt_limit.register
def _(item: work.Request) -> int | None:
    return 1


@get_attempt_limit.register(work.BatchJob)
@get_attempt_limit.register(work.GangJob)
def _(item) -> int | None:
    return item.max_attempts


@get_attempt_limit.register
def _(item: work.ServiceJob) -> int | None:
    # A service runs until it is cancelled; failures only delay its restart.
    return None


@functools.singledispatch
def spreads_racks(item: object) -> bool:
    """Returns whether tasks are spread over racks."""
    raise NotImplementedError(type(item).__name__)


@spreads_racks.register(work.Request)
@spreads_racks.register(work.BatchJob)
@spreads_racks.register(work.GangJob)
def _(item) -> bool:
    return False


@spreads_racks.register
def _(item: work.ServiceJob) -> bool:
    return True


@functools.singledispatch
def get_spare_slots_share(item: object, policy: rules.Policy) -> float:
    """Returns the share of a worker's slots that the work must leave free."""
    raise NotImplementedError(type(item).__name__)


@get_spare_slots_share.register(work.Request)
def _(item, policy: rules.Policy) -> float:
    del policy
    return 0.0


@get_spare_slots_share.register(work.BatchJob)
@get_spare_slots_share.register(work.ServiceJob)
@get_spare_slots_share.register(work.GangJob)
def _(item, policy: rules.Policy) -> float:
    if item.priority is work.Priority.URGENT:
        return 0.0
    return policy.short_slots_share
