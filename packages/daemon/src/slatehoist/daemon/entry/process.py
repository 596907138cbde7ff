"""Entry process: its components, listeners and periodic tasks."""

import asyncio
import logging
import random
import time
import uuid
from collections.abc import Callable

import aiohttp
from aiohttp import web

from slatehoist.config import EntrySettings, Replica, ResourceStore
from slatehoist.coord import ClaimStore, WriteBatcher
from slatehoist.daemon.background import Background
from slatehoist.daemon.configsync import decode_changes, encode_changes
from slatehoist.daemon.entry.attempts import AttemptClient
from slatehoist.daemon.entry.callers import CallerApi
from slatehoist.daemon.entry.directory import Directory, PeerInstance
from slatehoist.daemon.entry.dispatch import Dispatcher
from slatehoist.daemon.entry.guard import CrashGuard
from slatehoist.daemon.entry.keyed import DELETE_EXPIRED_INTERVAL_S, ClaimManager
from slatehoist.daemon.entry.quotas import RENEW_INTERVAL_S, TeamQuotas
from slatehoist.daemon.entry.resource_api import ResourceApi
from slatehoist.daemon.lifecycle import Lifecycle
from slatehoist.daemon.metrics import Metric, Metrics
from slatehoist.http import strict_connector
from slatehoist.routing import SuspectTracker
from slatehoist.storage import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTable,
    Instance,
    PlatformError,
)
from slatehoist.wire import LinkDownError, LinkServer, decode
from slatehoist.wire.messages import (
    ConfigAnswer,
    ConfigQuestion,
    Heartbeat,
)

log = logging.getLogger(__name__)

#: Seconds for which a draining entry still listens, while ``/readyz`` returns 503.
UNREADY_S = 1.0
#: Interval between loads of the stored crash reports, as a multiple of ``poll_s``.
CRASH_POLL_FACTOR = 10
#: Seconds to wait for another entry to report the revisions that it knows.
REVISIONS_TIMEOUT_S = 0.5


class EntryProcess:
    """One entry: callers' HTTP, resource API, directory, control links.

    Parameters
    ----------
    cfg : EntrySettings
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, cfg: EntrySettings, clock: Callable[[], float]) -> None:
        self.cfg = cfg
        self.clock = clock
        self.incarnation = uuid.uuid4().hex[:16]
        self.lifecycle = Lifecycle()
        self.replica = Replica()
        self.metrics = Metrics(cfg.observe.statsd)
        self._table_read_at = clock()
        self.background = Background()

    async def start(self) -> None:
        """Start all background tasks and open the listeners."""
        self._build()
        self.links.start()
        poll_s = self.cfg.platform.poll_s
        self.background.repeat(self._update_directory, poll_s)
        self.background.repeat(self._poll_config, poll_s)
        self.background.repeat(self.quotas.renew, RENEW_INTERVAL_S)
        self.background.repeat(self.claims.delete_expired, DELETE_EXPIRED_INTERVAL_S)
        crash_poll_s = poll_s * CRASH_POLL_FACTOR
        self.background.repeat(self.guard.load_crashes, crash_poll_s)
        await self._listen()
        log.info("entry_listening", extra={"incarnation": self.incarnation})

    async def drain(self) -> None:
        """Refuse new work and wait up to ``drain_s`` for running requests."""
        self.lifecycle.drain()
        log.info("entry_draining", extra={"running": self.callers.inflight})
        await asyncio.sleep(UNREADY_S)
        await self._site.stop()
        end = self.clock() + self.cfg.drain_s
        while self.callers.inflight and self.clock() < end:
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        self.lifecycle.stop()
        await self.background.close()
        await self._web.cleanup()
        await self.directory.close()
        await self.links.close()
        await self._client.close()
        await self._session.close()
        log.info("entry_stopped")

    def heartbeat(self) -> Heartbeat:
        """Return this entry's heartbeat."""
        return Heartbeat(
            instance=self.cfg.instance.name,
            incarnation=self.incarnation,
            draining=not self.lifecycle.takes_work,
            load=float(self.callers.inflight),
            step_s=0.0,
            revision=self.replica.revision,
        )

    async def revisions(self) -> dict[str, int]:
        """Return the revision in force at every process, as known to the live entries.

        An instance that no entry reports has revision 0.
        """
        gathered = self.directory.revisions()
        queries = [
            self._query_revisions(peer)
            for peer in self.directory.entries.values()
            if peer.up
        ]
        for answer in await asyncio.gather(*queries):
            for name, revision in answer.items():
                gathered[name] = max(revision, gathered.get(name, 0))
        listed = {i.name for i in self.directory.instances}
        missing = {name: 0 for name in listed if name not in gathered}
        return {**gathered, **missing}

    def _build(self) -> None:
        cfg = self.cfg
        self._session = aiohttp.ClientSession(connector=strict_connector())
        table = HttpTable(cfg.platform.table, self._session)
        self._instances = HttpInstanceList(cfg.platform.instances, self._session)
        self.store = ResourceStore(table)
        me = Instance(
            cfg.instance.name,
            "entry",
            cfg.instance.zone,
            cfg.instance.listen,
            cfg.instance.control,
            "live",
        )
        notification_handlers = {
            "config": self._on_config,
            # The guard is created below, since it needs the directory.
            "crash": lambda peer, body: self.guard.on_endpoint_crash(peer, body),
        }
        self.directory = Directory(
            me,
            self.replica,
            self.heartbeat,
            notification_handlers,
            self.background,
            self.clock,
        )
        self.guard = CrashGuard(
            SuspectTracker(cfg.guard.suspicion_s, cfg.guard.conviction_s),
            self.directory,
            table,
            self.background,
            self.clock,
        )
        self.quotas = TeamQuotas(self.replica, self.directory, self.clock)
        handlers = {
            **notification_handlers,
            "crash": self.guard.on_crash,
            "cleared": self.guard.on_cleared,
            "config_question": self._on_config_question,
            "quota": self.quotas.on_question,
            "revisions": self._on_revisions,
        }
        self.links = LinkServer(cfg.instance.control, handlers, self.heartbeat)
        self._client = AttemptClient(cfg.retry)
        self.dispatcher = Dispatcher(
            cfg,
            self.directory,
            self._client,
            self.guard,
            self.background,
            self.metrics,
            self.clock,
            random.Random(),
        )
        self.claims = ClaimManager(
            ClaimStore(table, WriteBatcher(table)),
            HttpObjectStore(cfg.platform.objects, self._session),
            self._client,
            self.directory,
            self.background,
            time.time,
        )
        self.callers = CallerApi(
            cfg,
            self.replica,
            self.dispatcher,
            self.claims,
            self.quotas,
            self.metrics,
            lambda: self.lifecycle.takes_work,
            self.clock,
        )
        self.resources = ResourceApi(
            self.store,
            self.replica,
            self.callers.authenticate,
            self.revisions,
            self._on_change_accepted,
            self._status,
        )

    async def _listen(self) -> None:
        app = web.Application(client_max_size=self.cfg.caller.max_body_bytes)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        self.callers.add_routes(app)
        self.resources.add_routes(app)
        self._web = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self._web.setup()
        host, _, port = self.cfg.instance.listen.rpartition(":")
        self._site = web.TCPSite(self._web, host, int(port))
        await self._site.start()

    async def _healthz(self, req: web.Request) -> web.Response:
        return web.json_response({"state": self.lifecycle.state})

    async def _readyz(self, req: web.Request) -> web.Response:
        status = 200 if self.lifecycle.takes_work else 503
        return web.json_response({"state": self.lifecycle.state}, status=status)

    def _status(self, member: str) -> dict:
        sidecars = {
            name: {
                "zone": peer.instance.zone,
                "endpoint": peer.beat.endpoint if peer.beat else "",
                "incarnation": peer.beat.incarnation if peer.beat else "",
                "up": peer.up,
                "takes_work": peer.takes_work(),
                "load": peer.beat.load if peer.beat else None,
            }
            for name, peer in sorted(self.directory.sidecars.items())
        }
        return {
            "entry": self.cfg.instance.name,
            "refused": self.callers.refused[member],
            "sidecars": sidecars,
        }

    async def _update_directory(self) -> None:
        """Update the directory from the platform's list of instances."""
        try:
            instances = await self._instances.list()
        except PlatformError:
            return
        await self.directory.update(instances)

    async def _poll_config(self) -> None:
        """Apply new configuration from the table or the peers; update the readiness."""
        await self._sync_config()
        self._update_readiness()

    async def _sync_config(self) -> None:
        try:
            changes = await self.store.changes_since(self.replica.revision)
            self._table_read_at = self.clock()
            self.replica.apply(changes)
        except PlatformError:
            await self._sync_config_from_peers()
        self.metrics.gauge(Metric.REVISION, self.replica.revision)

    async def _sync_config_from_peers(self) -> None:
        for peer in self.directory.all_peers():
            beat = peer.beat
            if peer.up and beat and beat.revision > self.replica.revision:
                question = ConfigQuestion(self.replica.revision)
                try:
                    answer = await peer.link.ask(
                        "config_question", question, ConfigAnswer
                    )
                except LinkDownError:
                    continue
                self.replica.apply(decode_changes(answer))

    def _update_readiness(self) -> None:
        """Take new work only if the table or a peer was reached within ``blind_s``."""
        last_contact_at = max(self._table_read_at, self.directory.last_heartbeat_at)
        if self.clock() - last_contact_at > self.cfg.blind_s:
            self.lifecycle.become_unsure()
        else:
            self.lifecycle.become_ready()

    async def _on_change_accepted(self) -> None:
        await self._sync_config()
        for peer in self.directory.all_peers():
            if peer.up and peer.beat:
                changes = encode_changes(self.replica, peer.beat.revision)
                self.background.spawn(peer.link.notify("config", changes))

    async def _on_config(self, peer: str, body: bytes) -> None:
        self.replica.apply(decode_changes(decode(body, ConfigAnswer)))

    async def _on_config_question(self, peer: str, body: bytes) -> ConfigAnswer:
        return encode_changes(self.replica, decode(body, ConfigQuestion).since)

    async def _on_revisions(self, peer: str, body: bytes) -> dict[str, int]:
        return self.directory.revisions()

    async def _query_revisions(self, peer: PeerInstance) -> dict[str, int]:
        try:
            return await peer.link.ask(
                "revisions", None, dict[str, int], REVISIONS_TIMEOUT_S
            )
        except LinkDownError:
            return {}
