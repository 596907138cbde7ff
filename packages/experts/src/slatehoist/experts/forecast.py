"""Forecast of the experts' loads from delayed readings.

For each layer, several simple methods are compared, and the one that would have
predicted the newest reading with the smallest error is used.
"""

from collections.abc import Callable

import numpy as np

#: Fraction of the mean change per reading that the trend method extrapolates.
TREND_DAMPING = 0.8


def _last(readings: np.ndarray, ahead: int) -> np.ndarray:
    return readings[-1]


def _mean(readings: np.ndarray, ahead: int) -> np.ndarray:
    return readings.mean(axis=0)


def _trend(readings: np.ndarray, ahead: int) -> np.ndarray:
    change = (readings[-1] - readings[0]) / max(len(readings) - 1, 1)
    return np.maximum(readings[-1] + TREND_DAMPING * ahead * change, 0.0)


def _alternating(readings: np.ndarray, ahead: int) -> np.ndarray:
    return readings[-2] if ahead % 2 and len(readings) > 1 else readings[-1]


METHODS: tuple[Callable[[np.ndarray, int], np.ndarray], ...] = (
    _last,
    _mean,
    _trend,
    _alternating,
)


def forecast(readings: np.ndarray, ahead: int = 1) -> np.ndarray:
    """Return the forecast loads of a future period.

    Parameters
    ----------
    readings : ndarray of float, shape (readings, layers, experts)
        Readings, the newest last.
    ahead : int
        Periods from the newest reading to the forecast period.

    Returns
    -------
    ndarray of float, shape (layers, experts)
    """
    if len(readings) < ahead + 2:
        return readings[-1]
    past = readings[:-ahead]
    errors = np.stack(
        [np.abs(method(past, ahead) - readings[-1]).sum(axis=1) for method in METHODS]
    )
    candidates = np.stack([method(readings, ahead) for method in METHODS])
    best = errors.argmin(axis=0)
    return candidates[best, np.arange(readings.shape[1])]
