"""Endpoints that asked not to be sent requests: they leave, or turn requests away.

An endpoint tells each gateway for itself, so holds are not shared. Unlike an ejection,
a hold is no failure, and it holds for every endpoint of a service at once.
"""

import logging
from collections import OrderedDict
from collections.abc import Sequence

from slatehoist.gateway.model import Endpoint, ReplyInfo
from slatehoist.observe import GatewayMetrics

log = logging.getLogger(__name__)

#: Endpoints that are remembered as leaving. They do not come back under the same id
#: and start time, so the number only bounds the memory.
_MAX_LEAVING = 4096
_UNKNOWN_END = float("inf")


class EndpointHolds:
    """Track which endpoints get no requests from this instance, and until when."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
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
        if info.retry_after_s is None:
            return
        until = now + info.retry_after_s
        current = self._held_until.get(run_id, now)
        if until > current:
            self._held_until[run_id] = until
            if current <= now:
                self._log_start(endpoint, "retry_after", info.retry_after_s)

    def available(self, endpoints: Sequence[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that are not held."""
        self._drop_ended(now)
        return [e for e in endpoints if self._end(e) is None]

    def held_for_s(self, endpoints: Sequence[Endpoint], now: float) -> float:
        """Return the seconds until the first hold ends; 0 if not all are held.

        Endpoints that are leaving do not count, as they never take requests again. If
        all endpoints are leaving, the result is 0.
        """
        self._drop_ended(now)
        ends = [self._end(endpoint) for endpoint in endpoints]
        if not ends or None in ends:
            return 0.0
        first = min(ends)
        return 0.0 if first == _UNKNOWN_END else first - now

    def _end(self, endpoint: Endpoint) -> float | None:
        """Return the time at which the hold of an endpoint ends, or None."""
        run_id = endpoint.run_id
        if run_id in self._leaving:
            return _UNKNOWN_END
        return self._held_until.get(run_id)

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
