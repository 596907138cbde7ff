"""Forwarding of one request: attempts at endpoints until it is answered."""

import asyncio
import logging
from collections.abc import Callable

import aiohttp
from aiohttp import web

from slatehoist.gateway.codec import Forwarding, HeaderCodec
from slatehoist.gateway.crash_reports import CrashReports, digest_of
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.events import EventSplitter
from slatehoist.gateway.exchange import Exchange, Outcome, Reply
from slatehoist.gateway.health import EndpointHealth, GroupState
from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.settings import (
    FORMING_POLL_S,
    FORMING_WAIT_S,
    MIN_ATTEMPT_S,
    REGISTRY_COUNTED_S,
    REPEAT_AFTER_OBJECTIVES,
    RETRY_RATIO_USED,
    SILENCE_MARGIN_S,
    GatewaySettings,
)
from slatehoist.gateway.upstream import (
    BrokenReplyError,
    NotSentError,
    Upstream,
    UpstreamRequest,
)
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import (
    AllowanceShare,
    Candidate,
    Chooser,
    CrashTally,
    Membership,
    SharedRetryBudget,
)

log = logging.getLogger(__name__)

#: Lowest status that counts as a failure of the endpoint.
_SERVER_ERROR = 500
_SUCCESS = range(200, 300)
#: Statuses by which an endpoint promises that a request has not run.
_PROMISES = frozenset({408, 421, 429, 503})
#: Endpoints that a request may try to connect to, since a connection that was not
#: made carried nothing; more would use up the caller's time.
MAX_CONNECTS = 3


class Forwarder:
    """Send requests to endpoints, choosing where and how often."""

    def __init__(
        self,
        cfg: GatewaySettings,
        codec: HeaderCodec,
        directory: EndpointDirectory,
        health: EndpointHealth,
        upstream: Upstream,
        chooser: Chooser,
        tally: CrashTally,
        crashes: CrashReports,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._codec = codec
        self._directory = directory
        self._health = health
        self._upstream = upstream
        self._chooser = chooser
        self._tally = tally
        self._crashes = crashes
        self._metrics = metrics
        self._clock = clock
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._relays: dict[str, set[asyncio.Timeout]] = {}
        self._share = AllowanceShare(cfg.retry_window_s, REGISTRY_COUNTED_S)
        self.draining = False

    def share_with(self, membership: Membership) -> None:
        """Share the retry allowance."""
        self._share.record_membership(membership, self._clock())

    async def forward(self, exchange: Exchange) -> web.StreamResponse | None:
        """Make attempts until the request is answered or nothing is left to try.

        Returns
        -------
        StreamResponse or None
            The response, or None if there is none; `exchange` then tells why.
        """
        budget = self._budget(exchange.service.name)
        budget.record_first_attempt(self._clock())
        digest = digest_of(exchange)
        while True:
            now = self._clock()
            if exchange.ends_at - now < MIN_ATTEMPT_S:
                return None
            if self._tally.is_blocked(digest, now):
                exchange.blocked = True
                return None
            if not await self._group_runs(exchange):
                exchange.group_closed = True
                return None
            endpoint = self._choose(exchange, now)
            if endpoint is None:
                return None
            inputs = self._choice_inputs(endpoint, now)
            outcome, resp = await self._attempt(exchange, endpoint)
            self._metrics.attempts.labels(outcome.value).inc()
            self._log_attempt(exchange, endpoint, outcome, now, inputs)
            if outcome is Outcome.DELIVERED:
                self._tally.record_success(digest, self._clock())
                return resp
            if outcome is Outcome.BROKEN:
                self._crashes.note_broken(endpoint, digest)
            exchange.may_have_run |= outcome.may_have_run
            if not self._goes_on(exchange, outcome, budget):
                return None

    async def _group_runs(self, exchange: Exchange) -> bool:
        """Wait for a group that forms; tell whether it runs.

        A caller has few returns, and most would be used up while a group forms.
        """
        if exchange.service.engine is None:
            return True
        last = min(self._clock() + FORMING_WAIT_S, exchange.ends_at)
        while True:
            listed = self._directory.of_service(exchange.service.name)
            state = self._health.group_state(listed, self._clock())
            if state is not GroupState.FORMING or self._clock() >= last:
                return state is GroupState.OPEN
            await asyncio.sleep(FORMING_POLL_S)

    def _goes_on(
        self, exchange: Exchange, outcome: Outcome, budget: SharedRetryBudget
    ) -> bool:
        """Decide whether a request is sent once more."""
        if outcome is Outcome.NOT_SENT:
            return len(exchange.tried) < MAX_CONNECTS
        if not exchange.may_repeat(outcome):
            return False
        if outcome is not Outcome.WRONG_INSTANCE:
            exchange.attempts += 1
        if exchange.attempts >= exchange.route.max_attempts:
            return False
        now = self._clock()
        return budget.spend(now, self._share.fraction(now))

    def _budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedRetryBudget(
                self._cfg.retry_ratio * RETRY_RATIO_USED,
                self._cfg.retry_allowance,
                self._cfg.retry_window_s,
            )
        return budget

    def _choose(self, exchange: Exchange, now: float) -> Endpoint | None:
        listed = self._directory.of_service(exchange.service.name)
        fresh = [e for e in listed if e.endpoint_id not in exchange.tried]
        endpoints = self._health.available(fresh, now)
        candidates = [self._candidate(endpoint, now) for endpoint in endpoints]
        chosen = self._chooser.choose(candidates, self._cfg.zone)
        if chosen is None:
            return None
        return next(e for e in endpoints if e.endpoint_id == chosen.name)

    def _choice_inputs(self, endpoint: Endpoint, now: float) -> dict[str, object]:
        """Give what an endpoint was chosen by, for the log."""
        record = self._health.record(endpoint.endpoint_id)
        return {
            "load": record.reported,
            "load_age_ms": milliseconds(now - record.reported_at),
            "own_inflight": record.inflight,
            "pace": record.pace,
            "list_age_ms": milliseconds(now - (self._directory.updated_at or now)),
        }

    def _candidate(self, endpoint: Endpoint, now: float) -> Candidate:
        record = self._health.record(endpoint.endpoint_id)
        return Candidate(
            endpoint.endpoint_id,
            endpoint.zone,
            own_inflight=record.inflight,
            reported_load=record.reported,
            own_at_report=record.own_at_report,
            report_age_s=now - record.reported_at,
            concurrency=max(endpoint.concurrency / record.pace, 1),
        )

    async def _attempt(
        self, exchange: Exchange, endpoint: Endpoint
    ) -> tuple[Outcome, web.StreamResponse | None]:
        """Send the request to one endpoint and deliver its response if it is good."""
        exchange.tried.add(endpoint.endpoint_id)
        record = self._health.record(endpoint.endpoint_id)
        record.inflight += 1
        reply: aiohttp.ClientResponse | None = None
        try:
            async with asyncio.timeout(self._attempt_s(exchange)):
                reply = await self._upstream.send(self._request(exchange, endpoint))
                return await self._receive(exchange, endpoint, reply)
        except NotSentError as exc:
            self._note_failure(endpoint)
            if exc.refused:
                self._crashes.note_down(endpoint)
            return Outcome.NOT_SENT, None
        except TimeoutError:
            self._note_failure(endpoint)
            return Outcome.TIMED_OUT, None
        except (BrokenReplyError, aiohttp.ClientError) as exc:
            self._note_failure(endpoint)
            log.info(
                "reply_broken",
                extra={"request": exchange.info.request_id, "why": repr(exc)},
            )
            return Outcome.BROKEN, None
        finally:
            record.inflight -= 1
            if reply is not None:
                reply.close()

    def _attempt_s(self, exchange: Exchange) -> float:
        """Give the seconds that one attempt may take as a whole."""
        left = exchange.ends_at - self._clock()
        last = exchange.attempts + 1 >= exchange.route.max_attempts
        if exchange.is_stream or not exchange.route.repeatable or last:
            return left
        return min(left, exchange.route.objective_s * REPEAT_AFTER_OBJECTIVES)

    def _request(self, exchange: Exchange, endpoint: Endpoint) -> UpstreamRequest:
        forwarding = Forwarding(
            endpoint.endpoint_id,
            exchange.ends_at - self._clock(),
            exchange.team,
            exchange.last_event_id,
        )
        headers = self._codec.request_headers(exchange.req.headers, forwarding)
        return UpstreamRequest(
            exchange.req.method,
            endpoint.address,
            exchange.req.raw_path,
            headers,
            exchange.body,
        )

    async def _receive(
        self, exchange: Exchange, endpoint: Endpoint, reply: aiohttp.ClientResponse
    ) -> tuple[Outcome, web.StreamResponse | None]:
        info = self._codec.read_reply(reply.status, reply.headers)
        if info.request_id and info.request_id != exchange.info.request_id:
            raise BrokenReplyError(f"{endpoint.address}: response to another request")
        if info.running is not None:
            self._health.observe_load(
                endpoint.endpoint_id, info.running, info.waiting or 0, self._clock()
            )
        if info.wrong_instance:
            self._crashes.note_down(endpoint)
            self._directory.remove(endpoint.endpoint_id)
            return Outcome.WRONG_INSTANCE, None
        if reply.status in _SUCCESS:
            if not (info.authentic and info.request_id):
                raise BrokenReplyError(f"{endpoint.address}: response without a proof")
            if exchange.is_stream:
                return await self._relay(exchange, endpoint, reply)
        body = await reply.read()
        if info.not_run and reply.status in _PROMISES:
            return Outcome.NOT_RUN, None
        if reply.status >= _SERVER_ERROR:
            self._note_failure(endpoint)
            exchange.failure = Reply(reply.status, reply.headers, body)
            return Outcome.FAILED, None
        self._health.succeeded(endpoint.endpoint_id)
        self._note_first_byte(exchange)
        reply.release()
        return await self._deliver(exchange, Reply(reply.status, reply.headers, body))

    async def _deliver(
        self, exchange: Exchange, reply: Reply
    ) -> tuple[Outcome, web.StreamResponse | None]:
        if exchange.stream is not None:
            # A run that was to go on with a stream answered with something else.
            return Outcome.FAILED, None
        return Outcome.DELIVERED, self.response(reply)

    def response(self, reply: Reply) -> web.Response:
        """Make the caller's response of an endpoint's whole one."""
        headers = self._codec.reply_headers(reply.headers)
        return web.Response(status=reply.status, headers=headers, body=reply.body)

    async def _relay(
        self, exchange: Exchange, endpoint: Endpoint, reply: aiohttp.ClientResponse
    ) -> tuple[Outcome, web.StreamResponse | None]:
        """Pass on events as they come, whole ones only where a stream can go on."""
        splitter = EventSplitter()
        silence_s = self._cfg.stall_s + SILENCE_MARGIN_S
        loop = asyncio.get_running_loop()
        relays = self._relays.setdefault(endpoint.endpoint_id, set())
        try:
            async with asyncio.timeout(silence_s) as relay:
                if self._may_move(exchange):
                    relays.add(relay)
                while chunk := await reply.content.readany():
                    relay.reschedule(loop.time() + silence_s)
                    events = splitter.feed(chunk) if exchange.route.resumable else chunk
                    if events:
                        await self._write(exchange, reply, events)
        finally:
            relays.discard(relay)
            exchange.last_event_id = splitter.last_event_id or exchange.last_event_id
        await self._write(exchange, reply, splitter.rest)
        await exchange.stream.write_eof()
        self._health.succeeded(endpoint.endpoint_id)
        return Outcome.DELIVERED, exchange.stream

    async def _write(
        self, exchange: Exchange, reply: aiohttp.ClientResponse, data: bytes
    ) -> None:
        if exchange.stream is None:
            headers = self._codec.reply_headers(reply.headers)
            exchange.stream = web.StreamResponse(status=reply.status, headers=headers)
            if self.draining:
                exchange.stream.force_close()
            await exchange.stream.prepare(exchange.req)
            self._note_first_byte(exchange)
        if data:
            await exchange.stream.write(data)

    def _may_move(self, exchange: Exchange) -> bool:
        """Whether a stream may be continued elsewhere by choice."""
        return (
            exchange.route.resumable
            and exchange.attempts + 1 < exchange.route.max_attempts
        )

    def move_streams(self, endpoint_id: str) -> int:
        """Continue elsewhere the streams of an endpoint that holds up its group."""
        relays = self._relays.pop(endpoint_id, set())
        now = asyncio.get_running_loop().time()
        for relay in relays:
            relay.reschedule(now)
        self._metrics.moved_streams.inc(len(relays))
        return len(relays)

    def _note_first_byte(self, exchange: Exchange) -> None:
        kind = exchange.route.kind.value
        took_s = self._clock() - exchange.arrived_at
        self._metrics.first_byte.labels(kind).observe(took_s)

    def _note_failure(self, endpoint: Endpoint) -> None:
        if self._health.failed(endpoint.endpoint_id, self._clock()):
            log.warning(
                "endpoint_ejected",
                extra={"endpoint": endpoint.endpoint_id, "address": endpoint.address},
            )

    def _log_attempt(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        outcome: Outcome,
        began: float,
        inputs: dict[str, object],
    ) -> None:
        log.info(
            "attempt",
            extra={
                "request": exchange.info.request_id,
                "route": exchange.route.name,
                "endpoint": endpoint.endpoint_id,
                "outcome": outcome.value,
                "attempt": len(exchange.tried),
                "took_ms": round((self._clock() - began) * 1000),
                "left_ms": round((exchange.ends_at - self._clock()) * 1000),
                **inputs,
            },
        )
