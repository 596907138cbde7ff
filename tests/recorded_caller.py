"""Caller of an HTTP handler whose connection is recorded, without a network."""

import asyncio
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import web

#: SO_LINGER with which a close resets the connection.
_RESET_LINGER = struct.pack("ii", 1, 0)
#: Rounds of the event loop that a handler without real waits needs at most.
_LOOP_ROUNDS = 50


class _RecordedSocket:
    """Socket that records whether its close resets the connection."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = socket.IPPROTO_TCP

    def __init__(self) -> None:
        self.resets_on_close = False

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        if option == socket.SO_LINGER:
            self.resets_on_close = value == _RESET_LINGER


class RecordedTransport(asyncio.Transport):
    """Transport of a caller's connection that records what is sent and how it ends."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._protocol = protocol
        self._socket = _RecordedSocket()
        self.sent = b""
        #: Empty while the connection is open, else `close`, `reset` or `lost`.
        self.ending = ""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._socket if name == "socket" else default

    def write(self, data: bytes) -> None:
        self.sent += bytes(data)

    def is_closing(self) -> bool:
        return bool(self.ending)

    def lose(self) -> None:
        """Lose the connection; like asyncio, do not call the protocol at once."""
        self.ending = "lost"

    def close(self) -> None:
        if not self.ending:
            self.ending = "reset" if self._socket.resets_on_close else "close"
            self._protocol.connection_lost(None)

    abort = close

    def set_write_buffer_limits(self, high: Any = None, low: Any = None) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


class Answer(NamedTuple):
    """Response as the caller received it.

    Attributes
    ----------
    ending : str
        Empty if the connection stayed open, else `close` or `reset`.
    """

    head: str
    body: bytes
    ending: str

    @property
    def is_chunked(self) -> bool:
        return "transfer-encoding: chunked" in self.head.lower()

    @property
    def has_length(self) -> bool:
        return "content-length:" in self.head.lower()

    @property
    def content(self) -> bytes:
        """Return the body without its chunk framing."""
        if not self.is_chunked:
            return self.body
        content, rest = b"", self.body
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            content, rest = content + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
        return content

    @property
    def looks_complete(self) -> bool:
        """Return True if the caller must take the body for a whole one."""
        if self.is_chunked:
            return self.body.endswith(b"0\r\n\r\n")
        if self.has_length:
            length = self.head.lower().partition("content-length: ")[2].split("\r\n")[0]
            return len(self.body) == int(length)
        return self.ending == "close"


class _RecordedErrors(logging.Handler):
    """Records of the HTTP server's unhandled exceptions."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


class RecordedCaller:
    """Caller with a connection of its own to aiohttp's HTTP server.

    Attributes
    ----------
    transport : RecordedTransport
        The server's side of the connection.
    """

    def __init__(
        self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> None:
        self._errors = _RecordedErrors()
        server_log = logging.Logger("server")
        server_log.addHandler(self._errors)
        server = web.Server(
            handler, handler_cancellation=True, access_log=None, logger=server_log
        )
        self._protocol = server()
        self.transport = RecordedTransport(self._protocol)
        self._protocol.connection_made(self.transport)

    async def send(self, request: bytes, wait_s: float = 0.0) -> Answer:
        """Send a request and return the answer once the handler has ended.

        Parameters
        ----------
        wait_s : float
            Seconds for which the handler may wait.

        Raises
        ------
        AssertionError
            If the server logged an error, as it does for an unhandled exception.
        """
        self._protocol.data_received(request)
        for _ in range(_LOOP_ROUNDS):
            await asyncio.sleep(0)
        await asyncio.sleep(wait_s)
        ending = self.transport.ending
        self.transport.close()
        if self._errors.records:
            raise AssertionError(self._errors.records[0].getMessage())
        head, _, body = self.transport.sent.partition(b"\r\n\r\n")
        return Answer(head.decode(), body, ending)
