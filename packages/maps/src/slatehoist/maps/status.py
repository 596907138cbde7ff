"""Status of ranks, which agents send to the gateways that subscribe to it."""

import msgspec

#: Lease of a subscription: seconds after which an agent removes a subscriber that has
#: not renewed it.
SUBSCRIPTION_TTL_S = 5.0
#: Seconds between renewals of a subscription; two renewals in a row may be lost.
SUBSCRIPTION_RENEWAL_S = 1.6


class Subscription(msgspec.Struct, array_like=True, tag=1):
    """Request of a gateway for the status of a rank, valid for `SUBSCRIPTION_TTL_S`.

    Attributes
    ----------
    demand : float
        Requests per second that the gateway has for this rank and its like; 0 if it
        uses no allocated slots. Older gateways do not state it, and older agents ignore
        it.
    """

    subscriber: str
    demand: float = 0.0


class RankStatus(msgspec.Struct, array_like=True, tag=2):
    """Load and speed of one rank.

    Attributes
    ----------
    address : str
        ``host:port`` at which the rank takes requests.
    is_open : bool
        True if the rank's group runs passes.
    running, waiting : int
        Requests in progress, and requests in the queue.
    pace : float
        Slowdown factor: duration of the rank's work relative to its usual duration.
    allocated : int
        Free slots that the receiver may fill until the next status. Older agents do not
        state it, and older gateways ignore it.
    """

    address: str
    is_open: bool
    running: int
    waiting: int
    pace: float
    allocated: int = 0
