"""Interface to one rank of a group."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from slatehoist.maps.placement import Placement


class GroupSpec(NamedTuple):
    """Geometry of the groups of one service.

    Attributes
    ----------
    sets : int
        Sets of layers, each with experts of its own.
    places : int
        Experts that a rank can hold in each set.
    spare : int
        Experts that may be new to a rank in one set of one map.
    copy_s : float
        Seconds that the copy of one expert takes.
    """

    sets: int
    experts: int
    places: int
    spare: int
    copy_s: float


class Armed(NamedTuple):
    """Map that a rank switches to as a pass begins."""

    version: int
    step: int


class RankReport(NamedTuple):
    """State of a rank.

    Attributes
    ----------
    epoch : int
        Incarnation of the group; all that was prepared is lost when it changes.
    is_open : bool
        Whether the group runs passes.
    step : int
        Last pass that was begun.
    map_version : int
        Map in use.
    prepared : int or None
        Version whose experts have been copied.
    held : int or None
        Pass that the group does not begin until it is released.
    pace : float
        Times that the rank needs as long as usual; over 1 if it is slow.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None
    running: int = 0
    waiting: int = 0
    pace: float = 1.0


class RankCounts(NamedTuple):
    """How often a rank's requests chose each expert since the rank started.

    Attributes
    ----------
    counts : list of int
        By set, then by expert.
    """

    epoch: int
    step: int
    counts: list[int]


class Answer(StrEnum):
    """Answer to an order."""

    DONE = "done"
    BEGUN = "begun"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RankUnreachableError(Exception):
    """Report that a rank gave no answer to a question."""


class RankClient(Protocol):
    """Questions and orders to one rank.

    An order without an answer (`Answer.UNKNOWN`) may have been carried out, or may
    be seconds later. Each order names the epoch, and is refused in another one.
    """

    async def report(self) -> RankReport:
        """Ask for the state; raises `RankUnreachableError`."""

    async def counts(self) -> RankCounts:
        """Ask for the counts; raises `RankUnreachableError`."""

    async def experts(self) -> tuple[int, list[list[int]]]:
        """Ask for the map's version and this rank's experts by set."""

    async def prepare(self, epoch: int, version: int, placement: Placement) -> Answer:
        """Copy what a map needs; done once nothing is left to copy."""

    async def arm(self, epoch: int, version: int, step: int) -> Answer:
        """Switch to a prepared map as a pass begins."""

    async def disarm(self, epoch: int, version: int) -> Answer:
        """Take back an arm."""

    async def hold(self, epoch: int, step: int) -> Answer:
        """Do not begin a pass until it is released."""

    async def release(self, epoch: int, step: int) -> Answer:
        """Let a held pass begin."""
