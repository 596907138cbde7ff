"""Lower bound on the largest rank load of any placement."""

import numpy as np

#: Bisection steps in the search for the bound.
BISECTIONS = 30


def lower_bound(loads: np.ndarray, ranks: int, slots: int) -> np.ndarray:
    """Return, per layer, a lower bound on the largest rank load of any placement.

    Parameters
    ----------
    loads : ndarray of float, shape (layers, experts)
    ranks : int
    slots : int
        Slots of a layer, all ranks together.

    Returns
    -------
    ndarray of float, shape (layers,)

    Notes
    -----
    To keep every rank load at or below T, each expert needs at least ceil(load / T)
    slots. The mean rank load is always a lower bound.
    """
    low = loads.sum(axis=1) / ranks
    high = np.maximum(loads.max(axis=1), low)
    mean_feasible = _slots_needed(loads, low) <= slots
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        feasible = _slots_needed(loads, middle) <= slots
        high = np.where(feasible, middle, high)
        low = np.where(feasible, low, middle)
    return np.where(mean_feasible, loads.sum(axis=1) / ranks, low)


def _slots_needed(loads: np.ndarray, limit: np.ndarray) -> np.ndarray:
    # The tolerance keeps a rounding error from adding a slot.
    needed = np.ceil(loads / limit[:, None] - 1e-9)
    return np.maximum(needed, 1).sum(axis=1)
