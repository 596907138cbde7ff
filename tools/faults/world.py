"""World of the fault matrix: entries, sidecars, engines, plain services, relays."""

import asyncio
import itertools
import re
import signal
import time
from collections.abc import Awaitable, Callable

from slatehoist_standins.fleet import Fleet, Node
from slatehoist_standins.record import read_record

ENGINES = 3
SERVICES = 2
#: Requests that one engine runs at once.
BATCH = 2
#: Seconds that a cell waits for what must come.
WAIT_S = 20.0

_numbers = itertools.count(1)


class World(Fleet):
    """Fleet with everything that a request may meet.

    Parameters
    ----------
    daemon : list of str or None
        Command that runs the daemon; a mutated one for the mutation check.
    """

    def __init__(self, daemon: list[str] | None = None) -> None:
        super().__init__()
        if daemon:
            self.daemon_command = daemon
        self.entries: list[Node] = []
        self.urls: dict[str, str] = {}

    async def start(self) -> None:
        """Start all processes and declare the endpoints."""
        await asyncio.gather(self.start_platform(), self.start_relays())
        direct = self.platform_url
        address = direct.removeprefix("http://")
        relayed = "http://" + await self.open_relay("platform", address)
        platform = dict.fromkeys(("table", "objects", "instances"), relayed)
        self.entries = list(
            await asyncio.gather(
                *(
                    self.start_entry(f"entry-{i}", "ab"[i], platform=platform)
                    for i in range(2)
                )
            )
        )
        await asyncio.gather(
            *(self._start_engine(i) for i in range(ENGINES)),
            *(self._start_service(i) for i in range(SERVICES)),
        )
        await self._declare()
        await self.wait_ready()

    async def _start_engine(self, index: int) -> None:
        name = f"engine-{index}"
        record = self.record_path(name)
        self.urls[name] = await self.start_standin(
            "engine", name, batch=BATCH, step_s=0.02, record=record
        )
        await self._start_sidecar_of(name, f"llm-{index}", index, concurrency=BATCH)

    async def _start_service(self, index: int) -> None:
        name = f"service-{index}"
        record = self.record_path(name)
        self.urls[name] = await self.start_standin("plain", name, record=record)
        await self._start_sidecar_of(
            name, f"portal-{index}", ENGINES + index, kind="plain"
        )

    async def _start_sidecar_of(
        self, back_end: str, endpoint: str, number: int, **more: object
    ) -> None:
        address = self.urls[back_end].removeprefix("http://")
        url = "http://" + await self.open_relay(back_end, address)
        table = {"name": endpoint, "url": url, **more}
        zone = "abc"[number % 3]
        await self.start_sidecar(f"sidecar-{number}", table, zone, relayed=True)

    async def _declare(self) -> None:
        entry = self.entries[0]
        for i in range(ENGINES):
            models = ["any", f"solo-{i}"]
            await self.declare(entry, "endpoint", f"llm-{i}", {"models": models})
        for i in range(SERVICES):
            await self.declare(entry, "endpoint", f"portal-{i}", {"service": "portal"})

    async def wait_ready(self) -> None:
        """Wait until both entries may send work everywhere."""
        for entry in self.entries:
            await retry(lambda entry=entry: self._wait_status(entry))

    async def _wait_status(self, entry: Node) -> None:
        await self.wait_for_sidecars(entry, ENGINES + SERVICES, WAIT_S)

    async def heal(self) -> None:
        """Undo all faults and start again what has died."""
        await self.set_faults(self.platform_url)
        for name, proc in list(self.processes.items()):
            if proc.poll() is None:
                self.signal(name, signal.SIGCONT)
            else:
                self.restart(name)
                node = self.nodes.get(name)
                if node is not None:
                    await self.register(node)
        for url in self.urls.values():
            await retry(lambda url=url: self.set_faults(url))
        for i in range(ENGINES):
            await retry(lambda i=i: self.stall(i, False))
        for name in ["platform", *self.urls, *(f"{n}.http" for n in self._relayed())]:
            await self.set_relay_mode(name, "pass")
        await until(lambda: self._all_known(), what="the sidecars' incarnations")
        await self.wait_ready()

    async def _all_known(self) -> bool:
        """Tell whether every entry knows the sidecars' present incarnations."""
        for entry in self.entries:
            status = await retry(lambda entry=entry: self.status(entry))
            for name in self._relayed():
                known = status["sidecars"].get(name, {}).get("incarnation")
                if known != self._incarnation(name):
                    return False
        return True

    def _incarnation(self, sidecar: str) -> str:
        """Read a sidecar's present incarnation from its log."""
        found = re.findall(
            r"event=sidecar_ready incarnation=(\w+)", self.read_log(sidecar)
        )
        return found[-1] if found else "not started"

    def _relayed(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.role == "sidecar"]

    async def stall(self, engine: int, stalled: bool) -> None:
        """Stop or continue an engine's steps."""
        url = f"{self.urls[f'engine-{engine}']}/stall"
        async with self.session.post(url, json={"stalled": stalled}) as resp:
            resp.raise_for_status()

    async def trapped(self, url: str) -> bool:
        """Tell whether a stand-in's trap has stopped a call."""
        async with self.session.get(f"{url}/trapped") as resp:
            return (await resp.json())["trapped"]

    async def release(self, url: str) -> None:
        """Let a stopped call go on."""
        async with self.session.post(f"{url}/release") as resp:
            resp.raise_for_status()

    def runs(self, text: str) -> list[str]:
        """List the back ends that ran a request, once for each run."""
        found = []
        for name in self.urls:
            for event in read_record(self.record_path(name)):
                content = event.get("prompt", "") + event.get("body", "")
                if event["event"] == "run" and text in content:
                    found.append(name)
        return found

    def crashes(self) -> int:
        """Count the crashes of all back ends."""
        events = (e for name in self.urls for e in read_record(self.record_path(name)))
        return sum(event["event"] == "crash" for event in events)


def unique(text: str) -> str:
    """Make a text that no other request of this run holds."""
    return f"{text}#{next(_numbers)}#"


async def until(
    holds: Callable[[], object], timeout_s: float = WAIT_S, what: str = "condition"
) -> None:
    """Wait until something holds.

    Raises
    ------
    TimeoutError
        If it does not hold in time.
    """
    end = time.monotonic() + timeout_s
    while True:
        value = holds()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return
        if time.monotonic() > end:
            raise TimeoutError(f"waited in vain for {what}")
        await asyncio.sleep(0.02)


async def retry(step: Callable[[], Awaitable], timeout_s: float = WAIT_S):
    """Try a step until it works, for a process that is just starting."""
    end = time.monotonic() + timeout_s
    while True:
        try:
            return await step()
        except Exception:
            if time.monotonic() > end:
                raise
            await asyncio.sleep(0.05)
