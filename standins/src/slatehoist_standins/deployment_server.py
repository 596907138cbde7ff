"""Stand-in of a server of the platform.

It speaks the platform's published wire and can shed, fail, break off, answer late,
answer somebody else's request, or end an unframed answer with a reset.
"""

import asyncio
import socket
import struct
from typing import NamedTuple

#: Bytes of the body of a plain answer.
PLAIN_BODY = b"the whole body of the server"
#: Events of a stream.
STREAM_EVENTS = 6
#: Seconds after an early answer until the rest of the request's body is read.
EARLY_PAUSE_S = 0.2
#: Part of a body that crashes whichever server begins to run it.
CRASH_MARKER = b"crashes the server"


class Arrival(NamedTuple):
    """Request as a server got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class DeploymentServer:
    """Server that answers as its list of behaviours says, one for each request.

    Behaviours are ``ok``, ``shed``, ``error``, ``close``, ``reset``, ``hang``,
    ``truncate``, ``unframed``, ``unframed_reset``, ``other_id``, ``no_proof``,
    ``garbage``, ``extra``, ``early`` and, for streams, ``cut`` in the middle of an
    event. The last one is repeated.
    """

    def __init__(self, server_id: str, behaviours: list[str] | None = None) -> None:
        self.server_id = server_id
        self.behaviours = behaviours or ["ok"]
        self.arrivals: list[Arrival] = []
        self.cancelled = 0
        self.crashes = 0
        #: Requests whose connection was reset while no answer had been given.
        self.resets = 0
        self.event_pause_s = 0.0
        self.delay_s = 0.0

    async def start(self) -> str:
        """Listen; give the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    def row(self, service: str, zone: str = "a", state: str = "ready") -> dict:
        """Give what the server says of itself in the store."""
        return {
            "service": service,
            "addr": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await self._read_head(reader):
                if self.behaviours[0] == "early":
                    await self._answer_early(head, reader, writer)
                    continue
                arrival = await self._read_body(head, reader)
                self.arrivals.append(arrival)
                if not await self._answer(arrival, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.cancelled += 1
        finally:
            writer.close()

    async def _answer_early(
        self,
        head: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Reject a request before its body is in, and read on later."""
        self._next_behaviour()
        writer.write(self._make_head(head, "early", 400) + b"Content-Length: 0\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(EARLY_PAUSE_S)
        self.arrivals.append(await self._read_body(head, reader))

    async def _read_head(self, reader: asyncio.StreamReader) -> Arrival | None:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        method, target, _ = first.split(" ")
        headers = dict(line.split(": ", 1) for line in lines)
        return Arrival(method, target, headers, b"")

    async def _read_body(self, head: Arrival, reader: asyncio.StreamReader) -> Arrival:
        size = int(head.headers.get("Content-Length", "0"))
        return head._replace(body=await reader.readexactly(size))

    def _next_behaviour(self) -> str:
        if len(self.behaviours) > 1:
            return self.behaviours.pop(0)
        return self.behaviours[0]

    async def _answer(
        self,
        arrival: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection is kept."""
        behaviour = self._next_behaviour()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        expected = arrival.headers.get("Expect-Instance")
        if expected not in (None, self.server_id):
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        if behaviour == "hang":
            try:
                await reader.read(1)
            except ConnectionResetError:
                self.resets += 1
            self.cancelled += 1
            return False
        if CRASH_MARKER in arrival.body:
            self.crashes += 1
            self._server.close()
            return self._end(writer, True)
        if behaviour in ("close", "reset"):
            return self._end(writer, behaviour == "reset")
        if behaviour == "garbage":
            writer.write(b"this is no answer\r\n\r\n")
            return False
        if behaviour == "shed":
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        if "text/event-stream" in arrival.headers.get("Accept", ""):
            return await self._send_stream(arrival, behaviour, reader, writer)
        return await self._send_plain(arrival, behaviour, writer)

    def _end(self, writer: asyncio.StreamWriter, reset: bool) -> bool:
        if reset:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        return False

    def _make_head(self, arrival: Arrival, behaviour: str, status: int = 200) -> bytes:
        request_id = arrival.headers["Request-Id"]
        if behaviour == "other_id":
            request_id = "0" * 16
        lines = [
            f"HTTP/1.1 {status} X",
            f"Request-Id: {request_id}",
            "Server-Load: 1,0,6",
        ]
        if behaviour != "no_proof":
            lines.append(f"Server-Stamp: proof-of-{self.server_id}")
        return "\r\n".join(lines).encode() + b"\r\n"

    async def _send_plain(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> bool:
        status = 500 if behaviour == "error" else 200
        head = self._make_head(arrival, behaviour, status)
        whole = self.make_body(arrival)
        if behaviour.startswith("unframed"):
            writer.write(head + b"\r\n" + whole)
            await writer.drain()
            await asyncio.sleep(0.02)
            return self._end(writer, behaviour == "unframed_reset")
        body = whole[:5] if behaviour == "truncate" else whole
        length = f"Content-Length: {len(whole)}\r\n\r\n".encode()
        writer.write(head + length + body)
        if behaviour == "extra":
            writer.write(self._make_head(arrival, "other_id") + length + whole)
        await writer.drain()
        return behaviour != "truncate"

    def make_body(self, arrival: Arrival) -> bytes:
        """Give the body of a plain answer."""
        return PLAIN_BODY

    async def _send_stream(
        self,
        arrival: Arrival,
        behaviour: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = self._make_head(arrival, behaviour)
        writer.write(
            head + b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        start = int(arrival.headers.get("Last-Event-Id") or 0) + 1
        for number in range(start, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if behaviour == "cut" and number == 4:
                writer.write(encode_chunk(event[:9]))
                await writer.drain()
                return False
            writer.write(encode_chunk(event))
            await writer.drain()
            if self.event_pause_s:
                await asyncio.sleep(self.event_pause_s)
                if reader.at_eof():
                    self.cancelled += 1
                    return False
        writer.write(b"0\r\n\r\n")
        return True


def encode_chunk(data: bytes) -> bytes:
    """Frame a piece of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_body() -> bytes:
    """Give the bytes of a whole stream."""
    events = range(1, STREAM_EVENTS + 1)
    return b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in events)
