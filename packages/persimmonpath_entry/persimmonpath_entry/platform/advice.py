"""Client of the placement advisor."""

import msgspec

from persimmonpath_entry.platform import messages
from persimmonpath_entry.transport import httpclient

# Most worker ids in one call; the caller keeps to it, nothing here checks it.
MAX_WORKERS = 100


class _AdviceResponse(msgspec.Struct, rename="camel"):
    # Worker id and ticket of each worker that may run the step.
    good: list[tuple[str, str]] = []


class AdviceClient:
    """Asks the advisor which workers may run a step."""

    def __init__(self, address: str):
        self._client = httpclient.HttpClient(address, limit=8)

    def set_address(self, address: str):
        """Makes later calls to another address of the advisor."""
        self._client.set_address(address)

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> dict[str, str] | None:
        """Requests tickets that let a step run on workers.

        Args:
          step: the id of the step.
          workers: ids of the candidate workers, at most MAX_WORKERS.
          timeout_s: seconds until the call is given up.

        Returns:
          Tickets by worker id, without the workers that were turned down, or
          None if there was no usable response.
        """
        body = msgspec.json.encode({"step": step, "workers": workers})
        outcome = await self._client.call(
            "POST", "/api/advise", body, timeout_s=timeout_s
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return None
        try:
            return dict(
                msgspec.json.decode(outcome.body, type=_AdviceResponse).good
            )
        except messages.UNREADABLE:
            return None
