"""Placement of experts on the ranks of a group, and the load that it causes.

A placement lists, by set of layers and by rank, the experts that the rank holds. A
placement with a version is an expert map. The ranks that hold an expert share its
tokens evenly, so the load of a rank is the sum of the shares of its experts, and a pass
waits for the most loaded rank of each set.
"""

from collections.abc import Sequence

#: Experts by set and rank.
Placement = list[list[list[int]]]
#: Fraction of the tokens that is routed to each expert, by set.
Demand = Sequence[Sequence[float]]


def initial_placement(sets: int, ranks: int, experts: int) -> Placement:
    """Return the placement of a new group: experts assigned to ranks round robin."""
    return [
        [list(range(rank, experts, ranks)) for rank in range(ranks)]
        for _ in range(sets)
    ]


def replica_counts(ranks: Sequence[Sequence[int]], experts: int) -> list[int]:
    """Count the ranks that hold each expert of one set."""
    counts = [0] * experts
    for held in ranks:
        for expert in held:
            counts[expert] += 1
    return counts


def rank_loads(ranks: Sequence[Sequence[int]], demand: Sequence[float]) -> list[float]:
    """Return the load of each rank in one set, in the unit of the demand."""
    counts = replica_counts(ranks, len(demand))
    return [sum(demand[e] / counts[e] for e in held) for held in ranks]


def skew(
    placement: Placement, demand: Demand, pace: Sequence[float] | None = None
) -> float:
    """Return the ratio of the highest rank load to the mean one, averaged over sets.

    Parameters
    ----------
    pace : sequence of float, optional
        Slowdown factor of each rank, by which its load is multiplied.
    """
    total = 0.0
    for ranks, set_demand in zip(placement, demand, strict=True):
        mean = sum(set_demand) / len(ranks)
        loads = rank_loads(ranks, set_demand)
        if pace is not None:
            loads = [load * factor for load, factor in zip(loads, pace, strict=True)]
        total += max(loads) / mean if mean > 0 else 1.0
    return total / len(placement)


def copies_by_rank(old: Placement, new: Placement) -> list[int]:
    """Count the experts that each rank must copy for a new placement."""
    counts = [0] * len(old[0])
    for old_ranks, new_ranks in zip(old, new, strict=True):
        for rank, (before, after) in enumerate(zip(old_ranks, new_ranks, strict=True)):
            counts[rank] += len(set(after) - set(before))
    return counts


def is_valid(placement: Placement, experts: int, places: int) -> bool:
    """Return True if a placement is complete and no rank holds too many experts.

    Each rank must hold at most `places` experts of a set and none of them twice, and
    each expert must be held by a rank.
    """
    for ranks in placement:
        if len({e for held in ranks for e in held}) != experts:
            return False
        if any(len(held) > places or len(set(held)) != len(held) for held in ranks):
            return False
    return True
