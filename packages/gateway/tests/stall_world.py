"""Gateway whose requests stall at one endpoint at the same moment, in simulated time.

The gateway and its attempts are the production code. Another endpoint is added while
the requests run; it answers at once.
"""

import asyncio

from gateway_builders import make_endpoint
from reply_world import ReplyWorld, ScriptedReply, make_events

from recorded_caller import Answer
from slatehoist.gateway import Kind, Service
from slatehoist.gateway.upstream import UpstreamRequest
from slatehoist.routing import SharedRetryBudget
from slatehoist.routing.retries import STEADY_RATIO

#: Events of a stream, and those that arrive before it stalls.
EVENTS = 4
EVENTS_BEFORE_STALL = 2
DEADLINE_S = 8.0
STALLING, OTHER = "e1", "e2"
BODY = b"answer"
START_S = 100.0
WINDOW_S = 10.0


class StalledReply(ScriptedReply):
    """Stream that stalls after some events until it may go on."""

    def __init__(self, go_on: asyncio.Event) -> None:
        super().__init__(make_events(1, EVENTS_BEFORE_STALL), "chunked")
        self._rest = [make_events(EVENTS_BEFORE_STALL + 1, EVENTS)]
        self._go_on = go_on

    async def readany(self) -> bytes:
        if piece := await super().readany():
            return piece
        await self._go_on.wait()
        return self._rest.pop() if self._rest else b""


class StallingUpstream:
    """HTTP client of an endpoint that stalls, and of one that answers at once.

    Attributes
    ----------
    sent : list of str
        Addresses of the requests, in order.
    """

    def __init__(self, is_stream: bool, stalling: str) -> None:
        self._is_stream = is_stream
        self._stalling = stalling
        self.go_on = asyncio.Event()
        self.sent: list[str] = []

    async def send(self, req: UpstreamRequest) -> ScriptedReply:
        self.sent.append(req.address)
        stalls = req.address == self._stalling
        if self._is_stream and stalls:
            return StalledReply(self.go_on)
        if self._is_stream:
            first = int(req.headers["Last-Event-Id"] or 0) + 1
            return ScriptedReply(make_events(first, EVENTS), "chunked")
        if stalls:
            await self.go_on.wait()
        return ScriptedReply(BODY, "length", headers={})

    async def probe(self, address: str) -> None:
        pass


class StallWorld(ReplyWorld):
    """Gateway with some requests that stall together.

    Parameters
    ----------
    retries : int
        Retries that the budget has room for.
    """

    def __init__(
        self, is_stream: bool, retries: int = 100, cold_rate: float = 0.0
    ) -> None:
        super().__init__(
            endpoints=1,
            service=Service("app", cold_rate=cold_rate),
            kind=Kind.STREAM if is_stream else Kind.SAFE,
            resumable=is_stream,
            timeout_s=DEADLINE_S,
        )
        stalling = make_endpoint(STALLING)
        self.other = make_endpoint(OTHER)
        self._listed = [stalling, self.other]
        self.upstream = StallingUpstream(is_stream, stalling.address)
        self.forwarder.attempts._upstream = self.upstream
        self.budget = SharedRetryBudget(0.0, retries / STEADY_RATIO, WINDOW_S)
        self.forwarder._budgets["app"] = self.budget

    def clock(self) -> float:
        return START_S + asyncio.get_running_loop().time()

    def add_other(self) -> None:
        """List the endpoint that answers at once."""
        self.directory.update(self._listed, self.clock())

    async def play(self, requests: int, go_on_s: float) -> list[Answer]:
        """Send all requests at once, and let the stalled ones go on at a time."""
        calls = [self.call(wait_s=DEADLINE_S + 1.0) for _ in range(requests)]
        loop = asyncio.get_running_loop()
        loop.call_at(0.1, self.add_other)
        loop.call_at(go_on_s, self.upstream.go_on.set)
        return list(await asyncio.gather(*calls))

    @property
    def moved(self) -> int:
        """Return the number of requests that the other endpoint got."""
        return self.upstream.sent.count(self.other.address)
