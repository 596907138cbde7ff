"""Detection of requests that crash endpoints, shared by all gateways."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Sequence

from slatehoist.gateway.losses import Crash, LossLedger, LostRequest
from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.part_reports import KEY_PREFIX, PartReports
from slatehoist.gateway.settings import MAX_LOGGED_PARTS, STORE_RETRY_S
from slatehoist.observe import GatewayMetrics, milliseconds
from slatehoist.routing import CRASH_RETENTION_S, CrashTally, PromptPart
from slatehoist.storage import (
    HistoryLostError,
    PlatformError,
    Row,
    WatchableTable,
    Write,
)

log = logging.getLogger(__name__)

#: Table with one row per request, crash and gateway that reported it, one per request
#: that succeeded after a crash, and one per prompt part of which something is known.
CRASHES = "crashes"
#: Largest number of rows in one transaction; the platform's store accepts 100.
_MAX_ROWS_PER_WRITE = 100
#: Largest number of crashes that the report of a success names, the newest ones.
_MAX_ANSWERED = 32


class CrashReports:
    """Record which requests an endpoint was running when it crashed.

    A lost request counts as a crash if its endpoint is found to be down, restarted or
    replaced, and has not been found alive since the loss; see `LossLedger`.

    Parameters
    ----------
    instance : str
        Name of this gateway, which removes its own reports when they are old.
    row_ttl_s : float
        Longest time in seconds for which the list shows an endpoint that has ended.
    poll_s : float
        Seconds that one poll for the reports of other gateways lasts.

    Attributes
    ----------
    parts : PartReports
        What is known of the parts of prompts.
    """

    def __init__(
        self,
        table: WatchableTable,
        instance: str,
        row_ttl_s: float,
        poll_s: float,
        tally: CrashTally,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._instance = instance
        self._poll_s = poll_s
        self._tally = tally
        self._metrics = metrics
        self._clock = clock
        self._ledger = LossLedger(row_ttl_s)
        self.parts = PartReports(table, CRASHES, instance, metrics, clock)
        self._unsent: dict[str, Write] = {}
        #: For each row, the time at which this gateway wrote or first read it.
        self._seen_at: dict[str, float] = {}
        #: Own reports that were stored, to be written again if the store loses them.
        self._stored: dict[str, Write] = {}
        #: Expired reports that were removed, with the time of that. An older copy of
        #: the store may contain them again.
        self._removed_at: dict[str, float] = {}
        self._write_needed = asyncio.Event()
        self._version: int | None = None

    def record_loss(
        self, endpoint: Endpoint, request: LostRequest, sent_at: float
    ) -> None:
        """Record a request that was lost at an endpoint."""
        now = self._clock()
        crash = self._ledger.record_loss(endpoint, request, sent_at, now)
        if crash is not None:
            self._report_crash(crash, now)

    def record_end(self, endpoint: Endpoint) -> None:
        """Record that an endpoint is down, removed or replaced by another one."""
        now = self._clock()
        crash = self._ledger.record_end(endpoint, now)
        if crash is not None:
            self._report_crash(crash, now)

    def record_restart(self, old: Endpoint, current: Endpoint) -> None:
        """Record that an endpoint is listed with a new start time."""
        now = self._clock()
        crash = self._ledger.record_restart(old, current, now)
        if crash is not None:
            self._report_crash(crash, now)

    def observe_list(
        self, listed: list[Endpoint], read_at: float, reliable_since: float
    ) -> None:
        """Close the losses that their endpoints outlived; see `LossLedger`."""
        closed = self._ledger.observe_list(listed, read_at, reliable_since)
        if not closed:
            return
        digests = [request.digest for request in closed]
        log.info("losses_outlived", extra={"digests": digests})
        for request in closed:
            if request.has_run:
                self.record_success(request.digest, request.parts)
            elif request.is_delivered:
                self.record_part_success(request.parts)

    def record_success(self, digest: str, parts: Sequence[PromptPart] = ()) -> None:
        """Record that a request ran to its end; report it if it was in a crash before.

        The report names the crashes before the success: other gateways may read it
        after those that came later.
        """
        self.record_part_success(parts)
        if not self._tally.record_success(digest, self._clock()):
            return
        key = f"{digest}/success/{self._instance}"
        answered = self._tally.answered_crashes(digest)[-_MAX_ANSWERED:]
        value = {
            "digest": digest,
            # Older instances need a crash id in each row.
            "crash": "",
            "success": True,
            "after": answered,
        }
        self._unsent[key] = Write(CRASHES, key, value)
        log.info(
            "request_succeeded_after_crash",
            extra={"digest": digest, **self._log_fields(digest, self._clock())},
        )
        self._write_needed.set()

    def record_part_success(self, parts: Sequence[PromptPart]) -> None:
        """Record that an endpoint has answered a prompt with these parts."""
        if self.parts.record_success(parts):
            self._write_needed.set()

    def _report_crash(self, crash: Crash, now: float) -> None:
        crash_id = crash.crash_id
        self.parts.record_own_crash(crash, now)
        lost_at = crash.lost_at or [now] * len(crash.requests)
        for (digest, parts, *_), at in zip(crash.requests, lost_at, strict=True):
            crashes = self._tally.record_crash(digest, crash_id, now, at)
            self._metrics.crash_reports.labels("own").inc()
            key = f"{digest}/{crash_id}/{self._instance}"
            value: dict[str, object] = {"digest": digest, "crash": crash_id}
            if parts:
                value["service"] = parts[0].service
                value["parts"] = [part.part_id for part in parts]
            if parts or self._tally.needs_report(digest, crash_id):
                self._unsent[key] = Write(CRASHES, key, value)
            log.warning(
                "request_in_crash",
                extra={
                    "digest": digest,
                    "prompt_parts": value.get("parts", ())[:MAX_LOGGED_PARTS],
                    "crash": crash_id,
                    "crashes": crashes,
                    **self._log_fields(digest, now),
                },
            )
        self._write_needed.set()

    async def write_reports(self) -> None:
        """Write reports and remove expired ones, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._max_wait_s()):
                    await self._write_needed.wait()
            self._write_needed.clear()
            try:
                await self.write_pending()
            except PlatformError as exc:
                log.info("crash_reports_unsent", extra={"why": str(exc)})
                await asyncio.sleep(STORE_RETRY_S)
                self._write_needed.set()

    async def write_pending(self) -> None:
        """Write the reports that are not stored yet, and remove expired ones."""
        now = self._clock()
        for write in self.parts.take_due_writes(now):
            self._unsent[write.key] = write
        expired = [
            key for key, at in self._seen_at.items() if self._is_expired(key, now - at)
        ]
        writes = [
            *self._unsent.values(),
            *(Write(CRASHES, key, None) for key in expired),
        ]
        for start in range(0, len(writes), _MAX_ROWS_PER_WRITE):
            batch = writes[start : start + _MAX_ROWS_PER_WRITE]
            await self._table.transact([], batch)
            for write in batch:
                self._unsent.pop(write.key, None)
                if write.value is None:
                    del self._seen_at[write.key]
                    self._stored.pop(write.key, None)
                    self._removed_at[write.key] = now
                else:
                    self._seen_at[write.key] = now
                    self._stored[write.key] = write
        self._removed_at = {
            key: at
            for key, at in self._removed_at.items()
            if now - at <= CRASH_RETENTION_S
        }

    def _max_wait_s(self) -> float:
        """Return the longest time in seconds until something is to be written."""
        if self.parts.has_pending:
            return self.parts.next_write_s(self._clock())
        return CRASH_RETENTION_S

    def _is_expired(self, key: str, age_s: float) -> bool:
        """Return True if a report is to be removed.

        Each gateway removes its own reports. Reports of other gateways are kept for
        twice as long, so that they are removed here only if their gateway is gone.
        """
        if key.startswith(KEY_PREFIX):
            return age_s > self.parts.lifetime_s(key) * (
                1 if key in self._stored else 2
            )
        own = key.endswith(f"/{self._instance}")
        return age_s > CRASH_RETENTION_S * (1 if own else 2)

    async def follow_reports(self) -> None:
        """Count the crashes that all gateways report, until cancelled."""
        while True:
            try:
                await self.follow_once()
            except PlatformError as exc:
                log.debug("crash_reports_unread", extra={"why": str(exc)})
                await asyncio.sleep(STORE_RETRY_S)

    async def follow_once(self) -> None:
        """Count new reports; list all again with the next call if that is needed."""
        try:
            await self.read_reports()
        except HistoryLostError:
            self._version = None

    async def read_reports(self) -> None:
        """Count the reports that are new in the store, or wait for one."""
        is_snapshot = self._version is None
        if is_snapshot:
            rows, self._version = await self._table.snapshot(CRASHES)
            self.parts.begin_snapshot()
            self._write_lost_reports(rows)
        else:
            feed = await self._table.changes(CRASHES, self._version, self._poll_s)
            rows, self._version = feed.rows, feed.version
        now = self._clock()
        # In the order of their writes: a success speaks for earlier crashes only.
        for row in sorted(rows, key=lambda row: row.version):
            if row.key.startswith(KEY_PREFIX):
                self._seen_at[row.key] = now
                if row.key in self._stored and self._stored[row.key].value != row.value:
                    # Another gateway knows better.
                    del self._stored[row.key]
                self.parts.read_row(row, now, is_snapshot)
                continue
            if row.key in self._removed_at:
                continue
            self._seen_at.setdefault(row.key, now)
            self._count_report(row, now)
        if self.parts.has_pending:
            self._write_needed.set()

    def _log_fields(self, digest: str, now: float) -> dict[str, object]:
        """Return what decides whether a request is blocked, as log fields."""
        unanswered, unexcused = self._tally.count_crashes(digest)
        return {
            "without_success_since": unanswered,
            "without_enough_successes": unexcused,
            "blocked_ms": milliseconds(self._tally.blocked_for_s(digest, now)),
        }

    def _write_lost_reports(self, rows: list[Row]) -> None:
        """Write the own reports again that are missing from a list of all rows."""
        stored = {row.key for row in rows}
        lost = [write for key, write in self._stored.items() if key not in stored]
        if lost:
            log.info("crash_reports_lost", extra={"reports": len(lost)})
            self._unsent.update((write.key, write) for write in lost)
            self._write_needed.set()

    def _count_report(self, row: Row, now: float) -> None:
        digest, crash_id = row.value.get("digest"), row.value.get("crash")
        if not isinstance(digest, str) or not isinstance(crash_id, str):
            log.warning(
                "crash_report_unusable",
                extra={"key": row.key, "version": row.version, "value": row.value},
            )
            return
        if row.value.get("success"):
            self._tally.record_success(digest, now, after=self._read_answered(row))
            return
        crashes = self._tally.record_crash(digest, crash_id, now)
        self.parts.record_crash(crash_id, _read_parts(row), now)
        if row.key.endswith(f"/{self._instance}"):
            return
        self._metrics.crash_reports.labels("other").inc()
        log.info(
            "crash_report_read",
            extra={
                "digest": digest,
                "crash": crash_id,
                "crashes": crashes,
                "version": row.version,
                **self._log_fields(digest, now),
            },
        )

    def _read_answered(self, row: Row) -> list[str]:
        """Return the crashes before a success; all known ones if older instances wrote.

        Rows are read in the order of their writes.
        """
        after = row.value.get("after")
        if not isinstance(after, list):
            return self._tally.known_crashes(row.value["digest"])
        return [crash_id for crash_id in after if isinstance(crash_id, str)]


def _read_parts(row: Row) -> list[PromptPart]:
    """Return the prompt parts in a report; none if older instances wrote it."""
    service, parts = row.value.get("service"), row.value.get("parts")
    if not isinstance(service, str) or not isinstance(parts, list):
        return []
    return [PromptPart(service, part) for part in parts if isinstance(part, str)]
