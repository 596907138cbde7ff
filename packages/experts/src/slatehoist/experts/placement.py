"""Placement of experts on ranks, and the split of each expert's load.

A placement is an integer array of shape (layers, ranks, slots) that holds the expert
in each slot, or -1 where a rank has no such slot. An expert may have replicas in
several slots of a layer, on different ranks. Its load is split among them by weights
that are part of the expert map; changing only the weights transfers no data.
"""

import numpy as np

#: Value of a slot that does not exist.
NO_SLOT = -1
#: Iterations of the split; more iterations come closer to an even load.
SPLIT_ROUNDS = 24
#: Exponent of the correction in the first and in the last iteration.
SPLIT_EXPONENTS = (0.9, 0.3)
#: Smallest load used as a divisor, to avoid division by zero.
EPSILON = 1e-12


def slot_layout(layers: int, ranks: int, experts: int, spare: int) -> np.ndarray:
    """Return which slots exist when each layer's slots are spread over the ranks.

    If the slots do not divide evenly, the ranks with one more slot change from layer
    to layer, so that all ranks need about the same memory.

    Returns
    -------
    ndarray of bool, shape (layers, ranks, slots)
        Which slots exist.
    """
    total = experts + spare
    low, extra = divmod(total, ranks)
    slots = low + (1 if extra else 0)
    exists = np.zeros((layers, ranks, slots), dtype=bool)
    exists[:, :, :low] = True
    for layer in range(layers):
        larger_ranks = (np.arange(extra) * ranks // max(extra, 1) + layer) % ranks
        exists[layer, larger_ranks, slots - 1] = True
    return exists


def initial_placement(layers: int, ranks: int, experts: int, spare: int) -> np.ndarray:
    """Return a placement whose slots are filled with the experts round robin."""
    exists = slot_layout(layers, ranks, experts, spare)
    placement = np.full(exists.shape, NO_SLOT, dtype=np.int32)
    for layer in range(layers):
        rank, slot = np.nonzero(exists[layer])
        order = np.lexsort((rank, slot))
        placement[layer, rank[order], slot[order]] = np.arange(len(order)) % experts
    return placement


def replica_counts(placement: np.ndarray, experts: int) -> np.ndarray:
    """Return the number of slots of each expert, shape (layers, experts)."""
    layers = len(placement)
    index = _flat_index(placement, experts)
    counts = np.bincount(index, minlength=layers * experts + 1)
    return counts[:-1].reshape(layers, experts)


def split_load(
    placement: np.ndarray,
    loads: np.ndarray,
    rounds: int = SPLIT_ROUNDS,
    start: np.ndarray | None = None,
) -> np.ndarray:
    """Split each expert's load among its slots so that rank loads are nearly even.

    Parameters
    ----------
    placement : ndarray of int, shape (layers, ranks, slots)
    loads : ndarray of float, shape (layers, experts)
    rounds : int
        Iterations of the split.
    start : ndarray of float, shape (layers, ranks, slots), optional
        Split to start the iteration from.

    Returns
    -------
    ndarray of float, shape (layers, ranks, slots)
        Load that each slot carries.
    """
    layers, experts = loads.shape
    index = _flat_index(placement, experts)
    size = layers * experts + 1
    target = np.append(loads.ravel(), 0.0)
    carried = np.ones(index.shape) if start is None else start.ravel() + EPSILON
    mean = loads.sum(axis=1)[:, None] / placement.shape[1] + EPSILON
    for power in np.linspace(*SPLIT_EXPONENTS, rounds):
        current = np.bincount(index, weights=carried, minlength=size)
        carried *= (target / np.maximum(current, EPSILON))[index]
        rank_load = carried.reshape(placement.shape).sum(axis=2)
        factor = (mean / np.maximum(rank_load, mean * 1e-3)) ** power
        carried *= np.broadcast_to(factor[:, :, None], placement.shape).ravel()
    current = np.bincount(index, weights=carried, minlength=size)
    carried *= (target / np.maximum(current, EPSILON))[index]
    return carried.reshape(placement.shape)


def _flat_index(placement: np.ndarray, experts: int) -> np.ndarray:
    """Return an index of each slot's (layer, expert).

    Slots that do not exist share the last index.
    """
    layers = len(placement)
    row = np.arange(layers)[:, None, None] * experts
    return np.where(placement != NO_SLOT, placement + row, layers * experts).ravel()


def largest_rank_load(placement: np.ndarray, loads: np.ndarray) -> np.ndarray:
    """Return the largest rank load of each layer after splitting the loads."""
    return split_load(placement, loads).sum(axis=2).max(axis=1)


def step_skew(largest: np.ndarray, loads: np.ndarray, ranks: int) -> float:
    """Return a step's skew: its duration over that with even rank loads."""
    mean = loads.sum(axis=1) / ranks
    return float(largest.sum() / mean.sum())


def moved_slots(old: np.ndarray, new: np.ndarray) -> int:
    """Return the number of experts that ranks must fetch for the new placement."""
    held = (new[..., :, None] == old[..., None, :]).any(axis=-1)
    return int(np.count_nonzero(~held & (new != NO_SLOT)))
