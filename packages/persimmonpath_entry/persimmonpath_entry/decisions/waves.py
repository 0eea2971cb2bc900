"""Which machines have their upkeep next.

Answers a wave of upkeep over machines that carry lasting work: at most so many
are down at once, none while tasks on it may not be missed, and none waits for
batch work longer than the wave allows.
"""

import dataclasses

# Share of a machine's part of the wave for which batch work is waited for.
WAIT_SHARE = 0.5


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

    is_there: bool = True
    is_up: bool = True
    is_done: bool = False
    since: float | None = None
    runs: int | None = None
    protected: int = 0


def find_wait_limit(
    duration_s: float, machines: int, max_count: int, upkeep_s: float
) -> float:
    """Returns for how long a machine may be emptied, in seconds."""
    turns = -(-machines // max(1, max_count))
    part_s = duration_s / max(1, turns) - upkeep_s
    return max(0.0, WAIT_SHARE * part_s)


def choose_to_empty(
    machines: dict[str, MachineProgress], max_count: int
) -> list[str]:
    """Returns the machines that are to be emptied now."""
    left = max_count - count_down(machines)
    waiting = [
        name
        for name, machine in machines.items()
        if machine.is_there and machine.is_up and not machine.is_done
    ]
    waiting.sort(key=lambda name: machines[name].since is None)
    return waiting[: max(0, left)]


def may_begin(machine: MachineProgress, limit_s: float, now: float) -> bool:
    """Returns whether an emptied machine's upkeep may begin."""
    if machine.since is None or machine.runs is None or machine.protected:
        return False
    return machine.runs == 0 or now - machine.since >= limit_s


def count_down(machines: dict[str, MachineProgress]) -> int:
    """Returns the machines of a wave that are down for their upkeep."""
    return sum(1 for machine in machines.values() if not machine.is_up)


def is_complete(machines: dict[str, MachineProgress]) -> bool:
    """Returns whether each machine that stays has had its upkeep."""
    return all(
        not machine.is_there or (machine.is_done and machine.is_up)
        for machine in machines.values()
    )
