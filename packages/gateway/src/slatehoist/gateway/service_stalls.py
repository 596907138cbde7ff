"""Log lines that say why a service answers none of this gateway's requests."""

import logging
from collections.abc import Callable, Iterable

from slatehoist.gateway.exchange import Exchange
from slatehoist.gateway.model import Service
from slatehoist.observe import StartStages

log = logging.getLogger(__name__)

#: Seconds for which requests were not answered after which a service counts as stalled:
#: more than the time that a group takes to form.
STALL_LOG_S = 3.0
#: Seconds between two lines while a stall lasts, and between two checks.
REPEAT_LOG_S = 10.0
CHECK_INTERVAL_S = 1.0


class _ServiceRecord:
    """Requests of one service since its last answer."""

    def __init__(self) -> None:
        #: Time since which requests have not been answered; None if there are none.
        self.unanswered_since: float | None = None
        #: Requests that failed since the last answer, and when the latest did.
        self.failed = 0
        self.failed_at = float("-inf")
        self.pending: set[Exchange] = set()
        self.logged_at: float | None = None


class ServiceStalls:
    """Log the begin, the continuation and the end of each service's stall.

    An answer is the head of an endpoint's response that was sent to the caller.

    Parameters
    ----------
    describe : callable
        Returns the log fields that state what is known of a service's endpoints.
    stages : StartStages or None
        Stages of the start of this process, of which the first answer is the last one.
    """

    def __init__(
        self,
        describe: Callable[[Service, float], dict[str, object]],
        stages: StartStages | None = None,
    ) -> None:
        self._describe = describe
        self._stages = stages
        self._records: dict[str, _ServiceRecord] = {}
        self._start_logged_at: float | None = None

    def begin(self, exchange: Exchange, now: float) -> None:
        """Record that a request is forwarded."""
        record = self._records.setdefault(exchange.service.name, _ServiceRecord())
        record.pending.add(exchange)
        if record.unanswered_since is None:
            record.unanswered_since = now

    def end(self, exchange: Exchange, answered: bool, now: float) -> None:
        """Record that a request has ended."""
        record = self._records[exchange.service.name]
        record.pending.discard(exchange)
        if answered:
            if self._stages is not None:
                service = exchange.service.name
                self._stages.reach("first_answer", now, service=service)
            self._record_answer(exchange.service.name, record, now)
        else:
            record.failed += 1
            record.failed_at = now

    def _record_answer(self, service: str, record: _ServiceRecord, now: float) -> None:
        if record.logged_at is not None:
            log.info(
                "service_resumed",
                extra={
                    "service": service,
                    "after_ms": round((now - record.unanswered_since) * 1000),
                    "failed": record.failed,
                },
            )
        record.logged_at, record.failed = None, 0
        record.unanswered_since = now if record.pending else None

    def check(self, services: Iterable[Service], now: float) -> None:
        """Log the services that are stalled, each at most every `REPEAT_LOG_S`.

        Services that are no longer configured are forgotten once none of their requests
        is pending.
        """
        services = list(services)
        names = {service.name for service in services}
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in names or record.pending
        }
        for service in services:
            record = self._records.get(service.name)
            if record is None or record.unanswered_since is None:
                continue
            if any(exchange.first_byte_at is not None for exchange in record.pending):
                self._record_answer(service.name, record, now)
                continue
            if not record.pending and now - record.failed_at > REPEAT_LOG_S:
                # Callers have stopped sending requests to the service.
                del self._records[service.name]
                continue
            waited_s = now - record.unanswered_since
            if waited_s < STALL_LOG_S or not _is_due(record.logged_at, now):
                continue
            record.logged_at = now
            log.warning(
                "service_stalled",
                extra={
                    "service": service.name,
                    "for_ms": round(waited_s * 1000),
                    "pending": len(record.pending),
                    "failed": record.failed,
                    **self._describe(service, now),
                },
            )

    def check_start(self, missing: list[str], started_at: float, now: float) -> None:
        """Log what this process has not read since its start and cannot serve without.

        Parameters
        ----------
        missing : list of str
            What has not been read; empty if nothing is missing.
        """
        if not missing or now - started_at < STALL_LOG_S:
            return
        if _is_due(self._start_logged_at, now):
            self._start_logged_at = now
            log.warning(
                "not_started",
                extra={
                    "missing": missing,
                    "for_ms": round((now - started_at) * 1000),
                },
            )


def _is_due(logged_at: float | None, now: float) -> bool:
    return logged_at is None or now - logged_at >= REPEAT_LOG_S
