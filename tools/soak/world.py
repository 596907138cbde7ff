"""Deployment of the soak: gateway processes, the store, servers and relays."""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import time
from collections.abc import Iterator

from slatehoist_standins.deployment_store import DeploymentStore
from slatehoist_standins.fleet import Fleet, free_port
from slatehoist_standins.relay import Relay
from soak.servers import Evacuation, PoisonCrash, Run, SoakServer

HOST = "api.example"
LAUNCHER = pathlib.Path(__file__).parents[2] / "platform" / "launch.py"
#: Default number of gateways.
GATEWAYS = 3
SERVERS = 5
#: Zones of the servers; all gateways are in the first.
ZONES = ("a", "b", "c")
TEAMS = 3
#: Limits in the gateways' configuration, in seconds, similar to those of users' sites.
REVOKE_S = 5.0
DRAIN_S = 2.0
GRACE_S = 8.0
EVACUATION_S = 5.0
#: Longest seconds between two evacuations, and by which one outlasts `EVACUATION_S`.
MAX_EVACUATION_PAUSE_S = 3.0
MAX_EXTRA_EVACUATION_S = 6.0
ROUTE_TIMEOUT_S = 3.0
#: Seconds for which a server is cold after its start, the requests per second that it
#: tolerates then, and what the bound on all gateways together allows beyond them.
COLD_S = 2.0
COLD_RATE = 10.0
COLD_EXCESS = 1.5
COLD_SLACK = 5.0
#: Seconds after a fault of a gateway or the store from which drains bind the gateway.
CONTACT_S = 3.0
#: Seconds after a fault or a planned stop for which a gateway counts as disturbed.
SETTLE_S = 4.0
#: Seconds between heartbeats of a server, and the number of missing ones after which
#: its row is removed.
HEARTBEAT_S = 1.2
MAX_MISSED_HEARTBEATS = 3
#: Seconds for which a server that a poison request crashed is down: least and most.
DOWN_S = (0.5, 6.0)
#: How such a server ends, drawn with equal probability; see `SoakServer.draw_ending`.
ENDINGS = ("reset", "hang", "unframed")
#: Faulty behaviours of servers, drawn with equal probability. Some apply to streams
#: only; other responses are whole then.
BAD_BEHAVIOURS = (
    "error",
    "close",
    "reset",
    "truncate",
    "garbage",
    "extra",
    "shed",
    "unframed",
    "unframed_reset",
    "unframed_cut",
    "ends_within_event",
)


#: Behaviours of servers that write a refusal once more for the next request on its
#: connection, that break a stream off and answer its continuation with a text, or that
#: end the connection within the head of a response.
CONFUSING_BEHAVIOURS = (
    "shed_again",
    "shed_again_without_id",
    "shed_again_in_part",
    "misdirect_again",
    "shed_twice",
    "text_after_cut",
    "cut_head",
    "reset_head",
)
#: Bound on the retries of all gateways together: in any window, `RETRY_RATIO` times the
#: requests and `RETRY_EXTRA` more.
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_EXTRA = 20


class TimeSpans:
    """Recorded spans of time, in monotonic seconds."""

    def __init__(self) -> None:
        self._spans: list[list[float]] = []

    @contextlib.contextmanager
    def record(self) -> Iterator[None]:
        """Record the span of time during which the block runs."""
        span = [time.monotonic(), float("inf")]
        self._spans.append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def overlap(self, start: float, end: float, settle_s: float = SETTLE_S) -> bool:
        """Return True if a span, extended by `settle_s`, overlaps the given time."""
        return any(a <= end and b + settle_s >= start for a, b in self._spans)


class Gateway:
    """A gateway process, its relay for callers and its relay to the store.

    Attributes
    ----------
    fault_spans, stop_spans : TimeSpans
        Faults of this gateway and its links, and its planned stops.
    stopping : bool
        Whether the gateway is being stopped or started.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.caller_relay = Relay(self.front)
        self.store_relay: Relay
        self.address = ""
        self.fault_spans = TimeSpans()
        self.stop_spans = TimeSpans()
        self.stopping = False


class World(Fleet):
    """Processes and stand-ins of one soak.

    Attributes
    ----------
    runs : dict of str to list of Run
        Runs at servers, by request id.
    revoked : dict of str to float
        Revoked credentials, with the times at which the store accepted the revocation.
    bad_ratio, confusing_ratio : float
        Fractions of the servers' responses that are faulty, and confusing.
    poison_crashes : list of PoisonCrash
        Crashes of servers by poison requests, in order.
    evacuations : list of Evacuation
        Evacuations of zones, in order; at most one lasts at a time.
    """

    def __init__(self, rng: random.Random, gateway_count: int = GATEWAYS) -> None:
        super().__init__()
        self._gateway_count = gateway_count
        self.rng = rng
        self.store = DeploymentStore()
        self.runs: dict[str, list[Run]] = {}
        self.servers: list[SoakServer] = []
        self.retired: list[SoakServer] = []
        self.gateways: list[Gateway] = []
        self.revoked: dict[str, float] = {}
        self.credentials = {f"key-{n}-0": f"team-{n}" for n in range(TEAMS)}
        self.bad_ratio = self.confusing_ratio = 0.0
        self.poison_crashes: list[PoisonCrash] = []
        self.evacuations: list[Evacuation] = []
        self._restarts: set[asyncio.Task] = set()
        self.store_fault_spans = TimeSpans()
        self._numbers = iter(range(1, 1_000_000))
        self._version = 0

    async def start(self) -> None:
        """Start all components and wait until all gateways are ready."""
        self.store_address = await self.store.start()
        self.publish()
        for _ in range(SERVERS):
            await self.add_server()
        for index in range(self._gateway_count):
            await self._add_gateway(f"gateway-{index}")
        await asyncio.gather(*(self.wait_ready(g) for g in self.gateways))

    async def stop(self) -> None:
        """Stop the relays, the servers and the store."""
        for gateway in self.gateways:
            for relay in (gateway.caller_relay, gateway.store_relay):
                relay.set_mode("cut", 0.0)
                relay.server.close()
        for server in [*self.servers, *self.retired]:
            server.crash()
        await self.store.stop()

    def publish(self) -> float:
        """Write a configuration; return the time at which the store accepted it."""
        self._version += 1
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "kind": "stream" if name == "once" else name,
                "timeoutMs": ROUTE_TIMEOUT_S * 1000,
                "goalMs": 400,
                "service": "app",
                "maxAttempts": 1 if name == "unsafe" else 3,
                "resumable": name == "stream",
            }
            for name in ("safe", "unsafe", "stream", "once")
        ]
        keys: dict[str, list[str]] = {}
        for credential, team in self.credentials.items():
            keys.setdefault(team, []).append(credential)
        teams = [{"name": team, "apiKeys": keys[team]} for team in sorted(keys)]
        doc = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": "app", "coldS": COLD_S, "coldPerS": COLD_RATE}],
            "tenants": teams,
        }
        self.store.put("op", "config", doc)
        return time.monotonic()

    async def write_again(self) -> None:
        """Write what the operator and the servers wrote before the store went back.

        The rows of servers that have ended are removed when three heartbeats are
        missing, as usual.
        """
        self.publish()
        now = time.monotonic()
        evacuated = {e.zone for e in self.evacuations if e.end > now}
        for zone in ZONES:
            if zone in evacuated:
                self.store.evacuate(zone)
            else:
                self.store.restore_zone(zone)
        for server in self.servers:
            if server.is_up:
                self.store.put("servers", server.server_id, server.row("app"))
        for server in self.retired:
            if server.is_up and server.draining_since is not None:
                row = server.row("app", state="draining")
                self.store.put("servers", server.server_id, row)
        await asyncio.sleep(HEARTBEAT_S * MAX_MISSED_HEARTBEATS)
        for server in self.retired:
            if not server.is_up and server.server_id in self.store.rows("servers"):
                self.store.remove("servers", server.server_id)

    async def evacuate_zones(self, rng: random.Random) -> None:
        """Evacuate and restore zones, as an operator does, until cancelled."""
        while True:
            await asyncio.sleep(rng.random() * MAX_EVACUATION_PAUSE_S)
            zone = rng.choice(ZONES)
            self.store.evacuate(zone)
            evacuation = Evacuation(zone, time.monotonic())
            self.evacuations.append(evacuation)
            try:
                extra_s = rng.random() * MAX_EXTRA_EVACUATION_S
                await asyncio.sleep(EVACUATION_S + extra_s)
            finally:
                evacuation.end = time.monotonic()
                self.store.restore_zone(zone)

    def rotate_credential(self) -> None:
        """Revoke a credential and create a new one for its team."""
        old = self.rng.choice(sorted(self.credentials))
        team = self.credentials.pop(old)
        self.credentials[f"{old.rpartition('-')[0]}-{next(self._numbers)}"] = team
        self.revoked[old] = self.publish()

    async def send_heartbeats(self) -> None:
        """Rewrite the rows of all servers that are up, until cancelled.

        The row of one that is down is removed when three heartbeats are missing.
        """
        missed: dict[str, int] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                name = server.server_id
                missed[name] = 0 if server.is_up else missed.get(name, 0) + 1
                if server.is_up:
                    self.store.put("servers", name, server.row("app"))
                elif missed[name] == MAX_MISSED_HEARTBEATS:
                    self.store.remove("servers", name)

    def _on_poison(self, server: SoakServer, request_id: str) -> None:
        self.poison_crashes.append(PoisonCrash(time.monotonic(), request_id))
        task = asyncio.create_task(self._restart_server(server))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_server(self, server: SoakServer) -> None:
        await asyncio.sleep(self.rng.uniform(*DOWN_S))
        if server not in self.servers:
            return
        try:
            await server.restart()
        except OSError:
            # Another connection has taken the port meanwhile.
            self.servers.remove(server)
            self.retired.append(server)
            self.store.remove("servers", server.server_id)
            await self.add_server()
            return
        server.become_cold(COLD_S, is_start=True)
        self.store.put("servers", server.server_id, server.row("app"))

    async def add_server(self) -> SoakServer:
        """Start a server and add it to the store; it is cold if there is traffic."""
        name = f"i-{next(self._numbers)}"
        server = SoakServer(name, self.runs, self._draw_behaviour)
        server.zone = min(ZONES, key=[s.zone for s in self.servers].count)
        server.draw_ending = lambda: self.rng.choice(ENDINGS)
        server.draw_size = self.rng.randrange
        server.on_poison = self._on_poison
        await server.start()
        if self.gateways:
            server.become_cold(COLD_S, is_start=True)
        self.servers.append(server)
        self.store.put("servers", name, server.row("app"))
        return server

    def _draw_behaviour(self) -> str:
        if self.rng.random() < self.bad_ratio:
            return self.rng.choice(BAD_BEHAVIOURS)
        if self.confusing_ratio and self.rng.random() < self.confusing_ratio:
            return self.rng.choice(CONFUSING_BEHAVIOURS)
        return "ok"

    async def _add_gateway(self, name: str) -> None:
        gateway = Gateway(name)
        # All gateways have counted each other long ago. Otherwise none would have a
        # share of cold servers, stated rates and retries in most of a short run.
        row = {"renewals": 0, "joined_at": -1000.0, "started_at": -1000.0}
        self.store.put("gateways", name, row)
        gateway.store_relay = Relay(self.store_address)
        store_port = await gateway.store_relay.start()
        gateway.address = f"127.0.0.1:{await gateway.caller_relay.start()}"
        first = free_port()
        path = self.folder / f"{name}.conf"
        path.write_text(
            f"node={name}\nzone={ZONES[0]}\nip=127.0.0.1\nlisten.front={gateway.front}\n"
            f"listen.ready={gateway.ready}\ninternalPorts={first},{first}\n"
            f"bounds.drainMs={DRAIN_S * 1000:.0f}\nbounds.graceS={GRACE_S}\n"
            f"bounds.revokeMs={REVOKE_S * 1000:.0f}\n"
            f"bounds.evacMs={EVACUATION_S * 1000:.0f}\n"
            f"bounds.budgetWindowS={RETRY_WINDOW_S}\n"
            f"bounds.budgetRatio={RETRY_RATIO}\nbounds.budgetExtra={RETRY_EXTRA}\n"
            f"bounds.coldExcess={COLD_EXCESS}\nbounds.coldSlack={COLD_SLACK}\n"
            f"provider.addr=127.0.0.1:{store_port}\n"
        )
        self.gateways.append(gateway)
        variable = f"SLATEHOIST_BOOT={path}"
        self.spawn(name, ["env", variable, sys.executable, str(LAUNCHER), "gateway"])

    def had_no_fault(
        self, name: str, start: float, end: float, settle_s: float = SETTLE_S
    ) -> bool:
        """Return True if no fault affected a gateway or the store in a time span.

        Parameters
        ----------
        settle_s : float
            Seconds after a fault for which it still affects them.
        """
        gateway = next(g for g in self.gateways if g.name == name)
        return not (
            gateway.fault_spans.overlap(start, end, settle_s)
            or self.store_fault_spans.overlap(start, end, settle_s)
        )

    def was_undisturbed(
        self, name: str, start: float, end: float, settle_s: float = SETTLE_S
    ) -> bool:
        """Return True if no fault or planned stop affected a gateway in a time span."""
        gateway = next(g for g in self.gateways if g.name == name)
        return self.had_no_fault(
            name, start, end, settle_s
        ) and not gateway.stop_spans.overlap(start, end, settle_s)

    async def wait_ready(self, gateway: Gateway, timeout_s: float = 20.0) -> None:
        """Wait until a gateway reports that it is ready.

        Raises
        ------
        TimeoutError
            If the gateway is not ready after the timeout.
        """
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready(gateway):
                await asyncio.sleep(0.05)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Return True if a gateway reports that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                url = f"http://{gateway.ready}/api/readyz"
                async with self.session.get(url) as resp:
                    return resp.status == 200
        except (TimeoutError, OSError):
            return False

    async def restart_gateway(self, gateway: Gateway) -> float:
        """Stop a gateway by SIGTERM and restart it; return how long the stop took."""
        began = time.monotonic()
        self.signal(gateway.name, signal.SIGTERM)
        proc = self.processes[gateway.name]
        while proc.poll() is None and time.monotonic() - began < GRACE_S:
            await asyncio.sleep(0.05)
        took_s = time.monotonic() - began
        self.kill(gateway.name)
        self.restart(gateway.name)
        return took_s
