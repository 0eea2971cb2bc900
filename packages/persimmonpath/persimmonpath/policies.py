"""What differs between the kinds of work."""

import functools

from persimmonpath import work


@functools.singledispatch
def starts_together(item: object) -> bool:
    """Returns whether all tasks must start at once or none."""
    raise NotImplementedError(type(item).__name__)


@starts_together.register(work.BatchJob)
@starts_together.register(work.ServiceJob)
def _(item) -> bool:
    return False


@starts_together.register
def _(item: work.GangJob) -> bool:
    return True


@functools.singledispatch
def restarts_on_end(item: object) -> bool:
    """Returns whether a task that ends by itself is started again."""
    raise NotImplementedError(type(item).__name__)


@restarts_on_end.register(work.BatchJob)
@restarts_on_end.register(work.GangJob)
def _(item) -> bool:
    return False


@restarts_on_end.register
def _(item: work.ServiceJob) -> bool:
    return True
