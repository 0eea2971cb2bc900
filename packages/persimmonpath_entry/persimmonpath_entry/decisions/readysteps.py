"""The waiting steps of a shard, kept in the order in which they are placed.

Covers an overloaded service with thousands of waiting steps. Ranking all of
them anew in each plan would take longer than the plan itself, so a step is
ranked when it is added and again only when time or the configuration changes
its rank.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import heapq
import itertools
import math
from typing import NamedTuple

from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.state import execution


class _RankedStep(NamedTuple):
    """A step at its place; `sequence` orders steps of equal rank by age."""

    rank: ordering.Rank
    sequence: int
    step: execution.Step


# Returns the rank of a step and the time at which it changes.
RankStep = Callable[[execution.Step], tuple[ordering.Rank, float]]


class ReadySteps:
    """The steps that may have tasks to place."""

    def __init__(self):
        """Creates an empty collection."""
        # The place of each step; None until it is ranked.
        self._places: dict[execution.Step, _RankedStep | None] = {}
        self._unranked: dict[execution.Step, None] = {}
        self._ranked: list[_RankedStep] = []
        # Times at which ranks change; places that are no longer current are
        # skipped.
        self._changes: list[tuple[float, int, _RankedStep]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, step: execution.Step) -> bool:
        return step in self._places

    def __iter__(self) -> Iterator[execution.Step]:
        return iter(list(self._places))

    def add(self, step: execution.Step):
        """Adds a step, unless it is there already."""
        if step not in self._places:
            self._places[step] = None
            self._unranked[step] = None

    def discard(self, step: execution.Step):
        """Removes a step, if it is there."""
        place = self._places.pop(step, None)
        self._unranked.pop(step, None)
        if place is not None:
            self._remove(place)

    def _remove(self, place: _RankedStep):
        index = bisect.bisect_left(self._ranked, place[:2], key=_get_sort_key)
        del self._ranked[index]

    def rerank(self):
        """Has every step ranked anew, as the configuration has changed."""
        self._ranked.clear()
        self._changes.clear()
        for step in self._places:
            self._places[step] = None
            self._unranked[step] = None

    def list_ranked(
        self, now: float, rank_step: RankStep
    ) -> list[execution.Step]:
        """Returns all steps, the one to be placed first in front.

        Args:
          now: the monotonic clock, in seconds.
          rank_step: ranks a step.
        """
        while self._changes and self._changes[0][0] <= now:
            _, _, place = heapq.heappop(self._changes)
            if self._places.get(place.step) is place:
                self._remove(place)
                self._unranked[place.step] = None
        for step in self._unranked:
            self._insert(step, rank_step)
        self._unranked.clear()
        return [place.step for place in self._ranked]

    def _insert(self, step: execution.Step, rank_step: RankStep):
        rank, changes_at = rank_step(step)
        place = _RankedStep(rank, next(self._sequence), step)
        self._places[step] = place
        bisect.insort(self._ranked, place, key=_get_sort_key)
        if changes_at < math.inf:
            heapq.heappush(self._changes, (changes_at, place.sequence, place))


def _get_sort_key(place: _RankedStep) -> tuple[ordering.Rank, int]:
    return place[:2]
