"""Checks of states that the program rules out."""

from collections.abc import Callable

from persimmonpath import errors

Handler = Callable[[errors.InvariantError], None]

_handlers: list[Handler] = []


def subscribe(handler: Handler) -> None:
    """Registers what is called before a broken invariant is raised.

    Callbacks of futures run on threads that only log what they raise, so a
    process that has to stop does so in a handler.
    """
    _handlers.append(handler)


def ensure(condition: bool, message: str) -> None:
    """Raises when a condition that must always hold does not.

    Args:
        condition: The condition.
        message: What was violated, for the log.

    Raises:
        errors.InvariantError: If the condition is false.
    """
    if condition:
        return
    error = errors.InvariantError(message)
    for handler in _handlers:
        handler(error)
    raise error
