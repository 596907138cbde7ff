"""Attempts: send a request to one endpoint, and pass on its response if it is valid."""

import asyncio
import functools
import logging
from collections.abc import Callable

import aiohttp
from aiohttp import web

from slatehoist.gateway.codec import Forwarding, HeaderCodec
from slatehoist.gateway.cold_starts import ColdEndpoints
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.exchange import Exchange, Outcome, Reply
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.holds import EndpointHolds
from slatehoist.gateway.model import Endpoint, ReplyInfo
from slatehoist.gateway.settings import (
    ATTEMPT_TIMEOUT_OBJECTIVES,
    MAX_BUFFERED_BYTES,
    MAX_REPLY_BYTES,
)
from slatehoist.gateway.streams import StreamRelay
from slatehoist.gateway.upstream import (
    BrokenReplyError,
    NotSentError,
    Upstream,
    UpstreamRequest,
)
from slatehoist.http import (
    BufferBudget,
    RelayedResponse,
    WholeResponse,
    read_body,
    response_framing,
)
from slatehoist.observe import GatewayMetrics

log = logging.getLogger(__name__)

#: Lowest status that counts as a failure of the endpoint.
_MIN_SERVER_ERROR = 500
_SUCCESS_STATUSES = range(200, 300)
#: Statuses with which an endpoint can state that it did not run the request.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class AttemptRunner:
    """Run attempts, and record what they show of their endpoints.

    Attributes
    ----------
    streams : StreamRelay
    """

    def __init__(
        self,
        codec: HeaderCodec,
        directory: EndpointDirectory,
        health: EndpointHealth,
        holds: EndpointHolds,
        cold: ColdEndpoints,
        crashes: CrashReports,
        upstream: Upstream,
        streams: StreamRelay,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        states_urgency: bool,
    ) -> None:
        self._codec = codec
        self._directory = directory
        self._health = health
        self._holds = holds
        self._cold = cold
        self._crashes = crashes
        self._upstream = upstream
        self.streams = streams
        self._metrics = metrics
        self._clock = clock
        self._states_urgency = states_urgency
        self._buffers = BufferBudget(MAX_BUFFERED_BYTES)

    async def run(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        reserve_successor: Callable[[Exchange], bool],
    ) -> tuple[Outcome, web.StreamResponse | None]:
        """Send the request to one endpoint, and pass on its response if it is valid.

        Parameters
        ----------
        reserve_successor : callable
            Reserves another attempt; returns False if none is possible now.
        """
        exchange.tried.add(endpoint.endpoint_id)
        exchange.sent_at = exchange.last_data_at = self._clock()
        exchange.framing = None
        exchange.succeeded = False
        exchange.resumed = bool(exchange.last_event_id)
        exchange.reply_bytes = exchange.partial_event_bytes = 0
        record = self._health.get_record(endpoint.endpoint_id)
        record.inflight += 1
        reply: aiohttp.ClientResponse | None = None
        early_end: asyncio.TimerHandle | None = None
        try:
            remaining_s = exchange.deadline_at - self._clock()
            async with asyncio.timeout(remaining_s) as timeout:
                early_end = _schedule_early_end(exchange, timeout, reserve_successor)
                reply = await self._upstream.send(
                    self._build_request(exchange, endpoint)
                )
                return await self._handle_reply(
                    exchange, endpoint, reply, reserve_successor
                )
        except NotSentError as exc:
            self._record_failure(endpoint)
            if exc.refused:
                self._crashes.record_end(endpoint)
                self._cold.record_refused(endpoint, self._clock())
            return Outcome.NOT_SENT, None
        except TimeoutError:
            self._record_failure(endpoint)
            return Outcome.TIMED_OUT, None
        except (BrokenReplyError, aiohttp.ClientError) as exc:
            self._record_failure(endpoint)
            log.info(
                "reply_broken",
                extra={
                    "request": exchange.info.request_id,
                    "endpoint": endpoint.endpoint_id,
                    "why": repr(exc),
                },
            )
            return Outcome.BROKEN, None
        finally:
            record.record_end(self._clock())
            if early_end is not None:
                early_end.cancel()
            if reply is not None:
                reply.close()

    def _build_request(self, exchange: Exchange, endpoint: Endpoint) -> UpstreamRequest:
        forwarding = Forwarding(
            endpoint.endpoint_id,
            exchange.deadline_at - self._clock(),
            exchange.team,
            exchange.last_event_id,
            exchange.urgency if self._states_urgency else None,
        )
        headers = self._codec.request_headers(exchange.req.headers, forwarding)
        return UpstreamRequest(
            exchange.req.method,
            endpoint.address,
            exchange.req.raw_path,
            headers,
            exchange.body,
        )

    async def _handle_reply(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        reply: aiohttp.ClientResponse,
        reserve_successor: Callable[[Exchange], bool],
    ) -> tuple[Outcome, web.StreamResponse | None]:
        exchange.last_data_at = self._clock()
        if exchange.retry is not None:
            exchange.retry.record_arrival(exchange.last_data_at)
        info = self._codec.read_reply(reply.status, reply.headers)
        exchange.framing = response_framing(
            exchange.req.method, reply.status, reply.headers
        )
        _check_request_id(exchange, endpoint, info)
        if info.running is not None:
            self._health.observe_load(
                endpoint.endpoint_id, info.running, info.waiting or 0, self._clock()
            )
        if info.wrong_instance:
            self._crashes.record_end(endpoint)
            self._directory.remove(endpoint.endpoint_id)
            self._directory.request_read()
            return Outcome.WRONG_INSTANCE, None
        now = self._clock()
        self._holds.record_reply(endpoint, info, now, exchange.sent_at)
        self._cold.record_reply(exchange.service, endpoint, info, now, exchange.sent_at)
        if reply.status in _SUCCESS_STATUSES:
            exchange.succeeded = not info.not_run
            if not info.authentic:
                raise BrokenReplyError(
                    f"{endpoint.address}: response lacks proof of origin"
                )
            if exchange.is_stream:
                await self.streams.relay(
                    exchange,
                    endpoint,
                    reply,
                    reserve_successor,
                    functools.partial(self._record_failure, endpoint),
                )
                self._health.record_success(endpoint.endpoint_id)
                return Outcome.DELIVERED, exchange.stream
        body = await read_body(reply, MAX_REPLY_BYTES, self._buffers)
        exchange.reply_bytes = len(body)
        whole_reply = Reply(reply.status, reply.headers, body, exchange.framing)
        if info.not_run and reply.status in _NOT_RUN_STATUSES:
            return Outcome.NOT_RUN, None
        if reply.status >= _MIN_SERVER_ERROR:
            # An endpoint that states when it takes requests again is not failing.
            if info.retry_after_s is None:
                self._record_failure(endpoint)
            if not _promises_too_much(exchange, reply.status):
                exchange.failure_reply = whole_reply
            return Outcome.FAILED, None
        if _promises_too_much(exchange, reply.status):
            return Outcome.FAILED, None
        self._health.record_success(endpoint.endpoint_id)
        exchange.record_first_byte(self._metrics, self._clock())
        reply.release()
        return await self._deliver_reply(exchange, whole_reply)

    async def _deliver_reply(
        self, exchange: Exchange, reply: Reply
    ) -> tuple[Outcome, web.StreamResponse | None]:
        if exchange.stream is not None:
            # Part of a stream was already sent to the caller. This response is not its
            # continuation and cannot be appended to it.
            return Outcome.FAILED, None
        return Outcome.DELIVERED, self.make_response(reply)

    def make_response(self, reply: Reply) -> web.StreamResponse:
        """Return the response to the caller that passes on an endpoint's reply.

        A length is stated only if the endpoint's reply is known to be whole.
        """
        headers = self._codec.reply_headers(reply.headers)
        if not reply.framing.proves_end:
            return RelayedResponse(reply.status, headers, reply.framing, reply.body)
        return WholeResponse(status=reply.status, headers=headers, body=reply.body)

    def _record_failure(self, endpoint: Endpoint) -> None:
        if self._health.record_failure(endpoint.endpoint_id, self._clock()):
            log.warning(
                "endpoint_ejected",
                extra={"endpoint": endpoint.endpoint_id, "address": endpoint.address},
            )


def _check_request_id(exchange: Exchange, endpoint: Endpoint, info: ReplyInfo) -> None:
    """Raise BrokenReplyError unless a response names the request that was sent.

    On a kept connection, a response to an earlier request may arrive once more. A
    refusal is valid only if it names its request: without an id of the caller's, it
    cannot be told whether the endpoint refused this request or an earlier one.
    """
    if info.request_id != exchange.info.request_id:
        raise BrokenReplyError(
            f"{endpoint.address}: response to request {info.request_id!r}"
        )
    is_refusal = info.not_run or info.wrong_instance
    if is_refusal and not info.request_id:
        raise BrokenReplyError(f"{endpoint.address}: refusal of an unnamed request")


def _promises_too_much(exchange: Exchange, status: int) -> bool:
    """Return True if a status, passed on, states that a request has not run.

    It may have run, since the endpoint did not state the contrary. A second run of a
    request that can be repeated does no harm.
    """
    return status in _NOT_RUN_STATUSES and not exchange.may_repeat(Outcome.FAILED)


def _schedule_early_end(
    exchange: Exchange,
    timeout: asyncio.Timeout,
    reserve_successor: Callable[[Exchange], bool],
) -> asyncio.TimerHandle | None:
    """Let an attempt that can be repeated end at the latency objective.

    That leaves time for another endpoint. If none can be reserved at that time, the
    attempt may use the whole deadline, as all others may.
    """
    is_last = exchange.attempts + 1 >= exchange.route.max_attempts
    if exchange.is_stream or not exchange.route.repeatable or is_last:
        return None

    def end() -> None:
        if not timeout.expired() and reserve_successor(exchange):
            timeout.reschedule(0.0)

    loop = asyncio.get_running_loop()
    return loop.call_later(exchange.route.objective_s * ATTEMPT_TIMEOUT_OBJECTIVES, end)
