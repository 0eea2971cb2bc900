"""Outcomes of requests and checksums of answers."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request ran to completion.

    Attributes:
        answer: The complete answer.
        worker: Name of the worker that ran it.
    """

    answer: bytes
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and reported a failure.

    Attributes:
        reason: The reported reason.
        worker: Name of the worker that ran it.
    """

    reason: str
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request definitely was not run and never will be under this id.

    Attributes:
        reason: Why it was not run.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run; the caller can query it again.

    Attributes:
        reason: Why the outcome is unknown.
    """

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
    """Returns whether an answer has the expected length and checksum.

    Args:
        body: The received answer.
        length: Expected length in bytes.
        checksum: Expected xxh64 checksum in hexadecimal.
    """
    return len(body) == length and compute_checksum(body) == checksum
