"""Connections to endpoints that tell a whole response from a broken one."""

import asyncio
import functools
import socket
import struct

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

#: Value of SO_LINGER with which a close resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class StrictResponseHandler(ResponseHandler):
    """Connection whose failure is never taken for the end of a response.

    aiohttp takes any end of the connection for the end of a response without a length,
    also a reset.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response whose body has not ended, if the connection failed."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"connection lost: {exc!r}"))
        super().connection_lost(exc)


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
