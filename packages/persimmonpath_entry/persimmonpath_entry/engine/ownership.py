"""Takes over services without a live owner and runs their shards."""

import asyncio
import functools

import msgspec

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.decisions import ownerselection
from persimmonpath_entry.decisions import tenantwaits
from persimmonpath_entry.engine import advicebalancer
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownerdirectory
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import ownerwatch
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import shardassembly
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.transport import clock

# The first FIRST_CANDIDATES VMs in the takeover order of a service read the
# owner rows every POLL_S, all others every IDLE_POLL_S.
POLL_S = 0.4
IDLE_POLL_S = 1.6
FIRST_CANDIDATES = 2
RETRY_S = 0.25
# A candidate delays its takeover by RANK_DELAY_S for each candidate before it,
# at most by MAX_RANK_DELAY_S. The order differs by service.
RANK_DELAY_S = 0.05
MAX_RANK_DELAY_S = 1.5
# Minimum time for which an owner keeps a service before it yields it to a
# stronger VM.
MIN_TENURE_S = 3.0
# Additional takeover delay of a VM if another one is much stronger, so that the
# stronger one takes over first. On a link of 10 Mbit/s, reading a thousand
# submissions takes 3 s.
WEAK_VM_DELAY_S = 1.0
# A VM leaves a takeover to much stronger ones that reach the store, but not for
# longer than this, in seconds. The two strongest ones are asked.
MAX_DEFERRAL_S = 4.0
ASKED_STRONGER_VMS = 2


class Ownership:
    """Takes over services and runs the shards of those that this VM owns.

    Attributes:
      shards: the shards of the owned services, by service. A closed shard stays
        until the next refresh of the owner rows.
      has_read_owners: whether the owner rows have been read at least once.
    """

    def __init__(
        self,
        node: context.Context,
        peers: members.Members,
        advisor: advicebalancer.AdviceBalancer,
    ):
        self._node = node
        self._peers = peers
        self._advisor = advisor
        self.shards: dict[str, shards.Shard] = {}
        self._shard_writers: dict[str, persistence.ShardWriter] = {}
        self._directory = ownerdirectory.OwnerDirectory(node, peers)
        self._watchers: dict[str, ownerwatch.OwnerWatcher] = {}
        self._refresh_requested = asyncio.Event()
        self._takeovers: set[str] = set()
        # Since when this VM has left the takeover of a service to others.
        self._deferred_since: dict[str, float] = {}
        self.has_read_owners = False

    def find_owner(self, service: str) -> str | None:
        """Returns the address of a service's owner, or None."""
        return self._directory.find_owner(service)

    def find_wait(self, service: str, priority: int) -> float:
        """Returns the expected wait of new tasks, in seconds.

        Args:
          service: the service.
          priority: the priority of their queue.
        """
        shard = self.find_shard(service)
        if shard is not None:
            return admission.find_wait(shard.waits, priority)
        return self._directory.find_wait(service, priority)

    def find_tenant_waits(
        self, service: str
    ) -> tuple[tenantwaits.TenantWaits, float] | None:
        """Returns the expected waits by tenant and their age, None if unknown.

        Args:
          service: the service.
        """
        shard = self.find_shard(service)
        if shard is None:
            return self._directory.find_tenant_waits(service)
        waits = shard.fair_shares.waits
        return None if waits is None else (waits, 0.0)

    def find_shard(self, service: str) -> shards.Shard | None:
        """Returns the shard if this VM owns the service, or None."""
        shard = self.shards.get(service)
        if shard is None or not shard.is_open:
            return None
        return shard

    def find_coordinating_shard(self) -> shards.Shard | None:
        """Returns the shard whose owner acts for all services, None elsewhere.

        It is the shard of the service whose name sorts first.
        """
        current = self._node.configuration
        if current is None or not current.services:
            return None
        return self.find_shard(min(current.services))

    def list_owners(self) -> list[str]:
        """Returns the addresses of all owners."""
        return self._directory.list_owners()

    def request_refresh(self):
        """Requests an immediate read of the owner rows."""
        self._refresh_requested.set()

    async def run(self):
        """Refreshes the owner rows and takes services over until cancelled."""
        while True:
            is_current = await self._directory.refresh()
            if is_current:
                self.has_read_owners = True
                self._watch_owners()
                self._start_takeovers()
                self._yield_services()
            for service, shard in list(self.shards.items()):
                if not shard.is_open:
                    del self.shards[service]
            try:
                pause_s = self._choose_pause() if is_current else RETRY_S
                async with asyncio.timeout(pause_s):
                    await self._refresh_requested.wait()
            except TimeoutError:
                pass
            self._refresh_requested.clear()

    def _watch_owners(self):
        """Watches the owners that this VM would be among the first to replace.

        Stops watching an owner that no longer qualifies or has moved to another
        address.
        """
        for service, observed in self._directory.observed_owners.items():
            address = observed.record.address
            is_own_or_unowned = (
                service in self.shards or self.find_owner(service) is None
            )
            is_early_candidate = (
                not is_own_or_unowned
                and self._count_earlier_candidates(service) < FIRST_CANDIDATES
            )
            watcher = self._watchers.get(service)
            if watcher is not None and (
                not is_early_candidate or watcher.address != address
            ):
                self._watchers.pop(service).stop()
                watcher = None
            if is_early_candidate and watcher is None:
                self._watchers[service] = ownerwatch.OwnerWatcher(
                    address, functools.partial(self._handle_exit, service)
                )

    def _handle_exit(self, service: str):
        """Marks an owner as exited and requests a read of the owner rows."""
        if self._directory.mark_exited(service):
            self.request_refresh()

    def _start_takeovers(self):
        """Starts a takeover attempt for each service that has none running."""
        configuration = self._node.configuration
        if configuration is None or self._node.is_stopping:
            return
        for service in configuration.services:
            if service in self.shards or service in self._takeovers:
                continue
            self._takeovers.add(service)
            asyncio.get_running_loop().create_task(
                self._attempt_takeover(service)
            )

    async def _attempt_takeover(self, service: str):
        """Takes a service over, after this VM's delay, if its owner failed.

        The owner is checked again after the delay.
        """
        try:
            observed = self._directory.observed_owners.get(service)
            if await self._directory.may_take_over(observed):
                await asyncio.sleep(self._choose_takeover_delay(service))
                await self._act_as_candidate(service)
            else:
                self._deferred_since.pop(service, None)
        finally:
            self._takeovers.discard(service)

    def _choose_pause(self) -> float:
        """Returns the seconds until the owner rows are read again."""
        configuration = self._node.configuration
        if configuration is None:
            return RETRY_S
        ranks = [
            self._count_earlier_candidates(service)
            for service in configuration.services
            if service not in self.shards
        ]
        if ranks and min(ranks) < FIRST_CANDIDATES:
            return POLL_S
        return IDLE_POLL_S

    def _count_earlier_candidates(self, service: str) -> int:
        """Returns how many VMs precede this one in a service's takeover order.

        The current owner doesn't count, unless it is this VM.
        """
        own_address = self._node.peer_address
        weights = self._peers.list_reachable_weights()
        owner = self.find_owner(service)
        if owner != own_address:
            weights.pop(owner, None)
        return ownerselection.rank_candidate(
            service, own_address, weights, bool(self.shards)
        )

    def _yield_services(self):
        """Releases owned services if a much stronger VM owns none."""
        owners = self.list_owners()
        weights = self._peers.list_reachable_weights()
        weights.pop(self._node.peer_address)
        idle_weights = [
            w for address, w in weights.items() if address not in owners
        ]
        if not ownerselection.is_outweighed(
            self._peers.own_weight, idle_weights
        ):
            return
        now = clock.read_clock()
        for service, shard in self.shards.items():
            # Until it is loaded, nothing is lost by a change of the owner.
            is_due = not shard.is_loaded or now - shard.opened_at > MIN_TENURE_S
            if shard.is_open and not shard.is_leaving and is_due:
                self._node.log.warn(
                    "giving_way", service=service, weight=self._peers.own_weight
                )
                shard.opened_at = now
                asyncio.get_running_loop().create_task(
                    self._release(service, shard)
                )

    async def _act_as_candidate(self, service: str):
        """Takes a service over, unless another VM did or should do so."""
        if self._is_weak():
            # Others have acted meanwhile, most likely. Without this read every
            # weak VM would call the strongest ones at each takeover.
            await self._directory.refresh()
            observed = self._directory.observed_owners.get(service)
            if not await self._directory.may_take_over(observed):
                return
            if await self._defer_to_stronger_vm(service):
                return
        await self._take_over(
            service, self._directory.observed_owners.get(service)
        )

    def _is_weak(self) -> bool:
        """Returns whether a much stronger VM is in service."""
        return ownerselection.is_outweighed(
            self._peers.own_weight, self._peers.list_peer_weights()
        )

    async def _defer_to_stronger_vm(self, service: str) -> bool:
        """Leaves a takeover to a much stronger VM that reaches the store.

        Returns:
          Whether there is one, and this VM hasn't waited for MAX_DEFERRAL_S.
        """
        weights = self._peers.list_reachable_weights()
        weights.pop(self._node.peer_address)
        stronger = ownerselection.list_much_stronger(
            self._peers.own_weight, weights, ASKED_STRONGER_VMS
        )
        now = clock.read_clock()
        since = self._deferred_since.setdefault(service, now)
        if not stronger or now - since > MAX_DEFERRAL_S:
            return False
        statuses = await asyncio.gather(
            *(self._peers.ask_for_takeover(address) for address in stronger)
        )
        if not any(statuses):
            return False
        self._node.log.write(
            "takeover_deferred", service=service, to=",".join(stronger)
        )
        await asyncio.sleep(RETRY_S)
        return True

    def _choose_takeover_delay(self, service: str) -> float:
        """Returns the seconds to wait before this VM takes a service over.

        It is 0 if the owner is this VM, as its earlier incarnation is gone.
        """
        observed = self._directory.observed_owners.get(service)
        if observed is not None and observed.record.owner == self._node.name:
            return 0.0
        delay_s = min(
            MAX_RANK_DELAY_S,
            self._count_earlier_candidates(service) * RANK_DELAY_S,
        )
        if self._is_weak():
            delay_s += WEAK_VM_DELAY_S
        return delay_s

    async def _take_over(
        self, service: str, observed: ownerdirectory.ObservedOwner | None
    ):
        """Writes this VM into the owner row and starts the shard.

        The commit expects the observed version of the row, so of several
        candidates only one succeeds.

        Args:
          service: the service.
          observed: its owner as last observed, None if it never had one.
        """
        if not await self._directory.may_take_over(observed):
            return
        if self._node.is_stopping:
            return
        workers = await self._directory.read_workers(service)
        if workers is None:
            self._node.log.write(
                "takeover_failed", service=service, outcome="workers_unread"
            )
            await asyncio.sleep(RETRY_S)
            self.request_refresh()
            return
        former = (
            ownerrows.OwnerRecord() if observed is None else observed.record
        )
        version = 0 if observed is None else observed.version
        sent_at = clock.read_clock()
        result = await self._commit_takeover(service, version, former, sent_at)
        if not isinstance(result, platform_store.Committed):
            self._node.log.write(
                "takeover_failed",
                service=service,
                version=version,
                outcome=type(result).__name__,
            )
            # A conflict shows the row as it is, which the next attempt needs.
            # Otherwise a pause keeps the candidates from calling the store as
            # fast as it refuses.
            is_newer = isinstance(
                result, platform_store.Conflict
            ) and self._directory.apply_conflict(service, result)
            if not is_newer:
                await asyncio.sleep(RETRY_S)
            self.request_refresh()
            return
        self._start_shard(
            service, result.version, former, workers, observed, sent_at
        )
        if self._node.is_stopping:
            await self._release(service, self.shards[service])

    async def _commit_takeover(
        self,
        service: str,
        version: int,
        former: ownerrows.OwnerRecord,
        sent_at: float,
    ):
        """Writes this VM into the owner row if that has the given version.

        Returns:
          The result of the transaction.
        """
        record = ownerrows.OwnerRecord(
            self._node.name,
            self._node.boot,
            self._node.peer_address,
            horizon=former.horizon,
            renewed_ms=ownerrows.bound_store_ms(
                self._node.store.clock, sent_at
            ),
        )
        row = (ownerrows.OWNER_TABLE, ownerrows.OWNER_KEY)
        return await self._node.store.commit(
            service,
            [(*row, version)],
            [(*row, msgspec.json.encode(record))],
        )

    def _start_shard(
        self, service, fence, former, workers, observed, sent_at: float
    ):
        """Creates the shard of a service and starts its tasks.

        Args:
          service: the service.
          fence: the fencing token, which is the version of the new owner row.
          former: the record of the previous owner.
          workers: the record of its workers.
          observed: the previous owner as observed, None if there was none.
          sent_at: monotonic time at which the commit was sent; the lease counts
            from it.
        """
        lease_deadlines = self._directory.bound_lease_ends(
            former, workers, observed
        )
        self._node.log.warn(
            "ownership_taken",
            service=service,
            fence=fence,
            former=former.owner or "nobody",
            workers=len(lease_deadlines),
        )
        self._node.metrics.count("takeovers")
        parts = shardassembly.assemble(
            self._node,
            shards.Shard(self._node, service, fence, lease_deadlines),
            former,
            workers,
            self._advisor,
        )
        parts.writer.extend_lease(sent_at)
        self.shards[service] = parts.shard
        self._shard_writers[service] = parts.writer
        parts.start(self._node)

    async def release_all(self):
        """Stores the remaining progress of every service and releases it."""
        await asyncio.gather(
            *(
                self._release(service, shard)
                for service, shard in list(self.shards.items())
            )
        )

    async def _release(self, service: str, shard: shards.Shard):
        """Releases a service and notifies the reachable peers."""
        if not shard.is_open:
            return
        shard_writer = self._shard_writers[service]
        shard_writer.release()
        while shard.is_open and not shard_writer.release_done.is_set():
            await asyncio.sleep(0.02)
        await asyncio.gather(
            *(
                self._peers.call(address, "POST", "/peer/owners-changed")
                for address in self._peers.list_reachable_peers()
            )
        )
