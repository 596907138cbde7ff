"""Responses to callers that never look whole before they are."""

import asyncio
import re
import socket
import struct
from collections.abc import Mapping

from aiohttp import HttpVersion11, web
from aiohttp.abc import AbstractStreamWriter

from slatehoist.http.framing import Framing

#: Values of SO_LINGER: with the first, a close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_ORDERLY_CLOSE = struct.pack("ii", 0, 0)
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
#: Bytes that are not UTF-8, as they are decoded.
_SURROGATES = re.compile("[\udc80-\udcff]")
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class InvalidHeaderError(ValueError):
    """Raised for a header that cannot be part of a head."""


def check_headers(headers: Mapping[str, str]) -> None:
    """Check that a head with these headers can be written.

    aiohttp finds an invalid header only after it has prepared a response, and can then
    send neither that one nor another.

    Raises
    ------
    InvalidHeaderError
        If a name is no token, or a value contains a control character.
    """
    for name, value in headers.items():
        if _TOKEN.fullmatch(name) is None or _CONTROL_CHARACTERS.search(value):
            raise InvalidHeaderError(f"header {name!r} with value {value!r}")


def reset_on_close(transport: asyncio.BaseTransport, enabled: bool = True) -> None:
    """Let a close of the connection reset it, also if the process ends; or undo that.

    Bytes that were not delivered by then are discarded.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        value = _RESET_ON_CLOSE if enabled else _ORDERLY_CLOSE
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


class _OpaqueHeaders(web.StreamResponse):
    """Response whose header values may contain bytes that are not UTF-8.

    aiohttp reads such bytes as surrogates. Of its writers, one leaves surrogates out,
    and the other fails.
    """

    async def _write_headers(self) -> None:
        if any(_SURROGATES.search(value) for value in self.headers.values()):
            self._write_opaque_headers()
        else:
            await super()._write_headers()

    def _write_opaque_headers(self) -> None:
        check_headers(self.headers)
        major, minor = self._req.version
        lines = [
            f"HTTP/{major}.{minor} {self.status} {self.reason}",
            *(f"{name}: {value}" for name, value in self.headers.items()),
        ]
        head = "\r\n".join([*lines, "", ""]).encode("utf-8", "surrogateescape")
        writer = self._payload_writer
        writer._headers_buf, writer._headers_written = head, False
        if self._send_headers_immediately:
            writer.send_headers()


class WholeResponse(_OpaqueHeaders, web.Response):
    """Response whose body is known, and whose header values may be any bytes."""


class RelayedResponse(_OpaqueHeaders):
    """Response whose body is passed on, and is marked as ended only once it is whole.

    The end is marked by the last chunk. Where the caller does not know chunks
    (HTTP/1.0), or where the sender's own end is not proved, the close of the connection
    marks it. The connection is then reset if anything else closes it before the end.

    Parameters
    ----------
    framing : Framing
        What marks the end of the body that is passed on.
    body : bytes
        Last part of the body, sent with its end.
    """

    def __init__(
        self,
        status: int,
        headers: Mapping[str, str],
        framing: Framing,
        body: bytes = b"",
    ) -> None:
        super().__init__(status=status, headers=headers)
        self._last_part = body
        self._transport: asyncio.Transport | None = None
        self._ends_with_connection = not framing.proves_end
        self._broken_off = False
        self._ended = False
        # Without this check, aiohttp adds neither a length nor chunks.
        self._length_check = framing.proves_end

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the head; from now on only `write_eof` ends the body in order."""
        if not self.prepared:
            self._transport = request.transport
            self._ends_with_connection |= request.version < HttpVersion11
            if self._ends_with_connection:
                # An HTTP/1.0 caller may have asked to keep its connection open.
                self.force_close()
            if self._ends_with_connection and self._transport is not None:
                # Bytes in the transport's buffer would be lost if the process ended
                # after `write_eof`, so that waits until the buffer is empty.
                self._transport.set_write_buffer_limits(0)
                reset_on_close(self._transport)
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Mark the body as whole, once, unless it was broken off."""
        if self._broken_off or self._ended:
            return
        self._ended = True
        writer = self._payload_writer
        await super().write_eof(data or self._last_part)
        if self._ends_with_connection and self._transport is not None:
            await writer.drain()
            reset_on_close(self._transport, enabled=False)

    def break_off(self) -> None:
        """Close the connection in a way that shows that the body is not whole."""
        self._broken_off = True
        if self._transport is None:
            return
        if self._ends_with_connection:
            self._transport.abort()
        else:
            # What was written is still sent; the missing last chunk shows the cut.
            self._transport.close()
