"""Forwarding of a request: attempts at endpoints and retries.

An attempt sends the request to one endpoint, and its `Outcome` decides whether another
attempt at a different endpoint follows. A retry is safe in three cases:

- The request did not run: no connection was made, the endpoint stated that it did not
  run the request, or another endpoint has taken over the address.
- The route is repeatable, so that a second run from the start does no harm.
- The route is a resumable stream, which the next endpoint continues after the last
  event that the caller received.
"""

import logging
from collections.abc import Callable

from aiohttp import web

from slatehoist.gateway.attempts import AttemptRunner
from slatehoist.gateway.choice import EndpointChoice
from slatehoist.gateway.codec import HeaderCodec
from slatehoist.gateway.cold_starts import ColdEndpoints
from slatehoist.gateway.crash_guard import CrashGuard
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.exchange import Exchange, Outcome
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.holds import EndpointHolds
from slatehoist.gateway.model import Endpoint, Service
from slatehoist.gateway.probes import EndpointProbes
from slatehoist.gateway.reservations import Successor
from slatehoist.gateway.settings import (
    MAX_LOGGED_PARTS,
    MIN_ATTEMPT_S,
    REGISTRY_PROPAGATION_S,
    RETRY_RATIO_USED,
    STREAM_IDLE_MARGIN_S,
    GatewaySettings,
)
from slatehoist.gateway.streams import StreamRelay
from slatehoist.gateway.upstream import Upstream
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import (
    AllowanceShare,
    Chooser,
    ColdStarts,
    CrashTally,
    Membership,
    Placement,
    RateShares,
    RetryReservation,
    SharedRetryBudget,
)

log = logging.getLogger(__name__)

#: Number of endpoints tried from which a failed connect is no longer retried. A failed
#: connect carried no request, so trying another endpoint is safe; more tries would use
#: up the caller's deadline.
MAX_CONNECT_ATTEMPTS = 3


class Forwarder:
    """Send requests to endpoints and retry them within the limits of their routes.

    Attributes
    ----------
    choice : EndpointChoice
    attempts : AttemptRunner
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        choice: EndpointChoice,
        attempts: AttemptRunner,
        guard: CrashGuard,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self.choice = choice
        self.attempts = attempts
        self._guard = guard
        self._metrics = metrics
        self._clock = clock
        #: Instances that share the services, as last counted.
        self.instances = 1
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._allowance_share = AllowanceShare(
            cfg.retry_window_s, REGISTRY_PROPAGATION_S
        )

    def record_membership(self, membership: Membership) -> None:
        """Record the instances that share the retry allowance and endpoints' rates."""
        now = self._clock()
        self.instances = max(membership.instances, 1)
        self._allowance_share.record_membership(membership, now)
        self.choice.record_membership(membership, now)

    async def forward(self, exchange: Exchange) -> web.StreamResponse | None:
        """Send the request until an endpoint answers it or no attempt is allowed.

        Returns
        -------
        StreamResponse or None
            The response, or None if there is none. The reason then follows from the
            deadline, `may_have_run` and the other fields of `exchange`.

        Raises
        ------
        CallerLeftError
            If the caller left before its answer was sent.
        """
        budget = self._retry_budget(exchange.service.name)
        budget.record_first_attempt(self._clock())
        try:
            return await self._attempt_until_answered(exchange, budget)
        finally:
            if exchange.retry is not None:
                exchange.retry.cancel()
            self._drop_successor(exchange)

    async def _attempt_until_answered(
        self, exchange: Exchange, budget: SharedRetryBudget
    ) -> web.StreamResponse | None:
        while True:
            if self._guard.is_blocked(exchange):
                return None
            await self.choice.wait_for_list()
            if self.choice.is_unplaced(exchange):
                return None
            if not await self.choice.wait_for_open_group(exchange):
                exchange.group_closed = True
                return None
            # Reports of crashes may have arrived, and the deadline may have passed,
            # during the wait.
            if self._guard.is_blocked(exchange) or not await self._guard.claim_trials(
                exchange
            ):
                return None
            now = self._clock()
            endpoint = self._take_endpoint(exchange, now)
            if endpoint is None:
                self._guard.release_trials(exchange)
                return None
            selection = self.choice.log_fields(exchange, endpoint, now)
            outcome, resp = Outcome.ABANDONED, None
            try:
                outcome, resp = await self.attempts.run(
                    exchange, endpoint, self._reserve_successor
                )
            finally:
                exchange.may_have_run |= outcome.may_have_run
                if exchange.retry is not None and outcome is not Outcome.NOT_SENT:
                    exchange.retry.record_arrival(self._clock())
                self._record_attempt(exchange, outcome)
                if outcome.lost:
                    self._guard.record_loss(exchange, endpoint, outcome, now)
                self._log_attempt(exchange, endpoint, outcome, now, selection)
            if outcome is Outcome.DELIVERED:
                self._guard.record_delivery(exchange, endpoint, now)
                return resp
            if outcome.lost and self._guard.is_suspected(exchange, now):
                await self._guard.wait_for_probe(endpoint)
            if not outcome.may_have_run:
                self._guard.release_trials(exchange)
            if not self._should_retry(exchange, outcome, budget):
                return None

    def _reserve_successor(self, exchange: Exchange) -> bool:
        """Reserve what another attempt needs; return False if that is not available.

        Only then may the current attempt be ended: otherwise several could be ended for
        the same room, and all callers but one would be left without an answer.
        """
        now = self._clock()
        if exchange.successor is not None:
            return True
        if exchange.deadline_at - now < MIN_ATTEMPT_S or self._guard.blocks(exchange):
            return False
        budget = self._retry_budget(exchange.service.name)
        retry = budget.reserve(now, self._allowance_share.fraction(now))
        if retry is None:
            return False
        endpoint = self.choice.reserve_other(exchange, now)
        if endpoint is None:
            retry.cancel()
            return False
        exchange.successor = Successor(endpoint, retry)
        return True

    def _drop_successor(self, exchange: Exchange) -> None:
        """Give back what was reserved for an attempt that is not made."""
        successor, exchange.successor = exchange.successor, None
        if successor is not None:
            successor.cancel()

    def _take_endpoint(self, exchange: Exchange, now: float) -> Endpoint | None:
        """Return the endpoint for the next attempt, or None if none is available.

        It is the reserved one if that may still get the request.
        """
        successor, exchange.successor = exchange.successor, None
        reservation = None if successor is None else successor.endpoint
        if reservation is not None and not self.choice.is_usable(
            exchange, reservation.endpoint, now
        ):
            reservation.cancel()
            reservation = None
        if reservation is None and exchange.deadline_at - now >= MIN_ATTEMPT_S:
            reservation = self.choice.reserve(exchange, now)
        if reservation is None:
            return None
        reservation.take()
        exchange.chosen_by = reservation.chosen_by
        return reservation.endpoint

    def _record_attempt(self, exchange: Exchange, outcome: Outcome) -> None:
        self._metrics.attempts.labels(outcome.value).inc()
        if exchange.framing is not None:
            labels = exchange.framing.value, outcome.value
            self._metrics.reply_ends.labels(*labels).inc()

    def _should_retry(
        self, exchange: Exchange, outcome: Outcome, budget: SharedRetryBudget
    ) -> bool:
        """Return True if the request is sent again, and reserve the retry.

        After a failed connect, only the number of endpoints tried is limited. Any other
        retry must be safe and needs room in the service's retry budget. An attempt that
        made a connection counts towards the route's limit, unless another endpoint has
        taken over the address.
        """
        if outcome is Outcome.NOT_SENT:
            self._drop_successor(exchange)
            return len(exchange.tried) < MAX_CONNECT_ATTEMPTS
        if not exchange.may_repeat(outcome):
            return False
        if outcome is not Outcome.WRONG_INSTANCE:
            exchange.attempts += 1
        if exchange.attempts >= exchange.route.max_attempts:
            return False
        retry = self._reserve_retry(exchange, budget)
        result = "over_budget" if retry is None else "reserved"
        self._metrics.retries.labels(result).inc()
        if retry is None:
            return False
        exchange.retry = retry
        return True

    def _reserve_retry(
        self, exchange: Exchange, budget: SharedRetryBudget
    ) -> RetryReservation | None:
        """Return the reservation for the next attempt, an earlier one if there is."""
        if exchange.successor is not None:
            return exchange.successor.retry
        now = self._clock()
        return budget.reserve(now, self._allowance_share.fraction(now))

    def _retry_budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedRetryBudget(
                self._cfg.retry_ratio * RETRY_RATIO_USED,
                self._cfg.retry_allowance,
                self._cfg.retry_window_s,
            )
        return budget

    def _retry_log_fields(self, exchange: Exchange, now: float) -> dict[str, object]:
        """Return what the retry budget knew when it allowed a retry, as log fields."""
        retry = exchange.retry
        if retry is None:
            return {}
        return {
            "reserved_ms": milliseconds(now - retry.made_at),
            "retries": retry.use.retries,
            "retry_limit": round(retry.use.limit, 1),
            "retry_instances": self.instances,
        }

    def _log_attempt(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        outcome: Outcome,
        started_at: float,
        selection: dict[str, object],
    ) -> None:
        log.info(
            "attempt",
            extra={
                "request": exchange.info.request_id,
                "route": exchange.route.name,
                "endpoint": endpoint.endpoint_id,
                "started_at_ms": endpoint.started_at_ms,
                "digest": exchange.digest,
                "prompt_parts": exchange.info.prompt_parts[:MAX_LOGGED_PARTS],
                "outcome": outcome.value,
                "chosen_by": exchange.chosen_by or None,
                "attempt": len(exchange.tried),
                "framing": exchange.framing,
                "reply_bytes": exchange.reply_bytes,
                "partial_event_bytes": exchange.partial_event_bytes,
                "took_ms": round((self._clock() - started_at) * 1000),
                **self._retry_log_fields(exchange, started_at),
                "left_ms": round((exchange.deadline_at - self._clock()) * 1000),
                **selection,
            },
        )


def make_forwarder(
    cfg: GatewaySettings,
    codec: HeaderCodec,
    directory: EndpointDirectory,
    health: EndpointHealth,
    evacuations: EvacuationState,
    upstream: Upstream,
    chooser: Chooser,
    tally: CrashTally,
    crashes: CrashReports,
    probes: EndpointProbes,
    find_service: Callable[[str], Service | None],
    metrics: GatewayMetrics,
    clock: Callable[[], float],
    even_chooser: Chooser | None = None,
) -> Forwarder:
    """Build a forwarder and its parts.

    Parameters
    ----------
    find_service : callable
        Returns the service of a name, or None.
    """
    rates = RateShares(cfg.instance, REGISTRY_PROPAGATION_S)
    holds = EndpointHolds(metrics, rates)
    starts = ColdStarts(rates, clock())
    cold = ColdEndpoints(starts, cfg.cold_excess, cfg.cold_slack, find_service, metrics)
    idle_timeout_s = cfg.stall_s + STREAM_IDLE_MARGIN_S
    return Forwarder(
        cfg,
        EndpointChoice(
            cfg.zone,
            directory,
            health,
            holds,
            Placement(evacuations.zones, cfg.zone_regions),
            evacuations,
            cold,
            chooser,
            clock,
            even_chooser,
            metrics,
        ),
        AttemptRunner(
            codec,
            directory,
            health,
            holds,
            cold,
            crashes,
            upstream,
            StreamRelay(codec, metrics, idle_timeout_s, clock),
            metrics,
            clock,
            cfg.admits_by_urgency,
        ),
        CrashGuard(tally, crashes, probes, metrics, clock),
        metrics,
        clock,
    )
