"""Entry VMs, the shards that they own, and the VMs that are leaving."""

import threading

from absl import logging
from returns import result

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import machines
from persimmonpath import ownership
from persimmonpath import sessions
from persimmonpath import tables
from persimmonpath import timers

OWN_ZONE_PERIOD_S = 2.0
OTHER_ZONES_PERIOD_S = 10.0
MACHINES_PERIOD_S = 2.0
# The platform's list lags: a VM that was never on it counts as gone only after
# its session row has not changed for this long.
LIST_LAG_S = 30.0
# Session rows of VMs that are gone are deleted after this time, so that scans
# do not grow with every VM that is replaced.
GONE_VM_RETENTION_S = 600.0
MAX_REMEMBERED_VMS = 20_000


class Membership:
    """Sessions, shard rows and the platform's VM list as last read.

    Attributes:
        observer: Detects lapsed sessions.
    """

    def __init__(
        self,
        zone: str,
        vm: str,
        incarnation: str,
        table: tables.Table,
        timer_service: timers.TimerService,
        machine_list: machines.MachineList | None = None,
    ):
        """Creates a membership without data.

        Args:
            zone: Availability zone of this entry VM.
            vm: Name of this entry VM.
            incarnation: Random id of this process.
            table: The table service.
            timer_service: Source of time.
            machine_list: The platform's VM list; None when there is none.
        """
        self.observer = sessions.SessionObserver(timer_service)
        self._zone = zone
        self._vm = vm
        self._incarnation = incarnation
        self._table = table
        self._timers = timer_service
        self._machines = machine_list
        self._lock = threading.Lock()
        self._directories: dict[str, ownership.ShardDirectory] = {}
        self._own_zone_read_at = timer_service.now()
        self._leaving: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._ever_listed: set[str] = set()

    def refresh_zone(
        self, zone: str, period_s: float
    ) -> result.Result[None, errors.TableError]:
        """Reads the session rows and shard rows of a zone.

        Args:
            zone: The zone.
            period_s: Normal interval between reads of this zone, in seconds.
        """
        prefix = f"{sessions.KEY_PREFIX}{zone}/"
        scan = self._table.scan(prefix)
        if isinstance(scan, result.Failure):
            return scan
        reply = self.get_directory(zone).refresh()
        if isinstance(reply, result.Failure):
            return reply
        self.observer.observe(prefix, scan.unwrap(), period_s)
        if zone == self._zone:
            self._own_zone_read_at = self._timers.now()
        return result.Success(None)

    def refresh_own_zone(self) -> result.Result[None, errors.TableError]:
        """Reads the session rows and shard rows of the zone of this VM."""
        return self.refresh_zone(self._zone, OWN_ZONE_PERIOD_S)

    def refresh_other_zones(self, zones: list[str]) -> None:
        """Reads the session rows and shard rows of the other zones."""
        for zone in zones:
            if zone != self._zone:
                self.refresh_zone(zone, OTHER_ZONES_PERIOD_S)

    def refresh_machines(self) -> None:
        """Reads the platform's VM list; keeps the last one if that fails."""
        if self._machines is None:
            return
        reply = self._machines.read()
        if isinstance(reply, result.Failure):
            logging.warning("event=vm_list_failed error=%s", reply.failure())
            return
        listed = reply.unwrap()
        leaving = machines.MachineState.LEAVING
        with self._lock:
            self._leaving = frozenset(
                m.name for m in listed if m.state is leaving
            )
            self._listed = frozenset(m.name for m in listed)
            if len(self._ever_listed) > MAX_REMEMBERED_VMS:
                self._ever_listed.clear()
            self._ever_listed |= self._listed

    def read_sessions(
        self,
    ) -> result.Result[list[sessions.SessionRecord], errors.TableError]:
        """Reads the sessions of all zones from the table."""
        return self._table.scan(sessions.KEY_PREFIX).map(
            lambda rows: [sessions.parse_row(row) for row in rows]
        )

    def get_directory(self, zone: str) -> ownership.ShardDirectory:
        """Returns the shard directory of a zone, creating it if necessary."""
        with self._lock:
            if zone not in self._directories:
                self._directories[zone] = ownership.ShardDirectory(
                    zone, self._vm, self._incarnation, self._table
                )
            return self._directories[zone]

    def measure_table_outage_s(self) -> float:
        """Returns the seconds since this VM's zone was last read."""
        return self._timers.now() - self._own_zone_read_at

    def list_leaving(self) -> frozenset[str]:
        """Returns the VMs that the platform lists as leaving."""
        return self._leaving

    def is_gone(self, record: sessions.SessionRecord) -> bool:
        """Returns whether the VM of a session no longer exists.

        It must be missing from the platform's list and its session must have
        lapsed: since the list lags, a VM that renews its session exists even
        if it is not listed.
        """
        # An empty list is regarded as faulty.
        if not self._listed or record.vm in self._listed:
            return False
        session = self.observer.find(record.zone, record.vm)
        if session is None or session.incarnation != record.incarnation:
            return False
        if not self.observer.has_lapsed(record):
            return False
        if record.vm in self._ever_listed:
            return True
        return self.observer.measure_unchanged_s(record) >= LIST_LAG_S

    def list_candidates(self) -> list[sessions.SessionRecord]:
        """Returns the live sessions of this zone not listed as leaving."""
        return [
            record
            for record in self.observer.list_live(self._zone)
            if record.vm not in self._leaving
        ]

    def find_owner(
        self, shard: identifiers.ShardId
    ) -> sessions.SessionRecord | None:
        """Returns the session of the owner of a shard as last read."""
        record = self.get_directory(shard.zone).find(shard)
        if record is None or not record.vm:
            return None
        return self.observer.find(shard.zone, record.vm)

    def delete_gone_sessions(self) -> None:
        """Deletes the session rows of VMs that have been gone for long."""
        for record in self.observer.list_sessions(self._zone):
            is_old = (
                self.observer.measure_unchanged_s(record) >= GONE_VM_RETENTION_S
            )
            if not is_old or record.vm in self._listed:
                continue
            version = self.observer.get_version(record)
            key = sessions.format_key(record.zone, record.vm)
            self._table.commit(
                [tables.Check(key, version)], [tables.Write(key, None)]
            )
