"""Takes over services that nobody owns and serves them."""

import asyncio
import functools

import msgspec

from persimmonpath_entry.decisions import succession
from persimmonpath_entry.engine import advising
from persimmonpath_entry.engine import care
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import freshness
from persimmonpath_entry.engine import ledger as ledgers
from persimmonpath_entry.engine import listings
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import orders as order_calls
from persimmonpath_entry.engine import ownerdirectory
from persimmonpath_entry.engine import ownerwatch
from persimmonpath_entry.engine import placing
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock

# The first candidates for a service read its owner more often than the rest.
POLL_S = 0.4
IDLE_POLL_S = 1.6
FIRST_CANDIDATES = 2
RETRY_S = 0.25
# Candidates try one after another, in an order that differs by service.
RANK_STEP_S = 0.05
MAX_RANK_S = 1.5
# An owner keeps its service for this time at least before it gives way.
SETTLE_S = 3.0
# A VM that others outdo leaves them this time to come first: reading a thousand
# submissions takes 3 s on a link of 10 Mbit/s.
OUTDONE_DELAY_S = 1.0


class Ownership:
    """The services that this VM owns, and who owns the others."""

    def __init__(
        self,
        node: context.Context,
        peers: members.Members,
        advisor: advising.Advisor,
    ):
        self._node = node
        self._peers = peers
        self._advisor = advisor
        self.shards: dict[str, shards.Shard] = {}
        self._ledgers: dict[str, ledgers.Ledger] = {}
        self._sightings = ownerdirectory.Sightings(node, peers)
        self._watchers: dict[str, ownerwatch.Watcher] = {}
        self._wake = asyncio.Event()
        self._taking: set[str] = set()
        self.is_known = False

    def find_owner(self, service: str) -> str | None:
        """Returns the address of a service's owner, or None."""
        return self._sightings.find_owner(service)

    def find_shard(self, service: str) -> shards.Shard | None:
        """Returns the shard if this VM owns the service, or None."""
        shard = self.shards.get(service)
        if shard is None or not shard.is_open:
            return None
        return shard

    def list_owners(self) -> list[str]:
        """Returns the addresses of all owners."""
        return self._sightings.list_owners()

    def wake(self):
        """Has the owners read now."""
        self._wake.set()

    async def run(self):
        """Follows the owners and takes over until cancelled."""
        while True:
            is_current = await self._sightings.refresh()
            if is_current:
                self.is_known = True
                self._watch_owners()
                self._consider_all()
                self._give_way()
            for service, shard in list(self.shards.items()):
                if not shard.is_open:
                    del self.shards[service]
            try:
                pause_s = self._choose_pause() if is_current else RETRY_S
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _watch_owners(self):
        """Watches the owners whose services this VM would take first."""
        for service, sighting in self._sightings.rows.items():
            address = sighting.record.address
            is_mine = service in self.shards or not sighting.record.owner
            is_first = not is_mine and self._rank(service) < FIRST_CANDIDATES
            watcher = self._watchers.get(service)
            if watcher is not None and (
                not is_first or watcher.address != address
            ):
                self._watchers.pop(service).stop()
                watcher = None
            if is_first and watcher is None:
                self._watchers[service] = ownerwatch.Watcher(
                    address, functools.partial(self._note_end, service)
                )

    def _note_end(self, service: str):
        if self._sightings.note_end(service):
            self.wake()

    def _consider_all(self):
        configuration = self._node.configuration
        if configuration is None or self._node.is_stopping:
            return
        for service in configuration.services:
            if service in self.shards or service in self._taking:
                continue
            self._taking.add(service)
            asyncio.get_running_loop().create_task(self._consider(service))

    async def _consider(self, service: str):
        try:
            sighting = self._sightings.rows.get(service)
            if await self._sightings.is_vacant(sighting):
                await asyncio.sleep(self._choose_delay(service))
                await self._take(service, self._sightings.rows.get(service))
        finally:
            self._taking.discard(service)

    def _choose_pause(self) -> float:
        configuration = self._node.configuration
        if configuration is None:
            return RETRY_S
        ranks = [
            self._rank(service)
            for service in configuration.services
            if service not in self.shards
        ]
        if ranks and min(ranks) < FIRST_CANDIDATES:
            return POLL_S
        return IDLE_POLL_S

    def _rank(self, service: str) -> int:
        """Returns how many VMs try to take a service over before this one."""
        own = self._node.peer_address
        weights = self._peers.list_weights()
        owner = self.find_owner(service)
        if owner != own:
            weights.pop(owner, None)
        return succession.rank_candidate(
            service, own, weights, bool(self.shards)
        )

    def _give_way(self):
        """Hands services to a stronger VM that owns none."""
        owners = self.list_owners()
        weights = self._peers.list_weights()
        weights.pop(self._node.peer_address)
        free = [w for address, w in weights.items() if address not in owners]
        if not succession.is_outdone(self._peers.own_weight, free):
            return
        now = clock.read_clock()
        for service, shard in self.shards.items():
            if shard.is_open and now - shard.opened_at > SETTLE_S:
                self._node.log.warn(
                    "giving_way", service=service, weight=self._peers.own_weight
                )
                shard.opened_at = now
                asyncio.get_running_loop().create_task(
                    self._release(service, shard)
                )

    def _choose_delay(self, service: str) -> float:
        sighting = self._sightings.rows.get(service)
        if sighting is not None and sighting.record.owner == self._node.name:
            return 0.0
        delay_s = min(MAX_RANK_S, self._rank(service) * RANK_STEP_S)
        weights = self._peers.list_all_weights()
        if succession.is_outdone(self._peers.own_weight, weights):
            delay_s += OUTDONE_DELAY_S
        return delay_s

    async def _take(
        self, service: str, sighting: ownerdirectory.Sighting | None
    ):
        if not await self._sightings.is_vacant(sighting):
            return
        if self._node.is_stopping:
            return
        former = ledgers.OwnerRecord() if sighting is None else sighting.record
        sent_at = clock.read_clock()
        record = ledgers.OwnerRecord(
            self._node.name,
            self._node.boot,
            self._node.peer_address,
            former.workers,
            former.silent,
            horizon=former.horizon,
            renewed_ms=ledgers.read_store_ms(self._node.store.clock, sent_at),
            lease_ends=former.lease_ends,
        )
        version = 0 if sighting is None else sighting.version
        result = await self._node.store.commit(
            service,
            [(ledgers.OWNER_TABLE, ledgers.OWNER_KEY, version)],
            [
                (
                    ledgers.OWNER_TABLE,
                    ledgers.OWNER_KEY,
                    msgspec.json.encode(record),
                )
            ],
        )
        if not isinstance(result, platform_store.Committed):
            self._node.log.write(
                "takeover_failed",
                service=service,
                version=version,
                outcome=type(result).__name__,
            )
            self.wake()
            return
        self._begin(service, result.version, former, sighting, sent_at)
        if self._node.is_stopping:
            await self._release(service, self.shards[service])

    def _begin(self, service, fence, former, sighting, sent_at: float):
        unsettled = self._sightings.bound_leases(former, sighting)
        self._node.log.warn(
            "ownership_taken",
            service=service,
            fence=fence,
            former=former.owner or "nobody",
            workers=len(unsettled),
        )
        self._node.metrics.count("takeovers")
        shard = shards.Shard(self._node, service, fence, unsettled)
        shard.former_horizon = former.horizon
        shard.newest_version = shard.stored_horizon = former.horizon or 0
        shard.frozen_leases = set(former.lease_ends)
        shard.suspects = {
            worker_id: set(names) for worker_id, names in former.silent.items()
        }
        follower = listings.Listings(shard)
        orders = order_calls.Orders(shard, follower.look)
        follower.orders = orders

        def announce_stored():
            event = follower.on_stored
            follower.on_stored = asyncio.Event()
            event.set()

        ledger = ledgers.Ledger(shard, fence, announce_stored)
        ledger.extend(sent_at)
        keeper = care.Care(shard, orders)
        shard.on_stop = orders.stop
        shard.on_worker = follower.follow
        shard.on_reborn = follower.look
        shard.on_question = freshness.Freshness(shard, follower, ledger).refresh
        self.shards[service] = shard
        self._ledgers[service] = ledger
        placer = placing.Placing(shard, orders, follower, self._advisor)
        shard.spawn(ledger.run())
        shard.spawn(self._serve(shard, keeper, placer))

    async def _serve(self, shard, keeper, placer):
        while not await keeper.load():
            await asyncio.sleep(RETRY_S)
        shard.is_loaded = True
        self._node.log.warn(
            "shard_loaded",
            service=shard.service,
            submissions=len(shard.submissions),
        )
        shard.spawn(keeper.follow_workers())
        shard.spawn(keeper.follow_submissions())
        shard.spawn(keeper.run())
        shard.spawn(placer.run())

    async def release_all(self):
        """Gives every service up, after what is known has been stored."""
        await asyncio.gather(
            *(
                self._release(service, shard)
                for service, shard in list(self.shards.items())
            )
        )

    async def _release(self, service: str, shard: shards.Shard):
        if not shard.is_open:
            return
        ledger = self._ledgers[service]
        ledger.release()
        while shard.is_open and not ledger.release_done.is_set():
            await asyncio.sleep(0.02)
        await asyncio.gather(
            *(
                self._peers.call(address, "POST", "/peer/owners-changed")
                for address in self._peers.list_addresses()
            )
        )
