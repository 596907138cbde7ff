"""Environment and builders for tests of a gateway with stand-ins of the platform."""

import asyncio
import random
import time
import unittest

import aiohttp
from adapter.documents import PlatformSource
from adapter.headers import PlatformHeaderCodec
from adapter.store import PlatformTable
from hypothesis import strategies as st

from slatehoist.gateway import GatewayProcess, GatewaySettings
from slatehoist_standins.deployment_server import DeploymentServer
from slatehoist_standins.deployment_store import DeploymentStore

HOST = "api.example"
CREDENTIAL = "key-of-team-a"
READY_PATH = "/ready"


def make_route(name: str, prefix: str, kind: str, service: str, **fields) -> dict:
    """Build a route as it stands in the operators' configuration document."""
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
    """Build the operators' configuration document."""
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


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
VALUES = st.recursive(
    SCALARS,
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=8,
)


def documents(*names: str) -> st.SearchStrategy[dict]:
    """Draw documents whose fields have the names that a parser reads."""
    return st.dictionaries(st.sampled_from(names), VALUES, max_size=len(names))


_ROUTES = st.lists(
    documents(
        "name",
        "host",
        "prefix",
        "kind",
        "service",
        "timeoutMs",
        "split",
        "allowedRegions",
    )
    | VALUES,
    max_size=2,
)
_SERVICES = st.lists(
    documents("name", "engine", "coldS", "coldPerS") | VALUES, max_size=2
)
_TENANTS = st.lists(documents("name", "apiKeys", "allowedRegions") | VALUES, max_size=2)


def drawn_configurations() -> st.SearchStrategy[dict]:
    """Draw configuration documents of any shape, of which few can be decoded."""
    return st.fixed_dictionaries(
        {
            "version": SCALARS,
            "routes": _ROUTES | VALUES,
            "services": _SERVICES | VALUES,
            "tenants": _TENANTS | VALUES,
            "limits": documents("maxBodyBytes", "idleTimeoutMs") | VALUES,
        }
    )


#: Values that the decoder takes for any field without a conversion.
_ODD_VALUES = (
    None,
    True,
    0,
    -1,
    2.5,
    1 << 70,
    "",
    "x",
    "y" * 200,
    [],
    ["a"],
    {"a": []},
)


def decodable_configurations() -> st.SearchStrategy[dict]:
    """Draw documents that can be decoded, with entries and values that collide."""
    number = st.sampled_from([0, -5, 0.5, 30, 400, 1500, 1e12, True])
    odd = st.sampled_from(_ODD_VALUES)
    # Priorities of different types cannot be ranked, so most are numbers.
    priority = st.one_of(number, number, number, odd)
    text = st.sampled_from(["a", "b", "A", "", "a:1"])
    cold = st.sampled_from([None, 0, 0.5, 30, 1e12, 1 << 70])
    regions = st.none() | st.lists(st.sampled_from(["eu", "us"]), max_size=2)
    weight = st.sampled_from([0, 1, 9, -1, 0.25, "3", 1e308])
    target = st.fixed_dictionaries({"service": text, "weight": weight})
    credential = st.sampled_from(["", "k", "key-1", "key-2", " key-3", 7])
    route = st.fixed_dictionaries(
        {
            "name": text | odd,
            "host": text,
            "prefix": st.sampled_from(
                ["", "/", "/a/", "/a/b", "a", "/ä", "/a?", ["/"]]
            ),
            "kind": st.sampled_from(["safe", "unsafe", "stream"]),
            "timeoutMs": number,
            "service": text | odd,
        },
        optional={
            "goalMs": number,
            "priority": priority,
            "maxAttempts": number | odd,
            "public": st.booleans(),
            "resumable": st.booleans(),
            "gapAimMs": number,
            "allowedRegions": regions,
            "split": st.lists(target, max_size=3),
        },
    )
    names = "slots step_ms per_seq_ms context_per_k read_per_s chunk stride"
    engine = st.fixed_dictionaries(
        dict.fromkeys(names.split(), number | odd),
        optional={
            "usual": st.fixed_dictionaries({"prompt": number | odd}),
            "report_lag_ms": number | odd,
        },
    )
    service = st.fixed_dictionaries(
        {"name": text},
        optional={"engine": engine, "coldS": cold, "coldPerS": cold},
    )
    team = st.fixed_dictionaries(
        {"name": text | odd, "apiKeys": st.lists(credential, max_size=3)},
        optional={"priority": priority, "allowedRegions": regions},
    )
    return st.fixed_dictionaries(
        {
            "version": st.integers(1, 2),
            "routes": st.lists(route, max_size=3),
            "services": st.lists(service, max_size=2),
        },
        optional={
            "tenants": st.none() | st.lists(team, max_size=2),
            "limits": st.fixed_dictionaries(
                {}, optional={"maxBodyBytes": number | odd, "idleTimeoutMs": number}
            ),
        },
    )


class GatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case that starts a `GatewayWorld` for a test and stops it afterwards."""

    async def start_world(self, *behaviours, **settings) -> "GatewayWorld":
        """Start a world and wait for its gateway; see `GatewayWorld.start`."""
        world = await GatewayWorld().start(*behaviours, **settings)
        self.addAsyncCleanup(world.stop)
        await self.wait_until(lambda: world.gateway.ready)
        return world

    async def wait_until(self, condition, timeout_s: float = 10.0) -> None:
        """Wait until a condition holds, and fail after a timeout in seconds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)


class GatewayWorld:
    """Test environment: a store, servers, and gateways in front of the servers.

    Attributes
    ----------
    frozen_s : float
        Seconds by which the gateways' clock has advanced while they did not run.
    """

    def __init__(self) -> None:
        self.frozen_s = 0.0

    async def start(
        self, *behaviours: list[str], copies: int = 1, zones: str = "", **settings
    ) -> "GatewayWorld":
        """Start the store, the servers and one gateway.

        Parameters
        ----------
        *behaviours : list of str
            Each list has the behaviours of one server, in the order of its requests.
        copies : int
            Number of servers that share each list: each request takes the next
            behaviour, regardless of the server that receives it.
        zones : str
            Zone of each server, a letter each; all are in zone ``a`` if empty.
        **settings
            Fields of the gateway's settings.
        """
        self.store = DeploymentStore()
        address = self.store_address = await self.store.start()
        self.store.put("op", "config", make_configuration())
        self.servers = [
            DeploymentServer(f"i-{index}", server_behaviours)
            for index, server_behaviours in enumerate(
                server_behaviours
                for server_behaviours in behaviours or (["ok"],)
                for _ in range(copies)
            )
        ]
        for server, zone in zip(self.servers, zones, strict=False):
            server.zone = zone
        for server in self.servers:
            await server.start()
            self.store.put("servers", server.server_id, server.row("app"))
        self.store_session = aiohttp.ClientSession()
        self.table = PlatformTable(address, self.store_session)
        self.source = PlatformSource(self.table)
        self.gateways: list[GatewayProcess] = []
        self.urls: list[str] = []
        self.gateway = await self.add_gateway(**settings)
        self.caller_session = aiohttp.ClientSession()
        return self

    async def add_gateway(self, **settings) -> GatewayProcess:
        """Start another gateway; keyword arguments replace its default settings.

        Its row shows that all gateways have counted it long ago. A gateway has no share
        of the retry allowance before that.
        """
        index = len(self.gateways)
        row = {"renewals": 0, "joined_at": -1000.0, "started_at": -1000.0}
        self.store.put("gateways", f"gateway-{index}", row)
        values = {
            "instance": f"gateway-{index}",
            "zone": "a",
            "listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0",
        }
        gateway = GatewayProcess(
            GatewaySettings(**{**values, **settings}),
            self.source,
            self.table,
            PlatformHeaderCodec(),
            self.clock,
            READY_PATH,
            random.Random(index + 1),
        )
        await gateway.start()
        self.gateways.append(gateway)
        self.urls.append(f"http://{gateway.address}")
        return gateway

    def clock(self) -> float:
        """Return the gateways' time in seconds, which includes frozen periods."""
        return time.monotonic() + self.frozen_s

    async def stop(self) -> None:
        """Stop the gateways, the servers and the store."""
        await self.caller_session.close()
        for gateway in self.gateways:
            await gateway.stop()
        await self.store_session.close()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    def call(self, path: str, method: str = "GET", gateway: int = 0, **fields):
        """Send a request to a gateway with the headers of a valid caller."""
        headers = {
            "Host": HOST,
            "Request-Id": f"{random.getrandbits(64):016x}",
            "Credential": CREDENTIAL,
            "Deadline-Ms": "3000",
            **fields.pop("headers", {}),
        }
        url = self.urls[gateway]
        if path.startswith(("/stream", "/once")):
            headers["Accept"] = "text/event-stream"
        return self.caller_session.request(
            method, url + path, headers=headers, **fields
        )

    def count_arrivals(self) -> int:
        """Return how many requests have reached the servers."""
        return sum(len(server.arrivals) for server in self.servers)
