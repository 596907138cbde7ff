"""Expert map planner, with the baselines and the lower bound it is compared to."""

from slatehoist.experts.baselines import FullReplanner, StaticPlanner
from slatehoist.experts.bounds import lower_bound
from slatehoist.experts.forecast import forecast
from slatehoist.experts.placement import (
    NO_SLOT,
    initial_placement,
    largest_rank_load,
    moved_slots,
    split_load,
    step_skew,
)
from slatehoist.experts.planner import MoveCost, Planner

__all__ = [
    "NO_SLOT",
    "FullReplanner",
    "MoveCost",
    "Planner",
    "StaticPlanner",
    "forecast",
    "initial_placement",
    "largest_rank_load",
    "lower_bound",
    "moved_slots",
    "split_load",
    "step_skew",
]
