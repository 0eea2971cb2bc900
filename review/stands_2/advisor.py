"""The service that knows which workers may run a step."""

import asyncio

from review.stands_2 import record as records
from review.stands_2 import web


class Advisor:
    """Approves every worker that it is asked about.

    Attributes:
      calls: number of calls.
    """

    def __init__(
        self, name: str, record: records.Record, decide_s: float, each_s: float
    ):
        """Creates an advisor.

        Args:
          name: its name in the record.
          record: what is sent, answered and run.
          decide_s: duration of a call.
          each_s: further duration for each worker named.
        """
        self.calls = 0
        self._name = name
        self._record = record
        self._decide_s = decide_s
        self._each_s = each_s
        self._server = web.Server(self._handle)

    async def listen(self, host: str, port: int):
        """Starts to serve."""
        self._record.write("advisor_up", advisor=self._name)
        await self._server.listen(host, port)

    def close(self):
        """Stops serving."""
        self._record.write("advisor_closed", advisor=self._name)
        self._server.close()

    async def _handle(self, request: web.Request):
        if request.target != "/api/advise":
            return 404, {}
        body = request.read_json()
        step, workers = body["step"], body["workers"]
        self.calls += 1
        self._record.write(
            "advise", advisor=self._name, step=step, workers=len(workers)
        )
        await asyncio.sleep(self._decide_s + self._each_s * len(workers))
        return 200, {"good": [[w, make_ticket(step, w)] for w in workers]}


def make_ticket(step: str, worker_id: str) -> str:
    """Returns the ticket of a step for a worker."""
    return f"ticket-{step}-{worker_id}"
