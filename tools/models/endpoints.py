"""Discrete-event simulation of entries that choose among many endpoints.

Each endpoint runs a fixed number of requests at once and queues the rest. An entry
knows its own requests exactly, and those of other entries only from the endpoints'
reports, which lag. Prefill is short if the endpoint has the prompt's prefix cached. The
chooser is the product's or a baseline with the same interface.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from typing import NamedTuple

import numpy as np

from slatehoist.routing import (
    Candidate,
    Peer,
    PrefixIndex,
    choose_subset,
    may_fail_fast,
    subset_size,
)

#: Seconds between two reports of an endpoint, and from sending a report until an entry
#: receives it.
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.3
#: Seconds of prefill without and with a cached prefix.
PREFILL_S = 0.4
PREFILL_HIT_S = 0.05
#: Mean seconds of decoding a request.
MEAN_DECODE_S = 1.2
#: Seconds from a refused attempt to the next attempt.
ROUND_TRIP_S = 0.002
#: Prefixes that one endpoint caches.
CACHE_PREFIXES = 24
#: Fraction of cache events that are lost before they reach an entry's prefix index.
LOST_EVENT_RATIO = 0.3


class Setup(NamedTuple):
    """Parameters of one simulation.

    Attributes
    ----------
    slots : int
        Requests that an endpoint runs at once.
    load : float
        Offered work as a fraction of the capacity.
    stragglers : float
        Fraction of the endpoints that are three times slower.
    lost_zone_at : float
        Time in seconds at which all endpoints of one zone fail; 0 for never.
    prefixes : int
        Number of distinct prompt prefixes.
    seconds : float
        Time in seconds until which requests arrive.
    """

    endpoints: int = 12
    entries: int = 3
    zones: int = 3
    slots: int = 8
    load: float = 0.8
    stragglers: float = 0.0
    lost_zone_at: float = 0.0
    prefixes: int = 200
    seconds: float = 60.0
    seed: int = 1


class Outcome(NamedTuple):
    """Results of one simulation.

    Attributes
    ----------
    p50, p95, p99 : float
        Percentiles of the seconds to the first token.
    queue_p99 : float
        99th percentile of the seconds from a request's arrival to the start of its
        prefill.
    hit_rate : float
        Fraction of requests whose prefix was cached.
    cross_zone : float
        Times that a request was queued in another zone than its entry's, per request;
        0 with a central queue.
    imbalance : float
        Busy time of the busiest endpoint divided by the mean; failed endpoints are
        left out.
    swing : float
        Standard deviation of an endpoint's load over time, as a mean over endpoints.
    """

    p50: float
    p95: float
    p99: float
    queue_p99: float
    hit_rate: float
    cross_zone: float
    imbalance: float
    swing: float


class _Endpoint:
    """Simulated endpoint with slots, a FIFO queue and an LRU cache of prefixes."""

    def __init__(self, index: int, setup: Setup, slowdown: float) -> None:
        self.name = f"e{index}"
        self.zone = f"z{index % setup.zones}"
        self.slots = setup.slots
        self.slowdown = slowdown
        self.running = 0
        self.queue: list = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.up = True
        self.busy_s = 0.0

    def load(self) -> int:
        return self.running + len(self.queue)

    def use_prefix(self, prefix: int) -> bool:
        """Cache a prefix as the most recent one; return True if it was cached."""
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHE_PREFIXES:
            self.cache.popitem(last=False)
        return hit


class _Entry:
    """Simulated entry, which is linked to a subset of the endpoints."""

    def __init__(self, index: int, setup: Setup, endpoints: list[_Endpoint]) -> None:
        self.zone = f"z{index % setup.zones}"
        peers = [Peer(e.name, e.zone) for e in endpoints]
        link_count = subset_size(setup.entries, setup.endpoints)
        names = {p.name for p in choose_subset(f"entry{index}", peers, link_count)}
        self.endpoints = [e for e in endpoints if e.name in names]
        self.inflight = dict.fromkeys(names, 0)
        # By endpoint: its load, this entry's requests in that load, time of the report.
        self.reports = dict.fromkeys(names, (0.0, 0, 0.0))
        self.prefixes = PrefixIndex()

    def candidates(self, now: float) -> list[Candidate]:
        """Return the endpoints that are up, as this entry knows them."""
        candidates = []
        for e in self.endpoints:
            if e.up:
                load, own_at_report, reported_at = self.reports[e.name]
                age = now - reported_at
                own = self.inflight[e.name]
                candidates.append(
                    Candidate(e.name, e.zone, own, load, own_at_report, age, e.slots)
                )
        return candidates


class Request(NamedTuple):
    """Simulated request.

    Attributes
    ----------
    entry : _Entry
        Entry that receives the request.
    arrived : float
        Time of arrival in seconds.
    prefix : int
        Index of the prompt's prefix.
    decode_s : float
        Seconds of decoding at an endpoint that is not slowed down.
    """

    entry: _Entry
    arrived: float
    prefix: int
    decode_s: float


def run(
    setup: Setup, chooser, use_holders: bool = True, fail_fast_attempts: int = 0
) -> Outcome:
    """Run a simulation with a chooser.

    Parameters
    ----------
    use_holders : bool
        Whether the chooser is given the endpoints that the entry expects to have the
        request's prefix cached.
    fail_fast_attempts : int
        Number of first attempts of a request that a full endpoint refuses, while
        others have free slots; later attempts are queued.
    """
    return _Simulation(setup, chooser, use_holders, fail_fast_attempts).run()


class _Simulation:
    """State of one simulation: endpoints, entries, pending events and statistics."""

    def __init__(
        self, setup: Setup, chooser, use_holders: bool, fail_fast_attempts: int = 0
    ) -> None:
        self.setup = setup
        self.fail_fast_attempts = fail_fast_attempts
        self.chooser = chooser
        self.use_holders = use_holders
        self.rng = random.Random(setup.seed)
        slow_count = round(setup.endpoints * setup.stragglers)
        self.endpoints = [
            _Endpoint(i, setup, 3.0 if i < slow_count else 1.0)
            for i in range(setup.endpoints)
        ]
        self.by_name = {e.name: e for e in self.endpoints}
        self.entries = [_Entry(i, setup, self.endpoints) for i in range(setup.entries)]
        self.events: list = []
        # Orders events of the same time by their creation.
        self.sequence = itertools.count()
        self.waits: list[float] = []
        self.queue_waits: list[float] = []
        self.hits = self.cross_zone = 0
        self.loads: list[list[int]] = []

    def run(self) -> Outcome:
        self._schedule_arrivals()
        self._schedule(REPORT_INTERVAL_S, self._send_reports, None)
        if self.setup.lost_zone_at:
            self._schedule(self.setup.lost_zone_at, self._fail_zone, None)
        while self.events:
            now, _, action, arg = heapq.heappop(self.events)
            action(now, arg)
        return self._outcome()

    def _schedule(self, when: float, action, arg) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), action, arg))

    def _schedule_arrivals(self) -> None:
        speed = sum(e.slots / e.slowdown for e in self.endpoints)
        rate = self.setup.load * speed / (MEAN_DECODE_S + PREFILL_S * 0.5)
        weights = [1 / (i + 1) ** 0.8 for i in range(self.setup.prefixes)]
        now = 0.0
        while now < self.setup.seconds:
            now += self.rng.expovariate(rate)
            prefix = self.rng.choices(range(self.setup.prefixes), weights)[0]
            # The mean of the lognormal factor is 1.2.
            decode_s = self.rng.lognormvariate(0, 0.6) * MEAN_DECODE_S / 1.2
            entry = self.rng.choice(self.entries)
            self._schedule(now, self._arrive, Request(entry, now, prefix, decode_s))

    def _arrive(self, now: float, request: Request, attempts: int = 0) -> None:
        keys = [request.prefix]
        holders = request.entry.prefixes.holders(keys) if self.use_holders else []
        candidates = request.entry.candidates(now)
        chosen = self.chooser.choose(
            candidates, request.entry.zone, holders, request.prefix + 1
        )
        endpoint = self.by_name[chosen.name]
        full = endpoint.running >= endpoint.slots or endpoint.queue
        if attempts < self.fail_fast_attempts and full and may_fail_fast(candidates):
            own = request.entry.inflight[endpoint.name]
            request.entry.reports[endpoint.name] = (endpoint.load(), own, now)
            retry = (request, attempts + 1)
            self._schedule(
                now + ROUND_TRIP_S, lambda at, arg: self._arrive(at, *arg), retry
            )
            return
        request.entry.inflight[endpoint.name] += 1
        if self.rng.random() > LOST_EVENT_RATIO:
            request.entry.prefixes.record_sent(keys, endpoint.name)
        self.cross_zone += endpoint.zone != request.entry.zone
        endpoint.queue.append(request)
        self._start_requests(now, endpoint)

    def _start_requests(self, now: float, endpoint: _Endpoint) -> None:
        while endpoint.up and endpoint.queue and endpoint.running < endpoint.slots:
            request = endpoint.queue.pop(0)
            endpoint.running += 1
            hit = endpoint.use_prefix(request.prefix)
            self.hits += hit
            prefill_s = (PREFILL_HIT_S if hit else PREFILL_S) * endpoint.slowdown
            self.queue_waits.append(now - request.arrived)
            self.waits.append(now - request.arrived + prefill_s)
            busy_s = prefill_s + request.decode_s * endpoint.slowdown
            endpoint.busy_s += busy_s
            self._schedule(now + busy_s, self._finish, (endpoint, request))

    def _finish(self, now: float, arg) -> None:
        endpoint, request = arg
        if not endpoint.up:
            return
        endpoint.running -= 1
        request.entry.inflight[endpoint.name] -= 1
        own = request.entry.inflight[endpoint.name]
        request.entry.reports[endpoint.name] = (endpoint.load(), own, now)
        self._start_requests(now, endpoint)

    def _send_reports(self, now: float, _) -> None:
        self.loads.append([e.load() for e in self.endpoints if e.up])
        for entry in self.entries:
            for e in entry.endpoints:
                report = (e.load(), entry.inflight[e.name], now)
                self._schedule(
                    now + REPORT_LAG_S, self._receive_report, (entry, e.name, report)
                )
        if now < self.setup.seconds:
            self._schedule(now + REPORT_INTERVAL_S, self._send_reports, None)

    def _receive_report(self, now: float, arg) -> None:
        entry, name, report = arg
        if report[2] >= entry.reports[name][2]:
            entry.reports[name] = report

    def _fail_zone(self, now: float, _) -> None:
        for endpoint in self.endpoints:
            if endpoint.zone != "z0":
                continue
            endpoint.up = False
            queued, endpoint.queue = endpoint.queue, []
            for request in queued:
                request.entry.inflight[endpoint.name] -= 1
                self._schedule(now + 0.1, self._arrive, request)

    def _outcome(self) -> Outcome:
        waits = np.percentile(self.waits, [50, 95, 99])
        busy = np.array([e.busy_s for e in self.endpoints if e.up])
        samples = self.loads[len(self.loads) // 3 :]
        width = min(len(row) for row in samples)
        swing = np.array([row[:width] for row in samples]).std(axis=0).mean()
        return Outcome(
            *(round(float(w), 3) for w in waits),
            round(float(np.percentile(self.queue_waits, 99)), 3),
            round(self.hits / len(self.waits), 3),
            round(self.cross_zone / len(self.waits), 3),
            round(float(busy.max() / busy.mean()), 3),
            round(float(swing), 3),
        )


def run_central(setup: Setup) -> Outcome:
    """Run the simulation with one central queue that knows every free slot exactly."""
    simulation = _Simulation(setup, None, use_holders=False)
    queued: list[Request] = []

    def place_requests(now: float) -> None:
        while queued:
            free = [e for e in simulation.endpoints if e.up and e.running < e.slots]
            if not free:
                return
            request = queued.pop(0)
            best = min(
                free,
                key=lambda e: (request.prefix not in e.cache, e.slowdown, e.running),
            )
            request.entry.inflight.setdefault(best.name, 0)
            request.entry.inflight[best.name] += 1
            best.queue.append(request)
            simulation._start_requests(now, best)

    def arrive(now: float, request: Request) -> None:
        queued.append(request)
        place_requests(now)

    original_finish = simulation._finish

    def finish(now: float, arg) -> None:
        request = arg[1]
        request.entry.reports.setdefault(arg[0].name, (0.0, 0, 0.0))
        original_finish(now, arg)
        place_requests(now)

    simulation._arrive = arrive
    simulation._finish = finish
    return simulation.run()
