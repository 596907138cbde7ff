"""Fair queue of one endpoint: service shared by weight among members, then teams.

Service is counted in tokens with start-time fair queueing on two levels. A member
that was idle keeps a bounded credit, so that it may catch up on a little of what it
did not use but can never store up a burst. When the queue is full, the member that
holds most of it for its weight makes room.
"""

import heapq
import itertools
from typing import Any, NamedTuple

#: Virtual service, in tokens per unit of weight, that an idle member may keep.
IDLE_CREDIT_TOKENS = 4000.0


class Ticket(NamedTuple):
    """One request in the queue.

    Attributes
    ----------
    cost : float
        Estimated service in tokens.
    priority : int
        Larger goes first within the team.
    deadline : float
        Time, on the clock of ``now``, after which the answer is of no use.
    item : Any
        What the queue's user wants back.
    """

    member: str
    team: str
    cost: float
    priority: int
    deadline: float
    item: Any = None


class _Flow:
    """Virtual time of one member or team among its siblings."""

    def __init__(self, name: str, weight: float) -> None:
        self.name = name
        self.weight = weight
        self.vtime = 0.0
        self.waiting = 0
        self.waiting_cost = 0.0

    def charge(self, cost: float) -> None:
        self.vtime += cost / self.weight


class _Level:
    """Set of flows that share a service."""

    def __init__(self, credit: float) -> None:
        self.flows: dict[str, _Flow] = {}
        self.vtime = 0.0
        self._credit = credit

    def flow(self, name: str, weight: float) -> _Flow:
        flow = self.flows.get(name)
        if flow is None:
            flow = self.flows[name] = _Flow(name, weight)
            flow.vtime = self.vtime
        flow.weight = weight
        return flow

    def wake(self, flow: _Flow) -> None:
        """Bring an idle flow's virtual time up to the present, less its credit."""
        if flow.waiting == 0:
            flow.vtime = max(flow.vtime, self.vtime - self._credit)

    def next_flow(self) -> _Flow | None:
        waiting = [flow for flow in self.flows.values() if flow.waiting]
        if not waiting:
            return None
        flow = min(waiting, key=lambda flow: flow.vtime)
        self.vtime = max(self.vtime, flow.vtime)
        return flow


class _Member(_Flow):
    """Member's flow with the teams below it."""

    def __init__(self, name: str, weight: float, credit: float) -> None:
        super().__init__(name, weight)
        self.teams = _Level(credit)
        self.heaps: dict[str, list] = {}


class FairQueue:
    """Queue that gives each member and team its share of one endpoint.

    Parameters
    ----------
    max_waiting : int
        Most tickets waiting at once.
    idle_credit : float
        Tokens per unit of weight that an idle member or team may keep.
    """

    def __init__(
        self, max_waiting: int, idle_credit: float = IDLE_CREDIT_TOKENS
    ) -> None:
        self.max_waiting = max_waiting
        self._credit = idle_credit
        self._members = _Level(idle_credit)
        self._numbers = itertools.count()
        self._weights: dict[tuple[str, str], float] = {}
        self._gone: set[int] = set()
        self._ids: dict[int, int] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weight(self, member: str, team: str, weight: float) -> None:
        """Set the weight of a member (team ``''``) or of one of its teams."""
        self._weights[member, team] = max(weight, 1e-6)

    def push(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Add a ticket and return those that had to make room, maybe itself.

        Tickets whose deadline has passed go first; then the last of the member that
        holds most of the queue for its weight.
        """
        evicted = []
        if self._length >= self.max_waiting:
            evicted = self.expire(now)
        self._add(ticket)
        while self._length > self.max_waiting:
            evicted.append(self._evict_one())
        return evicted

    def pop(self, now: float) -> tuple[Ticket | None, list[Ticket]]:
        """Take the ticket whose turn it is, and those found to be too late."""
        late = []
        while True:
            ticket = self._pop_any()
            if ticket is None or ticket.deadline > now:
                return ticket, late
            self._refund(ticket, ticket.cost)
            late.append(ticket)

    def correct_charge(self, ticket: Ticket, actual_cost: float) -> None:
        """Correct the charge of a popped ticket to what it really used."""
        self._refund(ticket, ticket.cost - actual_cost)

    def remove(self, ticket: Ticket) -> bool:
        """Take a waiting ticket out, for a caller that went away."""
        number = self._ids.pop(id(ticket), None)
        if number is None:
            return False
        self._gone.add(number)
        self._forget(ticket)
        return True

    def expire(self, now: float) -> list[Ticket]:
        """Take out all tickets whose deadline has passed."""
        late = [
            ticket
            for member in self._members.flows.values()
            for heap in member.heaps.values()
            for _, number, ticket in heap
            if number not in self._gone and ticket.deadline <= now
        ]
        for ticket in late:
            self.remove(ticket)
        return late

    def expected_wait_s(self, member: str, rate: float) -> float:
        """Estimate how long a new request of a member would wait, in seconds.

        Parameters
        ----------
        rate : float
            Tokens a second that the endpoint serves, all members together.
        """
        if rate <= 0 or not self._length:
            return 0.0
        return self.waiting_cost(member) / (rate * self.share_of(member))

    def share_of(self, member: str) -> float:
        """Give a member's share of the service among those that now wait."""
        total = sum(f.weight for f in self._members.flows.values() if f.waiting)
        weight = self._weight(member, "")
        flow = self._members.flows.get(member)
        if flow is None or not flow.waiting:
            total += weight
        return weight / total

    def waiting_cost(self, member: str) -> float:
        """Give the tokens that a member has waiting."""
        flow = self._members.flows.get(member)
        return flow.waiting_cost if flow is not None else 0.0

    def _weight(self, member: str, team: str) -> float:
        return self._weights.get((member, team), 1.0)

    def _member(self, name: str) -> _Member:
        flow = self._members.flows.get(name)
        if flow is None:
            flow = _Member(name, 1.0, self._credit)
            flow.vtime = self._members.vtime
            self._members.flows[name] = flow
        flow.weight = self._weight(name, "")
        return flow

    def _add(self, ticket: Ticket) -> None:
        member = self._member(ticket.member)
        team = member.teams.flow(ticket.team, self._weight(ticket.member, ticket.team))
        self._members.wake(member)
        member.teams.wake(team)
        for flow in (member, team):
            flow.waiting += 1
            flow.waiting_cost += ticket.cost
        number = next(self._numbers)
        heap = member.heaps.setdefault(ticket.team, [])
        heapq.heappush(heap, (-ticket.priority, number, ticket))
        self._ids[id(ticket)] = number
        self._length += 1

    def _pop_any(self) -> Ticket | None:
        member = self._members.next_flow()
        if member is None:
            return None
        team = member.teams.next_flow()
        heap = member.heaps[team.name]
        while True:
            _, number, ticket = heapq.heappop(heap)
            if number not in self._gone:
                break
            self._gone.discard(number)
        self._ids.pop(id(ticket), None)
        self._forget(ticket)
        member.charge(ticket.cost)
        team.charge(ticket.cost)
        return ticket

    def _forget(self, ticket: Ticket) -> None:
        member = self._members.flows[ticket.member]
        for flow in (member, member.teams.flows[ticket.team]):
            flow.waiting -= 1
            flow.waiting_cost -= ticket.cost
        self._length -= 1

    def _refund(self, ticket: Ticket, cost: float) -> None:
        member = self._members.flows[ticket.member]
        member.charge(-cost)
        member.teams.flows[ticket.team].charge(-cost)

    def _evict_one(self) -> Ticket:
        """Take the newest, least urgent ticket of the greediest member and team."""
        member = _greediest(self._members)
        team = _greediest(member.teams)
        _, _, ticket = max(
            entry for entry in member.heaps[team.name] if entry[1] not in self._gone
        )
        self.remove(ticket)
        return ticket


def _greediest(level: _Level) -> Any:
    return max(level.flows.values(), key=lambda f: f.waiting_cost / f.weight)
