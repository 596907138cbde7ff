"""Callers of the soak, which reuse a connection while it is open."""

import asyncio
import random
import time
from typing import NamedTuple

import aiohttp

from slatehoist.http import strict_connector
from soak.world import HOST, Gateway, World

#: Deadline of each request, in seconds, which the caller sends as a header.
DEADLINE_S = 2.5
#: Seconds after the deadline for which a caller still reads the response.
READ_SLACK_S = 1.5
#: Mean pause between two requests of a caller, in seconds.
PAUSE_S = 0.05
#: Fraction of the requests that use a revoked credential.
REVOKED_RATIO = 0.1
#: Kinds of requests, each with a route of its own; ``once`` is a stream that is not
#: resumed.
KINDS = ("safe", "unsafe", "stream", "once")
#: First part of the prompts of all requests, and the number of second parts.
FIRST_PART = "5e5e5e5e"
SUBJECTS = 12


def prompt_header(request_id: str, subject: str, *others: str) -> str:
    """Return the header with the parts of a prompt, the last one of which is unique."""
    parts = (FIRST_PART, *others, subject, request_id)
    return ",".join(f"{part}:100" for part in parts)


class Result(NamedTuple):
    """A request and its response as seen by the caller.

    Attributes
    ----------
    status : int
        0 if no response began.
    complete : bool
        Whether the response ended without an error.
    stamped : bool
        Whether the response has the header ``Server-Stamp`` of the server that ran it.
    """

    request_id: str
    kind: str
    gateway: str
    credential: str
    began: float
    ended: float
    status: int
    body: bytes
    complete: bool
    stamped: bool


class Caller:
    """Caller of one gateway that keeps a single connection while it may.

    A caller with HTTP/1.0 knows no chunks, so the end of its connection can be the end
    of an answer.
    """

    def __init__(
        self,
        world: World,
        gateway: Gateway,
        rng: random.Random,
        version: aiohttp.HttpVersion = aiohttp.HttpVersion11,
    ) -> None:
        self._version = version
        self._world = world
        self._gateway = gateway
        self._rng = rng
        self.results: list[Result] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        connector = strict_connector(limit=1)
        async with aiohttp.ClientSession(
            connector=connector, version=self._version
        ) as session:
            # aiohttp would otherwise resend a request on a new connection, and the
            # gateway would be reported for a second run that the caller caused.
            session._retry_connection = False
            while True:
                kind = self._rng.choice(KINDS)
                credential = self._draw_credential()
                self.results.append(await self.request(session, kind, credential))
                await asyncio.sleep(self._rng.random() * 2 * PAUSE_S)

    def _draw_credential(self) -> str:
        """Draw a credential, sometimes one of the last two that were revoked."""
        revoked = list(self._world.revoked)[-2:]
        if revoked and self._rng.random() < REVOKED_RATIO:
            return self._rng.choice(revoked)
        return self._rng.choice(sorted(self._world.credentials))

    async def request(
        self, session: aiohttp.ClientSession, kind: str, credential: str
    ) -> Result:
        """Send one request and read the response to its end."""
        request_id = f"{self._rng.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Credential": credential,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Prompt-Prefix": prompt_header(
                request_id, f"{int(request_id, 16) % SUBJECTS:x}"
            ),
        }
        if kind in ("stream", "once"):
            headers["Accept"] = "text/event-stream"
        began = time.monotonic()
        status, body, complete, stamped = 0, bytearray(), False, False
        url = f"http://{self._gateway.address}/{kind}/{request_id}"
        method = "GET" if kind == "safe" else "POST"
        try:
            async with asyncio.timeout(DEADLINE_S + READ_SLACK_S):
                async with session.request(method, url, headers=headers) as resp:
                    status = resp.status
                    stamped = "Server-Stamp" in resp.headers
                    async for data in resp.content.iter_any():
                        body += data
                    complete = True
        except (TimeoutError, aiohttp.ClientError, OSError):
            # The part of the response that was read before the error is still checked.
            complete = False
        ended = time.monotonic()
        return Result(
            request_id,
            kind,
            self._gateway.name,
            credential,
            began,
            ended,
            status,
            bytes(body),
            complete,
            stamped,
        )
