"""Coordination parts that others may embed: claims, leases, and the map switch.

What must be agreed is one conditional write in the platform's table. There is no
store and no consensus group of this package's own.
"""

from slatehoist.coord.batching import WriteBatcher
from slatehoist.coord.claims import Claim, ClaimBook, ClaimState
from slatehoist.coord.gates import Rank, RankGate, RankState, RankUnreachableError
from slatehoist.coord.leases import Lease, LeaseKeeper
from slatehoist.coord.switch import (
    GroupSwitch,
    RankPeer,
    Settlement,
    SwitchFailedError,
    Verdict,
    judge,
    settle,
)

__all__ = [
    "Claim",
    "ClaimBook",
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
    "Verdict",
    "WriteBatcher",
    "judge",
    "settle",
]
