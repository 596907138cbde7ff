"""Forwarding of a request: attempts at endpoints and retries.

An attempt sends the request to one endpoint, and its `Outcome` decides whether another
attempt at a different endpoint follows. A retry is safe in three cases:

- The request did not run: no connection was made, the endpoint stated that it did not
  run the request, or another endpoint has taken over the address.
- The route is repeatable, so that a second run from the start does no harm.
- The route is a resumable stream, which the next endpoint continues after the last
  event that the caller received.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable

import aiohttp
from aiohttp import web

from slatehoist.gateway.codec import Forwarding, HeaderCodec
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.exchange import Exchange, Outcome, Reply
from slatehoist.gateway.health import EndpointHealth, GroupState
from slatehoist.gateway.holds import EndpointHolds
from slatehoist.gateway.losses import LostRequest
from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.probes import EndpointProbes
from slatehoist.gateway.settings import (
    ATTEMPT_TIMEOUT_OBJECTIVES,
    GROUP_FORMING_POLL_S,
    GROUP_FORMING_WAIT_S,
    LIST_WAIT_S,
    MAX_BUFFERED_BYTES,
    MAX_LOGGED_PARTS,
    MAX_REPLY_BYTES,
    MIN_ATTEMPT_S,
    PROBE_SILENCE_S,
    REGISTRY_PROPAGATION_S,
    RETRY_RATIO_USED,
    STREAM_IDLE_MARGIN_S,
    GatewaySettings,
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
    read_body,
    response_framing,
)
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import (
    AllowanceShare,
    Candidate,
    Chooser,
    CrashTally,
    Membership,
    RateShares,
    SharedRetryBudget,
)

log = logging.getLogger(__name__)

#: Lowest status that counts as a failure of the endpoint.
_MIN_SERVER_ERROR = 500
_SUCCESS_STATUSES = range(200, 300)
#: Statuses with which an endpoint can state that it did not run the request.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Number of endpoints tried from which a failed connect is no longer retried. A failed
#: connect carried no request, so trying another endpoint is safe; more tries would use
#: up the caller's deadline.
MAX_CONNECT_ATTEMPTS = 3


class Forwarder:
    """Send requests to endpoints and retry them within the limits of their routes."""

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
        probes: EndpointProbes,
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
        self._probes = probes
        self._metrics = metrics
        self._clock = clock
        self._rates = RateShares(cfg.instance, REGISTRY_PROPAGATION_S)
        self._holds = EndpointHolds(metrics, self._rates)
        self._buffers = BufferBudget(MAX_BUFFERED_BYTES)
        self._budgets: dict[str, SharedRetryBudget] = {}
        #: Trials of prompt parts that are being given back.
        self._releases: set[asyncio.Task] = set()
        self.streams = StreamRelay(
            codec, metrics, cfg.stall_s + STREAM_IDLE_MARGIN_S, clock
        )
        self._allowance_share = AllowanceShare(
            cfg.retry_window_s, REGISTRY_PROPAGATION_S
        )

    def record_membership(self, membership: Membership) -> None:
        """Record the instances that share the retry allowance and endpoints' rates."""
        now = self._clock()
        self._allowance_share.record_membership(membership, now)
        self._rates.set_members(membership.names, membership.joined_at, now)

    async def forward(self, exchange: Exchange) -> web.StreamResponse | None:
        """Send the request until an endpoint answers it or no attempt is allowed.

        Returns
        -------
        StreamResponse or None
            The response, or None if there is none. The reason then follows from the
            deadline, `may_have_run` and the other fields of `exchange`.

        Raises
        ------
        CallerLeftError
            If the caller left before its answer was sent.
        """
        budget = self._retry_budget(exchange.service.name)
        budget.record_first_attempt(self._clock())
        while True:
            if self._is_blocked(exchange):
                return None
            await self._wait_for_list()
            if not await self._wait_for_open_group(exchange):
                exchange.group_closed = True
                return None
            # Reports of crashes may have arrived, and the deadline may have passed,
            # during the wait.
            if self._is_blocked(exchange) or not await self._claim_trials(exchange):
                return None
            now = self._clock()
            endpoint = None
            if exchange.deadline_at - now >= MIN_ATTEMPT_S:
                endpoint = self._choose_endpoint(exchange, now)
            if endpoint is None:
                self._release_trials(exchange)
                return None
            selection = self._selection_log_fields(endpoint, now)
            outcome, resp = Outcome.ABANDONED, None
            try:
                outcome, resp = await self._attempt(exchange, endpoint)
            finally:
                self._record_attempt(exchange, outcome)
                if outcome.lost:
                    self._record_loss(exchange, endpoint, outcome, now)
                self._log_attempt(exchange, endpoint, outcome, now, selection)
            if outcome is Outcome.DELIVERED:
                self._record_delivery(exchange, endpoint, now)
                return resp
            if outcome.lost and self._is_suspected(exchange, now):
                await self._wait_for_probe(endpoint)
            if not outcome.may_have_run:
                self._release_trials(exchange)
            exchange.may_have_run |= outcome.may_have_run
            if not self._should_retry(exchange, outcome, budget):
                return None

    def _record_attempt(self, exchange: Exchange, outcome: Outcome) -> None:
        self._metrics.attempts.labels(outcome.value).inc()
        if exchange.framing is not None:
            labels = exchange.framing.value, outcome.value
            self._metrics.reply_ends.labels(*labels).inc()

    def _is_blocked(self, exchange: Exchange) -> bool:
        """Return True if a request must not be sent, and record for how long.

        A request that can be the next trial of all its blocked parts is not blocked.
        """
        now = self._clock()
        tally = self._crashes.parts.tally
        exchange.blocked_for_s = self._tally.blocked_for_s(exchange.digest, now)
        exchange.blocking_parts = tally.blocking_parts(exchange.parts, now)
        if not all(tally.is_trial_due(part, now) for part in exchange.blocking_parts):
            self._block_by_parts(exchange, now)
        if exchange.blocked:
            self._metrics.blocked_requests.inc()
        return exchange.blocked

    def _block_by_parts(self, exchange: Exchange, now: float) -> None:
        tally = self._crashes.parts.tally
        waits = [tally.blocked_for_s(part, now) for part in exchange.blocking_parts]
        exchange.blocked_for_s = max(exchange.blocked_for_s, *waits)

    async def _claim_trials(self, exchange: Exchange) -> bool:
        """Return True if no part blocks a request, or if it is their next trial."""
        if not exchange.blocking_parts:
            return True
        reports = self._crashes.parts
        if await reports.claim_trials(exchange.blocking_parts):
            exchange.trial_parts = exchange.blocking_parts
            return True
        # Another gateway has the trial, or has cleared the parts.
        now = self._clock()
        exchange.blocking_parts = reports.tally.blocking_parts(exchange.parts, now)
        if not exchange.blocking_parts:
            return True
        self._block_by_parts(exchange, now)
        self._metrics.blocked_requests.inc()
        return False

    def _release_trials(self, exchange: Exchange) -> None:
        """Give back the trials that a request has claimed, since it did not run."""
        parts, exchange.trial_parts = exchange.trial_parts, []
        if parts:
            release = asyncio.create_task(self._crashes.parts.release_trials(parts))
            self._releases.add(release)
            release.add_done_callback(self._releases.discard)

    def _is_suspected(self, exchange: Exchange, now: float) -> bool:
        """Return True if one more crash would block a request."""
        return self._tally.is_suspected(
            exchange.digest, now
        ) or self._crashes.parts.tally.is_suspected(exchange.parts)

    def _record_loss(
        self, exchange: Exchange, endpoint: Endpoint, outcome: Outcome, sent_at: float
    ) -> None:
        """Record a lost request, and probe the endpoint if it may be down.

        An endpoint whose connection did not break is probed only if it was silent for
        long: attempts that can be repeated time out early, and callers leave at any
        time. If one more crash would block the request, it is probed in any case.
        """
        self._metrics.lost_requests.labels(outcome.value).inc()
        request = LostRequest(exchange.digest, exchange.parts)
        self._crashes.record_loss(endpoint, request, sent_at)
        silent_s = self._clock() - exchange.last_data_at
        if (
            outcome is Outcome.BROKEN
            or silent_s >= PROBE_SILENCE_S
            or self._is_suspected(exchange, self._clock())
        ):
            self._probes.start(endpoint)

    async def _wait_for_probe(self, endpoint: Endpoint) -> None:
        """Wait until a probe shows whether an endpoint that lost a request is down."""
        # Waiting does not cancel the probe, for which other requests may wait, too.
        await asyncio.wait({self._probes.start(endpoint, urgent=True)})

    def _record_delivery(
        self, exchange: Exchange, endpoint: Endpoint, sent_at: float
    ) -> None:
        """Record that a request was answered, unless a crash may have ended the body.

        Such a body cannot be told from a whole one, so it is passed on. The endpoint is
        probed unless all parts of the prompt have succeeded before. An error status or
        an empty body does not show that the endpoint can answer the prompt.
        """
        has_answer = exchange.succeeded and exchange.reply_bytes > 0
        parts = exchange.parts if has_answer else ()
        if exchange.framing.proves_end:
            self._crashes.record_success(exchange.digest, parts)
        else:
            request = LostRequest(exchange.digest, parts, is_delivered=True)
            self._crashes.record_loss(endpoint, request, sent_at)
            tally, now = self._crashes.parts.tally, self._clock()
            if not all(tally.is_proven(part, now) for part in parts):
                self._probes.start(endpoint)

    async def _wait_for_list(self) -> None:
        """Wait shortly for the list of endpoints, if it is overdue.

        Otherwise a process that stood still would send the requests that arrived
        meanwhile to endpoints that have left.
        """
        if not self._directory.is_overdue(self._clock()):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIST_WAIT_S):
                await self._directory.wait_for_read()

    async def _wait_for_open_group(self, exchange: Exchange) -> bool:
        """Wait while a group of the service forms, and return True if one is open.

        Refusing at once would be worse: a caller makes only a few retries before its
        deadline, and most of them would arrive while the group still forms.
        """
        if exchange.service.engine is None:
            return True
        wait_until = min(self._clock() + GROUP_FORMING_WAIT_S, exchange.deadline_at)
        while True:
            listed = self._directory.of_service(exchange.service.name)
            state = self._health.group_state(listed, self._clock())
            if state is not GroupState.FORMING or self._clock() >= wait_until:
                return state is GroupState.OPEN
            await asyncio.sleep(GROUP_FORMING_POLL_S)

    def _should_retry(
        self, exchange: Exchange, outcome: Outcome, budget: SharedRetryBudget
    ) -> bool:
        """Return True if the request is sent again, and charge the retry.

        After a failed connect, only the number of endpoints tried is limited. Any other
        retry must be safe and is charged to the service's retry budget. An attempt that
        made a connection counts towards the route's limit, unless another endpoint has
        taken over the address.
        """
        if outcome is Outcome.NOT_SENT:
            return len(exchange.tried) < MAX_CONNECT_ATTEMPTS
        if not exchange.may_repeat(outcome):
            return False
        if outcome is not Outcome.WRONG_INSTANCE:
            exchange.attempts += 1
        if exchange.attempts >= exchange.route.max_attempts:
            return False
        now = self._clock()
        return budget.spend(now, self._allowance_share.fraction(now))

    def _retry_budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedRetryBudget(
                self._cfg.retry_ratio * RETRY_RATIO_USED,
                self._cfg.retry_allowance,
                self._cfg.retry_window_s,
            )
        return budget

    def _choose_endpoint(self, exchange: Exchange, now: float) -> Endpoint | None:
        listed = self._directory.of_service(exchange.service.name)
        untried = [e for e in listed if e.endpoint_id not in exchange.tried]
        open_endpoints = self._holds.available(untried, now)
        if not open_endpoints:
            exchange.hold = self._holds.find_hold(listed, now)
            return None
        endpoints = self._health.in_open_groups(open_endpoints, now)
        endpoints = self._health.available(endpoints, now)
        candidates = [self._candidate(endpoint, now) for endpoint in endpoints]
        chosen = self._chooser.choose(candidates, self._cfg.zone)
        if chosen is None:
            return None
        endpoint = next(e for e in endpoints if e.endpoint_id == chosen.name)
        self._holds.record_sent(endpoint, now)
        return endpoint

    def _selection_log_fields(
        self, endpoint: Endpoint, now: float
    ) -> dict[str, object]:
        """Return the values that the selection was based on, as log fields."""
        record = self._health.get_record(endpoint.endpoint_id)
        return {
            "load": record.reported_load,
            "load_age_ms": milliseconds(now - record.reported_at),
            "own_inflight": record.inflight,
            "pace": record.pace,
            "list_age_ms": milliseconds(now - (self._directory.updated_at or now)),
            **self._holds.rate_log_fields(endpoint, now),
        }

    def _candidate(self, endpoint: Endpoint, now: float) -> Candidate:
        record = self._health.get_record(endpoint.endpoint_id)
        return Candidate(
            endpoint.endpoint_id,
            endpoint.zone,
            own_inflight=record.inflight,
            reported_load=record.reported_load,
            own_at_report=record.inflight_at_report,
            report_age_s=now - record.reported_at,
            # A straggler completes fewer requests in the same time.
            concurrency=max(endpoint.concurrency / record.pace, 1),
        )

    async def _attempt(
        self, exchange: Exchange, endpoint: Endpoint
    ) -> tuple[Outcome, web.StreamResponse | None]:
        """Send the request to one endpoint, and pass on its response if it is valid."""
        exchange.tried.add(endpoint.endpoint_id)
        exchange.sent_at = exchange.last_data_at = self._clock()
        exchange.framing = None
        exchange.succeeded = False
        exchange.reply_bytes = exchange.partial_event_bytes = 0
        record = self._health.get_record(endpoint.endpoint_id)
        record.inflight += 1
        reply: aiohttp.ClientResponse | None = None
        try:
            async with asyncio.timeout(self._attempt_timeout_s(exchange)):
                reply = await self._upstream.send(
                    self._build_request(exchange, endpoint)
                )
                return await self._handle_reply(exchange, endpoint, reply)
        except NotSentError as exc:
            self._record_failure(endpoint)
            if exc.refused:
                self._crashes.record_end(endpoint)
            return Outcome.NOT_SENT, None
        except TimeoutError:
            self._record_failure(endpoint)
            return Outcome.TIMED_OUT, None
        except (BrokenReplyError, aiohttp.ClientError) as exc:
            self._record_failure(endpoint)
            log.info(
                "reply_broken",
                extra={"request": exchange.info.request_id, "why": repr(exc)},
            )
            return Outcome.BROKEN, None
        finally:
            record.inflight -= 1
            if reply is not None:
                reply.close()

    def _attempt_timeout_s(self, exchange: Exchange) -> float:
        """Return the seconds within which one attempt must end.

        An attempt that can be repeated ends early, at the latency objective, so that
        time is left for another endpoint. All others may use the whole deadline.
        """
        remaining_s = exchange.deadline_at - self._clock()
        is_last = exchange.attempts + 1 >= exchange.route.max_attempts
        if exchange.is_stream or not exchange.route.repeatable or is_last:
            return remaining_s
        return min(remaining_s, exchange.route.objective_s * ATTEMPT_TIMEOUT_OBJECTIVES)

    def _build_request(self, exchange: Exchange, endpoint: Endpoint) -> UpstreamRequest:
        forwarding = Forwarding(
            endpoint.endpoint_id,
            exchange.deadline_at - self._clock(),
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

    async def _handle_reply(
        self, exchange: Exchange, endpoint: Endpoint, reply: aiohttp.ClientResponse
    ) -> tuple[Outcome, web.StreamResponse | None]:
        exchange.last_data_at = self._clock()
        info = self._codec.read_reply(reply.status, reply.headers)
        exchange.framing = response_framing(
            exchange.req.method, reply.status, reply.headers
        )
        if info.request_id and info.request_id != exchange.info.request_id:
            raise BrokenReplyError(
                f"{endpoint.address}: response belongs to another request"
            )
        if info.running is not None:
            self._health.observe_load(
                endpoint.endpoint_id, info.running, info.waiting or 0, self._clock()
            )
        if info.wrong_instance:
            self._crashes.record_end(endpoint)
            self._directory.remove(endpoint.endpoint_id)
            return Outcome.WRONG_INSTANCE, None
        self._holds.record_reply(endpoint, info, self._clock(), exchange.sent_at)
        if reply.status in _SUCCESS_STATUSES:
            exchange.succeeded = True
            if not (info.authentic and info.request_id):
                raise BrokenReplyError(
                    f"{endpoint.address}: response lacks request id or proof of origin"
                )
            if exchange.is_stream:
                await self.streams.relay(exchange, endpoint, reply)
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
            exchange.failure_reply = whole_reply
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
        return web.Response(status=reply.status, headers=headers, body=reply.body)

    def _record_failure(self, endpoint: Endpoint) -> None:
        if self._health.record_failure(endpoint.endpoint_id, self._clock()):
            log.warning(
                "endpoint_ejected",
                extra={"endpoint": endpoint.endpoint_id, "address": endpoint.address},
            )

    def _log_attempt(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        outcome: Outcome,
        started_at: float,
        selection: dict[str, object],
    ) -> None:
        log.info(
            "attempt",
            extra={
                "request": exchange.info.request_id,
                "route": exchange.route.name,
                "endpoint": endpoint.endpoint_id,
                "started_at_ms": endpoint.started_at_ms,
                "digest": exchange.digest,
                "prompt_parts": exchange.info.prompt_parts[:MAX_LOGGED_PARTS],
                "outcome": outcome.value,
                "attempt": len(exchange.tried),
                "framing": exchange.framing,
                "reply_bytes": exchange.reply_bytes,
                "partial_event_bytes": exchange.partial_event_bytes,
                "took_ms": round((self._clock() - started_at) * 1000),
                "left_ms": round((exchange.deadline_at - self._clock()) * 1000),
                **selection,
            },
        )
