"""The operator's rules: placement constraints, quotas and policy settings."""

from typing import Annotated

import pydantic

from persimmonpath import errors
from persimmonpath import inventory

Share = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlacementRule(_Model):
    """Restricts work to availability zones or racks.

    Attributes:
        kind: Kind of work that the rule applies to; `*` for every kind.
        team: Team that the rule applies to; `*` for every team.
        zones: Allowed availability zones; empty for all.
        racks: Allowed racks; empty for all.
    """

    kind: str = "*"
    team: str = "*"
    zones: tuple[inventory.Name, ...] = ()
    racks: tuple[inventory.Name, ...] = ()


class Quota(_Model):
    """Limit on the resources that the running jobs of a team may reserve."""

    team: inventory.Name
    cpu_millis: Annotated[int, pydantic.Field(ge=0)]
    memory_mib: Annotated[int, pydantic.Field(ge=0)]
    accelerators: Annotated[int, pydantic.Field(ge=0)] = 0


class Policy(_Model):
    """Settings of the scheduling policies; see docs/policies.md.

    Attributes:
        short_run_s: Work expected to run at most this long counts as short.
        short_slots_share: Share of the slots of a worker reserved for short
            work.
        queue_limit: Maximum number of queued requests per shard.
        quarantine_failures: Consecutive failures that quarantine a worker.
        quarantine_share: Maximum share of the workers of a shard that may be
            quarantined.
        retry_share: Retries allowed per first attempt.
        retry_failed: Whether an idempotent request that failed is retried.
        gang_hold_s: Maximum time for which a waiting gang reserves resources.
        spill_to_zones: Whether requests may run in another zone if their own
            has no capacity.
    """

    short_run_s: Annotated[float, pydantic.Field(gt=0, le=3600)] = 1.0
    short_slots_share: Share = 0.25
    queue_limit: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 1000
    quarantine_failures: Annotated[int, pydantic.Field(ge=2, le=100)] = 5
    quarantine_share: Share = 0.34
    retry_share: Share = 0.1
    retry_failed: bool = True
    gang_hold_s: Annotated[float, pydantic.Field(gt=0, le=60)] = 2.0
    spill_to_zones: bool = True


class Rules(_Model):
    """All rules of a cell."""

    placement: tuple[PlacementRule, ...] = ()
    quotas: tuple[Quota, ...] = ()
    policy: Policy = Policy()


def ensure_known_names(rules: Rules, content: inventory.Inventory) -> None:
    """Checks that every zone and rack of the rules is in the inventory.

    Raises:
        errors.InputError: If names are unknown; lists these and the known
            ones.
    """
    zones = {zone.name for zone in content.zones}
    racks = {worker.rack for worker in content.workers}
    for field, known in (("zones", zones), ("racks", racks)):
        named = {n for rule in rules.placement for n in getattr(rule, field)}
        unknown = sorted(named - known)
        if unknown:
            raise errors.InputError(
                f"rules.placement.{field}",
                f"unknown: {', '.join(unknown)}",
                ", ".join(sorted(known)),
            )
