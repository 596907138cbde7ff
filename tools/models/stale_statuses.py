"""Simulation of gateways that choose endpoints by the statuses of agents.

An agent at each endpoint polls its rank, and sends the status to each gateway at most
every `STATUS_INTERVAL_S`; agents are not synchronized. The gateways record statuses and
the loads in responses with the product's `EndpointHealth`, which also builds the
chooser's candidates. An endpoint runs as many requests at once as it has slots, queues
more, and rejects requests when its queue is full. A rejected request is not retried.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import numpy as np

from slatehoist.gateway import Endpoint
from slatehoist.gateway.health import EndpointHealth
from slatehoist.maps.agent import (
    POLL_INTERVAL_S,
    STATUS_INTERVAL_S,
    STATUSES_PER_INTERVAL,
)
from slatehoist.maps.status import SUBSCRIPTION_RENEWAL_S
from slatehoist.routing import (
    Candidate,
    CapacityAllocator,
    EvenChooser,
    LoadAwareChooser,
    ZoneDemand,
)

#: Seconds that a datagram, request or response travels: shortest and longest.
TRAVEL_S = (0.001, 0.004)
#: Seconds from the start of a request to the head of its response, about one pass.
HEAD_S = 0.06
#: Requests that an endpoint queues before it rejects more.
QUEUE = 20
#: Seconds between samples of the loads of all endpoints.
SAMPLE_S = 0.05
#: Seconds at the start that are left out of the results. The endpoints begin empty and
#: fill up within a stream's duration.
WARM_UP_S = 4.0
#: Factor by which stragglers are slower, their pace in the status included.
STRAGGLER_PACE = 2.0
#: Datagrams that the receive buffer of a frozen gateway holds; later ones are lost.
BUFFERED_DATAGRAMS = 277


class Setup(NamedTuple):
    """Parameters of one simulation.

    Attributes
    ----------
    uneven : bool
        Whether the shares of the traffic that gateways receive decrease as 1/rank.
    load : float
        Offered work as a fraction of the capacity.
    stream_s : tuple of float
        Shortest and longest duration of a stream in seconds.
    lag_s : float
        Seconds by which statuses arrive late.
    lost : float
        Fraction of the statuses that are lost.
    stragglers : float
        Fraction of the endpoints that are slower by `STRAGGLER_PACE`.
    restart_every_s : float
        Seconds between restarts of an endpoint, which lose its requests; 0 for none.
    freeze_at : float
        Time at which the first gateway stands still for 3 s; 0 for never.
    burst : float
        Factor of the arrival rate during the seconds 8 to 13.
    swing : float
        Fraction by which the traffic of each zone swings within 15 s, with the zones
        out of phase.
    agents : bool
        False if gateways learn of loads only by responses.
    seconds : float
        Time until which requests arrive.
    """

    gateways: int = 16
    endpoints: int = 72
    zones: int = 3
    slots: int = 5
    load: float = 0.7
    stream_s: tuple[float, float] = (1.1, 2.0)
    uneven: bool = False
    lag_s: float = 0.0
    lost: float = 0.0
    stragglers: float = 0.0
    restart_every_s: float = 0.0
    freeze_at: float = 0.0
    burst: float = 1.0
    swing: float = 0.0
    agents: bool = True
    seconds: float = 24.0
    seed: int = 1


class Outcome(NamedTuple):
    """Results of one simulation.

    Attributes
    ----------
    full : float
        Fraction of the arrivals that found all slots of their endpoint in use, while at
        least a third of all endpoints had two or more free slots.
    queued : float
        Fraction of the arrivals that found all slots of their endpoint in use.
    p99 : float
        99th percentile of the requests at an endpoint divided by its slots.
    deviation : float
        Standard deviation of the requests at an endpoint over all endpoints, averaged
        over time.
    remote : float
        Fraction of the requests sent to another zone.
    used : float
        Endpoints to which a gateway sent requests, averaged over gateways.
    opened : float
        New connections to endpoints per request.
    rejected : int
        Requests that found a full queue.
    allocated : float
        Fraction of the choices by allocated capacity.
    """

    full: float
    queued: float
    p99: float
    deviation: float
    remote: float
    used: float
    opened: float
    rejected: int
    allocated: float


class Contender(NamedTuple):
    """Way of choosing.

    Attributes
    ----------
    make_chooser : callable
        Returns a gateway's chooser for a random generator.
    is_exact : bool
        Whether the candidates show the present state of all endpoints, including
        requests on their way.
    allocates : bool
        Whether agents allocate free slots to gateways.
    """

    make_chooser: Callable[[random.Random], object]
    is_exact: bool = False
    allocates: bool = False


class RandomChooser:
    """Choose at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the chosen candidate."""
        return self._rng.choice(candidates)


class LeastOwnChooser(RandomChooser):
    """Choose the endpoint with the fewest own requests, at random among several."""

    def choose(self, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the chosen candidate."""
        least = min(c.own_inflight for c in candidates)
        return self._rng.choice([c for c in candidates if c.own_inflight == least])


class TwoChoicesChooser(RandomChooser):
    """Choose the less loaded of two random endpoints, by reports and own requests."""

    def choose(self, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the chosen candidate."""
        pair = self._rng.sample(candidates, 2)
        return min(
            pair, key=lambda c: c.reported_load - c.own_at_report + c.own_inflight
        )


class LeastLoadedChooser(RandomChooser):
    """Choose the least loaded endpoint, at random among several.

    With exact candidates, an endpoint with free slots in the own zone comes first.
    """

    def choose(self, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the chosen candidate."""
        least = min(c.reported_load for c in candidates)
        return self._rng.choice([c for c in candidates if c.reported_load == least])


class LeastLoadedInZoneChooser(LeastLoadedChooser):
    """Choose the least loaded endpoint of the own zone, unless all there are full."""

    def choose(self, candidates: list[Candidate], zone: str) -> Candidate:
        """Return the chosen candidate."""
        free = [
            c for c in candidates if c.zone == zone and c.reported_load < c.concurrency
        ]
        return super().choose(free or candidates, zone)


CONTENDERS = {
    "today": Contender(LoadAwareChooser),
    "product": Contender(EvenChooser, allocates=True),
    "estimated": Contender(EvenChooser),
    "random": Contender(RandomChooser),
    "least own": Contender(LeastOwnChooser),
    "two choices": Contender(TwoChoicesChooser),
    "exact": Contender(LeastLoadedChooser, is_exact=True),
    "exact in zone": Contender(LeastLoadedInZoneChooser, is_exact=True),
}


class Arrival(NamedTuple):
    """Arrival of a request at a gateway."""

    at: float
    gateway: int
    stream_s: float


def draw_arrivals(setup: Setup) -> list[Arrival]:
    """Draw the requests of a simulation; they are the same for all contenders."""
    rng = random.Random(setup.seed)
    mean_s = sum(setup.stream_s) / 2
    speed = setup.endpoints * setup.slots
    speed *= 1 - setup.stragglers * (1 - 1 / STRAGGLER_PACE)
    peak = setup.load * speed / mean_s * max(1.0, setup.burst) * (1 + setup.swing)
    weights = [1 / (g + 1) if setup.uneven else 1.0 for g in range(setup.gateways)]
    arrivals, now = [], 0.0
    while (now := now + rng.expovariate(peak)) < setup.seconds:
        gateway = rng.choices(range(setup.gateways), weights)[0]
        stream_s = rng.uniform(*setup.stream_s)
        factor = setup.burst if 8.0 <= now < 13.0 else 1.0
        phase = now / 15.0 + (gateway % setup.zones) / setup.zones
        factor *= 1 + setup.swing * np.sin(2 * np.pi * phase)
        chance = factor / (max(1.0, setup.burst) * (1 + setup.swing))
        if rng.random() < chance:
            arrivals.append(Arrival(now, gateway, stream_s))
    return arrivals


class _Server:
    """Simulated endpoint with its queue and its agent's state."""

    def __init__(self, endpoint: Endpoint, pace: float) -> None:
        self.endpoint = endpoint
        self.pace = pace
        self.run = 0
        self.running = 0
        self.on_way = 0
        self.queue: list = []
        #: Gateway of each request that runs.
        self.active: list[_Gateway] = []
        self.status_at = float("-inf")
        #: Gateways, the one whose last status is oldest first.
        self.subscribers: list[_Gateway] = []
        self.allocator: CapacityAllocator | None = None

    @property
    def load(self) -> int:
        """Return the requests that run or wait."""
        return self.running + len(self.queue)


class _Gateway:
    """Simulated gateway."""

    def __init__(self, index: int, setup: Setup, chooser) -> None:
        self.name = f"gateway-{index}"
        self.zone = f"z{index % setup.zones}"
        self.chooser = chooser
        self.health = EndpointHealth()
        self.frozen_until = 0.0
        self.buffered = 0
        self.used: set[str] = set()
        self.demand = ZoneDemand()


class Simulation:
    """State of one simulation."""

    def __init__(self, setup: Setup, contender: Contender) -> None:
        self.setup = setup
        self.contender = contender
        self.rng = random.Random(setup.seed + 1)
        slow = round(setup.endpoints * setup.stragglers)
        self.servers = [
            _Server(
                Endpoint(
                    f"e{i}", "app", f"10.0.{i}.1:1", f"z{i % setup.zones}", setup.slots
                ),
                STRAGGLER_PACE if i < slow else 1.0,
            )
            for i in range(setup.endpoints)
        ]
        self.by_name = {s.endpoint.endpoint_id: s for s in self.servers}
        self.gateways = [
            _Gateway(i, setup, contender.make_chooser(random.Random(setup.seed + i)))
            for i in range(setup.gateways)
        ]
        for server in self.servers:
            server.subscribers = list(self.gateways)
        self.events: list = []
        self.sequence = itertools.count()
        self.chosen = self.opened = self.remote = self.allocated = 0
        self.full = self.queued = self.rejected = self.arrived = 0
        self.samples: list[list[int]] = []

    def run(self) -> Outcome:
        """Run the simulation."""
        setup = self.setup
        for arrival in draw_arrivals(setup):
            self._schedule(arrival.at, self._choose, arrival)
        for server in self.servers:
            if setup.agents:
                self._schedule(self.rng.uniform(0, POLL_INTERVAL_S), self._poll, server)
        if self.contender.allocates:
            for server in self.servers:
                server.allocator = CapacityAllocator(self.rng)
            for gateway in self.gateways:
                self._schedule(0.0, self._subscribe, gateway)
        self._schedule(WARM_UP_S, self._sample)
        if setup.restart_every_s:
            self._schedule(setup.restart_every_s, self._restart)
        if setup.freeze_at:
            self._schedule(setup.freeze_at, self._freeze)
        while self.events:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        loads = np.array(self.samples)
        return Outcome(
            round(self.full / max(self.arrived, 1), 4),
            round(self.queued / max(self.arrived, 1), 4),
            round(float(np.percentile(loads, 99)) / setup.slots, 2),
            round(float(loads.std(axis=1).mean()), 3),
            round(self.remote / max(self.chosen, 1), 4),
            round(float(np.mean([len(g.used) for g in self.gateways])), 1),
            round(self.opened / max(self.chosen, 1), 3),
            self.rejected,
            round(self.allocated / max(self.chosen, 1), 3),
        )

    def _schedule(self, when: float, action: Callable, *args) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), action, args))

    def _travel(self) -> float:
        return self.rng.uniform(*TRAVEL_S)

    def _choose(self, now: float, arrival: Arrival) -> None:
        gateway = self.gateways[arrival.gateway]
        if now < gateway.frozen_until:
            self._schedule(gateway.frozen_until, self._choose, arrival)
            return
        candidates = self._candidates(gateway, now)
        chosen = gateway.chooser.choose(candidates, gateway.zone)
        server = self.by_name[chosen.name]
        record = gateway.health.get_record(chosen.name)
        opens = not record.has_idle_connection(now)
        gateway.health.record_sent(chosen.name, now)
        gateway.demand.record(chosen.zone != gateway.zone, now)
        record.inflight += 1
        server.on_way += 1
        if now >= WARM_UP_S:
            gateway.used.add(chosen.name)
            self.chosen += 1
            self.opened += opens
            self.remote += chosen.zone != gateway.zone
            self.allocated += chosen.allocated > 0
        self._schedule(now + self._travel(), self._arrive, server, gateway, arrival)

    def _candidates(self, gateway: _Gateway, now: float) -> list[Candidate]:
        if not self.contender.is_exact:
            health = gateway.health
            return [health.candidate(s.endpoint, now) for s in self.servers]
        return [
            Candidate(
                s.endpoint.endpoint_id,
                s.endpoint.zone,
                reported_load=(s.load + s.on_way) * s.pace,
                concurrency=s.endpoint.concurrency,
            )
            for s in self.servers
        ]

    def _arrive(
        self, now: float, server: _Server, gateway: _Gateway, arrival: Arrival
    ) -> None:
        server.on_way -= 1
        is_full = server.load >= self.setup.slots
        if now >= WARM_UP_S:
            self.arrived += 1
            self.queued += is_full
            free = sum(s.load <= self.setup.slots - 2 for s in self.servers)
            self.full += is_full and 3 * free >= self.setup.endpoints
        if len(server.queue) >= QUEUE:
            self.rejected += 1
            self._schedule(now + self._travel(), self._answer, server, gateway, True)
            return
        server.queue.append((gateway, arrival.stream_s))
        self._start(now, server)

    def _start(self, now: float, server: _Server) -> None:
        while server.queue and server.running < self.setup.slots:
            gateway, stream_s = server.queue.pop(0)
            server.running += 1
            server.active.append(gateway)
            head_at = now + HEAD_S * server.pace + self._travel()
            self._schedule(head_at, self._answer, server, gateway, False)
            ends_at = now + stream_s * server.pace
            self._schedule(ends_at, self._end, server, gateway, server.run)

    def _end(self, now: float, server: _Server, gateway: _Gateway, run: int) -> None:
        if run != server.run:
            return
        server.running -= 1
        server.active.remove(gateway)
        self._schedule(now + self._travel(), self._finish, server, gateway)
        self._start(now, server)

    def _answer(
        self, now: float, server: _Server, gateway: _Gateway, finished: bool
    ) -> None:
        name = server.endpoint.endpoint_id
        gateway.health.observe_load(name, server.running, len(server.queue), now)
        if finished:
            self._finish(now, server, gateway)

    def _finish(self, now: float, server: _Server, gateway: _Gateway) -> None:
        gateway.health.get_record(server.endpoint.endpoint_id).record_end(now)

    def _poll(self, now: float, server: _Server) -> None:
        if now - server.status_at >= STATUS_INTERVAL_S - POLL_INTERVAL_S / 4:
            server.status_at = now
            receivers = server.subscribers[:STATUSES_PER_INTERVAL]
            del server.subscribers[:STATUSES_PER_INTERVAL]
            server.subscribers += receivers
            self._send_status(now, server, receivers)
        if now < self.setup.seconds:
            self._schedule(now + POLL_INTERVAL_S, self._poll, server)

    def _subscribe(self, now: float, gateway: _Gateway) -> None:
        if now >= gateway.frozen_until:
            demands = [gateway.demand.per_second(z, now) for z in (False, True)]
            for server in self.servers:
                in_zone = server.endpoint.zone == gateway.zone
                server.allocator.set_demand(gateway.name, demands[in_zone])
        if now < self.setup.seconds:
            self._schedule(now + SUBSCRIPTION_RENEWAL_S, self._subscribe, gateway)

    def _send_status(self, now: float, server: _Server, receivers: list) -> None:
        allocated = {}
        if server.allocator is not None:
            free = int(self.setup.slots / server.pace) - server.load
            names = {gateway.name for gateway in receivers}
            allocated = server.allocator.allocate(free, names)
        for gateway in receivers:
            if self.rng.random() < self.setup.lost:
                continue
            self._schedule(
                now + self.setup.lag_s + self._travel(),
                self._receive,
                gateway,
                server,
                server.running,
                len(server.queue),
                allocated.get(gateway.name, 0),
            )

    def _receive(
        self,
        now: float,
        gateway: _Gateway,
        server: _Server,
        running: int,
        waiting: int,
        allocated: int,
    ) -> None:
        if now < gateway.frozen_until:
            gateway.buffered += 1
            if gateway.buffered <= BUFFERED_DATAGRAMS:
                self._schedule(
                    gateway.frozen_until,
                    self._receive,
                    gateway,
                    server,
                    running,
                    waiting,
                    0,
                )
            return
        name = server.endpoint.endpoint_id
        gateway.health.observe_load(name, running, waiting, now)
        gateway.health.observe_status(name, True, server.pace, now)
        gateway.health.observe_allocation(name, allocated, now)

    def _sample(self, now: float) -> None:
        self.samples.append([s.load for s in self.servers])
        if now + SAMPLE_S < self.setup.seconds:
            self._schedule(now + SAMPLE_S, self._sample)

    def _restart(self, now: float) -> None:
        server = self.rng.choice(self.servers)
        server.run += 1
        for gateway in [*server.active, *(gateway for gateway, _ in server.queue)]:
            self._finish(now, server, gateway)
        server.running, server.active, server.queue = 0, [], []
        for gateway in self.gateways:
            gateway.health.forget(server.endpoint.endpoint_id)
        if now < self.setup.seconds:
            self._schedule(now + self.setup.restart_every_s, self._restart)

    def _freeze(self, now: float) -> None:
        self.gateways[0].frozen_until = now + 3.0


def run(setup: Setup, contender: str) -> Outcome:
    """Run a simulation with one of `CONTENDERS`."""
    return Simulation(setup, CONTENDERS[contender]).run()
