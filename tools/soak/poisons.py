"""A request that crashes each server that runs it, and the check for its block."""

import asyncio
import random
from collections.abc import Iterator

import aiohttp

from slatehoist_standins.deployment_server import CRASH_MARKER
from soak.callers import DEADLINE_S, READ_SLACK_S
from soak.world import HOST, SETTLE_S, World

#: Path and credential of the request, the same each time it is sent.
PATH = "/safe/poison"
#: Crashes after which all gateways must refuse the request.
MAX_CRASHES = 3
#: Times that the request may still reach servers later than `SETTLE_S` after that.
MAX_LATE_RETRIES = 3
#: Mean pause between two requests, in seconds.
PAUSE_S = 0.4


class PoisonCaller:
    """Caller that sends one poison request again and again, through any gateway.

    Attributes
    ----------
    gateways : dict of str to str
        Gateway to which each request was sent, by request id.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self.gateways: dict[str, str] = {}

    async def run(self) -> None:
        """Send the request until cancelled."""
        credential = min(self._world.credentials)
        while True:
            gateway = self._rng.choice(self._world.gateways)
            request_id = f"{self._rng.getrandbits(64):016x}"
            self.gateways[request_id] = gateway.name
            headers = {
                "Host": HOST,
                "Request-Id": request_id,
                "Credential": credential,
                "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            }
            url = f"http://{gateway.address}{PATH}"
            try:
                async with (
                    asyncio.timeout(DEADLINE_S + READ_SLACK_S),
                    aiohttp.ClientSession() as session,
                    session.post(url, headers=headers, data=CRASH_MARKER) as resp,
                ):
                    await resp.read()
            except (TimeoutError, aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(self._rng.random() * 2 * PAUSE_S)
            if credential not in self._world.credentials:
                # It was revoked; the team's new one sends the same request.
                team = credential.rpartition("-")[0]
                credential = next(
                    c for c in self._world.credentials if c.rpartition("-")[0] == team
                )

    def find_violations(self) -> Iterator[str]:
        """Yield a line if the request reached servers too often after the limit."""
        crashes = self._world.poison_crashes
        if len(crashes) < MAX_CRASHES:
            return
        blocked_at = crashes[MAX_CRASHES - 1].at + SETTLE_S
        late = [
            crash
            for crash in crashes
            if crash.at > blocked_at and self._was_in_touch(crash.request_id, crash.at)
        ]
        if len(late) > MAX_LATE_RETRIES:
            times = ", ".join(f"{crash.at - crashes[0].at:.1f}" for crash in crashes)
            yield (
                f"poison request: reached {len(late)} servers later than {SETTLE_S} s"
                f" after its third crash; crashes at {times} s"
            )

    def _was_in_touch(self, request_id: str, at: float) -> bool:
        name = self.gateways[request_id]
        return self._world.was_undisturbed(name, at, at)
