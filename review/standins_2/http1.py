"""HTTP/1.1 messages on plain sockets, for the stand-ins of servers and callers."""

import asyncio
from typing import NamedTuple

#: Bytes of one read.
READ_BYTES = 65536


class Message(NamedTuple):
    """Request or response; names of headers are in lower case."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes
    complete: bool

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return next((v for n, v in self.headers if n == name.lower()), default)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]] | None:
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, [(name.strip().lower(), value.strip()) for name, _, value in pairs]


def find_header(headers: list[tuple[str, str]], name: str) -> str:
    """Return the first value of a header, or an empty text."""
    return next((value for key, value in headers if key == name), "")


async def read_body(
    reader: asyncio.StreamReader, headers: list[tuple[str, str]]
) -> tuple[bytes, bool]:
    """Return a body with a length or in chunks, and whether it is complete."""
    parts: list[bytes] = []
    try:
        if "chunked" in find_header(headers, "transfer-encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts), True
                parts.append(data[:-2])
        length = int(find_header(headers, "content-length") or 0)
        while length:
            data = await reader.read(min(length, READ_BYTES))
            if not data:
                return b"".join(parts), False
            parts.append(data)
            length -= len(data)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b"".join(parts), False
    return b"".join(parts), True


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None if the connection ended before its head."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, *await read_body(reader, head[1]))


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message whose body has a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
