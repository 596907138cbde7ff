"""HTTP/1.1 client and server on plain sockets, as the users' pages describe them."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

LAST_CHUNK = b"0\r\n\r\n"


class Request(NamedTuple):
    """Request that a server received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Reply(NamedTuple):
    """Answer that a client received.

    Attributes
    ----------
    status : int or None
        None if the channel ended before the head of an answer.
    complete : bool
        True if the end of the body was received.
    first_at, ended_at : float
        Monotonic times of the head (0 if there is none) and of the end.
    """

    status: int | None
    headers: dict[str, str]
    body: bytes
    complete: bool
    first_at: float
    ended_at: float


def encode_chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.lower(): value.strip() for name, value in pairs}


class Channel:
    """Channel of a client to a gateway, which is kept open for several requests."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect to the gateway."""
        self._reader, self._writer = await asyncio.open_connection(self.host, self.port)

    @property
    def is_open(self) -> bool:
        """Return True unless the other side has closed the channel."""
        return self._reader is not None and not self._reader.at_eof()

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()

    async def request(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Reply:
        """Send a request and return its answer, as far as it arrives."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        status, found, first_at = None, {}, 0.0
        data = bytearray()
        try:
            self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await self._writer.drain()
            first, found = await read_head(self._reader)
            status, first_at = int(first.split(" ")[1]), time.monotonic()
            await self._read_body(found, data)
            complete = True
        except (OSError, asyncio.IncompleteReadError):
            complete = False
        return Reply(status, found, bytes(data), complete, first_at, time.monotonic())

    async def _read_body(self, headers: dict[str, str], data: bytearray) -> None:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                data += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        elif "content-length" in headers:
            data += await self._reader.readexactly(int(headers["content-length"]))
        else:
            data += await self._reader.read()


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class HttpServer:
    """Server that serves one request at a time on a channel.

    Parameters
    ----------
    handler : callable
        Writes the response to a request.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int = 0) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def stop(self) -> None:
        """Stop listening and end all channels."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                await self._handler(Request(method, target, headers, body), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()
