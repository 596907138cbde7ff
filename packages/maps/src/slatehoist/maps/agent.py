"""Agent of one rank: sends the rank's state, and coordinates the group if it leads.

An agent considers the lowest rank with recent heartbeats the leader. This is no leader
election with consensus: two agents may lead at the same time, for example while
heartbeats are lost. This is safe, since the engines refuse orders of one switch that
conflict with the other (see `switch`).
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from slatehoist.maps.coordinator import Coordinator, PlanSettings
from slatehoist.maps.demand import DemandWindow, from_pairs, to_pairs
from slatehoist.maps.grants import Grants
from slatehoist.maps.peers import (
    Address,
    GrantRequest,
    GrantResponse,
    Group,
    Message,
    PeerSocket,
    PeerState,
    agent_address,
    make_state,
)
from slatehoist.maps.rank import (
    GroupSpec,
    RankClient,
    RankReport,
    RankUnreachableError,
)
from slatehoist.maps.status import SUBSCRIPTION_TTL_S, RankStatus
from slatehoist.observe import AgentMetrics, serve_metrics
from slatehoist.storage import PlatformError

log = logging.getLogger(__name__)

#: HTTP path at which the metrics are served.
METRICS_PATH = "/metrics"
#: Seconds between polls of the own rank. A pass takes 50 ms and more, and the end of a
#: copy should be known well before the next copy ends.
POLL_INTERVAL_S = 0.04
#: Polls per reading of the counts: about one pass.
POLLS_PER_COUNTS = 2
#: Maximum number of counts that are sent in full: they fit one packet of a usual
#: network. If a group has more, only the larger ones are sent, since large deployments
#: have links of low bandwidth.
MAX_DENSE_COUNTS = 512
#: Polls per heartbeat to the whole group.
POLLS_PER_HEARTBEAT = 6
#: Polls per status to the gateways.
POLLS_PER_STATUS = 3
#: Seconds between cycles of the coordinator: about one pass.
COORDINATE_INTERVAL_S = 0.06
#: Seconds between reads of the list of peers, while ranks of the group are missing and
#: when it is complete. Each read is a billed call to the store.
PEERS_RETRY_INTERVAL_S = 1.0
PEERS_REFRESH_INTERVAL_S = 15.0
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
    """

    listen: tuple[str, int]
    rank_address: str
    plan: PlanSettings = PlanSettings()
    metrics_listen: tuple[str, int] | None = None


class GroupSource(Protocol):
    """Reads the configuration of the own service from the store."""

    async def group_spec(self) -> GroupSpec | None:
        """Return the dimensions of the own service's groups, or None without groups."""

    async def peer_hosts(self) -> list[str]:
        """Return the hosts of the own service's servers."""


class Agent:
    """Agent of the rank on this instance.

    It polls the rank, exchanges states with the agents of the other ranks, sends the
    status to gateways, and runs the coordinator while it leads the group.

    Parameters
    ----------
    connect : callable
        Returns the client of the rank at an address.
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
        self._own_client = connect(cfg.rank_address)
        self._clients: dict[str, RankClient] = {cfg.rank_address: self._own_client}
        self._group = Group(clock)
        #: State of the own rank; None while the rank is unreachable.
        self._state: PeerState | None = None
        #: Epoch, map version and the own rank's experts by set.
        self._experts: tuple[int, int, list[list[int]]] | None = None
        #: Epoch and counts of the last reading.
        self._counts: tuple[int, list[int]] | None = None
        self._hosts: list[str] = []
        self._demand: DemandWindow | None = None
        #: Times at which the subscriptions of the gateways expire, by address.
        self._subscribers: dict[Address, float] = {}
        self._grants = Grants(self._own_client, self._group, self._send, clock)
        self._coordinator: Coordinator | None = None
        self._leads = False
        self._in_cycle = False
        self._metrics = AgentMetrics()
        self._demand_at = clock()
        self._stopping = False
        self._polls = 0

    async def run(self, stopping: asyncio.Event) -> None:
        """Run until `stopping` is set.

        If a coordinator cycle is in progress then, it may continue for
        `STOP_TIMEOUT_S`, so that its switch can end.
        """
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
        pollers = [
            asyncio.create_task(_repeat(action, interval_s))
            for action, interval_s in (
                (self._poll, POLL_INTERVAL_S),
                (self._follow_peers, 0.0),
            )
        ]
        coordinator = asyncio.create_task(
            _repeat(self._coordinate, COORDINATE_INTERVAL_S)
        )
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

    async def _poll(self) -> None:
        """Request the state of the own rank, and send it to agents and gateways."""
        try:
            report = await self._own_client.report()
            experts = await self._own_experts(report)
            counts = []
            if self._polls % POLLS_PER_COUNTS == 0:
                counts = await self._new_counts()
        except RankUnreachableError as exc:
            if self._state is not None:
                log.warning("rank_lost", extra={"why": str(exc)})
            self._state = None
            return
        if self._state is None:
            log.info("rank_found", extra={"group": report.group, "rank": report.rank})
        self._polls += 1
        self._state = make_state(self._cfg.rank_address, report, experts)
        now = self._clock()
        known = self._group.report(report.rank)
        self._group.record_heartbeat(self._state, now)
        changed = known is None or _switch_state(known) != _switch_state(report)
        self._publish_state(counts, changed, now)
        if self._polls % POLLS_PER_STATUS == 0:
            self._publish_status(now)

    def _publish_state(self, counts: list[int], changed: bool, now: float) -> None:
        """Send the own state to the leader and, as a heartbeat, to all other agents.

        The leader gets it at once if there are new counts, or if a field has changed
        for which a coordinator waits. If this agent leads, it adds its counts to
        the estimate instead.
        """
        leader = self._group.leader(now)
        if leader == self._state.rank:
            self._add_demand(counts, now)
        elif (counts or changed) and leader is not None:
            state = _with_counts(self._state, self._encode_counts(counts))
            self._socket.send(
                state, self._agent_addresses([self._group.address(leader)])
            )
        if self._polls % POLLS_PER_HEARTBEAT == 0:
            self._socket.send(self._state, self._peer_addresses(now))

    def _peer_addresses(self, now: float) -> list[tuple[str, int]]:
        """Return the addresses of the other agents of the group.

        While ranks of the group are missing, return those of all hosts of the
        service.
        """
        states = self._group.fresh_states(now)
        own_host = self._cfg.listen[0]
        if states and len(states) == self._group.size:
            return self._agent_addresses(
                [s.address for s in states if s.rank != self._state.rank]
            )
        port = self._cfg.listen[1]
        return [(host, port) for host in self._hosts if host != own_host]

    def _agent_addresses(self, addresses: list[str]) -> list[tuple[str, int]]:
        port = self._cfg.listen[1]
        return [agent_address(address, port) for address in addresses]

    def _on_message(self, message: Message, sender: Address) -> None:
        match message:
            case PeerState():
                self._on_state(message)
            case GrantRequest() | GrantResponse():
                self._grants.handle_message(message, sender)
            case _:
                self._on_subscription(sender)

    def _on_state(self, state: PeerState) -> None:
        own = self._state
        if own is None or state.group != own.group or state.rank == own.rank:
            return
        now = self._clock()
        self._group.record_heartbeat(state, now)
        if state.counts and self._demand is not None:
            counts = state.counts
            if self._demand.size > MAX_DENSE_COUNTS:
                counts = from_pairs(counts, self._demand.size)
            self._add_demand(counts, now)

    def _on_subscription(self, address: Address) -> None:
        self._subscribers[address] = self._clock() + SUBSCRIPTION_TTL_S

    def _publish_status(self, now: float) -> None:
        """Send the status of the own rank to the gateways that subscribe to it."""
        for address, expires_at in list(self._subscribers.items()):
            if expires_at < now:
                del self._subscribers[address]
        state = self._state
        status = RankStatus(
            state.address, state.is_open, state.running, state.waiting, state.pace
        )
        self._socket.send(status, list(self._subscribers))

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
        """Refresh the list of hosts on which agents may run, then sleep.

        Create the coordinator once the dimensions of the groups are known.
        """
        try:
            if self._coordinator is None:
                self._create_coordinator(await self._source.group_spec())
            self._hosts = await self._source.peer_hosts()
        except PlatformError as exc:
            log.warning("peers_not_refreshed", extra={"why": str(exc)})
        complete = self._coordinator is not None and 0 < self._group.size == len(
            self._group.fresh_states(self._clock())
        )
        await asyncio.sleep(
            PEERS_REFRESH_INTERVAL_S if complete else PEERS_RETRY_INTERVAL_S
        )

    def _create_coordinator(self, spec: GroupSpec | None) -> None:
        if spec is None:
            return
        self._demand = DemandWindow(spec.sets, spec.experts)
        self._coordinator = Coordinator(
            self._cfg.plan,
            spec,
            self._group,
            self._demand,
            self._grants,
            self._cfg.listen[1],
            self._client,
            self._metrics,
            self._clock,
        )

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
        self._socket.send(message, [address])

    def _client(self, address: str) -> RankClient:
        if address not in self._clients:
            self._clients[address] = self._connect(address)
        return self._clients[address]


def _switch_state(report: RankReport) -> tuple:
    """Return the fields of a report whose change a coordinator waits for."""
    return report.epoch, report.map_version, report.prepared, report.armed, report.held


def _with_counts(state: PeerState, counts: list[int]) -> PeerState:
    fields = {name: getattr(state, name) for name in state.__struct_fields__}
    return PeerState(**{**fields, "counts": counts})


async def _repeat(action: Callable[[], Awaitable[None]], interval_s: float) -> None:
    """Call a function repeatedly; log its errors and continue."""
    while True:
        try:
            await action()
        except Exception:
            log.exception("task_failed", extra={"task": action.__qualname__})
            await asyncio.sleep(1.0)
        await asyncio.sleep(interval_s)
