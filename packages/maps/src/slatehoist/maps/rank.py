"""Interface to one rank of a group."""

from enum import StrEnum
from typing import NamedTuple, Protocol

from slatehoist.maps.placement import Placement


class GroupSpec(NamedTuple):
    """Dimensions of the groups of one service.

    Attributes
    ----------
    sets : int
        Sets of layers, each with experts of its own.
    experts : int
        Experts of each set.
    places : int
        Maximum number of experts that a rank can hold in each set.
    spare : int
        Maximum number of experts in each set of a map that are new to a rank and must
        be copied.
    copy_s : float
        Seconds that the copy of one expert takes.
    slots : int
        Requests that a rank runs at once; 0 if unknown.
    """

    sets: int
    experts: int
    places: int
    spare: int
    copy_s: float
    slots: int = 0


class Armed(NamedTuple):
    """Map version to which a rank switches when pass `step` begins."""

    version: int
    step: int


class RankReport(NamedTuple):
    """State of a rank.

    Attributes
    ----------
    epoch : int
        Incarnation of the group; when it changes, all prepared and armed maps and all
        holds are lost.
    size : int
        Ranks of the group.
    is_open : bool
        True if the group runs passes.
    step : int
        Number of the last pass that has begun.
    map_version : int
        Version of the map in use.
    prepared : int or None
        Version whose experts have all been copied.
    armed : Armed or None
        Version to which the rank switches, and the pass at which it does so.
    held : int or None
        Pass that the group does not begin until this rank is released.
    running, waiting : int
        Requests in progress, and requests in the queue.
    pace : float
        Slowdown factor: duration of the rank's work relative to its usual duration.
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
    """Number of times a rank's requests chose each expert since the rank started.

    Attributes
    ----------
    counts : list of int
        By set, then by expert.
    """

    epoch: int
    step: int
    counts: list[int]


class Answer(StrEnum):
    """Answer to an order.

    `BEGUN` means that the rank carries out the order in the background, and `UNKNOWN`
    that no answer was received.
    """

    DONE = "done"
    BEGUN = "begun"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RankUnreachableError(Exception):
    """Raised if a rank did not answer a query, or its answer was malformed."""


class RankClient(Protocol):
    """Client of one rank, for queries and orders.

    An order without an answer (`Answer.UNKNOWN`) may have been carried out already, or
    may still be carried out seconds later. All orders are idempotent. Each one contains
    the epoch for which it was sent, and is refused in another epoch.
    """

    async def report(self) -> RankReport:
        """Return the rank's state; raise `RankUnreachableError` without an answer."""

    async def counts(self) -> RankCounts:
        """Return the counts; raise `RankUnreachableError` without an answer."""

    async def experts(self) -> tuple[int, list[list[int]]]:
        """Return the version of the map in use and this rank's experts by set.

        Raise `RankUnreachableError` without an answer.
        """

    async def prepare(self, epoch: int, version: int, placement: Placement) -> Answer:
        """Copy the experts that a map needs; the answer is `DONE` if all are copied."""

    async def arm(self, epoch: int, version: int, step: int) -> Answer:
        """Make the rank switch to its prepared map when pass `step` begins."""

    async def disarm(self, epoch: int, version: int) -> Answer:
        """Cancel an arm order."""

    async def hold(self, epoch: int, step: int) -> Answer:
        """Keep the group from beginning pass `step` until it is released."""

    async def release(self, epoch: int, step: int) -> Answer:
        """Release a held pass, so that it can begin."""
