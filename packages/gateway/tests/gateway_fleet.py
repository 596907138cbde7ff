"""Simulated servers, gateways and store, without a network and with a simulated clock.

The gateways run the production code of attempts, crash reports and the endpoint list.
Only their HTTP client, the table and the list in the store are simulated.
"""

import asyncio
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple

from gateway_builders import make_route

from slatehoist.gateway import (
    Endpoint,
    EndpointDirectory,
    EngineSpec,
    GatewaySettings,
    ReplyInfo,
    RequestInfo,
    Service,
)
from slatehoist.gateway.crash_reports import CrashReports
from slatehoist.gateway.evacuations import EvacuationState
from slatehoist.gateway.exchange import Exchange
from slatehoist.gateway.forwarding import make_forwarder
from slatehoist.gateway.health import EndpointHealth
from slatehoist.gateway.probes import EndpointProbes
from slatehoist.gateway.sync import EndpointSync
from slatehoist.gateway.upstream import BrokenReplyError, NotSentError, UpstreamRequest
from slatehoist.observe import GatewayMetrics
from slatehoist.routing import CrashTally, EvenChooser, LoadAwareChooser, Membership
from slatehoist.storage import (
    ABSENT,
    Check,
    ConflictError,
    Feed,
    HistoryLostError,
    Row,
    StoreDownError,
    Write,
)

#: Seconds between a server's heartbeats, which keep its row.
HEARTBEAT_S = 1.2
#: Seconds without a heartbeat after which a row is removed.
ROW_TTL_S = 3 * HEARTBEAT_S
#: Seconds by which one step advances the simulation.
STEP_S = 0.1
#: Real seconds for which a gateway waits for a silent server.
SILENCE_S = 0.03
#: Simulated seconds after which a gateway or a caller gives up a silent server.
PATIENCE_S = 1.8
#: Seconds of an unbroken connection to the store after which a gateway is judged.
CONTACT_S = 3.0
#: Body of a request that crashes every server which runs it.
POISON = b"poison"
#: Part of a prompt that crashes every server which runs a request with it.
POISON_PART = "bad"
#: Header of the simulated requests that lists the parts of their prompts.
_PARTS = "Parts"
#: Header of the simulated responses with the seconds of backoff, and the one by which a
#: server states that it did not run the request.
_REST = "Rest"
_NOT_RUN = "Not-Run"


class SharedTable:
    """`WatchableTable` in memory, with one version for all its rows."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._version = 0
        #: Version since which all changes are kept.
        self._oldest = 0

    def copy(self) -> dict[tuple[str, str], Row]:
        return dict(self._rows)

    def restore(self, rows: dict[tuple[str, str], Row]) -> None:
        """Go back to a copy in a new era, so that no older version is valid."""
        self._rows = dict(rows)
        self._version += 1000
        self._oldest = self._version

    async def get(self, table: str, key: str) -> Row | None:
        return self._rows.get((table, key))

    async def scan(self, table: str, prefix: str = "", after: str = "") -> list[Row]:
        return [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key.startswith(prefix) and key > after
        ]

    async def snapshot(
        self, table: str, start: str = "", end: str = ""
    ) -> tuple[list[Row], int]:
        return await self.scan(table), self._version

    async def changes(self, table: str, since: int, wait_s: float) -> Feed:
        if since < self._oldest:
            raise HistoryLostError(f"version {since} is of an older era")
        rows = [row for row in await self.scan(table) if row.version > since]
        return Feed(sorted(rows, key=lambda row: row.version), self._version)

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        failed = [
            (check.table, check.key)
            for check in checks
            if self._row_version(check.table, check.key) != check.version
        ]
        if failed:
            raise ConflictError(failed)
        self._version += 1
        for write in writes:
            row_id = (write.table, write.key)
            self._rows.pop(row_id, None)
            if write.value is not None:
                self._rows[row_id] = Row(write.key, self._version, dict(write.value))

    def _row_version(self, table: str, key: str) -> int:
        row = self._rows.get((table, key))
        return ABSENT if row is None else row.version


class GatewayTable:
    """Table as one gateway reaches it."""

    def __init__(self, table: SharedTable, gateway: "SimulatedGateway") -> None:
        self._table = table
        self._gateway = gateway

    def __getattr__(self, name: str) -> Any:
        async def call(*args: Any) -> Any:
            if self._gateway.cut_off:
                raise StoreDownError(f"{self._gateway.name} is cut off")
            return await getattr(self._table, name)(*args)

        return call


class PartArrival(NamedTuple):
    """Arrival of a request, and whether its gateway was connected to the store."""

    at: float
    connected: bool


class Rest(NamedTuple):
    """Answer in which a server asked a gateway for no requests for some seconds."""

    server: str
    gateway: str
    at: float
    for_s: float


class Server:
    """Server of the service ``app``, which registers itself by heartbeats.

    Attributes
    ----------
    ending : str
        How it ends when it runs a poison request: ``reset`` resets its connections and
        refuses new ones, ``silent`` answers nothing any more, ``unframed`` ends a body
        that has no length.
    down_s : float
        Seconds until it is up again.
    replaced : bool
        True if it comes back under a new id.
    """

    def __init__(self, number: int, started_at: float = 0.0, **faults) -> None:
        self.address = f"10.0.0.{number}:80"
        self.ending = "reset"
        self.down_s = 4.0
        self.replaced = False
        vars(self).update(faults)
        self._number = number
        self._starts = 0
        self.draining = False
        self.arrivals: list[float] = []
        self.crashed_at: list[float] = []
        self._down_until = 0.0
        self._start(started_at)

    def _start(self, now: float) -> None:
        self._starts += 1
        generation = f"-{self._starts}" if self.replaced else ""
        self.name = f"e{self._number}{generation}"
        self._born = self._starts
        self.is_up = True
        self.draining = False
        self._beat(now)

    def _beat(self, now: float) -> None:
        self._beat_at = now
        self.row = Endpoint(
            self.name,
            "app",
            self.address,
            "a",
            6,
            draining=self.draining,
            started_at_ms=self._born,
        )

    def restart(self, now: float) -> None:
        """Start again, which ends a drain."""
        self._start(now)

    def crash(self, now: float) -> None:
        self.is_up = False
        self.crashed_at.append(now)
        self._down_until = now + self.down_s

    def tick(self, now: float) -> None:
        """Send a heartbeat, restart, or let the row expire, if that is due."""
        if not self.is_up and now >= self._down_until:
            self._start(now)
        if self.is_up and now - self._beat_at >= HEARTBEAT_S:
            self._beat(now)
        if now - self._beat_at >= ROW_TTL_S:
            self.row = None


class SimulatedReply:
    """Whole response of a server."""

    body = b"whole"

    def __init__(
        self,
        framed: bool = True,
        status: int = 200,
        rest_s: float = 0.0,
        body: bytes | None = None,
        not_run: bool = False,
    ) -> None:
        self.status = status
        if body is not None:
            self.body = body
        self.headers = {"Content-Length": str(len(self.body))} if framed else {}
        if rest_s:
            self.headers[_REST] = str(rest_s)
        if not_run or status == 503:
            self.headers[_NOT_RUN] = "1"
        self.content = self
        self._pieces = [self.body] if self.body else []

    async def readany(self) -> bytes:
        return self._pieces.pop() if self._pieces else b""

    def close(self) -> None:
        pass

    def release(self) -> None:
        pass


class SimulatedUpstream:
    """HTTP client of one gateway, whose requests reach the simulated servers.

    Attributes
    ----------
    resets_left : int
        Number of further requests whose connection is reset although the server lives.
    """

    def __init__(self, fleet: "Fleet", gateway: "SimulatedGateway") -> None:
        self._fleet = fleet
        self._gateway = gateway
        self.resets_left = 0

    async def send(self, req: UpstreamRequest) -> SimulatedReply:
        server = self._fleet.at(req.address)
        self._check_connect(server)
        server.arrivals.append(self._fleet.now)
        parts = req.headers[_PARTS].split(",")
        if POISON_PART in parts:
            arrival = PartArrival(
                self._fleet.now, self._gateway.was_connected_for(CONTACT_S)
            )
            self._fleet.poison_part_arrivals.append(arrival)
        if self.resets_left:
            self.resets_left -= 1
            raise BrokenReplyError("reset")
        if self._fleet.grouped and not all(s.is_up for s in self._fleet.servers):
            return SimulatedReply(status=503)
        rest_s = self._fleet.draw_rest_s()
        arrivals = self._fleet.rest_arrivals
        arrivals.setdefault((server.name, self._gateway.name), []).append(
            self._fleet.now
        )
        if rest_s:
            rest = Rest(server.name, self._gateway.name, self._fleet.now, rest_s)
            self._fleet.rests.append(rest)
            delay_s = self._fleet.draw_reply_delay_s()
            await self._run_until(self._fleet.now + delay_s)
            return SimulatedReply(status=503, rest_s=rest_s)
        is_poison_part = self._fleet.part_crashes and POISON_PART in parts
        if req.body != POISON and not is_poison_part:
            await self._run(server)
            return SimulatedReply(framed=self._fleet.framed)
        arrivals = self._fleet.poison_arrivals
        arrivals.append(self._fleet.now)
        answer = self._fleet.answer_poison(len(arrivals) - 1)
        if answer is not None:
            return answer
        server.crash(self._fleet.now)
        if server.ending == "reset":
            raise BrokenReplyError("reset")
        if server.ending == "silent" and is_poison_part:
            await self._run_until(self._fleet.now + PATIENCE_S)
            raise TimeoutError
        if server.ending == "silent":
            await self._fleet.advance(PATIENCE_S)
            await asyncio.sleep(60)
        return SimulatedReply(framed=False)

    async def _run(self, server: Server) -> None:
        """Run a sound request, which is lost if its server crashes meanwhile."""
        crashes = len(server.crashed_at)
        await self._run_until(
            self._fleet.now + self._fleet.run_s,
            lambda: len(server.crashed_at) > crashes,
        )
        if len(server.crashed_at) == crashes:
            return
        if server.ending == "silent":
            await self._run_until(self._fleet.now + PATIENCE_S)
            raise TimeoutError
        raise BrokenReplyError("reset")

    async def _run_until(
        self, ends_at: float, is_over: Callable[[], bool] = lambda: False
    ) -> None:
        """Wait in simulated time, while the fleet advances elsewhere."""
        while self._fleet.now < ends_at and not is_over():
            await asyncio.sleep(0)

    async def probe(self, address: str) -> None:
        self._check_connect(self._fleet.at(address))

    def _check_connect(self, server: Server) -> None:
        if not server.is_up:
            raise NotSentError(server.address, refused=server.ending != "silent")


class SimulatedCodec:
    """Codec for responses that are always valid."""

    def request_headers(self, headers: Any, forwarding: Any) -> dict[str, str]:
        return dict(headers)

    def reply_headers(self, headers: Any) -> dict[str, str]:
        return {}

    def read_reply(self, status: int, headers: Any) -> ReplyInfo:
        return ReplyInfo(
            "id",
            not_run=_NOT_RUN in headers,
            wrong_instance=False,
            authentic=True,
            retry_after_s=float(headers[_REST]) if _REST in headers else None,
        )


class SimulatedGateway:
    """Gateway that reads the list and the crash reports at its own times.

    Attributes
    ----------
    cut_off : bool
        True while the gateway does not reach the store.
    """

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self._fleet = fleet
        self.name = f"gateway-{number}"
        self.cut_off = False
        self._connected_since = fleet.now
        clock = fleet.clock
        metrics = GatewayMetrics()
        self.tally = CrashTally()
        self.upstream = SimulatedUpstream(fleet, self)
        cfg = GatewaySettings(self.name, "a", "", "", heartbeat_s=HEARTBEAT_S)
        self.crashes = CrashReports(
            GatewayTable(fleet.table, self),
            cfg.instance,
            cfg.row_ttl_s,
            cfg.crash_poll_s,
            self.tally,
            metrics,
            clock,
        )
        directory = EndpointDirectory(cfg.endpoint_relist_s)
        health = self.health = EndpointHealth()
        self._poll_s = cfg.endpoint_poll_s
        self._forwarder = make_forwarder(
            cfg,
            SimulatedCodec(),
            directory,
            health,
            EvacuationState(cfg.max_zones_age_s, directory, metrics, clock),
            self.upstream,
            LoadAwareChooser(random.Random(number)),
            self.tally,
            self.crashes,
            EndpointProbes(self.upstream.probe, self.crashes, clock),
            lambda name: None,
            metrics,
            clock,
            EvenChooser(random.Random(number)),
        )
        self._sync = EndpointSync(
            None,
            directory,
            health,
            self.crashes,
            self._forwarder.choice.cold,
            cfg.endpoint_poll_s,
            clock,
        )
        self._next_read_at = fleet.now + fleet.rng.random() * self._poll_s
        self._directory = directory

    async def start(self) -> None:
        """Read the list; all gateways were counted long ago."""
        self._sync.apply(self._fleet.listed(), self._fleet.now)
        long_ago = -1000.0
        names = tuple(f"gateway-{n}" for n in range(len(self._fleet.gateways)))
        self._forwarder.record_membership(
            Membership(len(names), long_ago, long_ago, names)
        )

    def cut(self, is_cut: bool) -> None:
        """Cut the gateway off from the store, or end that."""
        self.cut_off = is_cut
        self._connected_since = float("inf") if is_cut else self._fleet.now

    def was_connected_for(self, seconds: float) -> bool:
        """Return True if the gateway has run and reached the store for some time."""
        return self._fleet.now - self._connected_since >= seconds

    async def tick(self) -> None:
        if self.cut_off:
            self._directory.record_outage()
            return
        if self._fleet.now >= self._next_read_at:
            self._next_read_at += self._poll_s
            self._sync.apply(self._fleet.listed(), self._fleet.now)
        await self.crashes.write_pending()
        await self.crashes.follow_once()

    def observe_groups(self, is_open: bool) -> None:
        """Record a status of each server, as the agents send them."""
        for server in self._fleet.servers:
            self.health.observe_status(server.name, is_open, 1.0, self._fleet.now)

    async def send(
        self,
        body: bytes = POISON,
        caller_leaves: bool = False,
        engine: EngineSpec | None = None,
        parts: tuple[str, ...] = (),
        objective_s: float = SILENCE_S,
        last_event_id: str = "",
    ) -> Exchange:
        """Send a request until the gateway answers it or the caller leaves.

        Parameters
        ----------
        objective_s : float
            Real seconds after which an attempt at a server ends.
        """
        now = self._fleet.now
        headers = {_PARTS: ",".join(parts)}
        req = SimpleNamespace(method="POST", raw_path="/a/x", headers=headers)
        info = RequestInfo("id", None, "key", "", prompt_parts=parts)
        route = make_route(objective_s=objective_s)
        exchange = Exchange(
            req, body, info, route, Service("app", engine), "t", now, now + 5
        )
        exchange.last_event_id = last_event_id
        task = asyncio.create_task(self._forwarder.forward(exchange))
        if caller_leaves:
            await asyncio.sleep(SILENCE_S / 3)
            task.cancel()
        await asyncio.gather(task, return_exceptions=caller_leaves)
        return exchange


class Fleet:
    """Simulated servers and gateways that share a table and a clock.

    Attributes
    ----------
    grouped : bool
        True if the servers are ranks of one group: while one is down, all others
        refuse what they get.
    framed : bool
        False if the responses to sound requests have neither a length nor chunks.
    part_crashes : bool
        True if `POISON_PART` crashes the servers.
    run_s : float
        Seconds for which a sound request runs.
    poison_part_arrivals : list of PartArrival
        Arrivals at servers of requests with `POISON_PART`.
    poison_arrivals : list of float
        Times at which requests that crash servers arrived there.
    answer_poison : callable
        Returns the answer to the poison request of a number, from 0, or None if it
        crashes its server.
    draw_rest_s, draw_reply_delay_s : callable
        Return the seconds of backoff that a server demands for a request, 0 if
        it takes the request, and the seconds until its answer arrives.
    rests : list of Rest
        Responses in which a server demanded a backoff.
    rest_arrivals : dict of (str, str) to list of float
        Times of the arrivals by server and gateway.
    """

    def __init__(
        self,
        servers: int,
        gateways: int,
        seed: int,
        grouped: bool = False,
        framed: bool = True,
        **faults,
    ) -> None:
        self.now = 100.0
        self.grouped = grouped
        self.framed = framed
        self.part_crashes = True
        self.run_s = 0.0
        self.poison_part_arrivals: list[PartArrival] = []
        self.poison_arrivals: list[float] = []
        self.answer_poison: Callable[[int], SimulatedReply | None] = lambda number: None
        self.draw_rest_s: Callable[[], float] = lambda: 0.0
        self.draw_reply_delay_s: Callable[[], float] = lambda: 0.0
        self.rests: list[Rest] = []
        self.rest_arrivals: dict[tuple[str, str], list[float]] = {}
        self.rng = random.Random(seed)
        self.table = SharedTable()
        self.servers = [
            # Their heartbeats do not coincide.
            Server(number, self.now - self.rng.random() * HEARTBEAT_S, **faults)
            for number in range(servers)
        ]
        self.gateways = [SimulatedGateway(self, number) for number in range(gateways)]

    async def start(self) -> "Fleet":
        await self.advance(HEARTBEAT_S)
        for gateway in self.gateways:
            await gateway.start()
        return self

    def clock(self) -> float:
        return self.now

    def at(self, address: str) -> Server:
        return next(s for s in self.servers if s.address == address)

    def listed(self) -> list[Endpoint]:
        return [s.row for s in self.servers if s.row is not None]

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for server in self.servers:
                server.tick(self.now)
            for gateway in self.gateways:
                await gateway.tick()
            # Background tasks of the gateways, such as probes, run in between.
            await asyncio.sleep(0)

    def crash_times(self) -> list[float]:
        return sorted(at for server in self.servers for at in server.crashed_at)

    def count_arrivals(self, after: float) -> int:
        return sum(at > after for server in self.servers for at in server.arrivals)
