"""Agent of one rank: sends the rank's state, and coordinates the group if it leads.

An agent considers the lowest rank with recent heartbeats the leader. This is no leader
election with consensus: two agents may lead at the same time, for example while
heartbeats are lost. This is safe, since the engines refuse orders of one switch that
conflict with the other (see `switch`).

Each agent knows which of the lowest ranks are alive, since these send heartbeats to
all. They know the states of all ranks, since all send heartbeats to them. An agent that
hears too few lower ranks sends to all itself, so the candidates follow from what is
heard.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

import msgspec

from slatehoist.maps.coordinator import Coordinator, PlanSettings
from slatehoist.maps.demand import DemandWindow, to_pairs
from slatehoist.maps.grants import Grants
from slatehoist.maps.known_maps import KnownMaps
from slatehoist.maps.orders import GroupOrders, OrderRelay
from slatehoist.maps.peers import (
    Address,
    GrantRequest,
    GrantResponse,
    Group,
    MapOrder,
    Message,
    OrderAnswer,
    PeerSocket,
    PeerState,
    RankOrder,
    agent_address,
    make_state,
)
from slatehoist.maps.rank import (
    GroupSpec,
    RankClient,
    RankReport,
    RankUnreachableError,
)
from slatehoist.maps.stalls import StallLog
from slatehoist.maps.status import SUBSCRIPTION_TTL_S, RankStatus, Subscription
from slatehoist.observe import AgentMetrics, StartStages, serve_metrics
from slatehoist.routing import CapacityAllocator
from slatehoist.storage import PlatformError

log = logging.getLogger(__name__)

#: HTTP path at which the metrics are served.
METRICS_PATH = "/metrics"
#: Seconds between polls of the own rank: about one pass.
POLL_INTERVAL_S = 0.08
#: Seconds between polls while a switch is in progress, whose steps wait for reports,
#: and seconds without a change after which none is.
SWITCH_POLL_INTERVAL_S = 0.04
SWITCH_TIMEOUT_S = 1.0
#: Seconds that the counts of a rank cover: about one pass.
COUNTS_SPAN_S = 0.08
#: Ranks whose counts the leader gets in a second. In larger groups the ranks send them
#: less often: they have about 800 bytes, and links of large deployments take 3 Mbit/s.
COUNTS_PER_S = 150.0
#: Maximum number of counts that are sent in full: they fit one packet of a usual
#: network. If a group has more, only the larger ones are sent, since large deployments
#: have links of low bandwidth.
MAX_DENSE_COUNTS = 512
#: Seconds between heartbeats.
HEARTBEAT_INTERVAL_S = 0.24
#: Oldest state in seconds that is sent as a heartbeat while its rank has not answered
#: the next query.
MAX_REPEATED_AGE_S = 3.0
#: Lowest ranks that exchange heartbeats with the whole group: the leader, and those
#: that lead next. The other ranks send heartbeats only to these, so that the messages
#: of a group grow with its size, and not with the square of it.
LEADER_CANDIDATES = 3
#: Heartbeats per one that contains the experts of the rank, if these do not change.
HEARTBEATS_PER_EXPERTS = 8
#: Heartbeats in a row that contain the experts after these or the peers have changed,
#: since one datagram may be lost.
HEARTBEATS_AFTER_CHANGE = 2
#: Seconds between statuses to the gateways, and the number of gateways that get one
#: then (150 in a second). If there are more, they take turns, so that each status can
#: allocate slots that are free at its time.
STATUS_INTERVAL_S = 0.16
STATUSES_PER_INTERVAL = 24
#: Seconds between cycles of the coordinator: about one pass.
COORDINATE_INTERVAL_S = 0.06
#: Seconds between reads of the list of peers. The interval is doubled with each read
#: from the shortest to the longest one: an agent that starts later announces itself to
#: the peers in its list, and each read of the list is a billed call to the store.
PEERS_RETRY_INTERVAL_S = 1.0
PEERS_REFRESH_INTERVAL_S = 30.0
#: Seconds for which a stopping agent lets a coordinator cycle in progress continue.
STOP_TIMEOUT_S = 2.0


class AgentSettings(NamedTuple):
    """Settings of an agent.

    Attributes
    ----------
    listen : tuple of (str, int)
        Address for datagrams of other agents, which use the same port.
    rank_address : str
        Address of the rank on this instance.
    plan : PlanSettings
        Limits and minimum gains of plans.
    metrics_listen : tuple of (str, int) or None
        Address at which metrics are served; None to serve none.
    link_mbps : float
        Bandwidth of this instance's link in Mbit/s, which the time-outs of large
        messages depend on.
    """

    listen: tuple[str, int]
    rank_address: str
    plan: PlanSettings = PlanSettings()
    metrics_listen: tuple[str, int] | None = None
    link_mbps: float = 10.0


class GroupSource(Protocol):
    """Reads the configuration of the own service from the store."""

    async def group_spec(self) -> GroupSpec | None:
        """Return the dimensions of the own service's groups, or None without groups."""

    async def peer_addresses(self) -> list[str]:
        """Return the addresses (``host:port``) of the own service's servers."""


class Agent:
    """Agent of the rank on this instance.

    It polls the rank, exchanges states with the agents of the other ranks, sends the
    status to gateways, and runs the coordinator while it leads the group.

    Parameters
    ----------
    connect : callable
        Returns the client of the rank at an address.
    rng : random.Random or None
        Draws the order in which gateways get allocated slots, and versions of maps.
    """

    def __init__(
        self,
        cfg: AgentSettings,
        source: GroupSource,
        connect: Callable[[str], RankClient],
        clock: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._cfg = cfg
        self._source = source
        self._connect = connect
        self._clock = clock
        self._own_client = connect(cfg.rank_address)
        self._clients: dict[str, RankClient] = {cfg.rank_address: self._own_client}
        self._group = Group(clock)
        #: State of the own rank; None while the rank is unreachable.
        self._state: PeerState | None = None
        #: Epoch, map version and the own rank's experts by set.
        self._experts: tuple[int, int, list[list[int]]] | None = None
        #: Epoch and counts of the last reading.
        self._counts: tuple[int, list[int]] | None = None
        #: Addresses of the service's servers in the platform's list.
        self._listed_addresses: list[str] = []
        self._demand: DemandWindow | None = None
        #: Times at which the subscriptions of the gateways expire, by address, the one
        #: whose last status is oldest first.
        self._subscribers: dict[Address, float] = {}
        self._rng = rng or random.Random()
        self._allocator = CapacityAllocator(self._rng)
        #: Requests that the own rank runs at once; 0 until known.
        self._slots = 0
        self._known_maps = KnownMaps(self._group)
        host, port = cfg.listen
        self._orders = GroupOrders(
            self._group,
            self._known_maps,
            host,
            port,
            cfg.link_mbps * 1e6 / 8,
            self._client,
            self._send_all,
            clock,
        )
        self._order_relay = OrderRelay(
            self._own_client,
            lambda: self._state,
            self._known_maps,
            self._send_all,
            port,
        )
        self._stalls = StallLog(self._group)
        self._grants = Grants(self._own_client, self._group, self._send, clock)
        self._coordinator: Coordinator | None = None
        self._leads = False
        self._in_cycle = False
        self._metrics = AgentMetrics()
        self._demand_at = clock()
        self._stopping = False
        #: Times of the last heartbeat and status, and of the next counts.
        self._heartbeat_at = self._status_at = self._counts_due_at = clock()
        self._heartbeats = 0
        #: Time of the last report of the own rank, and seconds that the poll took.
        self._polled_at = float("-inf")
        self._poll_s = 0.0
        #: Time until which a switch is assumed to be in progress.
        self._switch_until = float("-inf")
        #: Number of the next heartbeats that contain the experts.
        self._heartbeats_with_experts = HEARTBEATS_AFTER_CHANGE
        self._peers_interval_s = PEERS_RETRY_INTERVAL_S

    async def run(self, stopping: asyncio.Event) -> None:
        """Run until `stopping` is set.

        If a coordinator cycle is in progress then, it may continue for
        `STOP_TIMEOUT_S`, so that its switch can end.
        """
        loop = asyncio.get_running_loop()
        self._stages = StartStages(self._clock())
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
        pollers = [
            asyncio.create_task(_repeat(action))
            for action in (self._poll_and_sleep, self._follow_peers)
        ]
        coordinator = asyncio.create_task(_repeat(self._coordinate_and_sleep))
        await stopping.wait()
        self._stopping = True
        log.info("stopping", extra={"leads": self._leads})
        if not self._in_cycle:
            coordinator.cancel()
        await asyncio.wait([coordinator], timeout=STOP_TIMEOUT_S)
        for task in (*pollers, coordinator):
            task.cancel()
        transport.close()
        log.info("stopped")

    def _refresh_metrics(self) -> None:
        now = self._clock()
        self._metrics.leads.set(self._leads)
        self._metrics.peers.set(len(self._group.fresh_states(now)))
        self._metrics.demand_age.set(now - self._demand_at)

    async def _poll_and_sleep(self) -> None:
        self._repeat_heartbeat_later()
        try:
            await self._poll()
        finally:
            self._late_poll.cancel()
        now = self._clock()
        self._stalls.observe(self._state, self._orders.unanswered, now)
        self._reach_stages(now)
        in_switch = self._clock() < self._switch_until
        await asyncio.sleep(SWITCH_POLL_INTERVAL_S if in_switch else POLL_INTERVAL_S)

    def _reach_stages(self, now: float) -> None:
        """Log the stages of the start that this poll has reached."""
        own = self._state
        if own is None or self._stages.is_reached("map_known"):
            return
        leader = self._group.leader(now)
        if leader is not None:
            self._stages.reach("leader_known", now, leader=leader)
        if self._known_maps.get(own.epoch, own.map_version) is not None:
            self._stages.reach("map_known", now, version=own.map_version)

    async def _poll(self) -> None:
        """Request the state of the own rank, and send it to agents and gateways."""
        began_at = self._clock()
        try:
            if self._poll_s > POLL_INTERVAL_S:
                # A slow rank answers both queries at the same time.
                report, counts = await asyncio.gather(
                    self._own_client.report(), self._due_counts(self._group.size)
                )
                experts = await self._own_experts(report)
            else:
                report = await self._own_client.report()
                experts = await self._own_experts(report)
                counts = await self._due_counts(report.size)
        except RankUnreachableError as exc:
            if self._state is not None:
                log.warning("rank_lost", extra={"why": str(exc)})
            self._state = None
            return
        if self._state is None:
            log.info("rank_found", extra={"group": report.group, "rank": report.rank})
            self._peers_interval_s = PEERS_RETRY_INTERVAL_S
        self._grants.record_report(report)
        self._state = make_state(self._cfg.rank_address, report, experts)
        now = self._polled_at = self._clock()
        self._poll_s = now - began_at
        known = self._group.report(report.rank)
        self._group.record_heartbeat(self._state, now)
        changed = known is None or _switch_state(known) != _switch_state(report)
        self._publish_state(counts, changed, now)
        if _is_due(self._status_at, STATUS_INTERVAL_S, now):
            self._status_at = now
            self._publish_status(now)

    def _publish_state(self, counts: list[int], changed: bool, now: float) -> None:
        """Send the own state to the leader and, as a heartbeat, to other agents.

        The leader gets it at once if there are new counts, or if a field has changed
        for which a coordinator waits. If this agent leads, it adds its counts to
        the estimate instead.
        """
        brief = msgspec.structs.replace(self._state, experts=[])
        if changed:
            self._heartbeats_with_experts = HEARTBEATS_AFTER_CHANGE
            self._switch_until = now + SWITCH_TIMEOUT_S
        leader = self._group.leader(now)
        if leader == self._state.rank:
            self._add_demand(counts, now)
        elif (counts or changed) and leader is not None:
            state = msgspec.structs.replace(
                self._state if changed else brief, counts=self._encode_counts(counts)
            )
            self._send(state, self._agent_address(leader))
        if _is_due(self._heartbeat_at, HEARTBEAT_INTERVAL_S, now):
            self._send_heartbeat(brief, now)

    def _repeat_heartbeat_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._late_poll = loop.call_later(HEARTBEAT_INTERVAL_S, self._repeat_heartbeat)

    def _repeat_heartbeat(self) -> None:
        """Send the last state again, since the own rank takes long to answer.

        The agent is alive, and other agents must not take its rank for lost: they would
        lead in turn, and none of their switches or settlements would end.
        """
        now = self._clock()
        if self._state is None or now - self._polled_at > MAX_REPEATED_AGE_S:
            return
        self._repeat_heartbeat_later()
        self._group.record_heartbeat(self._state, now)
        self._send_heartbeat(msgspec.structs.replace(self._state, experts=[]), now)

    def _send_heartbeat(self, brief: PeerState, now: float) -> None:
        """Send the own state to other agents, with the experts if they are due."""
        self._heartbeat_at = now
        self._heartbeats += 1
        if self._heartbeats % HEARTBEATS_PER_EXPERTS == 0:
            self._heartbeats_with_experts += 1
        if self._heartbeats_with_experts > 0:
            self._heartbeats_with_experts -= 1
            brief = self._state
        self._send_all(brief, self._heartbeat_addresses(now))

    def _agent_address(self, rank: int) -> Address:
        return agent_address(self._group.address(rank), self._cfg.listen[1])

    def _heartbeat_addresses(self, now: float) -> list[Address]:
        """Return the addresses of the agents that get heartbeats of this one.

        These are the lowest `LEADER_CANDIDATES` ranks below the own one whose agents
        are alive. Only if there are fewer, this agent is such a candidate itself, or
        does not know the group yet: then all agents of the group get its heartbeats,
        and all hosts of the service until a rank was heard of at each of them.
        """
        own_host, port = self._cfg.listen
        candidates = self._group.alive_ranks(now, below=self._state.rank)
        if len(candidates) >= LEADER_CANDIDATES:
            return [self._agent_address(r) for r in candidates[:LEADER_CANDIDATES]]
        addresses = self._group.addresses()
        hosts = {agent_address(address, port)[0] for address in addresses}
        if len(addresses) != self._group.size:
            hosts.update(agent_address(a, port)[0] for a in self._listed_addresses)
        return [(host, port) for host in sorted(hosts) if host != own_host]

    def _on_message(self, message: Message, sender: Address) -> None:
        match message:
            case PeerState():
                self._on_state(message)
            case GrantRequest() | GrantResponse():
                self._grants.handle_message(message, sender)
            case RankOrder() | MapOrder():
                self._switch_until = self._clock() + SWITCH_TIMEOUT_S
                self._order_relay.handle_order(message, sender)
            case OrderAnswer():
                self._orders.handle_answer(message)
            case Subscription():
                self._on_subscription(message, sender)

    def _on_state(self, state: PeerState) -> None:
        own = self._state
        if own is None or state.group != own.group or state.rank == own.rank:
            return
        now = self._clock()
        if not self._group.is_alive(state.rank, now):
            self._heartbeats_with_experts = HEARTBEATS_AFTER_CHANGE
        self._group.record_heartbeat(state, now)
        if state.counts and self._demand is not None:
            if self._demand.size > MAX_DENSE_COUNTS:
                self._demand.add_pairs(state.counts, now)
            else:
                self._demand.add(state.counts, now)
            self._demand_at = now

    def _on_subscription(self, message: Subscription, address: Address) -> None:
        self._subscribers[address] = self._clock() + SUBSCRIPTION_TTL_S
        self._allocator.set_demand(address, message.demand)

    def _publish_status(self, now: float) -> None:
        """Send the status of the own rank to the subscribers whose turn it is."""
        for address, expires_at in list(self._subscribers.items()):
            if expires_at < now:
                del self._subscribers[address]
                self._allocator.remove(address)
        receivers = list(self._subscribers)[:STATUSES_PER_INTERVAL]
        if len(receivers) < len(self._subscribers):
            for address in receivers:
                self._subscribers[address] = self._subscribers.pop(address)
        state = self._state
        status = RankStatus(
            state.address, state.is_open, state.running, state.waiting, state.pace
        )
        allocated = self._allocator.allocate(self._free_slots(state), set(receivers))
        self._metrics.allocated_slots.inc(sum(allocated.values()))
        for address, slots in allocated.items():
            self._send(msgspec.structs.replace(status, allocated=slots), address)
        self._send_all(status, [a for a in receivers if a not in allocated])

    def _free_slots(self, state: PeerState) -> int:
        """Return the free slots of the own rank; a straggler has fewer."""
        if not state.is_open or self._slots <= 0:
            return 0
        usable = int(self._slots / max(state.pace, 1.0))
        return max(0, usable - state.running - state.waiting)

    def _encode_counts(self, counts: list[int]) -> list[int]:
        if len(counts) <= MAX_DENSE_COUNTS:
            return counts
        return to_pairs(counts, len(self._state.experts))

    def _add_demand(self, counts: list[int], now: float) -> None:
        if self._demand is not None and counts:
            self._demand.add(counts, now)
            self._demand_at = now

    async def _own_experts(self, report: RankReport) -> list[list[int]]:
        """Return the own rank's experts by set; request them when the map changes."""
        known = self._experts
        if known is None or known[:2] != (report.epoch, report.map_version):
            version, experts = await self._own_client.experts()
            known = self._experts = (report.epoch, version, experts)
        return known[2]

    async def _due_counts(self, ranks: int) -> list[int]:
        """Return the counts of the last `COUNTS_SPAN_S`, if they are due.

        In a large group, the counts before that are left out, so that those that are
        sent show the present demand.
        """
        now = self._clock()
        margin_s = SWITCH_POLL_INTERVAL_S / 2
        if now < self._counts_due_at - COUNTS_SPAN_S - margin_s:
            return []
        counts = await self._new_counts()
        if now < self._counts_due_at - margin_s:
            return []
        self._counts_due_at = now + max(COUNTS_SPAN_S, ranks / COUNTS_PER_S)
        return counts

    async def _new_counts(self) -> list[int]:
        """Return how often each expert was chosen since the last reading.

        Return an empty list if there is no earlier reading, or if the rank restarted.
        """
        reading = await self._own_client.counts()
        previous = self._counts
        self._counts = (reading.epoch, reading.counts)
        if previous is None or len(previous[1]) != len(reading.counts):
            return []
        delta = [
            new - old for new, old in zip(reading.counts, previous[1], strict=True)
        ]
        # A negative difference shows that the rank restarted, which resets its counts.
        return delta if min(delta, default=0) >= 0 else []

    async def _follow_peers(self) -> None:
        """Refresh the list of servers beside which agents may run, then sleep.

        Create the coordinator once the dimensions of the groups are known.
        """
        try:
            if self._coordinator is None:
                self._create_coordinator(await self._source.group_spec())
            self._listed_addresses = await self._source.peer_addresses()
            count = len(self._listed_addresses)
            self._stages.reach("list_read", self._clock(), servers=count)
        except PlatformError as exc:
            log.warning("peers_not_refreshed", extra={"why": str(exc)})
            await asyncio.sleep(PEERS_RETRY_INTERVAL_S)
            return
        await asyncio.sleep(self._peers_interval_s)
        self._peers_interval_s = min(
            2 * self._peers_interval_s, PEERS_REFRESH_INTERVAL_S
        )

    def _create_coordinator(self, spec: GroupSpec | None) -> None:
        if spec is None:
            return
        self._slots = spec.slots
        self._known_maps.spec = spec
        self._demand = DemandWindow(spec.sets, spec.experts)
        self._coordinator = Coordinator(
            self._cfg.plan,
            spec,
            self._group,
            self._known_maps,
            self._orders,
            self._demand,
            self._grants,
            self._cfg.listen[1],
            self._client,
            self._metrics,
            self._clock,
            self._rng,
            lambda: self._listed_addresses,
        )

    async def _coordinate_and_sleep(self) -> None:
        await self._coordinate()
        await asyncio.sleep(COORDINATE_INTERVAL_S)

    async def _coordinate(self) -> None:
        """Run a cycle of the coordinator if this agent leads.

        The estimated demand is reset when this agent begins or ceases to lead, since
        only the leader receives the counts of all ranks.
        """
        now = self._clock()
        own = self._state
        leads = own is not None and self._group.leader(now) == own.rank
        if leads != self._leads:
            self._leads = leads
            log.info("leads" if leads else "follows", extra={"rank": own and own.rank})
            if self._demand is not None:
                self._demand.clear()
        if not leads or self._stopping or self._coordinator is None:
            return
        self._in_cycle = True
        try:
            await self._coordinator.run_cycle(own)
        finally:
            self._in_cycle = False

    def _send(self, message: Message, address: Address) -> None:
        self._send_all(message, [address])

    def _send_all(
        self, message: Message | RankStatus, addresses: Sequence[Address]
    ) -> None:
        self._socket.send(message, addresses)

    def _client(self, address: str) -> RankClient:
        if address not in self._clients:
            self._clients[address] = self._connect(address)
        return self._clients[address]


def _switch_state(report: RankReport) -> tuple:
    """Return the fields of a report whose change a coordinator waits for."""
    return report.epoch, report.map_version, report.prepared, report.armed, report.held


def _is_due(last_at: float, interval_s: float, now: float) -> bool:
    """Return True if an interval has passed, or will have before the next poll."""
    return now - last_at >= interval_s - SWITCH_POLL_INTERVAL_S / 2


async def _repeat(action: Callable[[], Awaitable[None]]) -> None:
    """Call a function repeatedly; log its errors and continue."""
    while True:
        try:
            await action()
        except Exception:
            log.exception("task_failed", extra={"task": action.__qualname__})
            await asyncio.sleep(1.0)
