"""Claims of idempotency keys: a request runs at most once, whichever entry gets it.

An entry creates the claim's row before it first dispatches the request. The row names
the attempt and the sidecar that runs it, so that another entry which receives the same
key can ask that sidecar what became of the attempt. The answer, or the fact that the
outcome is unknown, is written to the same row later.
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

#: Seconds for which a claim is kept, and so for which a caller may repeat its key.
CLAIM_LIFETIME_S = 24 * 3600.0


class ClaimState(StrEnum):
    """State of a claimed request.

    ``UNKNOWN`` means that it may have run, but its answer is lost. ``RELEASED`` means
    that it did not run and the key is free again.
    """

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
        Status and headers of the answer, and its body or the name of the object that
        holds the body; empty until the request has finished.
    expires : float
        Wall-clock time, in seconds, after which the row may be deleted.
    write_id : str
        Unique identity of the write that stored this claim.
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
    """Read and write claims in the platform's table.

    Parameters
    ----------
    table : Table
    batcher : WriteBatcher
        Groups the writes of many claims into few transactions.
    """

    def __init__(self, table: Table, batcher: WriteBatcher) -> None:
        self._table = table
        self._batcher = batcher

    async def get(self, key: str) -> Claim | None:
        """Return the claim of a key, or None."""
        row = await self._table.get(CLAIMS, key)
        return _claim_from_row(row) if row else None

    async def write(self, claim: Claim) -> Claim:
        """Write a claim, on condition that the row still has the claim's version.

        Returns
        -------
        Claim
            The claim now in the table: the given one with its new version if the
            write succeeded, otherwise the one that another write stored.

        Raises
        ------
        OutcomeUnknownError
            If it could not be determined whether the claim was written.
        StoreDownError
            If nothing was written.
        """
        claim = claim._replace(write_id=uuid.uuid4().hex)
        check = Check(CLAIMS, claim.key, claim.version)
        try:
            await self._batcher.write(
                check, Write(CLAIMS, claim.key, _row_value(claim))
            )
        except (ConflictError, OutcomeUnknownError) as exc:
            return await self._read_back(claim, exc)
        return claim._replace(version=claim.version + 1)

    async def release(self, claim: Claim) -> None:
        """Free the key of a request that certainly did not run.

        The row is kept, so that its version keeps increasing. If it were deleted, a
        take-over decided before the release could match the version of a claim that
        was created after it.
        """
        await self.write(claim._replace(state=ClaimState.RELEASED))

    async def delete_expired(self, wall_now: float, limit: int) -> int:
        """Delete up to ``limit`` expired claims, and return how many were found.

        Claims that change before they are deleted are kept, but counted.
        """
        rows = await self._table.scan(CLAIMS)
        expired = [row for row in rows if row.value["expires"] < wall_now][:limit]
        for row in expired:
            await self._delete(_claim_from_row(row))
        return len(expired)

    async def _delete(self, claim: Claim) -> None:
        check = Check(CLAIMS, claim.key, claim.version)
        try:
            await self._batcher.write(check, Write(CLAIMS, claim.key, None))
        except ConflictError:
            pass

    async def _read_back(self, claim: Claim, exc: Exception) -> Claim:
        """Return the claim in the table after a conflict or a lost answer.

        A row that carries the write's identity shows that the write took effect. Any
        other row is returned after a conflict. After a lost answer it proves nothing:
        the write may take effect later, or may have been overwritten already. If the
        row is missing, the outcome counts as unknown in both cases.
        """
        current = await self.get(claim.key)
        if current is not None and current.write_id == claim.write_id:
            return current
        if isinstance(exc, OutcomeUnknownError) or current is None:
            raise OutcomeUnknownError(
                f"cannot determine whether claim {claim.key!r} was written"
            ) from exc
        return current


def _claim_from_row(row: Row) -> Claim:
    value = {**row.value, "state": ClaimState(row.value["state"])}
    return Claim(**value, version=row.version)


def _row_value(claim: Claim) -> dict[str, Any]:
    value = claim._asdict()
    del value["version"]
    return value
