"""Coordinator of a group: settles what others left, plans and switches."""

import asyncio
import functools
import logging
from collections.abc import Callable
from typing import NamedTuple

from slatehoist.maps.demand import DemandWindow
from slatehoist.maps.grants import Grants
from slatehoist.maps.peers import Address, Group, PeerState, agent_address, make_state
from slatehoist.maps.placement import (
    Demand,
    Placement,
    copies_by_rank,
    is_valid,
    skew,
)
from slatehoist.maps.planner import PlanLimits, plan
from slatehoist.maps.rank import GroupSpec, RankClient, RankUnreachableError
from slatehoist.maps.switch import (
    EpochChangedError,
    GroupView,
    Result,
    Switch,
    coordinator_of,
    next_version,
    switch_version,
)
from slatehoist.observe import AgentMetrics

log = logging.getLogger(__name__)

#: Skew beyond the one that a plan expects from which on it is given up before it is in
#: use. Passes of the same demand differ by a few tenths.
OUTDATED_SKEW = 0.8
#: Seconds for which a hold may stand before its coordinator is taken as gone. A switch
#: holds the group for some milliseconds, an undone one for half a second.
HOLD_PATIENCE_S = 0.7
#: Seconds without a pass, though there is work, after which ranks whose agents are
#: silent are asked directly whether they hold the group. Passes take up to 0.3 s when
#: a group is overloaded.
STUCK_S = 0.4
#: Seconds between such questions; they are priced, and held back group and answer.
ASK_S = 0.3
#: Polls for which a coordinator waits for the new map to show.
AWAIT_POLLS = 12
#: Seconds between these polls.
AWAIT_POLL_S = 0.04


class PlanSettings(NamedTuple):
    """When a plan is worth its price.

    Attributes
    ----------
    copy_time_s : float
        Seconds for which a rank may copy for one plan; one copy is made in any case.
        Demand stays the same for some seconds, and two small plans relieve the most
        loaded rank sooner than a large one (`make bench-experts`).
    min_gain : float
        Fall of a set's norm, in mean rank loads, that a copy must bring.
    min_skew_gain : float
        Fall of the skew that a switch must bring.
    """

    copy_time_s: float = 0.15
    min_gain: float = 0.03
    min_skew_gain: float = 0.15

    def copies_per_rank(self, copy_s: float) -> int:
        """Give the copies that one rank may make for one plan."""
        return max(1, round(self.copy_time_s / copy_s))


def is_outdated(
    planned: Placement, demand: Demand, pace: list[float], expected: float
) -> bool:
    """Whether the demand that a placement was planned for is over.

    Parameters
    ----------
    demand : sequence
        Newest demand.
    expected : float
        Skew of the placement under the demand that it was planned for. It may be high,
        as with a slow rank that takes several plans to empty.
    """
    return skew(planned, demand, pace) > expected + OUTDATED_SKEW


class Coordinator:
    """Coordinate the group while this agent leads it.

    Parameters
    ----------
    port : int
        Port of all agents.
    connect : callable
        Gives the client of the rank at an address.
    """

    def __init__(
        self,
        cfg: PlanSettings,
        spec: GroupSpec,
        group: Group,
        demand: DemandWindow,
        grants: Grants,
        port: int,
        connect: Callable[[str], RankClient],
        metrics: AgentMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._spec = spec
        self._group = group
        self._demand = demand
        self._grants = grants
        self._port = port
        self._connect = connect
        self._metrics = metrics
        self._clock = clock
        self._own: PeerState | None = None
        self._stuck_since: tuple[int, float] | None = None
        self._asked_at = float("-inf")
        self._last_version = 0

    async def step(self, own: PeerState) -> None:
        """Settle what is unfinished; else plan, and switch if it pays.

        Parameters
        ----------
        own : PeerState
            State of the rank on this machine, which leads.
        """
        self._own = own
        now = self._clock()
        try:
            if not await self._settle(now):
                await self._plan_and_switch(now)
        except (EpochChangedError, RankUnreachableError) as exc:
            log.warning("switch_failed", extra={"why": str(exc)})

    async def _settle(self, now: float) -> bool:
        """Finish or undo a switch that was left; return whether there was one."""
        await self._ask_silent_ranks(now)
        now = self._clock()
        holders = [
            state.rank
            for state in self._group.fresh(now)
            if state.held is not None and self._is_orphan(state.rank, now)
        ]
        if not holders:
            return False
        reports = {state.rank: state.report() for state in self._group.fresh(now)}
        states = self._group.last_states()
        sets = len(self._own.experts)
        placement = [[list(s.experts[i]) for s in states] for i in range(sets)]
        version = switch_version(reports.values())
        self._grants.settling = True
        try:
            settlement = await self._switch().settle(
                self._own.epoch,
                reports,
                holders,
                placement,
                granted=holders != [self._own.rank]
                or self._grants.granted == (version, self._own.held),
            )
        finally:
            self._grants.settling = False
        self._metrics.settled.labels(settlement.value).inc()
        log.warning(
            "hold_settled",
            extra={
                "holders": holders,
                "settlement": settlement.value,
                "asked": sorted(reports),
            },
        )
        return True

    def _switch(self) -> Switch:
        """Give the switch of this group, held at a rank of another machine."""
        own = self._own.rank
        order = [(own + 1 + i) % self._group.size for i in range(self._group.size)]
        now = self._clock()
        holder = next((r for r in order if self._group.is_alive(r, now)), own)
        return Switch(
            self._rank_clients(),
            own,
            holder,
            self._group,
            functools.partial(self._grants.ask, self._own, holder, self._agent(holder)),
        )

    def _is_orphan(self, rank: int, now: float) -> bool:
        """Whether nobody seems to be at work on the switch that holds a rank."""
        version = switch_version(s.report() for s in self._group.fresh(now))
        if not self._group.is_alive(coordinator_of(version), now):
            return True
        return self._group.held_for_s(rank, now) > HOLD_PATIENCE_S

    async def _ask_silent_ranks(self, now: float) -> None:
        """Ask ranks whose agents are silent, while the group does not go on."""
        own = self._own
        if not (own.running or own.waiting) or not own.is_open:
            self._stuck_since = None
            return
        if self._stuck_since is None or self._stuck_since[0] != own.step:
            self._stuck_since = (own.step, now)
            return
        if now - self._stuck_since[1] < STUCK_S or now - self._asked_at < ASK_S:
            return
        self._asked_at = now
        for rank in range(self._group.size):
            address = self._group.address(rank)
            if self._group.is_alive(rank, now) or address is None:
                continue
            try:
                client = self._connect(address)
                report = await client.report()
                _, experts = await client.experts()
            except RankUnreachableError as exc:
                log.info("rank_silent", extra={"rank": rank, "why": str(exc)})
                continue
            self._group.observe(make_state(address, report, experts), self._clock())

    def _view(self, now: float) -> GroupView | None:
        """Give what is known of the group; None if ranks are missing or differ."""
        states = self._group.fresh(now)
        if not states or len(states) != self._group.size:
            return None
        epochs = {state.epoch for state in states}
        versions = {state.map_version for state in states}
        if len(epochs) != 1 or len(versions) != 1:
            return None
        sets = len(states[0].experts)
        placement = [[list(s.experts[i]) for s in states] for i in range(sets)]
        reports = [s.report() for s in states]
        last_step = self._group.last_step
        return GroupView(epochs.pop(), placement, reports, last_step)

    async def _plan_and_switch(self, now: float) -> None:
        view = self._view(now)
        if view is None:
            return
        if any(not r.is_open or r.held or r.armed for r in view.reports):
            return
        demand = self._demand.estimate()
        if demand is None or not is_valid(
            view.placement, self._spec.experts, self._spec.places
        ):
            return
        spec = self._spec
        copies = self._cfg.copies_per_rank(spec.copy_s)
        limits = PlanLimits(spec.places, spec.spare, copies, self._cfg.min_gain)
        pace = [report.pace for report in view.reports]
        planned = plan(view.placement, demand, limits, pace)
        before = skew(view.placement, demand, pace)
        after = skew(planned, demand, pace)
        self._metrics.skew.set(before)
        if before - after < self._cfg.min_skew_gain:
            return
        copies = copies_by_rank(view.placement, planned)
        known = [r.prepared or 0 for r in view.reports]
        known += [r.map_version for r in view.reports]
        # Ranks do not report versions whose copies they have not finished.
        known.append(self._last_version)
        version = self._last_version = next_version(known, self._own.rank)
        log.info(
            "switch_begun",
            extra={
                "version": version,
                "skew": round(before, 2),
                "expected": round(after, 2),
                "copies": sum(copies),
            },
        )
        self._metrics.copies.inc(sum(copies))
        copy_s = max(copies) * spec.copy_s
        result = await self._switch().run(
            view,
            planned,
            version,
            copy_s,
            functools.partial(self._is_outdated, planned, pace, after),
        )
        self._metrics.switches.labels(result.value).inc()
        log.info(
            "switch_ended",
            extra={
                "version": version,
                "result": result.value,
                "took_ms": round((self._clock() - now) * 1000),
            },
        )
        if result is Result.SWITCHED:
            await self._await_map(version)

    def _is_outdated(
        self, planned: Placement, pace: list[float], expected: float
    ) -> bool:
        demand = self._demand.estimate()
        return demand is not None and is_outdated(planned, demand, pace, expected)

    async def _await_map(self, version: int) -> None:
        """Wait until the ranks report the new map, or for as long as one pass takes."""
        for _ in range(AWAIT_POLLS):
            states = self._group.fresh(self._clock())
            if all(state.map_version == version for state in states):
                return
            await asyncio.sleep(AWAIT_POLL_S)

    def _agent(self, rank: int) -> Address:
        """Give where a rank's agent is reached."""
        return agent_address(self._group.address(rank), self._port)

    def _rank_clients(self) -> list[RankClient]:
        return [
            self._connect(self._group.address(rank)) for rank in range(self._group.size)
        ]
