"""The waiting steps of a shard, kept in the order in which they are placed.

Covers an overloaded service with thousands of waiting steps. Ranking all of
them anew in each plan would take longer than the plan itself, so a step is
ranked when it is added and again only when time or the configuration changes
its rank. With tenants, the steps of each are kept in a list of their own.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import heapq
import itertools
import math

from persimmonpath_entry.decisions import fairness
from persimmonpath_entry.decisions import ordering
from persimmonpath_entry.state import execution

# Returns the rank of a step and the time at which it changes.
RankStep = Callable[[execution.Step], tuple[ordering.Rank, float]]


class ReadySteps:
    """The steps that may have tasks to place."""

    def __init__(self):
        """Creates an empty collection."""
        # The place of each step; None until it is ranked.
        self._places: dict[execution.Step, fairness.QueuedStep | None] = {}
        self._unranked: dict[execution.Step, None] = {}
        # The ranked steps by tenant; all of them under "" without tenants.
        self._ranked: dict[str, list[fairness.QueuedStep]] = {"": []}
        self._has_tenants = False
        # One object for each class of ranks.
        self._classes: dict[tuple, tuple] = {}
        # Times at which ranks change; places that are no longer current are
        # skipped.
        self._changes: list[tuple[float, int, fairness.QueuedStep]] = []
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

    def _remove(self, place: fairness.QueuedStep):
        ranked = self._ranked[place.tenant]
        index = bisect.bisect_left(ranked, place[:2], key=_get_sort_key)
        del ranked[index]
        if not ranked and place.tenant:
            del self._ranked[place.tenant]

    def rerank(self, has_tenants: bool = False):
        """Has every step ranked anew, as the configuration has changed.

        Args:
          has_tenants: whether the steps of each tenant are listed apart.
        """
        self._has_tenants = has_tenants
        self._ranked = {"": []}
        self._classes.clear()
        self._changes.clear()
        for step in self._places:
            self._places[step] = None
            self._unranked[step] = None

    def list_ranked(
        self, now: float, rank_step: RankStep
    ) -> list[execution.Step]:
        """Returns all steps, the one to be placed first in front.

        Only without tenants; else see `list_by_tenant`.

        Args:
          now: the monotonic clock, in seconds.
          rank_step: ranks a step.
        """
        self._update(now, rank_step)
        return [place.step for place in self._ranked[""]]

    def list_by_tenant(
        self, now: float, rank_step: RankStep
    ) -> dict[str, list[fairness.QueuedStep]]:
        """Returns the places of all steps in their order, by tenant.

        Args:
          now: the monotonic clock, in seconds.
          rank_step: ranks a step.
        """
        self._update(now, rank_step)
        return {tenant: list(rows) for tenant, rows in self._ranked.items()}

    def _update(self, now: float, rank_step: RankStep):
        """Ranks the steps that are new or whose rank has changed."""
        while self._changes and self._changes[0][0] <= now:
            _, _, place = heapq.heappop(self._changes)
            if self._places.get(place.step) is place:
                self._remove(place)
                self._unranked[place.step] = None
        for step in self._unranked:
            self._insert(step, rank_step)
        self._unranked.clear()

    def _insert(self, step: execution.Step, rank_step: RankStep):
        rank, changes_at = rank_step(step)
        tenant = ""
        rank_class = ()
        if self._has_tenants:
            tenant = step.submission.record.tenant
            rank_class = rank[: fairness.RANK_CLASS_FIELDS]
            rank_class = self._classes.setdefault(rank_class, rank_class)
        place = fairness.QueuedStep(
            rank, next(self._sequence), step, tenant, rank_class
        )
        self._places[step] = place
        ranked = self._ranked.setdefault(tenant, [])
        bisect.insort(ranked, place, key=_get_sort_key)
        if changes_at < math.inf:
            heapq.heappush(self._changes, (changes_at, place.sequence, place))


def _get_sort_key(place: fairness.QueuedStep) -> tuple[ordering.Rank, int]:
    return place[:2]
