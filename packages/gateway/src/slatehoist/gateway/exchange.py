"""One caller's request, and how attempts at endpoints end."""

from enum import StrEnum
from typing import NamedTuple

from aiohttp import web

from slatehoist.gateway.model import Kind, RequestInfo, Route, Service


class Outcome(StrEnum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have worked on the request."""
        return self in (Outcome.FAILED, Outcome.BROKEN, Outcome.TIMED_OUT)


class Reply(NamedTuple):
    """Whole response of an endpoint."""

    status: int
    headers: object
    body: bytes


class Exchange:
    """One caller's request and what has become of it so far."""

    def __init__(
        self,
        req: web.BaseRequest,
        body: bytes,
        info: RequestInfo,
        route: Route,
        service: Service,
        team: str,
        arrived_at: float,
        ends_at: float,
    ) -> None:
        self.req = req
        self.body = body
        self.info = info
        self.route = route
        self.service = service
        self.team = team
        self.arrived_at = arrived_at
        self.ends_at = ends_at
        self.attempts = 0
        self.tried: set[str] = set()
        self.may_have_run = False
        #: Whether it was refused because the endpoints' group does not run.
        self.group_closed = False
        #: Whether it was refused because it crashed too many endpoints.
        self.blocked = False
        self.failure: Reply | None = None
        self.stream: web.StreamResponse | None = None
        self.last_event_id = info.last_event_id

    @property
    def is_stream(self) -> bool:
        """Whether the response is a series of events."""
        return self.route.kind == Kind.STREAM

    def may_repeat(self, outcome: Outcome) -> bool:
        """Whether another attempt after an outcome keeps at most one run."""
        if not outcome.may_have_run:
            return True
        return self.route.repeatable or (self.is_stream and self.route.resumable)
