"""Cells of the map switch: a group of ranks in lock-step, and its coordinator."""

import asyncio
import json
import signal

from faults.cells import Cell, expect
from faults.world import retry, until
from slatehoist_standins.fleet import Fleet, Node
from slatehoist_standins.record import read_record

RANKS = 4
SIDECARS = 2
LEASE_S = 2.0
#: Changes of popularity, and seconds between them, until a switch must have begun.
SHIFTS = 4
SHIFT_S = 8.0
#: Seconds in which the group must step on after a fault.
PROGRESS_S = 15.0
#: Seconds of a freeze that outlasts the lease.
FREEZE_S = 5.0
#: Seconds of a stall.
STALL_S = 2.0

#: Where each step of the switch is caught: stand-in, words in the call, moment.
TRAPS = {
    "stage": ("ranks", '"verb": "load"', "before"),
    "decide": ("platform", '["maps"', "before"),
    "decided": ("platform", '["maps"', "after"),
    "arm": ("ranks", '"verb": "hold"', "before"),
    "armed": ("ranks", '"verb": "hold"', "after"),
    "go": ("ranks", '"verb": "switch"', "before"),
    "gone": ("ranks", '"verb": "switch"', "after"),
    "drop": ("ranks", '"verb": "drop"', "before"),
}


class GroupWorld(Fleet):
    """Fleet with one group of ranks behind two sidecars.

    Parameters
    ----------
    checks_fence : bool
        Whether the ranks' engine checks fencing numbers itself.
    """

    def __init__(
        self, daemon: list[str] | None = None, *, checks_fence: bool = False
    ) -> None:
        super().__init__()
        if daemon:
            self.daemon_command = daemon
        self.checks_fence = checks_fence
        self.ranks_url = ""
        self.entry: Node | None = None

    async def start(self) -> None:
        """Start all processes and declare the group."""
        await asyncio.gather(self.start_platform(), self.start_relays())
        self.entry = await self.start_entry("entry-0")
        self.ranks_url = await self.start_standin(
            "ranks",
            "ranks",
            count=RANKS,
            step_s=0.005,
            record=self.record_path("ranks"),
            checks_fence="1" if self.checks_fence else "",
        )
        engine = await self.start_standin("engine", "engine")
        for index in range(SIDECARS):
            await self._start_member(index, engine)
        group = {"ranks": RANKS, "layers": 2, "experts": 2 * RANKS, "spare_slots": 4}
        await self.declare(self.entry, "group", "g", group)
        for index in range(SIDECARS):
            spec = {"models": ["any"], "group": "g"}
            await self.declare(self.entry, "endpoint", f"llm-{index}", spec)
        await self.wait_for_sidecars(self.entry, SIDECARS)
        await until(self.coordinator, what="a coordinator")

    async def _start_member(self, index: int, engine: str) -> None:
        per_sidecar = RANKS // SIDECARS
        ranks = [
            {
                "group": "g",
                "rank": index * per_sidecar + i,
                "url": self.ranks_url,
                "plan_s": 0.5,
                "lease_s": LEASE_S,
            }
            for i in range(per_sidecar)
        ]
        endpoint = {"name": f"llm-{index}", "url": engine}
        await self.start_sidecar(f"sidecar-{index}", endpoint, rank=ranks, relayed=True)

    async def heal(self) -> None:
        """Undo all faults and start again what has died."""
        await self.set_faults(self.platform_url)
        await self.set_faults(self.ranks_url)
        for rank in range(RANKS):
            await self.stall(rank, False)
        for index in range(SIDECARS):
            name = f"sidecar-{index}"
            await self.set_relay_mode(f"{name}.control", "pass")
            self.signal(name, signal.SIGCONT)
            if self.processes[name].poll() is not None:
                self.restart(name)
        await retry(lambda: self.wait_for_sidecars(self.entry, SIDECARS))

    async def coordinator(self) -> str:
        """Give the sidecar that holds the lease, by the table."""
        url = f"{self.platform_url}/v1/row"
        params = {"table": "leases", "key": "group/g"}
        async with self.session.get(url, params=params) as resp:
            if resp.status != 200:
                return ""
            row = json.loads(await resp.text())
        return row[2]["holder"].partition("/")[0]

    async def shift(self) -> None:
        """Change the experts' popularity, so that a switch pays."""
        async with self.session.post(f"{self.ranks_url}/shift") as resp:
            resp.raise_for_status()

    async def stall(self, rank: int, stalled: bool) -> None:
        """Stall or continue a rank."""
        url = f"{self.ranks_url}/ranks/{rank}/stall"
        async with self.session.post(url, json={"stalled": stalled}) as resp:
            resp.raise_for_status()

    async def trapped(self, url: str) -> bool:
        """Tell whether a stand-in's trap has stopped a call."""
        async with self.session.get(f"{url}/trapped") as resp:
            return (await resp.json())["trapped"]

    def steps(self) -> list[dict]:
        """List the steps that the group has run."""
        events = read_record(self.record_path("ranks"))
        return [event for event in events if event["event"] == "step"]

    def epoch(self) -> int:
        """Give the newest epoch that a step used."""
        steps = self.steps()
        return max(steps[-1]["epochs"]) if steps else 0


async def kill_coordinator(world: GroupWorld, coordinator: str, other: str) -> None:
    """Kill the coordinator; its instance is replaced a little later."""
    world.kill(coordinator)
    await asyncio.sleep(1.0)
    world.restart(coordinator)


async def kill_member(world: GroupWorld, coordinator: str, other: str) -> None:
    """Kill another sidecar; its instance is replaced a little later."""
    await kill_coordinator(world, other, coordinator)


async def freeze_coordinator(world: GroupWorld, coordinator: str, other: str) -> None:
    """Freeze the coordinator past its lease."""
    world.signal(coordinator, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    world.signal(coordinator, signal.SIGCONT)


async def freeze_member(world: GroupWorld, coordinator: str, other: str) -> None:
    """Freeze another sidecar."""
    await freeze_coordinator(world, other, coordinator)


async def stall_rank(world: GroupWorld, coordinator: str, other: str) -> None:
    """Stall a rank."""
    await world.stall(1, True)
    await asyncio.sleep(STALL_S)
    await world.stall(1, False)


async def hole_links(world: GroupWorld, coordinator: str, other: str) -> None:
    """Turn the links between the sidecars silent."""
    for index in range(SIDECARS):
        await world.set_relay_mode(f"sidecar-{index}.control", "hole")


async def late_links(world: GroupWorld, coordinator: str, other: str) -> None:
    """Hold what is under way between the sidecars, and deliver it late."""
    for index in range(SIDECARS):
        await world.set_relay_mode(f"sidecar-{index}.control", "late", 3.0)


async def store_down(world: GroupWorld, coordinator: str, other: str) -> None:
    """Take the platform away, and leave it away."""
    await world.set_faults(world.platform_url, down=1)


async def store_slow(world: GroupWorld, coordinator: str, other: str) -> None:
    """Make the platform slow."""
    await world.set_faults(world.platform_url, delay_s=1.2)


async def store_lost(world: GroupWorld, coordinator: str, other: str) -> None:
    """Lose the answers to the next writes."""
    await world.set_faults(world.platform_url, lose=3)


async def nothing(world: GroupWorld, coordinator: str, other: str) -> None:
    """Put in no fault but the late order itself."""


FAULTS = {
    "none": nothing,
    "kill:coordinator": kill_coordinator,
    "kill:member": kill_member,
    "freeze:coordinator": freeze_coordinator,
    "freeze:member": freeze_member,
    "stall:rank": stall_rank,
    "hole:links": hole_links,
    "late:links": late_links,
    "store:down": store_down,
    "store:slow": store_slow,
    "store:lost": store_lost,
}


async def run_switch(world: GroupWorld, step: str, inject) -> None:
    """Put in a fault at a step of a switch, then check every step of the group."""
    standin, words, when = TRAPS[step]
    url = world.ranks_url if standin == "ranks" else world.platform_url
    await world.set_faults(url, trap={"match": words, "when": when})
    await shift_until(world, lambda: world.trapped(url), f"the trap at {step}")
    coordinator = await world.coordinator()
    other = next(n for n in ("sidecar-0", "sidecar-1") if n != coordinator)
    await inject(world, coordinator, other)
    async with world.session.post(f"{url}/release") as resp:
        resp.raise_for_status()
    begun = len(world.steps())
    await until(
        lambda: len(world.steps()) > begun + 100, PROGRESS_S, "the group to step on"
    )
    check_steps(world)
    await world.heal()
    epoch = world.epoch()
    await shift_until(world, lambda: world.epoch() > epoch, "another switch")
    check_steps(world)


async def shift_until(world: GroupWorld, holds, what: str) -> None:
    """Change the popularity until something holds, since not each change pays."""
    for _ in range(SHIFTS):
        await world.shift()
        try:
            await until(holds, SHIFT_S, what)
        except TimeoutError:
            continue
        return
    raise TimeoutError(f"waited in vain for {what}")


def check_steps(world: GroupWorld) -> None:
    """Check that in every step all ranks used one map, and epochs only grew."""
    last = 0
    for event in world.steps():
        epochs = set(event["epochs"])
        expect(len(epochs) == 1, f"step {event['step']} ran with maps {epochs}")
        expect(max(epochs) >= last, f"step {event['step']} went back to {epochs}")
        last = max(epochs)


def make_cells() -> list[Cell]:
    """List the cells of the map switch."""
    return [
        Cell("map", fault, step, _bind(step, inject))
        for step in TRAPS
        for fault, inject in FAULTS.items()
    ]


def _bind(step: str, inject):
    async def bound(world: GroupWorld) -> None:
        await run_switch(world, step, inject)

    return bound
