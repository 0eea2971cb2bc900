"""The shares of the tenants' limits in the store, as one owner uses them.

All services and tenants share one row. Each write expects the version of the
row that its writer has read, and changes only the entry of the writer's own
service. An owner uses what the newest row known to be stored allows it, and no
more than any of its writes without an answer would allow. So a lowered share
takes effect before it is sent, and a raised one once it is stored.

A new owner starts nothing for tenants with limits before the row names its
fencing token. A former owner can't change the entry any more then.
"""

import asyncio
import random
import time

import msgspec

from persimmonpath import resources
from persimmonpath_entry.decisions import quotashares
from persimmonpath_entry.engine import fairshares
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.engine import shard as shards
from persimmonpath_entry.engine import supervision
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import numbers
from persimmonpath_entry.transport import clock

TABLE = "quota"
PART = "quota"
KEY = "shares"
# Wait of a long poll, and the pause after a failed read, in seconds.
FOLLOW_WAIT_S = 2.0
RETRY_S = 0.3
# Interval at which the shares are examined, which is also the shortest time
# between two writes of an owner, in seconds.
INTERVAL_S = 0.3
# Longest random pause before a write is repeated on a newer row, in seconds.
MAX_CONFLICT_PAUSE_S = 0.05
# Seconds for which an owner that knows no former row leaves it to others to
# replace an unreadable one.
UNREADABLE_WAIT_S = 1.5
# Most tenants whose shares move. Others have an equal part in each service; a
# row with more of them could be too long for the store.
MAX_MOVING_TENANTS = 200
# Longest row, in bytes. Wants are left out of a longer one.
MAX_ROW_BYTES = 48_000
# Seconds without a renewal after which nothing of a removed service runs any
# more: longer than the leases of its owner and of the tasks together.
REMOVED_AFTER_S = 20.0
# Interval at which the owners of removed services are read, in seconds.
REMOVED_CHECK_S = 5.0
# Interval at which removed tenants are looked for, in seconds.
IDLE_CHECK_S = 5.0
# Interval of the metrics in seconds.
METRICS_INTERVAL_S = 2.0
# Seconds without a lack of room after which a tenant is no longer limited.
UNLIMITED_AFTER_S = 2.0

_Triple = tuple[numbers.Count, numbers.Count, numbers.Count]


class ServiceEntry(msgspec.Struct, omit_defaults=True):
    """What one service holds.

    Attributes:
      fence: fencing token of the owner that wrote it.
      sequence: number of the write of that owner.
      shares: CPU, memory and accelerators by tenant.
      wants: what tenants that lack room could use, in the same units.
      large: since when a large task or gang has waited, in Unix seconds, by
        tenant.
    """

    fence: numbers.Count = 0
    sequence: numbers.Count = 0
    shares: dict[str, _Triple] = {}
    wants: dict[str, _Triple] = {}
    large: dict[str, numbers.Count] = {}


class SharesRecord(msgspec.Struct, omit_defaults=True):
    """The row of all shares.

    Attributes:
      version: newest version of the configuration by which it was written. An
        owner that knows only an older one raises no share.
      services: what each service holds, by its name.
      limits: limits by tenant, 0 for a resource without one. They go on for the
        accepted work of a tenant that was removed from the configuration.
    """

    version: numbers.SignedCount = 0
    services: dict[str, ServiceEntry] = {}
    limits: dict[str, _Triple] = {}


def list_holdings(
    record: SharesRecord, tenant: str
) -> dict[str, quotashares.Holding]:
    """Returns what each service holds for a tenant, by service."""
    return {
        service: quotashares.Holding(
            resources.Resources(*entry.shares[tenant]),
            resources.Resources(*entry.wants.get(tenant, (0, 0, 0))),
            entry.large.get(tenant, 0),
        )
        for service, entry in record.services.items()
        if tenant in entry.shares
    }


def replace_entry(
    record: SharesRecord, service: str, entry: ServiceEntry
) -> SharesRecord:
    """Returns a record in which one service has another entry."""
    return SharesRecord(
        record.version, {**record.services, service: entry}, record.limits
    )


def merge_entries(entries: list[ServiceEntry]) -> ServiceEntry:
    """Returns an entry with the least share of each tenant in any entry."""
    merged = dict(entries[0].shares)
    for entry in entries[1:]:
        merged = {
            tenant: tuple(map(min, share, entry.shares[tenant]))
            for tenant, share in merged.items()
            if tenant in entry.shares
        }
    return ServiceEntry(entries[-1].fence, entries[-1].sequence, merged)


class QuotaLedger:
    """Reads and writes the shares for one owner.

    It sets `TenantUsage.allowances` of its shard.
    """

    def __init__(self, shard: shards.Shard):
        """Creates the ledger of a shard; `run` follows the row.

        Args:
          shard: the shard.
        """
        self._shard = shard
        self._node = shard.node
        self._usage = shard.tenant_usage
        # The newest row known to be stored and its version, None before the
        # first read.
        self._record: SharesRecord | None = None
        self._version = 0
        self._is_unreadable = False
        self._unreadable_since = 0.0
        # Whether the last write failed.
        self._is_failing = False
        # Entries of this service in writes that may still be applied.
        self._unconfirmed: list[ServiceEntry] = []
        self._sequence = 0
        # What the row allows each tenant, the tenants for which that depends on
        # their present use, and the row and configuration that this is of.
        self._base_allowances: dict[str, resources.Resources] = {}
        self._contended: set[str] = set()
        self._basis_of: tuple = (None, None)
        # Limits as last seen, and the versions of the configuration that have
        # lowered some, until the row names them.
        self._known_limits: dict[str, resources.Resources] = {}
        self._lowered: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._next_write_at = 0.0
        self._next_metrics_at = 0.0
        self._labels = fairshares.TenantLabels()
        # Name, label and resource of the gauges that were set last.
        self._shown: set[tuple[str, str, str]] = set()
        self._next_gone_check_at = 0.0
        self._next_idle_check_at = 0.0
        self._removed_services: set[str] = set()
        self._usage.on_limits_changed = self.update_allowances
        # Tenants that are limited now: since when, and when last seen so.
        self._limited: dict[str, list[float]] = {}

    async def run(self):
        """Keeps the shares until the shard is closed."""
        self._shard.spawn(
            supervision.keep_running(self._node, "quota_follower", self._follow)
        )
        while self._shard.is_open:
            try:
                async with asyncio.timeout(INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            await self.examine(clock.read_clock())

    # Reading.

    async def _follow(self):
        """Reads the row, then its changes by long poll."""
        version: int | None = None
        while self._shard.is_open:
            self._usage.refresh()
            if not self._usage.limits:
                await asyncio.sleep(INTERVAL_S)
                continue
            if version is None:
                result = await self._node.store.read_row(TABLE, PART, KEY)
            else:
                result = await self._node.store.follow(
                    TABLE, version, FOLLOW_WAIT_S
                )
            if isinstance(result, platform_store.Rows):
                self._apply_rows(result.rows, is_whole=version is None)
                version = result.version
                continue
            version = None
            if isinstance(result, platform_store.Refused):
                await asyncio.sleep(RETRY_S)

    def _apply_rows(self, rows: list[platform_store.Row], is_whole: bool):
        """Applies what was read; a row that doesn't exist is an empty one."""
        found = [row for row in rows if row.key == KEY and row.part == PART]
        if not found and is_whole:
            self._handle_missing()
        for row in found:
            self.apply_row(row)

    def apply_row(self, row: platform_store.Row):
        """Applies a version of the row, unless a newer one is known."""
        if row.version <= self._version and self._record is not None:
            return
        if row.is_deleted:
            self._handle_missing()
            return
        record = rowcodec.decode_row(self._node, row, SharesRecord)
        if record is None:
            self._handle_unreadable(row.version)
            return
        self._is_unreadable = False
        self._set_record(record, row.version)

    def _handle_missing(self):
        """Begins with no shares, or has the last known ones written again."""
        if self._record is None:
            self._set_record(SharesRecord(), 0)
        elif self._version:
            self._handle_unreadable(0)

    def _handle_unreadable(self, version: int):
        """Goes on with the last known shares, and has the row rewritten.

        Args:
          version: the version of the row, 0 if there is none.
        """
        if not self._is_unreadable:
            self._unreadable_since = clock.read_clock()
        self._is_unreadable = True
        self._version = version
        self._changed.set()

    def _set_record(self, record: SharesRecord, version: int):
        self._record = record
        self._version = version
        # Every write of this owner expected an older version, so that none of
        # them can be applied any more.
        self._unconfirmed.clear()
        self.update_allowances()
        self._changed.set()

    # Using.

    def _find_own_entry(self) -> ServiceEntry | None:
        """Returns the stored entry of this service if it is this owner's."""
        if self._record is None:
            return None
        entry = self._record.services.get(self._shard.service)
        if entry is None or entry.fence != self._shard.fence:
            return None
        return entry

    def update_allowances(self):
        """Sets what each tenant may use here."""
        usage = self._usage
        if not self._is_basis_current():
            self._update_basis()
        former = usage.allowances
        if self._find_own_entry() is None:
            usage.allowances = {}
            return
        allowances = dict(self._base_allowances)
        now = clock.read_clock()
        for tenant in (self._contended | self._list_unconfirmed()) - (
            self._lowered.keys()
        ):
            allowances[tenant] = self._compute_allowance(tenant, now)
        usage.allowances = allowances
        for tenant in usage.list_lacking():
            allowed = allowances.get(tenant, resources.ZERO)
            if not allowed.fits_in(former.get(tenant, resources.ZERO)):
                self._shard.request_schedule()

    def _is_basis_current(self) -> bool:
        record, current = self._basis_of
        return record is self._record and current is self._node.configuration

    def _update_basis(self):
        """Computes what the row allows as long as no demand changes."""
        self._usage.refresh()
        self._basis_of = (self._record, self._node.configuration)
        self._record_lowered()
        self._contended = set()
        self._base_allowances = {}
        if self._record is None:
            return
        self._adopt_limits()
        moving = set(self._list_moving())
        for tenant, limit in self._usage.limits.items():
            if tenant in self._lowered:
                self._base_allowances[tenant] = resources.ZERO
                continue
            if tenant not in moving:
                self._base_allowances[tenant] = self._claim(tenant, {}).share
                continue
            holdings = list_holdings(self._record, tenant)
            if quotashares.is_contended(limit, holdings):
                self._contended.add(tenant)
            self._base_allowances[tenant] = quotashares.compute_allowance(
                limit,
                holdings,
                self._shard.service,
                resources.ZERO,
                resources.ZERO,
            )

    def _record_lowered(self):
        """Finds the tenants whose limits were lowered and may be exceeded.

        An owner that knows only the former limit may still raise its share
        until the row names the version of the configuration.
        """
        current = self._node.configuration
        for tenant, limit in self._usage.limits.items():
            former = self._known_limits.get(tenant)
            if former is not None and not former.fits_in(limit):
                self._lowered[tenant] = current.version
        self._known_limits = dict(self._usage.limits)
        if self._record is not None:
            for tenant, version in list(self._lowered.items()):
                if version <= self._record.version:
                    del self._lowered[tenant]

    def _list_unconfirmed(self) -> set[str]:
        """Returns the tenants whose share may be about to change."""
        stored = self._find_own_entry()
        return {
            tenant
            for entry in self._unconfirmed
            for tenant, share in entry.shares.items()
            if share != stored.shares.get(tenant)
            and tenant in self._usage.limits
        }

    def _list_moving(self) -> list[str]:
        """Returns the tenants whose shares are in the row."""
        return sorted(self._usage.limits)[:MAX_MOVING_TENANTS]

    def _claim(self, tenant: str, holdings) -> quotashares.Holding:
        return quotashares.claim(
            self._usage.limits[tenant],
            holdings,
            self._shard.service,
            len(self._node.configuration.services),
        )

    def _compute_allowance(
        self, tenant: str, now: float
    ) -> resources.Resources:
        """Returns the least that any write without an answer would allow."""
        usage = self._usage
        records = [
            self._record,
            *(
                replace_entry(self._record, self._shard.service, entry)
                for entry in self._unconfirmed
            ),
        ]
        amounts = [
            quotashares.split(
                quotashares.compute_allowance(
                    usage.limits[tenant],
                    list_holdings(record, tenant),
                    self._shard.service,
                    usage.find_kept(tenant),
                    usage.find_want(tenant, now),
                )
            )
            for record in records
        ]
        return resources.Resources(*map(min, zip(*amounts, strict=True)))

    # Writing.

    async def examine(self, now: float):
        """Writes the row if a share should change, and reports.

        Args:
          now: the monotonic clock, in seconds.
        """
        self._usage.refresh()
        if not self._usage.limits or self._record is None:
            if self._usage.limits and self._is_unreadable:
                self._replace_unknown(now)
            return
        self._report(now)
        self.update_allowances()
        if now < self._next_write_at:
            return
        if not self._may_write():
            return
        await self._find_removed_services(now)
        # The row may have changed while the owners were read.
        if not self._may_write():
            return
        is_claimed = self._find_own_entry() is not None
        entry = self._build_entry(now)
        if entry is not None or self._is_unreadable:
            if is_claimed:
                self._next_write_at = now + INTERVAL_S
            await self._write(entry or self._find_own_entry())

    def _replace_unknown(self, now: float):
        """Begins with equal parts if nobody else has replaced the row."""
        if now - self._unreadable_since >= UNREADABLE_WAIT_S:
            self._record = SharesRecord()
            self._changed.set()

    def _may_write(self) -> bool:
        """Returns whether this owner may still change its entry."""
        entry = self._record.services.get(self._shard.service)
        if entry is not None and entry.fence > self._shard.fence:
            return False
        return self._shard.is_open

    def _build_entry(self, now: float) -> ServiceEntry | None:
        """Returns the next entry of this service, None to leave it."""
        stored = self._record.services.get(self._shard.service)
        own = self._find_own_entry()
        entry = ServiceEntry(self._shard.fence, self._sequence + 1)
        if own is not None and not self._shard.is_loaded:
            return None
        idle = self._find_idle(now)
        is_changed = own is None or bool(self._lowered) or bool(idle)
        may_raise = self._may_raise()
        for tenant in self._list_moving():
            if tenant in idle:
                continue
            is_at_rest = (
                tenant not in self._contended
                and not self._usage.is_lacking(tenant)
            )
            if own is not None and is_at_rest and tenant in own.shares:
                entry.shares[tenant] = own.shares[tenant]
                continue
            limit = self._usage.limits[tenant]
            holdings = list_holdings(self._record, tenant)
            before = holdings.get(self._shard.service)
            after = before
            if before is None:
                if may_raise and self._needs_share(tenant):
                    after = self._claim(tenant, holdings)
                    is_changed = True
            elif own is not None:
                after = self._rebalance(tenant, limit, holdings, now)
                if not may_raise:
                    after = quotashares.keep_lower(before, after)
                if quotashares.is_worth_writing(
                    limit, before, after, self._usage.find_kept(tenant)
                ):
                    is_changed = True
                else:
                    after = before
            if after is not None:
                _put_holding(entry, tenant, after)
        if stored is not None:
            # Shares of tenants that are unknown here stay.
            for tenant, share in stored.shares.items():
                if tenant not in self._usage.limits and tenant not in idle:
                    entry.shares[tenant] = share
        is_changed = is_changed or bool(self._removed_services)
        return entry if is_changed else None

    def _needs_share(self, tenant: str) -> bool:
        """Returns whether a tenant without a share here should get one."""
        if tenant in self._node.configuration.tenants:
            return True
        return self._usage.is_lacking(tenant)

    def _build_limits(self, record: SharesRecord) -> dict[str, tuple]:
        """Returns the limits to store: of all tenants with a share."""
        with_share = set()
        for entry in record.services.values():
            with_share.update(entry.shares)
        limits = {
            tenant: limit
            for tenant, limit in record.limits.items()
            if tenant in with_share
        }
        if self._may_raise():
            for tenant in with_share & self._usage.limits.keys():
                limits[tenant] = tuple(
                    0 if amount >= quotashares.UNBOUNDED else amount
                    for amount in quotashares.split(self._usage.limits[tenant])
                )
        return limits

    def _adopt_limits(self):
        """Takes over the last known limits of removed tenants."""
        configured = self._node.configuration.tenants
        for tenant, limit in self._record.limits.items():
            if tenant not in configured and tenant not in self._usage.limits:
                self._usage.limits[tenant] = resources.Resources(
                    *(amount or quotashares.UNBOUNDED for amount in limit)
                )

    def _find_idle(self, now: float) -> set[str]:
        """Returns removed tenants whose shares this service can give back."""
        own = self._find_own_entry()
        if own is None or now < self._next_idle_check_at:
            return set()
        configured = self._node.configuration.tenants
        idle = {
            tenant
            for tenant in own.shares
            if (tenant not in configured or tenant not in self._usage.limits)
            and self._usage.find_counted(tenant) == resources.ZERO
        }
        self._next_idle_check_at = now + IDLE_CHECK_S
        if idle and self._shard.is_loaded and self._may_raise():
            return idle - {
                submission.record.tenant
                for submission in self._shard.submissions.values()
                if submission.is_active
            }
        return set()

    def _rebalance(
        self, tenant: str, limit, holdings, now: float
    ) -> quotashares.Holding:
        usage = self._usage
        large_since = 0
        if usage.comes_first(tenant, now):
            stored = holdings[self._shard.service].large_since
            large_since = stored or int(time.time())
        return quotashares.rebalance(
            limit,
            holdings,
            self._shard.service,
            usage.find_kept(tenant),
            usage.find_want(tenant, now),
            large_since,
        )

    def _may_raise(self) -> bool:
        """Returns whether the limits known here aren't outdated."""
        return self._node.configuration.version >= self._record.version

    async def _write(self, entry: ServiceEntry):
        """Writes an entry of this service if the row is the one last read."""
        self._sequence += 1
        record = replace_entry(self._record, self._shard.service, entry)
        for service in self._removed_services:
            record.services.pop(service, None)
        record.version = max(record.version, self._node.configuration.version)
        record.limits = self._build_limits(record)
        expected = self._version
        if self._unconfirmed:
            # Writes that go on without answers would make a long list.
            self._unconfirmed = [merge_entries(self._unconfirmed)]
        self._unconfirmed.append(entry)
        self.update_allowances()
        result = await self._node.store.commit(
            PART, [(TABLE, KEY, expected)], [(TABLE, KEY, self._encode(record))]
        )
        if isinstance(result, platform_store.Committed):
            self._is_failing = False
            if result.version > self._version:
                self._is_unreadable = False
                self._set_record(record, result.version)
            return
        if isinstance(result, platform_store.Conflict):
            for row in result.rows:
                if row.table == TABLE and row.key == KEY:
                    self._apply_conflict(row)
            await asyncio.sleep(random.random() * MAX_CONFLICT_PAUSE_S)
            self._next_write_at = 0.0
            return
        is_refused = isinstance(result, platform_store.Refused)
        if is_refused and entry in self._unconfirmed:
            self._unconfirmed.remove(entry)
        if not self._is_failing:
            self._is_failing = True
            self._node.log.write(
                "shares_unwritten",
                service=self._shard.service,
                outcome=type(result).__name__,
            )

    def _apply_conflict(self, row: platform_store.Row):
        if row.version:
            self.apply_row(row)
        else:
            self._handle_missing()

    def _encode(self, record: SharesRecord) -> bytes:
        limit = min(MAX_ROW_BYTES, self._node.max_row_bytes)
        value = msgspec.json.encode(record)
        if len(value) <= limit:
            return value
        self._node.log.warn("shares_too_long", bytes=len(value))
        services = {
            service: msgspec.structs.replace(entry, wants={}, large={})
            for service, entry in record.services.items()
        }
        return msgspec.json.encode(
            msgspec.structs.replace(record, services=services)
        )

    # Services that were removed from the configuration.

    async def _find_removed_services(self, now: float):
        """Finds the removed services of which nothing can run any more."""
        configured = self._node.configuration.services
        unknown = [
            service
            for service in self._record.services
            if service not in configured and service != self._shard.service
        ]
        self._removed_services.intersection_update(unknown)
        if (
            not unknown
            or now < self._next_gone_check_at
            or not (self._may_raise())
        ):
            return
        self._next_gone_check_at = now + REMOVED_CHECK_S
        for service in unknown:
            if await self._is_inactive(service):
                self._removed_services.add(service)

    async def _is_inactive(self, service: str) -> bool:
        """Returns whether the owner's lease on a service has surely expired."""
        result = await self._node.store.read_row(
            ownerrows.OWNER_TABLE, service, ownerrows.OWNER_KEY
        )
        store_clock = self._node.store.clock
        if not isinstance(result, platform_store.Rows) or store_clock is None:
            return False
        if not result.rows:
            return True
        record = rowcodec.decode_row(
            self._node, result.rows[0], ownerrows.OwnerRecord
        )
        if record is None or not record.renewed_ms:
            return False
        return store_clock.now_ms - record.renewed_ms > REMOVED_AFTER_S * 1000

    # Reports.

    def _report(self, now: float):
        """Logs the tenants that begin or cease to be limited."""
        for tenant in self._usage.list_lacking():
            if tenant not in self._limited:
                self._limited[tenant] = [now, now]
                self._log("tenant_limited", tenant)
            self._limited[tenant][1] = now
        for tenant, (since, seen_at) in list(self._limited.items()):
            if now - seen_at >= UNLIMITED_AFTER_S:
                del self._limited[tenant]
                self._log("tenant_unlimited", tenant, after_s=seen_at - since)
        if now >= self._next_metrics_at:
            self._next_metrics_at = now + METRICS_INTERVAL_S
            self._set_metrics()

    def _log(self, event: str, tenant: str, **fields):
        self._node.log.warn(
            event,
            service=self._shard.service,
            tenant=tenant,
            **fields,
            **dict(
                zip(
                    ("used_cpu", "used_mb", "used_gpu"),
                    quotashares.split(self._usage.find_counted(tenant)),
                    strict=True,
                )
            ),
        )

    def _set_metrics(self):
        sums: dict[tuple[str, str, str], int] = {}
        for tenant in self._usage.list_tenants():
            label = self._labels.find(tenant)
            limit = self._usage.limits.get(tenant, resources.ZERO)
            allowed = self._usage.allowances.get(tenant, resources.ZERO)
            for name, amount in (
                ("tenant_used", self._usage.find_counted(tenant)),
                ("tenant_share", allowed),
                ("tenant_limit", limit),
            ):
                for resource, value in zip(
                    ("cpu", "memory_mb", "gpu"),
                    quotashares.split(amount),
                    strict=True,
                ):
                    if value < quotashares.UNBOUNDED:
                        key = (name, label, resource)
                        sums[key] = sums.get(key, 0) + value
        # A tenant that uses nothing any more is shown with 0, not as it was.
        for key in self._shown - sums.keys():
            sums[key] = 0
        self._shown = set(sums)
        for (name, label, resource), value in sums.items():
            self._node.metrics.set(
                f'{name}{{service="{self._shard.service}",tenant="{label}",'
                f'resource="{resource}"}}',
                value,
            )


def _put_holding(
    entry: ServiceEntry, tenant: str, holding: quotashares.Holding
):
    entry.shares[tenant] = quotashares.split(holding.share)
    if holding.want != resources.ZERO:
        entry.wants[tenant] = quotashares.split(holding.want)
    if holding.large_since:
        entry.large[tenant] = holding.large_since
