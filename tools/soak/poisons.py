"""Requests that crash each server that runs them, and the checks for their block."""

import asyncio
import random
from collections.abc import Iterable, Iterator

import aiohttp

from slatehoist_standins.deployment_server import CRASH_MARKER, CRASH_PART
from soak.callers import DEADLINE_S, READ_SLACK_S, SUBJECTS, Result, prompt_header
from soak.world import HOST, SETTLE_S, World

#: Path and credential of the request that is the same each time it is sent.
PATH = "/safe/poison"
#: Crashes after which all gateways must refuse such a request, and such a part.
MAX_CRASHES = 3
MAX_CRASHES_OF_PART = 5
#: Times that they may still reach servers later than `SETTLE_S` after that.
MAX_LATE_RETRIES = 3
#: Mean pause between two requests, in seconds.
PAUSE_S = 0.4
#: Answer of a gateway that refuses a part of a prompt, and the fraction of the sound
#: requests that may get it while a part crashes servers.
PART_REFUSAL = b"a part of this prompt crashes endpoints"
MAX_REFUSED_RATIO = 0.5
#: Least number of sound requests by which that is judged.
MIN_REQUESTS = 20


class PoisonCaller:
    """Caller that sends requests that crash servers, through any gateway.

    Parameters
    ----------
    shares_part : bool
        True if no two requests are alike and all have `CRASH_PART` in common; False if
        the same request is sent again and again.

    Attributes
    ----------
    gateways : dict of str to str
        Gateway to which each request was sent, by request id.
    """

    def __init__(
        self, world: World, rng: random.Random, shares_part: bool = False
    ) -> None:
        self._world = world
        self._rng = rng
        self._shares_part = shares_part
        self._max_crashes = MAX_CRASHES_OF_PART if shares_part else MAX_CRASHES
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
            path, body = PATH, CRASH_MARKER
            if self._shares_part:
                path, body = f"/safe/{request_id}", request_id.encode()
                subject = f"{self._rng.randrange(SUBJECTS):x}"
                parts = prompt_header(request_id, subject, CRASH_PART)
                headers["Prompt-Prefix"] = parts
            url = f"http://{gateway.address}{path}"
            try:
                async with (
                    asyncio.timeout(DEADLINE_S + READ_SLACK_S),
                    aiohttp.ClientSession() as session,
                    session.post(url, headers=headers, data=body) as resp,
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
        """Yield a line if the requests reached servers too often after the limit."""
        crashes = self._crashes()
        if len(crashes) < self._max_crashes:
            return
        blocked_at = crashes[self._max_crashes - 1] + SETTLE_S
        late = [
            at
            for request_id, at in self._arrivals()
            if at > blocked_at and self._was_in_touch(request_id, at)
        ]
        if len(late) > MAX_LATE_RETRIES:
            times = ", ".join(f"{at - crashes[0]:.1f}" for at in crashes)
            what = "part" if self._shares_part else "request"
            yield (
                f"poison {what}: reached {len(late)} servers later than {SETTLE_S} s"
                f" after crash {self._max_crashes}; crashes at {times} s"
            )

    def find_blocked_sound_ones(self, results: Iterable[Result]) -> Iterator[str]:
        """Yield a line if sound requests were refused because of a part."""
        crashes = self._crashes()[: self._max_crashes]
        if not crashes:
            return
        judged = [
            result
            for result in results
            if result.began > crashes[-1] + 2 * SETTLE_S
            and self._world.was_undisturbed(result.gateway, result.began, result.ended)
        ]
        refused = sum(PART_REFUSAL in result.body for result in judged)
        if len(judged) >= MIN_REQUESTS and refused > MAX_REFUSED_RATIO * len(judged):
            yield (
                f"poison part: {refused} of {len(judged)} sound requests were refused "
                f"later than {2 * SETTLE_S} s after the crashes"
            )

    def _crashes(self) -> list[float]:
        """Return the times of the crashes by this caller's requests."""
        return [
            crash.at
            for crash in self._world.poison_crashes
            if crash.request_id in self.gateways
        ]

    def _arrivals(self) -> Iterator[tuple[str, float]]:
        """Yield the id and time of each of these requests that reached a server."""
        for server in [*self._world.servers, *self._world.retired]:
            for request_id, at in server.arrived:
                if request_id in self.gateways:
                    yield request_id, at

    def _was_in_touch(self, request_id: str, at: float) -> bool:
        name = self.gateways[request_id]
        return self._world.was_undisturbed(name, at, at)
