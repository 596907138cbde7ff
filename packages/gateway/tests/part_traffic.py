"""Traffic whose requests share parts of their prompts, for the simulated fleet."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from gateway_fleet import CONTACT_S, POISON_PART, STEP_S, Fleet, SimulatedGateway

#: First part of the prompts of all requests.
FIRST_PART = "system"
#: Fraction of the faults that cut a gateway off; the others start it again.
_CUT_RATIO = 0.6
#: Real seconds after which an attempt at a simulated server ends; longer than any test.
_OBJECTIVE_S = 60.0


class Sent(NamedTuple):
    """Sound request at a connected gateway, and whether it reached a server."""

    at: float
    began: bool


class PartTraffic:
    """Callers that send sound requests, and requests with `POISON_PART`, at random.

    No two requests are alike. All have the first part in common, and sound ones share
    a second part with some of the others.

    Parameters
    ----------
    sound_per_s, poison_per_s : float
        Mean rates of requests over all gateways.
    subjects : int
        Number of second parts.
    faults_per_s : float
        Mean rate of faults: a gateway is cut off from the store, or starts again.
    """

    def __init__(
        self,
        fleet: Fleet,
        sound_per_s: float = 10.0,
        poison_per_s: float = 2.0,
        subjects: int = 40,
        faults_per_s: float = 0.0,
    ) -> None:
        self._fleet = fleet
        self.sound_per_s = sound_per_s
        self.poison_per_s = poison_per_s
        self._subjects = subjects
        self.faults_per_s = faults_per_s
        #: Gateways that are cut off, with the time until which.
        self._cuts: dict[SimulatedGateway, float] = {}
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        self.sent: list[Sent] = []

    async def run(self, seconds: float) -> None:
        """Send requests for some simulated seconds."""
        for _ in range(round(seconds / STEP_S)):
            if self._draw(self.sound_per_s):
                self._start(self._draw_parts())
            if self._draw(self.poison_per_s):
                first, *others = self._draw_parts()
                self._start((first, POISON_PART, *others))
            await self._inject_faults()
            await self._fleet.advance(STEP_S)
            for task in [task for task in self._tasks if task.done()]:
                self._tasks.discard(task)
                task.result()

    def began_ratio(self, start: float, end: float = float("inf")) -> float:
        """Return the fraction of the sound requests in a span that reached a server."""
        began = [sent.began for sent in self.sent if start <= sent.at < end]
        return sum(began) / len(began)

    def count(self, start: float) -> int:
        """Return the number of sound requests since some time."""
        return sum(sent.at >= start for sent in self.sent)

    async def _inject_faults(self) -> None:
        for gateway, until in list(self._cuts.items()):
            if self._fleet.now >= until:
                gateway.cut(False)
                del self._cuts[gateway]
        if not self._draw(self.faults_per_s):
            return
        number = self._fleet.rng.randrange(len(self._fleet.gateways))
        gateway = self._fleet.gateways[number]
        if self._draw(_CUT_RATIO / STEP_S):
            gateway.cut(True)
            self._cuts[gateway] = self._fleet.now + self._fleet.rng.uniform(0.5, 8.0)
            return
        self._cuts.pop(gateway, None)
        started = self._fleet.gateways[number] = SimulatedGateway(self._fleet, number)
        await started.start()

    def _draw(self, rate: float) -> bool:
        return self._fleet.rng.random() < rate * STEP_S

    def _draw_parts(self) -> tuple[str, ...]:
        subject = self._fleet.rng.randrange(self._subjects)
        return FIRST_PART, f"subject-{subject}"

    def _start(self, parts: Sequence[str]) -> None:
        task = asyncio.create_task(self._send(tuple(parts)))
        self._tasks.add(task)

    async def _send(self, parts: tuple[str, ...]) -> None:
        self._number += 1
        at = self._fleet.now
        gateway = self._fleet.rng.choice(self._fleet.gateways)
        connected = gateway.was_connected_for(CONTACT_S)
        body = f"request {self._number}".encode()
        exchange = await gateway.send(body, parts=parts, objective_s=_OBJECTIVE_S)
        if POISON_PART not in parts and connected:
            self.sent.append(Sent(at, bool(exchange.tried)))
