"""Coordination of a group: the lease holder plans and switches the expert map."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable

import aiohttp
import msgspec
import numpy as np

from slatehoist.config import GroupSpec, Kind, Replica
from slatehoist.config.settings import RankSettings
from slatehoist.coord import GroupSwitch, Lease, LeaseKeeper, SwitchFailedError
from slatehoist.coord.switch import MAPS
from slatehoist.daemon.metrics import Metric, Metrics
from slatehoist.daemon.sidecar.peers import GroupPeers
from slatehoist.experts import MoveCost, Planner, initial_placement
from slatehoist.http import read_body
from slatehoist.storage import PlatformError, Table
from slatehoist.wire import LinkDownError

log = logging.getLogger(__name__)

#: Number of newest readings of the experts' loads that a plan is based on.
MAX_READINGS = 6
#: Number of renewals per lifetime of the lease.
RENEWALS_PER_LIFETIME = 3
#: Timeout for reading the experts' loads, in seconds.
READ_TIMEOUT_S = 1.0
#: Largest answer with the experts' loads, in bytes.
MAX_LOADS_BYTES = 4 * 1024 * 1024


class GroupCoordinator:
    """Compete for the group's lease; while holding it, adapt the expert map."""

    def __init__(
        self,
        cfg: RankSettings,
        table: Table,
        peers: GroupPeers,
        replica: Replica,
        session: aiohttp.ClientSession,
        holder: str,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.cfg = cfg
        self._table = table
        self._peers = peers
        self._replica = replica
        self._session = session
        self._metrics = metrics
        self._clock = clock
        self._keeper = LeaseKeeper(table, f"group/{cfg.group}", holder, cfg.lease_s)
        self._readings: deque[np.ndarray] = deque(maxlen=MAX_READINGS)
        self._planner: Planner | None = None
        self._recovered_fence = 0

    @property
    def renew_interval_s(self) -> float:
        """Return the time between renewals of the lease, in seconds."""
        return self.cfg.lease_s / RENEWALS_PER_LIFETIME

    def valid_lease(self) -> Lease | None:
        """Return the lease if this sidecar holds it now, or None."""
        return self._keeper.valid_lease(self._clock())

    async def renew_or_acquire_lease(self) -> None:
        """Renew the lease, or acquire it if it has expired."""
        await self._keeper.renew_or_acquire(self._clock())

    async def release_lease(self) -> None:
        """Release the lease, so that another sidecar of the group can acquire it."""
        try:
            await self._keeper.release()
        except PlatformError:
            pass

    async def coordinate(self) -> None:
        """Recover an unfinished switch, then switch to a better map if there is one."""
        lease = self.valid_lease()
        spec = self._replica.spec(Kind.GROUP, self.cfg.group)
        if lease is None or spec is None:
            await self._stop_coordinating()
            return
        try:
            peers = await self._peers.connect()
            switch = GroupSwitch(self._table, self.cfg.group, peers, self.valid_lease)
            if self._recovered_fence != lease.fence:
                await switch.recover()
                self._recovered_fence = lease.fence
            await self._plan_and_switch(switch, spec)
        except (SwitchFailedError, LinkDownError, PlatformError) as exc:
            self._recovered_fence = 0
            log.warning("switch_failed", extra={"group": spec, "why": exc})

    async def _stop_coordinating(self) -> None:
        self._recovered_fence = 0
        self._readings.clear()
        await self._peers.close()

    async def _plan_and_switch(self, switch: GroupSwitch, spec: GroupSpec) -> None:
        reading = await self._read_loads()
        if reading is None or reading.shape != (spec.layers, spec.experts):
            return
        self._readings.append(reading)
        placement = await self._read_placement(spec)
        planner = self._planner_for(spec)
        readings = np.stack(self._readings)
        new = await asyncio.to_thread(planner.plan, placement, readings)
        if np.array_equal(new, placement):
            return
        step = await switch.switch(encode_placement(new))
        self._metrics.count(Metric.MAP_SWITCHES, self.cfg.group)
        log.info("map_switched", extra={"map_group": self.cfg.group, "step": step})

    def _planner_for(self, spec: GroupSpec) -> Planner:
        if self._planner is None or self._planner.skew_weight != spec.skew_weight:
            self._planner = Planner(MoveCost(), spec.skew_weight)
        return self._planner

    async def _read_placement(self, spec: GroupSpec) -> np.ndarray:
        row = await self._table.get(MAPS, self.cfg.group)
        if row is None:
            return initial_placement(
                spec.layers, spec.ranks, spec.experts, spec.spare_slots
            )
        return decode_placement(row.value["placement"].encode("latin-1"))

    async def _read_loads(self) -> np.ndarray | None:
        """Return the number of tokens routed to each expert, or None on failure."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        url = f"{self.cfg.url.rstrip('/')}/loads"
        try:
            async with self._session.get(url, timeout=timeout) as resp:
                report = msgspec.json.decode(await read_body(resp, MAX_LOADS_BYTES))
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None
        return np.array(report["tokens"], dtype=float)


def encode_placement(placement: np.ndarray) -> bytes:
    """Encode a placement as JSON: a list by layer, rank and slot."""
    return msgspec.json.encode(placement.tolist())


def decode_placement(data: bytes) -> np.ndarray:
    """Decode a placement; see `encode_placement`."""
    return np.array(msgspec.json.decode(data), dtype=np.int32)
