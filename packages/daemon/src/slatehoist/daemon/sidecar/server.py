"""HTTP server of the sidecar: attempts as streams of frames."""

import logging
from collections.abc import Callable

from aiohttp import web

from slatehoist.daemon.sidecar.attempts import Attempt, AttemptTable
from slatehoist.daemon.sidecar.runner import AttemptRunner
from slatehoist.wire import WireError, decode, encode_frame
from slatehoist.wire.messages import (
    Accepted,
    AttemptRequest,
    Broken,
    BrokenReason,
    KeepAlive,
    NotRun,
    NotRunReason,
)

log = logging.getLogger(__name__)

#: Largest attempt that is accepted, in bytes.
MAX_ATTEMPT_BYTES = 64 * 1024 * 1024

_HTTP_BAD_REQUEST = 400
_HTTP_GONE = 410


class AttemptServer:
    """Serve the attempts of one incarnation of the sidecar over HTTP.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process. Requests for the attempts of another incarnation
        are refused, since their state is unknown here.
    load : callable
        Returns the sidecar's load, the number of requests running and waiting; it is
        sent in keep-alive frames.
    """

    def __init__(
        self,
        table: AttemptTable,
        runner: AttemptRunner,
        incarnation: str,
        load: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._runner = runner
        self._incarnation = incarnation
        self._load = load
        self._clock = clock

    def build_app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=MAX_ATTEMPT_BYTES)
        app.router.add_post("/attempts", self._post)
        app.router.add_get("/attempts/{id}", self._get)
        app.router.add_get("/attempts/{id}/state", self._get_state)
        app.router.add_delete("/attempts/{id}", self._delete)
        return app

    async def _post(self, req: web.Request) -> web.StreamResponse:
        """Start an attempt if it is new; stream its frames, or refuse it."""
        try:
            attempt_req = decode(await req.read(), AttemptRequest)
        except WireError as exc:
            return web.Response(status=_HTTP_BAD_REQUEST, text=str(exc))
        if attempt_req.incarnation != self._incarnation:
            return _not_run(attempt_req.attempt_id, NotRunReason.WRONG_INCARNATION)
        attempt = self._table.get(attempt_req.attempt_id)
        if attempt is None:
            attempt = self._runner.start(attempt_req)
        if attempt is None:
            return _not_run(attempt_req.attempt_id, NotRunReason.TOMBSTONE)
        return await self._stream_response(req, attempt, 0)

    async def _get(self, req: web.Request) -> web.StreamResponse:
        """Stream an attempt from a given frame; add a tombstone if it never arrived."""
        if req.query.get("incarnation") != self._incarnation:
            return web.Response(status=_HTTP_GONE)
        attempt_id = req.match_info["id"]
        attempt = self._table.get(attempt_id)
        if attempt is not None:
            return await self._stream_response(
                req, attempt, int(req.query.get("from", 0))
            )
        if self._table.has_run(attempt_id):
            outcome = Broken(attempt_id, BrokenReason.ANSWER_GONE)
            return web.Response(body=encode_frame(outcome))
        self._table.add_tombstone(attempt_id, self._clock())
        return _not_run(attempt_id, NotRunReason.TOMBSTONE)

    async def _get_state(self, req: web.Request) -> web.Response:
        """Return the name of an attempt's state."""
        if req.query.get("incarnation") != self._incarnation:
            return web.Response(status=_HTTP_GONE)
        state = self._table.state(req.match_info["id"], self._clock())
        return web.Response(text=state)

    async def _delete(self, req: web.Request) -> web.Response:
        """Cancel an attempt."""
        attempt = self._table.get(req.match_info["id"])
        if attempt is not None:
            self._runner.cancel(attempt)
        return web.Response()

    async def _stream_response(
        self, req: web.Request, attempt: Attempt, start: int
    ) -> web.StreamResponse:
        resp = web.StreamResponse()
        attempt.readers += 1
        try:
            await resp.prepare(req)
            await resp.write(encode_frame(Accepted(attempt.req.attempt_id)))
            await self._copy_frames(resp, attempt, start)
        except ConnectionError:
            log.info("reader_disconnected", extra={"attempt": attempt.req.attempt_id})
        finally:
            attempt.readers -= 1
            attempt.last_reader_at = self._clock()
        return resp

    async def _copy_frames(
        self, resp: web.StreamResponse, attempt: Attempt, position: int
    ) -> None:
        """Send frames as they arrive; write those that are ready in one call."""
        head_sent = False
        while True:
            outcome = attempt.outcome
            frames = []
            if attempt.head is not None and not head_sent:
                head_sent = True
                frames.append(encode_frame(attempt.head))
            frames += attempt.frames[position:]
            position = max(position, len(attempt.frames))
            if outcome is not None:
                frames.append(encode_frame(outcome))
            if not frames:
                frames.append(encode_frame(KeepAlive(self._load())))
            await resp.write(b"".join(frames))
            if outcome is not None:
                return
            if attempt.outcome is None and position >= len(attempt.frames):
                await attempt.wait_for_change()


def _not_run(attempt_id: str, reason: NotRunReason) -> web.Response:
    return web.Response(body=encode_frame(NotRun(attempt_id, reason)))
