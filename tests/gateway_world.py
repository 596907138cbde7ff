"""Builders for tests of a gateway against the platform's stand-ins."""

import random
import time

import aiohttp
from adapter.documents import PlatformSource
from adapter.headers import Headers
from adapter.store import PlatformTable

from slatehoist.gateway import GatewayProcess, GatewaySettings
from slatehoist_standins.deployment import (
    DeploymentServer,
    DeploymentStore,
)

HOST = "api.example"
CREDENTIAL = "key-of-team-a"
READY_PATH = "/ready"


def make_route(name: str, prefix: str, kind: str, service: str, **fields) -> dict:
    """Build a route as the operator writes it."""
    values = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "goalMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
    return {**values, **fields}


def make_configuration(version: int = 1, **fields) -> dict:
    """Build a configuration as the operator writes it."""
    values = {
        "version": version,
        "routes": [
            make_route("safe", "/safe/", "safe", "app"),
            make_route("unsafe", "/unsafe/", "unsafe", "app", maxAttempts=1),
            make_route("stream", "/stream/", "stream", "app", resumable=True),
            make_route("once", "/once/", "stream", "app"),
        ],
        "services": [
            {"name": "app", "healthPath": "/healthz", "maxConns": 100},
            {"name": "other", "healthPath": "/healthz", "maxConns": 100},
        ],
        "limits": {"maxBodyBytes": 10000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "team-a", "apiKeys": [CREDENTIAL], "priority": 1}],
    }
    return {**values, **fields}


class GatewayWorld:
    """A store, some servers and a gateway in front of them."""

    async def start(
        self, *behaviours: list[str], copies: int = 1, **settings
    ) -> "GatewayWorld":
        """Start everything; each list gives the behaviours of so many servers.

        Copies take turns with their list, whichever of them is asked first.
        """
        self.store = DeploymentStore()
        address = await self.store.start()
        self.store.put("op", "config", make_configuration())
        self.servers = [
            DeploymentServer(f"i-{index}", names)
            for index, names in enumerate(
                names for names in behaviours or (["ok"],) for _ in range(copies)
            )
        ]
        for server in self.servers:
            await server.start()
            self.store.put("servers", server.server_id, server.row("app"))
        self.session = aiohttp.ClientSession()
        table = PlatformTable(address, self.session)
        self.source = PlatformSource(table)
        values = {
            "instance": "gateway-0",
            "zone": "a",
            "listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0",
        }
        self.gateway = GatewayProcess(
            GatewaySettings(**{**values, **settings}),
            self.source,
            table,
            Headers(),
            time.monotonic,
            READY_PATH,
            random.Random(1),
        )
        await self.gateway.start()
        self.url = f"http://{self.gateway.address}"
        self.callers = aiohttp.ClientSession()
        return self

    async def stop(self) -> None:
        """Stop everything."""
        await self.callers.close()
        await self.gateway.stop()
        await self.session.close()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    def call(self, path: str, method: str = "GET", **fields):
        """Call the gateway as a caller does."""
        headers = {
            "Host": HOST,
            "Request-Id": f"{random.getrandbits(64):016x}",
            "Credential": CREDENTIAL,
            "Deadline-Ms": "3000",
            **fields.pop("headers", {}),
        }
        if path.startswith(("/stream", "/once")):
            headers["Accept"] = "text/event-stream"
        return self.callers.request(method, self.url + path, headers=headers, **fields)

    def arrivals(self) -> int:
        """Count the requests that reached servers."""
        return sum(len(server.arrivals) for server in self.servers)
