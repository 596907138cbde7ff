"""Gateways in front of servers that become cold, without a network and a real clock.

Each gateway runs the production code of the choice, the list of endpoints, the holds,
the cold endpoints and the registry. Requests, servers and the store are simulated.
"""

import random
from collections import deque
from collections.abc import Iterable
from types import SimpleNamespace
from typing import NamedTuple

from gateway_builders import make_endpoint
from gateway_fleet import SharedTable
from rate_world import GatewaysTable

from slatehoist.gateway import Endpoint, EndpointDirectory, ReplyInfo, Service
from slatehoist.gateway.choice import EndpointChoice
from slatehoist.gateway.cold_starts import ColdEndpoints
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.holds import EndpointHolds
from slatehoist.gateway.registry import InstanceRegistry
from slatehoist.gateway.settings import (
    REGISTRY_POLL_S,
    REGISTRY_PROPAGATION_S,
    STORE_RETRY_S,
)
from slatehoist.gateway.sync import EndpointSync
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import (
    ColdStarts,
    LoadAwareChooser,
    Membership,
    Placement,
    RateShares,
)
from slatehoist.storage import StoreDownError

#: Seconds within which gateways act on an evacuation; no zone is evacuated here.
EVACUATION_S = 5.0
#: Seconds of one step of the simulation.
STEP_S = 0.02
#: Seconds between reads of the list, and between heartbeats, which renew the rows.
LIST_POLL_S = 0.8
HEARTBEAT_S = 1.2
#: Seconds between statuses of a server, and their age when a gateway receives them.
STATUS_S = 0.16
STATUS_AGE_S = 0.2
#: Seconds from a request until the head of its response.
HEAD_S = 0.15
#: Seconds for which a request runs: least and most.
RUN_S = (1.4, 2.3)
#: Requests that a server runs at once, and those that it queues.
SLOTS = 5
QUEUE = 20
ZONES = ("a", "b", "c")
#: The users' rule for cold servers.
COLD_S = 3.0
COLD_RATE = 26.0
EXCESS = 1.5
SLACK = 5.0
BOUND = COLD_RATE * EXCESS + SLACK
SERVICE = Service("app", cold_s=COLD_S, cold_rate=COLD_RATE)
_LONG_AGO = -1000.0


class ColdServer:
    """Server that becomes cold; its row shows that with the next heartbeat.

    Attributes
    ----------
    tells : bool
        True if its row and its responses state for how long it stays cold.
    arrivals : list of float
        Times of all requests that reached it.
    refused : int
        Requests that it refused since its queue was full.
    """

    def __init__(self, number: int, zone: str, now: float) -> None:
        self.name = f"e{number}"
        self.zone = zone
        self.tells = True
        self.arrivals: list[float] = []
        self.refused = 0
        #: Spans of time in which it was cold.
        self.cold_spans: list[tuple[float, float]] = []
        self._cold_until = _LONG_AGO
        self._started_at_ms = 1
        self._running: list[float] = []
        self._queue: deque[float] = deque()
        self._reports: deque[tuple[float, int, int]] = deque()
        self._next_heartbeat = now
        self.row: Endpoint
        self.write_row(now)

    @property
    def load(self) -> int:
        """Return the requests that run or wait."""
        return len(self._running) + len(self._queue)

    @property
    def report(self) -> tuple[float, int, int] | None:
        """Return time, running and waiting of the status that gateways have."""
        return self._reports[0] if self._reports else None

    def become_cold(
        self, now: float, restarts: bool = False, loses_work: bool = False
    ) -> None:
        """Become cold; without a restart nothing shows it before the next heartbeat."""
        self._cold_until = now + COLD_S
        self.cold_spans.append((now, self._cold_until))
        if restarts or loses_work:
            self._running, self._queue = [], deque()
        if restarts:
            self._started_at_ms += 1
            self.write_row(now)

    def cold_left_s(self, now: float) -> float:
        return max(0.0, self._cold_until - now) if self.tells else 0.0

    def write_row(self, now: float) -> None:
        """Write the row that the store lists."""
        self.row = make_endpoint(
            self.name,
            address=f"10.0.0.1:{self.name}",
            zone=self.zone,
            concurrency=SLOTS,
            started_at_ms=self._started_at_ms,
            cold_s=self.cold_left_s(now),
        )

    def receive(self, now: float, run_s: float) -> None:
        """Run a request, queue it, or refuse it."""
        self.arrivals.append(now)
        if len(self._running) < SLOTS:
            self._running.append(now + run_s)
        elif len(self._queue) < QUEUE:
            self._queue.append(run_s)
        else:
            self.refused += 1

    def tick(self, now: float) -> None:
        """End requests, begin queued ones, and make statuses and heartbeats."""
        self._running = [end for end in self._running if end > now]
        while self._queue and len(self._running) < SLOTS:
            self._running.append(now + self._queue.popleft())
        if not self._reports or now - self._reports[-1][0] >= STATUS_S:
            self._reports.append((now, len(self._running), len(self._queue)))
        while len(self._reports) > 1 and now - self._reports[1][0] >= STATUS_AGE_S:
            self._reports.popleft()
        if now >= self._next_heartbeat:
            self._next_heartbeat += HEARTBEAT_S
            self.write_row(now)


class _Reply(NamedTuple):
    endpoint: Endpoint
    sent_at: float
    at: float
    cold_s: float


class ColdGateway:
    """Gateway that chooses servers for the requests that it gets."""

    def __init__(self, name: str, world: "ColdWorld", counted: bool) -> None:
        self.name = name
        self.is_up = True
        self._world = world
        self._counted = counted
        number = len(world.gateways)
        rates = RateShares(name, REGISTRY_PROPAGATION_S)
        metrics = GatewayMetrics()
        started_at = _LONG_AGO if counted else world.now
        self.cold = ColdEndpoints(
            ColdStarts(rates, started_at),
            EXCESS,
            SLACK,
            lambda name: world.service,
            metrics,
        )
        self._directory = EndpointDirectory(1.0)
        self._health = EndpointHealth()
        evacuations = EvacuationState(
            EVACUATION_S, self._directory, metrics, world.clock
        )
        self.choice = EndpointChoice(
            ZONES[number % len(ZONES)],
            self._directory,
            self._health,
            EndpointHolds(metrics, rates),
            Placement(evacuations.zones, {}),
            evacuations,
            self.cold,
            LoadAwareChooser(random.Random(number)),
            world.clock,
        )
        crashes = SimpleNamespace(
            record_end=lambda endpoint: None,
            record_restart=lambda old, current: None,
            observe_list=lambda listed, read_at, reliable_since: None,
        )
        self._sync = EndpointSync(
            None,
            self._directory,
            self._health,
            crashes,
            self.cold,
            LIST_POLL_S,
            world.clock,
        )
        self.table = GatewaysTable(world.table, world)
        self._registry = InstanceRegistry(self.table, name, self._count, world.clock)
        self._next_count = world.now
        self._next_list = world.now + world.rng.random() * LIST_POLL_S
        self._read_list()
        self._replies: deque[_Reply] = deque()

    def count_long_ago(self, names: tuple[str, ...]) -> None:
        """Record that all of these gateways have counted each other long ago."""
        self._count(Membership(len(names), _LONG_AGO, _LONG_AGO, names))

    def _count(self, membership: Membership) -> None:
        self.choice.record_membership(membership, self._world.now)

    def _read_list(self) -> None:
        self._sync.apply(self._world.rows(), self._world.now)

    async def tick(self) -> None:
        """Process the responses that arrived, read the list and count the gateways."""
        now = self._world.now
        while self._replies and self._replies[0].at <= now:
            reply = self._replies.popleft()
            info = ReplyInfo("id", False, False, True, cold_s=reply.cold_s)
            self.cold.record_reply(
                self._world.service, reply.endpoint, info, now, reply.sent_at
            )
        if self.table.is_cut:
            self._directory.record_outage()
        elif now >= self._next_list:
            self._next_list += LIST_POLL_S
            self._read_list()
        if not self._counted and now >= self._next_count:
            try:
                await self._registry.refresh()
                self._next_count = now + REGISTRY_POLL_S
            except StoreDownError:
                self._next_count = now + STORE_RETRY_S

    def handle(self) -> bool:
        """Send a request, and return False if no server may get it."""
        now = self._world.now
        for endpoint in self._directory.of_service("app", now):
            report = self._world.servers[endpoint.endpoint_id].report
            if report is None:
                continue
            record = self._health.get_record(endpoint.endpoint_id)
            if record.reported_at != report[0]:
                self._health.observe_load(endpoint.endpoint_id, *report[1:], report[0])
        exchange = SimpleNamespace(
            service=self._world.service,
            tried=set(),
            hold=None,
            regions=(),
            unplaced=None,
        )
        reservation = self.choice.reserve(exchange, now)
        if reservation is None:
            self._world.holds.append(exchange.hold)
            return False
        endpoint = reservation.endpoint
        server = self._world.servers[endpoint.endpoint_id]
        record = self._health.get_record(endpoint.endpoint_id)
        record.inflight += 1
        run_s = self._world.rng.uniform(*RUN_S)
        self._world.ends.append((now + run_s, record))
        server.receive(now, run_s)
        if server.tells:
            reply = _Reply(endpoint, now, now + HEAD_S, server.cold_left_s(now))
            self._replies.append(reply)
        return True


class ColdWorld:
    """Gateways, servers and their traffic.

    Parameters
    ----------
    gateways : int
        Gateways that all count each other since long.
    rate : float
        Requests per second that callers send to all gateways together.
    service : Service
        Service of all servers, as the gateways know it.

    Attributes
    ----------
    refused : int
        Requests that two gateways refused, or one if there is no other.
    holds : list of Hold
        Why gateways refused requests.
    """

    def __init__(
        self,
        gateways: int,
        servers: int = 72,
        rate: float = 126.0,
        seed: int = 1,
        service: Service = SERVICE,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.rate = rate
        self.service = service
        self.table = SharedTable()
        self.refuses_writes = False
        self.servers: dict[str, ColdServer] = {}
        for _ in range(servers):
            self.add_server()
        self.gateways: list[ColdGateway] = []
        for _ in range(gateways):
            self.add_gateway(counted=True)
        for gateway in self.gateways:
            gateway.count_long_ago(tuple(g.name for g in self.gateways))
        self.refused = 0
        self.holds: list = []
        #: Ends of requests at the gateways, with the records that count them.
        self.ends: list[tuple[float, object]] = []

    def clock(self) -> float:
        return self.now

    def add_server(self, is_cold: bool = False) -> ColdServer:
        """Add a server that starts now."""
        number = len(self.servers)
        server = ColdServer(number, ZONES[number % len(ZONES)], self.now)
        self.servers[server.name] = server
        if is_cold:
            server.become_cold(self.now, restarts=True)
        return server

    def add_gateway(self, counted: bool = False) -> ColdGateway:
        """Add a gateway that starts now."""
        gateway = ColdGateway(f"gateway-{len(self.gateways)}", self, counted)
        self.gateways.append(gateway)
        return gateway

    def rows(self) -> list[Endpoint]:
        """Return the rows of the servers, as the store lists them."""
        return [server.row for server in self.servers.values()]

    async def run(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        for _ in range(round(seconds / STEP_S)):
            for server in self.servers.values():
                server.tick(self.now)
            for end, record in self.ends:
                record.inflight -= end <= self.now
            self.ends = [item for item in self.ends if item[0] > self.now]
            serving = [gateway for gateway in self.gateways if gateway.is_up]
            for gateway in serving:
                await gateway.tick()
            expected = self.rate * STEP_S
            for _ in range(int(expected) + (self.rng.random() < expected % 1)):
                self._call(serving)
            self.now = round(self.now + STEP_S, 6)

    def _call(self, serving: list[ColdGateway]) -> None:
        """Send a request to a gateway, and if that refuses it once to another one."""
        tried = self.rng.sample(serving, min(2, len(serving)))
        if not any(gateway.handle() for gateway in tried):
            self.refused += 1

    def find_worst_second(self) -> int:
        """Return the most requests that a server got in a second while it was cold."""
        return max(
            (
                count_in_second(
                    at for at in server.arrivals if start <= at < end + STEP_S
                )
                for server in self.servers.values()
                for start, end in server.cold_spans
            ),
            default=0,
        )


def count_in_second(times: Iterable[float]) -> int:
    """Return the most of these times, in order, that lie within one second."""
    most, window = 0, deque()
    for at in times:
        window.append(at)
        while at - window[0] >= 1.0:
            window.popleft()
        most = max(most, len(window))
    return most
