"""Model of instances that share an endpoint's stated rate, in three ways."""

import random
from collections import deque
from typing import NamedTuple, Protocol

from slatehoist.routing import RateShares

#: Seconds of one step, of a run, and from a request to its answer.
STEP_S = 0.02
DURATION_S = 60.0
ANSWER_S = 0.1
#: Seconds between two reads of the registry, and until a dead instance's row is gone.
POLL_S = 10.0
DEAD_ROW_S = 240.0
#: Requests that the callers offer, as a multiple of the stated rate.
OFFERED = 3.0
WINDOW_S = 4.0
#: Seconds after the first answer with a rate from which the sender is bound by it.
KNOWN_S = 0.5
#: Share of the instances that join at one third of the run, and that die at two thirds.
CHURN = 0.25


class Policy(Protocol):
    """Decide whether an instance may send a request now."""

    def learn(self, rate: float, own: int, total: int, now: float) -> None:
        """Process an answer: stated rate, own and all requests in progress."""

    def poll(self, members: list[str], demands: dict[str, float], now: float) -> None:
        """Process a read of the registry: members and their recent demand."""

    def allows(self, now: float) -> bool:
        """Return True if a request may be sent, and count it."""


class ByMembership:
    """Product code: equal shares of the registered instances."""

    def __init__(self, name: str, joined_at: float) -> None:
        self._joined_at = joined_at
        self._shares = RateShares(name, propagation_s=POLL_S)

    def learn(self, rate: float, own: int, total: int, now: float) -> None:
        """Process an answer; see `Policy`."""
        self._shares.observe("e", rate, now - ANSWER_S, now)

    def poll(self, members: list[str], demands: dict[str, float], now: float) -> None:
        """Process a read of the registry; see `Policy`."""
        self._shares.set_members(members, self._joined_at, now)

    def allows(self, now: float) -> bool:
        """Return True if a request may be sent; see `Policy`."""
        if self._shares.free_at("e", now) > now:
            return False
        self._shares.record_sent("e", now)
        return True


class _Weighted:
    """Window of requests whose size is a fraction of the rate."""

    def __init__(self, name: str, joined_at: float) -> None:
        self.name = name
        self.rate: float | None = None
        self.fraction = 1.0
        self._sent: deque[float] = deque()

    def allows(self, now: float) -> bool:
        """Return True if a request may be sent; see `Policy`."""
        while self._sent and now - self._sent[0] >= WINDOW_S:
            self._sent.popleft()
        if self.rate is not None:
            allowed = max(1, int(self.rate * WINDOW_S * self.fraction))
            if len(self._sent) >= allowed:
                return False
        self._sent.append(now)
        return True


class ByDemand(_Weighted):
    """Shares in proportion to the demand that the registry shows."""

    def learn(self, rate: float, own: int, total: int, now: float) -> None:
        """Process an answer; see `Policy`."""
        self.rate = rate

    def poll(self, members: list[str], demands: dict[str, float], now: float) -> None:
        """Process a read of the registry; see `Policy`."""
        total = sum(demands.get(member, 0.0) for member in members)
        own = demands.get(self.name, 0.0)
        self.fraction = own / total if total else 1 / len(members)


class ByLoad(_Weighted):
    """Shares in proportion to the own part of the load that the endpoint reports."""

    def learn(self, rate: float, own: int, total: int, now: float) -> None:
        """Process an answer; see `Policy`."""
        self.rate = rate
        self.fraction = own / max(total, own, 1)

    def poll(self, members: list[str], demands: dict[str, float], now: float) -> None:
        """Ignore the registry."""


class Result(NamedTuple):
    """Result of one run.

    Attributes
    ----------
    used : float
        Requests served as a fraction of what the rate allows.
    over : float
        Most requests in some 4 s beyond one and a half times the rate + 5; the users'
        rule is broken if it is above 0.
    """

    used: float
    over: float


class _Instance:
    def __init__(self, name: str, weight: float, policy: type, joins_at: float) -> None:
        self.name = name
        self.weight = weight
        # Those that are there from the start joined long before.
        self.policy = policy(name, joins_at or -DURATION_S)
        self.joins_at = joins_at
        self.learned_at = float("inf")
        self.dies_at = float("inf")
        self.next_poll = joins_at
        self.demand = 0.0
        self.in_progress = 0


def run_model(
    policy: type, instances: int, uneven: bool, rate: float, seed: int
) -> Result:
    """Run one model; half of the seconds have a stated rate of half the given one."""
    rng = random.Random(seed)
    nodes = _make_instances(policy, instances, uneven, rng)
    rates = [
        rate * (0.5 if rng.random() < 0.5 else 1.0) for _ in range(int(DURATION_S) + 1)
    ]
    #: Time of each answer, its receiver and the rate that it states.
    answers: deque[tuple[float, _Instance, float]] = deque()
    #: Time of each request, and True if its sender had known the rate for `KNOWN_S`.
    arrivals: list[tuple[float, bool]] = []
    now = 0.0
    while now < DURATION_S:
        live = [n for n in nodes if n.joins_at <= now < n.dies_at]
        _deliver_answers(answers, live, now)
        _poll_registry(nodes, live, now)
        total_weight = sum(n.weight for n in live)
        for node in live:
            expected = OFFERED * rate * STEP_S * node.weight / total_weight
            node.demand += (expected / STEP_S - node.demand) * STEP_S / POLL_S
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                if node.policy.allows(now):
                    arrivals.append((now, now >= node.learned_at + KNOWN_S))
                    node.in_progress += 1
                    answers.append((now + ANSWER_S, node, rates[int(now)]))
        now += STEP_S
    return _evaluate(arrivals, rates)


def _make_instances(
    policy: type, count: int, uneven: bool, rng: random.Random
) -> list[_Instance]:
    """Return the instances in random order, with the times of joins and deaths."""
    changing = int(count * CHURN)
    nodes = []
    for number in range(count + changing):
        weight = 1 / (1 + number) if uneven else 1.0
        joins_at = 0.0 if number < count else DURATION_S / 3
        nodes.append(_Instance(f"gateway-{number}", weight, policy, joins_at))
    rng.shuffle(nodes)
    for node in rng.sample(nodes, changing):
        node.dies_at = DURATION_S * 2 / 3
    return nodes


def _deliver_answers(
    answers: deque[tuple[float, _Instance, float]], live: list[_Instance], now: float
) -> None:
    total = sum(n.in_progress for n in live)
    while answers and answers[0][0] <= now:
        _, node, stated = answers.popleft()
        node.policy.learn(stated, node.in_progress, total, now)
        node.learned_at = min(node.learned_at, now)
        node.in_progress -= 1


def _poll_registry(nodes: list[_Instance], live: list[_Instance], now: float) -> None:
    for node in live:
        if node.next_poll > now:
            continue
        node.next_poll = now + POLL_S
        members = [n.name for n in nodes if n.joins_at <= now < n.dies_at + DEAD_ROW_S]
        demands = {n.name: n.demand for n in nodes}
        node.policy.poll(members, demands, now)


def _evaluate(arrivals: list[tuple[float, bool]], rates: list[float]) -> Result:
    served = [at for at, _ in arrivals if at >= WINDOW_S]
    counted = [at for at, knows in arrivals if knows and at >= WINDOW_S]
    worst = float("-inf")
    window: deque[float] = deque()
    for at in counted:
        window.append(at)
        while at - window[0] >= WINDOW_S:
            window.popleft()
        allowed = 1.5 * _allowance(rates, at - WINDOW_S, at) + 5
        worst = max(worst, len(window) - allowed)
    used = len(served) / _allowance(rates, WINDOW_S, DURATION_S)
    return Result(used, worst)


def _allowance(rates: list[float], start: float, end: float) -> float:
    """Return the integral of the rate, which changes each second."""
    total = 0.0
    second = int(max(start, 0.0))
    while second < end:
        covered = min(end, second + 1) - max(start, second)
        total += rates[min(second, len(rates) - 1)] * max(covered, 0.0)
        second += 1
    return total
