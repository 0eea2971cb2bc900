"""Calls to the placement advisor."""

import msgspec

from persimmonpath_entry.transport import httpclient

MAX_WORKERS = 100


class _AdviceResponse(msgspec.Struct, rename="camel"):
    good: list[tuple[str, str]] = []


class AdviceClient:
    """Asks which workers may run a step."""

    def __init__(self, address: str):
        self._client = httpclient.HttpClient(address, limit=8)

    async def ask(
        self, step: str, workers: list[str], timeout_s: float
    ) -> dict[str, str] | None:
        """Returns tickets by worker id, or None if there was no answer."""
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
        except msgspec.MsgspecError:
            return None
