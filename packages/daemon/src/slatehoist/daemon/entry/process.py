"""Wiring of the entry process."""

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
from slatehoist.daemon.entry.keyed import COLLECT_S, ClaimKeeper
from slatehoist.daemon.entry.quotas import RENEW_S, TeamQuotas
from slatehoist.daemon.entry.resource_api import ResourceApi
from slatehoist.daemon.lifecycle import Lifecycle
from slatehoist.daemon.metrics import Metric, Metrics
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

#: Seconds that a stopping entry goes on taking connections, unready.
UNREADY_S = 1.0
#: Polls of the configuration for each one of the kept crashes.
CRASH_POLL_FACTOR = 10
#: Seconds to wait for another entry's view of the revisions.
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
        self._table_seen_at = clock()
        self.background = Background()

    async def start(self) -> None:
        """Listen and start all tasks."""
        self._build()
        self.links.start()
        poll_s = self.cfg.platform.poll_s
        self.background.repeat(self._follow_instances, poll_s)
        self.background.repeat(self._follow_config, poll_s)
        self.background.repeat(self.quotas.renew, RENEW_S)
        self.background.repeat(self.claims.collect, COLLECT_S)
        crash_poll_s = poll_s * CRASH_POLL_FACTOR
        self.background.repeat(self.guard.follow_table, crash_poll_s)
        await self._listen()
        log.info("entry_listening", extra={"incarnation": self.incarnation})

    async def drain(self) -> None:
        """Say that no new work is taken, and finish what runs."""
        self.lifecycle.drain()
        log.info("entry_draining", extra={"running": self.callers.inflight})
        await asyncio.sleep(UNREADY_S)
        await self._site.stop()
        end = self.clock() + self.cfg.drain_s
        while self.callers.inflight and self.clock() < end:
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop everything."""
        self.lifecycle.stop()
        await self.background.close()
        await self._web.cleanup()
        await self.directory.close()
        await self.links.close()
        await self._client.close()
        await self._session.close()
        log.info("entry_stopped")

    def heartbeat(self) -> Heartbeat:
        """Give the facts that every peer wants."""
        return Heartbeat(
            instance=self.cfg.instance.name,
            incarnation=self.incarnation,
            draining=not self.lifecycle.takes_work,
            load=float(self.callers.inflight),
            step_s=0.0,
            revision=self.replica.revision,
        )

    async def revisions(self) -> dict[str, int]:
        """Gather the revision in force at every process, as the entries hear it."""
        gathered = self.directory.revisions()
        asks = [self._ask_revisions(n) for n in self.directory.entries.values() if n.up]
        for answer in await asyncio.gather(*asks):
            for name, revision in answer.items():
                gathered[name] = max(revision, gathered.get(name, 0))
        listed = {i.name for i in self.directory.instances}
        missing = {name: 0 for name in listed if name not in gathered}
        return {**gathered, **missing}

    def _build(self) -> None:
        cfg = self.cfg
        self._session = aiohttp.ClientSession()
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
        notes = {"config": self._on_config}
        self.directory = Directory(
            me, self.replica, self.heartbeat, notes, self.background, self.clock
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
            **notes,
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
        self.claims = ClaimKeeper(
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
            self._on_accepted,
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
                "zone": n.instance.zone,
                "endpoint": n.beat.endpoint if n.beat else "",
                "incarnation": n.beat.incarnation if n.beat else "",
                "up": n.up,
                "takes_work": n.takes_work(),
                "load": n.beat.load if n.beat else None,
            }
            for name, n in sorted(self.directory.sidecars.items())
        }
        return {
            "entry": self.cfg.instance.name,
            "refused": self.callers.refused[member],
            "sidecars": sidecars,
        }

    async def _follow_instances(self) -> None:
        """Follow the platform's list of instances."""
        try:
            instances = await self._instances.list()
        except PlatformError:
            return
        await self.directory.update(instances)

    async def _follow_config(self) -> None:
        """Put every accepted change in force, from the table or from a peer."""
        await self._sync()
        self._judge_readiness()

    async def _sync(self) -> None:
        try:
            changes = await self.store.changes_since(self.replica.revision)
            self._table_seen_at = self.clock()
            self.replica.apply(changes)
        except PlatformError:
            await self._sync_from_peers()
        self.metrics.gauge(Metric.REVISION, self.replica.revision)

    async def _sync_from_peers(self) -> None:
        for peer in self.directory.everyone():
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

    def _judge_readiness(self) -> None:
        """Take new work only while the newest configuration can be heard of."""
        heard = max(self._table_seen_at, self.directory.last_heartbeat_at)
        if self.clock() - heard > self.cfg.blind_s:
            self.lifecycle.become_unsure()
        else:
            self.lifecycle.become_ready()

    async def _on_accepted(self) -> None:
        await self._sync()
        for peer in self.directory.everyone():
            if peer.up and peer.beat:
                changes = encode_changes(self.replica, peer.beat.revision)
                self.background.spawn(peer.link.notify("config", changes))

    async def _on_config(self, peer: str, body: bytes) -> None:
        self.replica.apply(decode_changes(decode(body, ConfigAnswer)))

    async def _on_config_question(self, peer: str, body: bytes) -> ConfigAnswer:
        return encode_changes(self.replica, decode(body, ConfigQuestion).since)

    async def _on_revisions(self, peer: str, body: bytes) -> dict[str, int]:
        return self.directory.revisions()

    async def _ask_revisions(self, peer: PeerInstance) -> dict[str, int]:
        try:
            return await peer.link.ask(
                "revisions", None, dict[str, int], REVISIONS_TIMEOUT_S
            )
        except LinkDownError:
            return {}
