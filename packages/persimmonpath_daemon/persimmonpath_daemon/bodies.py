"""Pydantic models of the request bodies of the HTTP interface."""

import base64
from typing import Annotated
from typing import Literal

import pydantic

from persimmonpath import inventory
from persimmonpath import resources
from persimmonpath import rules as rules_module
from persimmonpath import work

Name = inventory.Name
MAX_IDS = 1000
MAX_CANCELLATIONS = 10_000
MAX_ID_LENGTH = 100


class _Model(pydantic.BaseModel):
    # Strict mode, so that "1" or true is not accepted as a number.
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, val_json_bytes="base64"
    )


class ResourcesBody(_Model):
    """Declared size of a request or task."""

    cpu_millis: Annotated[int, pydantic.Field(gt=0, le=1_000_000)] = 100
    memory_mib: Annotated[int, pydantic.Field(gt=0, le=100_000_000)] = 64
    accelerators: Annotated[int, pydantic.Field(ge=0, le=64)] = 0

    def convert(self) -> resources.Resources:
        """Returns the size as the library represents it."""
        return resources.Resources(
            self.cpu_millis, self.memory_mib, self.accelerators
        )


class IdsBody(_Model):
    """Body of `POST /v1/ids`."""

    count: Annotated[int, pydantic.Field(ge=1, le=MAX_IDS)] = 1


class RequestBody(_Model):
    """Body of `POST /v1/requests`; the payload is base64."""

    id: Annotated[str, pydantic.Field(max_length=MAX_ID_LENGTH)] = ""
    kind: Name = "default"
    team: Name = "default"
    idempotent: bool = False
    resources: ResourcesBody = ResourcesBody()
    payload: Annotated[
        bytes, pydantic.Field(max_length=work.MAX_PAYLOAD_BYTES)
    ] = b""
    timeout_ms: Annotated[int, pydantic.Field(ge=10, le=600_000)] = 5000
    run_ms: Annotated[int, pydantic.Field(ge=0, le=600_000)] = 0

    def convert(self, trace: str) -> work.Request:
        """Returns the request as the library represents it.

        Args:
            trace: Trace context of the request.
        """
        return work.Request(
            kind=self.kind,
            team=self.team,
            idempotent=self.idempotent,
            size=self.resources.convert(),
            payload=self.payload,
            timeout_s=self.timeout_ms / 1000,
            run_s=self.run_ms / 1000,
            trace=trace,
        )


class JobBody(_Model):
    """Body of `POST /v1/jobs`."""

    form: Literal["batch", "service", "gang"]
    id: Name
    kind: Name = "default"
    team: Name = "default"
    tasks: Annotated[int, pydantic.Field(ge=1, le=work.MAX_TASKS_PER_JOB)] = 1
    resources: ResourcesBody = ResourcesBody()
    payload: Annotated[
        bytes, pydantic.Field(max_length=work.MAX_PAYLOAD_BYTES)
    ] = b""
    priority: Literal["batch", "normal", "service", "urgent"] | None = None
    run_ms: Annotated[int, pydantic.Field(ge=0, le=10**12)] = 0
    max_attempts: Annotated[int, pydantic.Field(ge=1, le=100)] = 3

    def convert(self) -> work.Job:
        """Returns the job as the library represents it.

        The priority defaults to that of the job form.
        """
        kinds = {
            "batch": (work.BatchJob, work.Priority.BATCH),
            "service": (work.ServiceJob, work.Priority.SERVICE),
            "gang": (work.GangJob, work.Priority.NORMAL),
        }
        create, priority = kinds[self.form]
        if self.priority is not None:
            priority = work.Priority[self.priority.upper()]
        return create(
            id=self.id,
            kind=self.kind,
            team=self.team,
            tasks=self.tasks,
            size=self.resources.convert(),
            payload=self.payload,
            priority=priority,
            run_s=self.run_ms / 1000,
            max_attempts=self.max_attempts,
        )


class CancelBody(_Model):
    """Body of `POST /v1/jobs:cancel`."""

    ids: Annotated[
        list[Name], pydantic.Field(min_length=1, max_length=MAX_CANCELLATIONS)
    ]


class ConfigBody(_Model):
    """Body of `POST /v1/config`."""

    based_on: Annotated[int, pydantic.Field(ge=0, le=10**12)]
    author: Name = "operator"
    inventory: inventory.Inventory
    rules: rules_module.Rules = rules_module.Rules()


def encode_bytes(body: bytes) -> str:
    """Encodes bytes as base64 for a JSON body."""
    return base64.b64encode(body).decode()
