"""Run requests: choose a sidecar, send an attempt, and retry only if it is safe."""

import asyncio
import logging
import random
import uuid
from collections.abc import Callable
from typing import NamedTuple

from aiohttp import web

from slatehoist.config.settings import EntrySettings
from slatehoist.daemon.background import Background
from slatehoist.daemon.entry.answers import CallerAnswer, CallerError
from slatehoist.daemon.entry.attempts import AttemptClient, Outcome, Unknown
from slatehoist.daemon.entry.directory import Directory, PeerInstance
from slatehoist.daemon.entry.guard import CrashGuard
from slatehoist.daemon.entry.keyed import KeyedRequest, Replay
from slatehoist.daemon.entry.outcomes import (
    FREE_REFUSALS,
    AttemptHistory,
    error_from_outcome,
    is_unreachable,
    no_endpoint_error,
)
from slatehoist.daemon.metrics import Metric, Metrics
from slatehoist.daemon.tracing import traceparent, tracer
from slatehoist.routing import (
    HOLD_CRASHES,
    LoadAwareChooser,
    PrefixIndex,
    RetryBudget,
    SuspectStatus,
    may_fail_fast,
)
from slatehoist.wire.messages import (
    AttemptRequest,
    Broken,
    BrokenReason,
    Final,
    Head,
    NotRun,
)

log = logging.getLogger(__name__)

#: Maximum attempts of one request, including those in `FREE_REFUSALS`.
MAX_ATTEMPTS = 8
#: Seconds that a suspect waits before it retries endpoints that ran another suspect.
SUSPECT_PAUSE_S = 0.2

_HTTP_UNPROCESSABLE = 422


class CallerRequest(NamedTuple):
    """Validated request of a caller, ready to be sent.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds.
    cost : float
        Estimated work, in tokens.
    key : str
        Idempotency key, or the empty string.
    """

    member: str
    team: str
    model: str
    service: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    priority: int
    deadline: float
    idempotent: bool
    cost: float
    digest: str
    prefixes: list[int]
    key: str = ""


class Dispatcher:
    """Send requests to endpoints, relay answers and retry what is safe to repeat."""

    def __init__(
        self,
        cfg: EntrySettings,
        directory: Directory,
        client: AttemptClient,
        guard: CrashGuard,
        background: Background,
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._directory = directory
        self._client = client
        self._guard = guard
        self._background = background
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._chooser = LoadAwareChooser(rng)
        self._prefixes = PrefixIndex()
        self._budgets: dict[str, RetryBudget] = {}

    async def run(
        self,
        req: CallerRequest,
        answer: CallerAnswer,
        keyed: KeyedRequest | None = None,
    ) -> web.StreamResponse:
        """Run a request and return its final response.

        Parameters
        ----------
        keyed : KeyedRequest or None
            Claim of the request's idempotency key, if it has one.
        """
        self._retry_budget(req.member).earn(self._clock())
        attempts = AttemptHistory()
        while attempts.count < MAX_ATTEMPTS:
            refusal = self._refuse_if_held(req)
            if refusal is not None:
                return await answer.fail(attempts.correct_ran(refusal))
            peer = await self._next_peer(req, attempts)
            if peer is None:
                break
            attempt = self._build_attempt(req, peer, attempts)
            if keyed is not None:
                claim_answer = await keyed.claim_key(peer, attempt.attempt_id)
                if claim_answer is not None:
                    return await _answer_from_claim(claim_answer, answer)
            outcome = await self._run_attempt(peer, attempt, answer)
            if isinstance(outcome, Final):
                return await self._finish(req, peer, answer, keyed, outcome)
            attempts.record(peer, outcome, self._clock())
            if not self._may_retry(req, answer, attempts):
                break
            answer.reset()
            self._metrics.count(Metric.RETRIES, req.member)
        if keyed is not None and attempts.outcome is not None:
            keyed.record_outcome(attempts.outcome, answer)
        return await answer.fail(self._final_error(attempts))

    async def _next_peer(
        self, req: CallerRequest, attempts: AttemptHistory
    ) -> PeerInstance | None:
        """Return the sidecar for the next attempt, or None.

        A suspect that was refused because the endpoint ran another suspect waits and
        tries the same sidecars again, until its deadline. The refused attempts are then
        no longer counted.
        """
        while True:
            peer, attempts.has_free_slots = self._choose_sidecar(req, attempts.tried)
            if peer is not None:
                return peer
            if not attempts.suspect_busy or self._clock() >= req.deadline:
                return None
            await asyncio.sleep(SUSPECT_PAUSE_S)
            attempts.tried -= attempts.suspect_busy
            attempts.count -= len(attempts.suspect_busy)
            attempts.suspect_busy.clear()

    async def _finish(
        self,
        req: CallerRequest,
        peer: PeerInstance,
        answer: CallerAnswer,
        keyed: KeyedRequest | None,
        outcome: Final,
    ) -> web.StreamResponse:
        peer.observe_load(outcome.load, self._clock())
        self._prefixes.record_sent(req.prefixes, peer.instance.name)
        head = answer.head
        if head is not None and head.proves_end and head.is_success:
            self._guard.report_completed(req.digest)
        if keyed is not None:
            keyed.record_outcome(outcome, answer)
        return await answer.finish()

    def _final_error(self, attempts: AttemptHistory) -> CallerError:
        if attempts.outcome is None:
            return no_endpoint_error(self._rng)
        return attempts.correct_ran(error_from_outcome(attempts.outcome, self._rng))

    async def _run_attempt(
        self, peer: PeerInstance, attempt: AttemptRequest, answer: CallerAnswer
    ) -> Outcome:
        """Send one attempt and relay its response to the caller."""
        with tracer().start_as_current_span("entry.link") as span:
            attempt = attempt._replace(traceparent=traceparent(span))
            span.set_attribute("attempt.id", attempt.attempt_id)
            span.set_attribute("instance", peer.instance.name)
            peer.inflight += 1
            try:
                return await self._relay_response(peer, attempt, answer)
            except asyncio.CancelledError:
                self._abandon(peer, attempt)
                raise
            finally:
                peer.inflight -= 1

    async def _relay_response(
        self, peer: PeerInstance, attempt: AttemptRequest, answer: CallerAnswer
    ) -> Outcome:
        outcome: Outcome = Unknown(attempt.attempt_id, "no_outcome")
        address = peer.instance.address
        sent_at = self._clock()
        first = True
        async for piece in self._client.run(address, attempt):
            if isinstance(piece, Head):
                answer.set_head(piece)
            elif isinstance(piece, bytes):
                if first:
                    waited_s = self._clock() - sent_at
                    self._metrics.timing(Metric.FIRST_TOKEN_MS, waited_s)
                    first = False
                await answer.write(piece)
            else:
                outcome = piece
        if isinstance(outcome, Broken) and outcome.crash_id:
            await self._guard.report_crash(outcome.crash_id, outcome.digests)
        elif isinstance(outcome, Unknown) or is_unreachable(outcome):
            peer.mark_unavailable()
        if isinstance(outcome, Unknown):
            self._metrics.count(Metric.UNKNOWN)
            self._abandon(peer, attempt)
        return outcome

    def _abandon(self, peer: PeerInstance, attempt: AttemptRequest) -> None:
        """Cancel an attempt whose response is no longer needed, to free its slot.

        A keyed attempt is not cancelled, since later requests with the same key may
        ask for its response.
        """
        if not attempt.keyed:
            address = peer.instance.address
            cancel = self._client.cancel(address, attempt.attempt_id)
            self._background.spawn(cancel)

    def _build_attempt(
        self, req: CallerRequest, peer: PeerInstance, attempts: AttemptHistory
    ) -> AttemptRequest:
        now = self._clock()
        status = self._guard.status(req.digest)
        return AttemptRequest(
            attempt_id=uuid.uuid4().hex,
            endpoint=peer.beat.endpoint,
            incarnation=peer.beat.incarnation,
            member=req.member,
            team=req.team,
            model=req.model,
            method=req.method,
            path=req.path,
            body=req.body,
            headers=req.headers,
            priority=req.priority,
            deadline_s=max(req.deadline - now, 0.0),
            cost=req.cost,
            digest=req.digest,
            suspect=status == SuspectStatus.SUSPECT,
            keyed=bool(req.key),
            fail_fast=attempts.may_fail_fast and not req.key,
        )

    def _choose_sidecar(
        self, req: CallerRequest, tried: set[str]
    ) -> tuple[PeerInstance | None, bool]:
        """Return a sidecar or None, and True if there seem to be free slots."""
        with tracer().start_as_current_span("entry.select") as span:
            now = self._clock()
            serving = self._directory.serving_sidecars(
                req.model, req.service, req.member
            )
            untried = [peer for peer in serving if peer.instance.name not in tried]
            candidates = [self._directory.candidate(peer, now) for peer in untried]
            holders = self._prefixes.holders(req.prefixes)
            zone = self._directory.me.zone
            prefix = req.prefixes[-1] if req.prefixes else 0
            chosen = self._chooser.choose(candidates, zone, holders, prefix)
            span.set_attribute("candidates", len(candidates))
            has_free_slots = may_fail_fast(candidates)
            name = chosen.name if chosen else ""
            return self._directory.sidecars.get(name), has_free_slots

    def _may_retry(
        self, req: CallerRequest, answer: CallerAnswer, attempts: AttemptHistory
    ) -> bool:
        """Return True if a request may be sent again after its last outcome."""
        outcome = attempts.outcome
        if answer.started or self._clock() >= req.deadline:
            return False
        if isinstance(outcome, NotRun) and outcome.reason in FREE_REFUSALS:
            return True
        if not isinstance(outcome, NotRun) and not req.idempotent:
            return False
        if isinstance(outcome, Broken) and outcome.reason == BrokenReason.DEADLINE:
            return False
        if attempts.silent >= HOLD_CRASHES:
            # The request may be the cause, which is known only when the endpoints have
            # started again.
            return False
        if attempts.count >= self._cfg.retry.max_tries:
            return False
        return self._retry_budget(req.member).spend()

    def _retry_budget(self, member: str) -> RetryBudget:
        retry = self._cfg.retry
        return self._budgets.setdefault(
            member, RetryBudget(retry.budget_ratio, retry.budget_floor)
        )

    def _refuse_if_held(self, req: CallerRequest) -> CallerError | None:
        """Return the error for a held or convicted request, or None for any other."""
        status = self._guard.status(req.digest)
        if status not in (SuspectStatus.HELD, SuspectStatus.CONVICTED):
            return None
        return CallerError(
            _HTTP_UNPROCESSABLE,
            "crashes_endpoints",
            "this request crashed endpoints and is refused; do not send it again",
        )


async def _answer_from_claim(
    claim_answer: CallerError | Replay, answer: CallerAnswer
) -> web.StreamResponse:
    """Answer with the error or recorded answer of a claim; do not run the request."""
    if isinstance(claim_answer, CallerError):
        return await answer.fail(claim_answer)
    answer.set_head(claim_answer.head)
    await answer.write(claim_answer.body)
    return await answer.finish()
