"""Removes the rows of VMs that are lost for good; one VM does it for all."""

import asyncio

from persimmonpath_entry.decisions import memberexpiry
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.transport import clock

# Pause after each probe, in seconds, which bounds the rate of probes.
PROBE_PAUSE_S = 0.1
IDLE_PAUSE_S = 1.0


class MemberExpiry:
    """Probes the VMs in turn and removes the rows of lost ones.

    A VM that was cut off and is back registers itself again.
    """

    def __init__(
        self,
        node: context.Context,
        peers: members.Members,
        ownership: owners.Ownership,
    ):
        self._node = node
        self._peers = peers
        self._ownership = ownership
        self._records: dict[str, memberexpiry.ProbeRecord] = {}

    async def run(self):
        """Probes until cancelled, on the coordinating VM only."""
        while True:
            pause_s = IDLE_PAUSE_S
            if self._ownership.find_coordinating_shard() is None:
                self._records.clear()
            elif await self._probe_next():
                pause_s = PROBE_PAUSE_S
            await asyncio.sleep(pause_s)

    async def _probe_next(self) -> bool:
        """Probes the VM whose turn it is; returns whether there was one."""
        now = clock.read_clock()
        self._follow_members(now)
        name = memberexpiry.choose_probe(self._records, now)
        if name is None:
            return False
        record = self._records[name]
        record.record(await self._peers.ask_for_boot(name) is not None, now)
        if memberexpiry.is_lost(
            self._records, name, self._node.settings.zone, clock.read_clock()
        ):
            await self._remove(name, record)
        return True

    def _follow_members(self, now: float):
        """Begins to probe new VMs, spread over a period, and forgets gone ones.

        Args:
          now: the monotonic clock, in seconds.
        """
        zones = self._peers.list_peer_zones()
        for name in list(self._records):
            if name not in zones:
                del self._records[name]
        new = [name for name in zones if name not in self._records]
        for index, name in enumerate(new):
            delay_s = memberexpiry.PROBE_PERIOD_S * (index + 1) / len(new)
            self._records[name] = memberexpiry.ProbeRecord(
                zones[name], now + delay_s
            )

    async def _remove(self, name: str, record: memberexpiry.ProbeRecord):
        """Removes the row of a lost VM, if this VM is still the owner."""
        shard = self._ownership.find_coordinating_shard()
        now = clock.read_clock()
        if shard is None or not shard.may_start(now):
            return
        is_removed = await self._peers.remove_lost(name)
        self._node.log.warn(
            "vm_removed" if is_removed else "vm_not_removed",
            vm=name,
            zone=record.zone,
            silent_s=now - record.failing_since,
            probes=record.failures,
        )
