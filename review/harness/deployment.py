"""A small deployment: the project's processes, the store, servers and the record."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from typing import Any, TextIO

import aiohttp

from harness.http import HttpServer, Request, encode_chunk, encode_head
from slatehoist_standins.deployment_store import DeploymentStore

ROOT = pathlib.Path(__file__).parents[2]
LAUNCHER = "platform/launch.py"
#: Bounds of the small users' sites, as their sheets and settings state them.
BOUNDS = """\
beatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.downgradeMs=250
bounds.stretchMs=5000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtra=90
bounds.recoverS=12
bounds.passMs=120
bounds.againS=0
bounds.stall_ms=1500
bounds.requireFence=false
provider.form=table
provider.writesPerS=400
provider.readsPerS=2000
provider.txMs=5.0
provider.partWritesS=200
provider.rowBytes=65536
provider.across=false
provider.historyS=20
"""
GRACE_S = 8.0
START_TIMEOUT_S = 25.0
HOST = "api.example"
ZONE = "zone-a"
#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Pause between the events of a stream in seconds, and their usual number.
EVENT_PAUSE_S = 0.1
EVENTS = 26
#: Events of a run before the pause that may be long.
EVENTS_BEFORE_SILENCE = 6


class NotRunError(Exception):
    """Raised if the case cannot be carried out."""


class Record:
    """Record of what was sent, answered and run, one line each."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._began_at = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, with the seconds since the start of the script."""
        at = round(time.monotonic() - self._began_at, 3)
        line = json.dumps({"at": at, "event": event, **fields})
        self._file.write(line + "\n")
        self._file.flush()


class Processes:
    """Processes of the project, started as the deploy file says."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, role: str, metrics: str, settings: str) -> None:
        """Start a process in a role."""
        path = self.folder / f"{name}.conf"
        path.write_text(settings + BOUNDS)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SLATEHOIST_BOOT"] = str(path)
        env["PYTHONPATH"] = "target/deps"
        command = ["python3", LAUNCHER, role, "--metrics", metrics]
        with open(self.folder / f"{name}.log", "ab") as log:
            self._running[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record.write("process started", name=name, role=role)

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(signum)
        self.record.write("signal", name=name, signal=signum.name)

    def is_running(self, name: str) -> bool:
        """Return True if a process has not ended."""
        return self._running[name].poll() is None

    def stop(self) -> None:
        """End all processes and remove their folder."""
        for proc in self._running.values():
            if proc.poll() is None:
                proc.kill()
            proc.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def loopback_prefix() -> str:
    """Return the first three bytes of loopback addresses for one run.

    Each machine has an address of its own, as the deploy file fixes some ports.
    """
    rng = random.SystemRandom()
    return f"127.{rng.randrange(16, 250)}.{rng.randrange(1, 250)}"


def free_port(host: str) -> int:
    """Return a free port of a loopback address below the ephemeral ports."""
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return port


def new_id() -> str:
    """Return a new id of a request."""
    return uuid.uuid4().hex[:16]


class StreamServer:
    """Sound server of streams, at which one pause may be long.

    It answers every request by a stream of events, as a model server does.

    Attributes
    ----------
    silence_s : float
        Seconds of the pause after the sixth event of each run; 0 for none.
    event_pause_s : float
        Seconds between two events.
    runs : dict of str to str
        State of each run by request id: ``running``, ``whole`` or ``cut``.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.silence_s = 0.0
        self.event_pause_s = EVENT_PAUSE_S
        self.runs: dict[str, str] = {}
        self._server = HttpServer(self._respond)

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.address = await self._server.start(host)

    def stop(self) -> None:
        """Stop listening and end all channels."""
        self._server.stop()

    def row(self, service: str) -> dict[str, Any]:
        """Return the row by which the server registers itself."""
        return {
            "service": service,
            "addr": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }

    async def _respond(self, req: Request, writer: asyncio.StreamWriter) -> None:
        request_id = req.headers.get("request-id", "")
        if req.headers.get("expect-instance") not in (None, self.name):
            writer.write(encode_head(421, {"Not-Run": "1", "Content-Length": "0"}))
            return
        self.runs[request_id] = "running"
        self.record.write(
            "run begins",
            server=self.name,
            request=request_id,
            deadline_ms=req.headers.get("deadline-ms"),
        )
        headers = {
            "Request-Id": request_id,
            "Server-Stamp": f"proof-of-{self.name}",
            "Server-Load": "1,0,6",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        sent = 0
        first = int(req.headers.get("last-event-id") or 0) + 1
        try:
            writer.write(encode_head(200, headers))
            for number in range(first, EVENTS + 1):
                writer.write(encode_chunk(f"id: {number}\ndata: {number}\n\n".encode()))
                await writer.drain()
                sent += 1
                is_long = sent == EVENTS_BEFORE_SILENCE and self.silence_s
                await asyncio.sleep(self.silence_s if is_long else self.event_pause_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.runs[request_id] = "whole"
        finally:
            if self.runs[request_id] != "whole":
                self.runs[request_id] = "cut"
            self.record.write(
                "run ends",
                server=self.name,
                request=request_id,
                events=sent,
                state=self.runs[request_id],
            )


def route(name: str, **fields: Any) -> dict[str, Any]:
    """Return a route to the service of streams."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "stream",
        "timeoutMs": 8000,
        "goalMs": 400,
        "gapAimMs": 120,
        "service": "model",
        "maxAttempts": 2,
        "resumable": True,
        "priority": 1,
        "public": True,
        **fields,
    }


class Deployment:
    """Store, servers and gateways of one script.

    Attributes
    ----------
    fronts, readies : dict of str to str
        Addresses of each gateway for clients and for readiness checks.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.processes = Processes(record)
        self.prefix = loopback_prefix()
        self.store = DeploymentStore()
        self.servers: list[StreamServer] = []
        self.fronts: dict[str, str] = {}
        self.readies: dict[str, str] = {}

    async def start(self, routes: list[dict], gateways: int, servers: int) -> None:
        """Start everything, and wait until the gateways are ready."""
        self.store_address = await self.store.start()
        services = [{"name": "model"}]
        limits = {"idleTimeoutMs": 60_000}
        doc = {"version": 1, "routes": routes, "services": services, "limits": limits}
        self.store.put("op", "config", doc)
        for number in range(servers):
            server = StreamServer(f"i-{number}", self.record)
            await server.start(f"{self.prefix}.{100 + number}")
            self.servers.append(server)
            self.store.put("servers", server.name, server.row("model"))
        for number in range(gateways):
            self.start_gateway(f"front-{number}", f"{self.prefix}.{10 + number}")
        await asyncio.gather(*(self.wait_ready(name) for name in self.fronts))

    def start_gateway(self, name: str, ip: str) -> None:
        """Start a gateway."""
        self.fronts[name] = f"{ip}:{free_port(ip)}"
        self.readies[name] = f"{ip}:{free_port(ip)}"
        first = free_port(ip)
        settings = (
            f"node={name}\nrole=gateway\nmachineClass=front\nserves=front\nip={ip}\n"
            f"zone={ZONE}\nregion=region\nzones.{ZONE}=region\n"
            f"listen.front={self.fronts[name]}\nlisten.ready={self.readies[name]}\n"
            f"internalPorts={first},{first + 15}\nlimits.memoryMb=300\n"
            f"limits.maxFds=4200\nlimits.linkMbps=1000\n"
            f"provider.addr={self.store_address}\n"
        )
        self.processes.start(name, "gateway", "9464", settings)

    async def is_ready(self, name: str) -> bool:
        """Return True if a gateway says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                async with aiohttp.ClientSession() as session:
                    url = f"http://{self.readies[name]}/api/readyz"
                    async with session.get(url) as resp:
                        return resp.status == 200
        except (TimeoutError, OSError, aiohttp.ClientError):
            return False

    async def wait_ready(self, name: str) -> None:
        """Wait until a gateway is ready; raise `NotRunError` if it never is."""
        until = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(name):
            if time.monotonic() > until or not self.processes.is_running(name):
                raise NotRunError(f"{name} does not become ready")
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop everything."""
        self.processes.stop()
        for server in self.servers:
            server.stop()
        await self.store.stop()


def run_script(folder: pathlib.Path, case, is_troubled: bool) -> int:
    """Run a case, write its record, and return the script's exit code.

    Parameters
    ----------
    case : callable
        Coroutine function that gets the record and whether the disruption takes place,
        and returns True if the rule held.
    is_troubled : bool
        False to do the same without the disruption.
    """
    with open(folder / "record.txt", "w", encoding="utf-8") as file:
        record = Record(file)
        record.write("script begins", trouble=is_troubled)
        try:
            held = asyncio.run(asyncio.wait_for(case(record, is_troubled), 115.0))
        except (NotRunError, TimeoutError, OSError) as exc:
            record.write("case could not run", why=repr(exc))
            print(f"not run: {exc!r}")
            return NOT_RUN
        record.write("result", rule="held" if held else "broken")
        print("rule held" if held else "rule broken")
        return HELD if held else BROKEN
