"""Endpoints that asked for no requests or fewer: they leave, turn away, limit the rate.

An endpoint tells each gateway for itself, so holds are not shared. Unlike an ejection,
a hold is no failure, and it holds for every endpoint of a service at once.
"""

import logging
from collections import OrderedDict
from collections.abc import Sequence

from slatehoist.gateway.model import Endpoint, ReplyInfo
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import RateShares

log = logging.getLogger(__name__)

#: Endpoints that are remembered as leaving. They do not come back under the same id
#: and start time, so the number only bounds the memory.
_MAX_LEAVING = 4096
_UNKNOWN_END = float("inf")


class EndpointHolds:
    """Track which endpoints get no requests from this instance, and until when."""

    def __init__(self, metrics: GatewayMetrics, rates: RateShares) -> None:
        self._metrics = metrics
        self._rates = rates
        #: Endpoints that are leaving, in the order in which they said so first.
        self._leaving: OrderedDict[str, None] = OrderedDict()
        #: Times until which other endpoints are held.
        self._held_until: dict[str, float] = {}

    def record_reply(self, endpoint: Endpoint, info: ReplyInfo, now: float) -> None:
        """Record what the head of an endpoint's response asks for."""
        run_id = endpoint.run_id
        if info.leaving and run_id not in self._leaving:
            self._leaving[run_id] = None
            if len(self._leaving) > _MAX_LEAVING:
                self._leaving.popitem(last=False)
            self._log_start(endpoint, "leaving", None)
        self._record_rate(endpoint, info)
        if info.retry_after_s is None:
            return
        until = now + info.retry_after_s
        current = self._held_until.get(run_id, now)
        if until > current:
            self._held_until[run_id] = until
            if current <= now:
                self._log_start(endpoint, "retry_after", info.retry_after_s)

    def _record_rate(self, endpoint: Endpoint, info: ReplyInfo) -> None:
        rate = info.rate_limit
        if rate is None and info.states_rate_limit:
            # The value is unusable, so the last one stays.
            return
        if not self._rates.observe(endpoint.run_id, rate):
            return
        if rate is not None:
            self._log_start(endpoint, "rate_limit", None)
        else:
            log.info("endpoint_hold_ended", extra={"endpoint": endpoint.run_id})

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Record that a request is sent to an endpoint."""
        self._rates.record_sent(endpoint.run_id, now)

    def available(self, endpoints: Sequence[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that are not held."""
        self._drop_ended(now)
        if not (self._leaving or self._held_until or self._rates.is_limiting):
            return list(endpoints)
        return [e for e in endpoints if self._end(e, now) <= now]

    def held_for_s(self, endpoints: Sequence[Endpoint], now: float) -> float:
        """Return the seconds until the first hold ends; 0 if not all are held.

        The result is also 0 if no hold has a known end: endpoints that are leaving
        never take requests again, and a low rate may leave no share for this instance.
        """
        self._drop_ended(now)
        ends = [self._end(endpoint, now) for endpoint in endpoints]
        first = min(ends, default=now)
        return 0.0 if first == _UNKNOWN_END else max(0.0, first - now)

    def _end(self, endpoint: Endpoint, now: float) -> float:
        """Return the time from which an endpoint takes requests; `now` if it does."""
        run_id = endpoint.run_id
        if run_id in self._leaving:
            return _UNKNOWN_END
        free_at = self._rates.free_at(run_id, now)
        return max(self._held_until.get(run_id, now), free_at)

    def _drop_ended(self, now: float) -> None:
        ended = [run_id for run_id, until in self._held_until.items() if until <= now]
        for run_id in ended:
            del self._held_until[run_id]
            log.info("endpoint_hold_ended", extra={"endpoint": run_id})

    def _log_start(
        self, endpoint: Endpoint, reason: str, seconds: float | None
    ) -> None:
        self._metrics.endpoint_holds.labels(reason).inc()
        log.info(
            "endpoint_held",
            extra={
                "endpoint": endpoint.run_id,
                "address": endpoint.address,
                "reason": reason,
                "for_s": seconds,
            },
        )
