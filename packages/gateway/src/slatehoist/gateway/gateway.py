"""Reception of callers' requests: route, credential, deadline, final answer."""

import logging
import random
from collections.abc import Callable

from aiohttp import web

from slatehoist.gateway.catalogue import Catalogue, RouteTable, pick_service
from slatehoist.gateway.codec import HeaderCodec
from slatehoist.gateway.exchange import Exchange
from slatehoist.gateway.forwarding import Forwarder
from slatehoist.gateway.model import Kind, RequestInfo, Route
from slatehoist.gateway.settings import STALE_LOOKUP_S
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import CRASH_RETENTION_S, retry_delay_s

log = logging.getLogger(__name__)

#: Expected seconds until a caller is served that this instance cannot serve, since it
#: is cut off or has just begun: other instances can, and a return reaches them.
_ELSEWHERE_WAIT_S = 0.0
#: Expected seconds until an endpoint is found again or has room.
_ENDPOINT_WAIT_S = 0.3
#: Expected seconds until a group runs again that lost a rank: servers restart within
#: about a second, and the group forms in 0.6 s after the last of them.
_GROUP_WAIT_S = 1.2
#: Deadline, in seconds, of a caller that states none on an unknown route.
_DEFAULT_DEADLINE_S = 8.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RefusalError(Exception):
    """Answer that the gateway gives itself.

    Attributes
    ----------
    wait_s : float or None
        Expected seconds until a return makes sense; None if it never does.
    elsewhere : bool
        Whether another instance should serve this caller, so that its connection is
        closed.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        wait_s: float | None = None,
        elsewhere: bool = False,
    ) -> None:
        super().__init__(reason)
        self.elsewhere = elsewhere
        self.status = status
        self.reason = reason
        self.wait_s = wait_s


def _not_here(reason: str) -> RefusalError:
    """Refuse what another instance can serve."""
    return RefusalError(503, reason, _ELSEWHERE_WAIT_S, elsewhere=True)


class Gateway:
    """Answer callers' requests.

    Parameters
    ----------
    clock : callable
        Gives seconds that go on while the machine is suspended.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        catalogue: Catalogue,
        forwarder: Forwarder,
        metrics: GatewayMetrics,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._codec = codec
        self._catalogue = catalogue
        self._forwarder = forwarder
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self.draining = False
        #: Connections on which a request is being answered.
        self.busy_connections: set[object] = set()

    def drain(self) -> None:
        """Announce on each further response that its connection will be closed."""
        self.draining = True
        self._forwarder.draining = True

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        arrived_at = self._clock()
        info = self._codec.read_request(req.headers)
        conn = req.protocol
        self.busy_connections.add(conn)
        try:
            resp = await self._answer(req, info, arrived_at)
        except RefusalError as exc:
            resp = self._refuse(req, info, exc, arrived_at)
        finally:
            self.busy_connections.discard(conn)
        if self.draining and not resp.prepared:
            resp.force_close()
        return resp

    async def _answer(
        self, req: web.BaseRequest, info: RequestInfo, arrived_at: float
    ) -> web.StreamResponse:
        table = self._catalogue.table
        if table is None:
            raise _not_here("no configuration yet")
        route = self._route(table, req)
        team = self._team(table, route, info)
        service = table.service(pick_service(route, self._rng))
        if service is None:
            raise _not_here(f"no service for route {route.name}")
        body = await self._read_body(req, table.cfg.limits.max_body_bytes)
        limit_s = route.timeout_s
        if info.deadline_s is not None:
            limit_s = min(limit_s, info.deadline_s)
        exchange = Exchange(
            req, body, info, route, service, team, arrived_at, arrived_at + limit_s
        )
        resp = await self._forwarder.forward(exchange)
        if resp is None:
            return self._give_up(exchange)
        took_s = self._clock() - arrived_at
        self._metrics.duration.labels(route.kind.value).observe(took_s)
        self._metrics.answers.labels(str(resp.status), "endpoint").inc()
        return resp

    def _route(self, table: RouteTable, req: web.BaseRequest) -> Route:
        host = req.headers.get("Host", "").partition(":")[0]
        path = req.raw_path.partition("?")[0]
        route = table.route(host, path)
        if route is None:
            self._refuse_if_stale("route")
            raise RefusalError(404, f"no route for {host}{path}")
        return route

    def _team(self, table: RouteTable, route: Route, info: RequestInfo) -> str:
        if route.public or not table.needs_credentials:
            return ""
        if not self._catalogue.credentials_trusted(self._clock()):
            raise _not_here("credentials cannot be checked")
        team = table.team(info.credential)
        if team is None:
            self._refuse_if_stale("credential")
            raise RefusalError(401, "unknown credential")
        return team.name

    def _refuse_if_stale(self, what: str) -> None:
        """Do not claim that something is unknown which may just be new."""
        if self._catalogue.age_s(self._clock()) > STALE_LOOKUP_S:
            raise _not_here(f"{what} not known yet")

    async def _read_body(self, req: web.BaseRequest, limit: int) -> bytes:
        if not req.body_exists:
            return b""
        if req.headers.get("Expect", "").lower() == "100-continue":
            await req.writer.write(_CONTINUE)
        if (req.content_length or 0) > limit:
            raise RefusalError(413, f"body over {limit} bytes")
        parts = []
        size = 0
        while chunk := await req.content.readany():
            size += len(chunk)
            if size > limit:
                raise RefusalError(413, f"body over {limit} bytes")
            parts.append(chunk)
        return b"".join(parts)

    def _give_up(self, exchange: Exchange) -> web.StreamResponse:
        """Give the final answer to a request that no endpoint answered well."""
        now = self._clock()
        if exchange.stream is not None:
            self._log_end(exchange, "stream_broken_off", now)
            transport = exchange.req.transport
            if transport is not None:
                transport.close()
            return exchange.stream
        if exchange.failure is not None:
            self._log_end(exchange, "failure_passed_on", now)
            self._metrics.answers.labels(str(exchange.failure.status), "endpoint").inc()
            return self._forwarder.response(exchange.failure)
        if exchange.ends_at - now < _ALMOST_OVER_S and exchange.may_have_run:
            self._log_end(exchange, "timed_out", now)
            raise RefusalError(504, "no answer in time")
        if exchange.may_have_run:
            self._log_end(exchange, "outcome_unknown", now)
            raise RefusalError(502, "the outcome is unknown")
        self._log_end(exchange, "not_run", now)
        if exchange.blocked:
            raise RefusalError(503, "this request crashes endpoints", CRASH_RETENTION_S)
        if exchange.group_closed:
            raise RefusalError(503, "the group of endpoints is forming", _GROUP_WAIT_S)
        raise RefusalError(503, "no endpoint took the request", _ENDPOINT_WAIT_S)

    def _log_end(self, exchange: Exchange, event: str, now: float) -> None:
        log.warning(
            event,
            extra={
                "request": exchange.info.request_id,
                "route": exchange.route.name,
                "kind": Kind(exchange.route.kind).value,
                "tried": sorted(exchange.tried),
                "config": self._catalogue.version,
                "config_age_ms": round(self._catalogue.age_s(now) * 1000),
                "took_ms": round((now - exchange.arrived_at) * 1000),
            },
        )

    def _refuse(
        self,
        req: web.BaseRequest,
        info: RequestInfo,
        refusal: RefusalError,
        arrived_at: float,
    ) -> web.Response:
        now = self._clock()
        delay_s = None
        if refusal.wait_s is not None:
            left_s = (info.deadline_s or _DEFAULT_DEADLINE_S) - (now - arrived_at)
            delay_s = retry_delay_s(refusal.wait_s, left_s, self._rng)
        log.info(
            "refused",
            extra={
                "request": info.request_id,
                "status": refusal.status,
                "why": refusal.reason,
                "retry_after_s": delay_s,
                "config": self._catalogue.version,
                "config_age_ms": milliseconds(self._catalogue.age_s(now)),
            },
        )
        self._metrics.answers.labels(str(refusal.status), "gateway").inc()
        headers = self._codec.own_headers(info.request_id, delay_s)
        resp = web.Response(status=refusal.status, headers=headers, text=refusal.reason)
        if refusal.elsewhere:
            resp.force_close()
        return resp


#: Seconds before its end at which a request counts as timed out.
_ALMOST_OVER_S = 0.05
