"""Leases with fencing numbers, in the platform's table.

Nobody trusts another's clock. The holder counts its lease from before it sent the
renewal. A challenger takes over only when it has itself seen the row unchanged for
the whole lifetime. Each take-over raises the fencing number, by which those who are
given orders refuse a holder that has been paused past its lease.
"""

import uuid
from typing import NamedTuple

from slatehoist.storage import (
    ABSENT,
    Check,
    ConflictError,
    OutcomeUnknownError,
    PlatformError,
    Row,
    Table,
    Write,
)

LEASES = "leases"

#: Part of the lifetime after which a holder no longer counts on its lease.
HOLDER_RATIO = 0.8


class Lease(NamedTuple):
    """Lease as held here.

    Attributes
    ----------
    valid_until : float
        Time on the holder's monotonic clock.
    """

    fence: int
    valid_until: float


class LeaseKeeper:
    """Take and keep one lease.

    Parameters
    ----------
    name : str
        Name of what the lease is for.
    holder : str
        Unique identity of this holder.
    lifetime_s : float
        Seconds without a renewal after which others may take the lease.
    """

    def __init__(self, table: Table, name: str, holder: str, lifetime_s: float) -> None:
        self._table = table
        self._name = name
        self._holder = holder
        self._lifetime_s = lifetime_s
        self._lease: Lease | None = None
        self._seen_version = -1
        self._seen_at = 0.0
        self._highest_fence = 0

    def valid_lease(self, now: float) -> Lease | None:
        """Give the lease if it is still good; ask again after every wait."""
        if self._lease is not None and now < self._lease.valid_until:
            return self._lease
        return None

    @property
    def highest_fence(self) -> int:
        """Give the highest fencing number that was read or written."""
        return self._highest_fence

    async def renew_or_acquire(self, now: float) -> None:
        """Renew the lease, or take it if it has lapsed."""
        try:
            row = await self._table.get(LEASES, self._name)
            await self._renew_or_take(row, now)
        except PlatformError:
            return

    async def release(self) -> None:
        """Let the lease lapse at once, for a planned stop."""
        row = await self._table.get(LEASES, self._name)
        if row is None or row.value["holder"] != self._holder:
            return
        value = {**row.value, "holder": ""}
        self._lease = None
        check = Check(LEASES, self._name, row.version)
        try:
            await self._table.transact([check], [Write(LEASES, self._name, value)])
        except (ConflictError, OutcomeUnknownError):
            pass

    async def _renew_or_take(self, row: Row | None, now: float) -> None:
        if row is None:
            await self._write(None, 1, now)
            return
        self._highest_fence = max(self._highest_fence, row.value["fence"])
        if row.value["holder"] == self._holder:
            await self._write(row, row.value["fence"], now)
        elif row.value["holder"] == "" or self._has_lapsed(row, now):
            await self._write(row, row.value["fence"] + 1, now)

    def _has_lapsed(self, row: Row, now: float) -> bool:
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_at = now
        return now - self._seen_at >= self._lifetime_s

    async def _write(self, row: Row | None, fence: int, now: float) -> None:
        write_id = uuid.uuid4().hex
        value = {"holder": self._holder, "fence": fence, "write_id": write_id}
        version = row.version if row else ABSENT
        check = Check(LEASES, self._name, version)
        try:
            await self._table.transact([check], [Write(LEASES, self._name, value)])
        except ConflictError:
            self._lease = None
            return
        except OutcomeUnknownError:
            if not await self._stands(write_id):
                return
        self._highest_fence = max(self._highest_fence, fence)
        self._lease = Lease(fence, now + self._lifetime_s * HOLDER_RATIO)

    async def _stands(self, write_id: str) -> bool:
        row = await self._table.get(LEASES, self._name)
        return row is not None and row.value["write_id"] == write_id
