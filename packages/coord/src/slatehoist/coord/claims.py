"""Claims of idempotency keys, by which a request runs at most once over all entries.

A claim is a row created before the first dispatch. It names the attempt and who runs
it, so that another entry can ask there instead of guessing. The answer's record, or
the fact that the outcome is unknown, is written to the same row.
"""

import uuid
from enum import StrEnum
from typing import Any, NamedTuple

from slatehoist.coord.batching import WriteBatcher
from slatehoist.storage import (
    ABSENT,
    Check,
    ConflictError,
    OutcomeUnknownError,
    Row,
    Table,
    Write,
)

CLAIMS = "claims"

#: Seconds for which a claim is kept; the caller may repeat its key that long.
CLAIM_LIFETIME_S = 24 * 3600.0


class ClaimState(StrEnum):
    """What became of a claimed request."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Claim(NamedTuple):
    """Claim of an idempotency key.

    Attributes
    ----------
    digest : str
        Digest of the request; the same key with another digest is an error.
    instance, address, incarnation : str
        Sidecar that runs the attempt.
    record : dict
        Status, headers and body of the answer, once finished.
    expires : float
        Wall-clock time, in seconds, after which the row may be collected.
    version : int
        Version of the row; ``ABSENT`` before it is written.
    """

    key: str
    digest: str
    attempt_id: str
    instance: str
    address: str
    incarnation: str
    state: ClaimState = ClaimState.RUNNING
    record: dict[str, Any] = {}
    expires: float = 0.0
    write_id: str = ""
    version: int = ABSENT


class ClaimStore:
    """Claims in the platform's table.

    Parameters
    ----------
    table : Table
    batcher : WriteBatcher
        Groups the writes of many claims.
    """

    def __init__(self, table: Table, batcher: WriteBatcher) -> None:
        self._table = table
        self._batcher = batcher

    async def get(self, key: str) -> Claim | None:
        """Read a claim, or None."""
        row = await self._table.get(CLAIMS, key)
        return _claim(row) if row else None

    async def write(self, claim: Claim) -> Claim:
        """Write a claim over the version that it carries.

        Returns
        -------
        Claim
            The claim that now stands: the one given, with its new version, if it
            won; otherwise somebody else's.

        Raises
        ------
        OutcomeUnknownError
            If the answer was lost and could not be settled by reading.
        StoreDownError
            If nothing was written.
        """
        claim = claim._replace(write_id=uuid.uuid4().hex)
        check = Check(CLAIMS, claim.key, claim.version)
        try:
            await self._batcher.write(check, Write(CLAIMS, claim.key, _value(claim)))
        except (ConflictError, OutcomeUnknownError) as exc:
            return await self._settle(claim, exc)
        return claim._replace(version=claim.version + 1)

    async def release(self, claim: Claim) -> None:
        """Free the key of a request that truly did not run.

        The row stays, so that its version goes on growing: a take-over that was
        decided before the release must not fit a claim that was made after it.
        """
        await self.write(claim._replace(state=ClaimState.RELEASED))

    async def delete_expired(self, wall_now: float, limit: int) -> int:
        """Delete claims that have expired; return how many."""
        rows = await self._table.scan(CLAIMS)
        expired = [row for row in rows if row.value["expires"] < wall_now][:limit]
        for row in expired:
            await self._delete(_claim(row))
        return len(expired)

    async def _delete(self, claim: Claim) -> None:
        check = Check(CLAIMS, claim.key, claim.version)
        try:
            await self._batcher.write(check, Write(CLAIMS, claim.key, None))
        except ConflictError:
            pass

    async def _settle(self, claim: Claim, exc: Exception) -> Claim:
        """Read back what stands after a conflict or a lost answer."""
        standing = await self.get(claim.key)
        if standing is not None and standing.write_id == claim.write_id:
            return standing
        if isinstance(exc, OutcomeUnknownError) or standing is None:
            raise OutcomeUnknownError(f"claim {claim.key}") from exc
        return standing


def _claim(row: Row) -> Claim:
    value = {**row.value, "state": ClaimState(row.value["state"])}
    return Claim(**value, version=row.version)


def _value(claim: Claim) -> dict[str, Any]:
    value = claim._asdict()
    del value["version"]
    return value
