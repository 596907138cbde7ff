"""Soak whose servers are processes, too: they are killed, frozen, slow and restarted.

The other soak runs its servers in its own process, where they neither stand still nor
vanish with what their sockets hold. Only requests that may run at most once are sent.
"""

import asyncio
import collections
import random
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

from slatehoist_standins.deployment_store import DeploymentStore
from slatehoist_standins.fleet import Fleet, free_port
from soak.callers import Caller, Result
from soak.guarantees import NOT_RUN
from soak.world import GRACE_S, HOST, LAUNCHER, Gateway

_SERVER_PROGRAM = Path(__file__).with_name("server_process.py")
#: Behaviours of servers besides whole responses, and those of faulty ones that repeat a
#: refusal without the id of its request.
REFUSING = ("shed", "shed_again", "error", "close", "reset", "cut_head")
NAMELESS = ("shed_again_without_id", "shed_again_in_part", "misdirect_again")
#: Faults to draw from, the more often named ones more often. All affect gateways and
#: servers; `OPERATIONS` adds planned stops of gateways, servers that come back under
#: their ids, and addresses that a server of the other service takes over.
FREEZES = ("freeze", "replace", "freeze")
OPERATIONS = (*FREEZES, "terminate", "restart_with_id", "take_over")
CREDENTIAL = "key-0-0"
ROUTE_TIMEOUT_S = 1.3
HEARTBEAT_S = 0.6
CALLERS_PER_GATEWAY = 3
#: Fraction of the faults that affect servers; the others affect gateways.
SERVER_FAULT_RATIO = 0.7
#: Seconds of a pause between two faults, of a freeze, and until a restart, at most.
MAX_PAUSE_S = 0.5
MAX_FREEZE_S = 3.0
MAX_DOWN_S = 1.0
#: Seconds for which an address is free before another service uses it, and for which it
#: uses it.
REUSE_AFTER_S = 2.0
TAKEN_OVER_S = 3.0
#: Kind of each route, and the service to which it leads.
KINDS = {"unsafe": "unsafe", "once": "stream", "other": "unsafe"}
SERVICES = {"unsafe": "app", "once": "app", "other": "other"}
#: Fraction of the servers that belong to the other service, if there is one.
OTHER_RATIO = 0.25
#: Seconds after the last request until servers have run all that they got.
SETTLE_S = 4.0


class ProcessReport(NamedTuple):
    """Requests by status, faults by name, and a line for each broken guarantee.

    Attributes
    ----------
    twice, refused : int
        Requests that ran more than once, and those that ran although the caller got a
        status which guarantees that they did not.
    """

    statuses: dict[str, int]
    faults: dict[str, int]
    twice: int
    refused: int
    broken: list[str]


class ProcessWorld(Fleet):
    """Gateways and servers, each a process of its own."""

    def __init__(self, rng: random.Random, gateways: int, servers: int) -> None:
        super().__init__()
        self.rng = rng
        self.store = DeploymentStore()
        self.gateways = [Gateway(f"gateway-{n}") for n in range(gateways)]
        #: Port and current id of each server; a restarted one has a new id.
        self.ports = {f"server-{n}": free_port() for n in range(servers)}
        self.ids: dict[str, str] = {}
        #: Start of each server in milliseconds.
        self.born: dict[str, int] = {}
        self.behaviours = REFUSING
        self.fault_names = FREEZES
        #: Service of each server that does not belong to the first one.
        self.services: dict[str, str] = {}
        self._taken_over: set[str] = set()
        self.faults: collections.Counter[str] = collections.Counter()
        self.credentials = {CREDENTIAL: "team-0"}
        self.revoked: dict[str, float] = {}
        self._starts = 0

    @property
    def runs_file(self) -> Path:
        """Return the file to which all servers write their runs."""
        return self.folder / "runs.txt"

    async def start(self) -> None:
        """Start all processes and wait until the gateways serve."""
        address = await self.store.start()
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "kind": kind,
                "timeoutMs": ROUTE_TIMEOUT_S * 1000,
                "goalMs": 400,
                "service": SERVICES[name],
                "maxAttempts": 3,
            }
            for name, kind in KINDS.items()
        ]
        team = {"name": "team-0", "apiKeys": [CREDENTIAL]}
        services = [{"name": "app"}, {"name": "other"}]
        doc = {"version": 1, "routes": routes, "services": services, "tenants": [team]}
        self.store.put("op", "config", doc)
        for name in self.ports:
            self.start_server(name)
        for gateway in self.gateways:
            self.start_gateway(gateway, address)
        async with asyncio.timeout(60.0):
            for gateway in self.gateways:
                while not await self._is_ready(gateway):
                    await asyncio.sleep(0.1)

    async def _is_ready(self, gateway: Gateway) -> bool:
        try:
            async with self.session.get(f"http://{gateway.ready}/api/readyz") as resp:
                return resp.status == 200
        except OSError:
            return False

    def start_gateway(self, gateway: Gateway, store_address: str) -> None:
        """Start a gateway that all others have counted long ago."""
        row = {"renewals": 0, "joined_at": -1000.0, "started_at": -1000.0}
        self.store.put("gateways", gateway.name, row)
        gateway.address = gateway.front
        port = free_port()
        path = self.folder / f"{gateway.name}.conf"
        path.write_text(
            f"node={gateway.name}\nzone=a\nip=127.0.0.1\nlisten.front={gateway.front}\n"
            f"listen.ready={gateway.ready}\ninternalPorts={port},{port}\n"
            f"bounds.graceS={GRACE_S}\nbounds.budgetExtra=10000\n"
            f"provider.addr={store_address}\n"
        )
        variable = f"SLATEHOIST_BOOT={path}"
        command = ["env", variable, sys.executable, str(LAUNCHER), "gateway"]
        self.spawn(gateway.name, command)

    def start_server(self, name: str, keeps_id: bool = False) -> None:
        """Start a server at the address of its predecessor, mostly under a new id."""
        self._starts += 1
        old = self.ids.get(name)
        new = old if keeps_id and old else f"i-{self._starts}"
        self.ids[name] = new
        self.born[name] = int(time.time() * 1000)
        port, seed = str(self.ports[name]), str(self.rng.getrandbits(32))
        command = [sys.executable, str(_SERVER_PROGRAM), new, port, seed]
        self.spawn(name, [*command, str(self.runs_file), *self.behaviours])
        if old not in (None, new):
            self.store.remove("servers", old)
        self._write_row(name)

    def _write_row(self, name: str) -> None:
        row = {
            "service": self.services.get(name, "app"),
            "addr": f"127.0.0.1:{self.ports[name]}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "seq": 1,
            "born": self.born[name],
        }
        self.store.put("servers", self.ids[name], row)

    async def send_heartbeats(self) -> None:
        """Rewrite the rows of all servers until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name in self.ports:
                if name not in self._taken_over:
                    self._write_row(name)

    async def inject_faults(self, until: float) -> None:
        """Inject faults that overlap, and wait until all have ended."""
        tasks = []
        while time.monotonic() < until:
            fault = getattr(self, self.rng.choice(self.fault_names))
            names = [g.name for g in self.gateways]
            if self.rng.random() < SERVER_FAULT_RATIO:
                names = list(self.ports)
            self.faults[f"{fault.__name__} {names[0].partition('-')[0]}"] += 1
            tasks.append(asyncio.create_task(fault(self.rng.choice(names))))
            await asyncio.sleep(self.rng.random() * MAX_PAUSE_S)
        await asyncio.gather(*tasks)

    async def freeze(self, name: str) -> None:
        """Stop a process for some seconds."""
        self.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self.rng.random() * MAX_FREEZE_S)
        self.signal(name, signal.SIGCONT)

    async def replace(self, name: str) -> None:
        """Kill a process and start another in its place."""
        self.kill(name)
        await asyncio.sleep(self.rng.random() * MAX_DOWN_S)
        if self.processes[name].poll() is None:
            return
        if name in self.ports:
            self.start_server(name)
        else:
            self.restart(name)

    async def terminate(self, name: str) -> None:
        """Stop a gateway as planned, and start it again; replace a server."""
        if name in self.ports:
            await self.replace(name)
            return
        self.signal(name, signal.SIGTERM)
        stop_at = time.monotonic() + GRACE_S
        while self.processes[name].poll() is None and time.monotonic() < stop_at:
            await asyncio.sleep(0.05)
        await self.replace(name)

    async def restart_with_id(self, name: str) -> None:
        """Kill a process and start it again; a server under its id."""
        self.kill(name)
        await asyncio.sleep(self.rng.random() * MAX_DOWN_S)
        if self.processes[name].poll() is None:
            return
        if name in self.ports:
            self.start_server(name, keeps_id=True)
        else:
            self.restart(name)

    async def take_over(self, name: str) -> None:
        """Let the other service use a server's address for some seconds."""
        if name not in self.ports or name in self._taken_over:
            await self.replace(name)
            return
        service = self.services.get(name, "app")
        self._taken_over.add(name)
        self.kill(name)
        self.store.remove("servers", self.ids.pop(name))
        await asyncio.sleep(REUSE_AFTER_S)
        self.services[name] = "app" if service == "other" else "other"
        if self.processes[name].poll() is not None:
            self.start_server(name)
        self._taken_over.discard(name)
        await asyncio.sleep(TAKEN_OVER_S)
        self.services[name] = service
        await self.replace(name)

    def read_runs(self) -> collections.Counter[str]:
        """Return how often each request ran."""
        lines = self.runs_file.read_text().splitlines()
        return collections.Counter(line.split(" ")[0] for line in lines)


async def run_processes(
    seed: int,
    seconds: float,
    gateways: int,
    servers: int,
    behaviours: tuple[str, ...] = REFUSING,
    fault_names: tuple[str, ...] = FREEZES,
) -> ProcessReport:
    """Run one seed, and check what ran against what the callers got."""
    rng = random.Random(seed)
    world = ProcessWorld(rng, gateways, servers)
    world.behaviours = behaviours
    world.fault_names = fault_names
    if "take_over" in fault_names:
        names = list(world.ports)
        others = names[: max(1, round(len(names) * OTHER_RATIO))]
        world.services.update(dict.fromkeys(others, "other"))
    async with world:
        await world.start()
        try:
            return await _run(world, seconds)
        finally:
            await world.store.stop()


async def _run(world: ProcessWorld, seconds: float) -> ProcessReport:
    callers = [
        OnceCaller(world, gateway, random.Random(world.rng.getrandbits(32)))
        for gateway in world.gateways
        for _ in range(CALLERS_PER_GATEWAY)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    tasks.append(asyncio.create_task(world.send_heartbeats()))
    await world.inject_faults(time.monotonic() + seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(SETTLE_S)
    return _judge(world, [result for caller in callers for result in caller.results])


def _judge(world: ProcessWorld, results: list[Result]) -> ProcessReport:
    runs = world.read_runs()
    statuses = collections.Counter(str(result.status) for result in results)
    twice = [r for r in results if runs[r.request_id] > 1]
    refused = [r for r in results if r.status in NOT_RUN and runs[r.request_id]]
    broken = [f"{r.kind} {r.request_id} ran {runs[r.request_id]} times" for r in twice]
    broken += [f"{r.kind} {r.request_id} got {r.status}, but ran" for r in refused]
    return ProcessReport(
        dict(sorted(statuses.items())),
        dict(sorted(world.faults.items())),
        len(twice),
        len(refused),
        broken,
    )


class OnceCaller(Caller):
    """Caller whose requests may run at most once."""

    async def request(self, session, kind: str, credential: str) -> Result:
        """Send a request of one of the kinds that may run once."""
        if kind == "safe" and "take_over" in self._world.fault_names:
            kind = "other"
        else:
            kind = "once" if kind in ("stream", "once") else "unsafe"
        return await super().request(session, kind, credential)
