"""Gangs across workers: members work together, or not at all."""

import asyncio
import zlib


class Gang:
    """The members of one gang step, wherever they run.

    Each member produces a value of its own with each `checkpointS` of work, and
    the value of any member is valid for the gang.
    """

    def __init__(self, name: str, count: int, work_s: float, timings: dict):
        """Creates a gang.

        Args:
          name: the step, as ID.K.STEP.
          count: the number of members.
          work_s: seconds of work.
          timings: the bounds of the settings.
        """
        self._name = name
        self._count = count
        self._work_s = work_s
        self._timings = timings
        self._present: dict[int, dict[str, object]] = {}
        self._complete: dict[int, asyncio.Event] = {}
        self._broken: dict[int, asyncio.Event] = {}

    def covers(self, task: str) -> bool:
        """Returns whether a task is a member."""
        return task.rpartition(".")[0] == self._name

    async def work(self, worker, run) -> str:
        """Works as one member and returns how that ended."""
        present = self._present.setdefault(run.number, {})
        complete = self._complete.setdefault(run.number, asyncio.Event())
        broken = self._broken.setdefault(run.number, asyncio.Event())
        present[run.task] = worker
        if len(present) == self._count:
            complete.set()
        try:
            async with asyncio.timeout(self._timings["gangTimeoutMs"] / 1000):
                await complete.wait()
        except TimeoutError:
            return "alone"
        done_s = float(int(run.saved[:8], 16)) / 1000 if run.saved else 0.0
        while done_s < self._work_s:
            try:
                async with asyncio.timeout(self._timings["checkpointS"]):
                    await broken.wait()
                return "broken"
            except TimeoutError:
                pass
            done_s += self._timings["checkpointS"]
            mark = zlib.crc32(run.task.encode())
            run.saved = f"{int(done_s * 1000):08x}{mark:08x}"
        return "done"

    def note_end(self, run, how: str):
        """Breaks the gang if a member ended before it was done."""
        if self.covers(run.task) and how != "done":
            event = self._broken.get(run.number)
            if event is not None:
                event.set()
