"""The VMs of the system, found through the store, and calls between them."""

import asyncio

import msgspec

from persimmonpath_entry.decisions import succession
from persimmonpath_entry.engine import context
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

TABLE = "vm"
POLL_S = 3.0
RETRY_S = 0.4
# A peer that didn't answer is left out for this time.
AVOID_S = 2.0
PEER_TIMEOUT_S = 0.6
CONNECTIONS_PER_PEER = 6


class MemberRecord(msgspec.Struct):
    """A VM of the system.

    Attributes:
      address: where its peers reach it.
      zone: its availability zone.
      boot: the life of its process.
      weight: how fit it is to own a service, in cores.
    """

    address: str
    zone: str
    boot: str
    weight: float = 1.0


class Members:
    """The VMs of the system."""

    def __init__(self, node: context.Context):
        self._node = node
        self._records: dict[str, MemberRecord] = {}
        self._clients: dict[str, httpclient.HttpClient] = {}
        self._avoided: dict[str, float] = {}
        self._version: int | None = None
        limits = node.settings.limits
        self.own_weight = succession.weigh_vm(
            limits.cpu_share, limits.cores, limits.link_mbps
        )

    async def run(self):
        """Registers this VM and follows the others."""
        is_registered = False
        while True:
            if not is_registered:
                is_registered = await self._register()
            is_current = await self._refresh()
            if is_registered and is_current:
                await asyncio.sleep(POLL_S)
            else:
                await asyncio.sleep(RETRY_S)

    async def _register(self) -> bool:
        record = MemberRecord(
            self._node.peer_address,
            self._node.settings.zone,
            self._node.boot,
            self.own_weight,
        )
        result = await self._node.store.commit(
            "", [], [(TABLE, self._node.name, msgspec.json.encode(record))]
        )
        return isinstance(result, platform_store.Committed)

    async def unregister(self):
        """Removes this VM's row."""
        await self._node.store.commit("", [], [], [(TABLE, self._node.name)])

    async def _refresh(self) -> bool:
        if self._version is None:
            result = await self._node.store.read_all(TABLE, "")
        else:
            result = await self._node.store.follow(TABLE, self._version, 0)
        if isinstance(result, platform_store.HistoryGone):
            self._version = None
            return False
        if isinstance(result, platform_store.Refused):
            return False
        if self._version is None:
            self._records.clear()
        for row in result.rows:
            self._take(row)
        self._version = result.version
        return True

    def _take(self, row: platform_store.Row):
        if row.is_deleted:
            self._records.pop(row.key, None)
            return
        try:
            record = msgspec.json.decode(row.value, type=MemberRecord)
        except msgspec.MsgspecError as error:
            self._node.log.warn("row_unreadable", row=row.key, reason=error)
            return
        self._records[row.key] = record

    def list_addresses(self) -> list[str]:
        """Returns the peers that answered when last called, nearest first."""
        now = clock.read_clock()
        zone = self._node.settings.zone
        rows = [
            (record.zone != zone, name, record.address)
            for name, record in self._records.items()
            if name != self._node.name
            and self._avoided.get(record.address, 0.0) <= now
        ]
        return [address for _, _, address in sorted(rows)]

    def list_weights(self) -> dict[str, float]:
        """Returns the fitness of the VMs that are there, by address."""
        present = set(self.list_addresses())
        weights = {
            record.address: record.weight
            for record in self._records.values()
            if record.address in present
        }
        weights[self._node.peer_address] = self.own_weight
        return weights

    def list_all_weights(self) -> list[float]:
        """Returns the fitness of every other VM, there or not."""
        return [
            record.weight
            for name, record in self._records.items()
            if name != self._node.name
        ]

    def list_distant(self, count: int) -> list[str]:
        """Returns peers to probe, of as many other zones as possible."""
        zones: dict[str, list[str]] = {}
        for _name, record in sorted(self._records.items()):
            if record.zone != self._node.settings.zone:
                zones.setdefault(record.zone, []).append(record.address)
        rows = [
            (place, address)
            for addresses in zones.values()
            for place, address in enumerate(addresses)
        ]
        return [address for _, address in sorted(rows)][:count]

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> httpclient.Outcome:
        """Calls a peer."""
        client = self._clients.get(address)
        if client is None:
            client = httpclient.HttpClient(address, CONNECTIONS_PER_PEER)
            self._clients[address] = client
        outcome = await client.call(method, target, body, timeout_s=timeout_s)
        if isinstance(outcome, httpclient.NoResponse):
            if address not in self._avoided:
                self._node.log.warn(
                    "peer_lost", peer=address, reason=outcome.reason
                )
            self._avoided[address] = clock.read_clock() + AVOID_S
        elif self._avoided.pop(address, None) is not None:
            self._node.log.warn("peer_back", peer=address)
        return outcome
