"""Planner: the cheapest moves that pay, from today's map.

For each layer a path of single moves is laid out from the placement in use. Then the
stretch of the path is taken that pays best: straggler time saved over the horizon,
weighted, less the time that fetching the weights costs. A whole stretch is weighed at
once, since with several ranks equally loaded the first move alone saves nothing.

The path is laid out for the peaks of several recent readings and weighed on their
average, so that a swing to and fro moves little, and a slot that was changed lately
costs several times as much to change again.
"""

from collections.abc import Callable
from typing import NamedTuple

import numpy as np

from slatehoist.experts.forecast import forecast
from slatehoist.experts.moves import Moved, exchange, relieve, swap
from slatehoist.experts.placement import TINY, split_load

#: Moves of each kind on a path at most.
MAX_EXCHANGES = 64
MAX_SWAPS = 48
MAX_RELIEFS = 12
#: Times that swaps and reliefs follow each other on a path.
REFINEMENTS = 2
#: Moves between two points of a path that are weighed.
STRIDE = 4
#: Rounds of the split after each swap, and when a point is weighed.
PATH_SPLIT_ROUNDS = 3
WEIGH_SPLIT_ROUNDS = 10
#: Newest readings that a point is weighed on, besides the forecast.
WEIGHED_READINGS = 3
#: Plans during which a changed slot costs more to change again.
SETTLE_PLANS = 10
#: Gain, in mean rank loads, that changing such a slot must bring in any case.
SETTLE_GAIN = 0.02


class MoveCost(NamedTuple):
    """What a move costs and how long its gain lasts.

    Attributes
    ----------
    expert_bytes : float
        Size of one expert's weights in one layer.
    store_rate : float
        Bytes a second that the weight store gives to the group.
    slow_down : float
        Part by which steps are slower while weights are fetched.
    horizon_s : float
        Seconds for which a gain is expected to last.
    """

    expert_bytes: float = 44e6
    store_rate: float = 4e9
    slow_down: float = 0.05
    horizon_s: float = 300.0

    def least_gain(self, skew_weight: float) -> float:
        """Give the part of a step's time that one move must save to pay."""
        fetch_s = self.expert_bytes / self.store_rate
        return self.slow_down * fetch_s / (self.horizon_s * skew_weight)


class Planner:
    """Plan moves from the placement in use.

    Parameters
    ----------
    cost : MoveCost
    skew_weight : float
        Weight of saved straggler time against the cost of moves.
    """

    def __init__(self, cost: MoveCost, skew_weight: float) -> None:
        self.cost = cost
        self.skew_weight = skew_weight
        self._changed_at: np.ndarray | None = None
        self._plans = 0

    def plan(
        self, placement: np.ndarray, readings: np.ndarray, ahead: int = 1
    ) -> np.ndarray:
        """Give the placement to switch to; equal to the old one if no move pays.

        Parameters
        ----------
        placement : ndarray of int, shape (layers, ranks, slots)
        readings : ndarray of float, shape (readings, layers, experts)
            Recent readings of the experts' loads, the newest last.
        ahead : int
            Periods from the newest reading to the one that is planned for.
        """
        self._plans += 1
        if self._changed_at is None:
            self._changed_at = np.full(placement.shape, -SETTLE_PLANS)
        told = forecast(readings, ahead)[None]
        readings = np.concatenate([readings[-WEIGHED_READINGS:], told])
        readings = _normalised(readings, placement.shape[1])
        peaks = _normalised(readings.max(axis=0)[None], placement.shape[1])[0]
        path = self._lay_out(placement, peaks)
        chosen = self._best_point(path, readings)
        self._changed_at[chosen != placement] = self._plans
        return chosen

    def _lay_out(self, placement: np.ndarray, loads: np.ndarray) -> "_Path":
        """Lay out a path of moves, the most useful kinds first."""
        fresh = self._plans - self._changed_at < SETTLE_PLANS
        price = self._price(len(placement))
        path = _Path(placement, np.where(fresh, price + SETTLE_GAIN, price))
        path.walk(lambda part, cost, at: exchange(part, loads[at], cost), MAX_EXCHANGES)
        for _ in range(REFINEMENTS):
            for move, most in ((swap, MAX_SWAPS), (relieve, MAX_RELIEFS)):
                path.walk(_splitting(move, path.end, loads), most)
        return path

    def _best_point(self, path: "_Path", readings: np.ndarray) -> np.ndarray:
        """Take, for each layer, the point of its path that pays best."""
        layers = readings.shape[1]
        worth = np.stack(
            [
                -_mean_largest(point, readings) - cost
                for point, cost in zip(path.points, path.costs, strict=True)
            ]
        )
        best = worth.argmax(axis=0)
        row = np.arange(layers)
        return np.stack(path.points)[best, row]

    def _price(self, layers: int) -> float:
        """Give the fall of a layer's largest load that one move must bring.

        The unit is the mean rank load of a layer.
        """
        return self.cost.least_gain(self.skew_weight) * layers


class _Path:
    """Placements on the way from the one in use, with what it costs to get there."""

    def __init__(self, placement: np.ndarray, slot_cost: np.ndarray) -> None:
        self.end = placement.copy()
        self.points = [placement.copy()]
        self.costs = [np.zeros(len(placement))]
        self._start = placement
        self._slot_cost = slot_cost

    def walk(self, move: Callable, most: int) -> None:
        """Make moves of one kind in all layers, until none has one left."""
        active = np.arange(len(self.end))
        for count in range(1, most + 1):
            part = self.end[active]
            moved = move(part, self._slot_cost[active], active)
            self.end[active] = part
            active = active[moved.made]
            if not len(active):
                break
            if count % STRIDE == 0:
                self.mark()
        self.mark()

    def mark(self) -> None:
        """Make the present end a point that is weighed."""
        changed = self.end != self._start
        held = (self.end[..., :, None] == self._start[..., None, :]).any(axis=-1)
        cost = np.where(changed & ~held, self._slot_cost, 0.0).sum(axis=(1, 2))
        if not np.array_equal(self.end, self.points[-1]):
            self.points.append(self.end.copy())
            self.costs.append(cost)


def _splitting(move: Callable, placement: np.ndarray, loads: np.ndarray) -> Callable:
    """Make a kind of move that needs the split, which follows each move."""
    carried = split_load(placement, loads)

    def moving(part: np.ndarray, cost: np.ndarray, at: np.ndarray) -> Moved:
        load = carried[at]
        moved = move(part, load, cost)
        carried[at] = split_load(part, loads[at], PATH_SPLIT_ROUNDS, load)
        return moved

    return moving


def _normalised(readings: np.ndarray, ranks: int) -> np.ndarray:
    """Scale each reading's layer so that the mean rank load is 1."""
    total = readings.sum(axis=2, keepdims=True)
    return readings * (ranks / np.maximum(total, TINY))


def _mean_largest(placement: np.ndarray, readings: np.ndarray) -> np.ndarray:
    """Give each layer's largest rank load, averaged over the readings."""
    count, layers, experts = readings.shape
    tiled = np.broadcast_to(placement, (count, *placement.shape))
    flat = tiled.reshape(count * layers, *placement.shape[1:])
    loads = readings.reshape(-1, experts)
    carried = split_load(flat, loads, WEIGH_SPLIT_ROUNDS)
    return carried.sum(axis=2).max(axis=1).reshape(count, layers).mean(axis=0)
