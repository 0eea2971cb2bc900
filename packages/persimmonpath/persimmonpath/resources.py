"""Amounts of processor time, memory and accelerators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource of a VM.

    Attributes:
        cpu_millis: Processor time in thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Whole accelerators.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, other: "Resources") -> bool:
        """Returns whether no component exceeds that of `other`."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mib <= other.memory_mib
            and self.accelerators <= other.accelerators
        )

    def is_negative(self) -> bool:
        """Returns whether any component is below zero."""
        return min(self.cpu_millis, self.memory_mib, self.accelerators) < 0


ZERO = Resources()
