"""Count of the gateways that share the retry allowance, kept as rows of the store."""

import asyncio
import logging
from collections.abc import Callable

from slatehoist.gateway.settings import (
    REGISTRY_POLL_S,
    REGISTRY_RENEWAL_S,
    STORE_RETRY_S,
)
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
        Called with the number of instances whenever it is read.
    """

    def __init__(
        self,
        table: Table,
        instance: str,
        on_count: Callable[[int], None],
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._instance = instance
        self._on_count = on_count
        self._clock = clock
        self._renewals = 0
        self._renewed_at = float("-inf")
        self._seen: dict[str, tuple[int, float]] = {}

    async def run(self) -> None:
        """Renew and count until cancelled."""
        while True:
            try:
                await self._renew()
                await self._count()
            except PlatformError as exc:
                log.debug("registry_unreachable", extra={"why": str(exc)})
                await asyncio.sleep(STORE_RETRY_S)
                continue
            await asyncio.sleep(REGISTRY_POLL_S)

    async def _renew(self) -> None:
        now = self._clock()
        if now - self._renewed_at < REGISTRY_RENEWAL_S:
            return
        self._renewals += 1
        row = Write(GATEWAYS, self._instance, {"renewals": self._renewals})
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
        self._on_count(max(1, len(self._seen) - len(stale)))


#: Renewals that a row may miss before its instance counts as gone.
STALE_RENEWALS = 4
