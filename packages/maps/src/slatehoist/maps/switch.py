"""Switch of a group to a new expert map, and the undoing of unfinished ones.

The engines keep all state of a switch: what is prepared, armed and held. The group is
held before the first rank is armed and released after the last one is, so no pass can
begin while ranks differ. Nothing depends on the store, or on who coordinates:

- Versions are unique to their coordinator, so two of them never arm the same one. A
  rank has one prepared version, and none can be prepared while one is armed.
- An order without an answer may be carried out seconds later. A late arm is fenced off
  by preparing a newer version at that rank; a late release only reaches the rank that
  its sender held.
- Who undoes another's switch first holds a further rank, so that the other one, should
  it come back, cannot release the group in the middle.
"""

import asyncio
import logging
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from slatehoist.maps.placement import Placement
from slatehoist.maps.rank import Answer, RankClient, RankReport

log = logging.getLogger(__name__)

#: Versions are a counter times this, plus the rank of the coordinator. Groups have
#: fewer ranks than this.
VERSION_STRIDE = 128
#: Seconds between repeats of an order that got no answer.
RETRY_S = 0.05
#: Passes that a hold may be too late for before the switch is put off.
MAX_HOLD_TRIES = 4
#: Seconds for which a switch waits for arms before it is undone. Answers take some
#: milliseconds; the group stands still meanwhile.
ARM_TIMEOUT_S = 0.3
#: Seconds between looks at whether all ranks have prepared.
PREPARED_POLL_S = 0.03
#: Times the expected copy time after which preparing is given up.
PREPARE_PATIENCE = 2.0
#: Seconds of patience beyond that: orders may be carried out late.
PREPARE_SLACK_S = 1.0


def next_version(known: Sequence[int], coordinator: int) -> int:
    """Give a version above all known ones that no other coordinator uses."""
    return (max(known, default=0) // VERSION_STRIDE + 1) * VERSION_STRIDE + coordinator


class EpochChangedError(Exception):
    """Report that the group was formed anew; all orders have become void."""


class Result(StrEnum):
    """How a switch ended."""

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    UNDONE = "undone"


class GroupView(NamedTuple):
    """What is known of a group.

    Attributes
    ----------
    placement : list
        Map in use, by set and rank.
    reports : list of RankReport
        Newest report of each rank.
    """

    epoch: int
    placement: Placement
    reports: list[RankReport]


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
        Rank of the coordinator; the group is held there, since answers from the own
        machine are the quickest.
    """

    def __init__(
        self,
        ranks: Sequence[RankClient],
        own_rank: int,
        observer: GroupObserver,
    ) -> None:
        self._ranks = ranks
        self._own_rank = own_rank
        self._observer = observer

    async def run(
        self, view: GroupView, placement: Placement, version: int, copy_s: float
    ) -> Result:
        """Switch the group to a placement.

        Parameters
        ----------
        copy_s : float
            Expected seconds until all ranks have copied what they need.
        """
        epoch = view.epoch
        if not await self._prepare(epoch, version, placement, copy_s):
            return Result.NOT_PREPARED
        step = await self._hold(epoch)
        if step is None:
            return Result.NOT_HELD
        # From here on the group may only be released once all ranks agree. Whoever is
        # interrupted leaves it held, and another process settles it.
        armed = await self._arm_all(epoch, version, step)
        if not armed:
            fence = next_version([version], self._own_rank)
            await self._disarm_all(epoch, {version}, fence, view.placement)
        await self._until_answered(self._own_rank, "release", epoch, step)
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

    async def _hold(self, epoch: int) -> int | None:
        """Hold the next pass at the own rank; give its step."""
        own = self._ranks[self._own_rank]
        report = await own.report()
        step = report.step + 1
        for _ in range(MAX_HOLD_TRIES):
            if report.epoch != epoch or report.held is not None or report.armed:
                return None
            answer = await self._until_answered(self._own_rank, "hold", epoch, step)
            if answer is not Answer.REFUSED:
                return step
            report = await own.report()
            step = report.step + 1
        return None

    async def _arm_all(self, epoch: int, version: int, step: int) -> bool:
        arms = [rank.arm(epoch, version, step) for rank in self._ranks]
        try:
            async with asyncio.timeout(ARM_TIMEOUT_S):
                answers = await asyncio.gather(*arms)
        except TimeoutError:
            return False
        return all(answer in (Answer.DONE, Answer.BEGUN) for answer in answers)

    async def _disarm_all(
        self, epoch: int, versions: set[int], fence: int, placement: Placement
    ) -> None:
        """Take back all arms, and fence off those that may yet be carried out."""
        await asyncio.gather(
            *(
                self._disarm(rank, epoch, versions, fence, placement)
                for rank in range(len(self._ranks))
            )
        )

    async def _disarm(
        self,
        rank: int,
        epoch: int,
        versions: set[int],
        fence: int,
        placement: Placement,
    ) -> None:
        while True:
            for version in versions:
                answer = await self._until_answered(rank, "disarm", epoch, version)
                if answer is Answer.REFUSED:
                    await self._require_epoch(rank, epoch)
            answer = await self._until_answered(
                rank, "prepare", epoch, fence, placement
            )
            if answer is not Answer.REFUSED or self._has(rank, epoch, fence):
                return
            # A late arm has come in between, or a newer version was prepared.
            await self._require_epoch(rank, epoch)
            report = await self._ranks[rank].report()
            if report.armed is None and (report.prepared or 0) >= fence:
                return
            await asyncio.sleep(RETRY_S)

    async def _require_epoch(self, rank: int, epoch: int) -> None:
        report = await self._ranks[rank].report()
        if report.epoch != epoch:
            raise EpochChangedError(f"epoch {report.epoch} instead of {epoch}")

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

    async def settle(self, view: GroupView, holders: Sequence[int]) -> str:
        """Finish or undo a switch that its coordinator has left.

        Parameters
        ----------
        holders : sequence of int
            Ranks that have held the group for long; others may be held by somebody
            who settles the same switch, and are left alone.
        """
        epoch = view.epoch
        step = min(view.reports[rank].held for rank in holders)
        versions = {r.armed.version for r in view.reports if r.armed}
        armed = [r.armed is not None and r.armed.step == step for r in view.reports]
        if all(armed) and len(versions) == 1:
            await self._release(epoch, view, holders)
            return "finished"
        guard = next(
            rank
            for rank in [self._own_rank, *range(len(self._ranks))]
            if view.reports[rank].held is None
        )
        held = await self._until_answered(guard, "hold", epoch, step)
        if held is Answer.REFUSED:
            return "moved_on"
        known = [r.prepared or 0 for r in view.reports]
        known += [r.map_version for r in view.reports]
        fence = next_version([*known, *versions], self._own_rank)
        await self._disarm_all(epoch, versions, fence, view.placement)
        await self._release(epoch, view, holders)
        await self._until_answered(guard, "release", epoch, step)
        return "undone"

    async def _release(
        self, epoch: int, view: GroupView, holders: Sequence[int]
    ) -> None:
        for rank in holders:
            step = view.reports[rank].held
            await self._until_answered(rank, "release", epoch, step)
