"""Allocation of an endpoint's free slots to the instances that send requests to it.

Instances that see the same list of free slots choose the same slots at the same moment.
The agent of an endpoint therefore states to each subscriber how many free slots this
one may fill until the next status. A slot is allocated to one subscriber only, and an
unused allocation expires with the next status.

Subscribers take turns in proportion to the demand that they state (smooth weighted
round robin), so that no two orders of subscribers have to be agreed on.
"""

import math
import random
from collections.abc import Hashable

#: Free slots per slot that is allocated in a status interval. If all free slots were
#: allocated, a status interval would fill an endpoint while others are nearly idle.
FREE_PER_ALLOCATED = 2
#: Bound on the turns that a subscriber can be ahead or behind, so that a change of the
#: demands takes effect within a few intervals.
_MAX_CREDIT = 1.0


class _Subscriber:
    """Demand of one subscriber, and the turns that it is behind."""

    __slots__ = ("credit", "demand")

    def __init__(self, credit: float) -> None:
        self.credit = credit
        self.demand = 0.0


class CapacityAllocator:
    """Allocate the free slots of one endpoint to its subscribers.

    Parameters
    ----------
    rng : random.Random
        Draws the first turn of each subscriber. Agents that start together would
        otherwise all allocate their slots to the same subscriber.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._subscribers: dict[Hashable, _Subscriber] = {}

    def set_demand(self, name: Hashable, demand: float) -> None:
        """Set the requests per second that a subscriber has for this endpoint.

        A subscriber without demand gets no allocation.
        """
        if not 0 < demand < math.inf:
            self.remove(name)
            return
        subscriber = self._subscribers.get(name)
        if subscriber is None:
            credit = self._rng.uniform(-_MAX_CREDIT, _MAX_CREDIT) / 2
            subscriber = self._subscribers[name] = _Subscriber(credit)
        subscriber.demand = demand

    def remove(self, name: Hashable) -> None:
        """Remove a subscriber."""
        self._subscribers.pop(name, None)

    def allocate(self, free: int) -> dict[Hashable, int]:
        """Return the slots that subscribers may fill until the next status.

        Parameters
        ----------
        free : int
            Free slots of the endpoint.
        """
        if free <= 0 or not self._subscribers:
            return {}
        allocated: dict[Hashable, int] = {}
        for _ in range(-(-free // FREE_PER_ALLOCATED)):
            name = self._next_turn()
            allocated[name] = allocated.get(name, 0) + 1
        return allocated

    def _next_turn(self) -> Hashable:
        total = sum(s.demand for s in self._subscribers.values())
        for subscriber in self._subscribers.values():
            credit = subscriber.credit + subscriber.demand / total
            subscriber.credit = min(credit, _MAX_CREDIT)
        name, first = max(self._subscribers.items(), key=lambda item: item[1].credit)
        first.credit = max(first.credit - 1.0, -_MAX_CREDIT)
        return name
