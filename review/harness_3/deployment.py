"""Small deployment on loopback: the store, servers, and gateways as processes.

The gateways are started with the command of the deploy file. The store and the servers
are the project's stand-ins and run in the process of the script.
"""

import asyncio
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any, NamedTuple

from slatehoist_standins.deployment_server import DeploymentServer
from slatehoist_standins.deployment_store import DeploymentStore
from slatehoist_standins.fleet import free_port

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "api.example"
#: Seconds within which a gateway must be ready after its start.
START_TIMEOUT_S = 25.0
#: Settings of a gateway besides its addresses, as on the small sites.
SETTINGS = {
    "zone": "a",
    "region": "region",
    "zones.a": "region",
    "beatMs": "1200",
    "contracts": "base,drain,config,cost,retry,recover,stream,tenants,platform",
    "limits.memoryMb": "300",
    "bounds.contactMs": "3000",
    "bounds.drainMs": "2000",
    "bounds.graceS": "8",
    "bounds.lossSlackMs": "200",
    "bounds.configMs": "2000",
    "bounds.strictRevoke": "true",
    "bounds.revokeMs": "5000",
    "bounds.budgetRatio": "0.2",
    "bounds.budgetWindowS": "10",
    "bounds.budgetExtra": "90",
}


class Gateway(NamedTuple):
    """Gateway process, and the ports at which it serves callers and readiness."""

    name: str
    front: int
    ready: int
    settings: pathlib.Path
    metrics: int


class Deployment:
    """Store, servers and gateways of one script.

    Attributes
    ----------
    store : DeploymentStore
    servers : list of DeploymentServer
    gateways : list of Gateway
    processes : dict of str to Popen
        The process that was started last under each gateway's name.
    """

    def __init__(self, settings: dict[str, str] | None = None) -> None:
        self._settings = {**SETTINGS, **(settings or {})}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="slatehoist-review-"))
        self.store = DeploymentStore()
        self.servers: list[DeploymentServer] = []
        self.gateways: list[Gateway] = []
        self.processes: dict[str, subprocess.Popen] = {}
        self._logs: list[Any] = []

    async def __aenter__(self) -> "Deployment":
        self._store_address = await self.store.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for proc in self.processes.values():
            if proc.poll() is None:
                proc.kill()
        for proc in self.processes.values():
            proc.wait()
        for log in self._logs:
            log.close()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        shutil.rmtree(self._folder, ignore_errors=True)

    def configure(self, doc: dict[str, Any]) -> None:
        """Write a desired state, as the operator does."""
        self.store.put("op", "config", doc)

    async def add_server(self, server: DeploymentServer) -> None:
        """Start a server that registers itself in the store."""
        await server.start()
        self.servers.append(server)
        self.store.put("servers", server.server_id, server.row("app"))

    async def add_gateway(self, name: str) -> Gateway:
        """Start a gateway, and return it when it is ready."""
        # The instance joined long ago, so that it has its share of the retry budget.
        row = {"renewals": 0, "joined_at": -1000.0, "started_at": -1000.0}
        self.store.put("gateways", name, row)
        front, ready, internal, metrics = (free_port() for _ in range(4))
        lines = {
            "node": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": "front",
            "ip": "127.0.0.1",
            "listen.front": f"127.0.0.1:{front}",
            "listen.ready": f"127.0.0.1:{ready}",
            "internalPorts": f"{internal},{internal}",
            "provider.addr": self._store_address,
            **self._settings,
        }
        path = self._folder / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        gateway = Gateway(name, front, ready, path, metrics)
        self.gateways.append(gateway)
        self.start(gateway)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready(gateway):
                await asyncio.sleep(0.05)
        return gateway

    def start(self, gateway: Gateway) -> None:
        """Start a gateway's process with the command of the deploy file."""
        log = open(self._folder / f"{gateway.name}.log", "ab")  # noqa: SIM115
        self._logs.append(log)
        command = ["platform/launch.py", "gateway", "--metrics", str(gateway.metrics)]
        self.processes[gateway.name] = subprocess.Popen(
            [sys.executable, *command],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "SLATEHOIST_BOOT": str(gateway.settings),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    async def is_ready(self, gateway: Gateway) -> bool:
        """Return True if a gateway answers its readiness check with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", gateway.ready
                )
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (TimeoutError, OSError):
            return False

    def kill(self, gateway: Gateway) -> None:
        """Kill a gateway, as the platform does with one that exceeds its memory."""
        self.processes[gateway.name].kill()

    def terminate(self, gateway: Gateway) -> None:
        """Stop a gateway as the platform does: by SIGTERM."""
        self.processes[gateway.name].send_signal(signal.SIGTERM)

    def rss_mb(self, gateway: Gateway) -> float:
        """Return the memory of a gateway's process in MB; 0 if it has ended."""
        pid = self.processes[gateway.name].pid
        try:
            lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
        return int(sizes[0]) / 1024 if sizes else 0.0


def route(name: str, kind: str, timeout_ms: int = 4000, **fields: Any) -> dict:
    """Return a route with the prefix ``/NAME/``, as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "goalMs": 400,
        "priority": 1,
        "service": "app",
        "maxAttempts": 2,
        "public": False,
        **fields,
    }


def desired_state(version: int, routes: list[dict], **fields: Any) -> dict:
    """Return a desired state with one service and the limits of the small sites."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app", "healthPath": "/healthz", "maxConns": 348}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": f"member-{number}", "apiKeys": [f"key-{number}"], "priority": 1}
            for number in (1, 2)
        ],
        **fields,
    }


class Record:
    """File in which a script writes what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start, and print it."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def run_case(folder: str, case, trouble: bool) -> int:
    """Run a case, and return the exit code: 1 broken, 0 held, 2 could not run.

    Parameters
    ----------
    case : callable
        Coroutine function of the record and of whether the disruption takes place. It
        returns a text that says how the rule was broken, or an empty one if it held.
    trouble : bool
        Whether the disruption takes place.
    """
    record = Record(pathlib.Path(folder))
    record.write(f"disruption: {'yes' if trouble else 'no'}")

    async def limited() -> str:
        async with asyncio.timeout(110.0):
            return await case(record, trouble)

    try:
        broken = asyncio.run(limited())
    except Exception as exc:
        record.write(f"could not run: {exc!r}")
        return 2
    finally:
        sys.stdout.flush()
    record.write(f"BROKEN: {broken}" if broken else "held")
    record.close()
    return 1 if broken else 0
