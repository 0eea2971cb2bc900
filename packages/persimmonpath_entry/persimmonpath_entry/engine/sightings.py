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
DOUBT_S = 0.6
SUSPICION_S = 0.95
# An owner that lives gets this time after an outage of the store to renew, as a
# takeover would only hold its work up.
OWNER_FIRST_S = 0.6
# A renewal of leases by an owner that has ended arrives within this time.
RELEASED_GRACE_S = 0.5


class Sighting:
    """The newest row of an owner and when it was seen to change."""

    def __init__(self, record: ledgers.OwnerRecord, version: int, now: float):
        self.record = record
        self.version = version
        self.changed_at = now
        self.is_disowned = False
        self.has_probed = False
        # Whether its process has ended, as far as a closed connection tells.
        self.has_ended = False


class Sightings:
    """The owners' rows as this VM has read them last.

    Attributes:
      rows: what is known of each service's owner.
    """

    def __init__(self, node: context.Context, peers: members.Members):
        self._node = node
        self._peers = peers
        self.rows: dict[str, Sighting] = {}
        self._version: int | None = None
        # When the rows could be read again after they could not.
        self._current_since = 0.0
        self._is_current = False

    def find_owner(self, service: str) -> str | None:
        """Returns the address of a service's owner, or None."""
        sighting = self.rows.get(service)
        if sighting is None or not sighting.record.owner:
            return None
        return sighting.record.address

    def list_owners(self) -> list[str]:
        """Returns the addresses of all owners."""
        return [
            sighting.record.address
            for sighting in self.rows.values()
            if sighting.record.owner
        ]

    def note_end(self, service: str) -> bool:
        """Takes note that an owner's process has ended; False if known."""
        sighting = self.rows.get(service)
        if sighting is None or sighting.has_ended:
            return False
        sighting.has_ended = True
        self._node.log.warn(
            "owner_ended", service=service, owner=sighting.record.owner
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
            self.rows.pop(row.part, None)
            return
        record = msgspec.json.decode(row.value, type=ledgers.OwnerRecord)
        known = self.rows.get(row.part)
        if known is not None and known.version >= row.version:
            return
        if known is None or known.record.owner != record.owner:
            self._node.log.write(
                "owner_seen",
                service=row.part,
                owner=record.owner or "nobody",
                version=row.version,
            )
        sighting = Sighting(record, row.version, self._date(record, now))
        if known is not None and known.record.boot == record.boot:
            sighting.has_probed = known.has_probed
            sighting.has_ended = known.has_ended
        self.rows[row.part] = sighting

    def _date(self, record: ledgers.OwnerRecord, now: float) -> float:
        """Returns when a row was written, by the store's clock if known.

        A VM that reads a row for the first time, or after an outage, would
        else wait for the owner as if it had renewed just now.
        """
        store_clock = self._node.store.clock
        if not record.renewed_ms or store_clock is None:
            return now
        return min(now, store_clock.convert_to_local(record.renewed_ms))

    async def is_vacant(self, sighting: Sighting | None) -> bool:
        """Returns whether a service may be taken over from its owner."""
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
        if sighting.has_ended:
            # Its port refuses at once if it isn't there, so no time is lost.
            return await self._probe(sighting, SUSPICION_S)
        if sighting.has_probed and silence_s < DOUBT_S:
            return False
        return await self._probe(sighting, silence_s + PROBE_TIMEOUT_S)

    async def _probe(self, sighting: Sighting, silence_s: float) -> bool:
        """Asks the named owner whether it is there and still the same.

        Args:
          sighting: its row.
          silence_s: how long it will have been silent after the call.

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
        if isinstance(outcome, httpclient.NoResponse) or outcome.status != 200:
            return silence_s >= SUSPICION_S
        sighting.has_ended = False
        sighting.is_disowned = outcome.body.decode() != sighting.record.boot
        return sighting.is_disowned

    def bound_leases(
        self, former: ledgers.OwnerRecord, sighting: Sighting | None
    ) -> dict[str, float]:
        """Returns when every former lease on each worker has surely ended."""
        now = clock.read_clock()
        hold_s = self._node.settings.bounds.hold_max_ms / 1000
        store_clock = self._node.store.clock
        # The former owner may have extended leases until it had to stop.
        if former.owner in ("", self._node.name) or sighting.is_disowned:
            extended_until = now + RELEASED_GRACE_S
        elif former.renewed_ms and store_clock is not None:
            extended_until = ledgers.HOLD_S + store_clock.convert_to_local(
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
                end = store_clock.convert_to_local(end_ms) + fleet.LEASE_SLACK_S
                deadlines[worker_id] = min(usual, end)
        return deadlines
