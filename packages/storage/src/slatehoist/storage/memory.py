"""In-memory table and instance list, for tests and for use inside other programs."""

from typing import Any

from slatehoist.storage.base import Check, Instance, Row, Write
from slatehoist.storage.exceptions import ConflictError

#: Versions of one era are smaller than this.
VERSIONS_PER_ERA = 1 << 40


class MemoryTable:
    """Table service in memory; also used by the stand-in of the platform.

    Attributes
    ----------
    era : int
        Number of times that `restore` was called.
    reads, writes : int
        Number of ``get`` and ``scan`` calls, and of successful transactions.
    """

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, Row]] = {}
        self.era = 0
        self.reads = 0
        self.writes = 0

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        self.reads += 1
        return self._rows.get(table, {}).get(key)

    async def scan(self, table: str, prefix: str = "", after: str = "") -> list[Row]:
        """Return the rows whose key has a prefix and sorts after a key, by key."""
        self.reads += 1
        rows = self._rows.get(table, {})
        keys = sorted(key for key in rows if key.startswith(prefix) and key > after)
        return [rows[key] for key in keys]

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Write all rows if all checks hold, else none; see `Table.transact`."""
        failed = [
            (check.table, check.key)
            for check in checks
            if self._version(check.table, check.key) != check.version
        ]
        if failed:
            raise ConflictError(failed)
        self.writes += 1
        for write in writes:
            self._apply(write)

    def copy(self) -> dict[str, dict[str, Row]]:
        """Return a copy of all rows, for `restore`."""
        return {table: dict(rows) for table, rows in self._rows.items()}

    def restore(self, rows: dict[str, dict[str, Row]]) -> None:
        """Go back to a copy, in a new era."""
        self._rows = {table: dict(copied) for table, copied in rows.items()}
        self.era += 1

    def _version(self, table: str, key: str) -> int:
        row = self._rows.get(table, {}).get(key)
        return row.version if row is not None else 0

    def _apply(self, write: Write) -> None:
        rows = self._rows.setdefault(write.table, {})
        if write.value is None:
            rows.pop(write.key, None)
            return
        value: dict[str, Any] = dict(write.value)
        previous = self._version(write.table, write.key)
        version = max(previous, self.era * VERSIONS_PER_ERA) + 1
        rows[write.key] = Row(write.key, version, value)


class MemoryInstanceList:
    """Instance list in memory."""

    def __init__(self, instances: list[Instance] | None = None) -> None:
        self.instances = list(instances or [])

    async def list(self) -> list[Instance]:
        """Return the instances."""
        return list(self.instances)
