"""The platform's list of live and leaving VMs, which may be out of date."""

import abc
import dataclasses
import enum
import threading

from returns import result

from persimmonpath import errors


class MachineState(enum.StrEnum):
    """State of a listed VM; a VM that no longer exists is not listed."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """An entry of the list."""

    name: str
    state: MachineState


class MachineList(abc.ABC):
    """Client of the platform's VM list."""

    @abc.abstractmethod
    def read(self) -> result.Result[list[Machine], errors.MachineListError]:
        """Returns all listed VMs, entry VMs and workers alike."""


class MemoryMachineList(MachineList):
    """A VM list in memory."""

    def __init__(self):
        self._lock = threading.Lock()
        self._machines: dict[str, Machine] = {}

    def read(self) -> result.Result[list[Machine], errors.MachineListError]:
        """Returns all listed VMs."""
        with self._lock:
            return result.Success(list(self._machines.values()))

    def mark(self, name: str, state: MachineState | None) -> None:
        """Sets the state of a VM; None removes it from the list."""
        with self._lock:
            if state is None:
                self._machines.pop(name, None)
            else:
                self._machines[name] = Machine(name, state)


def create_memory_machine_list() -> MemoryMachineList:
    """Creates an empty VM list in memory."""
    return MemoryMachineList()
