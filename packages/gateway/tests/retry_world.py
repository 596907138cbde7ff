"""Gateways that retry requests of one service, in simulated time and without a network.

The gateways run the production code of attempts, retries and the registry of instances.
The servers form one group, as ranks do: while one of them is down, all others fail what
they get. Only their HTTP client, the store and the callers are simulated.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import NamedTuple

from gateway_builders import make_endpoint, make_engine, make_route
from gateway_fleet import GatewayTable, SharedTable, SimulatedCodec, SimulatedReply

from slatehoist.gateway import (
    EndpointDirectory,
    GatewaySettings,
    Kind,
    RequestInfo,
    Service,
)
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.exchange import Exchange
from slatehoist.gateway.forwarding import make_forwarder
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.probes import EndpointProbes
from slatehoist.gateway.registry import GATEWAYS, InstanceRegistry
from slatehoist.gateway.settings import REGISTRY_POLL_S, STORE_RETRY_S
from slatehoist.gateway.upstream import BrokenReplyError, UpstreamRequest
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import CrashTally, LoadAwareChooser, Membership
from slatehoist.storage import StoreDownError, Write

#: The users' rule on arrivals at a service beyond the first of each request: in a
#: window of `WINDOW_S`, at most `RATIO` times its requests, and `ALLOWANCE` more.
WINDOW_S = 10.0
RATIO = 0.2
ALLOWANCE = 130.0
#: Seconds between two windows that are checked.
WINDOW_STEP_S = 0.1

DEADLINE_S = 8.0
#: Seconds for which a server runs a request, and for which ranks wait for one that is
#: down before they fail their requests.
RUN_S = 2.5
STALL_S = 1.5
#: Seconds from the return of the last rank until the group is open.
FORM_S = 0.6
STATUS_INTERVAL_S = 0.1
_REQUEST_ID = "Request-Id"
_LONG_AGO = -1000.0


class Excess(NamedTuple):
    """Window with more arrivals beyond the first of each request than are allowed."""

    start: float
    repeats: int
    allowed: float


class RankGroup:
    """Servers of the service, which fail together.

    Attributes
    ----------
    down_until : float
        Time until which a rank is down, so that the group runs nothing.
    has_statuses : bool
        False while the gateways get no statuses of the ranks.
    shed_ratio : float
        Fraction of the requests that servers reject although the group is open.
    arrivals : dict of str to list of float
        Times at which each request arrived at a server.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.down_until = float("-inf")
        self.has_statuses = True
        self.shed_ratio = 0.0
        self.arrivals: defaultdict[str, list[float]] = defaultdict(list)
        self._broken = asyncio.Event()
        self._break_at = float("-inf")

    def break_down(self, for_s: float) -> None:
        """Take a rank down for some seconds."""
        self._break_at = asyncio.get_running_loop().time()
        self.down_until = self._break_at + for_s
        self._broken.set()
        self._broken = asyncio.Event()

    def is_open(self, now: float) -> bool:
        return now >= self.down_until + FORM_S

    def is_complete(self, now: float) -> bool:
        """Return True if all ranks are up, so that each sends its status."""
        return now >= self.down_until

    async def serve(self, request_id: str) -> SimulatedReply:
        """Run a request, or fail it if the group is broken or breaks meanwhile."""
        now = asyncio.get_running_loop().time()
        self.arrivals[request_id].append(now)
        if self._rng.random() < self.shed_ratio:
            return SimulatedReply(status=503)
        if self.is_open(now):
            try:
                async with asyncio.timeout(RUN_S):
                    await self._broken.wait()
            except TimeoutError:
                return SimulatedReply()
        now = asyncio.get_running_loop().time()
        fails_at = max(self._break_at + STALL_S, now)
        await asyncio.sleep(fails_at - now)
        return SimulatedReply(status=503)


class RetryUpstream:
    """HTTP client of one gateway."""

    def __init__(self, world: "RetryWorld", gateway: "RetryGateway") -> None:
        self._world = world
        self._gateway = gateway

    async def send(self, req: UpstreamRequest) -> SimulatedReply:
        await asyncio.sleep(self._world.connect_s)
        loop = asyncio.get_running_loop()
        # What is sent into a link that is cut arrives when it is sound again.
        await asyncio.sleep(max(0.0, self._gateway.link_cut_until - loop.time()))
        if not self._gateway.is_up:
            raise BrokenReplyError("the gateway was killed")
        return await self._world.group.serve(req.headers[_REQUEST_ID])

    async def probe(self, address: str) -> None:
        pass


class RetryGateway:
    """One process of a gateway.

    Attributes
    ----------
    cut_off : bool
        True while the process does not reach the store.
    link_cut_until : float
        Time until which requests to servers are under way.
    """

    def __init__(self, name: str, world: "RetryWorld", seed: int) -> None:
        self.name = name
        self.is_up = True
        self.cut_off = False
        self.link_cut_until = _LONG_AGO
        self._world = world
        clock = world.clock
        metrics = self.metrics = GatewayMetrics()
        self.health = EndpointHealth()
        cfg = GatewaySettings(
            name,
            "a",
            "",
            "",
            retry_ratio=RATIO,
            retry_allowance=ALLOWANCE,
            retry_window_s=WINDOW_S,
        )
        table = GatewayTable(world.table, self)
        tally = CrashTally()
        crashes = CrashReports(
            table, name, cfg.row_ttl_s, cfg.crash_poll_s, tally, metrics, clock
        )
        directory = EndpointDirectory(cfg.endpoint_relist_s)
        directory.update(world.endpoints, clock())
        upstream = RetryUpstream(world, self)
        self.forwarder = make_forwarder(
            cfg,
            SimulatedCodec(),
            directory,
            self.health,
            EvacuationState(cfg.max_zones_age_s, directory, metrics, clock),
            upstream,
            LoadAwareChooser(random.Random(seed)),
            tally,
            crashes,
            EndpointProbes(upstream.probe, crashes, clock),
            lambda service: None,
            metrics,
            clock,
        )
        self._registry = InstanceRegistry(
            table, name, self.forwarder.record_membership, clock
        )
        self._requests: set[asyncio.Task] = set()
        #: Requests that ended without an answer of a server, and those with one.
        self.answers = [0, 0]
        self._polling = asyncio.create_task(self._poll())

    async def _poll(self) -> None:
        """Count the gateways; they do not all poll at the same time."""
        await asyncio.sleep(self._world.rng.random())
        while True:
            try:
                await self._registry.refresh()
                await asyncio.sleep(REGISTRY_POLL_S)
            except StoreDownError:
                await asyncio.sleep(STORE_RETRY_S)

    def count_as(self, names: Iterable[str]) -> None:
        """Record a count of the gateways, all of which joined long ago."""
        names = tuple(names)
        membership = Membership(len(names), _LONG_AGO, _LONG_AGO, names)
        self.forwarder.record_membership(membership)

    def send(self, request_id: str) -> None:
        """Begin to handle a caller's request."""
        now = self._world.clock()
        req = SimpleNamespace(
            method="POST", raw_path="/a/x", headers={_REQUEST_ID: request_id}
        )
        exchange = Exchange(
            req,
            b"",
            RequestInfo("id", DEADLINE_S, "key", ""),
            self._world.route,
            self._world.service,
            "t",
            now,
            now + DEADLINE_S,
        )
        task = asyncio.create_task(self.forwarder.forward(exchange))
        self._requests.add(task)
        task.add_done_callback(self._record_end)

    def _record_end(self, task: asyncio.Task) -> None:
        self._requests.discard(task)
        if not task.cancelled():
            self.answers[task.result() is not None] += 1

    def observe_statuses(self, now: float) -> None:
        """Record a status of each rank that sends one."""
        group = self._world.group
        if not group.has_statuses:
            return
        ranks = self._world.endpoints
        if not group.is_complete(now):
            ranks = ranks[1:]
        for rank in ranks:
            self.health.observe_status(rank.endpoint_id, group.is_open(now), 1.0, now)

    def count_reserved(self) -> int:
        """Return the retries that the process has reserved and not sent."""
        return sum(budget.reserved for budget in self.forwarder._budgets.values())

    def kill(self) -> None:
        """End the process; what it has sent and what has not arrived is lost."""
        self.is_up = False
        self._polling.cancel()
        for task in self._requests:
            task.cancel()


class RetryWorld:
    """Gateways, servers and callers of one service; call it in a simulated loop.

    Parameters
    ----------
    per_s : float
        Requests per second of all callers together.
    kind : Kind
        Kind of the requests; those that are safe may be retried while they run.
    """

    def __init__(
        self,
        servers: int = 72,
        gateways: int = 16,
        per_s: float = 140.0,
        seed: int = 1,
        kind: Kind = Kind.UNSAFE,
    ) -> None:
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.table = SharedTable()
        self.endpoints = [
            make_endpoint(f"e{n}", address=f"10.0.0.{n}:80", concurrency=10)
            for n in range(servers)
        ]
        self.service = Service("app", make_engine())
        self.route = make_route(kind=kind, timeout_s=DEADLINE_S, objective_s=0.4)
        self.group = RankGroup(self.rng)
        #: Seconds that a connect to a server takes.
        self.connect_s = 0.0
        self.sent_at: list[float] = []
        #: All processes of gateways that were started.
        self.processes: list[RetryGateway] = []
        self._tasks: list[asyncio.Task] = []
        self.gateways = [self._start(f"gateway-{n}") for n in range(gateways)]

    def clock(self) -> float:
        return asyncio.get_running_loop().time()

    def _start(self, name: str) -> RetryGateway:
        gateway = RetryGateway(name, self, len(self.processes) + 1)
        self.processes.append(gateway)
        return gateway

    async def run(self, events: list[tuple[float, Callable[[], None]]]) -> None:
        """Send requests until the last event, and call each event at its time."""
        names = [gateway.name for gateway in self.gateways]
        for name in names:
            row = {"renewals": 0, "joined_at": _LONG_AGO, "started_at": _LONG_AGO}
            await self.table.transact([], [_write(name, row)])
        for gateway in self.gateways:
            gateway.count_as(names)
        self._tasks = [
            asyncio.create_task(self._send_requests()),
            asyncio.create_task(self._send_statuses()),
        ]
        started_at = self.clock()
        for at, event in sorted(events, key=lambda item: item[0]):
            await asyncio.sleep(max(0.0, started_at + at - self.clock()))
            event()
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.kill()
        await asyncio.sleep(0)

    async def _send_requests(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.per_s))
            self.sent_at.append(self.clock())
            self.rng.choice(self.gateways).send(f"r{len(self.sent_at)}")

    async def _send_statuses(self) -> None:
        while True:
            now = self.clock()
            for gateway in self.gateways:
                gateway.observe_statuses(now)
            await asyncio.sleep(STATUS_INTERVAL_S)

    def restart(self, gateway: RetryGateway) -> None:
        """Kill the process of a gateway, and start another."""
        gateway.kill()
        successor = self._start(gateway.name)
        successor.cut_off = gateway.cut_off
        self.gateways[self.gateways.index(gateway)] = successor

    def add(self, count: int) -> None:
        """Start gateways that the others do not know."""
        first = len(self.gateways)
        self.gateways += [self._start(f"gateway-{first + n}") for n in range(count)]

    def cut_links(self, gateways: Iterable[RetryGateway], for_s: float) -> None:
        """Delay what gateways send to servers until some seconds have passed."""
        for gateway in gateways:
            gateway.link_cut_until = self.clock() + for_s

    def find_excess(self) -> Excess | None:
        """Return the window that is furthest beyond the rule, or None.

        The requests are counted in the window, in the one before it or in the one half
        a window before it, whichever has most.
        """
        repeats = sorted(
            at for arrivals in self.group.arrivals.values() for at in arrivals[1:]
        )
        worst: Excess | None = None
        for start in self._window_starts():
            count = _count(repeats, start)
            requests = max(
                _count(self.sent_at, start - offset)
                for offset in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            excess = Excess(start, count, RATIO * requests + ALLOWANCE)
            margin = excess.allowed - excess.repeats
            if worst is None or margin < worst.allowed - worst.repeats:
                worst = excess
        if worst is None or worst.repeats <= worst.allowed:
            return None
        return worst

    def most_repeats(self) -> int:
        """Return the most arrivals beyond the first of each request in a window."""
        repeats = sorted(
            at for arrivals in self.group.arrivals.values() for at in arrivals[1:]
        )
        return max((_count(repeats, at) for at in self._window_starts()), default=0)

    def _window_starts(self) -> list[float]:
        last = max(self.sent_at, default=0.0)
        return [n * WINDOW_STEP_S for n in range(int(last / WINDOW_STEP_S))]


def _count(times: list[float], start: float) -> int:
    return sum(start <= at < start + WINDOW_S for at in times)


def _write(name: str, value: dict) -> Write:
    return Write(GATEWAYS, name, value)
