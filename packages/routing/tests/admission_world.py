"""Simulation of instances that share a service's slots by stale reports."""

import heapq
import itertools
import random
from typing import NamedTuple

from slatehoist.routing.admission import ArrivalRates, ServiceLoad, claimable

#: Seconds between two reports, and from a report until the instances have it.
REPORT_INTERVAL_S = 0.16
REPORT_LAG_S = 0.01
DURATION_S = 2.0


class Arrivals(NamedTuple):
    """Requests of one urgency: a second, and within a burst.

    Attributes
    ----------
    burst_at, burst_s : float
        Begin and length of the burst in seconds.
    """

    urgency: int
    rate: float
    burst_rate: float = 0.0
    burst_at: float = 0.0
    burst_s: float = 0.0


class Totals(NamedTuple):
    """Results of a simulation.

    Attributes
    ----------
    arrived, sent, rejected : dict of int to int
        Requests by urgency.
    queued : dict of int to int
        Requests that were sent while all slots were taken, by urgency.
    peak : int
        Largest number of requests in progress at the same time.
    """

    arrived: dict[int, int]
    sent: dict[int, int]
    rejected: dict[int, int]
    queued: dict[int, int]
    peak: int


class AdmissionWorld:
    """Instances that admit requests at once or reject them.

    Parameters
    ----------
    weights : sequence of float
        Shares of the traffic of the instances.
    """

    def __init__(self, slots: int, weights: list[float], seed: int) -> None:
        self._slots = slots
        self._weights = weights
        self._rng = random.Random(seed)
        count = len(weights)
        self._rates = [ArrivalRates() for _ in range(count)]
        self._own = [0] * count
        #: Own requests of each instance, and all requests, in the last report.
        self._report = ([0] * count, 0)

    def run(self, traffic: list[Arrivals], seconds: float, limit: float) -> Totals:
        """Simulate some seconds of traffic."""
        levels = [arrivals.urgency for arrivals in traffic]
        counts = [dict.fromkeys(levels, 0) for _ in range(4)]
        arrived, sent, rejected, queued = counts
        events: list[tuple] = []
        numbers = itertools.count()

        def add(at: float, what: str, value) -> None:
            heapq.heappush(events, (at, next(numbers), what, value))

        for arrivals in traffic:
            for at in self._times(arrivals, seconds):
                add(at, "arrival", arrivals.urgency)
        for step in range(int(seconds / REPORT_INTERVAL_S)):
            add(step * REPORT_INTERVAL_S, "report", None)
        peak = 0
        while events:
            now, _, what, value = heapq.heappop(events)
            if what == "arrival":
                instance = self._draw_instance()
                arrived[value] += 1
                if not self._admits(instance, value, limit, now):
                    rejected[value] += 1
                    continue
                sent[value] += 1
                queued[value] += sum(self._own) >= self._slots
                self._own[instance] += 1
                peak = max(peak, sum(self._own))
                add(now + self._rng.uniform(0.5, 1.5) * DURATION_S, "end", instance)
            elif what == "end":
                self._own[value] -= 1
            elif what == "report":
                add(now + REPORT_LAG_S, "known", (list(self._own), sum(self._own)))
            else:
                self._report = value
        return Totals(arrived, sent, rejected, queued, peak)

    def _times(self, arrivals: Arrivals, seconds: float) -> list[float]:
        times, now = [], 0.0
        while now < seconds:
            in_burst = 0.0 <= now - arrivals.burst_at < arrivals.burst_s
            now += self._rng.expovariate(
                arrivals.burst_rate if in_burst else arrivals.rate
            )
            times.append(now)
        return times

    def _draw_instance(self) -> int:
        return self._rng.choices(range(len(self._weights)), self._weights)[0]

    def _admits(self, instance: int, urgency: int, limit: float, now: float) -> bool:
        rates = self._rates[instance]
        rates.record(urgency, now)
        own_reported, reported = self._report
        load = ServiceLoad(
            self._slots,
            reported,
            own_reported[instance],
            self._own[instance],
            len(self._weights),
        )
        urgent_rate = rates.more_urgent(urgency, now)
        level_limit = limit if urgent_rate else 1.0
        return claimable(load, level_limit, urgent_rate) >= 1.0
