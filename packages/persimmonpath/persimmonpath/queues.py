"""A bounded queue that is fair among teams and prefers short work.

Under overload, one team's burst must not delay other teams, and long requests
must not make short ones miss their deadlines.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import Any

import sortedcontainers

# Each second of expected run time ranks an item behind shorter ones that arrive
# up to this many seconds later. Ranks depend on the arrival time, so every item
# reaches the head in the end. With a small factor, work of 0.4 s fills all
# slots under overload, and lookups of 0.05 s miss their deadline of 1 s.
AGEING_FACTOR = 20.0
# Items tried in one call of `select` while those before them fit no worker.
MAX_CANDIDATES = 8
# Least run time charged for an item.
MIN_COST_S = 0.001
# Once this many teams are remembered, those with nothing queued are forgotten.
MAX_REMEMBERED_TEAMS = 1000


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """A waiting request.

    Attributes:
        team: The team that is charged.
        is_short: Whether it may use the slots reserved for short work.
        needs_accelerators: Whether it needs workers with accelerators.
        expected_s: Expected run time in seconds.
        arrived: When it arrived, in monotonic seconds.
        deadline: When its caller gives up, in monotonic seconds.
        value: Data attached by the owner of the queue.
        number: Order of insertion, set by the queue.
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
    def subqueue(self) -> tuple[str, bool, bool]:
        """Returns the key of its subqueue; its items use the same slots."""
        return self.team, self.is_short, self.needs_accelerators

    @property
    def rank(self) -> tuple[float, int]:
        """Returns the order within the team; the lowest rank comes first."""
        return self.arrived + AGEING_FACTOR * self.expected_s, self.number


class _QueuedWork:
    """Seconds of waiting work, by powers of two of the run time."""

    def __init__(self):
        self._seconds: dict[int, float] = {}

    def add(self, item: Item, sign: int) -> None:
        magnitude = _get_magnitude(item)
        seconds = self._seconds.get(magnitude, 0.0) + sign * item.expected_s
        self._seconds[magnitude] = max(0.0, seconds)

    def sum_not_longer(self, item: Item) -> float:
        """Returns the seconds of work whose magnitude is at most an item's."""
        magnitude = _get_magnitude(item)
        return sum(
            s for other, s in self._seconds.items() if other <= magnitude
        )

    def clear(self) -> None:
        # Also removes the rounding errors that the sums have accumulated.
        self._seconds.clear()


def _get_magnitude(item: Item) -> int:
    return math.frexp(item.expected_s)[1]


@dataclasses.dataclass(slots=True)
class _Team:
    """State of a team in the fair queue.

    Attributes:
        start_tag: Virtual time in seconds at which its next item starts.
        count: Number of its waiting items.
        work: Its waiting work.
    """

    start_tag: float
    count: int = 0
    work: _QueuedWork = dataclasses.field(default_factory=_QueuedWork)


class FairQueue:
    """Start-time fair queueing among teams, short work first within each.

    A team is charged the expected run time of each item that starts; the team
    with the lowest total comes next. Not thread-safe.
    """

    def __init__(self, limit: int):
        """Creates an empty queue.

        Args:
            limit: Most items that may wait.
        """
        self._limit = limit
        self._subqueues: dict[tuple, sortedcontainers.SortedKeyList] = {}
        self._teams: dict[str, _Team] = {}
        self._team_order = sortedcontainers.SortedList()
        # Highest start tag selected so far; idle teams resume from it.
        self._virtual_time = 0.0
        self._count = 0
        self._last_number = 0
        self._queued_work = _QueuedWork()

    def __len__(self) -> int:
        return self._count

    def is_subqueue_empty(self, item: Item) -> bool:
        """Returns whether the subqueue of an item is empty."""
        return not self._subqueues.get(item.subqueue)

    def list_all(self) -> list[Item]:
        """Returns all waiting items."""
        return [
            item for subqueue in self._subqueues.values() for item in subqueue
        ]

    def estimate_wait(self, item: Item, slots: int, running_s: float) -> float:
        """Returns the approximate seconds that a new item would wait.

        Args:
            item: The item.
            slots: Items that can run at once.
            running_s: Remaining seconds of work that runs now.
        """
        team = self._teams.get(item.team)
        # Longer items rank behind this one unless they arrived much earlier.
        total = self._queued_work.sum_not_longer(item)
        own = team.work.sum_not_longer(item) if team else 0.0
        active = len(self._team_order) + (team is None or team.count == 0)
        fair = (own + item.expected_s) * active
        return (min(total, fair) + running_s) / max(1, slots)

    def push(self, item: Item, is_forced: bool = False) -> Item | None:
        """Adds an item.

        Args:
            item: The item.
            is_forced: Whether it is added even when the queue is full.

        Returns:
            The item that was displaced because the queue was full: the last
            one of the team with the most waiting items, or the new item when
            its own team would have as many; None when nothing was displaced.
        """
        displaced = None
        if self._count >= self._limit and not is_forced:
            largest = max(
                self._team_order, key=lambda o: self._teams[o[1]].count
            )
            name = largest[1]
            own = self._teams.get(item.team)
            own_count = own.count if own else 0
            if own_count + 1 >= self._teams[name].count:
                return item
            displaced = self._find_last(name)
            self.remove(displaced)
        self._last_number += 1
        item.number = self._last_number
        self._insert(item)
        return displaced

    def remove(self, item: Item) -> bool:
        """Removes an item; returns whether it was waiting."""
        subqueue = self._subqueues.get(item.subqueue)
        if subqueue is None or item not in subqueue:
            return False
        subqueue.remove(item)
        if not subqueue:
            del self._subqueues[item.subqueue]
        team = self._teams[item.team]
        self._count -= 1
        team.count -= 1
        team.work.add(item, -1)
        self._queued_work.add(item, -1)
        if team.count == 0:
            self._team_order.discard((team.start_tag, item.team))
            team.work.clear()
        if self._count == 0:
            self._queued_work.clear()
        return True

    def select(
        self, try_start: Callable[[Item], Any | None]
    ) -> tuple[Item, Any] | None:
        """Removes the first item that can start and charges its team.

        Args:
            try_start: Returns the result of starting an item, or None when it
                cannot start now.

        Returns:
            The item and what `try_start` returned, or None.
        """
        tried = 0
        for _, name in list(self._team_order[:MAX_CANDIDATES]):
            for item in self._list_heads(name):
                found = try_start(item)
                if found is not None:
                    self._charge(item)
                    return item, found
                tried += 1
                if tried >= MAX_CANDIDATES:
                    return None
        return None

    def drop_expired(self, is_expired: Callable[[Item], bool]) -> list[Item]:
        """Removes heads of subqueues that can no longer meet their deadline.

        Called before `select`, which would otherwise start longer work in
        their place.
        """
        dropped = []
        for subqueue in list(self._subqueues.values()):
            while subqueue and is_expired(subqueue[0]):
                dropped.append(subqueue[0])
                self.remove(subqueue[0])
        return dropped

    def _insert(self, item: Item) -> None:
        team = self._teams.get(item.team)
        if team is None:
            self._evict_idle_teams()
            team = self._teams[item.team] = _Team(self._virtual_time)
        if team.count == 0:
            # A team gains no credit while it has nothing queued.
            team.start_tag = max(team.start_tag, self._virtual_time)
            self._team_order.add((team.start_tag, item.team))
        subqueue = self._subqueues.get(item.subqueue)
        if subqueue is None:
            subqueue = sortedcontainers.SortedKeyList(key=lambda i: i.rank)
            self._subqueues[item.subqueue] = subqueue
        subqueue.add(item)
        self._count += 1
        team.count += 1
        team.work.add(item, 1)
        self._queued_work.add(item, 1)

    def _charge(self, item: Item) -> None:
        team = self._teams[item.team]
        self._virtual_time = max(self._virtual_time, team.start_tag)
        self.remove(item)
        if team.count:
            self._team_order.remove((team.start_tag, item.team))
        team.start_tag += max(MIN_COST_S, item.expected_s)
        if team.count:
            self._team_order.add((team.start_tag, item.team))

    def _list_subqueues(self, name: str) -> list:
        subqueues = []
        for is_short in (True, False):
            for needs_accelerators in (False, True):
                subqueue = self._subqueues.get(
                    (name, is_short, needs_accelerators)
                )
                if subqueue:
                    subqueues.append(subqueue)
        return subqueues

    def _list_heads(self, name: str) -> list[Item]:
        heads = [subqueue[0] for subqueue in self._list_subqueues(name)]
        return sorted(heads, key=lambda item: item.rank)

    def _find_last(self, name: str) -> Item:
        lasts = [subqueue[-1] for subqueue in self._list_subqueues(name)]
        return max(lasts, key=lambda item: item.rank)

    def _evict_idle_teams(self) -> None:
        if len(self._teams) < MAX_REMEMBERED_TEAMS:
            return
        for name, team in list(self._teams.items()):
            if team.count == 0:
                del self._teams[name]
