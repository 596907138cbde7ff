"""Expert maps of lock-step groups: placements of experts on ranks, with a version."""

from slatehoist.maps.agent import Agent, AgentSettings, GroupSource
from slatehoist.maps.coordinator import PlanSettings, is_outdated
from slatehoist.maps.demand import DemandWindow
from slatehoist.maps.placement import (
    Demand,
    Placement,
    copies_by_rank,
    initial_placement,
    skew,
)
from slatehoist.maps.planner import PlanLimits, plan
from slatehoist.maps.rank import (
    Answer,
    Armed,
    GroupSpec,
    RankClient,
    RankCounts,
    RankReport,
    RankUnreachableError,
)
from slatehoist.maps.status import SUBSCRIPTION_RENEWAL_S, RankStatus, Subscription
from slatehoist.maps.switch import GroupView, Result, Switch

__all__ = [
    "SUBSCRIPTION_RENEWAL_S",
    "Agent",
    "AgentSettings",
    "Answer",
    "Armed",
    "Demand",
    "DemandWindow",
    "GroupSource",
    "GroupSpec",
    "GroupView",
    "Placement",
    "PlanLimits",
    "PlanSettings",
    "RankClient",
    "RankCounts",
    "RankReport",
    "RankStatus",
    "RankUnreachableError",
    "Result",
    "Subscription",
    "Switch",
    "copies_by_rank",
    "initial_placement",
    "is_outdated",
    "plan",
    "skew",
]
