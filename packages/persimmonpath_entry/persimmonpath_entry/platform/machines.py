"""Client of the cloud API that lists and maintains machines."""

import dataclasses
from urllib.parse import quote

import msgspec

from persimmonpath_entry.platform import messages
from persimmonpath_entry.transport import httpclient

# State of a machine that is in service.
UP = "up"
# Reason of a call whose outcome is unknown: the request may have been read.
UNKNOWN = "unknown"
# Reason of a refusal: another holder has used a higher fencing token.
STALE_FENCE = "fence"
TIMEOUT_S = 1.5


class MachineRow(msgspec.Struct):
    """A machine as the platform lists it.

    Attributes:
      machine: name of the machine.
      pool: the service whose pool the machine is in.
      state: up, moving, upkeep (under maintenance) or down.
      worker_id: id of the worker on the machine, empty or None if there is
        none; `id` on the wire.
    """

    machine: str
    pool: str = ""
    state: str = ""
    worker_id: str | None = msgspec.field(name="id", default="")


class _Page(msgspec.Struct, rename="camel"):
    machines: list[MachineRow] = []
    next_token: str | int | None = None


@dataclasses.dataclass(slots=True)
class MaintenanceResult:
    """Outcome of a call that starts the maintenance of a machine.

    Attributes:
      is_done: whether the platform has carried the call out.
      reason: why it has not: fence, busy, wave, an HTTP status, unsent, or
        unknown if the platform may have read the request.
    """

    is_done: bool
    reason: str = ""


class MachineClient:
    """Lists machines and starts their maintenance."""

    def __init__(self, address: str):
        self._client = httpclient.HttpClient(address, limit=2)

    def set_address(self, address: str):
        """Makes later calls to another address of the API."""
        self._client.set_address(address)

    async def list_machines(self) -> list[MachineRow] | None:
        """Reads all pages; returns None if any page can't be read."""
        rows: list[MachineRow] = []
        token = ""
        while True:
            target = "/api/machines"
            if token:
                target += f"?pageToken={quote(str(token))}"
            outcome = await self._client.call(
                "GET", target, timeout_s=TIMEOUT_S
            )
            if isinstance(outcome, httpclient.NoResponse):
                return None
            if outcome.status != 200:
                return None
            try:
                page = msgspec.json.decode(outcome.body, type=_Page)
            except messages.UNREADABLE:
                return None
            rows += page.machines
            token = page.next_token
            if not token:
                return rows

    async def start_maintenance(
        self, machine: str, wave: int, holder: str, fence: int, send_by: float
    ) -> MaintenanceResult:
        """Starts the maintenance of a machine, which ends every run on it.

        Args:
          machine: name of the machine.
          wave: number of the maintenance wave that the machine belongs to.
          holder: name of the entry VM that makes the call as the owner.
          fence: the owner's fencing token.
          send_by: end of the permission to order; monotonic time in seconds.
        """
        headers = f"X-Lease-Holder: {holder}\r\nX-Fencing-Token: {fence}\r\n"
        outcome = await self._client.call(
            "POST",
            "/api/machine-upkeep",
            msgspec.json.encode({"machine": machine, "wave": wave}),
            headers,
            timeout_s=TIMEOUT_S,
            send_by=send_by,
        )
        if isinstance(outcome, httpclient.NoResponse):
            return MaintenanceResult(
                False, UNKNOWN if outcome.sent else "unsent"
            )
        if outcome.status == 200:
            return MaintenanceResult(True)
        if outcome.status == 409:
            return MaintenanceResult(False, _decode_reason(outcome.body))
        return MaintenanceResult(False, str(outcome.status))


class _Refusal(msgspec.Struct):
    reason: str = "409"


def _decode_reason(body: bytes) -> str:
    """Returns the reason of a refusal, "409" if the body is unreadable."""
    try:
        return msgspec.json.decode(body, type=_Refusal).reason
    except messages.UNREADABLE:
        return "409"
