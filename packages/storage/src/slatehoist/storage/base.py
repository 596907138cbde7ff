"""Interfaces and data types of the platform's services.

The table service stores tables of rows. A row has a key, a JSON value and a version
that increases with each write; version 0 stands for a row that does not exist. A
transaction consists of checks on row versions and of writes, and is atomic.
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
    """Condition of a transaction: the row has exactly this version."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """Write of a transaction; a value of None deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


class Feed(NamedTuple):
    """Rows of a table that changed after a given version of the store.

    Attributes
    ----------
    rows : list of Row
        Rows that were written, without those that were removed.
    version : int
        Version of the store up to which all changes are included; pass it to the next
        call of `WatchableTable.changes`.
    removed : tuple of str
        Keys of the rows that were removed and not written again.
    unreadable : tuple of str
        Keys of the rows whose value is not a JSON object; `rows` lacks them.
    """

    rows: list[Row]
    version: int
    removed: tuple[str, ...] = ()
    unreadable: tuple[str, ...] = ()


class Instance(NamedTuple):
    """One instance in the platform's list, which lags behind the real state.

    Attributes
    ----------
    address : str
        ``host:port`` for HTTP.
    control : str
        ``host:port`` for control links.
    state : str
        ``live`` or ``leaving``.
    endpoint : str
        Name of the endpoint that a sidecar serves, or an empty string.
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

    @property
    def era(self) -> int:
        """Return a number that rises each time that the service goes back to a copy.

        Rows that were written after the copy are lost then. No version of an older era
        equals one that is given out in a newer era.
        """

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""

    async def scan(self, table: str, prefix: str = "", after: str = "") -> list[Row]:
        """Return the rows with a key prefix that follow the key ``after``, by key."""

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Write all rows if all checks hold, else none.

        Raises
        ------
        ConflictError
            If a check failed.
        OutcomeUnknownError
            If the answer was lost. Read the rows back to determine the outcome.
        StoreDownError
            If the service refused the call or was not reached; nothing was written.
        """


class WatchableTable(Table, Protocol):
    """Table service that can report changes by long polling."""

    async def snapshot(
        self, table: str, start: str = "", end: str = ""
    ) -> tuple[list[Row], int]:
        """Return rows with keys from start up to end, and a version of the store.

        `changes` after that version reports every change that is not in the rows.
        """

    async def changes(self, table: str, since: int, wait_s: float) -> Feed:
        """Wait up to ``wait_s`` for rows that change after a version of the store.

        The feed has no rows if none has changed by then.

        Raises
        ------
        HistoryLostError
            If the service no longer has the changes since that version; take a new
            snapshot.
        StoreDownError
            If the service refused the call or did not answer.
        """


class ObjectStore(Protocol):
    """Store of byte strings by name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""

    async def put(self, name: str, data: bytes) -> None:
        """Write an object."""


class InstanceList(Protocol):
    """List of live and leaving instances; it lags behind the real state."""

    async def list(self) -> list[Instance]:
        """Return the instances."""


class WeightStore(Protocol):
    """Rate-limited store of expert weights."""

    async def fetch(self, name: str) -> int:
        """Fetch the weights of an expert; return their size in bytes."""
