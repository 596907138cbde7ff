"""Coordinator of a group: plans and runs switches, and settles interrupted ones.

The agent that leads the group runs the coordinator. At each cycle it settles a switch
that was interrupted, if there is one. Otherwise it plans a placement from the estimated
demand, and switches the group if the gain is large enough.
"""

import asyncio
import functools
import logging
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from slatehoist.maps.demand import DemandWindow
from slatehoist.maps.grants import Grants
from slatehoist.maps.known_maps import KnownMaps
from slatehoist.maps.orders import GroupOrders
from slatehoist.maps.peers import Address, Group, PeerState, agent_address, make_state
from slatehoist.maps.placement import (
    Demand,
    Placement,
    copies_by_rank,
    is_valid,
    skew,
)
from slatehoist.maps.planner import PlanLimits, plan
from slatehoist.maps.rank import (
    GroupSpec,
    RankClient,
    RankReport,
    RankUnreachableError,
)
from slatehoist.maps.switch import (
    EpochChangedError,
    GroupView,
    Result,
    Settlement,
    Switch,
    coordinator_of,
    held_version,
    next_version,
    switch_version,
)
from slatehoist.observe import AgentMetrics, milliseconds

log = logging.getLogger(__name__)

#: Excess over the expected skew at which a switch is cancelled during its preparation.
#: The skew of passes under the same demand varies by a few tenths.
OUTDATED_SKEW_MARGIN = 0.8
#: Seconds after which the switch that holds a rank counts as interrupted. A switch
#: holds the group for some milliseconds, or for half a second if it is undone.
HOLD_TIMEOUT_S = 0.7
#: Seconds without a new pass, although requests run or wait, after which the ranks of
#: silent agents are probed for a hold. Passes of an overloaded group take up to 0.3 s.
STALL_TIMEOUT_S = 0.4
#: Ranks that are probed at the same time.
MAX_PROBES = 8
#: Seconds without a new pass after which ranks that do not answer at their last known
#: addresses are searched at others.
SEARCH_AFTER_S = 3.0
#: Seconds for which an address of another group is not asked again.
FOREIGN_S = 60.0
#: Seconds after which a settlement that has not ended is begun again with the newest
#: reports and addresses of the ranks. The time-out is doubled each time, up to the
#: longest one, since ranks may answer late.
SETTLE_TIMEOUT_S = 3.0
MAX_SETTLE_TIMEOUT_S = 48.0
#: Seconds between two log lines of settlements that cannot end.
SETTLE_LOG_INTERVAL_S = 10.0
#: Seconds between rounds of probes. Probes are spaced out for two reasons: each one is
#: a billed call, and the settlement is delayed while a probe waits for an answer.
PROBE_INTERVAL_S = 0.3
#: The same for the rank of a coordinator whose switch can't be settled without it.
SETTLE_PROBE_INTERVAL_S = 2.0
#: Seconds after a plan that gained too little in which none is made unless the skew has
#: risen. A plan takes a large part of the processor time of this instance.
REPLAN_INTERVAL_S = 0.5
#: Part of a pass that arming may take for the next pass to be held.
MAX_ARMING_RATIO = 0.2
#: Latest pass that is held, counted from the current one.
MAX_PASSES_AHEAD = 3
#: Seconds that arming takes for each rank, until a switch has shown how long it takes.
ARMING_PER_RANK_S = 0.0005
#: Weight of the newest switch in the usual time of arming.
ARMING_SMOOTHING = 0.5
#: Weight of the newest pass in the usual time of one, and the longest time of a pass.
PASS_SMOOTHING = 0.2
MAX_PASS_S = 0.5
#: Maximum number of checks whether all ranks report the new map after a switch.
MAX_MAP_POLLS = 12
#: Seconds between these checks.
MAP_POLL_INTERVAL_S = 0.04


class PlanSettings(NamedTuple):
    """Limits on the copies of a plan, and minimum gains of copies and switches.

    Attributes
    ----------
    copy_time_s : float
        Seconds for which a rank may copy for one plan; one copy is always allowed.
        Demand stays the same for some seconds, and two small plans relieve the most
        loaded rank sooner than a large one (`make bench-experts`).
    min_gain : float
        Reduction of a set's norm, in mean rank loads, below which no change is made.
    min_skew_gain : float
        Reduction of the skew below which the group is not switched.
    """

    copy_time_s: float = 0.15
    min_gain: float = 0.03
    min_skew_gain: float = 0.15

    def copies_per_rank(self, copy_s: float) -> int:
        """Return the number of copies that one rank may make for one plan."""
        return max(1, round(self.copy_time_s / copy_s))


def is_outdated(
    planned: Placement, demand: Demand, pace: list[float], expected_skew: float
) -> bool:
    """Return True if a placement no longer fits the demand.

    Parameters
    ----------
    demand : sequence
        Newest demand.
    expected_skew : float
        Skew of the placement under the demand that it was planned for. It may be high,
        for example if a slow rank needs several plans to be relieved of its experts.
    """
    return skew(planned, demand, pace) > expected_skew + OUTDATED_SKEW_MARGIN


def passes_ahead(arming_s: float, pass_s: float) -> int:
    """Return which pass a switch holds, counted from the current one.

    In large groups, arming all ranks takes a considerable part of a pass. The next pass
    would then often have to wait for it, which delays all streams of the group.
    """
    if arming_s <= pass_s * MAX_ARMING_RATIO:
        return 1
    if pass_s <= 0.0:
        return 2
    return min(1 + math.ceil(arming_s / pass_s), MAX_PASSES_AHEAD)


class Coordinator:
    """Coordinate the group while this agent leads it.

    Parameters
    ----------
    port : int
        Port at which all agents receive datagrams.
    connect : callable
        Returns the client of the rank at an address.
    listed_addresses : callable
        Returns the addresses of the service's servers in the platform's list.
    """

    def __init__(
        self,
        cfg: PlanSettings,
        spec: GroupSpec,
        group: Group,
        known_maps: KnownMaps,
        orders: GroupOrders,
        demand: DemandWindow,
        grants: Grants,
        port: int,
        connect: Callable[[str], RankClient],
        metrics: AgentMetrics,
        clock: Callable[[], float],
        rng: random.Random,
        listed_addresses: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        self._rng = rng
        self._listed_addresses = listed_addresses
        self._cfg = cfg
        self._spec = spec
        self._group = group
        self._known_maps = known_maps
        self._orders = orders
        self._demand = demand
        self._grants = grants
        self._port = port
        self._connect = connect
        self._metrics = metrics
        self._clock = clock
        self._own_state: PeerState | None = None
        #: Last pass that was seen while requests ran or waited, and when it was first
        #: seen.
        self._last_pass: tuple[int, float] | None = None
        self._probed_at = float("-inf")
        #: Addresses of ranks of other groups, with the time until which they are known
        #: as such.
        self._foreign: dict[str, float] = {}
        self._settle_timeout_s = SETTLE_TIMEOUT_S
        #: Last settlement that was logged, and when.
        self._settle_logged = ("", float("-inf"))
        self._last_version = 0
        #: Usual seconds from a hold until all ranks are armed; None before a switch.
        self._arming_s: float | None = None
        #: Usual seconds of a pass, 0 if it is not known, and the newest pass with the
        #: time at which it was first seen.
        self._pass_s = 0.0
        self._newest_pass: tuple[int, float] | None = None
        #: Map version, skew and time of the last plan that gained too little.
        self._last_rejected = (-1, 0.0, float("-inf"))

    async def run_cycle(self, own: PeerState) -> None:
        """Settle an interrupted switch; if there is none, plan and maybe switch.

        Parameters
        ----------
        own : PeerState
            State of the rank on this instance, whose agent leads the group.
        """
        self._own_state = own
        now = self._clock()
        self._observe_pass(own.step, now)
        try:
            if not await self._settle(now):
                await self._plan_and_switch(now)
        except (EpochChangedError, RankUnreachableError) as exc:
            log.warning("switch_failed", extra={"why": str(exc)})

    async def _settle(self, now: float) -> bool:
        """Finish or undo an interrupted switch; return False if there is none.

        Meanwhile the agent of this instance makes no new grants. Otherwise the former
        coordinator could arm its own rank while the switch is being undone.
        """
        await self._probe_silent_ranks(now)
        step, holders = self._first_held_pass(self._clock())
        if not holders:
            return False
        own = self._own_state
        # If another rank is a holder, its agent may have granted the switch.
        granted = holders != [own.rank] or self._grants.may_have_granted(
            own.epoch, step
        )
        if granted:
            await self._probe_coordinator(step)
        else:
            self._grants.deny(own.epoch, step)
        reports = self._fresh_reports()
        holders = [r for r in holders if r in reports and reports[r].held == step]
        if not holders:
            return True
        placement = self._known_maps.get(own.epoch, own.map_version)
        self._grants.settling = True
        try:
            async with asyncio.timeout(self._settle_timeout_s):
                settlement = await self._make_switch().settle(
                    own.epoch,
                    reports,
                    holders,
                    placement,
                    granted=granted,
                )
        except TimeoutError:
            longer_s = min(2 * self._settle_timeout_s, MAX_SETTLE_TIMEOUT_S)
            self._settle_timeout_s = longer_s
            self._log_settlement("unfinished", step, holders, reports, granted)
            return True
        finally:
            self._grants.settling = False
        self._metrics.settled.labels(settlement.value).inc()
        outcome = settlement.value
        if settlement is not Settlement.IMPOSSIBLE:
            self._settle_timeout_s = SETTLE_TIMEOUT_S
        elif placement is None:
            outcome = "map_unknown"
        self._log_settlement(outcome, step, holders, reports, granted)
        return True

    def _first_held_pass(self, now: float) -> tuple[int, list[int]]:
        """Return the first pass that interrupted switches hold, and the ranks that do.

        Holds of different passes belong to different switches, and the group waits for
        the first of them. Return no ranks if no switch is interrupted.
        """
        held = {
            state.rank: state.held
            for state in self._group.fresh_states(now)
            if state.held is not None and self._is_interrupted(state.rank, now)
        }
        step = min(held.values(), default=0)
        return step, [rank for rank in held if held[rank] == step]

    def _fresh_reports(self) -> dict[int, RankReport]:
        states = self._group.fresh_states(self._clock())
        return {state.rank: state.to_report() for state in states}

    async def _probe_coordinator(self, step: int) -> None:
        """Request a report of the rank whose agent began a switch, if it is silent.

        The switch can't be settled without this rank, and the group may be idle.
        """
        now = self._clock()
        rank = coordinator_of(held_version(self._fresh_reports(), step))
        address = self._group.address(rank)
        is_silent = self._group.state(rank, now) is None
        if (
            not is_silent
            or address is None
            or now - self._probed_at < SETTLE_PROBE_INTERVAL_S
        ):
            return
        self._probed_at = now
        await self._probe([address])

    def _log_settlement(
        self,
        settlement: str,
        step: int,
        holders: Sequence[int],
        reports: Mapping[int, RankReport],
        granted: bool,
    ) -> None:
        """Log a settlement; one that cannot end, at most every ten seconds.

        The line states what the settlement was decided by: whether a grant may have
        been given, and whether the coordinator's rank was asked.
        """
        now = self._clock()
        version = held_version(reports, step)
        coordinator = coordinator_of(version)
        logged, logged_at = self._settle_logged
        is_end = settlement in set(Settlement) - {Settlement.IMPOSSIBLE}
        if (
            not is_end
            and logged == settlement
            and now - logged_at < SETTLE_LOG_INTERVAL_S
        ):
            return
        self._settle_logged = (settlement, now)
        log.warning(
            "hold_settled",
            extra={
                "holders": holders,
                "step": step,
                "version": version,
                "settlement": settlement,
                "coordinator": coordinator,
                "coordinator_silent": coordinator not in reports,
                "may_be_granted": granted,
                "held_ms": milliseconds(self._group.held_for_s(holders[0], now)),
                "asked": sorted(reports),
                "unanswered": dict(self._orders.unanswered),
            },
        )

    def _make_switch(self) -> Switch:
        """Create a switch whose holder is the next live rank, on another instance.

        The holder is the own rank only if no other agent is alive.
        """
        own_rank = self._own_state.rank
        order = [(own_rank + 1 + i) % self._group.size for i in range(self._group.size)]
        now = self._clock()
        holder = next((r for r in order if self._group.is_alive(r, now)), own_rank)
        return Switch(
            self._orders.clients(),
            own_rank,
            holder,
            self._group,
            functools.partial(
                self._grants.request,
                self._own_state,
                holder,
                self._agent_address(holder),
            ),
            self._clock,
            passes_ahead(self._usual_arming_s(), self._pass_s),
        )

    def _observe_pass(self, step: int, now: float) -> None:
        """Record the newest pass, and smooth the usual time of a pass.

        Longer times are those of an idle or stalled group.
        """
        if self._newest_pass is not None:
            last, began_at = self._newest_pass
            if step == last:
                return
            pass_s = (now - began_at) / (step - last)
            if 0.0 < pass_s < MAX_PASS_S:
                weight = PASS_SMOOTHING if self._pass_s else 1.0
                self._pass_s += weight * (pass_s - self._pass_s)
        self._newest_pass = (step, now)

    def _usual_arming_s(self) -> float:
        """Return the usual seconds from a hold until all ranks are armed."""
        if self._arming_s is None:
            return ARMING_PER_RANK_S * self._group.size
        return self._arming_s

    def _is_interrupted(self, rank: int, now: float) -> bool:
        """Return True if the switch that holds a rank is interrupted.

        This is assumed if the agent of its coordinator is not alive, or if the rank has
        held the same pass for longer than `HOLD_TIMEOUT_S`.
        """
        version = switch_version(s.to_report() for s in self._group.fresh_states(now))
        if not self._group.is_alive(coordinator_of(version), now):
            return True
        return self._group.held_for_s(rank, now) > HOLD_TIMEOUT_S

    async def _probe_silent_ranks(self, now: float) -> None:
        """Request reports of the ranks whose agents are silent, if the group stalls.

        A rank may hold the group although the agent on its instance has failed. If that
        agent has not been heard since this one started, the rank is at one of the
        addresses in the platform's list that belong to no known rank.
        """
        own = self._own_state
        states = self._group.fresh_states(now)
        if not own.is_open or not any(s.running or s.waiting for s in states):
            self._last_pass = None
            return
        if self._last_pass is None or self._last_pass[0] != own.step:
            self._last_pass = (own.step, now)
            return
        if (
            now - self._last_pass[1] < STALL_TIMEOUT_S
            or now - self._probed_at < PROBE_INTERVAL_S
        ):
            return
        self._probed_at = now
        silent = [
            r for r in range(self._group.size) if not self._group.is_alive(r, now)
        ]
        addresses = [self._group.address(rank) for rank in silent]
        await self._probe(filter(None, addresses))
        now = self._clock()
        unfound = [r for r in silent if self._group.state(r, now) is None]
        is_lasting = now - self._last_pass[1] >= SEARCH_AFTER_S
        has_no_address = any(self._group.address(rank) is None for rank in unfound)
        if unfound and (is_lasting or has_no_address):
            await self._search_ranks(now)

    async def _search_ranks(self, now: float) -> None:
        """Probe the listed addresses that belong to no known rank.

        The list has the ranks of all groups of the service. Those of other groups are
        asked again only after some time.
        """
        self._foreign = {a: at for a, at in self._foreign.items() if at > now}
        known = {*self._group.addresses(), *self._foreign}
        await self._probe([a for a in self._listed_addresses() if a not in known])

    async def _probe(self, addresses: Iterable[str]) -> None:
        """Request the states of the ranks at some addresses, several at a time."""
        limit = asyncio.Semaphore(MAX_PROBES)

        async def probe(address: str) -> None:
            async with limit:
                await self._probe_one(address)

        await asyncio.gather(*(probe(address) for address in addresses))

    async def _probe_one(self, address: str) -> None:
        try:
            client = self._connect(address)
            report = await client.report()
            if report.group != self._group.name:
                self._foreign[address] = self._clock() + FOREIGN_S
                return
            _, experts = await client.experts()
        except RankUnreachableError as exc:
            log.info("rank_unreachable", extra={"at": address, "why": str(exc)})
            return
        state = make_state(address, report, experts)
        self._group.record_state(state, self._clock())

    def _group_view(self, now: float) -> GroupView | None:
        """Return a snapshot of the group, or None if it is incomplete or inconsistent.

        It is inconsistent if the ranks report different epochs or map versions.
        """
        states = self._group.fresh_states(now)
        if not states or len(states) != self._group.size:
            return None
        epochs = {state.epoch for state in states}
        versions = {state.map_version for state in states}
        if len(epochs) != 1 or len(versions) != 1:
            return None
        epoch = epochs.pop()
        placement = self._group.placement(epoch, versions.pop())
        if placement is None:
            return None
        reports = [s.to_report() for s in states]
        return GroupView(epoch, placement, reports, self._group.last_switch_step)

    async def _plan_and_switch(self, now: float) -> None:
        """Plan for the estimated demand, and switch if the skew falls far enough.

        Do nothing while the group is incomplete or not open, while a switch is in
        progress, or while there is no estimate.
        """
        view = self._group_view(now)
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
        copies_per_rank = self._cfg.copies_per_rank(spec.copy_s)
        limits = PlanLimits(
            spec.places, spec.spare, copies_per_rank, self._cfg.min_gain
        )
        pace = [report.pace for report in view.reports]
        skew_before = skew(view.placement, demand, pace)
        self._metrics.skew.set(skew_before)
        map_version = view.reports[0].map_version
        version, rejected_skew, at = self._last_rejected
        if (
            version == map_version
            and skew_before < rejected_skew + self._cfg.min_skew_gain
            and now - at < REPLAN_INTERVAL_S
        ):
            return
        planned = _sorted_experts(plan(view.placement, demand, limits, pace))
        skew_after = skew(planned, demand, pace)
        if skew_before - skew_after < self._cfg.min_skew_gain:
            self._last_rejected = (map_version, skew_before, now)
            return
        copies = copies_by_rank(view.placement, planned)
        known = [r.prepared or 0 for r in view.reports]
        known += [r.map_version for r in view.reports]
        # Ranks report a prepared version only when its copies are complete, so the
        # versions of cancelled switches may be missing from the reports.
        known.append(self._last_version)
        version = self._last_version = next_version(
            known, self._own_state.rank, self._rng
        )
        log.info(
            "switch_begun",
            extra={
                "version": version,
                "skew": round(skew_before, 2),
                "expected": round(skew_after, 2),
                "copies": sum(copies),
            },
        )
        self._metrics.copies.inc(sum(copies))
        send_s = self._orders.offer(self._own_state, planned, version)
        copy_s = max(copies) * spec.copy_s + send_s
        switch = self._make_switch()
        result = await switch.run(
            view,
            planned,
            version,
            copy_s,
            functools.partial(self._is_outdated, planned, pace, skew_after),
        )
        self._metrics.switches.labels(result.value).inc()
        log.info(
            "switch_ended",
            extra={
                "version": version,
                "result": result.value,
                "took_ms": round((self._clock() - now) * 1000),
                "arming_ms": switch.arming_s and milliseconds(switch.arming_s),
                "pass_ms": milliseconds(self._pass_s),
            },
        )
        if switch.arming_s is not None:
            usual_s = self._usual_arming_s()
            self._arming_s = usual_s + ARMING_SMOOTHING * (switch.arming_s - usual_s)
        if result is Result.SWITCHED:
            await self._wait_for_map(version)

    def _is_outdated(
        self, planned: Placement, pace: list[float], expected_skew: float
    ) -> bool:
        demand = self._demand.estimate()
        return demand is not None and is_outdated(planned, demand, pace, expected_skew)

    async def _wait_for_map(self, version: int) -> None:
        """Wait until all ranks report the new map, at most for `MAX_MAP_POLLS` checks.

        Together these take longer than a pass of an overloaded group.
        """
        for _ in range(MAX_MAP_POLLS):
            states = self._group.fresh_states(self._clock())
            if all(state.map_version == version for state in states):
                return
            await asyncio.sleep(MAP_POLL_INTERVAL_S)

    def _agent_address(self, rank: int) -> Address:
        """Return the address of a rank's agent."""
        return agent_address(self._group.address(rank), self._port)


def _sorted_experts(placement: Placement) -> Placement:
    return [[sorted(held) for held in ranks] for ranks in placement]
