"""Checks of states that the program rules out."""

from persimmonpath import errors


def ensure(condition: bool, message: str) -> None:
    """Raises when a condition that must always hold does not.

    Args:
        condition: The condition.
        message: What was violated, for the log.

    Raises:
        errors.InvariantError: If the condition is false.
    """
    if not condition:
        raise errors.InvariantError(message)
