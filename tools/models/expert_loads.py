"""Models of the experts' popularity over time.

Each scenario gives an array of shape (periods, layers, experts) of tokens per period.
"""

import numpy as np

#: Exponent of the Zipf popularity of experts.
ZIPF = 0.8
#: Standard deviation of one period's drift of the logarithm of popularity.
DRIFT = 0.06
#: Tokens routed per layer and period.
TOKENS = 400_000
#: Periods of a day in the daily swing.
DAY = 48


def _zipf(rng: np.random.Generator, layers: int, experts: int) -> np.ndarray:
    popularity = 1 / np.arange(1, experts + 1) ** ZIPF
    return np.stack([rng.permutation(popularity) for _ in range(layers)])


def _drifting(rng, periods: int, layers: int, experts: int) -> np.ndarray:
    start = np.log(_zipf(rng, layers, experts))
    steps = rng.normal(0, DRIFT, (periods, layers, experts))
    return np.exp(start + np.cumsum(steps, axis=0))


def drift(rng, periods, layers, experts):
    """Let Zipf popularity drift."""
    return _drifting(rng, periods, layers, experts)


def shift(rng, periods, layers, experts):
    """Draw the popularity anew twice, all at once."""
    parts = np.array_split(np.arange(periods), 3)
    return np.concatenate(
        [_drifting(rng, len(part), layers, experts) for part in parts]
    )


def daily(rng, periods, layers, experts):
    """Swing between a day's and a night's popularity."""
    day, night = _zipf(rng, layers, experts), _zipf(rng, layers, experts)
    phase = 0.5 + 0.5 * np.sin(2 * np.pi * np.arange(periods) / DAY)
    weight = phase[:, None, None]
    return weight * day + (1 - weight) * night


def two_members(rng, periods, layers, experts):
    """Mix two members' drifting popularities in changing parts."""
    first = _drifting(rng, periods, layers, experts)
    second = _drifting(rng, periods, layers, experts)
    part = np.clip(0.5 + np.cumsum(rng.normal(0, 0.05, periods)), 0.1, 0.9)
    weight = part[:, None, None]
    first /= first.sum(axis=2, keepdims=True)
    second /= second.sum(axis=2, keepdims=True)
    return weight * first + (1 - weight) * second


def alternation(rng, periods, layers, experts):
    """Change between two popularities every period, to provoke flapping."""
    pair = np.stack([_zipf(rng, layers, experts), _zipf(rng, layers, experts)])
    return pair[np.arange(periods) % 2]


SCENARIOS = {
    "drift": drift,
    "shift": shift,
    "daily": daily,
    "two_members": two_members,
    "alternation": alternation,
}


def sample(name: str, seed: int, periods: int, layers: int, experts: int) -> np.ndarray:
    """Draw the tokens of a scenario."""
    rng = np.random.default_rng(seed)
    popularity = SCENARIOS[name](rng, periods, layers, experts)
    share = popularity / popularity.sum(axis=2, keepdims=True)
    return rng.multinomial(TOKENS, share).astype(float)


def read_late(loads: np.ndarray, seed: int, lag: int, gap: float) -> np.ndarray:
    """Give what is read of the loads: late, and with layers that are missing.

    A missing layer shows its last reading again.
    """
    rng = np.random.default_rng(seed + 1)
    readings = loads.copy()
    missing = rng.random(loads.shape[:2]) < gap
    for t in range(1, len(loads)):
        readings[t][missing[t]] = readings[t - 1][missing[t]]
    return np.concatenate([np.repeat(readings[:1], lag, axis=0), readings])[
        : len(loads)
    ]
