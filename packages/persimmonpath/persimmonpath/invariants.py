"""Runtime checks of internal invariants."""

from collections.abc import Callable

from persimmonpath import errors

Handler = Callable[[errors.InvariantError], None]

_handlers: list[Handler] = []


def subscribe(handler: Handler) -> None:
    """Registers a handler that is called before `InvariantError` is raised.

    An exception in a callback of a future is only logged, so a process that
    must stop after a violation has to stop in a handler.
    """
    _handlers.append(handler)


def ensure(condition: bool, message: str) -> None:
    """Checks a condition that must always hold.

    Args:
        condition: The condition.
        message: Description of the violation, for the log.

    Raises:
        errors.InvariantError: If the condition is false.
    """
    if condition:
        return
    error = errors.InvariantError(message)
    for handler in _handlers:
        handler(error)
    raise error
