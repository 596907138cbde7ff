"""Limits on the requests that cold endpoints get from all instances together.

An endpoint is cold for some seconds after its start, or from any moment on, and then
tolerates a stated rate only. Each instance keeps to its share of that rate without
asking the others; see `slatehoist.routing.rates`.

An endpoint that is not known to be cold may have become so without notice. It is
limited in the same way while other endpoints have free slots, and more loosely beyond
that: most endpoints are warm, and their work must go on.
"""

from collections import deque
from collections.abc import Collection, Sequence
from typing import NamedTuple

from slatehoist.routing.rates import RateShares, discard_time
from slatehoist.routing.selection import Candidate

#: Seconds in which the requests to a cold endpoint are counted. Longer windows would
#: deal low rates more finely, but the bound on cold endpoints holds in each second.
WINDOW_S = 1.0
#: Groups of instances that may deal the whole limit without knowing of each other: one
#: that has long been cut off from the store, and the others, which no longer count it.
#: It also covers a request that is sent up to a window later than it was decided.
_UNAWARE_GROUPS = 2
#: Seconds for which an endpoint that is listed as cold stays so beyond the listed time,
#: unless the list shows otherwise: a row is up to a heartbeat old, so the same time may
#: be read again after it has passed.
LISTED_MARGIN_S = 2.0
_NEVER = float("-inf")


class ColdLimit(NamedTuple):
    """Requests that all instances together may send to a cold endpoint in a window.

    Attributes
    ----------
    requests : int
        Requests that are dealt to the instances.
    most : int
        Requests that a cold endpoint may get at most.
    """

    requests: int
    most: int
    window_s: float


class ColdUse(NamedTuple):
    """Use of this instance's share of a cold endpoint's limit.

    Attributes
    ----------
    allowed, sent : int
        Requests that this instance may send in a window, and those that it sent in the
        current one.
    instances : int
        Instances that share the limit, as this one knows them.
    left_s : float
        Seconds for which the endpoint stays cold; 0 if it is not known to be cold.
    """

    allowed: int
    sent: int
    instances: int
    left_s: float


def make_cold_limit(rate: float, excess: float, slack: float) -> ColdLimit:
    """Return the limit that is dealt to the instances.

    It is the rate that the endpoint tolerates, or less, so that `_UNAWARE_GROUPS`
    together stay within `rate` times `excess` plus `slack` in each second.
    """
    most = rate * excess + slack
    dealt = min(rate, most / _UNAWARE_GROUPS)
    if dealt <= 0.0:
        return ColdLimit(0, 0, WINDOW_S)
    window_s = max(WINDOW_S, 1 / dealt)
    return ColdLimit(max(1, int(dealt * window_s)), max(1, int(most)), window_s)


class _EndpointState:
    """What is known of an endpoint's cold time, and the latest requests to it.

    Attributes
    ----------
    listed_until : float
        End of the cold time according to the latest list.
    stated_until, stated_at : float
        End of the cold time according to the endpoint's answers and its starts, and the
        time at which the latest of these was received.
    sent : deque of float
        Times of the requests in the current window.
    """

    __slots__ = ("listed_until", "sent", "stated_at", "stated_until")

    def __init__(self) -> None:
        self.listed_until = self.stated_until = self.stated_at = _NEVER
        self.sent: deque[float] = deque()

    @property
    def cold_until(self) -> float:
        """Return the end of the cold time."""
        return max(self.listed_until, self.stated_until)


class ColdStarts:
    """Track which endpoints are cold, and keep to this instance's shares of them.

    Parameters
    ----------
    shares : RateShares
        Deals limits to the instances.
    started_at : float
        Time at which this process started. The requests that an earlier process of the
        same instance sent just before are not known.
    """

    def __init__(self, shares: RateShares, started_at: float) -> None:
        self._shares = shares
        self._started_at = started_at
        self._states: dict[str, _EndpointState] = {}
        #: Endpoints that are known to be cold, or were until just now.
        self._cold: set[str] = set()

    @property
    def cold_count(self) -> int:
        """Return the number of endpoints that are known to be cold."""
        return len(self._cold)

    def record(
        self, endpoint: str, cold_s: float, now: float, sent_at: float = _NEVER
    ) -> bool:
        """Record for how long an endpoint stays cold; return True if it becomes cold.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent whose answer states this. Answers
            overtake each other, so one shortens the cold time only if its request was
            sent after the latest statement had arrived. Without the argument the time
            is never shortened.
        """
        if cold_s <= 0.0 and endpoint not in self._states:
            return False
        state = self._get_state(endpoint)
        until = now + cold_s
        if until > state.stated_until or sent_at >= state.stated_at:
            state.stated_until, state.stated_at = until, now
        return self._note_cold(endpoint, state, now)

    def record_listed(self, endpoint: str, cold_s: float, now: float) -> bool:
        """Record the cold time that the list shows; return True if it becomes cold.

        It replaces the one that was listed before, but no answer: the list is older.
        """
        if cold_s <= 0.0 and endpoint not in self._states:
            return False
        state = self._get_state(endpoint)
        state.listed_until = now + cold_s + LISTED_MARGIN_S if cold_s > 0.0 else _NEVER
        return self._note_cold(endpoint, state, now)

    def record_sent(self, endpoint: str, limit: ColdLimit, now: float) -> None:
        """Count a request to an endpoint."""
        sent = self._get_state(endpoint).sent
        sent.append(now)
        _drop_before(sent, now - limit.window_s)

    def cancel_sent(self, endpoint: str, sent_at: float) -> None:
        """Take back a request that `record_sent` has counted, since it is not sent."""
        state = self._states.get(endpoint)
        if state is not None:
            discard_time(state.sent, sent_at)

    def drop_ended(self, now: float) -> list[str]:
        """Return the endpoints whose cold time has ended since the last call."""
        if not self._cold:
            return []
        ended = [name for name in self._cold if not self.is_cold(name, now)]
        self._cold.difference_update(ended)
        return ended

    def forget_others(self, listed: Collection[str], now: float) -> None:
        """Drop the state of endpoints that are not listed and not cold."""
        for name in self._states.keys() - listed:
            if not self.is_cold(name, now):
                del self._states[name]
                self._cold.discard(name)

    def is_cold(self, endpoint: str, now: float) -> bool:
        """Return True if an endpoint is known to be cold."""
        state = self._states.get(endpoint)
        return state is not None and now < state.cold_until

    def available(
        self, endpoints: Sequence[str], limit: ColdLimit, now: float
    ) -> list[str]:
        """Return the endpoints without the cold ones whose share is used up."""
        if not self._cold:
            return list(endpoints)
        return [
            name
            for name in endpoints
            if not self.is_cold(name, now) or self._has_share(name, limit, now)
        ]

    def prefer(
        self, candidates: Sequence[Candidate], limit: ColdLimit, now: float
    ) -> list[Candidate]:
        """Return the candidates that a request may go to.

        They are those that keep to the limit even if they have become cold without
        notice. If none of these has a free slot, those are added that have one, and of
        which `limit.most` requests are dealt. More go to the candidates only if all of
        them have got more than the limit: then they are warm, or all are overloaded.

        An instance that others may not count yet has no shares. It takes endpoints to
        which it has sent nothing in the current window, so that its requests spread.

        Parameters
        ----------
        candidates : sequence of Candidate
            Candidates that `available` has returned.
        """
        within, beyond = [], []
        for candidate in candidates:
            has_share = self._has_share(candidate.name, limit, now)
            (within if has_share else beyond).append(candidate)
        if any(_has_free_slot(c) for c in within):
            return within
        free = [c for c in beyond if _has_free_slot(c)]
        if not self._is_counted(limit, now):
            unsent = [c for c in free if not self._count_sent(c.name, limit, now)]
            return unsent or free or list(candidates)
        within_most = [
            c
            for c in beyond
            if self._count_sent(c.name, limit, now)
            < self._shares.share(c.name, limit.most, now)
        ]
        preferred = within + [c for c in within_most if _has_free_slot(c)]
        return preferred or free or within_most or list(candidates)

    def use(self, endpoint: str, limit: ColdLimit, now: float) -> ColdUse:
        """Return the use of this instance's share of an endpoint's limit."""
        state = self._states.get(endpoint)
        return ColdUse(
            self._allowed(endpoint, limit, now),
            self._count_sent(endpoint, limit, now),
            self._shares.instances,
            max(0.0, state.cold_until - now) if state else 0.0,
        )

    def _get_state(self, endpoint: str) -> _EndpointState:
        state = self._states.get(endpoint)
        if state is None:
            state = self._states[endpoint] = _EndpointState()
        return state

    def _note_cold(self, endpoint: str, state: _EndpointState, now: float) -> bool:
        """Return True if an endpoint is cold and was not known to be so."""
        if now >= state.cold_until or endpoint in self._cold:
            return False
        self._cold.add(endpoint)
        return True

    def _has_share(self, endpoint: str, limit: ColdLimit, now: float) -> bool:
        sent = self._count_sent(endpoint, limit, now)
        return sent < self._allowed(endpoint, limit, now)

    def _allowed(self, endpoint: str, limit: ColdLimit, now: float) -> int:
        """Return the requests that this instance may send in a window."""
        if not self._is_counted(limit, now):
            return 0
        return self._shares.share(endpoint, limit.requests, now)

    def _is_counted(self, limit: ColdLimit, now: float) -> bool:
        """Return True if this instance has shares, and knows how much it used."""
        is_known = now - self._started_at >= limit.window_s
        return is_known and self._shares.is_counted(now)

    def _count_sent(self, endpoint: str, limit: ColdLimit, now: float) -> int:
        """Return the number of requests that were sent in the current window."""
        state = self._states.get(endpoint)
        if state is None:
            return 0
        _drop_before(state.sent, now - limit.window_s)
        return len(state.sent)


def _has_free_slot(candidate: Candidate) -> bool:
    """Return True if an endpoint probably runs another request at once."""
    load = max(candidate.own_inflight, candidate.reported_load)
    return load < candidate.concurrency


def _drop_before(times: deque[float], earliest: float) -> None:
    while times and times[0] <= earliest:
        times.popleft()
