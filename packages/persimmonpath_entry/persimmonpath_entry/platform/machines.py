"""Calls to the interface that moves and maintains machines."""

import dataclasses
from urllib.parse import quote

import msgspec

from persimmonpath_entry.transport import httpclient

UP = "up"
UNKNOWN = "unknown"
TIMEOUT_S = 1.5


class MachineRow(msgspec.Struct):
    """A machine as the platform lists it.

    Attributes:
      machine: its name.
      pool: the service whose pool it is in.
      state: up, moving, upkeep or down.
      worker_id: the id of its worker, or empty.
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
    """What became of an order for a machine.

    Attributes:
      is_done: whether it has been carried out.
      reason: why not: fence, busy, wave, an HTTP status, or unknown.
    """

    is_done: bool
    reason: str = ""


class MachineClient:
    """Lists and maintains machines."""

    def __init__(self, address: str):
        self._client = httpclient.HttpClient(address, limit=2)

    async def list_machines(self) -> list[MachineRow] | None:
        """Returns all machines, or None if the list can't be read."""
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
            except msgspec.MsgspecError:
                return None
            rows += page.machines
            token = page.next_token
            if not token:
                return rows

    async def start_maintenance(
        self, machine: str, wave: int, holder: str, fence: int
    ) -> MaintenanceResult:
        """Begins the upkeep of a machine; all that runs on it ends."""
        headers = f"X-Lease-Holder: {holder}\r\nX-Fencing-Token: {fence}\r\n"
        outcome = await self._client.call(
            "POST",
            "/api/machine-upkeep",
            msgspec.json.encode({"machine": machine, "wave": wave}),
            headers,
            timeout_s=TIMEOUT_S,
        )
        if isinstance(outcome, httpclient.NoResponse):
            return MaintenanceResult(
                False, UNKNOWN if outcome.sent else "unsent"
            )
        if outcome.status == 200:
            return MaintenanceResult(True)
        if outcome.status == 409:
            body = msgspec.json.decode(outcome.body)
            return MaintenanceResult(False, str(body.get("reason")))
        return MaintenanceResult(False, str(outcome.status))
