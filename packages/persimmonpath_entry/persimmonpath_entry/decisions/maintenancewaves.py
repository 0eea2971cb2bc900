"""Which machines have their upkeep next.

Answers a wave of upkeep over machines that carry lasting work: at most so many
are down at once, none while tasks on it may not be missed, and none waits for
batch work longer than the wave allows.
"""

import dataclasses

# Share of a machine's part of the wave for which batch work is waited for.
EVACUATION_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class MachineProgress:
    """How far a machine of a wave has got.

    Attributes:
      is_there: whether the platform still lists it.
      is_up: whether it is up.
      is_done: whether its upkeep has begun or is over.
      since: since when it is being emptied, None if it isn't.
      runs: tasks on it, None if unknown.
      protected: tasks on it that may not be taken away yet.
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
    """Returns for how long a machine may be emptied, in seconds."""
    turns = -(-machines // max(1, max_count))
    turn_s = duration_s / max(1, turns) - maintenance_s
    return max(0.0, EVACUATION_SHARE * turn_s)


def choose_machines_to_evacuate(
    machines: dict[str, MachineProgress], max_count: int
) -> list[str]:
    """Returns the machines that are to be emptied now."""
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
    """Returns whether an emptied machine's upkeep may begin."""
    if (
        machine.evacuating_since is None
        or machine.runs is None
        or machine.protected
    ):
        return False
    return machine.runs == 0 or now - machine.evacuating_since >= limit_s


def count_machines_down(machines: dict[str, MachineProgress]) -> int:
    """Returns the machines of a wave that are down for their upkeep."""
    return sum(1 for machine in machines.values() if not machine.is_up)


def is_complete(machines: dict[str, MachineProgress]) -> bool:
    """Returns whether each machine that stays has had its upkeep."""
    return all(
        not machine.is_present or (machine.is_done and machine.is_up)
        for machine in machines.values()
    )
