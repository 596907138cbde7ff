"""Passive health of endpoints: outlier ejection, reported load and group state.

No health checks are sent. An endpoint that fails several requests in a row is ejected
for a time that doubles with each ejection; at most half of a service's endpoints are
left out.
"""

from collections import deque
from collections.abc import Sequence
from enum import StrEnum

from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.settings import POOL_IDLE_S
from slatehoist.routing import Candidate, discard_time

#: Consecutive failures after which an endpoint is ejected; a single failure may be
#: caused by the request.
EJECT_FAILURES = 3
#: Seconds of the first ejection: about the time in which a crashed server restarts.
FIRST_EJECTION_S = 1.0
#: Longest ejection in seconds, so that a recovered endpoint is soon used again.
MAX_EJECTION_S = 8.0
#: Fraction of a service's endpoints that may be left out, so that a network fault near
#: this instance cannot leave the service without endpoints.
MAX_EJECTED_RATIO = 0.5

#: Pace (time of a pass as a multiple of the usual one) from which an endpoint gets no
#: new work while others are available: a straggler delays its whole lock-step group.
SLOW_PACE = 1.4
#: Seconds for which a status is valid: somewhat longer than the status interval.
STATUS_FRESH_S = 0.5
#: Seconds for which an allocation is valid if no further status arrives: the status
#: interval with some delay, after which the slots may be allocated to another instance.
ALLOCATION_S = 0.25
#: Seconds from the sending of a request until a report that includes it can arrive: the
#: request travels to the endpoint, and the report back.
REPORT_TRAVEL_S = 0.01
#: Requests per endpoint whose sending times are kept. More are not sent to an endpoint
#: in `REPORT_TRAVEL_S`; the number only bounds the memory.
_MAX_RECENT = 32


class GroupState(StrEnum):
    """State of the lock-step groups of a service.

    - ``open``: a group runs passes, or no status is known.
    - ``forming``: all ranks report a status, and a group opens in less than a second.
    - ``closed``: a rank reports no status.
    """

    OPEN = "open"
    FORMING = "forming"
    CLOSED = "closed"


class _EndpointRecord:
    """Failures, load and latest status of one endpoint."""

    __slots__ = (
        "ejected_until",
        "ejection_s",
        "failures",
        "inflight",
        "sent_at",
        "idle_since",
        "reported_load",
        "reported_at",
        "inflight_at_report",
        "allocated",
        "allocated_at",
        "pace",
        "status_at",
        "group_open",
    )

    def __init__(self) -> None:
        self.inflight = 0
        #: Times at which the latest requests were sent, the newest last.
        self.sent_at: deque[float] = deque(maxlen=_MAX_RECENT)
        self.clear()

    def clear(self) -> None:
        """Forget all but the requests in flight."""
        #: Times at which requests ended whose connections no later one uses.
        self.idle_since: deque[float] = deque(maxlen=_MAX_RECENT)
        self.failures = 0
        self.ejection_s = FIRST_EJECTION_S
        self.ejected_until = float("-inf")
        self.reported_load = 0.0
        self.reported_at = float("-inf")
        self.inflight_at_report = 0
        self.allocated = 0
        self.allocated_at = float("-inf")
        self.pace = 1.0
        self.status_at = float("-inf")
        self.group_open = True

    def record_end(self, now: float) -> None:
        """Record that an attempt has ended, so that its connection is idle."""
        self.inflight -= 1
        self.idle_since.append(now)

    def has_idle_connection(self, now: float) -> bool:
        """Return True if a connection is probably idle and still open."""
        return bool(self.idle_since) and now - self.idle_since[-1] < POOL_IDLE_S


class EndpointHealth:
    """Track failures, ejections, load and status of endpoints in one instance."""

    def __init__(self) -> None:
        self._records: dict[str, _EndpointRecord] = {}

    def get_record(self, endpoint_id: str) -> _EndpointRecord:
        """Return the record of an endpoint, and create it if there is none."""
        record = self._records.get(endpoint_id)
        if record is None:
            record = self._records[endpoint_id] = _EndpointRecord()
        return record

    def forget(self, endpoint_id: str) -> None:
        """Drop the record of an endpoint that left or restarted.

        Attempts in flight refer to the record, and count themselves out of it later, so
        it is kept for them.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return
        if record.inflight:
            record.clear()
        else:
            del self._records[endpoint_id]

    def record_success(self, endpoint_id: str) -> None:
        """Record a response that shows that the endpoint works."""
        record = self.get_record(endpoint_id)
        record.failures = 0
        record.ejection_s = FIRST_EJECTION_S

    def record_failure(self, endpoint_id: str, now: float) -> bool:
        """Record a failure, and return True if it ejects the endpoint."""
        record = self.get_record(endpoint_id)
        record.failures += 1
        if record.failures < EJECT_FAILURES or now < record.ejected_until:
            return False
        record.ejected_until = now + record.ejection_s
        record.ejection_s = min(record.ejection_s * 2, MAX_EJECTION_S)
        return True

    def observe_load(
        self, endpoint_id: str, running: int, waiting: int, now: float
    ) -> None:
        """Record the load that an endpoint reports.

        Requests that were sent just before the report arrived are not part of it.
        """
        record = self.get_record(endpoint_id)
        record.reported_load = running + waiting
        record.reported_at = now
        missing = 0
        for sent_at in reversed(record.sent_at):
            if now - sent_at >= REPORT_TRAVEL_S:
                break
            missing += 1
        record.inflight_at_report = max(0, record.inflight - missing)

    def observe_allocation(self, endpoint_id: str, slots: int, now: float) -> None:
        """Record the free slots that this instance may fill until the next status."""
        record = self.get_record(endpoint_id)
        record.allocated = slots
        record.allocated_at = now

    def allocated(self, endpoints: Sequence[Endpoint], now: float) -> int:
        """Return the allocated slots that are still unused."""
        records = (self.get_record(e.endpoint_id) for e in endpoints)
        return sum(r.allocated for r in records if now - r.allocated_at <= ALLOCATION_S)

    def record_sent(self, endpoint_id: str, now: float) -> bool:
        """Record that a request is sent; return True if it uses an allocated slot.

        The attempt itself is counted in `inflight` while it lasts.
        """
        record = self.get_record(endpoint_id)
        record.sent_at.append(now)
        if record.idle_since:
            record.idle_since.pop()
        uses_slot = record.allocated > 0
        record.allocated -= uses_slot
        return uses_slot

    def cancel_sent(self, endpoint_id: str, sent_at: float, used_slot: bool) -> None:
        """Take back a request that `record_sent` has counted, since it is not sent.

        An allocated slot is given back unless a newer status has dealt them again.
        """
        record = self.get_record(endpoint_id)
        discard_time(record.sent_at, sent_at)
        if used_slot and record.allocated_at <= sent_at:
            record.allocated += 1

    def candidate(self, endpoint: Endpoint, now: float) -> Candidate:
        """Return what this instance knows of an endpoint, for the chooser."""
        record = self.get_record(endpoint.endpoint_id)
        return Candidate(
            endpoint.endpoint_id,
            endpoint.zone,
            own_inflight=record.inflight,
            reported_load=record.reported_load,
            own_at_report=record.inflight_at_report,
            report_age_s=now - record.reported_at,
            # A straggler completes fewer requests in the same time.
            concurrency=max(endpoint.concurrency / record.pace, 1),
            allocated=(
                record.allocated if now - record.allocated_at <= ALLOCATION_S else 0
            ),
            has_idle_connection=record.has_idle_connection(now),
        )

    def observe_status(
        self, endpoint_id: str, is_open: bool, pace: float, now: float
    ) -> None:
        """Record whether an endpoint's group is open, and the endpoint's pace."""
        record = self.get_record(endpoint_id)
        record.group_open = is_open
        record.pace = pace
        record.status_at = now

    def group_state(self, endpoints: Sequence[Endpoint], now: float) -> GroupState:
        """Return the state of the endpoints' groups, based on fresh statuses."""
        open_by_address: dict[str, bool] = {}
        for endpoint in endpoints:
            record = self.get_record(endpoint.endpoint_id)
            if now - record.status_at <= STATUS_FRESH_S:
                open_by_address[endpoint.address] = record.group_open
        if not open_by_address or any(open_by_address.values()):
            return GroupState.OPEN
        addresses = {endpoint.address for endpoint in endpoints}
        return (
            GroupState.FORMING
            if open_by_address.keys() == addresses
            else GroupState.CLOSED
        )

    def in_open_groups(
        self, endpoints: Sequence[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints whose groups are not known to be closed.

        Return all of them if all groups are closed. A closed group refuses each request
        after a while, at any of its ranks.
        """
        open_endpoints = [
            endpoint
            for endpoint in endpoints
            if (record := self.get_record(endpoint.endpoint_id)).group_open
            or now - record.status_at > STATUS_FRESH_S
        ]
        return open_endpoints or list(endpoints)

    def has_status(self, endpoints: Sequence[Endpoint], now: float) -> bool:
        """Return True if the status of any of the endpoints is fresh."""
        records = (self.get_record(e.endpoint_id) for e in endpoints)
        return any(now - record.status_at <= STATUS_FRESH_S for record in records)

    def pace(self, endpoint_id: str, now: float) -> float:
        """Return the endpoint's pace, or 1.0 if its status is not fresh."""
        record = self.get_record(endpoint_id)
        return record.pace if now - record.status_at <= STATUS_FRESH_S else 1.0

    def available(self, endpoints: Sequence[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that are neither ejected nor slow.

        Return all of them if more than half would be left out.
        """
        healthy = [
            e for e in endpoints if now >= self.get_record(e.endpoint_id).ejected_until
        ]
        healthy = [e for e in healthy if self.pace(e.endpoint_id, now) < SLOW_PACE]
        min_count = len(endpoints) * (1 - MAX_EJECTED_RATIO)
        return healthy if healthy and len(healthy) >= min_count else list(endpoints)
