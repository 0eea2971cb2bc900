"""Identifiers of requests, shards and attempts."""

import dataclasses
import re

from persimmonpath import errors

_NAME = re.compile(r"^[a-z0-9][a-z0-9-]{0,39}$")
_REQUEST = re.compile(
    r"^(?P<zone>[a-z0-9][a-z0-9-]{0,39})\.(?P<shard>\d{1,4})"
    r"\.(?P<epoch>\d{1,12})\.(?P<sequence>\d{1,15})$"
)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """A shard: a fixed group of workers in one availability zone.

    Attributes:
        zone: Name of the availability zone.
        index: Index of the shard within the zone.
    """

    zone: str
    index: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.index}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RequestId:
    """An id issued by the owner of a shard.

    Attributes:
        shard: The shard whose owner records the outcome of the request.
        epoch: The epoch in which the owner issued it.
        sequence: Sequence number of the id within the epoch, starting at 1.
    """

    shard: ShardId
    epoch: int
    sequence: int

    def __str__(self) -> str:
        return (
            f"{self.shard.zone}.{self.shard.index}.{self.epoch}.{self.sequence}"
        )


def parse_request_id(text: str) -> RequestId:
    """Parses the text form `zone.shard.epoch.sequence`.

    Raises:
        errors.InputError: If the text is not of this form.
    """
    match = _REQUEST.match(text)
    if match is None:
        raise errors.InputError(
            "id",
            f"{text[:80]!r} is not a request id",
            "an id issued by POST /v1/ids: zone.shard.epoch.sequence",
        )
    shard = ShardId(match["zone"], int(match["shard"]))
    return RequestId(shard, int(match["epoch"]), int(match["sequence"]))


def is_request_id(text: str) -> bool:
    """Returns whether text has the form of a request id."""
    return _REQUEST.match(text) is not None


def parse_shard_id(text: str) -> ShardId:
    """Parses the text form `zone/index`.

    Raises:
        errors.InputError: If the text is not of this form.
    """
    zone, _, index = text.partition("/")
    if not is_name(zone) or not index.isdigit():
        raise errors.InputError("shard", f"{text[:80]!r}", "zone/index")
    return ShardId(zone, int(index))


def is_name(text: str) -> bool:
    """Returns whether text is a valid name of a zone, VM, team or job."""
    return _NAME.match(text) is not None


def format_attempt(task_id: str, number: int) -> str:
    """Returns the id of an attempt, `id#number`.

    Args:
        task_id: Id of the task or request.
        number: Number of the attempt.
    """
    return f"{task_id}#{number}"


def split_attempt(attempt: str) -> tuple[str, int]:
    """Splits an attempt id into the task or request id and the number."""
    task_id, _, number = attempt.rpartition("#")
    return task_id, int(number)
