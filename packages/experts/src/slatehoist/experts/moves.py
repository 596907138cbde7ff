"""Single moves that improve a placement, made in many layers at once.

Both kinds keep every expert placed and no rank with the same expert twice. An
*exchange* gives the slot of an expert that has replicas to spare to the expert with
the largest load per replica. A *swap* trades two slots between the most loaded rank
and another one.
"""

from typing import NamedTuple

import numpy as np

from slatehoist.experts.placement import NO_SLOT, replica_counts

#: Factor by which an exchange must improve on the loser's load per replica.
EXCHANGE_MARGIN = 1.05
#: Part of the mean rank load by which a swap must lower the larger of two ranks.
SWAP_MARGIN = 0.004


class Moved(NamedTuple):
    """Slots changed by one move in each layer.

    Attributes
    ----------
    made : ndarray of bool, shape (layers,)
        Whether the layer had a move to make.
    slots : list of (rank, slot), each an ndarray of int of shape (layers,)
    """

    made: np.ndarray
    slots: list[tuple[np.ndarray, np.ndarray]]


def exchange(placement: np.ndarray, loads: np.ndarray, cost: np.ndarray) -> Moved:
    """Make the most useful exchange in each layer, in place.

    Parameters
    ----------
    placement : ndarray of int, shape (layers, ranks, slots)
    loads : ndarray of float, shape (layers, experts)
        Loads of the experts; the mean rank load is 1.
    cost : ndarray of float, shape (layers, ranks, slots)
        Fall of the largest load that changing each slot must bring.
    """
    layers, experts = loads.shape
    ranks = placement.shape[1]
    row = np.arange(layers)
    counts = replica_counts(placement, experts)
    share = loads / np.maximum(counts, 1)
    winner = np.where(counts < ranks, share, -1.0).argmax(axis=1)
    spare = np.where(counts > 1, loads / np.maximum(counts - 1, 1), np.inf)
    spare[row, winner] = np.inf
    loser = spare.argmin(axis=1)
    useful = share[row, winner] > EXCHANGE_MARGIN * spare[row, loser]
    rank, slot, found = _slot_to_give(placement, share, winner, loser, cost)
    made = useful & found
    placement[row[made], rank[made], slot[made]] = winner[made]
    return Moved(made, [(rank, slot)])


def _slot_to_give(
    placement: np.ndarray,
    share: np.ndarray,
    winner: np.ndarray,
    loser: np.ndarray,
    cost: np.ndarray,
) -> tuple[np.ndarray, np.ndarray, np.ndarray]:
    """Choose the loser's slot on the rank that is least loaded without it."""
    layers, _, slots = placement.shape
    row = np.arange(layers)[:, None, None]
    slot_load = np.where(placement != NO_SLOT, share[row, placement], 0.0)
    rest = slot_load.sum(axis=2, keepdims=True) - slot_load
    is_loser = placement == loser[:, None, None]
    holds_winner = (placement == winner[:, None, None]).any(axis=2, keepdims=True)
    score = np.where(is_loser & ~holds_winner, rest + cost, np.inf)
    flat = score.reshape(layers, -1)
    pick = flat.argmin(axis=1)
    found = np.isfinite(flat[np.arange(layers), pick])
    rank, slot = np.divmod(pick, slots)
    return rank, slot, found


def swap(placement: np.ndarray, carried: np.ndarray, cost: np.ndarray) -> Moved:
    """Make the most useful swap with each layer's most loaded rank, in place.

    Parameters
    ----------
    carried : ndarray of float, shape (layers, ranks, slots)
        Load that each slot carries; it is swapped along.
    """
    layers, ranks, slots = placement.shape
    row = np.arange(layers)
    rank_load = carried.sum(axis=2)
    hottest = rank_load.argmax(axis=1)
    peak = rank_load[row, hottest]
    own = placement[row, hottest]
    own_load = carried[row, hottest]
    # Axes: layer, slot of the hottest rank, other rank, slot of the other rank.
    delta = own_load[:, :, None, None] - carried[:, None, :, :]
    other = rank_load[:, None, :, None] + delta
    hot = peak[:, None, None, None] - delta
    score = np.maximum(other, hot) + cost[:, None]
    allowed = _swappable(placement, own, hottest)
    score = np.where(allowed, score, np.inf)
    flat = score.reshape(layers, -1)
    pick = flat.argmin(axis=1)
    made = flat[row, pick] < peak - SWAP_MARGIN
    own_slot, rest = np.divmod(pick, ranks * slots)
    rank, slot = np.divmod(rest, slots)
    at = (row[made], hottest[made], own_slot[made])
    to = (row[made], rank[made], slot[made])
    for values in (placement, carried):
        values[at], values[to] = values[to].copy(), values[at].copy()
    return Moved(made, [(hottest, own_slot), (rank, slot)])


def _swappable(
    placement: np.ndarray, own: np.ndarray, hottest: np.ndarray
) -> np.ndarray:
    """Tell which swaps leave no rank with the same expert twice."""
    layers, ranks, slots = placement.shape
    exists = placement != NO_SLOT
    is_other = np.arange(ranks)[None, :] != hottest[:, None]
    own_exists = own != NO_SLOT
    # Does the other rank already hold the expert that would come to it?
    there = (placement[:, None, :, :] == own[:, :, None, None]).any(axis=3)
    # Does the hottest rank already hold the expert that would come to it?
    here = (placement[:, :, :, None] == own[:, None, None, :]).any(axis=3)
    return (
        own_exists[:, :, None, None]
        & (exists & is_other[:, :, None] & ~here)[:, None, :, :]
        & ~there[:, :, :, None]
    )


def relieve(placement: np.ndarray, carried: np.ndarray, cost: np.ndarray) -> Moved:
    """Give the most loaded rank's experts a further replica, in place.

    The slot is taken from an expert that has other replicas, which take over its
    load there. The split must be made anew afterwards.
    """
    layers, _, slots = placement.shape
    row = np.arange(layers)
    rank_load = carried.sum(axis=2)
    hottest = rank_load.argmax(axis=1)
    peak = rank_load[row, hottest]
    own = placement[row, hottest]
    own_load = carried[row, hottest]
    heir_load, heirs = _heirs(placement, carried, rank_load)
    left = rank_load[:, :, None] - carried
    # Axes: layer, slot of the hottest rank, other rank, slot of the other rank.
    shift = np.minimum(
        own_load[:, :, None, None], (peak[:, None, None] - left)[:, None] / 2
    )
    score = np.maximum(peak[:, None, None, None] - shift, heir_load[:, None])
    score = score + cost[:, None]
    holds = (placement[:, None, :, :] == own[:, :, None, None]).any(axis=3)
    allowed = (heirs > 0)[:, None] & ~holds[..., None]
    allowed &= (own != NO_SLOT)[:, :, None, None] & (shift > 0)
    flat = np.where(allowed, score, np.inf).reshape(layers, -1)
    pick = flat.argmin(axis=1)
    made = flat[row, pick] < peak - SWAP_MARGIN
    own_slot, rest = np.divmod(pick, placement.shape[1] * slots)
    rank, slot = np.divmod(rest, slots)
    at = (row[made], rank[made], slot[made])
    placement[at] = own[row[made], own_slot[made]]
    return Moved(made, [(rank, slot)])


def _heirs(
    placement: np.ndarray, carried: np.ndarray, rank_load: np.ndarray
) -> tuple[np.ndarray, np.ndarray]:
    """Tell what would become of each slot's load if the slot were taken.

    Returns
    -------
    load : ndarray of float, shape (layers, ranks, slots)
        Largest load of a rank that takes over a part of it.
    heirs : ndarray of int, same shape
        Other slots with the same expert.
    """
    layers, ranks, slots = placement.shape
    experts = int(placement.max()) + 1
    counts = replica_counts(placement, experts)
    row = np.arange(layers)[:, None, None]
    heirs = np.where(placement != NO_SLOT, counts[row, placement] - 1, 0)
    worst = np.zeros((layers, experts))
    load = np.broadcast_to(rank_load[:, :, None], placement.shape)
    exists = placement != NO_SLOT
    index = (np.broadcast_to(row, placement.shape)[exists], placement[exists])
    np.maximum.at(worst, index, load[exists])
    return worst[row, placement] + carried / np.maximum(heirs, 1), heirs
