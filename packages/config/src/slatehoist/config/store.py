"""Resource store: each change is one transaction on the platform's table.

A transaction checks the revision and the resource's row, and writes the row, the next
revision and an entry of the change log. Revisions are therefore consecutive, and a
conflicting change is detected and retried on the new state. Each change has a unique
id, so that after a lost answer the change log shows if the transaction was committed.
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

#: Maximum number of attempts to commit a change that conflicts with other changes.
MAX_COMMIT_ATTEMPTS = 8


class Refusal(NamedTuple):
    """Reason why a change was refused.

    Attributes
    ----------
    code : str
        ``precondition``, ``forbidden``, ``not_found`` or ``busy``.
    current : Resource or None
        The current resource, if ``code`` is ``precondition`` and the resource exists.
    """

    code: str
    message: str
    current: Resource | None = None


class Change(NamedTuple):
    """Change of a resource that an operator requests.

    Attributes
    ----------
    spec : dict or None
        New spec; None to delete the resource.
    if_match : int or None
        Revision that the resource must have; 0 if it must not exist; None for no
        condition.
    change_id : str
        Unique id by which the change is found in the change log.
    """

    kind: str
    name: str
    member: str
    spec: dict | None
    if_match: int | None
    change_id: str


def change_key(revision: int) -> str:
    """Return the key of a revision in the change log; keys sort like revisions."""
    return f"{revision:012d}"


class ResourceStore:
    """Store of the resources in the platform's table."""

    def __init__(self, table: Table) -> None:
        self._table = table

    async def revision(self) -> int:
        """Return the newest revision."""
        row = await self._table.get(META, REVISION_KEY)
        return row.value["revision"] if row else 0

    async def changes_since(self, revision: int) -> list[Resource]:
        """Return the changes after a revision, in order."""
        rows = await self._table.scan(CHANGES, after=change_key(revision))
        return [_resource_from_row(row) for row in rows]

    async def accept(self, change: Change) -> Result[Resource, Refusal]:
        """Commit a change, or return the reason to refuse it.

        Raises
        ------
        StoreDownError
            If the table is down; nothing was changed.
        OutcomeUnknownError
            If the table's answer was lost and the change log does not show the change.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            meta = await self._table.get(META, REVISION_KEY)
            row = await self._table.get(RESOURCES, f"{change.kind}/{change.name}")
            refusal = _find_refusal(change, row)
            if refusal is not None:
                return Err(refusal)
            resource = _next_resource(change, row, meta)
            if await self._write(change, resource, row, meta):
                return Ok(resource)
        return Err(
            Refusal("busy", "too many concurrent changes of resources; try again")
        )

    async def _write(
        self, change: Change, resource: Resource, row: Row | None, meta: Row | None
    ) -> bool:
        """Write a change; return False if another change was committed first."""
        key = f"{change.kind}/{change.name}"
        value = {**resource._asdict(), "change_id": change.change_id}
        log_key = change_key(resource.revision)
        checks = [
            Check(META, REVISION_KEY, _row_version(meta)),
            Check(RESOURCES, key, _row_version(row)),
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
            return await self._was_committed(log_key, change)
        except OutcomeUnknownError:
            if await self._was_committed(log_key, change):
                return True
            raise
        return True

    async def _was_committed(self, log_key: str, change: Change) -> bool:
        logged = await self._table.get(CHANGES, log_key)
        return logged is not None and logged.value["change_id"] == change.change_id


def _row_version(row: Row | None) -> int:
    return row.version if row is not None else ABSENT


def _resource_from_row(row: Row) -> Resource:
    value = {key: row.value[key] for key in Resource._fields if key in row.value}
    return Resource(**value)


def _find_refusal(change: Change, row: Row | None) -> Refusal | None:
    current = _resource_from_row(row) if row else None
    live = current if current and not current.deleted else None
    if live and live.member != change.member:
        return Refusal(
            "forbidden", f"{change.kind}/{change.name} belongs to member {live.member}"
        )
    if change.spec is None and live is None:
        return Refusal("not_found", f"{change.kind}/{change.name} does not exist")
    if change.if_match is not None:
        revision = live.revision if live else 0
        if revision != change.if_match:
            message = (
                f"{change.kind}/{change.name} is at revision {revision}, "
                f"not {change.if_match}"
            )
            return Refusal("precondition", message, live)
    return None


def _next_resource(change: Change, row: Row | None, meta: Row | None) -> Resource:
    current = _resource_from_row(row) if row else None
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
