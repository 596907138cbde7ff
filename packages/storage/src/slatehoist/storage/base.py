"""Protocols and data of the platform's services.

The table service knows tables of rows. A row has a key, a JSON value and a version
that grows with each write; version 0 stands for a row that does not exist. A
transaction carries checks on versions and writes, and takes effect whole or not at
all.
"""

from typing import Any, NamedTuple, Protocol

#: Version of a row that does not exist.
ABSENT = 0


class Row(NamedTuple):
    """One row of a table."""

    key: str
    version: int
    value: dict[str, Any]


class Check(NamedTuple):
    """Condition of a transaction: the row has this version."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """Write of a transaction; a value of None deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


class Feed(NamedTuple):
    """Rows of a table that changed after a version, and where to go on from.

    Attributes
    ----------
    version : int
        Version up to which all changes are contained.
    """

    rows: list[Row]
    version: int


class Instance(NamedTuple):
    """One instance in the platform's lagging list.

    Attributes
    ----------
    address : str
        ``host:port`` for HTTP.
    control : str
        ``host:port`` for control links.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    role: str
    zone: str
    address: str
    control: str
    state: str
    endpoint: str = ""


class Table(Protocol):
    """Transactional table service."""

    async def get(self, table: str, key: str) -> Row | None:
        """Read one row, or None."""

    async def scan(self, table: str, prefix: str = "", after: str = "") -> list[Row]:
        """Read the rows whose key has a prefix and sorts after a key, in order."""

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Write all rows if all checks hold.

        Raises
        ------
        ConflictError
            If a check failed.
        OutcomeUnknownError
            If the answer was lost; read the rows back to settle it.
        StoreDownError
            If the service refused the call.
        """


class WatchableTable(Table, Protocol):
    """Table service whose changes can be waited for."""

    async def snapshot(
        self, table: str, start: str = "", end: str = ""
    ) -> tuple[list[Row], int]:
        """Read rows with keys from one up to another, and the version to go on from."""

    async def changes(self, table: str, since: int, wait_s: float) -> Feed:
        """Wait for rows that change after a version; none after the wait is over.

        Raises
        ------
        HistoryLostError
            If the service no longer knows what changed; read the rows anew.
        StoreDownError
            If the service refused the call or gave no answer.
        """


class ObjectStore(Protocol):
    """Store of named byte strings."""

    async def get(self, name: str) -> bytes | None:
        """Read an object, or None."""

    async def put(self, name: str, data: bytes) -> None:
        """Write an object."""


class InstanceList(Protocol):
    """List of live and leaving instances; it lags."""

    async def list(self) -> list[Instance]:
        """Read the list."""


class WeightStore(Protocol):
    """Rate-limited store of expert weights."""

    async def fetch(self, name: str) -> int:
        """Fetch the weights of an expert and return their size in bytes."""
