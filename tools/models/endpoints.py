"""Model of many endpoints and a few entries that choose among them.

Each endpoint runs a fixed number of requests at once and queues the rest. An entry
knows its own work exactly and others' from reports that lag. A prompt's prefix that
an endpoint holds makes its prefill short. Events run in order of time; the chooser is
the product's own or a baseline with the same face.
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

#: Seconds between reports, and by which they lag.
REPORT_S = 1.0
REPORT_LAG_S = 0.3
#: Seconds of prefill without and with a held prefix.
PREFILL_S = 0.4
PREFILL_HIT_S = 0.05
#: Mean seconds of decoding.
DECODE_S = 1.2
#: Seconds that a refusal costs.
ROUND_TRIP_S = 0.002
#: Prefixes that one endpoint holds.
CACHE_PREFIXES = 24
#: Part of the cache events that an entry never hears of.
LOST_EVENTS = 0.3


class Setup(NamedTuple):
    """One trial.

    Attributes
    ----------
    load : float
        Offered work as a part of the capacity.
    stragglers : float
        Part of the endpoints that are three times slower.
    lost_zone_at : float
        Time at which one zone's endpoints vanish; 0 for never.
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
    """Figures of one trial; waits are seconds to the first token."""

    p50: float
    p95: float
    p99: float
    queue_p99: float
    hit_rate: float
    cross_zone: float
    imbalance: float
    swing: float


class _Endpoint:
    def __init__(self, index: int, setup: Setup, slow: float) -> None:
        self.name = f"e{index}"
        self.zone = f"z{index % setup.zones}"
        self.slots = setup.slots
        self.slow = slow
        self.running = 0
        self.queue: list = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.up = True
        self.busy_s = 0.0

    def load(self) -> int:
        return self.running + len(self.queue)

    def touch(self, prefix: int) -> bool:
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHE_PREFIXES:
            self.cache.popitem(last=False)
        return hit


class _Entry:
    def __init__(self, index: int, setup: Setup, endpoints: list[_Endpoint]) -> None:
        self.zone = f"z{index % setup.zones}"
        peers = [Peer(e.name, e.zone) for e in endpoints]
        links = subset_size(setup.entries, setup.endpoints)
        names = {p.name for p in choose_subset(f"entry{index}", peers, links)}
        self.endpoints = [e for e in endpoints if e.name in names]
        self.inflight = dict.fromkeys(names, 0)
        self.reports = dict.fromkeys(names, (0.0, 0, 0.0))
        self.prefixes = PrefixIndex()

    def candidates(self, now: float) -> list[Candidate]:
        found = []
        for e in self.endpoints:
            if e.up:
                load, own, at = self.reports[e.name]
                age = now - at
                own_now = self.inflight[e.name]
                found.append(
                    Candidate(e.name, e.zone, own_now, load, own, age, e.slots)
                )
        return found


class Job(NamedTuple):
    """Request under way."""

    entry: _Entry
    arrived: float
    prefix: int
    decode_s: float


def run(setup: Setup, chooser, use_holders: bool = True, fail_fast: int = 0) -> Outcome:
    """Run a trial with a chooser; ``fail_fast`` sends ask to be refused if full."""
    return _Trial(setup, chooser, use_holders, fail_fast).run()


class _Trial:
    def __init__(
        self, setup: Setup, chooser, use_holders: bool, fail_fast: int = 0
    ) -> None:
        self.setup = setup
        self.fail_fast = fail_fast
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
        self.numbers = itertools.count()
        self.waits: list[float] = []
        self.queue_waits: list[float] = []
        self.hits = self.crossed = 0
        self.loads: list[list[int]] = []

    def run(self) -> Outcome:
        self._schedule_arrivals()
        self._at(REPORT_S, self._report, None)
        if self.setup.lost_zone_at:
            self._at(self.setup.lost_zone_at, self._lose_zone, None)
        while self.events:
            now, _, act, arg = heapq.heappop(self.events)
            act(now, arg)
        return self._outcome()

    def _at(self, when: float, act, arg) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), act, arg))

    def _schedule_arrivals(self) -> None:
        speed = sum(e.slots / e.slow for e in self.endpoints)
        rate = self.setup.load * speed / (DECODE_S + PREFILL_S * 0.5)
        weights = [1 / (i + 1) ** 0.8 for i in range(self.setup.prefixes)]
        now = 0.0
        while now < self.setup.seconds:
            now += self.rng.expovariate(rate)
            prefix = self.rng.choices(range(self.setup.prefixes), weights)[0]
            decode_s = self.rng.lognormvariate(0, 0.6) * DECODE_S / 1.2
            entry = self.rng.choice(self.entries)
            self._at(now, self._arrive, Job(entry, now, prefix, decode_s))

    def _arrive(self, now: float, job: Job, tries: int = 0) -> None:
        keys = [job.prefix]
        holders = job.entry.prefixes.holders(keys) if self.use_holders else []
        candidates = job.entry.candidates(now)
        chosen = self.chooser.choose(
            candidates, job.entry.zone, holders, job.prefix + 1
        )
        endpoint = self.by_name[chosen.name]
        full = endpoint.running >= endpoint.slots or endpoint.queue
        if tries < self.fail_fast and full and may_fail_fast(candidates):
            own = job.entry.inflight[endpoint.name]
            job.entry.reports[endpoint.name] = (endpoint.load(), own, now)
            again = (job, tries + 1)
            self._at(now + ROUND_TRIP_S, lambda at, arg: self._arrive(at, *arg), again)
            return
        job.entry.inflight[endpoint.name] += 1
        if self.rng.random() > LOST_EVENTS:
            job.entry.prefixes.record_sent(keys, endpoint.name)
        self.crossed += endpoint.zone != job.entry.zone
        endpoint.queue.append(job)
        self._start(now, endpoint)

    def _start(self, now: float, endpoint: _Endpoint) -> None:
        while endpoint.up and endpoint.queue and endpoint.running < endpoint.slots:
            job = endpoint.queue.pop(0)
            endpoint.running += 1
            hit = endpoint.touch(job.prefix)
            self.hits += hit
            prefill_s = (PREFILL_HIT_S if hit else PREFILL_S) * endpoint.slow
            self.queue_waits.append(now - job.arrived)
            self.waits.append(now - job.arrived + prefill_s)
            busy_s = prefill_s + job.decode_s * endpoint.slow
            endpoint.busy_s += busy_s
            self._at(now + busy_s, self._finish, (endpoint, job))

    def _finish(self, now: float, arg) -> None:
        endpoint, job = arg
        if not endpoint.up:
            return
        endpoint.running -= 1
        job.entry.inflight[endpoint.name] -= 1
        own = job.entry.inflight[endpoint.name]
        job.entry.reports[endpoint.name] = (endpoint.load(), own, now)
        self._start(now, endpoint)

    def _report(self, now: float, _) -> None:
        self.loads.append([e.load() for e in self.endpoints if e.up])
        for entry in self.entries:
            for e in entry.endpoints:
                report = (e.load(), entry.inflight[e.name], now)
                self._at(now + REPORT_LAG_S, self._hear, (entry, e.name, report))
        if now < self.setup.seconds:
            self._at(now + REPORT_S, self._report, None)

    def _hear(self, now: float, arg) -> None:
        entry, name, report = arg
        if report[2] >= entry.reports[name][2]:
            entry.reports[name] = report

    def _lose_zone(self, now: float, _) -> None:
        for endpoint in self.endpoints:
            if endpoint.zone != "z0":
                continue
            endpoint.up = False
            waiting, endpoint.queue = endpoint.queue, []
            for job in waiting:
                job.entry.inflight[endpoint.name] -= 1
                self._at(now + 0.1, self._arrive, job)

    def _outcome(self) -> Outcome:
        waits = np.percentile(self.waits, [50, 95, 99])
        busy = np.array([e.busy_s for e in self.endpoints if e.up])
        later = self.loads[len(self.loads) // 3 :]
        width = min(len(row) for row in later)
        swing = np.array([row[:width] for row in later]).std(axis=0).mean()
        return Outcome(
            *(round(float(w), 3) for w in waits),
            round(float(np.percentile(self.queue_waits, 99)), 3),
            round(self.hits / len(self.waits), 3),
            round(self.crossed / len(self.waits), 3),
            round(float(busy.max() / busy.mean()), 3),
            round(float(swing), 3),
        )


def run_central(setup: Setup) -> Outcome:
    """Run the same work through one queue that sees every free slot at once."""
    trial = _Trial(setup, None, use_holders=False)
    waiting: list[Job] = []

    def place(now: float) -> None:
        while waiting:
            free = [e for e in trial.endpoints if e.up and e.running < e.slots]
            if not free:
                return
            job = waiting.pop(0)
            best = min(
                free, key=lambda e: (job.prefix not in e.cache, e.slow, e.running)
            )
            job.entry.inflight.setdefault(best.name, 0)
            job.entry.inflight[best.name] += 1
            best.queue.append(job)
            trial._start(now, best)

    def arrive(now: float, job: Job) -> None:
        waiting.append(job)
        place(now)

    original = trial._finish

    def finish(now: float, arg) -> None:
        job = arg[1]
        job.entry.reports.setdefault(arg[0].name, (0.0, 0, 0.0))
        original(now, arg)
        place(now)

    trial._arrive = arrive
    trial._finish = finish
    return trial.run()
