"""Single moves that improve a placement, made in many layers at once.

Each kind decides which slots of a layer to change. All of them keep at least one
replica of every expert, and never put two replicas of an expert on one rank:

- *reassign* gives a slot of an expert with more than one replica to the expert with
  the largest load per replica.
- *swap* swaps two slots between the most loaded rank and another rank.
- *offload* replicates an expert of the most loaded rank on another rank, in a slot of
  an expert with more than one replica.
"""

from typing import NamedTuple

import numpy as np

from slatehoist.experts.placement import NO_SLOT, replica_counts

#: Factor by which the receiver's load per replica must exceed the load per replica that
#: the donor would have after the reassignment.
REASSIGN_MARGIN = 1.05
#: Fraction of the mean rank load by which a swap or an offload must lower the largest
#: rank load, in addition to its cost.
PEAK_MARGIN = 0.004


class MoveResult(NamedTuple):
    """Slots changed by one move in each layer.

    Attributes
    ----------
    made : ndarray of bool, shape (layers,)
        True if a move was made in the layer.
    slots : list of (rank, slot), each an ndarray of int of shape (layers,)
        The changed slots; meaningful only in layers where a move was made.
    """

    made: np.ndarray
    slots: list[tuple[np.ndarray, np.ndarray]]


def reassign(placement: np.ndarray, loads: np.ndarray, cost: np.ndarray) -> MoveResult:
    """Make the most useful reassignment in each layer, in place.

    Parameters
    ----------
    placement : ndarray of int, shape (layers, ranks, slots)
    loads : ndarray of float, shape (layers, experts)
        Loads of the experts; the mean rank load is 1.
    cost : ndarray of float, shape (layers, ranks, slots)
        Smallest decrease of the largest rank load that justifies changing each slot.
    """
    layers, experts = loads.shape
    ranks = placement.shape[1]
    row = np.arange(layers)
    counts = replica_counts(placement, experts)
    replica_load = loads / np.maximum(counts, 1)
    receiver = np.where(counts < ranks, replica_load, -1.0).argmax(axis=1)
    reduced_load = np.where(counts > 1, loads / np.maximum(counts - 1, 1), np.inf)
    reduced_load[row, receiver] = np.inf
    donor = reduced_load.argmin(axis=1)
    useful = replica_load[row, receiver] > REASSIGN_MARGIN * reduced_load[row, donor]
    rank, slot, found = _slot_to_give(placement, replica_load, receiver, donor, cost)
    made = useful & found
    placement[row[made], rank[made], slot[made]] = receiver[made]
    return MoveResult(made, [(rank, slot)])


def _slot_to_give(
    placement: np.ndarray,
    replica_load: np.ndarray,
    receiver: np.ndarray,
    donor: np.ndarray,
    cost: np.ndarray,
) -> tuple[np.ndarray, np.ndarray, np.ndarray]:
    """Return the donor's slot on the rank that is least loaded without it.

    Ranks that already hold the receiver are excluded.
    """
    layers, _, slots = placement.shape
    row = np.arange(layers)[:, None, None]
    slot_load = np.where(placement != NO_SLOT, replica_load[row, placement], 0.0)
    rest = slot_load.sum(axis=2, keepdims=True) - slot_load
    is_donor = placement == donor[:, None, None]
    holds_receiver = (placement == receiver[:, None, None]).any(axis=2, keepdims=True)
    score = np.where(is_donor & ~holds_receiver, rest + cost, np.inf)
    flat = score.reshape(layers, -1)
    pick = flat.argmin(axis=1)
    found = np.isfinite(flat[np.arange(layers), pick])
    rank, slot = np.divmod(pick, slots)
    return rank, slot, found


def swap(placement: np.ndarray, carried: np.ndarray, cost: np.ndarray) -> MoveResult:
    """Make the most useful swap with each layer's most loaded rank, in place.

    Parameters
    ----------
    carried : ndarray of float, shape (layers, ranks, slots)
        Load that each slot carries; it is swapped together with the slots.
    """
    layers, ranks, slots = placement.shape
    row = np.arange(layers)
    rank_load = carried.sum(axis=2)
    peak_rank = rank_load.argmax(axis=1)
    peak = rank_load[row, peak_rank]
    peak_experts = placement[row, peak_rank]
    peak_slot_load = carried[row, peak_rank]
    # Axes: layer, slot of the most loaded rank, other rank, slot of the other rank.
    delta = peak_slot_load[:, :, None, None] - carried[:, None, :, :]
    other_after = rank_load[:, None, :, None] + delta
    peak_after = peak[:, None, None, None] - delta
    score = np.maximum(other_after, peak_after) + cost[:, None]
    allowed = _swappable(placement, peak_experts, peak_rank)
    score = np.where(allowed, score, np.inf)
    flat = score.reshape(layers, -1)
    pick = flat.argmin(axis=1)
    made = flat[row, pick] < peak - PEAK_MARGIN
    peak_slot, rest = np.divmod(pick, ranks * slots)
    rank, slot = np.divmod(rest, slots)
    at = (row[made], peak_rank[made], peak_slot[made])
    to = (row[made], rank[made], slot[made])
    for values in (placement, carried):
        values[at], values[to] = values[to].copy(), values[at].copy()
    return MoveResult(made, [(peak_rank, peak_slot), (rank, slot)])


def _swappable(
    placement: np.ndarray, peak_experts: np.ndarray, peak_rank: np.ndarray
) -> np.ndarray:
    """Return a mask of the swaps that put no expert on a rank twice.

    The axes are layer, slot of the most loaded rank, other rank, slot of the other
    rank.
    """
    layers, ranks, slots = placement.shape
    exists = placement != NO_SLOT
    is_other = np.arange(ranks)[None, :] != peak_rank[:, None]
    peak_slot_exists = peak_experts != NO_SLOT
    # True where the other rank already holds the expert that it would receive.
    other_holds = (placement[:, None, :, :] == peak_experts[:, :, None, None]).any(
        axis=3
    )
    # True where the most loaded rank already holds the expert that it would receive.
    peak_rank_holds = (placement[:, :, :, None] == peak_experts[:, None, None, :]).any(
        axis=3
    )
    return (
        peak_slot_exists[:, :, None, None]
        & (exists & is_other[:, :, None] & ~peak_rank_holds)[:, None, :, :]
        & ~other_holds[:, :, :, None]
    )


def offload(placement: np.ndarray, carried: np.ndarray, cost: np.ndarray) -> MoveResult:
    """Replicate an expert of each layer's most loaded rank on another rank, in place.

    The slot is taken from an expert that has other replicas; they take over the load
    of that slot. The caller must split the loads again afterwards.
    """
    layers, _, slots = placement.shape
    row = np.arange(layers)
    rank_load = carried.sum(axis=2)
    peak_rank = rank_load.argmax(axis=1)
    peak = rank_load[row, peak_rank]
    peak_experts = placement[row, peak_rank]
    peak_slot_load = carried[row, peak_rank]
    takeover_load, others = _takeover(placement, carried, rank_load)
    remaining = rank_load[:, :, None] - carried
    # Axes: layer, slot of the most loaded rank, other rank, slot of the other rank.
    shift = np.minimum(
        peak_slot_load[:, :, None, None], (peak[:, None, None] - remaining)[:, None] / 2
    )
    score = np.maximum(peak[:, None, None, None] - shift, takeover_load[:, None])
    score = score + cost[:, None]
    holds = (placement[:, None, :, :] == peak_experts[:, :, None, None]).any(axis=3)
    allowed = (others > 0)[:, None] & ~holds[..., None]
    allowed &= (peak_experts != NO_SLOT)[:, :, None, None] & (shift > 0)
    flat = np.where(allowed, score, np.inf).reshape(layers, -1)
    pick = flat.argmin(axis=1)
    made = flat[row, pick] < peak - PEAK_MARGIN
    peak_slot, rest = np.divmod(pick, placement.shape[1] * slots)
    rank, slot = np.divmod(rest, slots)
    at = (row[made], rank[made], slot[made])
    placement[at] = peak_experts[row[made], peak_slot[made]]
    return MoveResult(made, [(rank, slot)])


def _takeover(
    placement: np.ndarray, carried: np.ndarray, rank_load: np.ndarray
) -> tuple[np.ndarray, np.ndarray]:
    """Return the effect of taking each slot on the other replicas of its expert.

    Returns
    -------
    load : ndarray of float, shape (layers, ranks, slots)
        Upper bound on the load of a rank that takes over an even part of the slot's
        load.
    others : ndarray of int, same shape
        Number of other slots with the same expert.
    """
    layers, ranks, slots = placement.shape
    experts = int(placement.max()) + 1
    counts = replica_counts(placement, experts)
    row = np.arange(layers)[:, None, None]
    others = np.where(placement != NO_SLOT, counts[row, placement] - 1, 0)
    worst = np.zeros((layers, experts))
    load = np.broadcast_to(rank_load[:, :, None], placement.shape)
    exists = placement != NO_SLOT
    index = (np.broadcast_to(row, placement.shape)[exists], placement[exists])
    np.maximum.at(worst, index, load[exists])
    return worst[row, placement] + carried / np.maximum(others, 1), others
