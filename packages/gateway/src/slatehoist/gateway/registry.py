"""Registry of the gateways that share the retry allowance, as rows of the store."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from slatehoist.gateway.settings import (
    REGISTRY_POLL_S,
    REGISTRY_PROPAGATION_S,
    REGISTRY_RENEWAL_S,
    STORE_RETRY_S,
)
from slatehoist.routing import Membership
from slatehoist.storage import (
    Check,
    ConflictError,
    PlatformError,
    Row,
    Table,
    Write,
)

log = logging.getLogger(__name__)

#: Table with a row for each gateway.
GATEWAYS = "gateways"


class _StoreTimes(NamedTuple):
    """Times of the store's clock in seconds: of joining, and of the process's start."""

    joined_s: float
    started_s: float


def _read_store_times(value: dict) -> _StoreTimes | None:
    """Return the times that a row contains, or None if it has none."""
    times = value.get("joined_store_s"), value.get("started_store_s")
    if all(isinstance(time, int | float) for time in times):
        return _StoreTimes(*times)
    return None


class InstanceRegistry:
    """Keep a row for this instance, and count the rows of all instances.

    The row of a stopped instance still counts for a while, which is safe: it only makes
    the shares of the allowance smaller. A replaced instance has a new name, so rows are
    removed once they have missed several renewals. A row that is missing otherwise
    still counts until its instance had time to write it again: the store may have come
    back from a copy without the row.

    A store that states its own clock tells also after a reboot, when the clock of this
    instance has begun anew, for how long the others have known its row.

    Parameters
    ----------
    on_count : callable
        Called with the new `Membership` after each count.
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
        #: True once it is known whether the store has a row of this instance.
        self._own_row_read = False
        #: Time of the write of this instance's first row; None before that.
        self._joined_at: float | None = None
        self._previous_start = float("-inf")
        #: Times of the store's clock at which this instance joined and this process
        #: started; None while they are not known.
        self._store_times: _StoreTimes | None = None
        #: Time at which this instance's own row was last read.
        self._seen_at = float("-inf")
        self._renewals = 0
        self._renewed_at = float("-inf")
        #: For each row, its version and when this instance first saw that version.
        self._last_changes: dict[str, tuple[int, float]] = {}
        #: Instances whose rows are missing, with the time at which that was first seen.
        self._missing_since: dict[str, float] = {}

    async def run(self) -> None:
        """Renew this instance's row and count all rows, until cancelled."""
        while True:
            try:
                await self.refresh()
            except PlatformError as exc:
                log.debug("registry_unreachable", extra={"why": str(exc)})
                await asyncio.sleep(STORE_RETRY_S)
                continue
            await asyncio.sleep(REGISTRY_POLL_S)

    async def refresh(self) -> None:
        """Renew this instance's row if that is due, and count all rows."""
        if not self._own_row_read:
            await self._read_own_row()
        await self._renew_own_row()
        await self._count_instances()
        await self._write_store_times()

    async def _read_own_row(self) -> None:
        """Read when this instance joined and when its previous process started."""
        row = await self._table.get(GATEWAYS, self._instance)
        self._own_row_read = True
        value = {} if row is None else row.value
        known = _read_store_times(value)
        store_now = getattr(self._table, "store_time_s", None)
        if known is not None and store_now is not None and max(known) <= store_now:
            now = self._clock()
            self._joined_at = now - (store_now - known.joined_s)
            self._previous_start = now - (store_now - known.started_s)
            self._store_times = known._replace(
                started_s=store_now - (now - self._started_at)
            )
            self._seen_at = now
            return
        started_at = value.get("started_at", float("inf"))
        # The clock restarts at boot: a start time later than that of this process was
        # written before the last boot. In that case, and if there is no row, the
        # instance joins with its first write.
        if started_at <= self._started_at:
            self._joined_at = value["joined_at"]
            self._previous_start = started_at
            self._seen_at = self._clock()

    async def _renew_own_row(self) -> None:
        now = self._clock()
        if now - self._renewed_at < REGISTRY_RENEWAL_S:
            return
        self._renewals += 1
        # The others cannot count this instance before a write has succeeded.
        joined_at = now if self._joined_at is None else self._joined_at
        value = {
            "renewals": self._renewals,
            "joined_at": joined_at,
            "started_at": self._started_at,
        }
        if self._store_times is not None:
            value.update(
                joined_store_s=self._store_times.joined_s,
                started_store_s=self._store_times.started_s,
            )
        row = Write(GATEWAYS, self._instance, value)
        await self._table.transact([], [row])
        self._joined_at = joined_at
        self._renewed_at = now

    async def _write_store_times(self) -> None:
        """Write when this instance joined by the store's clock, once that is known.

        The rows have been read since the first write, so the time is not too early.
        """
        store_now = getattr(self._table, "store_time_s", None)
        if self._store_times is not None or store_now is None:
            return
        now = self._clock()
        self._store_times = _StoreTimes(store_now, store_now - (now - self._started_at))
        self._renewed_at = float("-inf")
        await self._renew_own_row()

    async def _count_instances(self) -> None:
        rows = await self._table.scan(GATEWAYS)
        now = self._clock()
        if not self._is_stored(rows):
            # The store came back from a copy that is older than the row.
            log.info("registration_lost", extra={"renewals": self._renewals})
            is_missing = self._instance not in {row.key for row in rows}
            counted_at = self._joined_at + REGISTRY_PROPAGATION_S
            if is_missing and self._seen_at < counted_at:
                # An instance that never read the row does not count it while missing.
                self._joined_at = self._store_times = None
            self._renewed_at = float("-inf")
            await self._renew_own_row()
            rows = await self._table.scan(GATEWAYS)
        self._seen_at = now
        self._note_missing(rows, now)
        self._last_changes = {
            row.key: self._last_changes[row.key]
            if row.key in self._last_changes
            and self._last_changes[row.key][0] == row.version
            else (row.version, now)
            for row in rows
        }
        stale = [
            key
            for key, (_, since) in self._last_changes.items()
            if now - since > REGISTRY_RENEWAL_S * STALE_RENEWALS
        ]
        if stale:
            await self._remove_stale(stale)
        names = self._last_changes.keys() | self._missing_since.keys()
        names = tuple(sorted(names))
        count = max(1, len(names))
        self._on_count(Membership(count, self._joined_at, self._previous_start, names))

    async def _remove_stale(self, stale: list[str]) -> None:
        """Remove rows that missed several renewals, unless one was renewed meanwhile.

        This process may have stood still since it read the rows.
        """
        checks = [Check(GATEWAYS, key, self._last_changes[key][0]) for key in stale]
        writes = [Write(GATEWAYS, key, None) for key in stale]
        try:
            await self._table.transact(checks, writes)
        except ConflictError as exc:
            log.info("stale_gateways_kept", extra={"why": str(exc)})
            return
        for key in stale:
            del self._last_changes[key]
        log.info("stale_gateways_removed", extra={"instances": stale})

    def _note_missing(self, rows: list[Row], now: float) -> None:
        """Note which of the counted instances have no row any more."""
        missing = self._last_changes.keys() | self._missing_since.keys()
        missing -= {row.key for row in rows}
        since = {name: self._missing_since.get(name, now) for name in missing}
        self._missing_since = {
            name: at for name, at in since.items() if now - at <= MISSING_ROW_COUNTS_S
        }

    def _is_stored(self, rows: list[Row]) -> bool:
        """Return True if the newest state of this instance's own row was read."""
        own = [row for row in rows if row.key == self._instance]
        return bool(own) and own[0].value.get("renewals") == self._renewals


#: Renewals that a row may miss before it is removed.
STALE_RENEWALS = 4
#: Seconds for which an instance counts whose row is missing: it notices that with its
#: next count, and is seen with the one after that.
MISSING_ROW_COUNTS_S = REGISTRY_POLL_S + REGISTRY_PROPAGATION_S
