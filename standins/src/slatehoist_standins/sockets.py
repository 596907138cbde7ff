"""Ends of connections that the stand-ins choose."""

import asyncio
import socket
import struct

#: Value of SO_LINGER with which a close sends RST instead of FIN.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; bytes that are not delivered yet are discarded."""
    transport = writer.transport
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
