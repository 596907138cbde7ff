"""Gateway between scripted replies and a recorded caller, without a network.

The gateway and its attempts are the production code. Only the replies of the endpoints
and the transport of the caller's connection are replaced.
"""

import random
from typing import Any

from aiohttp.client_exceptions import ClientPayloadError
from gateway_builders import make_configuration, make_endpoint, make_route
from gateway_fleet import SharedTable
from multidict import CIMultiDict

from recorded_caller import Answer, RecordedCaller
from slatehoist.gateway import (
    Catalogue,
    EndpointDirectory,
    GatewaySettings,
    ReplyInfo,
    RequestInfo,
    Service,
)
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.exchange import request_digest
from slatehoist.gateway.forwarding import make_forwarder
from slatehoist.gateway.gateway import Gateway
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.probes import EndpointProbes
from slatehoist.gateway.upstream import UpstreamRequest
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import CrashTally, LoadAwareChooser, Membership

EVENT_STREAM = {"Content-Type": "text/event-stream"}
#: Headers of a reply by what marks its end; `length` is completed by the reply's size.
FRAMINGS: dict[str, dict[str, str]] = {
    "length": {},
    "chunked": {"Transfer-Encoding": "chunked"},
    "connection": {},
}
_ROUTE_PATH = "/a/x"
_SERVICE = Service("app")


def make_event(number: int) -> bytes:
    """Build an event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def make_events(first: int, last: int) -> bytes:
    """Build the events of a stream from one number to another."""
    return b"".join(make_event(number) for number in range(first, last + 1))


class ScriptedReply:
    """Response of an endpoint whose body arrives in one piece.

    Parameters
    ----------
    framing : str
        What marks the end of the body; a key of `FRAMINGS`.
    breaks : bool
        True if reading the body fails after the piece, as it does when the connection
        is reset or closed before the end that the head announces.
    """

    def __init__(
        self,
        body: bytes,
        framing: str = "connection",
        breaks: bool = False,
        status: int = 200,
        headers: dict[str, str] = EVENT_STREAM,
    ) -> None:
        self.status = status
        self.headers = CIMultiDict({**headers, **FRAMINGS[framing]})
        if framing == "length":
            self.headers["Content-Length"] = str(len(body) + breaks)
        self.content = self
        self._body = body
        self._pieces = [body] if body else []
        self._breaks = breaks
        #: Called before each read of the body.
        self.on_read = lambda: None

    async def readany(self) -> bytes:
        self.on_read()
        if self._pieces:
            return self._pieces.pop()
        if self._breaks:
            raise ClientPayloadError("the body is incomplete")
        return b""

    async def read(self) -> bytes:
        if self._breaks:
            raise ClientPayloadError("the body is incomplete")
        return self._body

    def close(self) -> None:
        pass

    def release(self) -> None:
        pass


class ScriptedUpstream:
    """HTTP client that returns the scripted replies in order."""

    def __init__(self, replies: list[ScriptedReply]) -> None:
        self.replies = replies
        self.requests: list[UpstreamRequest] = []

    async def send(self, req: UpstreamRequest) -> ScriptedReply:
        self.requests.append(req)
        return self.replies.pop(0)

    async def probe(self, address: str) -> None:
        pass


class ScriptedCodec:
    """Codec for valid messages without headers of their own."""

    def read_request(self, headers: Any) -> RequestInfo:
        return RequestInfo("id", None, "key", "")

    def request_headers(self, headers: Any, forwarding: Any) -> CIMultiDict[str]:
        return CIMultiDict({"Last-Event-Id": forwarding.last_event_id})

    def reply_headers(self, headers: Any) -> CIMultiDict[str]:
        return CIMultiDict({"Content-Type": headers.get("Content-Type", "")})

    def own_headers(self, request_id: str, retry_after_s: float | None) -> Any:
        return CIMultiDict({"Retry-After": str(retry_after_s)})

    def read_reply(self, status: int, headers: Any) -> ReplyInfo:
        return ReplyInfo(
            "id",
            not_run="Not-Run" in headers,
            wrong_instance=False,
            authentic=True,
            leaving="Leaving" in headers,
            retry_after_s=float(headers["Wait"]) if "Wait" in headers else None,
            rate_limit=float(headers["Rate"]) if "Rate" in headers else None,
            states_rate_limit="Rate" in headers,
            cold_s=float(headers["Cold"]) if "Cold" in headers else None,
        )


class ReplyWorld:
    """One gateway and some endpoints whose replies are scripted.

    Parameters
    ----------
    zone : str
        Zone of the gateway.
    zone_regions : dict of str to str
        Region of each zone.
    configured : bool
        False if the gateway has not read a configuration.
    endpoints : int
        Number of endpoints.
    """

    def __init__(
        self,
        *replies: ScriptedReply,
        max_list_age_s: float = float("inf"),
        zone: str = "a",
        zone_regions: dict[str, str] | None = None,
        configured: bool = True,
        service: Service = _SERVICE,
        endpoints: int = 2,
        **route_fields,
    ) -> None:
        self.now = 100.0
        self.tally = CrashTally()
        #: HTTP client, to whose replies a test may add.
        self.upstream = ScriptedUpstream(list(replies))
        metrics = self.metrics = GatewayMetrics()
        cfg = GatewaySettings(
            "gateway-0", zone, "", "", zone_regions=zone_regions or {}
        )
        self.codec = ScriptedCodec()
        self.crashes = CrashReports(
            SharedTable(),
            cfg.instance,
            cfg.row_ttl_s,
            cfg.crash_poll_s,
            self.tally,
            metrics,
            self.clock,
        )
        directory = self.directory = EndpointDirectory(1.0, max_age_s=max_list_age_s)
        listed = [make_endpoint(f"e{n}") for n in range(1, endpoints + 1)]
        directory.update(listed, self.now)
        self.health = EndpointHealth()
        self.evacuations = EvacuationState(
            cfg.max_zones_age_s, directory, metrics, self.clock
        )
        catalogue = self.catalogue = Catalogue(5.0)
        forwarder = self.forwarder = make_forwarder(
            cfg,
            self.codec,
            directory,
            self.health,
            self.evacuations,
            self.upstream,
            LoadAwareChooser(random.Random(1)),
            self.tally,
            self.crashes,
            EndpointProbes(self.upstream.probe, self.crashes, self.clock),
            catalogue.find_service,
            metrics,
            self.clock,
        )
        # The gateway was counted long ago, so that it has its share of the retries.
        long_ago = -1000.0
        forwarder.record_membership(Membership(1, long_ago, long_ago, (cfg.instance,)))
        self.route = make_route(**{"public": True, **route_fields})
        if configured:
            cfg_in_force = make_configuration(
                1, routes=(self.route,), services=(service,)
            )
            catalogue.offer(cfg_in_force)
        self.gateway = Gateway(
            self.codec,
            catalogue,
            forwarder,
            metrics,
            random.Random(1),
            self.clock,
        )
        #: Caller of the last call.
        self.caller: RecordedCaller | None = None
        #: Digest of the requests that `call` sends.
        self.digest = request_digest("GET", _ROUTE_PATH, "", b"")

    def clock(self) -> float:
        return self.now

    async def call(
        self,
        version: str = "1.1",
        method: str = "GET",
        keep_alive: bool = False,
        wait_s: float = 0.0,
    ) -> Answer:
        """Send a request on a connection of its own, and return the answer."""
        self.caller = RecordedCaller(self.gateway.handle)
        request = f"{method} {_ROUTE_PATH} HTTP/{version}\r\nHost: h\r\n"
        if keep_alive:
            request += "Connection: keep-alive\r\n"
        request += "\r\n"
        return await self.caller.send(request.encode(), wait_s)
