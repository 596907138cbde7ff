"""Background synchronization of the configuration and the list of endpoints."""

import asyncio
import logging
from collections.abc import Callable

from slatehoist.gateway.catalogue import Catalogue
from slatehoist.gateway.codec import DeploymentSource
from slatehoist.gateway.cold_starts import ColdEndpoints
from slatehoist.gateway.configuration_checks import (
    Deployment,
    check_configuration,
    log_findings,
)
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.model import Endpoint
from slatehoist.gateway.settings import (
    CONFIG_LONG_POLL_S,
    CONFIG_READ_MARGIN_S,
    ENDPOINT_HEDGE_S,
    MIN_READ_INTERVAL_S,
    RELIST_READ_LEAD_S,
    STORE_RETRY_S,
)
from slatehoist.storage import HistoryLostError, PlatformError

log = logging.getLogger(__name__)


class Dependency:
    """Reachability of one dependency of this process, logged on each change.

    The result of the first call is logged as a change, too.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._reachable: bool | None = None

    def record_success(self) -> None:
        """Record a call that succeeded."""
        if self._reachable is not True:
            log.info("dependency_regained", extra={"dependency": self._name})
        self._reachable = True

    def record_failure(self, exc: Exception) -> None:
        """Record a call that failed."""
        if self._reachable is not False:
            log.warning(
                "dependency_lost", extra={"dependency": self._name, "why": repr(exc)}
            )
        self._reachable = False


class ConfigurationSync:
    """Keep the catalogue at the newest configuration, and the zones up to date.

    The configuration and the evacuated zones are read by the same long polls. Each poll
    that ends without an error also confirms that the configuration in force was current
    when the poll began. This holds even if the configuration read is not adopted: the
    catalogue passes one over only if it is not newer than the one in force.

    Parameters
    ----------
    describe : callable
        Returns what is known of the deployment, for the checks of a configuration.
    """

    def __init__(
        self,
        source: DeploymentSource,
        catalogue: Catalogue,
        evacuations: EvacuationState,
        clock: Callable[[], float],
        describe: Callable[[], Deployment] = Deployment,
    ) -> None:
        self._source = source
        self._catalogue = catalogue
        self._evacuations = evacuations
        self._clock = clock
        self._describe = describe
        self._dependency = Dependency("configuration")
        self._version: int | None = None
        self._wait_s = CONFIG_LONG_POLL_S
        self._read_began_at = 0.0
        #: Longest seconds of the latest read during which this process did not stand
        #: still.
        self._max_read_s = 0.0

    async def run(self) -> None:
        """Read the configuration until cancelled."""
        while True:
            try:
                await self._read_next()
                self._dependency.record_success()
                # A slow store answers less often, and the answer to a read during which
                # this process stood still is old: both shorten the next wait.
                read_s = self._clock() - self._read_began_at
                late_s = max(0.0, read_s - self._wait_s)
                self._wait_s = max(0.0, CONFIG_LONG_POLL_S - late_s)
            except HistoryLostError:
                log.info("history_lost", extra={"store_version": self._version})
                self._version = None
            except PlatformError as exc:
                self._dependency.record_failure(exc)
                # The next read must not wait for a change: it should confirm at once
                # that the configuration is current.
                self._wait_s = 0.0
                if self._stood_still():
                    # The time-out passed meanwhile; the store may be available.
                    continue
                self._evacuations.record_outage()
                await asyncio.sleep(STORE_RETRY_S)

    def _stood_still(self) -> bool:
        """Return True if this process stood still during the latest read."""
        return self._clock() - self._read_began_at > self._max_read_s

    async def _read_next(self) -> None:
        started_at = self._read_began_at = self._clock()
        longest_s = CONFIG_LONG_POLL_S + self._source.call_timeout_s
        self._max_read_s = longest_s + CONFIG_READ_MARGIN_S
        if self._version is None:
            update = await self._source.configuration()
            self._evacuations.replace(update.evacuated, started_at)
        else:
            update = await self._source.next_configuration(self._version, self._wait_s)
            self._evacuations.update(update.evacuated, update.restored, started_at)
        self._version = update.version
        cfg = update.cfg
        adopted = False
        if cfg is not None:
            offer = self._catalogue.offer(cfg)
            adopted = offer.adopted
            log.info(
                "configuration_read",
                extra={
                    "version": cfg.version,
                    "adopted": offer.adopted,
                    "in_force": offer.version,
                    "routes": len(cfg.routes),
                },
            )
        if self._catalogue.table is None:
            await asyncio.sleep(STORE_RETRY_S)
            return
        self._catalogue.confirm(started_at)
        if adopted:
            # In a thread: streams that are being relayed must not pause meanwhile.
            findings = await asyncio.to_thread(
                check_configuration, cfg, self._describe()
            )
            log_findings(cfg.version, findings)


class EndpointSync:
    """Keep the directory at the newest list of endpoints, by periodic reads.

    If a read has no answer yet, another one begins soon, so that some silent
    connections do not delay the news of a drain, and the end of an outage is seen soon.
    Of two reads, the result of the one that began later counts.

    Parameters
    ----------
    poll_s : float
        Seconds between two reads.
    """

    def __init__(
        self,
        source: DeploymentSource,
        directory: EndpointDirectory,
        health: EndpointHealth,
        crashes: CrashReports,
        cold: ColdEndpoints,
        poll_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._poll_s = poll_s
        self._source = source
        self._directory = directory
        self._health = health
        self._crashes = crashes
        self._cold = cold
        self._clock = clock
        self._dependency = Dependency("endpoint list")
        #: Begin of the latest read whose result is known.
        self._known_from = float("-inf")
        self._reads: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Read the list until cancelled."""
        try:
            while True:
                await self._read_once()
        finally:
            for read in self._reads:
                read.cancel()

    async def _read_once(self) -> None:
        """Begin a read, and return when the next one is due."""
        started_at = self._clock()
        read = asyncio.create_task(self._read(started_at))
        self._reads.add(read)
        await asyncio.wait({read}, timeout=ENDPOINT_HEDGE_S)
        for ended in [task for task in self._reads if task.done()]:
            self._reads.discard(ended)
            ended.result()
        if not read.done():
            return
        if not read.result():
            await asyncio.sleep(STORE_RETRY_S)
            return
        # A read that is requested begins at the earliest after the usual retry time.
        await asyncio.sleep(min(self._poll_s, MIN_READ_INTERVAL_S))
        now = self._clock()
        due_at = started_at + self._poll_s
        # Endpoints that have listed themselves again are not to be taken for gone.
        last_relist_at = self._directory.keep_until - RELIST_READ_LEAD_S
        if now < last_relist_at:
            due_at = min(due_at, last_relist_at)
        await self._directory.wait_for_request(max(0.0, due_at - now))

    async def _read(self, started_at: float) -> bool:
        """Read the list once; return True if it was read."""
        try:
            listed = await self._source.endpoints()
        except PlatformError as exc:
            if started_at >= self._known_from:
                self._known_from = started_at
                self._directory.record_outage()
                self._dependency.record_failure(exc)
            return False
        if started_at >= self._known_from:
            self._known_from = started_at
            self.apply(listed, started_at, self._source.era)
            self._dependency.record_success()
        return True

    def apply(self, listed: list[Endpoint], read_at: float, era: int = 0) -> None:
        """Replace the endpoints by a list that was read, and act on the changes.

        Parameters
        ----------
        read_at : float
            Time at which the read began.
        era : int
            Era of the list; see `EndpointDirectory.update`.
        """
        now = self._clock()
        is_first = self._directory.updated_at is None
        changes = self._directory.update(listed, now, era)
        current = {endpoint.endpoint_id: endpoint for endpoint in listed}
        for endpoint in changes.removed:
            self._health.forget(endpoint.endpoint_id)
            self._crashes.record_end(endpoint)
        for endpoint in changes.restarted:
            self._health.forget(endpoint.endpoint_id)
            self._crashes.record_restart(endpoint, current[endpoint.endpoint_id])
        # The endpoints of the first list may have started long ago.
        started = [] if is_first else list(changes.added)
        started += [current[endpoint.endpoint_id] for endpoint in changes.restarted]
        self._cold.record_list(listed, started, now)
        self._crashes.observe_list(listed, read_at, self._directory.reliable_since)
        if changes:
            log.info(
                "endpoints_changed",
                extra={
                    "added": [e.endpoint_id for e in changes.added],
                    "removed": [e.endpoint_id for e in changes.removed],
                    "draining": [e.endpoint_id for e in changes.drained],
                    "restarted": [e.endpoint_id for e in changes.restarted],
                    "kept": [e.endpoint_id for e in changes.kept],
                    "undrained": [e.endpoint_id for e in changes.undrained],
                },
            )
