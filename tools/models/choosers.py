"""Baseline choosers with the interface of the product's chooser."""

import random

import xxhash


class RandomChooser:
    """Choose an endpoint at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates, zone, holders=(), prefix=0):
        """Return the chosen candidate."""
        return self._rng.choice(candidates)


class RoundRobinChooser:
    """Choose the endpoints in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(self, candidates, zone, holders=(), prefix=0):
        """Return the chosen candidate."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class LeastReportedChooser:
    """Choose the endpoint with the least reported load."""

    def choose(self, candidates, zone, holders=(), prefix=0):
        """Return the chosen candidate."""
        return min(candidates, key=lambda c: c.reported_load)


class TwoChoicesChooser:
    """Choose the endpoint with the lower reported load of two random ones."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates, zone, holders=(), prefix=0):
        """Return the chosen candidate."""
        pair = self._rng.sample(candidates, 2)
        return min(pair, key=lambda c: c.reported_load)


class AffinityChooser:
    """Choose the first endpoint that holds the prefix, or a random one if none does."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates, zone, holders=(), prefix=0):
        """Return the chosen candidate."""
        by_name = {c.name: c for c in candidates}
        for name in holders:
            if name in by_name:
                return by_name[name]
        key = str(self._rng.random()).encode()
        return max(
            candidates, key=lambda c: xxhash.xxh3_64_intdigest(key + c.name.encode())
        )
