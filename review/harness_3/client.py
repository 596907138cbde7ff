"""Client on a plain socket: sends bytes as they are, and tells whole answers."""

import asyncio
import socket
from typing import NamedTuple

#: End of a body in chunks; the stand-ins send no trailers.
LAST_CHUNK = b"\r\n0\r\n\r\n"


class Answer(NamedTuple):
    """Answer to a request.

    Attributes
    ----------
    status : int
        0 if the channel ended, or the time was over, before the head.
    is_whole : bool
        True if the body has the length that the head states, or its last chunk.
    end : str
        ``whole``, ``closed`` or ``deadline``.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    end: str


class Channel:
    """Channel of a client to a gateway, which may be used again."""

    def __init__(self) -> None:
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._rest = b""

    @property
    def socket(self) -> socket.socket:
        """Return the socket, to set its options before the channel is opened."""
        return self._sock

    async def open(self, port: int) -> None:
        """Open the channel."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._sock, ("127.0.0.1", port))

    def close(self) -> None:
        """Close the channel."""
        self._sock.close()

    async def send(self, data: bytes, bytes_per_s: float | None = None) -> None:
        """Send bytes, at a speed if one is given.

        Raises
        ------
        OSError
            If the channel is closed.
        """
        loop = asyncio.get_running_loop()
        part = len(data) if bytes_per_s is None else 65536
        began_at = loop.time()
        for start in range(0, len(data), part):
            await loop.sock_sendall(self._sock, data[start : start + part])
            if bytes_per_s is not None:
                due_at = began_at + (start + part) / bytes_per_s
                await asyncio.sleep(max(0.0, due_at - loop.time()))

    async def read_answer(
        self, timeout_s: float, bytes_per_s: float | None = None
    ) -> Answer:
        """Read the answer to the request that was sent last.

        Parameters
        ----------
        timeout_s : float
            Seconds after which the client gives up.
        bytes_per_s : float or None
            Speed at which the client reads; None for any.
        """
        loop = asyncio.get_running_loop()
        data, self._rest = self._rest, b""
        part = 65536 if bytes_per_s is None else 16384
        end = "closed"
        began_at = loop.time()
        received = 0
        try:
            async with asyncio.timeout(timeout_s):
                while (size := _answer_size(data)) is None or len(data) < size:
                    chunk = await loop.sock_recv(self._sock, part)
                    if not chunk:
                        break
                    data += chunk
                    received += len(chunk)
                    if bytes_per_s is not None:
                        due_at = began_at + received / bytes_per_s
                        await asyncio.sleep(max(0.0, due_at - loop.time()))
        except TimeoutError:
            end = "deadline"
        except OSError:
            pass
        size = _answer_size(data)
        is_whole = size is not None and len(data) >= size
        if is_whole:
            data, self._rest, end = data[:size], data[size:], "whole"
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        words = lines[0].split(" ")
        status = int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
        headers = {
            name.lower(): value
            for name, _, value in (line.partition(": ") for line in lines[1:])
        }
        return Answer(status, headers, body, is_whole, end)


def _answer_size(data: bytes) -> int | None:
    """Return the bytes of a whole answer, or None if they are not yet known."""
    head, blank, body = data.partition(b"\r\n\r\n")
    if not blank:
        return None
    for line in head.lower().split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return len(head) + len(blank) + int(value)
        if name == b"transfer-encoding":
            end = body.find(LAST_CHUNK)
            return None if end < 0 else len(data) - len(body) + end + len(LAST_CHUNK)
    return None


def make_request(
    method: str,
    target: str,
    request_id: str,
    body: bytes = b"",
    deadline_ms: int = 3000,
    headers: tuple[str, ...] = (),
    credential: str = "key-1",
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: api.example",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Credential: {credential}",
        *headers,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
