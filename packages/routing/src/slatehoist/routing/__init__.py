"""Where, when and how often a request runs; decisions without clocks or I/O."""

from slatehoist.routing.affinity import PrefixIndex, prefix_keys
from slatehoist.routing.allocation import CapacityAllocator
from slatehoist.routing.cold_starts import (
    ColdLimit,
    ColdStarts,
    ColdUse,
    make_cold_limit,
)
from slatehoist.routing.crashes import RETENTION_S as CRASH_RETENTION_S
from slatehoist.routing.crashes import CrashTally
from slatehoist.routing.fairness import FairQueue, Ticket
from slatehoist.routing.limits import (
    AdaptiveLimit,
    QuotaHolder,
    QuotaHome,
    QuotaShare,
    TokenBucket,
    home_entry,
)
from slatehoist.routing.load_estimate import EvenChooser, ZoneDemand
from slatehoist.routing.placement import (
    Placement,
    Unplaced,
    ZoneChanges,
    ZoneEvacuations,
)
from slatehoist.routing.prompt_parts import (
    CONVICTION_S,
    PROOF_S,
    PartConviction,
    PartTally,
    PromptPart,
)
from slatehoist.routing.rates import RateShares, RateUse, discard_time
from slatehoist.routing.retries import (
    AllowanceShare,
    Membership,
    RetryBudget,
    RetryReservation,
    SharedRetryBudget,
    retry_after_s,
    retry_delay_s,
)
from slatehoist.routing.selection import (
    Candidate,
    Chooser,
    LoadAwareChooser,
    may_fail_fast,
)
from slatehoist.routing.subset import Peer, choose_subset, subset_size
from slatehoist.routing.suspects import (
    HOLD_CRASHES,
    Crash,
    SuspectStatus,
    SuspectTracker,
)

__all__ = [
    "CONVICTION_S",
    "CRASH_RETENTION_S",
    "HOLD_CRASHES",
    "PROOF_S",
    "AdaptiveLimit",
    "AllowanceShare",
    "Candidate",
    "CapacityAllocator",
    "Chooser",
    "ColdLimit",
    "ColdStarts",
    "ColdUse",
    "Crash",
    "CrashTally",
    "EvenChooser",
    "FairQueue",
    "LoadAwareChooser",
    "Membership",
    "PartConviction",
    "PartTally",
    "Peer",
    "Placement",
    "PrefixIndex",
    "PromptPart",
    "QuotaHolder",
    "QuotaHome",
    "QuotaShare",
    "RateShares",
    "RateUse",
    "RetryBudget",
    "RetryReservation",
    "SharedRetryBudget",
    "SuspectStatus",
    "SuspectTracker",
    "Ticket",
    "TokenBucket",
    "Unplaced",
    "ZoneChanges",
    "ZoneEvacuations",
    "ZoneDemand",
    "choose_subset",
    "discard_time",
    "home_entry",
    "make_cold_limit",
    "may_fail_fast",
    "prefix_keys",
    "retry_after_s",
    "retry_delay_s",
    "subset_size",
]
