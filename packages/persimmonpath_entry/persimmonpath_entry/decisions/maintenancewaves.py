"""Which machines of a maintenance wave are evacuated and maintained next.

Covers a wave over machines that run long-running tasks. At most `max_count`
machines are down at once, none is taken down while it runs protected tasks, and
none waits for batch tasks longer than the duration of the wave allows.
"""

import dataclasses

# Share of a machine's turn in the wave that may be spent on waiting for batch
# tasks.
EVACUATION_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class MachineProgress:
    """Progress of a machine in a maintenance wave.

    Attributes:
      is_present: whether the platform still lists the machine.
      is_up: whether the machine is up.
      is_done: whether its maintenance has started or is over.
      evacuating_since: when its evacuation began, in seconds of the monotonic
        clock; None if it hasn't.
      runs: number of runs on the machine, None if unknown.
      protected: number of runs on it that must not be stopped yet.
    """

    is_present: bool = True
    is_up: bool = True
    is_done: bool = False
    evacuating_since: float | None = None
    runs: int | None = None
    protected: int = 0


def compute_evacuation_limit(
    duration_s: float, machines: int, max_count: int, maintenance_s: float
) -> float:
    """Returns the longest time for the evacuation of a machine, in seconds.

    Args:
      duration_s: planned duration of the wave in seconds.
      machines: number of machines in the wave.
      max_count: most machines that may be down at once.
      maintenance_s: duration of the maintenance of one machine in seconds.
    """
    turns = -(-machines // max(1, max_count))
    turn_s = duration_s / max(1, turns) - maintenance_s
    return max(0.0, EVACUATION_SHARE * turn_s)


def choose_machines_to_evacuate(
    machines: dict[str, MachineProgress], max_count: int
) -> list[str]:
    """Returns the names of the machines to evacuate now.

    Machines whose evacuation has begun come first.
    """
    free_places = max_count - count_machines_down(machines)
    candidates = [
        name
        for name, machine in machines.items()
        if machine.is_present and machine.is_up and not machine.is_done
    ]
    candidates.sort(key=lambda name: machines[name].evacuating_since is None)
    return candidates[: max(0, free_places)]


def may_begin_maintenance(
    machine: MachineProgress, limit_s: float, now: float
) -> bool:
    """Returns whether the maintenance of a machine may begin.

    It may once nothing runs there, or once the evacuation has reached its time
    limit and no protected run is left.
    """
    if (
        machine.evacuating_since is None
        or machine.runs is None
        or machine.protected
    ):
        return False
    return machine.runs == 0 or now - machine.evacuating_since >= limit_s


def count_machines_down(machines: dict[str, MachineProgress]) -> int:
    """Returns the number of machines of a wave that are down."""
    return sum(1 for machine in machines.values() if not machine.is_up)


def is_complete(machines: dict[str, MachineProgress]) -> bool:
    """Returns whether all machines still present are maintained and up."""
    return all(
        not machine.is_present or (machine.is_done and machine.is_up)
        for machine in machines.values()
    )
