"""Handling of callers' requests: routing, credentials, deadlines, final answers."""

import asyncio
import logging
import random
from collections.abc import Callable

from aiohttp import web

from slatehoist.gateway.admission import Admission, AdmissionError
from slatehoist.gateway.catalogue import Catalogue, RouteTable, pick_service
from slatehoist.gateway.codec import HeaderCodec
from slatehoist.gateway.exchange import CallerLeftError, Exchange
from slatehoist.gateway.forwarding import Forwarder
from slatehoist.gateway.holds import Hold
from slatehoist.gateway.model import Kind, RequestInfo, Route, Team
from slatehoist.gateway.service_stalls import ServiceStalls
from slatehoist.gateway.settings import MAX_LOGGED_PARTS, STALE_LOOKUP_S
from slatehoist.http import InvalidHeaderError, WholeResponse, check_headers
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import Unplaced, retry_after_s, retry_delay_s

log = logging.getLogger(__name__)

#: Expected wait in seconds of a caller that this instance cannot serve because it is
#: cut off from the store or has just started. Other instances can serve the caller, and
#: its retry reaches one of them.
_OTHER_INSTANCE_WAIT_S = 0.0
#: Expected seconds until an endpoint is available again or has capacity.
_ENDPOINT_WAIT_S = 0.3
#: Expected seconds until a group that lost a rank is open again: a server restarts
#: within about a second, and the group forms within 0.6 s after the last restart.
_GROUP_WAIT_S = 1.2
#: Shortest seconds until the caller of a request without endpoints outside evacuated
#: zones is to retry. The end of an evacuation is not known; a retry that is refused
#: again is worse for callers than none.
_EVACUATION_WAIT_S = 5.0
#: Deadline in seconds that is assumed for a refused caller that states none.
_DEFAULT_DEADLINE_S = 8.0
#: Seconds within which requests that are ended must have been answered.
_END_TIMEOUT_S = 0.1
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RefusalError(Exception):
    """Raised for a request that the gateway itself answers with an error status.

    Attributes
    ----------
    wait_s : float or None
        Expected seconds until a retry can succeed; None if no retry can.
    use_other_instance : bool
        True if another instance should serve the caller; its connection is closed, so
        that it connects to another instance.
    hopeless : bool
        True if no retry before `wait_s` can succeed, at any instance. The caller is
        told the whole wait, also if it ends after the caller's deadline.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        wait_s: float | None = None,
        use_other_instance: bool = False,
        hopeless: bool = False,
    ) -> None:
        super().__init__(reason)
        self.use_other_instance = use_other_instance
        self.hopeless = hopeless
        self.status = status
        self.reason = reason
        self.wait_s = wait_s


def _unavailable_here(reason: str) -> RefusalError:
    """Return the refusal of a request that another instance can serve."""
    return RefusalError(503, reason, _OTHER_INSTANCE_WAIT_S, use_other_instance=True)


class Gateway:
    """Answer callers' requests.

    Parameters
    ----------
    clock : callable
        Returns seconds, including time during which the instance was suspended.
    admission : Admission or None
        None to send all requests at once.
    stalls : ServiceStalls or None
        Logs services that answer no request; None to log none.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        catalogue: Catalogue,
        forwarder: Forwarder,
        metrics: GatewayMetrics,
        rng: random.Random,
        clock: Callable[[], float],
        admission: Admission | None = None,
        stalls: ServiceStalls | None = None,
    ) -> None:
        self._codec = codec
        self._stalls = stalls or ServiceStalls(lambda service, now: {})
        self._admission = admission
        self._catalogue = catalogue
        self._forwarder = forwarder
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self.draining = False
        #: Time from which requests must end by `_ends_at`, the end of the drain.
        self._late_from = self._ends_at = float("inf")
        #: Connections on which a request is being answered, and the tasks that do so.
        self.busy_connections: set[object] = set()
        self._tasks: set[asyncio.Task] = set()
        #: True once the requests in progress are being ended.
        self._ending = False

    def drain(self, late_from: float, ends_at: float) -> None:
        """Announce on each further response that its connection will be closed.

        Parameters
        ----------
        late_from : float
            Time from which requests are refused that may last longer than the drain.
        ends_at : float
            Time at which the drain ends, and all requests with it.
        """
        self.draining = True
        self._late_from, self._ends_at = late_from, ends_at
        self._forwarder.attempts.streams.draining = True

    async def end_requests(self) -> None:
        """Answer the requests in progress with what is known of them.

        Without an answer, callers could not tell a request that never ran from one that
        did. A stream that has begun is broken off.
        """
        self._ending = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_END_TIMEOUT_S)

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request."""
        arrived_at = self._clock()
        info = self._codec.read_request(req.headers)
        conn = req.protocol
        task = asyncio.current_task()
        self.busy_connections.add(conn)
        self._tasks.add(task)
        try:
            resp = await self._answer(req, info, arrived_at)
        except RefusalError as exc:
            resp = self._refuse(req, info, exc, arrived_at)
        finally:
            self._tasks.discard(task)
            self.busy_connections.discard(conn)
        if not resp.prepared:
            resp = self._ensure_valid_head(resp, info)
            if self.draining:
                resp.force_close()
        return resp

    def _ensure_valid_head(
        self, resp: web.StreamResponse, info: RequestInfo
    ) -> web.StreamResponse:
        """Return the response, or a 502 in its place if its head cannot be written."""
        try:
            check_headers(resp.headers)
        except InvalidHeaderError as exc:
            log.error(
                "answer_invalid", extra={"request": info.request_id, "why": str(exc)}
            )
            return web.Response(status=502, text="the answer has an invalid header")
        return resp

    async def _answer(
        self, req: web.BaseRequest, info: RequestInfo, arrived_at: float
    ) -> web.StreamResponse:
        table = self._catalogue.table
        if table is None:
            raise _unavailable_here("no configuration yet")
        route = self._find_route(table, req)
        team = self._authenticate(table, route, info)
        service = table.service(pick_service(route, self._rng))
        if service is None:
            raise _unavailable_here(f"no service for route {route.name}")
        body = await self._read_body(req, table.cfg.limits.max_body_bytes)
        limit_s = route.timeout_s
        if info.deadline_s is not None:
            limit_s = min(limit_s, info.deadline_s)
        deadline_at = arrived_at + limit_s
        if self._clock() >= self._late_from and deadline_at > self._ends_at:
            raise _unavailable_here("this instance stops before the request's deadline")
        exchange = Exchange(
            req,
            body,
            info,
            route,
            service,
            team.name if team else "",
            arrived_at,
            deadline_at,
            team.regions if team else (),
            table.urgency(route, team),
        )
        self._stalls.begin(exchange, self._clock())
        resp = None
        try:
            resp = await self._forward(exchange)
        except CallerLeftError:
            exchange.stream.break_off()
            return exchange.stream
        except asyncio.CancelledError:
            if not self._ending or req.transport is None:
                raise
            asyncio.current_task().uncancel()
        finally:
            answered = resp is not None or exchange.first_byte_at is not None
            self._stalls.end(exchange, answered, self._clock())
        if resp is None:
            return self._answer_failure(exchange)
        took_s = self._clock() - arrived_at
        self._metrics.duration.labels(route.kind.value).observe(took_s)
        self._metrics.answers.labels(str(resp.status), "endpoint").inc()
        return resp

    async def _forward(self, exchange: Exchange) -> web.StreamResponse | None:
        """Forward a request once it is admitted.

        One that no endpoint may run by its place is answered without waiting.
        """
        if self._admission is None or self._forwarder.choice.is_unplaced(exchange):
            return await self._forwarder.forward(exchange)
        try:
            await self._admission.enter(exchange)
        except AdmissionError as exc:
            raise RefusalError(503, str(exc), exc.wait_s) from exc
        try:
            return await self._forwarder.forward(exchange)
        finally:
            self._admission.leave(exchange)

    def _find_route(self, table: RouteTable, req: web.BaseRequest) -> Route:
        host = req.headers.get("Host", "").partition(":")[0]
        path = req.raw_path.partition("?")[0]
        route = table.route(host, path)
        if route is None:
            self._raise_if_stale("route")
            raise RefusalError(404, f"no route for {host}{path}")
        return route

    def _authenticate(
        self, table: RouteTable, route: Route, info: RequestInfo
    ) -> Team | None:
        """Return the caller's team, or None if the route needs no credential."""
        if route.public or not table.needs_credentials:
            return None
        if not self._catalogue.credentials_trusted(self._clock()):
            raise _unavailable_here("credentials cannot be checked")
        team = table.team(info.credential)
        if team is None:
            self._raise_if_stale("credential")
            raise RefusalError(401, "unknown credential")
        return team

    def _raise_if_stale(self, what: str) -> None:
        """Refuse with 503 if the configuration may be out of date.

        A route or credential that is missing from it may just have been added.
        """
        if self._catalogue.age_s(self._clock()) > STALE_LOOKUP_S:
            raise _unavailable_here(f"{what} not known yet")

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

    def _answer_failure(self, exchange: Exchange) -> web.StreamResponse:
        """Answer a request that no endpoint served.

        A stream that was partly sent is cut off, so that it does not look complete.
        Otherwise the last server error of an endpoint is passed on. If there is none,
        502 and 504 mean that the request may have run, and 503 that it did not.
        """
        now = self._clock()
        if exchange.stream is not None:
            self._log_failed_request(exchange, "stream_broken_off", now)
            exchange.stream.break_off()
            return exchange.stream
        if exchange.failure_reply is not None:
            self._log_failed_request(exchange, "failure_passed_on", now)
            self._metrics.answers.labels(
                str(exchange.failure_reply.status), "endpoint"
            ).inc()
            return self._forwarder.attempts.make_response(exchange.failure_reply)
        if exchange.deadline_at - now < _TIMEOUT_MARGIN_S and exchange.may_have_run:
            self._log_failed_request(exchange, "timed_out", now)
            raise RefusalError(504, "no answer in time")
        if exchange.may_have_run:
            self._log_failed_request(exchange, "outcome_unknown", now)
            raise RefusalError(502, "the outcome is unknown")
        self._log_failed_request(exchange, "not_run", now)
        if self._ending:
            raise _unavailable_here("this instance stops")
        if exchange.blocked:
            reason = "this request crashes endpoints"
            if exchange.blocking_parts:
                reason = "a part of this prompt crashes endpoints"
            raise RefusalError(503, reason, exchange.blocked_for_s, hopeless=True)
        if exchange.unplaced is not None:
            raise self._refuse_unplaced(exchange.unplaced)
        if exchange.group_closed:
            raise RefusalError(503, "the group of endpoints is forming", _GROUP_WAIT_S)
        if exchange.hold is not None:
            raise self._refuse_held(exchange.hold)
        reason = "no endpoint took the request"
        raise RefusalError(503, reason, self._endpoint_wait_s(exchange, now))

    def _refuse_unplaced(self, cause: Unplaced) -> RefusalError:
        """Return the refusal of a request that no endpoint may run by its place."""
        self._metrics.unplaced_requests.labels(cause.value).inc()
        if cause is Unplaced.REGIONS:
            return RefusalError(503, "no endpoint in the regions of route and team")
        wait_s = retry_after_s(_EVACUATION_WAIT_S, self._rng)
        reason = "all endpoints are in evacuated zones"
        return RefusalError(503, reason, wait_s, hopeless=True)

    def _endpoint_wait_s(self, exchange: Exchange, now: float) -> float:
        """Return the expected seconds until an endpoint takes a rejected request.

        If less than half of the agents report a status, instances have failed together.
        The ranks then have to start and to form their group, and callers retry only
        once or twice.
        """
        service = exchange.service
        if service.engine is None or self._forwarder.choice.has_statuses(service, now):
            return _ENDPOINT_WAIT_S
        return _GROUP_WAIT_S

    def _refuse_held(self, hold: Hold) -> RefusalError:
        """Return the refusal of a request whose endpoints are all held."""
        if hold.by_share:
            reason = "this instance's shares of the endpoints' rates are used"
            return RefusalError(503, reason, hold.for_s, use_other_instance=True)
        # Callers must not all return at the moment at which the hold ends.
        wait_s = retry_after_s(hold.for_s, self._rng)
        reason = "all endpoints asked for no requests"
        return RefusalError(503, reason, wait_s, hopeless=True)

    def _log_failed_request(self, exchange: Exchange, event: str, now: float) -> None:
        log.warning(
            event,
            extra={
                "request": exchange.info.request_id,
                "route": exchange.route.name,
                "kind": Kind(exchange.route.kind).value,
                "digest": exchange.digest,
                "prompt_parts": exchange.info.prompt_parts[:MAX_LOGGED_PARTS],
                "blocked": exchange.blocked,
                "unplaced": exchange.unplaced,
                "tried": sorted(exchange.tried),
                "config": self._catalogue.version,
                "config_age_ms": milliseconds(self._catalogue.age_s(now)),
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
        delay_s = refusal.wait_s if refusal.hopeless else None
        if refusal.wait_s is not None and not refusal.hopeless:
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
        resp = WholeResponse(
            status=refusal.status, headers=headers, text=refusal.reason
        )
        if refusal.use_other_instance:
            resp.force_close()
        return resp


#: A failed request counts as timed out if less than this many seconds are left before
#: its deadline.
_TIMEOUT_MARGIN_S = 0.05
