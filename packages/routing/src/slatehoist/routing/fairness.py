"""Fair queue of one endpoint: service is shared by weight among members, then teams.

The queue decides which request an endpoint serves next, and which one is evicted when
the queue is full. It uses hierarchical start-time fair queueing: each member, and each
team of a member, has a virtual time that advances by the tokens served divided by its
weight, and the one with the smallest virtual time is served next. A member or team
that was idle keeps a bounded credit, so that it may catch up on a little of the service
that it did not use, but cannot accumulate a burst. When the queue is full, the member
with the largest backlog relative to its weight loses a request.
"""

import heapq
import itertools
from typing import Any, NamedTuple

#: Credit of an idle member or team, in tokens per unit of weight.
IDLE_CREDIT_TOKENS = 4000.0


class Ticket(NamedTuple):
    """One request in the queue.

    Attributes
    ----------
    cost : float
        Estimated service in tokens.
    priority : int
        Larger values are served first within the team.
    deadline : float
        Time, on the clock of ``now``, after which the response is useless.
    item : Any
        Data of the caller; the queue does not read it.
    """

    member: str
    team: str
    cost: float
    priority: int
    deadline: float
    item: Any = None


class _Flow:
    """Virtual time and backlog of one member or team."""

    def __init__(self, name: str, weight: float) -> None:
        self.name = name
        self.weight = weight
        self.vtime = 0.0
        self.waiting = 0
        self.waiting_cost = 0.0

    def charge(self, cost: float) -> None:
        self.vtime += cost / self.weight


class _Level:
    """Flows that share a service: all members, or the teams of one member."""

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

    def catch_up(self, flow: _Flow) -> None:
        """Advance an idle flow's virtual time to the level's, less the credit."""
        if flow.waiting == 0:
            flow.vtime = max(flow.vtime, self.vtime - self._credit)

    def next_flow(self) -> _Flow | None:
        """Return the waiting flow with the smallest virtual time, or None."""
        waiting = [flow for flow in self.flows.values() if flow.waiting]
        if not waiting:
            return None
        flow = min(waiting, key=lambda flow: flow.vtime)
        self.vtime = max(self.vtime, flow.vtime)
        return flow


class _Member(_Flow):
    """Flow of a member, with the flows and heaps of its teams."""

    def __init__(self, name: str, weight: float, credit: float) -> None:
        super().__init__(name, weight)
        self.teams = _Level(credit)
        self.heaps: dict[str, list] = {}


class FairQueue:
    """Queue that gives each member and team its weighted share of one endpoint.

    Parameters
    ----------
    max_waiting : int
        Largest number of tickets waiting at once.
    idle_credit : float
        Credit of an idle member or team, in tokens per unit of weight.
    """

    def __init__(
        self, max_waiting: int, idle_credit: float = IDLE_CREDIT_TOKENS
    ) -> None:
        self.max_waiting = max_waiting
        self._credit = idle_credit
        self._members = _Level(idle_credit)
        self._sequence = itertools.count()
        self._weights: dict[tuple[str, str], float] = {}
        # Numbers of removed tickets, which stay in their heap until they are popped.
        self._removed: set[int] = set()
        self._numbers_by_id: dict[int, int] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weight(self, member: str, team: str, weight: float) -> None:
        """Set the weight of a member (team ``''``) or of one of its teams."""
        self._weights[member, team] = max(weight, 1e-6)

    def push(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Add a ticket and return those evicted for it, which may include itself.

        Tickets whose deadline has passed are evicted first, then the newest of the
        lowest-priority tickets of the member with the largest backlog relative to its
        weight.
        """
        evicted = []
        if self._length >= self.max_waiting:
            evicted = self.expire(now)
        self._add(ticket)
        while self._length > self.max_waiting:
            evicted.append(self._evict_one())
        return evicted

    def pop(self, now: float) -> tuple[Ticket | None, list[Ticket]]:
        """Remove and return the next ticket, and the expired ones found before it.

        The ticket is None if all waiting tickets were expired or there were none.
        """
        expired = []
        while True:
            ticket = self._pop_next()
            if ticket is None or ticket.deadline > now:
                return ticket, expired
            self._refund(ticket, ticket.cost)
            expired.append(ticket)

    def correct_charge(self, ticket: Ticket, actual_cost: float) -> None:
        """Correct a popped ticket's charge from its estimated to its actual cost."""
        self._refund(ticket, ticket.cost - actual_cost)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket; return False if it is not in the queue."""
        number = self._numbers_by_id.pop(id(ticket), None)
        if number is None:
            return False
        self._removed.add(number)
        self._subtract_waiting(ticket)
        return True

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return all tickets whose deadline has passed."""
        expired = [
            ticket
            for member in self._members.flows.values()
            for heap in member.heaps.values()
            for _, number, ticket in heap
            if number not in self._removed and ticket.deadline <= now
        ]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def expected_wait_s(self, member: str, rate: float) -> float:
        """Return the estimated wait of a member's new request, in seconds.

        Parameters
        ----------
        rate : float
            Tokens per second that the endpoint serves, all members together; 0 if it is
            not known yet, which gives a wait of 0.
        """
        if rate <= 0 or not self._length:
            return 0.0
        return self.waiting_cost(member) / (rate * self.service_share(member))

    def service_share(self, member: str) -> float:
        """Return a member's share of the service.

        The service is shared by the members that wait now and this one.
        """
        total = sum(f.weight for f in self._members.flows.values() if f.waiting)
        weight = self._weight(member, "")
        flow = self._members.flows.get(member)
        if flow is None or not flow.waiting:
            total += weight
        return weight / total

    def waiting_cost(self, member: str) -> float:
        """Return the estimated tokens of a member's waiting tickets."""
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
        self._members.catch_up(member)
        member.teams.catch_up(team)
        for flow in (member, team):
            flow.waiting += 1
            flow.waiting_cost += ticket.cost
        number = next(self._sequence)
        heap = member.heaps.setdefault(ticket.team, [])
        heapq.heappush(heap, (-ticket.priority, number, ticket))
        self._numbers_by_id[id(ticket)] = number
        self._length += 1

    def _pop_next(self) -> Ticket | None:
        member = self._members.next_flow()
        if member is None:
            return None
        team = member.teams.next_flow()
        heap = member.heaps[team.name]
        while True:
            _, number, ticket = heapq.heappop(heap)
            if number not in self._removed:
                break
            self._removed.discard(number)
        self._numbers_by_id.pop(id(ticket), None)
        self._subtract_waiting(ticket)
        member.charge(ticket.cost)
        team.charge(ticket.cost)
        return ticket

    def _subtract_waiting(self, ticket: Ticket) -> None:
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
        """Remove and return the newest lowest-priority ticket of the largest backlog.

        The member with the largest waiting cost relative to its weight is selected,
        then one of its teams in the same way.
        """
        member = _largest_backlog(self._members)
        team = _largest_backlog(member.teams)
        _, _, ticket = max(
            item for item in member.heaps[team.name] if item[1] not in self._removed
        )
        self.remove(ticket)
        return ticket


def _largest_backlog(level: _Level) -> Any:
    """Return the flow with the largest waiting cost relative to its weight."""
    return max(level.flows.values(), key=lambda f: f.waiting_cost / f.weight)
