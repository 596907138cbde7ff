"""Shares of a rate limit that an endpoint states for all instances together.

An endpoint names the requests per second that it takes. Each instance learns that from
the answers that it gets, and keeps to a share without asking the others: the requests
that the rate allows in a window are dealt to the instances, ranked for each endpoint by
rendezvous hashing. The shares add up to the rate, also if it is lower than one request
per instance and window.

Answers can arrive late and overtake each other. One shows what the endpoint said after
another only if its request was sent after that other had arrived. An answer therefore
ends or raises a rate only in this order, and otherwise the lower of both rates holds.
Single answers may lack the rate, so it ends only when none has stated it for a while.
"""

import contextlib
import math
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import NamedTuple

from slatehoist.routing.hashing import rendezvous_weight

#: Seconds over which a rate is kept. A longer window deals low rates more finely.
WINDOW_S = 4.0
#: Seconds over which bursts are limited, and the part of a window's share that may be
#: used in them: the rate may fall just after a burst.
BURST_S = 1.0
BURST_RATIO = 0.3
#: Lowest rate in requests per second for which a window of `WINDOW_S` allows a request.
_MIN_WINDOW_RATE = 1 / WINDOW_S
#: Rate in requests per second below which the time between two requests is that of this
#: rate; it bounds the record of the requests sent.
_MIN_RATE = 1e-3
#: Seconds after the first answer without a rate from which another one ends the rate.
CONFIRM_S = 1.0
#: Seconds between the trials of all instances without a share: at least, at most, and
#: otherwise the time in which the rate allows one request. A trial is a request whose
#: answer shows whether the rate still holds.
MIN_TRIAL_S = 8.0
MAX_TRIAL_S = 30.0
#: Seconds from the begin of an instance's turn in which it may send its trial.
TRIAL_OPEN_S = 2.0
_NEVER = float("inf")
#: Endpoints that are remembered, of those that stated a rate and of those whose rank is
#: known; only bounds the memory.
_MAX_ENDPOINTS = 4096


class _StatedRate:
    """Rate that an endpoint states, and the requests that were sent to it since.

    Attributes
    ----------
    rate : float or None
        None if the endpoint states none any more. The requests are kept, as it may
        state one again within the window.
    since : float
        Time at which the endpoint began to state a rate.
    stated_at : float
        Time at which the last answer with any rate arrived.
    rate_at : float
        Time at which the last answer with this rate or a lower one arrived.
    lacked_at : float or None
        Time at which an answer without a rate arrived, of a request that was sent after
        `stated_at`; None if there was none.
    """

    __slots__ = (
        "lacked_at",
        "last_sent_at",
        "rate",
        "rate_at",
        "sent",
        "since",
        "stated_at",
    )

    def __init__(self) -> None:
        self.rate: float | None = None
        self.sent: deque[float] = deque()
        self.last_sent_at = float("-inf")
        self.since = self.stated_at = self.rate_at = float("-inf")
        self.lacked_at: float | None = None

    def observe(self, rate: float, sent_at: float, now: float) -> None:
        """Record an answer with a rate."""
        if self.rate is None:
            self.since = now
        if self.rate is None or rate <= self.rate or sent_at >= self.rate_at:
            self.rate, self.rate_at = rate, now
        self.stated_at = now
        self.lacked_at = None

    def observe_none(self, sent_at: float, now: float) -> None:
        """Record an answer without a rate."""
        if self.lacked_at is None:
            if sent_at >= self.stated_at:
                self.lacked_at = now
        elif sent_at >= self.lacked_at + CONFIRM_S:
            self.rate = None


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
        self._full_from = _NEVER
        #: Endpoints that state a rate or did, least recently stated first.
        self._stated: OrderedDict[str, _StatedRate] = OrderedDict()
        #: Ranks by endpoint, for the current members.
        self._ranks: dict[str, int] = {}

    def set_members(
        self, names: Sequence[str], joined_at: float, counted_at: float
    ) -> None:
        """Set the instances that share the rates, as counted at a time.

        Parameters
        ----------
        joined_at : float
            Time at which this instance joined them. Those that joined together with it
            may be missing from a count that was made just then.
        """
        members = tuple(names)
        if members != self._members:
            self._members = members
            self._ranks.clear()
        is_recent = counted_at - joined_at < self._propagation_s / 2
        self._full_from = _NEVER if is_recent else joined_at + self._propagation_s

    @property
    def instances(self) -> int:
        """Return the number of instances that share the rates."""
        return len(self._members)

    @property
    def is_limiting(self) -> bool:
        """Return True if any endpoint states a rate."""
        return any(stated.rate is not None for stated in self._stated.values())

    def observe(
        self, endpoint: str, rate: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the rate that an answer states, or None if it states none.

        Return True if the endpoint has begun or ceased to state one.

        Parameters
        ----------
        sent_at : float
            Time at which the request of the answer was sent.
        """
        stated = self._stated.get(endpoint)
        if stated is None:
            if rate is None:
                return False
            stated = self._stated[endpoint] = _StatedRate()
            if len(self._stated) > _MAX_ENDPOINTS:
                self._stated.popitem(last=False)
        was_limited = stated.rate is not None
        if rate is None:
            stated.observe_none(sent_at, now)
        else:
            stated.observe(rate, sent_at, now)
            self._stated.move_to_end(endpoint)
        return was_limited != (stated.rate is not None)

    def record_sent(self, endpoint: str, now: float) -> None:
        """Count a request to an endpoint, if that states a rate or did."""
        stated = self._stated.get(endpoint)
        if stated is None:
            return
        stated.sent.append(now)
        stated.last_sent_at = now
        if stated.rate is None:
            _drop_before(stated.sent, now - WINDOW_S)

    def cancel_sent(self, endpoint: str, sent_at: float) -> None:
        """Take back a request that `record_sent` has counted, since it is not sent.

        The time of the last trial stays: a trial that was not sent is made later.
        """
        stated = self._stated.get(endpoint)
        if stated is not None:
            discard_time(stated.sent, sent_at)

    def use(self, endpoint: str, now: float) -> RateUse | None:
        """Return the use of the share of an endpoint's rate; None without a rate."""
        stated = self._stated.get(endpoint)
        if stated is None or stated.rate is None:
            return None
        allowed = self.share(endpoint, max(1, int(stated.rate * WINDOW_S)), now)
        sent = sum(now - at < WINDOW_S for at in stated.sent)
        return RateUse(stated.rate, allowed, sent, len(self._members))

    def free_at(self, endpoint: str, now: float) -> float:
        """Return the earliest time at which the share allows another request.

        The result is `now` if it is allowed at once. An instance without a share may
        send trials; without them it would never learn that the rate has ended.
        """
        stated = self._stated.get(endpoint)
        if stated is None or stated.rate is None:
            return now
        rate, sent = stated.rate, stated.sent
        window_s = WINDOW_S if rate >= _MIN_WINDOW_RATE else 1 / max(rate, _MIN_RATE)
        _drop_before(sent, now - max(window_s, WINDOW_S))
        requests = max(1, int(rate * window_s)) if rate > 0.0 else 0
        allowed = self.share(endpoint, requests, now)
        if not allowed:
            return self._trial_at(endpoint, stated, now)
        burst = math.ceil(allowed * BURST_RATIO)
        free_at = now
        for count, length_s in ((allowed, window_s), (burst, BURST_S)):
            if len(sent) >= count:
                free_at = max(free_at, sent[-count] + length_s)
        return free_at

    def _trial_at(self, endpoint: str, stated: _StatedRate, now: float) -> float:
        """Return the time of the next trial; `now` if one is due.

        The trials of all instances follow each other in turns of a common length, in
        the order of their ranks. An instance that has nothing to send in its turn waits
        for the next one, so that trials do not add up. An answer without a rate may be
        followed at once by the request that confirms its end. An instance that others
        may not count yet has no turn.
        """
        if not self.is_counted(now):
            return max(now, min(self._full_from, now + self._propagation_s))
        sent_at = stated.last_sent_at
        if stated.lacked_at is not None and sent_at < stated.lacked_at + CONFIRM_S:
            return max(now, stated.lacked_at + CONFIRM_S)
        turn_s = 1 / max(stated.rate, _MIN_RATE)
        turn_s = min(max(turn_s, MIN_TRIAL_S), MAX_TRIAL_S)
        period_s = turn_s * len(self._members)
        first_at = stated.since + turn_s * (self._rank(endpoint) + 1)
        if now < first_at:
            return first_at
        began_at = first_at + (now - first_at) // period_s * period_s
        if sent_at < began_at and now < began_at + TRIAL_OPEN_S:
            return now
        return began_at + period_s

    def is_counted(self, now: float) -> bool:
        """Return True if all instances can have counted this one."""
        return now >= self._full_from and self._instance in self._members

    def _rank(self, endpoint: str) -> int:
        """Return the position of this instance among those that share a rate."""
        rank = self._ranks.get(endpoint)
        if rank is None:
            if len(self._ranks) >= _MAX_ENDPOINTS:
                self._ranks.clear()
            own = rendezvous_weight(endpoint, self._instance)
            rank = sum(rendezvous_weight(endpoint, m) > own for m in self._members)
            self._ranks[endpoint] = rank
        return rank

    def share(self, endpoint: str, requests: int, now: float) -> int:
        """Return this instance's share of the requests that a window allows in total.

        It has none until all instances can have counted it: any number of instances may
        have joined together with it.
        """
        if not self.is_counted(now):
            return 0
        share, rest = divmod(requests, len(self._members))
        return share + (self._rank(endpoint) < rest)


def discard_time(times: deque[float], at: float) -> None:
    """Remove one entry of a time, if there is one."""
    with contextlib.suppress(ValueError):
        times.remove(at)


def _drop_before(times: deque[float], earliest: float) -> None:
    while times and times[0] <= earliest:
        times.popleft()
