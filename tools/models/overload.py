"""Models of limits under overload: one endpoint's queue, quotas, and retries."""

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

#: Tokens a second that the modelled endpoint generates, and its slots.
TOKENS_PER_S = 2000.0
SLOTS = 16
#: Longest queue that is accepted, in seconds, as in the sidecar's settings.
MAX_WAIT_S = 3.0
RETRY = RetrySettings()
#: Seconds that callers wait at most.
DEADLINE_S = 10.0


class Traffic(NamedTuple):
    """One member's traffic: requests a second, tokens each, from and until when."""

    member: str
    rate: float
    tokens: float
    start: float = 0.0
    end: float = 60.0
    team: str = "t"


class Served(NamedTuple):
    """What one request met; ``wait`` is -1 if it was refused."""

    member: str
    team: str
    arrived: float
    wait: float
    tokens: float


class FifoQueue:
    """Baseline: first come, first served, with the same room."""

    def __init__(self, max_waiting: int) -> None:
        self._tickets: list[Ticket] = []
        self._max_waiting = max_waiting

    def __len__(self) -> int:
        return len(self._tickets)

    def push(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Add a ticket; the newest is refused when there is no room."""
        if len(self._tickets) >= self._max_waiting:
            return [ticket]
        self._tickets.append(ticket)
        return []

    def pop(self, now: float) -> tuple[Ticket | None, list[Ticket]]:
        """Take the oldest ticket, late or not."""
        return (self._tickets.pop(0) if self._tickets else None), []

    def correct_charge(self, ticket: Ticket, actual_cost: float) -> None:
        """Do nothing."""

    def expected_wait_s(self, member: str, rate: float) -> float:
        """Accept any wait."""
        return 0.0


def run_queue(queue, traffic: list[Traffic], seconds: float, seed: int) -> list[Served]:
    """Run traffic through one endpoint's queue; each slot serves one at a time."""
    rng = random.Random(seed)
    events: list = []
    numbers = itertools.count()
    for source in traffic:
        now = source.start
        while now < min(source.end, seconds):
            now += rng.expovariate(source.rate)
            tokens = rng.lognormvariate(0, 0.4) * source.tokens
            heapq.heappush(events, (now, next(numbers), source, tokens))
    served: list[Served] = []
    running = 0

    def start(now: float) -> None:
        nonlocal running
        while running < SLOTS and len(queue):
            ticket, late = queue.pop(now)
            served.extend(_refused(t) for t in late)
            if ticket is None:
                return
            running += 1
            arrived = ticket.deadline - DEADLINE_S
            wait = max(now - arrived, 0.0)
            served.append(
                Served(ticket.member, ticket.team, arrived, wait, ticket.item)
            )
            done = now + ticket.item * SLOTS / TOKENS_PER_S
            heapq.heappush(events, (done, next(numbers), None, ticket))

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
                served.append(_refused(ticket))
                continue
            served.extend(_refused(t) for t in queue.push(ticket, now))
        start(now)
    return served


def _refused(ticket: Ticket) -> Served:
    arrived = ticket.deadline - DEADLINE_S
    return Served(ticket.member, ticket.team, arrived, -1.0, 0.0)


def time_p99(served: list[Served], member: str, after: float = 5.0) -> float:
    """Give a member's 99th percentile of wait and service; refused is the deadline."""
    waits = [
        s.wait + s.tokens * SLOTS / TOKENS_PER_S if s.wait >= 0 else DEADLINE_S
        for s in served
        if s.member == member and s.arrived > after
    ]
    return float(np.percentile(waits, 99)) if waits else 0.0


def shares(served: list[Served], start: float, end: float) -> dict[str, float]:
    """Give each member's part of the tokens served in a stretch of time."""
    totals: dict[str, float] = {}
    for s in served:
        if s.wait >= 0 and start <= s.arrived + s.wait < end:
            totals[s.member] = totals.get(s.member, 0.0) + s.tokens
    total = sum(totals.values())
    return {member: tokens / total for member, tokens in totals.items()}


def goodput(served: list[Served], start: float, end: float) -> float:
    """Give the useful part of the capacity: tokens begun before the deadline."""
    tokens = sum(
        s.tokens
        for s in served
        if 0 <= s.wait <= DEADLINE_S and start <= s.arrived + s.wait < end
    )
    return tokens / (TOKENS_PER_S * (end - start))


def fair_queue(weights: dict[str, float], room: int = 512) -> FairQueue:
    """Make the product's queue."""
    queue = FairQueue(room)
    for member, weight in weights.items():
        queue.set_weight(member, "", weight)
    return queue


def run_quota(entries: int, rate: float, cut_off: bool, seed: int) -> dict[str, float]:
    """Share one team's rate over entries with uneven demand, far above the rate.

    Returns
    -------
    dict
        Overshoot of the whole minute and of its worst second, as parts of the rate,
        and the same for the time after one entry was cut off from the home.
    """
    rng = random.Random(seed)
    home = QuotaHome()
    holders = [QuotaHolder(rate, entries, 0.0) for _ in range(entries)]
    demand = [rate * (0.1 + rng.random()) for _ in range(entries)]
    taken: list[float] = []
    renew_at = [0.5 * i / entries for i in range(entries)]
    step_s = 0.02
    now = 0.0
    while now < 60.0:
        now += step_s
        for i, holder in enumerate(holders):
            if now >= renew_at[i]:
                renew_at[i] += 1.0
                lost = cut_off and i == 0 and now > 20.0
                wanted = holder.measure_demand(now)
                if not lost:
                    holder.renew(home.grant("team", f"e{i}", wanted, rate, now), now)
            arrivals = int(rng.random() < demand[i] * step_s % 1) + int(
                demand[i] * step_s
            )
            taken += [now for _ in range(arrivals) if holder.take(now) == 0.0]
    counts = np.bincount([int(t) for t in taken], minlength=60)[5:60] / rate
    return {
        "mean": round(float(counts.mean()), 3),
        "worst_second": round(float(counts.max()), 3),
        "after_cut": round(float(counts[20:].mean()), 3),
    }


def run_retries(policy: str, failing: float, seed: int) -> dict[str, float]:
    """Send requests to endpoints of which a part fails, with a way to retry.

    Parameters
    ----------
    policy : {'none', 'unlimited', 'budget'}
    failing : float
        Part of the tries that fail.
    """
    rng = random.Random(seed)
    budget = RetryBudget(RETRY.budget_ratio, RETRY.budget_floor)
    sent = whole = 0
    requests = 20_000
    for i in range(requests):
        now = i / 200.0
        budget.earn(now)
        for attempt in itertools.count():
            sent += 1
            if rng.random() >= failing:
                whole += 1
                break
            may = {
                "none": False,
                "unlimited": attempt < 10,
                "budget": attempt < 2 and budget.spend(),
            }[policy]
            if not may:
                break
    return {
        "amplification": round(sent / requests, 3),
        "success": round(whole / requests, 4),
    }


def return_wave(spread: bool, seed: int) -> float:
    """Give the second wave: the busiest tenth of a second's returns over the mean."""
    rng = random.Random(seed)
    wait_s = 4.0
    returns = [retry_after_s(wait_s, rng) if spread else wait_s for _ in range(5000)]
    counts = np.bincount([int(t * 10) for t in returns])
    window = counts[counts > 0]
    return round(float(counts.max() / (5000 / 20)), 2) if len(window) else 0.0
