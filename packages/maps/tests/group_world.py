"""A whole group in virtual time: its agents, its engine, and links of low bandwidth.

The real `Agent` runs on each instance. Datagrams and the orders that are sent to ranks
on other instances take the time that their bytes need on the links of both instances.
"""

import asyncio
import contextlib
import contextvars
import random
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import NamedTuple

import msgspec
from map_builders import Engine, VirtualLoop

from slatehoist.maps import (
    Agent,
    AgentSettings,
    Answer,
    GroupSpec,
    RankCounts,
    RankReport,
    RankStatus,
    RankUnreachableError,
    Subscription,
)
from slatehoist.maps.placement import initial_placement, skew

PORT = 7000
#: Bytes that a datagram and a request over a new connection need besides their content.
DATAGRAM_OVERHEAD = 42
REQUEST_OVERHEAD = 700
#: Seconds between two instances, and for a request on the same one.
DELAY_S = 0.001
LOCAL_DELAY_S = 0.002
#: Seconds after which a query or an order to a rank that does not answer is given up,
#: and the same for an order to the rank on the own instance.
UNREACHABLE_S = 0.25
LOCAL_ORDER_TIMEOUT_S = 0.02
#: Seconds between passes.
PASS_S = 0.06
#: Counts that the requests of one rank add to each set in one pass.
COUNTS_PER_PASS = 600


class GroupSize(NamedTuple):
    """Dimensions of a simulated group, and properties of its instances.

    Attributes
    ----------
    link_mbps : float
        Bandwidth of each instance's link.
    handling_s : float
        Time in which an instance handles one message.
    """

    ranks: int
    sets: int
    experts: int
    places: int
    link_mbps: float
    spare: int = 2
    copy_s: float = 0.038
    handling_s: float = 0.0
    slots: int = 0


class _Link:
    """Link of an instance; messages follow each other in each direction."""

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * 1e6 / 8
        self.sent_until = 0.0
        self.received_until = 0.0
        self.bytes_sent = 0

    def send(self, size: int, now: float) -> float:
        """Return the time at which a message has left the instance."""
        self.bytes_sent += size
        self.sent_until = max(now, self.sent_until) + size / self._bytes_per_s
        return self.sent_until

    def receive(self, size: int, at: float) -> float:
        """Return the time at which a message has arrived at the instance."""
        self.received_until = max(at, self.received_until) + size / self._bytes_per_s
        return self.received_until


class _Transport(asyncio.DatagramTransport):
    def __init__(self, world: "GroupWorld", host: str) -> None:
        super().__init__()
        self._world = world
        self._host = host

    def sendto(self, data, addr=None) -> None:
        self._world.send_datagram(self._host, addr[0], data)

    def close(self) -> None:
        self._world.sockets.pop(self._host, None)


#: Rank whose agent runs the current task; None for others.
_agent_rank: contextvars.ContextVar[int | None] = contextvars.ContextVar(
    "agent_rank", default=None
)


class _WorldLoop(VirtualLoop):
    def __init__(self) -> None:
        super().__init__()
        self.world: GroupWorld | None = None
        #: Tasks of the agents by rank.
        self.agent_tasks: defaultdict[int | None, set[asyncio.Task]] = defaultdict(set)
        self.set_task_factory(self._make_task)

    def _make_task(self, loop, coro: Coroutine, **fields) -> asyncio.Task:
        task = asyncio.Task(coro, loop=loop, **fields)
        self.agent_tasks[_agent_rank.get()].add(task)
        return task

    async def create_datagram_endpoint(self, protocol_factory, local_addr=None, **_):
        protocol = protocol_factory()
        transport = _Transport(self.world, local_addr[0])
        self.world.sockets[local_addr[0]] = protocol
        protocol.connection_made(transport)
        return transport, protocol


class _Engine(Engine):
    """Engine whose ranks copy experts, and count those that passes choose."""

    def __init__(self, size: GroupSize) -> None:
        super().__init__(size.ranks)
        self._dims = size
        placement = initial_placement(size.sets, size.ranks, size.experts)
        #: Map of each version, and the one that each rank has for it.
        self.placements = {0: placement}
        self.rank_maps = [{0: placement} for _ in range(size.ranks)]
        #: Maps that ranks were ordered to prepare, by version.
        self.ordered_maps: defaultdict[int, list] = defaultdict(list)
        #: Newest version that each rank has been sent.
        self._newest = [0] * size.ranks
        self.counts = [[0] * (size.sets * size.experts) for _ in range(size.ranks)]
        self.prepares = 0
        #: Time at which the first rank began to prepare a version.
        self.prepared_from: dict[int, float] = {}

    def begin_pass(self, now: float) -> None:
        """Begin the next pass; maps of one version may differ in content, too."""
        step = self.step
        super().begin_pass(now)
        maps = [
            known[version]
            for known, version in zip(self.rank_maps, self.maps, strict=True)
        ]
        if self.step != step and any(other != maps[0] for other in maps):
            self.violations.append((self.step, list(self.maps)))

    def _prepare(self, rank: int, version: int, placement) -> Answer:
        if placement not in self.ordered_maps[version]:
            self.ordered_maps[version].append(placement)
        is_copying = self.prepared[rank] is None and version <= self._newest[rank]
        answer = super()._prepare(rank, version, placement)
        if is_copying or answer is not Answer.BEGUN:
            return Answer.REFUSED if is_copying else answer
        self._newest[rank] = version
        self.rank_maps[rank][version] = placement
        self.prepares += 1
        now = asyncio.get_running_loop().time()
        self.prepared_from.setdefault(version, now)
        self.placements[version] = placement
        self.prepared[rank] = None
        before = self.rank_maps[rank][self.maps[rank]]
        copies = sum(
            len(set(new[rank]) - set(old[rank]))
            for old, new in zip(before, placement, strict=True)
        )
        asyncio.get_running_loop().call_later(
            copies * self._dims.copy_s, self._end_copies, rank, version
        )
        return answer

    def _end_copies(self, rank: int, version: int) -> None:
        if (self.prepared[rank] or 0) < version:
            self.prepared[rank] = version


class _Client:
    """Client of one rank, used by the agent of a host."""

    def __init__(self, world: "GroupWorld", host: str, rank: int) -> None:
        self._world = world
        self._host = host
        self._rank = rank

    async def _exchange(self, request_bytes: int, answer_bytes: int) -> None:
        await self._world.exchange(
            self._host, self._world.host(self._rank), request_bytes, answer_bytes
        )

    async def report(self):
        await self._query(0, 300)
        return self._world.report(self._rank)

    async def _query(self, request_bytes: int, answer_bytes: int) -> None:
        if self._world.is_cut_off(self._host, self._world.host(self._rank)):
            await asyncio.sleep(UNREACHABLE_S)
            raise RankUnreachableError(f"rank {self._rank} is cut off")
        await self._exchange(request_bytes, answer_bytes)
        await self._world.wait_while_frozen(self._host)

    async def counts(self):
        await self._query(0, 10_000)
        engine = self._world.engine
        return RankCounts(engine.epoch, engine.step, list(engine.counts[self._rank]))

    async def experts(self):
        await self._query(0, 400)
        version = self._world.engine.maps[self._rank]
        placement = self._world.engine.rank_maps[self._rank][version]
        return version, [list(ranks[self._rank]) for ranks in placement]

    async def prepare(self, epoch, version, placement):
        size = len(msgspec.json.encode(placement))
        return await self._order("prepare", size, epoch, version, placement)

    async def arm(self, epoch, version, step):
        return await self._order("arm", 60, epoch, version, step)

    async def disarm(self, epoch, version):
        return await self._order("disarm", 60, epoch, version)

    async def hold(self, epoch, step):
        return await self._order("hold", 60, epoch, step)

    async def release(self, epoch, step):
        return await self._order("release", 60, epoch, step)

    async def _order(self, order, size, epoch, *args):
        if self._world.is_cut_off(self._host, self._world.host(self._rank)):
            await asyncio.sleep(UNREACHABLE_S)
            return Answer.UNKNOWN
        await self._exchange(size, 40)
        is_local = self._world.host(self._rank) == self._host
        if not is_local:
            self._world.remote_orders += 1
        delay_s = self._world.lateness(self._rank, order, args)
        if delay_s is None:
            answer = self._world.carry_out(self._rank, order, epoch, args)
            await self._world.wait_while_frozen(self._host)
            return answer
        asyncio.get_running_loop().call_later(
            delay_s, self._world.carry_out, self._rank, order, epoch, args
        )
        await asyncio.sleep(LOCAL_ORDER_TIMEOUT_S if is_local else UNREACHABLE_S)
        return Answer.UNKNOWN


class UnreachableRank:
    """Client of a rank whose address is not known."""

    async def report(self):
        raise RankUnreachableError("no address")

    counts = experts = report

    async def prepare(self, *args):
        return Answer.UNKNOWN

    arm = disarm = hold = release = prepare


class Subscriber(asyncio.DatagramProtocol):
    """Gateway that subscribes to the agents of a group.

    Attributes
    ----------
    statuses : list of tuple
        Time, host of the agent and status of each that was received.
    """

    def __init__(self, world: "GroupWorld", host: str, demand: float) -> None:
        self.statuses: list[tuple[float, str, RankStatus]] = []
        self._world = world
        self._host = host
        self._demand = demand
        self._decoder = msgspec.msgpack.Decoder(RankStatus)
        world.links[host] = _Link(1000.0)

    def subscribe(self) -> None:
        """Subscribe to the agents of all ranks."""
        self._world.sockets[self._host] = self
        data = msgspec.msgpack.encode(Subscription(self._host, self._demand))
        for rank in range(self._world.size.ranks):
            self._world.send_datagram(self._host, self._world.host(rank), data)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Record a status, and ignore the heartbeats of agents that know no ranks."""
        now = asyncio.get_running_loop().time()
        with contextlib.suppress(msgspec.DecodeError):
            self.statuses.append((now, addr[0], self._decoder.decode(data)))


class GroupWorld:
    """Agents of one group and its engine, in virtual time.

    Parameters
    ----------
    shift_s : float
        Seconds after which other experts are in demand.
    """

    def __init__(self, size: GroupSize, shift_s: float, seed: int = 1) -> None:
        self.size = size
        self.engine = _Engine(size)
        self.sockets: dict[str, asyncio.DatagramProtocol] = {}
        self.links = {
            self.host(rank): _Link(size.link_mbps) for rank in range(size.ranks)
        }
        #: Agents that were started, each of which draws differently.
        self._starts = 0
        self.remote_orders = 0
        self.list_reads = 0
        #: Called after each order with the rank, the order and the answer.
        self.on_order: Callable[[int, str, Answer], None] = lambda *order: None
        #: Called with the rank, the order and its arguments before each order; returns
        #: the seconds after which it is carried out without an answer, or None.
        self.lateness: Callable[[int, str, tuple], float | None] = lambda *order: None
        #: Hosts whose agents neither send nor receive, and calls at given times, in
        #: order.
        self.stopped_hosts: set[str] = set()
        #: Hosts whose ranks, too, neither send nor receive.
        self.cut_off_hosts: set[str] = set()
        self.events: list[tuple[float, object]] = []
        #: Times and skews of the passes.
        self.passes: list[tuple[float, float]] = []
        #: Passes that were due while they were held.
        self.held_passes = 0
        #: Times until which the agents of hosts stand still.
        self.frozen_until: dict[str, float] = {}
        #: Times until which the instances handle the messages that they have received.
        self._busy_until: dict[str, float] = {}
        #: Times from which the group used a version.
        self.used_from: dict[int, float] = {}
        self._rng = random.Random(seed)
        self._shift_s = shift_s
        self._shifted_at = 0.0
        self.demand = self._draw_demand()

    def host(self, rank: int) -> str:
        """Return the host of a rank and its agent."""
        return f"10.0.{rank // 200}.{rank % 200 + 1}"

    def _draw_demand(self) -> list[list[float]]:
        shares = [(index + 1) ** -1.3 for index in range(self.size.experts)]
        total = sum(shares)
        return [
            [share / total for share in self._rng.sample(shares, self.size.experts)]
            for _ in range(self.size.sets)
        ]

    def run(self, seconds: float) -> None:
        """Run the group for some seconds of virtual time."""
        loop = _WorldLoop()
        loop.world = self
        try:
            loop.run_until_complete(self._main(seconds))
        finally:
            loop.close()

    async def _main(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._stopping = [asyncio.Event() for _ in range(self.size.ranks)]
        self.agents: list[Agent] = [None] * self.size.ranks
        self._runs: list[asyncio.Task] = [None] * self.size.ranks
        for rank in range(self.size.ranks):
            self.start_agent(rank)
        for at, event in self.events:
            loop.call_at(at, event)
        passes = asyncio.create_task(self._run_passes())
        await asyncio.sleep(seconds)
        for stopping in self._stopping:
            stopping.set()
        await asyncio.gather(*self._runs, return_exceptions=True)
        passes.cancel()

    def start_agent(self, rank: int) -> None:
        """Start the agent of a rank, which knows nothing of the one before."""
        loop = asyncio.get_running_loop()
        agent = self.agents[rank] = self._agent(rank, loop.time)
        stopping = self._stopping[rank] = asyncio.Event()
        token = _agent_rank.set(rank)
        self._runs[rank] = asyncio.create_task(agent.run(stopping))
        _agent_rank.reset(token)

    def kill_agents(self) -> None:
        """Kill all agents; orders that have not reached a rank are lost."""
        for rank in range(self.size.ranks):
            self.kill_agent(rank)

    def kill_agent(self, rank: int) -> None:
        """Kill the agent of a rank."""
        self.sockets.pop(self.host(rank), None)
        for task in asyncio.get_running_loop().agent_tasks.pop(rank, set()):
            task.cancel()

    def stop_agent(self, rank: int) -> None:
        """Let the agent of a rank end as it does after SIGTERM."""
        self._stopping[rank].set()

    def report(self, rank: int) -> RankReport:
        """Return the report of a rank, which has requests unless the group is idle."""
        is_idle = asyncio.get_running_loop().time() < self.engine.idle_until
        return self.engine.reports()[rank]._replace(running=int(not is_idle))

    def carry_out(self, rank: int, order: str, epoch: int, args: tuple) -> Answer:
        """Let a rank carry out an order."""
        answer = self.engine.carry_out(rank, order, epoch, args)
        self.on_order(rank, order, answer)
        return answer

    def is_cut_off(self, source: str, target: str) -> bool:
        """Return True if one of two different hosts has no network."""
        return source != target and not self.cut_off_hosts.isdisjoint((source, target))

    def _agent(self, rank: int, clock) -> Agent:
        host = self.host(rank)
        cfg = AgentSettings(
            listen=(host, PORT),
            rank_address=f"{host}:8000",
            link_mbps=self.size.link_mbps,
        )
        ranks = {f"{self.host(r)}:8000": r for r in range(self.size.ranks)}

        def connect(address: str | None) -> _Client | UnreachableRank:
            if address is None:
                return UnreachableRank()
            return _Client(self, host, ranks[address])

        self._starts += 1
        return Agent(cfg, self, connect, clock, random.Random(self._starts))

    async def group_spec(self):
        """Return the dimensions of the group; see `GroupSource`."""
        size = self.size
        return GroupSpec(
            size.sets, size.experts, size.places, size.spare, size.copy_s, size.slots
        )

    async def peer_addresses(self):
        """Return the addresses of all servers; see `GroupSource`."""
        self.list_reads += 1
        return [f"{host}:8000" for host in self.links]

    async def _run_passes(self) -> None:
        loop = asyncio.get_running_loop()
        engine = self.engine
        while True:
            await asyncio.sleep(PASS_S)
            now = loop.time()
            self.held_passes += engine.step + 1 in engine.held
            if now - self._shifted_at >= self._shift_s:
                self.demand = self._draw_demand()
                self._shifted_at = now
            step = engine.step
            engine.begin_pass(now)
            if engine.step == step:
                continue
            counts = [round(d * COUNTS_PER_PASS) for ds in self.demand for d in ds]
            entries = [(i, count) for i, count in enumerate(counts) if count]
            for own in engine.counts:
                for index, count in entries:
                    own[index] += count
            version = engine.maps[0]
            if version and version not in self.used_from:
                self.used_from[version] = now
            placement = engine.placements[version]
            self.passes.append((now, skew(placement, self.demand)))

    def send_datagram(self, source: str, target: str, data: bytes) -> None:
        """Deliver a datagram after the time that it takes on both links."""
        if target not in self.links or source in self.stopped_hosts:
            return
        if self.is_cut_off(source, target):
            return
        loop = asyncio.get_running_loop()
        if self._is_frozen(source):
            thaws_at = self.frozen_until[source]
            loop.call_at(thaws_at, self.send_datagram, source, target, data)
            return
        size = len(data) + DATAGRAM_OVERHEAD
        sent_at = self.links[source].send(size, loop.time())
        arrives_at = self.links[target].receive(size, sent_at + DELAY_S)
        handled_at = max(arrives_at, self._busy_until.get(target, 0.0))
        handled_at += self.size.handling_s
        self._busy_until[target] = handled_at
        loop.call_at(handled_at, self._deliver, source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        if self._is_frozen(target):
            thaws_at = self.frozen_until[target]
            loop.call_at(thaws_at, self._deliver, source, target, data)
            return
        protocol = self.sockets.get(target)
        if self.is_cut_off(source, target):
            return
        if protocol is not None and target not in self.stopped_hosts:
            protocol.datagram_received(data, (source, PORT))

    async def exchange(
        self, source: str, target: str, request_bytes: int, answer_bytes: int
    ) -> None:
        """Wait for the time that a request and its answer take."""
        loop = asyncio.get_running_loop()
        await self.wait_while_frozen(source)
        if source == target:
            await asyncio.sleep(LOCAL_DELAY_S)
            return
        size = request_bytes + REQUEST_OVERHEAD
        sent_at = self.links[source].send(size, loop.time())
        arrives_at = self.links[target].receive(size, sent_at + DELAY_S)
        await asyncio.sleep(arrives_at + DELAY_S - loop.time())

    async def wait_while_frozen(self, host: str) -> None:
        """Wait until the agent of a host goes on."""
        loop = asyncio.get_running_loop()
        while self._is_frozen(host):
            await asyncio.sleep(self.frozen_until[host] - loop.time())

    def _is_frozen(self, host: str) -> bool:
        """Return True if the agent of a host stands still for longer than a rounding.

        A call at a given time may run earlier by the resolution of the loop's clock.
        """
        now = asyncio.get_running_loop().time()
        return self.frozen_until.get(host, 0.0) - now > 1e-6
