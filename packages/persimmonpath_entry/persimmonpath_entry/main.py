"""Entry point of the entry VM's program."""

import asyncio
import gc
import sys

from persimmonpath_entry.engine import node as nodes
from persimmonpath_entry.platform import settings as platform_settings

EXIT_BAD_SETTINGS = 2
# Net allocations that trigger a garbage collection. Most garbage here has no
# cycles and is freed by reference counting.
GC_THRESHOLD = 20_000


def main() -> int:
    """Runs an entry VM until it is told to stop.

    Returns:
      The exit status: 0, or 2 if the settings are invalid.
    """
    settings = platform_settings.load_settings()
    if isinstance(settings, list):
        for fault in settings:
            print(f"event=settings_faulty reason={fault!r}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(_run(settings))
    return 0


async def _run(settings: platform_settings.Settings):
    await nodes.Node(settings).run()
