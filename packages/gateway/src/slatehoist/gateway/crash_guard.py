"""Crash guard: keeps requests that crash endpoints from further endpoints."""

import asyncio
from collections.abc import Callable

from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.exchange import Exchange, Outcome
from slatehoist.gateway.losses import LostRequest
from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.probes import EndpointProbes
from slatehoist.gateway.settings import PROBE_SILENCE_S
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import CrashTally


class CrashGuard:
    """Block requests that crash endpoints, and record which attempts were lost."""

    def __init__(
        self,
        tally: CrashTally,
        crashes: CrashReports,
        probes: EndpointProbes,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._tally = tally
        self._crashes = crashes
        self._probes = probes
        self._metrics = metrics
        self._clock = clock
        #: Trials of prompt parts that are being given back.
        self._releases: set[asyncio.Task] = set()

    def is_blocked(self, exchange: Exchange) -> bool:
        """Return True if a request must not be sent, and record for how long.

        A request that can be the next trial of all its blocked parts is not blocked.
        """
        now = self._clock()
        tally = self._crashes.parts.tally
        exchange.blocked_for_s = self._tally.blocked_for_s(exchange.digest, now)
        exchange.blocking_parts = tally.blocking_parts(exchange.parts, now)
        if not all(tally.is_trial_due(part, now) for part in exchange.blocking_parts):
            self._block_by_parts(exchange, now)
        if exchange.blocked:
            self._metrics.blocked_requests.inc()
        return exchange.blocked

    def blocks(self, exchange: Exchange) -> bool:
        """Return True if the request, or a part of its prompt, is blocked by now."""
        now = self._clock()
        return self._tally.blocked_for_s(exchange.digest, now) > 0.0 or bool(
            self._crashes.parts.tally.blocking_parts(exchange.parts, now)
        )

    def _block_by_parts(self, exchange: Exchange, now: float) -> None:
        tally = self._crashes.parts.tally
        waits = [tally.blocked_for_s(part, now) for part in exchange.blocking_parts]
        exchange.blocked_for_s = max(exchange.blocked_for_s, *waits)

    async def claim_trials(self, exchange: Exchange) -> bool:
        """Return True if no part blocks a request, or if it is their next trial."""
        if not exchange.blocking_parts:
            return True
        reports = self._crashes.parts
        if await reports.claim_trials(exchange.blocking_parts):
            exchange.trial_parts = exchange.blocking_parts
            return True
        # Another gateway has the trial, or has cleared the parts.
        now = self._clock()
        exchange.blocking_parts = reports.tally.blocking_parts(exchange.parts, now)
        if not exchange.blocking_parts:
            return True
        self._block_by_parts(exchange, now)
        self._metrics.blocked_requests.inc()
        return False

    def release_trials(self, exchange: Exchange) -> None:
        """Give back the trials that a request has claimed, since it did not run."""
        parts, exchange.trial_parts = exchange.trial_parts, []
        if parts:
            release = asyncio.create_task(self._crashes.parts.release_trials(parts))
            self._releases.add(release)
            release.add_done_callback(self._releases.discard)

    def is_suspected(self, exchange: Exchange, now: float) -> bool:
        """Return True if one more crash would block a request."""
        return self._tally.is_suspected(
            exchange.digest, now
        ) or self._crashes.parts.tally.is_suspected(exchange.parts)

    def record_loss(
        self, exchange: Exchange, endpoint: Endpoint, outcome: Outcome, sent_at: float
    ) -> None:
        """Record a lost request, and probe the endpoint if it may be down.

        An endpoint whose connection did not break is probed only if it was silent for
        long: attempts that can be repeated time out early, and callers leave at any
        time. If one more crash would block the request, it is probed in any case.
        """
        self._metrics.lost_requests.labels(outcome.value).inc()
        request = LostRequest(exchange.digest, exchange.parts)
        self._crashes.record_loss(endpoint, request, sent_at)
        silent_s = self._clock() - exchange.last_data_at
        if (
            outcome is Outcome.BROKEN
            or silent_s >= PROBE_SILENCE_S
            or self.is_suspected(exchange, self._clock())
        ):
            self._probes.start(endpoint)

    async def wait_for_probe(self, endpoint: Endpoint) -> None:
        """Wait until a probe shows whether an endpoint that lost a request is down."""
        # Waiting does not cancel the probe, for which other requests may wait, too.
        await asyncio.wait({self._probes.start(endpoint, urgent=True)})

    def record_delivery(
        self, exchange: Exchange, endpoint: Endpoint, sent_at: float
    ) -> None:
        """Record what the answer of a request shows: whether it ran to its end.

        Only a whole success of the endpoint's own shows that. An error status or a
        redirect may come from an endpoint that has not run the request or read its
        body, and the rest of a resumed stream is not the whole request. An empty body
        does not show that the endpoint can answer the prompt.

        If a crash may have ended the body, it cannot be told from a whole one. It is
        passed on, and the endpoint is probed unless all parts of the prompt have
        succeeded before.
        """
        has_answer = exchange.succeeded and exchange.reply_bytes > 0
        parts = exchange.parts if has_answer else ()
        has_run = exchange.succeeded and not exchange.resumed
        if not exchange.framing.proves_end:
            request = LostRequest(exchange.digest, parts, True, has_run)
            self._crashes.record_loss(endpoint, request, sent_at)
            tally, now = self._crashes.parts.tally, self._clock()
            if not all(tally.is_proven(part, now) for part in parts):
                self._probes.start(endpoint)
        elif has_run:
            self._crashes.record_success(exchange.digest, parts)
        elif parts:
            self._crashes.record_part_success(parts)
