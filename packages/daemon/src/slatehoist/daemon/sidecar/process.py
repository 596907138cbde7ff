"""Sidecar process: construction, start, drain and stop of its components."""

import asyncio
import logging
import uuid
from collections.abc import Callable

import aiohttp
from aiohttp import web

from slatehoist.config import Kind, Replica, Resource, SidecarSettings
from slatehoist.daemon.background import Background
from slatehoist.daemon.configsync import decode_changes, encode_changes
from slatehoist.daemon.lifecycle import Lifecycle
from slatehoist.daemon.metrics import Metric, Metrics
from slatehoist.daemon.sidecar.admission import Admission
from slatehoist.daemon.sidecar.attempts import AttemptTable, CrashLog
from slatehoist.daemon.sidecar.coordinator import GroupCoordinator
from slatehoist.daemon.sidecar.endpoints import Load, make_endpoint
from slatehoist.daemon.sidecar.peers import GroupPeers
from slatehoist.daemon.sidecar.ranks import EngineRank, RankHost
from slatehoist.daemon.sidecar.runner import AttemptRunner
from slatehoist.daemon.sidecar.server import AttemptServer
from slatehoist.http import strict_connector
from slatehoist.routing import AdaptiveLimit, FairQueue
from slatehoist.storage import HttpInstanceList, HttpTable, HttpWeightStore
from slatehoist.wire import LinkServer, decode
from slatehoist.wire.messages import (
    ConfigAnswer,
    ConfigQuestion,
    Heartbeat,
    NotRunReason,
)

log = logging.getLogger(__name__)

#: Seconds between readings of the endpoint's load.
LOAD_INTERVAL_S = 0.25
#: Seconds between keep-alive frames on idle streams.
KEEPALIVE_INTERVAL_S = 0.5
#: Seconds between checks for expired attempts and orphans.
SWEEP_INTERVAL_S = 1.0
#: Seconds without a reader after which an attempt is cancelled.
ORPHAN_TIMEOUT_S = 20.0
#: Consecutive failed readings of the load after which the endpoint counts as down.
MAX_MISSED_LOADS = 3
#: Seconds between checks for overdue arms.
ARM_CHECK_INTERVAL_S = 0.25
#: Seconds that a drained sidecar keeps serving, so that entries can read the outcomes.
LINGER_S = 1.0


class SidecarProcess:
    """Sidecar of one endpoint: attempts, admission, health checks and control links.

    Parameters
    ----------
    cfg : SidecarSettings
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, cfg: SidecarSettings, clock: Callable[[], float]) -> None:
        self.cfg = cfg
        self.clock = clock
        self.incarnation = uuid.uuid4().hex[:16]
        self.lifecycle = Lifecycle()
        self.replica = Replica()
        self.metrics = Metrics(cfg.observe.statsd)
        self.peers: GroupPeers | None = None
        self.ranks: RankHost | None = None
        self.coordinator: GroupCoordinator | None = None
        self._load = Load("")
        self._missed_loads = 0
        self._crashed_at: dict[str, float] = {}
        self.background = Background()

    async def start(self) -> None:
        """Build all components, listen, and start the background tasks."""
        self._build()
        self.links.start()
        self._app_runner = web.AppRunner(self._server.build_app(), access_log=None)
        await self._app_runner.setup()
        host, _, port = self.cfg.instance.listen.rpartition(":")
        await web.TCPSite(self._app_runner, host, int(port)).start()
        self.replica.on_change(self._apply_config)
        self.lifecycle.become_ready()
        self.background.repeat(self._watch_endpoint, LOAD_INTERVAL_S)
        self.background.repeat(self._keep_alive, KEEPALIVE_INTERVAL_S)
        self.background.repeat(self._sweep, SWEEP_INTERVAL_S)
        self._start_group()
        log.info("sidecar_ready", extra={"incarnation": self.incarnation})

    async def drain(self) -> None:
        """Refuse new work, notify all peers, and wait for attempts to end.

        The wait is limited to the setting ``drain_s``.
        """
        self.lifecycle.drain()
        self.admission.draining = True
        self.admission.refuse_waiting(NotRunReason.DRAINING)
        await self.links.broadcast("heartbeat", self.heartbeat())
        if self.coordinator is not None:
            await self.coordinator.release_lease()
        log.info("sidecar_draining", extra={"running": self.admission.running})
        end = self.clock() + self.cfg.drain_s
        while self.table.live() and self.clock() < end:
            await asyncio.sleep(KEEPALIVE_INTERVAL_S / 5)
        await asyncio.sleep(LINGER_S)

    async def stop(self) -> None:
        """Cancel the background tasks and close all connections."""
        self.lifecycle.stop()
        await self.background.close()
        if self.peers is not None:
            await self.peers.close()
        await self.links.close()
        await self._app_runner.cleanup()
        await self.endpoint.close()
        await self._session.close()
        log.info("sidecar_stopped")

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat that is sent on all links."""
        return Heartbeat(
            instance=self.cfg.instance.name,
            incarnation=self.incarnation,
            draining=self.lifecycle.state != "ready",
            load=self.admission.load,
            step_s=self.admission.limit.step_s,
            revision=self.replica.revision,
            endpoint=self.cfg.endpoint.name,
            endpoint_up=self._is_endpoint_up(),
            concurrency=self.admission.limit.limit,
        )

    def _build(self) -> None:
        cfg = self.cfg.endpoint
        self._session = aiohttp.ClientSession(connector=strict_connector())
        platform = self.cfg.platform
        self.platform_table = HttpTable(platform.table, self._session)
        self.weights = HttpWeightStore(platform.weights, self._session)
        self.endpoint = make_endpoint(cfg.kind, cfg.url, cfg.silence_s)
        self.table = AttemptTable(self.cfg.retain_s)
        limit = AdaptiveLimit(
            min(cfg.min_concurrency, cfg.concurrency),
            cfg.concurrency,
            cfg.target_step_s,
        )
        self.admission = Admission(
            FairQueue(cfg.max_queue), limit, cfg.max_wait_s, self.clock
        )
        self._crash_log = CrashLog(cfg.name, self.table.running_digests)
        self.runner = AttemptRunner(
            self.table,
            self.admission,
            self.endpoint,
            self._crash_log,
            lambda: self._load.incarnation,
            self._on_crash,
            self.background,
            self.clock,
        )
        self._server = AttemptServer(
            self.table,
            self.runner,
            self.incarnation,
            lambda: self.admission.load,
            self.clock,
        )
        self._build_group()
        handlers = {
            "config": self._on_config,
            "config_question": self._on_config_question,
        }
        if self.ranks is not None:
            handlers["map_order"] = self.ranks.on_order
            handlers["ranks"] = self.ranks.on_ranks_question
        self.links = LinkServer(self.cfg.instance.control, handlers, self.heartbeat)

    def _build_group(self) -> None:
        """Build the rank host and the coordinator if ranks run on this instance."""
        cfg = self.cfg.rank
        if not cfg:
            return
        instances = HttpInstanceList(self.cfg.platform.instances, self._session)
        self.peers = GroupPeers(
            cfg[0].group, instances, self.replica, self.heartbeat, self.clock
        )
        ranks = [
            EngineRank(rank_cfg, self._session, self.weights, self.background)
            for rank_cfg in cfg
        ]
        self.ranks = RankHost(cfg, self.incarnation, ranks, self.peers, self.clock)
        self.coordinator = GroupCoordinator(
            cfg[0],
            self.platform_table,
            self.peers,
            self.replica,
            self._session,
            f"{self.cfg.instance.name}/{self.incarnation}",
            self.metrics,
            self.clock,
        )

    def _start_group(self) -> None:
        if self.coordinator is None:
            return
        interval_s = self.coordinator.renew_interval_s
        self.background.repeat(self.coordinator.renew_or_acquire_lease, interval_s)
        self.background.repeat(self.coordinator.coordinate, self.cfg.rank[0].plan_s)
        self.background.repeat(self.ranks.settle_overdue_arms, ARM_CHECK_INTERVAL_S)

    async def _on_config(self, peer: str, body: bytes) -> None:
        self.replica.apply(decode_changes(decode(body, ConfigAnswer)))

    async def _on_config_question(self, peer: str, body: bytes) -> ConfigAnswer:
        return encode_changes(self.replica, decode(body, ConfigQuestion).since)

    def _apply_config(self) -> None:
        """Apply the weights of members and teams to the queue."""
        spec = self.replica.spec(Kind.ENDPOINT, self.cfg.endpoint.name)
        group = self.replica.spec(Kind.GROUP, spec.group) if spec else None
        shares = dict(group.shares) if group else {}
        shares.update(spec.shares if spec else {})
        for member, weight in shares.items():
            self.admission.queue.set_weight(member, "", weight)
        for team in self.replica.list(Kind.TEAM):
            self._apply_team(team)
        self.metrics.gauge(Metric.REVISION, self.replica.revision)

    def _apply_team(self, team: Resource) -> None:
        weight = self.replica.spec(Kind.TEAM, team.name).weight
        self.admission.queue.set_weight(team.member, team.name, weight)

    async def _watch_endpoint(self) -> None:
        """Read the endpoint's load, and adapt the concurrency limit to its step time.

        Also refuse expired requests and send metrics.
        """
        sent_at = self.clock()
        load = await self.endpoint.load()
        if load is None or self._precedes_crash(load, sent_at):
            self._missed_loads += 1
        else:
            self._missed_loads = 0
            self._apply_load(load)
            await self._report_crash(load.incarnation, sent_at)
        self.admission.drop_expired()
        self._send_metrics()

    async def _report_crash(self, incarnation: str, sent_at: float) -> None:
        """Report a crash of the incarnation before, which no attempt can report."""
        crash = self._crash_log.observe_incarnation(incarnation, sent_at)
        if crash is not None:
            log.warning(
                "crash",
                extra={"crash": crash.crash_id, "suspects": len(crash.digests)},
            )
            await self.links.broadcast("crash", crash)

    def _apply_load(self, load: Load) -> None:
        self._update_incarnation(load)
        if load.step_s:
            in_use = self.admission.running
            self.admission.limit.observe(load.step_s, in_use, self.clock())

    def _is_endpoint_up(self) -> bool:
        return bool(self._load.incarnation) and self._missed_loads < MAX_MISSED_LOADS

    def _on_crash(self, incarnation: str) -> None:
        """Refuse attempts until the load is read again after the crash."""
        self._crashed_at.setdefault(incarnation, self.clock())
        if self._load.incarnation == incarnation:
            self._load = Load("")

    def _precedes_crash(self, load: Load, sent_at: float) -> bool:
        """Return True if a reading was requested before its incarnation crashed."""
        return sent_at <= self._crashed_at.get(load.incarnation, float("-inf"))

    def _update_incarnation(self, load: Load) -> None:
        if self._load.incarnation not in ("", load.incarnation):
            self.metrics.count(Metric.CRASHES)
            log.warning("endpoint_replaced", extra={"incarnation": load.incarnation})
        self._load = load

    def _send_metrics(self) -> None:
        for member, shed in self.admission.shed_by_member.items():
            self.metrics.gauge(Metric.SHED, shed, member)
        name = self.cfg.endpoint.name
        self.metrics.gauge(Metric.QUEUE, len(self.admission.queue), name)
        self.metrics.gauge(Metric.RUNNING, self.admission.running, name)
        self.metrics.gauge(Metric.LIMIT, self.admission.limit.limit, name)
        self.metrics.timing(Metric.STEP_MS, self.admission.limit.step_s, name)

    async def _keep_alive(self) -> None:
        """Wake all readers, so that idle streams send a keep-alive frame."""
        for attempt in self.table.live():
            attempt.wake_readers()

    async def _sweep(self) -> None:
        """Remove expired attempts and cancel orphans."""
        for orphan in self.table.sweep(self.clock(), ORPHAN_TIMEOUT_S):
            self.runner.cancel(orphan)
