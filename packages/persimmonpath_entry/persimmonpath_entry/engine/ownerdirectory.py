"""Who owns the services, and whether those owners are still there."""

import msgspec

from persimmonpath_entry.engine import context
from persimmonpath_entry.engine import ledger as ledgers
from persimmonpath_entry.engine import members
from persimmonpath_entry.platform import store as platform_store
from persimmonpath_entry.state import fleet
from persimmonpath_entry.transport import clock
from persimmonpath_entry.transport import httpclient

PROBE_TIMEOUT_S = 0.35
# An owner that hasn't renewed for the first time is asked whether it is there;
# if it doesn't answer, its service is taken over after the second. Its fencing
# token and its row keep it from doing harm, and tasks that it may have started
# meanwhile wait as after every takeover.
PROBE_AFTER_S = 0.6
FAILURE_TIMEOUT_S = 0.95
# An owner that lives gets this time after an outage of the store to renew, as a
# takeover would only hold its work up.
OUTAGE_GRACE_S = 0.6
# A renewal of leases by an owner that has ended arrives within this time.
IN_FLIGHT_GRACE_S = 0.5


class ObservedOwner:
    """The newest row of an owner and when it was seen to change."""

    def __init__(self, record: ledgers.OwnerRecord, version: int, now: float):
        self.record = record
        self.version = version
        self.renewed_at = now
        self.has_restarted = False
        self.was_probed = False
        # Whether its process has ended, as far as a closed connection tells.
        self.has_exited = False


class OwnerDirectory:
    """The owners' rows as this VM has read them last.

    Attributes:
      rows: what is previous of each service's owner.
    """

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        self.observed_owners: dict[str, ObservedOwner] = {}
        self._version: int | None = None
        # When the rows could be read again after they could not.
        self._current_since = 0.0
        self._is_current = False

    def find_owner(self, service: str) -> str | None:
        """Returns the address of a service's owner, or None."""
        observed = self.observed_owners.get(service)
        if observed is None or not observed.record.owner:
            return None
        return observed.record.address

    def list_owners(self) -> list[str]:
        """Returns the addresses of all owners."""
        return [
            observed.record.address
            for observed in self.observed_owners.values()
            if observed.record.owner
        ]

    def mark_exited(self, service: str) -> bool:
        """Takes note that an owner's process has ended; False if previous."""
        observed = self.observed_owners.get(service)
        if observed is None or observed.has_exited:
            return False
        observed.has_exited = True
        self._node.log.warn(
            "owner_ended", service=service, owner=observed.record.owner
        )
        return True

    async def refresh(self) -> bool:
        """Reads what has changed; returns whether the store answered."""
        if self._version is None:
            result = await self._read_all()
        else:
            result = await self._node.store.follow(
                ledgers.OWNER_TABLE, self._version, 0
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
        for row in result.rows:
            self._apply_row(row, now)
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

    def _apply_row(self, row: platform_store.Row, now: float):
        if row.is_deleted:
            self.observed_owners.pop(row.part, None)
            return
        record = msgspec.json.decode(row.value, type=ledgers.OwnerRecord)
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
        self, record: ledgers.OwnerRecord, now: float
    ) -> float:
        """Returns when a row was written, by the store's clock if previous.

        A VM that reads a row for the first time, or after an outage, would
        else wait for the owner as if it had renewed just now.
        """
        store_clock = self._node.store.clock
        if not record.renewed_ms or store_clock is None:
            return now
        return min(now, store_clock.find_moment(record.renewed_ms))

    async def may_take_over(self, observed: ObservedOwner | None) -> bool:
        """Returns whether a service may be taken over from its owner."""
        if observed is None or not observed.record.owner:
            return True
        now = clock.read_clock()
        expiry_s = ledgers.LEASE_S + ledgers.TAKEOVER_SLACK_S
        if now - observed.renewed_at > expiry_s:
            is_after_outage = now - self._current_since < OUTAGE_GRACE_S
            return not is_after_outage or await self._confirm_failure(
                observed, expiry_s
            )
        if observed.record.owner == self._node.name:
            return observed.record.boot != self._node.boot
        unrenewed_s = now - observed.renewed_at
        if observed.has_exited:
            # Its port refuses at once if it isn't there, so no time is lost.
            return await self._confirm_failure(observed, FAILURE_TIMEOUT_S)
        if observed.was_probed and unrenewed_s < PROBE_AFTER_S:
            return False
        return await self._confirm_failure(
            observed, unrenewed_s + PROBE_TIMEOUT_S
        )

    async def _confirm_failure(
        self, observed: ObservedOwner, unrenewed_s: float
    ) -> bool:
        """Asks the named owner whether it is there and still the same.

        Args:
          observed: its row.
          unrenewed_s: how long it will have been silent after the call.

        Returns:
          Whether it isn't: another life of its process answers, or nobody
          does and it hasn't renewed lately.
        """
        observed.was_probed = True
        outcome = await self._peers.call(
            observed.record.address,
            "GET",
            "/peer/boot",
            timeout_s=PROBE_TIMEOUT_S,
        )
        if isinstance(outcome, httpclient.NoReply) or outcome.status != 200:
            return unrenewed_s >= FAILURE_TIMEOUT_S
        observed.has_exited = False
        observed.has_restarted = outcome.body.decode() != observed.record.boot
        return observed.has_restarted

    def bound_lease_ends(
        self, former: ledgers.OwnerRecord, observed: ObservedOwner | None
    ) -> dict[str, float]:
        """Returns when every former lease on each worker has surely ended."""
        now = clock.read_clock()
        max_lease_s = self._node.settings.bounds.hold_max_ms / 1000
        store_clock = self._node.store.clock
        # The former owner may have extended leases until it had to stop.
        if former.owner in ("", self._node.name) or observed.has_restarted:
            extended_until = now + IN_FLIGHT_GRACE_S
        elif former.renewed_ms and store_clock is not None:
            extended_until = ledgers.HOLD_S + store_clock.find_moment(
                former.renewed_ms
            )
        else:
            extended_until = observed.renewed_at + ledgers.HOLD_S
        default_deadline = (
            extended_until
            + max_lease_s * fleet.CLOCK_RATE_LIMIT
            + 2 * fleet.LEASE_SLACK_S
        )
        deadlines = dict.fromkeys(former.workers, default_deadline)
        if store_clock is not None:
            for worker_id, end_ms in former.lease_ends.items():
                end = store_clock.find_moment(end_ms) + fleet.LEASE_SLACK_S
                deadlines[worker_id] = min(default_deadline, end)
        return deadlines
