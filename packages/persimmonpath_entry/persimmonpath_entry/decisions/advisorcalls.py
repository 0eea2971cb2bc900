"""For which workers the placement advisor is asked, when, and by which VM.

Answers the load of an advisor that handles one call at a time for each VM:
a call is made only while the VM that makes it has none under way, so that
calls for work that can't start anyway never queue before those that matter.
"""

import enum

from persimmonpath_entry.decisions import placement
from persimmonpath_entry.state import execution
from persimmonpath_entry.state import fleet
from persimmonpath_entry.state import submissions

# Workers named in one call; each one named lengthens the call.
WORKERS_PER_CALL = 30
# Calls up to this length stay on the own VM; longer ones go to the others, so
# that urgent work with short calls never waits behind them.
SHORT_CALL_S = 0.1
# Short calls under way from the own VM; more than one hides the way to the
# advisor and back.
MAX_LOCAL_CALLS = 3
# VMs that are kept free of calls ahead of need.
PREFETCH_SPARE_CALLERS = 1


class Purpose(enum.Enum):
    """Why the advisor is asked.

    START: there is room, and only the ticket is missing.
    AHEAD: there is no room yet.
    """

    START = "start"
    PREFETCH = "ahead"


def choose_workers_to_ask(
    step_advice: execution.StepAdvice,
    spec: submissions.StepSpec,
    fitting: list[fleet.Worker],
    planned: list[fleet.Worker],
    free_capacity: placement.FreeCapacity,
    now: float,
) -> list[str]:
    """Returns the workers for which to ask.

    Args:
      book: what the advisor has said of the step.
      spec: the step.
      fitting: workers that could carry its tasks when empty.
      planned: workers on which its tasks would start now.
      room: what the plan has taken so far.
      now: the steady clock.
    """
    targets = {
        worker.id: None
        for worker in planned
        if not step_advice.find_ticket(worker.id, now)
    }
    if step_advice.asked and all(
        worker_id in step_advice.good for worker_id in targets
    ):
        if targets:
            return list(targets)[:WORKERS_PER_CALL]
        good = [w.id for w in fitting if w.id in step_advice.good]
        if good:
            return good[:WORKERS_PER_CALL]
    unasked = [
        worker for worker in fitting if worker.id not in step_advice.asked
    ]
    unasked.sort(
        key=lambda worker: not placement.fits(worker, spec, free_capacity)
    )
    for worker in unasked:
        targets[worker.id] = None
    return list(targets)[:WORKERS_PER_CALL]


def choose_caller(
    own_address: str,
    peers: list[str],
    busy: dict[str, int],
    call_s: float,
    purpose: Purpose,
) -> str | None:
    """Returns the VM that makes a call now, or None to try again later.

    Args:
      own: the address of this VM.
      peers: the addresses of those that own nothing, the preferred first.
      busy: calls under way by address.
      length_s: the time that the call takes, in seconds.
      need: why the call is made.
    """
    idle = [address for address in peers if not busy.get(address)]
    if call_s <= SHORT_CALL_S or not peers:
        if busy.get(own_address, 0) < MAX_LOCAL_CALLS:
            return own_address
        # The least preferred VM is the one that long calls leave free.
        return idle[-1] if idle else None
    if purpose is Purpose.PREFETCH and len(idle) <= PREFETCH_SPARE_CALLERS:
        return None
    return idle[0] if idle else None
