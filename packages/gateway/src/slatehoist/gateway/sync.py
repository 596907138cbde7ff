"""Following of what the platform keeps: configuration and endpoints."""

import asyncio
import logging
from collections.abc import Callable

from slatehoist.gateway.catalogue import Catalogue
from slatehoist.gateway.codec import DeploymentSource
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.settings import (
    CONFIG_WAIT_S,
    ENDPOINT_POLL_S,
    STORE_RETRY_S,
)
from slatehoist.storage import HistoryLostError, PlatformError

log = logging.getLogger(__name__)


class Dependency:
    """Reachability of something this process depends on, logged when it changes."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._reachable: bool | None = None

    def ok(self) -> None:
        """Note a call that succeeded."""
        if self._reachable is not True:
            log.info("dependency_regained", extra={"dependency": self._name})
        self._reachable = True

    def failed(self, exc: Exception) -> None:
        """Note a call that failed."""
        if self._reachable is not False:
            log.warning(
                "dependency_lost", extra={"dependency": self._name, "why": repr(exc)}
            )
        self._reachable = False


class ConfigurationSync:
    """Keep the catalogue at the newest configuration."""

    def __init__(
        self,
        source: DeploymentSource,
        catalogue: Catalogue,
        clock: Callable[[], float],
    ) -> None:
        self._source = source
        self._catalogue = catalogue
        self._clock = clock
        self._dependency = Dependency("configuration")
        self._version: int | None = None
        self._wait_s = CONFIG_WAIT_S

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            try:
                await self._step()
                self._dependency.ok()
                self._wait_s = CONFIG_WAIT_S
            except HistoryLostError:
                log.info("history_lost", extra={"store_version": self._version})
                self._version = None
            except PlatformError as exc:
                self._dependency.failed(exc)
                # The next success should confirm at once that nothing has changed.
                self._wait_s = 0.0
                await asyncio.sleep(STORE_RETRY_S)

    async def _step(self) -> None:
        asked_at = self._clock()
        if self._version is None:
            cfg, version = await self._source.configuration()
        else:
            cfg, version = await self._source.next_configuration(
                self._version, self._wait_s
            )
        self._version = version
        if cfg is not None:
            offer = self._catalogue.offer(cfg)
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
        self._catalogue.confirm(asked_at)


class EndpointSync:
    """Keep the directory at the newest list of endpoints."""

    def __init__(
        self,
        source: DeploymentSource,
        directory: EndpointDirectory,
        health: EndpointHealth,
        crashes: CrashReports,
        clock: Callable[[], float],
    ) -> None:
        self._source = source
        self._directory = directory
        self._health = health
        self._crashes = crashes
        self._clock = clock
        self._dependency = Dependency("endpoint list")

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            began = self._clock()
            try:
                listed = await self._source.endpoints()
                self._take(listed)
                self._dependency.ok()
            except PlatformError as exc:
                self._directory.note_outage()
                self._dependency.failed(exc)
                await asyncio.sleep(STORE_RETRY_S)
                continue
            await asyncio.sleep(max(0.0, ENDPOINT_POLL_S - (self._clock() - began)))

    def _take(self, listed: list) -> None:
        changes = self._directory.update(listed, self._clock())
        for endpoint in [*changes.removed, *changes.restarted]:
            self._health.forget(endpoint.endpoint_id)
            if not endpoint.draining:
                self._crashes.note_down(endpoint)
        if changes:
            log.info(
                "endpoints_changed",
                extra={
                    "added": [e.endpoint_id for e in changes.added],
                    "removed": [e.endpoint_id for e in changes.removed],
                    "draining": [e.endpoint_id for e in changes.drained],
                    "restarted": [e.endpoint_id for e in changes.restarted],
                },
            )
