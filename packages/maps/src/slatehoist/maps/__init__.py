"""Expert maps of lock-step groups."""

from slatehoist.maps.agent import Agent, AgentSettings, GroupSource
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
from slatehoist.maps.status import RENEWAL_S, RankStatus, Subscription
from slatehoist.maps.switch import GroupView, Result, Switch

__all__ = [
    "Agent",
    "AgentSettings",
    "Answer",
    "Armed",
    "GroupSource",
    "GroupSpec",
    "GroupView",
    "PlanLimits",
    "RankClient",
    "RankCounts",
    "RankReport",
    "RankStatus",
    "RankUnreachableError",
    "RENEWAL_S",
    "Result",
    "Subscription",
    "Switch",
    "plan",
]
