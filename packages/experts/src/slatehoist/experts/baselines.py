"""Baseline planners that `Planner` is compared to."""

import numpy as np

from slatehoist.experts.placement import NO_SLOT


class StaticPlanner:
    """Planner that never changes the placement."""

    def plan(self, placement: np.ndarray, loads: np.ndarray) -> np.ndarray:
        """Return the placement unchanged."""
        return placement


class FullReplanner:
    """Planner that ignores the placement in use.

    Each plan replicates the experts with the largest loads and packs all replicas
    greedily.
    """

    def plan(self, placement: np.ndarray, loads: np.ndarray) -> np.ndarray:
        """Return a new placement with the same slots."""
        exists = placement != NO_SLOT
        # All layers have the same number of slots, see `slot_layout`.
        counts = _replica_counts(loads, exists[0].sum(), exists.shape[1])
        return _pack(loads, counts, exists)


def _replica_counts(loads: np.ndarray, slots: int, ranks: int) -> np.ndarray:
    """Return the replicas of each expert, shape (layers, experts).

    Each spare slot goes to the expert with the largest load per replica that is not
    yet on every rank.
    """
    layers, experts = loads.shape
    counts = np.ones((layers, experts), dtype=np.int64)
    row = np.arange(layers)
    for _ in range(slots - experts):
        replica_load = np.where(counts < ranks, loads / counts, -1.0)
        counts[row, replica_load.argmax(axis=1)] += 1
    return counts


def _pack(loads: np.ndarray, counts: np.ndarray, exists: np.ndarray) -> np.ndarray:
    """Place replicas, largest load first, on the least loaded rank with a free slot.

    A rank that already holds the expert is used only if no other rank has a free slot.
    """
    layers, ranks, slots = exists.shape
    total = int(exists[0].sum())
    replica_load = loads / counts
    experts = np.stack([np.repeat(np.arange(c.size), c)[:total] for c in counts])
    weights = np.take_along_axis(replica_load, experts, axis=1)
    order = np.argsort(-weights, axis=1, kind="stable")
    experts = np.take_along_axis(experts, order, axis=1)
    weights = np.take_along_axis(weights, order, axis=1)
    capacity = exists.sum(axis=2)
    load = np.zeros((layers, ranks))
    holds = np.zeros((layers, ranks, loads.shape[1]), dtype=bool)
    used = np.zeros((layers, ranks), dtype=np.int64)
    result = np.full(exists.shape, NO_SLOT, dtype=np.int32)
    slot_of = np.argsort(~exists, axis=2, kind="stable")
    row = np.arange(layers)
    for i in range(total):
        expert = experts[:, i]
        already_held = holds[row, :, expert]
        cost = np.where(used < capacity, load, np.inf)
        # The penalty is larger than any rank load, but finite: a rank that holds the
        # expert comes after all others with a free slot, and before the full ones.
        cost = np.where(already_held, cost + 1e6 * (load.max() + 1), cost)
        rank = cost.argmin(axis=1)
        slot = slot_of[row, rank, used[row, rank]]
        result[row, rank, slot] = expert
        load[row, rank] += weights[:, i]
        used[row, rank] += 1
        holds[row, rank, expert] = True
    return result
