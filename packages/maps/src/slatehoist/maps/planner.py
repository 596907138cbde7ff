"""Planner of expert maps: finds the few copies that reduce the skew most.

The planner is a greedy search. Starting from the placement in use, it adds single
replicas where they reduce the load of the most loaded rank most, until the gain of a
further copy is too small. Ranks copy at the same time, so a plan takes as long as the
rank with the most copies; the copies of each rank are limited for that reason.
"""

from collections.abc import Sequence
from itertools import islice
from typing import NamedTuple

from slatehoist.maps.placement import Demand, Placement

#: Order of the norm that combines the rank loads of a set. A high order gives most
#: weight to the most loaded ranks. The maximum itself would not show that the load of
#: one of two equally loaded ranks was reduced.
NORM_ORDER = 10
#: Experts of the most loaded rank that are considered for another replica.
MAX_EXPERTS_TRIED = 2
#: Ranks that are considered for this replica, the least loaded ones first.
MAX_RANKS_TRIED = 2
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
    """Search for changes to the placement of one set.

    A change affects only the ranks that hold the experts concerned, so its gain is
    computed from these ranks: a search then costs little even in groups of many ranks.
    """

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
        #: Number of experts of each rank that it did not hold before this plan.
        self._new = [0] * len(ranks)
        self._limits = limits
        mean = sum(demand) / len(ranks)
        self.has_demand = mean > 0
        self._demand = [value / mean for value in demand] if mean > 0 else list(demand)
        #: Ranks that hold each expert.
        self._holders: list[set[int]] = [set() for _ in demand]
        for rank, held in enumerate(self.ranks):
            for expert in held:
                self._holders[expert].add(rank)
        self._loads = [
            pace[rank] * sum(self._demand[e] / len(self._holders[e]) for e in held)
            for rank, held in enumerate(self.ranks)
        ]
        self._update_norm()
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
        for rank, load in self._loads_after(change).items():
            self._loads[rank] = load
        if change.rank >= 0:
            if change.expert not in self._before[change.rank]:
                copies_left[change.rank] -= 1
            if change.evicted >= 0:
                self._remove(change.rank, change.evicted)
            self.ranks[change.rank].append(change.expert)
            self._holders[change.expert].add(change.rank)
            self._new[change.rank] += change.expert not in self._before[change.rank]
        if change.source >= 0:
            self._remove(change.source, change.expert)
        self._update_norm()
        self._best = None
        self.changes += 1

    def _remove(self, rank: int, expert: int) -> None:
        self.ranks[rank].remove(expert)
        self._holders[expert].remove(rank)
        self._new[rank] -= expert not in self._before[rank]

    def _search(self, copies_left: list[int]) -> tuple[float, _Change | None]:
        """Return the best change for the most loaded rank, and its gain.

        The candidates are to remove a replica of one of its experts that has other
        replicas, to add a replica of it at another rank, and to move it there.
        """
        by_load = sorted(range(len(self.ranks)), key=self._loads.__getitem__)
        most_loaded = max(range(len(self.ranks)), key=self._loads.__getitem__)
        experts = sorted(
            self.ranks[most_loaded],
            key=lambda e: self._demand[e] / len(self._holders[e]),
            reverse=True,
        )[:MAX_EXPERTS_TRIED]
        best: tuple[float, _Change | None] = (0.0, None)
        for expert in experts:
            if len(self._holders[expert]) > 1:
                change = _Change(expert, -1, -1, most_loaded)
                gain = self._norm - self._norm_after(change)
                if gain > best[0]:
                    best = (gain, change)
            targets = (
                rank
                for rank in by_load
                if rank not in self._holders[expert]
                and self._can_add(rank, expert, copies_left)
            )
            for rank in islice(targets, MAX_RANKS_TRIED):
                evicted = self._evictable(rank)
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
        return copies_left[rank] > 0 and self._new[rank] < self._limits.spare

    def _evictable(self, rank: int) -> int | None:
        """Return the expert that a rank can evict most cheaply to make room.

        This is the one whose removal adds least load to each other rank that holds it.
        Return -1 if a place is free, and None if no expert has another replica.
        """
        if len(self.ranks[rank]) < self._limits.places:
            return -1
        replicated = [e for e in self.ranks[rank] if len(self._holders[e]) > 1]
        if not replicated:
            return None
        # Replicas that the rank held before this plan are preferred, so that no copy of
        # this plan is wasted.
        candidates = [e for e in replicated if e in self._before[rank]] or replicated
        return min(candidates, key=self._load_of_removal)

    def _load_of_removal(self, expert: int) -> float:
        """Return the load that each other holder gets if a replica is removed."""
        count = len(self._holders[expert])
        return self._demand[expert] / (count * (count - 1))

    def _norm_after(self, change: _Change) -> float:
        """Return the norm of the rank loads after a change."""
        power_sum = self._power_sum
        for rank, load in self._loads_after(change).items():
            power_sum += load**NORM_ORDER - self._powers[rank]
        return max(power_sum, 0.0) ** (1 / NORM_ORDER)

    def _loads_after(self, change: _Change) -> dict[int, float]:
        """Return the loads of the ranks that a change affects."""
        loads: dict[int, float] = {}
        self._update_loads(loads, change.expert, change.rank, change.source)
        if change.evicted >= 0:
            self._update_loads(loads, change.evicted, -1, change.rank)
        return loads

    def _update_loads(
        self, loads: dict[int, float], expert: int, added: int, removed: int
    ) -> None:
        """Update rank loads for a replica that is added or removed; -1 for no rank."""
        holders = self._holders[expert]
        old_share = self._demand[expert] / len(holders)
        new_count = len(holders) + (added >= 0) - (removed >= 0)
        new_share = self._demand[expert] / new_count
        for rank in holders:
            share = 0.0 if rank == removed else new_share
            load = loads.get(rank, self._loads[rank])
            loads[rank] = load + self._pace[rank] * (share - old_share)
        if added >= 0:
            load = loads.get(added, self._loads[added])
            loads[added] = load + self._pace[added] * new_share

    def _update_norm(self) -> None:
        self._powers = [load**NORM_ORDER for load in self._loads]
        self._power_sum = sum(self._powers)
        self._norm = self._power_sum ** (1 / NORM_ORDER)
