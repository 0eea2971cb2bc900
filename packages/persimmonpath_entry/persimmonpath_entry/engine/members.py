"""Registers this VM in the store, finds its peers and calls them."""

import asyncio

import msgspec

from persimmonpath_entry.decisions import ownerselection
from persimmonpath_entry.decisions import peerorder
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import numbers
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

VM_TABLE = "vm"
POLL_S = 3.0
RETRY_S = 0.4
# A peer that didn't answer is left out of the reachable peers for this time.
AVOID_S = 2.0
PEER_TIMEOUT_S = 0.6
CONNECTIONS_PER_PEER = 6


class MemberRecord(msgspec.Struct):
    """The row of a VM.

    Attributes:
      address: where its peers reach it, as host:port.
      zone: its availability zone.
      boot: identifies the incarnation of its process.
      weight: its capacity to own a service, in cores.
    """

    address: str
    zone: str
    boot: str
    weight: numbers.Amount = 1.0


class Members:
    """Follows the rows of all VMs and keeps a client for each peer.

    Attributes:
      own_weight: the weight of this VM, in cores.
    """

    def __init__(self, node: context.Context):
        self._node = node
        self._records: dict[str, MemberRecord] = {}
        # The versions of the rows, by the name of the VM.
        self._row_versions: dict[str, int] = {}
        self._is_registered = False
        self._clients: dict[str, httpclient.HttpClient] = {}
        self._avoided_until: dict[str, float] = {}
        self._version: int | None = None
        self.own_weight = 0.0
        self.update_weight()

    def update_weight(self):
        """Derives the weight of this VM from its limits; stores a change."""
        limits = self._node.settings.limits
        weight = ownerselection.compute_vm_weight(
            limits.cpu_share, limits.cores, limits.link_mbps
        )
        if weight != self.own_weight:
            self.own_weight = weight
            self._is_registered = False

    async def run(self):
        """Registers this VM and polls the rows of all VMs until cancelled."""
        while True:
            if not self._is_registered and not self._node.is_stopping:
                self._is_registered = await self._register()
            is_current = await self._refresh()
            if self._is_registered and is_current:
                await asyncio.sleep(POLL_S)
            else:
                await asyncio.sleep(RETRY_S)

    async def _register(self) -> bool:
        """Writes the row of this VM; returns whether that succeeded."""
        record = MemberRecord(
            self._node.peer_address,
            self._node.settings.zone,
            self._node.boot,
            self.own_weight,
        )
        result = await self._node.store.commit(
            "", [], [(VM_TABLE, self._node.name, msgspec.json.encode(record))]
        )
        return isinstance(result, platform_store.Committed)

    async def unregister(self):
        """Removes this VM's row."""
        await self._node.store.commit("", [], [], [(VM_TABLE, self._node.name)])

    async def _refresh(self) -> bool:
        """Reads changed rows, all at first; returns whether that succeeded."""
        if self._version is None:
            result = await self._node.store.read_all(VM_TABLE, "")
        else:
            result = await self._node.store.follow(VM_TABLE, self._version, 0)
        if isinstance(result, platform_store.HistoryGone):
            self._version = None
            return False
        if isinstance(result, platform_store.Refused):
            return False
        if self._version is None:
            self._records.clear()
            self._row_versions.clear()
        rowcodec.apply_rows(self._node, result.rows, self._apply_row)
        if self._version is None and self._node.name not in self._records:
            self._is_registered = False
        self._version = result.version
        return True

    def _apply_row(self, row: platform_store.Row):
        """Records or removes a VM; an unreadable row is logged and skipped."""
        if row.is_deleted:
            self._records.pop(row.key, None)
            self._row_versions.pop(row.key, None)
            if row.key == self._node.name:
                # A peer took this VM for lost while it was cut off.
                self._is_registered = False
            return
        record = rowcodec.decode_row(self._node, row, MemberRecord)
        if record is not None and not messages.is_address(record.address):
            self._node.log.warn(
                "row_unreadable",
                row=f"{row.part}/{row.key}",
                reason=f"address: {record.address!r}",
            )
            record = None
        if record is not None:
            self._records[row.key] = record
            self._row_versions[row.key] = row.version

    def list_peer_zones(self) -> dict[str, str]:
        """Returns the zones of all other VMs, reachable or not, by name."""
        return {
            name: record.zone
            for name, record in self._records.items()
            if name != self._node.name
        }

    def count_vms(self) -> int:
        """Returns the number of VMs, with this one."""
        return len(self.list_peer_zones()) + 1

    async def ask_for_boot(self, name: str) -> str | None:
        """Asks a VM for the id of its incarnation; None without an answer."""
        record = self._records.get(name)
        if record is None:
            return None
        outcome = await self.call(
            record.address, "GET", "/peer/boot", timeout_s=PEER_TIMEOUT_S
        )
        if not isinstance(outcome, httpclient.Response):
            return None
        return outcome.body.decode("latin-1")

    async def remove_lost(self, name: str) -> bool:
        """Removes the row of a lost VM, unless it has been written again.

        Returns:
          Whether the row was removed.
        """
        version = self._row_versions.get(name)
        if version is None:
            return False
        result = await self._node.store.commit(
            "", [(VM_TABLE, name, version)], [], [(VM_TABLE, name)]
        )
        return isinstance(result, platform_store.Committed)

    def list_reachable_peers(self) -> list[str]:
        """Returns the addresses of the reachable peers, own zone first.

        A peer counts as reachable unless a call to it failed within AVOID_S.
        """
        now = clock.read_clock()
        zone = self._node.settings.zone
        rows = [
            (record.zone != zone, name, record.address)
            for name, record in self._records.items()
            if name != self._node.name
            and self._avoided_until.get(record.address, 0.0) <= now
        ]
        return [address for _, _, address in sorted(rows)]

    def list_reachable_weights(self) -> dict[str, float]:
        """Returns the weights of this VM and its reachable peers by address."""
        reachable = set(self.list_reachable_peers())
        weights = {
            record.address: record.weight
            for record in self._records.values()
            if record.address in reachable
        }
        weights[self._node.peer_address] = self.own_weight
        return weights

    def list_peer_weights(self) -> list[float]:
        """Returns the weights of all other VMs, reachable or not."""
        return [
            record.weight
            for name, record in self._records.items()
            if name != self._node.name
        ]

    async def ask_for_takeover(self, address: str) -> bool:
        """Asks a peer to look for services without an owner.

        Returns:
          Whether it answers and reaches the store.
        """
        outcome = await self.call(
            address, "POST", "/peer/owners-changed", timeout_s=PEER_TIMEOUT_S
        )
        if isinstance(outcome, httpclient.NoResponse):
            return False
        outcome = await self.call(
            address, "GET", "/peer/store", timeout_s=PEER_TIMEOUT_S
        )
        return (
            isinstance(outcome, httpclient.Response) and outcome.status == 200
        )

    def list_probe_targets(self, count: int, attempt: int) -> list[str]:
        """Returns peers of other zones to probe, spread over many zones.

        Args:
          count: the maximum number of addresses.
          attempt: number of the attempt; each one turns to the next peers.
        """
        peers_by_zone: dict[str, list[str]] = {}
        for record in self._records.values():
            if record.zone != self._node.settings.zone:
                peers = peers_by_zone.setdefault(record.zone, [])
                peers.append(record.address)
        return peerorder.choose_probe_targets(
            self._node.peer_address, peers_by_zone, count, attempt
        )

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> httpclient.Outcome:
        """Calls a peer over HTTP and records whether it is reachable.

        Args:
          address: the peer's address.
          method: the HTTP method.
          target: path and query.
          body: the body, empty for none.
          timeout_s: seconds until the call is given up.

        Returns:
          The answer, or why there is none.
        """
        client = self._clients.get(address)
        if client is None and not messages.is_address(address):
            return httpclient.NoResponse(sent=False, reason="refused")
        if client is None:
            client = httpclient.HttpClient(address, CONNECTIONS_PER_PEER)
            self._clients[address] = client
        outcome = await client.call(method, target, body, timeout_s=timeout_s)
        if isinstance(outcome, httpclient.NoResponse):
            if address not in self._avoided_until:
                self._node.log.warn(
                    "peer_lost", peer=address, reason=outcome.reason
                )
            self._avoided_until[address] = clock.read_clock() + AVOID_S
        elif self._avoided_until.pop(address, None) is not None:
            self._node.log.warn("peer_back", peer=address)
        return outcome
