"""A bounded queue that is fair among teams and prefers short work."""

from collections.abc import Callable
import dataclasses
import math
from typing import Any

import sortedcontainers

# Each second of expected run time puts an item behind shorter ones that arrive
# up to this many seconds later; since time passes for all alike, every item
# reaches the head in the end. With a small factor, work of 0.4 s fills all
# slots under overload and lookups of 0.05 s miss their deadline of 1 s.
AGEING = 20.0
# Candidates that are tried when those before them do not fit anywhere.
MAX_TRIES = 8
MIN_COST_S = 0.001
# Teams whose past use is remembered while they have nothing queued.
MAX_TEAMS = 1000


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """Something that waits.

    Attributes:
        team: The team that is charged.
        is_short: Whether it may use the slots kept for short work.
        needs_accelerators: Whether only some workers can take it.
        expected_s: Expected run time in seconds.
        arrived: When it arrived, in monotonic seconds.
        deadline: When its caller gives up, in monotonic seconds.
        value: What the owner of the queue attaches.
    """

    team: str
    is_short: bool
    needs_accelerators: bool
    expected_s: float
    arrived: float
    deadline: float
    value: Any = None
    number: int = 0

    @property
    def lane(self) -> tuple[str, bool, bool]:
        """Returns the lane; items of one lane fit the same slots."""
        return self.team, self.is_short, self.needs_accelerators

    @property
    def rank(self) -> tuple[float, int]:
        """Returns the order within the team, least first."""
        return self.arrived + AGEING * self.expected_s, self.number


class _Work:
    """Seconds of work that waits, by powers of two of the run time."""

    def __init__(self):
        self._seconds: dict[int, float] = {}

    def add(self, item: Item, sign: int) -> None:
        size = _get_magnitude(item)
        seconds = self._seconds.get(size, 0.0) + sign * item.expected_s
        self._seconds[size] = max(0.0, seconds)

    def sum_ahead(self, item: Item) -> float:
        """Returns the seconds of work that is not longer than an item."""
        size = _get_magnitude(item)
        return sum(s for other, s in self._seconds.items() if other <= size)

    def clear(self) -> None:
        # Also ends the drift of sums of floating point numbers.
        self._seconds.clear()


def _get_magnitude(item: Item) -> int:
    return math.frexp(item.expected_s)[1]


@dataclasses.dataclass(slots=True)
class _Team:
    served: float
    count: int = 0
    work: _Work = dataclasses.field(default_factory=_Work)


class FairQueue:
    """Start-time fair queueing among teams, short work first in each.

    A team is charged the expected run time of each item that leaves for a
    worker; the team that has been charged least comes next.
    """

    def __init__(self, limit: int):
        """Creates an empty queue.

        Args:
            limit: Most items that wait.
        """
        self._limit = limit
        self._lanes: dict[tuple, sortedcontainers.SortedKeyList] = {}
        self._teams: dict[str, _Team] = {}
        self._order = sortedcontainers.SortedList()
        self._served = 0.0
        self._count = 0
        self._numbers = 0
        self._work = _Work()

    def __len__(self) -> int:
        return self._count

    def is_lane_empty(self, item: Item) -> bool:
        """Returns whether nothing waits in the lane of an item."""
        return not self._lanes.get(item.lane)

    def list_all(self) -> list[Item]:
        """Returns everything that waits."""
        return [item for lane in self._lanes.values() for item in lane]

    def estimate_wait(self, item: Item, slots: int, running_s: float) -> float:
        """Returns the seconds that a new item would wait, roughly.

        Args:
            item: The item.
            slots: Items that can run at once.
            running_s: Seconds of work left of what runs now.
        """
        team = self._teams.get(item.team)
        # Longer items come later, unless they have waited long.
        total = self._work.sum_ahead(item)
        own = team.work.sum_ahead(item) if team else 0.0
        active = len(self._order) + (team is None or team.count == 0)
        fair = (own + item.expected_s) * active
        return (min(total, fair) + running_s) / max(1, slots)

    def push(self, item: Item, is_forced: bool = False) -> Item | None:
        """Adds an item.

        Args:
            item: The item.
            is_forced: Whether it is added even when the queue is full.

        Returns:
            The item that had to go because the queue was full: the last one of
            the team that has most waiting; None when there was room.
        """
        displaced = None
        if self._count >= self._limit and not is_forced:
            heaviest = max(self._order, key=lambda o: self._teams[o[1]].count)
            name = heaviest[1]
            own = self._teams.get(item.team)
            own_count = own.count if own else 0
            if own_count + 1 >= self._teams[name].count:
                return item
            displaced = self._find_last(name)
            self.remove(displaced)
        self._numbers += 1
        item.number = self._numbers
        self._insert(item)
        return displaced

    def remove(self, item: Item) -> bool:
        """Removes an item; returns whether it was waiting."""
        lane = self._lanes.get(item.lane)
        if lane is None or item not in lane:
            return False
        lane.remove(item)
        if not lane:
            del self._lanes[item.lane]
        team = self._teams[item.team]
        self._count -= 1
        team.count -= 1
        team.work.add(item, -1)
        self._work.add(item, -1)
        if team.count == 0:
            self._order.discard((team.served, item.team))
            team.work.clear()
        if self._count == 0:
            self._work.clear()
        return True

    def select(
        self, take: Callable[[Item], Any | None]
    ) -> tuple[Item, Any] | None:
        """Removes the first item that can be taken and charges its team.

        Args:
            take: Returns what was found for an item, or None when it cannot
                run now.

        Returns:
            The item and what `take` returned, or None.
        """
        tries = 0
        for _, name in list(self._order[:MAX_TRIES]):
            for item in self._list_heads(name):
                found = take(item)
                if found is not None:
                    self._charge(item)
                    return item, found
                tries += 1
                if tries >= MAX_TRIES:
                    return None
        return None

    def drop(self, is_hopeless: Callable[[Item], bool]) -> list[Item]:
        """Removes the heads of lanes for which it is too late.

        They go before `select`, which would else take longer work instead.
        """
        dropped = []
        for lane in list(self._lanes.values()):
            while lane and is_hopeless(lane[0]):
                dropped.append(lane[0])
                self.remove(lane[0])
        return dropped

    def _insert(self, item: Item) -> None:
        team = self._teams.get(item.team)
        if team is None:
            self._forget_teams()
            team = self._teams[item.team] = _Team(self._served)
        if team.count == 0:
            # A team gets no credit for the time in which it asked nothing.
            team.served = max(team.served, self._served)
            self._order.add((team.served, item.team))
        lane = self._lanes.get(item.lane)
        if lane is None:
            lane = sortedcontainers.SortedKeyList(key=lambda i: i.rank)
            self._lanes[item.lane] = lane
        lane.add(item)
        self._count += 1
        team.count += 1
        team.work.add(item, 1)
        self._work.add(item, 1)

    def _charge(self, item: Item) -> None:
        team = self._teams[item.team]
        self._served = max(self._served, team.served)
        self.remove(item)
        if team.count:
            self._order.remove((team.served, item.team))
        team.served += max(MIN_COST_S, item.expected_s)
        if team.count:
            self._order.add((team.served, item.team))

    def _list_lanes(self, name: str) -> list:
        lanes = []
        for is_short in (True, False):
            for needs_accelerators in (False, True):
                lane = self._lanes.get((name, is_short, needs_accelerators))
                if lane:
                    lanes.append(lane)
        return lanes

    def _list_heads(self, name: str) -> list[Item]:
        heads = [lane[0] for lane in self._list_lanes(name)]
        return sorted(heads, key=lambda item: item.rank)

    def _find_last(self, name: str) -> Item:
        lasts = [lane[-1] for lane in self._list_lanes(name)]
        return max(lasts, key=lambda item: item.rank)

    def _forget_teams(self) -> None:
        if len(self._teams) < MAX_TEAMS:
            return
        for name, team in list(self._teams.items()):
            if team.count == 0:
                del self._teams[name]
