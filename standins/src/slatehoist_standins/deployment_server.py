"""Stand-in of a server of the platform: an endpoint behind the gateway.

It implements the server's side of the platform's HTTP protocol on a plain socket, so
that it can also send malformed messages: the request and response headers, the status
421 for a request meant for another instance, event streams that resume after
``Last-Event-Id``, and keep-alive. It runs in the process of the test. Its faults are
the behaviours of `DeploymentServer`, late responses (``delay_s``), slow streams
(``event_pause_s``), a crash on a request that contains `CRASH_MARKER`, and a cold time
in which more than `cold_limit` requests in a second crash it.
"""

import asyncio
import time
from collections import deque
from typing import NamedTuple

from slatehoist_standins.sockets import reset_connection

#: Body of a response that is not a stream.
PLAIN_BODY = b"the whole body of the server"
#: Number of events in a stream.
STREAM_EVENTS = 6
#: Behaviours that end a stream early.
CUT_BEHAVIOURS = frozenset(
    {"cut", "unframed_cut", "unframed_reset", "ends_within_event"}
)
LAST_CHUNK = b"0\r\n\r\n"
#: Seconds from an early response until the server reads the request's body.
EARLY_READ_DELAY_S = 0.2
#: Bytes that a response without end sends at most, and those of one write.
MAX_ENDLESS_BYTES = 96 * 1024 * 1024
_FILL = b"x" * 65536
#: Responses without end: what follows the status line and the usual headers, and what
#: is then repeated. Those in `_BARE` send these bytes alone.
ENDLESS = {
    "endless_status": (b"HTTP/1.1 200 ", _FILL),
    "endless_informational": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2000),
    "endless_upgrade": (
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        _FILL,
    ),
    "endless_header": (b"X-Fill: ", _FILL),
    "endless_headers": (b"", b"X-Fill: x\r\n" * 5000),
    "endless_body": (b"\r\n", _FILL),
    "endless_length": (b"Content-Length: 999999999999\r\n\r\n", _FILL),
    "endless_chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + _FILL + b"\r\n",
    ),
    "endless_chunk_size": (b"Transfer-Encoding: chunked\r\n\r\n1;", _FILL),
    "endless_trailers": (
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Fill: x\r\n" * 5000,
    ),
    "endless_event": (
        b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
        _FILL,
    ),
    "endless_lines": (
        b"Content-Type: text/event-stream\r\n\r\n",
        b"data: piece\n" * 5000,
    ),
}
_BARE = frozenset({"endless_status", "endless_informational", "endless_upgrade"})
#: Behaviours of which the first answer refuses the request.
_REFUSALS = frozenset(
    {
        "shed",
        "shed_again",
        "shed_again_without_id",
        "shed_again_in_part",
        "shed_twice",
        "misdirect_again",
    }
)
#: Beginning of a refusal that ends within its head.
_PART_OF_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1"
#: Text in `DeploymentServer.script` that stands for the id of the request.
ID_MARK = b"<request id>"
#: Seconds between two writes of a script.
SCRIPT_PAUSE_S = 0.005
#: Request body, or part of one, that crashes every server which begins to run it.
CRASH_MARKER = b"crashes the server"
#: Part of a prompt that crashes every server which begins to run a request with it.
CRASH_PART = "bad0bad0"


class Arrival(NamedTuple):
    """Request that a server received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def crashes_servers(arrival: Arrival) -> bool:
    """Return True if each server that begins to run a request crashes."""
    parts = arrival.headers.get("Prompt-Prefix", "").split(",")[:-1]
    ids = [part.partition(":")[0] for part in parts]
    return CRASH_MARKER in arrival.body or CRASH_PART in ids


class DeploymentServer:
    """Server that takes one behaviour from a list for each request.

    The last behaviour of the list is repeated. Behaviours are:

    ``ok``
        Send the whole response.
    ``shed``
        Refuse with status 503 and the header ``Not-Run``.
    ``shed_again``, ``shed_again_without_id``
        Do the same, and write the refusal once more when the next request arrives on
        the connection, before that request is run. The second one leaves out the
        header ``Request-Id``.
    ``shed_again_in_part``
        Refuse, and write the beginning of a refusal before the next response on the
        connection, whose head then continues it.
    ``shed_twice``
        Refuse, and write the refusal once more at once.
    ``misdirect_again``
        Do what ``shed_again_without_id`` does, with status 421.
    ``false_promise``
        Run the request and send status 503 without the header ``Not-Run``.
    ``error``
        Send status 500 with a body.
    ``early``
        Send status 400 before the request's body is read.
    ``hang``
        Send nothing and wait until the connection closes.
    ``close``, ``reset``
        Close or reset the connection without a response.
    ``garbage``
        Send bytes that are not HTTP.
    ``truncate``
        Close the connection within the body.
    ``unframed``, ``unframed_reset``
        Send a body without a length, which ends with a close or, for a stream after
        half of its events, with a reset.
    ``extra``
        Send a second response that no request asked for.
    ``other_id``
        Send the id of another request.
    ``no_proof``
        Leave out the header ``Server-Stamp``, which proves that a server responded.
    ``cut``, ``unframed_cut``
        Close the connection within an event of a stream, which has chunks or neither
        chunks nor a length; for streams only.
    ``ends_within_event``
        End a stream within an event by its last chunk; for streams only.
    ``cut_head``, ``reset_head``
        Close or reset the connection after `head_bytes` bytes of the head.
    ``endless_...``
        Send a response without end until the connection closes; a key of `ENDLESS`.
    ``scripted``
        Run the request and send `script`, in which `ID_MARK` stands for its id.

    Attributes
    ----------
    arrivals : list of Arrival
        Requests received, in order.
    run_ids : list of str
        Ids of the requests that were run, in order.
    cancelled : int
        Connections that the gateway closed, including idle ones.
    crashes : int
        Crashes caused by `CRASH_MARKER` and `CRASH_PART`.
    event_pause_s : float
        Seconds between the events of a stream.
    head_bytes : int
        Bytes of the head that ``cut_head`` and ``reset_head`` send.
    head_prefix : bytes
        Bytes that they send before it.
    script : tuple of bytes
        Writes with which ``scripted`` responds.
    closes_after_script : bool
        True if it closes the connection afterwards.
    delay_s : float
        Seconds from a request until its response.
    zone : str
        Availability zone, which the server registers.
    leaving : bool
        True if each response says that the server is leaving.
    states_cold : bool
        True if its row and its responses state for how long it stays cold.
    cold_limit : int or None
        Requests in one second above which it crashes while it is cold; None if it does
        not.
    turns_away_for_s : float
        Seconds for which each response asks for no requests, with status 503; 0 if the
        server takes requests.
    """

    def __init__(self, server_id: str, behaviours: list[str] | None = None) -> None:
        self.server_id = server_id
        self.behaviours = behaviours or ["ok"]
        self.arrivals: list[Arrival] = []
        self.run_ids: list[str] = []
        #: Refusals that are written once more, by the connection of their request.
        self._repeated: dict[asyncio.StreamWriter, bytes] = {}
        self.cancelled = 0
        self.crashes = 0
        #: Requests with the behaviour ``hang`` whose connection the gateway reset.
        self.resets = 0
        #: Bytes of responses without end that were sent.
        self.endless_bytes = 0
        self.event_pause_s = 0.0
        self.head_bytes = 0
        self.head_prefix = b""
        self.script: tuple[bytes, ...] = ()
        self.closes_after_script = False
        self.delay_s = 0.0
        self.zone = "a"
        self.leaving = False
        self.turns_away_for_s = 0.0
        self.rate_limit: float | None = None
        self.states_cold = True
        self.cold_limit: int | None = None
        #: Crashes since it got more than `cold_limit`.
        self.cold_crashes = 0
        self._cold_until = float("-inf")
        #: Monotonic times of the requests of the last second.
        self._recent: deque[float] = deque()
        #: Start time in milliseconds, which the server registers.
        self.born = 1_700_000_000_000

    async def start(self, port: int = 0) -> str:
        """Listen on loopback and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening; open connections stay."""
        self._server.close()

    def become_cold(self, cold_s: float) -> None:
        """Become cold for some seconds, as after a start or at any moment."""
        self._cold_until = time.monotonic() + cold_s

    @property
    def cold_left_ms(self) -> int:
        """Return the milliseconds for which it stays cold; 0 if it is warm."""
        return round(max(0.0, self._cold_until - time.monotonic()) * 1000)

    def _exceeds_cold_limit(self) -> bool:
        """Count a request, and return True if it crashes the cold server."""
        now = time.monotonic()
        self._recent.append(now)
        while now - self._recent[0] >= 1.0:
            self._recent.popleft()
        is_over = self.cold_limit is not None and len(self._recent) > self.cold_limit
        return is_over and self.cold_left_ms > 0

    def row(self, service: str, state: str = "ready") -> dict:
        """Return the row with which the server registers itself in the store."""
        return {
            "service": service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": self.cold_left_ms if self.states_cold else 0,
            "seq": 1,
            "born": self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await self._read_head(reader):
                if self.behaviours[0] == "early":
                    await self._respond_early(head, reader, writer)
                    continue
                arrival = await self._read_body(head, reader)
                self.arrivals.append(arrival)
                if not await self._respond(arrival, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.cancelled += 1
        finally:
            self._repeated.pop(writer, None)
            writer.close()

    async def _respond_early(
        self,
        head: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Reject a request before its body is read, and read the body later."""
        self._next_behaviour()
        writer.write(self._make_head(head, "early", 400) + b"Content-Length: 0\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(EARLY_READ_DELAY_S)
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

    async def _respond(
        self,
        arrival: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to a request; return False if the connection cannot be reused."""
        behaviour = self._next_behaviour()
        writer.write(self._repeated.pop(writer, b""))
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        expected = arrival.headers.get("Expect-Instance")
        if expected not in (None, self.server_id):
            writer.write(_make_misdirection(arrival))
            return True
        if self._exceeds_cold_limit():
            self.cold_crashes += 1
            self._server.close()
            return self._close(writer, True)
        if behaviour == "hang":
            try:
                await reader.read(1)
            except ConnectionResetError:
                self.resets += 1
            self.cancelled += 1
            return False
        if crashes_servers(arrival):
            self.crashes += 1
            self._server.close()
            return self._close(writer, True)
        if behaviour in ("close", "reset"):
            return self._close(writer, behaviour == "reset")
        if behaviour == "garbage":
            writer.write(b"this is no answer\r\n\r\n")
            return False
        if behaviour in ENDLESS:
            return await self._send_endless(arrival, behaviour, writer)
        if behaviour in _REFUSALS or self.turns_away_for_s:
            self._refuse(arrival, behaviour, writer)
            return True
        self._begin_run(arrival)
        if behaviour == "false_promise":
            head = self._make_head(arrival, behaviour, 503)
            writer.write(head + b"Content-Length: 0\r\n\r\n")
            return True
        if behaviour == "scripted":
            return await self._send_script(arrival, writer)
        if behaviour in ("cut_head", "reset_head"):
            return await self._cut_head(arrival, behaviour, writer)
        if _wants_stream(arrival):
            return await self._send_stream(arrival, behaviour, reader, writer)
        return await self._send_plain(arrival, behaviour, writer)

    def _begin_run(self, arrival: Arrival) -> None:
        """Record that the server begins to run a request."""
        self.run_ids.append(arrival.headers["Request-Id"])

    async def _send_endless(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a response without end, `MAX_ENDLESS_BYTES` at most."""
        begin, repeated = ENDLESS[behaviour]
        if behaviour not in _BARE:
            writer.write(self._make_head(arrival, behaviour))
        writer.write(begin)
        sent = 0
        while sent < MAX_ENDLESS_BYTES:
            writer.write(repeated)
            await writer.drain()
            sent += len(repeated)
            self.endless_bytes += len(repeated)
            # A peer that reads at once would otherwise never let other tasks run.
            await asyncio.sleep(0)
        return False

    async def _send_script(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = arrival.headers["Request-Id"].encode("latin-1")
        for part in self.script:
            writer.write(part.replace(ID_MARK, request_id))
            await writer.drain()
            # The peer reads each part on its own.
            await asyncio.sleep(SCRIPT_PAUSE_S if len(self.script) > 1 else 0)
        return not self.closes_after_script

    async def _cut_head(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(self.head_prefix + self.make_head(arrival)[: self.head_bytes])
        await writer.drain()
        await asyncio.sleep(0)
        return self._close(writer, behaviour == "reset_head")

    def _close(self, writer: asyncio.StreamWriter, reset: bool) -> bool:
        """Close or reset the connection; return False, as `_respond` does."""
        if reset:
            reset_connection(writer)
        writer.close()
        return False

    def _refuse(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> None:
        refusal = self._make_refusal(arrival)
        writer.write(refusal)
        if behaviour == "shed_twice":
            writer.write(refusal)
        if behaviour == "shed_again_in_part":
            self._repeated[writer] = _PART_OF_REFUSAL
        if not behaviour.endswith(("_again", "_again_without_id")):
            return
        if behaviour == "misdirect_again":
            refusal = _make_misdirection(arrival)
        if behaviour != "shed_again":
            id_line = f"Request-Id: {arrival.headers['Request-Id']}\r\n"
            refusal = refusal.replace(id_line.encode(), b"")
        self._repeated[writer] = refusal

    def _make_refusal(self, arrival: Arrival) -> bytes:
        lines = [
            "HTTP/1.1 503 Service Unavailable",
            f"Request-Id: {arrival.headers['Request-Id']}",
            "Not-Run: 1",
            "Content-Length: 0",
        ]
        if self.turns_away_for_s:
            lines.append(f"Retry-After: {self.turns_away_for_s:g}")
        return "\r\n".join([*lines, *self._notices(arrival), "", ""]).encode()

    def _notices(self, arrival: Arrival) -> list[str]:
        """Return the header lines that ask for no requests, or fewer."""
        lines = ["Server-Leaving: 1"] if self.leaving else []
        if self.rate_limit is not None:
            lines.append(f"Server-Limit: {self.rate_limit:g}")
        if self.states_cold and self.cold_left_ms:
            lines.append(f"Cold-Ms: {self.cold_left_ms}")
        return lines

    def _make_head(self, arrival: Arrival, behaviour: str, status: int = 200) -> bytes:
        request_id = arrival.headers["Request-Id"]
        if behaviour == "other_id":
            request_id = "0" * 16
        lines = [
            f"HTTP/1.1 {status} X",
            f"Request-Id: {request_id}",
            "Server-Load: 1,0,6",
            *self._notices(arrival),
        ]
        if behaviour != "no_proof":
            lines.append(f"Server-Stamp: proof-of-{self.server_id}")
        return "\r\n".join(lines).encode() + b"\r\n"

    async def _send_plain(
        self, arrival: Arrival, behaviour: str, writer: asyncio.StreamWriter
    ) -> bool:
        status = 500 if behaviour == "error" else 200
        head = self._make_head(arrival, behaviour, status)
        full_body = self.make_body(arrival)
        if behaviour.startswith("unframed"):
            writer.write(head + b"\r\n" + full_body)
            await writer.drain()
            await asyncio.sleep(0.02)
            return self._close(writer, behaviour == "unframed_reset")
        body = full_body[:5] if behaviour == "truncate" else full_body
        length = f"Content-Length: {len(full_body)}\r\n\r\n".encode()
        writer.write(head + length + body)
        if behaviour == "extra":
            writer.write(self._make_head(arrival, "other_id") + length + full_body)
        await writer.drain()
        return behaviour != "truncate"

    def make_body(self, arrival: Arrival) -> bytes:
        """Return the body of a response that is not a stream."""
        return PLAIN_BODY

    async def _send_stream(
        self,
        arrival: Arrival,
        behaviour: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        unframed = behaviour.startswith("unframed")
        encode = bytes if unframed else encode_chunk
        writer.write(self._make_stream_head(arrival, behaviour))
        start = int(arrival.headers.get("Last-Event-Id") or 0) + 1
        for number in range(start, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if number == 4 and behaviour in CUT_BEHAVIOURS:
                return await self._cut_stream(behaviour, encode(event[:9]), writer)
            writer.write(encode(event))
            await writer.drain()
            if self.event_pause_s:
                await asyncio.sleep(self.event_pause_s)
                if reader.at_eof():
                    self.cancelled += 1
                    return False
        if not unframed:
            writer.write(LAST_CHUNK)
        return not unframed

    def make_head(self, arrival: Arrival) -> bytes:
        """Return the head of a whole response with its blank line."""
        if _wants_stream(arrival):
            return self._make_stream_head(arrival, "ok")
        length = f"Content-Length: {len(self.make_body(arrival))}\r\n\r\n"
        return self._make_head(arrival, "ok") + length.encode()

    def _make_stream_head(self, arrival: Arrival, behaviour: str) -> bytes:
        head = self._make_head(arrival, behaviour)
        head += b"Content-Type: text/event-stream\r\n"
        if behaviour.startswith("unframed"):
            return head + b"Connection: close\r\n\r\n"
        return head + b"Transfer-Encoding: chunked\r\n\r\n"

    async def _cut_stream(
        self, behaviour: str, part: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """End a stream early, within an event or by a reset between two of them."""
        if behaviour == "unframed_reset":
            await writer.drain()
            await asyncio.sleep(0.02)
            return self._close(writer, True)
        writer.write(part)
        if behaviour == "ends_within_event":
            writer.write(LAST_CHUNK)
        await writer.drain()
        return behaviour == "ends_within_event"


def _wants_stream(arrival: Arrival) -> bool:
    return "text/event-stream" in arrival.headers.get("Accept", "")


def _make_misdirection(arrival: Arrival) -> bytes:
    """Return the answer to a request that is meant for another server."""
    lines = [
        "HTTP/1.1 421 Misdirected Request",
        f"Request-Id: {arrival.headers['Request-Id']}",
        "Not-Run: 1",
        "Content-Length: 0",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def encode_chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_body() -> bytes:
    """Return the events of a whole stream, without the chunk framing."""
    events = range(1, STREAM_EVENTS + 1)
    return b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in events)
