"""Planner of expert maps: finds the few copies that reduce the skew most.

The planner is a greedy search. Starting from the placement in use, it adds single
replicas where they reduce the load of the most loaded rank most, until the gain of a
further copy is too small. Ranks copy at the same time, so a plan takes as long as the
rank with the most copies; the copies of each rank are limited for that reason.
"""

from collections.abc import Sequence
from typing import NamedTuple

from slatehoist.maps.placement import Demand, Placement, rank_loads, replica_counts

#: Order of the norm that combines the rank loads of a set. A high order gives most
#: weight to the most loaded ranks. The maximum itself would not show that the load of
#: one of two equally loaded ranks was reduced.
NORM_ORDER = 10
#: Experts of the most loaded rank that are considered for another replica.
MAX_EXPERTS_TRIED = 5
#: Ranks that are considered for this replica, the least loaded ones first.
MAX_RANKS_TRIED = 5
#: Maximum number of changes to one set in one plan, which bounds the planning time.
MAX_CHANGES = 24


class PlanLimits(NamedTuple):
    """Limits of a plan.

    Attributes
    ----------
    places : int
        Maximum number of experts that a rank can hold in each set.
    spare : int
        Maximum number of experts in one set that are new to a rank.
    copies_per_rank : int
        Maximum number of copies that one rank makes in this plan, over all sets.
    min_gain : float
        Reduction of the set's norm, in mean rank loads, below which no change is made.
    """

    places: int
    spare: int
    copies_per_rank: int
    min_gain: float


class _Change(NamedTuple):
    """Addition, move or removal of one replica of an expert.

    Attributes
    ----------
    rank : int
        Rank at which a replica is added; -1 if one is only removed.
    evicted : int
        Expert whose replica at that rank is removed for the new one; -1 if none is.
    source : int
        Rank at which a replica of the expert is removed; -1 if none is.
    """

    expert: int
    rank: int
    evicted: int
    source: int


def plan(
    placement: Placement,
    demand: Demand,
    limits: PlanLimits,
    pace: Sequence[float] | None = None,
) -> Placement:
    """Return an improved placement, or an equal one if no change gains enough.

    Parameters
    ----------
    placement : list, shape (sets, ranks, experts held)
    demand : sequence, shape (sets, experts)
    pace : sequence of float, optional
        Slowdown factor of each rank; 1 for all by default.
    """
    pace = [1.0] * len(placement[0]) if pace is None else list(pace)
    copies_left = [limits.copies_per_rank] * len(placement[0])
    planners = [
        _SetPlanner(ranks, set_demand, limits, pace)
        for ranks, set_demand in zip(placement, demand, strict=True)
    ]
    active = [planner for planner in planners if planner.has_demand]
    while active:
        # The duration of a pass is the sum over its sets, so the best change of all
        # sets is made first.
        best = max(active, key=lambda planner: planner.best_gain(copies_left))
        if best.best_gain(copies_left) < limits.min_gain:
            break
        best.apply(copies_left)
        active = [planner for planner in active if planner.changes < MAX_CHANGES]
    return [planner.ranks for planner in planners]


class _SetPlanner:
    """Search for changes to the placement of one set."""

    def __init__(
        self,
        ranks: Sequence[Sequence[int]],
        demand: Sequence[float],
        limits: PlanLimits,
        pace: Sequence[float],
    ) -> None:
        self._pace = pace
        self.ranks = [list(held) for held in ranks]
        self.changes = 0
        self._before = [set(held) for held in ranks]
        self._limits = limits
        mean = sum(demand) / len(ranks)
        self.has_demand = mean > 0
        self._demand = [value / mean for value in demand] if mean > 0 else list(demand)
        self._counts = replica_counts(ranks, len(demand))
        self._loads = self._paced_loads()
        self._norm = _norm(self._loads)
        self._best: tuple[float, _Change | None] | None = None

    def best_gain(self, copies_left: list[int]) -> float:
        """Return the gain of the best change, which is searched for if necessary."""
        if self._best is None or not self._is_possible(self._best[1], copies_left):
            self._best = self._search(copies_left)
        return self._best[0]

    def _is_possible(self, change: _Change | None, copies_left: list[int]) -> bool:
        """Return True if a change that was found earlier can still be made.

        If so, it is still the best one: copies for other sets reduce the copies left,
        which can rule out changes but cannot allow other ones.
        """
        if change is None or change.rank < 0:
            return True
        return self._can_add(change.rank, change.expert, copies_left)

    def apply(self, copies_left: list[int]) -> None:
        """Make the change that `best_gain` has found."""
        _, change = self._best
        if change.rank >= 0:
            if change.expert not in self._before[change.rank]:
                copies_left[change.rank] -= 1
            held = self.ranks[change.rank]
            if change.evicted >= 0:
                held.remove(change.evicted)
            held.append(change.expert)
        if change.source >= 0:
            self.ranks[change.source].remove(change.expert)
        self._counts = replica_counts(self.ranks, len(self._demand))
        self._loads = self._paced_loads()
        self._norm = _norm(self._loads)
        self._best = None
        self.changes += 1

    def _search(self, copies_left: list[int]) -> tuple[float, _Change | None]:
        """Return the best change for the most loaded rank, and its gain.

        The candidates are to remove a replica of one of its experts that has other
        replicas, to add a replica of it at another rank, and to move it there.
        """
        most_loaded = max(range(len(self.ranks)), key=self._loads.__getitem__)
        experts = sorted(
            self.ranks[most_loaded],
            key=lambda e: self._demand[e] / self._counts[e],
            reverse=True,
        )[:MAX_EXPERTS_TRIED]
        by_load = sorted(range(len(self.ranks)), key=self._loads.__getitem__)
        best: tuple[float, _Change | None] = (0.0, None)
        for expert in experts:
            if self._counts[expert] > 1:
                change = _Change(expert, -1, -1, most_loaded)
                gain = self._norm - self._norm_after(change)
                if gain > best[0]:
                    best = (gain, change)
            targets = [
                rank
                for rank in by_load
                if expert not in self.ranks[rank]
                and self._can_add(rank, expert, copies_left)
            ][:MAX_RANKS_TRIED]
            for rank in targets:
                evicted = self._evictable(rank, expert)
                if evicted is None:
                    continue
                for source in (-1, most_loaded):
                    change = _Change(expert, rank, evicted, source)
                    gain = self._norm - self._norm_after(change)
                    if gain > best[0]:
                        best = (gain, change)
        return best

    def _can_add(self, rank: int, expert: int, copies_left: list[int]) -> bool:
        """Return True if an expert can be added at a rank within the limits.

        An expert that the rank held before this plan needs no copy.
        """
        if expert in self._before[rank]:
            return True
        new = sum(e not in self._before[rank] for e in self.ranks[rank])
        return copies_left[rank] > 0 and new < self._limits.spare

    def _evictable(self, rank: int, expert: int) -> int | None:
        """Return the expert that a rank can evict most cheaply to make room.

        This is the one whose removal adds least load to each other rank that holds it.
        Return -1 if a place is free, and None if no expert has another replica.
        """
        if len(self.ranks[rank]) < self._limits.places:
            return -1
        replicated = [e for e in self.ranks[rank] if self._counts[e] > 1]
        if not replicated:
            return None
        # Replicas that the rank held before this plan are preferred, so that no copy of
        # this plan is wasted.
        candidates = [e for e in replicated if e in self._before[rank]] or replicated
        return min(
            candidates,
            key=lambda e: self._demand[e] / (self._counts[e] * (self._counts[e] - 1)),
        )

    def _paced_loads(self) -> list[float]:
        loads = rank_loads(self.ranks, self._demand)
        return [load * factor for load, factor in zip(loads, self._pace, strict=True)]

    def _norm_after(self, change: _Change) -> float:
        loads = list(self._loads)
        self._update_loads(
            loads, change.expert, added=change.rank, removed=change.source
        )
        if change.evicted >= 0:
            self._update_loads(loads, change.evicted, added=-1, removed=change.rank)
        return _norm(loads)

    def _update_loads(
        self, loads: list[float], expert: int, added: int, removed: int
    ) -> None:
        """Update rank loads for a replica that is added or removed; -1 for no rank."""
        demand = self._demand[expert]
        count = self._counts[expert]
        new_count = count + (added >= 0) - (removed >= 0)
        for rank, held in enumerate(self.ranks):
            if expert in held:
                loads[rank] -= self._pace[rank] * demand / count
                if rank != removed:
                    loads[rank] += self._pace[rank] * demand / new_count
        if added >= 0:
            loads[added] += self._pace[added] * demand / new_count


def _norm(loads: Sequence[float]) -> float:
    mean = sum(load**NORM_ORDER for load in loads) / len(loads)
    return (mean * len(loads)) ** (1 / NORM_ORDER)
