"""Endpoints that asked for no requests or fewer: they leave, turn away, limit the rate.

An endpoint tells each gateway for itself, so holds are not shared. Unlike an ejection,
a hold is no failure, and it holds for every endpoint of a service at once.

An answer does not state when its endpoint started, and the list may still show an
earlier start then. A hold therefore belongs to the endpoint's id. Only a departure ends
with the listed start, and only when the list has certainly caught up.
"""

import logging
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from slatehoist.gateway.model import Endpoint, ReplyInfo
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import Membership, RateShares

log = logging.getLogger(__name__)

#: Endpoints that are remembered as leaving; the number only bounds the memory.
_MAX_LEAVING = 4096
#: Seconds after which the list shows the start of the process that answered.
_START_LISTED_S = 30.0
_UNKNOWN_END = float("inf")


class _Departure(NamedTuple):
    """Last answer in which an endpoint said that it leaves, and its start as listed."""

    at: float
    started_at_ms: int


class Hold(NamedTuple):
    """Hold of all endpoints of a service.

    Attributes
    ----------
    for_s : float
        Expected seconds until a request can be accepted.
    by_share : bool
        True if some endpoint takes requests, but this instance's share of its stated
        rate is used, so that another instance may serve the caller.
    """

    for_s: float
    by_share: bool


class EndpointHolds:
    """Track which endpoints get no requests from this instance, and until when."""

    def __init__(self, metrics: GatewayMetrics, rates: RateShares) -> None:
        self._metrics = metrics
        self._rates = rates
        #: Endpoints that are leaving, by id, in the order in which they said so first.
        self._leaving: OrderedDict[str, _Departure] = OrderedDict()
        #: Times until which endpoints turn requests away, by id.
        self._held_until: dict[str, float] = {}

    def record_membership(self, membership: Membership, now: float) -> None:
        """Record the instances that share the stated rates."""
        self._rates.set_members(membership.names, membership.joined_at, now)

    def record_reply(
        self, endpoint: Endpoint, info: ReplyInfo, now: float, sent_at: float
    ) -> None:
        """Record what the head of an endpoint's response asks for.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent.
        """
        name = endpoint.endpoint_id
        if info.leaving:
            if name not in self._leaving:
                self._log_start(endpoint, "leaving", None)
            self._leaving[name] = _Departure(now, endpoint.started_at_ms)
            if len(self._leaving) > _MAX_LEAVING:
                self._leaving.popitem(last=False)
        self._record_rate(endpoint, info, now, sent_at)
        if info.retry_after_s is None:
            return
        until = now + info.retry_after_s
        current = self._held_until.get(name, now)
        if until > current:
            self._held_until[name] = until
            if current <= now:
                self._log_start(endpoint, "retry_after", info.retry_after_s)

    def _record_rate(
        self, endpoint: Endpoint, info: ReplyInfo, now: float, sent_at: float
    ) -> None:
        rate = info.rate_limit
        if rate is None and info.states_rate_limit:
            # The value is unusable, so the last one stays.
            return
        if not self._rates.observe(endpoint.endpoint_id, rate, sent_at, now):
            return
        if rate is not None:
            self._log_start(endpoint, "rate_limit", None, rate)
        else:
            _log_end(endpoint.endpoint_id, "rate_limit")

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Record that a request is sent to an endpoint."""
        self._rates.record_sent(endpoint.endpoint_id, now)

    def cancel_sent(self, endpoint: Endpoint, sent_at: float) -> None:
        """Take back a request that `record_sent` has counted, since it is not sent."""
        self._rates.cancel_sent(endpoint.endpoint_id, sent_at)

    def asks_for_none(self, endpoint: Endpoint, now: float) -> bool:
        """Return True if an endpoint leaves, or turns requests away for some time."""
        return self._asked_end(endpoint, now) > now

    def rate_log_fields(self, endpoint: Endpoint, now: float) -> dict[str, object]:
        """Return the use of an endpoint's stated rate as log fields."""
        use = self._rates.use(endpoint.endpoint_id, now)
        if use is None:
            return {}
        return {
            "rate": use.rate,
            "rate_allowed": use.allowed,
            "rate_sent": use.sent,
            "rate_instances": use.instances,
        }

    def available(self, endpoints: Sequence[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that are not held."""
        self._drop_ended(now)
        if not (self._leaving or self._held_until or self._rates.is_limiting):
            return list(endpoints)
        return [e for e in endpoints if self._end(e, now) <= now]

    def find_hold(self, endpoints: Sequence[Endpoint], now: float) -> Hold | None:
        """Return the hold of a service's endpoints; None unless all are held.

        The result is also None if no hold has a known end: endpoints that are leaving
        never take requests again.
        """
        self._drop_ended(now)
        first = min((self._end(e, now) for e in endpoints), default=now)
        if first <= now or first == _UNKNOWN_END:
            return None
        limited = [e for e in endpoints if self._asked_end(e, now) <= now]
        if not limited:
            return Hold(first - now, by_share=False)
        uses = [self._rates.use(e.endpoint_id, now) for e in limited]
        total_rate = sum(use.rate for use in uses if use is not None)
        next_s = 1 / total_rate if total_rate > 0.0 else first - now
        return Hold(min(next_s, first - now), by_share=True)

    def _end(self, endpoint: Endpoint, now: float) -> float:
        """Return the time from which an endpoint takes requests; `now` if it does."""
        free_at = self._rates.free_at(endpoint.endpoint_id, now)
        return max(self._asked_end(endpoint, now), free_at)

    def _asked_end(self, endpoint: Endpoint, now: float) -> float:
        """Return the time until which an endpoint asked for no requests, or `now`."""
        name = endpoint.endpoint_id
        departure = self._leaving.get(name)
        if departure is not None and (
            departure.started_at_ms == endpoint.started_at_ms
            or now < departure.at + _START_LISTED_S
        ):
            return _UNKNOWN_END
        return max(self._held_until.get(name, now), now)

    def _drop_ended(self, now: float) -> None:
        ended = [name for name, until in self._held_until.items() if until <= now]
        for name in ended:
            del self._held_until[name]
            _log_end(name, "retry_after")

    def _log_start(
        self,
        endpoint: Endpoint,
        reason: str,
        seconds: float | None,
        rate: float | None = None,
    ) -> None:
        self._metrics.endpoint_holds.labels(reason).inc()
        log.info(
            "endpoint_held",
            extra={
                "endpoint": endpoint.endpoint_id,
                "started_at_ms": endpoint.started_at_ms,
                "address": endpoint.address,
                "reason": reason,
                "for_s": seconds,
                "rate": rate,
            },
        )


def _log_end(endpoint_id: str, reason: str) -> None:
    log.info("endpoint_hold_ended", extra={"endpoint": endpoint_id, "reason": reason})
