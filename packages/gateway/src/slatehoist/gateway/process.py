"""Gateway process: listeners, background tasks, drain and stop."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Awaitable, Callable

from aiohttp import web
from transitions import Machine

from slatehoist.gateway.admission import Admission
from slatehoist.gateway.catalogue import Catalogue
from slatehoist.gateway.codec import DeploymentSource, HeaderCodec
from slatehoist.gateway.configuration_checks import Deployment, describe_deployment
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.directory import EndpointDirectory
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.forwarding import make_forwarder
from slatehoist.gateway.gateway import Gateway
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.model import CallerLimits, Service
from slatehoist.gateway.probes import EndpointProbes
from slatehoist.gateway.registry import InstanceRegistry
from slatehoist.gateway.service_stalls import CHECK_INTERVAL_S, ServiceStalls
from slatehoist.gateway.settings import (
    ACCEPTED_WAIT_S,
    LATE_REQUEST_S,
    LEAVE_ROTATION_S,
    MOVE_STREAMS_PACE,
    READY_MAX_AGE_S,
    TASK_RESTART_S,
    TRUST_RATIO,
    GatewaySettings,
)
from slatehoist.gateway.statuses import StatusFeed
from slatehoist.gateway.sync import ConfigurationSync, EndpointSync
from slatehoist.gateway.upstream import Upstream
from slatehoist.observe import GatewayMetrics, StartStages, serve_metrics
from slatehoist.routing import CrashTally, EvenChooser, LoadAwareChooser
from slatehoist.storage import WatchableTable

log = logging.getLogger(__name__)

#: Path at which metrics are served.
METRICS_PATH = "/metrics"
#: Seconds between checks whether the last request in progress has ended.
_DRAIN_POLL_S = 0.05
#: Seconds between the time at which an idle connection stops reading and its close. A
#: request that was read just before reaches its handler in this time, which is a few
#: iterations of the event loop.
_CLOSE_PAUSE_S = 0.01
#: Pending connections that a listener queues, for bursts of new callers.
_BACKLOG = 512


class GatewayLifecycle:
    """State machine of a gateway: starting, serving, draining, stopped."""

    STATES = ["starting", "serving", "draining", "stopped"]

    def __init__(self) -> None:
        self._machine = Machine(
            model=self, states=self.STATES, initial="starting", auto_transitions=False
        )
        self._machine.add_transition("serve", "starting", "serving")
        self._machine.add_transition("drain", ["starting", "serving"], "draining")
        self._machine.add_transition("stop", "*", "stopped")


class GatewayProcess:
    """One gateway instance.

    Parameters
    ----------
    source : DeploymentSource
    table : WatchableTable
        Store in which gateways register themselves and report crashes.
    codec : HeaderCodec
    clock : callable
        Returns seconds, including time during which the instance was suspended.
    ready_path : str
        Path of the readiness check.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        source: DeploymentSource,
        table: WatchableTable,
        codec: HeaderCodec,
        clock: Callable[[], float],
        ready_path: str,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._source = source
        self._table = table
        self._codec = codec
        self._clock = clock
        self._ready_path = ready_path
        self._rng = rng
        self._lifecycle = GatewayLifecycle()
        self.catalogue = Catalogue(cfg.revoke_s * TRUST_RATIO)
        self.directory = EndpointDirectory(
            cfg.endpoint_relist_s,
            cfg.row_ttl_s,
            cfg.min_outage_s,
            cfg.max_list_age_s,
        )
        self._health = EndpointHealth()
        self._metrics = GatewayMetrics()
        self.evacuations = EvacuationState(
            cfg.max_zones_age_s, self.directory, self._metrics, clock
        )
        self._tasks: list[asyncio.Task] = []
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Start the background tasks and the listeners."""
        self._stages = StartStages(self._clock())
        self._upstream = Upstream()
        chooser = LoadAwareChooser(self._rng)
        tally = CrashTally()
        crashes = CrashReports(
            self._table,
            self._cfg.instance,
            self._cfg.row_ttl_s,
            self._cfg.crash_poll_s,
            tally,
            self._metrics,
            self._clock,
        )
        forwarder = make_forwarder(
            self._cfg,
            self._codec,
            self.directory,
            self._health,
            self.evacuations,
            self._upstream,
            chooser,
            tally,
            crashes,
            EndpointProbes(self._upstream.probe, crashes, self._clock),
            self.catalogue.find_service,
            self._metrics,
            self._clock,
            EvenChooser(self._rng),
        )
        cold = forwarder.choice.cold
        self.evacuations.on_restored = lambda zone, now: cold.record_zone_restored(
            self.directory.in_zone(zone), now
        )
        admission = None
        if self._cfg.admits_by_urgency:
            admission = Admission(
                forwarder.choice.usable,
                self._health,
                lambda: forwarder.instances,
                self._metrics,
                self._clock,
            )
            forwarder.attempts.streams.on_pause = admission.record_pause
        self._stalls = ServiceStalls(forwarder.choice.describe, self._stages)
        self._gateway = Gateway(
            self._codec,
            self.catalogue,
            forwarder,
            self._metrics,
            self._rng,
            self._clock,
            admission,
            self._stalls,
        )
        syncs = [
            ConfigurationSync(
                self._source,
                self.catalogue,
                self.evacuations,
                self._clock,
                self._describe_deployment,
            ),
            EndpointSync(
                self._source,
                self.directory,
                self._health,
                crashes,
                forwarder.choice.cold,
                self._cfg.endpoint_poll_s,
                self._clock,
            ),
            InstanceRegistry(
                self._table,
                self._cfg.instance,
                forwarder.record_membership,
                self._clock,
            ),
        ]
        for sync in syncs:
            self._start_task(type(sync).__name__, sync.run)
        self._start_task("write_reports", crashes.write_reports)
        self._start_task("follow_reports", crashes.follow_reports)
        self._start_task("check_stalls", self._check_stalls)
        self._forwarder = forwarder
        if self._cfg.status_listen is not None:
            feed = StatusFeed(
                self._cfg.instance,
                self._cfg.status_listen,
                self.directory,
                self._health,
                self._move_streams_if_slow,
                self._clock,
                forwarder.choice.demand,
            )
            self._start_task("StatusFeed", lambda: feed.run(self._engine_services))
        await self._listen(self._cfg.ready_listen, self._handle_ready)
        self._caller_runner = await self._listen(self._cfg.listen, self._gateway.handle)
        if self._cfg.metrics_listen is not None:
            self._runners.append(
                await serve_metrics(
                    self._metrics.registry,
                    *self._cfg.metrics_listen,
                    METRICS_PATH,
                    self._update_metrics,
                )
            )
        self._lifecycle.serve()
        log.info("started", extra={"listen": self._cfg.listen, "zone": self._cfg.zone})

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a background task that lasts as long as the process."""
        work = supervise(name, run, self._metrics)
        self._tasks.append(asyncio.create_task(work, name=name))

    async def _check_stalls(self) -> None:
        """Log what keeps this process from serving, until cancelled."""
        started_at = self._clock()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self._clock()
            table = self.catalogue.table
            missing = [] if table else ["configuration"]
            if self.directory.updated_at is None:
                missing.append("endpoint list")
            self._stalls.check_start(missing, started_at, now)
            self._stalls.check(table.cfg.services if table else (), now)

    def _update_metrics(self) -> None:
        table = self.catalogue.table
        self._metrics.config_version.set(self.catalogue.version)
        self._metrics.store_eras.set(self._source.era)
        self._metrics.kept_endpoints.set(self.directory.kept_count)
        self._metrics.config_age.set(self.catalogue.age_s(self._clock()))
        now = self._clock()
        for service in table.cfg.services if table else ():
            endpoints = self.directory.of_service(service.name, now)
            self._metrics.endpoints.labels(service.name).set(len(endpoints))
            slots = self._health.allocated(endpoints, now)
            self._metrics.allocated_slots.labels(service.name).set(slots)

    def _describe_deployment(self) -> Deployment:
        """Return what the checks of a configuration use; see `Deployment`."""
        if self.directory.updated_at is None:
            return describe_deployment(self._cfg)
        return describe_deployment(self._cfg, self.directory.service_counts())

    def _engine_services(self) -> list[Service]:
        table = self.catalogue.table
        services = table.cfg.services if table else ()
        return [service for service in services if service.engine]

    def _move_streams_if_slow(self, endpoint_id: str, pace: float) -> None:
        if pace < MOVE_STREAMS_PACE:
            return
        moved = self._forwarder.attempts.streams.move_streams(endpoint_id)
        if moved:
            log.warning(
                "streams_moved",
                extra={"endpoint": endpoint_id, "pace": pace, "streams": moved},
            )

    @property
    def address(self) -> str:
        """Return the address (``host:port``) on which callers are served."""
        host, port = self._caller_runner.addresses[0]
        return f"{host}:{port}"

    async def drain(self) -> None:
        """Leave the rotation, and return when all requests in progress have ended.

        New connections are accepted until the platform has taken this instance out of
        the rotation. The wait for requests ends shortly before the grace time does.
        """
        started_at = self._clock()
        drain_until = started_at + self._cfg.drain_limit_s
        self._lifecycle.drain()
        self._gateway.drain(started_at + LATE_REQUEST_S, drain_until)
        log.info("draining", extra={"active": len(self._gateway.busy_connections)})
        await asyncio.sleep(LEAVE_ROTATION_S)
        for site in list(self._caller_runner.sites):
            await site.stop()
        # The first request of a connection that was just accepted is on its way.
        await asyncio.sleep(ACCEPTED_WAIT_S)
        await self._close_idle_connections()
        while self._gateway.busy_connections and self._clock() < drain_until:
            await asyncio.sleep(_DRAIN_POLL_S)
            await self._close_idle_connections()
        active = len(self._gateway.busy_connections)
        await self._gateway.end_requests()
        log.info(
            "drained",
            extra={
                "active": active,
                "took_ms": round((self._clock() - started_at) * 1000),
            },
        )

    async def _close_idle_connections(self) -> None:
        """Close the connections on which no request is in progress.

        They first stop reading. A request that was read just before reaches its
        handler during the pause, and its connection then stays open for the response.
        """
        idle = (
            set(self._caller_runner.server.connections) - self._gateway.busy_connections
        )
        for conn in idle:
            conn.close()
        await asyncio.sleep(_CLOSE_PAUSE_S)
        for conn in idle - self._gateway.busy_connections:
            conn.force_close()

    async def stop(self) -> None:
        """Stop the background tasks, and close the listeners and all connections."""
        self._lifecycle.stop()
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(TimeoutError):
            margin_s = self._cfg.grace_s - self._cfg.drain_limit_s
            async with asyncio.timeout(margin_s / 2):
                for runner in self._runners:
                    await runner.cleanup()
                await self._upstream.close()
        log.info("stopped", extra={"active": len(self._gateway.busy_connections)})

    @property
    def ready(self) -> bool:
        """Return True if the platform should send new callers to this instance.

        It must be serving and must have read the configuration and the endpoints. If
        credentials are needed, the configuration must also be recent.
        """
        if self._lifecycle.state != "serving":
            return False
        table = self.catalogue.table
        if table is None or self.directory.updated_at is None:
            return False
        if not table.needs_credentials:
            return True
        return self.catalogue.age_s(self._clock()) < READY_MAX_AGE_S

    async def _handle_ready(self, req: web.BaseRequest) -> web.Response:
        if req.path != self._ready_path:
            return web.Response(status=404)
        is_ready = self.ready
        if is_ready:
            self._stages.reach("ready", self._clock())
        return web.Response(status=200 if is_ready else 503)

    async def _listen(self, address: str, handler: Callable) -> web.ServerRunner:
        server = web.Server(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=CallerLimits().idle_timeout_s,
            max_line_size=CallerLimits().max_header_bytes,
            max_field_size=CallerLimits().max_header_bytes,
        )
        runner = web.ServerRunner(server, handle_signals=False)
        await runner.setup()
        host, _, port = address.rpartition(":")
        site = web.TCPSite(
            runner, host, int(port), backlog=_BACKLOG, reuse_address=True
        )
        await site.start()
        self._runners.append(runner)
        return runner


async def supervise(
    name: str, run: Callable[[], Awaitable[None]], metrics: GatewayMetrics
) -> None:
    """Run a background task, and start it again if it fails or ends.

    Without the task, this instance would go on serving with old news, or none.
    """
    while True:
        try:
            await run()
            log.error("task_ended", extra={"task": name})
        except Exception:
            log.exception("task_failed", extra={"task": name})
        metrics.task_failures.labels(name).inc()
        await asyncio.sleep(TASK_RESTART_S)
