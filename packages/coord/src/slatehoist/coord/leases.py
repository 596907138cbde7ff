"""Leases with fencing numbers, stored in the platform's table.

No process relies on another's clock:

- The holder counts the lifetime of its lease from before it sent the renewal.
- A challenger counts from when it first read the current version of the row. It takes
  the lease over only after it has seen that version unchanged for a whole lifetime.

A process that was suspended may still act on a lease that was taken over. Each
take-over therefore increments the fencing number, and the receivers of orders refuse
numbers lower than the highest that they have seen.

The table may go back to an older copy, which may lack the newest fencing numbers. Those
of a new era are therefore higher than all of the eras before, and a holder gets a new
one when it renews.
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

#: Fraction of the lifetime after which the holder stops using a lease that it has not
#: renewed. The rest is the margin before a challenger may take it over.
HOLDER_LIFETIME_FRACTION = 0.8
#: Fencing numbers of one era of the table.
FENCES_PER_ERA = 1 << 32


class Lease(NamedTuple):
    """Lease held by this process.

    Attributes
    ----------
    fence : int
        Fencing number.
    valid_until : float
        Time on the holder's monotonic clock, in seconds.
    """

    fence: int
    valid_until: float


class LeaseKeeper:
    """Acquire and renew one lease.

    Parameters
    ----------
    name : str
        Name of the resource that the lease is for.
    holder : str
        Unique identity of this process.
    lifetime_s : float
        Seconds without a renewal after which another process may take the lease.
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
        """Return the lease if it is still valid, or None.

        Call this again after each ``await``, because the lease may expire meanwhile.
        """
        if self._lease is not None and now < self._lease.valid_until:
            return self._lease
        return None

    @property
    def highest_fence(self) -> int:
        """Return the highest fencing number that was read or written."""
        return self._highest_fence

    async def renew_or_acquire(self, now: float) -> None:
        """Renew the lease, or acquire it if it is free or has expired.

        Errors of the table are ignored: the lease expires unless a later call renews
        it.
        """
        try:
            row = await self._table.get(LEASES, self._name)
            await self._update_row(row, now)
        except PlatformError:
            return

    async def release(self) -> None:
        """Release the lease on a planned stop, for others to acquire it at once.

        Raises
        ------
        StoreDownError
            If the service refused a call or was not reached; nothing was written.
        """
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

    async def _update_row(self, row: Row | None, now: float) -> None:
        first_fence = self._table.era * FENCES_PER_ERA + 1
        if row is None:
            await self._write(None, first_fence, now)
            return
        self._highest_fence = max(self._highest_fence, row.value["fence"])
        if row.value["holder"] == self._holder:
            await self._write(row, max(row.value["fence"], first_fence), now)
        elif row.value["holder"] == "" or self._has_expired(row, now):
            await self._write(row, max(row.value["fence"] + 1, first_fence), now)

    def _has_expired(self, row: Row, now: float) -> bool:
        """Return True if the row was seen unchanged for a whole lifetime.

        Also records a new version of the row and the time at which it was first seen.
        """
        if row.version != self._seen_version:
            self._seen_version = row.version
            self._seen_at = now
        return now - self._seen_at >= self._lifetime_s

    async def _write(self, row: Row | None, fence: int, now: float) -> None:
        """Write the lease over the given row, and hold it if the write succeeded.

        ``now`` is from before the row was read, so the holder's lifetime starts
        before the one that challengers measure.
        """
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
            if not await self._is_stored(write_id):
                return
        self._highest_fence = max(self._highest_fence, fence)
        self._lease = Lease(fence, now + self._lifetime_s * HOLDER_LIFETIME_FRACTION)

    async def _is_stored(self, write_id: str) -> bool:
        """Return True if the table holds the row that this write stored."""
        row = await self._table.get(LEASES, self._name)
        return row is not None and row.value["write_id"] == write_id
