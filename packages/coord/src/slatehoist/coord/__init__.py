"""Coordination parts that others may embed: claims, leases, and the map switch.

What must be agreed is one conditional write in the platform's table. There is no
store and no consensus group of this package's own.
"""

from slatehoist.coord.batching import WriteBatcher
from slatehoist.coord.claims import Claim, ClaimState, ClaimStore
from slatehoist.coord.gates import Rank, RankGate, RankState, RankUnreachableError
from slatehoist.coord.leases import Lease, LeaseKeeper
from slatehoist.coord.switch import (
    GroupSwitch,
    RankPeer,
    Settlement,
    SettlementOutcome,
    SwitchFailedError,
    determine_settlement,
    settle_arm,
)

__all__ = [
    "Claim",
    "ClaimStore",
    "ClaimState",
    "GroupSwitch",
    "Lease",
    "LeaseKeeper",
    "Rank",
    "RankGate",
    "RankPeer",
    "RankState",
    "RankUnreachableError",
    "Settlement",
    "SwitchFailedError",
    "SettlementOutcome",
    "WriteBatcher",
    "determine_settlement",
    "settle_arm",
]
