"""Answers to callers: buffered, streamed, or ended with an error."""

from enum import StrEnum
from typing import NamedTuple

import msgspec
from aiohttp import web

from slatehoist.http import EventSplitter, Framing, RelayedResponse, is_event_stream
from slatehoist.wire.messages import UNPROVED_END_HEADER, Head

#: Response header that states whether a failed request ran.
RAN_HEADER = "Slatehoist-Ran"
#: Response header with the trace id.
TRACE_HEADER = "Slatehoist-Trace"


class Ran(StrEnum):
    """State whether a request without a complete answer ran."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class CallerError(NamedTuple):
    """Error that is returned to a caller.

    Attributes
    ----------
    code : str
        Stable error code.
    retry_after_s : float or None
        Seconds until a retry; None if the request must not be sent again.
    """

    status: int
    code: str
    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None


def error_body(error: CallerError, trace: str) -> bytes:
    """Encode an error as JSON."""
    fields = {
        "code": error.code,
        "message": error.message,
        "ran": error.ran,
        "retry_after_s": error.retry_after_s,
        "trace_id": trace,
    }
    return msgspec.json.encode({"error": fields})


def error_response(error: CallerError, trace: str = "") -> web.Response:
    """Return the HTTP response for an error."""
    headers = {RAN_HEADER: error.ran, TRACE_HEADER: trace}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
    return web.Response(
        status=error.status,
        body=error_body(error, trace),
        headers=headers,
        content_type="application/json",
    )


class CallerAnswer:
    """Answer to one request of a caller.

    An event stream is relayed as it arrives. Any other answer is buffered until it is
    complete, so that a broken answer can be replaced by that of another attempt.

    Parameters
    ----------
    keep_copy : bool
        True to keep a copy of an event stream too, so that it can be recorded.
    """

    def __init__(self, req: web.Request, trace: str, keep_copy: bool = False) -> None:
        self._req = req
        self._keep_copy = keep_copy
        self._trace = trace
        self._head: Head | None = None
        self._chunks: list[bytes] = []
        self._stream: RelayedResponse | None = None
        self._events = EventSplitter()

    @property
    def started(self) -> bool:
        """Return True if part of an answer was already sent to the caller."""
        return self._stream is not None

    @property
    def status(self) -> int:
        """Return the status of the answer, or 0 if there is none yet."""
        return self._head.status if self._head else 0

    @property
    def body(self) -> bytes:
        """Return the buffered or copied part of the body."""
        return b"".join(self._chunks)

    @property
    def head(self) -> Head | None:
        """Return the head of the answer, or None."""
        return self._head

    def reset(self) -> None:
        """Discard what a failed attempt produced."""
        self._head = None
        self._chunks.clear()

    def set_head(self, head: Head) -> None:
        """Set the head of the answer."""
        self._head = head

    async def write(self, data: bytes) -> None:
        """Relay or buffer a chunk of the answer's body."""
        is_event_stream = self._is_event_stream()
        if self._keep_copy or not is_event_stream:
            self._chunks.append(data)
        if not is_event_stream:
            return
        if self._stream is None:
            await self._open_stream()
        self._events.feed(data)
        await self._stream.write(data)

    async def finish(self) -> web.StreamResponse:
        """Complete the answer and return its response."""
        if self._stream is None and self._is_event_stream():
            await self._open_stream()
        if self._stream is not None:
            await self._stream.write_eof()
            return self._stream
        if not self._head.proves_end:
            return RelayedResponse(
                self._head.status, self._headers(), Framing.CONNECTION, self.body
            )
        return web.Response(
            status=self._head.status, body=self.body, headers=self._headers()
        )

    async def fail(self, error: CallerError) -> web.StreamResponse:
        """End the answer with an error and return its response.

        A stream that was already opened gets an error event, unless it ends within
        another event, and is broken off.
        """
        if self._stream is None:
            return error_response(error, self._trace)
        if not self._events.within_event:
            event = b"event: error\ndata: " + error_body(error, self._trace) + b"\n\n"
            await self._stream.write(event)
        self._stream.break_off()
        return self._stream

    def _is_event_stream(self) -> bool:
        return self._head is not None and is_event_stream(self._head.headers)

    async def _open_stream(self) -> None:
        proved = self._head.proves_end
        framing = Framing.CHUNKED if proved else Framing.CONNECTION
        stream = RelayedResponse(self._head.status, self._headers(), framing)
        await stream.prepare(self._req)
        self._stream = stream

    def _headers(self) -> dict[str, str]:
        headers = {**self._head.headers, TRACE_HEADER: self._trace}
        headers.pop(UNPROVED_END_HEADER, None)
        return headers
