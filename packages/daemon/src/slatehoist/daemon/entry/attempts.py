"""Client of the sidecars' attempt API: send each attempt once, read its response.

An attempt whose stream breaks or stalls is never sent again. The client queries the
sidecar on a new connection and continues to read the response at the next frame.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp
import xxhash

from slatehoist.config.settings import RetrySettings
from slatehoist.http import log_rejected, read_body, strict_connector
from slatehoist.wire import FrameDecoder, WireError, encode
from slatehoist.wire.messages import (
    AttemptRequest,
    AttemptState,
    Broken,
    Data,
    Final,
    Head,
    NotRun,
    NotRunReason,
)

#: Maximum consecutive queries to a sidecar that return no frame.
MAX_QUERIES = 2
#: Maximum requests to cancel an attempt, and the seconds between them.
CANCEL_TRIES = 8
CANCEL_PAUSE_S = 0.5
#: Timeout for opening a connection to a sidecar, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Largest answer to a query for the state of an attempt, in bytes.
MAX_STATE_BYTES = 1024

_HTTP_GONE = 410
_HTTP_OK = 200


class Unknown(NamedTuple):
    """Outcome of an attempt that may have run and whose response cannot be read."""

    attempt_id: str
    reason: str


Outcome = Final | NotRun | Broken | Unknown


class IncarnationGoneError(Exception):
    """Raised if the sidecar incarnation that received an attempt no longer runs."""


class _Progress:
    """Track how much of an attempt's response was read, across all its connections.

    Attributes
    ----------
    position : int
        Number of data frames read.
    responded : bool
        True if the sidecar has sent a frame since `AttemptClient.run` reset this.
    """

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.position = 0
        self.responded = False
        self.head_seen = False
        self.outcome: Outcome | None = None
        self._digest = xxhash.xxh3_64(attempt_id.encode())

    def add_frame(self, frame) -> Head | bytes | None:
        """Process a frame; return its head or data, or None if it has nothing new."""
        self.responded = True
        if isinstance(frame, Data):
            return self._add_data(frame)
        if isinstance(frame, Head) and not self.head_seen:
            self.head_seen = True
            return frame
        if isinstance(frame, Final):
            self._check_complete(frame)
        if isinstance(frame, Final | NotRun | Broken):
            self.outcome = frame
        return None

    def _add_data(self, frame: Data) -> bytes | None:
        if frame.seq < self.position:
            return None
        if frame.seq > self.position:
            raise WireError(
                f"received data frame {frame.seq}, expected {self.position}"
            )
        self.position += 1
        self._digest.update(frame.data)
        return frame.data

    def _check_complete(self, frame: Final) -> None:
        if frame.count != self.position or frame.digest != self._digest.hexdigest():
            raise WireError(
                "the response does not match the count and digest of its final frame"
            )


class AttemptClient:
    """Client of the attempt API of the sidecars.

    Parameters
    ----------
    cfg : RetrySettings
    """

    def __init__(self, cfg: RetrySettings) -> None:
        self._cfg = cfg
        self._session = aiohttp.ClientSession(
            connector=strict_connector(limit=0, keepalive_timeout=30),
            auto_decompress=False,
        )
        self._unpooled_session = aiohttp.ClientSession(
            connector=strict_connector(limit=0, force_close=True),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        await self._unpooled_session.close()

    async def run(
        self, address: str, req: AttemptRequest
    ) -> AsyncIterator[Head | bytes | Outcome]:
        """Send an attempt and read its response to the end.

        Yield the head, then chunks of the body, and last the outcome.
        """
        progress = _Progress(req.attempt_id)
        try:
            async for piece in self._post(address, req, progress):
                yield piece
        except aiohttp.ClientConnectorError:
            reason = NotRunReason.SIDECAR_DOWN
            progress.outcome = NotRun(req.attempt_id, reason)
        except (TimeoutError, aiohttp.ClientError, WireError) as exc:
            log_rejected(exc, address, f"attempt {req.attempt_id}")
        silent_queries = 0
        while progress.outcome is None and silent_queries < MAX_QUERIES:
            progress.responded = False
            try:
                async for piece in self._query(address, req, progress):
                    yield piece
            except (IncarnationGoneError, aiohttp.ClientConnectorError):
                break
            except (TimeoutError, aiohttp.ClientError, WireError) as exc:
                log_rejected(exc, address, f"query of attempt {req.attempt_id}")
            silent_queries = 0 if progress.responded else silent_queries + 1
        yield progress.outcome or Unknown(req.attempt_id, "sidecar_gone")

    async def fetch_response(
        self, address: str, incarnation: str, attempt_id: str
    ) -> AsyncIterator[Head | bytes | Outcome]:
        """Read an attempt of another entry from its start; yield the same as `run`."""
        progress = _Progress(attempt_id)
        req = _AttemptRef(attempt_id, incarnation)
        try:
            async for piece in self._query(address, req, progress):
                yield piece
        except (
            TimeoutError,
            IncarnationGoneError,
            aiohttp.ClientError,
            WireError,
        ) as exc:
            log_rejected(exc, address, f"query of attempt {attempt_id}")
        yield progress.outcome or Unknown(attempt_id, "sidecar_gone")

    async def query_state(
        self, address: str, incarnation: str, attempt_id: str
    ) -> AttemptState | None:
        """Return the state of an attempt, or None if its sidecar does not answer.

        Raises
        ------
        IncarnationGoneError
            If another incarnation answered.
        """
        url = f"http://{address}/attempts/{attempt_id}/state"
        timeout = aiohttp.ClientTimeout(total=self._cfg.query_timeout_s)
        params = {"incarnation": incarnation}
        try:
            async with self._unpooled_session.get(
                url, params=params, timeout=timeout
            ) as resp:
                if resp.status == _HTTP_GONE:
                    raise IncarnationGoneError
                state = await read_body(resp, MAX_STATE_BYTES)
                return AttemptState(state.decode())
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            log_rejected(exc, address, f"state of attempt {attempt_id}")
            return None

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Cancel an attempt whose response is no longer needed.

        If the sidecar does not answer, the request is repeated, so that the attempt
        does not keep its slot after the sidecar recovers.
        """
        url = f"http://{address}/attempts/{attempt_id}"
        timeout = aiohttp.ClientTimeout(total=self._cfg.query_timeout_s)
        for _ in range(CANCEL_TRIES):
            try:
                async with self._unpooled_session.delete(url, timeout=timeout):
                    return
            except aiohttp.ClientConnectorError:
                return
            except (TimeoutError, aiohttp.ClientError) as exc:
                log_rejected(exc, address, f"cancel of attempt {attempt_id}")
                await asyncio.sleep(CANCEL_PAUSE_S)

    async def _post(
        self, address: str, req: AttemptRequest, progress: _Progress
    ) -> AsyncIterator[Head | bytes]:
        url = f"http://{address}/attempts"
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=self._cfg.silence_s
        )
        async with self._session.post(url, data=encode(req), timeout=timeout) as resp:
            async for piece in _read_frames(resp, progress):
                yield piece

    async def _query(
        self, address: str, req, progress: _Progress
    ) -> AsyncIterator[Head | bytes]:
        url = f"http://{address}/attempts/{req.attempt_id}"
        params = {"from": str(progress.position), "incarnation": req.incarnation}
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=self._cfg.query_timeout_s
        )
        async with self._unpooled_session.get(
            url, params=params, timeout=timeout
        ) as resp:
            if resp.status == _HTTP_GONE:
                raise IncarnationGoneError
            async for piece in _read_frames(resp, progress):
                yield piece


class _AttemptRef(NamedTuple):
    """Identity of an attempt that another entry sent."""

    attempt_id: str
    incarnation: str


async def _read_frames(
    resp: aiohttp.ClientResponse, progress: _Progress
) -> AsyncIterator[Head | bytes]:
    if resp.status != _HTTP_OK:
        raise WireError(f"the sidecar answered with HTTP status {resp.status}")
    decoder = FrameDecoder()
    async for data in resp.content.iter_any():
        chunks = []
        for frame in decoder.feed(data):
            piece = progress.add_frame(frame)
            if isinstance(piece, Head):
                yield piece
            elif piece is not None:
                chunks.append(piece)
        if chunks:
            yield b"".join(chunks)
        if progress.outcome is not None:
            return
