"""Passive health of endpoints, judged by the answers they give.

No health checks are sent. An endpoint that fails several requests in a row is left
out for a while, and longer each time; at most half of a service is left out.
"""

from collections.abc import Sequence
from enum import StrEnum

from slatehoist.gateway.model import Endpoint

#: Failures in a row after which an endpoint is ejected; a single failure may be the
#: request's own fault.
EJECT_FAILURES = 3
#: Seconds of the first ejection: about the time in which a crashed server returns.
FIRST_EJECTION_S = 1.0
#: Longest ejection in seconds, so that a server that healed is found again.
MAX_EJECTION_S = 8.0
#: Part of a service's endpoints that may be ejected, so that a fault of the network
#: near this instance cannot empty the service.
MAX_EJECTED_RATIO = 0.5

#: Pace from which on an endpoint gets no work while others are there. In a lock-step
#: group it would make all the others wait.
AVOIDED_PACE = 1.4
#: Seconds for which a status is believed: some more than the time between two.
STATUS_FRESH_S = 0.5


class GroupState(StrEnum):
    """Whether lock-step groups run.

    ``forming`` ones have all their ranks back and will run in less than a second;
    ``closed`` ones wait for a rank.
    """

    OPEN = "open"
    FORMING = "forming"
    CLOSED = "closed"


class _Record:
    __slots__ = (
        "ejected_until",
        "ejection_s",
        "failures",
        "inflight",
        "reported",
        "reported_at",
        "own_at_report",
        "pace",
        "paced_at",
        "is_open",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.ejection_s = FIRST_EJECTION_S
        self.ejected_until = float("-inf")
        self.inflight = 0
        self.reported = 0.0
        self.reported_at = float("-inf")
        self.own_at_report = 0
        self.pace = 1.0
        self.paced_at = float("-inf")
        self.is_open = True


class EndpointHealth:
    """Outcomes, load and ejections of endpoints as seen by one instance."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record(self, endpoint_id: str) -> _Record:
        """Give the record of an endpoint."""
        record = self._records.get(endpoint_id)
        if record is None:
            record = self._records[endpoint_id] = _Record()
        return record

    def forget(self, endpoint_id: str) -> None:
        """Drop the record of an endpoint that left or started anew."""
        record = self._records.pop(endpoint_id, None)
        if record is not None and record.inflight:
            fresh = self.record(endpoint_id)
            fresh.inflight = record.inflight

    def succeeded(self, endpoint_id: str) -> None:
        """Note an answer that shows the endpoint to be sound."""
        record = self.record(endpoint_id)
        record.failures = 0
        record.ejection_s = FIRST_EJECTION_S

    def failed(self, endpoint_id: str, now: float) -> bool:
        """Note a failure; return whether the endpoint is ejected by it."""
        record = self.record(endpoint_id)
        record.failures += 1
        if record.failures < EJECT_FAILURES or now < record.ejected_until:
            return False
        record.ejected_until = now + record.ejection_s
        record.ejection_s = min(record.ejection_s * 2, MAX_EJECTION_S)
        return True

    def observe_load(
        self, endpoint_id: str, running: int, waiting: int, now: float
    ) -> None:
        """Note the load that an endpoint reports."""
        record = self.record(endpoint_id)
        record.reported = running + waiting
        record.reported_at = now
        record.own_at_report = record.inflight

    def observe_status(
        self, endpoint_id: str, is_open: bool, pace: float, now: float
    ) -> None:
        """Note whether an endpoint's group runs, and how slow the endpoint is."""
        record = self.record(endpoint_id)
        record.is_open = is_open
        record.pace = pace
        record.paced_at = now

    def group_state(self, endpoints: Sequence[Endpoint], now: float) -> GroupState:
        """Judge whether the groups of some endpoints run, by their fresh statuses."""
        told: dict[str, bool] = {}
        for endpoint in endpoints:
            record = self.record(endpoint.endpoint_id)
            if now - record.paced_at <= STATUS_FRESH_S:
                told[endpoint.address] = record.is_open
        if not told or any(told.values()):
            return GroupState.OPEN
        everyone = {endpoint.address for endpoint in endpoints}
        return GroupState.FORMING if told.keys() == everyone else GroupState.CLOSED

    def pace(self, endpoint_id: str, now: float) -> float:
        """Give how many times as long as usual an endpoint needs."""
        record = self.record(endpoint_id)
        return record.pace if now - record.paced_at <= STATUS_FRESH_S else 1.0

    def available(self, endpoints: Sequence[Endpoint], now: float) -> list[Endpoint]:
        """Leave out ejected endpoints, unless more than half would be."""
        healthy = [
            e for e in endpoints if now >= self.record(e.endpoint_id).ejected_until
        ]
        healthy = [e for e in healthy if self.pace(e.endpoint_id, now) < AVOIDED_PACE]
        least = len(endpoints) * (1 - MAX_EJECTED_RATIO)
        return healthy if healthy and len(healthy) >= least else list(endpoints)
