"""Count of the gateways that share the retry allowance, kept as rows of the store."""

import asyncio
import logging
from collections.abc import Callable

from slatehoist.gateway.settings import (
    REGISTRY_POLL_S,
    REGISTRY_RENEWAL_S,
    STORE_RETRY_S,
)
from slatehoist.routing import Membership
from slatehoist.storage import PlatformError, Table, Write

log = logging.getLogger(__name__)

#: Table with a row for each gateway.
GATEWAYS = "gateways"


class InstanceRegistry:
    """Write a row for this instance and count those of all.

    Rows of instances that are gone stay and count, which only makes the parts of the
    allowance smaller. An instance that is replaced has a new name, so old rows are
    removed when they have not been renewed for several renewals.

    Parameters
    ----------
    on_count : callable
        Called with what is known of the instances whenever they are read.
    """

    def __init__(
        self,
        table: Table,
        instance: str,
        on_count: Callable[[Membership], None],
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._instance = instance
        self._on_count = on_count
        self._clock = clock
        self._started_at = clock()
        self._joined_at: float | None = None
        self._previous_start = float("-inf")
        self._renewals = 0
        self._renewed_at = float("-inf")
        self._seen: dict[str, tuple[int, float]] = {}

    async def run(self) -> None:
        """Renew and count until cancelled."""
        while True:
            try:
                await self.step()
            except PlatformError as exc:
                log.debug("registry_unreachable", extra={"why": str(exc)})
                await asyncio.sleep(STORE_RETRY_S)
                continue
            await asyncio.sleep(REGISTRY_POLL_S)

    async def step(self) -> None:
        """Renew the own row if it is time, and count all."""
        if self._joined_at is None:
            await self._read_own()
        await self._renew()
        await self._count()

    async def _read_own(self) -> None:
        """Read when this instance joined and when it was last started."""
        row = await self._table.get(GATEWAYS, self._instance)
        value = {} if row is None else row.value
        started_at = value.get("started_at", float("inf"))
        # The clock begins anew when a machine does, and then it joins anew.
        if started_at > self._started_at:
            self._joined_at = self._clock()
            return
        self._joined_at = value["joined_at"]
        self._previous_start = started_at

    async def _renew(self) -> None:
        now = self._clock()
        if now - self._renewed_at < REGISTRY_RENEWAL_S:
            return
        self._renewals += 1
        value = {
            "renewals": self._renewals,
            "joined_at": self._joined_at,
            "started_at": self._started_at,
        }
        row = Write(GATEWAYS, self._instance, value)
        await self._table.transact([], [row])
        self._renewed_at = now

    async def _count(self) -> None:
        rows = await self._table.scan(GATEWAYS)
        now = self._clock()
        self._seen = {
            row.key: self._seen[row.key]
            if row.key in self._seen and self._seen[row.key][0] == row.version
            else (row.version, now)
            for row in rows
        }
        stale = [
            key
            for key, (_, since) in self._seen.items()
            if now - since > REGISTRY_RENEWAL_S * STALE_RENEWALS
        ]
        if stale:
            await self._table.transact(
                [], [Write(GATEWAYS, key, None) for key in stale]
            )
            log.info("gateways_forgotten", extra={"instances": stale})
        count = max(1, len(self._seen) - len(stale))
        self._on_count(Membership(count, self._joined_at, self._previous_start))


#: Renewals that a row may miss before its instance counts as gone.
STALE_RENEWALS = 4
