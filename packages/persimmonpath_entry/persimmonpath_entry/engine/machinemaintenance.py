"""Maintenance waves over machines, coordinated by one VM for all services."""

import asyncio

import msgspec

from persimmonpath_entry.decisions import maintenancewaves
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import operatorfeed
from persimmonpath_entry.engine import ownership as owners
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import machines as machine_calls
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import execution
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

CHECK_INTERVAL_S = 0.5
STATUS_TABLE = "status"
# Seconds for which a machine counts as down beyond the duration of its
# maintenance, since the list of machines may be out of date.
DOWN_SLACK_S = 1.5


class MachineMaintenance:
    """Carries out the maintenance waves that operators request."""

    def __init__(
        self,
        node: context.Context,
        operator_feed: operatorfeed.OperatorFeed,
        ownership: owners.Ownership,
        peers: members.Members,
        client: machine_calls.MachineClient | None = None,
    ):
        self._node = node
        self._operator_feed = operator_feed
        self._ownership = ownership
        self._peers = peers
        self._client = client
        self._progress: dict[
            str, dict[str, maintenancewaves.MachineProgress]
        ] = {}
        self._started_at: dict[tuple[str, str], float] = {}
        self._stored: dict[str, bool] = {}
        # Newest fencing token that the platform has refused as outdated.
        self._refused_fence = -1

    def set_address(self, address: str):
        """Makes later calls to another address, empty for no machines."""
        if not address:
            self._client = None
        elif self._client is None:
            self._client = machine_calls.MachineClient(address)
        else:
            self._client.set_address(address)

    async def run(self):
        """Processes open waves until cancelled, on the coordinating VM only."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            shard = self._ownership.find_coordinating_shard()
            if shard is None or self._client is None:
                self._stored.clear()
                continue
            if not self._may_order(shard):
                continue
            open_waves = {
                key: wave
                for key, wave in self._operator_feed.waves.items()
                if not self._stored.get(key)
            }
            if open_waves:
                await self._process_waves(open_waves, shard)

    def _may_order(self, shard: shards.Shard) -> bool:
        """Returns whether this VM may order maintenance as the coordinator.

        Not after its lease, nor with a token that the platform has refused
        since a newer owner used a higher one.
        """
        return (
            shard.may_start(clock.read_clock())
            and shard.fence > self._refused_fence
        )

    def _is_settled(self, shard: shards.Shard) -> bool:
        """Returns whether no former coordinator may have just given an order.

        Two VMs must not order the maintenance of a machine within `leaseMs`. A
        former coordinator may order until its lease has run out.
        """
        lease_s = self._node.settings.bounds.lease_ms / 1000
        tenure_s = clock.read_clock() - shard.opened_at
        return tenure_s >= persistence.LEASE_S + lease_s

    async def _process_waves(self, open_waves, shard: shards.Shard):
        rows = await self._client.list_machines()
        if rows is None:
            return
        listed = {row.machine: row for row in rows}
        for key, wave in open_waves.items():
            try:
                await self._begin(key, wave.wave)
                if not self._stored.get(key):
                    await self._advance(key, wave, listed, shard)
            except Exception as error:  # noqa: BLE001
                # The other waves must go on.
                self._node.log.warn(
                    "wave_broken",
                    key=key,
                    **context.describe_error(error),
                )

    async def _advance(
        self, key, wave: messages.MaintenanceWave, listed, shard: shards.Shard
    ):
        progress = self._progress.setdefault(key, {})
        now = clock.read_clock()
        for name in wave.machines:
            machine = progress.setdefault(
                name, maintenancewaves.MachineProgress()
            )
            self._update_state(key, name, machine, listed.get(name), now)
        limit_s = maintenancewaves.compute_evacuation_limit(
            wave.duration_s,
            len(wave.machines),
            wave.max_count,
            self._node.settings.bounds.maintenance_s,
        )
        for name in maintenancewaves.choose_machines_to_evacuate(
            progress, wave.max_count
        ):
            machine = progress[name]
            if machine.evacuating_since is None:
                machine.evacuating_since = now
            await self._evacuate(machine, listed[name])
            if not self._may_order(shard):
                return
            if self._is_settled(
                shard
            ) and maintenancewaves.may_begin_maintenance(
                machine, limit_s, clock.read_clock()
            ):
                await self._start_maintenance(key, name, machine, wave, shard)
        if maintenancewaves.is_complete(progress):
            await self._store_status(key, wave.wave, completed=True)

    def _update_state(self, key, name, machine, row, now: float):
        machine.is_present = row is not None
        started_at = self._started_at.get((key, name))
        down_s = self._node.settings.bounds.maintenance_s + DOWN_SLACK_S
        is_starting = started_at is not None and now - started_at < down_s
        is_up = row is not None and row.state == machine_calls.UP
        machine.is_up = is_up and not is_starting

    async def _evacuate(self, machine, row: machine_calls.MachineRow):
        """Asks the owner of a machine's worker to evacuate it."""
        shard = self._ownership.find_shard(row.pool)
        if shard is not None:
            load = shard.worker_registry.evacuate_worker(row.worker_id or "")
        else:
            load = await self._ask_owner(row)
        machine.runs = None if load is None else load.runs
        machine.protected = 0 if load is None else load.protected

    async def _ask_owner(self, row) -> execution.WorkerLoad | None:
        address = self._ownership.find_owner(row.pool)
        if address is None:
            return None
        outcome = await self._peers.call(
            address, "POST", f"/peer/empty/{row.pool}/{row.worker_id}"
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return None
        return msgspec.json.decode(outcome.body, type=execution.WorkerLoad)

    async def _start_maintenance(self, key, name, machine, wave, shard):
        result = await self._client.start_maintenance(
            name, wave.wave, self._node.name, shard.fence, shard.lease_until
        )
        self._node.log.warn(
            "upkeep_ordered",
            machine=name,
            wave=wave.wave,
            fence=shard.fence,
            runs=machine.runs,
            outcome="done" if result.is_done else result.reason,
        )
        if result.reason == machine_calls.STALE_FENCE:
            self._refused_fence = shard.fence
        # Without an answer the maintenance may have begun, so the machine
        # counts as down. The order is repeated later, which is safe.
        if result.is_done or result.reason == machine_calls.UNKNOWN:
            self._started_at[key, name] = clock.read_clock()
            machine.is_up = False
        machine.is_done = machine.is_done or result.is_done

    async def _begin(self, key: str, wave: int):
        """Stores that a wave is running, unless its status is stored already.

        A former coordinator may have completed it.
        """
        if self._stored.get(key) is not None:
            return
        result = await self._node.store.read_row(STATUS_TABLE, "", key)
        if isinstance(result, platform_store.Refused):
            return
        completed = [
            messages.decode_maintenance_wave_status(row.value)
            for row in result.rows
        ]
        if any(completed):
            self._stored[key] = True
            return
        await self._store_status(key, wave, completed=False)

    async def _store_status(self, key: str, wave: int, completed: bool):
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
