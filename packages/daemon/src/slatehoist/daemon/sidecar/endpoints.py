"""Clients of the endpoint beside the sidecar: model engines and plain services.

Each call opens a new connection to the endpoint. A reused connection might have been
dropped by the network without notice, and the request sent on it would be lost.
"""

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol, TypedDict

import aiohttp
import msgspec

from slatehoist.daemon.sidecar.attempts import MAX_RESPONSE_BYTES
from slatehoist.http import (
    MAX_EVENT_BYTES,
    EventSplitter,
    Framing,
    OversizedBodyError,
    OversizedEventError,
    is_event_stream,
    log_rejected,
    read_body,
    response_framing,
    strict_connector,
)
from slatehoist.wire.messages import (
    UNPROVED_END,
    UNPROVED_END_HEADER,
    AttemptRequest,
    BrokenReason,
    Head,
)

log = logging.getLogger(__name__)

#: Timeout for opening a connection to the endpoint, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Timeout for reading the endpoint's load or cancelling an attempt, in seconds.
LOAD_TIMEOUT_S = 1.0
#: Delay before a response is read again at an endpoint that is up, in seconds.
RESUME_DELAY_S = 0.1
#: Number of requests to cancel an attempt that are sent to an unresponsive endpoint.
CANCEL_TRIES = 10
#: Delay between these requests, in seconds.
CANCEL_DELAY_S = 2.0
#: Size of the read buffer of a response, in bytes.
READ_BYTES = 64 * 1024
#: Largest report of an endpoint's load, in bytes.
MAX_REPORT_BYTES = 64 * 1024
#: Headers of the endpoint's response that are forwarded.
FORWARDED_HEADERS = ("Content-Type", "Cache-Control", "Location", "ETag")

_HTTP_OK = 200
_HTTP_NOT_FOUND = 404


class EndpointDownError(Exception):
    """Raised if the endpoint accepted no connection, so that nothing ran."""


class BrokenResponseError(Exception):
    """Raised if an attempt may have run and has no complete response."""

    def __init__(self, reason: BrokenReason) -> None:
        super().__init__(reason)
        self.reason = reason


class Load(NamedTuple):
    """Load report of an endpoint; ``step_s`` is its step time in seconds."""

    incarnation: str
    running: int = 0
    waiting: int = 0
    step_s: float = 0.0


class Endpoint(Protocol):
    """Interface to the endpoint beside the sidecar."""

    async def load(self) -> Load | None:
        """Read the load, or None if the endpoint does not answer."""

    def run(self, req: AttemptRequest) -> AsyncIterator[Head | bytes]:
        """Run an attempt; yield the response's head, then the chunks of its body.

        Raises
        ------
        EndpointDownError
            If the endpoint accepted no connection; the attempt did not run.
        BrokenResponseError
            If the attempt may have run and its response is incomplete.
        """

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt and free its slot at the endpoint."""

    def count_tokens(self, req: AttemptRequest, chunk: bytes) -> int:
        """Return the number of tokens that a chunk of the response accounts for."""


class _HttpEndpoint:
    """Base class of the endpoints that are called over HTTP."""

    def __init__(self, url: str, silence_s: float) -> None:
        self._url = url.rstrip("/")
        self._silence_s = silence_s
        self._session = aiohttp.ClientSession(
            connector=strict_connector(force_close=True, limit=0),
            read_bufsize=READ_BYTES,
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()

    async def load(self) -> Load | None:
        """Read the load, or None if the endpoint does not answer."""
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        try:
            async with self._session.get(f"{self._url}/load", timeout=timeout) as resp:
                data = await read_body(resp, MAX_REPORT_BYTES)
                report = msgspec.json.decode(data, type=_LoadReport)
                return Load(**report)
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError) as exc:
            log_rejected(exc, self._url, "GET /load")
            return None

    def _headers(self, req: AttemptRequest) -> dict[str, str]:
        headers = {**req.headers, "X-Request-Id": req.attempt_id}
        headers["X-Priority"] = str(req.priority)
        if req.traceparent:
            headers["traceparent"] = req.traceparent
        return headers

    def _send_request(self, req: AttemptRequest, read_timeout_s: float | None):
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=read_timeout_s
        )
        return self._session.request(
            req.method,
            self._url + req.path,
            data=req.body,
            headers=self._headers(req),
            timeout=timeout,
            allow_redirects=False,
        )


def _make_head(resp: aiohttp.ClientResponse, proves_end: bool) -> Head:
    headers = {
        name: value
        for name in FORWARDED_HEADERS
        if (value := resp.headers.get(name)) is not None and _is_encodable(name, value)
    }
    if not proves_end:
        headers[UNPROVED_END_HEADER] = UNPROVED_END
    return Head(resp.status, headers)


def _is_encodable(name: str, value: str) -> bool:
    """Return True if a header can be part of a frame; log it if it cannot."""
    try:
        value.encode()
    except UnicodeEncodeError:
        log.warning("header_ignored", extra={"header": name, "value": repr(value)})
        return False
    return True


def _framing(resp: aiohttp.ClientResponse) -> Framing:
    return response_framing(resp.method, resp.status, resp.headers)


class PlainEndpoint(_HttpEndpoint):
    """Plain HTTP service. Its calls cannot be resumed or cancelled."""

    async def run(self, req: AttemptRequest) -> AsyncIterator[Head | bytes]:
        """Run an attempt; see `Endpoint.run`."""
        try:
            async with self._send_request(req, read_timeout_s=None) as resp:
                proves_end = _framing(resp).proves_end
                yield _make_head(resp, proves_end)
                events = EventSplitter()
                received = 0
                has_events = is_event_stream(resp.headers)
                async for chunk in resp.content.iter_any():
                    if has_events:
                        events.feed(chunk)
                    received += len(chunk)
                    yield chunk
                cut = events.within_event or not (received or proves_end)
                if has_events and cut:
                    raise BrokenResponseError(BrokenReason.ENDPOINT_CRASHED)
        except OversizedEventError as exc:
            raise BrokenResponseError(BrokenReason.BUFFER_LIMIT) from exc
        except aiohttp.ClientConnectorError as exc:
            raise EndpointDownError(str(exc)) from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            log_rejected(exc, self._url, f"attempt {req.attempt_id}")
            raise BrokenResponseError(BrokenReason.ENDPOINT_CRASHED) from exc

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing; a plain service only notices that the connection is closed."""

    def count_tokens(self, req: AttemptRequest, chunk: bytes) -> int:
        """Return 0, so that the estimated cost of the request is charged."""
        return 0


class EngineEndpoint(_HttpEndpoint):
    """Model engine. A stream that breaks or stalls is resumed."""

    async def run(self, req: AttemptRequest) -> AsyncIterator[Head | bytes]:
        """Run an attempt; see `Endpoint.run`."""
        reader = _ResponseReader(_wants_stream(req.body))
        try:
            async with self._send_request(req, self._silence_s) as resp:
                async for chunk in reader.read(resp):
                    yield chunk
        except aiohttp.ClientConnectorError as exc:
            raise EndpointDownError(str(exc)) from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            log_rejected(exc, self._url, f"attempt {req.attempt_id}")
        while not reader.complete:
            events = reader.events
            async for chunk in self._resume(req.attempt_id, reader):
                yield chunk
            if not reader.complete and reader.events == events:
                await asyncio.sleep(RESUME_DELAY_S)

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt and free its slot at the engine."""
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        url = f"{self._url}/v1/streams/{attempt_id}"
        try:
            async with self._session.delete(url, timeout=timeout):
                pass
        except (TimeoutError, aiohttp.ClientError) as exc:
            log_rejected(exc, self._url, f"cancel of attempt {attempt_id}")

    def count_tokens(self, req: AttemptRequest, chunk: bytes) -> int:
        """Count the events of a stream, or read the usage of a complete response."""
        if _wants_stream(req.body):
            return chunk.count(b"data:") - chunk.count(b"data: [DONE]")
        try:
            response = msgspec.json.decode(chunk, type=_ModelResponse)
        except msgspec.DecodeError:
            return 0
        return response.get("usage", {}).get("completion_tokens", 0)

    async def _resume(
        self, attempt_id: str, reader: "_ResponseReader"
    ) -> AsyncIterator[Head | bytes]:
        """Read the rest of the response on a new connection, from the next event."""
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=self._silence_s
        )
        url = f"{self._url}/v1/streams/{attempt_id}"
        params = {"from": str(reader.events)}
        if not reader.stream:
            params["whole"] = "1"
        try:
            async with self._session.get(url, params=params, timeout=timeout) as resp:
                if resp.status == _HTTP_NOT_FOUND:
                    raise BrokenResponseError(BrokenReason.ENDPOINT_CRASHED)
                async for chunk in reader.read(resp):
                    yield chunk
        except aiohttp.ClientConnectorError as exc:
            raise BrokenResponseError(BrokenReason.ENDPOINT_CRASHED) from exc
        except TimeoutError:
            if await self.load() is None:
                raise BrokenResponseError(BrokenReason.ENDPOINT_SILENT) from None
        except aiohttp.ClientError as exc:
            log_rejected(exc, self._url, f"rest of attempt {attempt_id}")
            if await self.load() is None:
                raise BrokenResponseError(BrokenReason.ENDPOINT_CRASHED) from exc


class _LoadReport(TypedDict):
    incarnation: str
    running: int
    waiting: int
    step_s: float


class _ModelResponse(TypedDict, total=False):
    usage: dict[str, int]


class _ModelRequest(TypedDict, total=False):
    stream: bool


class _ResponseReader:
    """Split an engine's response into complete events, over several connections.

    Attributes
    ----------
    events : int
        Number of token events yielded so far.
    complete : bool
        True if the response was read to its end.
    """

    DONE_EVENT = b"data: [DONE]"

    def __init__(self, stream: bool) -> None:
        self.stream = stream
        self.events = 0
        self.complete = False
        self._head_sent = False

    async def read(self, resp: aiohttp.ClientResponse) -> AsyncIterator[Head | bytes]:
        """Yield the head, once per response, then complete events or the whole body.

        Yield nothing if the response is a JSON document that was cut off.
        """
        if not is_event_stream(resp.headers):
            try:
                body = await read_body(resp, MAX_RESPONSE_BYTES)
            except OversizedBodyError as exc:
                # To read it again would not help.
                raise BrokenResponseError(BrokenReason.BUFFER_LIMIT) from exc
            proves_end = _framing(resp).proves_end or _is_json(body)
            if not proves_end and resp.content_type == "application/json":
                return
            if not self._head_sent:
                self._head_sent = True
                yield _make_head(resp, proves_end)
            self.complete = True
            yield body
            return
        if not self._head_sent:
            self._head_sent = True
            # The last event proves the end.
            yield _make_head(resp, proves_end=True)
        remainder = b""
        async for data in resp.content.iter_any():
            events, separator, remainder = (remainder + data).rpartition(b"\n\n")
            if len(remainder) > MAX_EVENT_BYTES:
                raise BrokenResponseError(BrokenReason.BUFFER_LIMIT)
            if separator:
                yield self._count_events(events + separator)

    def _count_events(self, events: bytes) -> bytes:
        done = events.count(self.DONE_EVENT)
        self.events += events.count(b"data:") - done
        self.complete = self.complete or done > 0
        return events


def _is_json(body: bytes) -> bool:
    """Return True if a body is a whole JSON object or array."""
    try:
        return isinstance(msgspec.json.decode(body), dict | list)
    except msgspec.DecodeError:
        return False


def _wants_stream(body: bytes) -> bool:
    try:
        return msgspec.json.decode(body, type=_ModelRequest).get("stream", False)
    except msgspec.DecodeError:
        return False


def make_endpoint(kind: str, url: str, silence_s: float) -> Endpoint:
    """Return a client for the kind of endpoint named in the settings.

    ``silence_s`` is the time without data, in seconds, after which a stream counts as
    stalled.
    """
    cls = {"engine": EngineEndpoint, "plain": PlainEndpoint}[kind]
    return cls(url, silence_s)
