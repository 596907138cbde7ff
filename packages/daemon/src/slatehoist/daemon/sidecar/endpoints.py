"""Ways to run an attempt at an endpoint: model engines and plain services.

Connections to the endpoint are opened for each call and never reused, so that none
can have gone silent before a request is sent into it.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol, TypedDict

import aiohttp
import msgspec

from slatehoist.wire.messages import AttemptRequest, BrokenReason, Head

#: Seconds to open a connection to the endpoint.
CONNECT_TIMEOUT_S = 1.0
#: Seconds for one reading of the endpoint's load.
LOAD_TIMEOUT_S = 1.0
#: Seconds between tries to resume a stream on an endpoint that is alive.
RESUME_DELAY_S = 0.1
#: Times that an endpoint that does not answer is told to cancel an attempt.
CANCEL_TRIES = 10
#: Seconds between them.
CANCEL_DELAY_S = 2.0
#: Largest piece of an answer that is taken in at once, in bytes.
READ_BYTES = 64 * 1024
#: Headers of the endpoint's answer that are passed on.
FORWARDED_HEADERS = ("Content-Type", "Cache-Control", "Location", "ETag")

_HTTP_OK = 200
_HTTP_NOT_FOUND = 404


class EndpointDownError(Exception):
    """Report that the endpoint took no connection, so that nothing ran."""


class AnswerBrokenError(Exception):
    """Report that an attempt may have run and has no whole answer."""

    def __init__(self, reason: BrokenReason) -> None:
        super().__init__(reason)
        self.reason = reason


class Load(NamedTuple):
    """Load that an endpoint reports; step time in seconds."""

    incarnation: str
    running: int = 0
    waiting: int = 0
    step_s: float = 0.0


class Endpoint(Protocol):
    """Endpoint beside the sidecar."""

    async def load(self) -> Load | None:
        """Read the load, or None if the endpoint does not answer."""

    def run(self, req: AttemptRequest) -> AsyncIterator[Head | bytes]:
        """Run an attempt: its head, then the pieces of its body.

        Raises
        ------
        EndpointDownError
            If nothing ran.
        AnswerBrokenError
            If it may have run and the answer is not whole.
        """

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt and free its room."""

    def count_tokens(self, req: AttemptRequest, piece: bytes) -> int:
        """Count the service that a piece of the answer stands for, in tokens."""


class _HttpEndpoint:
    """Shared parts of the endpoints spoken to over HTTP."""

    def __init__(self, url: str, silence_s: float) -> None:
        self._url = url.rstrip("/")
        self._silence_s = silence_s
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
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
                report = msgspec.json.decode(await resp.read(), type=_LoadReport)
                return Load(**report)
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError):
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


def _make_head(resp: aiohttp.ClientResponse) -> Head:
    headers = {k: resp.headers[k] for k in FORWARDED_HEADERS if k in resp.headers}
    return Head(resp.status, headers)


class PlainEndpoint(_HttpEndpoint):
    """Plain service. Its calls cannot be resumed or cancelled."""

    async def run(self, req: AttemptRequest) -> AsyncIterator[Head | bytes]:
        """Run an attempt; see `Endpoint.run`."""
        try:
            async with self._send_request(req, read_timeout_s=None) as resp:
                yield _make_head(resp)
                async for piece in resp.content.iter_any():
                    yield piece
        except aiohttp.ClientConnectorError as exc:
            raise EndpointDownError(str(exc)) from exc
        except (TimeoutError, aiohttp.ClientError) as exc:
            raise AnswerBrokenError(BrokenReason.ENDPOINT_CRASHED) from exc

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing: closing the connection is all that a plain service knows."""

    def count_tokens(self, req: AttemptRequest, piece: bytes) -> int:
        """Count nothing: the estimate stands."""
        return 0


class EngineEndpoint(_HttpEndpoint):
    """Model engine. A stream that breaks or falls silent is resumed."""

    async def run(self, req: AttemptRequest) -> AsyncIterator[Head | bytes]:
        """Run an attempt; see `Endpoint.run`."""
        reader = _AnswerReader(_wants_stream(req.body))
        try:
            async with self._send_request(req, self._silence_s) as resp:
                async for piece in reader.read(resp):
                    yield piece
        except aiohttp.ClientConnectorError as exc:
            raise EndpointDownError(str(exc)) from exc
        except (TimeoutError, aiohttp.ClientError):
            pass
        while not reader.complete:
            async for piece in self._resume(req.attempt_id, reader):
                yield piece

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt and free its room."""
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        url = f"{self._url}/v1/streams/{attempt_id}"
        try:
            async with self._session.delete(url, timeout=timeout):
                pass
        except (TimeoutError, aiohttp.ClientError):
            pass

    def count_tokens(self, req: AttemptRequest, piece: bytes) -> int:
        """Count the events of a stream, or read the usage of a whole answer."""
        if _wants_stream(req.body):
            return piece.count(b"data:") - piece.count(b"data: [DONE]")
        try:
            answer = msgspec.json.decode(piece, type=_ModelAnswer)
        except msgspec.DecodeError:
            return 0
        return answer.get("usage", {}).get("completion_tokens", 0)

    async def _resume(
        self, attempt_id: str, reader: "_AnswerReader"
    ) -> AsyncIterator[Head | bytes]:
        """Read on from the next event on a new connection."""
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
                    raise AnswerBrokenError(BrokenReason.ENDPOINT_CRASHED)
                async for piece in reader.read(resp):
                    yield piece
        except aiohttp.ClientConnectorError as exc:
            raise AnswerBrokenError(BrokenReason.ENDPOINT_CRASHED) from exc
        except TimeoutError:
            if await self.load() is None:
                raise AnswerBrokenError(BrokenReason.ENDPOINT_SILENT) from None
        except aiohttp.ClientError as exc:
            if await self.load() is None:
                raise AnswerBrokenError(BrokenReason.ENDPOINT_CRASHED) from exc
            await asyncio.sleep(RESUME_DELAY_S)


class _LoadReport(TypedDict):
    incarnation: str
    running: int
    waiting: int
    step_s: float


class _ModelAnswer(TypedDict, total=False):
    usage: dict[str, int]


class _ModelRequest(TypedDict, total=False):
    stream: bool


class _AnswerReader:
    """Cut an engine's answer into whole events, over several connections.

    Attributes
    ----------
    events : int
        Token events passed on so far.
    whole : bool
        Whether the answer has come to its proper end.
    """

    DONE_EVENT = b"data: [DONE]"

    def __init__(self, stream: bool) -> None:
        self.stream = stream
        self.events = 0
        self.complete = False
        self._head_sent = False

    async def read(self, resp: aiohttp.ClientResponse) -> AsyncIterator[Head | bytes]:
        """Pass on the head, once, and whole events."""
        if not self._head_sent:
            self._head_sent = True
            yield _make_head(resp)
        is_stream = resp.content_type == "text/event-stream"
        if not is_stream:
            body = await resp.read()
            self.complete = True
            yield body
            return
        remainder = b""
        async for data in resp.content.iter_any():
            events, separator, remainder = (remainder + data).rpartition(b"\n\n")
            if separator:
                yield self._count_events(events + separator)

    def _count_events(self, events: bytes) -> bytes:
        done = events.count(self.DONE_EVENT)
        self.events += events.count(b"data:") - done
        self.complete = self.complete or done > 0
        return events


def _wants_stream(body: bytes) -> bool:
    try:
        return msgspec.json.decode(body, type=_ModelRequest).get("stream", False)
    except msgspec.DecodeError:
        return False


def make_endpoint(kind: str, url: str, silence_s: float) -> Endpoint:
    """Make the endpoint that the settings name."""
    cls = {"engine": EngineEndpoint, "plain": PlainEndpoint}[kind]
    return cls(url, silence_s)
