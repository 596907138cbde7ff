"""Lower bound of the largest rank load, whatever the placement."""

import numpy as np

#: Halvings of the interval in which the bound is looked for.
BISECTIONS = 30


def lower_bound(loads: np.ndarray, ranks: int, slots: int) -> np.ndarray:
    """Give, per layer, a load that no placement can keep every rank below.

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
    A rank load of at most T needs at least ceil(load / T) slots for each expert, and
    the mean is a bound in any case.
    """
    low = loads.sum(axis=1) / ranks
    high = np.maximum(loads.max(axis=1), low)
    fits = _slots_needed(loads, low) <= slots
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        enough = _slots_needed(loads, middle) <= slots
        high = np.where(enough, middle, high)
        low = np.where(enough, low, middle)
    return np.where(fits, loads.sum(axis=1) / ranks, low)


def _slots_needed(loads: np.ndarray, limit: np.ndarray) -> np.ndarray:
    needed = np.ceil(loads / limit[:, None] - 1e-9)
    return np.maximum(needed, 1).sum(axis=1)
