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
        self.behaviours = REFUSING
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
                "service": "app",
                "maxAttempts": 3,
            }
            for name, kind in (("unsafe", "unsafe"), ("once", "stream"))
        ]
        team = {"name": "team-0", "apiKeys": [CREDENTIAL]}
        services = [{"name": "app"}]
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

    def start_server(self, name: str) -> None:
        """Start a server under a new id, at the address of its predecessor."""
        self._starts += 1
        old, new = self.ids.get(name), f"i-{self._starts}"
        self.ids[name] = new
        port, seed = str(self.ports[name]), str(self.rng.getrandbits(32))
        command = [sys.executable, str(_SERVER_PROGRAM), new, port, seed]
        self.spawn(name, [*command, str(self.runs_file), *self.behaviours])
        if old is not None:
            self.store.remove("servers", old)
        self._write_row(name)

    def _write_row(self, name: str) -> None:
        row = {
            "service": "app",
            "addr": f"127.0.0.1:{self.ports[name]}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "seq": 1,
        }
        self.store.put("servers", self.ids[name], row)

    async def send_heartbeats(self) -> None:
        """Rewrite the rows of all servers until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name in self.ports:
                self._write_row(name)

    async def inject_faults(self, until: float) -> None:
        """Inject faults that overlap, and wait until all have ended."""
        tasks = []
        while time.monotonic() < until:
            fault = self.rng.choice((self.freeze, self.replace, self.freeze))
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
) -> ProcessReport:
    """Run one seed, and check what ran against what the callers got."""
    rng = random.Random(seed)
    world = ProcessWorld(rng, gateways, servers)
    world.behaviours = behaviours
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
        """Send a request of one of the two kinds that may run once."""
        kind = "once" if kind in ("stream", "once") else "unsafe"
        return await super().request(session, kind, credential)
