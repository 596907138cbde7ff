"""Switch of a group to a new expert map, and the finishing of unfinished ones.

The engines keep all state of a switch: what is prepared, armed and held. The group is
held before the first rank is armed and released after the last one is, so no pass can
begin while ranks differ. Nothing depends on the store, or on who coordinates:

- The group is held at another machine's rank than the coordinator's, so that a
  coordinator whose machine stands still can be replaced.
- The coordinator arms its own rank first, and the others only after that was answered.
  If any other rank is armed, the coordinator's rank is too, even if it cannot be asked.
- Whoever finds a switch left behind finishes it if a rank is armed: arms may be given
  twice and by two processes. Otherwise it fences the coordinator's own rank, after
  which no other rank will be armed, and releases the group.
- An order without an answer may be carried out seconds later. A late arm is fenced off
  by preparing a newer version at that rank, since a rank has one prepared version.
- Versions are unique to their coordinator, and tell who it was.
"""

import asyncio
import logging
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from slatehoist.maps.placement import Placement
from slatehoist.maps.rank import Answer, Armed, RankClient, RankReport

log = logging.getLogger(__name__)

#: Versions are a counter times this, plus the rank of the coordinator. Groups have
#: fewer ranks than this.
VERSION_STRIDE = 128
#: Seconds between repeats of an order that got no answer.
RETRY_S = 0.05
#: Passes that a hold may be too late for before the switch is put off.
MAX_HOLD_TRIES = 4
#: Seconds between looks at whether all ranks have prepared.
PREPARED_POLL_S = 0.03
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


class EpochChangedError(Exception):
    """Report that the group was formed anew; all orders have become void."""


class Result(StrEnum):
    """How a switch ended."""

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    NOT_HELD = "not_held"
    UNDONE = "undone"


class Settlement(StrEnum):
    """What became of a switch that was left."""

    FINISHED = "finished"
    ABANDONED = "abandoned"
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
        Rank of the coordinator.
    holder : int
        Rank at which the group is held; on another machine.
    """

    def __init__(
        self,
        ranks: Sequence[RankClient],
        own_rank: int,
        holder: int,
        observer: GroupObserver,
    ) -> None:
        self._ranks = ranks
        self._own_rank = own_rank
        self._holder = holder
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
            if await self._is_past(step):
                # Somebody took this switch for left behind, and finished it.
                return Result.SWITCHED
            fence = next_version([version], self._own_rank)
            await self._disarm_all(epoch, {version}, fence, view.placement)
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

    async def _is_past(self, step: int) -> bool:
        report = await self._ranks[self._own_rank].report()
        return report.step >= step

    async def _hold(self, epoch: int) -> int | None:
        """Hold the next pass; give its step."""
        own = self._ranks[self._own_rank]
        report = await own.report()
        step = report.step + 1
        for _ in range(MAX_HOLD_TRIES):
            if report.epoch != epoch or report.held is not None or report.armed:
                return None
            answer = await self._until_answered(self._holder, "hold", epoch, step)
            if answer is not Answer.REFUSED:
                return step
            report = await own.report()
            step = report.step + 1
        return None

    async def _arm_all(self, epoch: int, version: int, step: int) -> bool:
        """Arm the own rank, then the others; tell whether none refused."""
        answer = await self._until_answered(self._own_rank, "arm", epoch, version, step)
        if answer is Answer.REFUSED:
            return False
        return await self._arm(self._others(), epoch, version, step)

    def _others(self) -> list[int]:
        return [rank for rank in range(len(self._ranks)) if rank != self._own_rank]

    async def _arm(
        self, ranks: Sequence[int], epoch: int, version: int, step: int
    ) -> bool:
        answers = await asyncio.gather(
            *(self._until_answered(rank, "arm", epoch, version, step) for rank in ranks)
        )
        return all(answer is not Answer.REFUSED for answer in answers)

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
            if await self._fence(rank, epoch, fence, placement):
                return
            await asyncio.sleep(RETRY_S)

    async def _fence(
        self, rank: int, epoch: int, fence: int, placement: Placement
    ) -> bool:
        """Make late arms of older versions fail at a rank; False if it is armed."""
        answer = await self._until_answered(rank, "prepare", epoch, fence, placement)
        if answer is not Answer.REFUSED:
            return True
        await self._require_epoch(rank, epoch)
        report = await self._ranks[rank].report()
        return report.armed is None and (report.prepared or 0) >= fence

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

    async def settle(
        self,
        epoch: int,
        reports: Mapping[int, RankReport],
        holders: Sequence[int],
        placement: Placement | None,
    ) -> Settlement:
        """Finish or undo a switch that its coordinator has left.

        Parameters
        ----------
        reports : mapping of int to RankReport
            Reports of the ranks that can be asked.
        holders : sequence of int
            Ranks that hold the group for a coordinator that is gone.
        placement : list or None
            Map in use, if it is known.
        """
        step = min(reports[rank].held for rank in holders)
        armed = {r.armed for r in reports.values() if r.armed}
        if len(armed) == 1:
            settlement = await self._finish(epoch, reports, armed.pop(), step)
        elif not armed:
            settlement = await self._abandon(epoch, reports, placement)
        else:
            settlement = await self._undo(epoch, reports, holders, placement)
        if settlement is not Settlement.IMPOSSIBLE:
            for rank in holders:
                held = reports[rank].held
                await self._until_answered(rank, "release", epoch, held)
        return settlement

    async def _finish(
        self, epoch: int, reports: Mapping[int, RankReport], armed: Armed, step: int
    ) -> Settlement:
        """Arm the ranks that are not armed yet."""
        if armed.step != step:
            return Settlement.IMPOSSIBLE
        coordinator = coordinator_of(armed.version)
        missing = [
            rank
            for rank in range(len(self._ranks))
            if rank != coordinator and (rank not in reports or not reports[rank].armed)
        ]
        if coordinator in reports and not reports[coordinator].armed:
            # It armed itself first, so this report is older than the others.
            missing.append(coordinator)
        if await self._arm(missing, epoch, armed.version, armed.step):
            return Settlement.FINISHED
        return Settlement.IMPOSSIBLE

    async def _abandon(
        self,
        epoch: int,
        reports: Mapping[int, RankReport],
        placement: Placement | None,
    ) -> Settlement:
        """Keep the coordinator of the newest version from arming anything."""
        newest = max(report.prepared or 0 for report in reports.values())
        coordinator = coordinator_of(newest)
        if coordinator not in reports or placement is None:
            return Settlement.IMPOSSIBLE
        fence = next_version([newest], self._own_rank)
        if await self._fence(coordinator, epoch, fence, placement):
            return Settlement.ABANDONED
        return Settlement.IMPOSSIBLE

    async def _undo(
        self,
        epoch: int,
        reports: Mapping[int, RankReport],
        holders: Sequence[int],
        placement: Placement | None,
    ) -> Settlement:
        """Take back arms of several coordinators.

        A further rank is held meanwhile, so that none of them, should it come back,
        can release the group in the middle.
        """
        free = [rank for rank, report in reports.items() if report.held is None]
        if placement is None or not free or len(reports) < len(self._ranks):
            return Settlement.IMPOSSIBLE
        guard = free[0]
        step = min(reports[rank].held for rank in holders)
        if await self._until_answered(guard, "hold", epoch, step) is Answer.REFUSED:
            return Settlement.IMPOSSIBLE
        versions = {r.armed.version for r in reports.values() if r.armed}
        known = [r.prepared or 0 for r in reports.values()]
        fence = next_version([*known, *versions], self._own_rank)
        await self._disarm_all(epoch, versions, fence, placement)
        await self._until_answered(guard, "release", epoch, step)
        return Settlement.UNDONE
