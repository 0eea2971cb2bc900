"""What became of a request."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request ran and this is its whole answer."""

    answer: bytes
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and reported a failure."""

    reason: str
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly was not run and will not be under this id."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run; the caller can ask again."""

    reason: str


Outcome = Done | Failed | NotRun | Unknown

# An outcome of one of these types never changes.
FINAL = (Done, Failed, NotRun)

OUTCOME_NAMES = {
    Done: "done",
    Failed: "failed",
    NotRun: "not_run",
    Unknown: "unknown",
}


def get_outcome_name(outcome: Outcome) -> str:
    """Returns the wire name of an outcome."""
    return OUTCOME_NAMES[type(outcome)]


def compute_checksum(body: bytes) -> str:
    """Returns the xxh64 checksum of an answer in hexadecimal."""
    return xxhash.xxh64_hexdigest(body)


def is_intact(body: bytes, length: int, checksum: str) -> bool:
    """Returns whether an answer arrived as it was sent."""
    return len(body) == length and compute_checksum(body) == checksum
