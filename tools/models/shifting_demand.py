"""Simulation of a lock-step group whose demand for experts shifts every few seconds.

The popularity of experts, the time of a copy and the number of experts per rank are
those of the users' two deployments. Passes run one after another. Each lasts as long as
its most loaded rank needs, and yields a random sample of expert choices.
"""

from collections.abc import Iterator
from typing import NamedTuple

import numpy as np

from slatehoist.maps import Demand, Placement, skew

#: Exponent of the Zipf distribution of the experts' popularity: the most popular expert
#: has 0.24 of the choices and the second 0.1, as on both deployments.
ZIPF_EXPONENT = 1.2
#: Shortest and longest time between two shifts, in seconds.
SHIFT_INTERVAL_S = (3.0, 4.0)
#: Fraction of the experts whose popularity a shift permutes.
SHIFT_RATIO = 0.5
#: Expert choices that one pass samples per set. With this number, consecutive passes
#: under steady demand differ by a third, as on the deployments.
CHOICES_PER_SET = 170
#: Seconds that a pass takes if its ranks are loaded evenly.
EVEN_PASS_S = 0.06


class Deployment(NamedTuple):
    """Size of a group, and limits and costs of its expert maps.

    Attributes
    ----------
    sets : int
        Sets of experts; each has the same number of experts.
    experts : int
        Experts of one set.
    places : int
        Maximum number of experts that a rank can hold in each set.
    spare : int
        Maximum number of experts in one set that a plan may add to a rank.
    copy_s : float
        Seconds that the copy of one expert takes.
    expert_gb : float
        Size of one expert in gigabytes (1e9 bytes).
    """

    name: str
    ranks: int
    sets: int
    experts: int
    places: int
    spare: int
    copy_s: float
    expert_gb: float


STANDARD = Deployment("standard", 12, 3, 96, 11, 4, 0.4, 2.2)
GROWN = Deployment("grown", 24, 16, 96, 5, 2, 0.076, 0.4)


class Pass(NamedTuple):
    """Result of one pass.

    Attributes
    ----------
    at : float
        Time in seconds at which the pass ended.
    skew : float
        Ratio of the highest rank load to the mean one, averaged over sets.
    counts : list of int
        Sampled number of choices of each expert, set by set.
    demand : Demand
        True demand during the pass.
    """

    at: float
    skew: float
    counts: list[int]
    demand: Demand


class Group:
    """Simulated group, which runs passes on the placement in use.

    Parameters
    ----------
    seed : int
        Seed of the demand, its shifts and the samples. The demand and the sequence of
        its shifts do not depend on the placement.
    """

    def __init__(self, deployment: Deployment, placement: Placement, seed: int) -> None:
        self.deployment = deployment
        self.placement = placement
        self.now = 0.0
        self.demand = []
        self._shift_rng = np.random.default_rng(seed)
        self._sample_rng = np.random.default_rng(seed + 1)
        weights = 1 / np.arange(1, deployment.experts + 1) ** ZIPF_EXPONENT
        self._shares = [
            self._shift_rng.permutation(weights / weights.sum())
            for _ in range(deployment.sets)
        ]
        self._next_shift_at = self._draw_next_shift()
        self._update_demand()

    def _draw_next_shift(self) -> float:
        return self.now + self._shift_rng.uniform(*SHIFT_INTERVAL_S)

    def _update_demand(self) -> None:
        self.demand = [share.tolist() for share in self._shares]

    def run_passes(self, until: float) -> Iterator[Pass]:
        """Run passes until a time in seconds, and yield their results."""
        while self.now < until:
            if self.now >= self._next_shift_at:
                self._shift_demand()
            value = skew(self.placement, self.demand)
            self.now += EVEN_PASS_S * value
            counts = [
                int(count)
                for share in self._shares
                for count in self._sample_rng.multinomial(CHOICES_PER_SET, share)
            ]
            yield Pass(self.now, value, counts, self.demand)

    def _shift_demand(self) -> None:
        self.now = max(self.now, self._next_shift_at)
        for share in self._shares:
            count = int(len(share) * SHIFT_RATIO)
            chosen = self._shift_rng.choice(len(share), count, replace=False)
            share[chosen] = share[self._shift_rng.permutation(chosen)]
        self._next_shift_at = self._draw_next_shift()
        self._update_demand()
