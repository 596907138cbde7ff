"""Callers of the soak: they use connections as long as these are open."""

import asyncio
import random
import time
from typing import NamedTuple

import aiohttp

from soak.world import HOST, Gateway, World

#: Seconds that a caller waits, as it states in its requests.
DEADLINE_S = 2.5
#: Seconds after its deadline for which a caller still listens for what comes.
LISTEN_S = 1.5
#: Seconds between two requests of a caller.
PAUSE_S = 0.05
#: Part of the requests with a credential that was taken away.
REVOKED_RATIO = 0.1
KINDS = ("safe", "unsafe", "stream", "once")


class Result(NamedTuple):
    """One request and what its caller saw.

    Attributes
    ----------
    status : int
        0 if no answer began.
    complete : bool
        Whether the answer ended in order.
    stamped : bool
        Whether it bears the proof that a server made it.
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
    """One caller of one gateway, with a connection that it keeps."""

    def __init__(self, world: World, gateway: Gateway, rng: random.Random) -> None:
        self._world = world
        self._gateway = gateway
        self._rng = rng
        self.results: list[Result] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            # Otherwise aiohttp sends a request again on a new connection, and a
            # second run would be the caller's own.
            session._retry_connection = False
            while True:
                kind = self._rng.choice(KINDS)
                credential = self._credential()
                self.results.append(await self.request(session, kind, credential))
                await asyncio.sleep(self._rng.random() * 2 * PAUSE_S)

    def _credential(self) -> str:
        """Choose a credential, at times one that was taken away not long ago."""
        revoked = list(self._world.revoked)[-2:]
        if revoked and self._rng.random() < REVOKED_RATIO:
            return self._rng.choice(revoked)
        return self._rng.choice(sorted(self._world.credentials))

    async def request(
        self, session: aiohttp.ClientSession, kind: str, credential: str
    ) -> Result:
        """Send one request and see it to its end."""
        request_id = f"{self._rng.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Credential": credential,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        if kind in ("stream", "once"):
            headers["Accept"] = "text/event-stream"
        began = time.monotonic()
        status, body, complete, stamped = 0, bytearray(), False, False
        url = f"http://{self._gateway.address}/{kind}/{request_id}"
        method = "GET" if kind == "safe" else "POST"
        try:
            async with asyncio.timeout(DEADLINE_S + LISTEN_S):
                async with session.request(method, url, headers=headers) as resp:
                    status = resp.status
                    stamped = "Server-Stamp" in resp.headers
                    async for data in resp.content.iter_any():
                        body += data
                    complete = True
        except (TimeoutError, aiohttp.ClientError, OSError):
            # What the caller saw until then is what is judged.
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
