"""Start and stop the product's processes and the stand-ins on loopback.

This module is no stand-in itself. The demo, the benchmarks, the fault matrix, the soak
test and the process tests use it to run a deployment on one machine.
"""

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
from typing import Any, NamedTuple

import aiohttp

#: Line written to the log of a process before each of its starts.
START_MARK = "--- start ---\n"
#: Seconds within which a process must listen after its start.
START_TIMEOUT_S = 20.0
#: Seconds from SIGTERM until a process is killed.
STOP_TIMEOUT_S = 5.0

#: Range of the ports that `free_port` chooses from.
PORT_RANGE = (10_000, 32_000)

_allocated_ports: set[int] = set()

#: Caller credentials of every entry.
TOKENS = [
    {"token": "andina-operator", "member": "andina", "team": "ops", "operator": True},
    {"token": "andina-router", "member": "andina", "team": "router"},
    {
        "token": "tejoverde-operator",
        "member": "tejoverde",
        "team": "ops",
        "operator": True,
    },
    {"token": "tejoverde-permits", "member": "tejoverde", "team": "permits"},
]


def free_port() -> int:
    """Return a free port on loopback that this process has not returned before.

    `PORT_RANGE` lies below the ephemeral ports, so no outgoing connection takes it.
    """
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if port in _allocated_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return port


class Node(NamedTuple):
    """One process of the product and the addresses on which it is reached.

    Attributes
    ----------
    http : str
        Address of its HTTP interface, or of the relay before it.
    control : str
        Address of its control links, or of the relay before it.
    config : str
        Path of its settings file.
    endpoint : str
        Name of the endpoint beside a sidecar; empty for an entry.
    """

    name: str
    role: str
    zone: str
    http: str
    control: str
    config: str
    endpoint: str = ""


class Fleet:
    """Processes of one run, with their logs and settings in a temporary folder.

    The folder is deleted at the end unless the environment variable ``KEEP`` is set.

    Attributes
    ----------
    keeps_folder : bool
        True to keep the folder, whatever ``KEEP`` is.
    processes : dict of str to Popen
        The process started last under each name, product and stand-ins alike.
    nodes : dict of str to Node
        The product's processes, by name.
    """

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="slatehoist-"))
        self.keeps_folder = False
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, list[str]] = {}
        self.nodes: dict[str, Node] = {}
        self.daemon_command = [
            str(pathlib.Path(sys.executable).with_name("slatehoistd"))
        ]
        self.relay_url = ""
        self.platform_url = ""
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Fleet":
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()
        self.stop_all()
        if not os.environ.get("KEEP") and not self.keeps_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Processes -----------------------------------------------------------------

    def spawn(self, name: str, command: list[str]) -> subprocess.Popen:
        """Start a process and append its output to the log of its name."""
        with open(self.folder / f"{name}.log", "ab") as output:
            output.write(START_MARK.encode())
            output.flush()
            proc = subprocess.Popen(
                command, stdout=output, stderr=output, stdin=subprocess.DEVNULL
            )
        self.processes[name] = proc
        self.commands[name] = command
        return proc

    def signal(self, name: str, signum: int) -> None:
        """Send a signal to a process of this fleet if it still runs."""
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(signum)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def restart(self, name: str) -> None:
        """Start a process again with the same command."""
        self.spawn(name, self.commands[name])

    def stop_all(self) -> None:
        """Stop all processes and kill those that do not exit in time.

        SIGCONT comes first since a process that SIGSTOP has paused handles no SIGTERM.
        The second SIGTERM ends a drain that the first one began.
        """
        for name in self.processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for proc in self.processes.values():
            try:
                proc.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()

    def read_log(self, name: str) -> str:
        """Return the output of a process since its last start."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        return text.rpartition(START_MARK)[2]

    # Stand-ins -----------------------------------------------------------------

    async def start_standin(
        self, kind: str, name: str, port: int | None = None, **options: object
    ) -> str:
        """Start a stand-in and return its URL.

        Parameters
        ----------
        kind : str
            Module of `slatehoist_standins` that builds the stand-in.
        options : dict
            Keyword arguments of the module's ``build_app``.
        """
        port = port or free_port()
        command = [sys.executable, "-m", "slatehoist_standins", kind, str(port)]
        command += [f"{key}={value}" for key, value in options.items()]
        self.spawn(name, command)
        await self.wait_for_port(name, f"127.0.0.1:{port}")
        return f"http://127.0.0.1:{port}"

    async def start_platform(self, **options: object) -> None:
        """Start the stand-in of the platform."""
        self.platform_url = await self.start_standin("platform", "platform", **options)

    def record_path(self, name: str) -> str:
        """Return the path of the record that a stand-in writes."""
        return str(self.folder / f"{name}.record")

    async def start_relays(self) -> None:
        """Start the process that hosts all relays."""
        self.relay_url = await self.start_standin("relay", "relay")

    async def open_relay(self, name: str, target: str) -> str:
        """Open a relay to ``host:port`` and return its address."""
        body = {"name": name, "target": target}
        url = f"{self.relay_url}/relays"
        async with self.session.post(url, json=body) as resp:
            return f"127.0.0.1:{(await resp.json())['port']}"

    async def set_relay_mode(self, name: str, mode: str, delay_s: float = 0.0) -> None:
        """Set the mode of a relay; the modes are described in `relay`."""
        body = {"mode": mode, "delay_s": delay_s}
        url = f"{self.relay_url}/relays/{name}"
        async with self.session.post(url, json=body) as resp:
            resp.raise_for_status()

    # Product -------------------------------------------------------------------

    async def start_entry(self, name: str, zone: str = "a", **tables: Any) -> Node:
        """Start an entry and register it with the platform.

        Parameters
        ----------
        tables : dict
            Further tables of the settings. ``relayed=True`` is not a table: it
            registers relays in place of the entry's own addresses.
        """
        return await self._start_node(name, "entry", zone, {"token": TOKENS, **tables})

    async def start_sidecar(
        self, name: str, endpoint: dict, zone: str = "a", **tables: Any
    ) -> Node:
        """Start a sidecar and register it with the platform."""
        tables = {"endpoint": endpoint, **tables}
        return await self._start_node(name, "sidecar", zone, tables)

    async def register(self, node: Node, state: str = "live") -> None:
        """Add a process to the platform's instance list, or replace it there."""
        body = {
            "name": node.name,
            "role": node.role,
            "zone": node.zone,
            "address": node.http,
            "control": node.control,
            "state": state,
            "endpoint": node.endpoint,
        }
        url = f"{self.platform_url}/v1/instances"
        async with self.session.put(url, json=body) as resp:
            resp.raise_for_status()

    async def deregister(self, name: str) -> None:
        """Remove a process from the platform's instance list."""
        url = f"{self.platform_url}/v1/instances/{name}"
        async with self.session.delete(url) as resp:
            resp.raise_for_status()

    async def set_faults(self, url: str, **faults: object) -> None:
        """Replace the faults of a stand-in; without arguments it has none."""
        async with self.session.post(f"{url}/faults", json=faults) as resp:
            resp.raise_for_status()

    async def _start_node(
        self, name: str, role: str, zone: str, tables: dict[str, Any]
    ) -> Node:
        relayed = tables.pop("relayed", False)
        http = f"127.0.0.1:{free_port()}"
        control = f"127.0.0.1:{free_port()}"
        config = self.folder / f"{name}.toml"
        instance = {"name": name, "zone": zone, "listen": http, "control": control}
        services = ("table", "objects", "instances", "weights")
        platform = dict.fromkeys(services, self.platform_url)
        platform["poll_s"] = 0.3
        platform.update(tables.pop("platform", {}))
        tables = {"instance": instance, "platform": platform, **tables}
        config.write_text(to_toml(tables))
        endpoint = tables.get("endpoint", {}).get("name", "")
        node = Node(name, role, zone, http, control, str(config), endpoint)
        self.nodes[name] = node
        self.spawn(name, [*self.daemon_command, role, "--config", str(config)])
        await self.wait_for_port(name, http)
        if relayed:
            http = await self.open_relay(f"{name}.http", http)
            control = await self.open_relay(f"{name}.control", control)
            node = node._replace(http=http, control=control)
            self.nodes[name] = node
        await self.register(node)
        return node

    # Waiting -------------------------------------------------------------------

    async def wait_for_port(self, name: str, address: str) -> None:
        """Wait until a process accepts connections at an address.

        Raises
        ------
        RuntimeError
            If it exits or does not listen within `START_TIMEOUT_S`.
        """
        host, _, port = address.rpartition(":")
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                raise RuntimeError(
                    f"{name} exited before it listened:\n{self.read_log(name)}"
                )
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return
        raise RuntimeError(
            f"{name} does not listen on {address}:\n{self.read_log(name)}"
        )

    async def wait_for_sidecars(
        self, entry: Node, sidecars: int, timeout_s: float = 15.0
    ) -> dict:
        """Wait until an entry may send requests to a number of sidecars.

        All processes must also apply the newest configuration.

        Raises
        ------
        RuntimeError
            If that takes longer than ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            status = await self.status(entry)
            usable = [s for s in status["sidecars"].values() if s["takes_work"]]
            outdated = status["in_force"] < status["of"]
            if len(usable) >= sidecars and not outdated:
                return status
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"{entry.name}: not ready in {timeout_s} s: {json.dumps(status)}"
                )
            await asyncio.sleep(0.05)

    async def status(self, entry: Node) -> dict:
        """Return the status that an entry reports."""
        url = f"http://{entry.http}/api/v1/status"
        async with self.session.get(url, headers=bearer("andina-operator")) as resp:
            return await resp.json()

    async def declare(
        self, entry: Node, kind: str, name: str, spec: dict, member: str = "andina"
    ) -> dict:
        """Create or replace a resource and return the entry's response.

        Raises
        ------
        RuntimeError
            If the entry refuses the resource.
        """
        url = f"http://{entry.http}/api/v1/{kind}/{name}"
        headers = bearer(f"{member}-operator")
        async with self.session.put(url, json=spec, headers=headers) as resp:
            body = await resp.json()
            if resp.status != 200:
                raise RuntimeError(f"{kind}/{name}: {resp.status} {body}")
            return body


def bearer(token: str) -> dict[str, str]:
    """Return the request header that carries a bearer token."""
    return {"Authorization": f"Bearer {token}"}


def to_toml(tables: dict[str, Any]) -> str:
    """Return settings as TOML: plain values, tables and lists of tables."""
    # TOML requires the values of the root table before any other table.
    root_lines: list[str] = []
    table_lines: list[str] = []
    for key, value in tables.items():
        if isinstance(value, dict):
            table_lines += [f"[{key}]", *_toml_pairs(value), ""]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for item in value:
                table_lines += [f"[[{key}]]", *_toml_pairs(item), ""]
        else:
            root_lines += _toml_pairs({key: value})
    return "\n".join([*root_lines, *table_lines])


def _toml_pairs(values: dict[str, Any]) -> list[str]:
    return [f"{key} = {json.dumps(value)}" for key, value in values.items()]
