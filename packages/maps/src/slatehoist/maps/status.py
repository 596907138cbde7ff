"""Status of ranks, told by their agents to the gateways that subscribe."""

import msgspec

#: Seconds for which an agent tells its status to a subscriber.
SUBSCRIPTION_S = 5.0
#: Seconds between renewals of a subscription, so that two may be lost.
SUBSCRIPTION_RENEWAL_S = 1.6


class Subscription(msgspec.Struct, array_like=True, tag=1):
    """Wish to be told the status of a rank for a while."""

    subscriber: str


class RankStatus(msgspec.Struct, array_like=True, tag=2):
    """Load and speed of one rank.

    Attributes
    ----------
    address : str
        ``host:port`` at which the rank takes requests.
    is_open : bool
        Whether its group runs passes.
    pace : float
        Times that the rank needs as long as usual.
    """

    address: str
    is_open: bool
    running: int
    waiting: int
    pace: float
