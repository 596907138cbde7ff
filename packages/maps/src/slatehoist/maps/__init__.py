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
    "RankUnreachableError",
    "Result",
    "Switch",
    "plan",
]
