"""Servers of the soak, which record runs and put the request id into each response."""

import asyncio
import time
from typing import NamedTuple

from slatehoist_standins.deployment_server import (
    Arrival,
    DeploymentServer,
    encode_chunk,
)

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


class SoakServer(DeploymentServer):
    """Server that can crash and drain, draws its behaviour, and records its runs.

    Attributes
    ----------
    runs : dict of str to list of Run
        All runs by request id, shared by all servers.
    draw_behaviour : callable
        Returns the behaviour for the next response.
    """

    def __init__(
        self, server_id: str, runs: dict[str, list[Run]], draw_behaviour
    ) -> None:
        super().__init__(server_id)
        self.runs = runs
        self.draw_behaviour = draw_behaviour
        #: Seconds before a plain response and after each event of a stream.
        self.pause_s = 0.02
        #: Time at which the store accepted the state ``draining``; None before that.
        self.draining_since: float | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _next_behaviour(self) -> str:
        return self.draw_behaviour()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

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
        writer.write(
            self._make_head(arrival, behaviour)
            + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(start + 1, STREAM_EVENTS + 1):
            if behaviour in ("cut", "truncate") and number == STREAM_EVENTS // 2:
                writer.write(encode_chunk(encode_event(request_id, number)[:9]))
                await writer.drain()
                return False
            writer.write(encode_chunk(encode_event(request_id, number)))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        return True

    def _record_run(self, arrival: Arrival) -> int:
        start = int(arrival.headers.get("Last-Event-Id") or 0)
        run = Run(
            self.server_id, time.monotonic(), arrival.headers.get("Tenant", ""), start
        )
        self.runs.setdefault(arrival.headers["Request-Id"], []).append(run)
        return start
