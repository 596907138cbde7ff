"""Choice of the endpoint for an attempt, among those that may get the request."""

import asyncio
import contextlib
from collections.abc import Callable

from slatehoist.gateway.cold_starts import ColdEndpoints
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.exchange import Exchange
from slatehoist.gateway.health import EndpointHealth, GroupState
from slatehoist.gateway.holds import EndpointHolds
from slatehoist.gateway.model import Endpoint, Service
from slatehoist.gateway.reservations import EndpointReservation
from slatehoist.gateway.settings import (
    EVEN_CHOICE_INSTANCES,
    GROUP_FORMING_POLL_S,
    GROUP_FORMING_WAIT_S,
    LIST_WAIT_S,
)
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import Chooser, Membership, Placement, ZoneDemand


class EndpointChoice:
    """Choose endpoints by their availability and load.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    placement : Placement
        Excludes the evacuated zones of `evacuations`.
    chooser : Chooser
    even_chooser : Chooser or None
        Used instead while several gateways choose by the statuses of agents.

    Attributes
    ----------
    holds : EndpointHolds
    cold : ColdEndpoints
    """

    def __init__(
        self,
        zone: str,
        directory: EndpointDirectory,
        health: EndpointHealth,
        holds: EndpointHolds,
        placement: Placement,
        evacuations: EvacuationState,
        cold: ColdEndpoints,
        chooser: Chooser,
        clock: Callable[[], float],
        even_chooser: Chooser | None = None,
        metrics: GatewayMetrics | None = None,
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._health = health
        self.holds = holds
        self._placement = placement
        self._evacuations = evacuations
        self.cold = cold
        self._chooser = chooser
        self._clock = clock
        self._even_chooser = even_chooser
        self._metrics = metrics
        self._instances = 0
        #: Demand by service, for the services that `_even_chooser` is used for.
        self._demands: dict[str, ZoneDemand] = {}

    def record_membership(self, membership: Membership, now: float) -> None:
        """Record the instances that share the rates that endpoints state."""
        self._instances = membership.instances
        self.holds.record_membership(membership, now)

    def spreads_evenly(self, service: Service) -> bool:
        """Return True if several gateways choose by reports of a stated age.

        The loads in responses, which are the only reports of a service without an
        engine, reach one gateway each. Gateways that read different reports do not
        choose the same endpoints, and the default chooser is more even then.
        """
        if self._even_chooser is None or self._instances < EVEN_CHOICE_INSTANCES:
            return False
        return service.engine is not None and service.engine.report_lag_ms is not None

    def demand(self, service: Service, endpoint: Endpoint, now: float) -> float:
        """Return the requests per second to state to the agent of an endpoint.

        The result is 0 if allocated slots are not used.
        """
        if not self.spreads_evenly(service):
            return 0.0
        demand = self._demands.setdefault(service.name, ZoneDemand())
        return demand.per_second(endpoint.zone == self._zone, now)

    async def wait_for_list(self) -> None:
        """Wait shortly for the endpoints and the evacuated zones, if they are overdue.

        Otherwise a process that stood still would send the requests that arrived
        meanwhile to endpoints that have left or are in evacuated zones.
        """
        now = self._clock()
        reads = []
        if self._directory.is_overdue(now):
            reads.append(self._directory.wait_for_read())
        if self._evacuations.is_overdue(now):
            reads.append(self._evacuations.wait_until_current())
        if not reads:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIST_WAIT_S):
                await asyncio.gather(*reads)

    def usable(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that take requests now.

        Those in evacuated zones, held ones, and those in closed groups do not.
        """
        listed = self._directory.of_service(service, now)
        placed = self._placement.allowed(listed)
        return self._health.in_open_groups(self.holds.available(placed, now), now)

    def has_statuses(self, service: Service, now: float) -> bool:
        """Return True if half of a service's endpoints or more have a fresh status."""
        listed = self._directory.of_service(service.name, now)
        fresh = sum(self._health.has_status([endpoint], now) for endpoint in listed)
        return fresh * 2 >= len(listed)

    def is_unplaced(self, exchange: Exchange) -> bool:
        """Return True if no endpoint may run the request, and set its `unplaced`."""
        self._placed(exchange, self._clock())
        return exchange.unplaced is not None

    def _placed(self, exchange: Exchange, now: float) -> list[Endpoint]:
        """Return the listed endpoints that may run the request by their place."""
        listed = self._directory.of_service(exchange.service.name, now)
        placed = self._placement.allowed(listed, *exchange.regions)
        exchange.unplaced = None
        if not placed:
            exchange.unplaced = self._placement.find_cause(listed, *exchange.regions)
        return placed

    async def wait_for_open_group(self, exchange: Exchange) -> bool:
        """Wait while a group of the service forms, and return True if one is open.

        Refusing at once would be worse: a caller makes only a few retries before its
        deadline, and most of them would arrive while the group still forms.
        """
        if exchange.service.engine is None:
            return True
        wait_until = min(self._clock() + GROUP_FORMING_WAIT_S, exchange.deadline_at)
        while True:
            now = self._clock()
            listed = self._directory.of_service(exchange.service.name, now)
            state = self._health.group_state(listed, now)
            if state is not GroupState.FORMING or now >= wait_until:
                return state is GroupState.OPEN
            await asyncio.sleep(GROUP_FORMING_POLL_S)

    def reserve_other(
        self, exchange: Exchange, now: float
    ) -> EndpointReservation | None:
        """Reserve an endpoint that was not tried, or return None if none is available.

        The current attempt goes on meanwhile, so that the group must be open already.
        """
        listed = self._directory.of_service(exchange.service.name, now)
        if self._health.group_state(listed, now) is not GroupState.OPEN:
            return None
        hold, unplaced = exchange.hold, exchange.unplaced
        reservation = self.reserve(exchange, now)
        # They are the reasons of a refusal, and the attempt has not ended.
        exchange.hold, exchange.unplaced = hold, unplaced
        return reservation

    def is_usable(self, exchange: Exchange, endpoint: Endpoint, now: float) -> bool:
        """Return True if an endpoint that was reserved may still get the request.

        Its shares are not compared: the reservation is part of their use.
        """
        placed = self._placed(exchange, now)
        return endpoint in placed and not self.holds.asks_for_none(endpoint, now)

    def _untried(self, exchange: Exchange, endpoints: list[Endpoint]) -> list[Endpoint]:
        return [e for e in endpoints if e.endpoint_id not in exchange.tried]

    def reserve(self, exchange: Exchange, now: float) -> EndpointReservation | None:
        """Reserve the endpoint for the next attempt; None if none is available.

        If all endpoints are held, or cold with used up shares, `exchange.hold` states
        until when. If none may run the request by its place, `exchange.unplaced` states
        why.
        """
        placed = self._placed(exchange, now)
        untried = self._untried(exchange, placed)
        open_endpoints = self.holds.available(untried, now)
        if not open_endpoints:
            exchange.hold = self.holds.find_hold(placed, now)
            return None
        open_endpoints = self.cold.available(exchange.service, open_endpoints, now)
        if not open_endpoints:
            exchange.hold = self.cold.make_hold(exchange.service, untried)
            return None
        endpoints = self._health.in_open_groups(open_endpoints, now)
        endpoints = self._health.available(endpoints, now)
        candidates = [self._health.candidate(e, now) for e in endpoints]
        candidates = self.cold.prefer(exchange.service, candidates, now)
        is_even = self.spreads_evenly(exchange.service)
        is_even = is_even and self._health.has_status(endpoints, now)
        chooser = self._even_chooser if is_even else self._chooser
        chosen = chooser.choose(candidates, self._zone)
        if chosen is None:
            return None
        endpoint = next(e for e in endpoints if e.endpoint_id == chosen.name)
        self.holds.record_sent(endpoint, now)
        self.cold.record_sent(exchange.service, endpoint, now)
        used_slot = self._health.record_sent(chosen.name, now)
        chosen_by = ""
        if is_even:
            chosen_by = "allocated" if chosen.allocated else "estimated"
            self._metrics.endpoint_choices.labels(chosen_by).inc()
            demand = self._demands.setdefault(exchange.service.name, ZoneDemand())
            demand.record(chosen.zone != self._zone, now)

        def give_back() -> None:
            self.holds.cancel_sent(endpoint, now)
            self.cold.cancel_sent(endpoint, now)
            self._health.cancel_sent(chosen.name, now, used_slot)

        return EndpointReservation(endpoint, chosen_by, give_back)

    def describe(self, service: Service, now: float) -> dict[str, object]:
        """Return the numbers of a service's endpoints by their state, as log fields."""
        listed = self._directory.of_service(service.name, now)
        placed = self._placement.allowed(listed)
        taking = self.holds.available(placed, now)
        in_open_groups = self._health.in_open_groups(taking, now)
        return {
            "listed": len(listed),
            "evacuated": len(listed) - len(placed),
            "held": len(placed) - len(taking),
            "in_closed_groups": len(taking) - len(in_open_groups),
            "group": self._health.group_state(listed, now).value,
            "with_status": sum(self._health.has_status([e], now) for e in listed),
            "healthy": len(self._health.available(in_open_groups, now)),
            "inflight": sum(
                self._health.get_record(e.endpoint_id).inflight for e in listed
            ),
            "list_age_ms": milliseconds(now - (self._directory.updated_at or now)),
        }

    def log_fields(
        self, exchange: Exchange, endpoint: Endpoint, now: float
    ) -> dict[str, object]:
        """Return the values that the selection was based on, as log fields."""
        record = self._health.get_record(endpoint.endpoint_id)
        return {
            "zone": endpoint.zone,
            "load": record.reported_load,
            "load_age_ms": milliseconds(now - record.reported_at),
            "own_inflight": record.inflight,
            "allocated": record.allocated,
            "pace": record.pace,
            "list_age_ms": milliseconds(now - (self._directory.updated_at or now)),
            "is_kept": self._directory.is_kept(endpoint.endpoint_id),
            **self.holds.rate_log_fields(endpoint, now),
            **self.cold.log_fields(exchange.service, endpoint, now),
        }
