"""Forecast of the experts' loads from late readings.

Several simple forecasts are kept, and each layer uses the one that would have told
its newest reading best.
"""

from collections.abc import Callable

import numpy as np

#: Part of the newest change that a trend goes on with.
TREND_DAMPING = 0.8


def _last(readings: np.ndarray, ahead: int) -> np.ndarray:
    return readings[-1]


def _mean(readings: np.ndarray, ahead: int) -> np.ndarray:
    return readings.mean(axis=0)


def _trend(readings: np.ndarray, ahead: int) -> np.ndarray:
    change = (readings[-1] - readings[0]) / max(len(readings) - 1, 1)
    return np.maximum(readings[-1] + TREND_DAMPING * ahead * change, 0.0)


def _every_second(readings: np.ndarray, ahead: int) -> np.ndarray:
    return readings[-2] if ahead % 2 and len(readings) > 1 else readings[-1]


FORECASTS: tuple[Callable[[np.ndarray, int], np.ndarray], ...] = (
    _last,
    _mean,
    _trend,
    _every_second,
)


def forecast(readings: np.ndarray, ahead: int = 1) -> np.ndarray:
    """Forecast the loads of a period to come.

    Parameters
    ----------
    readings : ndarray of float, shape (readings, layers, experts)
        Readings, the newest last.
    ahead : int
        Periods from the newest reading to the one that is forecast.

    Returns
    -------
    ndarray of float, shape (layers, experts)
    """
    if len(readings) < ahead + 2:
        return readings[-1]
    past = readings[:-ahead]
    errors = np.stack(
        [np.abs(tell(past, ahead) - readings[-1]).sum(axis=1) for tell in FORECASTS]
    )
    candidates = np.stack([tell(readings, ahead) for tell in FORECASTS])
    best = errors.argmin(axis=0)
    return candidates[best, np.arange(readings.shape[1])]
