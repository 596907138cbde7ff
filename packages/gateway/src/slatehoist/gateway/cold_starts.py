"""Cold endpoints: where their cold times are read, and the requests that they may get.

Nothing is recorded and nothing decided for services without a cold rate.
"""

import logging
from collections.abc import Callable, Sequence

from slatehoist.gateway.holds import Hold
from slatehoist.gateway.model import Endpoint, ReplyInfo, Service
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import Candidate, ColdLimit, ColdStarts, make_cold_limit

log = logging.getLogger(__name__)


class ColdEndpoints:
    """Keep the requests to cold endpoints within this instance's shares.

    Parameters
    ----------
    excess, slack : float
        Bound on the requests that a cold endpoint may get in a second from all
        instances together: `excess` times its service's cold rate plus `slack`.
    find_service : callable
        Returns the service of a name, or None.
    """

    def __init__(
        self,
        starts: ColdStarts,
        excess: float,
        slack: float,
        find_service: Callable[[str], Service | None],
        metrics: GatewayMetrics,
    ) -> None:
        self._starts = starts
        self._excess = excess
        self._slack = slack
        self._find_service = find_service
        self._metrics = metrics
        #: Services that had requests here. Endpoints that start before any traffic are
        #: not cold.
        self._requested: set[str] = set()

    def record_list(
        self, listed: Sequence[Endpoint], started: Sequence[Endpoint], now: float
    ) -> None:
        """Record the listed cold times, and the endpoints that have started since.

        Parameters
        ----------
        started : sequence of Endpoint
            Endpoints, as listed now, that are new or have started again.
        """
        for endpoint in listed:
            service = self._limited_service(endpoint)
            if service and self._starts.record_listed(
                endpoint.endpoint_id, endpoint.cold_s, now
            ):
                self._log_cold(service, endpoint, "listed", now)
        started = [e for e in started if e.service in self._requested]
        self._record_service_time(started, "started", now)
        self._drop_ended(now)
        self._starts.forget_others({e.endpoint_id for e in listed}, now)

    def record_zone_restored(self, endpoints: Sequence[Endpoint], now: float) -> None:
        """Record that a zone is restored: its endpoints may just have become cold."""
        self._record_service_time(endpoints, "restored", now)

    def record_refused(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint refused a connection.

        Its process has ended. It may be back, and cold, before the list shows that.
        """
        self._record_service_time([endpoint], "refused", now)

    def record_reply(
        self,
        service: Service,
        endpoint: Endpoint,
        info: ReplyInfo,
        now: float,
        sent_at: float,
    ) -> None:
        """Record the cold time that the head of an endpoint's response states.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent.
        """
        if info.cold_s is None or service.cold_rate <= 0.0:
            return
        name = endpoint.endpoint_id
        if self._starts.record(name, info.cold_s, now, sent_at):
            self._log_cold(service, endpoint, "stated", now)

    def record_sent(self, service: Service, endpoint: Endpoint, now: float) -> None:
        """Record that a request is sent to an endpoint."""
        if service.cold_rate <= 0.0:
            return
        name, limit = endpoint.endpoint_id, self._limit(service)
        state = "cold" if self._starts.is_cold(name, now) else "warm"
        use = self._starts.use(name, limit, now)
        if use.sent >= use.allowed:
            state = "beyond_share"
        self._metrics.cold_limited_requests.labels(state).inc()
        self._starts.record_sent(name, limit, now)

    def cancel_sent(self, endpoint: Endpoint, sent_at: float) -> None:
        """Take back a request that `record_sent` has counted, since it is not sent."""
        self._starts.cancel_sent(endpoint.endpoint_id, sent_at)

    def available(
        self, service: Service, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints without the cold ones whose share is used up."""
        if service.cold_rate <= 0.0:
            return endpoints
        self._requested.add(service.name)
        self._drop_ended(now)
        names = [endpoint.endpoint_id for endpoint in endpoints]
        names = set(self._starts.available(names, self._limit(service), now))
        return [endpoint for endpoint in endpoints if endpoint.endpoint_id in names]

    def make_hold(self, service: Service, endpoints: Sequence[Endpoint]) -> Hold:
        """Return the hold of endpoints that are all cold with used up shares.

        Another instance may have a share left, so the caller is sent there at once.
        """
        limit = self._limit(service)
        count = max(1, limit.requests * len(endpoints))
        return Hold(limit.window_s / count, by_share=True)

    def prefer(
        self, service: Service, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates that a request may go to; see `ColdStarts.prefer`."""
        if service.cold_rate <= 0.0:
            return candidates
        return self._starts.prefer(candidates, self._limit(service), now)

    def log_fields(
        self, service: Service, endpoint: Endpoint, now: float
    ) -> dict[str, object]:
        """Return the use of a cold endpoint's share as log fields."""
        if service.cold_rate <= 0.0:
            return {}
        use = self._starts.use(endpoint.endpoint_id, self._limit(service), now)
        if not use.left_s:
            return {}
        return {
            "cold_left_ms": milliseconds(use.left_s),
            "cold_allowed": use.allowed,
            "cold_sent": use.sent,
            "cold_instances": use.instances,
        }

    def _record_service_time(
        self, endpoints: Sequence[Endpoint], reason: str, now: float
    ) -> None:
        """Record that endpoints stay cold for the time that their services state."""
        for endpoint in endpoints:
            service = self._limited_service(endpoint)
            if service and self._starts.record(
                endpoint.endpoint_id, service.cold_s, now
            ):
                self._log_cold(service, endpoint, reason, now)

    def _limited_service(self, endpoint: Endpoint) -> Service | None:
        """Return the endpoint's service if it has a cold rate, or None."""
        service = self._find_service(endpoint.service)
        return service if service and service.cold_rate > 0.0 else None

    def _limit(self, service: Service) -> ColdLimit:
        return make_cold_limit(service.cold_rate, self._excess, self._slack)

    def _log_cold(
        self, service: Service, endpoint: Endpoint, reason: str, now: float
    ) -> None:
        self._metrics.cold_starts.labels(reason).inc()
        self._metrics.cold_endpoints.set(self._starts.cold_count)
        limit = self._limit(service)
        use = self._starts.use(endpoint.endpoint_id, limit, now)
        log.info(
            "endpoint_cold",
            extra={
                "endpoint": endpoint.endpoint_id,
                "address": endpoint.address,
                "reason": reason,
                "for_s": use.left_s,
                "rate": service.cold_rate,
                "requests": limit.requests,
                "window_s": limit.window_s,
                "share": use.allowed,
                "instances": use.instances,
            },
        )

    def _drop_ended(self, now: float) -> None:
        ended = self._starts.drop_ended(now)
        if not ended:
            return
        self._metrics.cold_endpoints.set(self._starts.cold_count)
        for name in ended:
            log.info("endpoint_warm", extra={"endpoint": name})
