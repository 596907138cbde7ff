"""Scenarios of the experts' popularity over time.

Each scenario function returns the unnormalized popularity of experts in each period, an
array of shape (periods, layers, experts).
"""

import numpy as np

#: Exponent of the Zipf distribution of the experts' popularity.
ZIPF_EXPONENT = 0.8
#: Standard deviation of the change in the logarithm of popularity during a period.
DRIFT_STD = 0.06
#: Tokens routed in each layer during a period.
TOKENS_PER_PERIOD = 400_000
#: Periods in a day of the daily scenario.
PERIODS_PER_DAY = 48


def _zipf(rng: np.random.Generator, layers: int, experts: int) -> np.ndarray:
    popularity = 1 / np.arange(1, experts + 1) ** ZIPF_EXPONENT
    return np.stack([rng.permutation(popularity) for _ in range(layers)])


def _drifting(rng, periods: int, layers: int, experts: int) -> np.ndarray:
    start = np.log(_zipf(rng, layers, experts))
    steps = rng.normal(0, DRIFT_STD, (periods, layers, experts))
    return np.exp(start + np.cumsum(steps, axis=0))


def drift(rng, periods, layers, experts):
    """Return Zipf popularity that drifts as a random walk."""
    return _drifting(rng, periods, layers, experts)


def shift(rng, periods, layers, experts):
    """Return drifting popularity that is replaced at once by a new draw, twice."""
    parts = np.array_split(np.arange(periods), 3)
    return np.concatenate(
        [_drifting(rng, len(part), layers, experts) for part in parts]
    )


def daily(rng, periods, layers, experts):
    """Return popularity that oscillates between that of day and that of night."""
    day, night = _zipf(rng, layers, experts), _zipf(rng, layers, experts)
    phase = 0.5 + 0.5 * np.sin(2 * np.pi * np.arange(periods) / PERIODS_PER_DAY)
    weight = phase[:, None, None]
    return weight * day + (1 - weight) * night


def two_members(rng, periods, layers, experts):
    """Return two members' drifting popularities, mixed in changing proportions."""
    first = _drifting(rng, periods, layers, experts)
    second = _drifting(rng, periods, layers, experts)
    first_share = np.clip(0.5 + np.cumsum(rng.normal(0, 0.05, periods)), 0.1, 0.9)
    weight = first_share[:, None, None]
    first /= first.sum(axis=2, keepdims=True)
    second /= second.sum(axis=2, keepdims=True)
    return weight * first + (1 - weight) * second


def alternation(rng, periods, layers, experts):
    """Return popularity that alternates each period, to provoke flapping."""
    pair = np.stack([_zipf(rng, layers, experts), _zipf(rng, layers, experts)])
    return pair[np.arange(periods) % 2]


SCENARIOS = {
    "drift": drift,
    "shift": shift,
    "daily": daily,
    "two_members": two_members,
    "alternation": alternation,
}


def sample_loads(
    name: str, seed: int, periods: int, layers: int, experts: int
) -> np.ndarray:
    """Return the tokens routed to each expert, sampled by a scenario's popularity."""
    rng = np.random.default_rng(seed)
    popularity = SCENARIOS[name](rng, periods, layers, experts)
    share = popularity / popularity.sum(axis=2, keepdims=True)
    return rng.multinomial(TOKENS_PER_PERIOD, share).astype(float)


def simulate_readings(loads: np.ndarray, seed: int, lag: int, gap: float) -> np.ndarray:
    """Return the loads as a planner reads them: late, and without some layers.

    Parameters
    ----------
    lag : int
        Periods by which the readings are late.
    gap : float
        Fraction of the layers that are missing from a reading; the previous reading of
        such a layer is repeated.
    """
    rng = np.random.default_rng(seed + 1)
    readings = loads.copy()
    missing = rng.random(loads.shape[:2]) < gap
    for t in range(1, len(loads)):
        readings[t][missing[t]] = readings[t - 1][missing[t]]
    return np.concatenate([np.repeat(readings[:1], lag, axis=0), readings])[
        : len(loads)
    ]
