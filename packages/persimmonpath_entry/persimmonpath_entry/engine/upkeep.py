"""Carries out waves of upkeep; one VM does it for all services."""

import asyncio

import msgspec

from persimmonpath_entry.decisions import waves
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import versions
from persimmonpath_entry.platform import machines as machine_calls
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import work
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

TICK_S = 0.5
STATUS_TABLE = "status"
# A machine counts as down for this time on top of its upkeep, as the list of
# machines may lag.
DOWN_SLACK_S = 1.5


class Upkeep:
    """Carries out the waves that the operator asks for."""

    def __init__(
        self,
        node: context.Context,
        wanted: versions.Versions,
        ownership: owners.Ownership,
        peers: members.Members,
        client: machine_calls.MachineClient,
    ):
        self._node = node
        self._wanted = wanted
        self._ownership = ownership
        self._peers = peers
        self._client = client
        self._progress: dict[str, dict[str, waves.MachineProgress]] = {}
        self._ordered: dict[tuple[str, str], float] = {}
        self._stored: dict[str, bool] = {}

    async def run(self):
        """Looks after the waves until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            shard = self._find_duty()
            if shard is None:
                self._stored.clear()
                continue
            open_waves = {
                key: wave
                for key, wave in self._wanted.waves.items()
                if not self._stored.get(key)
            }
            if open_waves:
                await self._look_after(open_waves, shard.fence)

    def _find_duty(self):
        """Returns the shard that carries the duty, None on other VMs."""
        current = self._node.configuration
        if current is None or not current.services:
            return None
        return self._ownership.find_shard(min(current.services))

    async def _look_after(self, open_waves, fence: int):
        rows = await self._client.list_machines()
        if rows is None:
            return
        listed = {row.machine: row for row in rows}
        for key, wave in open_waves.items():
            await self._store_status(key, wave.wave, completed=False)
            await self._advance(key, wave, listed, fence)

    async def _advance(
        self, key, wave: messages.MaintenanceWave, listed, fence
    ):
        progress = self._progress.setdefault(key, {})
        now = clock.read_clock()
        for name in wave.machines:
            machine = progress.setdefault(name, waves.MachineProgress())
            self._note_state(key, name, machine, listed.get(name), now)
        limit_s = waves.find_wait_limit(
            wave.duration_s,
            len(wave.machines),
            wave.max_count,
            self._node.settings.bounds.maintenance_s,
        )
        for name in waves.choose_to_empty(progress, wave.max_count):
            machine = progress[name]
            if machine.since is None:
                machine.since = now
            await self._empty(machine, listed[name])
            if waves.may_begin(machine, limit_s, clock.read_clock()):
                await self._begin(key, name, machine, wave, fence)
        if waves.is_complete(progress):
            await self._store_status(key, wave.wave, completed=True)

    def _note_state(self, key, name, machine, row, now: float):
        machine.is_there = row is not None
        ordered_at = self._ordered.get((key, name))
        down_s = self._node.settings.bounds.maintenance_s + DOWN_SLACK_S
        is_fresh = ordered_at is not None and now - ordered_at < down_s
        is_up = row is not None and row.state == machine_calls.UP
        machine.is_up = is_up and not is_fresh

    async def _empty(self, machine, row: machine_calls.MachineRow):
        """Has the owner of a machine's worker move its work."""
        shard = self._ownership.find_shard(row.pool)
        if shard is not None:
            load = shard.roster.empty_worker(row.worker_id or "")
        else:
            load = await self._ask_owner(row)
        machine.runs = None if load is None else load.runs
        machine.protected = 0 if load is None else load.protected

    async def _ask_owner(self, row) -> work.WorkerLoad | None:
        address = self._ownership.find_owner(row.pool)
        if address is None:
            return None
        outcome = await self._peers.call(
            address, "POST", f"/peer/empty/{row.pool}/{row.worker_id}"
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return None
        return msgspec.json.decode(outcome.body, type=work.WorkerLoad)

    async def _begin(self, key, name, machine, wave, fence: int):
        result = await self._client.start_maintenance(
            name, wave.wave, self._node.name, fence
        )
        self._node.log.warn(
            "upkeep_ordered",
            machine=name,
            wave=wave.wave,
            fence=fence,
            runs=machine.runs,
            outcome="done" if result.is_done else result.reason,
        )
        # Without an answer the upkeep may have begun: the machine counts as
        # down, and the order is repeated, which does no harm.
        if result.is_done or result.reason == machine_calls.UNKNOWN:
            self._ordered[key, name] = clock.read_clock()
            machine.is_up = False
        machine.is_done = machine.is_done or result.is_done

    async def _store_status(self, key: str, wave: int, completed: bool):
        if self._stored.get(key) is not None and not completed:
            return
        result = await self._node.store.commit(
            "",
            [],
            [
                (
                    STATUS_TABLE,
                    key,
                    messages.encode_maintenance_wave_status(wave, completed),
                )
            ],
        )
        if isinstance(result, platform_store.Committed):
            self._stored[key] = completed
            self._node.log.warn("wave_stored", wave=wave, completed=completed)
