"""Switch of a group to a new expert map, and settlement of interrupted switches.

A switch resembles a two-phase commit whose state is kept by the engines. The agent
that runs it is the coordinator. It sends its orders to the engines of the ranks:

1. *prepare* to all ranks: each copies the experts that the new version needs.
2. *hold* to one rank, the holder, which is on another instance: the group does not
   begin the given pass until that rank is released.
3. *arm* to all ranks but the coordinator's own: each changes to the prepared version
   when the given pass begins.
4. A grant request to the holder's agent, which permits the next order if the holder
   still holds that pass and is armed for that version.
5. *arm* to the coordinator's own rank.
6. *release* to the holder: the pass begins.

Invariant: no pass begins while the ranks would use different maps. It holds because
the group is held before the first rank is armed, and is released only after all ranks
are armed, or when none is armed and all late arm orders are fenced off.

If the coordinator stops between hold and release, the agent that leads the group by
then settles the switch: it finishes or undoes it, and releases the holder. Settlement
needs neither the store nor the former coordinator, for these reasons:

- The coordinator arms its own rank last, and only with a grant of the holder's agent.
  If the holder's agent has granted nothing, the coordinator's rank is not armed. So the
  holder's agent can undo the switch while the coordinator's instance is frozen and the
  coordinator's rank unreachable. An agent that does not know what was granted waits for
  the coordinator's rank; see `grants`.
- An order without an answer may still be carried out seconds later. A late arm is
  fenced off by preparing a newer version at that rank: a rank has a single prepared
  version, it can be armed for no other one, and it refuses to prepare while it is
  armed. So the fence succeeds only at a rank that is not armed. If it succeeds at the
  coordinator's rank, the switch is undone; if not, that rank is armed, and the switch
  is finished.
- A version is armed for a single pass, and only after all ranks have prepared it. A
  rank that is armed prepares nothing. So while one rank is armed for another pass than
  the one that is held, no rank is or can become armed for the held pass: that hold is
  obsolete. It belongs to a switch that has ended, and is carried out late.
- A version is used by one coordinator only, and contains that coordinator's rank. It
  is drawn at random, since an agent that was started again does not know all versions
  of its predecessor: orders to prepare them may still be carried out.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from slatehoist.maps.placement import Placement
from slatehoist.maps.rank import (
    Answer,
    Armed,
    RankClient,
    RankReport,
    RankUnreachableError,
)

log = logging.getLogger(__name__)

#: A version is a counter times this stride, plus the rank of the coordinator. Groups
#: have fewer ranks than this.
VERSION_STRIDE = 4096
#: Number of counters that a new version is drawn from. With one switch a second,
#: versions stay exact in JSON (below 2**53) for two years.
VERSION_SPREAD = 65536
#: Seconds between retries of an order that got no answer.
RETRY_INTERVAL_S = 0.01
#: Passes that one switch tries to hold before it fails with `Result.NOT_HELD`. A hold
#: is refused if its pass has already begun.
MAX_HOLD_ATTEMPTS = 4
#: Seconds between checks whether a rank has prepared.
PREPARED_POLL_S = 0.02
#: Seconds between checks whether the placement is outdated.
OUTDATED_POLL_S = 0.1
#: Timeout of the preparation, as a multiple of the expected copy time.
PREPARE_TIMEOUT_FACTOR = 2.0
#: Seconds added to the timeout of the preparation, since orders may be carried out
#: late.
PREPARE_TIMEOUT_MARGIN_S = 1.0


def next_version(
    known: Sequence[int], coordinator: int, rng: random.Random | None = None
) -> int:
    """Return a version above all known ones that no other coordinator uses.

    Parameters
    ----------
    rng : Random or None
        Draws how far above. An earlier process of the coordinator's agent may have
        given the next version to another map, of which no report tells yet. If None,
        the next version is returned, for maps that do not differ between processes.
    """
    counter = max(known, default=0) // VERSION_STRIDE + 1
    if rng is not None:
        counter += rng.randrange(VERSION_SPREAD)
    return counter * VERSION_STRIDE + coordinator


def coordinator_of(version: int) -> int:
    """Return the rank whose agent created a version."""
    return version % VERSION_STRIDE


def may_grant(report: RankReport, version: int, step: int) -> bool:
    """Return True if the holder's agent may let a coordinator arm its own rank.

    This requires that the holder still holds the pass and is armed for the version:
    then the switch has not been undone.

    Parameters
    ----------
    report : RankReport
        Report of the holder, requested after the grant request arrived.
    """
    return report.held == step and report.armed == (version, step)


def switch_version(reports: Iterable[RankReport]) -> int:
    """Return the version of the switch in progress.

    This is the newest armed version, or the newest prepared one if none is armed.
    """
    reports = list(reports)
    armed = [report.armed.version for report in reports if report.armed]
    return max(armed or [report.prepared or 0 for report in reports])


def held_version(reports: Mapping[int, RankReport], step: int) -> int:
    """Return the version of the switch for which a pass is held.

    This is the newest version that a rank is armed for at that pass. If there is none,
    no rank is armed yet, and it is the newest version that a rank has prepared.
    """
    armed = [report.armed for report in reports.values() if report.armed]
    versions = [version for version, armed_step in armed if armed_step == step]
    return max(versions or [report.prepared or 0 for report in reports.values()])


class EpochChangedError(Exception):
    """Raised if the group restarted: its new epoch refuses orders of the old one."""


class Result(StrEnum):
    """Outcome of a switch.

    `NOT_PREPARED`, `OUTDATED` and `NOT_HELD` mean that it ended before the group was
    held; `UNDONE`, that a rank refused to be armed; `ABANDONED`, that the coordinator
    got no grant, or met another switch at the same pass, and left the group held for
    settlement.
    """

    SWITCHED = "switched"
    NOT_PREPARED = "not_prepared"
    OUTDATED = "outdated"
    NOT_HELD = "not_held"
    UNDONE = "undone"
    ABANDONED = "abandoned"


class Settlement(StrEnum):
    """Outcome of the settlement of an interrupted switch.

    With `OBSOLETE`, the group was held by a late order of a switch that has ended. With
    `IMPOSSIBLE`, the group stays held, and the next cycle of the leading agent's
    coordinator tries again.
    """

    FINISHED = "finished"
    UNDONE = "undone"
    OBSOLETE = "obsolete"
    IMPOSSIBLE = "impossible"


class GroupView(NamedTuple):
    """Snapshot of a group before a switch.

    Attributes
    ----------
    placement : list
        Map in use, by set and rank.
    reports : list of RankReport
        Newest report of each rank.
    last_switch_step : int
        Newest pass at which a rank was seen held or armed. The next switch holds a
        later pass, so that late orders of an earlier switch cannot affect it, even if
        the group was idle in between.
    """

    epoch: int
    placement: Placement
    reports: list[RankReport]
    last_switch_step: int = 0


class GroupObserver(Protocol):
    """Source of the newest reports of a group's ranks."""

    def report(self, rank: int) -> RankReport | None:
        """Return the newest report of a rank, or None if it is too old."""


class Switch:
    """Run one switch, or settle an interrupted one.

    Parameters
    ----------
    clients : sequence of RankClient
        Client of each rank of the group, by rank.
    own_rank : int
        Rank of the agent that uses this object.
    holder : int
        Rank at which the group is held; on another instance.
    request_grant : callable
        Asks the holder's agent whether the coordinator may arm its own rank for a
        version and a step.
    passes_ahead : int
        Number of the pass that is held, counted from the current one. If the ranks are
        armed before that pass is due, the group does not stand still.
    """

    def __init__(
        self,
        clients: Sequence[RankClient],
        own_rank: int,
        holder: int,
        observer: GroupObserver,
        request_grant: Callable[[int, int], Awaitable[bool]],
        clock: Callable[[], float],
        passes_ahead: int = 1,
    ) -> None:
        self._clock = clock
        self._passes_ahead = passes_ahead
        #: Seconds from the answer to the hold until all ranks were armed; None before.
        self.arming_s: float | None = None
        self._clients = clients
        self._own_rank = own_rank
        self._holder = holder
        self._request_grant = request_grant
        self._observer = observer

    async def run(
        self,
        view: GroupView,
        placement: Placement,
        version: int,
        copy_s: float,
        is_outdated: Callable[[], bool] = lambda: False,
    ) -> Result:
        """Switch the group to a placement; see the steps at the head of the module.

        Parameters
        ----------
        copy_s : float
            Expected seconds until all ranks have copied the experts they need.
        is_outdated : callable
            Returns True if the placement no longer fits the demand. It is called only
            during preparation; once the group is held, the switch is not cancelled.
        """
        epoch = view.epoch
        preparing = asyncio.ensure_future(
            self._prepare_ranks(epoch, version, placement, copy_s)
        )
        while not preparing.done():
            await asyncio.wait([preparing], timeout=OUTDATED_POLL_S)
            if not preparing.done() and is_outdated():
                preparing.cancel()
                return Result.OUTDATED
        if not preparing.result():
            return Result.NOT_PREPARED
        step = await self._hold_next_pass(epoch, view.last_switch_step)
        if step is None:
            return Result.NOT_HELD
        # From here on the group may be released only when all ranks are armed, or when
        # none is armed and late arm orders are fenced off. If this coordinator is
        # interrupted before that, the group stays held until the leading agent settles
        # the switch.
        held_at = self._clock()
        others = self._ranks_except(self._own_rank)
        armed = await self._arm_ranks(others, epoch, version, step)
        if armed:
            if not await self._request_grant(version, step):
                # The holder's agent refused, as it does during and after a settlement,
                # or its heartbeats stopped. This coordinator's rank is not armed, and
                # the leading agent settles the switch if the group is still held.
                return Result.ABANDONED
            armed = await self._arm_ranks([self._own_rank], epoch, version, step)
        self.arming_s = self._clock() - held_at
        if not armed:
            everyone = range(len(self._clients))
            if not await self._undo_ranks(
                everyone, epoch, version, step, view.placement
            ):
                return Result.ABANDONED
        await self._order_until_answered(self._holder, "release", epoch, step)
        return Result.SWITCHED if armed else Result.UNDONE

    async def _prepare_ranks(
        self, epoch: int, version: int, placement: Placement, copy_s: float
    ) -> bool:
        timeout_s = copy_s * PREPARE_TIMEOUT_FACTOR + PREPARE_TIMEOUT_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s):
                preparations = [
                    self._prepare_rank(rank, epoch, version, placement)
                    for rank in range(len(self._clients))
                ]
                return all(await asyncio.gather(*preparations))
        except TimeoutError:
            return False

    async def _prepare_rank(
        self, rank: int, epoch: int, version: int, placement: Placement
    ) -> bool:
        """Prepare a version at a rank; return False if that cannot succeed."""
        answer = await self._clients[rank].prepare(epoch, version, placement)
        may_copy = False
        while answer is not Answer.DONE:
            may_copy |= answer is not Answer.REFUSED
            # A rank that copies the experts for an order without an answer refuses the
            # same order until it has them.
            if not may_copy and not self._has_prepared(rank, epoch, version):
                return False
            await asyncio.sleep(PREPARED_POLL_S)
            report = self._observer.report(rank)
            if report is None or answer is Answer.UNKNOWN:
                await asyncio.sleep(RETRY_INTERVAL_S)
                answer = await self._clients[rank].prepare(epoch, version, placement)
            elif report.epoch != epoch:
                return False
            elif report.prepared == version:
                return True
        return True

    def _has_prepared(self, rank: int, epoch: int, version: int) -> bool:
        report = self._observer.report(rank)
        return (
            report is not None and report.epoch == epoch and report.prepared == version
        )

    async def _hold_next_pass(self, epoch: int, last_switch_step: int) -> int | None:
        """Hold a pass after `last_switch_step` that has not begun.

        It is the next one, or a later one that `passes_ahead` states.

        Return its number, or None if another switch is in progress, the epoch has
        changed, or `MAX_HOLD_ATTEMPTS` passes were refused.
        """
        own_client = self._clients[self._own_rank]
        report = await own_client.report()
        step = max(report.step + self._passes_ahead, last_switch_step + 1)
        for attempt in range(1, MAX_HOLD_ATTEMPTS + 1):
            if report.epoch != epoch or report.held is not None or report.armed:
                return None
            answer = await self._order_until_answered(self._holder, "hold", epoch, step)
            if answer is not Answer.REFUSED:
                return step
            report = await own_client.report()
            # Ranks that answer late have begun the pass before the order arrives.
            passes_ahead = max(self._passes_ahead, 2**attempt)
            step = max(report.step + passes_ahead, step + 1)
        return None

    def _ranks_except(self, excluded: int) -> list[int]:
        return [rank for rank in range(len(self._clients)) if rank != excluded]

    async def _arm_ranks(
        self, ranks: Sequence[int], epoch: int, version: int, step: int
    ) -> bool:
        """Arm the given ranks; return True if none of them refused."""
        answers = await asyncio.gather(
            *(
                self._order_until_answered(rank, "arm", epoch, version, step)
                for rank in ranks
            )
        )
        return all(answer is not Answer.REFUSED for answer in answers)

    async def _undo_ranks(
        self,
        ranks: Sequence[int],
        epoch: int,
        version: int,
        step: int,
        placement: Placement,
    ) -> bool:
        """Disarm ranks, and fence off arm orders that may still be carried out.

        Return False if one of them is armed for another version at the same pass.
        """
        undone = await asyncio.gather(
            *(self._undo_rank(rank, epoch, version, step, placement) for rank in ranks)
        )
        return all(undone)

    async def _undo_rank(
        self, rank: int, epoch: int, version: int, step: int, placement: Placement
    ) -> bool:
        while True:
            await self._order_until_answered(rank, "disarm", epoch, version)
            armed = await self._fence_rank(rank, epoch, version, placement)
            if armed is None:
                return True
            if armed.version != version:
                return armed.step != step
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _fence_rank(
        self, rank: int, epoch: int, version: int, placement: Placement
    ) -> Armed | None:
        """Make a rank refuse late arms, by preparing a version above all that it has.

        Return None, or what the rank is armed for, since then it refuses to prepare.
        """
        fence = next_version([version], self._own_rank)
        while True:
            answer = await self._order_until_answered(
                rank, "prepare", epoch, fence, placement
            )
            if answer is not Answer.REFUSED:
                return None
            report = await self._clients[rank].report()
            if report.epoch != epoch:
                raise EpochChangedError(
                    f"rank {rank} is in epoch {report.epoch} instead of {epoch}"
                )
            if report.armed:
                return report.armed
            # The rank has, or is copying, a newer version than the fence. It reports
            # that version only when the copy is complete.
            spread = VERSION_SPREAD * VERSION_STRIDE
            newest = max(fence + spread, report.prepared or 0, report.map_version)
            fence = next_version([newest], self._own_rank)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _order_until_answered(
        self, rank: int, order: str, epoch: int, *args
    ) -> Answer:
        """Repeat an order until it is answered; all orders are idempotent."""
        send = getattr(self._clients[rank], order)
        while True:
            answer = await send(epoch, *args)
            if answer is not Answer.UNKNOWN:
                return answer
            for observed in {rank, self._own_rank}:
                report = self._observer.report(observed)
                if report is not None and report.epoch > epoch:
                    raise EpochChangedError(
                        f"rank {observed} is in epoch {report.epoch} instead of {epoch}"
                    )
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def settle(
        self,
        epoch: int,
        reports: Mapping[int, RankReport],
        holders: Sequence[int],
        placement: Placement | None,
        granted: bool,
    ) -> Settlement:
        """Finish or undo an interrupted switch, and release the group.

        Below, the coordinator is the one that began the interrupted switch. The switch
        is undone if the coordinator's rank can be fenced, or if that rank is
        unreachable but the coordinator has no grant: in both cases the rank is not
        armed, and cannot become so. The switch is finished if the coordinator's rank is
        armed, and undone at all ranks if another one refuses to be armed. An obsolete
        hold is released. The group stays held (`Settlement.IMPOSSIBLE`) if the state of
        the coordinator's rank is unknown, or if a rank is armed for another version at
        the same pass, which the next cycle settles.

        Parameters
        ----------
        reports : mapping of int to RankReport
            Reports of the ranks that are reachable. They show where to look; what is
            done follows from answers to orders and from newer reports.
        holders : sequence of int
            Ranks that hold the same pass for an interrupted switch.
        placement : list or None
            Map in use, which fences need; None if it is unknown.
        granted : bool
            False if the own rank is the only holder, and its agent has certainly not
            allowed the coordinator to arm the coordinator's rank. True if it may have,
            or if another rank is a holder, whose agent may have.
        """
        step = reports[holders[0]].held
        if await self._is_obsolete(epoch, step, reports):
            settlement = Settlement.OBSOLETE
        elif placement is None:
            return Settlement.IMPOSSIBLE
        else:
            version = held_version(reports, step)
            settlement = await self._end_switch(
                epoch, version, step, reports, placement, granted
            )
        if settlement is not Settlement.IMPOSSIBLE:
            for rank in holders:
                await self._order_until_answered(rank, "release", epoch, step)
        return settlement

    async def _is_obsolete(
        self, epoch: int, step: int, reports: Mapping[int, RankReport]
    ) -> bool:
        """Return True if a rank is armed for another pass than the one that is held.

        This is checked in a new report: in an older one, the rank may have been armed
        for a pass that began before the group was held.
        """
        for rank, report in reports.items():
            if report.armed is None or report.armed.step == step:
                continue
            try:
                newest = await self._clients[rank].report()
            except RankUnreachableError:
                continue
            if newest.epoch == epoch and newest.armed and newest.armed.step != step:
                return True
        return False

    async def _end_switch(
        self,
        epoch: int,
        version: int,
        step: int,
        reports: Mapping[int, RankReport],
        placement: Placement,
        granted: bool,
    ) -> Settlement:
        """Undo the switch to a version, or finish it; the group stays held."""
        coordinator = coordinator_of(version)
        others = self._ranks_except(coordinator)
        armed = None
        if coordinator in reports:
            armed = await self._fence_rank(coordinator, epoch, version, placement)
        elif granted or not await self._is_held_for(version, step):
            return Settlement.IMPOSSIBLE
        if armed is not None and armed.step != step:
            return Settlement.OBSOLETE
        if armed == (version, step):
            if await self._arm_ranks(others, epoch, version, step):
                return Settlement.FINISHED
            # Its coordinator can't finish it either, so it has not been released.
            others = range(len(self._clients))
            armed = None
        undone = await self._undo_ranks(others, epoch, version, step, placement)
        if armed is not None or not undone:
            return Settlement.IMPOSSIBLE
        return Settlement.UNDONE

    async def _is_held_for(self, version: int, step: int) -> bool:
        """Return True if the own rank holds a pass, and for no other version."""
        report = await self._clients[self._own_rank].report()
        return report.held == step and report.armed in (None, (version, step))
