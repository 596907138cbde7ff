"""Accept changes of resources, each in one transaction of the platform's table.

A transaction checks the revision and the resource's row, and writes the row, the next
revision and an entry of the change log. Revisions therefore grow one by one, and the
loser of a race learns what won. Each change carries an id of its own, so that a
transaction whose answer was lost is settled by reading the log back.
"""

from typing import NamedTuple

from result import Err, Ok, Result

from slatehoist.config.resources import Resource
from slatehoist.storage import (
    ABSENT,
    Check,
    ConflictError,
    OutcomeUnknownError,
    Row,
    Table,
    Write,
)

RESOURCES = "resources"
CHANGES = "changes"
META = "meta"
REVISION_KEY = "revision"

#: Times that a change is tried again because another one came first.
MAX_RACES = 8


class Refusal(NamedTuple):
    """Why a change was not accepted, and what stands instead.

    Attributes
    ----------
    code : str
        ``conflict``, ``precondition``, ``forbidden``, ``not_found`` or ``busy``.
    """

    code: str
    message: str
    current: Resource | None = None


class Change(NamedTuple):
    """Change that an operator asks for.

    Attributes
    ----------
    if_match : int or None
        Revision that the resource must have; 0 for one that must not exist; None for
        no condition.
    change_id : str
        Unique id by which the change is found again.
    """

    kind: str
    name: str
    member: str
    spec: dict | None
    if_match: int | None
    change_id: str


def change_key(revision: int) -> str:
    """Give the key of a revision in the change log; keys sort like revisions."""
    return f"{revision:012d}"


class ResourceStore:
    """Resources in the platform's table."""

    def __init__(self, table: Table) -> None:
        self._table = table

    async def revision(self) -> int:
        """Read the newest revision."""
        row = await self._table.get(META, REVISION_KEY)
        return row.value["revision"] if row else 0

    async def changes_since(self, revision: int) -> list[Resource]:
        """Read the changes after a revision, in order."""
        rows = await self._table.scan(CHANGES, after=change_key(revision))
        return [_resource(row) for row in rows]

    async def accept(self, change: Change) -> Result[Resource, Refusal]:
        """Accept a change, or say why not.

        Raises
        ------
        StoreDownError
            If the table is down, so that nothing was changed.
        OutcomeUnknownError
            If the answer was lost and could not be settled by reading.
        """
        for _ in range(MAX_RACES):
            meta = await self._table.get(META, REVISION_KEY)
            row = await self._table.get(RESOURCES, f"{change.kind}/{change.name}")
            refusal = _refuse(change, row)
            if refusal is not None:
                return Err(refusal)
            resource = _next(change, row, meta)
            if await self._write(change, resource, row, meta):
                return Ok(resource)
        return Err(Refusal("busy", "too many changes at once; try again"))

    async def _write(
        self, change: Change, resource: Resource, row: Row | None, meta: Row | None
    ) -> bool:
        """Write a change; False if another one came first."""
        key = f"{change.kind}/{change.name}"
        value = {**resource._asdict(), "change_id": change.change_id}
        log_key = change_key(resource.revision)
        checks = [
            Check(META, REVISION_KEY, _version(meta)),
            Check(RESOURCES, key, _version(row)),
            Check(CHANGES, log_key, ABSENT),
        ]
        writes = [
            Write(META, REVISION_KEY, {"revision": resource.revision}),
            Write(RESOURCES, key, value),
            Write(CHANGES, log_key, value),
        ]
        try:
            await self._table.transact(checks, writes)
        except ConflictError:
            return await self._is_mine(log_key, change)
        except OutcomeUnknownError:
            if await self._is_mine(log_key, change):
                return True
            raise
        return True

    async def _is_mine(self, log_key: str, change: Change) -> bool:
        logged = await self._table.get(CHANGES, log_key)
        return logged is not None and logged.value["change_id"] == change.change_id


def _version(row: Row | None) -> int:
    return row.version if row is not None else ABSENT


def _resource(row: Row) -> Resource:
    value = {key: row.value[key] for key in Resource._fields if key in row.value}
    return Resource(**value)


def _refuse(change: Change, row: Row | None) -> Refusal | None:
    current = _resource(row) if row else None
    live = current if current and not current.deleted else None
    if live and live.member != change.member:
        return Refusal("forbidden", f"the resource belongs to {live.member}")
    if change.spec is None and live is None:
        return Refusal("not_found", "no such resource")
    if change.if_match is not None:
        stands = live.revision if live else 0
        if stands != change.if_match:
            message = f"the resource is at revision {stands}, not {change.if_match}"
            return Refusal("precondition", message, live)
    return None


def _next(change: Change, row: Row | None, meta: Row | None) -> Resource:
    current = _resource(row) if row else None
    revision = (meta.value["revision"] if meta else 0) + 1
    deleted = change.spec is None
    spec = current.spec if deleted and current else change.spec
    generation = current.generation if current else 0
    if deleted or current is None or current.spec != spec or current.deleted:
        generation += 1
    return Resource(
        kind=change.kind,
        name=change.name,
        member=change.member,
        spec=spec or {},
        generation=generation,
        revision=revision,
        deleted=deleted,
    )
