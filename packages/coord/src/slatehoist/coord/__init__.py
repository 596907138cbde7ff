"""Leases, claims of idempotency keys, and the switch of a group's expert map.

Leases, claims and the choice of a group's next map are conditional writes to the
platform's table; this package runs no store and no consensus protocol of its own. The
step at which a group switches is decided by a two-phase commit over its ranks.
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
