"""Placement of experts on ranks, and the split of each expert's load.

A placement is an integer array of shape (layers, ranks, slots) that holds the expert
in each slot, or -1 where a rank has no such slot. An expert may stand in several
slots of a layer, on different ranks; its load is split among them by weights that
belong to the map and cost no bytes to change.
"""

import numpy as np

#: Mark of a slot that does not exist.
NO_SLOT = -1
#: Rounds of the split; more rounds come closer to an even load.
SPLIT_ROUNDS = 24
#: Exponent of one round's correction, from the first round to the last.
SPLIT_STEPS = (0.9, 0.3)
#: Smallest load, to keep divisions finite.
TINY = 1e-12


def slot_layout(layers: int, ranks: int, experts: int, spare: int) -> np.ndarray:
    """Lay out the slots of each layer evenly over the ranks.

    Ranks with one slot more than others take turns from layer to layer, so that all
    need about the same memory.

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
        lucky = (np.arange(extra) * ranks // max(extra, 1) + layer) % ranks
        exists[layer, lucky, slots - 1] = True
    return exists


def initial_placement(layers: int, ranks: int, experts: int, spare: int) -> np.ndarray:
    """Place each expert once, and fill the spare slots round robin."""
    exists = slot_layout(layers, ranks, experts, spare)
    placement = np.full(exists.shape, NO_SLOT, dtype=np.int32)
    for layer in range(layers):
        rank, slot = np.nonzero(exists[layer])
        order = np.lexsort((rank, slot))
        placement[layer, rank[order], slot[order]] = np.arange(len(order)) % experts
    return placement


def replica_counts(placement: np.ndarray, experts: int) -> np.ndarray:
    """Count the slots of each expert; shape (layers, experts)."""
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
    """Split each expert's load among its slots so that ranks come out even.

    Parameters
    ----------
    placement : ndarray of int, shape (layers, ranks, slots)
    loads : ndarray of float, shape (layers, experts)
    start : ndarray of float, shape (layers, ranks, slots), optional
        An earlier split to begin from.

    Returns
    -------
    ndarray of float, shape (layers, ranks, slots)
        Load that each slot carries.
    """
    layers, experts = loads.shape
    index = _flat_index(placement, experts)
    size = layers * experts + 1
    want = np.append(loads.ravel(), 0.0)
    carried = np.ones(index.shape) if start is None else start.ravel() + TINY
    mean = loads.sum(axis=1)[:, None] / placement.shape[1] + TINY
    for power in np.linspace(*SPLIT_STEPS, rounds):
        got = np.bincount(index, weights=carried, minlength=size)
        carried *= (want / np.maximum(got, TINY))[index]
        rank_load = carried.reshape(placement.shape).sum(axis=2)
        factor = (mean / np.maximum(rank_load, mean * 1e-3)) ** power
        carried *= np.broadcast_to(factor[:, :, None], placement.shape).ravel()
    got = np.bincount(index, weights=carried, minlength=size)
    carried *= (want / np.maximum(got, TINY))[index]
    return carried.reshape(placement.shape)


def _flat_index(placement: np.ndarray, experts: int) -> np.ndarray:
    """Number each slot's expert over all layers; a missing slot comes last."""
    layers = len(placement)
    row = np.arange(layers)[:, None, None] * experts
    return np.where(placement != NO_SLOT, placement + row, layers * experts).ravel()


def largest_rank_load(placement: np.ndarray, loads: np.ndarray) -> np.ndarray:
    """Give the largest rank load of each layer under the best split found."""
    return split_load(placement, loads).sum(axis=2).max(axis=1)


def step_skew(largest: np.ndarray, loads: np.ndarray, ranks: int) -> float:
    """Give a step's skew: time with the stragglers over time if all were even."""
    mean = loads.sum(axis=1) / ranks
    return float(largest.sum() / mean.sum())


def moved_slots(old: np.ndarray, new: np.ndarray) -> int:
    """Count the experts that a rank must fetch since it does not hold them yet."""
    held = (new[..., :, None] == old[..., None, :]).any(axis=-1)
    return int(np.count_nonzero(~held & (new != NO_SLOT)))
