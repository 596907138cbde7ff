"""What is reserved for an attempt before it is made.

An attempt that still runs is given up for another one only if that one certainly gets
what it needs. A check alone would not show that: other requests may use up what was
found before the attempt has ended.
"""

from collections.abc import Callable
from typing import NamedTuple

from slatehoist.gateway.model import Endpoint
from slatehoist.routing import RetryReservation


class EndpointReservation:
    """Endpoint chosen for an attempt, whose slot and shares are used from then on.

    Attributes
    ----------
    endpoint : Endpoint
    chosen_by : str
        Rule that chose the endpoint; empty for the default.
    """

    def __init__(
        self, endpoint: Endpoint, chosen_by: str, give_back: Callable[[], None]
    ) -> None:
        self.endpoint = endpoint
        self.chosen_by = chosen_by
        self._give_back: Callable[[], None] | None = give_back

    def take(self) -> None:
        """Keep what is reserved: the request is sent."""
        self._give_back = None

    def cancel(self) -> None:
        """Give back what is reserved, unless it was taken or given back before."""
        give_back, self._give_back = self._give_back, None
        if give_back is not None:
            give_back()


class Successor(NamedTuple):
    """All that the attempt after the current one needs.

    Attributes
    ----------
    endpoint : EndpointReservation
    retry : RetryReservation
    """

    endpoint: EndpointReservation
    retry: RetryReservation

    def cancel(self) -> None:
        """Give back all of it, since the attempt is not made."""
        self.endpoint.cancel()
        self.retry.cancel()
