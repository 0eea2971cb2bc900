"""Periodic actions that are skipped while they have nothing to do."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConditionalAction:
    """An action that is skipped unless it is due.

    A scheduler that runs actions on a thread pool checks `is_due` before it
    submits the action: at 20 submissions per second the submission alone costs
    about 0.3 % of a core.

    Attributes:
        is_due: Returns whether there is anything to do; must not hold a lock
            for long.
        action: The action.
    """

    is_due: Callable[[], bool]
    action: Callable[[], None]

    def __call__(self) -> None:
        """Runs the action if it is due."""
        if self.is_due():
            self.action()
