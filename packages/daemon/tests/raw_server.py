"""HTTP server on loopback that sends given bytes, then closes or resets connections."""

import asyncio
import socket
import struct
from typing import NamedTuple

#: Seconds from the last byte until a reset, which would discard bytes in flight.
_RESET_DELAY_S = 0.02


class RawReply(NamedTuple):
    """Bytes of a response, and how the connection ends after them."""

    data: bytes
    resets: bool = False


def make_reply(
    body: bytes,
    framing: str,
    resets: bool = False,
    missing: int = 0,
    content_type: str = "text/plain",
    version: str = "1.1",
) -> RawReply:
    """Build a response.

    Parameters
    ----------
    framing : str
        What marks the end of the body: `length`, `chunked` or `connection`.
    missing : int
        Bytes of the framed body that are not sent.
    """
    head = f"HTTP/{version} 200 OK\r\nContent-Type: {content_type}\r\n"
    if framing == "length":
        head += f"Content-Length: {len(body)}\r\n"
    if framing == "chunked":
        head += "Transfer-Encoding: chunked\r\n"
        body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    sent = body[: len(body) - missing]
    return RawReply(head.encode() + b"\r\n" + sent, resets)


class RawServer:
    """Server that gives one reply to each connection, and repeats the last one."""

    def __init__(self, *replies: RawReply) -> None:
        self._replies = list(replies)
        #: First line of each request.
        self.requests: list[str] = []

    async def start(self) -> str:
        """Listen on loopback and return the URL."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head.split(b"\r\n")[0].decode())
        reply = self._replies.pop(0) if len(self._replies) > 1 else self._replies[0]
        writer.write(reply.data)
        await writer.drain()
        if reply.resets:
            await asyncio.sleep(_RESET_DELAY_S)
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
