"""Admission of requests to services whose endpoints may be short of free slots."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import NamedTuple

from slatehoist.gateway.exchange import Exchange
from slatehoist.gateway.health import STATUS_FRESH_S, EndpointHealth
from slatehoist.gateway.model import Endpoint
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import FairQueue, Ticket
from slatehoist.routing.admission import (
    ArrivalRates,
    PauseLimit,
    ServiceLoad,
    ServiceTimes,
    Verdict,
    claimable,
    expected_wait_s,
    judge,
    latest_send_s,
)

log = logging.getLogger(__name__)

#: Largest number of requests that wait for one level of urgency of a service.
MAX_WAITING = 512
#: Seconds between checks for free slots while requests wait.
POLL_S = 0.03
#: Seconds beyond its longest wait after which a request is rejected in any case.
EXPIRY_MARGIN_S = 0.2
#: Fraction of the endpoints that must have a fresh status for the load to be known.
MIN_KNOWN_RATIO = 0.5
#: Upper bound in seconds on the `Retry-After` of a rejected request, before jitter.
#: Callers cap longer values at a third of their deadline, which removes the jitter.
MAX_RETRY_WAIT_S = 1.8
#: Tokens that a request is charged with if it states no size.
DEFAULT_COST = 1000.0
#: Cost of an answer's token in prompt tokens.
ANSWER_TOKEN_COST = 10.0
#: Lowest limit for the most urgent requests, as a fraction of the slots.
MIN_URGENT_LIMIT = 0.8


class AdmissionError(Exception):
    """Raised for a request that is rejected because no slot is free in time.

    Attributes
    ----------
    wait_s : float
        Expected seconds until a retry can be admitted.
    """

    def __init__(self, wait_s: float) -> None:
        super().__init__("no capacity for this request")
        self.wait_s = wait_s


class _Waiting(NamedTuple):
    """Request that waits for a slot."""

    exchange: Exchange
    admitted: asyncio.Future


class _ServiceState:
    """Requests, limits and measured times of one service."""

    def __init__(self) -> None:
        self.active = 0
        self.arrivals = ArrivalRates()
        self.limit = PauseLimit()
        self.times = ServiceTimes()
        #: Waiting requests, by urgency.
        self.queues: dict[int, FairQueue] = {}
        self.pump: asyncio.Task | None = None

    def waiting(self, urgency: int) -> int:
        """Return the number of waiting requests that go before one of an urgency."""
        return sum(len(q) for level, q in self.queues.items() if level <= urgency)


class Admission:
    """Admit requests by urgency, and let others wait or reject them.

    Parameters
    ----------
    endpoints : callable
        Returns the endpoints of a service that take requests at a time.
    instances : callable
        Returns the number of instances that share the services.
    """

    def __init__(
        self,
        endpoints: Callable[[str, float], Sequence[Endpoint]],
        health: EndpointHealth,
        instances: Callable[[], int],
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._health = health
        self._instances = instances
        self._metrics = metrics
        self._clock = clock
        self._services: dict[str, _ServiceState] = {}

    async def enter(self, exchange: Exchange) -> None:
        """Return when a request is admitted.

        Raises
        ------
        AdmissionError
            If no slot is likely to be free in time.
        """
        if exchange.service.engine is None:
            return
        name = exchange.service.name
        state = self._state(name)
        now = self._clock()
        urgency = exchange.urgency
        state.arrivals.record(urgency, now)
        if not state.waiting(urgency) and self._may_send(name, urgency, now):
            self._admit(exchange, state, now)
            return
        urgent_rate = state.arrivals.more_urgent(urgency, now)
        ahead = state.waiting(urgency)
        wait_s = expected_wait_s(ahead, state.active, urgent_rate, state.times)
        objective_s = exchange.objective_at - now
        latest_s = latest_send_s(objective_s, exchange.deadline_at - now, state.times)
        if judge(wait_s, latest_s) is Verdict.REJECT:
            self._reject(exchange, state, wait_s, now)
        if not await self._wait(exchange, state, latest_s, now):
            self._reject(exchange, state, wait_s, self._clock())

    async def _wait(
        self, exchange: Exchange, state: _ServiceState, latest_s: float, now: float
    ) -> bool:
        """Wait until a request is admitted; return False if that takes too long."""
        admitted = asyncio.get_running_loop().create_future()
        ticket = Ticket(
            exchange.team,
            "",
            _cost(exchange),
            0,
            now + latest_s,
            _Waiting(exchange, admitted),
        )
        queue = state.queues.setdefault(exchange.urgency, FairQueue(MAX_WAITING))
        for evicted in queue.push(ticket, now):
            _cancel(evicted)
        if state.pump is None:
            pump = self._pump(exchange.service.name, state)
            state.pump = asyncio.create_task(pump)
        try:
            # The queue expires requests itself; this ends the wait if its task fails.
            async with asyncio.timeout(latest_s + EXPIRY_MARGIN_S):
                return await admitted
        except TimeoutError:
            queue.remove(ticket)
            return False
        except asyncio.CancelledError:
            if not queue.remove(ticket) and admitted.done():
                self.leave(exchange)
            raise

    def leave(self, exchange: Exchange) -> None:
        """Record that an admitted request has ended."""
        state = self._services.get(exchange.service.name)
        if state is None or exchange.admitted_at is None:
            return
        state.active -= 1
        if exchange.first_byte_at is not None and exchange.is_stream:
            state.times.record(
                exchange.first_byte_at - exchange.admitted_at,
                self._clock() - exchange.admitted_at,
            )
        exchange.admitted_at = None
        self._admit_waiting(exchange.service.name, state)

    def record_pause(self, exchange: Exchange, pause_s: float, now: float) -> None:
        """Record the pause between two events of a stream."""
        state = self._services.get(exchange.service.name)
        accepted_s = exchange.route.pause_s
        if state is None or accepted_s is None:
            return
        state.limit.record(pause_s, now)
        state.limit.update(accepted_s, now)

    def _state(self, service: str) -> _ServiceState:
        return self._services.setdefault(service, _ServiceState())

    def _may_send(self, service: str, urgency: int, now: float) -> bool:
        """Return True if a request of an urgency may be sent now."""
        state = self._services[service]
        load = self._load(service, state, now)
        if load is None:
            return True
        urgent_rate = state.arrivals.more_urgent(urgency, now)
        limit = state.limit.fraction
        if urgent_rate == 0.0:
            limit = max(limit, MIN_URGENT_LIMIT)
        return claimable(load, limit, urgent_rate) >= 1.0

    def _load(
        self, service: str, state: _ServiceState, now: float
    ) -> ServiceLoad | None:
        """Return the load of a service, or None if too few statuses are known."""
        slots = reported = own_reported = 0.0
        known = count = 0
        for endpoint in self._endpoints(service, now):
            count += 1
            record = self._health.get_record(endpoint.endpoint_id)
            if now - record.status_at > STATUS_FRESH_S:
                own_reported += record.inflight
                continue
            known += 1
            slots += max(endpoint.concurrency / record.pace, 1.0)
            reported += record.reported_load
            own_reported += record.inflight_at_report
        if not known or known < count * MIN_KNOWN_RATIO:
            return None
        return ServiceLoad(
            slots, reported, own_reported, state.active, self._instances()
        )

    def _admit(self, exchange: Exchange, state: _ServiceState, now: float) -> None:
        state.active += 1
        exchange.admitted_at = now
        self._metrics.admissions.labels("admitted").inc()

    def _reject(
        self, exchange: Exchange, state: _ServiceState, wait_s: float, now: float
    ) -> None:
        self._metrics.admissions.labels("rejected").inc()
        log.info(
            "admission_rejected",
            extra={
                "request": exchange.info.request_id,
                "route": exchange.route.name,
                "urgency": exchange.urgency,
                "held_ms": milliseconds(now - exchange.arrived_at),
                "expected_wait_ms": milliseconds(wait_s),
                "waiting": state.waiting(exchange.urgency),
                "active": state.active,
                "limit": round(state.limit.fraction, 2),
            },
        )
        raise AdmissionError(min(wait_s, MAX_RETRY_WAIT_S))

    async def _pump(self, service: str, state: _ServiceState) -> None:
        """Admit and expire waiting requests until none waits."""
        try:
            while any(state.queues.values()):
                await asyncio.sleep(POLL_S)
                self._admit_waiting(service, state)
        except Exception:
            # Those that wait are rejected when their wait ends.
            log.exception("admission_failed", extra={"service": service})
        finally:
            state.pump = None

    def _admit_waiting(self, service: str, state: _ServiceState) -> None:
        now = self._clock()
        for queue in state.queues.values():
            for expired in queue.expire(now):
                _cancel(expired)
        for urgency, queue in sorted(state.queues.items()):
            while len(queue):
                if not self._may_send(service, urgency, now):
                    return
                ticket, expired = queue.pop(now)
                for other in expired:
                    _cancel(other)
                if ticket is None or ticket.item.admitted.done():
                    continue
                self._admit(ticket.item.exchange, state, now)
                ticket.item.admitted.set_result(True)


def _cancel(ticket: Ticket) -> None:
    if not ticket.item.admitted.done():
        ticket.item.admitted.set_result(False)


def _cost(exchange: Exchange) -> float:
    info = exchange.info
    cost = info.prompt_tokens + ANSWER_TOKEN_COST * info.answer_tokens
    return float(cost) or DEFAULT_COST
