"""Planner: decide which moves to make from the placement in use.

For each layer, the planner builds a path of single moves that starts at the placement
in use, and switches to the point of the path with the largest net gain. The net gain is
the weighted straggler time saved over the horizon, less the time lost while expert
weights are fetched. Whole sequences of moves are compared, since a single move saves
nothing while several ranks are equally loaded.

The path is built for the peak load of each expert over several recent readings, but its
points are scored on the mean over these readings, so that loads that oscillate cause
few moves. Changing a slot again soon after it was changed costs `COOLDOWN_GAIN` more.
"""

from collections.abc import Callable
from typing import NamedTuple

import numpy as np

from slatehoist.experts.forecast import forecast
from slatehoist.experts.moves import MoveResult, offload, reassign, swap
from slatehoist.experts.placement import EPSILON, split_load

#: Largest number of consecutive moves of each kind on a path.
MAX_REASSIGNMENTS = 64
MAX_SWAPS = 48
MAX_OFFLOADS = 12
#: Number of times that a path alternates between swaps and offloads.
REFINEMENTS = 2
#: Moves between two scored points of a path.
STRIDE = 4
#: Iterations of the split after each swap or offload, and when a point is scored.
PATH_SPLIT_ROUNDS = 3
SCORE_SPLIT_ROUNDS = 10
#: Number of newest readings that a point is scored on, besides the forecast.
SCORED_READINGS = 3
#: Number of plans for which a changed slot costs more to change again.
COOLDOWN_PLANS = 10
#: Additional gain, in mean rank loads, that changing such a slot must bring.
COOLDOWN_GAIN = 0.02


class MoveCost(NamedTuple):
    """Cost of a move, and the time for which its gain lasts.

    Attributes
    ----------
    expert_bytes : float
        Size of one expert's weights in one layer.
    store_rate : float
        Bytes per second that the weight store delivers to the group.
    slow_down : float
        Fraction by which steps are slower while weights are fetched.
    horizon_s : float
        Seconds for which a gain is expected to last.
    """

    expert_bytes: float = 44e6
    store_rate: float = 4e9
    slow_down: float = 0.05
    horizon_s: float = 300.0

    def min_gain(self, skew_weight: float) -> float:
        """Return the fraction of a step's time that a move must save to be worth it."""
        fetch_s = self.expert_bytes / self.store_rate
        return self.slow_down * fetch_s / (self.horizon_s * skew_weight)


class Planner:
    """Plans moves from the placement in use.

    Parameters
    ----------
    cost : MoveCost
    skew_weight : float
        Weight of saved straggler time relative to the cost of moves.
    """

    def __init__(self, cost: MoveCost, skew_weight: float) -> None:
        self.cost = cost
        self.skew_weight = skew_weight
        self._changed_at: np.ndarray | None = None
        self._plans = 0

    def plan(
        self, placement: np.ndarray, readings: np.ndarray, ahead: int = 1
    ) -> np.ndarray:
        """Return the placement to switch to.

        It equals the placement in use where no sequence of moves has a net gain.

        Parameters
        ----------
        placement : ndarray of int, shape (layers, ranks, slots)
        readings : ndarray of float, shape (readings, layers, experts)
            Recent readings of the experts' loads, the newest last.
        ahead : int
            Periods from the newest reading to the period that is planned for.
        """
        self._plans += 1
        if self._changed_at is None:
            self._changed_at = np.full(placement.shape, -COOLDOWN_PLANS)
        predicted = forecast(readings, ahead)[None]
        readings = np.concatenate([readings[-SCORED_READINGS:], predicted])
        readings = _normalised(readings, placement.shape[1])
        peaks = _normalised(readings.max(axis=0)[None], placement.shape[1])[0]
        path = self._build_path(placement, peaks)
        chosen = self._best_point(path, readings)
        self._changed_at[chosen != placement] = self._plans
        return chosen

    def _build_path(self, placement: np.ndarray, loads: np.ndarray) -> "_Path":
        """Return a path of reassignments, followed by swaps and offloads in turn."""
        recent = self._plans - self._changed_at < COOLDOWN_PLANS
        min_gain = self._min_move_gain(len(placement))
        path = _Path(placement, np.where(recent, min_gain + COOLDOWN_GAIN, min_gain))
        path.extend(
            lambda subset, cost, index: reassign(subset, loads[index], cost),
            MAX_REASSIGNMENTS,
        )
        for _ in range(REFINEMENTS):
            for move, max_moves in ((swap, MAX_SWAPS), (offload, MAX_OFFLOADS)):
                path.extend(_with_split(move, path.end, loads), max_moves)
        return path

    def _best_point(self, path: "_Path", readings: np.ndarray) -> np.ndarray:
        """Return, for each layer, the point of its path with the largest net gain."""
        layers = readings.shape[1]
        score = np.stack(
            [
                -_mean_peak_load(point, readings) - cost
                for point, cost in zip(path.points, path.costs, strict=True)
            ]
        )
        best = score.argmax(axis=0)
        row = np.arange(layers)
        return np.stack(path.points)[best, row]

    def _min_move_gain(self, layers: int) -> float:
        """Return the smallest decrease of a layer's largest rank load for one move.

        The unit is the mean rank load of a layer.
        """
        return self.cost.min_gain(self.skew_weight) * layers


class _Path:
    """Placements reached by moves from the one in use, and the cost to reach each."""

    def __init__(self, placement: np.ndarray, slot_cost: np.ndarray) -> None:
        self.end = placement.copy()
        self.points = [placement.copy()]
        self.costs = [np.zeros(len(placement))]
        self._start = placement
        self._slot_cost = slot_cost

    def extend(self, move: Callable, max_moves: int) -> None:
        """Make at most ``max_moves`` moves of one kind in each layer."""
        active = np.arange(len(self.end))
        for count in range(1, max_moves + 1):
            subset = self.end[active]
            moved = move(subset, self._slot_cost[active], active)
            self.end[active] = subset
            active = active[moved.made]
            if not len(active):
                break
            if count % STRIDE == 0:
                self.add_point()
        self.add_point()

    def add_point(self) -> None:
        """Add the end of the path to the points that are scored.

        Only slots whose expert the rank does not hold at the start add to the cost.
        """
        changed = self.end != self._start
        held = (self.end[..., :, None] == self._start[..., None, :]).any(axis=-1)
        cost = np.where(changed & ~held, self._slot_cost, 0.0).sum(axis=(1, 2))
        if not np.array_equal(self.end, self.points[-1]):
            self.points.append(self.end.copy())
            self.costs.append(cost)


def _with_split(move: Callable, placement: np.ndarray, loads: np.ndarray) -> Callable:
    """Return a kind of move that also keeps the split of the loads up to date."""
    carried = split_load(placement, loads)

    def move_and_split(
        subset: np.ndarray, cost: np.ndarray, index: np.ndarray
    ) -> MoveResult:
        load = carried[index]
        moved = move(subset, load, cost)
        carried[index] = split_load(subset, loads[index], PATH_SPLIT_ROUNDS, load)
        return moved

    return move_and_split


def _normalised(readings: np.ndarray, ranks: int) -> np.ndarray:
    """Return the readings scaled so that each layer's mean rank load is 1."""
    total = readings.sum(axis=2, keepdims=True)
    return readings * (ranks / np.maximum(total, EPSILON))


def _mean_peak_load(placement: np.ndarray, readings: np.ndarray) -> np.ndarray:
    """Return each layer's largest rank load, averaged over the readings."""
    count, layers, experts = readings.shape
    tiled = np.broadcast_to(placement, (count, *placement.shape))
    flat = tiled.reshape(count * layers, *placement.shape[1:])
    loads = readings.reshape(-1, experts)
    carried = split_load(flat, loads, SCORE_SPLIT_ROUNDS)
    return carried.sum(axis=2).max(axis=1).reshape(count, layers).mean(axis=0)
