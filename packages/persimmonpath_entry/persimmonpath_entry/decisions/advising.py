"""For which workers the placement advisor is asked, and when.

Answers the load of an advisor that handles one call at a time for each VM:
calls name many workers at once, and a call isn't repeated while its tickets
hold.
"""

from persimmonpath_entry.decisions import placement
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import work

# Workers named in one call; each one named lengthens the call.
WORKERS_PER_CALL = 30
# Tasks that a worker takes at least before another one is asked for.
SPARE_TARGETS = 1


def choose_targets(
    step: work.Step,
    fitting: list[fleet.Worker],
    planned: list[fleet.Worker],
    wanted: int,
    room: placement.Room,
    now: float,
) -> list[str]:
    """Returns the workers for which to ask, none if it isn't worth a call.

    Args:
      step: the waiting step.
      fitting: workers that could carry its tasks when empty.
      planned: workers with room and a good word, whose tickets have expired.
      wanted: tasks that wait.
      room: what the plan has taken so far.
      now: the steady clock.
    """
    book = step.tickets
    unasked = [worker for worker in fitting if worker.id not in book.asked]
    if not book.asked:
        unasked.sort(key=lambda w: not placement.fits(w, step.spec, room))
        return [worker.id for worker in unasked[:WORKERS_PER_CALL]]
    targets = {
        worker.id: None
        for worker in planned
        if not book.find(worker.id, now)
    }
    if targets:
        return list(targets)[:WORKERS_PER_CALL]
    with_room = [w for w in unasked if placement.fits(w, step.spec, room)]
    if with_room and len(planned) < wanted:
        return [worker.id for worker in with_room[:WORKERS_PER_CALL]]
    return []


def choose_caller(
    backlogs: dict[str, float], own: str, length_s: float, now: float
) -> str:
    """Returns the VM that makes a call to the advisor.

    Calls of one VM are handled in turn, so a call goes to the VM at which it
    ends first; short ones stay on the own VM while that costs little.

    Args:
      backlogs: when the calls of each VM have ended, by address.
      own: the address of this VM.
      length_s: the time that the call takes, in seconds.
      now: the steady clock.
    """
    own_wait = max(0.0, backlogs.get(own, 0.0) - now)
    if length_s <= SHORT_CALL_S and own_wait <= SHORT_CALL_S:
        return own
    best = own
    best_wait = own_wait
    if length_s > SHORT_CALL_S and len(backlogs) > 1:
        best_wait = float("inf")
    for address, until in backlogs.items():
        if address == own:
            continue
        wait = max(0.0, until - now)
        if wait < best_wait:
            best = address
            best_wait = wait
    return best


# Calls up to this length stay on the own VM; longer ones go to the others, so
# that urgent work with short calls never waits behind them.
SHORT_CALL_S = 0.1
