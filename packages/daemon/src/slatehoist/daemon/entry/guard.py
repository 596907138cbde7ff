"""Poison request detection shared by all entries, over links and the table."""

import asyncio
import logging
from collections.abc import Callable

from slatehoist.daemon.background import Background
from slatehoist.daemon.entry.directory import Directory
from slatehoist.routing import SuspectStatus, SuspectTracker
from slatehoist.storage import ABSENT, Check, PlatformError, Table, Write
from slatehoist.wire import decode
from slatehoist.wire.messages import CrashReport, SuspectCleared

log = logging.getLogger(__name__)

CRASHES = "crashes"

#: Seconds to wait for other entries to acknowledge a crash report.
ACK_TIMEOUT_S = 0.3


class CrashGuard:
    """Track the endpoint crashes that any entry observed, and their suspects.

    Crashes are sent to the other entries at once over links. The table's rows are for
    entries that start later or were unreachable.
    """

    def __init__(
        self,
        tracker: SuspectTracker,
        directory: Directory,
        table: Table,
        background: Background,
        clock: Callable[[], float],
    ) -> None:
        self._tracker = tracker
        self._directory = directory
        self._table = table
        self._background = background
        self._clock = clock
        self._broadcasts: dict[str, asyncio.Task] = {}

    def status(self, digest: str) -> SuspectStatus:
        """Return the status of a request that is about to be sent."""
        return self._tracker.status(digest, self._clock())

    async def report_crash(self, crash_id: str, digests: list[str]) -> None:
        """Record a crash that this entry observed and report it to the other entries.

        Wait for the other entries to acknowledge the report, up to ``ACK_TIMEOUT_S``,
        since the caller may retry through one of them as soon as it has its answer. All
        requests that were in flight at the crash wait for the same broadcast.
        """
        if self._tracker.report_crash(crash_id, digests, self._clock()):
            log.warning("crash", extra={"crash": crash_id, "suspects": len(digests)})
            report = CrashReport(crash_id, digests)
            self._background.spawn(self._store_crash(report))
            broadcast = self._directory.query_entries("crash", report, ACK_TIMEOUT_S)
            self._broadcasts[crash_id] = self._background.spawn(broadcast)
        broadcast = self._broadcasts.get(crash_id)
        if broadcast is not None:
            await asyncio.wait({broadcast})
            self._broadcasts.pop(crash_id, None)

    def report_completed(self, digest: str) -> None:
        """Record that a request completed; notify other entries if it was a suspect."""
        if self._tracker.report_cleared(digest, self._clock()):
            notification = SuspectCleared(digest)
            self._background.spawn(
                self._directory.notify_entries("cleared", notification)
            )

    async def on_crash(self, peer: str, body: bytes) -> bool:
        """Record a crash that another entry reported, and acknowledge it."""
        report = decode(body, CrashReport)
        self._tracker.report_crash(report.crash_id, report.digests, self._clock())
        return True

    async def on_endpoint_crash(self, peer: str, body: bytes) -> None:
        """Record a crash that a sidecar reported, and report it to the other entries.

        A sidecar reports those that it found out after the attempts had ended.
        """
        report = decode(body, CrashReport)
        await self.report_crash(report.crash_id, report.digests)

    async def on_cleared(self, peer: str, body: bytes) -> None:
        """Record that a suspect completed at another entry."""
        self._tracker.report_cleared(decode(body, SuspectCleared).digest, self._clock())

    async def load_crashes(self) -> None:
        """Record the crash reports that are stored in the table."""
        try:
            rows = await self._table.scan(CRASHES)
        except PlatformError:
            return
        for row in rows:
            digests = row.value["digests"]
            self._tracker.report_crash(row.key, digests, self._clock())

    async def _store_crash(self, report: CrashReport) -> None:
        check = Check(CRASHES, report.crash_id, ABSENT)
        write = Write(CRASHES, report.crash_id, {"digests": report.digests})
        try:
            await self._table.transact([check], [write])
        except PlatformError as exc:
            log.info("crash_not_stored", extra={"crash": report.crash_id, "why": exc})
