"""Servers of the soak: each answer tells to whom it belongs, each run is noted."""

import asyncio
import time
from typing import NamedTuple

from slatehoist_standins.deployment_server import (
    Arrival,
    DeploymentServer,
    encode_chunk,
)

#: Pieces of a stream.
PIECES = 12


class Run(NamedTuple):
    """One run of a request at a server."""

    server: str
    at: float
    team: str
    start: int


def plain_body(request_id: str) -> bytes:
    """Give the body of an answer."""
    return f"answer to {request_id}".encode()


def piece(request_id: str, number: int) -> bytes:
    """Give one piece of a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def stream_body(request_id: str) -> bytes:
    """Give a whole stream."""
    return b"".join(piece(request_id, number) for number in range(1, PIECES + 1))


class SoakServer(DeploymentServer):
    """Server that crashes, drains, misbehaves by chance, and notes its runs.

    Attributes
    ----------
    runs : dict of str to list of Run
        All runs by request, shared by all servers.
    misbehave : callable
        Gives the behaviour of the next answer.
    """

    def __init__(self, server_id: str, runs: dict[str, list[Run]], misbehave) -> None:
        super().__init__(server_id)
        self.runs = runs
        self.misbehave = misbehave
        self.pause_s = 0.02
        #: When the store accepted that this server is leaving; None if it is not.
        self.left_at: float | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def crash(self) -> None:
        """End at once, with all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _next_behaviour(self) -> str:
        return self.misbehave()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _send_plain(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> bool:
        self._note(arrival)
        await asyncio.sleep(self.pause_s)
        return await super()._send_plain(arrival, behaviour, writer)

    def make_body(self, arrival: Arrival) -> bytes:
        """Give the body of an answer."""
        return plain_body(arrival.headers["Request-Id"])

    async def _send_stream(
        self, arrival: Arrival, behaviour: str, reader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = arrival.headers["Request-Id"]
        start = self._note(arrival)
        writer.write(
            self._make_head(arrival, behaviour)
            + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(start + 1, PIECES + 1):
            if behaviour in ("cut", "truncate") and number == PIECES // 2:
                writer.write(encode_chunk(piece(request_id, number)[:9]))
                await writer.drain()
                return False
            writer.write(encode_chunk(piece(request_id, number)))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        return True

    def _note(self, arrival: Arrival) -> int:
        start = int(arrival.headers.get("Last-Event-Id") or 0)
        run = Run(
            self.server_id, time.monotonic(), arrival.headers.get("Tenant", ""), start
        )
        self.runs.setdefault(arrival.headers["Request-Id"], []).append(run)
        return start
