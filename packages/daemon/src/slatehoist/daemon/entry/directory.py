"""Directory of the processes known to an entry, and links to them."""

import asyncio
import contextlib
from collections.abc import Callable

from slatehoist.config import Kind, Replica
from slatehoist.daemon.background import Background
from slatehoist.daemon.configsync import encode_changes
from slatehoist.routing import Candidate, Peer, choose_subset, subset_size
from slatehoist.storage import Instance
from slatehoist.wire import Link, heartbeat_interval_s
from slatehoist.wire.messages import Heartbeat

#: Maximum links that one entry keeps to other entries.
MAX_ENTRY_LINKS = 64


class PeerInstance:
    """Another process, with its link and last reported state."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.link: Link | None = None
        self.beat: Heartbeat | None = None
        self.beat_at = float("-inf")
        self.up = False
        self.inflight = 0
        self.inflight_at_beat = 0

    def observe_heartbeat(self, beat: Heartbeat, now: float) -> None:
        """Record a heartbeat."""
        self.beat = beat
        self.beat_at = now
        self.inflight_at_beat = self.inflight
        self.up = True

    def observe_load(self, load: float, now: float) -> None:
        """Update the last heartbeat with the load from an attempt's outcome."""
        if self.beat is not None:
            self.observe_heartbeat(self.beat._replace(load=load), now)

    def mark_unavailable(self) -> None:
        """Send no new work until the next heartbeat."""
        self.up = False

    def takes_work(self) -> bool:
        """Return True if new work may be sent to this process."""
        return (
            self.up
            and self.beat is not None
            and not self.beat.draining
            and self.beat.endpoint_up
            and self.instance.state == "live"
        )


class Directory:
    """Maintain links to the sidecars and entries that one entry uses.

    Parameters
    ----------
    me : Instance
    replica : Replica
    heartbeat : callable
        Returns this entry's heartbeat.
    notification_handlers : dict
        Handlers of the peers' notifications, by kind.
    """

    def __init__(
        self,
        me: Instance,
        replica: Replica,
        heartbeat: Callable[[], Heartbeat],
        notification_handlers: dict,
        background: Background,
        clock: Callable[[], float],
    ) -> None:
        self.me = me
        self.sidecars: dict[str, PeerInstance] = {}
        self.entries: dict[str, PeerInstance] = {}
        self.instances: list[Instance] = []
        self.last_heartbeat_at = float("-inf")
        self.newest_revision = 0
        self._replica = replica
        self._heartbeat = heartbeat
        self._notification_handlers = notification_handlers
        self._clock = clock
        self._background = background

    async def update(self, instances: list[Instance]) -> None:
        """Open and close links to match the platform's list of instances."""
        self.instances = instances
        by_role = {"sidecar": [], "entry": []}
        for instance in instances:
            if instance.name != self.me.name and instance.role in by_role:
                by_role[instance.role].append(instance)
        sidecar_links = subset_size(len(by_role["entry"]) + 1, len(by_role["sidecar"]))
        await self._update_links(self.sidecars, by_role["sidecar"], sidecar_links)
        await self._update_links(self.entries, by_role["entry"], MAX_ENTRY_LINKS)
        peer_instances = self.all_peers()
        for peer in peer_instances:
            peer.link.interval_s = heartbeat_interval_s(len(peer_instances))

    def all_peers(self) -> list[PeerInstance]:
        """Return all processes that this entry has a link to."""
        return [*self.entries.values(), *self.sidecars.values()]

    async def close(self) -> None:
        """Close all links."""
        for peer in self.all_peers():
            await peer.link.close()

    def serving_sidecars(
        self, model: str, service: str, member: str
    ) -> list[PeerInstance]:
        """Return the available sidecars whose endpoint serves a model or service."""
        return [
            peer
            for peer in self.sidecars.values()
            if peer.takes_work() and self._serves(peer, model, service, member)
        ]

    def candidate(self, peer: PeerInstance, now: float) -> Candidate:
        """Return a sidecar's state as a candidate for the chooser."""
        beat = peer.beat
        return Candidate(
            name=peer.instance.name,
            zone=peer.instance.zone,
            own_inflight=peer.inflight,
            reported_load=beat.load,
            own_at_report=peer.inflight_at_beat,
            report_age_s=now - peer.beat_at,
            concurrency=max(beat.concurrency, 1),
        )

    def revisions(self) -> dict[str, int]:
        """Return the configuration revision in force here and at each live peer."""
        revisions = {
            peer.instance.name: peer.beat.revision
            for peer in self.all_peers()
            if peer.up and peer.beat is not None
        }
        revisions[self.me.name] = self._replica.revision
        return revisions

    async def query_entries(self, kind: str, msg, timeout_s: float) -> None:
        """Send a question to all live entries with a link and wait for the answers."""
        live = [peer for peer in self.entries.values() if peer.up]
        answers = (peer.link.ask(kind, msg, bool, timeout_s) for peer in live)
        await asyncio.gather(*answers, return_exceptions=True)

    async def notify_entries(self, kind: str, msg) -> None:
        """Send a notification to every linked entry and ignore failures."""
        for peer in list(self.entries.values()):
            with contextlib.suppress(Exception):
                await peer.link.notify(kind, msg)

    def _serves(
        self, peer: PeerInstance, model: str, service: str, member: str
    ) -> bool:
        spec = self._replica.spec(Kind.ENDPOINT, peer.beat.endpoint)
        if spec is None or (spec.members and member not in spec.members):
            return False
        return model in spec.models if model else spec.service == service

    async def _update_links(
        self, known: dict[str, PeerInstance], instances: list[Instance], size: int
    ) -> None:
        candidates = [Peer(instance.name, instance.zone) for instance in instances]
        wanted = {peer.name for peer in choose_subset(self.me.name, candidates, size)}
        by_name = {instance.name: instance for instance in instances}
        for name in list(known):
            if not self._keeps_link(known[name], by_name.get(name), name in wanted):
                await known.pop(name).link.close()
        for name in wanted - known.keys():
            known[name] = self._connect(by_name[name])
        for name, peer in known.items():
            peer.instance = by_name[name]

    def _keeps_link(
        self, peer: PeerInstance, instance: Instance | None, wanted: bool
    ) -> bool:
        """Return True if a link is kept.

        A link that is not wanted any more is kept while requests of this entry are in
        flight at the peer.
        """
        if instance is None:
            return False
        old = peer.instance
        address_changed = (old.address, old.control) != (
            instance.address,
            instance.control,
        )
        return not address_changed and (wanted or peer.inflight > 0)

    def _connect(self, instance: Instance) -> PeerInstance:
        peer = PeerInstance(instance)

        def on_heartbeat(beat: Heartbeat) -> None:
            self._on_heartbeat(peer, beat)

        def on_down() -> None:
            peer.up = False

        peer.link = Link(
            instance.control,
            self._heartbeat,
            self._clock,
            on_heartbeat,
            on_down,
            self._notification_handlers,
        )
        peer.link.start()
        return peer

    def _on_heartbeat(self, peer: PeerInstance, beat: Heartbeat) -> None:
        self.last_heartbeat_at = self._clock()
        peer.observe_heartbeat(beat, self.last_heartbeat_at)
        self.newest_revision = max(self.newest_revision, beat.revision)
        if beat.revision < self._replica.revision:
            changes = encode_changes(self._replica, beat.revision)
            self._background.spawn(peer.link.notify("config", changes))
