"""Planner of expert maps: the few copies that lower the skew most.

From the placement in use, single replicas are added where they lower the load of the
most loaded rank most, until no further one is worth its copy. Ranks copy at the same
time, so the copies are spread: a plan takes as long as the rank with the most copies.
"""

from collections.abc import Sequence
from typing import NamedTuple

from slatehoist.maps.placement import Demand, Placement, rank_loads, replica_counts

#: Power of the mean by which the loads of a set are judged. A high power looks at the
#: most loaded ranks without being blind to the second of two equal ones.
NORM_POWER = 10
#: Experts of the most loaded rank that are considered for another replica.
MAX_EXPERTS_TRIED = 5
#: Ranks that are considered to take it, the least loaded ones first.
MAX_RANKS_TRIED = 5
#: Changes to one set in one plan at most, as a bound on the time of planning.
MAX_CHANGES = 24


class PlanLimits(NamedTuple):
    """What a plan may use.

    Attributes
    ----------
    places : int
        Experts that a rank can hold in each set.
    spare : int
        Experts that may be new to a rank in one set.
    copies_per_rank : int
        Copies that one rank makes in this plan, over all sets.
    min_gain : float
        Fall of the set's norm, in mean rank loads, that a copy must bring.
    """

    places: int
    spare: int
    copies_per_rank: int
    min_gain: float


class _Change(NamedTuple):
    """Addition of a replica at a rank, and what makes room for it.

    Attributes
    ----------
    rank : int
        Rank that takes the replica; -1 if one is only given up.
    evicted : int
        Expert that leaves the rank; -1 if there is a free place.
    source : int
        Rank that gives up its own replica, so that the expert moves; -1 if none.
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
    """Give a better placement, equal to the old one if no copy is worth it.

    Parameters
    ----------
    placement : list, shape (sets, ranks, experts held)
    demand : sequence, shape (sets, experts)
    pace : sequence of float, optional
        Times that each rank needs as long as usual.
    """
    pace = [1.0] * len(placement[0]) if pace is None else list(pace)
    copies_left = [limits.copies_per_rank] * len(placement[0])
    planners = [
        _SetPlanner(ranks, wanted, limits, pace)
        for ranks, wanted in zip(placement, demand, strict=True)
    ]
    active = [planner for planner in planners if planner.has_demand]
    while active:
        # The sets add up in a pass, so the best copy of any set comes first.
        best = max(active, key=lambda planner: planner.best_gain(copies_left))
        if best.best_gain(copies_left) < limits.min_gain:
            break
        best.apply(copies_left)
        active = [planner for planner in active if planner.changes < MAX_CHANGES]
    return [planner.ranks for planner in planners]


class _SetPlanner:
    """Search in one set."""

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
        """Give the gain of the best change for a copy."""
        if self._best is None or not self._is_possible(self._best[1], copies_left):
            self._best = self._search(copies_left)
        return self._best[0]

    def _is_possible(self, change: _Change | None, copies_left: list[int]) -> bool:
        """Whether a change found earlier can still be made.

        Copies for other sets only take changes away, so the best one stays the best.
        """
        if change is None or change.rank < 0:
            return True
        return self._may_take(change.rank, change.expert, copies_left)

    def apply(self, copies_left: list[int]) -> None:
        """Make the best change."""
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
        hottest = max(range(len(self.ranks)), key=self._loads.__getitem__)
        experts = sorted(
            self.ranks[hottest],
            key=lambda e: self._demand[e] / self._counts[e],
            reverse=True,
        )[:MAX_EXPERTS_TRIED]
        coolest = sorted(range(len(self.ranks)), key=self._loads.__getitem__)
        best: tuple[float, _Change | None] = (0.0, None)
        for expert in experts:
            if self._counts[expert] > 1:
                change = _Change(expert, -1, -1, hottest)
                gain = self._norm - self._norm_after(change)
                if gain > best[0]:
                    best = (gain, change)
            takers = [
                rank
                for rank in coolest
                if expert not in self.ranks[rank]
                and self._may_take(rank, expert, copies_left)
            ][:MAX_RANKS_TRIED]
            for rank in takers:
                evicted = self._evictable(rank, expert)
                if evicted is None:
                    continue
                for source in (-1, hottest):
                    change = _Change(expert, rank, evicted, source)
                    gain = self._norm - self._norm_after(change)
                    if gain > best[0]:
                        best = (gain, change)
        return best

    def _may_take(self, rank: int, expert: int, copies_left: list[int]) -> bool:
        if expert in self._before[rank]:
            return True
        new = sum(e not in self._before[rank] for e in self.ranks[rank])
        return copies_left[rank] > 0 and new < self._limits.spare

    def _evictable(self, rank: int, expert: int) -> int | None:
        """Give the replica whose loss adds least to the others; -1 for a free place."""
        if len(self.ranks[rank]) < self._limits.places:
            return -1
        spare = [e for e in self.ranks[rank] if self._counts[e] > 1]
        if not spare:
            return None
        # A replica that was copied for this plan is not given up again.
        old = [e for e in spare if e in self._before[rank]] or spare
        return min(
            old,
            key=lambda e: self._demand[e] / (self._counts[e] * (self._counts[e] - 1)),
        )

    def _paced_loads(self) -> list[float]:
        loads = rank_loads(self.ranks, self._demand)
        return [load * times for load, times in zip(loads, self._pace, strict=True)]

    def _norm_after(self, change: _Change) -> float:
        loads = list(self._loads)
        self._shift(loads, change.expert, added=change.rank, dropped=change.source)
        if change.evicted >= 0:
            self._shift(loads, change.evicted, added=-1, dropped=change.rank)
        return _norm(loads)

    def _shift(self, loads: list[float], expert: int, added: int, dropped: int) -> None:
        demand = self._demand[expert]
        count = self._counts[expert]
        after = count + (added >= 0) - (dropped >= 0)
        for rank, held in enumerate(self.ranks):
            if expert in held:
                loads[rank] -= self._pace[rank] * demand / count
                if rank != dropped:
                    loads[rank] += self._pace[rank] * demand / after
        if added >= 0:
            loads[added] += self._pace[added] * demand / after


def _norm(loads: Sequence[float]) -> float:
    mean = sum(load**NORM_POWER for load in loads) / len(loads)
    return (mean * len(loads)) ** (1 / NORM_POWER)
