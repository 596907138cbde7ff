"""Connections to endpoints that tell a whole response from a broken one."""

import asyncio
import functools
import logging
import re
import socket
import struct

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError, ClientResponseError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from slatehoist.http.validation import MalformedResponseError, ResponseValidator

log = logging.getLogger(__name__)

#: Value of SO_LINGER with which a close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_SWITCHING_PROTOCOLS = 101
_MISDIRECTED = 421
#: Begin of a head, which does not occur within another one.
_STATUS_LINE = re.compile(r"HTTP/1\.[01] \d{3}")
#: Bytes of a response that are accepted besides its body: head, chunk sizes, chunk
#: extensions and trailers. More are accepted with a body, whose chunks may be small.
MAX_OVERHEAD_BYTES = 4 * 1024 * 1024
MAX_OVERHEAD_RATIO = 8


class StrictResponseHandler(ResponseHandler):
    """Connection whose failure is never taken for the end of a response.

    What it receives is validated before aiohttp parses it, and a response that breaks
    the rules of HTTP closes the connection; see `ResponseValidator`.

    aiohttp takes any end of the connection for the end of a response without a length,
    also a reset. It also reads informational responses and chunk extensions without
    end; a connection with too many of them is closed. So is one with bytes after a
    response, which aiohttp would take for the response to the next request, or with a
    head that contains the start of another: a head that was cut joins the next one.
    After a request that was sent to the wrong server, the connection is not used again.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        #: None before the first request.
        self._validator: ResponseValidator | None = None
        self._received_bytes = 0
        #: Body of the response before.
        self._last_payload: object = None

    def set_response_params(self, **params) -> None:
        """Prepare for a response."""
        # The parent may pass bytes that were received before to `data_received`.
        self._validator = ResponseValidator(not params.get("skip_payload", False))
        self._received_bytes = 0
        self._last_payload = self._payload
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Add a response whose head was received."""
        status = data[0].code
        if status == _SWITCHING_PROTOCOLS:
            # No request asks for another protocol.
            self._give_up(MalformedResponseError(f"status {status}"))
            return
        if _contains_head(data[0]):
            self._give_up(
                MalformedResponseError(f"head within the head of status {status}")
            )
            return
        if status == _MISDIRECTED:
            self.force_close()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Validate received bytes and let aiohttp parse those that are valid."""
        if not data or self._validator is None:
            # aiohttp goes on with bytes that it has, or keeps these for later.
            super().data_received(data)
            return
        try:
            valid = self._validator.feed(data)
        except MalformedResponseError as exc:
            self._give_up(exc)
            return
        if valid:
            super().data_received(valid)
        else:
            # The time-out for reads starts again whenever bytes arrive.
            self.start_timeout()
        if self._validator.excess_bytes:
            self._end_after_excess()
        self._check_size(len(data))

    def _end_after_excess(self) -> None:
        """Keep bytes after a response from being taken for a part of the next one."""
        if self._payload is None or self._payload.is_eof():
            count = self._validator.excess_bytes
            self._give_up(MalformedResponseError(f"{count} bytes after the response"))
        else:
            # aiohttp has not parsed the whole response yet.
            self.force_close()

    def _check_size(self, received_bytes: int) -> None:
        """Fail a response that has no end in sight."""
        self._received_bytes += received_bytes
        body_bytes = 0
        if self._payload is not self._last_payload:
            body_bytes = getattr(self._payload, "total_bytes", 0)
        allowed_bytes = MAX_OVERHEAD_BYTES + body_bytes * MAX_OVERHEAD_RATIO
        if self._received_bytes - body_bytes > allowed_bytes:
            self._give_up(
                MalformedResponseError(
                    f"{self._received_bytes} bytes, of them {body_bytes} of body"
                )
            )

    def _give_up(self, exc: MalformedResponseError) -> None:
        """Fail the response and close the connection."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(exc)
        self.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response whose body has not ended, if the connection failed."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"connection lost: {exc!r}"))
        super().connection_lost(exc)


def _contains_head(message: RawResponseMessage) -> bool:
    values = (message.reason, *message.headers.values())
    return any(_STATUS_LINE.search(value) for value in values)


class ResettingResponseHandler(StrictResponseHandler):
    """Strict connection that is reset when it is abandoned.

    After an ordinary close the request would stay in the send buffer and be delivered
    when a failed link or instance recovers, long after its caller has left.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket to be reset by a close."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def log_rejected(exc: BaseException, endpoint: str, request: str) -> None:
    """Log that a response was rejected or cut off, if that is the cause of an error.

    Errors of connections are not logged: their handlers do that, or expect them.

    Parameters
    ----------
    endpoint : str
        Address or URL of the sender.
    request : str
        Method and path, or id, of the request.
    """
    if isinstance(exc, ClientPayloadError | ClientResponseError):
        log.warning(
            "response_rejected",
            extra={"endpoint": endpoint, "request": request, "why": str(exc)},
        )


def strict_connector(
    handler: type[StrictResponseHandler] = StrictResponseHandler, **options
) -> aiohttp.TCPConnector:
    """Return a connector whose connections are of a strict class.

    Parameters
    ----------
    **options
        Options of `aiohttp.TCPConnector`.
    """
    connector = aiohttp.TCPConnector(**options)
    # aiohttp has no public way to replace the protocol of a connection.
    connector._factory = functools.partial(handler, loop=asyncio.get_running_loop())
    return connector
