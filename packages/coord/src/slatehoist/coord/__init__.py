"""Coordination for embedding: leases, claims of idempotency keys, and the map switch.

Every decision that processes must agree on is one conditional write to the platform's
table. This package runs no store and no consensus protocol of its own.
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
