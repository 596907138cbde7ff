"""Switch of a group to a new expert map, and the finishing of unfinished ones.

The engines keep all state of a switch: what is prepared, armed and held. The group is
held before the first rank is armed and released after the last one is, so no pass can
begin while ranks differ. Nothing depends on the store, or on who coordinates:

- The group is held at another machine's rank than the coordinator's. A coordinator
  arms its own rank last, and only after the agent of the holding rank has granted it.
  So that agent can undo the switch of a coordinator whose machine stands still, though
  that machine's rank cannot be asked.
- An order without an answer may be carried out seconds later. A late arm is fenced off
  by preparing a newer version at that rank, since a rank has one prepared version and
  none can be prepared while one is armed. Whether the coordinator's own rank can be
  fenced decides whether a switch that was left is undone or finished.
- Versions are unique to their coordinator, and tell who it was.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from slatehoist.maps.placement import Placement
from slatehoist.maps.rank import Answer, RankClient, RankReport

log = logging.getLogger(__name__)

#: Versions are a counter times this, plus the rank of the coordinator. Groups have
#: fewer ranks than this.
VERSION_STRIDE = 128
#: Seconds between repeats of an order that got no answer.
RETRY_S = 0.01
#: Passes that a hold may be too late for before the switch is put off.
MAX_HOLD_TRIES = 4
#: Seconds between looks at whether all ranks have prepared.
PREPARED_POLL_S = 0.02
#: Seconds between looks at whether the placement is still wanted.
OUTDATED_POLL_S = 0.1
#: Times the expected copy time after which preparing is given up.
PREPARE_PATIENCE = 2.0
#: Seconds of patience beyond that: orders may be carried out late.
PREPARE_SLACK_S = 1.0


def next_version(known: Sequence[int], coordinator: int) -> int:
    """Give a version above all known ones that no other coordinator uses."""
    return (max(known, default=0) // VERSION_STRIDE + 1) * VERSION_STRIDE + coordinator


def coordinator_of(version: int) -> int:
    """Give the rank whose agent made a version."""
    return version % VERSION_STRIDE


def may_grant(report: RankReport, version: int, step: int) -> bool:
    """Whether the holding rank's agent lets a coordinator arm its own rank.

    Parameters
    ----------
    report : RankReport
        Report of the holding rank, asked for after the question came.
    """
    return report.held == step and report.armed == (version, step)


def switch_version(reports: Iterable[RankReport]) -> int:
    """Give the version of the switch that is under way."""
    reports = list(reports)
    armed = [report.armed.version for report in reports if report.armed]
    return max(armed or [report.prepared or 0 for report in reports])


class EpochChangedError(Exception):
    """Report that the group was formed anew; all orders have become void."""


class Result(StrEnum):
    """How a switch ended."""

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    OUTDATED = "outdated"
    NOT_HELD = "not_held"
    UNDONE = "undone"
    ABANDONED = "abandoned"


class Settlement(StrEnum):
    """What became of a switch that was left."""

    FINISHED = "finished"
    UNDONE = "undone"
    IMPOSSIBLE = "impossible"


class GroupView(NamedTuple):
    """What is known of a group.

    Attributes
    ----------
    placement : list
        Map in use, by set and rank.
    reports : list of RankReport
        Newest report of each rank.
    last_step : int
        Last pass that any switch was seen to hold or arm. A later one is held next,
        so that a late order of an earlier switch cannot touch the new one, even if
        the group has been idle meanwhile.
    """

    epoch: int
    placement: Placement
    reports: list[RankReport]
    last_step: int = 0


class GroupObserver(Protocol):
    """Newest knowledge of a group."""

    def report(self, rank: int) -> RankReport | None:
        """Give the newest report of a rank that is fresh enough, or None."""


class Switch:
    """Orders of one switch.

    Parameters
    ----------
    ranks : sequence of RankClient
        All ranks of the group, by index.
    own_rank : int
        Rank of the coordinator.
    holder : int
        Rank at which the group is held; on another machine.
    grant : callable
        Asks the holder's agent whether the coordinator may arm its own rank for a
        version and a step.
    """

    def __init__(
        self,
        ranks: Sequence[RankClient],
        own_rank: int,
        holder: int,
        observer: GroupObserver,
        grant: Callable[[int, int], Awaitable[bool]],
    ) -> None:
        self._ranks = ranks
        self._own_rank = own_rank
        self._holder = holder
        self._grant = grant
        self._observer = observer

    async def run(
        self,
        view: GroupView,
        placement: Placement,
        version: int,
        copy_s: float,
        is_outdated: Callable[[], bool] = lambda: False,
    ) -> Result:
        """Switch the group to a placement.

        Parameters
        ----------
        copy_s : float
            Expected seconds until all ranks have copied what they need.
        is_outdated : callable
            Tells whether the placement is no longer wanted.
        """
        epoch = view.epoch
        preparing = asyncio.ensure_future(
            self._prepare(epoch, version, placement, copy_s)
        )
        while not preparing.done():
            await asyncio.wait([preparing], timeout=OUTDATED_POLL_S)
            if not preparing.done() and is_outdated():
                preparing.cancel()
                return Result.OUTDATED
        if not preparing.result():
            return Result.NOT_PREPARED
        step = await self._hold(epoch, view.last_step)
        if step is None:
            return Result.NOT_HELD
        # From here on the group may only be released once all ranks agree. Whoever is
        # interrupted leaves it held, and another process settles it.
        others = self._all_but(self._own_rank)
        armed = await self._arm(others, epoch, version, step)
        if armed:
            if not await self._grant(version, step):
                # Its agent has undone this switch, or will if it is not released.
                return Result.ABANDONED
            armed = await self._arm([self._own_rank], epoch, version, step)
        if not armed:
            fence = next_version([version], self._own_rank)
            await self._undo(others, epoch, version, fence, view.placement)
        await self._until_answered(self._holder, "release", epoch, step)
        return Result.SWITCHED if armed else Result.UNDONE

    async def _prepare(
        self, epoch: int, version: int, placement: Placement, copy_s: float
    ) -> bool:
        timeout_s = copy_s * PREPARE_PATIENCE + PREPARE_SLACK_S
        try:
            async with asyncio.timeout(timeout_s):
                waits = [
                    self._prepare_one(rank, epoch, version, placement)
                    for rank in range(len(self._ranks))
                ]
                return all(await asyncio.gather(*waits))
        except TimeoutError:
            return False

    async def _prepare_one(
        self, rank: int, epoch: int, version: int, placement: Placement
    ) -> bool:
        answer = await self._ranks[rank].prepare(epoch, version, placement)
        while answer is not Answer.DONE:
            if answer is Answer.REFUSED and not self._has(rank, epoch, version):
                return False
            await asyncio.sleep(PREPARED_POLL_S)
            report = self._observer.report(rank)
            if report is None or answer is Answer.UNKNOWN:
                await asyncio.sleep(RETRY_S)
                answer = await self._ranks[rank].prepare(epoch, version, placement)
            elif report.epoch != epoch:
                return False
            elif report.prepared == version:
                return True
        return True

    def _has(self, rank: int, epoch: int, version: int) -> bool:
        report = self._observer.report(rank)
        return (
            report is not None and report.epoch == epoch and report.prepared == version
        )

    async def _hold(self, epoch: int, last_step: int) -> int | None:
        """Hold the next pass that no other switch has held; give its step."""
        own = self._ranks[self._own_rank]
        report = await own.report()
        step = max(report.step, last_step) + 1
        for _ in range(MAX_HOLD_TRIES):
            if report.epoch != epoch or report.held is not None or report.armed:
                return None
            answer = await self._until_answered(self._holder, "hold", epoch, step)
            if answer is not Answer.REFUSED:
                return step
            report = await own.report()
            step = max(report.step, step) + 1
        return None

    def _all_but(self, excluded: int) -> list[int]:
        return [rank for rank in range(len(self._ranks)) if rank != excluded]

    async def _arm(
        self, ranks: Sequence[int], epoch: int, version: int, step: int
    ) -> bool:
        """Arm some ranks; tell whether none refused."""
        answers = await asyncio.gather(
            *(self._until_answered(rank, "arm", epoch, version, step) for rank in ranks)
        )
        return all(answer is not Answer.REFUSED for answer in answers)

    async def _undo(
        self,
        ranks: Sequence[int],
        epoch: int,
        version: int,
        fence: int,
        placement: Placement,
    ) -> None:
        """Take back arms, and fence off those that may yet be carried out."""
        await asyncio.gather(
            *(self._undo_one(rank, epoch, version, fence, placement) for rank in ranks)
        )

    async def _undo_one(
        self, rank: int, epoch: int, version: int, fence: int, placement: Placement
    ) -> None:
        while True:
            await self._until_answered(rank, "disarm", epoch, version)
            if await self._fence(rank, epoch, version, fence, placement):
                return
            await asyncio.sleep(RETRY_S)

    async def _fence(
        self, rank: int, epoch: int, version: int, fence: int, placement: Placement
    ) -> bool:
        """Make late arms of a version fail at a rank; False if it is armed."""
        answer = await self._until_answered(rank, "prepare", epoch, fence, placement)
        if answer is not Answer.REFUSED:
            return True
        report = await self._ranks[rank].report()
        if report.epoch != epoch:
            raise EpochChangedError(f"epoch {report.epoch} instead of {epoch}")
        # A rank that has prepared a newer version cannot be armed for this one.
        return (report.prepared or 0) > version

    async def _until_answered(self, rank: int, order: str, epoch: int, *args) -> Answer:
        """Give an order until it is answered; all of them may be repeated."""
        give = getattr(self._ranks[rank], order)
        while True:
            answer = await give(epoch, *args)
            if answer is not Answer.UNKNOWN:
                return answer
            report = self._observer.report(rank)
            if report is not None and report.epoch > epoch:
                raise EpochChangedError(f"epoch {report.epoch} instead of {epoch}")
            await asyncio.sleep(RETRY_S)

    async def settle(
        self,
        epoch: int,
        reports: Mapping[int, RankReport],
        holders: Sequence[int],
        placement: Placement,
        granted: bool,
    ) -> Settlement:
        """Finish or undo a switch that its coordinator has left.

        Parameters
        ----------
        reports : mapping of int to RankReport
            Reports of the ranks that can be asked.
        holders : sequence of int
            Ranks that hold the group for a coordinator that is gone.
        placement : list
            Map in use.
        granted : bool
            Whether the agent of this rank, if it is the holder, has let the
            coordinator arm its own rank; True if it cannot know.
        """
        holder = holders[0]
        step = reports[holder].held
        version = switch_version(reports.values())
        coordinator = coordinator_of(version)
        fence = next_version([version], self._own_rank)
        others = self._all_but(coordinator)
        if coordinator in reports:
            undone = await self._fence(coordinator, epoch, version, fence, placement)
        elif not granted:
            undone = True
        else:
            return Settlement.IMPOSSIBLE
        if undone:
            await self._undo(others, epoch, version, fence, placement)
        elif not await self._arm(others, epoch, version, step):
            return Settlement.IMPOSSIBLE
        for rank in holders:
            held = reports[rank].held
            await self._until_answered(rank, "release", epoch, held)
        return Settlement.UNDONE if undone else Settlement.FINISHED
