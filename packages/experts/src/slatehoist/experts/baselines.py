"""Baselines that the planner is measured against."""

import numpy as np

from slatehoist.experts.placement import NO_SLOT


class StaticPlanner:
    """Keep the first placement for ever."""

    def plan(self, placement: np.ndarray, loads: np.ndarray) -> np.ndarray:
        """Give the same placement."""
        return placement


class FullReplanner:
    """Replan from nothing each time: replicate the hottest, pack greedily."""

    def plan(self, placement: np.ndarray, loads: np.ndarray) -> np.ndarray:
        """Give a new placement that ignores the old one."""
        exists = placement != NO_SLOT
        counts = _replica_counts(loads, exists[0].sum(), exists.shape[1])
        return _pack(loads, counts, exists)


def _replica_counts(loads: np.ndarray, slots: int, ranks: int) -> np.ndarray:
    """Give each spare slot to the expert with the largest load per replica."""
    layers, experts = loads.shape
    counts = np.ones((layers, experts), dtype=np.int64)
    row = np.arange(layers)
    for _ in range(slots - experts):
        share = np.where(counts < ranks, loads / counts, -1.0)
        counts[row, share.argmax(axis=1)] += 1
    return counts


def _pack(loads: np.ndarray, counts: np.ndarray, exists: np.ndarray) -> np.ndarray:
    """Put replicas, the heaviest first, on the least loaded rank with room."""
    layers, ranks, slots = exists.shape
    total = int(exists[0].sum())
    share = loads / counts
    experts = np.stack([np.repeat(np.arange(c.size), c)[:total] for c in counts])
    weights = np.take_along_axis(share, experts, axis=1)
    order = np.argsort(-weights, axis=1, kind="stable")
    experts = np.take_along_axis(experts, order, axis=1)
    weights = np.take_along_axis(weights, order, axis=1)
    room = exists.sum(axis=2)
    load = np.zeros((layers, ranks))
    holds = np.zeros((layers, ranks, loads.shape[1]), dtype=bool)
    used = np.zeros((layers, ranks), dtype=np.int64)
    result = np.full(exists.shape, NO_SLOT, dtype=np.int32)
    slot_of = np.argsort(~exists, axis=2, kind="stable")
    row = np.arange(layers)
    for i in range(total):
        expert = experts[:, i]
        taken = holds[row, :, expert]
        cost = np.where(used < room, load, np.inf)
        cost = np.where(taken, cost + 1e6 * (load.max() + 1), cost)
        rank = cost.argmin(axis=1)
        slot = slot_of[row, rank, used[row, rank]]
        result[row, rank, slot] = expert
        load[row, rank] += weights[:, i]
        used[row, rank] += 1
        holds[row, rank, expert] = True
    return result
