"""Takes over services that nobody owns and serves them."""

import asyncio

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
from persimmonpath_entry.engine import placing
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

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
PROBE_TIMEOUT_S = 0.35
# An owner that hasn't renewed for this time is asked whether it is there; if
# it doesn't answer, its service is taken over at once. Its fencing token and
# its row keep it from doing harm, and tasks that it may have started meanwhile
# wait as after every takeover.
SUSPICION_S = 1.2
# An owner that lives gets this time after an outage of the store to renew, as a
# takeover would only hold its work up.
OWNER_FIRST_S = 0.6
# A renewal of leases by an owner that has ended arrives within this time.
RELEASED_GRACE_S = 0.5


class _Sighting:
    """The newest row of an owner and when it was seen to change."""

    def __init__(self, record: ledgers.OwnerRecord, version: int, now: float):
        self.record = record
        self.version = version
        self.changed_at = now
        self.is_disowned = False
        self.has_probed = False


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
        self._sightings: dict[str, _Sighting] = {}
        self._version: int | None = None
        self._wake = asyncio.Event()
        self._taking: set[str] = set()
        self.is_known = False
        # When the owners could be read again after they could not.
        self._current_since = 0.0
        self._is_current = False

    def find_owner(self, service: str) -> str | None:
        """Returns the address of a service's owner, or None."""
        sighting = self._sightings.get(service)
        if sighting is None or not sighting.record.owner:
            return None
        return sighting.record.address

    def find_shard(self, service: str) -> shards.Shard | None:
        """Returns the shard if this VM owns the service, or None."""
        shard = self.shards.get(service)
        if shard is None or not shard.is_open:
            return None
        return shard

    def list_owners(self) -> list[str]:
        """Returns the addresses of all owners."""
        return [
            sighting.record.address
            for sighting in self._sightings.values()
            if sighting.record.owner
        ]

    def wake(self):
        """Has the owners read now."""
        self._wake.set()

    async def run(self):
        """Follows the owners and takes over until cancelled."""
        while True:
            is_current = await self._refresh()
            if is_current and not self._is_current:
                self._current_since = clock.read_clock()
            self._is_current = is_current
            if is_current:
                self.is_known = True
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

    async def _refresh(self) -> bool:
        if self._version is None:
            result = await self._read_all()
        else:
            result = await self._node.store.follow(
                ledgers.OWNER_TABLE, self._version, 0
            )
        if isinstance(result, platform_store.HistoryGone):
            self._version = None
            return False
        if isinstance(result, platform_store.Refused):
            return False
        now = clock.read_clock()
        for row in result.rows:
            self._see(row, now)
        self._version = result.version
        return True

    async def _read_all(self):
        rows = []
        version = None
        configuration = self._node.configuration
        if configuration is None:
            return platform_store.Refused(0)
        for service in configuration.services:
            result = await self._node.store.read_row(
                ledgers.OWNER_TABLE, service, ledgers.OWNER_KEY
            )
            if isinstance(result, platform_store.Refused):
                return result
            version = result.version if version is None else version
            rows += result.rows
        if version is None:
            return platform_store.Refused(0)
        return platform_store.Rows(rows, version)

    def _see(self, row: platform_store.Row, now: float):
        if row.is_deleted:
            self._sightings.pop(row.part, None)
            return
        record = msgspec.json.decode(row.value, type=ledgers.OwnerRecord)
        known = self._sightings.get(row.part)
        if known is not None and known.version >= row.version:
            return
        if known is None or known.record.owner != record.owner:
            self._node.log.write(
                "owner_seen",
                service=row.part,
                owner=record.owner or "nobody",
                version=row.version,
            )
        sighting = _Sighting(record, row.version, self._date(record, now))
        if known is not None and known.record.boot == record.boot:
            sighting.has_probed = known.has_probed
        self._sightings[row.part] = sighting

    def _date(self, record: ledgers.OwnerRecord, now: float) -> float:
        """Returns when a row was written, by the store's clock if known.

        A VM that reads a row for the first time, or after an outage, would
        else wait for the owner as if it had renewed just now.
        """
        store_clock = self._node.store.clock
        if not record.renewed_ms or store_clock is None:
            return now
        return min(now, store_clock.find_moment(record.renewed_ms))

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
            sighting = self._sightings.get(service)
            if await self._is_vacant(service, sighting):
                await asyncio.sleep(self._choose_delay(service))
                await self._take(service, self._sightings.get(service))
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
        sighting = self._sightings.get(service)
        if sighting is not None and sighting.record.owner == self._node.name:
            return 0.0
        return min(MAX_RANK_S, self._rank(service) * RANK_STEP_S)

    async def _is_vacant(self, service: str, sighting) -> bool:
        if sighting is None or not sighting.record.owner:
            return True
        now = clock.read_clock()
        expiry = ledgers.LEASE_S + ledgers.TAKEOVER_SLACK_S
        if now - sighting.changed_at > expiry:
            is_back = now - self._current_since < OWNER_FIRST_S
            return not is_back or await self._probe(sighting, expiry)
        if sighting.record.owner == self._node.name:
            return sighting.record.boot != self._node.boot
        silence_s = now - sighting.changed_at
        if sighting.has_probed and silence_s < SUSPICION_S:
            return False
        return await self._probe(sighting, silence_s)

    async def _probe(self, sighting: _Sighting, silence_s: float) -> bool:
        """Asks the named owner whether it is there and still the same.

        Returns:
          Whether it isn't: another life of its process answers, or nobody
          does and it hasn't renewed lately.
        """
        sighting.has_probed = True
        outcome = await self._peers.call(
            sighting.record.address,
            "GET",
            "/peer/boot",
            timeout_s=PROBE_TIMEOUT_S,
        )
        if isinstance(outcome, httpclient.NoReply) or outcome.status != 200:
            return silence_s >= SUSPICION_S
        sighting.is_disowned = outcome.body.decode() != sighting.record.boot
        return sighting.is_disowned

    async def _take(self, service: str, sighting: _Sighting | None):
        if not await self._is_vacant(service, sighting):
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
        unsettled = self._bound_leases(former, sighting)
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
        keeper = care.Care(shard, orders, ledger)
        shard.on_stop = orders.stop
        shard.on_worker = follower.follow
        shard.on_reborn = follower.look
        shard.on_question = freshness.Freshness(shard, follower, ledger).refresh
        self.shards[service] = shard
        self._ledgers[service] = ledger
        placer = placing.Placing(shard, orders, follower, self._advisor)
        shard.spawn(ledger.run())
        shard.spawn(self._serve(shard, keeper, placer))

    def _bound_leases(
        self, former: ledgers.OwnerRecord, sighting: _Sighting | None
    ) -> dict[str, float]:
        """Returns when every former lease on each worker has surely ended."""
        now = clock.read_clock()
        hold_s = self._node.settings.bounds.hold_max_ms / 1000
        store_clock = self._node.store.clock
        # The former owner may have extended leases until it had to stop.
        if former.owner in ("", self._node.name) or sighting.is_disowned:
            extended_until = now + RELEASED_GRACE_S
        elif former.renewed_ms and store_clock is not None:
            extended_until = ledgers.HOLD_S + store_clock.find_moment(
                former.renewed_ms
            )
        else:
            extended_until = sighting.changed_at + ledgers.HOLD_S
        usual = (
            extended_until
            + hold_s * fleet.CLOCK_RATE_LIMIT
            + 2 * fleet.LEASE_SLACK_S
        )
        deadlines = dict.fromkeys(former.workers, usual)
        if store_clock is not None:
            for worker_id, end_ms in former.lease_ends.items():
                end = store_clock.find_moment(end_ms) + fleet.LEASE_SLACK_S
                deadlines[worker_id] = min(usual, end)
        return deadlines

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
