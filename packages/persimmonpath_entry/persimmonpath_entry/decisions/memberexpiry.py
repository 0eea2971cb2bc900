"""Which VMs are probed, and whose rows are removed from the table of VMs.

Covers VMs that are lost for good without a chance to remove their row, dozens a
day in a large deployment. Their rows would make every VM call them again and
again. A zone that is cut off as a whole is expected back.
"""

from collections.abc import Mapping
import dataclasses

# Time in seconds between two probes of a VM that answers, and of one that
# doesn't.
PROBE_PERIOD_S = 60.0
SUSPECT_PERIOD_S = 5.0
# A VM is taken as lost after this many probes in a row without an answer, over
# at least this time in seconds.
LOST_PROBES = 4
LOST_AFTER_S = 45.0
# A VM of a zone of which no VM answers is taken as lost after this time.
LOST_WITH_ZONE_AFTER_S = 900.0


@dataclasses.dataclass(slots=True)
class ProbeRecord:
    """What the probes of a VM have shown.

    Times are seconds of the monotonic clock.

    Attributes:
      zone: its availability zone.
      next_probe_at: when it is probed next.
      answered_at: when it last answered, None if it never did.
      failing_since: when the first of the probes without an answer was sent,
        None if the last one was answered.
      failures: number of probes in a row without an answer.
    """

    zone: str
    next_probe_at: float
    answered_at: float | None = None
    failing_since: float | None = None
    failures: int = 0

    def record(self, has_answered: bool, sent_at: float):
        """Records the outcome of a probe.

        Args:
          has_answered: whether the VM answered.
          sent_at: when the probe was sent.
        """
        if has_answered:
            self.answered_at = sent_at
            self.failing_since = None
            self.failures = 0
            self.next_probe_at = sent_at + PROBE_PERIOD_S
            return
        if self.failing_since is None:
            self.failing_since = sent_at
        self.failures += 1
        self.next_probe_at = sent_at + SUSPECT_PERIOD_S


def choose_probe(records: Mapping[str, ProbeRecord], now: float) -> str | None:
    """Returns the name of the VM to probe now, None if no probe is due."""
    name = min(
        records, key=lambda name: records[name].next_probe_at, default=None
    )
    if name is None or records[name].next_probe_at > now:
        return None
    return name


def is_lost(
    records: Mapping[str, ProbeRecord], name: str, own_zone: str, now: float
) -> bool:
    """Returns whether the row of a VM may be removed.

    Args:
      records: what the probes of each VM have shown.
      name: the VM.
      own_zone: the zone of the probing VM, which counts as answering.
      now: the monotonic clock, in seconds.
    """
    record = records[name]
    if record.failing_since is None or record.failures < LOST_PROBES:
        return False
    silent_s = now - record.failing_since
    if silent_s >= LOST_WITH_ZONE_AFTER_S:
        return True
    does_zone_answer = record.zone == own_zone or any(
        other.zone == record.zone
        and other.answered_at is not None
        and other.answered_at >= record.failing_since
        for other in records.values()
    )
    return does_zone_answer and silent_s >= LOST_AFTER_S
