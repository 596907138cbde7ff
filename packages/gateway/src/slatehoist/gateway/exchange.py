"""State of one caller's request, and the outcomes of its attempts."""

from enum import StrEnum
from typing import NamedTuple

import xxhash
from aiohttp import web

from slatehoist.gateway.holds import Hold
from slatehoist.gateway.model import Kind, RequestInfo, Route, Service
from slatehoist.gateway.reservations import Successor
from slatehoist.http import Framing, RelayedResponse
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import PromptPart, RetryReservation, Unplaced


class CallerLeftError(Exception):
    """Raised if the caller's connection closed while its answer was being sent."""


class Outcome(StrEnum):
    """How an attempt ended.

    - ``delivered``: the caller got the endpoint's response.
    - ``not_sent``: no connection was made.
    - ``not_run``: the endpoint stated that it did not run the request.
    - ``wrong_instance``: another endpoint has the address now.
    - ``failed``: the endpoint answered with a server error, or with a response that
      cannot continue a stream that was partly sent.
    - ``broken``: the response is missing, cut off or malformed.
    - ``timed_out``: the attempt or the stream exceeded its timeout.
    - ``abandoned``: the caller left before the response was complete.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"

    @property
    def may_have_run(self) -> bool:
        """Return True if the endpoint may have run the request, even in part."""
        return self is Outcome.FAILED or self.lost

    @property
    def lost(self) -> bool:
        """Return True if the request reached an endpoint and its response did not end.

        The endpoint may have crashed while it ran the request.
        """
        return self in (Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.ABANDONED)


def request_digest(method: str, target: str, team: str, body: bytes) -> str:
    """Return a digest that is the same each time a caller sends the request."""
    content = xxhash.xxh3_128()
    for part in (method, target, team):
        content.update(part.encode() + b"\0")
    content.update(body)
    return content.hexdigest()


class Reply(NamedTuple):
    """Response of an endpoint whose end was received."""

    status: int
    headers: object
    body: bytes
    framing: Framing


class Exchange:
    """One caller's request and the state of its attempts."""

    def __init__(
        self,
        req: web.BaseRequest,
        body: bytes,
        info: RequestInfo,
        route: Route,
        service: Service,
        team: str,
        arrived_at: float,
        deadline_at: float,
        team_regions: tuple[str, ...] = (),
        urgency: int = 0,
    ) -> None:
        self.req = req
        self.body = body
        #: Identifies the request in crash reports; see `request_digest`.
        self.digest = request_digest(req.method, req.raw_path, team, body)
        self.info = info
        self.route = route
        self.service = service
        self.team = team
        #: Restrictions of the regions in which the request may run.
        self.regions = (route.regions, team_regions)
        self.arrived_at = arrived_at
        #: 0 is the most urgent; see `RouteTable.urgency`.
        self.urgency = urgency
        #: Time until which an answer is in time for the caller's first attempt.
        self.objective_at = deadline_at - route.timeout_s + route.objective_s
        #: Time at which the request was admitted; None before and after.
        self.admitted_at: float | None = None
        #: Time at which the head of the answer was sent; None before.
        self.first_byte_at: float | None = None
        self.deadline_at = deadline_at
        #: Attempts that count towards the route's limit.
        self.attempts = 0
        #: Ids of the endpoints that were tried; none is tried twice.
        self.tried: set[str] = set()
        self.may_have_run = False
        #: Reservation of the last retry in the retry budget; None before the first.
        self.retry: RetryReservation | None = None
        #: What the next attempt needs, if the current one ends for it; else None.
        self.successor: Successor | None = None
        #: Parts of the prompt that other requests may share.
        self.parts = tuple(PromptPart(service.name, part) for part in info.prompt_parts)
        #: Convicted parts that block the request, except as their next trial.
        self.blocking_parts: list[PromptPart] = []
        #: Parts whose trial the current attempt is.
        self.trial_parts: list[PromptPart] = []
        #: True if the request was refused because no group of its service is open.
        self.group_closed = False
        #: Why no endpoint of the service may run the request; None if one may.
        self.unplaced: Unplaced | None = None
        #: Hold of all endpoints of the service, if there is one.
        self.hold: Hold | None = None
        #: Seconds for which the request is refused because it, or a part of its prompt,
        #: crashed endpoints.
        self.blocked_for_s = 0.0
        #: Rule that chose the endpoint of the current attempt; empty for the default.
        self.chosen_by = ""
        #: Time at which the current attempt was sent.
        self.sent_at = arrived_at
        #: Time at which the current attempt was sent or its response last had data.
        self.last_data_at = arrived_at
        #: True if the current attempt's response has a success status, and the endpoint
        #: does not state that it did not run the request.
        self.succeeded = False
        #: True if the current attempt continues a stream after one of its events.
        self.resumed = False
        #: What marks the end of the current attempt's response; None before its head.
        self.framing: Framing | None = None
        #: Bytes of the current attempt's body that were received.
        self.reply_bytes = 0
        #: Bytes of an event that the current attempt's response has not completed.
        self.partial_event_bytes = 0
        #: Last server error of an endpoint, returned if no attempt succeeds.
        self.failure_reply: Reply | None = None
        #: Response of which a part may already have been sent to the caller.
        self.stream: RelayedResponse | None = None
        #: Media type that the first response of `stream` states, or an empty text.
        self.stream_media_type = ""
        self.last_event_id = info.last_event_id

    @property
    def blocked(self) -> bool:
        """Return True if the request was refused because it crashed endpoints."""
        return self.blocked_for_s > 0.0

    @property
    def is_stream(self) -> bool:
        """Return True if the response is an event stream."""
        return self.route.kind == Kind.STREAM

    def record_first_byte(self, metrics: GatewayMetrics, now: float) -> None:
        """Record that the head of the answer is sent."""
        self.first_byte_at = now
        kind = self.route.kind.value
        metrics.first_byte.labels(kind).observe(now - self.arrived_at)

    def may_repeat(self, outcome: Outcome) -> bool:
        """Return True if another attempt is safe after this outcome.

        It is safe if the request did not run, if the route allows repeated runs, or if
        a stream can be resumed after the last event that the caller received.
        """
        if not outcome.may_have_run:
            return True
        return self.route.repeatable or (self.is_stream and self.route.resumable)
