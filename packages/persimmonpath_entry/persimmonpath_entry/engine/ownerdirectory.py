"""Tracks the owner of each service and detects failed owners."""

from persimmonpath_entry.decisions import admission
from persimmonpath_entry.decisions import tenantwaits
from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import members
from persimmonpath_entry.engine import ownerrows
from persimmonpath_entry.engine import persistence
from persimmonpath_entry.engine import rowcodec
from persimmonpath_entry.platform import messages
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

PROBE_TIMEOUT_S = 0.35
# Each incarnation of an owner is probed once, and again while it hasn't renewed
# for PROBE_AFTER_S. If it doesn't answer and hasn't renewed for
# FAILURE_TIMEOUT_S, its service may be taken over. If it is still running, the
# fencing token and the version of the owner row reject its orders and writes.
# Tasks that it may have started meanwhile wait, as after every takeover.
PROBE_AFTER_S = 0.6
FAILURE_TIMEOUT_S = 0.95
# After an outage of the store, a reachable owner has this time to renew, since
# a takeover would only delay its work.
OUTAGE_GRACE_S = 0.6
# Lease renewals that an exited owner sent reach the workers within this time.
IN_FLIGHT_GRACE_S = 0.5
# Stands for the owner and for the workers that an unreadable row names.
UNREADABLE_OWNER = "?"
ANY_WORKER = fleet.ANY_WORKER


class ObservedOwner:
    """The newest owner row of a service and what probes showed of the owner.

    Attributes:
      record: the decoded row.
      version: the version of the row.
      renewed_at: monotonic time of the renewal by the store's clock, or of the
        read if either the row or the store's clock doesn't give one.
      has_restarted: whether another incarnation answered a probe.
      was_probed: whether this incarnation has been probed.
      has_exited: whether a closed or refused connection indicates that the
        process has exited; a successful probe resets it.
    """

    def __init__(
        self, record: ownerrows.OwnerRecord, version: int, renewed_at: float
    ):
        self.record = record
        self.version = version
        self.renewed_at = renewed_at
        self.has_restarted = False
        self.was_probed = False
        self.has_exited = False


class OwnerDirectory:
    """Reads the owner rows of all services and probes their owners.

    Attributes:
      observed_owners: the newest owner row of each service.
    """

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        self.observed_owners: dict[str, ObservedOwner] = {}
        self._version: int | None = None
        # Monotonic time of the first successful read after a failed one.
        self._current_since = 0.0
        self._is_current = False

    def find_owner(self, service: str) -> str | None:
        """Returns the address of a service's owner, None if it isn't known."""
        observed = self.observed_owners.get(service)
        if observed is None or not observed.record.owner:
            return None
        return observed.record.address or None

    def list_owners(self) -> list[str]:
        """Returns the addresses of all owners."""
        return [
            observed.record.address
            for observed in self.observed_owners.values()
            if observed.record.owner and observed.record.address
        ]

    def find_wait(self, service: str, priority: int) -> float:
        """Returns the expected wait of new tasks, in seconds.

        The owner has worked off a part since the row was written. An old row
        says nothing.

        Args:
          service: the service.
          priority: the priority of their queue.
        """
        observed = self.observed_owners.get(service)
        if observed is None:
            return 0.0
        age_s = clock.read_clock() - observed.renewed_at
        if age_s > admission.MAX_WAIT_AGE_S:
            return 0.0
        wait_s = admission.find_wait(observed.record.waits, priority)
        return max(0.0, wait_s - age_s)

    def find_tenant_waits(
        self, service: str
    ) -> tuple[tenantwaits.TenantWaits, float] | None:
        """Returns the waits by tenant and their age in seconds.

        Args:
          service: the service.

        Returns:
          None if the owner has published none or the row is too old.
        """
        observed = self.observed_owners.get(service)
        if observed is None or observed.record.tenant_waits is None:
            return None
        age_s = clock.read_clock() - observed.renewed_at
        if age_s > admission.MAX_WAIT_AGE_S:
            return None
        return observed.record.tenant_waits, max(0.0, age_s)

    def mark_exited(self, service: str) -> bool:
        """Marks the process of an owner as exited.

        Returns:
          Whether the mark is new; False if the service has no row.
        """
        observed = self.observed_owners.get(service)
        if observed is None or observed.has_exited:
            return False
        observed.has_exited = True
        self._node.log.warn(
            "owner_ended", service=service, owner=observed.record.owner
        )
        return True

    async def refresh(self) -> bool:
        """Reads the owner rows that changed since the last read.

        Returns:
          Whether the read succeeded.
        """
        if self._version is None:
            result = await self._read_all()
        else:
            result = await self._node.store.follow(
                ownerrows.OWNER_TABLE, self._version, 0
            )
        now = clock.read_clock()
        if isinstance(result, platform_store.HistoryGone):
            self._version = None
        if not isinstance(result, platform_store.Rows):
            self._is_current = False
            return False
        if not self._is_current:
            self._current_since = now
        self._is_current = True
        rowcodec.apply_rows(
            self._node, result.rows, lambda row: self._apply_row(row, now)
        )
        self._version = result.version
        return True

    async def _read_all(self):
        """Reads the owner row of every configured service.

        Returns:
          The rows at the version of the first read, or `Refused` if a read
          failed or no service is configured.
        """
        rows = []
        version = None
        configuration = self._node.configuration
        if configuration is None:
            return platform_store.Refused(0)
        for service in configuration.services:
            result = await self._node.store.read_row(
                ownerrows.OWNER_TABLE, service, ownerrows.OWNER_KEY
            )
            if isinstance(result, platform_store.Refused):
                return result
            version = result.version if version is None else version
            rows += result.rows
        if version is None:
            return platform_store.Refused(0)
        return platform_store.Rows(rows, version)

    def apply_conflict(
        self, service: str, conflict: platform_store.Conflict
    ) -> bool:
        """Records the owner row that made the takeover of a service fail.

        It isn't known yet if the service wasn't configured when the rows were
        read, and nothing has changed it since.

        Returns:
          Whether it is newer than the recorded row.
        """
        before = self.observed_owners.get(service)
        now = clock.read_clock()
        rows = [row for row in conflict.rows if row.version]
        rowcodec.apply_rows(
            self._node, rows, lambda row: self._apply_row(row, now)
        )
        return self.observed_owners.get(service) is not before

    def _apply_row(self, row: platform_store.Row, now: float):
        """Records an owner row that is newer than the recorded one.

        was_probed and has_exited are kept while the incarnation is the same.
        """
        if row.is_deleted:
            self.observed_owners.pop(row.part, None)
            return
        record = rowcodec.decode_row(self._node, row, ownerrows.OwnerRecord)
        if record is None:
            # The service is taken over like one whose owner doesn't answer.
            record = ownerrows.OwnerRecord(owner=UNREADABLE_OWNER)
        if not messages.is_address(record.address):
            record.address = ""
        previous = self.observed_owners.get(row.part)
        if previous is not None and previous.version >= row.version:
            return
        if previous is None or previous.record.owner != record.owner:
            self._node.log.write(
                "owner_seen",
                service=row.part,
                owner=record.owner or "nobody",
                version=row.version,
            )
        observed = ObservedOwner(
            record, row.version, self._estimate_renewal(record, now)
        )
        if previous is not None and previous.record.boot == record.boot:
            observed.was_probed = previous.was_probed
            observed.has_exited = previous.has_exited
        self.observed_owners[row.part] = observed

    def _estimate_renewal(
        self, record: ownerrows.OwnerRecord, now: float
    ) -> float:
        """Returns the monotonic time of a renewal, `now` if it is unknown.

        It is computed from the store's clock. Counted from the read, an old row
        that is read for the first time, or after an outage, would look freshly
        renewed and delay the takeover.
        """
        store_clock = self._node.store.clock
        if not record.renewed_ms or store_clock is None:
            return now
        return min(now, store_clock.convert_to_local(record.renewed_ms))

    async def may_take_over(self, observed: ObservedOwner | None) -> bool:
        """Returns whether a service may be taken over from its owner.

        That is so if it has no owner, if the owner's lease expired, or if the
        owner failed or restarted. The call probes the owner if the row alone
        doesn't decide it.

        Args:
          observed: the owner as observed, None if the service has no row.
        """
        if observed is None or not observed.record.owner:
            return True
        now = clock.read_clock()
        expiry_s = persistence.LEASE_S + persistence.TAKEOVER_SLACK_S
        if observed.record.owner == UNREADABLE_OWNER:
            return now - observed.renewed_at > expiry_s
        if now - observed.renewed_at > expiry_s:
            is_after_outage = now - self._current_since < OUTAGE_GRACE_S
            return not is_after_outage or await self._confirm_failure(
                observed, expiry_s
            )
        if observed.record.owner == self._node.name:
            return observed.record.boot != self._node.boot
        unrenewed_s = now - observed.renewed_at
        if observed.has_exited:
            # The port of an exited process refuses at once, so this is fast.
            return await self._confirm_failure(observed, FAILURE_TIMEOUT_S)
        if observed.was_probed and unrenewed_s < PROBE_AFTER_S:
            return False
        return await self._confirm_failure(
            observed, unrenewed_s + PROBE_TIMEOUT_S
        )

    async def _confirm_failure(
        self, observed: ObservedOwner, unrenewed_s: float
    ) -> bool:
        """Probes an owner and returns whether it failed or restarted.

        Args:
          observed: the owner as observed.
          unrenewed_s: seconds since its last renewal at the end of the probe.

        Returns:
          True if another incarnation answers, or if none answers and the last
          renewal is at least FAILURE_TIMEOUT_S ago.
        """
        observed.was_probed = True
        outcome = await self._peers.call(
            observed.record.address,
            "GET",
            "/peer/boot",
            timeout_s=PROBE_TIMEOUT_S,
        )
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return unrenewed_s >= FAILURE_TIMEOUT_S
        observed.has_exited = False
        observed.has_restarted = outcome.body.decode() != observed.record.boot
        return observed.has_restarted

    async def read_workers(
        self, service: str
    ) -> ownerrows.WorkersRecord | None:
        """Reads the workers row of a service.

        It belongs to the newest owner row, as one transaction changes both.

        Returns:
          The record, empty if there is no row; None if it couldn't be read.
        """
        result = await self._node.store.read_row(
            ownerrows.WORKERS_TABLE, service, ownerrows.WORKERS_KEY
        )
        if not isinstance(result, platform_store.Rows):
            return None
        if not result.rows:
            return ownerrows.WorkersRecord()
        record = rowcodec.decode_row(
            self._node, result.rows[0], ownerrows.WorkersRecord
        )
        if record is None:
            # Until every lease has ended, any task may run somewhere.
            return ownerrows.WorkersRecord([ANY_WORKER])
        return record

    def bound_lease_ends(
        self,
        former: ownerrows.OwnerRecord,
        workers: ownerrows.WorkersRecord,
        observed: ObservedOwner | None,
    ) -> dict[str, float]:
        """Returns when the task leases of a former owner have ended at latest.

        Args:
          former: the record of the former owner.
          workers: the record of its workers.
          observed: the former owner as observed; None only if it had no row.

        Returns:
          By worker id, the monotonic time at which all leases have ended.
        """
        now = clock.read_clock()
        max_lease_s = self._node.settings.bounds.hold_max_ms / 1000
        store_clock = self._node.store.clock
        # The former owner may have extended leases until this moment.
        if former.owner in ("", self._node.name) or observed.has_restarted:
            extended_until = now + IN_FLIGHT_GRACE_S
        elif former.renewed_ms and store_clock is not None:
            extended_until = persistence.HOLD_S + store_clock.convert_to_local(
                former.renewed_ms
            )
        else:
            extended_until = observed.renewed_at + persistence.HOLD_S
        default_deadline = (
            extended_until
            + max_lease_s * fleet.MAX_CLOCK_RATIO
            + 2 * fleet.LEASE_KILL_S
        )
        deadlines = dict.fromkeys(workers.workers, default_deadline)
        if store_clock is not None:
            for worker_id, end_ms in workers.lease_ends.items():
                end = store_clock.convert_to_local(end_ms) + fleet.LEASE_KILL_S
                deadlines[worker_id] = min(default_deadline, end)
        return deadlines
