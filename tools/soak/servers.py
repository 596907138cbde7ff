"""Servers of the soak, which record runs and put the request id into each response."""

import asyncio
import time
from typing import NamedTuple

from slatehoist_standins.deployment_server import (
    CUT_BEHAVIOURS,
    LAST_CHUNK,
    Arrival,
    DeploymentServer,
    crashes_servers,
    encode_chunk,
)
from slatehoist_standins.sockets import reset_connection

#: Seconds for which a server that hangs keeps its connections open.
HANG_S = 10.0
#: Number of events in a stream.
STREAM_EVENTS = 12


class Run(NamedTuple):
    """One run of a request at a server.

    Attributes
    ----------
    at : float
        Monotonic time in seconds.
    start : int
        Number of the event after which a stream was resumed, or 0.
    """

    server: str
    at: float
    team: str
    start: int


def plain_body(request_id: str) -> bytes:
    """Return the body of a response that is not a stream."""
    return f"answer to {request_id}".encode()


def encode_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def stream_body(request_id: str) -> bytes:
    """Return all events of a stream."""
    return b"".join(
        encode_event(request_id, number) for number in range(1, STREAM_EVENTS + 1)
    )


class PoisonCrash(NamedTuple):
    """Crash of a server by a poison request; ``at`` is in monotonic seconds."""

    at: float
    request_id: str


class Notice(NamedTuple):
    """Answer in which a server asked for no requests.

    Attributes
    ----------
    for_s : float
        Seconds for which the server turns requests away; infinite if it leaves.
    """

    request_id: str
    at: float
    for_s: float


class RateLimit(NamedTuple):
    """Time span in which a server stated a rate, in requests per second."""

    rate: float
    start: float
    end: float


class Evacuation:
    """Evacuation of a zone by the operator, in monotonic seconds.

    Attributes
    ----------
    start : float
        Time at which the store accepted the row.
    end : float
        Time just before the row was removed; infinite before that.
    """

    def __init__(self, zone: str, start: float) -> None:
        self.zone = zone
        self.start = start
        self.end = float("inf")


class ColdSpan(NamedTuple):
    """Time span in which a server was cold, in monotonic seconds.

    Attributes
    ----------
    is_start : bool
        True if the server had just started.
    """

    start: float
    end: float
    is_start: bool


class SoakServer(DeploymentServer):
    """Server that can crash and drain, draws its behaviour, and records its runs.

    Attributes
    ----------
    runs : dict of str to list of Run
        All runs by request id, shared by all servers.
    draw_behaviour : callable
        Returns the behaviour for the next response.
    draw_size : callable
        Returns a number below the one that it is called with.
    draw_ending : callable
        Returns how the server ends when it runs a poison request: ``reset`` resets its
        connections, ``hang`` leaves them open, and ``unframed`` ends the body of the
        poison request, which has no length.
    on_poison : callable
        Called with the server and the id of a poison request that crashed it.
    """

    def __init__(
        self, server_id: str, runs: dict[str, list[Run]], draw_behaviour
    ) -> None:
        super().__init__(server_id)
        self.runs = runs
        self.draw_behaviour = draw_behaviour
        self.draw_size = lambda size: size // 2
        self.draw_ending = lambda: "reset"
        self.on_poison = lambda server, request_id: None
        self.is_up = True
        #: Answers that asked for no requests, and the arrivals of all requests (request
        #: id and time), in order.
        self.notices: list[Notice] = []
        self.arrived: list[tuple[str, float]] = []
        #: Those arrivals that were meant for this server; it answers others with 421.
        self.accepted: list[tuple[str, float]] = []
        self.rate_limits: list[RateLimit] = []
        self.cold_spans: list[ColdSpan] = []
        #: Times of the requests that were meant for this server, in order.
        self.counted_at: list[float] = []
        #: Seconds before a plain response and after each event of a stream.
        self.pause_s = 0.02
        #: Time at which the store accepted the state ``draining``; None before that.
        self.draining_since: float | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        #: Connections whose stream has neither a length nor chunks, until it is whole.
        self._unframed_writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """Stop listening and end all connections.

        Those of streams without a length and chunks are reset: after an orderly close
        between two events nobody could tell that the stream is not whole.
        """
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            if writer in self._unframed_writers:
                reset_connection(writer)
            else:
                writer.transport.abort()

    def become_cold(self, cold_s: float, is_start: bool = False) -> None:
        """Become cold for some seconds, and record that."""
        super().become_cold(cold_s)
        now = time.monotonic()
        self.cold_spans.append(ColdSpan(now, now + cold_s, is_start))

    async def restart(self) -> None:
        """Start again at the same address, under the same id."""
        self.born += 1
        await self.start(int(self.address.rpartition(":")[2]))
        self.is_up = True

    async def _respond(
        self,
        arrival: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.arrived.append((arrival.headers["Request-Id"], time.monotonic()))
        expected = arrival.headers.get("Expect-Instance")
        if expected == self.server_id:
            self.accepted.append(self.arrived[-1])
            self.counted_at.append(time.monotonic())
        if not crashes_servers(arrival) or expected != self.server_id:
            return await super()._respond(arrival, reader, writer)
        ending = self.draw_ending()
        self.is_up = False
        self._server.close()
        self.on_poison(self, arrival.headers["Request-Id"])
        if ending == "unframed":
            writer.write(self._make_head(arrival, "ok") + b"\r\n" + b"cut off")
            await writer.drain()
            writer.close()
        if ending != "hang":
            self.crash()
        else:
            await asyncio.sleep(HANG_S)
        return False

    def _make_refusal(self, arrival: Arrival) -> bytes:
        if self.turns_away_for_s:
            self._record_notice(arrival, self.turns_away_for_s)
        return super()._make_refusal(arrival)

    def _notices(self, arrival: Arrival) -> list[str]:
        if self.leaving:
            self._record_notice(arrival, float("inf"))
        return super()._notices(arrival)

    def _record_notice(self, arrival: Arrival, for_s: float) -> None:
        request_id = arrival.headers["Request-Id"]
        self.notices.append(Notice(request_id, time.monotonic(), for_s))

    def _next_behaviour(self) -> str:
        return self.draw_behaviour()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)
            self._unframed_writers.discard(writer)

    async def _cut_head(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> bool:
        self._record_run(arrival)
        self.head_bytes = self.draw_size(len(self.make_head(arrival)))
        return await super()._cut_head(arrival, behaviour, writer)

    async def _send_plain(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> bool:
        self._record_run(arrival)
        await asyncio.sleep(self.pause_s)
        return await super()._send_plain(arrival, behaviour, writer)

    def make_body(self, arrival: Arrival) -> bytes:
        """Return the body of a response that is not a stream."""
        return plain_body(arrival.headers["Request-Id"])

    async def _send_stream(
        self, arrival: Arrival, behaviour: str, reader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = arrival.headers["Request-Id"]
        start = self._record_run(arrival)
        if behaviour == "text_after_cut" and start:
            head = self._make_head(arrival, behaviour)
            writer.write(head + b"Content-Type: text/plain\r\nContent-Length: 4\r\n")
            writer.write(b"\r\ntext")
            return True
        unframed = behaviour.startswith("unframed")
        encode = bytes if unframed else encode_chunk
        if unframed:
            self._unframed_writers.add(writer)
        writer.write(self._make_stream_head(arrival, behaviour))
        for number in range(start + 1, STREAM_EVENTS + 1):
            event = encode_event(request_id, number)
            is_cut = behaviour in CUT_BEHAVIOURS or behaviour == "text_after_cut"
            if number == STREAM_EVENTS // 2 and is_cut:
                return await self._cut_stream(behaviour, encode(event[:9]), writer)
            writer.write(encode(event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        self._unframed_writers.discard(writer)
        if not unframed:
            writer.write(LAST_CHUNK)
        return not unframed

    def _record_run(self, arrival: Arrival) -> int:
        start = int(arrival.headers.get("Last-Event-Id") or 0)
        run = Run(
            self.server_id, time.monotonic(), arrival.headers.get("Tenant", ""), start
        )
        self.runs.setdefault(arrival.headers["Request-Id"], []).append(run)
        return start
