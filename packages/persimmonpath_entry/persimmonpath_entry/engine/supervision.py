"""Keeps the long-running tasks of a process running after unexpected errors."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from persimmonpath_entry.engine import context

# Pause before a task is started again, in seconds.
RESTART_PAUSE_S = 0.5


async def keep_running(
    node: context.Context, name: str, run: Callable[[], Awaitable[None]]
):
    """Runs a coroutine function again after each unexpected error.

    One unreadable message must not end a task on which the whole process
    depends.

    Args:
      node: the context of the process, for the log.
      name: name of the task in the log.
      run: the coroutine function; the task ends when it returns.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:  # noqa: BLE001
            node.log.warn(
                "task_restarted",
                task=name,
                **context.describe_error(error),
            )
        await asyncio.sleep(RESTART_PAUSE_S)
