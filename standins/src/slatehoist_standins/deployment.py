"""Stand-ins of the users' platform: its metadata store and its servers.

They speak the platform's published wire and can misbehave as it may: the store can be
down, slow or lose answers, and a server can shed, fail, break off, answer late, answer
somebody else's request, or end an unframed answer with a reset.
"""

import asyncio
import base64
import contextlib
import socket
import struct
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

#: Bytes of the body of a plain answer.
PLAIN_BODY = b"the whole body of the server"
#: Events of a stream.
STREAM_EVENTS = 6


class StoreRow(NamedTuple):
    """Row of the store, with the version at which it was removed, if it was."""

    value: bytes
    version: int
    removed: bool = False


class DeploymentStore:
    """Metadata store with the calls that slatehoist uses.

    Attributes
    ----------
    fault : str
        ``down`` refuses, ``silent`` never answers, ``lost`` writes without an answer.
    delay_s : float
        Seconds before each answer.
    """

    def __init__(self) -> None:
        self.fault = ""
        self.delay_s = 0.0
        self.calls: list[str] = []
        self._rows: dict[tuple[str, str], StoreRow] = {}
        self._version = 0
        self._history_from = 0
        self._changed = asyncio.Event()

    async def start(self) -> str:
        """Listen; give the address."""
        app = web.Application()
        app.router.add_get("/api/rows-get", self._get)
        app.router.add_get("/api/rows-feed", self._feed)
        app.router.add_post("/api/rows-tx", self._transact)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, table: str, key: str, doc: Any) -> None:
        """Write a document as the operator or a server does."""
        self.put_bytes(table, key, msgspec.json.encode(doc))

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a value that need not be a document."""
        self._version += 1
        self._rows[table, key] = StoreRow(value, self._version)
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self._rows[table, key] = StoreRow(b"", self._version, True)
        self._wake()

    def rows(self, table: str) -> list[str]:
        """Give the keys of a table."""
        return [key for key, _ in self._live(table)]

    def compact(self) -> None:
        """Forget the history."""
        self._version += 1
        self._history_from = self._version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _misbehave(self, call: str) -> web.Response | None:
        self.calls.append(call)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault == "silent":
            await asyncio.sleep(60)
        if self.fault == "down":
            return web.Response(status=503)
        return None

    def _live(self, table: str) -> list[tuple[str, StoreRow]]:
        return sorted(
            (key, row)
            for (name, key), row in self._rows.items()
            if name == table and not row.removed
        )

    async def _get(self, req: web.Request) -> web.Response:
        if (refusal := await self._misbehave("get")) is not None:
            return refusal
        start, end = req.query.get("from", ""), req.query.get("to")
        limit = int(req.query.get("limit", "500"))
        found = [
            (key, row)
            for key, row in self._live(req.query["table"])
            if key >= start and (end is None or key < end)
        ]
        return self._reply(req.query["table"], found[:limit], len(found) > limit)

    async def _feed(self, req: web.Request) -> web.Response:
        if (refusal := await self._misbehave("feed")) is not None:
            return refusal
        table, since = req.query["table"], int(req.query["sinceRev"])
        end = asyncio.get_running_loop().time() + int(req.query["waitMs"]) / 1000
        while True:
            if since < self._history_from:
                return web.Response(status=410)
            found = [
                (key, row)
                for (name, key), row in self._rows.items()
                if name == table and row.version > since
            ]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return self._reply(table, found, False)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    async def _transact(self, req: web.Request) -> web.Response:
        if (refusal := await self._misbehave("tx")) is not None:
            return refusal
        body = await req.json()
        failed = False
        for check in body["expectRev"]:
            row = self._rows.get((check["table"], check["key"]))
            version = 0 if row is None or row.removed else row.version
            failed = failed or version != check["ver"]
        if failed:
            found = [
                (check["key"], self._rows[check["table"], check["key"]])
                for check in body["expectRev"]
                if (check["table"], check["key"]) in self._rows
            ]
            table = body["expectRev"][0]["table"]
            return self._reply(table, found, False, status=412)
        self._version += 1
        for row in body["setKeys"]:
            value = base64.b64decode(row["value"])
            self._rows[row["table"], row["key"]] = StoreRow(value, self._version)
        for row in body["remove"]:
            gone = StoreRow(b"", self._version, True)
            self._rows[row["table"], row["key"]] = gone
        self._wake()
        if self.fault == "lost":
            req.transport.abort()
        return web.json_response({"ver": self._version, "nowMs": 0})

    def _reply(
        self,
        table: str,
        rows: list[tuple[str, StoreRow]],
        has_more: bool,
        status: int = 200,
    ) -> web.Response:
        docs = [
            {
                "table": table,
                "part": "",
                "key": key,
                "ver": row.version,
                "value": base64.b64encode(row.value).decode(),
                "removed": row.removed,
            }
            for key, row in rows
        ]
        return web.json_response(
            {"rows": docs, "hasMore": has_more, "ver": self._version, "nowMs": 0},
            status=status,
        )


#: Seconds after an early answer until the rest of the request's body is read.
EARLY_PAUSE_S = 0.2
#: Part of a body that crashes whichever server begins to run it.
CRASHING = b"crashes the server"


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
        writer.write(self._head(head, "early", 400) + b"Content-Length: 0\r\n\r\n")
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
        if CRASHING in arrival.body:
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
            return await self._stream(arrival, behaviour, reader, writer)
        return await self._plain(arrival, behaviour, writer)

    def _end(self, writer: asyncio.StreamWriter, reset: bool) -> bool:
        if reset:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        return False

    def _head(self, arrival: Arrival, behaviour: str, status: int = 200) -> bytes:
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

    async def _plain(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> bool:
        status = 500 if behaviour == "error" else 200
        head = self._head(arrival, behaviour, status)
        whole = self.body(arrival)
        if behaviour.startswith("unframed"):
            writer.write(head + b"\r\n" + whole)
            await writer.drain()
            await asyncio.sleep(0.02)
            return self._end(writer, behaviour == "unframed_reset")
        body = whole[:5] if behaviour == "truncate" else whole
        length = f"Content-Length: {len(whole)}\r\n\r\n".encode()
        writer.write(head + length + body)
        if behaviour == "extra":
            writer.write(self._head(arrival, "other_id") + length + whole)
        await writer.drain()
        return behaviour != "truncate"

    def body(self, arrival: Arrival) -> bytes:
        """Give the body of a plain answer."""
        return PLAIN_BODY

    async def _stream(
        self,
        arrival: Arrival,
        behaviour: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = self._head(arrival, behaviour)
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
