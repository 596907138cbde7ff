"""Run attempts at the endpoint, each in a task of its own."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from slatehoist.daemon.background import Background
from slatehoist.daemon.sidecar.admission import MIN_RETRY_AFTER_S, Admission
from slatehoist.daemon.sidecar.attempts import Attempt, AttemptTable, CrashLog
from slatehoist.daemon.sidecar.endpoints import (
    BrokenResponseError,
    Endpoint,
    EndpointDownError,
)
from slatehoist.daemon.tracing import parent_context, trace_id, tracer
from slatehoist.wire.messages import (
    AttemptRequest,
    AttemptState,
    Broken,
    BrokenReason,
    Head,
    NotRunReason,
)

log = logging.getLogger(__name__)


class AttemptRunner:
    """Run attempts: queue each, send it to the endpoint and store its outcome.

    Parameters
    ----------
    incarnation : callable
        Returns the endpoint's incarnation, or "" if it is unknown. Then attempts are
        refused, since two crashes of an unknown incarnation could not be distinguished.
    on_crash : callable
        Called with the incarnation that crashed.
    """

    def __init__(
        self,
        table: AttemptTable,
        admission: Admission,
        endpoint: Endpoint,
        crashes: CrashLog,
        incarnation: Callable[[], str],
        on_crash: Callable[[str], None],
        background: Background,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._admission = admission
        self._endpoint = endpoint
        self._crashes = crashes
        self._incarnation = incarnation
        self._on_crash = on_crash
        self._background = background
        self._clock = clock

    def start(self, req: AttemptRequest) -> Attempt | None:
        """Start an attempt; return None if it has a tombstone or has run already."""
        attempt = self._table.add(req, self._clock())
        if attempt is not None:
            attempt.task = asyncio.create_task(self._run(attempt))
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose response is no longer needed."""
        if attempt.task is not None:
            attempt.task.cancel()

    async def _run(self, attempt: Attempt) -> None:
        req = attempt.req
        context = parent_context(req.traceparent)
        with tracer().start_as_current_span("sidecar.attempt", context) as span:
            span.set_attribute("attempt.id", req.attempt_id)
            try:
                await self._queue_and_run(attempt)
            except asyncio.CancelledError:
                await self._end_cancelled(attempt)
            except Exception:
                log.exception(
                    "attempt_failed",
                    extra={"attempt": req.attempt_id, "trace": trace_id(span)},
                )
                self._fail(attempt, BrokenReason.ENDPOINT_CRASHED)
            span.set_attribute("attempt.state", str(attempt.state))
        self._log_end(attempt, trace_id(span))

    async def _queue_and_run(self, attempt: Attempt) -> None:
        with tracer().start_as_current_span("sidecar.queue"):
            result = await self._admission.acquire_slot(attempt.req, attempt.deadline)
        if result.is_err():
            refusal = result.unwrap_err()
            self._refuse(attempt, refusal.reason, refusal.retry_after_s)
            return
        ticket = result.unwrap()
        try:
            await self._run_at_endpoint(attempt)
        finally:
            ran = attempt.state != AttemptState.NOT_RUN
            used = attempt.tokens or (attempt.req.cost if ran else 0.0)
            self._admission.release_slot(ticket, used)

    async def _run_at_endpoint(self, attempt: Attempt) -> None:
        attempt.endpoint_incarnation = self._incarnation()
        if not attempt.endpoint_incarnation:
            self._refuse(attempt, NotRunReason.ENDPOINT_DOWN, MIN_RETRY_AFTER_S)
            return
        attempt.state = AttemptState.RUNNING
        try:
            with tracer().start_as_current_span("endpoint.run"):
                async with asyncio.timeout(attempt.deadline - self._clock()):
                    await self._copy_response(attempt)
        except EndpointDownError:
            self._refuse(attempt, NotRunReason.ENDPOINT_DOWN, MIN_RETRY_AFTER_S)
        except BrokenResponseError as exc:
            self._fail(attempt, await self._classify_failure(attempt, exc.reason))
        except TimeoutError:
            self._fail(attempt, BrokenReason.DEADLINE)

    async def _classify_failure(
        self, attempt: Attempt, reason: BrokenReason
    ) -> BrokenReason:
        """Return the reason of a failure.

        A supposed crash is ``CONNECTION_LOST`` if the same incarnation still runs.
        """
        if reason != BrokenReason.ENDPOINT_CRASHED:
            return reason
        load = await self._endpoint.load()
        if load is not None and load.incarnation == attempt.endpoint_incarnation:
            return BrokenReason.CONNECTION_LOST
        return reason

    async def _copy_response(self, attempt: Attempt) -> None:
        response = self._endpoint.run(attempt.req)
        async with contextlib.aclosing(response):
            async for chunk in response:
                if isinstance(chunk, Head):
                    attempt.set_head(chunk)
                    continue
                attempt.tokens += self._endpoint.count_tokens(attempt.req, chunk)
                if not attempt.append_data(chunk):
                    raise BrokenResponseError(BrokenReason.BUFFER_LIMIT)
        if attempt.head is not None and not attempt.head.proves_end:
            # The response may have ended because the endpoint crashed.
            self._crashes.record_loss(
                attempt.endpoint_incarnation, attempt.req.digest, self._clock()
            )
        attempt.finish(self._admission.load, self._clock())

    def _refuse(
        self, attempt: Attempt, reason: NotRunReason, retry_after_s: float
    ) -> None:
        load = self._admission.load
        attempt.refuse(reason, retry_after_s, load, self._clock())

    def _fail(self, attempt: Attempt, reason: BrokenReason) -> None:
        """End an attempt without a complete response, and cancel it at the endpoint."""
        self._background.spawn(self._endpoint.cancel(attempt.req.attempt_id))
        crash_id, digests = "", []
        if reason == BrokenReason.ENDPOINT_CRASHED:
            crash_id, digests = self._crashes.record_crash(attempt.endpoint_incarnation)
            self._on_crash(attempt.endpoint_incarnation)
        else:
            self._crashes.record_loss(
                attempt.endpoint_incarnation, attempt.req.digest, self._clock()
            )
        outcome = Broken(attempt.req.attempt_id, reason, crash_id, digests)
        attempt.fail(outcome, self._clock())

    async def _end_cancelled(self, attempt: Attempt) -> None:
        """End a cancelled attempt as not run if it was queued, else as broken."""
        if attempt.state == AttemptState.QUEUED:
            self._refuse(attempt, NotRunReason.CANCELLED, 0.0)
            return
        self._fail(attempt, BrokenReason.CANCELLED)

    def _log_end(self, attempt: Attempt, trace: str) -> None:
        log.info(
            "attempt_end",
            extra={
                "attempt": attempt.req.attempt_id,
                "member": attempt.req.member,
                "team": attempt.req.team,
                "state": attempt.state,
                "reason": getattr(attempt.outcome, "reason", ""),
                "tokens": attempt.tokens,
                "trace": trace,
            },
        )
