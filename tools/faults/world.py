"""Deployment of the fault matrix: entries, sidecars, engines, services and relays."""

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
#: Seconds that a cell waits for a condition.
WAIT_TIMEOUT_S = 20.0

_request_numbers = itertools.count(1)


class World(Fleet):
    """Fleet of every kind of process that takes part in a request.

    Parameters
    ----------
    daemon : list of str or None
        Command that runs the daemon; the mutation check passes a mutated daemon.
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
        platform_url = self.platform_url
        address = platform_url.removeprefix("http://")
        relay_url = "http://" + await self.open_relay("platform", address)
        platform = dict.fromkeys(("table", "objects", "instances"), relay_url)
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
        await self._declare_endpoints()
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
        self, back_end: str, endpoint: str, number: int, **settings: object
    ) -> None:
        address = self.urls[back_end].removeprefix("http://")
        url = "http://" + await self.open_relay(back_end, address)
        table = {"name": endpoint, "url": url, **settings}
        zone = "abc"[number % 3]
        await self.start_sidecar(f"sidecar-{number}", table, zone, relayed=True)

    async def _declare_endpoints(self) -> None:
        entry = self.entries[0]
        for i in range(ENGINES):
            models = ["any", f"solo-{i}"]
            await self.declare(entry, "endpoint", f"llm-{i}", {"models": models})
        for i in range(SERVICES):
            await self.declare(entry, "endpoint", f"portal-{i}", {"service": "portal"})

    async def wait_ready(self) -> None:
        """Wait until both entries can send work to every endpoint."""
        for entry in self.entries:
            await retry(lambda entry=entry: self._wait_status(entry))

    async def _wait_status(self, entry: Node) -> None:
        await self.wait_for_sidecars(entry, ENGINES + SERVICES, WAIT_TIMEOUT_S)

    async def heal(self) -> None:
        """Clear all faults and restart the processes that have ended."""
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
            await retry(lambda i=i: self.set_stalled(i, False))
        for name in [
            "platform",
            *self.urls,
            *(f"{n}.http" for n in self._sidecar_names()),
        ]:
            await self.set_relay_mode(name, "pass")
        await wait_until(
            lambda: self._entries_are_current(), what="the sidecars' incarnations"
        )
        await self.wait_ready()

    async def _entries_are_current(self) -> bool:
        """Return True if every entry knows the current incarnation of every sidecar."""
        for entry in self.entries:
            status = await retry(lambda entry=entry: self.status(entry))
            for name in self._sidecar_names():
                known = status["sidecars"].get(name, {}).get("incarnation")
                if known != self._current_incarnation(name):
                    return False
        return True

    def _current_incarnation(self, sidecar: str) -> str:
        """Return a sidecar's current incarnation, read from its log."""
        found = re.findall(
            r"event=sidecar_ready incarnation=(\w+)", self.read_log(sidecar)
        )
        return found[-1] if found else "not started"

    def _sidecar_names(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.role == "sidecar"]

    async def set_stalled(self, engine: int, stalled: bool) -> None:
        """Stall an engine, or resume it."""
        url = f"{self.urls[f'engine-{engine}']}/stall"
        async with self.session.post(url, json={"stalled": stalled}) as resp:
            resp.raise_for_status()

    async def has_trapped(self, url: str) -> bool:
        """Return True if a stand-in's trap blocks a call."""
        async with self.session.get(f"{url}/trapped") as resp:
            return (await resp.json())["trapped"]

    async def release(self, url: str) -> None:
        """Unblock the call that a stand-in's trap blocks."""
        async with self.session.post(f"{url}/release") as resp:
            resp.raise_for_status()

    def runs(self, text: str) -> list[str]:
        """Return the endpoints that ran a request, with one item for each run."""
        found = []
        for name in self.urls:
            for event in read_record(self.record_path(name)):
                content = event.get("prompt", "") + event.get("body", "")
                if event["event"] == "run" and text in content:
                    found.append(name)
        return found

    def crashes(self) -> int:
        """Return the number of crashes of all endpoints."""
        events = (e for name in self.urls for e in read_record(self.record_path(name)))
        return sum(event["event"] == "crash" for event in events)


def unique_text(text: str) -> str:
    """Return the text with a suffix that no other request of this run has."""
    return f"{text}#{next(_request_numbers)}#"


async def wait_until(
    condition: Callable[[], object],
    timeout_s: float = WAIT_TIMEOUT_S,
    what: str = "condition",
) -> None:
    """Wait until a condition is true.

    Raises
    ------
    TimeoutError
        If the condition is still false after the timeout.
    """
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return
        if time.monotonic() > end:
            raise TimeoutError(f"timed out waiting for {what}")
        await asyncio.sleep(0.02)


async def retry(step: Callable[[], Awaitable], timeout_s: float = WAIT_TIMEOUT_S):
    """Repeat a call until it succeeds, for a process that is still starting."""
    end = time.monotonic() + timeout_s
    while True:
        try:
            return await step()
        except Exception:
            if time.monotonic() > end:
                raise
            await asyncio.sleep(0.05)
