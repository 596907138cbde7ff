"""Shares of a rate limit that an endpoint states for all instances together.

An endpoint names the requests per second that it takes. Each instance learns that from
the answers that it gets, and keeps to a share without asking the others: the requests
that the rate allows in a window are dealt to the instances, ranked for each endpoint by
rendezvous hashing. The shares add up to the rate, also if it is lower than one request
per instance and window.
"""

import math
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from slatehoist.routing.hashing import rendezvous_weight
from slatehoist.routing.retries import ASSUMED_INSTANCES

#: Seconds over which a rate is kept. A longer window deals low rates more finely.
WINDOW_S = 4.0
#: Seconds over which bursts are limited, and the part of a window's share that may be
#: used in them: the rate may fall just after a burst.
BURST_S = 1.0
BURST_RATIO = 0.3
#: Lowest rate in requests per second for which a window of `WINDOW_S` allows a request.
_MIN_WINDOW_RATE = 1 / WINDOW_S


class RateUse(NamedTuple):
    """Use of a share of a stated rate.

    Attributes
    ----------
    rate : float
        Requests per second that the endpoint takes from all instances together.
    allowed, sent : int
        Requests that this instance may send in a window, and those that it sent in the
        current one.
    instances : int
        Instances that share the rate, as this one knows them.
    """

    rate: float
    allowed: int
    sent: int
    instances: int


class RateShares:
    """Keep the requests of this instance to its shares of the endpoints' rates.

    Parameters
    ----------
    instance : str
        Name of this instance.
    propagation_s : float
        Longest time in seconds until all instances know of a new one.
    """

    def __init__(self, instance: str, propagation_s: float) -> None:
        self._instance = instance
        self._propagation_s = propagation_s
        self._members: tuple[str, ...] = ()
        self._full_from = float("inf")
        #: Stated rates in requests per second, by endpoint.
        self._rates: dict[str, float] = {}
        #: Times of the requests to the endpoints that state a rate.
        self._sent: dict[str, deque[float]] = {}

    def set_members(self, names: Sequence[str], joined_at: float) -> None:
        """Set the instances that share the rates, and when this one joined them."""
        self._members = tuple(names)
        self._full_from = joined_at + self._propagation_s

    @property
    def is_limiting(self) -> bool:
        """Return True if any endpoint states a rate."""
        return bool(self._rates)

    def observe(self, endpoint: str, rate: float | None) -> bool:
        """Record the rate that an answer states, or None if it states none.

        Return True if the endpoint has begun or ceased to state one.
        """
        was_limited = endpoint in self._rates
        if rate is None:
            self._rates.pop(endpoint, None)
            self._sent.pop(endpoint, None)
        else:
            self._rates[endpoint] = rate
        return was_limited != (rate is not None)

    def record_sent(self, endpoint: str, now: float) -> None:
        """Count a request to an endpoint, if that states a rate."""
        if endpoint in self._rates:
            self._sent.setdefault(endpoint, deque()).append(now)

    def use(self, endpoint: str, now: float) -> RateUse | None:
        """Return the use of the share of an endpoint's rate; None without a rate."""
        rate = self._rates.get(endpoint)
        if rate is None:
            return None
        allowed = self._share(endpoint, max(1, int(rate * WINDOW_S)), now)
        sent = sum(now - at < WINDOW_S for at in self._sent.get(endpoint, ()))
        return RateUse(rate, allowed, sent, len(self._members))

    def free_at(self, endpoint: str, now: float) -> float:
        """Return the earliest time at which the share allows another request.

        The result is `now` if it is allowed at once, and infinite if this instance has
        no share as long as the rate and the instances stay the same.
        """
        rate = self._rates.get(endpoint)
        if rate is None:
            return now
        if rate <= 0.0:
            return float("inf")
        window_s = WINDOW_S if rate >= _MIN_WINDOW_RATE else 1 / rate
        allowed = self._share(endpoint, max(1, int(rate * window_s)), now)
        sent = self._sent.setdefault(endpoint, deque())
        while sent and now - sent[0] >= window_s:
            sent.popleft()
        if not allowed:
            return float("inf")
        burst = math.ceil(allowed * BURST_RATIO)
        free_at = now
        for count, length_s in ((allowed, window_s), (burst, BURST_S)):
            if len(sent) >= count:
                free_at = max(free_at, sent[-count] + length_s)
        return free_at

    def _share(self, endpoint: str, requests: int, now: float) -> int:
        """Return this instance's share of the requests that a window allows."""
        if now < self._full_from or self._instance not in self._members:
            # Other instances may not count this one yet.
            return requests // max(ASSUMED_INSTANCES, len(self._members))
        own = rendezvous_weight(endpoint, self._instance)
        rank = sum(rendezvous_weight(endpoint, m) > own for m in self._members)
        share, rest = divmod(requests, len(self._members))
        return share + (rank < rest)
