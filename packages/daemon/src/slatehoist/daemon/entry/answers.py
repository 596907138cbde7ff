"""Answers to callers: whole, streamed, refused, or truthfully cut."""

from enum import StrEnum
from typing import NamedTuple

import msgspec
from aiohttp import web

from slatehoist.wire.messages import Head

#: Response header that says whether a refused request ran.
RAN_HEADER = "Slatehoist-Ran"
#: Response header with the trace id.
TRACE_HEADER = "Slatehoist-Trace"


class Ran(StrEnum):
    """Whether a request without a whole answer ran."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class CallerError(NamedTuple):
    """Error as the caller sees it.

    Attributes
    ----------
    code : str
        Stable name of the error.
    retry_after_s : float or None
        When to come back; None if the request must not be sent again.
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
    """Build the response of an error."""
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
    """Answer to one caller.

    An event stream is passed on as it comes. Any other answer is kept until it is
    whole, so that a broken one can be replaced by another try.

    Parameters
    ----------
    keep_copy : bool
        Whether to keep a copy of a stream too, for the record of its claim.
    """

    def __init__(self, req: web.Request, trace: str, keep_copy: bool = False) -> None:
        self._req = req
        self._keep_copy = keep_copy
        self._trace = trace
        self._head: Head | None = None
        self._parts: list[bytes] = []
        self._stream: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Tell whether the caller has already been sent part of an answer."""
        return self._stream is not None

    @property
    def status(self) -> int:
        """Give the status of the answer; 0 if there is none yet."""
        return self._head.status if self._head else 0

    @property
    def body(self) -> bytes:
        """Give the parts kept so far."""
        return b"".join(self._parts)

    @property
    def head(self) -> Head | None:
        """Give the head of the answer."""
        return self._head

    def reset(self) -> None:
        """Forget what a broken try has produced."""
        self._head = None
        self._parts.clear()

    def set_head(self, head: Head) -> None:
        """Note the head of the answer."""
        self._head = head

    async def write(self, data: bytes) -> None:
        """Take in a piece of the answer."""
        is_event_stream = self._is_event_stream()
        if self._keep_copy or not is_event_stream:
            self._parts.append(data)
        if not is_event_stream:
            return
        if self._stream is None:
            await self._open_stream()
        await self._stream.write(data)

    async def finish(self) -> web.StreamResponse:
        """End with a whole answer."""
        if self._stream is None and self._is_event_stream():
            await self._open_stream()
        if self._stream is not None:
            await self._stream.write_eof()
            return self._stream
        return web.Response(
            status=self._head.status, body=self.body, headers=self._headers()
        )

    async def fail(self, error: CallerError) -> web.StreamResponse:
        """End with an error; a stream under way gets an error event and is cut."""
        if self._stream is None:
            return error_response(error, self._trace)
        event = b"event: error\ndata: " + error_body(error, self._trace) + b"\n\n"
        await self._stream.write(event)
        if self._req.transport is not None:
            self._req.transport.close()
        return self._stream

    def _is_event_stream(self) -> bool:
        content_type = self._head.headers.get("Content-Type", "") if self._head else ""
        return content_type.startswith("text/event-stream")

    async def _open_stream(self) -> None:
        stream = web.StreamResponse(status=self._head.status, headers=self._headers())
        await stream.prepare(self._req)
        self._stream = stream

    def _headers(self) -> dict[str, str]:
        return {**self._head.headers, TRACE_HEADER: self._trace}
