"""The operator's inventory of availability zones, racks and workers."""

import csv
import functools
import io
import tomllib
from typing import Annotated

import pydantic

from persimmonpath import errors
from persimmonpath import identifiers
from persimmonpath import resources

MAX_WORKERS = 10_000
MAX_SHARDS_PER_ZONE = 64

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Worker(_Model):
    """A worker VM.

    Attributes:
        name: Name of the VM, unique.
        zone: Its availability zone.
        rack: Its rack within the zone.
        shard: Index of its shard; assigned if omitted, and never changed.
        host: IP address.
        port: TCP port of the worker's interface.
        cpu_millis: CPU capacity in thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Number of accelerators.
        slots: Maximum number of concurrent tasks.
        connections: Maximum number of concurrent connections.
        draining: Whether the operator excluded it from new work.
    """

    name: Name
    zone: Name
    rack: Name
    shard: Annotated[int, pydantic.Field(ge=0)] | None = None
    host: pydantic.IPvAnyAddress
    port: Annotated[int, pydantic.Field(ge=1, le=65535)]
    cpu_millis: Annotated[int, pydantic.Field(gt=0, le=1_000_000)]
    memory_mib: Annotated[int, pydantic.Field(gt=0, le=100_000_000)]
    accelerators: Annotated[int, pydantic.Field(ge=0, le=64)] = 0
    slots: Annotated[int, pydantic.Field(gt=0, le=1024)] = 8
    connections: Annotated[int, pydantic.Field(gt=0, le=4096)] = 64
    draining: bool = False

    @property
    def capacity(self) -> resources.Resources:
        """Returns the total resources of the worker."""
        return resources.Resources(
            self.cpu_millis, self.memory_mib, self.accelerators
        )

    @property
    def shard_id(self) -> identifiers.ShardId:
        """Returns the shard that the worker belongs to."""
        return identifiers.ShardId(self.zone, self.shard or 0)


class Zone(_Model):
    """An availability zone and its number of shards."""

    name: Name
    region: Name = "region-1"
    shards: Annotated[int, pydantic.Field(ge=1, le=MAX_SHARDS_PER_ZONE)] = 1


class Inventory(_Model):
    """All availability zones and workers."""

    zones: tuple[Zone, ...] = ()
    workers: Annotated[
        tuple[Worker, ...], pydantic.Field(max_length=MAX_WORKERS)
    ] = ()

    @pydantic.model_validator(mode="after")
    def _check(self) -> "Inventory":
        zones = {zone.name: zone for zone in self.zones}
        if len(zones) != len(self.zones):
            raise ValueError("zones: a name appears twice")
        names = set()
        for worker in self.workers:
            if worker.name in names:
                raise ValueError(f"workers: {worker.name} appears twice")
            names.add(worker.name)
            if worker.zone not in zones:
                raise ValueError(
                    f"workers: {worker.name}: unknown zone {worker.zone}"
                )
            if (worker.shard or 0) >= zones[worker.zone].shards:
                raise ValueError(
                    f"workers: {worker.name}: shard {worker.shard} of "
                    f"{zones[worker.zone].shards}"
                )
        return self

    @functools.cached_property
    def capacities(self) -> frozenset[resources.Resources]:
        """Returns the distinct capacities of the workers."""
        return frozenset(worker.capacity for worker in self.workers)

    def list_shards(self) -> list[identifiers.ShardId]:
        """Returns every shard of every zone."""
        return [
            identifiers.ShardId(zone.name, index)
            for zone in self.zones
            for index in range(zone.shards)
        ]

    def list_workers(self, shard: identifiers.ShardId) -> list[Worker]:
        """Returns the workers of a shard."""
        return [w for w in self.workers if w.shard_id == shard]


def assign_shards(inventory: Inventory) -> Inventory:
    """Assigns a shard to each worker without one.

    Goes through the workers by rack and name and assigns each to the shard of
    its zone that has the fewest workers of the same capacity. So every shard
    gets workers of each rack and capacity.
    """
    counts: dict[tuple, int] = {}
    for worker in inventory.workers:
        if worker.shard is not None:
            key = (worker.shard_id, worker.capacity)
            counts[key] = counts.get(key, 0) + 1
    shards = {zone.name: zone.shards for zone in inventory.zones}
    assigned = {}
    for worker in sorted(inventory.workers, key=lambda w: (w.rack, w.name)):
        if worker.shard is not None:
            continue
        candidates = [
            identifiers.ShardId(worker.zone, index)
            for index in range(shards[worker.zone])
        ]
        shard = min(
            candidates, key=lambda s: (counts.get((s, worker.capacity), 0), s)
        )
        key = (shard, worker.capacity)
        counts[key] = counts.get(key, 0) + 1
        assigned[worker.name] = worker.model_copy(update={"shard": shard.index})
    return Inventory(
        zones=inventory.zones,
        workers=tuple(assigned.get(w.name, w) for w in inventory.workers),
    )


def parse_toml(text: str) -> Inventory:
    """Parses an asset register in TOML with `[[zones]]` and `[[workers]]`.

    Raises:
        errors.InputError: If the text is not a valid inventory.
    """
    try:
        return validate_inventory(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise errors.InputError("inventory", str(error), "TOML") from error


def parse_csv(text: str, shards: int = 1) -> Inventory:
    """Parses an asset register in CSV with a header line of worker fields.

    Args:
        text: The register.
        shards: Number of shards of each zone in the register.

    Raises:
        errors.InputError: If the text is not a valid inventory.
    """
    rows = []
    for row in csv.DictReader(io.StringIO(text)):
        rows.append({k: v for k, v in row.items() if v not in ("", None)})
    zones = sorted({row.get("zone", "") for row in rows})
    return validate_inventory(
        {
            "zones": [{"name": zone, "shards": shards} for zone in zones],
            "workers": rows,
        }
    )


def validate_inventory(content: object) -> Inventory:
    """Validates parsed content.

    Raises:
        errors.InputError: If the content is not a valid inventory; the message
            lists every error.
    """
    try:
        return Inventory.model_validate(content)
    except pydantic.ValidationError as error:
        raise errors.InputError(
            "inventory", describe_field_errors(error), "see docs/OPERATIONS.md"
        ) from error


def describe_field_errors(error: pydantic.ValidationError) -> str:
    """Returns all errors of a validation as one line."""
    descriptions = []
    for details in error.errors(include_url=False):
        place = ".".join(str(part) for part in details["loc"])
        descriptions.append(
            f"{place}: {details['msg']}" if place else details["msg"]
        )
    return "; ".join(descriptions)
