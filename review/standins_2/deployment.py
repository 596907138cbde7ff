"""A small deployment: gateways as separate processes, the store and plain servers."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

from slatehoist_standins.deployment_store import DeploymentStore
from standins_2.http1 import (
    Message,
    encode,
    find_header,
    read_body,
    read_head,
    read_message,
)

ROOT = Path(__file__).parents[2]
HOST = "api.example"
KEY = "key-1"
ZONE = "zone-a"
SERVICE = "app"
HEALTH_PATH = "/healthz"
#: Settings of a gateway besides its addresses, those of the example in DEPLOY.md.
SETTINGS = {
    "role": "gateway",
    "machineClass": "front",
    "serves": "front",
    "zone": ZONE,
    "region": "region-a",
    f"zones.{ZONE}": "region-a",
    "bootstrap": "true",
    "lossCounts": "false",
    "limits.cpuShare": "0.817",
    "limits.cores": "1",
    "limits.memoryMb": "300",
    "limits.maxFds": "4200",
    "limits.linkMbps": "1000.0",
    "limits.diskMb": "0",
    "discovery": "platform",
    "entry": "vip",
    "beatMs": "1200",
    "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,"
    "experts",
    "bounds.contactMs": "3000",
    "bounds.drainMs": "2000",
    "bounds.graceS": "8",
    "bounds.lossSlackMs": "200",
    "bounds.configMs": "2000",
    "bounds.revokeMs": "5000",
    "bounds.budgetRatio": "0.2",
    "bounds.budgetWindowS": "10",
    "bounds.budgetExtra": "90",
    "bounds.recoverS": "12",
    "bounds.passMs": "120",
    "bounds.stall_ms": "1500",
}
#: Limits of the desired state, those of the example in PROTOCOL.md's `fleetbench wire`.
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
METRICS_PORT = 9464
READY_TIMEOUT_S = 20.0
#: Seconds without a disturbance, a start included, after which a gateway is in touch.
CONTACT_S = 3.0
#: Longest time of a case. It ends before the 120 seconds of a script do.
CASE_TIMEOUT_S = 105.0
HEARTBEAT_S = 1.2


class Record:
    """File in which a case writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, line: str) -> None:
        """Write a line with the seconds since the begin."""
        print(f"{time.monotonic() - self._began_at:8.3f} {line}", file=self._file)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def new_id() -> str:
    """Return the id of a request."""
    return f"{random.getrandbits(64):016x}"


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class SteadyStore(DeploymentStore):
    """The project's stand-in of the store, with the steady clock of the pages."""

    def _make_rows_response(self, *args: Any, **options: Any) -> web.Response:
        return self._with_time(super()._make_rows_response(*args, **options))

    async def _transact(self, req: web.Request) -> web.Response:
        return self._with_time(await super()._transact(req))

    @staticmethod
    def _with_time(resp: web.Response) -> web.Response:
        doc = json.loads(resp.body)
        doc["nowMs"] = time.monotonic() * 1000
        return web.json_response(doc, status=resp.status)


class Server:
    """Server of a service, which answers the requests that are meant for it.

    Parameters
    ----------
    answer : callable
        Called with the server, the first line, the headers, the reader and the writer
        of a request that it runs; reads the body and returns the answer's bytes.
    """

    def __init__(
        self,
        host: str,
        service: str,
        answer: Callable[..., Awaitable[bytes]],
        record: Record,
    ) -> None:
        self.server_id = f"i-{new_id()[:8]}"
        self.service = service
        self.host = host
        self.record = record
        self.running = self.waiting = 0
        self.address = ""
        self.slots = 6
        self._free = asyncio.Semaphore(self.slots)
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def row(self) -> dict[str, Any]:
        """Return the entry of this server in the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": ZONE,
            "version": 1,
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first_line, headers = head
                if first_line.split(" ")[1] == HEALTH_PATH:
                    await read_body(reader, headers)
                    reply = encode("HTTP/1.1 200 OK", {"Instance-Id": self.server_id})
                elif find_header(headers, "expect-instance") not in (
                    "",
                    self.server_id,
                ):
                    await read_body(reader, headers)
                    ident = {"Request-Id": find_header(headers, "request-id")}
                    reply = encode("HTTP/1.1 421 Misdirected Request", ident)
                else:
                    reply = await self._answer(
                        self, first_line, headers, reader, writer
                    )
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The gateway has left, or the case has ended.
            pass
        finally:
            writer.close()

    @contextlib.asynccontextmanager
    async def slot(self) -> AsyncIterator[None]:
        """Hold a slot, and wait for it before."""
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self._free.release()

    def reply_headers(self, headers: list[tuple[str, str]]) -> dict[str, str]:
        """Return the headers of an answer to a request with some headers."""
        request_id = find_header(headers, "request-id")
        return {
            "Request-Id": request_id,
            "Server-Stamp": f"stamp.{self.server_id}.{request_id}",
            "Server-Load": f"{self.running},{self.waiting},{self.slots}",
            "Content-Type": "application/octet-stream",
        }


class Gateway:
    """A gateway process and its addresses."""

    def __init__(self, name: str, ip: str, path: Path) -> None:
        self.name = name
        self.ip = ip
        self.path = path
        front, ready, internal = free_ports(ip, 3)
        self.front = f"{ip}:{front}"
        self.ready = f"{ip}:{ready}"
        self.internal = internal
        self.proc: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self.proc.pid

    def status_mb(self, field: str) -> float:
        """Return a size from the status of the process in MB; 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Deployment:
    """Store, servers and gateways; all processes end with the context."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = SteadyStore()
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []
        self.version = 0
        self._temp = tempfile.TemporaryDirectory()
        self._prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._next_host = 10
        self._beats: asyncio.Task | None = None

    async def __aenter__(self) -> "Deployment":
        self.store_address = await self.store.start()
        self._beats = asyncio.create_task(self._send_heartbeats())
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._beats.cancel()
        for gateway in self.gateways:
            if gateway.proc is not None and gateway.proc.poll() is None:
                gateway.proc.send_signal(signal.SIGCONT)
                gateway.proc.kill()
                gateway.proc.wait()
        for server in self.servers:
            server.close()
        await self.store.stop()
        self._temp.cleanup()
        self.record.close()

    def new_host(self) -> str:
        """Return a loopback address of its own."""
        self._next_host += 1
        return f"{self._prefix}.{self._next_host}"

    def put_config(self, routes: list[dict[str, Any]], **fields: Any) -> None:
        """Write a desired state, as the operator does."""
        self.version += 1
        services = {r["service"] for r in routes}
        doc = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": HEALTH_PATH, "maxConns": 100}
                for name in sorted(services)
            ],
            "limits": LIMITS,
            "tenants": [{"name": "team-1", "apiKeys": [KEY], "priority": 1}],
        }
        self.store.put("op", "config", doc | fields)
        self.record.write(f"operator wrote version {self.version}")

    async def add_server(
        self, answer: Callable[..., Awaitable[bytes]], service: str = SERVICE
    ) -> Server:
        """Start a server and list it."""
        server = Server(self.new_host(), service, answer, self.record)
        await server.start()
        self.servers.append(server)
        self.store.put("servers", server.server_id, server.row())
        return server

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                self.store.put("servers", server.server_id, server.row())

    async def add_gateway(self) -> Gateway:
        """Start a gateway, and wait until it is ready."""
        name = f"front-{len(self.gateways) + 1}"
        gateway = Gateway(name, self.new_host(), Path(self._temp.name) / f"{name}.conf")
        self.gateways.append(gateway)
        fields = SETTINGS | {
            "node": name,
            "ip": gateway.ip,
            "listen.front": gateway.front,
            "listen.ready": gateway.ready,
            "internalPorts": f"{gateway.internal},{gateway.internal}",
            "provider.addr": self.store_address,
        }
        text = "".join(f"{key}={value}\n" for key, value in fields.items())
        gateway.path.write_text(text, encoding="utf-8")
        self.spawn(gateway)
        await self.wait_ready(gateway)
        return gateway

    def spawn(self, gateway: Gateway) -> None:
        """Start the process of a gateway as the deploy file says."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        command = ["python3", "platform/launch.py", "gateway", "--metrics"]
        gateway.proc = subprocess.Popen(
            [*command, str(METRICS_PORT)],
            cwd=ROOT,
            env=kept
            | {
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "SLATEHOIST_BOOT": str(gateway.path),
            },
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.record.write(f"started {gateway.name}")

    async def is_ready(self, gateway: Gateway) -> bool:
        """Return True if a gateway answers its readiness check with 200."""
        head = "GET /api/readyz HTTP/1.1"
        try:
            async with asyncio.timeout(1.0):
                caller = await Caller.connect(gateway.ready)
                reply = await caller.exchange(encode(head, {"Host": gateway.ready}))
                caller.close()
                return reply is not None and reply.status == 200
        except (TimeoutError, OSError):
            return False

    async def wait_ready(self, gateway: Gateway) -> None:
        """Wait until a gateway is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready(gateway):
                await asyncio.sleep(0.05)
        self.record.write(f"{gateway.name} is ready")


class Caller:
    """Connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str, receive_bytes: int | None = None) -> "Caller":
        """Connect to an address, with a receive buffer of some size if it is given."""
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        return cls(*await asyncio.open_connection(sock=sock, limit=2**16))

    async def exchange(self, request: bytes) -> Message | None:
        """Send a request and return its answer, or None if there is none."""
        try:
            self.writer.write(request)
            await self.writer.drain()
            return await read_message(self.reader)
        except ConnectionError:
            return None

    def close(self) -> None:
        """Close the connection."""
        self.writer.transport.abort()


def request_headers(request_id: str, deadline_ms: int, **more: str) -> dict[str, str]:
    """Return the headers of a caller's request."""
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Credential": KEY,
    }
    return headers | {name.replace("_", "-"): value for name, value in more.items()}


def route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the desired state."""
    return {
        "name": f"r-{prefix}",
        "host": HOST,
        "prefix": f"/{prefix}/",
        "kind": kind,
        "timeoutMs": 8000,
        "goalMs": 400,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 1,
        "public": False,
    } | fields


def run_case(main: Callable[[bool], Awaitable[bool]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed.

    The case returns True if the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(main(trouble), CASE_TIMEOUT_S))
    except Exception as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    print(json.dumps({"trouble": trouble, "rule broken": broken}))
    sys.exit(1 if broken else 0)
