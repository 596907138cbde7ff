"""Model of a lock-step group whose demand for experts shifts every few seconds.

The figures are those of the users' two deployments: how popular experts are, how long
a copy takes, how many experts a rank holds. Passes are drawn one after another, each as
long as its most loaded rank needs, and each shows some choices of experts.
"""

from collections.abc import Iterator
from typing import NamedTuple

import numpy as np

from slatehoist.maps import Demand, Placement, skew

#: Exponent of the Zipf popularity of experts: the most popular one has 0.24 of the
#: choices and the second 0.1, as measured on both deployments.
ZIPF = 1.2
#: Seconds between two shifts, and part of the experts whose popularity is redrawn.
SHIFT_S = (3.0, 4.0)
SHIFT_RATIO = 0.5
#: Choices by set that one pass shows: neighbouring passes of steady demand differ by a
#: third, as measured.
CHOICES = 170
#: Seconds of a pass whose ranks are loaded evenly.
EVEN_PASS_S = 0.06


class Deployment(NamedTuple):
    """Group and what its maps may be.

    Attributes
    ----------
    copy_s : float
        Seconds for which a rank copies one expert.
    expert_gb : float
        Bytes of an expert in units of 1e9.
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
    """One pass: when it ended, its skew, what it showed, and what was true."""

    at: float
    skew: float
    counts: list[int]
    demand: Demand


class Group:
    """Group that runs passes on the placement in force.

    Parameters
    ----------
    seed : int
        Chooses the demand and its shifts, the same whatever the placement.
    """

    def __init__(self, deployment: Deployment, placement: Placement, seed: int) -> None:
        self.deployment = deployment
        self.placement = placement
        self.now = 0.0
        self.demand = []
        self._shifts = np.random.default_rng(seed)
        self._noise = np.random.default_rng(seed + 1)
        weights = 1 / np.arange(1, deployment.experts + 1) ** ZIPF
        self._shares = [
            self._shifts.permutation(weights / weights.sum())
            for _ in range(deployment.sets)
        ]
        self._next_shift = self._draw_shift()
        self._publish()

    def _draw_shift(self) -> float:
        return self.now + self._shifts.uniform(*SHIFT_S)

    def _publish(self) -> None:
        self.demand = [share.tolist() for share in self._shares]

    def passes(self, until: float) -> Iterator[Pass]:
        """Run passes until a time in seconds."""
        while self.now < until:
            if self.now >= self._next_shift:
                self._shift()
            value = skew(self.placement, self.demand)
            self.now += EVEN_PASS_S * value
            counts = [
                int(count)
                for share in self._shares
                for count in self._noise.multinomial(CHOICES, share)
            ]
            yield Pass(self.now, value, counts, self.demand)

    def _shift(self) -> None:
        self.now = max(self.now, self._next_shift)
        for share in self._shares:
            size = int(len(share) * SHIFT_RATIO)
            chosen = self._shifts.choice(len(share), size, replace=False)
            share[chosen] = share[self._shifts.permutation(chosen)]
        self._next_shift = self._draw_shift()
        self._publish()
