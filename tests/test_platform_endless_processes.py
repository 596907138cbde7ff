"""Memory of gateways and agents, as processes, while servers send without end."""

import asyncio
import re
import sys
import time
import unittest
from pathlib import Path

import aiohttp

import endless_server
from slatehoist.http import strict_connector
from slatehoist_standins.deployment_server import ENDLESS, DeploymentServer
from slatehoist_standins.deployment_store import DeploymentStore
from slatehoist_standins.fleet import Fleet, free_port

LAUNCHER = Path(__file__).parents[1] / "platform" / "launch.py"
HOST = "api.example"
#: Memory of the smallest instance for each role on the users' sites, in MiB.
GATEWAY_MEMORY_MIB = 200
AGENT_MEMORY_MIB = 168
#: Callers of each endless service at the same time.
CALLERS = 3
ROUTE_TIMEOUT_S = 1.0
#: Seconds for which agents and gateways face an endless rank or store.
EXPOSED_S = 6.0


def read_peak_mib(pid: int) -> float:
    """Return the largest resident memory that a process has had, in MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


class EndlessProcessTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await Fleet().__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.store = DeploymentStore()
        self.store_address = await self.store.start()
        self.addAsyncCleanup(self.store.stop)

    async def start_endless(self) -> dict[str, str]:
        """Start a process with a server of each kind; return their addresses."""
        ports = {kind: free_port() for kind in ENDLESS}
        pairs = [f"{kind}={port}" for kind, port in ports.items()]
        self.fleet.spawn("endless", [sys.executable, endless_server.__file__, *pairs])
        await asyncio.sleep(1.0)
        return {kind: f"127.0.0.1:{port}" for kind, port in ports.items()}

    def start_process(self, name: str, role: str, settings: str) -> None:
        port = free_port()
        path = self.fleet.folder / f"{name}.conf"
        path.write_text(
            f"node={name}\nzone=a\nip=127.0.0.1\ninternalPorts={port},{port}\n{settings}"
        )
        variable = f"SLATEHOIST_BOOT={path}"
        command = ["env", variable, sys.executable, str(LAUNCHER), role]
        self.fleet.spawn(name, command)

    def start_gateway(self, name: str, store_address: str) -> tuple[str, str]:
        """Start a gateway; return its addresses for callers and readiness checks."""
        front, ready = (f"127.0.0.1:{free_port()}" for _ in range(2))
        self.start_process(
            name,
            "gateway",
            f"listen.front={front}\nlisten.ready={ready}\nprovider.addr={store_address}\n",
        )
        return front, ready

    def check_memory(self, name: str, limit_mib: float) -> None:
        proc = self.fleet.processes[name]
        self.assertIsNone(proc.poll(), f"{name} ended")
        self.assertLess(read_peak_mib(proc.pid), limit_mib, name)

    async def wait_ready(self, ready: str) -> None:
        async with asyncio.timeout(20.0):
            while True:
                try:
                    url = f"http://{ready}/api/readyz"
                    async with self.fleet.session.get(url) as resp:
                        if resp.status == 200:
                            return
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    # Guards against a gateway that runs out of memory while servers send bytes without
    # end, and loses the requests of other callers.
    async def test_gateway_serves_others_while_servers_send_without_end(self):
        sound = DeploymentServer("sound")
        addresses = await self.start_endless()
        addresses["sound"] = await sound.start()
        self.addAsyncCleanup(sound.stop)
        routes = []
        for name, address in addresses.items():
            row = {**sound.row(name), "addr": address}
            self.store.put("servers", name, row)
            routes.append(
                {
                    "name": name,
                    "host": HOST,
                    "prefix": f"/{name}/",
                    "kind": "stream" if name.startswith("endless_event") else "unsafe",
                    "timeoutMs": ROUTE_TIMEOUT_S * 1000,
                    "goalMs": 400,
                    "service": name,
                    "maxAttempts": 1,
                }
            )
        services = [{"name": name} for name in addresses]
        doc = {"version": 1, "routes": routes, "services": services}
        self.store.put("op", "config", doc)
        front, ready = self.start_gateway("gateway", self.store_address)
        await self.wait_ready(ready)
        session = aiohttp.ClientSession(connector=strict_connector(limit=0))
        self.addAsyncCleanup(session.close)

        async def call(name: str, number: int) -> int:
            headers = {"Host": HOST, "Request-Id": f"{name}-{number}"}
            url = f"http://{front}/{name}/{number}"
            try:
                async with session.post(url, headers=headers, data=b"x") as resp:
                    await resp.read()
                    return resp.status
            except aiohttp.ClientError:
                return 0

        ends_at = time.monotonic() + EXPOSED_S

        async def call_endless(kind: str) -> list[int]:
            found = []
            while time.monotonic() < ends_at:
                found.append(await call(kind, len(found)))
            return found

        exposed = [
            asyncio.create_task(call_endless(kind))
            for kind in ENDLESS
            for _ in range(CALLERS)
        ]
        others, latencies = [], []
        while not all(task.done() for task in exposed):
            began = time.monotonic()
            others.append(await call("sound", len(others)))
            latencies.append(time.monotonic() - began)
            await asyncio.sleep(0.02)
        statuses = {status for task in exposed for status in task.result()}
        self.assertNotIn(200, statuses)
        calls = sum(len(task.result()) for task in exposed)
        print(
            f"{calls} endless responses; {len(others)} others, slowest "
            f"{max(latencies):.2f} s; peak of the gateway "
            f"{read_peak_mib(self.fleet.processes['gateway'].pid):.0f} MiB"
        )
        self.assertGreater(len(others), 20)
        self.assertEqual(set(others), {200})
        self.check_memory("gateway", GATEWAY_MEMORY_MIB)

    # Guards against an agent or a gateway that runs out of memory while its rank or the
    # store sends bytes without end.
    async def test_memory_is_bounded_while_ranks_or_the_store_send_without_end(self):
        doc = {"version": 1, "routes": [], "services": [{"name": "model"}]}
        self.store.put("op", "config", doc)
        limits = {}
        addresses = await self.start_endless()
        for kind, address in addresses.items():
            self.start_process(
                f"rank-{kind}",
                "agent",
                f"app={address}\nservice=model\nprovider.addr={self.store_address}\n",
            )
            limits[f"rank-{kind}"] = AGENT_MEMORY_MIB
        for kind in ("endless_body", "endless_headers", "endless_chunks"):
            name = f"store-{kind}"
            self.start_gateway(name, addresses[kind])
            limits[name] = GATEWAY_MEMORY_MIB
        await asyncio.sleep(EXPOSED_S)
        for name, limit_mib in limits.items():
            with self.subTest(name):
                self.check_memory(name, limit_mib)


if __name__ == "__main__":
    unittest.main()
