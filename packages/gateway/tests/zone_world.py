"""Gateway whose zones are evacuated by an operator, with a simulated store."""

import asyncio
import contextlib
from unittest import mock

from gateway_builders import make_configuration, make_endpoint
from reply_world import ReplyWorld, ScriptedReply

from recorded_caller import Answer
from slatehoist.gateway import Configuration, OperatorUpdate, sync
from slatehoist.storage import HistoryLostError, StoreDownError

#: Real seconds that the simulated store takes, and after which a read is retried.
SILENCE_S = 0.03
RETRY_S = 0.01
#: Longest real wait in seconds for an effect of the background reads.
_TIMEOUT_S = 5.0
#: Zones of the endpoints, which are named e1, e2 and so on.
ZONES = "aabbcc"


class OperatorSource:
    """Source of the configuration and the evacuated zones, with one version for both.

    Attributes
    ----------
    fault : str
        ``down`` refuses calls, ``silent`` gives no answer until a time-out.
    calls : int
        Number of calls received.
    waits : list of float
        Seconds for which each poll may wait, in order.
    on_poll : callable
        Called when a poll is received.
    """

    era = 0
    call_timeout_s = 0.9

    def __init__(self, cfg: Configuration) -> None:
        self.fault = ""
        self.calls = 0
        self.waits: list[float] = []
        self.on_poll = lambda: None
        self.cfg = cfg
        self._version = 1
        self._oldest = 1
        #: Version and presence of each zone's row.
        self._rows: dict[str, tuple[int, bool]] = {}
        self._changed = asyncio.Event()

    def evacuate(self, *zones: str) -> None:
        """Write the rows of zones."""
        self._write(zones, True)

    def restore(self, *zones: str) -> None:
        """Remove the rows of zones."""
        self._write(zones, False)

    def _write(self, zones: tuple[str, ...], present: bool) -> None:
        for zone in zones:
            self._version += 1
            self._rows[zone] = (self._version, present)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def lose_history(self) -> None:
        """Drop all changes, so that only a snapshot returns the rows."""
        self._version += 1
        self._oldest = self._version
        self._rows = {z: row for z, row in self._rows.items() if row[1]}
        self._notify()

    async def _receive(self) -> None:
        self.calls += 1
        if self.fault:
            await asyncio.sleep(SILENCE_S if self.fault == "silent" else 0)
            raise StoreDownError(self.fault)

    def _zones(self, since: int, present: bool) -> frozenset[str]:
        return frozenset(
            zone
            for zone, (version, is_present) in self._rows.items()
            if version > since and is_present == present
        )

    async def configuration(self) -> OperatorUpdate:
        await self._receive()
        return OperatorUpdate(self.cfg, self._version, self._zones(0, True))

    async def next_configuration(self, since: int, wait_s: float) -> OperatorUpdate:
        self.waits.append(wait_s)
        self.on_poll()
        await self._receive()
        if since < self._oldest:
            raise HistoryLostError("changes are no longer kept")
        if since == self._version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s and SILENCE_S):
                    await self._changed.wait()
        if self.fault:
            raise StoreDownError(self.fault)
        if since < self._oldest:
            raise HistoryLostError("changes are no longer kept")
        return OperatorUpdate(
            None, self._version, self._zones(since, True), self._zones(since, False)
        )


class ZoneWorld(ReplyWorld):
    """Gateway with endpoints in zones, which follows what the operator writes.

    The gateway's own zone has no endpoint, so that it prefers none of their zones.
    """

    def __init__(self, *replies: ScriptedReply, zones: str = ZONES, **fields) -> None:
        super().__init__(*replies, **{"configured": False, "zone": "z", **fields})
        endpoints = [make_endpoint(f"e{n}", zone=z) for n, z in enumerate(zones, 1)]
        self.directory.update(endpoints, self.now)
        self.source = OperatorSource(make_configuration(1, routes=(self.route,)))
        self.sync = sync.ConfigurationSync(
            self.source, self.catalogue, self.evacuations, self.clock
        )

    @contextlib.asynccontextmanager
    async def running(self):
        """Read what the operator writes while the block runs."""
        with mock.patch.object(sync, "STORE_RETRY_S", RETRY_S):
            task = asyncio.create_task(self.sync.run())
            try:
                await self.settle()
                yield
            finally:
                task.cancel()
                await asyncio.wait({task})

    async def settle(self) -> None:
        """Wait until the gateway has had the time for several reads."""
        calls = self.source.calls
        async with asyncio.timeout(_TIMEOUT_S):
            while self.source.calls < calls + 3:
                await asyncio.sleep(0.005)

    def zone_of(self, address: str) -> str:
        """Return the zone of the endpoint at an address."""
        return self.directory.at_address(address).zone

    async def call_answered(self) -> Answer:
        """Send a request that any endpoint answers."""
        self.upstream.replies = [ScriptedReply(b"whole", "length", headers={})]
        return await self.call()

    async def used_zones(self, calls: int = 24) -> str:
        """Send requests, and return the sorted zones that they reached.

        A request that reaches none counts as ``-``.
        """
        zones = set()
        for _ in range(calls):
            first = len(self.upstream.requests)
            await self.call_answered()
            reached = self.upstream.requests[first:]
            zones |= {self.zone_of(req.address) for req in reached} or {"-"}
        return "".join(sorted(zones))
