"""Agent of one rank: tells its state, and coordinates the group if it leads.

The agent of the lowest rank that is heard leads. That is no agreement: two may lead
for a while, and the engines' own state keeps their switches apart (see `switch`).
"""

import asyncio
import functools
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from slatehoist.maps.demand import DemandWindow
from slatehoist.maps.peers import (
    Address,
    GrantAnswer,
    GrantQuestion,
    Group,
    Message,
    PeerSocket,
    PeerState,
)
from slatehoist.maps.placement import Placement, copies_by_rank, is_valid, skew
from slatehoist.maps.planner import PlanLimits, plan
from slatehoist.maps.rank import (
    GroupSpec,
    RankClient,
    RankReport,
    RankUnreachableError,
)
from slatehoist.maps.status import SUBSCRIPTION_S, RankStatus
from slatehoist.maps.switch import (
    EpochChangedError,
    GroupView,
    Result,
    Switch,
    coordinator_of,
    may_grant,
    next_version,
    switch_version,
)
from slatehoist.observe import AgentMetrics, serve_metrics
from slatehoist.storage import PlatformError

log = logging.getLogger(__name__)

#: Path of the metrics.
METRICS_PATH = "/metrics"
#: Seconds between looks at the own rank. A pass takes 50 ms and more, and the end of a
#: copy should be known well before the next one ends.
POLL_S = 0.04
#: Polls between two readings of the counts: about one pass.
COUNTS_EVERY = 2
#: Polls between two heartbeats to the whole group.
HEARTBEAT_EVERY = 6
#: Polls between two statuses to the gateways.
STATUS_EVERY = 3
#: Seconds between plans: about one pass.
PLAN_S = 0.06
#: Skew of a planned placement under newer demand from which on it is given up before
#: it is in use. A plan's own skew lies at 1.2 to 1.6.
OUTDATED_SKEW = 2.1
#: Seconds between reads of the list of peers while some are missing, and afterwards.
#: Each read is a priced call to the store.
PEERS_RETRY_S = 1.0
PEERS_REFRESH_S = 15.0
#: Seconds for which a hold may stand before its coordinator is taken as gone. A switch
#: holds the group for some milliseconds, an undone one for half a second.
HOLD_PATIENCE_S = 0.7
#: Seconds without a pass, though there is work, after which ranks whose agents are
#: silent are asked directly whether they hold the group. Passes take up to 0.3 s when
#: a group is overloaded.
STUCK_S = 0.4
#: Seconds between such questions; they are priced, and held back group and answer.
ASK_S = 0.3
#: Seconds between repeats of a question for a grant; an answer takes some milliseconds
#: and the group stands still meanwhile.
GRANT_RETRY_S = 0.03
#: Seconds that a stopping agent gives to a switch in progress.
STOP_PATIENCE_S = 2.0


class AgentSettings(NamedTuple):
    """Settings of an agent.

    Attributes
    ----------
    listen : tuple of (str, int)
        Address for datagrams of other agents, which use the same port.
    rank_address : str
        Address of the rank on this machine.
    copies_per_rank : int
        Copies that a rank makes for one plan. More would make the plan late.
    least_gain : float
        Fall of a set's norm, in mean rank loads, that a copy must bring.
    least_skew_gain : float
        Fall of the skew that a switch must bring.
    metrics_listen : tuple of (str, int) or None
        Address for metrics; None for none.
    """

    listen: tuple[str, int]
    rank_address: str
    copies_per_rank: int = 1
    least_gain: float = 0.03
    least_skew_gain: float = 0.15
    metrics_listen: tuple[str, int] | None = None


class GroupSource(Protocol):
    """Reads what an agent must know from the store."""

    async def group_spec(self) -> GroupSpec | None:
        """Give the geometry of the own service's groups; None if it has none."""

    async def peer_hosts(self) -> list[str]:
        """Give the hosts of the own service's servers."""


class Agent:
    """Agent of the rank on this machine.

    Parameters
    ----------
    connect : callable
        Gives the client of the rank at an address.
    """

    def __init__(
        self,
        cfg: AgentSettings,
        source: GroupSource,
        connect: Callable[[str], RankClient],
        clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._source = source
        self._connect = connect
        self._clock = clock
        self._own = connect(cfg.rank_address)
        self._clients: dict[str, RankClient] = {cfg.rank_address: self._own}
        self._group = Group(clock)
        self._state: PeerState | None = None
        self._experts: tuple[int, int, list[list[int]]] | None = None
        self._counts: tuple[int, list[int]] | None = None
        self._hosts: list[str] = []
        self._spec: GroupSpec | None = None
        self._demand: DemandWindow | None = None
        self._stuck_since: tuple[int, float] | None = None
        self._asked_at = float("-inf")
        self._subscribers: dict[Address, float] = {}
        self._grants: dict[tuple[int, int], asyncio.Future] = {}
        self._granted: tuple[int, int] | None = None
        self._settling = False
        self._background: set[asyncio.Task] = set()
        self._leads = False
        self._switching = False
        self._metrics = AgentMetrics()
        self._demand_at = clock()
        self._last_version = 0
        self._stopping = False
        self._polls = 0

    async def run(self, stopping: asyncio.Event) -> None:
        """Run until told to stop; a switch in progress is finished first."""
        loop = asyncio.get_running_loop()
        transport, self._socket = await loop.create_datagram_endpoint(
            lambda: PeerSocket(self._on_message), local_addr=self._cfg.listen
        )
        if self._cfg.metrics_listen is not None:
            await serve_metrics(
                self._metrics.registry,
                *self._cfg.metrics_listen,
                METRICS_PATH,
                self._refresh_metrics,
            )
        log.info("started", extra={"rank_address": self._cfg.rank_address})
        followers = [
            asyncio.create_task(_repeat(step, interval_s))
            for step, interval_s in ((self._poll, POLL_S), (self._follow_peers, 0.0))
        ]
        coordinator = asyncio.create_task(_repeat(self._coordinate, PLAN_S))
        await stopping.wait()
        self._stopping = True
        log.info("stopping", extra={"leads": self._leads})
        coordinator.cancel() if not self._switching else None
        await asyncio.wait([coordinator], timeout=STOP_PATIENCE_S)
        for task in (*followers, coordinator):
            task.cancel()
        transport.close()
        log.info("stopped")

    def _refresh_metrics(self) -> None:
        now = self._clock()
        self._metrics.leads.set(self._leads)
        self._metrics.peers.set(len(self._group.fresh(now)))
        self._metrics.demand_age.set(now - self._demand_at)

    async def _poll(self) -> None:
        """Look at the own rank and tell others."""
        try:
            report = await self._own.report()
            experts = await self._own_experts(report)
            counts = []
            if self._polls % COUNTS_EVERY == 0:
                counts = await self._new_counts()
        except RankUnreachableError as exc:
            if self._state is not None:
                log.warning("rank_lost", extra={"why": str(exc)})
            self._state = None
            return
        if self._state is None:
            log.info("rank_found", extra={"group": report.group, "rank": report.rank})
        self._polls += 1
        self._state = _state(self._cfg.rank_address, report, experts)
        now = self._clock()
        known = self._group.report(report.rank)
        self._group.hear(self._state, now)
        changed = known is None or _switching_part(known) != _switching_part(report)
        self._tell(counts, changed, now)
        if self._polls % STATUS_EVERY == 0:
            self._tell_subscribers(now)

    def _tell(self, counts: list[int], changed: bool, now: float) -> None:
        leader = self._group.leader(now)
        if leader == self._state.rank:
            self._add_demand(counts, now)
        elif (counts or changed) and leader is not None:
            state = _with_counts(self._state, counts)
            self._socket.send(state, self._agents([self._group.address(leader)]))
        if self._polls % HEARTBEAT_EVERY == 0:
            self._socket.send(self._state, self._peer_addresses(now))

    def _peer_addresses(self, now: float) -> list[tuple[str, int]]:
        """Give the agents of the group, or of the whole service until it is known."""
        members = self._group.fresh(now)
        own_host = self._cfg.listen[0]
        if members and len(members) == self._group.size:
            return self._agents(
                [m.address for m in members if m.rank != self._state.rank]
            )
        port = self._cfg.listen[1]
        return [(host, port) for host in self._hosts if host != own_host]

    def _agents(self, addresses: list[str]) -> list[tuple[str, int]]:
        port = self._cfg.listen[1]
        return [(address.rpartition(":")[0], port) for address in addresses]

    def _on_message(self, message: Message, sender: Address) -> None:
        match message:
            case PeerState():
                self._on_state(message)
            case GrantQuestion():
                self._background.add(asyncio.create_task(self._answer(message, sender)))
            case GrantAnswer():
                fut = self._grants.get((message.version, message.step))
                if fut is not None and not fut.done():
                    fut.set_result(message.granted)
            case _:
                self._on_subscription(sender)

    async def _answer(self, question: GrantQuestion, sender: Address) -> None:
        """Grant a coordinator to arm its own rank, if this rank waits for that.

        The own rank is asked anew: it must hold the group for that very switch, and
        nobody must be settling it.
        """
        key = (question.version, question.step)
        granted = key == self._granted
        if not granted and not self._settling:
            try:
                report = await self._own.report()
            except RankUnreachableError as exc:
                log.warning("grant_not_answered", extra={"why": str(exc)})
                return
            granted = may_grant(report, *key) and not self._settling
            if granted:
                self._granted = key
        self._socket.send(GrantAnswer(*key, granted), [sender])

    async def _ask_grant(self, holder: int, version: int, step: int) -> bool:
        """Ask the holding rank's agent; it is asked until it answers or is silent."""
        key = (version, step)
        own = self._state
        if holder == own.rank:
            return True
        question = GrantQuestion(own.group, own.rank, version, step)
        fut = self._grants[key] = asyncio.get_running_loop().create_future()
        try:
            while True:
                address = self._group.address(holder)
                self._socket.send(question, self._agents([address]))
                await asyncio.wait([fut], timeout=GRANT_RETRY_S)
                if fut.done():
                    return fut.result()
                if not self._group.is_heard(holder, self._clock()):
                    return False
        finally:
            del self._grants[key]

    def _on_state(self, state: PeerState) -> None:
        own = self._state
        if own is None or state.group != own.group or state.rank == own.rank:
            return
        now = self._clock()
        self._group.hear(state, now)
        if state.counts:
            self._add_demand(state.counts, now)

    def _on_subscription(self, address: Address) -> None:
        self._subscribers[address] = self._clock() + SUBSCRIPTION_S

    def _tell_subscribers(self, now: float) -> None:
        for address, until in list(self._subscribers.items()):
            if until < now:
                del self._subscribers[address]
        state = self._state
        status = RankStatus(
            state.address, state.is_open, state.running, state.waiting, state.pace
        )
        self._socket.send(status, list(self._subscribers))

    def _add_demand(self, counts: list[int], now: float) -> None:
        if self._demand is not None and counts:
            self._demand.add(counts, now)
            self._demand_at = now

    async def _own_experts(self, report: RankReport) -> list[list[int]]:
        """Give the experts of the own rank, asked for when the map changes."""
        known = self._experts
        if known is None or known[:2] != (report.epoch, report.map_version):
            version, experts = await self._own.experts()
            known = self._experts = (report.epoch, version, experts)
        return known[2]

    async def _new_counts(self) -> list[int]:
        """Give what was chosen since the last look."""
        reading = await self._own.counts()
        before = self._counts
        self._counts = (reading.epoch, reading.counts)
        if before is None or len(before[1]) != len(reading.counts):
            return []
        delta = [new - old for new, old in zip(reading.counts, before[1], strict=True)]
        # Counts start anew when the rank does.
        return delta if min(delta, default=0) >= 0 else []

    async def _follow_peers(self) -> None:
        """Keep the list of hosts that agents may run on."""
        try:
            if self._spec is None:
                self._spec = await self._source.group_spec()
                if self._spec is not None:
                    self._demand = DemandWindow(self._spec.sets, self._spec.experts)
            self._hosts = await self._source.peer_hosts()
        except PlatformError as exc:
            log.warning("peers_unknown", extra={"why": str(exc)})
        complete = self._spec is not None and 0 < self._group.size == len(
            self._group.fresh(self._clock())
        )
        await asyncio.sleep(PEERS_REFRESH_S if complete else PEERS_RETRY_S)

    async def _coordinate(self) -> None:
        """Settle what is unfinished, then plan and switch, if this agent leads."""
        now = self._clock()
        own = self._state
        leads = own is not None and self._group.leader(now) == own.rank
        if leads != self._leads:
            self._leads = leads
            log.info("leads" if leads else "follows", extra={"rank": own and own.rank})
            if self._demand is not None:
                self._demand.clear()
        if not leads or self._stopping:
            return
        self._switching = True
        try:
            if not await self._settle(now):
                await self._plan_and_switch(now)
        except (EpochChangedError, RankUnreachableError) as exc:
            log.warning("switch_failed", extra={"why": str(exc)})
        finally:
            self._switching = False

    async def _settle(self, now: float) -> bool:
        """Finish or undo a switch that was left; return whether there was one."""
        self._background = {task for task in self._background if not task.done()}
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
        sets = len(self._state.experts)
        placement = [[list(s.experts[i]) for s in states] for i in range(sets)]
        version = switch_version(reports.values())
        self._settling = True
        try:
            settlement = await self._switch().settle(
                self._state.epoch,
                reports,
                holders,
                placement,
                granted=holders != [self._state.rank]
                or self._granted == (version, self._state.held),
            )
        finally:
            self._settling = False
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
        own = self._state.rank
        order = [(own + 1 + i) % self._group.size for i in range(self._group.size)]
        now = self._clock()
        holder = next((r for r in order if self._group.is_heard(r, now)), own)
        return Switch(
            self._rank_clients(),
            own,
            holder,
            self._group,
            functools.partial(self._ask_grant, holder),
        )

    def _is_orphan(self, rank: int, now: float) -> bool:
        """Whether nobody seems to be at work on the switch that holds a rank."""
        version = switch_version(s.report() for s in self._group.fresh(now))
        if not self._group.is_heard(coordinator_of(version), now):
            return True
        return self._group.held_for_s(rank, now) > HOLD_PATIENCE_S

    async def _ask_silent_ranks(self, now: float) -> None:
        """Ask ranks whose agents are silent, while the group does not go on."""
        own = self._state
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
            if self._group.is_heard(rank, now) or address is None:
                continue
            try:
                client = self._client(address)
                report = await client.report()
                _, experts = await client.experts()
            except RankUnreachableError as exc:
                log.info("rank_silent", extra={"rank": rank, "why": str(exc)})
                continue
            self._group.observe(_state(address, report, experts), self._clock())

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
        if view is None or self._spec is None or self._demand is None:
            return
        if any(not r.is_open or r.held or r.armed for r in view.reports):
            return
        demand = self._demand.estimate()
        if demand is None or not is_valid(
            view.placement, self._spec.experts, self._spec.places
        ):
            return
        spec = self._spec
        limits = PlanLimits(
            spec.places, spec.spare, self._cfg.copies_per_rank, self._cfg.least_gain
        )
        pace = [report.pace for report in view.reports]
        planned = plan(view.placement, demand, limits, pace)
        before = skew(view.placement, demand, pace)
        after = skew(planned, demand, pace)
        self._metrics.skew.set(before)
        if before - after < self._cfg.least_skew_gain:
            return
        copies = copies_by_rank(view.placement, planned)
        known = [r.prepared or 0 for r in view.reports]
        known += [r.map_version for r in view.reports]
        # Ranks do not report versions whose copies they have not finished.
        known.append(self._last_version)
        version = self._last_version = next_version(known, self._state.rank)
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
            functools.partial(self._is_outdated, planned, pace),
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

    def _is_outdated(self, planned: Placement, pace: list[float]) -> bool:
        """Whether the demand that a placement was planned for is over."""
        demand = self._demand.estimate()
        return demand is not None and skew(planned, demand, pace) > OUTDATED_SKEW

    async def _await_map(self, version: int) -> None:
        """Wait until the ranks report the new map, or for as long as one pass takes."""
        for _ in range(AWAIT_POLLS):
            states = self._group.fresh(self._clock())
            if all(state.map_version == version for state in states):
                return
            await asyncio.sleep(POLL_S)

    def _rank_clients(self) -> list[RankClient]:
        return [
            self._client(self._group.address(rank)) for rank in range(self._group.size)
        ]

    def _client(self, address: str) -> RankClient:
        if address not in self._clients:
            self._clients[address] = self._connect(address)
        return self._clients[address]


#: Polls for which a coordinator waits for the new map to show.
AWAIT_POLLS = 12


def _switching_part(report: RankReport) -> tuple:
    """Give what of a report a coordinator waits for."""
    return report.epoch, report.map_version, report.prepared, report.armed, report.held


def _state(address: str, report: RankReport, experts: list[list[int]]) -> PeerState:
    armed = report.armed
    return PeerState(
        address=address,
        group=report.group,
        epoch=report.epoch,
        rank=report.rank,
        size=report.size,
        is_open=report.is_open,
        step=report.step,
        map_version=report.map_version,
        prepared=report.prepared,
        armed=None if armed is None else tuple(armed),
        held=report.held,
        running=report.running,
        waiting=report.waiting,
        experts=experts,
        pace=report.pace,
    )


def _with_counts(state: PeerState, counts: list[int]) -> PeerState:
    fields = {name: getattr(state, name) for name in state.__struct_fields__}
    return PeerState(**{**fields, "counts": counts})


async def _repeat(step: Callable[[], Awaitable[None]], interval_s: float) -> None:
    """Run a step again and again; an error is logged and does not end it."""
    while True:
        try:
            await step()
        except Exception:
            log.exception("task_failed", extra={"task": step.__qualname__})
            await asyncio.sleep(1.0)
        await asyncio.sleep(interval_s)
