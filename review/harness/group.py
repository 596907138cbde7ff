"""A group of model servers with the project's agents beside them."""

import asyncio
import signal
import time

from harness.deployment import (
    ZONE,
    Processes,
    Record,
    free_port,
    loopback_prefix,
    route,
)
from harness.ranks import ENGINE, RankGroup
from slatehoist_standins.deployment_store import DeploymentStore

SIZE = 4
SERVICE = "model"
STREAM_ROUTE = route("draft", goalMs=1000)


class GroupDeployment:
    """Store, a group of ranks and an agent beside each rank.

    Attributes
    ----------
    group : RankGroup
    killed_at : float or None
        Time at which the agents were killed.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.processes = Processes(record)
        self.prefix = loopback_prefix()
        self.hosts = [f"{self.prefix}.{100 + number}" for number in range(SIZE)]
        self.store = DeploymentStore()
        self.group = RankGroup(SIZE, record)
        self.killed_at: float | None = None
        self._killed = asyncio.Event()

    async def start(self) -> None:
        """Start the store, the ranks and the agents."""
        self.store_address = await self.store.start()
        await self.group.start(self.hosts)
        services = [{"name": SERVICE, "engine": ENGINE}]
        doc = {"version": 1, "routes": [STREAM_ROUTE], "services": services}
        self.store.put("op", "config", doc)
        for number in range(SIZE):
            row = self.group.row(number, SERVICE)
            self.store.put("servers", f"rank-{number}", row)
        self.port = free_port(self.hosts[0])
        for number in range(SIZE):
            self.start_agent(number)

    def start_agent(self, number: int) -> None:
        """Start the agent of a rank."""
        ip = self.hosts[number]
        settings = (
            f"node=side-{number}\nrole=agent\nmachineClass=side\nserves=side\nip={ip}\n"
            f"zone={ZONE}\nregion=region\nzones.{ZONE}=region\n"
            f"internalPorts={self.port},{self.port + 15}\nlimits.memoryMb=168\n"
            f"limits.maxFds=1124\nlimits.linkMbps=10\n"
            f"app={self.group.ranks[number].address}\nservice={SERVICE}\n"
            f"provider.addr={self.store_address}\n"
        )
        self.processes.start(f"side-{number}", "agent", "9465", settings)

    def kill_after_order(self, op: str, rank: int | None = None) -> None:
        """Kill all agents right after an order of a kind was accepted.

        Parameters
        ----------
        rank : int or None
            The rank that accepts it; None for any.
        """

        def kill(number: int, body: dict) -> None:
            if self._killed.is_set() or body["op"] != op or rank not in (None, number):
                return
            for index in range(SIZE):
                self.processes.signal(f"side-{index}", signal.SIGKILL)
            self.killed_at = time.monotonic()
            self._killed.set()

        self.group.on_order = kill

    async def wait_until_killed(self, timeout_s: float) -> bool:
        """Wait for the kill; return False if there was none in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._killed.wait()
        except TimeoutError:
            return False
        return True

    async def restart_agents(self, delays: list[float]) -> None:
        """Start the agents again, each after its seconds since the kill."""
        for number in sorted(range(SIZE), key=lambda index: delays[index]):
            due_at = self.killed_at + delays[number]
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            self.start_agent(number)

    async def stop(self) -> None:
        """Stop everything."""
        self.processes.stop()
        self.group.stop()
        await self.store.stop()
