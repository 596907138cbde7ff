"""Simulations of overload: the queue of one endpoint, quotas, and retries."""

import heapq
import itertools
import random
from typing import NamedTuple

import numpy as np

from slatehoist.config.settings import RetrySettings
from slatehoist.routing import (
    FairQueue,
    QuotaHolder,
    QuotaHome,
    RetryBudget,
    Ticket,
    retry_after_s,
)

#: Tokens per second that the simulated endpoint generates, and requests that it runs at
#: once.
TOKENS_PER_S = 2000.0
SLOTS = 16
#: Longest expected wait with which a request is queued, in seconds, as in the sidecar's
#: settings.
MAX_WAIT_S = 3.0
RETRY = RetrySettings()
#: Seconds from the arrival of a request to its deadline.
DEADLINE_S = 10.0


class Traffic(NamedTuple):
    """Traffic of one member.

    Attributes
    ----------
    rate : float
        Mean requests per second.
    tokens : float
        Median tokens of a request; also the estimated cost of each of its tickets.
    start, end : float
        Times in seconds between which requests arrive.
    """

    member: str
    rate: float
    tokens: float
    start: float = 0.0
    end: float = 60.0
    team: str = "t"


class RequestResult(NamedTuple):
    """Result of one request.

    Attributes
    ----------
    wait : float
        Seconds in the queue; -1 if the request was refused, on arrival or later.
    tokens : float
        Tokens generated; 0 if the request was refused.
    """

    member: str
    team: str
    arrived: float
    wait: float
    tokens: float


class FifoQueue:
    """Baseline queue of the same capacity that serves tickets in order of arrival."""

    def __init__(self, max_waiting: int) -> None:
        self._tickets: list[Ticket] = []
        self._max_waiting = max_waiting

    def __len__(self) -> int:
        return len(self._tickets)

    def push(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Add a ticket; return it as evicted if the queue is full."""
        if len(self._tickets) >= self._max_waiting:
            return [ticket]
        self._tickets.append(ticket)
        return []

    def pop(self, now: float) -> tuple[Ticket | None, list[Ticket]]:
        """Remove and return the oldest ticket, even if its deadline has passed."""
        return (self._tickets.pop(0) if self._tickets else None), []

    def correct_charge(self, ticket: Ticket, actual_cost: float) -> None:
        """Do nothing, because the order does not depend on the cost."""

    def expected_wait_s(self, member: str, rate: float) -> float:
        """Return 0, so that a request is accepted however long the queue is."""
        return 0.0


def run_queue(
    queue, traffic: list[Traffic], seconds: float, seed: int
) -> list[RequestResult]:
    """Run traffic through one endpoint's queue; each slot serves one request at a time.

    An arrival event carries its source and the request's tokens; an event without a
    source carries the ticket of a request that has finished. The item of a ticket is
    the tokens that its request actually needs.
    """
    rng = random.Random(seed)
    events: list = []
    sequence = itertools.count()
    for source in traffic:
        now = source.start
        while now < min(source.end, seconds):
            now += rng.expovariate(source.rate)
            tokens = rng.lognormvariate(0, 0.4) * source.tokens
            heapq.heappush(events, (now, next(sequence), source, tokens))
    results: list[RequestResult] = []
    running = 0

    def start(now: float) -> None:
        nonlocal running
        while running < SLOTS and len(queue):
            ticket, expired = queue.pop(now)
            results.extend(_refused_result(t) for t in expired)
            if ticket is None:
                return
            running += 1
            arrived = ticket.deadline - DEADLINE_S
            wait = max(now - arrived, 0.0)
            results.append(
                RequestResult(ticket.member, ticket.team, arrived, wait, ticket.item)
            )
            finish_at = now + ticket.item * SLOTS / TOKENS_PER_S
            heapq.heappush(events, (finish_at, next(sequence), None, ticket))

    while events:
        now, _, source, value = heapq.heappop(events)
        if source is None:
            running -= 1
            queue.correct_charge(value, value.item)
        else:
            cost = source.tokens
            ticket = Ticket(
                source.member, source.team, cost, 5, now + DEADLINE_S, value
            )
            if queue.expected_wait_s(source.member, TOKENS_PER_S) > MAX_WAIT_S:
                results.append(_refused_result(ticket))
                continue
            results.extend(_refused_result(t) for t in queue.push(ticket, now))
        start(now)
    return results


def _refused_result(ticket: Ticket) -> RequestResult:
    arrived = ticket.deadline - DEADLINE_S
    return RequestResult(ticket.member, ticket.team, arrived, -1.0, 0.0)


def latency_p99(results: list[RequestResult], member: str, after: float = 5.0) -> float:
    """Return the 99th percentile of a member's latency, in seconds.

    The latency is the wait and the service time; a refused request counts as one that
    takes until its deadline. Requests count if they arrive later than `after` seconds.
    """
    latencies = [
        r.wait + r.tokens * SLOTS / TOKENS_PER_S if r.wait >= 0 else DEADLINE_S
        for r in results
        if r.member == member and r.arrived > after
    ]
    return float(np.percentile(latencies, 99)) if latencies else 0.0


def shares(results: list[RequestResult], start: float, end: float) -> dict[str, float]:
    """Return each member's share of the tokens of requests started in an interval."""
    totals: dict[str, float] = {}
    for r in results:
        if r.wait >= 0 and start <= r.arrived + r.wait < end:
            totals[r.member] = totals.get(r.member, 0.0) + r.tokens
    total = sum(totals.values())
    return {member: tokens / total for member, tokens in totals.items()}


def goodput(results: list[RequestResult], start: float, end: float) -> float:
    """Return the goodput in an interval as a fraction of the capacity.

    Goodput is the tokens of requests that start before their deadline.
    """
    tokens = sum(
        r.tokens
        for r in results
        if 0 <= r.wait <= DEADLINE_S and start <= r.arrived + r.wait < end
    )
    return tokens / (TOKENS_PER_S * (end - start))


def fair_queue(weights: dict[str, float], max_waiting: int = 512) -> FairQueue:
    """Return the product's queue with the given weights of members."""
    queue = FairQueue(max_waiting)
    for member, weight in weights.items():
        queue.set_weight(member, "", weight)
    return queue


def run_quota(entries: int, rate: float, cut_off: bool, seed: int) -> dict[str, float]:
    """Divide one team's quota among entries whose uneven demand far exceeds it.

    Parameters
    ----------
    rate : float
        Quota in requests per second.
    cut_off : bool
        Whether the first entry loses its connection to the quota home after 20 seconds.

    Returns
    -------
    dict
        Accepted requests per second as fractions of the quota: the mean after the first
        5 seconds, the largest in one second, and the mean after 25 seconds.
    """
    rng = random.Random(seed)
    home = QuotaHome()
    holders = [QuotaHolder(rate, entries, 0.0) for _ in range(entries)]
    demand = [rate * (0.1 + rng.random()) for _ in range(entries)]
    accepted_at: list[float] = []
    renew_at = [0.5 * i / entries for i in range(entries)]
    step_s = 0.02
    now = 0.0
    while now < 60.0:
        now += step_s
        for i, holder in enumerate(holders):
            if now >= renew_at[i]:
                renew_at[i] += 1.0
                disconnected = cut_off and i == 0 and now > 20.0
                wanted = holder.measure_demand(now)
                if not disconnected:
                    holder.renew(home.grant("team", f"e{i}", wanted, rate, now), now)
            arrivals = int(rng.random() < demand[i] * step_s % 1) + int(
                demand[i] * step_s
            )
            accepted_at += [now for _ in range(arrivals) if holder.take(now) == 0.0]
    counts = np.bincount([int(t) for t in accepted_at], minlength=60)[5:60] / rate
    return {
        "mean": round(float(counts.mean()), 3),
        "worst_second": round(float(counts.max()), 3),
        "after_cut": round(float(counts[20:].mean()), 3),
    }


def run_retries(policy: str, failure_ratio: float, seed: int) -> dict[str, float]:
    """Send requests of which a fraction fails, and retry them by a policy.

    Parameters
    ----------
    policy : {'none', 'unlimited', 'budget'}
    failure_ratio : float
        Fraction of the attempts that fail.

    Returns
    -------
    dict
        Attempts per request, and fraction of the requests that succeed.
    """
    rng = random.Random(seed)
    budget = RetryBudget(RETRY.budget_ratio, RETRY.budget_floor)
    sent = succeeded = 0
    requests = 20_000
    for i in range(requests):
        now = i / 200.0
        budget.earn(now)
        for attempt in itertools.count():
            sent += 1
            if rng.random() >= failure_ratio:
                succeeded += 1
                break
            may_retry = {
                "none": False,
                "unlimited": attempt < 10,
                "budget": attempt < 2 and budget.spend(),
            }[policy]
            if not may_retry:
                break
    return {
        "amplification": round(sent / requests, 3),
        "success": round(succeeded / requests, 4),
    }


def retry_peak(jitter: bool, seed: int) -> float:
    """Return the peak rate of the retries of callers refused at the same time.

    The result is the number of retries in the busiest tenth of a second, divided by
    that of 5000 retries spread evenly over 2 seconds, the largest jitter.
    """
    rng = random.Random(seed)
    wait_s = 4.0
    delays_s = [retry_after_s(wait_s, rng) if jitter else wait_s for _ in range(5000)]
    counts = np.bincount([int(t * 10) for t in delays_s])
    window = counts[counts > 0]
    return round(float(counts.max() / (5000 / 20)), 2) if len(window) else 0.0
