"""Evacuated zones as this process last read them from the store."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import ZoneChanges, ZoneEvacuations

log = logging.getLogger(__name__)


class EvacuationState:
    """Hold the evacuated zones, and log and count their changes.

    While the store cannot be read, the zones that were read last remain evacuated.

    Parameters
    ----------
    max_age_s : float
        Age in seconds above which the zones are overdue, unless the store is
        unavailable.

    Attributes
    ----------
    zones : ZoneEvacuations
    on_restored : callable
        Called with a zone and the time when the zone is read as restored. Endpoints of
        the zone may have become cold shortly before.
    """

    def __init__(
        self,
        max_age_s: float,
        directory: EndpointDirectory,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self.zones = ZoneEvacuations()
        self.on_restored: Callable[[str, float], None] = lambda zone, now: None
        self._max_age_s = max_age_s
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        #: Zones of rows that were not yet compared with the zones of endpoints.
        self._unchecked: set[str] = set()
        #: Begin of the latest read whose result is known; None before the first.
        self._current_at: float | None = None
        self._is_outage = False
        #: Set, and replaced, with each result of a read.
        self._was_read = asyncio.Event()

    def replace(self, zones: Iterable[str], read_at: float) -> None:
        """Set the evacuated zones to those of a read that began at `read_at`."""
        now = self._clock()
        self._record_changes(self.zones.replace(zones, now), now)
        self._record_read(read_at)

    def update(
        self, evacuated: Iterable[str], restored: Iterable[str], read_at: float
    ) -> None:
        """Add and remove zones after a read that began at `read_at`."""
        now = self._clock()
        self._record_changes(self.zones.update(evacuated, restored, now), now)
        self._record_read(read_at)

    def _record_changes(self, changes: ZoneChanges, now: float) -> None:
        for zone in changes.evacuated:
            self._unchecked.add(zone)
            self._metrics.zone_changes.labels("evacuated").inc()
            log.info("zone_evacuated", extra={"zone": zone})
        for zone in changes.restored:
            self._unchecked.discard(zone)
            self._metrics.zone_changes.labels("restored").inc()
            log.info("zone_restored", extra={"zone": zone})
            self.on_restored(zone, now)
        self._metrics.evacuated_zones.set(len(self.zones))

    def _record_read(self, read_at: float) -> None:
        self._current_at = read_at
        self._is_outage = False
        self._announce_read()
        if self._directory.updated_at is None:
            return
        for zone in sorted(self._unchecked - self._directory.zones):
            log.warning("evacuated_zone_unknown", extra={"zone": zone})
        self._unchecked.clear()

    def record_outage(self) -> None:
        """Record that the zones could not be read."""
        self._is_outage = True
        self._announce_read()

    def _announce_read(self) -> None:
        self._was_read.set()
        self._was_read = asyncio.Event()

    def is_overdue(self, now: float) -> bool:
        """Return True if the zones should have been read again by now.

        This process then stood still, and may not know of an evacuation that other
        instances have acted on.
        """
        if self._is_outage or self._current_at is None:
            return False
        return now - self._current_at > self._max_age_s

    async def wait_until_current(self) -> None:
        """Wait until the zones are no longer overdue."""
        while self.is_overdue(self._clock()):
            await self._was_read.wait()
